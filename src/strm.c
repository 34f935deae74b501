#include "goldcresthatch/strm.h"

#include <json-c/json.h>
#include <json-c/json_pointer.h>
#include <string.h>

enum
{
  /* Bytes counted against the bound for each held message besides its own, so
     that empty messages are bounded too.  */
  HELD_OVERHEAD = 64
};

struct strm
{
  enum strm_form form;
  size_t bound;
  int begun;
  struct msg_id attempt;
  uint64_t next;    /* sequence number to pass on next */
  GHashTable *held; /* sequence number -> GBytes */
  size_t held_size; /* bytes, with overhead */
  GString *partial; /* event that is not complete */
  size_t scanned;   /* bytes of PARTIAL known to hold no event's end */
  int broken;
  int ended;
  int done;
  uint64_t frames;
  uint64_t tokens;
  int closed;
};

struct strm *
strm_new (enum strm_form form, size_t bound)
{
  struct strm *strm = g_new0 (struct strm, 1);

  strm->form = form;
  strm->bound = bound;
  strm->held = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                      (GDestroyNotify)g_bytes_unref);
  strm->partial = g_string_new (NULL);
  return strm;
}

void
strm_free (struct strm *strm)
{
  if (strm == NULL)
    return;
  g_hash_table_destroy (strm->held);
  g_string_free (strm->partial, TRUE);
  g_free (strm);
}

void
strm_begin (struct strm *strm, struct msg_id attempt)
{
  g_hash_table_remove_all (strm->held);
  g_string_truncate (strm->partial, 0);
  strm->held_size = 0;
  strm->scanned = 0;
  strm->next = 0;
  strm->begun = 1;
  strm->broken = 0;
  strm->ended = 0;
  strm->attempt = attempt;
}

/* Returns nonzero when TEXT is a chunk of a completion with some content.  */
static int
has_token (const char *text)
{
  static const char *const paths[]
      = { "/choices/0/delta/content", "/choices/0/text" };
  struct json_object *root = json_tokener_parse (text);
  struct json_object *value;
  int found = 0;
  size_t i;

  for (i = 0; root != NULL && i < G_N_ELEMENTS (paths); i++)
    if (json_pointer_get (root, paths[i], &value) == 0
        && json_object_is_type (value, json_type_string)
        && json_object_get_string_len (value) > 0)
      found = 1;
  json_object_put (root);
  return found;
}

/* Counts the token of the event of SIZE bytes at EVENT.  */
static void
count_event (struct strm *strm, const char *event, size_t size)
{
  static const char field[] = "data:";
  gchar *text = g_strndup (event, size);
  gchar **lines = g_strsplit (text, "\n", -1);
  GString *data = g_string_new (NULL);
  gchar **line;

  for (line = lines; *line != NULL; line++)
    if (g_str_has_prefix (*line, field))
      g_string_append (data, *line + strlen (field));
  g_strstrip (data->str);
  if (strcmp (data->str, "[DONE]") == 0)
    strm->closed = 1;
  else if (has_token (data->str))
    strm->tokens++;
  g_string_free (data, TRUE);
  g_strfreev (lines);
  g_free (text);
}

/* Returns the length of the first event of SIZE bytes at P, or 0 when it is
   not complete; the first SCANNED bytes hold no end.  */
static size_t
event_length (const char *p, size_t size, size_t scanned)
{
  size_t i;

  for (i = scanned; i + 1 < size; i++)
    {
      if (p[i] != '\n')
        continue;
      if (p[i + 1] == '\n')
        return i + 2;
      if (p[i + 1] == '\r' && i + 2 < size && p[i + 2] == '\n')
        return i + 3;
    }
  return 0;
}

/* Passes on the whole events of the bytes received in order.  */
static void
pass_events (struct strm *strm, GString *out)
{
  GString *partial = strm->partial;
  size_t at = 0;
  size_t n;

  while ((n = event_length (partial->str + at, partial->len - at,
                            at == 0 ? strm->scanned : 0))
         > 0)
    {
      count_event (strm, partial->str + at, n);
      at += n;
    }
  g_string_append_len (out, partial->str, (gssize)at);
  g_string_erase (partial, 0, (gssize)at);
  /* An end may begin in the last two bytes.  */
  strm->scanned = partial->len > 2 ? partial->len - 2 : 0;
}

