#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C"
{
#include "goldcresthatch/warn.h"
}

namespace
{

const int64_t second = 1000000;

void
note (void *ctx, const struct warn_entry *entry)
{
  static_cast<std::vector<int> *> (ctx)->push_back (entry->raised);
}

class Warn : public ::testing::Test
{
protected:
  ~Warn () override { warn_free (set); }
  /* Reports KIND at each second from FROM up to, not including, TO.  */
  void
  report (enum warn_kind kind, int64_t from, int64_t to, int holds)
  {
    for (int64_t t = from; t < to; t++)
      {
        warn_report (set, kind, "chat", holds, "9 of 10 late", t * second);
        warn_update (set, t * second, note, &changes);
      }
  }
  struct warn_set *set = warn_new ();
  std::vector<int> changes;
};

// Guards against a kind of warning without its texts.
TEST_F (Warn, EveryKindIsDescribed)
{
  for (int kind = 0; kind < WARN_KIND_MAX; kind++)
    {
      const auto *info = warn_info (static_cast<enum warn_kind> (kind));
      ASSERT_NE (info->name, nullptr) << kind;
      EXPECT_GT (std::string (info->outcome).size (), 10U);
      EXPECT_GT (std::string (info->action).size (), 10U);
      EXPECT_GT (std::string (info->clears).size (), 10U);
      EXPECT_GT (info->report_ttl_us, 0);
    }
}

// Guards against a warning for a condition that does not last, and against one
// that is raised again and again for a condition that comes and goes.
TEST_F (Warn, RaisesAfterTheHoldTimeAndClearsOnce)
{
  report (WARN_LATE_ANSWERS, 0, 29, 1);
  report (WARN_LATE_ANSWERS, 29, 30, 0);
  report (WARN_LATE_ANSWERS, 30, 60, 1);
  EXPECT_TRUE (changes.empty ());
  report (WARN_LATE_ANSWERS, 60, 61, 1);
  EXPECT_EQ (changes, std::vector<int>{ 1 });
  for (int64_t t = 61; t < 300; t += 40)
    {
      report (WARN_LATE_ANSWERS, t, t + 20, 0);
      report (WARN_LATE_ANSWERS, t + 20, t + 40, 1);
    }
  EXPECT_EQ (changes, std::vector<int>{ 1 });
  report (WARN_LATE_ANSWERS, 301, 361, 0);
  EXPECT_EQ (warn_count (set), 1U);
  report (WARN_LATE_ANSWERS, 361, 362, 0);
  EXPECT_EQ (changes, (std::vector<int>{ 1, 0 }));
  EXPECT_EQ (warn_count (set), 0U);
}

// Guards against a false warning after a pause, during which the condition was
// not observed.
TEST_F (Warn, APauseDoesNotCountAsHolding)
{
  report (WARN_NO_RUNNER, 0, 1, 1);
  report (WARN_NO_RUNNER, 60, 61, 1);
  EXPECT_TRUE (changes.empty ());
  report (WARN_NO_RUNNER, 61, 76, 1);
  EXPECT_EQ (changes.size (), 1U);
}

// Guards against a warning that is never cleared when its subject is gone.
TEST_F (Warn, ClearsWithoutReports)
{
  report (WARN_NO_RUNNER, 0, 20, 1);
  EXPECT_EQ (warn_count (set), 1U);
  warn_update (set, 30 * second, note, &changes);
  EXPECT_EQ (warn_count (set), 1U);
  warn_update (set, 35 * second, note, &changes);
  EXPECT_EQ (changes, (std::vector<int>{ 1, 0 }));
}

// Guards against an unknown outcome that is not shown at once, or whose
// warning is cleared before an operator has had an hour to see it.
TEST_F (Warn, EventsAreRaisedAtOnceAndLast)
{
  report (WARN_OUTCOME_UNKNOWN, 0, 1, 1);
  EXPECT_EQ (changes, std::vector<int>{ 1 });
  warn_update (set, 3599 * second, note, &changes);
  EXPECT_EQ (warn_count (set), 1U);
  warn_update (set, 3600 * second, note, &changes);
  EXPECT_EQ (warn_count (set), 0U);
}

// Guards against unbounded memory and invalid JSON.
TEST_F (Warn, IsBoundedAndPrintsJson)
{
  GString *out = g_string_new (nullptr);
  for (int i = 0; i < WARN_ENTRIES_MAX; i++)
    EXPECT_EQ (warn_report (set, WARN_CRASHING_REQUEST,
                            std::to_string (i).c_str (), 1, "\"2\" crashes",
                            0),
               0);
  EXPECT_EQ (warn_report (set, WARN_CRASHING_REQUEST, "more", 1, "", 0), -1);
  warn_update (set, 0, nullptr, nullptr);
  EXPECT_EQ (warn_count (set), size_t{ WARN_ENTRIES_MAX });
  warn_json (set, 5 * second, out);
  const std::string first
      = "[{\"kind\":\"crashing-request\",\"subject\":\"0\",";
  EXPECT_EQ (std::string (out->str).substr (0, first.size ()), first);
  EXPECT_NE (std::string (out->str).find ("\\\"2\\\" crashes"),
             std::string::npos);
  g_string_free (out, TRUE);
}

}
