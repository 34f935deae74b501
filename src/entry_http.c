#include "entry.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "goldcresthatch/ctr.h"
#include "goldcresthatch/log.h"

enum
{
  CALLER_THREADS = 4,
  CHUNK_BYTES = 16 << 10,
  DEADLINE_MAX_MS = 3600 * 1000,
  PRIORITY_MAX = 9,
  DRAIN_RETRY_AFTER_S = 1, /* by a new connection, which another entry takes */
  OUTPUT_TOKENS = 256      /* expected of a request without max_tokens */
};

static const char *const outcome_names[ENTRY_OUTCOME_MAX] = {
  [ENTRY_OUTCOME_NOT_RUN] = "not-run",
  [ENTRY_OUTCOME_UNKNOWN] = "unknown",
  [ENTRY_OUTCOME_INVALID] = "invalid",
};

static struct MHD_Response *
text_response (const char *type, const char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);

  MHD_add_response_header (response, "Content-Type", type);
  return response;
}

static enum MHD_Result
send_response (struct MHD_Connection *connection, unsigned status,
               struct MHD_Response *response)
{
  enum MHD_Result rc = MHD_queue_response (connection, status, response);

  MHD_destroy_response (response);
  return rc;
}

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

static enum MHD_Result
send_failure (struct MHD_Connection *connection,
              const struct entry_failure *failure, int closing)
{
  char *text = failure_json (failure);
  struct MHD_Response *response = text_response ("application/json", text);
  char seconds[16];

  MHD_add_response_header (response, "X-Outcome",
                           outcome_names[failure->outcome]);
  if (failure->retry_after_s > 0)
    {
      snprintf (seconds, sizeof seconds, "%u", failure->retry_after_s);
      MHD_add_response_header (response, "Retry-After", seconds);
    }
  g_free (text);
  if (closing)
    MHD_add_response_header (response, "Connection", "close");
  return send_response (connection, failure->status, response);
}

/* Ends CALL as invalid before it starts.  */
static void
reject (struct entry_call *call, unsigned status, const char *step,
        const char *text)
{
  pthread_mutex_lock (&call->lock);
  entry_call_fail (call, status, ENTRY_OUTCOME_INVALID, ERR_INVALID, step,
                   NULL, "%s", text);
  pthread_mutex_unlock (&call->lock);
}

/* Gives MHD the next bytes of a streamed answer.  */
static ssize_t
read_answer (void *cls, uint64_t pos, char *buf, size_t max)
{
  struct entry_call *call = cls;
  ssize_t n = 0;

  (void)pos;
  pthread_mutex_lock (&call->lock);
  if (call->answer->len > 0)
    {
      n = (ssize_t)MIN (max, call->answer->len);
      memcpy (buf, call->answer->str, (size_t)n);
      g_string_erase (call->answer, 0, n);
    }
  else if (call->ended)
    n = MHD_CONTENT_READER_END_OF_STREAM;
  else
    {
      call->suspended = 1;
      MHD_suspend_connection (call->connection);
    }
  pthread_mutex_unlock (&call->lock);
  return n;
}

/* Tells the caller of a stream that began why it is not whole.  */
void
entry_http_append_failure (struct entry_call *call)
{
  char *text = failure_json (&call->failure);

  g_string_append_printf (call->answer, "event: error\ndata: %s\n\n", text);
  g_free (text);
}

static void
release_answer (void *cls)
{
  entry_call_unref (cls);
}

/* Queues the answer of CALL, whose lock is held and whose head is ready.  */
static enum MHD_Result
send_answer (struct entry_call *call)
{
  /* A kept-alive connection would bring the next request here.  */
  int closing = g_atomic_int_get (&call->entry->draining);
  struct MHD_Response *response;

  if (call->failed && !(call->stream && call->answer->len > 0))
    return send_failure (call->connection, &call->failure, closing);
  if (call->stream)
    response = MHD_create_response_from_callback (
        MHD_SIZE_UNKNOWN, CHUNK_BYTES, read_answer, entry_call_ref (call),
        release_answer);
  else
    response = MHD_create_response_from_buffer (
        call->answer->len, call->answer->str, MHD_RESPMEM_MUST_COPY);
  if (call->recorded)
    MHD_add_response_header (response, "X-Recorded", "true");
  if (call->answer_type[0] != '\0')
    MHD_add_response_header (response, "Content-Type", call->answer_type);
  if (closing)
    MHD_add_response_header (response, "Connection", "close");
  return send_response (call->connection, call->status, response);
}

