#ifndef CLAIM_LOG_H
#define CLAIM_LOG_H
/*
 * NAME
 *   claim_log - records of claims that were written recently
 *
 * DESCRIPTION
 *   A key-value service that is restored from an older copy loses what was
 *   written in the last seconds.  The process that wrote a record keeps it for
 *   CLAIM_LOG_US, so that it can be written again.  When there are
 *   CLAIM_LOG_MAX, the oldest yields.  No input or output, no lock; times are
 *   in microseconds.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/call.h"

#define CLAIM_LOG_US (INT64_C (60) * 1000000)

enum
{
  CLAIM_LOG_MAX = 8192 /* some megabytes with records of usual size */
};

struct claim_log_record
{
  char *key;
  char *text;
};

struct claim_log;

struct claim_log *claim_log_new (void);
void claim_log_free (struct claim_log *log);

/* Notes that TEXT was written under KEY, in place of what was noted before. */
void claim_log_note (struct claim_log *log, const char *key, const char *text,
                     int64_t now);
/* Returns copies of the records at NOW, the latest first, since those are the
   most likely to be lost; the array frees them.  */
GPtrArray *claim_log_list (struct claim_log *log, int64_t now);

/* Returns nonzero when the record LOST may be written in the place of FOUND,
   which stands under its key in the restored service: FOUND has less
   information of the same attempt, or is of an attempt that was not sent since
   its claim is younger than the restoration.  */
int claim_log_may_replace (const struct call_record *lost,
                           const struct call_record *found);
#endif
