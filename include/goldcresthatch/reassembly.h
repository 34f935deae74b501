#ifndef GOLDCRESTHATCH_REASSEMBLY_H
#define GOLDCRESTHATCH_REASSEMBLY_H

/*
 * NAME
 *   reassembly - assembly of an answer from DATA and END messages
 *
 * DESCRIPTION
 *   Puts the DATA of one attempt at a time in order, drops duplicates and
 *   other attempts, and holds what arrives after a gap.  In the SSE form only
 *   whole events are passed on, so that an answer can be resumed on another
 *   runner after the last token that the caller has; the tokens passed on are
 *   counted.  An event ends with an empty line; lines end with LF or CR LF.
 *   Pure and not safe for use by several threads at once.
 */

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/msg.h"

enum reassembly_format
{
  REASSEMBLY_BYTES, /* passed on as they come; no resume */
  REASSEMBLY_SSE    /* server-sent events with a token in each */
};

enum reassembly_verdict
{
  REASSEMBLY_ACCEPTED,      /* in order; bytes may have been passed on */
  REASSEMBLY_HELD,          /* waits for an earlier sequence number */
  REASSEMBLY_DUPLICATE,     /* dropped */
  REASSEMBLY_OTHER_ATTEMPT, /* of another attempt; dropped */
  REASSEMBLY_BROKEN /* contradicts the END or exceeds the bound: the attempt
                 can't be completed */
};

struct reassembly;

/* Returns an assembly that holds at most BOUND bytes not yet passed on.  It
   ignores everything until reassembly_begin.  */
struct reassembly *reassembly_new (enum reassembly_format form, size_t bound);
void reassembly_free (struct reassembly *reassembly);

/* Starts ATTEMPT.  What was held of the one before, including an incomplete
   event, is dropped.  */
void reassembly_begin (struct reassembly *reassembly, struct msg_id attempt);

/* Takes one DATA message and appends to OUT what can be passed on.  */
enum reassembly_verdict reassembly_data (struct reassembly *reassembly,
                                         struct msg_id attempt,
                                         uint64_t sequence, const char *bytes,
                                         size_t size, GString *out);

/* Takes an END that states FRAMES data messages.  DONE is nonzero when the
   runner finished the answer: an incomplete last event is then appended to OUT
   as soon as every message has arrived.  */
enum reassembly_verdict reassembly_end (struct reassembly *reassembly,
                                        struct msg_id attempt, uint64_t frames,
                                        int done, GString *out);

/* Returns nonzero when END and every message before it have arrived.  */
int reassembly_complete (const struct reassembly *reassembly);

/* Returns the number of tokens passed on by all attempts: the resume index of
   a next attempt.  Always 0 for REASSEMBLY_BYTES.  */
uint64_t reassembly_tokens (const struct reassembly *reassembly);

/* Returns nonzero when the closing event "data: [DONE]" was passed on.  */
int reassembly_closed (const struct reassembly *reassembly);

#endif
