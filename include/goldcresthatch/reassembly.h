#ifndef GOLDCRESTHATCH_REASSEMBLY_H
#define GOLDCRESTHATCH_REASSEMBLY_H

/*
 * NAME
 *   reassembly - reassembly of an answer from DATA and END messages
 *
 * DESCRIPTION
 *   Puts the DATA messages of the current attempt in order, drops duplicates
 *   and messages of other attempts, and buffers what arrives after a gap.  In
 *   the SSE format only complete events are passed on, and the tokens in them
 *   are counted, so that another runner can resume the answer after the last
 *   token that the caller has.  An event ends with an empty line; lines end
 *   with LF or CR LF.
 *
 *   The functions do no I/O.  The caller serializes calls for one object.
 */

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/msg.h"

enum reassembly_format
{
  REASSEMBLY_BYTES, /* passed on in order; can't be resumed */
  REASSEMBLY_SSE    /* server-sent events, with at most one token each */
};

enum reassembly_verdict
{
  REASSEMBLY_ACCEPTED,      /* in order; bytes may have been passed on */
  REASSEMBLY_BUFFERED,      /* buffered until earlier messages arrive */
  REASSEMBLY_DUPLICATE,     /* dropped */
  REASSEMBLY_OTHER_ATTEMPT, /* of another attempt; dropped */
  REASSEMBLY_BROKEN /* contradicts the END, or exceeds the buffer or the limit:
                       the attempt can't be completed */
};

struct reassembly;

/* Creates a reassembly that buffers at most BUFFER_MAX bytes.  It drops all
   messages until reassembly_begin.  */
struct reassembly *reassembly_new (enum reassembly_format form,
                                   size_t buffer_max);
void reassembly_free (struct reassembly *reassembly);

/* Lets an answer in the BYTES format have at most MAX bytes from now on; a
   longer one is broken.  Without a call there is no limit.  */
void reassembly_set_max (struct reassembly *reassembly, size_t max);

/* Makes ATTEMPT the current one.  What is buffered of the attempt before,
   including an incomplete event, is dropped.  */
void reassembly_begin (struct reassembly *reassembly, struct msg_id attempt);

/* Processes one DATA message and appends to OUT what can be passed on.  */
enum reassembly_verdict reassembly_data (struct reassembly *reassembly,
                                         struct msg_id attempt,
                                         uint64_t sequence, const char *bytes,
                                         size_t size, GString *out);

/* Processes an END that states FRAMES as the number of DATA messages.  DONE is
   nonzero when the runner finished the answer: bytes after the last complete
   event are then appended to OUT as soon as every message has arrived.  */
enum reassembly_verdict reassembly_end (struct reassembly *reassembly,
                                        struct msg_id attempt, uint64_t frames,
                                        int done, GString *out);

/* Returns nonzero when END and all DATA messages have arrived.  */
int reassembly_complete (const struct reassembly *reassembly);

/* Returns the number of tokens passed on from all attempts, which is the
   resume index of the next attempt.  Always 0 for REASSEMBLY_BYTES.  */
uint64_t reassembly_tokens (const struct reassembly *reassembly);

/* Returns nonzero when the closing event "data: [DONE]" was passed on.  */
int reassembly_closed (const struct reassembly *reassembly);

#endif
