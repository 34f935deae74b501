#include "entry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "goldcresthatch/metric.h"
#include "goldcresthatch/log.h"
#include "http_server.h"
#include "proclimits.h"

enum
{
  HEADER_BYTES_MAX = 32 << 10,
  HEADER_TIMEOUT_MS = 10 * 1000, /* from the first byte of a head to its end */
  /* Longer than callers keep idle connections open.  */
  IDLE_TIMEOUT_MS = 300 * 1000,
  TIMEOUT_CHECK_PERIOD_MS = 1000, /* between two checks of these time-outs */
  FULL_RETRY_AFTER_S = 1,
  MEMORY_DEFAULT_MB = 1024,
  /* A body is in the call, in its message and in that message's queue.  */
  BODY_COPIES = 3
};

/* One thread serves both addresses, and only it accesses the connections.  The
   other threads end calls and wake this thread.  */
struct entry_http
{
  struct entry *entry;
  uv_loop_t loop;
  uv_async_t wake;
  uv_timer_t check;
  struct http_server *callers;
  struct http_server *admins;
  GHashTable *calls;       /* handle of a connection -> its call */
  GAsyncQueue *wake_queue; /* referenced calls with output for their callers */
  pthread_t thread;
  int running;
  gint stop_listening; /* callers' new connections are refused */
  gint stopping;       /* the thread must end */
};

static const char *const outcome_names[ENTRY_OUTCOME_MAX] = {
  [ENTRY_OUTCOME_NOT_RUN] = "not-run",
  [ENTRY_OUTCOME_UNKNOWN] = "unknown",
  [ENTRY_OUTCOME_INVALID] = "invalid",
};

/* Output for a call's connection.  */
struct output
{
  int begin; /* send the head, with STATUS and FIELDS */
  int whole; /* BYTES is the complete body */
  int end;   /* the answer ends after BYTES */
  int status;
  GString *fields;
  GString *bytes;
};

static char *
failure_json (const struct entry_failure *failure)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *error = json_object_new_object ();
  char *text;

  json_object_object_add (
      error, "outcome",
      json_object_new_string (outcome_names[failure->outcome]));
  json_object_object_add (error, "step",
                          json_object_new_string (failure->err.step));
  json_object_object_add (error, "peer",
                          json_object_new_string (failure->err.peer));
  json_object_object_add (error, "message",
                          json_object_new_string (failure->err.text));
  json_object_object_add (root, "error", error);
  text = g_strdup (
      json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return text;
}

static void
put_failure (const struct entry_failure *failure, GString *fields,
             GString *bytes)
{
  char *text = failure_json (failure);

  g_string_append (fields, "Content-Type: application/json\r\n");
  g_string_append_printf (fields, "X-Outcome: %s\r\n",
                          outcome_names[failure->outcome]);
  if (failure->retry_after_s > 0)
    g_string_append_printf (fields, "Retry-After: %u\r\n",
                            failure->retry_after_s);
  g_string_append (bytes, text);
  g_free (text);
}

void
entry_http_append_failure (struct entry_call *call)
{
  char *text = failure_json (&call->failure);

  g_string_append_printf (call->answer, "event: error\ndata: %s\n\n", text);
  g_free (text);
}

void
entry_http_wake (struct entry_call *call)
{
  struct entry_http *http = call->entry->http;

  if (call->conn == 0 || call->wake_pending)
    return;
  call->wake_pending = 1;
  g_async_queue_push (http->wake_queue, entry_call_ref (call));
  uv_async_send (&http->wake);
}

/* Moves the pending output of CALL into OUT; the call's lock is held.  */
static void
take_output (struct entry_call *call, struct output *out)
{
  if (!call->head_ready)
    return;
  out->status = (int)call->status;
  if (call->failed && !call->head_sent
      && !(call->stream && call->answer->len > 0))
    {
      out->begin = out->whole = out->end = 1;
      out->status = (int)call->failure.status;
      put_failure (&call->failure, out->fields, out->bytes);
      return;
    }
  out->begin = !call->head_sent;
  out->whole = !call->stream;
  out->end = call->ended || out->whole;
  call->head_sent = 1;
  g_string_append_len (out->bytes, call->answer->str,
                       (gssize)call->answer->len);
  if (call->stream)
    g_string_truncate (call->answer, 0);
  if (call->recorded)
    g_string_append (out->fields, "X-Recorded: true\r\n");
  if (call->answer_type[0] != '\0')
    g_string_append_printf (out->fields, "Content-Type: %s\r\n",
                            call->answer_type);
}

/* Sends the pending output of CALL to its caller.  The call's lock is not held
   while the connection is written, because that may start the connection's
   next request.  */
