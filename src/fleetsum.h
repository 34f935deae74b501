#ifndef FLEETSUM_H
#define FLEETSUM_H
/*
 * NAME
 *   fleetsum - sums over all gateways, each kept at one of them
 *
 * DESCRIPTION
 *   A sum has a key.  Each gateway contributes a value to it and may ask for
 *   the sum of the other gateways' values.  The home of a key, which keeps the
 *   contributions, follows from the registered gateways by rendezvous hashing,
 *   so all gateways agree on it without messages.
 *
 *   The traffic of a gateway grows with its own requests and not with the
 *   number of gateways or keys: a change of a value and a query take one
 *   datagram to each home concerned, a reply one datagram.
 *
 *   Datagrams may be lost, doubled and reordered.  An update carries the value
 *   itself, not a difference, and a number that only rises, so the latest one
 *   counts.  Values other than zero are sent again every second; a home drops
 *   a value that is not repeated, so that of a gateway that has ended.  A home
 *   that doesn't reply to two queries in a row is passed over for
 *   FLEETSUM_SILENCE_US: the next gateway in the key's order takes its place.
 *   The sums there are complete once all gateways have noticed; meanwhile they
 *   are too low, never too high.
 *
 *   Sources: rendezvous hashing, Thaler and Ravishankar, "Using name-based
 *   mappings to increase hit rates", 1998.  No input or output; times are in
 *   microseconds.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"

enum
{
  FLEETSUM_KEYS_MAX = 24,    /* keys of one query */
  FLEETSUM_BYTES_MAX = 1400, /* of a datagram; fits in one packet */
  FLEETSUM_STATE_MAX = 15
};

/* A home that seems to be silent is tried again after this.  */
#define FLEETSUM_SILENCE_US INT64_C (2000000)
/* A query ends after this time with the replies that have arrived.  */
#define FLEETSUM_QUERY_US INT64_C (15000)

/* COUNT and AMOUNT are added up; STATE is the highest of all.  */
struct fleetsum_value
{
  uint32_t count;
  uint32_t amount;
  uint32_t state;
};

struct fleetsum;

struct fleetsum_ops
{
  /* Sends a datagram to the gateway HOME.  */
  void (*send) (void *ctx, uint64_t home, const char *data, size_t size);
  /* SUM of the contributions of the other gateways to KEY, in answer to a
     query.  */
  void (*sum) (void *ctx, uint64_t key, const struct fleetsum_value *sum,
               int64_t now);
  /* QUERY has ended.  SILENT homes have not replied in time.  */
  void (*done) (void *ctx, uint64_t query, size_t silent);
};

/* Returns the number that names a gateway.  */
uint64_t fleetsum_id (const char *name);

/* SELF is the number of this gateway; SEQUENCE must be higher than any that a
   process of this name has used before.  */
struct fleetsum *fleetsum_new (uint64_t self, uint64_t sequence,
                               const struct fleetsum_ops *ops, void *ctx);
void fleetsum_free (struct fleetsum *fs);

/* Sets the gateways that can be homes.  */
void fleetsum_set_homes (struct fleetsum *fs, const uint64_t *homes, size_t n,
                         int64_t now);
/* Returns the home of KEY, or 0 when there is none.  */
uint64_t fleetsum_home (const struct fleetsum *fs, uint64_t key, int64_t now);

/* Sets the contribution of this gateway to KEY; it is sent by the next
   fleetsum_flush.  Returns nonzero when the value has changed.  */
int fleetsum_set (struct fleetsum *fs, uint64_t key,
                  const struct fleetsum_value *value);
/* Sends the contributions that have changed or are due for repetition.  */
void fleetsum_flush (struct fleetsum *fs, int64_t now);

/* Asks for the sums of N keys, at most FLEETSUM_KEYS_MAX, and sends changed
   contributions to the same homes.  Sums kept here are passed on before it
   returns.  Returns the number of the query, or 0 when there is nothing to
   wait for.  */
uint64_t fleetsum_query (struct fleetsum *fs, const uint64_t *keys, size_t n,
                         int64_t now);
/* Ends QUERY without a call of done.  Sums that arrive later are passed on. */
void fleetsum_cancel (struct fleetsum *fs, uint64_t query);
/* Ends the queries whose time is over.  Returns the time of the next end, or
   -1 without queries.  */
int64_t fleetsum_advance (struct fleetsum *fs, int64_t now);

/* Handles a datagram.  Returns 0, or -1 with ERR_PROTOCOL when it is
   malformed or has an unknown version.  */
int fleetsum_receive (struct fleetsum *fs, const char *data, size_t size,
                      int64_t now, struct err *err);

/* Removes contributions that were not repeated; to be called periodically.  */
void fleetsum_expire (struct fleetsum *fs, int64_t now);

/* Returns the number of homes that are passed over.  */
size_t fleetsum_silent (const struct fleetsum *fs, int64_t now);
#endif
