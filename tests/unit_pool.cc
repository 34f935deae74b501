#include <gtest/gtest.h>

#include "gw_headers.hh"

using gw_test::entry;

namespace
{

const int64_t second = 1000000;

class Pool : public testing::Test
{
protected:
  struct runner_pool *runner_pool = pool_new ();
  ~Pool () override { pool_free (runner_pool); }

  struct pool_runner *
  put (const struct pool_entry &e, uint64_t revision)
  {
    pool_put (runner_pool, &e, revision);
    return pool_find (runner_pool, e.id);
  }
};

// Guards against new work for a draining runner, also when an older entry
// arrives late.
TEST_F (Pool, DrainingHoldsForTheLifetime)
{
  struct pool_runner *runner = put (entry ("r"), 5);
  EXPECT_TRUE (pool_usable (runner, 0));
  put (entry ("r", 1, POOL_STAGE_ANY, 1), 6);
  EXPECT_FALSE (pool_usable (runner, 0));
  put (entry ("r"), 4);
  EXPECT_FALSE (pool_usable (runner, 0));
  put (entry ("r"), 7);
  EXPECT_FALSE (pool_usable (runner, 0));
}

// Guards against carrying load and health over to the next lifetime.
TEST_F (Pool, NewLifetimeIsAnotherRunner)
{
  struct pool_runner *first = put (entry ("r", 1), 5);
  pool_note_load (first, 8, 8, 0);
  struct pool_runner *second_life = put (entry ("r", 2), 6);
  EXPECT_NE (first, second_life);
  EXPECT_FALSE (pool_usable (first, 0));
  EXPECT_TRUE (pool_usable (second_life, 0));
  EXPECT_EQ (pool_load (second_life, 0), 0);
  // A late entry of the first lifetime is ignored.
  EXPECT_EQ (pool_put (runner_pool, &first->entry, 9), nullptr);
  EXPECT_EQ (pool_find (runner_pool, "r"), second_life);
}

// Guards against using a runner after its entry is removed.
TEST_F (Pool, RemovedIsNotUsed)
{
  struct pool_runner *runner = put (entry ("r"), 5);
  EXPECT_EQ (pool_remove (runner_pool, "r", 4, 0), nullptr);
  EXPECT_EQ (pool_remove (runner_pool, "r", 6, 10 * second), runner);
  EXPECT_FALSE (pool_usable (runner, 10 * second));
  pool_tick (runner_pool, 11 * second);
  EXPECT_EQ (pool_count (runner_pool), 0U);
}

// Guards against freeing a runner that a request still refers to.
TEST_F (Pool, ReferencedRunnerIsKept)
{
  struct pool_runner *runner = put (entry ("r"), 5);
  runner->references = 1;
  pool_remove (runner_pool, "r", 6, 10 * second);
  pool_tick (runner_pool, 11 * second);
  EXPECT_EQ (pool_count (runner_pool), 1U);
  runner->references = 0;
  pool_tick (runner_pool, 12 * second);
  EXPECT_EQ (pool_count (runner_pool), 0U);
}

// Guards against removing all runners when their entries expire during an
// outage of the registry, and against keeping one that doesn't re-register.
TEST_F (Pool, ExpiredEntriesAreKeptForTheirReturn)
{
  struct pool_runner *returning = put (entry ("s"), 5);
  struct pool_runner *gone = put (entry ("g"), 6);
  pool_set_registry_reachable (runner_pool, 0, 10 * second);
  pool_set_registry_reachable (runner_pool, 1, 20 * second);
  pool_list_begin (runner_pool);
  pool_list_end (runner_pool, 9, 20 * second);
  EXPECT_TRUE (pool_usable (returning, 20 * second));
  EXPECT_TRUE (pool_usable (gone, 20 * second));
  put (entry ("s"), 10);
  pool_tick (runner_pool, 20 * second + POOL_REREGISTER_US + 1);
  EXPECT_EQ (pool_find (runner_pool, "g"), nullptr);
  ASSERT_EQ (pool_find (runner_pool, "s"), returning);
  EXPECT_TRUE (pool_usable (returning, 23 * second));
}

// Guards against keeping a draining runner because of an outage.
TEST_F (Pool, DrainingRunnerIsNotKeptInAnOutage)
{
  struct pool_runner *runner = put (entry ("r", 1, POOL_STAGE_ANY, 1), 5);
  pool_set_registry_reachable (runner_pool, 0, 0);
  pool_remove (runner_pool, "r", 6, 1);
  EXPECT_FALSE (runner->present);
}

// Guards against requests to a runner that can't be reached, and against never
// trying it again.
TEST_F (Pool, BackoffAfterFailures)
{
  struct pool_runner *runner = put (entry ("r"), 5);
  pool_note_failure (runner, POOL_UNREACHABLE, 0);
  EXPECT_FALSE (pool_usable (runner, 1000));
  EXPECT_TRUE (pool_usable (runner, 3 * second));
  pool_note_answer (runner, 1000, 0);
  EXPECT_TRUE (pool_usable (runner, 1000));
  // Answers with status 5xx don't start a back-off.
  for (int i = 0; i < 20; i++)
    pool_note_failure (runner, POOL_ERROR_ANSWER, 0);
  EXPECT_TRUE (pool_usable (runner, 1));
  for (int i = 0; i < 3; i++)
    pool_note_failure (runner, POOL_CONNECTION_BROKEN, 0);
  EXPECT_FALSE (pool_usable (runner, 1));
}

// Guards against a flood of sends to an engine that is changing its stage: it
// refuses all requests, so it looks idle.
TEST_F (Pool, BackoffAfterRefusalsInARow)
{
  struct pool_runner *runner = put (entry ("r"), 5);
  int64_t now = 0;
  int sent = 0;
  for (; now < 3 * second; now += 1000)
    if (pool_usable (runner, now))
      {
        sent++;
        pool_note_refusal (runner, now);
      }
  EXPECT_LE (sent, 12);
  pool_note_answer (runner, 1000, 0);
  pool_note_refusal (runner, now);
  EXPECT_TRUE (pool_usable (runner, now));
}

// Guards against using an old load report as the current load.
TEST_F (Pool, ReportedLoadDecays)
{
  struct pool_runner *runner = put (entry ("r"), 5);
  runner->calls = 2;
  pool_note_load (runner, 6, 4, 0);
  EXPECT_DOUBLE_EQ (pool_load (runner, 0), 10);
  EXPECT_LT (pool_load (runner, second), 3);
  EXPECT_GE (pool_load (runner, second), 2);
}

}
