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
add_at (struct cfg_input *in, unsigned line, const char *path, char *text)
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
  add_at (in, line_of (in, path), path, g_strdup_vprintf (fmt, ap));
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
  const char *counted; /* LINE is the line of this position */
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

/* Steps over a string and returns its decoded value.  */
static char *
scan_string (struct scan *scan)
{
  const char *start = scan->p++;
  struct json_object *value;
  char *raw;
  char *out;

  while (*scan->p != '"')
    scan->p += *scan->p == '\\' ? 2 : 1;
  scan->p++;
  raw = g_strndup (start, (gsize)(scan->p - start));
  value = json_tokener_parse (raw);
  out = g_strdup (json_object_get_string (value));
  json_object_put (value);
  g_free (raw);
  return out;
}

static void scan_value (struct scan *scan);

static void
scan_member (struct scan *scan, GHashTable *seen)
{
  gsize length = scan->path->len;
  unsigned line = scan->line;
  char *name = scan_string (scan);

  if (length > 0)
    g_string_append_c (scan->path, '.');
  g_string_append (scan->path, name);
  if (!g_hash_table_add (seen, name))
    add_at (scan->in, line, scan->path->str,
            g_strdup ("expected one member of this name, found another"));
  g_hash_table_replace (scan->in->lines, g_strdup (scan->path->str),
                        GUINT_TO_POINTER (line));
  skip_space (scan);
  scan->p++; /* colon */
  scan_value (scan);
  g_string_truncate (scan->path, length);
}

static void
scan_element (struct scan *scan, unsigned index)
{
  gsize length = scan->path->len;

  g_string_append_printf (scan->path, "[%u]", index);
  g_hash_table_replace (scan->in->lines, g_strdup (scan->path->str),
                        GUINT_TO_POINTER (scan->line));
  scan_value (scan);
  g_string_truncate (scan->path, length);
}

/* Walks text that json-c has accepted in strict mode, so the syntax is not
   checked again.  json-c bounds the depth.  */
static void
scan_value (struct scan *scan)
{
  GHashTable *seen;
  char open;

  skip_space (scan);
  open = *scan->p;
  if (open == '"')
    {
      g_free (scan_string (scan));
      return;
    }
  if (open != '{' && open != '[')
    {
      scan->p += strcspn (scan->p, ",]} \t\r\n");
      return;
    }
  seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  scan->p++;
  skip_space (scan);
  for (unsigned i = 0; *scan->p != '}' && *scan->p != ']'; i++)
    {
      if (open == '{')
        scan_member (scan, seen);
      else
        scan_element (scan, i);
      skip_space (scan);
      scan->p += *scan->p == ',';
      skip_space (scan);
    }
  scan->p++;
  g_hash_table_unref (seen);
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
    add_at (in, count_lines (copy, copy + strlen (copy)), "",
            g_strdup ("expected text without zero bytes"));
  else if (size > KV_VALUE_MAX)
    add_at (in, 0, "",
            g_strdup_printf ("expected at most %d bytes", KV_VALUE_MAX));
  else
    {
      value = json_tokener_parse_ex (tok, copy, (int)size + 1);
      error = json_tokener_get_error (tok);
      if (error != json_tokener_success)
        add_at (in,
                count_lines (
                    copy, copy + MIN (json_tokener_get_parse_end (tok), size)),
                "",
                g_strdup_printf ("expected JSON: %s",
                                 json_tokener_error_desc (error)));
      else
        {
          struct scan scan = { in, copy, copy, 1, g_string_new (NULL) };

          scan_value (&scan);
          g_string_free (scan.path, TRUE);
        }
    }
  json_tokener_free (tok);
  g_free (copy);
  return value;
}
