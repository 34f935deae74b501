#include "cfg_private.h"

#include <sodium.h>
#include <string.h>

enum
{
  EDIT_ATTEMPTS_MAX = 16,  /* reads of the document before an edit fails */
  HISTORY_BODIES_MAX = 4,  /* past bodies kept per section */
  CREDENTIAL_HASH_OPS = 2, /* passes of the credential hash */
  CREDENTIAL_HASH_BYTES = 8 << 20 /* bytes used by the credential hash */
};

enum step
{
  STEP_DONE,
  STEP_FAILED,
  STEP_RETRY
};

struct attempt
{
  const struct cfg_change *edit;
  struct json_object *body;
  GPtrArray *problems;
  char hash[crypto_pwhash_STRBYTES]; /* computed once, so that a repeated CAS
                                        writes the same value */
  bool in_doubt;                     /* the answer to a CAS was lost */
  uint64_t generation;               /* of the document in the last CAS */
};

void
cfg_write_id (char out[CFG_WRITE_ID_SIZE])
{
  unsigned char bytes[(CFG_WRITE_ID_SIZE - 1) / 2];

  randombytes_buf (bytes, sizeof bytes);
  sodium_bin2hex (out, CFG_WRITE_ID_SIZE, bytes, sizeof bytes);
}

/* Reads the document and its revision.  When none is stored yet, returns the
   built-in one and sets the revision to 0.  */
static struct cfg_doc *
read_document (struct kv *kv, uint64_t *revision, bool *is_unreachable,
               struct err *err)
{
  struct kv_value value = { NULL, 0, 0 };
  struct cfg_doc *doc;
  int rc = kv_get (kv, CFG_KEY, &value, err);

  *is_unreachable = rc < 0;
  if (rc < 0)
    return NULL;
  *revision = rc > 0 ? value.revision : 0;
  if (rc == 0)
    return cfg_default ();
  doc = cfg_parse (value.data, value.size, CFG_KEY, NULL, err);
  kv_value_free (&value);
  return doc;
}

/* Returns the body that SECTION had at REVISION, or null.  */
static struct json_object *
body_at (struct json_object *section, uint64_t revision)
{
  struct json_object *list = cfg_member (section, "history");
  size_t count = list != NULL ? json_object_array_length (list) : 0;

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *entry = json_object_array_get_idx (list, i);

      if ((uint64_t)cfg_int (entry, "revision", -1) == revision)
        return cfg_member (entry, "body");
    }
  return NULL;
}

/* Appends the names of the members of FROM that are absent from TO or, unless
   ONLY_ABSENT, have another value there.  */
static void
append_changed (GString *out, struct json_object *from, struct json_object *to,
                bool only_absent)
{
  json_object_object_foreach (from, key, value)
  {
    struct json_object *other = cfg_member (to, key);

    if (only_absent ? other == NULL : !json_object_equal (value, other))
      g_string_append_printf (out, "%s%s", out->len > 0 ? ", " : "", key);
  }
}

static void
report_conflict (const struct cfg_change *edit, struct json_object *section,
                 struct err *err)
{
  struct json_object *base = body_at (section, edit->base_revision);
  GString *changed = g_string_new (NULL);

  if (json_object_is_type (base, json_type_object))
    {
      append_changed (changed, cfg_member (section, "body"), base, false);
      append_changed (changed, base, cfg_member (section, "body"), true);
    }
  err_set (err, ERR_CONFLICT, "config-edit", NULL,
           "section %s is at revision %" G_GINT64_FORMAT
           " by %s, the edit is based on %" G_GUINT64_FORMAT "; changed: %s",
           cfg_section_name (edit->section), cfg_int (section, "revision", 0),
           cfg_string (section, "operator"), edit->base_revision,
           changed->len > 0 ? changed->str : "not known");
  g_string_free (changed, TRUE);
}

/* Returns true when the edit is in DOC or in the history of its section.  */
static bool
is_written (const struct cfg_doc *doc, const struct cfg_change *edit)
{
  struct json_object *section = cfg_section_json (doc->root, edit->section);
  struct json_object *list = cfg_member (section, "history");
  size_t count = list != NULL ? json_object_array_length (list) : 0;

  if (cfg_has_write_id (doc, edit->write_id)
      || strcmp (cfg_string (section, "write_id"), edit->write_id) == 0)
    return true;
  for (size_t i = 0; i < count; i++)
    if (strcmp (cfg_string (json_object_array_get_idx (list, i), "write_id"),
                edit->write_id)
        == 0)
      return true;
  return false;
}

