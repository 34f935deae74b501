#ifndef GOLDCRESTHATCH_SUSPECT_H
#define GOLDCRESTHATCH_SUSPECT_H

/*
 * NAME
 *   suspect - evidence on requests that crash endpoints
 *
 * DESCRIPTION
 *   The requests in flight on an endpoint that crashes become suspects.  A
 *   suspect may run again only on a runner without another suspect, and only
 *   once at a time, so that at its second crash no other suspect is involved.
 *   A request with SUSPECT_CRASH_LIMIT distinct crashes is not run any more.
 * A suspect that is answered whole is cleared of its crashes so far, also when
 * one of them is reported again.
 *
 *   The placements are those of this entry.  Evidence is kept for
 *   SUSPECT_RETENTION_US; a full table drops the oldest evidence first.  Times
 *   are in microseconds.
 */

#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/fleet.h"
#include "goldcresthatch/msg.h"

#define SUSPECT_RETENTION_US (INT64_C (3600) * 1000000)

enum
{
  SUSPECT_CRASH_LIMIT = 2, /* crashes after which a request is stopped */
  SUSPECT_CRASHES_MAX = 4  /* crash ids kept for one fingerprint */
};

enum suspect_verdict
{
  SUSPECT_CLEAN,      /* no evidence */
  SUSPECT_RESTRICTED, /* may run where suspect_place allows it */
  SUSPECT_STOPPED,    /* must not run */
  SUSPECT_VERDICT_MAX
};

/* One crash as evidence against a request.  */
struct suspect_crash
{
  struct msg_id id; /* the same for all who report this crash */
  int64_t age_us;   /* since the crash; 0 when not known */
};

struct suspect_table;

/* Makes a table for at most MAX fingerprints, at least 1.  */
struct suspect_table *suspect_new (size_t max);
void suspect_free (struct suspect_table *suspect_table);

/* Returns the fingerprint of a request.  */
uint64_t suspect_fingerprint (const char *customer, const char *path,
                              const void *body, size_t size);

/* Adds evidence: FINGERPRINT was in flight at each of the N CRASHES.  It
   serves both for a crash seen here and for a record of the key-value service;
   a crash that is known counts once.  Returns the verdict that results.  */
enum suspect_verdict suspect_add (struct suspect_table *suspect_table,
                                  uint64_t fingerprint,
                                  const struct suspect_crash *crashes,
                                  size_t n, int64_t now);

enum suspect_verdict suspect_check (const struct suspect_table *suspect_table,
                                    uint64_t fingerprint, int64_t now);

/* Copies the crashes that count against FINGERPRINT, for the record in the
   key-value service, to CRASHES of SUSPECT_CRASHES_MAX.  Returns their number.
 */
size_t suspect_crashes (const struct suspect_table *suspect_table,
                        uint64_t fingerprint, struct suspect_crash *crashes,
                        int64_t now);

/* Asks to run FINGERPRINT on RUNNER.  Returns 0, or -1 with ERR_REFUSED when
   it is stopped, already runs as a suspect, or RUNNER has another suspect.
   A clean request is always allowed and is not noted.  */
int suspect_place (struct suspect_table *suspect_table, uint64_t fingerprint,
                   struct fleet_ref runner, int64_t now, struct err *err);

/* Notes that FINGERPRINT has ended; ANSWERED is nonzero when it was answered
   whole, which clears it.  */
void suspect_release (struct suspect_table *suspect_table,
                      uint64_t fingerprint, int answered, int64_t now);

size_t suspect_count (const struct suspect_table *suspect_table);

#endif
