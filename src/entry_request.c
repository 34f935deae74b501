#include "entry.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "http_head.h"
#include "num.h"

enum
{
  DEADLINE_MAX_MS = 3600 * 1000,
  PRIORITY_MAX = 9,
  DRAIN_RETRY_AFTER_S = 1,    /* the new connection goes to another entry */
  DEFAULT_OUTPUT_TOKENS = 256 /* assumed for a request without max_tokens */
};

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

/* Returns a copy of a header's value, or null when it is absent.  */
static char *
header_copy (const struct http_head *head, const char *name)
{
  struct http_str value = http_head_get (head, name);

  return value.p != NULL ? g_strndup (value.p, value.n) : NULL;
}

/* Reads a number header.  Returns 0, or -1 after rejecting the call.  */
static int
number_header (struct entry_call *call, const struct http_head *head,
               const char *name, uint64_t max, uint64_t *value)
{
  struct http_str text = http_head_get (head, name);
  char message[MSG_NAME_MAX_BYTES * 2];

  if (text.p == NULL || num_parse_n (text.p, text.n, 10, 0, max, value) == 0)
    return 0;
  snprintf (message, sizeof message, "%s: expected a whole number up to %llu",
            name, (unsigned long long)max);
  reject (call, HTTP_STATUS_BAD_REQUEST, "headers", message);
  return -1;
}

static int
text_header (struct entry_call *call, const struct http_head *head,
             const char *name, char *dst, size_t size)
{
  g_autofree char *text = header_copy (head, name);

  if (text == NULL)
    return 0;
  if (strlen (text) < size)
    {
      g_strlcpy (dst, text, size);
      return 0;
    }
  reject (call, HTTP_STATUS_BAD_REQUEST, "headers", "a header is too long");
  return -1;
}

static int
read_headers (struct entry_call *call, const struct http_head *head,
              const struct cfg_snapshot *snap)
{
  bool configured = snap->generation > 0;
  uint64_t deadline_max
      = configured ? snap->limits.deadline_max_ms : DEADLINE_MAX_MS;
  uint64_t deadline_ms = configured
                             ? snap->limits.deadline_default_ms
                             : (uint64_t)call->entry->settings.deadline_ms;

  if (number_header (call, head, "X-Deadline-Ms", deadline_max, &deadline_ms)
          != 0
      || number_header (call, head, "X-Priority", PRIORITY_MAX,
                        &call->priority)
             != 0
      || text_header (call, head, "X-Customer", call->customer,
                      sizeof call->customer)
             != 0
      || text_header (call, head, "Idempotency-Key", call->key,
                      sizeof call->key)
             != 0
      || text_header (call, head, "traceparent", call->traceparent,
                      sizeof call->traceparent)
             != 0)
    return -1;
  call->has_priority = http_head_get (head, "X-Priority").p != NULL;
  call->deadline_us = g_get_monotonic_time () + (gint64)deadline_ms * 1000;
  call->content_type = header_copy (head, "Content-Type");
  entry_trace_request (call);
  return 0;
}

static void
append_text (GString *out, struct json_object *value)
{
  if (value != NULL)
    g_string_append (out, json_object_get_string (value));
}

/* Reads the prompt and the expected number of output tokens.  */
static void
read_prompt (struct entry_call *call, struct json_object *root)
{
  struct json_object *value;
  struct json_object *content;
  size_t i;

  call->prompt = g_string_new (NULL);
  call->output_tokens = DEFAULT_OUTPUT_TOKENS;
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
  struct json_object *root
      = json_tokener_parse_ex (tokener, call->body.data, (int)call->body.len);
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
    reject (call, HTTP_STATUS_BAD_REQUEST, "body", problem);
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
      reject (call, HTTP_STATUS_NOT_FOUND, "route",
              "no such model or service");
      return -1;
    }
  limit_us = g_get_monotonic_time () + (gint64)service->timeout_ms * 1000;
  call->deadline_us = MIN (call->deadline_us, limit_us);
  call->service = g_strdup (service->name);
  call->at_most_once = !route->idempotent;
  return 0;
}

/* Sets the plain service of CALL to the first segment of its path, for use
   when no services are configured.  */
static int
read_service_request (struct entry_call *call)
{
  char **segments = g_strsplit (call->path, "/", 3);

  call->service = g_strdup (segments[1] != NULL ? segments[1] : "");
  g_strfreev (segments);
  call->at_most_once = strcmp (call->method, "GET") != 0;
  return 0;
}

/* Refuses a call because the configuration is not known yet: without its
   routes a call could be taken for an idempotent one.  */
static void
refuse_unready (struct entry_call *call, const struct http_head *head)
{
  /* Without the routes it is not known whether the call may be retried, and an
     earlier request under the same key may have run.  */
  int keyed = http_head_get (head, "Idempotency-Key").p != NULL;

  pthread_mutex_lock (&call->lock);
  entry_call_fail (call, HTTP_STATUS_SERVICE_UNAVAILABLE,
                   keyed ? ENTRY_OUTCOME_UNKNOWN : ENTRY_OUTCOME_NOT_RUN,
                   ERR_LIMIT, "config", NULL, "no configuration yet");
  pthread_mutex_unlock (&call->lock);
}

/* Refuses a call that arrives during a graceful shutdown.  */
static void
refuse_draining (struct entry_call *call)
{
  pthread_mutex_lock (&call->lock);
  entry_call_fail (call, HTTP_STATUS_SERVICE_UNAVAILABLE,
                   ENTRY_OUTCOME_NOT_RUN, ERR_LIMIT, "drain", NULL,
                   "the entry is shutting down");
  call->failure.retry_after_s = DRAIN_RETRY_AFTER_S;
  pthread_mutex_unlock (&call->lock);
}

void
entry_request_begin (struct entry_call *call, const struct http_head *head)
{
  struct cfg_snapshot *snap;
  int rc;

  if (!entry_config_ready (call->entry))
    {
      refuse_unready (call, head);
      return;
    }
  snap = entry_config_get (call->entry);
  rc = read_headers (call, head, snap);
  if (rc == 0 && is_model_path (call->path))
    rc = read_model_request (call);
  else if (rc == 0 && snap->service_count > 0)
    rc = read_route (call, snap);
  else if (rc == 0)
    rc = read_service_request (call);
  cfg_snapshot_unref (snap);
  if (rc != 0)
    return;
  if (!entry_fleet_may_have_service (call->entry, call->service)
      && entry_fleet_discovery_done (call->entry))
    {
      reject (call, HTTP_STATUS_NOT_FOUND, "route",
              "no such model or service");
      return;
    }
  if (g_atomic_int_get (&call->entry->draining))
    {
      refuse_draining (call);
      return;
    }
  entry_call_start (call);
}
