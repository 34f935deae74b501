#include "origin.h"

#include <string.h>
#include <xxhash.h>

enum
{
  ID_DIGITS = 16,
  NAME_MAX_BYTES = 63 /* of a service or a version */
};

struct build
{
  char *service;
  char *name;
  int64_t at_us; /* seen or told last */
  int is_seen;
};

/* The record of a stream.  */
struct stream
{
  uint64_t id;       /* hash of the request's */
  const char *build; /* interned */
  int64_t at_us;
};

struct origin
{
  GPtrArray *builds;   /* struct build; a few for each service */
  GHashTable *streams; /* id -> struct stream */
  GQueue order;        /* struct stream, oldest first */
};

static void
build_free (gpointer data)
{
  struct build *build = data;

  g_free (build->service);
  g_free (build->name);
  g_free (build);
}

struct origin *
origin_new (void)
{
  struct origin *origin = g_new0 (struct origin, 1);

  origin->builds = g_ptr_array_new_with_free_func (build_free);
  origin->streams
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&origin->order);
  return origin;
}

void
origin_free (struct origin *origin)
{
  if (origin == NULL)
    return;
  g_ptr_array_free (origin->builds, TRUE);
  g_queue_clear (&origin->order);
  g_hash_table_destroy (origin->streams);
  g_free (origin);
}

void
origin_note_build (struct origin *origin, const char *service,
                   const char *name, int is_seen, int64_t now)
{
  struct build *build;
  guint i;

  for (i = 0; i < origin->builds->len; i++)
    {
      build = g_ptr_array_index (origin->builds, i);
      if (strcmp (build->service, service) == 0
          && strcmp (build->name, name) == 0)
        {
          build->at_us = now;
          build->is_seen |= is_seen;
          return;
        }
    }
  build = g_new0 (struct build, 1);
  build->service = g_strdup (service);
  build->name = g_strdup (name);
  build->at_us = now;
  build->is_seen = is_seen;
  g_ptr_array_add (origin->builds, build);
}

size_t
origin_builds (const struct origin *origin, const char *service)
{
  size_t n = 0;
  guint i;

  for (i = 0; i < origin->builds->len; i++)
    {
      const struct build *build = g_ptr_array_index (origin->builds, i);
      n += strcmp (build->service, service) == 0;
    }
  return n;
}

const char *
origin_only_build (const struct origin *origin, const char *service)
{
  guint i;

  if (origin_builds (origin, service) != 1)
    return NULL;
  for (i = 0;; i++)
    {
      const struct build *build = g_ptr_array_index (origin->builds, i);
      if (strcmp (build->service, service) == 0)
        return build->name;
    }
}

size_t
origin_seen (const struct origin *origin)
{
  size_t n = 0;
  guint i;

  for (i = 0; i < origin->builds->len; i++)
    n += ((struct build *)g_ptr_array_index (origin->builds, i))->is_seen != 0;
  return n;
}

void
origin_each_seen (const struct origin *origin,
                  void (*fn) (void *ctx, const char *service,
                              const char *build),
                  void *ctx)
{
  guint i;

  for (i = 0; i < origin->builds->len; i++)
    {
      const struct build *build = g_ptr_array_index (origin->builds, i);
      if (build->is_seen)
        fn (ctx, build->service, build->name);
    }
}

static void
remove_oldest (struct origin *origin)
{
  struct stream *oldest = g_queue_pop_head (&origin->order);

  g_hash_table_remove (origin->streams, &oldest->id);
}

uint64_t
origin_number (const char *id)
{
  return XXH64 (id, strlen (id), 0);
}

void
origin_note_number (struct origin *origin, uint64_t id, const char *build,
                    int64_t now)
{
  struct stream *stream = g_hash_table_lookup (origin->streams, &id);

  if (stream != NULL)
    return;
  if (origin->order.length >= ORIGIN_STREAMS_MAX)
    remove_oldest (origin);
  stream = g_new0 (struct stream, 1);
  stream->id = id;
  stream->build = g_intern_string (build);
  stream->at_us = now;
  g_hash_table_insert (origin->streams, &stream->id, stream);
  g_queue_push_tail (&origin->order, stream);
}

