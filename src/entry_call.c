#include "entry.h"

#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "goldcresthatch/metric.h"
#include "goldcresthatch/log.h"
#include "goldcresthatch/suspect.h"

enum
{
  OUT_OF_ORDER_BYTES_MAX
  = 1 << 20, /* of an answer, kept after a gap in its frames */
  RETRY_AFTER_S = 1,
  /* Longest delay before a suspect is sent again after a runner refused it for
     another suspect.  */
  SUSPECT_RETRY_MAX_US = 200 * 1000,
  STATUS_UNPROCESSABLE = 422,
  STATUS_BAD_GATEWAY = 502,
  STATUS_UNAVAILABLE = 503,
  STATUS_GATEWAY_TIMEOUT = 504
};

/* The retry budget starts full, because a failed runner ends all its attempts
   at the same time.  The fourth attempt allows for a runner that refuses the
   call.  */
const struct retry_config entry_retry_config = {
  .ratio_permil = 100,
  .reserve = 100,
  .burst = 100,
  .attempts_max = 4,
  .backoff_us = 50000,
  .backoff_max_us = 1000000,
};

struct entry_call *
entry_call_new (struct entry *entry)
{
  struct entry_call *call = g_new0 (struct entry_call, 1);

  call->refs = 1;
  call->entry = entry;
  call->id = msg_id_new ();
  call->answer = g_string_new (NULL);
  pthread_mutex_init (&call->lock, NULL);
  metric_add (METRIC_ACTIVE_CALLS, 1);
  return call;
}

struct entry_call *
entry_call_ref (struct entry_call *call)
{
  g_atomic_int_inc (&call->refs);
  return call;
}

void
entry_call_unref (struct entry_call *call)
{
  if (!g_atomic_int_dec_and_test (&call->refs))
    return;
  g_free (call->method);
  g_free (call->path);
  g_free (call->target);
  g_free (call->content_type);
  g_free (call->service);
  g_free (call->trace);
  if (call->prompt != NULL)
    g_string_free (call->prompt, TRUE);
  g_bytes_unref (call->body.bytes);
  g_string_free (call->answer, TRUE);
  membudget_set (&call->entry->budget, MEMBUDGET_ANSWER, &call->answer_charged,
                 0);
  entry_claim_free (call);
  if (call->reassembly != NULL)
    reassembly_free (call->reassembly);
  pthread_mutex_destroy (&call->lock);
  g_free (call);
  metric_add (METRIC_ACTIVE_CALLS, -1);
}

static enum metric_id
outcome_counter (enum entry_outcome outcome)
{
  static const enum metric_id counters[ENTRY_OUTCOME_MAX] = {
    [ENTRY_OUTCOME_NOT_RUN] = METRIC_NOT_RUN,
    [ENTRY_OUTCOME_UNKNOWN] = METRIC_UNKNOWN,
    [ENTRY_OUTCOME_INVALID] = METRIC_INVALID,
  };

  return counters[outcome];
}

void
entry_call_fail (struct entry_call *call, unsigned status,
                 enum entry_outcome outcome, enum err_code code,
                 const char *step, const char *peer, const char *fmt, ...)
{
  struct entry_failure *failure = &call->failure;
  char text[ERR_TEXT_BYTES];
  va_list ap;

  if (call->ended)
    return;
  /* An earlier request under the same key may have run.  */
  if (outcome == ENTRY_OUTCOME_NOT_RUN && call->claim == NULL
      && entry_claim_may_exist (call))
    outcome = ENTRY_OUTCOME_UNKNOWN;
  va_start (ap, fmt);
  vsnprintf (text, sizeof text, fmt, ap);
  va_end (ap);
  err_set (&failure->err, code, step, peer, "%s", text);
  failure->status = status;
  failure->outcome = outcome;
  /* After status 503, a retry under the same key may also resolve an unknown
     outcome.  */
  failure->retry_after_s
      = outcome == ENTRY_OUTCOME_NOT_RUN || status == STATUS_UNAVAILABLE
            ? RETRY_AFTER_S
            : 0;
  if (call->stream && call->head_ready)
    entry_http_append_failure (call);
  call->failed = 1;
  call->ended = 1;
  call->head_ready = 1;
  call->runner_peer = 0;
  entry_trace_done (call, &failure->err);
  entry_warn_failed (call);
  metric_add (outcome_counter (outcome), 1);
  log_err (LOG_LEVEL_INFO, call->traceparent, &failure->err);
  entry_http_wake (call);
}

