#include "goldcresthatch/span.h"

#include <json-c/json.h>
#include <pthread.h>
#include <sodium.h>
#include <string.h>

enum
{
  /* Offsets in "VV-TRACE-SPAN-FF".  */
  TRACE_AT = 3,
  ID_AT = 36,
  FLAGS_AT = 53,
  VERSION_INVALID = 0xff,
  FLAG_SAMPLED = 1,
  STATUS_OK = 1,   /* of OTLP */
  STATUS_ERROR = 2 /* of OTLP */
};

struct span_ring
{
  pthread_mutex_t lock; /* guards what follows */
  struct span *spans;
  size_t capacity;
  size_t count;
  size_t next; /* index of the next span to write */
  char *service;
  char *instance;
};

/* Returns the value of a lower-case hexadecimal digit, or -1: the W3C
   recommendation doesn't allow upper case.  */
static int
digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

static int
parse_hex (const char *text, uint8_t *out, size_t size)
{
  size_t i;

  for (i = 0; i < size; i++)
    {
      int high = digit (text[2 * i]);
      int low = high < 0 ? -1 : digit (text[2 * i + 1]);

      if (low < 0)
        return -1;
      out[i] = (uint8_t)(high << 4 | low);
    }
  return 0;
}

int
span_parse_trace_id (const char *text, uint8_t trace[SPAN_TRACE_ID_BYTES])
{
  if (strlen (text) != 2UL * SPAN_TRACE_ID_BYTES)
    return -1;
  return parse_hex (text, trace, SPAN_TRACE_ID_BYTES);
}

int
span_parse_traceparent (const char *text, size_t size, struct span_ctx *ctx,
                        struct err *err)
{
  uint8_t version;

  if (size < SPAN_TRACEPARENT_LEN || text[TRACE_AT - 1] != '-'
      || text[ID_AT - 1] != '-' || text[FLAGS_AT - 1] != '-'
      || parse_hex (text, &version, 1) != 0
      || parse_hex (text + TRACE_AT, ctx->trace, SPAN_TRACE_ID_BYTES) != 0
      || parse_hex (text + ID_AT, ctx->id, SPAN_ID_BYTES) != 0
      || parse_hex (text + FLAGS_AT, &ctx->flags, 1) != 0)
    return err_set (err, ERR_INVALID, "traceparent", NULL,
                    "expected VERSION-TRACE-PARENT-FLAGS of at least %d "
                    "bytes in lower-case hexadecimal, found %zu bytes",
                    SPAN_TRACEPARENT_LEN, size);
  /* A later version may append fields after another dash.  */
  if (version == VERSION_INVALID
      || (size > SPAN_TRACEPARENT_LEN
          && (version == 0 || text[SPAN_TRACEPARENT_LEN] != '-')))
    return err_set (err, ERR_INVALID, "traceparent", NULL,
                    "version %02x does not allow the length of %zu bytes or "
                    "what follows the flags",
                    version, size);
  if (sodium_is_zero (ctx->trace, SPAN_TRACE_ID_BYTES)
      || sodium_is_zero (ctx->id, SPAN_ID_BYTES))
    return err_set (err, ERR_INVALID, "traceparent", NULL,
                    "trace id or parent id is all zeros");
  return 0;
}

void
span_format_traceparent (const struct span_ctx *ctx,
                         char out[SPAN_TRACEPARENT_LEN + 1])
{
  out[0] = '0';
  out[1] = '0';
  out[TRACE_AT - 1] = '-';
  sodium_bin2hex (out + TRACE_AT, 2 * SPAN_TRACE_ID_BYTES + 1, ctx->trace,
                  SPAN_TRACE_ID_BYTES);
  sodium_bin2hex (out + ID_AT, 2 * SPAN_ID_BYTES + 1, ctx->id, SPAN_ID_BYTES);
  sodium_bin2hex (out + FLAGS_AT, 3, &ctx->flags, 1);
  /* sodium_bin2hex terminates each part.  */
  out[ID_AT - 1] = '-';
  out[FLAGS_AT - 1] = '-';
}

/* Draws a random identifier; the W3C recommendation forbids all zeros.  */
static void
random_id (uint8_t *id, size_t size)
{
  do
    randombytes_buf (id, size);
  while (sodium_is_zero (id, size));
}

void
span_start (struct span *span, const struct span_ctx *parent,
            enum span_kind kind, const char *name, int64_t start)
{
  memset (span, 0, sizeof *span);
  if (parent != NULL)
    {
      span->ctx = *parent;
      memcpy (span->parent, parent->id, SPAN_ID_BYTES);
    }
  else
    {
      random_id (span->ctx.trace, SPAN_TRACE_ID_BYTES);
      span->ctx.flags = FLAG_SAMPLED;
    }
  random_id (span->ctx.id, SPAN_ID_BYTES);
  span->kind = kind;
  span->start = start;
  g_strlcpy (span->name, name, sizeof span->name);
}

void
span_add_attribute (struct span *span, const char *key, const char *value)
{
  struct span_attribute *attr;

  if (span->attr_count == SPAN_ATTRS_MAX)
    return;
  attr = &span->attrs[span->attr_count++];
  g_strlcpy (attr->key, key, sizeof attr->key);
  g_strlcpy (attr->value, value, sizeof attr->value);
}

void
span_finish (struct span_ring *ring, struct span *span, int64_t end,
             const struct err *err)
{
  span->end = end;
  if (err != NULL)
    span->err = *err;
  if ((span->ctx.flags & FLAG_SAMPLED) == 0)
    return;
  pthread_mutex_lock (&ring->lock);
  ring->spans[ring->next] = *span;
  ring->next = (ring->next + 1) % ring->capacity;
  if (ring->count < ring->capacity)
    ring->count++;
  pthread_mutex_unlock (&ring->lock);
}

