/* One send of a request to a runner, and the handling of its answer.  */
#include <string.h>

#include "gw_call.h"

enum
{
  CONNECT_MS = 400, /* many times the latency between two zones */
  /* Longest idle time of a persistent connection that is reused.  Runners
     drop idle connections after 300 ms; a request that may run only once
     can't be retried when that happens during its send.  */
  REUSE_ONCE_MAX_IDLE_MS = 200,
  REUSE_IDEMPOTENT_MAX_IDLE_MS = 10000,
  /* Of an answer that is not a stream, and of one event of a stream.  */
  ANSWER_BUFFER_BYTES = 256 * 1024,
  PROMPT_ANSWER_MAX_BYTES = 64 * 1024, /* it holds a handle and two numbers */
  FREE_ANSWER_MAX_BYTES = 64 * 1024,   /* of a freed handle; it is ignored */
  FREE_ANSWER_MS = 2000,
  /* A runner that crashes under a request may have begun to answer it this
     long before.  */
  CRASH_DELAY_MS = 200
};

/* Removes the prompt from the runner's queue: its prefill has ended.  */
static void
note_prefill_end (struct gw_call *call)
{
  call->runner->tokens = MAX (call->runner->tokens - call->queued_tokens, 0.0);
  call->queued_tokens = 0;
  gw_peers_note_load (call->gw, call->runner);
}

/* Updates the load of the runner at the end of the send in progress.  */
static void
note_send_end (struct gw_call *call)
{
  if (call->call == 0)
    return;
  call->call = 0;
  gw_probe_unwatch (call);
  call->runner->calls--;
  note_prefill_end (call);
}

void
gw_send_set_source (struct gw_call *call, struct pool_runner *runner)
{
  if (call->source != NULL)
    call->source->references--;
  call->source = runner;
  if (runner != NULL)
    runner->references++;
}

void
gw_send_set_runner (struct gw_call *call, struct pool_runner *runner)
{
  if (runner != NULL)
    runner->references++;
  if (call->runner != NULL)
    call->runner->references--;
  call->runner = runner;
}

void
gw_send_cancel (struct gw_call *call)
{
  if (call->call == 0)
    return;
  if (call->phase != ADAPTER_RELAY)
    gw_fate_note_cancelled (call);
  http_client_cancel (call->gw->cli, call->call);
  note_send_end (call);
}

/* A call that frees a KV handle.  */
struct freeing
{
  struct gw *gw;
  uint64_t runner; /* its hash */
};

static enum http_client_verdict
on_freeing_head (void *ctx, const struct http_head *head)
{
  const struct freeing *freeing = ctx;
  struct gw *gw = freeing->gw;
  struct pool_runner *runner
      = pool_find_hash (gw->runner_pool, freeing->runner);
  struct adapter_answer answer;

  gw->adapter->answer_read (head, &answer);
  if (runner != NULL)
    gw_runner_note_answer (gw, runner, &answer);
  return HTTP_CLIENT_ACCEPT;
}

static void
ignore_body (void *ctx, const char *data, size_t size)
{
  (void)ctx;
  (void)data;
  (void)size;
}

static void
on_freeing_done (void *ctx, enum http_client_result end)
{
  (void)end;
  g_free (ctx);
}

void
gw_send_free_handle (struct gw_call *call)
{
  /* The result is ignored: a handle that is not freed expires at the engine.
   */
  static const struct http_client_ops ops
      = { on_freeing_head, ignore_body, on_freeing_done, FREE_ANSWER_MAX_BYTES,
          FREE_ANSWER_MS };
  struct freeing *freeing;
  GString *out;
  char *slash = strchr (call->kv_handle, '/');

  if (slash == NULL || call->source == NULL
      || pool_is_resting (call->source, gw_now (call->gw)))
    return;
  freeing = g_new0 (struct freeing, 1);
  freeing->gw = call->gw;
  freeing->runner = call->source->hash;
  *slash = '\0';
  out = g_string_new (NULL);
  call->gw->adapter->handle_free_write (out, call->kv_handle, slash + 1);
  if (http_client_call (call->gw->cli, call->kv_handle, call->source->peer,
                        out->str, out->len, CONNECT_MS,
                        REUSE_IDEMPOTENT_MAX_IDLE_MS, &ops, freeing)
      == 0)
    g_free (freeing);
  g_string_free (out, TRUE);
  call->kv_handle[0] = '\0';
}

