/* One send of a request to a runner, and what comes back.  */
#include <string.h>

#include "gw_call.h"

enum
{
  CONNECT_MS = 400, /* many times the delay between two zones */
  /* Rest of a kept connection before it is used again.  Runners were seen to
     forget connections after 300 ms; what may run once only is then lost.  */
  REST_ONCE_MS = 200,
  REST_REPEATABLE_MS = 10000,
  BUFFER_MAX = 256 * 1024 /* of an answer that isn't streamed */
};

/* The runner has read the prompt.  */
static void
prompt_over (struct gw_call *call)
{
  call->runner->tokens = MAX (call->runner->tokens - call->reading, 0.0);
  call->reading = 0;
}

/* Ends the accounts of the send in progress.  */
static void
send_over (struct gw_call *call)
{
  if (call->call == 0)
    return;
  call->call = 0;
  call->runner->calls--;
  prompt_over (call);
}

void
gw_send_source (struct gw_call *call, struct memb_runner *runner)
{
  if (call->source != NULL)
    call->source->references--;
  call->source = runner;
  if (runner != NULL)
    runner->references++;
}

void
gw_send_cancel (struct gw_call *call)
{
  if (call->call == 0)
    return;
  hcli_cancel (call->gw->cli, call->call);
  send_over (call);
}

static enum hcli_take
ignore_head (void *ctx, const struct hhead *head)
{
  (void)ctx;
  (void)head;
  return HCLI_TAKE;
}

static void
ignore_body (void *ctx, const char *data, size_t size)
{
  (void)ctx;
  (void)data;
  (void)size;
}

static void
ignore_done (void *ctx, enum hcli_end end)
{
  (void)ctx;
  (void)end;
}

void
gw_send_free_memory (struct gw_call *call)
{
  /* The engine drops it by itself when this call is lost.  */
  static const struct hcli_ops ops = { ignore_head, ignore_body, ignore_done };
  GString *out;
  char *slash = strchr (call->memory, '/');

  if (slash == NULL)
    return;
  *slash = '\0';
  out = g_string_new (NULL);
  call->gw->adp->handle_free_write (out, call->memory, slash + 1);
  hcli_call (call->gw->cli, call->memory, call->memory, out->str, out->len,
             CONNECT_MS, REST_REPEATABLE_MS, &ops, NULL);
  g_string_free (out, TRUE);
  call->memory[0] = '\0';
}

static struct sbud_config
budget_config (const struct gw *gw)
{
  struct sbud_config config = { gw->set.repeat_ratio, gw->set.repeat_slack,
                                (int64_t)(gw->set.repeat_window_ms * 1000) };

  return config;
}

int
gw_send_budget (struct gw_call *call)
{
  struct gw *gw = call->gw;
  struct sbud_config config = budget_config (gw);

  return sbud_take (gw_budget (gw, call->service_name), &config, gw->processes,
                    gw_now (gw));
}

static void
budget_first (struct gw_call *call)
{
  struct gw *gw = call->gw;
  struct sbud_config config = budget_config (gw);

  call->sent_once = 1;
  sbud_first (gw_budget (gw, call->service_name), &config, gw_now (gw));
}

static void
exclude (struct gw_call *call, struct memb_runner *runner)
{
  if (call->n_excluded == GW_EXCLUDED_MAX)
    return;
  call->excluded[call->n_excluded++] = runner;
  runner->references++;
}

/* Sends the request once more where that can't run it too often, else passes
   on what is known.  */
static void
repeat_or_give_up (struct gw_call *call, const char *why)
{
  struct gw *gw = call->gw;
  struct memb_runner *runner = call->runner;

  exclude (call, runner);
  call->memory[0] = '\0';
  if (!outc_may_repeat (&call->outc, gw_call_idempotent (call),
                        call->route->attempts)
      || (call->streaming && call->route->kind != RTAB_STREAM)
      || gw_now (gw) >= call->deadline || !gw_send_budget (call))
    {
      if (call->outc.state < OUTC_STARTED && call->answer.stamped
          && call->data != NULL)
        {
          jlog ("passed", call->in.id, "\"status\":%d,\"runner\":\"%s\"",
                call->answer.status, runner->entry.id);
          hsrv_answer (call->door->srv, call->conn, call->answer.status,
                       call->fields->str, call->data->str, call->data->len);
          gw_call_end (call);
          return;
        }
      gw_call_give_up (call, 0, why);
      return;
    }
  gw->counts.repeats++;
  jlog ("repeat", call->in.id,
        "\"why\":\"%s\",\"runner\":\"%s\",\"sends\":%u,\"last_event\":"
        "%" G_GUINT64_FORMAT,
        why, runner->entry.id, call->outc.sends, call->last_event);
  gw_call_place (call);
}

