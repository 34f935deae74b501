#include <gtest/gtest.h>

extern "C"
{
#include "goldcresthatch/retry.h"
}

namespace
{

struct retry_decision
decide (struct retry_budget *budget, const struct retry_attempt &attempt,
        int64_t now = 0, uint64_t random = 0)
{
  return retry_decide (budget, &retry_defaults, &attempt, now, random);
}

// Guards against running a non-idempotent call twice, and against retrying a
// request that can't succeed.
TEST (Retry, RetriesOnlySafeAttempts)
{
  struct retry_budget budget;
  retry_init (&budget, &retry_defaults);
  const enum retry_verdict expected[2][RETRY_FAILURE_MAX] = {
    { RETRY_YES, RETRY_NO_UNSAFE, RETRY_NO_UNSAFE, RETRY_NO_INVALID },
    { RETRY_YES, RETRY_YES, RETRY_YES, RETRY_NO_INVALID },
  };
  for (int idempotent = 0; idempotent < 2; idempotent++)
    for (int f = 0; f < RETRY_FAILURE_MAX; f++)
      EXPECT_EQ (decide (&budget, { static_cast<enum retry_failure> (f),
                                    idempotent, 1, 0, 0 })
                     .verdict,
                 expected[idempotent][f]);
}

// Guards against attempts past the deadline or beyond their number, and
// against a refusal that takes a token.
TEST (Retry, RespectsDeadlineAndAttempts)
{
  struct retry_budget budget;
  retry_init (&budget, &retry_defaults);
  const uint64_t full = budget.permil;
  EXPECT_EQ (decide (&budget, { RETRY_NOT_RUN, 1, 1, 1000000, 960000 }, 20000)
                 .verdict,
             RETRY_NO_TIME);
  EXPECT_EQ (decide (&budget, { RETRY_NOT_RUN, 1, 3, 0, 0 }).verdict,
             RETRY_NO_ATTEMPTS);
  EXPECT_EQ (budget.permil, full);
  EXPECT_EQ (
      decide (&budget, { RETRY_NOT_RUN, 1, 1, 1000000, 900000 }).verdict,
      RETRY_YES);
}

// Guards against an unbounded number of retries when every attempt fails.
TEST (Retry, BudgetIsATenthAndTheReserve)
{
  struct retry_budget budget;
  unsigned retries = 0;
  retry_init (&budget, &retry_defaults);
  for (int i = 0; i < 1000; i++)
    {
      retry_note_first (&budget, &retry_defaults);
      retries += decide (&budget, { RETRY_NOT_RUN, 1, 1, 0, 0 }).verdict
                 == RETRY_YES;
    }
  EXPECT_EQ (retries, 100 + retry_defaults.reserve);
  EXPECT_STREQ (retry_verdict_name (RETRY_NO_BUDGET), "no budget left");
}

// Guards against retries of many requests at the same time, and against an
// unbounded delay.
TEST (Retry, BackoffIsSpreadAndBounded)
{
  struct retry_config config = retry_defaults;
  config.attempts_max = 100;
  config.burst = config.reserve = 1000;
  struct retry_budget budget;
  retry_init (&budget, &config);
  for (unsigned n = 1; n < 99; n++)
    {
      struct retry_attempt attempt = { RETRY_NOT_RUN, 1, n, 0, 0 };
      int64_t a = retry_decide (&budget, &config, &attempt, 0, 0).delay_us;
      int64_t b = retry_decide (&budget, &config, &attempt, 0, 7).delay_us;
      EXPECT_GE (a, config.backoff_us / 2);
      EXPECT_LT (a, b);
      EXPECT_LE (b, config.backoff_max_us);
    }
}

} // namespace
