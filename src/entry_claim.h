#ifndef ENTRY_CLAIM_H
#define ENTRY_CLAIM_H

/*
 * The claim of a non-idempotent call: entry_claim.c drives its aggregate and
 * answers the caller, entry_claim_kv.c carries out its key-value operations.
 */

#include "entry.h"
#include "goldcresthatch/call.h"

enum
{
  /* How long a claim may stay unreadable before the caller is told.  */
  CLAIM_OUTAGE_TIMEOUT_US = 3000 * 1000
};

struct claim_operation;

struct entry_claim
{
  struct call call;
  struct entry_runner runner; /* chosen for the own attempt */
  int counted;                /* the attempt is counted on RUNNER */
  int sent;                   /* CALL was given to the network */
  int own_end;                /* END of the own attempt brought the result */
  int busy;                   /* a key-value operation is in progress */
  int answered;
  int over;
  int gone;                     /* the caller has left */
  unsigned retries;             /* pauses in a row */
  gint64 retry_us;              /* time of CALL_EV_RETRY, or 0 */
  gint64 void_due_us;           /* time of CALL_EV_NO_ANSWER, or 0 */
  gint64 outage_since_us;       /* start of the pauses for the service, or 0 */
  struct claim_operation *held; /* operation to be tried at the next tick */
  gint64 deferred_since_us;     /* when an operation was first held, or 0 */
  char key[KV_KEY_MAX_BYTES];
};

/* Gives EVENT to the aggregate and carries out what follows; the call's lock
   is held.  */
void entry_claim_handle_event (struct entry_call *call,
                               const struct call_event *event);

/* Starts the operation that ACTION asks for; its result is a later event.  */
void entry_claim_start_operation (struct entry_call *call,
                                  const struct call_action *action);

/* Tries the operation that is held during an outage again.  */
void entry_claim_retry_deferred (struct entry_call *call);

#endif
