#ifndef GOLDCRESTHATCH_SUSPECT_H
#define GOLDCRESTHATCH_SUSPECT_H

/*
 * NAME
 *   suspect - detection of requests that crash endpoints
 *
 * DESCRIPTION
 *   The requests in flight on an endpoint that crashes become suspects.  A
 *   suspect may run again only on a runner without another suspect, and only
 *   once at a time, so that a second crash involves no other suspect.  A
 *   request with SUSPECT_CRASH_LIMIT distinct crashes is not run any more.  A
 *   complete answer clears a suspect of its crashes so far, also when one of
 *   them is reported again.
 *
 *   Only the placements of this entry are known.  Evidence expires after
 *   SUSPECT_RETENTION_US; a full table drops the suspect whose latest crash is
 *   the oldest.  Times are in microseconds.
 */

#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/fleet.h"
#include "goldcresthatch/msg.h"

#define SUSPECT_RETENTION_US (INT64_C (3600) * 1000000)

enum
{
  SUSPECT_CRASH_LIMIT = 2, /* crashes after which a request is not run again */
  SUSPECT_CRASHES_MAX = 4  /* crashes recorded for one fingerprint */
};

enum suspect_verdict
{
  SUSPECT_CLEAN,      /* no evidence against it */
  SUSPECT_RESTRICTED, /* may run only where suspect_place allows it */
  SUSPECT_STOPPED,    /* must not run */
  SUSPECT_VERDICT_MAX
};

/* A crash during which a request was in flight.  */
struct suspect_crash
{
  struct msg_id id; /* the same in all reports of this crash */
  int64_t age_us;   /* since the crash; 0 when unknown */
};

struct suspect_table;

/* Creates a table for at most MAX fingerprints, at least 1.  */
struct suspect_table *suspect_new (size_t max);
void suspect_free (struct suspect_table *suspect_table);

/* Returns the hash that identifies a request.  */
uint64_t suspect_fingerprint (const char *customer, const char *path,
                              const void *body, size_t size);

/* Adds the N CRASHES at which FINGERPRINT was in flight, reported to this
   entry or read from the key-value service.  Each crash id counts once.
   Returns the resulting verdict.  */
enum suspect_verdict suspect_add (struct suspect_table *suspect_table,
                                  uint64_t fingerprint,
                                  const struct suspect_crash *crashes,
                                  size_t n, int64_t now);

/* Returns the verdict on FINGERPRINT at NOW.  */
enum suspect_verdict suspect_check (const struct suspect_table *suspect_table,
                                    uint64_t fingerprint, int64_t now);

/* Copies the crashes that count against FINGERPRINT to CRASHES, which has room
   for SUSPECT_CRASHES_MAX.  Returns their number.  */
size_t suspect_crashes (const struct suspect_table *suspect_table,
                        uint64_t fingerprint, struct suspect_crash *crashes,
                        int64_t now);

/* Records that FINGERPRINT runs on RUNNER.  Returns 0, or -1 with ERR_REFUSED
   when it is stopped, already runs as a suspect, or RUNNER has another
   suspect.  A clean request is always allowed and is not recorded.  */
int suspect_place (struct suspect_table *suspect_table, uint64_t fingerprint,
                   struct fleet_ref runner, int64_t now, struct err *err);

/* Records that the run of FINGERPRINT ended.  ANSWERED is nonzero when the
   answer was complete, which clears a request that is not stopped.  */
void suspect_release (struct suspect_table *suspect_table,
                      uint64_t fingerprint, int answered, int64_t now);

/* Returns the number of fingerprints in the table.  */
size_t suspect_count (const struct suspect_table *suspect_table);

#endif
