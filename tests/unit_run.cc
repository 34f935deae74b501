#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "goldcresthatch/run.h"
}

namespace
{
constexpr uint64_t INC = 7;

class Run : public ::testing::Test
{
protected:
  struct run_table *table = run_new (INC, RUN_WINDOW_US, 0);
  int64_t now = 0;
  const struct call_result *result = nullptr;

  ~Run () override { run_free (table); }

  enum run_admit
  admit (uint64_t id, uint64_t window, uint64_t inc = INC)
  {
    return run_admit (table, { 0, id }, inc, window, now);
  }

  enum msg_void_state
  bar (uint64_t id, uint64_t window, uint64_t inc = INC)
  {
    return run_void (table, { 0, id }, inc, window, now, &result);
  }

  int
  finish (uint64_t id, enum msg_outcome outcome, std::string body = "ok")
  {
    struct call_result r = { 200, "text/plain", &body[0], body.size (), 0 };
    return run_finish (table, { 0, id }, outcome, &r, now);
  }
};
}

// Guards against a delayed CALL that starts after its window or incarnation.
TEST_F (Run, RefusesStaleAddress)
{
  EXPECT_EQ (admit (1, 1, INC + 1), RUN_STALE_INCARNATION);
  now = RUN_WINDOW_US;
  EXPECT_EQ (run_window (table, now), 2u);
  EXPECT_EQ (admit (1, 1), RUN_ADMITTED);
  now = 2 * RUN_WINDOW_US;
  EXPECT_EQ (admit (2, 1), RUN_STALE_WINDOW);
  EXPECT_EQ (admit (2, 4), RUN_STALE_WINDOW);
  EXPECT_EQ (bar (2, 1), MSG_VOID_NEVER_RAN);
  EXPECT_EQ (bar (1, 1), MSG_VOID_RUNNING);
  EXPECT_EQ (bar (1, 1, INC + 1), MSG_VOID_UNKNOWN);
}

// Guards against an attempt that starts after it was voided, or twice.
TEST_F (Run, BarsAndDetectsDuplicates)
{
  EXPECT_EQ (bar (1, 1), MSG_VOID_NEVER_RAN);
  EXPECT_EQ (admit (1, 1), RUN_BARRED);
  EXPECT_EQ (admit (2, 1), RUN_ADMITTED);
  EXPECT_EQ (admit (2, 1), RUN_DUPLICATE);
  EXPECT_EQ (finish (2, MSG_OUTCOME_DONE), 0);
  EXPECT_EQ (finish (2, MSG_OUTCOME_DONE), -1);
  EXPECT_EQ (admit (2, 1), RUN_DUPLICATE);
  EXPECT_EQ (bar (2, 1), MSG_VOID_DONE);
  EXPECT_EQ (std::string (result->body, result->size), "ok");
  EXPECT_EQ (admit (3, 1), RUN_ADMITTED);
  EXPECT_EQ (finish (3, MSG_OUTCOME_NOT_RUN), 0);
  EXPECT_EQ (admit (3, 1), RUN_BARRED);
}

// Guards against "never ran" or a result for calls that an endpoint crash cut.
TEST_F (Run, CrashMakesRunningUnknown)
{
  EXPECT_EQ (admit (1, 1), RUN_ADMITTED);
  EXPECT_EQ (run_crash (table, now), 1u);
  EXPECT_EQ (bar (1, 1), MSG_VOID_UNKNOWN);
  EXPECT_EQ (finish (1, MSG_OUTCOME_DONE), -1);
}

// Guards against "never ran" for an attempt whose record was dropped.
TEST_F (Run, ForgottenWindowsAreUnknown)
{
  EXPECT_EQ (admit (1, 1), RUN_ADMITTED);
  EXPECT_EQ (finish (1, MSG_OUTCOME_DONE), 0);
  now = RUN_RETENTION_US - 1;
  EXPECT_EQ (bar (1, 1), MSG_VOID_DONE);
  now = RUN_RETENTION_US;
  EXPECT_EQ (bar (1, 1), MSG_VOID_UNKNOWN);
  EXPECT_EQ (bar (9, 1), MSG_VOID_UNKNOWN);
  EXPECT_EQ (bar (9, 2), MSG_VOID_NEVER_RAN);
}

// Guards against a full table that forgets an attempt whose CALL it would
// still accept, and against one that grows without limit.
TEST_F (Run, FullTableKeepsAcceptedWindows)
{
  for (uint64_t id = 0; id < RUN_RECORDS_MAX; id++)
    ASSERT_EQ (admit (id, 1), RUN_ADMITTED);
  ASSERT_EQ (finish (0, MSG_OUTCOME_DONE), 0);
  EXPECT_EQ (admit (RUN_RECORDS_MAX, 1), RUN_FULL);
  EXPECT_EQ (bar (RUN_RECORDS_MAX, 1), MSG_VOID_UNKNOWN);
  now = 2 * RUN_WINDOW_US;
  EXPECT_EQ (admit (RUN_RECORDS_MAX, 3), RUN_ADMITTED);
  EXPECT_EQ (run_count (table), static_cast<size_t> (RUN_RECORDS_MAX));
  EXPECT_EQ (bar (0, 1), MSG_VOID_UNKNOWN);
  EXPECT_EQ (bar (1, 1), MSG_VOID_RUNNING);
}

// Guards against results that take unbounded memory.
TEST_F (Run, OldBodiesGiveWay)
{
  const std::string body (CALL_BODY_MAX, 'x');
  const uint64_t count = RUN_BODIES_MAX / CALL_BODY_MAX + 1;

  for (uint64_t id = 0; id < count; id++)
    {
      ASSERT_EQ (admit (id, 1), RUN_ADMITTED);
      ASSERT_EQ (finish (id, MSG_OUTCOME_DONE, body), 0);
    }
  EXPECT_EQ (bar (0, 1), MSG_VOID_DONE);
  EXPECT_EQ (result->body, nullptr);
  EXPECT_EQ (result->size, body.size ());
  EXPECT_EQ (bar (1, 1), MSG_VOID_DONE);
  EXPECT_NE (result->body, nullptr);
}
