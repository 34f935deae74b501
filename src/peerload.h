#ifndef PEERLOAD_H
#define PEERLOAD_H
/*
 * NAME
 *   peerload - load reports between gateways
 *
 * DESCRIPTION
 *   A load report is one datagram with the requests that a gateway has in
 *   progress at each engine.  The latest report of a gateway replaces the one
 *   before; a gateway without a report for PEERLOAD_TIMEOUT_US counts as
 *   having nothing in progress.  A lost datagram makes the load less accurate
 *   and has no other effect.  No input or output; times are in microseconds.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"
#include "pool.h"

/* Several report intervals of a large fleet.  */
#define PEERLOAD_TIMEOUT_US INT64_C (1000000)

enum
{
  PEERLOAD_BYTES_MAX = 8000, /* of a datagram */
  PEERLOAD_ROWS_MAX = 400    /* engines in one report */
};

struct peerload;

struct peerload *peerload_new (void);
void peerload_free (struct peerload *peerload);

/* Appends the load report of the gateway SELF to OUT: its requests in progress
   at each engine of RUNNER_POOL, the stage changes that it has ordered, and
   its PREFILL_DEMAND, in engines.  */
void peerload_encode (const char *self, uint64_t sequence,
                      double prefill_demand,
                      const struct runner_pool *runner_pool, GString *out);

/* Returns the sum of the prefill demands of the peer gateways.  */
double peerload_prefill_demand (const struct peerload *peerload);

/* Applies the load report of a peer gateway to the runners of RUNNER_POOL.
   Returns 0, or -1 with ERR_PROTOCOL when it is malformed, from SELF, or not
   newer than the last one.  */
int peerload_apply (struct peerload *peerload, struct runner_pool *runner_pool,
                    const char *self, const char *data, size_t size,
                    int64_t now, struct err *err);

/* Removes gateways without a recent report; to be called periodically.  */
void peerload_expire (struct peerload *peerload,
                      struct runner_pool *runner_pool, int64_t now);

/* Returns the microseconds between two reports of one of PROCESSES gateways.
   It grows with their number, so that the rate of reports that each receives
   does not.  */
int64_t peerload_interval (unsigned processes);
#endif
