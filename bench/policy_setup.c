#include "policy_model.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

struct field
{
  const char *name;
  size_t offset;
};

#define PARAM(name)                                                           \
  {                                                                           \
#name, G_STRUCT_OFFSET(struct params, name)                               \
  }
#define SITE(name)                                                            \
  {                                                                           \
#name, G_STRUCT_OFFSET(struct site, name)                                 \
  }

static const struct field param_fields[] = {
  PARAM (prefill_us_per_token), PARAM (chunk_tokens),   PARAM (step_us),
  PARAM (step_us_per_request),  PARAM (mixed_permil),   PARAM (capacity),
  PARAM (cache_pieces),         PARAM (role_change_us), PARAM (crash_down_us),
  PARAM (kv_bytes_per_token),   PARAM (kv_bytes_per_us)
};

static const struct field site_fields[]
    = { SITE (runners), SITE (prefill_runners),    SITE (decode_runners),
        SITE (zone_us), SITE (role_change_cost_s), SITE (load_permil) };

/* Reads the FIELDS of OBJECT into BASE.  Each needs a value and its source. */
static int
read_fields (struct json_object *object, const struct field *fields, size_t n,
             char *base)
{
  struct json_object *field;
  struct json_object *value;
  struct json_object *source;
  size_t i;

  for (i = 0; i < n; i++)
    {
      if (!json_object_object_get_ex (object, fields[i].name, &field)
          || !json_object_object_get_ex (field, "value", &value)
          || !json_object_object_get_ex (field, "source", &source)
          || !json_object_is_type (value, json_type_int)
          || json_object_get_int64 (value) < 0)
        {
          fprintf (stderr,
                   "%s: expected an integer \"value\" from 0 and a "
                   "\"source\"\n",
                   fields[i].name);
          return -1;
        }
      *(int64_t *)(void *)(base + fields[i].offset)
          = json_object_get_int64 (value);
    }
  return 0;
}

static int
read_sites (struct json_object *sites, struct setup *setup)
{
  int n = 0;

  json_object_object_foreach (sites, name, object)
  {
    struct site *site = &setup->sites[n];

    if (n == SITES)
      return -1;
    g_strlcpy (site->name, name, sizeof site->name);
    if (read_fields (object, site_fields, G_N_ELEMENTS (site_fields),
                     (char *)site)
            < 0
        || site->runners > RUNNERS_MAX || site->runners < ZONES
        || site->prefill_runners + site->decode_runners > site->runners)
      return -1;
    n++;
  }
  return n == SITES ? 0 : -1;
}

int
setup_read (const char *file, struct setup *setup)
{
  struct json_object *root = json_object_from_file (file);
  struct json_object *runner;
  struct json_object *sites;
  int status = -1;

  memset (setup, 0, sizeof *setup);
  if (!root)
    fprintf (stderr, "%s: %s\n", file, json_util_get_last_err ());
  else if (json_object_object_get_ex (root, "runner", &runner)
           && json_object_object_get_ex (root, "sites", &sites)
           && read_fields (runner, param_fields, G_N_ELEMENTS (param_fields),
                           (char *)&setup->params)
                  == 0)
    status = read_sites (sites, setup);
  if (status == 0
      && (setup->params.capacity < 1 || setup->params.chunk_tokens < 1
          || setup->params.prefill_us_per_token < 1
          || setup->params.step_us < 1 || setup->params.kv_bytes_per_us < 1))
    status = -1;
  if (root && status < 0)
    fprintf (stderr, "%s: invalid parameters\n", file);
  json_object_put (root);
  return status;
}