static struct retry_window_config
budget_config (const struct gw *gw)
{
  struct retry_window_config config
      = { gw->set.repeat_ratio, gw->set.repeat_slack,
          (int64_t)(gw->set.repeat_window_ms * 1000) };

  return config;
}

int
gw_send_take_retry (struct gw_call *call)
{
  struct gw *gw = call->gw;
  struct retry_window_config config = budget_config (gw);

  return retry_window_take (gw_retry_budget (gw, call->service_name), &config,
                            gw->processes, gw_now (gw));
}

static void
budget_first (struct gw_call *call)
{
  struct gw *gw = call->gw;
  struct retry_window_config config = budget_config (gw);

  call->first_send_counted = 1;
  retry_window_note_request (gw_retry_budget (gw, call->service_name), &config,
                             gw_now (gw));
}

static void
exclude (struct gw_call *call, struct pool_runner *runner)
{
  size_t i;

  /* The first one is forgotten when there are too many.  */
  if (call->n_excluded == GW_EXCLUDED_MAX)
    {
      call->excluded[0]->references--;
      call->n_excluded--;
      for (i = 0; i < call->n_excluded; i++)
        call->excluded[i] = call->excluded[i + 1];
    }
  call->excluded[call->n_excluded++] = runner;
  runner->references++;
}

/* Sends the header of the answer.  From here on the status can't change.  */
static void
start_answer (struct gw_call *call)
{
  call->streaming = 1;
  call->until_close = call->framing == HTTP_FRAMING_CONNECTION;
  call->answer_began = gw_now (call->gw);
  reqstate_apply (&call->reqstate, REQSTATE_EV_START);
  http_server_start_response (call->request_listener->srv, call->conn,
                              call->answer.status, call->fields->str,
                              call->until_close ? HTTP_SERVER_UNTIL_CLOSE
                                                : HTTP_SERVER_CHUNKED);
}

/* Sends what is left of the runner's answer, and its end as far as it is
   known.  */
static void
finish_answer (struct gw_call *call)
{
  struct http_server *srv = call->request_listener->srv;

  if (!call->streaming && call->framing == HTTP_FRAMING_CONNECTION)
    start_answer (call);
  if (call->announced_length > 0)
    {
      http_server_start_response (srv, call->conn, call->answer.status,
                                  call->fields->str, call->announced_length);
      http_server_finish_response (srv, call->conn);
      return;
    }
  if (!call->streaming)
    {
      http_server_respond (srv, call->conn, call->answer.status,
                           call->fields->str, call->data->str,
                           call->data->len);
      return;
    }
  http_server_send_body (srv, call->conn, call->data->str, call->data->len);
  http_server_finish_response (srv, call->conn);
}

/* Returns nonzero when another runner can go on with the answer that has
   begun: it is told the last event that was passed on.  */
static int
may_continue (const struct gw_call *call)
{
  return call->route->kind == ROUTING_STREAM
         && call->last_event != call->in.last_event;
}

/* Retries the request if that is safe and the budget allows it.  Otherwise
   forwards the runner's answer if MAY_PASS, or fails the call.  */
static void
retry_or_fail (struct gw_call *call, const char *why, int may_pass)
{
  struct gw *gw = call->gw;
  struct pool_runner *runner = call->runner;

  exclude (call, runner);
  call->kv_handle[0] = '\0';
  if (!reqstate_may_retry (&call->reqstate, gw_call_idempotent (call),
                           call->route->attempts)
      || (call->streaming && !may_continue (call))
      || gw_now (gw) >= call->deadline || !gw_send_take_retry (call))
    {
      if (may_pass)
        {
          event_log_write ("passed", call->in.id,
                           "\"status\":%d,\"runner\":\"%s\"",
                           call->answer.status, runner->entry.id);
          finish_answer (call);
          gw_call_end (call);
          return;
        }
      gw_call_fail (call, 0, why);
      return;
    }
  gw->counts.retries++;
  event_log_write (
      "repeat", call->in.id,
      "\"why\":\"%s\",\"runner\":\"%s\",\"sends\":%u,\"last_event\":"
      "%" G_GUINT64_FORMAT,
      why, runner->entry.id, call->reqstate.sends, call->last_event);
  gw_call_dispatch (call);
}