static void
send_output (struct entry_http *http, struct entry_call *call)
{
  struct output out
      = { .fields = g_string_new (NULL), .bytes = g_string_new (NULL) };

  pthread_mutex_lock (&call->lock);
  call->wake_pending = 0;
  if (g_hash_table_lookup (http->calls, &call->conn) == call)
    take_output (call, &out);
  pthread_mutex_unlock (&call->lock);
  if (out.end)
    {
      g_hash_table_remove (http->calls, &call->conn);
      entry_call_abandon (call);
    }
  if (out.begin && out.whole)
    http_server_respond (http->callers, call->conn, out.status,
                         out.fields->str, out.bytes->str, out.bytes->len);
  else
    {
      if (out.begin)
        http_server_start_response (http->callers, call->conn, out.status,
                                    out.fields->str, -1);
      http_server_send_body (http->callers, call->conn, out.bytes->str,
                             out.bytes->len);
      if (out.end)
        http_server_finish_response (http->callers, call->conn);
    }
  g_string_free (out.fields, TRUE);
  g_string_free (out.bytes, TRUE);
}

static void
answer_text (struct http_server *srv, uint64_t conn, int status,
             const char *text)
{
  http_server_respond (srv, conn, status, "Content-Type: text/plain\r\n", text,
                       strlen (text));
}

static void
answer_page (struct entry *entry, struct http_server *srv, uint64_t conn,
             const char *path)
{
  if (strcmp (path, "/healthz") == 0)
    answer_text (srv, conn, HTTP_STATUS_OK, "ok\n");
  else if (strcmp (path, "/readyz") != 0)
    answer_text (srv, conn, HTTP_STATUS_NOT_FOUND, "no such page\n");
  else if (g_atomic_int_get (&entry->draining))
    answer_text (srv, conn, HTTP_STATUS_SERVICE_UNAVAILABLE, "draining\n");
  else if (!entry_config_ready (entry))
    answer_text (srv, conn, HTTP_STATUS_SERVICE_UNAVAILABLE,
                 "no configuration yet\n");
  else if (!entry_fleet_discovery_done (entry))
    answer_text (srv, conn, HTTP_STATUS_SERVICE_UNAVAILABLE, "starting\n");
  else
    answer_text (srv, conn, HTTP_STATUS_OK, "ready\n");
}

/* Returns nonzero for the paths that are no requests to a service.  Those of
   the operators' pages are not served on the callers' address.  */
static int
is_page (const char *path)
{
  return strcmp (path, "/healthz") == 0 || strcmp (path, "/readyz") == 0
         || strcmp (path, "/metrics") == 0 || strcmp (path, "/admin") == 0
         || g_str_has_prefix (path, "/admin/");
}

/* Returns the path of a request and sets *QUERY to its query, or to null when
   it has none.  */
static char *
split_target (const struct http_head *head, char **query)
{
  char *path = g_strndup (head->target.p, head->target.n);
  char *mark = strchr (path, '?');

  *query = mark != NULL ? g_strdup (mark + 1) : NULL;
  if (mark != NULL)
    *mark = '\0';
  return path;
}

static void
on_request (void *ctx, uint64_t conn, const struct http_head *head,
            const char *body, size_t size)
{
  struct entry_http *http = ctx;
  struct entry_call *call;
  char *query;
  char *path = split_target (head, &query);

  g_free (query);
  if (is_page (path))
    {
      answer_page (http->entry, http->callers, conn, path);
      g_free (path);
      return;
    }
  metric_add (METRIC_REQUESTS, 1);
  call = entry_call_new (http->entry);
  call->conn = conn;
  call->path = path;
  call->target = g_strndup (head->target.p, head->target.n);
  call->method = g_strndup (head->method.p,
                            MIN (head->method.n, MSG_NAME_MAX_BYTES - 1));
  call->body.bytes = http_server_body (http->callers, conn);
  call->body.data = body;
  call->body.len = size;
  /* Without this, a keep-alive connection would send its next request to the
     draining entry.  */
  if (g_atomic_int_get (&http->entry->draining))
    http_server_drain (http->callers);
  g_hash_table_insert (http->calls, &call->conn, call);
  entry_request_begin (call, head);
}

static void
on_disconnect (void *ctx, uint64_t conn)
{
  struct entry_http *http = ctx;
  struct entry_call *call = g_hash_table_lookup (http->calls, &conn);

  if (call == NULL)
    return;
  entry_call_abandon (call);
  g_hash_table_remove (http->calls, &conn);
}

static void
on_rejected (void *ctx, int status, const char *why, GString *fields,
             GString *bytes)
{
  struct entry_failure failure
      = { .status = (unsigned)status, .outcome = ENTRY_OUTCOME_INVALID };

  (void)ctx;
  if (status == HTTP_STATUS_SERVICE_UNAVAILABLE)
    {
      failure.outcome = ENTRY_OUTCOME_NOT_RUN;
      failure.retry_after_s = FULL_RETRY_AFTER_S;
    }
  err_set (&failure.err, ERR_INVALID, "request", NULL, "%s", why);
  put_failure (&failure, fields, bytes);
  metric_add (METRIC_REQUESTS, 1);
  metric_add (failure.outcome == ENTRY_OUTCOME_NOT_RUN ? METRIC_MEMORY_REFUSED
                                                       : METRIC_INVALID,
              1);
  log_err (LOG_LEVEL_INFO, NULL, &failure.err);
}