struct span_ring *
span_ring_new (size_t capacity, const char *service, const char *instance)
{
  struct span_ring *ring = g_new0 (struct span_ring, 1);

  pthread_mutex_init (&ring->lock, NULL);
  ring->capacity = MAX (capacity, (size_t)1);
  ring->spans = g_new0 (struct span, ring->capacity);
  ring->service = g_strdup (service);
  ring->instance = g_strdup (instance);
  return ring;
}

void
span_ring_free (struct span_ring *ring)
{
  if (ring == NULL)
    return;
  pthread_mutex_destroy (&ring->lock);
  g_free (ring->spans);
  g_free (ring->service);
  g_free (ring->instance);
  g_free (ring);
}

/* Adds TEXT as valid UTF-8, which JSON requires.  */
static void
add_text (struct json_object *object, const char *key, const char *text)
{
  gchar *valid = g_utf8_make_valid (text, -1);

  json_object_object_add (object, key, json_object_new_string (valid));
  g_free (valid);
}

static void
add_id (struct json_object *object, const char *key, const uint8_t *id,
        size_t size)
{
  char text[2 * SPAN_TRACE_ID_BYTES + 1];

  sodium_bin2hex (text, sizeof text, id, size);
  json_object_object_add (object, key, json_object_new_string (text));
}

/* OTLP's JSON form carries 64-bit numbers as decimal strings.  */
static void
add_time (struct json_object *object, const char *key, int64_t us)
{
  char text[32];

  g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT "000", us);
  json_object_object_add (object, key, json_object_new_string (text));
}

static void
add_attribute (struct json_object *array, const char *key, const char *value)
{
  struct json_object *attr = json_object_new_object ();
  struct json_object *any = json_object_new_object ();

  add_text (any, "stringValue", value);
  add_text (attr, "key", key);
  json_object_object_add (attr, "value", any);
  json_object_array_add (array, attr);
}

static struct json_object *
span_json (const struct span *span)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *attrs = json_object_new_array ();
  struct json_object *status = json_object_new_object ();
  int failed = span->err.code != ERR_NONE;
  unsigned i;

  add_id (object, "traceId", span->ctx.trace, SPAN_TRACE_ID_BYTES);
  add_id (object, "spanId", span->ctx.id, SPAN_ID_BYTES);
  if (!sodium_is_zero (span->parent, SPAN_ID_BYTES))
    add_id (object, "parentSpanId", span->parent, SPAN_ID_BYTES);
  add_text (object, "name", span->name);
  json_object_object_add (object, "kind",
                          json_object_new_int ((int)span->kind));
  add_time (object, "startTimeUnixNano", span->start);
  add_time (object, "endTimeUnixNano", span->end);
  for (i = 0; i < span->attr_count; i++)
    add_attribute (attrs, span->attrs[i].key, span->attrs[i].value);
  if (failed)
    {
      add_attribute (attrs, "error.type", err_code_name (span->err.code));
      add_attribute (attrs, "error.step", span->err.step);
      add_attribute (attrs, "error.peer", span->err.peer);
      add_text (status, "message", span->err.text);
    }
  json_object_object_add (object, "attributes", attrs);
  json_object_object_add (
      status, "code", json_object_new_int (failed ? STATUS_ERROR : STATUS_OK));
  json_object_object_add (object, "status", status);
  return object;
}

/* Wraps SPANS in the document's outer levels.  */
static struct json_object *
otlp_document (const struct span_ring *ring, struct json_object *spans)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *resources = json_object_new_array ();
  struct json_object *entry = json_object_new_object ();
  struct json_object *resource = json_object_new_object ();
  struct json_object *attrs = json_object_new_array ();
  struct json_object *scopes = json_object_new_array ();
  struct json_object *scope_entry = json_object_new_object ();
  struct json_object *scope = json_object_new_object ();

  add_attribute (attrs, "service.name", ring->service);
  add_attribute (attrs, "service.instance.id", ring->instance);
  json_object_object_add (resource, "attributes", attrs);
  add_text (scope, "name", "goldcresthatch");
  json_object_object_add (scope_entry, "scope", scope);
  json_object_object_add (scope_entry, "spans", spans);
  json_object_array_add (scopes, scope_entry);
  json_object_object_add (entry, "resource", resource);
  json_object_object_add (entry, "scopeSpans", scopes);
  json_object_array_add (resources, entry);
  json_object_object_add (root, "resourceSpans", resources);
  return root;
}

size_t
span_export_trace (struct span_ring *ring,
                   const uint8_t trace[SPAN_TRACE_ID_BYTES], GString *out)
{
  struct json_object *spans = json_object_new_array ();
  struct json_object *root = otlp_document (ring, spans);
  const struct span *span;
  size_t found;
  size_t i;

  pthread_mutex_lock (&ring->lock);
  for (i = 0; i < ring->count; i++)
    {
      span = &ring->spans[(ring->next + ring->capacity - ring->count + i)
                          % ring->capacity];
      if (memcmp (span->ctx.trace, trace, SPAN_TRACE_ID_BYTES) == 0)
        json_object_array_add (spans, span_json (span));
    }
  pthread_mutex_unlock (&ring->lock);
  found = json_object_array_length (spans);
  g_string_append (
      out, json_object_to_json_string_ext (
               root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (root);
  return found;
}