/* Returns what is known of the answer, which has ended as END says.  */
static struct hop_answer
describe_answer (const struct gw_call *call, enum http_client_result end)
{
  static const enum hop_end ends[] = { [HTTP_CLIENT_COMPLETE] = HOP_END_WHOLE,
                                       [HTTP_CLIENT_CLOSED] = HOP_END_WHOLE,
                                       [HTTP_CLIENT_NOT_SENT] = HOP_END_UNSENT,
                                       [HTTP_CLIENT_BROKEN] = HOP_END_CUT };
  const struct adapter_answer *answer = &call->answer;
  struct hop_answer described = { .end = ends[end],
                                  .status = answer->status,
                                  .stamped = answer->stamped,
                                  .id = call->answer_id,
                                  .not_run = answer->not_run };

  return described;
}

static enum hop_via
sent_via (const struct gw_call *call)
{
  static const enum hop_via ways[] = { [ADAPTER_WHOLE] = HOP_RUN,
                                       [ADAPTER_PREFILL_ONLY] = HOP_READ,
                                       [ADAPTER_RELAY] = HOP_RELAY };

  return call->phase == ADAPTER_WHOLE && call->fetches ? HOP_MOVED
                                                       : ways[call->phase];
}

/* Decides whether the answer that begins is that to this request.  A late
   second answer to the request before may arrive on a connection that is used
   again, and must not be taken for this one's, least of all as the promise
   that this one has not run.  */
static enum http_client_verdict
check_owner (struct gw_call *call)
{
  static const enum http_client_verdict verdicts[]
      = { [HOP_OWN_ANSWER] = HTTP_CLIENT_ACCEPT,
          [HOP_OTHER_ANSWER] = HTTP_CLIENT_SKIP,
          [HOP_UNOWNED] = HTTP_CLIENT_REJECT };
  struct http_str id = call->answer.id;
  struct hop_answer answer;

  /* The field's bytes are valid only until the body is read.  */
  call->answer_id = id.p == NULL                       ? HOP_ID_NONE
                    : http_str_equal (id, call->in.id) ? HOP_ID_OWN
                                                       : HOP_ID_OTHER;
  answer = describe_answer (call, HTTP_CLIENT_COMPLETE);
  return verdicts[hop_owner (sent_via (call),
                             http_client_is_reused (call->gw->cli, call->call),
                             &answer)];
}

static const char *const phase_names[] = { [ADAPTER_WHOLE] = "whole",
                                           [ADAPTER_PREFILL_ONLY] = "prompt",
                                           [ADAPTER_RELAY] = "relay" };

static void
note_limit (struct gw_call *call)
{
  const struct adapter_answer *answer = &call->answer;

  if (call->phase != ADAPTER_RELAY)
    limit_note_answer (&call->runner->limit, answer->has_limit,
                       answer->limit_per_s, gw_now (call->gw));
}

static int
has_event_type (const struct http_head *head)
{
  static const char type[] = "text/event-stream";
  struct http_str value = http_head_get (head, "content-type");

  return value.n >= strlen (type)
         && g_ascii_strncasecmp (value.p, type, strlen (type)) == 0;
}

static enum http_client_verdict
on_head (void *ctx, const struct http_head *head)
{
  struct gw_call *call = ctx;
  struct gw *gw = call->gw;
  struct adapter_answer *answer = &call->answer;
  enum http_client_verdict verdict;

  gw->adapter->answer_read (head, answer);
  /* Also an answer to another request is from this runner's process.  */
  if (call->phase != ADAPTER_RELAY)
    gw_runner_note_answer (gw, call->runner, answer);
  else
    gw_runner_note_relayed (gw, answer);
  verdict = check_owner (call);
  if (verdict != HTTP_CLIENT_ACCEPT)
    {
      event_log_write ("foreign_answer", call->in.id,
                       "\"runner\":\"%s\",\"status\":%d,\"named\":%d",
                       call->runner->entry.id, answer->status,
                       answer->id.p != NULL);
      memset (answer, 0, sizeof *answer);
      return verdict;
    }
  gw_probe_unwatch (call);
  call->runner->answered_us = gw_now (gw);
  gw_pace_note_head (call);
  if (answer->has_load && call->phase != ADAPTER_RELAY)
    pool_note_load (call->runner, answer->running, answer->waiting,
                    gw_now (gw));
  note_limit (call);
  note_prefill_end (call);
  if (call->route->kind != ROUTING_STREAM && answer->stamped
      && !answer->not_run)
    gw_usage_note_begun (call);
  call->closing
      = http_str_equal_nocase (http_head_get (head, "connection"), "close");
  call->framing = head->framing;
  call->announced_length
      = head->complete ? MAX (http_head_length (head), 0) : 0;
  if (call->streaming)
    {
      /* A success of another type isn't the rest of the stream.  */
      if (call->is_event_type && !has_event_type (head))
        answer->stamped = 0;
      return HTTP_CLIENT_ACCEPT;
    }
  call->is_event_type = has_event_type (head);
  if (call->fields == NULL)
    call->fields = g_string_sized_new (256);
  if (call->data == NULL)
    call->data = g_string_sized_new (1024);
  g_string_truncate (call->fields, 0);
  g_string_truncate (call->data, 0);
  call->searched = 0;
  gw->adapter->answer_copy (call->fields, head);
  if (call->request_listener == &gw->request_listeners[GW_LISTENER_GATEWAYS]
      && answer->leaving)
    gw->adapter->relayed_from_write (call->fields, call->runner->peer);
  return HTTP_CLIENT_ACCEPT;
}

