#include "agent.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "goldcresthatch/metric.h"
#include "goldcresthatch/log.h"
#include "hop.h"
#include "http.h"

enum
{
  READ_TIMEOUT_S = 30, /* between two reads of the endpoint's response */
  NUMBER_TEXT_BYTES = 24
};

/* A non-idempotent call that has started is never cancelled: a resend may ask
   for its result after the caller has gone.  */
static int
should_stop (struct agent_job *job)
{
  return !job->at_most_once && g_atomic_int_get (&job->cancelled);
}

static int
on_head (void *ctx, int status, ne_request *req)
{
  struct agent_job *job = ctx;
  struct msg msg = { .type = MSG_HEAD };

  job->answered = 1;
  msg.u.head.call = job->call;
  msg.u.head.attempt = job->attempt;
  msg.u.head.status = (uint64_t)status;
  msg.u.head.content_type
      = msg_str_from (ne_get_response_header (req, "Content-Type"));
  if (msg.u.head.content_type.n > MSG_NAME_MAX_BYTES)
    msg.u.head.content_type.n = MSG_NAME_MAX_BYTES;
  if (job->at_most_once)
    agent_attempt_head (job, (unsigned)status, msg.u.head.content_type);
  net_send (job->agent->net, job->peer, &msg, NULL);
  return should_stop (job);
}

/* Returns nonzero when the answer is longer than an entry takes.  */
static int
is_too_long (const struct agent_job *job)
{
  return !job->stream && job->received > MSG_ANSWER_MAX_BYTES;
}

static int
on_data (void *ctx, const char *data, size_t size)
{
  struct agent_job *job = ctx;
  struct msg msg = { .type = MSG_DATA };

  job->received += size;
  if (is_too_long (job))
    return 1;

  msg.u.data.call = job->call;
  msg.u.data.attempt = job->attempt;
  msg.u.data.sequence = job->frames++;
  msg.u.data.bytes.p = data;
  msg.u.data.bytes.n = size;
  if (job->at_most_once)
    agent_attempt_data (job, data, size);
  net_send_wait (job->agent->net, job->peer, &msg, NULL);
  agent_order_count_usage (job->agent, data, size);
  return should_stop (job);
}

/* Asks an engine to cancel a request whose answer is no longer read.  */
static void
cancel_on_engine (struct agent_job *job, const char *request_id)
{
  char path[MSG_NAME_MAX_BYTES * 2];
  struct http_call call = { .address = job->agent->settings.endpoint,
                            .method = "POST",
                            .path = path,
                            .timeout_s = 2 };
  struct err err;
  int status;

  if (strcmp (job->agent->settings.kind, "engine") != 0)
    return;
  snprintf (path, sizeof path, "/cancel?id=%s", request_id);
  if (!http_has_status (http_run (&call, &status, &err)))
    log_err (LOG_LEVEL_INFO, NULL, &err);
}

/* Returns what may be said of a call that ended as RESULT and STATUS tell. */
static enum msg_outcome
outcome_of (enum http_result result, int status)
{
  static const enum hop_end ends[] = {
    [HTTP_OK] = HOP_END_WHOLE,        [HTTP_NOT_SENT] = HOP_END_UNSENT,
    [HTTP_TIMEOUT] = HOP_END_SILENT,  [HTTP_BROKEN] = HOP_END_CUT,
    [HTTP_UNDELIMITED] = HOP_END_CUT, [HTTP_INVALID] = HOP_END_CUT,
    [HTTP_STOPPED] = HOP_END_CUT,
  };
  struct hop_send send = { .via = HOP_ENDPOINT };
  struct hop_answer answer = { .end = ends[result], .status = status };
  struct hop_verdict verdict = hop_judge (&send, &answer);

  if (verdict.act == HOP_PASS)
    return MSG_OUTCOME_DONE;
  if (verdict.run == HOP_NOT_RUN)
    return MSG_OUTCOME_NOT_RUN;
  return result == HTTP_BROKEN ? MSG_OUTCOME_CRASHED : MSG_OUTCOME_UNKNOWN;
}

