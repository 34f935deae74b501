#include <gtest/gtest.h>

extern "C"
{
#include "goldcresthatch/susp.h"
}

namespace
{

class Susp : public testing::Test
{
protected:
  struct susp *susp = susp_new (3);
  const struct fleet_ref r1 = { 1, 1 };
  const struct fleet_ref r2 = { 2, 1 };

  void
  TearDown () override
  {
    susp_free (susp);
  }

  enum susp_verdict
  crash (uint64_t fingerprint, uint64_t id, int64_t now = 0, int64_t age = 0)
  {
    struct susp_crash c = { { 9, id }, age };
    return susp_add (susp, fingerprint, &c, 1, now);
  }

  int
  place (uint64_t fingerprint, struct fleet_ref runner)
  {
    return susp_place (susp, fingerprint, runner, 0, nullptr);
  }
};

// Guards against a crash that counts twice because two sources report it, and
// against a third crash by one request.
TEST_F (Susp, StopsAtTheSecondDistinctCrash)
{
  EXPECT_EQ (susp_check (susp, 1, 0), SUSP_CLEAN);
  EXPECT_EQ (crash (1, 100), SUSP_SUSPECT);
  EXPECT_EQ (crash (1, 100), SUSP_SUSPECT);
  struct susp_crash record[] = { { { 9, 100 }, 5 }, { { 9, 101 }, 5 } };
  EXPECT_EQ (susp_add (susp, 1, record, 2, 10), SUSP_STOPPED);
  struct err err = {};
  EXPECT_EQ (susp_place (susp, 1, r1, 10, &err), -1);
  EXPECT_EQ (err.code, ERR_REFUSED);
  struct susp_crash out[SUSP_CRASHES_MAX];
  ASSERT_EQ (susp_crashes (susp, 1, out, 20), 2u);
  EXPECT_EQ (out[1].age_us, 15);
}

// Guards against blaming an innocent request: it must not run beside the
// culprit again, and its own whole answer clears it for good.
TEST_F (Susp, InnocentIsNotBlamed)
{
  const uint64_t culprit = 1, innocent = 2, other = 3;
  crash (culprit, 100);
  crash (innocent, 100);
  EXPECT_EQ (place (culprit, r1), 0);
  EXPECT_EQ (place (innocent, r1), -1);
  EXPECT_EQ (place (innocent, r2), 0);
  EXPECT_EQ (place (innocent, { 3, 1 }), -1) << "a second run at once";
  EXPECT_EQ (place (other, r1), 0) << "clean requests go anywhere";
  EXPECT_EQ (crash (culprit, 101), SUSP_STOPPED);
  susp_release (susp, culprit, 0, 0);
  susp_release (susp, innocent, 1, 0);
  EXPECT_EQ (crash (innocent, 100), SUSP_CLEAN);
  EXPECT_EQ (crash (innocent, 102), SUSP_SUSPECT);
  EXPECT_EQ (place (innocent, r1), 0) << "the place is free again";
  susp_release (susp, culprit, 1, 0);
  EXPECT_EQ (susp_check (susp, culprit, 0), SUSP_STOPPED);
}

// Guards against evidence that never expires, also when it is read late, and
// against a table without a bound.
TEST_F (Susp, RetentionAndBound)
{
  crash (1, 100, 0);
  EXPECT_EQ (susp_check (susp, 1, SUSP_RETENTION_US - 1), SUSP_SUSPECT);
  EXPECT_EQ (susp_check (susp, 1, SUSP_RETENTION_US), SUSP_CLEAN);
  EXPECT_EQ (crash (1, 101, SUSP_RETENTION_US), SUSP_SUSPECT);
  EXPECT_EQ (crash (2, 102, 0, SUSP_RETENTION_US), SUSP_CLEAN);
  for (uint64_t f = 10; f < 20; f++)
    {
      crash (f, f, SUSP_RETENTION_US + (int64_t)f);
      susp_place (susp, f, r1, SUSP_RETENTION_US + (int64_t)f, nullptr);
    }
  EXPECT_EQ (susp_count (susp), 3u);
  EXPECT_EQ (susp_check (susp, 19, SUSP_RETENTION_US + 20), SUSP_SUSPECT);
  EXPECT_EQ (susp_check (susp, 1, SUSP_RETENTION_US + 20), SUSP_CLEAN);
}

// Guards against fingerprints that take different requests for the same.
TEST_F (Susp, FingerprintSeparatesItsParts)
{
  EXPECT_EQ (susp_fingerprint ("a", "/b", "c", 1),
             susp_fingerprint ("a", "/b", "cd", 1));
  EXPECT_NE (susp_fingerprint ("a", "/b", "c", 1),
             susp_fingerprint ("a/", "b", "c", 1));
  EXPECT_NE (susp_fingerprint ("a", "/b", "c", 1),
             susp_fingerprint ("b", "/b", "c", 1));
}

} // namespace
