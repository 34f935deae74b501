#include "entry.h"

#include <json-c/json.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "goldcresthatch/span.h"

enum
{
  RING_SPANS = 8192, /* about 10 MB in each of the two rings */
  PARENT_SIZE = SPAN_TRACEPARENT_LEN + 1
};

static const char agent_key[] = "agent"; /* attribute of an agent's span */

/* Spans of this process, and of the agents, which report their times in END,
   so that a trace can be shown without a query to every agent.  */
struct entry_trace_rings
{
  struct span_ring *own;
  struct span_ring *agents;
};

/* The unfinished spans of a call; guarded by the call's lock.  */
struct entry_trace
{
  struct span request;
  struct span admission;
  struct span attempt;
  int admitted;
  int attempting;
  int done;
};

void
entry_trace_open (struct entry *entry)
{
  entry->rings = g_new0 (struct entry_trace_rings, 1);
  entry->rings->own = span_ring_new (RING_SPANS, "goldcresthatch-entry",
                                     entry->settings.name);
  entry->rings->agents = span_ring_new (RING_SPANS, "goldcresthatch-agent",
                                        entry->settings.name);
}

void
entry_trace_close (struct entry *entry)
{
  span_ring_free (entry->rings->own);
  span_ring_free (entry->rings->agents);
  g_free (entry->rings);
}

void
entry_trace_request (struct entry_call *call)
{
  struct entry_trace *trace = g_new0 (struct entry_trace, 1);
  int64_t now = g_get_real_time ();
  struct span_ctx parent;
  int known;

  known = span_parse_traceparent (call->traceparent,
                                  strlen (call->traceparent), &parent, NULL)
          == 0;
  span_start (&trace->request, known ? &parent : NULL, SPAN_SERVER, "request",
              now);
  span_add_attribute (&trace->request, "http.request.method", call->method);
  span_add_attribute (&trace->request, "url.path", call->path);
  span_start (&trace->admission, &trace->request.ctx, SPAN_INTERNAL,
              "admission", now);
  span_format_traceparent (&trace->request.ctx, call->traceparent);
  call->trace = trace;
}

static void
end_attempt (struct entry_call *call, const struct err *err)
{
  struct entry_trace *trace = call->trace;

  if (!trace->attempting)
    return;
  trace->attempting = 0;
  span_finish (call->entry->rings->own, &trace->attempt, g_get_real_time (),
               err);
}

void
entry_trace_attempt (struct entry_call *call, const char *agent)
{
  struct entry_trace *trace = call->trace;
  int64_t now = g_get_real_time ();

  if (!trace->admitted)
    span_finish (call->entry->rings->own, &trace->admission, now, NULL);
  trace->admitted = 1;
  span_start (&trace->attempt, &trace->request.ctx, SPAN_CLIENT, "attempt",
              now);
  span_add_attribute (&trace->attempt, "peer", agent);
  span_format_traceparent (&trace->attempt.ctx, call->attempt_parent);
  trace->attempting = 1;
}

void
entry_trace_attempt_ended (struct entry_call *call, const char *step,
                           const char *peer, const char *text)
{
  struct err err;

  err_set (&err, ERR_IO, step, peer, "%s", text);
  end_attempt (call, &err);
}

void
entry_trace_agent (struct entry_call *call, const struct msg_end *end,
                   const char *agent)
{
  struct entry_trace *trace = call->trace;
  struct span_ring *ring = call->entry->rings->agents;
  int64_t queue_end
      = (int64_t)(end->run_start_us != 0 ? end->run_start_us : end->end_us);
  struct span span;
  struct err err;

  /* The times in END are by the agent's clock, and may be absent.  */
  if (!trace->attempting || end->queue_start_us == 0)
    return;
  span_start (&span, &trace->attempt.ctx, SPAN_INTERNAL, "queue",
              (int64_t)end->queue_start_us);
  span_add_attribute (&span, agent_key, agent);
  span_finish (ring, &span, queue_end, NULL);
  if (end->run_start_us == 0)
    return;
  span_start (&span, &trace->attempt.ctx, SPAN_CLIENT, "run",
              (int64_t)end->run_start_us);
  memcpy (span.ctx.id, &end->run_span, SPAN_ID_BYTES);
  span_add_attribute (&span, agent_key, agent);
  err_set (&err, ERR_IO, "run", agent, "%.*s", (int)MIN (end->text.n, 200),
           end->text.n > 0 ? end->text.p : "");
  span_finish (ring, &span, (int64_t)end->end_us,
               end->outcome == MSG_OUTCOME_DONE ? NULL : &err);
}

void
entry_trace_done (struct entry_call *call, const struct err *err)
{
  struct entry_trace *trace = call->trace;
  int64_t now = g_get_real_time ();

  if (trace == NULL || trace->done)
    return;
  trace->done = 1;
  if (!trace->admitted)
    span_finish (call->entry->rings->own, &trace->admission, now, err);
  end_attempt (call, err);
  span_finish (call->entry->rings->own, &trace->request, now, err);
}

/* Returns the spans of RESOURCE, an element of OTLP's resourceSpans.  */
static struct json_object *
spans_of (struct json_object *resource)
{
  struct json_object *scopes = json_object_object_get (resource, "scopeSpans");

  return json_object_object_get (json_object_array_get_idx (scopes, 0),
                                 "spans");
}

/* Sets the service instance of RESOURCE to the agent in the attributes of
   SPAN.  */
static void
name_instance (struct json_object *resource, struct json_object *span)
{
  struct json_object *attrs = json_object_object_get (span, "attributes");
  struct json_object *agent = json_object_array_get_idx (attrs, 0);
  struct json_object *described
      = json_object_object_get (resource, "resource");
  struct json_object *instance = json_object_array_get_idx (
      json_object_object_get (described, "attributes"), 1);

  json_object_object_add (
      instance, "value",
      json_object_get (json_object_object_get (agent, "value")));
}

/* Appends to OUT one resource for each span of AGENTS, under the agent that
   reported it.  */
static void
append_agents (struct json_object *out, struct json_object *agents)
{
  struct json_object *resource = json_object_array_get_idx (
      json_object_object_get (agents, "resourceSpans"), 0);
  struct json_object *spans = spans_of (resource);
  size_t i;

  for (i = 0; i < json_object_array_length (spans); i++)
    {
      struct json_object *span = json_object_array_get_idx (spans, i);
      struct json_object *copy = NULL;
      size_t n;

      json_object_deep_copy (resource, &copy, NULL);
      n = json_object_array_length (spans_of (copy));
      json_object_array_del_idx (spans_of (copy), 0, n);
      json_object_array_add (spans_of (copy), json_object_get (span));
      name_instance (copy, span);
      json_object_array_add (out, copy);
    }
}

int
entry_trace_page (struct entry *entry, const char *id, GString *out)
{
  GString *own = g_string_new (NULL);
  GString *agents = g_string_new (NULL);
  struct json_object *root;
  struct json_object *agents_root;
  uint8_t trace[SPAN_TRACE_ID_BYTES];
  int rc = -1;

  if (id != NULL && span_parse_trace_id (id, trace) == 0)
    {
      span_export_trace (entry->rings->own, trace, own);
      span_export_trace (entry->rings->agents, trace, agents);
      root = json_tokener_parse (own->str);
      agents_root = json_tokener_parse (agents->str);
      append_agents (json_object_object_get (root, "resourceSpans"),
                     agents_root);
      g_string_append (
          out, json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
      json_object_put (agents_root);
      json_object_put (root);
      rc = 0;
    }
  g_string_free (own, TRUE);
  g_string_free (agents, TRUE);
  return rc;
}