static enum hcli_take
on_head (void *ctx, const struct hhead *head)
{
  struct gw_call *call = ctx;
  struct gw *gw = call->gw;
  struct adp_answer *answer = &call->answer;

  gw->adp->answer_read (head, answer);
  if (answer->id.p != NULL ? !hspan_same (answer->id, call->in.id)
                           : answer->status < 300 && answer->stamped)
    {
      jlog ("foreign_answer", call->in.id, "\"runner\":\"%s\"",
            call->runner->entry.id);
      return HCLI_SKIP;
    }
  if (answer->has_load && call->phase != ADP_RELAY)
    memb_told (call->runner, answer->running, answer->waiting, gw_now (gw));
  prompt_over (call);
  call->leaving = hspan_is (hhead_get (head, "connection"), "close");
  if (call->streaming)
    return HCLI_TAKE;
  if (call->fields == NULL)
    call->fields = g_string_sized_new (256);
  if (call->data == NULL)
    call->data = g_string_sized_new (1024);
  g_string_truncate (call->fields, 0);
  g_string_truncate (call->data, 0);
  gw->adp->answer_copy (call->fields, head);
  return HCLI_TAKE;
}

/* Notes the id of the last event in whole events.  */
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

/* Returns the length of the whole events at the start of DATA.  */
static size_t
whole_events (const char *data, size_t size)
{
  size_t i;

  for (i = size; i >= 2; i--)
    if (data[i - 1] == '\n'
        && (data[i - 2] == '\n'
            || (i >= 4 && memcmp (data + i - 4, "\r\n\r\n", 4) == 0)))
      return i;
  return 0;
}

/* Begins the answer; from here on it can only go on.  */
static void
start_answer (struct gw_call *call)
{
  call->streaming = 1;
  outc_apply (&call->outc, OUTC_EV_START);
  hsrv_start (call->door->srv, call->conn, call->answer.status,
              call->fields->str, -1);
}

static void
pass_events (struct gw_call *call)
{
  size_t n = whole_events (call->data->str, call->data->len);

  if (n == 0)
    return;
  if (!call->streaming)
    start_answer (call);
  note_events (call, call->data->str, n);
  hsrv_send (call->door->srv, call->conn, call->data->str, n);
  g_string_erase (call->data, 0, (gssize)n);
}

static void
on_body (void *ctx, const char *data, size_t size)
{
  struct gw_call *call = ctx;

  /* A refusal to go on with a stream isn't part of it.  */
  if (call->streaming && (!call->answer.stamped || call->answer.status != 200))
    return;
  if (call->data->len + size > BUFFER_MAX && call->route->kind != RTAB_STREAM
      && !call->streaming && call->answer.stamped)
    /* Too long to hold: what follows can't be repeated.  */
    start_answer (call);
  g_string_append_len (call->data, data, (gssize)size);
  if (call->phase != ADP_PROMPT_ONLY && call->route->kind == RTAB_STREAM
      && call->answer.status == 200 && call->answer.stamped)
    pass_events (call);
  else if (call->streaming)
    {
      hsrv_send (call->door->srv, call->conn, call->data->str,
                 call->data->len);
      g_string_truncate (call->data, 0);
    }
}

static void
note_latency (struct gw *gw, int64_t took_us)
{
  int64_t ms = took_us / 1000;
  int i = 0;

  while (i < GW_BUCKETS - 1 && ms >= (INT64_C (1) << i))
    i++;
  gw->latency[i]++;
}

static void
answer_whole (struct gw_call *call)
{
  struct gw *gw = call->gw;

  outc_apply (&call->outc, OUTC_EV_DONE);
  gw->counts.answered++;
  note_latency (gw, gw_now (gw) - call->arrived);
  jlog ("answered", call->in.id,
        "\"status\":%d,\"runner\":\"%s\",\"version\":%" G_GUINT64_FORMAT
        ",\"sends\":%u,\"ms\":%" G_GINT64_FORMAT,
        call->answer.status, call->runner->entry.id, call->table->version,
        call->outc.sends, (gw_now (gw) - call->arrived) / 1000);
  if (call->streaming)
    {
      hsrv_send (call->door->srv, call->conn, call->data->str,
                 call->data->len);
      hsrv_finish (call->door->srv, call->conn);
    }
  else
    hsrv_answer (call->door->srv, call->conn, call->answer.status,
                 call->fields->str, call->data->str, call->data->len);
  gw_call_end (call);
}

