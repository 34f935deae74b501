#include "goldcresthatch/call.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Enters STATE and fills in ACTION.  */
static void
set_action (struct call *call, struct call_action *action,
            enum call_state state, enum call_action_kind kind,
            const struct call_record *record)
{
  call->state = state;
  action->kind = kind;
  action->record = record;
  action->prev = call->prev;
}

static void
act_read (struct call *call, struct call_action *action)
{
  set_action (call, action, CALL_ST_READ, CALL_ACT_READ, NULL);
}

static void
act_back_off (struct call *call, struct call_action *action)
{
  set_action (call, action, CALL_ST_BACKOFF, CALL_ACT_WAIT, NULL);
}

static void
copy_result (struct call_result *to, const struct call_result *from)
{
  g_free (to->body);
  memset (to, 0, sizeof *to);
  if (from == NULL)
    return;
  *to = *from;
  if (from->body == NULL)
    return;
  to->body = g_malloc0 (from->size + 1);
  memcpy (to->body, from->body, from->size);
  to->digest = XXH64 (from->body, from->size, 0);
}

static void
answer (struct call *call, struct call_action *action,
        enum call_outcome outcome)
{
  call->outcome = outcome;
  action->answer = 1;
  action->outcome = outcome;
  action->result = outcome == CALL_OUTCOME_DONE ? &call->result : NULL;
}

/* Answers and ends the call; the record needs no update.  */
static void
finish (struct call *call, struct call_action *action,
        enum call_outcome outcome)
{
  answer (call, action, outcome);
  set_action (call, action, CALL_ST_FINISHED, CALL_ACT_FINISHED, NULL);
}

/* Sets NEXT to a copy of FROM in STATE, with the call's result if that is
   CALL_DONE.  */
static void
set_next_record (struct call *call, const struct call_record *from,
                 enum call_record_state state)
{
  call_record_clear (&call->next);
  call->next = *from;
  call->next.state = state;
  memset (&call->next.result, 0, sizeof call->next.result);
  if (state != CALL_DONE)
    return;
  copy_result (&call->next.result, &call->result);
  if (call->result.size > CALL_BODY_MAX_BYTES)
    {
      g_free (call->next.result.body);
      call->next.result.body = NULL;
    }
}

/* Answers, and then writes the record of FROM's attempt in STATE.  */
static void
answer_and_record (struct call *call, struct call_action *action,
                   enum call_outcome outcome, const struct call_record *from,
                   enum call_record_state state)
{
  answer (call, action, outcome);
  set_next_record (call, from, state);
  set_action (call, action, CALL_ST_RECORD, CALL_ACT_WRITE, &call->next);
}

/* Writes the claim, or FREE when the own attempt can no longer run.  The
   record at PREV is absent, FREE, or of an attempt that provably never
   ran.  */
static void
act_claim (struct call *call, struct call_action *action)
{
  if (call->own_barred)
    {
      set_next_record (call, &call->own, CALL_FREE);
      set_action (call, action, CALL_ST_FREE, CALL_ACT_WRITE, &call->next);
      return;
    }
  set_next_record (call, &call->own, CALL_CLAIMED);
  set_action (call, action, CALL_ST_CLAIM, CALL_ACT_WRITE, &call->next);
}

/* Writes FREE for the own attempt, which provably did not run.  "Not run" is
   answered only after FREE is confirmed at the revision of the own claim:
   otherwise a resend may have taken over the claim and run.  */
static void
act_free (struct call *call, struct call_action *action)
{
  call->own_barred = 1;
  act_claim (call, action);
}

static void
give_up (struct call *call, struct call_action *action)
{
  /* Writing FREE at the same revision prevents that a pending write of the
     claim takes effect later, although its CALL was never sent.  */
  if (call->claim_write_pending)
    answer_and_record (call, action, CALL_OUTCOME_UNKNOWN, &call->own,
                       CALL_FREE);
  else
    finish (call, action, CALL_OUTCOME_UNKNOWN);
}