static void
pass_bytes (struct strm *strm, const char *bytes, size_t size, GString *out)
{
  strm->next++;
  if (strm->form == STRM_BYTES)
    {
      g_string_append_len (out, bytes, (gssize)size);
      return;
    }
  g_string_append_len (strm->partial, bytes, (gssize)size);
  pass_events (strm, out);
}

/* Passes on held messages that are now in order, and the last incomplete event
   once the answer is complete.  */
static void
pass_held (struct strm *strm, GString *out)
{
  GBytes *bytes;
  gconstpointer data;
  gsize size;

  while ((bytes = g_hash_table_lookup (strm->held, &strm->next)) != NULL)
    {
      uint64_t sequence = strm->next;

      data = g_bytes_get_data (bytes, &size);
      strm->held_size -= size + HELD_OVERHEAD;
      pass_bytes (strm, data, size, out);
      g_hash_table_remove (strm->held, &sequence);
    }
  if (!strm_complete (strm) || !strm->done || strm->partial->len == 0)
    return;
  count_event (strm, strm->partial->str, strm->partial->len);
  g_string_append_len (out, strm->partial->str, (gssize)strm->partial->len);
  g_string_truncate (strm->partial, 0);
  strm->scanned = 0;
}

static int
is_current (const struct strm *strm, struct msg_id attempt)
{
  return strm->begun && msg_id_equal (strm->attempt, attempt);
}

static enum strm_verdict
hold (struct strm *strm, uint64_t sequence, const char *bytes, size_t size)
{
  uint64_t *key;

  if (g_hash_table_contains (strm->held, &sequence))
    return STRM_DUPLICATE;
  if (strm->held_size + strm->partial->len + size + HELD_OVERHEAD
      > strm->bound)
    {
      strm->broken = 1;
      return STRM_BROKEN;
    }
  key = g_new (uint64_t, 1);
  *key = sequence;
  g_hash_table_insert (strm->held, key, g_bytes_new (bytes, size));
  strm->held_size += size + HELD_OVERHEAD;
  return STRM_HELD;
}

enum strm_verdict
strm_data (struct strm *strm, struct msg_id attempt, uint64_t sequence,
           const char *bytes, size_t size, GString *out)
{
  if (!is_current (strm, attempt))
    return STRM_OTHER;
  if (sequence < strm->next)
    return STRM_DUPLICATE;
  if (strm->broken || (strm->ended && sequence >= strm->frames))
    {
      strm->broken = 1;
      return STRM_BROKEN;
    }
  if (sequence > strm->next)
    return hold (strm, sequence, bytes, size);
  pass_bytes (strm, bytes, size, out);
  pass_held (strm, out);
  if (strm->partial->len > strm->bound)
    {
      strm->broken = 1;
      return STRM_BROKEN;
    }
  return STRM_ACCEPTED;
}

/* Returns nonzero when a message that FRAMES excludes has arrived.  */
static int
exceeds (const struct strm *strm, uint64_t frames)
{
  GHashTableIter iter;
  gpointer key;

  if (strm->next > frames)
    return 1;
  g_hash_table_iter_init (&iter, strm->held);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (*(const uint64_t *)key >= frames)
      return 1;
  return 0;
}

enum strm_verdict
strm_end (struct strm *strm, struct msg_id attempt, uint64_t frames, int done,
          GString *out)
{
  if (!is_current (strm, attempt))
    return STRM_OTHER;
  if (strm->ended)
    return STRM_DUPLICATE;
  if (strm->broken || exceeds (strm, frames))
    {
      strm->broken = 1;
      return STRM_BROKEN;
    }
  strm->ended = 1;
  strm->done = done;
  strm->frames = frames;
  pass_held (strm, out);
  return STRM_ACCEPTED;
}

int
strm_complete (const struct strm *strm)
{
  return strm->ended && !strm->broken && strm->next == strm->frames;
}

uint64_t
strm_tokens (const struct strm *strm)
{
  return strm->tokens;
}

int
strm_closed (const struct strm *strm)
{
  return strm->closed;
}