/* Answers CALL when its head is ready, else waits for it.  */
static enum MHD_Result
answer_or_wait (struct entry_call *call)
{
  enum MHD_Result rc = MHD_YES;

  pthread_mutex_lock (&call->lock);
  if (call->head)
    rc = send_answer (call);
  else
    {
      call->suspended = 1;
      MHD_suspend_connection (call->connection);
    }
  pthread_mutex_unlock (&call->lock);
  return rc;
}

static const char *
request_header (struct entry_call *call, const char *name)
{
  return MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND, name);
}

/* Reads a number header.  Returns 0, or -1 after rejecting the call.  */
static int
number_header (struct entry_call *call, const char *name, uint64_t max,
               uint64_t *value)
{
  const char *text = request_header (call, name);
  guint64 number;
  char message[MSG_NAME_MAX * 2];

  if (text == NULL)
    return 0;
  if (g_ascii_string_to_unsigned (text, 10, 0, max, &number, NULL))
    {
      *value = number;
      return 0;
    }
  snprintf (message, sizeof message, "%s: expected a whole number up to %llu",
            name, (unsigned long long)max);
  reject (call, MHD_HTTP_BAD_REQUEST, "headers", message);
  return -1;
}

static int
text_header (struct entry_call *call, const char *name, char *dst, size_t size)
{
  const char *text = request_header (call, name);

  if (text == NULL)
    return 0;
  if (strlen (text) < size)
    {
      g_strlcpy (dst, text, size);
      return 0;
    }
  reject (call, MHD_HTTP_BAD_REQUEST, "headers", "a header is too long");
  return -1;
}

static int
read_headers (struct entry_call *call, const struct cfg_snapshot *snap)
{
  bool configured = snap->generation > 0;
  uint64_t deadline_max
      = configured ? snap->limits.deadline_max_ms : DEADLINE_MAX_MS;
  uint64_t deadline_ms = configured
                             ? snap->limits.deadline_default_ms
                             : (uint64_t)call->entry->settings.deadline_ms;

  if (number_header (call, "X-Deadline-Ms", deadline_max, &deadline_ms) != 0
      || number_header (call, "X-Priority", PRIORITY_MAX, &call->priority) != 0
      || text_header (call, "X-Customer", call->customer,
                      sizeof call->customer)
             != 0
      || text_header (call, "Idempotency-Key", call->key, sizeof call->key)
             != 0
      || text_header (call, "traceparent", call->traceparent,
                      sizeof call->traceparent)
             != 0)
    return -1;
  call->has_priority = request_header (call, "X-Priority") != NULL;
  call->deadline_us = g_get_monotonic_time () + (gint64)deadline_ms * 1000;
  call->content_type = g_strdup (request_header (call, "Content-Type"));
  entry_trace_request (call);
  return 0;
}

static void
append_text (GString *out, struct json_object *value)
{
  if (value != NULL)
    g_string_append (out, json_object_get_string (value));
}

/* Collects the prompt and the number of output tokens to expect.  */
static void
read_prompt (struct entry_call *call, struct json_object *root)
{
  struct json_object *value;
  struct json_object *content;
  size_t i;

  call->prompt = g_string_new (NULL);
  call->output_tokens = OUTPUT_TOKENS;
  if (json_object_object_get_ex (root, "max_tokens", &value)
      && json_object_get_int64 (value) > 0)
    call->output_tokens = (uint64_t)json_object_get_int (value);
  if (json_object_object_get_ex (root, "prompt", &value))
    append_text (call->prompt, value);
  if (json_object_object_get_ex (root, "messages", &value)
      && json_object_is_type (value, json_type_array))
    for (i = 0; i < json_object_array_length (value); i++)
      if (json_object_object_get_ex (json_object_array_get_idx (value, i),
                                     "content", &content))
        append_text (call->prompt, content);
  entry_fleet_hash_prompt (call);
}