/* Notes the id of the last event in DATA, which holds complete events.  */
static void
note_events (struct gw_call *call, const char *data, size_t size)
{
  const char *end = data + size;
  const char *line = data;

  while (line < end)
    {
      const char *lf = memchr (line, '\n', (size_t)(end - line));
      if (lf == NULL)
        return;
      if (lf - line > 3 && memcmp (line, "id:", 3) == 0)
        call->last_event = g_ascii_strtoull (line + 3, NULL, 10);
      line = lf + 1;
    }
}

/* Returns nonzero when an event ends with the first N bytes of DATA.  */
static int
is_event_end (const char *data, size_t n)
{
  return n >= 2 && data[n - 1] == '\n'
         && (data[n - 2] == '\n'
             || (n >= 4 && memcmp (data + n - 4, "\r\n\r\n", 4) == 0));
}

/* Returns the length of the complete events at the start of the data.  What
   has been searched before is not searched again.  */
static size_t
whole_events (struct gw_call *call)
{
  const GString *data = call->data;
  size_t n = data->len;

  while (n > call->searched && !is_event_end (data->str, n))
    n--;
  call->gw->counts.searched_bytes += data->len - n;
  if (n > call->searched)
    {
      call->searched = data->len - n;
      return n;
    }
  call->searched = data->len;
  return 0;
}

/* Returns nonzero when the complete events in DATA follow the event LAST: each
   has a greater id than the one before.  Comments may stand between them.  */
static int
events_follow (const char *data, size_t size, uint64_t last)
{
  const char *end = data + size;
  const char *line = data;
  int has_id = 0;
  int has_other = 0;

  while (line < end)
    {
      const char *lf = memchr (line, '\n', (size_t)(end - line));
      size_t n = (size_t)((lf != NULL ? lf : end) - line);
      if (n > 0 && line[n - 1] == '\r')
        n--;
      if (n == 0)
        {
          if (has_other && !has_id)
            return 0;
          has_id = has_other = 0;
        }
      else if (n > 3 && memcmp (line, "id:", 3) == 0)
        {
          uint64_t id = g_ascii_strtoull (line + 3, NULL, 10);
          if (id <= last)
            return 0;
          last = id;
          has_id = 1;
        }
      else
        has_other |= line[0] != ':';
      line = lf != NULL ? lf + 1 : end;
    }
  return 1;
}

/* Notes once for each send that the runner has survived its answer so far.  */
static void
note_survived (struct gw_call *call)
{
  if (call->answer_noted || call->phase != ADAPTER_WHOLE)
    return;
  call->answer_noted = 1;
  gw_quarantine_note_answer (call);
}

static void on_done (void *ctx, enum http_client_result end);

void
gw_send_break (struct gw_call *call)
{
  http_client_cancel (call->gw->cli, call->call);
  on_done (call, HTTP_CLIENT_BROKEN);
}

/* Passes on the complete events that have been received.  Returns 0, or -1
   when they aren't the rest of a stream that has begun; the send then breaks.
 */
