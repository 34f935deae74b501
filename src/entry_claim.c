#include "entry_claim.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "goldcresthatch/metric.h"
#include "goldcresthatch/log.h"

enum
{
  RETRY_MIN_MS = 150,
  RETRY_MAX_MS = 2000,
  VOID_FIRST_DELAY_MS = 2000, /* from CALL to the first VOID to the agent */
  VOID_REPEAT_MS = 500,       /* between two VOIDs */

  KEY_HASH_BYTES = 16,
  GENERATED_KEY_BYTES = 16,
  STATUS_BAD_GATEWAY = 502,
  STATUS_UNAVAILABLE = 503,
  STATUS_GATEWAY_TIMEOUT = 504,
  STATUS_CONFLICT = 409,
  US_PER_MS = 1000 /* microseconds in a millisecond */
};

static void
handle_event_kind (struct entry_call *call, enum call_event_kind kind)
{
  struct call_event event = { .kind = kind };

  entry_claim_handle_event (call, &event);
}

static void
release_runner (struct entry_call *call)
{
  if (call->claim->attempt_counted)
    entry_fleet_release (call->entry, call->claim->runner.peer, call, NULL);
  call->claim->attempt_counted = 0;
  call->runner_peer = 0;
}

static void
send_void (struct entry_call *call, const struct call_record *record)
{
  struct msg msg = { .type = MSG_VOID };
  uint64_t peer = entry_fleet_find_peer (call->entry, record->agent);

  call->claim->void_due_us
      = g_get_monotonic_time () + (gint64)VOID_REPEAT_MS * US_PER_MS;
  if (peer == 0)
    return;
  msg.u.bar.attempt = record->attempt;
  msg.u.bar.incarnation = record->incarnation;
  msg.u.bar.window = record->window;
  net_send (call->entry->net, peer, &msg, NULL);
}

static void
send_call (struct entry_call *call)
{
  struct entry_claim *claim = call->claim;

  metric_add (METRIC_CLAIMS, 1);
  claim->sent = 1;
  claim->void_due_us
      = g_get_monotonic_time () + (gint64)VOID_FIRST_DELAY_MS * US_PER_MS;
  entry_call_send (call, &claim->runner);
}

/* Sets the time of the next retry.  The delay doubles with each retry of the
   claim up to RETRY_MAX_MS, except in state CALL_ST_WAIT_OTHER, and has jitter
   so that the entries do not all call a recovered service at the same time. */
static void
set_retry (struct entry_claim *claim)
{
  gint32 ms = RETRY_MIN_MS << MIN (claim->retries, 4);

  if (claim->call.state == CALL_ST_WAIT_OTHER)
    ms = RETRY_MIN_MS;
  claim->retries++;
  ms = g_random_int_range (MIN (ms, RETRY_MAX_MS) / 2 + 1,
                           MIN (ms, RETRY_MAX_MS) + 1);
  claim->retry_at_us = g_get_monotonic_time () + (gint64)ms * US_PER_MS;
}

/* Answers with RESULT.  When its body was too large to be recorded, the answer
   has its size and digest instead.  */
static void
answer_done (struct entry_call *call, const struct call_result *result)
{
  if (!call->claim->has_own_result)
    {
      call->recorded = 1;
      call->status = result->status;
      g_strlcpy (call->answer_type, result->content_type,
                 sizeof call->answer_type);
      g_string_truncate (call->answer, 0);
      if (result->body != NULL)
        g_string_append_len (call->answer, result->body, (gssize)result->size);
      else
        {
          g_strlcpy (call->answer_type, "application/json",
                     sizeof call->answer_type);
          g_string_printf (
              call->answer,
              "{\"recorded\":{\"size\":%zu,\"xxh64\":\"%016llx\"}}",
              result->size, (unsigned long long)result->digest);
        }
    }
  entry_call_answered (call);
}

static void
answer_unknown (struct entry_call *call)
{
  const struct entry_claim *claim = call->claim;

  if (claim->outage_since_us != 0 && !claim->sent)
    entry_call_fail (call, STATUS_UNAVAILABLE, ENTRY_OUTCOME_UNKNOWN, ERR_IO,
                     "claim", call->entry->settings.kv,
                     "the claim cannot be read; send the request again under "
                     "the same key");
  else if (g_get_monotonic_time () >= call->deadline_us)
    entry_call_fail (call, STATUS_GATEWAY_TIMEOUT, ENTRY_OUTCOME_UNKNOWN,
                     ERR_TIMEOUT, "run", claim->runner.name,
                     "the deadline passed");
  else
    entry_call_fail (call, STATUS_BAD_GATEWAY, ENTRY_OUTCOME_UNKNOWN, ERR_IO,
                     "run", claim->runner.name,
                     "the outcome of the call is not known");
}

