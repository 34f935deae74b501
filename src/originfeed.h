#ifndef ORIGINFEED_H
#define ORIGINFEED_H
/*
 * NAME
 *   originfeed - which version began a stream, exchanged between gateways
 *
 * DESCRIPTION
 *   The gateway that begins a stream tells its record to the stream's homes,
 *   ORIGINFEED_HOMES other gateways that follow from the stream's number by
 *   rendezvous hashing.  A gateway at which the stream is taken up asks
 *   ORIGINFEED_ASKED gateways in the same order, so that it finds the record
 *   where one home has ended or the lists of gateways differ by one.
 *
 *   A stream costs a datagram to each home, and one that is taken up elsewhere
 *   one to each gateway that is asked and a reply.  Datagrams may be lost,
 *   doubled, late or out of order; a record never changes.  A stream of which
 *   nothing is heard may still be known to the store.  No input or output;
 *   times are in microseconds.
 */
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"

enum
{
  ORIGINFEED_HOMES = 2,
  ORIGINFEED_ASKED = 3,
  ORIGINFEED_BUILD_MAX = 63 /* bytes of the name of a version */
};

/* A query ends after this time, which is several times the latency between
   two zones.  */
#define ORIGINFEED_QUERY_US INT64_C (20000)

struct originfeed_ops
{
  /* Writes at most MAX other gateways to TO, in the order of the stream ID.
     Returns their number.  */
  size_t (*rank) (void *ctx, uint64_t id, uint64_t *to, size_t max);
  /* Sends a datagram to the gateway TO.  */
  void (*send) (void *ctx, uint64_t to, const char *data, size_t size);
  /* Returns the version that began the stream ID, or null.  */
  const char *(*find) (void *ctx, uint64_t id);
  /* Another gateway says that BUILD began the stream ID.  */
  void (*note) (void *ctx, uint64_t id, const char *build);
  /* The query for the stream ID has ended: its record was noted, or the
     gateways that were asked have none or are silent.  */
  void (*done) (void *ctx, uint64_t id);
};

struct originfeed;

/* SELF is the number of this gateway.  */
struct originfeed *
originfeed_new (uint64_t self, const struct originfeed_ops *ops, void *ctx);
void originfeed_free (struct originfeed *feed);

/* Tells the homes of the stream ID that BUILD began it.  */
void originfeed_tell (struct originfeed *feed, uint64_t id, const char *build);
/* Asks for the record of the stream ID.  Returns nonzero when DONE follows, or
   0 when there is no gateway to ask.  */
int originfeed_ask (struct originfeed *feed, uint64_t id, int64_t now);
/* Ends the queries whose time is over; to be called ORIGINFEED_QUERY_US after
   each originfeed_ask.  */
void originfeed_advance (struct originfeed *feed, int64_t now);

/* Returns nonzero when DATA may be a datagram of this module.  */
int originfeed_is_datagram (const char *data, size_t size);
/* Handles a datagram.  Returns 0, or -1 with ERR_PROTOCOL when it is
   malformed.  */
int originfeed_receive (struct originfeed *feed, const char *data, size_t size,
                        struct err *err);
#endif
