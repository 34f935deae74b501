#ifndef OUTC_H
#define OUTC_H
/*
 * NAME
 *   outc - what became of a request, and what its client may be told
 *
 * DESCRIPTION
 *   The state follows one request over all its sends.  Status 429 and 503 say
 *   that it has not run and never will; they are given only where no runner
 *   can have run it.  Pure.
 */
enum outc_state
{
  OUTC_UNSENT,  /* no byte of it was sent, or each runner said "not run" */
  OUTC_SENT,    /* a runner has it, or had it and was lost */
  OUTC_STARTED, /* part of an answer was passed on */
  OUTC_DONE
};

enum outc_event
{
  OUTC_EV_SEND,
  OUTC_EV_UNREACHED, /* the connection failed before a byte was written */
  OUTC_EV_NOT_RUN,   /* the runner says that it did not run it */
  OUTC_EV_LOST,      /* the connection broke after the send */
  OUTC_EV_START,
  OUTC_EV_DONE
};

struct outc
{
  enum outc_state state;
  unsigned sends;     /* that reached a runner */
  unsigned uncertain; /* sends of which it isn't known that they didn't run */
};

void outc_apply (struct outc *outc, enum outc_event event);

/* Returns the status for giving up: 503 when it has not run, 504 when its time
   is over and 502 otherwise; 0 when an answer has begun.  */
int outc_status (const struct outc *outc, int time_over);

/* Returns nonzero when another send can't run it more often than allowed.  */
int outc_may_repeat (const struct outc *outc, int idempotent,
                     unsigned attempts);
#endif
