#ifndef PEERLOAD_H
#define PEERLOAD_H
/*
 * NAME
 *   peerload - load that gateways tell each other
 *
 * DESCRIPTION
 *   Each gateway tells what it has in progress at each engine, as a whole, in
 *   one datagram.  The latest word of a gateway replaces the one before; one
 *   that was silent for PEERLOAD_TIMEOUT_US counts as having nothing in
 * progress. A lost datagram costs accuracy only.  Pure; times are in
 * microseconds.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"
#include "pool.h"

#define PEERLOAD_TIMEOUT_US                                                   \
  INT64_C (1000000) /* several intervals of a large fleet */

enum
{
  PEERLOAD_BYTES_MAX = 8000, /* of a datagram */
  PEERLOAD_ROWS_MAX = 400    /* engines told of in one datagram */
};

struct peerload;

struct peerload *peerload_new (void);
void peerload_free (struct peerload *peerload);

/* Appends the word of the gateway SELF to OUT: what it has in progress at
   each runner of MEMB, the stages that it has ordered, and READING, the
   engines that reading the prompts asked of it would keep busy.  */
void peerload_encode (const char *self, uint64_t sequence, double reading,
                      const struct runner_pool *runner_pool, GString *out);

/* Returns the sum of READING of the other gateways.  */
double peerload_prefill_demand (const struct peerload *peerload);

/* Applies the word of another gateway to the runners of MEMB.  Returns 0, or
   -1 with ERR_PROTOCOL when it is malformed, of SELF, or old.  */
int peerload_apply (struct peerload *peerload, struct runner_pool *runner_pool,
                    const char *self, const char *data, size_t size,
                    int64_t now, struct err *err);

/* Forgets the gateways that are silent; to be called regularly.  */
void peerload_expire (struct peerload *peerload,
                      struct runner_pool *runner_pool, int64_t now);

/* Returns the microseconds between two words of one of PROCESSES gateways, so
   that what each receives does not grow with their number.  */
int64_t peerload_interval (unsigned processes);
#endif