static void
on_start (struct call *call, const struct call_event *event,
          struct call_action *action)
{
  if (event->kind != CALL_EV_START)
    return;
  call->prev = 0;
  act_claim (call, action);
}

static void
on_claim (struct call *call, const struct call_event *event,
          struct call_action *action)
{
  switch (event->kind)
    {
    case CALL_EV_WRITE_DONE:
      call->prev = event->revision;
      call->claim_write_pending = 0;
      set_action (call, action, CALL_ST_SENT, CALL_ACT_SEND, &call->own);
      break;
    case CALL_EV_WRITE_LOST:
      call->claim_write_pending = 1;
      act_read (call, action);
      break;
    case CALL_EV_WRITE_CONFLICT:
      act_read (call, action);
      break;
    case CALL_EV_WRITE_REFUSED:
      if (call->prev == 0 && !call->claim_write_pending)
        finish (call, action, CALL_OUTCOME_NOT_RUN);
      else
        act_back_off (call, action);
      break;
    default:
      break;
    }
}

/* Continues with LAST_READ, a record of the own attempt.  */
static void
continue_from_own_record (struct call *call, struct call_action *action)
{
  if (call->last_read.state != CALL_CLAIMED)
    finish (call, action, CALL_OUTCOME_UNKNOWN);
  else if (call->own_barred)
    act_free (call, action);
  else
    set_action (call, action, CALL_ST_SENT, CALL_ACT_SEND, &call->own);
}

/* Continues with LAST_READ, the record read at revision PREV.  */
static void
continue_from_record (struct call *call, struct call_action *action)
{
  const struct call_record *last_read = &call->last_read;

  if (last_read->fingerprint != call->own.fingerprint)
    finish (call, action, CALL_OUTCOME_INVALID);
  else if (last_read->state == CALL_DONE)
    {
      copy_result (&call->result, &last_read->result);
      call->result.digest = last_read->result.digest;
      finish (call, action, CALL_OUTCOME_DONE);
    }
  else if (last_read->state == CALL_UNKNOWN)
    finish (call, action, CALL_OUTCOME_UNKNOWN);
  else if (last_read->state == CALL_FREE && call->own_barred)
    finish (call, action, CALL_OUTCOME_NOT_RUN);
  else if (last_read->state == CALL_FREE)
    act_claim (call, action);
  else if (msg_id_equal (last_read->attempt, call->own.attempt))
    continue_from_own_record (call, action);
  else
    set_action (call, action, CALL_ST_VOID_OTHER, CALL_ACT_VOID, last_read);
}

static void
on_read (struct call *call, const struct call_event *event,
         struct call_action *action)
{
  switch (event->kind)
    {
    case CALL_EV_READ_DONE:
      /* A pending write can take effect only at the revision for which it was
         sent.  */
      if (event->revision != call->prev)
        call->claim_write_pending = 0;
      call->prev = event->revision;
      call_record_clear (&call->last_read);
      call_record_copy (&call->last_read, event->record);
      continue_from_record (call, action);
      break;
    case CALL_EV_READ_ABSENT:
      call->prev = 0;
      act_claim (call, action);
      break;
    case CALL_EV_READ_FAILED:
      act_back_off (call, action);
      break;
    case CALL_EV_READ_BAD:
      finish (call, action, CALL_OUTCOME_UNKNOWN);
      break;
    default:
      break;
    }
}

static void
on_back_off (struct call *call, const struct call_event *event,
             struct call_action *action)
{
  if (event->kind == CALL_EV_RETRY)
    act_read (call, action);
  else if (event->kind == CALL_EV_DEADLINE)
    give_up (call, action);
}

static void
record_done (struct call *call, const struct call_event *event,
             struct call_action *action, const struct call_record *record)
{
  copy_result (&call->result, event->result);
  answer_and_record (call, action, CALL_OUTCOME_DONE, record, CALL_DONE);
}

