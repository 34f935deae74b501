#ifndef QUARANTINE_H
#define QUARANTINE_H
/*
 * NAME
 *   quarantine - requests that crash runners, found by what they have in
 * common
 *
 * DESCRIPTION
 *   A key stands for something that requests have in common: one part of their
 *   prompts, or all of it when a request is sent again.  Evidence against a
 * key is the end of a runner that had a request with the key and had not
 * answered it; evidence for it is an answer to such a request.  An answer
 * outweighs all ends before it, as a key that crashes runners is never
 * answered.
 *
 *   A key is quarantined for QUARANTINE_HOLD_US after the last of
 *   QUARANTINE_CRASHES ends without an answer between them.  They must not all
 *   lie within QUARANTINE_SPAN_US: runners that end together, for instance
 *   with their availability zone, are one event.  After that one more end
 *   within QUARANTINE_MEMORY_US is enough, so a key that goes on costs one
 *   runner in each hold.
 *
 *   Until it is known whether a runner has ended, it may have.  A key under
 *   which two runners have ended or may have, and that wasn't answered within
 *   QUARANTINE_IN_USE_US, is suspect: its requests are tried one at a time.  A
 *   trial lasts until its outcome is known, for at most QUARANTINE_TRIAL_US
 *   after it began or its runner broke off.
 *
 *   An end is known by a number, which is the same at all observers, and may
 *   be reported often and in any order.  The tables are bounded: the accused
 *   key with the oldest evidence and the key with the oldest answer yield.  No
 *   input or output; times are in microseconds.
 */
#include <stddef.h>
#include <stdint.h>

#define QUARANTINE_HOLD_US (INT64_C (300) * 1000000)
#define QUARANTINE_MEMORY_US (2 * QUARANTINE_HOLD_US)
#define QUARANTINE_SPAN_US INT64_C (250000)
#define QUARANTINE_IN_USE_US INT64_C (60000000)
#define QUARANTINE_TRIAL_US INT64_C (1000000)
/* How long it may be open whether a runner has ended; longer than the registry
   entry of an ended one lasts.  */
#define QUARANTINE_OPEN_US INT64_C (10000000)

enum
{
  QUARANTINE_CRASHES = 3,     /* ends that put a key into quarantine */
  QUARANTINE_SUSPECTS = 2,    /* ends that make a key suspect */
  QUARANTINE_CRASHES_MAX = 6, /* ends that are kept of a key */
  QUARANTINE_ACCUSED_MAX = 4096
};

/* A piece of evidence on KEY.  */
struct quarantine_evidence
{
  uint64_t key;
  uint64_t crash; /* number of the runner that ended; 0: it was answered */
  int64_t age_us;
};

enum quarantine_effect
{
  QUARANTINE_KNOWN,     /* nothing has changed */
  QUARANTINE_NOTED,     /* the evidence was new */
  QUARANTINE_REFUTED,   /* there is a later answer: not noted */
  QUARANTINE_CONVICTED, /* the key is in quarantine from now on */
  QUARANTINE_CLEARED    /* the answer outweighs evidence against the key */
};

struct quarantine;

/* ANSWERED_MAX is the number of answered keys that are remembered.  */
struct quarantine *quarantine_new (size_t answered_max);
void quarantine_free (struct quarantine *q);

/* Adds evidence, seen here or reported by another process.  */
enum quarantine_effect
quarantine_add (struct quarantine *q,
                const struct quarantine_evidence *evidence, int64_t now);
/* Notes that the runner of EVIDENCE may have ended.  Returns QUARANTINE_NOTED,
   QUARANTINE_REFUTED or QUARANTINE_KNOWN.  */
enum quarantine_effect
quarantine_suspect (struct quarantine *q,
                    const struct quarantine_evidence *evidence, int64_t now);
/* Returns nonzero when requests with KEY are to be tried one at a time.  */
int quarantine_is_suspect (const struct quarantine *q, uint64_t key,
                           int64_t now);
/* Notes that a request with KEY, which is suspect, was sent at AT.  */
void quarantine_begin_trial (struct quarantine *q, uint64_t key, int64_t at);
/* Returns how long the trial of KEY lasts at most, or 0 without one.  */
int64_t quarantine_trial_left_us (const struct quarantine *q, uint64_t key,
                                  int64_t now);
/* Puts KEY into quarantine for a whole hold without evidence.  */
void quarantine_hold (struct quarantine *q, uint64_t key, int64_t now);
/* Returns how long KEY remains in quarantine, or 0.  */
int64_t quarantine_left_us (const struct quarantine *q, uint64_t key,
                            int64_t now);
/* Returns the time of the last answer known to a request with KEY, or
   INT64_MIN.  */
int64_t quarantine_answered_us (const struct quarantine *q, uint64_t key);

/* Returns the number of ends that are known against KEY.  */
size_t quarantine_crashes (const struct quarantine *q, uint64_t key);
/* Returns nonzero when runners have ended under KEY or may have.  */
int quarantine_is_accused (const struct quarantine *q, uint64_t key);

/* Copies the known ends under all keys to EVIDENCE, those in quarantine first.
   Returns the number of copies, at most MAX.  */
size_t quarantine_list (const struct quarantine *q,
                        struct quarantine_evidence *evidence, size_t max,
                        int64_t now);
/* Copies the keys in quarantine to KEYS.  Returns their number, at most MAX.
 */
size_t quarantine_keys (const struct quarantine *q, uint64_t *keys, size_t max,
                        int64_t now);
/* Returns the number of keys in quarantine.  */
size_t quarantine_count (const struct quarantine *q, int64_t now);
#endif