static void
fill_call (struct entry_call *call, const struct entry_runner *runner,
           struct msg *msg)
{
  struct msg_call *out = &msg->u.call;
  gint64 left_us = call->deadline_us - g_get_monotonic_time ();

  memset (msg, 0, sizeof *msg);
  msg->type = MSG_CALL;
  out->call = call->id;
  out->attempt = call->attempt;
  out->incarnation = runner->incarnation;
  out->window = runner->window;
  out->at_most_once = (uint64_t)call->at_most_once;
  out->method = msg_str_from (call->method);
  out->path = msg_str_from (call->target);
  out->content_type = msg_str_from (call->content_type);
  out->body.p = call->body.data;
  out->body.n = call->body.len;
  out->budget_ms = left_us > 0 ? (uint64_t)left_us / 1000 : 0;
  out->priority = call->priority;
  out->stream = (uint64_t)call->stream;
  out->resume_index = reassembly_tokens (call->reassembly);
  out->fingerprint = call->fingerprint;
  out->suspect = (uint64_t)call->runs_as_suspect;
  out->traceparent = msg_str_from (call->attempt_parent);
}

/* No runner is usable: the call is tried again on the next tick, for up to
   ENTRY_RUNNER_WAIT_US.  A stream that has begun and a call that may have run
   wait until the deadline.  The call's lock is held.  */
static void
wait_for_runner (struct entry_call *call)
{
  gint64 now = g_get_monotonic_time ();

  if (call->waiting_since_us == 0)
    call->waiting_since_us = now;
  if (!call->head_ready && !call->may_have_run
      && now - call->waiting_since_us >= ENTRY_RUNNER_WAIT_US)
    entry_call_fail (call, STATUS_UNAVAILABLE, ENTRY_OUTCOME_NOT_RUN,
                     ERR_LIMIT, "route", call->service,
                     "no runner takes work");
}

/* Fails a call that was in flight at too many crashes.  */
static void
fail_crashing_request (struct entry_call *call)
{
  entry_call_fail (call, STATUS_UNPROCESSABLE,
                   call->may_have_run ? ENTRY_OUTCOME_UNKNOWN
                                      : ENTRY_OUTCOME_NOT_RUN,
                   ERR_REFUSED, "suspect", call->service,
                   "the request was in flight at %d crashes of endpoints",
                   SUSPECT_CRASH_LIMIT);
  call->failure.retry_after_s = 0;
}

void
entry_call_send (struct entry_call *call, const struct entry_runner *runner)
{
  struct msg msg;

  call->runner_peer = runner->peer;
  call->attempt_us = g_get_monotonic_time ();
  call->ttft_us = runner->ttft_us;
  reassembly_begin (call->reassembly, call->attempt);
  reassembly_set_max (call->reassembly, MSG_ANSWER_MAX_BYTES);
  entry_trace_attempt (call, runner->name);
  fill_call (call, runner, &msg);
  net_send (call->entry->net, runner->peer, &msg, NULL);
}

/* Starts an attempt, or waits for a usable runner; the call's lock is
   held.  */
static void
start_attempt (struct entry_call *call)
{
  struct entry *entry = call->entry;
  struct entry_runner runner;

  if (entry_suspect_is_blocked (entry, call))
    {
      fail_crashing_request (call);
      return;
    }
  if (!entry_fleet_choose (entry, call, &runner))
    {
      wait_for_runner (call);
      return;
    }
  call->waiting_since_us = 0;
  call->retry_at_us = 0;
  call->attempts++;
  call->attempt = msg_id_new ();
  call->work = runner.work;
  call->previous_peer = runner.peer;
  if (call->at_most_once)
    entry_claim_start (call, &runner);
  else
    entry_call_send (call, &runner);
}

void
entry_call_admitted (struct entry_call *call)
{
  start_attempt (call);
}