static void
record_unknown (struct call *call, struct call_action *action,
                const struct call_record *record)
{
  answer_and_record (call, action, CALL_OUTCOME_UNKNOWN, record, CALL_UNKNOWN);
}

static void
on_own_end (struct call *call, const struct call_event *event,
            struct call_action *action)
{
  if (!msg_id_equal (event->attempt, call->own.attempt))
    return;
  if (event->end_outcome == MSG_OUTCOME_DONE)
    record_done (call, event, action, &call->own);
  else if (event->end_outcome == MSG_OUTCOME_NOT_RUN)
    act_free (call, action);
  else
    record_unknown (call, action, &call->own);
}

static void
on_own_voided (struct call *call, const struct call_event *event,
               struct call_action *action)
{
  if (!msg_id_equal (event->attempt, call->own.attempt))
    return;
  if (event->void_state == MSG_VOID_DONE)
    record_done (call, event, action, &call->own);
  else if (event->void_state == MSG_VOID_NEVER_RAN)
    act_free (call, action);
  else if (event->void_state == MSG_VOID_RUNNING)
    call->state = CALL_ST_SENT;
  else
    record_unknown (call, action, &call->own);
}

/* CALL was sent; only END or VOIDED prove its outcome.  */
static void
on_sent (struct call *call, const struct call_event *event,
         struct call_action *action)
{
  switch (event->kind)
    {
    case CALL_EV_SEND_FAILED:
      act_free (call, action);
      break;
    case CALL_EV_END:
      on_own_end (call, event, action);
      break;
    case CALL_EV_VOIDED:
      on_own_voided (call, event, action);
      break;
    case CALL_EV_NO_ANSWER:
      set_action (call, action, CALL_ST_VOID_OWN, CALL_ACT_VOID, &call->own);
      break;
    case CALL_EV_AGENT_RESTARTED:
    case CALL_EV_DEADLINE:
      record_unknown (call, action, &call->own);
      break;
    default:
      break;
    }
}

static void
on_void_other (struct call *call, const struct call_event *event,
               struct call_action *action)
{
  const struct call_record *last_read = &call->last_read;

  if (event->kind == CALL_EV_AGENT_RESTARTED
      || event->kind == CALL_EV_DEADLINE)
    record_unknown (call, action, last_read);
  else if (event->kind == CALL_EV_NO_ANSWER)
    set_action (call, action, CALL_ST_VOID_OTHER, CALL_ACT_VOID, last_read);
  if (event->kind != CALL_EV_VOIDED
      || !msg_id_equal (event->attempt, last_read->attempt))
    return;
  if (event->void_state == MSG_VOID_DONE)
    record_done (call, event, action, last_read);
  else if (event->void_state == MSG_VOID_NEVER_RAN)
    act_claim (call, action);
  else if (event->void_state == MSG_VOID_RUNNING)
    set_action (call, action, CALL_ST_WAIT_OTHER, CALL_ACT_WAIT, NULL);
  else
    record_unknown (call, action, last_read);
}

static void
on_wait_other (struct call *call, const struct call_event *event,
               struct call_action *action)
{
  if (event->kind == CALL_EV_RETRY)
    act_read (call, action);
  /* The entry that made the attempt still waits for its result and records
     it.  */
  else if (event->kind == CALL_EV_DEADLINE)
    finish (call, action, CALL_OUTCOME_UNKNOWN);
}

static void
on_free (struct call *call, const struct call_event *event,
         struct call_action *action)
{
  switch (event->kind)
    {
    case CALL_EV_WRITE_DONE:
      finish (call, action, CALL_OUTCOME_NOT_RUN);
      break;
    case CALL_EV_WRITE_CONFLICT:
      act_read (call, action);
      break;
    case CALL_EV_WRITE_LOST:
    case CALL_EV_WRITE_REFUSED:
      call->claim_write_pending = 1;
      act_back_off (call, action);
      break;
    default:
      break;
    }
}

