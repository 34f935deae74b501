#ifndef GOLDCRESTHATCH_WARN_H
#define GOLDCRESTHATCH_WARN_H

/*
 * NAME
 *   warn - warnings to operators, with evidence and a way out
 *
 * DESCRIPTION
 *   A part reports whether a condition holds for a subject, such as a service
 *   or a shard.  The warning is raised when the condition has held for the
 *   kind's hold time, and clears by itself when it hasn't held for the clear
 *   time.  A report stands for a limited time: a condition that nobody reports
 *   any more, or that a paused process couldn't observe, counts as over.
 *   Kinds that stand for an event are raised by its report and clear when
 *   the event hasn't been reported again for that time.
 *
 *   Times are in microseconds on any clock that only grows.  Pure; the
 *   caller's lock guards a set used by several threads.
 */

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

enum warn_kind
{
  WARN_LATE_ANSWERS,     /* subject: service */
  WARN_NO_RUNNER,        /* subject: service */
  WARN_CFG_NOT_IN_FORCE, /* subject: process that is behind */
  WARN_KV_DOWN, /* calls are being refused; subject: service address */
  WARN_CRASHING_REQUEST, /* event; subject: fingerprint */
  WARN_OUTCOME_UNKNOWN,  /* event; subject: plain service */
  WARN_NO_AUTHORITY,     /* subject: shard */
  WARN_KIND_MAX
};

enum
{
  WARN_SUBJECT_BYTES = 64,   /* bytes, terminated */
  WARN_EVIDENCE_BYTES = 192, /* bytes, terminated */
  WARN_ENTRIES_MAX = 256     /* conditions followed at once */
};

/* What is fixed for a kind.  */
struct warn_kind_info
{
  const char *name;
  const char *outcome; /* what callers lose if nothing is done */
  const char *action;  /* what the operator does */
  const char *clears;  /* when the warning goes away */
  int64_t hold;
  int64_t clear;
  int64_t report_ttl_us; /* how long a report stands */
};

struct warn_entry
{
  enum warn_kind kind;
  char subject[WARN_SUBJECT_BYTES];
  char evidence[WARN_EVIDENCE_BYTES]; /* of the last report that it holds */
  int raised;
  int64_t since;    /* start of the condition */
  int64_t reported; /* last report that it holds */
};

struct warn_set;

struct warn_set *warn_new (void);
void warn_free (struct warn_set *set);

const struct warn_kind_info *warn_info (enum warn_kind kind);

/* Reports at NOW that the condition of KIND holds for SUBJECT, or doesn't when
   HOLDS is 0.  EVIDENCE states figures and names that show it.  Returns 0, or
   -1 when WARN_ENTRIES_MAX other conditions are followed.  */
int warn_report (struct warn_set *set, enum warn_kind kind,
                 const char *subject, int holds, const char *evidence,
                 int64_t now);

/* Raises and clears what is due at NOW.  Calls FN, unless it is null, for each
   warning raised or cleared; its field RAISED tells which.  */
void warn_update (struct warn_set *set, int64_t now,
                  void (*fn) (void *ctx, const struct warn_entry *entry),
                  void *ctx);

/* Returns the number of raised warnings.  */
size_t warn_count (const struct warn_set *set);

/* Appends the raised warnings to OUT as a JSON array in the order of kinds and
   subjects, with the age of each at NOW in seconds.  */
void warn_json (const struct warn_set *set, int64_t now, GString *out);

#endif