void
entry_call_start (struct entry_call *call)
{
  struct entry *entry = call->entry;
  uint64_t evicted;

  pthread_mutex_lock (&entry->lock);
  g_hash_table_insert (entry->calls, &call->id, entry_call_ref (call));
  retry_note_first (&entry->retries, &entry_retry_config);
  pthread_mutex_unlock (&entry->lock);
  pthread_mutex_lock (&call->lock);
  call->started = 1;
  call->fingerprint = suspect_fingerprint (call->customer, call->path,
                                           call->body.data, call->body.len);
  call->reassembly
      = reassembly_new (call->stream ? REASSEMBLY_SSE : REASSEMBLY_BYTES,
                        OUT_OF_ORDER_BYTES_MAX);
  if (entry_admit_offer (entry, call, &evicted))
    entry_call_admitted (call);
  pthread_mutex_unlock (&call->lock);
  entry_admit_evict (entry, evicted);
}

/* Tells the agent to stop the current attempt; the call's lock is held.  */
static void
cancel_attempt (struct entry_call *call)
{
  struct msg msg = { .type = MSG_CANCEL };

  if (call->runner_peer == 0)
    return;
  msg.u.cancel.call = call->id;
  msg.u.cancel.attempt = call->attempt;
  net_send (call->entry->net, call->runner_peer, &msg, NULL);
  entry_fleet_release (call->entry, call->runner_peer, call, NULL);
  call->runner_peer = 0;
}

void
entry_call_answered (struct entry_call *call)
{
  call->head_ready = 1;
  call->ended = 1;
  entry_trace_done (call, NULL);
  entry_warn_answered (call);
  metric_add (METRIC_ANSWERED, 1);
  entry_http_wake (call);
}

void
entry_call_finish (struct entry_call *call)
{
  struct entry *entry = call->entry;

  if (call->runner_peer != 0)
    entry_fleet_release (entry, call->runner_peer, call, NULL);
  if (call->claim != NULL)
    {
      entry_claim_attempt_ended (call, MSG_OUTCOME_DONE);
      return;
    }
  call->runner_peer = 0;
  pthread_mutex_lock (&entry->lock);
  entry_suspect_release_runner (entry, call, 1);
  pthread_mutex_unlock (&entry->lock);
  entry_admit_answered (entry, call);
  entry_call_answered (call);
}

void
entry_call_head (struct entry_call *call, unsigned status,
                 struct msg_str content_type)
{
  char name[MSG_NAME_MAX_BYTES];

  if (!hop_is_final ((int)status)
      || (call->head_ready && status != call->status))
    {
      /* The caller already has the first part of an answer with another
         status, or there is none.  */
      entry_fleet_name (call->entry, call->runner_peer, name, sizeof name);
      cancel_attempt (call);
      entry_call_attempt_ended (
          call, MSG_OUTCOME_UNKNOWN, call->head_ready ? "resume" : "run", name,
          call->head_ready ? "the runner does not resume the stream"
                           : "the answer has an invalid status");
      return;
    }
  if (call->stream || call->prompt == NULL)
    entry_admit_first_token (call->entry, call);
  call->status = status;
  msg_str_copy (call->answer_type, sizeof call->answer_type, content_type);
  if (!call->stream || call->head_ready)
    return;
  call->head_ready = 1;
  entry_http_wake (call);
}

/* Notes what ANSWER holds.  Returns nonzero when there is room for it.  */
static int
charge_answer (struct entry_call *call)
{
  struct membudget *budget = &call->entry->budget;

  membudget_set (budget, MEMBUDGET_ANSWER, &call->answer_charged,
                 call->answer->allocated_len);
  return membudget_has_room (budget, 0, call->answer->len)
         || call->answer->len <= MEMBUDGET_LARGE_BYTES;
}

void
entry_call_data (struct entry_call *call, const struct msg_data *data)
{
  enum reassembly_verdict verdict
      = reassembly_data (call->reassembly, data->attempt, data->sequence,
                         data->bytes.p, data->bytes.n, call->answer);
  char name[MSG_NAME_MAX_BYTES];

  if (!charge_answer (call))
    {
      /* What follows breaks it, too.  */
      reassembly_set_max (call->reassembly, 0);
      verdict = REASSEMBLY_BROKEN;
    }
  if (call->stream)
    entry_http_wake (call);
  if (verdict != REASSEMBLY_BROKEN)
    return;
  if (!call->stream)
    {
      g_string_free (call->answer, TRUE);
      call->answer = g_string_new (NULL);
      charge_answer (call);
    }
  /* The agent ends the attempt of a claimed call.  */
  if (call->claim != NULL)
    return;
  entry_fleet_name (call->entry, call->runner_peer, name, sizeof name);
  cancel_attempt (call);
  entry_call_attempt_ended (call, MSG_OUTCOME_UNKNOWN, "run", name,
                            "the answer is too long");
}