static int
pass_events (struct gw_call *call)
{
  size_t n = whole_events (call);
  int64_t now = gw_now (call->gw);

  if (n == 0)
    return 0;
  if (call->continues && !events_follow (call->data->str, n, call->last_event))
    {
      event_log_write ("not_continued", call->in.id,
                       "\"runner\":\"%s\",\"last_event\":%" G_GUINT64_FORMAT,
                       call->runner->entry.id, call->last_event);
      gw_send_break (call);
      return -1;
    }
  gw_pace_note_event (call);
  if (call->first_event == 0)
    {
      call->first_event = now;
      if (call->phase == ADAPTER_WHOLE)
        gw_resume_note_begun (call);
      gw_usage_note_begun (call);
    }
  else if (now - call->first_event >= gw_ms_to_us (CRASH_DELAY_MS))
    note_survived (call);
  if (!call->streaming)
    start_answer (call);
  note_events (call, call->data->str, n);
  http_server_send_body (call->request_listener->srv, call->conn,
                         call->data->str, n);
  g_string_erase (call->data, 0, (gssize)n);
  return 0;
}

/* Breaks off an answer that is longer than what can be held.  */
static void
break_off (struct gw_call *call)
{
  event_log_write ("answer_excess", call->in.id,
                   "\"runner\":\"%s\",\"status\":%d,\"stamped\":%d,\"held\":"
                   "%zu,\"limit\":%d",
                   call->runner->entry.id, call->answer.status,
                   call->answer.stamped, call->data->len, ANSWER_BUFFER_BYTES);
  gw_send_break (call);
}

/* Returns nonzero when the answer in progress is a stream of events.  */
static int
is_event_stream (const struct gw_call *call)
{
  return call->phase != ADAPTER_PREFILL_ONLY
         && call->route->kind == ROUTING_STREAM && call->answer.status == 200
         && call->answer.stamped;
}

/* Returns nonzero when a stream has ended before its end: inside an event or,
   if only the end of the connection ends it, before the first one.  */
static int
is_cut_off (const struct gw_call *call)
{
  if (!is_event_stream (call))
    return 0;
  return strspn (call->data->str, "\r\n") < call->data->len
         || (call->framing == HTTP_FRAMING_CONNECTION && call->first_event == 0
             && call->last_event == call->in.last_event);
}

/* Returns the result of a send whose answer ended as END says, by the content
   of the answer.  */
static enum http_client_result
judge_end (const struct gw_call *call, enum http_client_result end)
{
  if (end != HTTP_CLIENT_COMPLETE && end != HTTP_CLIENT_CLOSED)
    return end;
  if (is_cut_off (call))
    return HTTP_CLIENT_BROKEN;
  /* The last chunk would tell the client that the answer is whole.  */
  if (end == HTTP_CLIENT_CLOSED && call->streaming && !call->until_close)
    return HTTP_CLIENT_BROKEN;
  return HTTP_CLIENT_COMPLETE;
}

static void
on_body (void *ctx, const char *data, size_t size)
{
  struct gw_call *call = ctx;
  int is_stream = is_event_stream (call);

  call->gw->counts.answer_bytes += size;
  call->gw->counts.answer_pieces++;
  /* The body of a refusal to resume a stream isn't part of the stream.  */
  if (call->streaming && (!call->answer.stamped || call->answer.status != 200))
    {
      call->discarded += size;
      if (call->discarded > ANSWER_BUFFER_BYTES)
        break_off (call);
      return;
    }
  if (call->data->len + size > ANSWER_BUFFER_BYTES && !is_stream
      && !call->streaming && call->answer.stamped
      && call->phase != ADAPTER_PREFILL_ONLY)
    /* Too long to buffer: from here on there is no retry.  */
    start_answer (call);
  g_string_append_len (call->data, data, (gssize)size);
  membudget_set (&call->gw->budget, MEMBUDGET_ANSWER, &call->data_charged,
                 call->data->allocated_len);
  if (is_stream)
    {
      if (pass_events (call) != 0)
        return;
    }
  else if (call->streaming)
    {
      http_server_send_body (call->request_listener->srv, call->conn,
                             call->data->str, call->data->len);
      g_string_truncate (call->data, 0);
    }
  if (call->data->len > ANSWER_BUFFER_BYTES)
    break_off (call);
}

static void
note_latency (struct gw *gw, int64_t took_us)
{
  int64_t ms = took_us / 1000;
  int i = 0;

  while (i < GW_LATENCY_BUCKETS - 1 && ms >= (INT64_C (1) << i))
    i++;
  gw->latency[i]++;
}

