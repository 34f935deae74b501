#include "agent.h"

#include <string.h>

#include "goldcresthatch/log.h"

/* The answer of a non-idempotent call, collected as it is received.  At most
   the bytes that fit in a claim record are kept; the digest covers the whole
   body.  */
struct agent_result
{
  unsigned status;
  char content_type[MSG_NAME_MAX_BYTES + 1];
  GString *body; /* at most CALL_BODY_MAX_BYTES */
  size_t size;
  XXH64_state_t *digest;
};

uint64_t
agent_attempt_window (struct agent *agent)
{
  return attempt_window (agent->attempts, g_get_monotonic_time ());
}

const char *
agent_attempt_admit (struct agent *agent, const struct msg_call *call,
                     const char *reason)
{
  static const char *const texts[ATTEMPT_ADMIT_MAX] = {
    [ATTEMPT_STALE_INCARNATION] = "addressed to an earlier incarnation",
    [ATTEMPT_STALE_WINDOW] = "addressed in an earlier window",
    [ATTEMPT_VOIDED] = "the attempt is barred",
    [ATTEMPT_DUPLICATE] = "",
    [ATTEMPT_TABLE_FULL] = "the run table is full",
  };
  gint64 now = g_get_monotonic_time ();
  enum attempt_admit admit = attempt_admit (
      agent->attempts, call->attempt, call->incarnation, call->window, now);

  if (admit != ATTEMPT_ADMITTED)
    return texts[admit];
  /* Voids the attempt, so that a second CALL can't start it either.  */
  if (reason != NULL)
    attempt_finish (agent->attempts, call->attempt, MSG_OUTCOME_NOT_RUN, NULL,
                    now);
  return reason;
}

void
agent_attempt_begin (struct agent_job *job)
{
  struct agent_result *result = g_new0 (struct agent_result, 1);

  result->body = g_string_new (NULL);
  result->digest = XXH64_createState ();
  XXH64_reset (result->digest, 0);
  job->result = result;
}

void
agent_attempt_free (struct agent_job *job)
{
  if (job->result == NULL)
    return;
  g_string_free (job->result->body, TRUE);
  XXH64_freeState (job->result->digest);
  g_free (job->result);
}

void
agent_attempt_head (struct agent_job *job, unsigned status,
                    struct msg_str content_type)
{
  job->result->status = status;
  msg_str_copy (job->result->content_type, sizeof job->result->content_type,
                content_type);
}

void
agent_attempt_data (struct agent_job *job, const char *data, size_t size)
{
  struct agent_result *result = job->result;
  size_t room = CALL_BODY_MAX_BYTES - result->body->len;

  result->size += size;
  XXH64_update (result->digest, data, size);
  g_string_append_len (result->body, data, (gssize)MIN (size, room));
}

void
agent_attempt_finish (struct agent_job *job, enum msg_outcome outcome)
{
  const struct agent_result *result = job->result;
  struct call_result record = { .status = result->status,
                                .size = result->size,
                                .digest = XXH64_digest (result->digest) };

  memcpy (record.content_type, result->content_type,
          sizeof record.content_type);
  if (result->size <= CALL_BODY_MAX_BYTES)
    record.body = result->body->str;
  pthread_mutex_lock (&job->agent->lock);
  attempt_finish (job->agent->attempts, job->attempt, outcome, &record,
                  g_get_monotonic_time ());
  pthread_mutex_unlock (&job->agent->lock);
}

void
agent_attempt_crash (struct agent *agent)
{
  size_t count = attempt_crash (agent->attempts, g_get_monotonic_time ());

  if (count > 0)
    log_write (LOG_LEVEL_WARN, NULL, "run", agent->settings.endpoint,
               "the outcome of %zu non-idempotent calls is unknown", count);
}

void
agent_attempt_void (struct agent *agent, uint64_t peer, const struct msg *msg)
{
  const struct msg_void *bar = &msg->u.bar;
  const struct call_result *result;
  struct msg reply = { .type = MSG_VOIDED };
  struct msg_voided *voided = &reply.u.voided;

  voided->attempt = bar->attempt;
  pthread_mutex_lock (&agent->lock);
  voided->state
      = attempt_void (agent->attempts, bar->attempt, bar->incarnation,
                      bar->window, g_get_monotonic_time (), &result);
  if (result != NULL)
    {
      voided->status = result->status;
      voided->content_type = msg_str_from (result->content_type);
      voided->held = result->body != NULL;
      voided->size = result->size;
      voided->digest = result->digest;
      if (result->body != NULL)
        voided->body = (struct msg_str){ result->body, result->size };
    }
  net_send (agent->net, peer, &reply, NULL);
  pthread_mutex_unlock (&agent->lock);
}
