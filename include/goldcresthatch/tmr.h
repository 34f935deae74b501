#ifndef GOLDCRESTHATCH_TMR_H
#define GOLDCRESTHATCH_TMR_H

/*
 * NAME
 *   tmr - timer service
 *
 * DESCRIPTION
 *   A service runs on the machine's monotonic clock, with one thread that runs
 *   the callbacks, or on a virtual clock that its owner advances.  Times are
 *   microseconds.  Callbacks of a service run one at a time, without a lock
 *   held, in the order of their due times.  A callback may add and cancel
 *   timers, including its own.  All functions but tmr_free and tmr_advance are
 *   safe for use by many threads.
 */

#include <stdint.h>

#include "goldcresthatch/err.h"

struct tmr;

/* Starts a service on the monotonic clock.  Returns null on failure.  */
struct tmr *tmr_new (struct err *err);

/* Returns a service on a virtual clock that stands at NOW.  */
struct tmr *tmr_new_virtual (int64_t now);

/* Ends the service without running what is due.  Must not be called from a
   callback.  */
void tmr_free (struct tmr *tmr);

/* Returns the service's time.  */
int64_t tmr_now (struct tmr *tmr);

/* Calls FN with CTX and the time once, DELAY from now, and then every PERIOD
   unless that is 0.  A periodic timer that is late skips the calls it missed.
   Returns the timer's number, which is never 0 and never reused.  */
uint64_t tmr_add (struct tmr *tmr, int64_t delay, int64_t period,
                  void (*fn) (void *ctx, int64_t now), void *ctx);

/* Cancels TIMER.  On return its callback isn't running and won't run again,
   except for the callback that makes this call, so CTX can be freed.  A caller
   outside callbacks must hold no lock that the callback takes.  Returns 1, or
   0 when the timer had already ended.  */
int tmr_cancel (struct tmr *tmr, uint64_t timer);

/* Returns the time at which the first timer is due, or -1 without timers.  */
int64_t tmr_next_due (struct tmr *tmr);

/* Advances the virtual clock to TO and runs what is due on the way, each with
   the clock at its due time.  */
void tmr_advance (struct tmr *tmr, int64_t to);

#endif
