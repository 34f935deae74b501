#include "ctl.h"

#include <stdio.h>
#include <string.h>

#include "peer.h"

enum
{
  /* Twice the time within which a change must be in force.  */
  IN_FORCE_TIMEOUT_US = 30 * G_USEC_PER_SEC,
  POLL_PERIOD_US = 200 * 1000,
  STATUS_OK = 200
};

/* Returns the section NAME, or -1 after an error message.  */
static int
section_argument (const char *name)
{
  int id = cfg_section_find (name);

  if (id < 0)
    ctl_usage ("\"%s\" is not a section of the configuration", name);
  return id;
}

/* Reads FILE, or returns null after an error message.  */
static char *
read_file (const char *file, gsize *size)
{
  GError *error = NULL;
  char *text;

  if (g_file_get_contents (file, &text, size, &error))
    return text;
  fprintf (stderr, "goldcresthatchctl: %s\n", error->message);
  g_error_free (error);
  return NULL;
}

static void
print_problems (const GPtrArray *problems)
{
  char *text = cfg_problems_text (problems);

  fputs (text, stderr);
  g_free (text);
}

static void
poll_peers (const struct settings_list *peers, struct cfg_peer_status *round)
{
  struct err err;

  for (size_t i = 0; i < peers->count; i++)
    if (peer_get_config (peers->items[i], UINT64_MAX, NULL, &round[i], &err)
        < 0)
      round[i] = (struct cfg_peer_status){ .answered = false };
}

/* Returns the index of the ready process with the highest generation above
   GENERATION, or -1.  */
static int
newest_peer (const struct settings_list *peers, uint64_t generation)
{
  struct cfg_peer_status round[SETTINGS_LIST_MAX];
  int newest = -1;

  poll_peers (peers, round);
  for (size_t i = 0; i < peers->count; i++)
    if (round[i].answered && round[i].ready
        && round[i].generation > generation)
      {
        generation = round[i].generation;
        newest = (int)i;
      }
  return newest;
}

/* Returns DOC, or in its place the document in force, when the service has
   been restored from an older copy and has lost changes that processes have.
   Returns null with ERR when these can't be read.  */
static struct cfg_doc *
complete_document (void *ctx, struct cfg_doc *doc, struct err *err)
{
  struct ctl *ctl = ctx;
  const struct settings_list *peers = &ctl->settings.config_peers;
  struct cfg_peer_status status;
  struct cfg_doc *completed = NULL;
  GString *body;
  int newest;
  int rc;

  if (kv_era (ctl->kv) <= 1)
    return doc;
  newest = newest_peer (peers, cfg_generation (doc));
  if (newest < 0)
    return doc;
  body = g_string_new (NULL);
  rc = peer_get_config (peers->items[newest], cfg_generation (doc), body,
                        &status, err);
  if (rc == STATUS_OK)
    completed = cfg_apply_lost (doc, body->str, body->len, err);
  else if (rc >= 0)
    err_set (err, ERR_PROTOCOL, "config", peers->items[newest],
             "status %d for changes that the service has lost", rc);
  g_string_free (body, TRUE);
  cfg_free (doc);
  return completed;
}

struct cfg_doc *
ctl_read_document (struct ctl *ctl, struct err *err)
{
  struct kv_value value = { NULL, 0, 0 };
  struct cfg_doc *doc;
  int rc = kv_get (ctl->kv, CFG_KEY, &value, err);

  if (rc < 0)
    return NULL;
  if (rc == 0)
    doc = cfg_default ();
  else
    doc = cfg_parse (value.data, value.size, CFG_KEY, NULL, err);
  kv_value_free (&value);
  return doc != NULL ? complete_document (ctl, doc, err) : NULL;
}

/* Checks the section as a change of the stored document if the key-value
   service is given, otherwise of the built-in one.  */
