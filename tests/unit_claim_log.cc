// Records of claims that are kept for a key-value service that loses them.
#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C"
{
#include "claim_log.h"
}

namespace
{

const int64_t second = 1000000;

class ClaimLog : public testing::Test
{
protected:
  struct claim_log *log = claim_log_new ();
  ~ClaimLog () override { claim_log_free (log); }

  std::string
  list (int64_t now)
  {
    GPtrArray *records = claim_log_list (log, now);
    std::string out;
    for (guint i = 0; i < records->len; i++)
      {
        auto *record
            = static_cast<struct claim_log_record *> (records->pdata[i]);
        out += std::string (record->key) + "=" + record->text + " ";
      }
    g_ptr_array_free (records, TRUE);
    return out;
  }
};

// Guards against records that are forgotten too soon, kept for ever, or
// written again as they were before their last change.
TEST_F (ClaimLog, KeepsTheLastRecordForAWhile)
{
  claim_log_note (log, "a", "1", 0);
  claim_log_note (log, "b", "2", second);
  claim_log_note (log, "a", "3", 2 * second);
  EXPECT_EQ (list (2 * second), "a=3 b=2 ");
  EXPECT_EQ (list (CLAIM_LOG_US + 2 * second), "a=3 ");
  EXPECT_EQ (list (CLAIM_LOG_US + 3 * second), "");
}

// Guards against memory that grows with the rate of bookings.
TEST_F (ClaimLog, IsBounded)
{
  for (int i = 0; i < CLAIM_LOG_MAX + 5; i++)
    claim_log_note (log, std::to_string (i).c_str (), "x", 0);
  GPtrArray *records = claim_log_list (log, 0);
  EXPECT_EQ (records->len, static_cast<guint> (CLAIM_LOG_MAX));
  EXPECT_STREQ (
      static_cast<struct claim_log_record *> (records->pdata[0])->key,
      std::to_string (CLAIM_LOG_MAX + 4).c_str ());
  g_ptr_array_free (records, TRUE);
}

// Guards against an outcome that is replaced by one with less information, by
// that of another request, or by another outcome.
TEST_F (ClaimLog, OnlyClaimsThatWereNotSentAreReplaced)
{
  const struct
  {
    enum call_record_state lost;
    enum call_record_state found;
    bool same; // attempt
    bool replaces;
  } rows[] = { { CALL_DONE, CALL_CLAIMED, false, true },
               { CALL_UNKNOWN, CALL_CLAIMED, false, true },
               { CALL_CLAIMED, CALL_CLAIMED, false, true },
               { CALL_DONE, CALL_FREE, false, true },
               { CALL_FREE, CALL_CLAIMED, false, false },
               { CALL_DONE, CALL_DONE, false, false },
               { CALL_CLAIMED, CALL_DONE, false, false },
               { CALL_DONE, CALL_UNKNOWN, false, false },
               { CALL_DONE, CALL_CLAIMED, true, true },
               { CALL_DONE, CALL_UNKNOWN, true, true },
               { CALL_UNKNOWN, CALL_DONE, true, false },
               { CALL_CLAIMED, CALL_CLAIMED, true, false },
               { CALL_DONE, CALL_FREE, true, false } };
  for (const auto &row : rows)
    {
      struct call_record lost = {};
      struct call_record found = {};
      lost.state = row.lost;
      found.state = row.found;
      lost.attempt.lo = 1;
      found.attempt.lo = row.same ? 1 : 2;
      EXPECT_EQ (claim_log_may_replace (&lost, &found), row.replaces)
          << row.lost << row.found << row.same;
      found.fingerprint = 9;
      EXPECT_FALSE (claim_log_may_replace (&lost, &found));
    }
}

}
