#ifndef GOLDCRESTHATCH_CALL_H
#define GOLDCRESTHATCH_CALL_H

/*
 * NAME
 *   call - claim record and outcome of a non-idempotent call
 *
 * DESCRIPTION
 *   An entry has one struct call per request.  call_step takes an event and
 *   returns the one action to carry out next; the result of that action is a
 *   later event.  The result of a key-value operation is the next event given,
 *   before any other.  An event that does not apply to the current state is
 *   ignored and yields CALL_ACT_NONE.
 *
 *   The attempt id in a record identifies the write.  "Not run" is answered
 *   only when the claim was certainly refused, so that nothing was sent, or
 *   when a FREE record was confirmed for a key under which nothing ran.  In
 *   the first case it applies to this request only: while the key-value
 *   service is down, an earlier request under the same key cannot be detected.
 *
 *   When an action has ANSWER set, the caller is answered with OUTCOME and
 *   RESULT.  Later actions only update the record and may be carried out in
 *   the background; CALL_ACT_FINISHED ends them.
 */

#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"
#include "goldcresthatch/msg.h"

enum
{
  CALL_BODY_MAX_BYTES = 16 << 10,   /* largest body stored in a record */
  CALL_RECORD_MAX_BYTES = 64 << 10, /* largest encoded record */
  CALL_STATUS_MAX = 999             /* highest HTTP status */
};

enum call_record_state
{
  CALL_CLAIMED, /* the attempt may run */
  CALL_DONE,    /* the record has the result */
  CALL_UNKNOWN, /* the attempt may have run; its result is lost */
  CALL_FREE,    /* provably not run; the next attempt may claim the key */
  CALL_RECORD_STATE_MAX
};

/* The result of a call.  BODY is null when the result was larger than
   CALL_BODY_MAX_BYTES; SIZE and DIGEST (XXH64) describe the whole body.  */
struct call_result
{
  unsigned status;
  char content_type[MSG_NAME_MAX_BYTES + 1];
  char *body;
  size_t size;
  uint64_t digest;
};

struct call_record
{
  uint64_t fingerprint;
  enum call_record_state state;
  struct msg_id attempt;
  char agent[MSG_NAME_MAX_BYTES + 1];
  uint64_t incarnation;
  uint64_t window;
  char entry[MSG_NAME_MAX_BYTES + 1];
  struct call_result result; /* all zero unless the state is CALL_DONE */
};

/* Encodes RECORD as JSON text, to be freed with free().  Returns 0, or -1 with
   ERR_LIMIT for a body above CALL_BODY_MAX_BYTES or ERR_INVALID for an invalid
   state.  */
int call_record_encode (const struct call_record *record, char **text,
                        struct err *err);

/* Decodes SIZE bytes of TEXT.  A missing, unknown or ill-typed member is an
   error.  Returns 0, or -1 with ERR_PROTOCOL and RECORD empty.  RECORD is to
   be freed with call_record_clear.  */
int call_record_decode (const char *text, size_t size,
                        struct call_record *record, struct err *err);

/* Frees the members of RECORD and makes it empty.  */
void call_record_clear (struct call_record *record);

/* Copies FROM to the empty record TO.  */
void call_record_copy (struct call_record *to, const struct call_record *from);

enum call_outcome
{
  CALL_OUTCOME_NONE,
  CALL_OUTCOME_DONE,
  CALL_OUTCOME_NOT_RUN,
  CALL_OUTCOME_UNKNOWN,
  CALL_OUTCOME_INVALID, /* the key belongs to another request */
  CALL_OUTCOME_MAX
};

enum call_event_kind
{
  CALL_EV_START,
  CALL_EV_WRITE_DONE,     /* REVISION is the new one */
  CALL_EV_WRITE_CONFLICT, /* the revision in the store differed from PREV */
  CALL_EV_WRITE_LOST,    /* the write may have had an effect or may yet have */
  CALL_EV_WRITE_REFUSED, /* the write has and will have no effect */
  CALL_EV_READ_DONE,     /* RECORD at REVISION */
  CALL_EV_READ_ABSENT,
  CALL_EV_READ_FAILED,
  CALL_EV_READ_BAD,    /* the value is not a claim record */
  CALL_EV_SEND_FAILED, /* CALL was not sent and never will be */
  CALL_EV_END,         /* ATTEMPT, END_OUTCOME, RESULT */
  CALL_EV_VOIDED,      /* ATTEMPT, VOID_STATE, RESULT */
  CALL_EV_NO_ANSWER,   /* neither END nor VOIDED within the entry's time-out */
  CALL_EV_AGENT_RESTARTED, /* the agent asked has a new incarnation */
  CALL_EV_RETRY,           /* the delay of CALL_ACT_WAIT has passed */
  CALL_EV_DEADLINE,        /* the caller's deadline has passed */
  CALL_EV_MAX
};

struct call_event
{
  enum call_event_kind kind;
  uint64_t revision;
  const struct call_record *record;
  struct msg_id attempt;
  enum msg_outcome end_outcome;
  enum msg_void_state void_state;
  const struct call_result *result;
};

enum call_action_kind
{
  CALL_ACT_NONE,
  CALL_ACT_WRITE, /* compare-and-swap of RECORD at revision PREV */
  CALL_ACT_READ,
  CALL_ACT_SEND, /* send CALL for RECORD, once, over a connected socket */
  CALL_ACT_VOID, /* send VOID for RECORD's attempt to RECORD's agent */
  CALL_ACT_WAIT, /* give CALL_EV_RETRY after a delay */
  CALL_ACT_FINISHED
};

/* RECORD and RESULT belong to the call and are valid until its next step.  */
struct call_action
{
  enum call_action_kind kind;
  const struct call_record *record;
  uint64_t prev;
  int answer;
  enum call_outcome outcome;
  const struct call_result *result; /* with CALL_OUTCOME_DONE only */
};

enum call_state
{
  CALL_ST_START,
  CALL_ST_CLAIM,       /* writing the claim */
  CALL_ST_READ,        /* reading the record */
  CALL_ST_BACKOFF,     /* delay before the next read */
  CALL_ST_SENT,        /* waiting for END */
  CALL_ST_VOID_OWN,    /* waiting for VOIDED for the own attempt */
  CALL_ST_VOID_OTHER,  /* waiting for VOIDED for the recorded attempt */
  CALL_ST_WAIT_OTHER,  /* the recorded attempt runs; delay before a read */
  CALL_ST_FREE,        /* writing FREE before "not run" may be answered */
  CALL_ST_RECORD,      /* answered; writing the outcome to the record */
  CALL_ST_RECORD_WAIT, /* answered; delay before the next write */
  CALL_ST_RECORD_READ, /* answered; reading after a conflict */
  CALL_ST_FINISHED,
  CALL_ST_MAX
};

struct call
{
  enum call_state state;
  struct call_record own;       /* this request's claim */
  struct call_record last_read; /* the record last read */
  struct call_record next;      /* the record being written */
  uint64_t prev;                /* revision at which NEXT is written */
  int claim_write_pending; /* a write of the claim may yet have an effect */
  int own_barred;          /* the own attempt can no longer run */
  enum call_outcome outcome;
  struct call_result result;
};

/* Initializes CALL for the claim CLAIM, whose state and result are ignored.
   Its attempt id must be new.  */
void call_init (struct call *call, const struct call_record *claim);
/* Frees the members of CALL.  */
void call_clear (struct call *call);

/* Applies EVENT and fills in the action to carry out.  */
void call_step (struct call *call, const struct call_event *event,
                struct call_action *action);

#endif
