#include "agent.h"

#include <stdlib.h>
#include <string.h>

#include "cfg_sync.h"
#include "goldcresthatch/metric.h"
#include "goldcresthatch/log.h"

enum
{
  /* Entries whose last HELLO is older than this get no more reports.  */
  ENTRY_SILENCE_MAX_US = 10 * G_USEC_PER_SEC
};

/* Fills in MSG as a REPORT whose strings point into STATUS.  */
static void
fill_report (struct agent *agent, struct msg *msg,
             struct agent_order_status *status)
{
  struct msg_report *report = &msg->u.report;

  memset (msg, 0, sizeof *msg);
  msg->type = MSG_REPORT;
  report->agent = msg_str_from (agent->settings.name);
  report->zone = msg_str_from (agent->settings.zone);
  report->service = msg_str_from (agent->settings.service);
  report->incarnation = agent->incarnation;
  report->capacity = (uint64_t)agent->settings.capacity;
  agent_order_status (agent, status);
  report->role = status->actual.role;
  report->fence = status->fence;
  report->known = status->known != 0;
  report->drain = status->actual.drain != 0;
  report->withdraw = status->actual.withdraw != 0;
  report->model = msg_str_from (status->actual.model);
  report->version = msg_str_from (status->actual.version);
  report->cfg_generation = cfg_sync_generation (agent->config);
  pthread_mutex_lock (&agent->lock);
  report->window = agent_attempt_window (agent);
  report->state = agent->state;
  report->endpoint_up = (uint64_t)agent->endpoint_up;
  report->running = agent->running;
  report->queued = g_hash_table_size (agent->jobs) - agent->running;
  report->prompt_done = agent->prompt_done;
  report->output_done = agent->output_done;
  pthread_mutex_unlock (&agent->lock);
}

/* Returns the handles of the entries that sent a recent HELLO, and removes the
   others from the table.  */
static GArray *
recent_peers (struct agent *agent)
{
  GArray *peers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  gint64 now = g_get_monotonic_time ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  pthread_mutex_lock (&agent->lock);
  g_hash_table_iter_init (&iter, agent->peers);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (now - *(gint64 *)value > ENTRY_SILENCE_MAX_US)
      g_hash_table_iter_remove (&iter);
    else
      g_array_append_vals (peers, key, 1);
  pthread_mutex_unlock (&agent->lock);
  return peers;
}

void
agent_report (struct agent *agent, uint64_t peer)
{
  struct agent_order_status status;
  struct msg msg;
  GArray *peers;
  guint i;

  fill_report (agent, &msg, &status);
  if (peer != 0)
    {
      net_send (agent->net, peer, &msg, NULL);
      return;
    }
  peers = recent_peers (agent);
  for (i = 0; i < peers->len; i++)
    net_send (agent->net, g_array_index (peers, uint64_t, i), &msg, NULL);
  g_array_free (peers, TRUE);
}

static void
on_hello (struct agent *agent, uint64_t peer, const struct msg *msg)
{
  gint64 now = g_get_monotonic_time ();

  cfg_sync_on_peer_generation (agent->config, peer,
                               msg->u.hello.cfg_generation);
  pthread_mutex_lock (&agent->lock);
  g_hash_table_insert (agent->peers, g_memdup2 (&peer, sizeof peer),
                       g_memdup2 (&now, sizeof now));
  pthread_mutex_unlock (&agent->lock);
  agent_report (agent, peer);
}

static struct agent_job *
create_job (struct agent *agent, uint64_t peer, const struct msg_call *call)
{
  struct agent_job *job = calloc (1, sizeof *job);

  job->refs = 1;
  job->agent = agent;
  job->peer = peer;
  job->call = call->call;
  job->attempt = call->attempt;
  job->at_most_once = call->at_most_once != 0;
  if (job->at_most_once)
    agent_attempt_begin (job);
  msg_str_copy (job->method, sizeof job->method, call->method);
  msg_str_copy (job->content_type, sizeof job->content_type,
                call->content_type);
  msg_str_copy (job->traceparent, sizeof job->traceparent, call->traceparent);
  job->path = g_strndup (call->path.p, call->path.n);
  job->body = g_memdup2 (call->body.p, call->body.n);
  job->body_size = call->body.n;
  job->priority = call->priority;
  job->stream = call->stream != 0;
  job->resume_index = call->resume_index;
  job->deadline_us = g_get_monotonic_time () + (gint64)call->budget_ms * 1000;
  agent_trace_queued (job);
  return job;
}

void
agent_job_unref (struct agent_job *job)
{
  if (!g_atomic_int_dec_and_test (&job->refs))
    return;
  g_free (job->path);
  g_free (job->body);
  agent_attempt_free (job);
  free (job);
}

void
agent_send_end (struct agent_job *job, enum msg_outcome outcome,
                const char *step, const char *text)
{
  struct agent *agent = job->agent;
  struct msg msg = { .type = MSG_END };

  msg.u.end.call = job->call;
  msg.u.end.attempt = job->attempt;
  msg.u.end.frames = job->frames;
  msg.u.end.outcome = outcome;
  /* Crashes are numbered from 1; the first after the job's start ended it.  */
  if (outcome == MSG_OUTCOME_CRASHED)
    msg.u.end.crash = job->crashes + 1;
  msg.u.end.step = msg_str_from (step);
  msg.u.end.text = msg_str_from (text);
  msg.u.end.cfg_generation = cfg_sync_generation (agent->config);
  agent_trace_end (job, &msg.u.end);
  if (job->at_most_once)
    agent_attempt_finish (job, outcome);
  pthread_mutex_lock (&agent->lock);
  msg.u.end.queued = g_hash_table_size (agent->jobs) - agent->running;
  /* The job that ends here no longer counts as load.  */
  msg.u.end.running = agent->running - (unsigned)job->counted;
  pthread_mutex_unlock (&agent->lock);
  net_send (agent->net, job->peer, &msg, NULL);
}

