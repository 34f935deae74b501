#ifndef MEMBUDGET_H
#define MEMBUDGET_H
/*
 * NAME
 *   membudget - how many bytes and descriptors a process may hold for others
 *
 * DESCRIPTION
 *   Accounts only: whoever keeps bytes for a client charges them here and
 *   releases them when they are freed, and asks before taking on more.  The
 *   limit is what the process may use less what it needs itself.  Large bodies
 *   get only a part of it, so that small requests still find room.  A null
 *   budget holds anything.  Bytes may be charged and released by
 *   several threads; all else is for one.  Sizes are in bytes.
 */
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"

enum membudget_class
{
  MEMBUDGET_CONNECTION, /* with its input that isn't part of a body */
  MEMBUDGET_BODY,       /* of requests */
  MEMBUDGET_OUTPUT,     /* what a socket hasn't taken yet */
  MEMBUDGET_ANSWER,     /* of runners, until they are passed on */
  MEMBUDGET_MAX
};

enum
{
  /* A larger body is refused before smaller ones.  */
  MEMBUDGET_LARGE_BYTES = 64 * 1024
};

struct membudget
{
  size_t limit;       /* 0: none */
  size_t body_copies; /* that are made of each body; at least 1 */
  size_t held[MEMBUDGET_MAX];
  size_t total;
  size_t peak;
  unsigned clients; /* connections of clients */
  unsigned clients_max;
  unsigned peers; /* connections to runners, the store and other gateways */
  unsigned sockets_max; /* of clients and for requests; 0: no limit */
  /* Counts.  */
  uint64_t refused;     /* requests */
  uint64_t evicted;     /* connections closed for what they hold */
  uint64_t slow;        /* bodies that came too slowly */
  uint64_t turned_away; /* connections beyond CLIENTS_MAX */
};

/* Sets the limits of a process that may use MEMORY bytes and FDS descriptors
   and uses IN_USE bytes before it serves anyone.  Returns 0, or -1 with ERR
   when they leave too little.  */
int membudget_init (struct membudget *budget, size_t memory, size_t in_use,
                    unsigned fds, struct err *err);

void membudget_charge (struct membudget *budget, enum membudget_class kind,
                       size_t size);
void membudget_release (struct membudget *budget, enum membudget_class kind,
                        size_t size);
/* Changes what *CHARGED says to SIZE.  */
void membudget_set (struct membudget *budget, enum membudget_class kind,
                    size_t *charged, size_t size);

/* Returns nonzero when MORE bytes of a body that then has SIZE have room.  */
int membudget_has_room (const struct membudget *budget, size_t more,
                        size_t size);
/* Returns nonzero when one half of the limit is held.  */
int membudget_is_tight (const struct membudget *budget);
/* Returns nonzero when more is held than the limit.  */
int membudget_is_over (const struct membudget *budget);
/* Returns nonzero when another client may connect.  */
int membudget_takes_client (const struct membudget *budget);
/* Returns nonzero when another connection to a runner may be opened for a
   request.  Those to the store are not limited.  */
int membudget_takes_peer (const struct membudget *budget);
/* Returns a name for metrics.  */
const char *membudget_class_name (enum membudget_class kind);

/* Returns the resident bytes of this process, or 0 when they aren't known. */
size_t membudget_resident (void);
#endif
