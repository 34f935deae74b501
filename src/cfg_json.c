#include "cfg_private.h"

#include <stdarg.h>
#include <string.h>

static void
problem_free (void *data)
{
  struct cfg_problem *problem = data;

  g_free (problem->source);
  g_free (problem->path);
  g_free (problem->text);
  g_free (problem);
}

GPtrArray *
cfg_problems_new (void)
{
  return g_ptr_array_new_with_free_func (problem_free);
}

char *
cfg_problems_text (const GPtrArray *problems)
{
  GString *out = g_string_new (NULL);

  for (guint i = 0; i < problems->len; i++)
    {
      const struct cfg_problem *problem = problems->pdata[i];

      g_string_append (out, problem->source);
      if (problem->line != 0)
        g_string_append_printf (out, ":%u", problem->line);
      if (problem->path[0] != '\0')
        g_string_append_printf (out, ": %s", problem->path);
      g_string_append_printf (out, ": %s\n", problem->text);
    }
  return g_string_free (out, FALSE);
}

void
cfg_input_init (struct cfg_input *in, const char *source, GPtrArray *problems)
{
  in->source = source;
  in->lines = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  in->problems
      = problems != NULL ? g_ptr_array_ref (problems) : cfg_problems_new ();
}

void
cfg_input_clear (struct cfg_input *in)
{
  g_hash_table_unref (in->lines);
  g_ptr_array_unref (in->problems);
}

/* Returns the line of PATH, else of its nearest parent with a line, else 0. */
static unsigned
line_of (const struct cfg_input *in, const char *path)
{
  char *prefix = g_strdup (path);
  unsigned line = 0;

  for (size_t n = strlen (prefix); n > 0 && line == 0; n--)
    {
      bool whole = path[n] == '\0' || path[n] == '.' || path[n] == '[';

      prefix[n] = '\0';
      if (whole)
        line = GPOINTER_TO_UINT (g_hash_table_lookup (in->lines, prefix));
    }
  g_free (prefix);
  return line;
}

static void
add_problem_at (struct cfg_input *in, unsigned line, const char *path,
                char *text)
{
  struct cfg_problem *problem = g_new0 (struct cfg_problem, 1);

  problem->source = g_strdup (in->source);
  problem->line = line;
  problem->path = g_strdup (path);
  problem->text = text;
  g_ptr_array_add (in->problems, problem);
}

void
cfg_problem_add (struct cfg_input *in, const char *path, const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  add_problem_at (in, line_of (in, path), path, g_strdup_vprintf (fmt, ap));
  va_end (ap);
}

static unsigned
count_lines (const char *from, const char *to)
{
  unsigned line = 1;

  for (; from < to; from++)
    line += *from == '\n';
  return line;
}

/* Overwrites comments with spaces.  json-c accepts comments only in its
   lenient mode, which also accepts trailing commas.  */
static void
blank_comments (char *p)
{
  while (*p != '\0')
    {
      if (*p == '"')
        {
          for (p++; *p != '\0' && *p != '"'; p++)
            if (*p == '\\' && p[1] != '\0')
              p++;
          p += *p == '"';
        }
      else if (p[0] == '/' && p[1] == '/')
        while (*p != '\0' && *p != '\n')
          *p++ = ' ';
      else if (p[0] == '/' && p[1] == '*')
        {
          const char *end = strstr (p + 2, "*/");

          if (end == NULL)
            return;
          for (end += 2; p < end; p++)
            if (*p != '\n')
              *p = ' ';
        }
      else
        p++;
    }
}

struct scan
{
  struct cfg_input *in;
  const char *p;
  const char *counted; /* position that LINE refers to */
  unsigned line;
  GString *path;
};

static void
skip_space (struct scan *scan)
{
  scan->p += strspn (scan->p, " \t\r\n");
  scan->line += count_lines (scan->counted, scan->p) - 1;
  scan->counted = scan->p;
}

/* Scans a string and returns its decoded value, or null when the text is not a
   string.  */
static char *
scan_string (struct scan *scan)
{
  const char *start = scan->p;
  struct json_object *value;
  char *raw;
  char *out;

  if (*scan->p++ != '"')
    return NULL;
  for (; *scan->p != '"'; scan->p++)
    {
      if (*scan->p == '\\')
        scan->p++;
      if ((unsigned char)*scan->p < ' ')
        return NULL;
    }
  scan->p++;
  raw = g_strndup (start, (gsize)(scan->p - start));
  if (strchr (raw, '\\') == NULL)
    out = g_strndup (raw + 1, strlen (raw) - 2);
  else
    {
      value = json_tokener_parse (raw);
      out = g_strdup (json_object_get_string (value));
      json_object_put (value);
    }
  g_free (raw);
  return out;
}

static size_t
count_digits (const char *p)
{
  return strspn (p, "0123456789");
}

