#ifndef GW_STOP_H
#define GW_STOP_H
/*
 * NAME
 *   gw_stop - graceful shutdown of the gateway
 *
 * DESCRIPTION
 *   The gateway says at once that it isn't ready, gives up its duties and goes
 *   on with the requests in progress.  The external load balancer sends new
 *   clients until it has noticed.  A request that may run only once is taken
 *   only if all of its time fits in the grace period; others are taken early
 *   in it, too.  What is refused has not run.
 *
 *   Shortly before the grace period is over, each request that is still in
 *   progress is answered: as not run, or with an error when its outcome is
 *   unknown.  An answer that has begun breaks off.  The end is reported once
 *   the answers have been written and no connection is left, or when the grace
 *   period is all but over.
 */
#include "gw.h"

/* Begins the shutdown.  ENDED is called with CTX when the process can exit.
   Has no effect when the gateway is stopping already.  */
void gw_stop_begin (struct gw *gw, void (*ended) (void *ctx), void *ctx);

/* Returns nonzero when a request that arrives now is taken.  It is answered by
   ANSWERED_BY at the latest; ONCE: it may not be repeated.  */
int gw_stop_takes (struct gw *gw, int64_t answered_by, int once);
#endif
