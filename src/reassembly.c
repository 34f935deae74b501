#include "goldcresthatch/reassembly.h"

#include <json-c/json.h>
#include <json-c/json_pointer.h>
#include <string.h>

enum
{
  /* Bytes counted against the bound for each buffered message in addition to
     its size, so that the number of empty messages is bounded too.  */
  BUFFERED_OVERHEAD_BYTES = 64
};

struct reassembly
{
  enum reassembly_format form;
  size_t buffer_max;
  size_t bytes_max; /* passed on of one attempt, in the BYTES format */
  int started;
  struct msg_id attempt;
  uint64_t next;         /* next sequence number to pass on */
  size_t bytes;          /* passed on in the BYTES format */
  GHashTable *buffered;  /* sequence number -> GBytes */
  size_t buffered_bytes; /* bytes of BUFFERED, with overhead */
  GString *partial;      /* incomplete event */
  size_t scanned; /* bytes of PARTIAL known to have no end of an event */
  int broken;
  int ended;
  int done;
  uint64_t frames; /* DATA messages stated by END */
  uint64_t tokens; /* passed on */
  int closed;      /* "data: [DONE]" was passed on */
};

struct reassembly *
reassembly_new (enum reassembly_format form, size_t buffer_max)
{
  struct reassembly *reassembly = g_new0 (struct reassembly, 1);

  reassembly->form = form;
  reassembly->buffer_max = buffer_max;
  reassembly->bytes_max = SIZE_MAX;
  reassembly->buffered = g_hash_table_new_full (
      g_int64_hash, g_int64_equal, g_free, (GDestroyNotify)g_bytes_unref);
  reassembly->partial = g_string_new (NULL);
  return reassembly;
}

void
reassembly_free (struct reassembly *reassembly)
{
  if (reassembly == NULL)
    return;
  g_hash_table_destroy (reassembly->buffered);
  g_string_free (reassembly->partial, TRUE);
  g_free (reassembly);
}

void
reassembly_set_max (struct reassembly *reassembly, size_t max)
{
  reassembly->bytes_max = max;
}

void
reassembly_begin (struct reassembly *reassembly, struct msg_id attempt)
{
  g_hash_table_remove_all (reassembly->buffered);
  g_string_truncate (reassembly->partial, 0);
  reassembly->buffered_bytes = 0;
  reassembly->scanned = 0;
  reassembly->next = 0;
  reassembly->bytes = 0;
  reassembly->started = 1;
  reassembly->broken = 0;
  reassembly->ended = 0;
  reassembly->attempt = attempt;
}

/* Returns nonzero when TEXT is a JSON completion chunk with content.  */
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

/* Counts the token, or notes the closing mark, of the event of SIZE bytes at
   EVENT.  */
static void
count_event (struct reassembly *reassembly, const char *event, size_t size)
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
    reassembly->closed = 1;
  else if (has_token (data->str))
    reassembly->tokens++;
  g_string_free (data, TRUE);
  g_strfreev (lines);
  g_free (text);
}

/* Returns the length of the first event in the SIZE bytes at P, or 0 when it
   is incomplete; the first SCANNED bytes are known to have no end of an
   event.  */
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

/* Passes on the complete events of PARTIAL.  */
static void
pass_events (struct reassembly *reassembly, GString *out)
{
  GString *partial = reassembly->partial;
  size_t at = 0;
  size_t n;

  while ((n = event_length (partial->str + at, partial->len - at,
                            at == 0 ? reassembly->scanned : 0))
         > 0)
    {
      count_event (reassembly, partial->str + at, n);
      at += n;
    }
  g_string_append_len (out, partial->str, (gssize)at);
  g_string_erase (partial, 0, (gssize)at);
  /* The end of an event has up to three bytes, of which the last two bytes
     here may be the first.  */
  reassembly->scanned = partial->len > 2 ? partial->len - 2 : 0;
}

static void
pass_bytes (struct reassembly *reassembly, const char *bytes, size_t size,
            GString *out)
{
  reassembly->next++;
  if (reassembly->form == REASSEMBLY_BYTES)
    {
      reassembly->bytes += size;
      if (reassembly->bytes > reassembly->bytes_max)
        {
          reassembly->broken = 1;
          return;
        }
      g_string_append_len (out, bytes, (gssize)size);
      return;
    }
  g_string_append_len (reassembly->partial, bytes, (gssize)size);
  pass_events (reassembly, out);
}

/* Passes on buffered messages that are now in order and, once the answer is
   complete, the bytes after the last complete event.  */
