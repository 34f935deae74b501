#include <gtest/gtest.h>

extern "C"
{
#include "goldcresthatch/suspect.h"
}

namespace
{

class Suspect : public testing::Test
{
protected:
  struct suspect_table *suspect_table = suspect_new (3);
  const struct fleet_ref r1 = { 1, 1 };
  const struct fleet_ref r2 = { 2, 1 };

  void
  TearDown () override
  {
    suspect_free (suspect_table);
  }

  enum suspect_verdict
  crash (uint64_t fingerprint, uint64_t id, int64_t now = 0, int64_t age = 0)
  {
    struct suspect_crash c = { { 9, id }, age };
    return suspect_add (suspect_table, fingerprint, &c, 1, now);
  }

  int
  place (uint64_t fingerprint, struct fleet_ref runner)
  {
    return suspect_place (suspect_table, fingerprint, runner, 0, nullptr);
  }
};

// Guards against counting a crash twice when two sources report it, and
// against running a request again after its second crash.
TEST_F (Suspect, StopsAtTheSecondDistinctCrash)
{
  EXPECT_EQ (suspect_check (suspect_table, 1, 0), SUSPECT_CLEAN);
  EXPECT_EQ (crash (1, 100), SUSPECT_RESTRICTED);
  EXPECT_EQ (crash (1, 100), SUSPECT_RESTRICTED);
  struct suspect_crash record[] = { { { 9, 100 }, 5 }, { { 9, 101 }, 5 } };
  EXPECT_EQ (suspect_add (suspect_table, 1, record, 2, 10), SUSPECT_STOPPED);
  struct err err = {};
  EXPECT_EQ (suspect_place (suspect_table, 1, r1, 10, &err), -1);
  EXPECT_EQ (err.code, ERR_REFUSED);
  struct suspect_crash out[SUSPECT_CRASHES_MAX];
  ASSERT_EQ (suspect_crashes (suspect_table, 1, out, 20), 2u);
  EXPECT_EQ (out[1].age_us, 15);
}

// Guards against stopping a request that was only in flight beside the one
// that crashes endpoints: the two must not run on one runner again, and a
// complete answer clears it, also when the old crash is reported once more.
TEST_F (Suspect, CompleteAnswerClearsASuspect)
{
  const uint64_t culprit = 1, innocent = 2, other = 3;
  crash (culprit, 100);
  crash (innocent, 100);
  EXPECT_EQ (place (culprit, r1), 0);
  EXPECT_EQ (place (innocent, r1), -1);
  EXPECT_EQ (place (innocent, r2), 0);
  EXPECT_EQ (place (innocent, { 3, 1 }), -1)
      << "a second run at the same time";
  EXPECT_EQ (place (other, r1), 0) << "a clean request may run on any runner";
  EXPECT_EQ (crash (culprit, 101), SUSPECT_STOPPED);
  suspect_release (suspect_table, culprit, 0, 0);
  suspect_release (suspect_table, innocent, 1, 0);
  EXPECT_EQ (crash (innocent, 100), SUSPECT_CLEAN);
  EXPECT_EQ (crash (innocent, 102), SUSPECT_RESTRICTED);
  EXPECT_EQ (place (innocent, r1), 0) << "the place is free again";
  suspect_release (suspect_table, culprit, 1, 0);
  EXPECT_EQ (suspect_check (suspect_table, culprit, 0), SUSPECT_STOPPED);
}

// Guards against evidence that never expires, also when it is read after its
// retention, and against a table without a bound.
TEST_F (Suspect, EvidenceExpiresAndTableIsBounded)
{
  crash (1, 100, 0);
  EXPECT_EQ (suspect_check (suspect_table, 1, SUSPECT_RETENTION_US - 1),
             SUSPECT_RESTRICTED);
  EXPECT_EQ (suspect_check (suspect_table, 1, SUSPECT_RETENTION_US),
             SUSPECT_CLEAN);
  EXPECT_EQ (crash (1, 101, SUSPECT_RETENTION_US), SUSPECT_RESTRICTED);
  EXPECT_EQ (crash (2, 102, 0, SUSPECT_RETENTION_US), SUSPECT_CLEAN);
  for (uint64_t f = 10; f < 20; f++)
    {
      crash (f, f, SUSPECT_RETENTION_US + (int64_t)f);
      suspect_place (suspect_table, f, r1, SUSPECT_RETENTION_US + (int64_t)f,
                     nullptr);
    }
  EXPECT_EQ (suspect_count (suspect_table), 3u);
  EXPECT_EQ (suspect_check (suspect_table, 19, SUSPECT_RETENTION_US + 20),
             SUSPECT_RESTRICTED);
  EXPECT_EQ (suspect_check (suspect_table, 1, SUSPECT_RETENTION_US + 20),
             SUSPECT_CLEAN);
}

// Guards against one fingerprint for different requests: bytes moved from one
// part to the next must change it.
TEST_F (Suspect, FingerprintDependsOnTheBoundsOfItsParts)
{
  EXPECT_EQ (suspect_fingerprint ("a", "/b", "c", 1),
             suspect_fingerprint ("a", "/b", "cd", 1));
  EXPECT_NE (suspect_fingerprint ("a", "/b", "c", 1),
             suspect_fingerprint ("a/", "b", "c", 1));
  EXPECT_NE (suspect_fingerprint ("a", "/b", "c", 1),
             suspect_fingerprint ("b", "/b", "c", 1));
}

} // namespace
