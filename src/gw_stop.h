#ifndef GW_STOP_H
#define GW_STOP_H
/*
 * NAME
 *   gw_stop - graceful shutdown of the gateway
 *
 * DESCRIPTION
 *   The gateway says at once that it isn't ready, gives up its duties and goes
 *   on with the requests in progress.  The external load balancer sends new
 *   clients until it has noticed.  The end is reported once no request and no
 *   connection is left, and before the grace period is over in any case.
 */
#include "gw.h"

/* Begins the shutdown.  ENDED is called with CTX when the process can exit.
   Has no effect when the gateway is stopping already.  */
void gw_stop_begin (struct gw *gw, void (*ended) (void *ctx), void *ctx);

/* Returns nonzero when a request that arrives now, and whose deadline is
   DEADLINE, is taken.  */
int gw_stop_takes (struct gw *gw, int64_t deadline);
#endif
