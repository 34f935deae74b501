#include "goldcresthatch/settings.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "num.h"

enum
{
  FOUND_MAX_BYTES = 80 /* of an invalid value in an error */
};

/* Position of a member of the outer object.  */
struct member_position
{
  char *name;
  int line;
};

struct reader
{
  const char *name;
  GString *errors;
  GArray *positions; /* struct member_position, in text order */
  int trailing_line; /* of text after the outer object, or 0 */
  int failed;
};

static void report_error (struct reader *reader, const char *member,
                          const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Returns the line of MEMBER, the last one if it is repeated, or 0.  */
static int
line_of (const struct reader *reader, const char *member)
{
  int line = 0;
  guint i;

  for (i = 0; i < reader->positions->len; i++)
    if (strcmp (
            g_array_index (reader->positions, struct member_position, i).name,
            member)
        == 0)
      line = g_array_index (reader->positions, struct member_position, i).line;
  return line;
}

static void
report_error (struct reader *reader, const char *member, const char *fmt, ...)
{
  int line = line_of (reader, member);
  char *escaped = g_strescape (member, NULL);
  va_list ap;

  reader->failed = 1;
  g_string_append (reader->errors, reader->name);
  if (line > 0)
    g_string_append_printf (reader->errors, ":%d", line);
  g_string_append_printf (reader->errors, ": %.80s: ", escaped);
  g_free (escaped);
  va_start (ap, fmt);
  g_string_append_vprintf (reader->errors, fmt, ap);
  va_end (ap);
  g_string_append_c (reader->errors, '\n');
}

int
settings_parse_address (const char *s, struct sockaddr_in *sin)
{
  const char *colon = strrchr (s, ':');
  char host[INET_ADDRSTRLEN];
  uint64_t port;

  if (colon == NULL || (size_t)(colon - s) >= sizeof host
      || num_parse (colon + 1, 10, 1, UINT16_MAX, &port) != 0)
    return -1;
  memcpy (host, s, (size_t)(colon - s));
  host[colon - s] = '\0';
  memset (sin, 0, sizeof *sin);
  sin->sin_family = AF_INET;
  sin->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, host, &sin->sin_addr) == 1 ? 0 : -1;
}

int
settings_is_address (const char *s)
{
  struct sockaddr_in sin;

  return settings_parse_address (s, &sin) == 0;
}

static int
is_allowed_word (const char *words, const char *value)
{
  char **list = g_strsplit (words, "|", -1);
  int allowed = g_strv_contains ((const char *const *)list, value);

  g_strfreev (list);
  return allowed;
}

