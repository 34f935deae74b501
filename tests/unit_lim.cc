#include <gtest/gtest.h>

extern "C"
{
#include "goldcresthatch/lim.h"
}

namespace
{

class Lim : public testing::Test
{
protected:
  struct lim_config config = { 100, 100, 10 };
  struct lim *lim = lim_new (&config);
  struct lim_supply busy = { 0, 1000, 1 };
  struct lim_supply idle = { 1, 1000, 1 };
  uint64_t id = 0;

  void
  TearDown () override
  {
    lim_free (lim);
  }

  struct lim_decision
  offer (uint64_t customer, unsigned priority, uint32_t cost,
         int64_t due_us = 0)
  {
    struct lim_request r = { ++id, customer, priority, cost, due_us };
    return lim_offer (lim, &r, &busy, 0);
  }

  struct lim_request
  next (enum lim_verdict expected = LIM_ADMIT, int64_t now = 0)
  {
    struct lim_request r = {};
    struct lim_decision d = {};
    EXPECT_EQ (lim_next (lim, &idle, now, &r, &d), 1);
    EXPECT_EQ (d.verdict, expected);
    return r;
  }
};

// Guards against work that is started although its first token will be late,
// and against a refusal that does not say when to come back.
TEST_F (Lim, RefusesEarly)
{
  struct lim_request r = { 1, 1, 0, 10, 1000 };
  EXPECT_EQ (lim_offer (lim, &r, &idle, 0).verdict, LIM_ADMIT);
  struct lim_decision d = lim_offer (lim, &r, &idle, 2000001);
  EXPECT_EQ (d.verdict, LIM_REFUSE_LATE);
  EXPECT_EQ (d.retry_after_s, 3u);
  EXPECT_EQ (offer (1, 0, 100, 1000).verdict, LIM_QUEUE);
  EXPECT_EQ (offer (1, 0, 100, 1099).verdict, LIM_REFUSE_LATE);
  EXPECT_EQ (offer (1, 0, 100, 1100).verdict, LIM_QUEUE);
  EXPECT_EQ (offer (2, 0, 1, 1030).verdict, LIM_QUEUE)
      << "a small customer does not wait for all of a large one";
  next (LIM_REFUSE_LATE, 5000);
}

// Guards against one customer that takes the queue from the others.
TEST_F (Lim, SharesAmongCustomers)
{
  for (int i = 0; i < 80; i++)
    offer (1, 0, 10);
  for (int i = 0; i < 10; i++)
    offer (2, 0, 20);
  int cost[3] = {};
  for (int i = 0; i < 30; i++)
    {
      struct lim_request r = next ();
      cost[r.customer] += r.cost;
    }
  EXPECT_NEAR (cost[1], cost[2], 20);
}

// Guards against a full queue that shuts out a new customer, and against one
// that grows.
TEST_F (Lim, FullQueueEvictsLargestShare)
{
  for (int i = 0; i < 100; i++)
    EXPECT_EQ (offer (1, 0, 10).verdict, LIM_QUEUE);
  struct lim_decision d = offer (1, 0, 10);
  EXPECT_EQ (d.verdict, LIM_REFUSE_SHARE);
  EXPECT_GT (d.retry_after_s, 0u);
  d = offer (2, 0, 10);
  EXPECT_EQ (d.verdict, LIM_QUEUE);
  EXPECT_TRUE (d.has_evicted);
  EXPECT_EQ (d.evicted, 100u) << "the newest of customer 1";
  EXPECT_EQ (lim_queued (lim), 100u);
  EXPECT_EQ (offer (3, 0, 100000).verdict, LIM_REFUSE_FULL);
}

// Guards against a high class that starves the lowest, and the reverse.
TEST_F (Lim, LowestClassKeepsItsShare)
{
  int low = 0;
  for (int i = 0; i < 50; i++)
    offer (1, 2, 10);
  for (int i = 0; i < 50; i++)
    offer (2, 0, 10);
  for (int i = 0; i < 40; i++)
    low += next ().priority == 2;
  EXPECT_NEAR (low, 4, 1);
}

// Guards against predictions that stay too low, and against a fleet faster
// than predicted that makes them too low.  A correction that refuses
// everything must end by itself, as no request is left to observe.
TEST_F (Lim, CorrectsPredictions)
{
  for (int i = 0; i < 500; i++)
    lim_observe (lim, 100, 50, 0);
  EXPECT_EQ (offer (1, 0, 1).first_us, 1000);
  for (int i = 0; i < 500; i++)
    lim_observe (lim, 100, 1100, 0);
  EXPECT_GT (offer (2, 0, 1).first_us, 1900);
  EXPECT_EQ (offer (3, 0, 1, 1800).verdict, LIM_REFUSE_LATE);
  lim_observe (lim, 0, 1000000000, 0);
  int64_t later = 1000 * LIM_HALF_LIFE_US;
  struct lim_request r = { 99, 4, 0, 1, later + 1800 };
  EXPECT_EQ (lim_offer (lim, &r, &busy, later).verdict, LIM_QUEUE);
}

// Guards against a cancelled request that is still served.
TEST_F (Lim, CancelRemoves)
{
  offer (1, 0, 10);
  offer (1, 9, 10);
  EXPECT_EQ (lim_cancel (lim, 1), 0);
  EXPECT_EQ (lim_cancel (lim, 1), -1);
  EXPECT_EQ (next ().id, 2u);
  EXPECT_EQ (lim_queued (lim), 0u);
}

} // namespace