static void
on_record (struct call *call, const struct call_event *event,
           struct call_action *action)
{
  switch (event->kind)
    {
    case CALL_EV_WRITE_DONE:
      set_action (call, action, CALL_ST_FINISHED, CALL_ACT_FINISHED, NULL);
      break;
    case CALL_EV_WRITE_CONFLICT:
      set_action (call, action, CALL_ST_RECORD_READ, CALL_ACT_READ, NULL);
      break;
    case CALL_EV_WRITE_LOST:
    case CALL_EV_WRITE_REFUSED:
      set_action (call, action, CALL_ST_RECORD_WAIT, CALL_ACT_WAIT, NULL);
      break;
    default:
      break;
    }
}

static void
on_record_wait (struct call *call, const struct call_event *event,
                struct call_action *action)
{
  if (event->kind == CALL_EV_RETRY)
    set_action (call, action, CALL_ST_RECORD, CALL_ACT_WRITE, &call->next);
}

/* Returns nonzero when NEXT may replace RECORD: RECORD is of the same attempt
   and has less information.  DONE may replace UNKNOWN; CLAIMED may be replaced
   by any state.  */
static int
may_replace (const struct call *call, const struct call_record *record)
{
  if (!msg_id_equal (record->attempt, call->next.attempt))
    return 0;
  return record->state == CALL_CLAIMED
         || (record->state == CALL_UNKNOWN && call->next.state == CALL_DONE);
}

static void
on_record_read (struct call *call, const struct call_event *event,
                struct call_action *action)
{
  if (event->kind == CALL_EV_READ_FAILED)
    set_action (call, action, CALL_ST_RECORD_WAIT, CALL_ACT_WAIT, NULL);
  else if (event->kind == CALL_EV_READ_DONE
           && may_replace (call, event->record))
    {
      call->prev = event->revision;
      set_action (call, action, CALL_ST_RECORD, CALL_ACT_WRITE, &call->next);
    }
  else if (event->kind == CALL_EV_READ_ABSENT)
    {
      /* The service has lost it: it was restored from an older copy.  */
      call->prev = 0;
      set_action (call, action, CALL_ST_RECORD, CALL_ACT_WRITE, &call->next);
    }
  else if (event->kind == CALL_EV_READ_DONE || event->kind == CALL_EV_READ_BAD)
    set_action (call, action, CALL_ST_FINISHED, CALL_ACT_FINISHED, NULL);
}

static void (*const handlers[CALL_ST_MAX]) (struct call *,
                                            const struct call_event *,
                                            struct call_action *)
    = {
        [CALL_ST_START] = on_start,
        [CALL_ST_CLAIM] = on_claim,
        [CALL_ST_READ] = on_read,
        [CALL_ST_BACKOFF] = on_back_off,
        [CALL_ST_SENT] = on_sent,
        [CALL_ST_VOID_OWN] = on_sent,
        [CALL_ST_VOID_OTHER] = on_void_other,
        [CALL_ST_WAIT_OTHER] = on_wait_other,
        [CALL_ST_FREE] = on_free,
        [CALL_ST_RECORD] = on_record,
        [CALL_ST_RECORD_WAIT] = on_record_wait,
        [CALL_ST_RECORD_READ] = on_record_read,
        [CALL_ST_FINISHED] = NULL,
      };

void
call_init (struct call *call, const struct call_record *claim)
{
  memset (call, 0, sizeof *call);
  call->own = *claim;
  call->own.state = CALL_CLAIMED;
  memset (&call->own.result, 0, sizeof call->own.result);
}

void
call_clear (struct call *call)
{
  call_record_clear (&call->last_read);
  call_record_clear (&call->next);
  copy_result (&call->result, NULL);
}

void
call_step (struct call *call, const struct call_event *event,
           struct call_action *action)
{
  memset (action, 0, sizeof *action);
  if (handlers[call->state] != NULL)
    handlers[call->state](call, event, action);
}
