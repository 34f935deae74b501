#ifndef FLEETFEED_H
#define FLEETFEED_H
/*
 * NAME
 *   fleetfeed - changes in the store, passed on between gateways
 *
 * DESCRIPTION
 *   A watch of the store ends with each change, so that a change costs one
 *   call for each gateway that watches.  In a large fleet a few gateways, the
 *   sources, watch; each other gateway follows two of them, which send it
 *   the changes, and at least every FLEETFEED_BEAT_US the revision of the last
 *   one.
 *
 *   A follower relies on its sources while it hears both of them, both can
 *   read the store, and it has all changes that they know of.  Otherwise it
 *   watches the store itself, and so it does when a change is lost on the way
 *   or doesn't fit in a datagram.  One source that is cut off from the store
 *   without noticing therefore delays nothing.
 *
 *   Revisions are compared only within an era of the store.  A follower whose
 *   sources are in another era isn't current, and a notice of an earlier era
 *   than that of its sender is late and dropped.
 *
 *   Which gateways are sources, and whom each follows, is computed from the
 *   list of gateways alone.  Gateways with different lists may disagree; a
 *   follower then hears nothing and watches itself.  No input or output; times
 *   are in microseconds.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"
#include "store.h"

enum
{
  FLEETFEED_FOLLOWED = 2,     /* sources of a follower */
  FLEETFEED_BYTES_MAX = 1400, /* of a datagram; fits in one packet */
  FLEETFEED_FEEDS_MAX = 4,
  /* In a smaller fleet all gateways watch.  */
  FLEETFEED_MEMBERS_MIN = 12
};

#define FLEETFEED_BEAT_US INT64_C (700000)
/* A source is out of touch after two beats are lost.  */
#define FLEETFEED_TIMEOUT_US INT64_C (1600000)

struct fleetfeed;

struct fleetfeed *fleetfeed_new (uint64_t self);
void fleetfeed_free (struct fleetfeed *ff);

/* Sets the gateways: those that can be sources, and all, this one included. */
void fleetfeed_set_members (struct fleetfeed *ff, const uint64_t *able,
                            size_t n_able, const uint64_t *all, size_t n_all);
/* Returns nonzero when this gateway watches the store for others.  */
int fleetfeed_is_source (const struct fleetfeed *ff);
/* Returns the gateways that follow this one, and their number in N.  */
const uint64_t *fleetfeed_followers (const struct fleetfeed *ff, size_t *n);

/* Returns nonzero when a follower that has the changes of FEED up to REVISION
   of ERA need not watch the store.  */
int fleetfeed_is_current (const struct fleetfeed *ff, unsigned feed,
                          uint64_t era, uint64_t revision, int64_t now);

/* Changes of one feed.  Between SINCE and UPTO the store has no changes of it
   but ITEMS, in the order of their revisions.  */
struct fleetfeed_notice
{
  unsigned feed;
  int store_ok; /* the sender can read the store */
  uint64_t since;
  uint64_t upto;
  const struct store_item *items;
  size_t n_items;
  uint64_t era; /* of the revisions */
};

/* Writes NOTICE as datagrams, each passed to SEND.  Items that don't fit in a
   datagram are left out with all that follow, and the last datagram then tells
   only that there are changes up to UPTO.  */
void fleetfeed_write (const struct fleetfeed *ff,
                      const struct fleetfeed_notice *notice,
                      void (*send) (void *ctx, const char *data, size_t size),
                      void *ctx);
/* Returns nonzero when DATA may be a datagram of this module.  */
int fleetfeed_is_datagram (const char *data, size_t size);
/* Reads a datagram and calls FN with its notice, which is valid until FN
   returns.  Returns 0, or -1 with ERR_PROTOCOL when it is malformed or its
   sender isn't followed.  */
int fleetfeed_receive (struct fleetfeed *ff, const char *data, size_t size,
                       int64_t now,
                       void (*fn) (void *ctx,
                                   const struct fleetfeed_notice *notice),
                       void *ctx, struct err *err);
#endif