/* Sets the section's credential hash to that of CREDENTIAL.  */
static int
set_credential (struct attempt *attempt, struct json_object *section,
                const char *credential, struct err *err)
{
  if (attempt->hash[0] == '\0'
      && crypto_pwhash_str (attempt->hash, credential, strlen (credential),
                            CREDENTIAL_HASH_OPS, CREDENTIAL_HASH_BYTES)
             != 0)
    return err_set (err, ERR_LIMIT, "config-edit", NULL,
                    "no memory for the credential hash");
  json_object_object_add (section, "credential",
                          json_object_new_string (attempt->hash));
  return 0;
}

/* Checks the credential.  A section without one takes that of its first
   edit.  */
static int
check_credential (struct attempt *attempt, struct json_object *section,
                  struct err *err)
{
  const struct cfg_change *edit = attempt->edit;
  const char *hash = cfg_string (section, "credential");
  const char *next = edit->new_credential;

  if (edit->credential == NULL || edit->credential[0] == '\0')
    return err_set (err, ERR_REFUSED, "config-edit", NULL,
                    "the edit of section %s carries no credential",
                    cfg_section_name (edit->section));
  if (hash[0] != '\0'
      && crypto_pwhash_str_verify (hash, edit->credential,
                                   strlen (edit->credential))
             != 0)
    return err_set (err, ERR_REFUSED, "config-edit", NULL,
                    "the credential is not that of section %s, owned by %s",
                    cfg_section_name (edit->section),
                    cfg_string (section, "owner"));
  if (cfg_string (section, "owner")[0] == '\0')
    json_object_object_add (section, "owner",
                            json_object_new_string (edit->operator_name));
  if (next != NULL && next[0] == '\0')
    return err_set (err, ERR_INVALID, "config-edit", NULL,
                    "the new credential is empty");
  if (next == NULL && hash[0] != '\0')
    return 0;
  return set_credential (attempt, section,
                         next != NULL ? next : edit->credential, err);
}

/* Moves the current body of SECTION to the end of its history.  */
static void
push_history (struct json_object *section)
{
  static const char *const history_members[] = { "revision", "generation",
                                                 "time_us",  "operator",
                                                 "write_id", "body" };
  struct json_object *entry = json_object_new_object ();
  struct json_object *list = cfg_member (section, "history");

  for (size_t i = 0; i < G_N_ELEMENTS (history_members); i++)
    if (cfg_member (section, history_members[i]) != NULL)
      json_object_object_add (
          entry, history_members[i],
          json_object_get (cfg_member (section, history_members[i])));
  if (list == NULL)
    {
      list = json_object_new_array ();
      json_object_object_add (section, "history", list);
    }
  json_object_array_add (list, entry);
  if (json_object_array_length (list) > HISTORY_BODIES_MAX)
    json_object_array_del_idx (list, 0, 1);
}

/* Replaces the section's body in DOC.  */
static void
replace_body (struct cfg_doc *doc, struct attempt *attempt)
{
  const struct cfg_change *edit = attempt->edit;
  struct json_object *section = cfg_section_json (doc->root, edit->section);
  struct json_object *ids = cfg_member (doc->root, "write_ids");
  int64_t generation = (int64_t)cfg_generation (doc) + 1;

  push_history (section);
  json_object_object_add (
      section, "revision",
      json_object_new_int64 (cfg_int (section, "revision", 0) + 1));
  json_object_object_add (section, "generation",
                          json_object_new_int64 (generation));
  json_object_object_add (section, "time_us",
                          json_object_new_int64 (edit->now_us));
  json_object_object_add (section, "operator",
                          json_object_new_string (edit->operator_name));
  json_object_object_add (section, "write_id",
                          json_object_new_string (edit->write_id));
  json_object_object_add (section, "body", json_object_get (attempt->body));
  json_object_object_add (doc->root, "generation",
                          json_object_new_int64 (generation));
  json_object_array_add (ids, json_object_new_string (edit->write_id));
  if (json_object_array_length (ids) > CFG_WRITE_IDS)
    json_object_array_del_idx (ids, 0, 1);
  attempt->generation = (uint64_t)generation;
}

