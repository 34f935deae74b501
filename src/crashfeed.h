#ifndef CRASHFEED_H
#define CRASHFEED_H
/*
 * NAME
 *   crashfeed - evidence of crashes, exchanged between gateways
 *
 * DESCRIPTION
 *   Each gateway sees only its own requests at a runner that ends, and the
 * next request with the same part comes to any gateway.  What is evidence here
 * is therefore told to all gateways at once, and twice more, since datagrams
 * may be lost.  Every CRASHFEED_ASK_US a gateway asks another one, chosen at
 *   random, for all that it has; so does one that was paused or cut off learn
 *   what it has missed.
 *
 *   Keys in wide use would be told at every crash, whatever its cause.  A key
 *   that was answered here within QUARANTINE_IN_USE_US is told only with its
 *   second crash.  A gateway that knows of a later answer tells all.
 *
 *   Gateways also tell each other which runners may have ended and which
 * suspect requests are tried, in datagrams of their own, which gateways before
 * them drop.
 *
 *   What is told twice, late or out of order does no harm.  A crash costs a
 *   gateway that had requests at the runner three datagrams to each other
 *   gateway.  No input or output; times are in microseconds.
 */
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"
#include "quarantine.h"

#define CRASHFEED_TICK_US INT64_C (100000)
#define CRASHFEED_ASK_US INT64_C (1000000)

enum
{
  CRASHFEED_BYTES_MAX = 1400 /* of a datagram; fits in one packet */
};

struct crashfeed_ops
{
  /* Sends a datagram to the gateway TO, or to all others if it is 0.  */
  void (*send) (void *ctx, uint64_t to, const char *data, size_t size);
  /* Returns another gateway chosen at random, or 0 when there is none.  */
  uint64_t (*any) (void *ctx);
  /* KEY is in quarantine from now on.  */
  void (*convicted) (void *ctx, uint64_t key);
};

struct crashfeed;

/* SELF is the number of this gateway; ANSWERED_MAX as for quarantine_new.  */
struct crashfeed *crashfeed_new (uint64_t self, size_t answered_max,
                                 const struct crashfeed_ops *ops, void *ctx);
void crashfeed_free (struct crashfeed *cf);
/* Returns the evidence.  */
const struct quarantine *crashfeed_table (const struct crashfeed *cf);

/* Adds N pieces of evidence that were seen here, and tells the others.  */
void crashfeed_add (struct crashfeed *cf,
                    const struct quarantine_evidence *evidence, size_t n,
                    int64_t now);
/* Notes that the runners of N pieces of evidence may have ended, and tells the
   others.  */
void crashfeed_suspect (struct crashfeed *cf,
                        const struct quarantine_evidence *evidence, size_t n,
                        int64_t now);
/* Notes that a request with KEY, which is suspect, is sent, and tells the
   others.  */
void crashfeed_begin_trial (struct crashfeed *cf, uint64_t key, int64_t now);
/* Puts KEY into quarantine by a verdict of another time.  */
void crashfeed_hold (struct crashfeed *cf, uint64_t key, int64_t now);

/* Returns nonzero when DATA may be a datagram of this module.  */
int crashfeed_is_datagram (const char *data, size_t size);
/* Handles a datagram.  Returns 0, or -1 with ERR_PROTOCOL when it is
   malformed.  */
int crashfeed_receive (struct crashfeed *cf, const char *data, size_t size,
                       int64_t now, struct err *err);
/* Tells again and asks; to be called every CRASHFEED_TICK_US.  */
void crashfeed_tick (struct crashfeed *cf, int64_t now);
#endif