/* Returns the reason why the agent refuses every call, or null.  */
static const char *
agent_refusal (const struct agent *agent)
{
  if (agent->state != MSG_AGENT_SERVING)
    return "the agent takes no new work";
  if (!agent->endpoint_up)
    return "the endpoint is down";
  return NULL;
}

/* Returns the reason why the call must not start, or null.  The text is empty
   when the call must not be answered with an END.  */
static const char *
refuse_call (struct agent *agent, const struct msg_call *call)
{
  uint64_t window;

  if (call->at_most_once)
    return agent_attempt_admit (agent, call, agent_refusal (agent));
  window = agent_attempt_window (agent);
  if (call->incarnation != agent->incarnation)
    return "addressed to an earlier incarnation";
  if (call->window + 1 < window || call->window > window)
    return "addressed in an earlier window";
  if (g_hash_table_contains (agent->jobs, &call->attempt))
    return "the attempt is known already";
  return agent_refusal (agent);
}

static void
on_call (struct agent *agent, uint64_t peer, const struct msg *msg)
{
  struct agent_job *job = create_job (agent, peer, &msg->u.call);
  const char *reason;
  const char *step = "admit";

  pthread_mutex_lock (&agent->lock);
  reason = refuse_call (agent, &msg->u.call);
  /* Entries do not know each other's suspects.  A crash with two of them on
     the endpoint would be attributed to both.  */
  if (reason == NULL && msg->u.call.suspect && agent->suspects > 0)
    {
      reason = "another suspect runs here";
      step = "suspect";
    }
  if (reason == NULL)
    {
      job->suspect = msg->u.call.suspect != 0;
      agent->suspects += (unsigned)job->suspect;
      g_atomic_int_inc (&job->refs);
      g_hash_table_insert (agent->jobs, &job->attempt, job);
    }
  pthread_mutex_unlock (&agent->lock);
  if (reason == NULL)
    {
      g_thread_pool_push (agent->workers, job, NULL);
      return;
    }
  metric_add (METRIC_STALE_CALLS_REFUSED, 1);
  if (reason[0] != '\0')
    {
      /* The entry's information is out of date: without a report it would
         choose this agent, which appears idle to it, again.  */
      agent_report (agent, peer);
      agent_send_end (job, MSG_OUTCOME_NOT_RUN, step, reason);
    }
  agent_job_unref (job);
}

static void
on_cancel (struct agent *agent, uint64_t peer, const struct msg *msg)
{
  struct agent_job *job;

  (void)peer;
  pthread_mutex_lock (&agent->lock);
  job = g_hash_table_lookup (agent->jobs, &msg->u.cancel.attempt);
  if (job != NULL)
    g_atomic_int_set (&job->cancelled, 1);
  pthread_mutex_unlock (&agent->lock);
}

static void
on_order (struct agent *agent, uint64_t peer, const struct msg *msg)
{
  agent_order_received (agent, peer, &msg->u.order);
}

static void
on_cfg_get (struct agent *agent, uint64_t peer, const struct msg *msg)
{
  cfg_sync_on_get (agent->config, peer, msg);
}

static void
on_cfg_data (struct agent *agent, uint64_t peer, const struct msg *msg)
{
  cfg_sync_on_data (agent->config, peer, msg);
}

static void (*const handlers[MSG_TYPE_MAX]) (struct agent *, uint64_t,
                                             const struct msg *)
    = {
        [MSG_ORDER] = on_order,
        [MSG_HELLO] = on_hello,
        [MSG_CALL] = on_call,
        [MSG_CANCEL] = on_cancel,
        [MSG_CFG_GET] = on_cfg_get,
        [MSG_CFG_DATA] = on_cfg_data,
        [MSG_VOID] = agent_attempt_void,
      };

static void
on_message (void *ctx, uint64_t peer, const struct msg *msg)
{
  if (handlers[msg->type] != NULL)
    handlers[msg->type](ctx, peer, msg);
  else
    metric_add (METRIC_MESSAGES_MALFORMED, 1);
}

/* The callers of an entry that is gone are disconnected, so their jobs are
   cancelled, except non-idempotent ones, whose result a resend may request. */
static void
on_unsent (void *ctx, uint64_t peer, const struct msg *msg)
{
  struct agent *agent = ctx;
  struct msg_id attempt;
  struct agent_job *job;

  (void)peer;
  if (msg->type == MSG_HEAD)
    attempt = msg->u.head.attempt;
  else if (msg->type == MSG_DATA)
    attempt = msg->u.data.attempt;
  else
    return;
  pthread_mutex_lock (&agent->lock);
  job = g_hash_table_lookup (agent->jobs, &attempt);
  if (job != NULL && !job->at_most_once)
    g_atomic_int_set (&job->cancelled, 1);
  pthread_mutex_unlock (&agent->lock);
}

const struct net_ops agent_net_ops = { on_message, on_unsent, NULL };