/* Removes the oldest past body of the section whose history has the most
   bytes.  Returns false when no history is left.  */
static bool
drop_history (struct cfg_doc *doc)
{
  struct json_object *longest = NULL;
  size_t length = 0;

  for (int id = 0; id < CFG_SECTION_MAX; id++)
    {
      struct json_object *list
          = cfg_member (cfg_section_json (doc->root, id), "history");
      size_t n = 0;

      if (list == NULL || json_object_array_length (list) == 0)
        continue;
      json_object_to_json_string_length (list, JSON_C_TO_STRING_PLAIN, &n);
      if (n <= length)
        continue;
      length = n;
      longest = list;
    }
  if (longest != NULL)
    json_object_array_del_idx (longest, 0, 1);
  return longest != NULL;
}

static int
check_result (struct cfg_doc *doc, struct attempt *attempt, struct err *err)
{
  struct cfg_input in;
  unsigned count;

  cfg_input_init (&in, cfg_section_name (attempt->edit->section),
                  attempt->problems);
  cfg_check_document (&in, doc->root);
  if (in.problems->len == 0)
    cfg_check_consistency (&in, doc->root);
  count = in.problems->len;
  cfg_input_clear (&in);
  if (count > 0)
    return err_set (err, ERR_INVALID, "config-edit", NULL,
                    "the document with this section has %u errors", count);
  return 0;
}

/* Applies the edit to DOC, which was read at REVISION, and writes it.  */
static enum step
write_document (struct kv *kv, struct cfg_doc *doc, uint64_t revision,
                struct attempt *attempt, struct err *err)
{
  uint64_t written;
  char *text;
  int rc;

  replace_body (doc, attempt);
  if (check_result (doc, attempt, err) < 0)
    return STEP_FAILED;
  text = cfg_encode (doc, true);
  while (strlen (text) > KV_VALUE_MAX_BYTES && drop_history (doc))
    {
      g_free (text);
      text = cfg_encode (doc, true);
    }
  if (strlen (text) > KV_VALUE_MAX_BYTES)
    {
      err_set (err, ERR_LIMIT, "config-edit", NULL,
               "the document of %zu bytes exceeds the limit of %d",
               strlen (text), KV_VALUE_MAX_BYTES);
      g_free (text);
      return STEP_FAILED;
    }
  rc = kv_cas (kv, CFG_KEY, revision, text, strlen (text), 0, &written, err);
  g_free (text);
  if (rc < 0)
    attempt->in_doubt = true;
  return rc > 0 ? STEP_DONE : STEP_RETRY;
}

/* Determines from DOC whether an edit in doubt has been written; if not,
   checks the edit against DOC and writes it.  */
static enum step
attempt_edit (struct kv *kv, struct cfg_doc *doc, uint64_t revision,
              struct attempt *attempt, struct err *err)
{
  const struct cfg_change *edit = attempt->edit;
  struct json_object *section = cfg_section_json (doc->root, edit->section);
  bool changed_since_base
      = cfg_revision (doc, edit->section) != edit->base_revision;

  if (attempt->in_doubt && is_written (doc, edit))
    return STEP_DONE;
  /* The document keeps the write ids of the last CFG_WRITE_IDS generations, so
     the effect of an older write can't be determined.  */
  if (attempt->in_doubt && changed_since_base
      && cfg_generation (doc) >= attempt->generation + CFG_WRITE_IDS)
    {
      err_set (err, ERR_TIMEOUT, "config-edit", NULL,
               "the answer to the write was lost, and the document no longer "
               "holds the write ids of generation %" G_GUINT64_FORMAT,
               attempt->generation);
      return STEP_FAILED;
    }
  if (check_credential (attempt, section, err) < 0)
    return STEP_FAILED;
  if (changed_since_base)
    {
      report_conflict (edit, section, err);
      return STEP_FAILED;
    }
  return write_document (kv, doc, revision, attempt, err);
}