static void
answer_whole (struct gw_call *call)
{
  struct gw *gw = call->gw;

  reqstate_apply (&call->reqstate, REQSTATE_EV_DONE);
  gw->counts.answered++;
  note_latency (gw, gw_now (gw) - call->arrived);
  event_log_write (
      "answered", call->in.id,
      "\"status\":%d,\"runner\":\"%s\",\"version\":%" G_GUINT64_FORMAT
      ",\"sends\":%u,\"framing\":\"%s\",\"first_ms\":%" G_GINT64_FORMAT
      ",\"ms\":%" G_GINT64_FORMAT ",\"tenant\":\"%s\""
      ",\"pause_ms\":%" G_GINT64_FORMAT
      ",\"pause_target_ms\":%" G_GINT64_FORMAT,
      call->answer.status, call->runner->entry.id, call->table->version,
      call->reqstate.sends, http_framing_name (call->framing),
      ((call->streaming ? call->answer_began : gw_now (gw)) - call->arrived)
          / 1000,
      (gw_now (gw) - call->arrived) / 1000, gw_tenant_label (call),
      call->pause_us / 1000, call->route->gap_ms);
  finish_answer (call);
  gw_call_end (call);
}

/* Logs which parts of a prompt were in progress at a runner that broke off. */
static void
log_broken (const struct gw_call *call)
{
  const struct lb_prompt *prompt = &call->in.prompt;
  GString *parts = g_string_new (NULL);
  size_t i;

  for (i = 0; i < prompt->n_blocks; i++)
    g_string_append_printf (parts, "%s%" G_GINT64_MODIFIER "x", i ? "," : "",
                            prompt->blocks[i].id);
  event_log_write ("broken", call->in.id,
                   "\"runner\":\"%s\",\"phase\":\"%s\",\"framing\":\"%s\","
                   "\"last_event\":%" G_GUINT64_FORMAT ",\"left_over\":%zu,"
                   "\"ms\":%" G_GINT64_FORMAT ",\"parts\":\"%s\"",
                   call->runner->entry.id, phase_names[call->phase],
                   call->answer.status != 0 ? http_framing_name (call->framing)
                                            : "",
                   call->last_event, call->data != NULL ? call->data->len : 0,
                   (gw_now (call->gw) - call->sent) / 1000, parts->str);
  g_string_free (parts, TRUE);
}

static void
note_broken (struct gw_call *call)
{
  log_broken (call);
  if (call->phase != ADAPTER_RELAY && !call->answer_noted)
    gw_fate_note_broken (call);
}

static void
prompt_done (struct gw_call *call, enum http_client_result end,
             const struct hop_verdict *verdict)
{
  struct pool_runner *runner = call->runner;
  struct gw *gw = call->gw;
  char handle[64];

  if (verdict->act == HOP_GO_ON && call->answer.status == 200
      && gw->adapter->handle_read (call->data->str, call->data->len, handle,
                                   sizeof handle)
             == 0)
    {
      g_snprintf (call->kv_handle, sizeof call->kv_handle, "%s/%s",
                  runner->entry.address, handle);
      pool_note_answer (runner, gw_now (gw) - call->sent, gw_now (gw));
      gw_pace_note_read (call);
      call->prompt_read = 1;
      gw_send_set_source (call, runner);
      gw_call_dispatch (call);
      return;
    }
  if (verdict->reply == HOP_REPLY_REFUSAL
      || verdict->reply == HOP_REPLY_REJECTED)
    pool_note_refusal (runner, gw_now (gw));
  else
    pool_note_failure (runner,
                       end == HTTP_CLIENT_NOT_SENT ? POOL_UNREACHABLE
                                                   : POOL_CONNECTION_BROKEN,
                       gw_now (gw));
  event_log_write (
      "prompt_failed", call->in.id,
      "\"runner\":\"%s\",\"status\":%d,\"end\":%d,\"ms\":%" G_GINT64_FORMAT,
      runner->entry.id, call->answer.status, end,
      (gw_now (gw) - call->sent) / 1000);
  call->answer.stamped = 0;
  exclude (call, runner);
  if (call->n_excluded >= 2
      || (end != HTTP_CLIENT_NOT_SENT && !gw_send_take_retry (call)))
    gw_call_fail (call, 0, "prompt not read");
  else
    gw_call_dispatch (call);
}

/* Notes whether the KV cache offered with this send could be fetched.  */
static void
note_kv_transfer (struct gw_call *call, int taken)
{
  if (call->source == NULL)
    return;
  pool_note_kv_transfer (call->source, taken, gw_now (call->gw));
  gw_send_set_source (call, NULL);
}

