#ifndef GOLDCRESTHATCH_ATTEMPT_H
#define GOLDCRESTHATCH_ATTEMPT_H

/*
 * NAME
 *   attempt - an agent's table of non-idempotent attempts
 *
 * DESCRIPTION
 *   The table decides whether an attempt may start and reports its outcome.
 *   Time is monotonic, in microseconds; a time earlier than the last one given
 *   is treated as the last one.
 *
 *   A record is kept for ATTEMPT_RETENTION_US after its last change, and at
 *   most ATTEMPT_RECORDS_MAX are kept.  A record whose attempt runs or whose
 *   window is still accepted is never dropped, because a second CALL could
 *   then start it again; when no record may be dropped, new attempts are
 *   refused.  Once a record was dropped, attempts without a record in its
 *   window or an earlier one are reported as unknown.
 */

#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/call.h"
#include "goldcresthatch/msg.h"

enum
{
  ATTEMPT_RECORDS_MAX = 65536,
  ATTEMPT_BODIES_MAX_BYTES = 16 << 20 /* of all result bodies held */
};

/* Default length of a window.  */
#define ATTEMPT_WINDOW_DEFAULT_US INT64_C (30000000)
#define ATTEMPT_RETENTION_US INT64_C (3600000000)

enum attempt_admit
{
  ATTEMPT_ADMITTED,
  ATTEMPT_STALE_INCARNATION, /* addressed to another incarnation */
  ATTEMPT_STALE_WINDOW,      /* neither the current nor the previous window */
  ATTEMPT_VOIDED,            /* voided before it started */
  ATTEMPT_DUPLICATE,         /* started before; gets no answer at all */
  ATTEMPT_TABLE_FULL,        /* no record may be dropped */
  ATTEMPT_ADMIT_MAX
};

struct attempt_table;

/* Creates a table for an agent of INCARNATION, which must be new, in window 1
   at NOW_US.  A window lasts WINDOW_US, which is above 0.  */
struct attempt_table *attempt_new (uint64_t incarnation, int64_t window_us,
                                   int64_t now_us);
void attempt_free (struct attempt_table *table);

/* Returns the current window.  */
uint64_t attempt_window (struct attempt_table *table, int64_t now_us);

/* Returns the number of records held.  */
size_t attempt_count (const struct attempt_table *table);

/* Decides whether ATTEMPT, addressed to INCARNATION and WINDOW, may start.  An
   admitted attempt counts as running.  A duplicate must be dropped: its
   attempt has started, so that "not run" would be a wrong answer.  */
enum attempt_admit attempt_admit (struct attempt_table *table,
                                  struct msg_id attempt, uint64_t incarnation,
                                  uint64_t window, int64_t now_us);

/* Voids ATTEMPT unless it has started, so that it can't start any more, and
   returns its state.  With MSG_VOID_DONE, *RESULT is its result, valid until
   the next call; its body is null when it is no longer held, but size and
   digest still describe it.  */
enum msg_void_state attempt_void (struct attempt_table *table,
                                  struct msg_id attempt, uint64_t incarnation,
                                  uint64_t window, int64_t now_us,
                                  const struct call_result **result);

/* Ends the running ATTEMPT as MSG_OUTCOME_DONE with RESULT, as
   MSG_OUTCOME_NOT_RUN when the endpoint certainly did not receive it, or
   otherwise as unknown.  Returns 0, or -1 when the attempt is not running.  */
int attempt_finish (struct attempt_table *table, struct msg_id attempt,
                    enum msg_outcome outcome, const struct call_result *result,
                    int64_t now_us);

/* Sets the outcome of every running attempt to unknown, after a crash of the
   endpoint.  Returns their number.  */
size_t attempt_crash (struct attempt_table *table, int64_t now_us);

#endif
