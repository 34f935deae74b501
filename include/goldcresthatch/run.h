#ifndef GOLDCRESTHATCH_RUN_H
#define GOLDCRESTHATCH_RUN_H

/*
 * NAME
 *   run - an agent's table of non-idempotent attempts
 *
 * DESCRIPTION
 *   The table decides whether an attempt may start and answers what became of
 *   it.  Time is monotonic, in microseconds; an earlier time than the last one
 *   given counts as the last one.
 *
 *   A record is kept for RUN_RETENTION_US after its last change, and at most
 *   RUN_RECORDS_MAX are kept.  A record whose attempt runs or whose window is
 *   still accepted is never dropped, because a second CALL could then start it
 *   again; when no record may be dropped, new attempts are refused.  A window
 *   of which a record was dropped is answered as unknown.
 */

#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/call.h"
#include "goldcresthatch/msg.h"

enum
{
  RUN_RECORDS_MAX = 65536,
  RUN_BODIES_MAX = 16 << 20 /* bytes of all result bodies held */
};

#define RUN_WINDOW_US INT64_C (30000000) /* default length of a window */
#define RUN_RETENTION_US INT64_C (3600000000)

enum run_admit
{
  RUN_ADMITTED,
  RUN_STALE_INCARNATION, /* addressed to another incarnation */
  RUN_STALE_WINDOW,      /* neither the current nor the previous window */
  RUN_BARRED,            /* voided before */
  RUN_DUPLICATE, /* started before: to be dropped, never answered "not run" */
  RUN_FULL,
  RUN_ADMIT_MAX
};

struct run_table;

/* Creates a table for an agent of INCARNATION, which must be new, in window 1
   at NOW_US.  A window lasts WINDOW_US, which is above 0.  */
struct run_table *run_new (uint64_t incarnation, int64_t window_us,
                           int64_t now_us);
void run_free (struct run_table *table);

/* Returns the current window.  */
uint64_t run_window (struct run_table *table, int64_t now_us);

/* Returns the number of records held.  */
size_t run_count (const struct run_table *table);

/* Decides whether ATTEMPT, addressed to INCARNATION and WINDOW, may start.  It
   counts as running from then on.  */
enum run_admit run_admit (struct run_table *table, struct msg_id attempt,
                          uint64_t incarnation, uint64_t window,
                          int64_t now_us);

/* Bars ATTEMPT unless it has started, and tells its state.  With
   MSG_VOID_DONE, *RESULT is its result, valid until the next call; its body is
   null when it is no longer held, and size and digest describe it.  */
enum msg_void_state run_void (struct run_table *table, struct msg_id attempt,
                              uint64_t incarnation, uint64_t window,
                              int64_t now_us,
                              const struct call_result **result);

/* Ends the running ATTEMPT as MSG_OUTCOME_DONE with RESULT, as
   MSG_OUTCOME_NOT_RUN when the endpoint provably did not get it, or otherwise
   as unknown.  Returns 0, or -1 when the attempt does not run.  */
int run_finish (struct run_table *table, struct msg_id attempt,
                enum msg_outcome outcome, const struct call_result *result,
                int64_t now_us);

/* Makes the outcome of every running attempt unknown, after a crash of the
   endpoint.  Returns their number.  */
size_t run_crash (struct run_table *table, int64_t now_us);

#endif