static void
answer_not_run (struct entry_call *call)
{
  entry_call_fail (call, STATUS_UNAVAILABLE, ENTRY_OUTCOME_NOT_RUN,
                   ERR_REFUSED, "claim", call->claim->runner.name,
                   "the call did not run");
}

int
entry_claim_may_exist (const struct entry_call *call)
{
  return call->at_most_once && call->key[0] != '\0' && !call->key_is_generated;
}

static void
answer_caller (struct entry_call *call, const struct call_action *action)
{
  struct entry_claim *claim = call->claim;

  claim->answered = 1;
  release_runner (call);
  if (call->ended)
    return;
  switch (action->outcome)
    {
    case CALL_OUTCOME_DONE:
      if (hop_is_final ((int)action->result->status))
        answer_done (call, action->result);
      else
        answer_unknown (call);
      return;
    case CALL_OUTCOME_INVALID:
      entry_call_fail (call, STATUS_CONFLICT, ENTRY_OUTCOME_INVALID,
                       ERR_CONFLICT, "claim", NULL,
                       "the Idempotency-Key belongs to another request");
      return;
    case CALL_OUTCOME_NOT_RUN:
      /* Unless a FREE record was confirmed, an earlier request under the
         caller's key may have run.  */
      if (!claim->call.own_barred && entry_claim_may_exist (call))
        answer_unknown (call);
      else
        answer_not_run (call);
      return;
    default:
      /* A generated key belongs to this call alone, so nothing ran if its CALL
         was not sent.  */
      if (!claim->sent && call->key_is_generated)
        answer_not_run (call);
      else
        answer_unknown (call);
      return;
    }
}

/* Ends the claim.  If the caller's connection has closed before, the call is
   removed too.  */
static void
end_claim (struct entry_call *call)
{
  struct entry *entry = call->entry;

  call->claim->finished = 1;
  if (!call->claim->caller_gone)
    return;
  pthread_mutex_lock (&entry->lock);
  g_hash_table_remove (entry->calls, &call->id);
  pthread_mutex_unlock (&entry->lock);
}

void
entry_claim_handle_event (struct entry_call *call,
                          const struct call_event *event)
{
  struct entry_claim *claim = call->claim;
  struct call_action action;

  call_step (&claim->call, event, &action);
  if (action.kind != CALL_ACT_NONE)
    {
      claim->retry_at_us = 0;
      claim->void_due_us = 0;
    }
  if (action.answer)
    answer_caller (call, &action);
  switch (action.kind)
    {
    case CALL_ACT_NONE:
      return;
    case CALL_ACT_WRITE:
    case CALL_ACT_READ:
      entry_claim_start_operation (call, &action);
      return;
    case CALL_ACT_SEND:
      send_call (call);
      return;
    case CALL_ACT_VOID:
      send_void (call, action.record);
      return;
    case CALL_ACT_WAIT:
      set_retry (claim);
      return;
    case CALL_ACT_FINISHED:
      end_claim (call);
      return;
    }
}

/* Appends S to the key OUT, with every byte that is not safe in a URL path
   escaped as "~XX".  */
static void
append_path_safe (GString *out, const char *s)
{
  for (; *s != '\0'; s++)
    if (g_ascii_isalnum (*s) || *s == '-' || *s == '_')
      g_string_append_c (out, *s);
    else
      g_string_append_printf (out, "~%02X", (unsigned char)*s);
}

static void
make_claim_key (struct entry_call *call)
{
  unsigned char random[GENERATED_KEY_BYTES];
  unsigned char hash[KEY_HASH_BYTES];
  char hex[2 * KEY_HASH_BYTES + 1];
  GString *key = g_string_new ("claim/");

  if (call->key[0] == '\0')
    {
      randombytes_buf (random, sizeof random);
      sodium_bin2hex (call->key, sizeof call->key, random, sizeof random);
      call->key_is_generated = 1;
    }
  crypto_generichash (hash, sizeof hash, (const unsigned char *)call->key,
                      strlen (call->key), NULL, 0);
  sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
  append_path_safe (key, call->customer);
  /* A single "~" stands for an empty customer: no escape consists of "~"
     alone.  */
  if (call->customer[0] == '\0')
    g_string_append_c (key, '~');
  g_string_append_printf (key, "/%s", hex);
  g_strlcpy (call->claim->key, key->str, sizeof call->claim->key);
  g_string_free (key, TRUE);
}

static uint64_t
fingerprint (const struct entry_call *call)
{
  XXH64_state_t *state = XXH64_createState ();
  uint64_t digest;

  XXH64_reset (state, 0);
  XXH64_update (state, call->customer, strlen (call->customer) + 1);
  XXH64_update (state, call->method, strlen (call->method) + 1);
  XXH64_update (state, call->path, strlen (call->path) + 1);
  if (call->body.len > 0)
    XXH64_update (state, call->body.data, call->body.len);
  digest = XXH64_digest (state);
  XXH64_freeState (state);
  return digest;
}