/* Passes another gateway's refusal on.  */
static void
pass_refusal (struct gw_call *call)
{
  int status = call->answer.status;

  call->gw->counts.refused++;
  event_log_write ("refused", call->in.id,
                   "\"status\":%d,\"why\":\"relay\",\"relay\":\"%s\"", status,
                   call->runner->entry.id);
  http_server_respond (call->request_listener->srv, call->conn, status,
                       call->fields->str, "", 0);
  gw_call_end (call);
}

/* Notes what the end of a send tells of the gateway that it went to.  */
static void
note_relay_end (struct gw_call *call, const struct hop_verdict *verdict)
{
  int64_t now = gw_now (call->gw);

  if (verdict->reply == HOP_REPLY_CUT)
    pool_note_failure (call->runner, POOL_CONNECTION_BROKEN, now);
  else if (verdict->reply == HOP_REPLY_REJECTED)
    pool_note_refusal (call->runner, now);
  else if (verdict->run == HOP_NOT_RUN
           && (verdict->reply == HOP_REPLY_UNSENT || call->closing))
    pool_note_failure (call->runner, POOL_UNREACHABLE, now);
}

/* Notes what the end of a send tells of its runner, whose answer ended with
   its connection if CLOSED.  */
static void
note_runner_end (struct gw_call *call, const struct hop_verdict *verdict,
                 int closed)
{
  struct gw *gw = call->gw;
  struct pool_runner *runner = call->runner;
  int64_t now = gw_now (gw);

  switch (verdict->reply)
    {
    case HOP_REPLY_UNSENT:
      pool_note_failure (runner, POOL_UNREACHABLE, now);
      gw_fate_note_reached (gw, runner, call->sent, 0);
      break;
    case HOP_REPLY_CUT:
      http_client_close_idle (gw->cli, runner->peer);
      pool_note_failure (runner, POOL_CONNECTION_BROKEN, now);
      break;
    case HOP_REPLY_REFUSAL:
    case HOP_REPLY_REJECTED:
      pool_note_refusal (runner, now);
      note_kv_transfer (call, 0);
      break;
    default:
      if (call->streaming && call->answer.status != 200)
        break;
      if (call->answer.status >= 500)
        {
          pool_note_failure (runner, POOL_ERROR_ANSWER, now);
          break;
        }
      gw_pace_note_answer (call);
      if (!closed)
        gw_fate_note_reached (gw, runner, call->sent, 1);
      note_kv_transfer (call, 1);
      if (call->answer.stamped && !closed)
        note_survived (call);
      break;
    }
}

static void
note_run (struct gw_call *call, const struct hop_verdict *verdict)
{
  enum reqstate_event event = REQSTATE_EV_LOST;

  if (verdict->reply == HOP_REPLY_UNSENT)
    event = REQSTATE_EV_UNREACHED;
  else if (verdict->run == HOP_NOT_RUN)
    event = REQSTATE_EV_NOT_RUN;
  reqstate_apply (&call->reqstate, event);
}

static void
on_done (void *ctx, enum http_client_result end)
{
  struct gw_call *call = ctx;
  int closed = end == HTTP_CLIENT_CLOSED;
  struct hop_send send = { .via = sent_via (call),
                           .repeatable = gw_call_idempotent (call),
                           .began = call->streaming };
  struct hop_answer answer;
  struct hop_verdict verdict;

  note_send_end (call);
  call->gw->counts.until_close += closed;
  end = judge_end (call, end);
  answer = describe_answer (call, end);
  verdict = hop_judge (&send, &answer);
  if (end == HTTP_CLIENT_BROKEN)
    note_broken (call);
  else if (closed && call->phase != ADAPTER_RELAY && !call->answer_noted)
    gw_fate_note_closed (call);
  if (call->phase == ADAPTER_PREFILL_ONLY)
    {
      prompt_done (call, end, &verdict);
      return;
    }
  note_run (call, &verdict);
  if (call->phase == ADAPTER_RELAY)
    note_relay_end (call, &verdict);
  else
    note_runner_end (call, &verdict, closed);
  switch (verdict.act)
    {
    case HOP_PASS:
      answer_whole (call);
      return;
    case HOP_PASS_REFUSAL:
      if (!call->closing)
        {
          pass_refusal (call);
          return;
        }
      /* A gateway that stops refuses what others take.  */
      /* fall through */
    case HOP_ELSEWHERE:
      exclude (call, call->runner);
      gw_call_dispatch (call);
      return;
    default:
      retry_or_fail (call,
                     call->phase == ADAPTER_RELAY
                         ? "relay failed"
                         : hop_reply_name (verdict.reply),
                     verdict.act == HOP_RETRY_OR_PASS);
      return;
    }
}

