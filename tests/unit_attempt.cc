#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "goldcresthatch/attempt.h"
}

namespace
{
constexpr uint64_t INC = 7;

class AttemptTable : public ::testing::Test
{
protected:
  struct attempt_table *table
      = attempt_new (INC, ATTEMPT_WINDOW_DEFAULT_US, 0);
  int64_t now = 0;
  const struct call_result *result = nullptr;

  ~AttemptTable () override { attempt_free (table); }

  enum attempt_admit
  admit (uint64_t id, uint64_t window, uint64_t inc = INC)
  {
    return attempt_admit (table, { 0, id }, inc, window, now);
  }

  enum msg_void_state
  void_attempt (uint64_t id, uint64_t window, uint64_t inc = INC)
  {
    return attempt_void (table, { 0, id }, inc, window, now, &result);
  }

  int
  finish (uint64_t id, enum msg_outcome outcome, std::string body = "ok")
  {
    struct call_result r = { 200, "text/plain", &body[0], body.size (), 0 };
    return attempt_finish (table, { 0, id }, outcome, &r, now);
  }
};
}

// Guards against a delayed CALL that starts after its window or incarnation.
TEST_F (AttemptTable, RefusesStaleAddress)
{
  EXPECT_EQ (admit (1, 1, INC + 1), ATTEMPT_STALE_INCARNATION);
  now = ATTEMPT_WINDOW_DEFAULT_US;
  EXPECT_EQ (attempt_window (table, now), 2u);
  EXPECT_EQ (admit (1, 1), ATTEMPT_ADMITTED);
  now = 2 * ATTEMPT_WINDOW_DEFAULT_US;
  EXPECT_EQ (admit (2, 1), ATTEMPT_STALE_WINDOW);
  EXPECT_EQ (admit (2, 4), ATTEMPT_STALE_WINDOW);
  EXPECT_EQ (void_attempt (2, 1), MSG_VOID_NEVER_RAN);
  EXPECT_EQ (void_attempt (1, 1), MSG_VOID_RUNNING);
  EXPECT_EQ (void_attempt (1, 1, INC + 1), MSG_VOID_UNKNOWN);
}

// Guards against an attempt that starts after it was voided, or twice.
TEST_F (AttemptTable, RefusesVoidedAndDuplicateAttempts)
{
  EXPECT_EQ (void_attempt (1, 1), MSG_VOID_NEVER_RAN);
  EXPECT_EQ (admit (1, 1), ATTEMPT_VOIDED);
  EXPECT_EQ (admit (2, 1), ATTEMPT_ADMITTED);
  EXPECT_EQ (admit (2, 1), ATTEMPT_DUPLICATE);
  EXPECT_EQ (finish (2, MSG_OUTCOME_DONE), 0);
  EXPECT_EQ (finish (2, MSG_OUTCOME_DONE), -1);
  EXPECT_EQ (admit (2, 1), ATTEMPT_DUPLICATE);
  EXPECT_EQ (void_attempt (2, 1), MSG_VOID_DONE);
  EXPECT_EQ (std::string (result->body, result->size), "ok");
  EXPECT_EQ (admit (3, 1), ATTEMPT_ADMITTED);
  EXPECT_EQ (finish (3, MSG_OUTCOME_NOT_RUN), 0);
  EXPECT_EQ (admit (3, 1), ATTEMPT_VOIDED);
}

// Guards against "never ran" or a result for calls that an endpoint crash
// interrupted.
TEST_F (AttemptTable, CrashMakesRunningUnknown)
{
  EXPECT_EQ (admit (1, 1), ATTEMPT_ADMITTED);
  EXPECT_EQ (attempt_crash (table, now), 1u);
  EXPECT_EQ (void_attempt (1, 1), MSG_VOID_UNKNOWN);
  EXPECT_EQ (finish (1, MSG_OUTCOME_DONE), -1);
}

// Guards against "never ran" for an attempt whose record was dropped.
TEST_F (AttemptTable, DroppedRecordsAreUnknown)
{
  EXPECT_EQ (admit (1, 1), ATTEMPT_ADMITTED);
  EXPECT_EQ (finish (1, MSG_OUTCOME_DONE), 0);
  now = ATTEMPT_RETENTION_US - 1;
  EXPECT_EQ (void_attempt (1, 1), MSG_VOID_DONE);
  now = ATTEMPT_RETENTION_US;
  EXPECT_EQ (void_attempt (1, 1), MSG_VOID_UNKNOWN);
  EXPECT_EQ (void_attempt (9, 1), MSG_VOID_UNKNOWN);
  EXPECT_EQ (void_attempt (9, 2), MSG_VOID_NEVER_RAN);
}

// Guards against a full table that drops the record of an attempt whose CALL
// it would still accept, and against a table that grows without limit.
TEST_F (AttemptTable, FullTableKeepsAcceptedWindows)
{
  for (uint64_t id = 0; id < ATTEMPT_RECORDS_MAX; id++)
    ASSERT_EQ (admit (id, 1), ATTEMPT_ADMITTED);
  ASSERT_EQ (finish (0, MSG_OUTCOME_DONE), 0);
  EXPECT_EQ (admit (ATTEMPT_RECORDS_MAX, 1), ATTEMPT_TABLE_FULL);
  EXPECT_EQ (void_attempt (ATTEMPT_RECORDS_MAX, 1), MSG_VOID_UNKNOWN);
  now = 2 * ATTEMPT_WINDOW_DEFAULT_US;
  EXPECT_EQ (admit (ATTEMPT_RECORDS_MAX, 3), ATTEMPT_ADMITTED);
  EXPECT_EQ (attempt_count (table), static_cast<size_t> (ATTEMPT_RECORDS_MAX));
  EXPECT_EQ (void_attempt (0, 1), MSG_VOID_UNKNOWN);
  EXPECT_EQ (void_attempt (1, 1), MSG_VOID_RUNNING);
}

// Guards against results that use unbounded memory.
TEST_F (AttemptTable, EvictsOldestBodies)
{
  const std::string body (CALL_BODY_MAX_BYTES, 'x');
  const uint64_t count = ATTEMPT_BODIES_MAX_BYTES / CALL_BODY_MAX_BYTES + 1;

  for (uint64_t id = 0; id < count; id++)
    {
      ASSERT_EQ (admit (id, 1), ATTEMPT_ADMITTED);
      ASSERT_EQ (finish (id, MSG_OUTCOME_DONE, body), 0);
    }
  EXPECT_EQ (void_attempt (0, 1), MSG_VOID_DONE);
  EXPECT_EQ (result->body, nullptr);
  EXPECT_EQ (result->size, body.size ());
  EXPECT_EQ (void_attempt (1, 1), MSG_VOID_DONE);
  EXPECT_NE (result->body, nullptr);
}
