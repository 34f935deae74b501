#include "gw_set.h"

#include <glib.h>
#include <json-c/json.h>
#include <stddef.h>
#include <string.h>

#include "goldcresthatch/set.h"

static const struct
{
  const char *name;
  size_t at;
  size_t size;
  int is_address;
  int required;
} texts[] = {
  { "node", offsetof (struct gw_set, node), 64, 0, 1 },
  { "zone", offsetof (struct gw_set, zone), 64, 0, 1 },
  { "listen_front", offsetof (struct gw_set, listen_front), 32, 1, 1 },
  { "listen_ready", offsetof (struct gw_set, listen_ready), 32, 1, 1 },
  { "listen_metrics", offsetof (struct gw_set, listen_metrics), 32, 1, 0 },
  { "listen_relay", offsetof (struct gw_set, listen_relay), 32, 1, 0 },
  { "listen_load", offsetof (struct gw_set, listen_load), 32, 1, 0 },
  { "store", offsetof (struct gw_set, store), 32, 1, 1 },
};

static const struct
{
  const char *name;
  size_t at;
  double low;
  double high;
  double fallback;
} numbers[] = {
  { "link_mbit", offsetof (struct gw_set, link_mbit), 0.01, 1e7, 1000 },
  { "lease_ms", offsetof (struct gw_set, lease_ms), 100, 600000, 3000 },
  { "settled_ms", offsetof (struct gw_set, settled_ms), 500, 600000, 3000 },
  { "grace_ms", offsetof (struct gw_set, grace_ms), 1000, 600000, 8000 },
  /* A tenth, as for the entry's own retries.  */
  { "repeat_ratio", offsetof (struct gw_set, repeat_ratio), 0, 1, 0.1 },
  { "repeat_slack", offsetof (struct gw_set, repeat_slack), 0, 1e6, 10 },
  { "repeat_window_ms", offsetof (struct gw_set, repeat_window_ms), 1000,
    600000, 10000 },
  { "prefill_share", offsetof (struct gw_set, prefill_share), 0, 1, 0.5 },
  { "admit_factor", offsetof (struct gw_set, admit_factor), 0.1, 1000, 1 },
  { "overflow_share", offsetof (struct gw_set, overflow_share), 0, 1, 0.2 },
  { "direct_tokens", offsetof (struct gw_set, direct_tokens), 0, 1e9, 1024 },
};

static int
text_read (struct json_object *from, struct gw_set *set, size_t i,
           struct err *err)
{
  struct json_object *member;
  struct sockaddr_in sa;
  const char *value;
  char *to = (char *)set + texts[i].at;

  *to = '\0';
  if (!json_object_object_get_ex (from, texts[i].name, &member))
    return texts[i].required ? err_set (err, ERR_INVALID, "settings", NULL,
                                        "%s is missing", texts[i].name)
                             : 0;
  value = json_object_get_string (member);
  if (!json_object_is_type (member, json_type_string)
      || (*value == '\0' && texts[i].required)
      || g_strlcpy (to, value, texts[i].size) >= texts[i].size)
    return err_set (err, ERR_INVALID, "settings", NULL,
                    "%s is not a text of 1 to %zu bytes", texts[i].name,
                    texts[i].size - 1);
  if (texts[i].is_address && *to != '\0' && set_address (to, &sa) != 0)
    return err_set (err, ERR_INVALID, "settings", NULL, "%s is not IP:PORT",
                    texts[i].name);
  return 0;
}

static int
number_read (struct json_object *from, struct gw_set *set, size_t i,
             struct err *err)
{
  struct json_object *member;
  double value = numbers[i].fallback;

  if (json_object_object_get_ex (from, numbers[i].name, &member))
    {
      if (!json_object_is_type (member, json_type_int)
          && !json_object_is_type (member, json_type_double))
        return err_set (err, ERR_INVALID, "settings", NULL,
                        "%s is not a number", numbers[i].name);
      value = json_object_get_double (member);
    }
  if (!(value >= numbers[i].low && value <= numbers[i].high))
    return err_set (err, ERR_INVALID, "settings", NULL,
                    "%s is not between %g and %g", numbers[i].name,
                    numbers[i].low, numbers[i].high);
  *(double *)((char *)set + numbers[i].at) = value;
  return 0;
}

static int
is_known (const char *name)
{
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (texts); i++)
    if (strcmp (texts[i].name, name) == 0)
      return 1;
  for (i = 0; i < G_N_ELEMENTS (numbers); i++)
    if (strcmp (numbers[i].name, name) == 0)
      return 1;
  return 0;
}

int
gw_set_read (const char *path, struct gw_set *set, struct err *err)
{
  struct json_object *from = json_object_from_file (path);
  int rc = 0;
  size_t i;

  memset (set, 0, sizeof *set);
  if (from == NULL || !json_object_is_type (from, json_type_object))
    {
      json_object_put (from);
      return err_set (err, ERR_INVALID, "settings", path, "%s",
                      json_util_get_last_err ());
    }
  json_object_object_foreach (from, name, value)
  {
    (void)value;
    if (rc == 0 && !is_known (name))
      rc = err_set (err, ERR_INVALID, "settings", path, "unknown name %s",
                    name);
  }
  for (i = 0; rc == 0 && i < G_N_ELEMENTS (texts); i++)
    rc = text_read (from, set, i, err);
  for (i = 0; rc == 0 && i < G_N_ELEMENTS (numbers); i++)
    rc = number_read (from, set, i, err);
  json_object_put (from);
  return rc;
}