static const char *
value_text (struct json_object *value)
{
  return json_object_to_json_string_ext (
      value, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
}

static size_t
text_limit (const struct settings_member *member)
{
  return member->kind == SETTINGS_TEXT && member->max > 0
             ? (size_t)member->max
             : SETTINGS_TEXT_BYTES - 1;
}

static void
read_text (struct reader *reader, const struct settings_member *member,
           struct json_object *value, char *dst)
{
  const char *text = json_object_get_string (value);

  if (!json_object_is_type (value, json_type_string)
      || json_object_get_string_len (value) == 0
      || (size_t)json_object_get_string_len (value) > text_limit (member)
      || strlen (text) != (size_t)json_object_get_string_len (value))
    report_error (reader, member->name,
                  "expected a text of 1 to %zu bytes, found %.*s",
                  text_limit (member), FOUND_MAX_BYTES, value_text (value));
  else if (member->kind == SETTINGS_ADDRESS && !settings_is_address (text))
    report_error (reader, member->name, "expected \"IP:PORT\", found %.*s",
                  FOUND_MAX_BYTES, value_text (value));
  else if (member->words != NULL && !is_allowed_word (member->words, text))
    report_error (reader, member->name, "expected one of %s, found %.*s",
                  member->words, FOUND_MAX_BYTES, value_text (value));
  else
    snprintf (dst, SETTINGS_TEXT_BYTES, "%s", text);
}

static void
read_number (struct reader *reader, const struct settings_member *member,
             struct json_object *value, int64_t *dst)
{
  int64_t number = json_object_get_int64 (value);

  if (!json_object_is_type (value, json_type_int) || number < member->min
      || number > member->max)
    report_error (reader, member->name,
                  "expected a whole number from %lld to %lld, found %.*s",
                  (long long)member->min, (long long)member->max,
                  FOUND_MAX_BYTES, value_text (value));
  else
    *dst = number;
}

static void
read_real (struct reader *reader, const struct settings_member *member,
           struct json_object *value, double *dst)
{
  double real = json_object_get_double (value);

  if ((!json_object_is_type (value, json_type_double)
       && !json_object_is_type (value, json_type_int))
      || !(real >= member->low && real <= member->high))
    report_error (reader, member->name,
                  "expected a number from %g to %g, found %.*s", member->low,
                  member->high, FOUND_MAX_BYTES, value_text (value));
  else
    *dst = real;
}

static int
is_valid_item (const struct settings_member *member, struct json_object *item)
{
  return json_object_is_type (item, json_type_string)
         && json_object_get_string_len (item) < SETTINGS_TEXT_BYTES
         && (member->kind != SETTINGS_ADDRESSES
             || settings_is_address (json_object_get_string (item)));
}

static void
read_list (struct reader *reader, const struct settings_member *member,
           struct json_object *value, struct settings_list *dst)
{
  int addresses = member->kind == SETTINGS_ADDRESSES;
  size_t count;
  size_t i;

  if (!json_object_is_type (value, json_type_array)
      || json_object_array_length (value) > SETTINGS_LIST_MAX)
    {
      report_error (reader, member->name,
                    "expected a list of at most %d %s, found %.*s",
                    SETTINGS_LIST_MAX, addresses ? "addresses" : "texts",
                    FOUND_MAX_BYTES, value_text (value));
      return;
    }
  count = json_object_array_length (value);
  for (i = 0; i < count; i++)
    {
      struct json_object *item = json_object_array_get_idx (value, i);

      if (!is_valid_item (member, item))
        report_error (reader, member->name,
                      "item %zu: expected %s, found %.*s", i + 1,
                      addresses ? "\"IP:PORT\"" : "a text", FOUND_MAX_BYTES,
                      value_text (item));
      else
        snprintf (dst->items[i], SETTINGS_TEXT_BYTES, "%s",
                  json_object_get_string (item));
    }
  dst->count = count;
}

static void
read_member (struct reader *reader, const struct settings_member *member,
             struct json_object *root, void *out)
{
  char *at = (char *)out + member->offset;
  struct json_object *value;

  if (!json_object_object_get_ex (root, member->name, &value))
    {
      if (member->required)
        report_error (reader, member->name, "missing, expected %s",
                      member->kind == SETTINGS_ADDRESS ? "\"IP:PORT\""
                      : member->words != NULL          ? member->words
                                                       : "a text");
      else if (member->kind == SETTINGS_NUMBER)
        *(int64_t *)at = member->number;
      else if (member->kind == SETTINGS_REAL)
        *(double *)at = member->real;
      else if (member->text != NULL)
        snprintf (at, SETTINGS_TEXT_BYTES, "%s", member->text);
      return;
    }
  switch (member->kind)
    {
    case SETTINGS_TEXT:
    case SETTINGS_ADDRESS:
      read_text (reader, member, value, at);
      return;
    case SETTINGS_NUMBER:
      read_number (reader, member, value, (int64_t *)at);
      return;
    case SETTINGS_REAL:
      read_real (reader, member, value, (double *)at);
      return;
    case SETTINGS_ADDRESSES:
    case SETTINGS_TEXTS:
      read_list (reader, member, value, (struct settings_list *)at);
      return;
    }
}

static void
check_unknown (struct reader *reader, struct json_object *root,
               const struct settings_member *table, size_t count)
{
  size_t i;

  json_object_object_foreach (root, name, value)
  {
    (void)value;
    for (i = 0; i < count; i++)
      if (strcmp (table[i].name, name) == 0)
        break;
    if (i == count)
      report_error (reader, name,
                    "unknown member, expected a member of the manual page");
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

/* Returns the offset after the white space or comment at TEXT + AT, or AT.  */
static size_t
skip_blank (const char *text, size_t size, size_t at)
{
  const char *end;

  if (strchr (" \t\r\n", text[at]) != NULL && text[at] != '\0')
    return at + 1;
  if (text[at] != '/' || at + 1 >= size)
    return at;
  if (text[at + 1] == '/')
    end = memchr (text + at, '\n', size - at);
  else if (text[at + 1] == '*')
    {
      end = g_strstr_len (text + at + 2, (gssize)(size - at - 2), "*/");
      end = end != NULL ? end + 2 : NULL;
    }
  else
    return at;
  return end != NULL ? (size_t)(end - text) : size;
}

/* Returns the offset of the quote that ends the string at TEXT + AT.  */
static size_t
string_end (const char *text, size_t size, size_t at)
{
  size_t i;

  for (i = at + 1; i < size && text[i] != text[at]; i++)
    if (text[i] == '\\')
      i++;
  return MIN (i, size);
}

/* Records the lines of the members of the outer object and of any text after
   it.  json-c keeps no line numbers, takes the last of repeated members and
   ignores trailing text.  */
static void
find_member_lines (struct reader *reader, const char *text, size_t size)
{
  char before = '\0'; /* last character that is not blank */
  int depth = 0;
  size_t i = 0;
  size_t next;

  for (; i < size; i = next)
    {
      next = skip_blank (text, size, i);
      if (next != i)
        continue;
      next = i + 1;
      if (depth == 0 && before != '\0')
        {
          reader->trailing_line = line_at (text, i);
          return;
        }
      if (text[i] == '"' || text[i] == '\'')
        {
          next = string_end (text, size, i) + 1;
          if (depth == 1 && (before == '{' || before == ','))
            {
              struct member_position position
                  = { g_strndup (text + i + 1, next - i - 2),
                      line_at (text, i) };

              g_array_append_val (reader->positions, position);
            }
        }
      else if (text[i] == '{' || text[i] == '[')
        depth++;
      else if (text[i] == '}' || text[i] == ']')
        depth--;
      before = text[i];
    }
}

static void
check_repeated (struct reader *reader)
{
  guint i;
  guint k;

  for (i = 0; i < reader->positions->len; i++)
    for (k = 0; k < i; k++)
      {
        const struct member_position *first
            = &g_array_index (reader->positions, struct member_position, k);
        const struct member_position *second
            = &g_array_index (reader->positions, struct member_position, i);

        if (strcmp (first->name, second->name) != 0)
          continue;
        report_error (reader, second->name, "expected once, first on line %d",
                      first->line);
        break;
      }
}

static void
clear_position (gpointer data)
{
  g_free (((struct member_position *)data)->name);
}

int
settings_parse (const char *name, const char *text, size_t size,
                const struct settings_member *table, size_t count, void *out,
                GString *errors)
{
  struct reader reader = { .name = name, .errors = errors };
  struct json_tokener *tokener = json_tokener_new ();
  enum json_tokener_error problem;
  struct json_object *root;
  size_t i;

  reader.positions
      = g_array_new (FALSE, FALSE, sizeof (struct member_position));
  g_array_set_clear_func (reader.positions, clear_position);
  /* The terminating zero byte lets the tokener see the end of the text.  */
  root = json_tokener_parse_ex (tokener, text, (int)size + 1);
  if (root == NULL || !json_object_is_type (root, json_type_object))
    {
      problem = json_tokener_get_error (tokener);
      g_string_append_printf (
          errors, "%s:%d: expected a JSON object%s%s\n", name,
          line_at (text, json_tokener_get_parse_end (tokener)),
          problem != json_tokener_success ? ": " : "",
          problem != json_tokener_success ? json_tokener_error_desc (problem)
                                          : "");
      reader.failed = 1;
      goto out;
    }
  find_member_lines (&reader, text, size);
  if (reader.trailing_line > 0)
    {
      g_string_append_printf (
          errors, "%s:%d: expected nothing after the JSON object\n", name,
          reader.trailing_line);
      reader.failed = 1;
    }
  check_repeated (&reader);
  check_unknown (&reader, root, table, count);
  for (i = 0; i < count; i++)
    read_member (&reader, &table[i], root, out);
out:
  g_array_free (reader.positions, TRUE);
  json_object_put (root);
  json_tokener_free (tokener);
  return reader.failed ? -1 : 0;
}

int
settings_read (const char *file, const struct settings_member *table,
               size_t count, void *out, GString *errors)
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
  rc = settings_parse (file, text, size, table, count, out, errors);
  g_free (text);
  return rc;
}