int
ctl_config_check (struct ctl *ctl)
{
  int id = section_argument (ctl->args[1]);
  GPtrArray *problems;
  struct cfg_doc *doc;
  struct err err;
  gsize size;
  char *text;
  int rc;

  if (id < 0)
    return CTL_USAGE;
  text = read_file (ctl->args[0], &size);
  if (text == NULL)
    return CTL_FAILED;
  doc = ctl->kv != NULL ? ctl_read_document (ctl, &err) : cfg_default ();
  if (doc == NULL)
    {
      g_free (text);
      return ctl_fail (&err);
    }
  problems = cfg_problems_new ();
  rc = cfg_check_change (doc,
                         &(struct cfg_change){ .section = id,
                                               .body = text,
                                               .body_size = size,
                                               .source = ctl->args[0],
                                               .operator_name = "check",
                                               .write_id = "check" },
                         problems, &err);
  if (rc == 0 && !ctl->json)
    printf ("%s: valid as section %s\n", ctl->args[0], ctl->args[1]);
  else if (rc == 0)
    puts ("{\"valid\":true}");
  else
    print_problems (problems);
  g_ptr_array_unref (problems);
  cfg_free (doc);
  g_free (text);
  return rc == 0 ? CTL_OK : ctl_fail (&err);
}

static void
print_section_json (const struct cfg_doc *doc, enum cfg_section id,
                    struct json_object *body)
{
  struct json_object *root = json_object_new_object ();

  json_object_object_add (root, "section",
                          json_object_new_string (cfg_section_name (id)));
  json_object_object_add (root, "revision",
                          json_object_new_uint64 (cfg_revision (doc, id)));
  json_object_object_add (root, "generation",
                          json_object_new_uint64 (cfg_generation (doc)));
  json_object_object_add (root, "body", json_object_get (body));
  ctl_print_json (root);
}

/* The text form is the section's body after a comment line; `config set`
   accepts both.  */
int
ctl_config_get (struct ctl *ctl)
{
  int id = section_argument (ctl->args[0]);
  struct json_object *body;
  struct cfg_doc *doc;
  struct err err;
  char *text;

  if (id < 0)
    return CTL_USAGE;
  doc = ctl_read_document (ctl, &err);
  if (doc == NULL)
    return ctl_fail (&err);
  text = cfg_body (doc, id);
  body = json_tokener_parse (text);
  if (ctl->json)
    print_section_json (doc, id, body);
  else
    printf ("// section %s, revision %llu, of generation %llu\n%s\n",
            ctl->args[0], (unsigned long long)cfg_revision (doc, id),
            (unsigned long long)cfg_generation (doc),
            json_object_to_json_string_ext (body, JSON_C_TO_STRING_PRETTY));
  json_object_put (body);
  g_free (text);
  cfg_free (doc);
  return CTL_OK;
}

/* Prints one past body.  The body before the first edit has no time and no
   operator.  */
static void
print_revision (struct json_object *item)
{
  gint64 time_us = ctl_number (item, "time_us");
  GDateTime *time = g_date_time_new_from_unix_utc (time_us / G_USEC_PER_SEC);
  char *when = g_date_time_format (time, "%FT%TZ");
  const char *operator_name = ctl_text (item, "operator");

  printf ("revision %lld, generation %lld, %s, %s: %s\n",
          ctl_number (item, "revision"), ctl_number (item, "generation"),
          time_us > 0 ? when : "unknown time",
          operator_name[0] != '\0' ? operator_name : "unknown operator",
          json_object_to_json_string_ext (
              json_object_object_get (item, "body"), JSON_C_TO_STRING_PLAIN));
  g_free (when);
  g_date_time_unref (time);
}

int
ctl_config_history (struct ctl *ctl)
{
  int id = section_argument (ctl->args[0]);
  struct json_object *list;
  struct cfg_doc *doc;
  struct err err;
  char *text;

  if (id < 0)
    return CTL_USAGE;
  doc = ctl_read_document (ctl, &err);
  if (doc == NULL)
    return ctl_fail (&err);
  text = cfg_history (doc, id);
  list = json_tokener_parse (text);
  if (ctl->json)
    puts (text);
  else
    for (size_t i = 0; i < json_object_array_length (list); i++)
      print_revision (json_object_array_get_idx (list, i));
  json_object_put (list);
  g_free (text);
  cfg_free (doc);
  return CTL_OK;
}

/* Waits until GENERATION is in force by cfg_in_force, and returns false after
   IN_FORCE_TIMEOUT_US without success.  LAST receives the last answers.  */
static bool
wait_in_force (const struct settings_list *peers, uint64_t generation,
               struct cfg_peer_status last[SETTINGS_LIST_MAX])
{
  gint64 limit = g_get_monotonic_time () + IN_FORCE_TIMEOUT_US;
  struct cfg_peer_status first[SETTINGS_LIST_MAX];
  const struct cfg_peer_status *const rounds[2] = { first, last };

