#ifndef GOLDCRESTHATCH_STRM_H
#define GOLDCRESTHATCH_STRM_H

/*
 * NAME
 *   strm - assembly of an answer from DATA and END messages
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

enum strm_form
{
  STRM_BYTES, /* passed on as they come; no resume */
  STRM_SSE    /* server-sent events with a token in each */
};

enum strm_verdict
{
  STRM_ACCEPTED,  /* in order; bytes may have been passed on */
  STRM_HELD,      /* waits for an earlier sequence number */
  STRM_DUPLICATE, /* dropped */
  STRM_OTHER,     /* of another attempt; dropped */
  STRM_BROKEN     /* contradicts the END or exceeds the bound: the attempt
                     can't be completed */
};

struct strm;

/* Returns an assembly that holds at most BOUND bytes not yet passed on.  It
   ignores everything until strm_begin.  */
struct strm *strm_new (enum strm_form form, size_t bound);
void strm_free (struct strm *strm);

/* Starts ATTEMPT.  What was held of the one before, including an incomplete
   event, is dropped.  */
void strm_begin (struct strm *strm, struct msg_id attempt);

/* Takes one DATA message and appends to OUT what can be passed on.  */
enum strm_verdict strm_data (struct strm *strm, struct msg_id attempt,
                             uint64_t sequence, const char *bytes, size_t size,
                             GString *out);

/* Takes an END that states FRAMES data messages.  DONE is nonzero when the
   runner finished the answer: an incomplete last event is then appended to OUT
   as soon as every message has arrived.  */
enum strm_verdict strm_end (struct strm *strm, struct msg_id attempt,
                            uint64_t frames, int done, GString *out);

/* Returns nonzero when END and every message before it have arrived.  */
int strm_complete (const struct strm *strm);

/* Returns the number of tokens passed on by all attempts: the resume index of
   a next attempt.  Always 0 for STRM_BYTES.  */
uint64_t strm_tokens (const struct strm *strm);

/* Returns nonzero when the closing event "data: [DONE]" was passed on.  */
int strm_closed (const struct strm *strm);

#endif
