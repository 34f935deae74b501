#ifndef REQSTATE_H
#define REQSTATE_H
/*
 * NAME
 *   reqstate - what became of a request, and what its client may be told
 *
 * DESCRIPTION
 *   The state follows one request over all its sends.  Status 429 and 503 say
 *   that it has not run and never will; they are given only where no runner
 *   can have run it.  Pure.
 */
enum reqstate_progress
{
  REQSTATE_UNSENT,  /* no byte of it was sent, or each runner said "not run" */
  REQSTATE_SENT,    /* a runner has it, or had it and was lost */
  REQSTATE_STARTED, /* part of an answer was passed on */
  REQSTATE_DONE
};

enum reqstate_event
{
  REQSTATE_EV_SEND,
  REQSTATE_EV_UNREACHED, /* the connection failed before a byte was written */
  REQSTATE_EV_NOT_RUN,   /* the runner says that it did not run it */
  REQSTATE_EV_LOST,      /* the connection broke after the send */
  REQSTATE_EV_START,
  REQSTATE_EV_DONE
};

struct reqstate
{
  enum reqstate_progress state;
  unsigned sends;     /* that reached a runner */
  unsigned uncertain; /* sends of which it isn't known that they didn't run */
};

void reqstate_apply (struct reqstate *reqstate, enum reqstate_event event);

/* Returns the status for giving up: 503 when it has not run, 504 when its time
   is over and 502 otherwise; 0 when an answer has begun.  */
int reqstate_status (const struct reqstate *reqstate, int time_over);

/* Returns nonzero when another send can't run it more often than allowed.  */
int reqstate_may_retry (const struct reqstate *reqstate, int idempotent,
                        unsigned attempts);
#endif
