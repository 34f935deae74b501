/* Stand-in for a plain service that counts each run of each call.  Any POST
   runs once for each time it arrives and is counted by its body; GET
   /test/runs returns the counts and GET /test/traceparent the header of the
   last run.  POST /test/fault?kind=KIND&count=N sets a
   fault for the next N calls: close (runs, then closes the connection without
   an answer) or slow (answers after ms).  */

#include "standin.h"

static GMutex lock;
static GHashTable *runs; /* body -> count */
static int close_count;
static int slow_count;
static int slow_ms;
static char last_parent[64]; /* traceparent of the last run */

static enum MHD_Result
set_fault (struct standin_request *request)
{
  const char *kind = standin_argument (request, "kind");
  const char *count = standin_argument (request, "count");
  const char *ms = standin_argument (request, "ms");

  g_mutex_lock (&lock);
  if (g_strcmp0 (kind, "close") == 0)
    close_count = count != NULL ? atoi (count) : 1;
  else
    {
      slow_count = count != NULL ? atoi (count) : 1;
      slow_ms = ms != NULL ? atoi (ms) : 1000;
    }
  g_mutex_unlock (&lock);
  return standin_send (request->connection, MHD_HTTP_OK, "{}\n");
}

static enum MHD_Result
send_runs (struct standin_request *request)
{
  struct json_object *root = json_object_new_object ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_mutex_lock (&lock);
  g_hash_table_iter_init (&iter, runs);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_object_object_add (root, key,
                            json_object_new_int (GPOINTER_TO_INT (value)));
  g_mutex_unlock (&lock);
  return standin_send_json (request->connection, MHD_HTTP_OK, root);
}

static enum MHD_Result
send_parent (struct standin_request *request)
{
  char text[sizeof last_parent];

  g_mutex_lock (&lock);
  g_strlcpy (text, last_parent, sizeof text);
  g_mutex_unlock (&lock);
  return standin_send (request->connection, MHD_HTTP_OK, text);
}

static int
take (int *count)
{
  if (*count <= 0)
    return 0;
  (*count)--;
  return 1;
}

static enum MHD_Result
run (struct standin_request *request)
{
  const char *parent = standin_header (request, "traceparent");
  struct json_object *root = json_object_new_object ();
  int count;
  int closing;
  int slow;

  g_mutex_lock (&lock);
  count = 1 + GPOINTER_TO_INT (g_hash_table_lookup (runs, request->body->str));
  g_hash_table_insert (runs, g_strdup (request->body->str),
                       GINT_TO_POINTER (count));
  closing = take (&close_count);
  slow = take (&slow_count);
  g_strlcpy (last_parent, parent != NULL ? parent : "", sizeof last_parent);
  g_mutex_unlock (&lock);
  if (slow)
    g_usleep ((gulong)slow_ms * 1000);
  if (closing)
    {
      json_object_put (root);
      return MHD_NO;
    }
  json_object_object_add (root, "booked",
                          json_object_new_string (request->body->str));
  json_object_object_add (root, "run", json_object_new_int (count));
  return standin_send_json (request->connection, MHD_HTTP_OK, root);
}

static enum MHD_Result
answer (struct standin_request *request)
{
  if (strcmp (request->url, "/health") == 0)
    return standin_send (request->connection, MHD_HTTP_OK, "{}\n");
  if (strcmp (request->url, "/test/runs") == 0)
    return send_runs (request);
  if (strcmp (request->url, "/test/traceparent") == 0)
    return send_parent (request);
  if (strcmp (request->url, "/test/fault") == 0)
    return set_fault (request);
  if (strcmp (request->method, "POST") == 0)
    return run (request);
  return standin_send (request->connection, MHD_HTTP_OK,
                       "{\"status\":\"ok\"}\n");
}

int
main (int argc, char **argv)
{
  if (argc != 3 || strcmp (argv[1], "--listen") != 0)
    {
      fprintf (stderr, "usage: standin-service --listen IP:PORT\n");
      return 2;
    }
  runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return standin_serve (argv[2], answer);
}
