#ifndef ENTRY_CLAIM_H
#define ENTRY_CLAIM_H

/*
 * The claim of a non-idempotent call: entry_claim.c passes events to the
 * state machine of call.h, carries out its actions and answers the caller;
 * entry_claim_kv.c carries out the key-value operations.
 */

#include "entry.h"
#include "goldcresthatch/call.h"

enum
{
  /* Time for which the claim cannot be read or written before the caller gets
     an answer.  */
  CLAIM_OUTAGE_TIMEOUT_US = 3000 * 1000
};

struct claim_operation;

struct entry_claim
{
  struct call call;
  struct entry_runner runner; /* chosen for this call's attempt */
  int attempt_counted;        /* the attempt is counted on RUNNER */
  int sent;                   /* CALL was passed to the network */
  int has_own_result;         /* END of this call's attempt has the result */
  int busy;                   /* a key-value operation is in progress */
  int answered;               /* the caller's answer is decided */
  int finished;               /* no more events are expected */
  int caller_gone;            /* the caller's connection has closed */
  unsigned retries;           /* number of CALL_ACT_WAIT so far */
  gint64 retry_at_us;         /* time of CALL_EV_RETRY, or 0 */
  gint64 void_due_us;         /* time of CALL_EV_NO_ANSWER, or 0 */
  gint64 outage_since_us;     /* since when the service fails, or 0 */
  struct claim_operation
      *deferred;            /* operation deferred to the next tick, or null */
  gint64 deferred_since_us; /* when an operation was first deferred, or 0 */
  char key[KV_KEY_MAX_BYTES]; /* of the claim's record */
};

/* Passes EVENT to the state machine and carries out the action that it
   returns; the call's lock is held.  */
void entry_claim_handle_event (struct entry_call *call,
                               const struct call_event *event);

/* Starts the operation that ACTION asks for; its result is a later event.  */
void entry_claim_start_operation (struct entry_call *call,
                                  const struct call_action *action);

/* Retries the operation that is deferred during an outage, if any; the call's
   lock is held.  */
void entry_claim_retry_deferred (struct entry_call *call);

#endif