/* Reads the members that routing needs from the JSON of a model request.  */
static int
read_model_request (struct entry_call *call)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *root = json_tokener_parse_ex (
      tokener, (const char *)call->body->data, (int)call->body->len);
  struct json_object *value;
  const char *problem = NULL;

  if (!json_object_is_type (root, json_type_object))
    problem = "expected a JSON object";
  else if (!json_object_object_get_ex (root, "model", &value)
           || !json_object_is_type (value, json_type_string))
    problem = "model: expected a text";
  else
    {
      call->service = g_strdup (json_object_get_string (value));
      read_prompt (call, root);
      if (json_object_object_get_ex (root, "stream", &value))
        {
          if (json_object_is_type (value, json_type_boolean))
            call->stream = json_object_get_boolean (value);
          else
            problem = "stream: expected true or false";
        }
    }
  if (problem != NULL)
    reject (call, MHD_HTTP_BAD_REQUEST, "body", problem);
  json_object_put (root);
  json_tokener_free (tokener);
  return problem == NULL ? 0 : -1;
}

static int
is_model_path (const char *path)
{
  return strcmp (path, "/v1/chat/completions") == 0
         || strcmp (path, "/v1/completions") == 0;
}

/* Finds the plain service of CALL by the routes of SNAP.  */
static int
read_route (struct entry_call *call, const struct cfg_snapshot *snap)
{
  const struct cfg_service *service;
  const struct cfg_route *route
      = cfg_route_find (snap, call->method, call->path, &service);
  gint64 limit_us;

  if (route == NULL)
    {
      reject (call, MHD_HTTP_NOT_FOUND, "route", "no such model or service");
      return -1;
    }
  limit_us = g_get_monotonic_time () + (gint64)service->timeout_ms * 1000;
  call->deadline_us = MIN (call->deadline_us, limit_us);
  call->service = g_strdup (service->name);
  call->at_most_once = !route->idempotent;
  return 0;
}

/* Finds the plain service of CALL when no services are configured: the first
   segment of its path.  */
static int
read_service_request (struct entry_call *call)
{
  char **segments = g_strsplit (call->path, "/", 3);

  call->service = g_strdup (segments[1] != NULL ? segments[1] : "");
  g_strfreev (segments);
  call->at_most_once = strcmp (call->method, "GET") != 0;
  return 0;
}

/* Without a configuration a call could be taken for an idempotent one.  */
static void
refuse_unready (struct entry_call *call)
{
  /* Without the routes it is not known whether the call may be repeated, and
     an earlier request under the same key may have run.  */
  int keyed = request_header (call, "Idempotency-Key") != NULL;

  pthread_mutex_lock (&call->lock);
  entry_call_fail (call, MHD_HTTP_SERVICE_UNAVAILABLE,
                   keyed ? ENTRY_OUTCOME_UNKNOWN : ENTRY_OUTCOME_NOT_RUN,
                   ERR_LIMIT, "config", NULL, "no configuration yet");
  pthread_mutex_unlock (&call->lock);
}

/* Refuses a call that arrives during a graceful shutdown.  */
static void
refuse_draining (struct entry_call *call)
{
  pthread_mutex_lock (&call->lock);
  entry_call_fail (call, MHD_HTTP_SERVICE_UNAVAILABLE, ENTRY_OUTCOME_NOT_RUN,
                   ERR_LIMIT, "drain", NULL, "the entry is shutting down");
  call->failure.retry_after_s = DRAIN_RETRY_AFTER_S;
  pthread_mutex_unlock (&call->lock);
}

static void
begin (struct entry_call *call)
{
  struct cfg_snapshot *snap;
  int rc;

  if (call->discarding)
    {
      reject (call, MHD_HTTP_CONTENT_TOO_LARGE, "body",
              "the body exceeds the limit");
      return;
    }
  if (!entry_config_ready (call->entry))
    {
      refuse_unready (call);
      return;
    }
  snap = entry_config_get (call->entry);
  rc = read_headers (call, snap);
  if (rc == 0 && is_model_path (call->path))
    rc = read_model_request (call);
  else if (rc == 0 && snap->service_count > 0)
    rc = read_route (call, snap);
  else if (rc == 0)
    rc = read_service_request (call);
  cfg_snapshot_unref (snap);
  if (rc != 0)
    return;
  if (!entry_fleet_knows (call->entry, call->service)
      && entry_fleet_settled (call->entry))
    {
      reject (call, MHD_HTTP_NOT_FOUND, "route", "no such model or service");
      return;
    }
  if (g_atomic_int_get (&call->entry->draining))
    {
      refuse_draining (call);
      return;
    }
  entry_call_start (call);
}