struct hop_verdict
entry_call_judge (const struct entry_call *call, enum msg_outcome outcome,
                  int is_whole)
{
  /* A head that doesn't go on with what the caller has never gets here.  */
  struct hop_send send
      = { .via = HOP_AGENT, .repeatable = !call->at_most_once };
  struct hop_answer answer
      = { .end = HOP_END_CUT, .status = (int)call->status };

  if (outcome == MSG_OUTCOME_NOT_RUN)
    answer.end = HOP_END_UNSENT;
  else if (outcome == MSG_OUTCOME_DONE && is_whole)
    answer.end = HOP_END_WHOLE;
  return hop_judge (&send, &answer);
}

/* Decides whether an attempt that ended with OUTCOME is retried.  */
static struct retry_decision
decide_retry (struct entry_call *call, enum msg_outcome outcome)
{
  struct entry *entry = call->entry;
  struct retry_attempt attempt = {
    .failure = RETRY_UNKNOWN,
    .idempotent = !call->at_most_once,
    .attempts = call->attempts,
    .deadline_us = call->deadline_us,
  };
  struct retry_decision decision;
  uint64_t random;

  if (entry_call_judge (call, outcome, 0).run == HOP_NOT_RUN)
    attempt.failure = RETRY_NOT_RUN;
  else if (outcome == MSG_OUTCOME_CRASHED)
    attempt.failure = RETRY_CRASHED;
  randombytes_buf (&random, sizeof random);
  pthread_mutex_lock (&entry->lock);
  decision = retry_decide (&entry->retries, &entry_retry_config, &attempt,
                           g_get_monotonic_time (), random);
  pthread_mutex_unlock (&entry->lock);
  return decision;
}

/* Schedules the next attempt after the runner refused a suspect because it
   already runs a suspect of another entry.  The refused attempt does not count
   as a failed one.  */
static void
schedule_suspect_retry (struct entry_call *call)
{
  call->attempts--;
  call->retry_at_us = g_get_monotonic_time ()
                      + (gint64)randombytes_uniform (SUSPECT_RETRY_MAX_US);
}

void
entry_call_attempt_ended (struct entry_call *call, enum msg_outcome outcome,
                          const char *step, const char *peer, const char *text)
{
  struct retry_decision decision;

  if (call->claim != NULL)
    {
      entry_claim_attempt_ended (call, outcome);
      return;
    }
  call->runner_peer = 0;
  if (reassembly_closed (call->reassembly))
    {
      /* The caller has the complete answer; only its END was lost.  */
      entry_call_finish (call);
      return;
    }
  if (entry_call_judge (call, outcome, 0).run != HOP_NOT_RUN)
    call->may_have_run = 1;
  if (outcome == MSG_OUTCOME_NOT_RUN && strcmp (step, "suspect") == 0)
    {
      schedule_suspect_retry (call);
      return;
    }
  if (!call->at_most_once && entry_suspect_is_blocked (call->entry, call))
    {
      fail_crashing_request (call);
      return;
    }
  decision = decide_retry (call, outcome);
  if (decision.verdict == RETRY_YES)
    {
      entry_trace_attempt_ended (call, step, peer, text);
      metric_add (call->head_ready ? METRIC_RESUMES : METRIC_RETRIES, 1);
      if (!call->stream)
        g_string_truncate (call->answer, 0);
      call->retry_at_us = g_get_monotonic_time () + decision.delay_us;
      return;
    }
  if (!call->may_have_run)
    entry_call_fail (call, STATUS_UNAVAILABLE, ENTRY_OUTCOME_NOT_RUN,
                     ERR_REFUSED, step, peer, "%s (%s)", text,
                     retry_verdict_name (decision.verdict));
  else
    entry_call_fail (call, STATUS_BAD_GATEWAY, ENTRY_OUTCOME_UNKNOWN, ERR_IO,
                     step, peer, "%s (%s)", text,
                     retry_verdict_name (decision.verdict));
}