static void
report_result (struct agent_job *job, enum http_result result, int status,
               const struct err *err)
{
  enum msg_outcome outcome = outcome_of (result, status);

  switch (result)
    {
    case HTTP_OK:
      agent_send_end (job, outcome, "", "");
      return;
    case HTTP_NOT_SENT:
      agent_endpoint_failed (job, 0);
      agent_send_end (job, outcome, "connect", err->text);
      return;
    case HTTP_STOPPED:
      if (is_too_long (job))
        agent_send_end (job, outcome, "run", "the answer is too long");
      else
        agent_send_end (job, outcome, "cancel", "cancelled");
      return;
    case HTTP_TIMEOUT:
    case HTTP_UNDELIMITED:
    case HTTP_INVALID:
    case HTTP_BROKEN:
      log_write (LOG_LEVEL_WARN, job->traceparent, "run",
                 job->agent->settings.endpoint,
                 "call failed on the endpoint, HTTP status %d: %s", status,
                 err->text);
      if (result == HTTP_BROKEN)
        agent_endpoint_failed (job, 1);
      agent_send_end (job, outcome, "run", err->text);
      return;
    }
}

static void
run_on_endpoint (struct agent_job *job)
{
  char request_id[NUMBER_TEXT_BYTES * 2];
  char resume[NUMBER_TEXT_BYTES];
  char priority[NUMBER_TEXT_BYTES];
  struct http_call call = {
    .address = job->agent->settings.endpoint,
    .method = job->method,
    .path = job->path,
    .content_type = job->content_type,
    .body = job->body_size > 0 ? job->body : NULL,
    .body_size = job->body_size,
    .headers = { { "X-Request-Id", request_id },
                 { "X-Resume-From", resume },
                 { "X-Priority", priority },
                 { "traceparent", job->trace.parent } },
    .timeout_s = READ_TIMEOUT_S,
    .ctx = job,
    .on_head = on_head,
    .on_data = on_data,
  };
  enum http_result result;
  struct err err;
  int status;

  snprintf (request_id, sizeof request_id, "%016llx%016llx",
            (unsigned long long)job->attempt.hi,
            (unsigned long long)job->attempt.lo);
  snprintf (resume, sizeof resume, "%llu",
            (unsigned long long)job->resume_index);
  snprintf (priority, sizeof priority, "%llu",
            (unsigned long long)job->priority);
  agent_trace_started (job);
  result = http_run (&call, &status, &err);
  if (result == HTTP_STOPPED)
    cancel_on_engine (job, request_id);
  report_result (job, result, status, &err);
}

void
agent_job_run (gpointer data, gpointer ctx)
{
  struct agent_job *job = data;
  struct agent *agent = ctx;
  int up;

  pthread_mutex_lock (&agent->lock);
  agent->running++;
  job->counted = 1;
  job->crashes = agent->crashes;
  up = agent->endpoint_up;
  pthread_mutex_unlock (&agent->lock);
  if (g_atomic_int_get (&job->cancelled))
    agent_send_end (job, MSG_OUTCOME_NOT_RUN, "queue", "cancelled");
  else if (!up)
    agent_send_end (job, MSG_OUTCOME_NOT_RUN, "connect",
                    "the endpoint is down");
  else if (g_get_monotonic_time () >= job->deadline_us)
    agent_send_end (job, MSG_OUTCOME_NOT_RUN, "queue",
                    "the deadline passed in the queue");
  else
    run_on_endpoint (job);
  pthread_mutex_lock (&agent->lock);
  agent->running--;
  agent->suspects -= (unsigned)job->suspect;
  g_hash_table_remove (agent->jobs, &job->attempt);
  pthread_mutex_unlock (&agent->lock);
  agent_job_unref (job);
}
