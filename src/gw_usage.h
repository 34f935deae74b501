#ifndef GW_USAGE_H
#define GW_USAGE_H
/*
 * NAME
 *   gw_usage - counts of the requests that began to run, and their reports
 *
 * DESCRIPTION
 *   The functions that other parts of the gateway call are in gw.h and
 *   gw_call.h.
 */
#include "gw.h"
#include "truetime.h"
#include "usage.h"
#include "usage_ledger.h"
#include "usage_witness.h"

#define GW_USAGE_COUNTS_PREFIX "usage/counts/"

struct gw_report;

struct gw_usage_stats
{
  uint64_t counted; /* requests */
  uint64_t writes;  /* of the counts to the store */
  uint64_t write_failures;
  uint64_t malformed; /* records in the store */
  /* As the holder of the duty.  */
  uint64_t attempts; /* sends of a report */
  uint64_t attempts_failed;
  uint64_t reported; /* windows */
  uint64_t late;     /* windows reported after they were due */
  uint64_t left_out; /* windows that are never reported */
  uint64_t handed_over;
};

struct gw_usage
{
  struct usage_times times;
  struct truetime clock;
  int64_t (*day_clock) (void);
  int64_t (*steady_clock) (void);
  int64_t stepped_us; /* steady time of the last call of on_step */
  int64_t clock_told_us;
  /* This gateway's counts.  */
  struct usage *usage;
  int is_dirty;
  int is_writing;
  uint64_t closed;  /* as written last */
  uint64_t writing; /* as being written */
  int64_t close_at; /* true time of the write that closes a window */
  int64_t next_write_us;
  int64_t retry_us; /* no write before */
  char *key;
  struct usage_witness *witness;
  int is_untold; /* others don't know of the latest counts */
  int64_t told_us;
  uint64_t lease;
  uint64_t lease_era;
  int64_t lease_us; /* when it was asked for */
  int64_t lease_asked_us;
  int is_granting;
  struct gw_report *report;
  struct gw_usage_stats counts;
};

/* Replaces the clocks, both in microseconds: the time of day, and one that is
   steady and also runs while the machine is suspended.  */
void gw_usage_set_clocks (struct gw *gw, int64_t (*day) (void),
                          int64_t (*steady) (void));
const struct gw_usage_stats *gw_usage_stats_get (const struct gw *gw);

/* Returns the true time, since the start of 1970.  */
int64_t gw_usage_true_time (const struct gw_usage *usage);
/* Returns the time after the end of a window within which the gateways write
   the last counts of it.  */
int64_t gw_usage_spread_us (const struct gw *gw);

/* gw_report.c */
struct gw_report *gw_report_new (void);
/* Does what is due if this gateway has the duty.  Must be called several times
   a second.  */
void gw_report_step (struct gw *gw, int64_t now);
/* Returns the token under which this gateway has the duty, or 0.  */
uint64_t gw_report_token (const struct gw_report *report);
#endif
