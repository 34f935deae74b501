#include "ctl.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* Attempts to edit the fleet section while concurrent edits win.  */
  EDIT_ATTEMPTS_MAX = 16
};

static void
print_status (const char *peer, struct json_object *answer)
{
  struct json_object *runners = json_object_object_get (answer, "runners");

  printf ("%s %s: generation %lld, %s, %lld calls in progress\n", peer,
          ctl_text (answer, "entry"), ctl_number (answer, "generation"),
          json_object_get_boolean (json_object_object_get (answer, "ready"))
              ? "ready"
              : "not ready",
          ctl_number (answer, "calls"));
  if (!json_object_is_type (runners, json_type_array))
    return;
  for (size_t i = 0; i < json_object_array_length (runners); i++)
    {
      struct json_object *runner = json_object_array_get_idx (runners, i);

      printf ("  %-16s %-16s %-9s %lld running, %lld queued of %lld, "
              "generation %lld\n",
              ctl_text (runner, "name"), ctl_text (runner, "service"),
              ctl_text (runner, "state"), ctl_number (runner, "running"),
              ctl_number (runner, "queued"), ctl_number (runner, "capacity"),
              ctl_number (runner, "generation"));
    }
}

static void
add_status (void *ctx, const char *peer, struct json_object *answer)
{
  struct json_object *list = ctx;

  if (list == NULL)
    {
      print_status (peer, answer);
      return;
    }
  json_object_object_add (answer, "peer", json_object_new_string (peer));
  json_object_array_add (list, json_object_get (answer));
}

int
ctl_status (struct ctl *ctl)
{
  struct json_object *list = ctl->json ? json_object_new_array () : NULL;
  size_t answers = ctl_query_peers (ctl, "/admin/status", add_status, list);

  if (list != NULL)
    ctl_print_json (list);
  return answers == ctl->settings.config_peers.count ? CTL_OK : CTL_FAILED;
}

struct runner_search
{
  const char *name;
  bool found;
};

static void
find_in_status (void *ctx, const char *peer, struct json_object *answer)
{
  struct json_object *runners = json_object_object_get (answer, "runners");
  struct runner_search *search = ctx;

  (void)peer;
  if (!json_object_is_type (runners, json_type_array))
    return;
  for (size_t i = 0; i < json_object_array_length (runners); i++)
    if (strcmp (ctl_text (json_object_array_get_idx (runners, i), "name"),
                search->name)
        == 0)
      search->found = true;
}

/* Returns the object of the runner NAME in BODY.  If it is missing but an
   entry knows the runner, it is added; otherwise returns null.  */
static struct json_object *
find_runner (struct ctl *ctl, struct json_object *body, const char *name)
{
  struct runner_search search = { name, false };
  struct json_object *runners;
  struct json_object *runner;

  if (!json_object_object_get_ex (body, "runners", &runners))
    {
      runners = json_object_new_object ();
      json_object_object_add (body, "runners", runners);
    }
  if (json_object_object_get_ex (runners, name, &runner))
    return runner;
  ctl_query_peers (ctl, "/admin/status", find_in_status, &search);
  if (!search.found)
    return NULL;
  runner = json_object_new_object ();
  json_object_object_add (runners, name, runner);
  return runner;
}

/* Edits BODY so that the runner drains or, if DRAIN is false, does not.
   Returns false when no edit follows; *STATUS is then the exit status.  */
static bool
change_runner (struct ctl *ctl, struct json_object *body, bool drain,
               int *status)
{
  const char *name = ctl->args[0];
  struct json_object *runner = find_runner (ctl, body, name);

  if (runner == NULL)
    {
      fprintf (stderr, "goldcresthatchctl: no runner is called \"%s\"\n",
               name);
      *status = CTL_FAILED;
      return false;
    }
  if (json_object_get_boolean (json_object_object_get (runner, "drain"))
      == drain)
    {
      if (ctl->json)
        puts ("{\"changed\":false}");
      else
        printf ("%s is %s\n", name, drain ? "drained already" : "not drained");
      *status = CTL_OK;
      return false;
    }
  if (drain)
    json_object_object_add (runner, "drain", json_object_new_boolean (1));
  else
    json_object_object_del (runner, "drain");
  return true;
}

/* Reads the fleet section and tries to edit it once.  CONFLICT is set when a
   concurrent edit won.  */
static int
edit_once (struct ctl *ctl, bool drain, struct err *conflict)
{
  struct ctl_edit edit = { .section = CFG_FLEET, .source = "fleet" };
  struct json_object *body;
  struct cfg_doc *doc;
  struct err err;
  char *text;
  int rc;

  doc = ctl_read_document (ctl, &err);
  if (doc == NULL)
    return ctl_fail (&err);
  text = cfg_body (doc, CFG_FLEET);
  edit.base = cfg_revision (doc, CFG_FLEET);
  cfg_free (doc);
  body = json_tokener_parse (text);
  g_free (text);
  if (change_runner (ctl, body, drain, &rc))
    {
      edit.body
          = json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN);
      edit.size = strlen (edit.body);
      rc = ctl_edit (ctl, &edit, conflict);
    }
  json_object_put (body);
  return rc;
}

static int
set_drain (struct ctl *ctl, bool drain)
{
  struct err conflict;
  int rc;

  if (ctl->operator_name == NULL || ctl->credential_file == NULL)
    return ctl_usage ("drain and undrain need --operator and "
                      "--credential-file");
  for (int i = 0; i < EDIT_ATTEMPTS_MAX; i++)
    {
      conflict.code = ERR_NONE;
      rc = edit_once (ctl, drain, &conflict);
      if (conflict.code == ERR_NONE)
        return rc;
    }
  return ctl_fail (&conflict);
}

int
ctl_drain (struct ctl *ctl)
{
  return set_drain (ctl, true);
}

int
ctl_undrain (struct ctl *ctl)
{
  return set_drain (ctl, false);
}
