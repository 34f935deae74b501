#ifndef USAGE_LEDGER_H
#define USAGE_LEDGER_H
/*
 * NAME
 *   usage_ledger - which windows of usage have been reported, and with what
 *   counts
 *
 * DESCRIPTION
 *   The ledger is one value in the store.  The counts of a window are written
 *   there before they are reported, and a later holder of the duty sends what
 *   it finds, so that two different reports of a window can't be.  The caller
 *   writes the value under the condition that it is still the one that was
 *   read.  No input or output.  Times are in microseconds.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"
#include "usage.h"

enum
{
  USAGE_LEDGER_PENDING_MAX = 32 /* reports that are kept for a later send */
};

/* A window whose counts are in the ledger, and that is to be reported.  */
struct usage_report
{
  uint64_t window;
  unsigned attempts;
  int64_t next_us;  /* of the next attempt, by the clock of the caller */
  int is_committed; /* the ledger in the store has it */
};

struct usage_ledger
{
  uint64_t era;        /* of the store when it was written */
  uint64_t next;       /* first window that isn't in the ledger yet */
  GArray *pending;     /* struct usage_report, oldest first */
  struct usage *usage; /* their counts */
};

/* Lengths of time.  */
struct usage_times
{
  int64_t window_us;
  int64_t late_us; /* within which a report is due after its window */
};

struct usage_ledger *usage_ledger_new (void);
void usage_ledger_free (struct usage_ledger *ledger);

/* Returns the window that NOW_US since the start of 1970 lies in.  */
uint64_t usage_window_at (const struct usage_times *times, int64_t now_us);
/* Returns the end of WINDOW since the start of 1970.  */
int64_t usage_window_end (const struct usage_times *times, uint64_t window);

/* Begins a ledger where the store has none: at FIRST.  */
void usage_ledger_start (struct usage_ledger *ledger, uint64_t first);

/* Replaces the ledger by the value DATA.  Returns 0, or -1 with ERR and
   without effect when it is malformed.  */
int usage_ledger_read (struct usage_ledger *ledger, const char *data,
                       size_t size, struct err *err);

/* Appends the value to OUT, with ERA as the era of the store.  */
void usage_ledger_write (const struct usage_ledger *ledger, uint64_t era,
                         GString *out);

/* Adds the windows up to LAST with their counts in SUM, not committed.  */
void usage_ledger_extend (struct usage_ledger *ledger, uint64_t last,
                          const struct usage *sum);
/* All reports are in the store now.  */
void usage_ledger_commit (struct usage_ledger *ledger);

/* Leaves out the windows before WINDOW.  Returns how many these are.  */
uint64_t usage_ledger_leave_out (struct usage_ledger *ledger, uint64_t window);

/* Returns the report to be sent at NOW_US, which is DAY_US since the start of
   1970: the oldest that can still be in time, or else the oldest.  Returns
   null when there is none.  It is valid until the ledger changes.  */
struct usage_report *usage_ledger_pick (const struct usage_ledger *ledger,
                                        const struct usage_times *times,
                                        int64_t now_us, int64_t day_us);
/* Notes an attempt to send WINDOW that failed at NOW_US.  */
void usage_ledger_failed (struct usage_ledger *ledger, uint64_t window,
                          int64_t now_us);
/* Notes that WINDOW has been reported.  */
void usage_ledger_done (struct usage_ledger *ledger, uint64_t window);
#endif