static void
on_admin_request (void *ctx, uint64_t conn, const struct http_head *head,
                  const char *body, size_t size)
{
  struct entry_http *http = ctx;
  struct entry_admin_response out
      = { .fields = g_string_new (NULL), .body = g_string_new (NULL) };
  char *query;
  char *path = split_target (head, &query);

  (void)body;
  (void)size;
  if (http_str_equal (head->method, "GET")
      && entry_admin_page (http->entry, path, query, &out) == 0)
    http_server_respond (http->admins, conn, out.status, out.fields->str,
                         out.body->str, out.body->len);
  else
    answer_page (http->entry, http->admins, conn, path);
  g_string_free (out.fields, TRUE);
  g_string_free (out.body, TRUE);
  g_free (query);
  g_free (path);
}

/* Cancels the calls in progress, and closes all handles of the loop.  */
static void
close_all (struct entry_http *http)
{
  GHashTableIter iter;
  gpointer call;

  g_hash_table_iter_init (&iter, http->calls);
  while (g_hash_table_iter_next (&iter, NULL, &call))
    {
      entry_call_abandon (call);
      g_hash_table_iter_remove (&iter);
    }
  if (http->callers != NULL)
    http_server_free (http->callers);
  if (http->admins != NULL)
    http_server_free (http->admins);
  uv_close ((uv_handle_t *)&http->check, NULL);
  uv_close ((uv_handle_t *)&http->wake, NULL);
}

static void
on_wake (uv_async_t *wake)
{
  struct entry_http *http = wake->data;
  struct entry_call *call;

  while ((call = g_async_queue_try_pop (http->wake_queue)) != NULL)
    {
      send_output (http, call);
      entry_call_unref (call);
    }
  if (g_atomic_int_get (&http->stop_listening))
    http_server_stop_listening (http->callers);
  if (g_atomic_int_get (&http->stopping))
    close_all (http);
}

static void
on_check (uv_timer_t *check)
{
  struct entry_http *http = check->data;

  http_server_check_timeouts (http->callers);
  http_server_check_timeouts (http->admins);
}

static void *
http_main (void *arg)
{
  struct entry_http *http = arg;

  uv_run (&http->loop, UV_RUN_DEFAULT);
  return NULL;
}

int
entry_http_open (struct entry *entry, struct err *err)
{
  static const struct http_server_ops callers
      = { on_request, on_disconnect, on_rejected };
  static const struct http_server_ops admins
      = { on_admin_request, NULL, NULL };
  static const struct http_server_limits limits
      = { HEADER_BYTES_MAX, ENTRY_BODY_MAX_BYTES, HEADER_TIMEOUT_MS,
          IDLE_TIMEOUT_MS };
  struct entry_http *http = g_new0 (struct entry_http, 1);

  entry->http = http;
  http->entry = entry;
  http->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       (GDestroyNotify)entry_call_unref);
  http->wake_queue = g_async_queue_new ();
  uv_loop_init (&http->loop);
  uv_async_init (&http->loop, &http->wake, on_wake);
  uv_timer_init (&http->loop, &http->check);
  http->wake.data = http;
  http->check.data = http;
  http->callers = http_server_new (&http->loop, entry->settings.listen,
                                   &callers, http, err);
  if (http->callers == NULL
      || proclimits_apply (&entry->budget, (double)entry->settings.memory_mb,
                           (double)entry->settings.max_fds, MEMORY_DEFAULT_MB,
                           err)
             != 0)
    return -1;
  entry->budget.body_copies = BODY_COPIES;
  http_server_set_budget (http->callers, &entry->budget);
  http->admins = http_server_new (&http->loop, entry->settings.admin, &admins,
                                  http, err);
  if (http->admins == NULL)
    return -1;
  http_server_set_limits (http->callers, &limits);
  http_server_set_limits (http->admins, &limits);
  uv_timer_start (&http->check, on_check, TIMEOUT_CHECK_PERIOD_MS,
                  TIMEOUT_CHECK_PERIOD_MS);
  if (pthread_create (&http->thread, NULL, http_main, http) != 0)
    return err_set (err, ERR_LIMIT, "thread", NULL,
                    "cannot start the HTTP thread");
  http->running = 1;
  return 0;
}

void
entry_http_stop_listening (struct entry *entry)
{
  g_atomic_int_set (&entry->http->stop_listening, 1);
  uv_async_send (&entry->http->wake);
}

void
entry_http_close (struct entry *entry)
{
  struct entry_http *http = entry->http;

  if (http == NULL)
    return;
  g_atomic_int_set (&http->stopping, 1);
  if (http->running)
    {
      uv_async_send (&http->wake);
      pthread_join (http->thread, NULL);
    }
  else
    {
      close_all (http);
      uv_run (&http->loop, UV_RUN_DEFAULT);
    }
}

void
entry_http_free (struct entry *entry)
{
  struct entry_http *http = entry->http;
  struct entry_call *call;

  if (http == NULL)
    return;
  while ((call = g_async_queue_try_pop (http->wake_queue)) != NULL)
    entry_call_unref (call);
  uv_loop_close (&http->loop);
  g_async_queue_unref (http->wake_queue);
  g_hash_table_destroy (http->calls);
  g_free (http);
  entry->http = NULL;
}
