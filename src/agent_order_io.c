#include "agent_order.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "goldcresthatch/log.h"
#include "http.h"

enum
{
  ORDER_TIMEOUT_S = 600, /* loading a model takes minutes */
  STATE_TIMEOUT_S = 2,
  ENGINE_STATE_MAX_BYTES = 64 * 1024, /* body of GET /state */
  STATUS_OK = 200
};

static void
post_result (struct agent_orders *orders, const struct engine_event *result)
{
  struct agent_order_event *event = g_new0 (struct agent_order_event, 1);

  event->event = *result;
  event->event.now_us = g_get_monotonic_time ();
  agent_order_post (orders, event);
}

static void
read_authority (struct agent_orders *orders, struct engine_event *result)
{
  char key[KV_KEY_MAX_BYTES];
  struct kv_value value = { 0 };
  struct err err;

  snprintf (key, sizeof key, "authority/%s", orders->engine_fsm.shard);
  result->kind = ENGINE_EV_READ;
  result->start_us = g_get_monotonic_time ();
  if (kv_get (orders->agent->kv, key, &value, &err) < 0)
    {
      log_err (LOG_LEVEL_WARN, NULL, &err);
      result->result = ENGINE_RESULT_FAILED;
    }
  result->revision = value.revision;
  kv_value_free (&value);
}

static int
append_body (void *ctx, const char *data, size_t size)
{
  GString *body = ctx;

  g_string_append_len (body, data, (gssize)size);
  return body->len > ENGINE_STATE_MAX_BYTES;
}

static const char *
text_member (struct json_object *root, const char *name)
{
  struct json_object *value;

  if (!json_object_object_get_ex (root, name, &value)
      || !json_object_is_type (value, json_type_string)
      || json_object_get_string_len (value) > MSG_NAME_MAX_BYTES)
    return NULL;
  return json_object_get_string (value);
}

/* Parses an engine's answer to GET /state.  Returns 0, or -1 when TEXT is
   malformed.  */
static int
parse_state (const char *text, struct engine_event *result)
{
  struct json_object *root = json_tokener_parse (text);
  struct json_object *busy;
  const char *role = text_member (root, "role");
  const char *model = text_member (root, "model");
  const char *version = text_member (root, "version");
  int i;
  int rc = -1;

  if (role == NULL || model == NULL || version == NULL
      || !json_object_object_get_ex (root, "in_progress", &busy))
    goto out;
  result->in_progress = json_object_get_boolean (busy);
  snprintf (result->actual.model, sizeof result->actual.model, "%s", model);
  snprintf (result->actual.version, sizeof result->actual.version, "%s",
            version);
  for (i = 0; i < ENGINE_ROLE_MAX; i++)
    if (strcmp (role, engine_role_name ((enum engine_role)i)) == 0)
      {
        result->actual.role = (enum engine_role)i;
        rc = 0;
      }
out:
  json_object_put (root);
  return rc;
}

static void
query_engine (struct agent_orders *orders, struct engine_event *result)
{
  GString *body = g_string_new (NULL);
  struct http_call call = { .address = orders->agent->settings.endpoint,
                            .method = "GET",
                            .path = "/state",
                            .timeout_s = STATE_TIMEOUT_S,
                            .ctx = body,
                            .on_data = append_body };
  struct err err;
  int status;

  result->kind = ENGINE_EV_QUERIED;
  /* A plain service has no state beyond what the agent itself holds.  */
  if (agent_order_is_engine (orders))
    {
      result->result = ENGINE_RESULT_FAILED;
      if (http_has_status (http_run (&call, &status, &err))
          && status == STATUS_OK && parse_state (body->str, result) == 0)
        result->result = ENGINE_RESULT_OK;
    }
  g_string_free (body, TRUE);
}

static char *
order_json (const struct engine_order *order)
{
  struct json_object *root = json_object_new_object ();
  char *text;

  json_object_object_add (root, "token",
                          json_object_new_uint64 (order->token));
  json_object_object_add (
      root, "role",
      json_object_new_string (engine_role_name (order->target.role)));
  json_object_object_add (root, "model",
                          json_object_new_string (order->target.model));
  json_object_object_add (root, "version",
                          json_object_new_string (order->target.version));
  text = g_strdup (
      json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return text;
}

/* Without an answer the engine may be carrying out the order, even
   when the connection was refused; the query that follows determines this.  */
static enum engine_result
result_of (enum http_result result, int status)
{
  if (!http_has_status (result))
    return ENGINE_RESULT_UNKNOWN;
  return status == STATUS_OK ? ENGINE_RESULT_OK : ENGINE_RESULT_FAILED;
}

static void
send_order (struct agent_orders *orders, const struct agent_order_op *op,
            struct engine_event *result)
{
  char *body = order_json (&op->order);
  struct http_call call = { .address = orders->agent->settings.endpoint,
                            .method = "POST",
                            .path = "/orders",
                            .content_type = "application/json",
                            .body = body,
                            .body_size = strlen (body),
                            .timeout_s = ORDER_TIMEOUT_S };
  enum http_result rc;
  struct err err;
  int status;
  int allowed;

  result->kind = ENGINE_EV_APPLIED;
  pthread_mutex_lock (&orders->lock);
  allowed = orders->engine_fsm.op == op->op
            && engine_may_send (&orders->engine_fsm, g_get_monotonic_time ());
  pthread_mutex_unlock (&orders->lock);
  if (!allowed)
    result->result = ENGINE_RESULT_NOT_SENT;
  else
    {
      rc = http_run (&call, &status, &err);
      result->result = result_of (rc, status);
      if (!http_has_status (rc))
        log_err (LOG_LEVEL_WARN, NULL, &err);
    }
  g_free (body);
}

void
agent_order_run (gpointer data, gpointer ctx)
{
  struct agent_order_op *op = data;
  struct agent_orders *orders = ctx;
  struct engine_event result = { .op = op->op };

  switch (op->kind)
    {
    case ENGINE_DO_READ:
      read_authority (orders, &result);
      break;
    case ENGINE_DO_QUERY:
      query_engine (orders, &result);
      break;
    default:
      send_order (orders, op, &result);
      break;
    }
  g_free (op);
  post_result (orders, &result);
}