/* Counts the send.  Reading the prompt isn't one of the request.  */
static void
note_sent (struct gw_call *call)
{
  struct gw *gw = call->gw;

  if (call->phase == ADAPTER_PREFILL_ONLY)
    {
      gw->counts.prefills++;
      return;
    }
  reqstate_apply (&call->reqstate, REQSTATE_EV_SEND);
  call->kv_handle[0] = '\0';
  gw->counts.relayed += call->phase == ADAPTER_RELAY;
}

int
gw_send (struct gw_call *call, const struct lb_choice *choice,
         enum adapter_phase phase)
{
  static const struct http_client_ops ops
      = { on_head, on_body, on_done, 0, 0 };
  static const struct http_client_ops prompt_ops
      = { on_head, on_body, on_done, PROMPT_ANSWER_MAX_BYTES, 0 };
  struct gw *gw = call->gw;
  struct pool_runner *runner = choice->runner;
  int64_t now = gw_now (gw);
  struct adapter_send send
      = { .runner_id = runner->entry.id,
          .budget_ms = (call->deadline - now) / 1000,
          .phase = phase,
          .urgency = gw_tenant_urgency (call, phase),
          .last_event = call->last_event,
          .version = call->table->version,
          .tenant = call->tenant != NULL ? call->tenant->name : NULL };
  GString *out = g_string_sized_new (1024);

  if (call->kv_handle[0] != '\0' && phase == ADAPTER_WHOLE)
    send.kv_handle = call->kv_handle;
  gw->adapter->request_write (out, call->head, NULL, call->size, &send);
  call->call = http_client_send (
      gw->cli, runner->entry.address, runner->peer, out->str, out->len,
      call->body, CONNECT_MS,
      gw_call_idempotent (call) || phase == ADAPTER_PREFILL_ONLY
          ? REUSE_IDEMPOTENT_MAX_IDLE_MS
          : REUSE_ONCE_MAX_IDLE_MS,
      phase == ADAPTER_PREFILL_ONLY ? &prompt_ops : &ops, call);
  g_string_free (out, TRUE);
  if (call->call == 0)
    return -1;
  memset (&call->answer, 0, sizeof call->answer);
  call->answer_id = HOP_ID_NONE;
  call->continues = call->streaming;
  call->discarded = 0;
  call->first_event = 0;
  call->answer_noted = 0;
  call->fate_open = 0;
  if (call->data != NULL)
    g_string_truncate (call->data, 0);
  call->searched = 0;
  if (!call->first_send_counted && phase != ADAPTER_RELAY)
    budget_first (call);
  if (phase != ADAPTER_RELAY)
    gw_share_note (call, 1);
  gw_call_forget_view (call);
  call->phase = phase;
  gw_send_set_runner (call, runner);
  call->sent = now;
  gw_pace_note_send (call, choice, send.kv_handle != NULL);
  runner->calls++;
  runner->tokens += choice->uncached_tokens;
  limit_note_send (&runner->limit, now);
  gw_peers_note_limit (gw, runner);
  gw_peers_note_load (gw, runner);
  if (phase == ADAPTER_PREFILL_ONLY
      || (phase == ADAPTER_WHOLE && gw_call_idempotent (call)))
    gw_probe_watch (call, choice->first_byte_us);
  if (phase != ADAPTER_RELAY)
    gw_quarantine_note_send (call);
  if (phase != ADAPTER_RELAY && call->in.prompt.n_blocks > 0)
    lb_note_prefill (gw->lb, runner, &call->in.prompt, now);
  note_sent (call);
  event_log_write (
      "sent", call->in.id,
      "\"runner\":\"%s\",\"build\":\"%s\",\"phase\":\"%s\",\"last_event\":"
      "%" G_GUINT64_FORMAT ",\"load\":%.1f,\"load_age_ms\":"
      "%" G_GINT64_FORMAT ",\"unread\":%u,\"wait_ms\":%.0f,\"first_ms\":%.0f"
      ",\"left_ms\":%" G_GINT64_FORMAT,
      runner->entry.id, runner->entry.build, phase_names[phase],
      call->last_event, pool_load (runner, now),
      pool_load_age (runner, now) / 1000, choice->uncached_tokens,
      choice->queue_us / 1000, choice->first_byte_us / 1000, send.budget_ms);
  return 0;
}