static enum MHD_Result
page (struct entry *entry, struct MHD_Connection *connection, const char *url)
{
  if (strcmp (url, "/healthz") == 0)
    return send_response (connection, MHD_HTTP_OK,
                          text_response ("text/plain", "ok\n"));
  if (strcmp (url, "/readyz") == 0)
    {
      const char *state = "ready\n";
      int ready = 0;

      if (g_atomic_int_get (&entry->draining))
        state = "draining\n";
      else if (!entry_config_ready (entry))
        state = "no configuration yet\n";
      else if (!entry_fleet_settled (entry))
        state = "starting\n";
      else
        ready = 1;
      return send_response (connection,
                            ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
                            text_response ("text/plain", state));
    }
  return send_response (connection, MHD_HTTP_NOT_FOUND,
                        text_response ("text/plain", "no such page\n"));
}

/* Operators' pages stay off the callers' address.  */
static int
is_page (const char *url)
{
  return strcmp (url, "/healthz") == 0 || strcmp (url, "/readyz") == 0
         || strcmp (url, "/metrics") == 0 || strcmp (url, "/admin") == 0
         || g_str_has_prefix (url, "/admin/");
}

static struct entry_call *
new_call (struct entry *entry, struct MHD_Connection *connection,
          const char *url, const char *method)
{
  struct entry_call *call = entry_call_new (entry);

  ctr_add (CTR_REQUESTS, 1);
  call->connection = connection;
  call->path = g_strdup (url);
  call->method = g_strndup (method, MSG_NAME_MAX - 1);
  return call;
}

static enum MHD_Result
handle (void *cls, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *upload,
        size_t *upload_size, void **con_cls)
{
  struct entry *entry = cls;
  struct entry_call *call = *con_cls;

  (void)version;
  if (call == NULL)
    {
      if (is_page (url))
        return page (entry, connection, url);
      *con_cls = new_call (entry, connection, url, method);
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      if (call->body->len + *upload_size > ENTRY_BODY_MAX)
        call->discarding = 1;
      else
        g_byte_array_append (call->body, (const guint8 *)upload,
                             (guint)*upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (!call->started && !call->ended)
    begin (call);
  return answer_or_wait (call);
}

/* Admin listener: the operators' pages, and the state of the process.  */
static enum MHD_Result
handle_admin (void *cls, struct MHD_Connection *connection, const char *url,
              const char *method, const char *version, const char *upload,
              size_t *upload_size, void **con_cls)
{
  (void)version;
  (void)upload;
  (void)con_cls;
  *upload_size = 0;
  if (strcmp (method, "GET") == 0 && entry_admin_serves (url))
    return entry_admin_page (cls, connection, url);
  return page (cls, connection, url);
}

static void
completed (void *cls, struct MHD_Connection *connection, void **con_cls,
           enum MHD_RequestTerminationCode code)
{
  struct entry_call *call = *con_cls;

  (void)cls;
  (void)connection;
  (void)code;
  if (call == NULL)
    return;
  entry_call_abandon (call);
  entry_call_unref (call);
}

static struct MHD_Daemon *
start_daemon (struct entry *entry, const char *address, unsigned threads,
              MHD_AccessHandlerCallback handler, struct err *err)
{
  struct sockaddr_in sin;
  struct MHD_Daemon *daemon;

  set_address (address, &sin);
  daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      handler, entry, MHD_OPTION_SOCK_ADDR, &sin, MHD_OPTION_THREAD_POOL_SIZE,
      threads, MHD_OPTION_NOTIFY_COMPLETED, completed, NULL,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (daemon == NULL)
    err_set (err, ERR_IO, "listen", address, "cannot start the HTTP server");
  return daemon;
}

int
entry_http_open (struct entry *entry, struct err *err)
{
  entry->callers = start_daemon (entry, entry->settings.listen, CALLER_THREADS,
                                 handle, err);
  if (entry->callers == NULL)
    return -1;
  entry->admins
      = start_daemon (entry, entry->settings.admin, 2, handle_admin, err);
  return entry->admins != NULL ? 0 : -1;
}

void
entry_http_close (struct entry *entry)
{
  if (entry->callers != NULL)
    MHD_stop_daemon (entry->callers);
  if (entry->admins != NULL)
    MHD_stop_daemon (entry->admins);
}
