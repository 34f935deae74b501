/* The command explain: collects the log lines of one request from gateways'
   log files and prints how the request ended.  */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

enum
{
  /* Longest log line; the gateway writes no longer ones.  */
  LINE_MAX_BYTES = 16 * 1024
};

/* Explanations of the events that end a request.  A null WHY matches any
   reason.  */
static const struct
{
  const char *event;
  const char *why;
  const char *meaning;
} meanings[] = {
  { "answered", NULL, "a runner's answer was passed on whole" },
  { "passed", NULL,
    "a runner's failure was passed on; another send was not allowed" },
  { "left", NULL, "the caller left before its answer was complete" },
  { "refused", "late",
    "not run: by the load known then, no engine would have answered in time" },
  { "refused", "no runner",
    "not run: no runner of the service was usable here" },
  { "refused", "no connection",
    "not run: no connection to the runner could be opened" },
  { "refused", "not run",
    "not run: the runners refused it, and no other send was allowed" },
  { "refused", "relay",
    "not run: refused by the gateway that it was relayed"
    " to; look at that gateway's lines" },
  { "refused", "no configuration yet",
    "not run: this gateway had not read a configuration yet" },
  { "refused", "no route", "no route of this configuration matches" },
  { "refused", "stopping",
    "not run: this gateway was stopping and could not have finished it" },
  { "refused", "malformed", "the request's fields could not be read" },
  { "refused", NULL, "not run" },
  { "failed", "deadline",
    "outcome unknown: sent to a runner, which had not answered in time" },
  { "failed", "stopping",
    "outcome unknown: this gateway stopped while a runner was at work" },
  { "failed", NULL,
    "outcome unknown: it was sent to a runner, which was lost"
    " or failed" },
  { "cut", NULL, "the answer broke off after part of it was passed on" },
};

struct log_line
{
  long long time_ms;
  guint number;
  struct json_object *line;
};

static void
log_line_clear (gpointer data)
{
  struct log_line *entry = data;

  json_object_put (entry->line);
}

static gint
compare_time (gconstpointer a, gconstpointer b)
{
  const struct log_line *x = a;
  const struct log_line *y = b;

  if (x->time_ms != y->time_ms)
    return x->time_ms < y->time_ms ? -1 : 1;
  return (x->number > y->number) - (x->number < y->number);
}

/* Adds LINE if it is of the request ID.  Text before the JSON is skipped,
   because log collectors may add a prefix.  */
static void
add_line (GArray *lines, const char *line, const char *id)
{
  const char *start = strchr (line, '{');
  struct json_object *object;
  struct log_line entry;

  if (start == NULL || strstr (start, id) == NULL)
    return;
  object = json_tokener_parse (start);
  if (object == NULL)
    return;
  if (strcmp (ctl_text (object, "id"), id) != 0)
    {
      json_object_put (object);
      return;
    }
  entry.time_ms = ctl_number (object, "t");
  entry.number = lines->len;
  entry.line = object;
  g_array_append_val (lines, entry);
}

static int
read_file (GArray *lines, const char *path, const char *id)
{
  char line[LINE_MAX_BYTES];
  struct err err;
  FILE *file = fopen (path, "r");

  if (file == NULL)
    {
      err_set (&err, ERR_IO, "read log", path, "%s", strerror (errno));
      return ctl_fail (&err);
    }
  while (fgets (line, sizeof line, file) != NULL)
    add_line (lines, line, id);
  fclose (file);
  return CTL_OK;
}

static const char *
meaning_of (struct json_object *line)
{
  const char *event = ctl_text (line, "event");
  const char *why = ctl_text (line, "why");
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (meanings); i++)
    if (strcmp (meanings[i].event, event) == 0
        && (meanings[i].why == NULL || strcmp (meanings[i].why, why) == 0))
      return meanings[i].meaning;
  return NULL;
}

static void
print_line (struct json_object *line, long long start)
{
  printf ("%6lld ms  %-16s %-14s", ctl_number (line, "t") - start,
          ctl_text (line, "node"), ctl_text (line, "event"));
  json_object_object_foreach (line, name, value)
  {
    if (strcmp (name, "t") != 0 && strcmp (name, "node") != 0
        && strcmp (name, "event") != 0 && strcmp (name, "id") != 0)
      printf (" %s=%s", name, json_object_get_string (value));
  }
  putchar ('\n');
}

static void
print_all (struct ctl *ctl, GArray *lines, const char *reason)
{
  struct json_object *root;
  struct json_object *list;
  guint i;

  if (!ctl->json)
    {
      for (i = 0; i < lines->len; i++)
        print_line (g_array_index (lines, struct log_line, i).line,
                    g_array_index (lines, struct log_line, 0).time_ms);
      printf ("reason: %s\n", reason);
      return;
    }
  root = json_object_new_object ();
  list = json_object_new_array ();
  for (i = 0; i < lines->len; i++)
    json_object_array_add (
        list,
        json_object_get (g_array_index (lines, struct log_line, i).line));
  json_object_object_add (root, "id", json_object_new_string (ctl->args[0]));
  json_object_object_add (root, "reason", json_object_new_string (reason));
  json_object_object_add (root, "lines", list);
  ctl_print_json (root);
}

int
ctl_explain (struct ctl *ctl)
{
  GArray *lines = g_array_new (FALSE, FALSE, sizeof (struct log_line));
  const char *reason = NULL;
  struct err err;
  int rc = CTL_OK;
  int i;

  g_array_set_clear_func (lines, log_line_clear);
  for (i = 1; i < ctl->arg_count && rc == CTL_OK; i++)
    rc = read_file (lines, ctl->args[i], ctl->args[0]);
  if (rc != CTL_OK)
    goto out;
  if (lines->len == 0)
    {
      err_set (&err, ERR_NOT_FOUND, "explain", ctl->args[0],
               "no line of this request");
      rc = ctl_fail (&err);
      goto out;
    }
  g_array_sort (lines, compare_time);
  for (i = (int)lines->len - 1; i >= 0 && reason == NULL; i--)
    reason = meaning_of (g_array_index (lines, struct log_line, i).line);
  print_all (ctl, lines, reason != NULL ? reason : "not ended in these logs");
out:
  g_array_free (lines, TRUE);
  return rc;
}
