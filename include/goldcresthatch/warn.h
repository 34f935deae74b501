#ifndef GOLDCRESTHATCH_WARN_H
#define GOLDCRESTHATCH_WARN_H

/*
 * NAME
 *   warn - warnings to operators, with evidence and the action to take
 *
 * DESCRIPTION
 *   A module reports whether a condition holds for a subject, such as a
 *   service or a shard.  The warning is raised when the condition has held for
 *   the kind's hold time, and is cleared when it has not held for the clear
 *   time.  A report expires: a condition that is not reported any more, or
 *   that a paused process could not observe, no longer holds.  Kinds that
 *   describe an event are raised by its report and cleared when the last
 *   report expires.
 *
 *   Times are in microseconds of a clock that never goes back.  The functions
 *   do no I/O and take no locks; the caller's lock guards a set used by
 *   several threads.
 */

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

enum warn_kind
{
  WARN_LATE_ANSWERS,     /* subject: service */
  WARN_NO_RUNNER,        /* subject: service */
  WARN_CFG_NOT_IN_FORCE, /* subject: process with the older one */
  WARN_KV_DOWN,          /* calls are refused; subject: service address */
  WARN_CRASHING_REQUEST, /* event; subject: fingerprint */
  WARN_OUTCOME_UNKNOWN,  /* event; subject: plain service */
  WARN_NO_AUTHORITY,     /* subject: shard */
  WARN_KIND_MAX
};

enum
{
  WARN_SUBJECT_BYTES = 64,   /* with the terminating null */
  WARN_EVIDENCE_BYTES = 192, /* with the terminating null */
  WARN_ENTRIES_MAX = 256     /* conditions in a set */
};

/* Text and times of a kind.  */
struct warn_kind_info
{
  const char *name;
  const char *outcome;   /* effect on callers if nothing is done */
  const char *action;    /* what the operator does */
  const char *clears;    /* condition under which the warning is cleared */
  int64_t hold_us;       /* time for which the condition must hold */
  int64_t clear_us;      /* time for which it must not hold */
  int64_t report_ttl_us; /* time until a report expires */
};

struct warn_entry
{
  enum warn_kind kind;
  char subject[WARN_SUBJECT_BYTES];
  char evidence[WARN_EVIDENCE_BYTES]; /* from the last report that it holds */
  int raised;
  int64_t since;    /* start of the condition */
  int64_t reported; /* time of the last report that it holds */
};

struct warn_set;

struct warn_set *warn_new (void);
void warn_free (struct warn_set *set);

/* Returns the text and times of KIND.  */
const struct warn_kind_info *warn_info (enum warn_kind kind);

/* Reports at NOW that the condition of KIND holds for SUBJECT, or does not
   when HOLDS is 0.  EVIDENCE has the figures and names that show it.  Returns
   0, or -1 when the set has WARN_ENTRIES_MAX other conditions.  */
int warn_report (struct warn_set *set, enum warn_kind kind,
                 const char *subject, int holds, const char *evidence,
                 int64_t now);

/* Raises and clears the warnings that are due at NOW.  Calls FN, unless it is
   null, for each; RAISED of the entry is 0 when the warning was cleared.  */
void warn_update (struct warn_set *set, int64_t now,
                  void (*fn) (void *ctx, const struct warn_entry *entry),
                  void *ctx);

/* Returns the number of raised warnings.  */
size_t warn_count (const struct warn_set *set);

/* Appends the raised warnings to OUT as a JSON array in the order of kinds and
   subjects, with the age of each at NOW in seconds.  */
void warn_json (const struct warn_set *set, int64_t now, GString *out);

#endif
