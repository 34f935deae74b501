#include "goldcresthatch/set.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct reader
{
  const char *name;
  GString *errors;
  int failed;
};

static void fail (struct reader *reader, const char *member, const char *fmt,
                  ...) __attribute__ ((format (printf, 3, 4)));

static void
fail (struct reader *reader, const char *member, const char *fmt, ...)
{
  va_list ap;

  reader->failed = 1;
  g_string_append_printf (reader->errors, "%s: %s: ", reader->name, member);
  va_start (ap, fmt);
  g_string_append_vprintf (reader->errors, fmt, ap);
  va_end (ap);
  g_string_append_c (reader->errors, '\n');
}

int
set_is_address (const char *s)
{
  const char *colon = strrchr (s, ':');
  char host[INET_ADDRSTRLEN];
  struct in_addr addr;
  char *end;
  long port;

  if (colon == NULL || (size_t)(colon - s) >= sizeof host)
    return 0;
  memcpy (host, s, (size_t)(colon - s));
  host[colon - s] = '\0';
  port = strtol (colon + 1, &end, 10);
  return inet_pton (AF_INET, host, &addr) == 1 && end != colon + 1
         && *end == '\0' && port > 0 && port <= UINT16_MAX;
}

static int
word_allowed (const char *words, const char *value)
{
  char **list = g_strsplit (words, "|", -1);
  int found = g_strv_contains ((const char *const *)list, value);

  g_strfreev (list);
  return found;
}

static void
read_text (struct reader *reader, const struct set_member *member,
           struct json_object *value, char *dst)
{
  const char *text = json_object_get_string (value);

  if (!json_object_is_type (value, json_type_string)
      || json_object_get_string_len (value) == 0
      || json_object_get_string_len (value) >= SET_TEXT_MAX)
    fail (reader, member->name, "expected a text of 1 to %d bytes",
          SET_TEXT_MAX - 1);
  else if (member->kind == SET_ADDRESS && !set_is_address (text))
    fail (reader, member->name, "expected \"IP:PORT\", found \"%s\"", text);
  else if (member->words != NULL && !word_allowed (member->words, text))
    fail (reader, member->name, "expected one of %s, found \"%s\"",
          member->words, text);
  else
    snprintf (dst, SET_TEXT_MAX, "%s", text);
}

static void
read_number (struct reader *reader, const struct set_member *member,
             struct json_object *value, int64_t *dst)
{
  int64_t number = json_object_get_int64 (value);

  if (!json_object_is_type (value, json_type_int) || number < member->min
      || number > member->max)
    fail (reader, member->name,
          "expected a whole number from %lld to %lld, found %s",
          (long long)member->min, (long long)member->max,
          json_object_to_json_string (value));
  else
    *dst = number;
}

static void
read_list (struct reader *reader, const struct set_member *member,
           struct json_object *value, struct set_list *dst)
{
  size_t count;
  size_t i;

  if (!json_object_is_type (value, json_type_array)
      || json_object_array_length (value) > SET_LIST_MAX)
    {
      fail (reader, member->name, "expected a list of at most %d items",
            SET_LIST_MAX);
      return;
    }
  count = json_object_array_length (value);
  for (i = 0; i < count; i++)
    {
      struct json_object *item = json_object_array_get_idx (value, i);

      if (!json_object_is_type (item, json_type_string)
          || json_object_get_string_len (item) >= SET_TEXT_MAX)
        fail (reader, member->name, "item %zu: expected a text", i);
      else if (member->kind == SET_ADDRESSES
               && !set_is_address (json_object_get_string (item)))
        fail (reader, member->name, "item %zu: expected \"IP:PORT\"", i);
      else
        snprintf (dst->items[i], SET_TEXT_MAX, "%s",
                  json_object_get_string (item));
    }
  dst->count = count;
}

static void
read_member (struct reader *reader, const struct set_member *member,
             struct json_object *root, void *out)
{
  char *at = (char *)out + member->offset;
  struct json_object *value;

  if (!json_object_object_get_ex (root, member->name, &value))
    {
      if (member->required)
        fail (reader, member->name, "missing");
      else if (member->kind == SET_NUMBER)
        *(int64_t *)at = member->number;
      else if (member->text != NULL)
        snprintf (at, SET_TEXT_MAX, "%s", member->text);
      return;
    }
  switch (member->kind)
    {
    case SET_TEXT:
    case SET_ADDRESS:
      read_text (reader, member, value, at);
      return;
    case SET_NUMBER:
      read_number (reader, member, value, (int64_t *)at);
      return;
    case SET_ADDRESSES:
    case SET_TEXTS:
      read_list (reader, member, value, (struct set_list *)at);
      return;
    }
}

static void
find_unknown (struct reader *reader, struct json_object *root,
              const struct set_member *table, size_t count)
{
  size_t i;

  json_object_object_foreach (root, name, value)
  {
    (void)value;
    for (i = 0; i < count; i++)
      if (strcmp (table[i].name, name) == 0)
        break;
    if (i == count)
      fail (reader, name, "unknown member");
  }
}

static int
line_at (const char *text, size_t offset)
{
  int line = 1;
  size_t i;

  for (i = 0; i < offset; i++)
    if (text[i] == '\n')
      line++;
  return line;
}

int
set_parse (const char *name, const char *text, size_t size,
           const struct set_member *table, size_t count, void *out,
           GString *errors)
{
  struct reader reader = { name, errors, 0 };
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *root;
  size_t i;

  /* The terminating zero byte lets the tokener see the end of the text.  */
  root = json_tokener_parse_ex (tokener, text, (int)size + 1);
  if (root == NULL || !json_object_is_type (root, json_type_object))
    {
      g_string_append_printf (
          errors, "%s:%d: expected a JSON object: %s\n", name,
          line_at (text, json_tokener_get_parse_end (tokener)),
          json_tokener_error_desc (json_tokener_get_error (tokener)));
      reader.failed = 1;
      goto out;
    }
  find_unknown (&reader, root, table, count);
  for (i = 0; i < count; i++)
    read_member (&reader, &table[i], root, out);
out:
  json_object_put (root);
  json_tokener_free (tokener);
  return reader.failed ? -1 : 0;
}

int
set_read (const char *file, const struct set_member *table, size_t count,
          void *out, GString *errors)
{
  GError *error = NULL;
  char *text;
  gsize size;
  int rc;

  if (!g_file_get_contents (file, &text, &size, &error))
    {
      g_string_append_printf (errors, "%s\n", error->message);
      g_error_free (error);
      return -1;
    }
  rc = set_parse (file, text, size, table, count, out, errors);
  g_free (text);
  return rc;
}