static void
pass_buffered (struct reassembly *reassembly, GString *out)
{
  GBytes *bytes;
  gconstpointer data;
  gsize size;

  while (
      (bytes = g_hash_table_lookup (reassembly->buffered, &reassembly->next))
      != NULL)
    {
      uint64_t sequence = reassembly->next;

      data = g_bytes_get_data (bytes, &size);
      reassembly->buffered_bytes -= size + BUFFERED_OVERHEAD_BYTES;
      pass_bytes (reassembly, data, size, out);
      g_hash_table_remove (reassembly->buffered, &sequence);
    }
  if (!reassembly_complete (reassembly) || !reassembly->done
      || reassembly->partial->len == 0)
    return;
  count_event (reassembly, reassembly->partial->str, reassembly->partial->len);
  g_string_append_len (out, reassembly->partial->str,
                       (gssize)reassembly->partial->len);
  g_string_truncate (reassembly->partial, 0);
  reassembly->scanned = 0;
}

static int
is_current (const struct reassembly *reassembly, struct msg_id attempt)
{
  return reassembly->started && msg_id_equal (reassembly->attempt, attempt);
}

static enum reassembly_verdict
buffer_message (struct reassembly *reassembly, uint64_t sequence,
                const char *bytes, size_t size)
{
  uint64_t *key;

  if (g_hash_table_contains (reassembly->buffered, &sequence))
    return REASSEMBLY_DUPLICATE;
  if (reassembly->buffered_bytes + reassembly->partial->len + size
          + BUFFERED_OVERHEAD_BYTES
      > reassembly->buffer_max)
    {
      reassembly->broken = 1;
      return REASSEMBLY_BROKEN;
    }
  key = g_new (uint64_t, 1);
  *key = sequence;
  g_hash_table_insert (reassembly->buffered, key, g_bytes_new (bytes, size));
  reassembly->buffered_bytes += size + BUFFERED_OVERHEAD_BYTES;
  return REASSEMBLY_BUFFERED;
}

enum reassembly_verdict
reassembly_data (struct reassembly *reassembly, struct msg_id attempt,
                 uint64_t sequence, const char *bytes, size_t size,
                 GString *out)
{
  if (!is_current (reassembly, attempt))
    return REASSEMBLY_OTHER_ATTEMPT;
  if (sequence < reassembly->next)
    return REASSEMBLY_DUPLICATE;
  if (reassembly->broken
      || (reassembly->ended && sequence >= reassembly->frames))
    {
      reassembly->broken = 1;
      return REASSEMBLY_BROKEN;
    }
  if (sequence > reassembly->next)
    return buffer_message (reassembly, sequence, bytes, size);
  pass_bytes (reassembly, bytes, size, out);
  pass_buffered (reassembly, out);
  if (reassembly->partial->len > reassembly->buffer_max)
    reassembly->broken = 1;
  return reassembly->broken ? REASSEMBLY_BROKEN : REASSEMBLY_ACCEPTED;
}

/* Returns nonzero when a message with a sequence number of FRAMES or more has
   arrived.  */
static int
exceeds_frames (const struct reassembly *reassembly, uint64_t frames)
{
  GHashTableIter iter;
  gpointer key;

  if (reassembly->next > frames)
    return 1;
  g_hash_table_iter_init (&iter, reassembly->buffered);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (*(const uint64_t *)key >= frames)
      return 1;
  return 0;
}

enum reassembly_verdict
reassembly_end (struct reassembly *reassembly, struct msg_id attempt,
                uint64_t frames, int done, GString *out)
{
  if (!is_current (reassembly, attempt))
    return REASSEMBLY_OTHER_ATTEMPT;
  if (reassembly->ended)
    return REASSEMBLY_DUPLICATE;
  if (reassembly->broken || exceeds_frames (reassembly, frames))
    {
      reassembly->broken = 1;
      return REASSEMBLY_BROKEN;
    }
  reassembly->ended = 1;
  reassembly->done = done;
  reassembly->frames = frames;
  pass_buffered (reassembly, out);
  return REASSEMBLY_ACCEPTED;
}

int
reassembly_complete (const struct reassembly *reassembly)
{
  return reassembly->ended && !reassembly->broken
         && reassembly->next == reassembly->frames;
}

uint64_t
reassembly_tokens (const struct reassembly *reassembly)
{
  return reassembly->tokens;
}

int
reassembly_closed (const struct reassembly *reassembly)
{
  return reassembly->closed;
}