void
entry_call_abandon (struct entry_call *call)
{
  struct entry *entry = call->entry;
  struct err err;
  int stays;

  pthread_mutex_lock (&call->lock);
  stays = call->claim != NULL && entry_claim_abandon (call);
  if (!call->ended && !stays)
    {
      entry_admit_cancel (entry, call);
      cancel_attempt (call);
      call->ended = 1;
      err_set (&err, ERR_IO, "caller", NULL,
               "the connection to the caller closed before the answer was "
               "complete");
      entry_trace_done (call, &err);
    }
  pthread_mutex_unlock (&call->lock);
  if (stays)
    return;
  pthread_mutex_lock (&entry->lock);
  g_hash_table_remove (entry->calls, &call->id);
  pthread_mutex_unlock (&entry->lock);
}

static void
check_call (struct entry_call *call, gint64 now_us)
{
  char name[MSG_NAME_MAX_BYTES];

  pthread_mutex_lock (&call->lock);
  if (call->claim != NULL)
    entry_claim_tick (call, now_us);
  else if (call->ended || !call->started)
    ;
  else if (now_us >= call->deadline_us && call->attempts == 0)
    {
      entry_admit_cancel (call->entry, call);
      entry_call_fail (call, STATUS_UNAVAILABLE, ENTRY_OUTCOME_NOT_RUN,
                       ERR_TIMEOUT, "admit", call->service,
                       "the deadline passed before an attempt");
    }
  else if (entry_admit_has_no_runner (call->entry, call, now_us))
    {
      entry_admit_cancel (call->entry, call);
      entry_call_fail (call, STATUS_UNAVAILABLE, ENTRY_OUTCOME_NOT_RUN,
                       ERR_LIMIT, "route", call->service,
                       "no runner takes work");
    }
  else if (now_us >= call->deadline_us)
    {
      entry_fleet_name (call->entry, call->runner_peer, name, sizeof name);
      cancel_attempt (call);
      entry_call_fail (call, STATUS_GATEWAY_TIMEOUT, ENTRY_OUTCOME_UNKNOWN,
                       ERR_TIMEOUT, "run", name, "the deadline passed");
    }
  else if (call->runner_peer != 0
           && !entry_fleet_is_alive (call->entry, call->runner_peer, now_us))
    {
      entry_fleet_name (call->entry, call->runner_peer, name, sizeof name);
      cancel_attempt (call);
      entry_call_attempt_ended (call, MSG_OUTCOME_UNKNOWN, "run", name,
                                "the agent is silent");
    }
  else if (call->waiting_since_us != 0
           || (call->retry_at_us != 0 && now_us >= call->retry_at_us))
    start_attempt (call);
  pthread_mutex_unlock (&call->lock);
}

GPtrArray *
entry_call_list (struct entry *entry)
{
  GPtrArray *calls
      = g_ptr_array_new_with_free_func ((GDestroyNotify)entry_call_unref);
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&entry->lock);
  g_hash_table_iter_init (&iter, entry->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (calls, entry_call_ref (value));
  pthread_mutex_unlock (&entry->lock);
  return calls;
}

void
entry_call_tick (struct entry *entry, gint64 now_us)
{
  GPtrArray *calls = entry_call_list (entry);
  guint i;

  for (i = 0; i < calls->len; i++)
    check_call (g_ptr_array_index (calls, i), now_us);
  g_ptr_array_free (calls, TRUE);
}

void
entry_call_peer_lost (struct entry *entry, uint64_t peer)
{
  GPtrArray *calls = entry_call_list (entry);
  char name[MSG_NAME_MAX_BYTES];
  guint i;

  entry_fleet_name (entry, peer, name, sizeof name);
  for (i = 0; i < calls->len; i++)
    {
      struct entry_call *call = g_ptr_array_index (calls, i);

      pthread_mutex_lock (&call->lock);
      if (call->claim != NULL && call->runner_peer == peer)
        entry_claim_connection_lost (call);
      else if (!call->ended && call->runner_peer == peer)
        {
          cancel_attempt (call);
          entry_call_attempt_ended (call, MSG_OUTCOME_UNKNOWN, "run", name,
                                    "the connection to the agent broke");
        }
      pthread_mutex_unlock (&call->lock);
    }
  g_ptr_array_free (calls, TRUE);
}