static int
edit_loop (struct kv *kv, struct attempt *attempt, uint64_t *generation,
           struct err *err)
{
  struct err last = { .code = ERR_NONE };
  bool cas_conflicted = false;

  for (int i = 0; i < EDIT_ATTEMPTS_MAX; i++)
    {
      uint64_t revision = 0;
      bool is_unreachable;
      struct cfg_doc *doc
          = read_document (kv, &revision, &is_unreachable, &last);
      enum step step;

      if (doc == NULL && is_unreachable)
        continue;
      if (doc != NULL && attempt->edit->complete != NULL)
        {
          doc = attempt->edit->complete (attempt->edit->complete_ctx, doc,
                                         err);
          if (doc == NULL)
            return -1;
        }
      if (doc == NULL)
        return err_set (err, attempt->in_doubt ? ERR_TIMEOUT : ERR_PROTOCOL,
                        "config-edit", NULL,
                        "the stored document is invalid: %s", last.text);
      step = attempt_edit (kv, doc, revision, attempt, err);
      cfg_free (doc);
      if (step == STEP_FAILED)
        return -1;
      if (step == STEP_DONE)
        {
          *generation = attempt->generation;
          return 0;
        }
      cas_conflicted = true;
    }
  if (attempt->in_doubt)
    return err_set (err, ERR_TIMEOUT, "config-edit", NULL,
                    "the answer to the write was lost, its effect is "
                    "unknown: %s",
                    last.text);
  if (cas_conflicted)
    return err_set (err, ERR_CONFLICT, "config-edit", NULL,
                    "each write conflicted with an edit of another section; "
                    "nothing was written in %d attempts",
                    EDIT_ATTEMPTS_MAX);
  return err_set (err, ERR_IO, "config-edit", NULL,
                  "the service was not reached in %d attempts: %s",
                  EDIT_ATTEMPTS_MAX, last.text);
}

/* Parses the body of EDIT and checks it by itself.  The caller clears ATTEMPT
   even on failure.  */
static int
start_attempt (struct attempt *attempt, const struct cfg_change *edit,
               GPtrArray *problems, struct err *err)
{
  struct cfg_input in;
  int rc = 0;

  memset (attempt, 0, sizeof *attempt);
  attempt->edit = edit;
  if (edit->section >= CFG_SECTION_MAX || edit->body == NULL
      || edit->source == NULL || edit->operator_name == NULL
      || edit->write_id == NULL || edit->write_id[0] == '\0')
    return err_set (err, ERR_INVALID, "config-edit", NULL,
                    "the edit needs a section, a body, its source, an "
                    "operator and a write id");
  cfg_input_init (&in, edit->source, problems);
  attempt->problems = g_ptr_array_ref (in.problems);
  attempt->body = cfg_json_read (&in, edit->body, edit->body_size);
  if (attempt->body != NULL || in.problems->len == 0)
    cfg_check_body (&in, edit->section, attempt->body);
  if (in.problems->len > 0)
    rc = err_set (err, ERR_INVALID, "config-edit", NULL, "%u errors in %s",
                  in.problems->len, edit->source);
  cfg_input_clear (&in);
  return rc;
}

static void
clear_attempt (struct attempt *attempt)
{
  json_object_put (attempt->body);
  if (attempt->problems != NULL)
    g_ptr_array_unref (attempt->problems);
}

int
cfg_check_change (const struct cfg_doc *doc, const struct cfg_change *edit,
                  GPtrArray *problems, struct err *err)
{
  struct attempt attempt;
  int rc = start_attempt (&attempt, edit, problems, err);

  if (rc == 0)
    {
      struct cfg_doc trial = { NULL };

      json_object_deep_copy (doc->root, &trial.root, NULL);
      replace_body (&trial, &attempt);
      rc = check_result (&trial, &attempt, err);
      json_object_put (trial.root);
    }
  clear_attempt (&attempt);
  return rc;
}

int
cfg_edit (struct kv *kv, const struct cfg_change *edit, GPtrArray *problems,
          uint64_t *generation, struct err *err)
{
  struct attempt attempt;
  int rc = start_attempt (&attempt, edit, problems, err);

  if (rc == 0)
    rc = edit_loop (kv, &attempt, generation, err);
  clear_attempt (&attempt);
  return rc;
}