void
origin_note_stream (struct origin *origin, const char *id, const char *build,
                    int64_t now)
{
  origin_note_number (origin, origin_number (id), build, now);
}

const char *
origin_find (const struct origin *origin, const char *id)
{
  return origin_find_number (origin, origin_number (id));
}

const char *
origin_find_number (const struct origin *origin, uint64_t number)
{
  const struct stream *stream = g_hash_table_lookup (origin->streams, &number);

  return stream != NULL ? stream->build : NULL;
}

void
origin_expire (struct origin *origin, int64_t now)
{
  struct stream *oldest;
  guint i = 0;

  while (i < origin->builds->len)
    {
      const struct build *build = g_ptr_array_index (origin->builds, i);
      if (now - build->at_us > ORIGIN_LIFE_US)
        g_ptr_array_remove_index_fast (origin->builds, i);
      else
        i++;
    }
  while ((oldest = g_queue_peek_head (&origin->order)) != NULL
         && now - oldest->at_us > ORIGIN_LIFE_US)
    remove_oldest (origin);
}

void
origin_write_stream (GString *text, const char *id, const char *build)
{
  g_string_append_printf (text, "%016" G_GINT64_MODIFIER "x %s\n",
                          (guint64)origin_number (id), build);
}

/* Returns nonzero when the N bytes at TEXT are a name.  */
static int
is_name (const char *text, size_t n)
{
  size_t i;

  for (i = 0; i < n; i++)
    if ((unsigned char)text[i] <= ' ' || text[i] == 0x7f)
      return 0;
  return n > 0 && n <= NAME_MAX_BYTES;
}

static int
read_stream (struct origin *origin, const char *line, size_t n, int64_t now)
{
  char name[NAME_MAX_BYTES + 1];
  uint64_t id = 0;
  size_t i;

  if (n <= ID_DIGITS + 1 || line[ID_DIGITS] != ' '
      || !is_name (line + ID_DIGITS + 1, n - ID_DIGITS - 1))
    return -1;
  for (i = 0; i < ID_DIGITS; i++)
    {
      if (!g_ascii_isxdigit (line[i]))
        return -1;
      id = id << 4 | (uint64_t)g_ascii_xdigit_value (line[i]);
    }
  memcpy (name, line + ID_DIGITS + 1, n - ID_DIGITS - 1);
  name[n - ID_DIGITS - 1] = '\0';
  origin_note_number (origin, id, name, now);
  return 0;
}

size_t
origin_read_streams (struct origin *origin, const char *text, size_t size,
                     int64_t now)
{
  const char *end = text + size;
  size_t malformed = 0;

  while (text < end)
    {
      const char *lf = memchr (text, '\n', (size_t)(end - text));
      size_t n = (size_t)((lf != NULL ? lf : end) - text);
      malformed += lf == NULL || read_stream (origin, text, n, now) != 0;
      text += n + 1;
    }
  return malformed;
}

void
origin_write_build (GString *text, const char *service, const char *build)
{
  g_string_append_printf (text, "%s %s", service, build);
}

int
origin_read_build (struct origin *origin, const char *text, size_t size,
                   int64_t now)
{
  const char *space = memchr (text, ' ', size);
  char *service;
  char *name;
  size_t n;

  if (space == NULL)
    return -1;
  n = (size_t)(space - text);
  if (!is_name (text, n) || !is_name (space + 1, size - n - 1))
    return -1;
  service = g_strndup (text, n);
  name = g_strndup (space + 1, size - n - 1);
  origin_note_build (origin, service, name, 0, now);
  g_free (service);
  g_free (name);
  return 0;
}
