#ifndef REQSTATE_H
#define REQSTATE_H
/*
 * NAME
 *   reqstate - whether a request may have run, and the status for its client
 *
 * DESCRIPTION
 *   The state covers one request over all its sends.  Status 429 and 503 mean
 *   that the request has not run and never will; they are used only when no
 *   runner can have run it.  No input or output.
 */
enum reqstate_progress
{
  REQSTATE_UNSENT,  /* no byte was sent, or each runner answered "not run" */
  REQSTATE_SENT,    /* sent to a runner whose answer is pending or lost */
  REQSTATE_STARTED, /* part of an answer was forwarded */
  REQSTATE_DONE
};

enum reqstate_event
{
  REQSTATE_EV_SEND,
  REQSTATE_EV_UNREACHED, /* the connection failed before a byte was sent */
  REQSTATE_EV_NOT_RUN,   /* the runner answered "not run" */
  REQSTATE_EV_LOST,      /* the connection broke after the send */
  REQSTATE_EV_START,     /* the first part of an answer is forwarded */
  REQSTATE_EV_DONE
};

struct reqstate
{
  enum reqstate_progress state;
  unsigned sends;     /* that reached a runner */
  unsigned uncertain; /* sends that may have run */
};

void reqstate_apply (struct reqstate *reqstate, enum reqstate_event event);

/* Returns the status for a request that fails: 503 when it has not run, 504
   when TIME_OVER says that its deadline has passed, 502 otherwise, and 0 when
   an answer has begun.  */
int reqstate_status (const struct reqstate *reqstate, int time_over);

/* Returns nonzero when a retry is safe, and within ATTEMPTS: the request is
   idempotent or has certainly not run.  */
int reqstate_may_retry (const struct reqstate *reqstate, int idempotent,
                        unsigned attempts);
#endif
