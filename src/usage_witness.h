#ifndef USAGE_WITNESS_H
#define USAGE_WITNESS_H
/*
 * NAME
 *   usage_witness - counts of other gateways that aren't in the store yet
 *
 * DESCRIPTION
 *   A gateway tells others now and then what it has counted since its last
 *   write, so that its counts outlive it.  The holder of the duty asks all of
 *   them for the counts of gateways whose records are incomplete.  What is
 *   told only grows, so the highest counts are the latest.  Messages are sent
 *   through callbacks.  No input or output.  Times are in microseconds.
 */
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"
#include "usage.h"

enum
{
  USAGE_WITNESS_BYTES_MAX = 1200, /* of a message */
  USAGE_WITNESS_NAMES_MAX = 32    /* gateways that a message asks for */
};

struct usage_witness;

struct usage_witness_ops
{
  /* Sends a message to the gateway TO.  */
  void (*send) (void *ctx, uint64_t to, const char *data, size_t size);
};

struct usage_witness *usage_witness_new (const struct usage_witness_ops *ops,
                                         void *ctx);
void usage_witness_free (struct usage_witness *witness);

/* Tells the gateway TO the counts of the windows FIRST to LAST of KEY, which
   names a record in the store: "GATEWAY/INCARNATION".  */
void usage_witness_tell (struct usage_witness *witness, uint64_t to,
                         const char *key, const struct usage *usage,
                         uint64_t first, uint64_t last);

/* Asks the gateway TO for the counts of the windows FIRST to LAST of N
   gateways, as SELF.  */
void usage_witness_ask (struct usage_witness *witness, uint64_t to,
                        uint64_t self, const char *const *names, size_t n,
                        uint64_t first, uint64_t last);

/* Returns nonzero when DATA may be a message.  */
int usage_witness_is_message (const char *data, size_t size);

/* Handles a message: notes what it tells, or answers what it asks.  Returns 0,
   or -1 with ERR and without effect when it is malformed.  */
int usage_witness_receive (struct usage_witness *witness, const char *data,
                           size_t size, int64_t now, struct err *err);

/* Returns what was told of KEY, or null.  */
const struct usage *usage_witness_find (const struct usage_witness *witness,
                                        const char *key);

/* Calls FN for each key.  */
void usage_witness_each (const struct usage_witness *witness,
                         void (*fn) (void *ctx, const char *key,
                                     const struct usage *usage),
                         void *ctx);

/* Forgets what was told before SINCE.  */
void usage_witness_expire (struct usage_witness *witness, int64_t since);
#endif
