#ifndef GOLDCRESTHATCH_RETRY_H
#define GOLDCRESTHATCH_RETRY_H

/*
 * NAME
 *   retry - retry budget and rules for attempts after the first
 *
 * DESCRIPTION
 *   Only the entry that serves the caller retries; agents never do, so the
 *   attempts of two hops do not multiply.  A resumed stream is an attempt.
 *   Each first attempt adds a fraction of a token to the entry's token bucket
 *   and each retry takes one token.  Over any period, retries are therefore at
 *   most RATIO_PERMIL of the first attempts plus the size of the bucket.  The
 *   bucket is not refilled over time, so that a failing fleet gets no
 *   additional retries.
 *
 *   Times are in microseconds.
 */

#include <stdint.h>

struct retry_config
{
  unsigned ratio_permil;  /* retries per 1,000 first attempts */
  unsigned reserve;       /* tokens in the bucket at the start */
  unsigned burst;         /* size of the bucket in tokens; at least RESERVE */
  unsigned attempts_max;  /* of one request, the first included */
  int64_t backoff_us;     /* longest delay before the second attempt; doubles
                             with each further one */
  int64_t backoff_max_us; /* longest delay before any attempt */
};

/* The ratio is 10% by the design.  Three attempts tolerate the failure of a
   runner and of the runner tried after it.  */
extern const struct retry_config retry_defaults;

struct retry_budget
{
  uint64_t permil; /* thousandths of a token in the bucket */
};

enum retry_failure
{
  RETRY_NOT_RUN, /* certain: never sent, refused, or barred by VOID */
  RETRY_UNKNOWN, /* it may have run */
  RETRY_CRASHED, /* the endpoint ended while it ran */
  RETRY_INVALID, /* no attempt can succeed */
  RETRY_FAILURE_MAX
};

enum retry_verdict
{
  RETRY_YES,
  RETRY_NO_INVALID,
  RETRY_NO_UNSAFE, /* not idempotent, and it may have run */
  RETRY_NO_ATTEMPTS,
  RETRY_NO_TIME, /* the next attempt could not answer by the deadline */
  RETRY_NO_BUDGET,
  RETRY_VERDICT_MAX
};

struct retry_attempt
{
  enum retry_failure failure;
  int idempotent;
  unsigned attempts;   /* made so far */
  int64_t deadline_us; /* 0 is none */
  int64_t needed_us;   /* predicted duration of the next attempt */
};

struct retry_decision
{
  enum retry_verdict verdict;
  int64_t delay_us; /* before the next attempt */
};

void retry_init (struct retry_budget *budget,
                 const struct retry_config *config);

/* Records the first attempt of a request.  */
void retry_note_first (struct retry_budget *budget,
                       const struct retry_config *config);

/* Decides whether another attempt follows ATTEMPT.  Takes a token only with
   RETRY_YES.  RANDOM selects the jitter of the delay.  */
struct retry_decision retry_decide (struct retry_budget *budget,
                                    const struct retry_config *config,
                                    const struct retry_attempt *attempt,
                                    int64_t now, uint64_t random);

/* Returns the fixed name of VERDICT, such as "no budget left".  */
const char *retry_verdict_name (enum retry_verdict verdict);

#endif