static void
prompt_done (struct gw_call *call, enum hcli_end end)
{
  struct memb_runner *runner = call->runner;
  struct gw *gw = call->gw;
  char handle[64];

  if (end == HCLI_WHOLE && call->answer.status == 200
      && gw->adp->handle_read (call->data->str, call->data->len, handle,
                               sizeof handle)
             == 0)
    {
      g_snprintf (call->memory, sizeof call->memory, "%s/%s",
                  runner->entry.address, handle);
      memb_answered (runner, gw_now (gw) - call->sent, gw_now (gw));
      call->prompt_read = 1;
      gw_send_source (call, runner);
      gw_call_place (call);
      return;
    }
  if (end == HCLI_WHOLE && call->answer.not_run)
    memb_refused (runner, gw_now (gw));
  else
    memb_failed (runner, end == HCLI_NOT_SENT ? MEMB_UNREACHED : MEMB_BROKEN,
                 gw_now (gw));
  jlog ("prompt_failed", call->in.id,
        "\"runner\":\"%s\",\"status\":%d,\"end\":%d,\"ms\":%" G_GINT64_FORMAT,
        runner->entry.id, call->answer.status, end,
        (gw_now (gw) - call->sent) / 1000);
  call->answer.stamped = 0;
  exclude (call, runner);
  if (call->n_excluded >= 2
      || (end != HCLI_NOT_SENT && !gw_send_budget (call)))
    gw_call_give_up (call, 0, "prompt not read");
  else
    gw_call_place (call);
}

/* Notes whether the memory that this send offered could be taken.  */
static void
note_moved (struct gw_call *call, int taken)
{
  if (call->source == NULL)
    return;
  memb_moved (call->source, taken, gw_now (call->gw));
  gw_send_source (call, NULL);
}

/* Handles the end of a relayed request.  Returns 0 when it is to be treated
   like the answer of a runner.  */
static int
relay_done (struct gw_call *call, enum hcli_end end)
{
  struct gw *gw = call->gw;
  int64_t now = gw_now (gw);
  int status = call->answer.status;

  if (end == HCLI_WHOLE && call->answer.stamped)
    return 0;
  if (end == HCLI_BROKEN
      || (end == HCLI_WHOLE && status >= 500 && status != 503))
    {
      outc_apply (&call->outc, OUTC_EV_LOST);
      if (end == HCLI_BROKEN)
        memb_failed (call->runner, MEMB_BROKEN, now);
      repeat_or_give_up (call, "relay failed");
      return 1;
    }
  /* It says that it has not run the request.  */
  outc_apply (&call->outc,
              end == HCLI_NOT_SENT ? OUTC_EV_UNREACHED : OUTC_EV_NOT_RUN);
  if (end == HCLI_NOT_SENT || call->leaving)
    memb_failed (call->runner, MEMB_UNREACHED, now);
  if (end == HCLI_WHOLE && !call->leaving && (status == 503 || status == 429))
    {
      gw->counts.refused++;
      jlog ("refused", call->in.id,
            "\"status\":%d,\"why\":\"relay\",\"relay\":\"%s\"", status,
            call->runner->entry.id);
      hsrv_answer (call->door->srv, call->conn, status, call->fields->str, "",
                   0);
      gw_call_end (call);
      return 1;
    }
  exclude (call, call->runner);
  gw_call_place (call);
  return 1;
}

