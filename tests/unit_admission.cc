#include <gtest/gtest.h>

extern "C"
{
#include "goldcresthatch/admission.h"
}

namespace
{

class Admission : public testing::Test
{
protected:
  struct admission_config config = { 100, 100, 10 };
  struct admission_control *admission_control = admission_new (&config);
  struct admission_supply busy = { 0, 1000, 1 };
  struct admission_supply idle = { 1, 1000, 1 };
  uint64_t id = 0;

  void
  TearDown () override
  {
    admission_free (admission_control);
  }

  struct admission_decision
  offer (uint64_t customer, unsigned priority, uint32_t cost,
         int64_t due_us = 0)
  {
    struct admission_request r = { ++id, customer, priority, cost, due_us };
    return admission_offer (admission_control, &r, &busy, 0);
  }

  struct admission_request
  next (enum admission_verdict expected = ADMISSION_ADMIT, int64_t now = 0)
  {
    struct admission_request r = {};
    struct admission_decision d = {};
    EXPECT_EQ (admission_next (admission_control, &idle, now, &r, &d), 1);
    EXPECT_EQ (d.verdict, expected);
    return r;
  }
};

// Guards against admitting a request whose first token is predicted to be
// late, and against a refusal without a retry-after time.
TEST_F (Admission, RefusesRequestsPredictedLate)
{
  struct admission_request r = { 1, 1, 0, 10, 1000 };
  EXPECT_EQ (admission_offer (admission_control, &r, &idle, 0).verdict,
             ADMISSION_ADMIT);
  struct admission_decision d
      = admission_offer (admission_control, &r, &idle, 2000001);
  EXPECT_EQ (d.verdict, ADMISSION_REFUSE_LATE);
  EXPECT_EQ (d.retry_after_s, 3u);
  EXPECT_EQ (offer (1, 0, 100, 1000).verdict, ADMISSION_QUEUE);
  EXPECT_EQ (offer (1, 0, 100, 1099).verdict, ADMISSION_REFUSE_LATE);
  EXPECT_EQ (offer (1, 0, 100, 1100).verdict, ADMISSION_QUEUE);
  EXPECT_EQ (offer (2, 0, 1, 1030).verdict, ADMISSION_QUEUE)
      << "a small request does not wait for all requests of another customer";
  next (ADMISSION_REFUSE_LATE, 5000);
}

// Guards against a customer with many requests that delays the others.
TEST_F (Admission, CustomersShareByCost)
{
  for (int i = 0; i < 80; i++)
    offer (1, 0, 10);
  for (int i = 0; i < 10; i++)
    offer (2, 0, 20);
  int cost[3] = {};
  for (int i = 0; i < 30; i++)
    {
      struct admission_request r = next ();
      cost[r.customer] += r.cost;
    }
  EXPECT_NEAR (cost[1], cost[2], 20);
}

// Guards against a full queue that refuses a new customer, and against a queue
// that grows beyond its bound.
TEST_F (Admission, FullQueueEvictsLargestShare)
{
  for (int i = 0; i < 100; i++)
    EXPECT_EQ (offer (1, 0, 10).verdict, ADMISSION_QUEUE);
  struct admission_decision d = offer (1, 0, 10);
  EXPECT_EQ (d.verdict, ADMISSION_REFUSE_SHARE);
  EXPECT_GT (d.retry_after_s, 0u);
  d = offer (2, 0, 10);
  EXPECT_EQ (d.verdict, ADMISSION_QUEUE);
  EXPECT_TRUE (d.has_evicted);
  EXPECT_EQ (d.evicted, 100u) << "the newest of customer 1";
  EXPECT_EQ (admission_queued (admission_control), 100u);
  EXPECT_EQ (offer (3, 0, 100000).verdict, ADMISSION_REFUSE_FULL);
}

// Guards against a high class that starves the lowest one, and against the
// reverse.
TEST_F (Admission, LowestClassKeepsItsShare)
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

// Guards against predictions that stay too low, and against lowering them when
// the fleet is faster than predicted.  A correction that refuses every request
// must decay by itself, as no request is left to observe.
TEST_F (Admission, CorrectsPredictionsUpwards)
{
  for (int i = 0; i < 500; i++)
    admission_observe (admission_control, 100, 50, 0);
  EXPECT_EQ (offer (1, 0, 1).first_us, 1000);
  for (int i = 0; i < 500; i++)
    admission_observe (admission_control, 100, 1100, 0);
  EXPECT_GT (offer (2, 0, 1).first_us, 1900);
  EXPECT_EQ (offer (3, 0, 1, 1800).verdict, ADMISSION_REFUSE_LATE);
  admission_observe (admission_control, 0, 1000000000, 0);
  int64_t later = 1000 * ADMISSION_ERROR_HALF_LIFE_US;
  struct admission_request r = { 99, 4, 0, 1, later + 1800 };
  EXPECT_EQ (admission_offer (admission_control, &r, &busy, later).verdict,
             ADMISSION_QUEUE);
}

// Guards against serving a cancelled request.
TEST_F (Admission, CancelRemovesFromTheQueue)
{
  offer (1, 0, 10);
  offer (1, 9, 10);
  EXPECT_EQ (admission_cancel (admission_control, 1), 0);
  EXPECT_EQ (admission_cancel (admission_control, 1), -1);
  EXPECT_EQ (next ().id, 2u);
  EXPECT_EQ (admission_queued (admission_control), 0u);
}

} // namespace