void
entry_claim_start (struct entry_call *call, const struct entry_runner *runner)
{
  struct call_record record = { .fingerprint = fingerprint (call),
                                .attempt = call->attempt,
                                .incarnation = runner->incarnation,
                                .window = runner->window };

  call->claim = g_new0 (struct entry_claim, 1);
  call->claim->runner = *runner;
  call->claim->attempt_counted = 1;
  make_claim_key (call);
  g_strlcpy (record.agent, runner->name, sizeof record.agent);
  g_strlcpy (record.entry, call->entry->settings.name, sizeof record.entry);
  call_init (&call->claim->call, &record);
  handle_event_kind (call, CALL_EV_START);
}

void
entry_claim_attempt_ended (struct entry_call *call, enum msg_outcome outcome)
{
  struct entry_claim *claim = call->claim;
  struct call_result result = { .status = call->status,
                                .body = call->answer->str,
                                .size = call->answer->len };
  struct call_event event = { .kind = CALL_EV_END,
                              .attempt = call->attempt,
                              .end_outcome = outcome,
                              .result = &result };

  claim->attempt_counted = 0;
  if (claim->busy || claim->answered)
    return;
  g_strlcpy (result.content_type, call->answer_type,
             sizeof result.content_type);
  claim->has_own_result = outcome == MSG_OUTCOME_DONE;
  /* The agent's table of attempts may hold a result whose messages were
     lost, so ask the agent by VOID.  */
  if (outcome == MSG_OUTCOME_UNKNOWN)
    event.kind = CALL_EV_NO_ANSWER;
  entry_claim_handle_event (call, &event);
}

void
entry_claim_connection_lost (struct entry_call *call)
{
  if (!call->claim->busy && !call->claim->answered)
    handle_event_kind (call, CALL_EV_NO_ANSWER);
}

static int
awaits_void_answer (const struct entry_claim *claim)
{
  return claim->call.state == CALL_ST_SENT
         || claim->call.state == CALL_ST_VOID_OWN
         || claim->call.state == CALL_ST_VOID_OTHER;
}

/* Returns nonzero when the caller must be answered although the outcome is not
   known: at its deadline, or after CLAIM_OUTAGE_TIMEOUT_US of failed calls of
   the service.  */
static int
must_answer_unknown (const struct entry_call *call, gint64 now_us)
{
  const struct entry_claim *claim = call->claim;

  return now_us >= call->deadline_us
         || (claim->call.state == CALL_ST_BACKOFF
             && claim->outage_since_us != 0
             && now_us - claim->outage_since_us >= CLAIM_OUTAGE_TIMEOUT_US);
}

void
entry_claim_tick (struct entry_call *call, gint64 now_us)
{
  struct entry_claim *claim = call->claim;

  entry_claim_retry_deferred (call);
  if (claim->busy || claim->finished)
    return;
  if (!claim->answered && must_answer_unknown (call, now_us))
    handle_event_kind (call, CALL_EV_DEADLINE);
  else if (claim->retry_at_us != 0 && now_us >= claim->retry_at_us)
    handle_event_kind (call, CALL_EV_RETRY);
  else if (awaits_void_answer (claim) && now_us >= claim->void_due_us)
    {
      claim->void_due_us = now_us + (gint64)VOID_REPEAT_MS * US_PER_MS;
      handle_event_kind (call, CALL_EV_NO_ANSWER);
    }
}

void
entry_claim_handle_voided (struct entry *entry, uint64_t peer,
                           const struct msg *msg)
{
  const struct msg_voided *voided = &msg->u.voided;
  GPtrArray *calls = entry_call_list (entry);
  struct call_result result = { .status = (unsigned)voided->status,
                                .size = (size_t)voided->size,
                                .digest = voided->digest };
  struct call_event event = { .kind = CALL_EV_VOIDED,
                              .attempt = voided->attempt,
                              .void_state = (enum msg_void_state)voided->state,
                              .result = &result };
  guint i;

  (void)peer;
  msg_str_copy (result.content_type, sizeof result.content_type,
                voided->content_type);
  if (voided->held && voided->body.n == voided->size)
    {
      result.body = g_malloc0 (voided->body.n + 1);
      memcpy (result.body, voided->body.p, voided->body.n);
    }
  for (i = 0; i < calls->len; i++)
    {
      struct entry_call *call = g_ptr_array_index (calls, i);

      pthread_mutex_lock (&call->lock);
      if (call->claim != NULL && !call->claim->busy && !call->claim->finished)
        entry_claim_handle_event (call, &event);
      pthread_mutex_unlock (&call->lock);
    }
  g_free (result.body);
  g_ptr_array_free (calls, TRUE);
}

int
entry_claim_abandon (struct entry_call *call)
{
  call->claim->caller_gone = 1;
  return !call->claim->finished;
}

void
entry_claim_free (struct entry_call *call)
{
  if (call->claim == NULL)
    return;
  call_clear (&call->claim->call);
  g_free (call->claim);
}
