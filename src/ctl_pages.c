#include "ctl.h"

#include <stdio.h>
#include <string.h>

#include "peer.h"

enum
{
  STATUS_OK = 200,
  SPAN_DEPTH_MAX = 64, /* of a tree of spans */
  SPAN_INDENT = 2
};

size_t
ctl_query_peers (struct ctl *ctl, const char *path,
                 void (*take) (void *ctx, const char *peer,
                               struct json_object *answer),
                 void *ctx)
{
  const struct settings_list *peers = &ctl->settings.config_peers;
  struct json_object *answer;
  GString *body = g_string_new (NULL);
  size_t answers = 0;
  struct err err;
  int status;

  for (size_t i = 0; i < peers->count; i++)
    {
      g_string_truncate (body, 0);
      status = peer_get (peers->items[i], path, body, NULL, &err);
      answer = status == STATUS_OK ? json_tokener_parse (body->str) : NULL;
      if (answer != NULL)
        {
          take (ctx, peers->items[i], answer);
          answers++;
          json_object_put (answer);
          continue;
        }
      if (status >= 0)
        err_set (&err, ERR_PROTOCOL, "peer", peers->items[i],
                 "%s: expected status %d and JSON, found status %d%s", path,
                 STATUS_OK, status, status == STATUS_OK ? " and no JSON" : "");
      ctl_fail (&err);
    }
  g_string_free (body, TRUE);
  return answers;
}

static void
collect (void *ctx, const char *peer, struct json_object *answer)
{
  struct json_object *item = json_object_new_object ();

  json_object_object_add (item, "peer", json_object_new_string (peer));
  json_object_object_add (item, "answer", json_object_get (answer));
  json_object_array_add (ctx, item);
}

/* Prints the members of WARNING on one line.  */
static void
print_warning (const char *peer, struct json_object *warning)
{
  const char *separator = ": ";

  fputs (peer, stdout);
  if (json_object_is_type (warning, json_type_object))
    {
      json_object_object_foreach (warning, name, value)
      {
        printf ("%s%s=%s", separator, name, json_object_get_string (value));
        separator = ", ";
      }
    }
  else
    printf (": %s", json_object_to_json_string (warning));
  putchar ('\n');
}

/* Prints the warnings of ANSWER, which is the list or an object with the list
   in its member "warnings".  */
static void
print_warnings (void *ctx, const char *peer, struct json_object *answer)
{
  struct json_object *list = answer;

  (void)ctx;
  if (json_object_is_type (answer, json_type_object))
    list = json_object_object_get (answer, "warnings");
  if (!json_object_is_type (list, json_type_array))
    return;
  for (size_t i = 0; i < json_object_array_length (list); i++)
    print_warning (peer, json_object_array_get_idx (list, i));
}

int
ctl_warnings (struct ctl *ctl)
{
  struct json_object *list = json_object_new_array ();
  size_t answers = ctl_query_peers (
      ctl, "/admin/warnings", ctl->json ? collect : print_warnings, list);

  if (ctl->json)
    ctl_print_json (list);
  else
    json_object_put (list);
  return answers == ctl->settings.config_peers.count ? CTL_OK : CTL_FAILED;
}

static void
put_object (gpointer object)
{
  json_object_put (object);
}

/* Appends the spans in VALUE, an OTLP document or a part of one, to OUT,
   except those with a span id that OUT has already.  */
static void
find_spans (struct json_object *value, GPtrArray *out, int depth)
{
  if (depth > SPAN_DEPTH_MAX)
    return;
  if (json_object_is_type (value, json_type_array))
    for (size_t i = 0; i < json_object_array_length (value); i++)
      find_spans (json_object_array_get_idx (value, i), out, depth + 1);
  if (!json_object_is_type (value, json_type_object))
    return;
  if (json_object_object_get (value, "spanId") != NULL)
    {
      for (guint i = 0; i < out->len; i++)
        if (strcmp (ctl_text (g_ptr_array_index (out, i), "spanId"),
                    ctl_text (value, "spanId"))
            == 0)
          return;
      g_ptr_array_add (out, json_object_get (value));
      return;
    }
  json_object_object_foreach (value, name, member)
  {
    (void)name;
    find_spans (member, out, depth + 1);
  }
}

static void
collect_spans (void *ctx, const char *peer, struct json_object *answer)
{
  (void)peer;
  find_spans (answer, ctx, 0);
}

static bool
has_parent (const GPtrArray *spans, struct json_object *span)
{
  const char *parent = ctl_text (span, "parentSpanId");

  for (guint i = 0; i < spans->len; i++)
    if (strcmp (ctl_text (g_ptr_array_index (spans, i), "spanId"), parent)
        == 0)
      return true;
  return false;
}

static void
print_span (const GPtrArray *spans, struct json_object *span, int depth)
{
  long long start_ns
      = g_ascii_strtoll (ctl_text (span, "startTimeUnixNano"), NULL, 10);
  long long end_ns
      = g_ascii_strtoll (ctl_text (span, "endTimeUnixNano"), NULL, 10);

  printf ("%*s%s %.3f ms\n", depth * SPAN_INDENT, "", ctl_text (span, "name"),
          (double)(end_ns - start_ns) / 1e6);
  for (guint i = 0; i < spans->len && depth < SPAN_DEPTH_MAX; i++)
    if (strcmp (ctl_text (g_ptr_array_index (spans, i), "parentSpanId"),
                ctl_text (span, "spanId"))
        == 0)
      print_span (spans, g_ptr_array_index (spans, i), depth + 1);
}

int
ctl_trace (struct ctl *ctl)
{
  GPtrArray *spans = g_ptr_array_new_with_free_func (put_object);
  struct json_object *list = json_object_new_array ();
  char *id = g_uri_escape_string (ctl->args[0], NULL, FALSE);
  char *path = g_strdup_printf ("/admin/trace?id=%s", id);
  size_t answers
      = ctl_query_peers (ctl, path, ctl->json ? collect : collect_spans,
                         ctl->json ? (void *)list : (void *)spans);

  for (guint i = 0; i < spans->len; i++)
    if (!has_parent (spans, g_ptr_array_index (spans, i)))
      print_span (spans, g_ptr_array_index (spans, i), 0);
  if (ctl->json)
    ctl_print_json (list);
  else
    json_object_put (list);
  if (answers > 0 && spans->len == 0 && !ctl->json)
    printf ("no spans of trace %s\n", ctl->args[0]);
  g_ptr_array_unref (spans);
  g_free (path);
  g_free (id);
  return answers > 0 ? CTL_OK : CTL_FAILED;
}