/* Returns the length of the number at P, or 0 when there is none.  */
static size_t
number_length (const char *p)
{
  const char *start = p;
  size_t digits;

  p += *p == '-';
  digits = count_digits (p);
  if (digits == 0 || (digits > 1 && *p == '0'))
    return 0;
  p += digits;
  if (*p == '.')
    {
      digits = count_digits (++p);
      if (digits == 0)
        return 0;
      p += digits;
    }
  if (*p == 'e' || *p == 'E')
    {
      p++;
      p += *p == '+' || *p == '-';
      digits = count_digits (p);
      if (digits == 0)
        return 0;
      p += digits;
    }
  return (size_t)(p - start);
}

static bool
scan_literal (struct scan *scan)
{
  static const char *const words[] = { "true", "false", "null" };
  size_t length = number_length (scan->p);

  for (size_t i = 0; length == 0 && i < G_N_ELEMENTS (words); i++)
    if (g_str_has_prefix (scan->p, words[i]))
      length = strlen (words[i]);
  scan->p += length;
  return length > 0;
}

static bool scan_value (struct scan *scan);

static bool
scan_member (struct scan *scan, GHashTable *names)
{
  gsize length = scan->path->len;
  unsigned line = scan->line;
  char *name = scan_string (scan);
  bool valid;

  if (name == NULL)
    return false;
  if (length > 0)
    g_string_append_c (scan->path, '.');
  g_string_append (scan->path, name);
  if (!g_hash_table_add (names, name))
    add_problem_at (
        scan->in, line, scan->path->str,
        g_strdup ("expected one member of this name, found another"));
  g_hash_table_replace (scan->in->lines, g_strdup (scan->path->str),
                        GUINT_TO_POINTER (line));
  skip_space (scan);
  valid = *scan->p == ':';
  if (valid)
    {
      scan->p++;
      valid = scan_value (scan);
    }
  g_string_truncate (scan->path, length);
  return valid;
}

static bool
scan_element (struct scan *scan, unsigned index)
{
  gsize length = scan->path->len;
  bool valid;

  g_string_append_printf (scan->path, "[%u]", index);
  g_hash_table_replace (scan->in->lines, g_strdup (scan->path->str),
                        GUINT_TO_POINTER (scan->line));
  valid = scan_value (scan);
  g_string_truncate (scan->path, length);
  return valid;
}

/* Scans an object or array from its opening to its closing bracket.  */
static bool
scan_entries (struct scan *scan, char open, GHashTable *names)
{
  char close = open == '{' ? '}' : ']';

  scan->p++;
  skip_space (scan);
  if (*scan->p == close)
    {
      scan->p++;
      return true;
    }
  for (unsigned i = 0;; i++)
    {
      if (!(open == '{' ? scan_member (scan, names) : scan_element (scan, i)))
        return false;
      skip_space (scan);
      if (*scan->p == close)
        {
          scan->p++;
          return true;
        }
      if (*scan->p != ',')
        return false;
      scan->p++;
      skip_space (scan);
    }
}

/* Scans a value that json-c has accepted, which bounds the recursion.  json-c
   accepts some text that is not JSON even in strict mode, so the scan checks
   the syntax again.  */
static bool
scan_value (struct scan *scan)
{
  GHashTable *names;
  bool valid;
  char open;

  skip_space (scan);
  open = *scan->p;
  if (open == '"')
    {
      char *text = scan_string (scan);

      valid = text != NULL;
      g_free (text);
      return valid;
    }
  if (open != '{' && open != '[')
    return scan_literal (scan);
  names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  valid = scan_entries (scan, open, names);
  g_hash_table_unref (names);
  return valid;
}

/* Reports repeated members and records the line of every member.  */
static void
scan_text (struct cfg_input *in, const char *text)
{
  struct scan scan = { in, text, text, 1, g_string_new (NULL) };
  bool valid = scan_value (&scan);

  skip_space (&scan);
  if (!valid || *scan.p != '\0')
    add_problem_at (in, count_lines (text, scan.p), "",
                    g_strdup ("expected strict JSON"));
  g_string_free (scan.path, TRUE);
}

struct json_object *
cfg_json_read (struct cfg_input *in, const char *text, size_t size)
{
  struct json_tokener *tok = json_tokener_new ();
  struct json_object *value = NULL;
  enum json_tokener_error error;
  char *copy = g_strndup (text, size);

  json_tokener_set_flags (tok,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  blank_comments (copy);
  if (strlen (copy) < size)
    add_problem_at (in, count_lines (copy, copy + strlen (copy)), "",
                    g_strdup ("expected text without zero bytes"));
  else if (size > KV_VALUE_MAX_BYTES)
    add_problem_at (
        in, 0, "",
        g_strdup_printf ("expected at most %d bytes", KV_VALUE_MAX_BYTES));
  else
    {
      value = json_tokener_parse_ex (tok, copy, (int)size + 1);
      error = json_tokener_get_error (tok);
      if (error != json_tokener_success)
        add_problem_at (
            in,
            count_lines (copy,
                         copy + MIN (json_tokener_get_parse_end (tok), size)),
            "",
            g_strdup_printf ("expected JSON: %s",
                             json_tokener_error_desc (error)));
      else
        scan_text (in, copy);
    }
  json_tokener_free (tok);
  g_free (copy);
  return value;
}