static void
on_done (void *ctx, enum hcli_end end)
{
  struct gw_call *call = ctx;
  struct gw *gw = call->gw;
  struct memb_runner *runner = call->runner;
  int64_t now = gw_now (gw);

  send_over (call);
  if (call->phase == ADP_PROMPT_ONLY)
    {
      prompt_done (call, end);
      return;
    }
  /* Part of an answer is never passed on as a whole one.  */
  if (end != HCLI_WHOLE)
    call->answer.stamped = 0;
  if (call->phase == ADP_RELAY && relay_done (call, end))
    return;
  if (end == HCLI_NOT_SENT)
    {
      outc_apply (&call->outc, OUTC_EV_UNREACHED);
      memb_failed (runner, MEMB_UNREACHED, now);
      repeat_or_give_up (call, "unreached");
      return;
    }
  if (end == HCLI_BROKEN)
    {
      hcli_forget (gw->cli, runner->peer);
      outc_apply (&call->outc, OUTC_EV_LOST);
      memb_failed (runner, MEMB_BROKEN, now);
      repeat_or_give_up (call, "broken");
      return;
    }
  if (call->answer.not_run)
    {
      outc_apply (&call->outc, OUTC_EV_NOT_RUN);
      call->answer.stamped = 0;
      memb_refused (runner, now);
      note_moved (call, 0);
      repeat_or_give_up (call, "not run");
      return;
    }
  if (call->streaming && call->answer.status != 200)
    {
      repeat_or_give_up (call, "not resumed");
      return;
    }
  if (call->answer.status >= 500 && call->phase != ADP_RELAY)
    {
      memb_failed (runner, MEMB_ERROR, now);
      if (gw_call_idempotent (call))
        {
          repeat_or_give_up (call, "runner failed");
          return;
        }
    }
  else
    {
      memb_answered (runner, now - call->sent, now);
      note_moved (call, 1);
    }
  if (call->answer.status < 300 && !call->answer.stamped)
    {
      repeat_or_give_up (call, "no stamp");
      return;
    }
  answer_whole (call);
}

static const char *const phase_names[] = {
  [ADP_WHOLE] = "whole", [ADP_PROMPT_ONLY] = "prompt", [ADP_RELAY] = "relay"
};

int
gw_send (struct gw_call *call, const struct plc_choice *choice,
         enum adp_phase phase)
{
  static const struct hcli_ops ops = { on_head, on_body, on_done };
  struct gw *gw = call->gw;
  struct memb_runner *runner = choice->runner;
  int64_t now = gw_now (gw);
  struct adp_send send
      = { .runner_id = runner->entry.id,
          .budget_ms = (call->deadline - now) / 1000,
          .phase = phase,
          .urgency
          = phase == ADP_RELAY ? -1 : (int)MIN (call->route->priority, 9u),
          .last_event = call->last_event };
  GString *out = g_string_sized_new (call->size + 1024);

  if (call->memory[0] != '\0' && phase == ADP_WHOLE)
    send.memory = call->memory;
  gw->adp->request_write (out, call->head, call->body, call->size, &send);
  call->call = hcli_call (gw->cli, runner->entry.address, runner->peer,
                          out->str, out->len, CONNECT_MS,
                          gw_call_idempotent (call) || phase == ADP_PROMPT_ONLY
                              ? REST_REPEATABLE_MS
                              : REST_ONCE_MS,
                          &ops, call);
  g_string_free (out, TRUE);
  if (call->call == 0)
    return -1;
  memset (&call->answer, 0, sizeof call->answer);
  if (call->data != NULL)
    g_string_truncate (call->data, 0);
  if (!call->sent_once && phase != ADP_RELAY)
    budget_first (call);
  call->phase = phase;
  call->runner = runner;
  call->sent = now;
  call->reading = choice->unread;
  runner->calls++;
  runner->tokens += choice->unread;
  if (phase != ADP_RELAY && call->in.prompt.n_parts > 0)
    plc_note (gw->plc, runner, &call->in.prompt, now);
  if (phase == ADP_PROMPT_ONLY)
    gw->counts.prompts++;
  else
    {
      outc_apply (&call->outc, OUTC_EV_SEND);
      call->memory[0] = '\0';
      gw->counts.relayed += phase == ADP_RELAY;
    }
  jlog ("sent", call->in.id,
        "\"runner\":\"%s\",\"phase\":\"%s\",\"load\":%.1f,\"load_age_ms\":"
        "%" G_GINT64_FORMAT ",\"unread\":%u,\"wait_ms\":%.0f,\"first_ms\":%.0f"
        ",\"left_ms\":%" G_GINT64_FORMAT,
        runner->entry.id, phase_names[phase], memb_load (runner, now),
        memb_load_age (runner, now) / 1000, choice->unread,
        choice->wait_us / 1000, choice->first_us / 1000, send.budget_ms);
  return 0;
}