  poll_peers (peers, last);
  do
    {
      memcpy (first, last, sizeof first);
      poll_peers (peers, last);
      if (cfg_in_force (rounds, peers->count, generation))
        return true;
      g_usleep (POLL_PERIOD_US);
    }
  while (g_get_monotonic_time () < limit);
  return false;
}

static int
report_in_force (struct ctl *ctl, uint64_t generation)
{
  const struct settings_list *peers = &ctl->settings.config_peers;
  struct cfg_peer_status last[SETTINGS_LIST_MAX] = { 0 };
  struct json_object *missing = json_object_new_array ();
  struct json_object *root = json_object_new_object ();
  bool in_force;

  if (!ctl->json)
    {
      printf ("accepted: generation %llu\n", (unsigned long long)generation);
      fflush (stdout);
    }
  in_force = wait_in_force (peers, generation, last);
  for (size_t i = 0; i < peers->count; i++)
    if (!last[i].answered || !last[i].ready || last[i].generation < generation)
      {
        json_object_array_add (missing,
                               json_object_new_string (peers->items[i]));
        if (!ctl->json)
          printf ("not confirmed by %s: %s\n", peers->items[i],
                  last[i].answered ? "behind or not ready" : "no answer");
      }
  if (!ctl->json)
    puts (in_force ? "in force" : "accepted, but not yet in force");
  json_object_object_add (root, "generation",
                          json_object_new_uint64 (generation));
  json_object_object_add (root, "accepted", json_object_new_boolean (1));
  json_object_object_add (root, "in_force",
                          json_object_new_boolean (in_force));
  json_object_object_add (root, "not_confirmed", missing);
  if (ctl->json)
    ctl_print_json (root);
  else
    json_object_put (root);
  return in_force ? CTL_OK : CTL_FAILED;
}

/* Returns the first line of FILE, or null after an error message.  */
static char *
read_credential (const char *file)
{
  gsize size;
  char *text = read_file (file, &size);

  if (text != NULL)
    text[strcspn (text, "\r\n")] = '\0';
  return text;
}

int
ctl_edit (struct ctl *ctl, const struct ctl_edit *edit, struct err *conflict)
{
  char write_id[CFG_WRITE_ID_SIZE];
  GPtrArray *problems = cfg_problems_new ();
  struct cfg_change change = { .section = edit->section,
                               .base_revision = edit->base,
                               .body = edit->body,
                               .body_size = edit->size,
                               .source = edit->source,
                               .operator_name = ctl->operator_name,
                               .write_id = write_id,
                               .now_us = g_get_real_time (),
                               .complete = complete_document,
                               .complete_ctx = ctl };
  char *credential = read_credential (ctl->credential_file);
  char *next = NULL;
  uint64_t generation;
  struct err err = { .code = ERR_NONE };
  int rc = CTL_FAILED;

  if (credential == NULL)
    goto out;
  if (ctl->new_credential_file != NULL
      && (next = read_credential (ctl->new_credential_file)) == NULL)
    goto out;
  cfg_write_id (write_id);
  change.credential = credential;
  change.new_credential = next;
  if (cfg_edit (ctl->kv, &change, problems, &generation, &err) == 0)
    rc = report_in_force (ctl, generation);
  else if (err.code == ERR_CONFLICT && conflict != NULL)
    *conflict = err;
  else
    {
      print_problems (problems);
      rc = ctl_fail (&err);
    }
out:
  g_free (credential);
  g_free (next);
  g_ptr_array_unref (problems);
  return rc;
}

int
ctl_config_set (struct ctl *ctl)
{
  struct ctl_edit edit = { .source = ctl->args[1] };
  int id = section_argument (ctl->args[0]);
  char *text;
  int rc;

  if (id < 0)
    return CTL_USAGE;
  if (ctl->base < 0 || ctl->operator_name == NULL
      || ctl->credential_file == NULL)
    return ctl_usage ("config set needs --base, --operator and "
                      "--credential-file");
  text = read_file (ctl->args[1], &edit.size);
  if (text == NULL)
    return CTL_FAILED;
  edit.section = id;
  edit.base = (uint64_t)ctl->base;
  edit.body = text;
  rc = ctl_edit (ctl, &edit, NULL);
  g_free (text);
  return rc;
}
