#include <gtest/gtest.h>

#include <cstring>
#include <vector>

#include "engine_headers.hh"

namespace
{
const int64_t S = 1000 * 1000;

struct site
{
  const char *letters = "bpd"; // in the order of enum engine_role
  struct role_planner planner = {};
  struct role_stats stats = {};
  struct role_change change = {};
  std::vector<struct role_runner> runners;
  int64_t now = 0;
  std::vector<std::pair<int64_t, uint32_t>> planned; // time and runner

  // Starts with one runner of load 0.5 for each letter of ROLES.
  void
  start (const char *roles)
  {
    struct role_settings s = role_settings_default ();
    role_planner_init (&planner, &s);
    role_stats_init (&stats);
    role_stats_add (&stats, now, 0, 0);
    for (uint32_t i = 0; roles[i] != '\0'; i++)
      runners.push_back ({ i,
                           static_cast<enum engine_role> (
                               strchr (letters, roles[i]) - letters),
                           1, 0, 0, 10000, 1000, 0.5, 0 });
  }

  // Plans once a second under a constant demand.  Returns the number of
  // changes, which take effect at once.
  int
  run (int seconds, double prefill, double decode)
  {
    int changes = 0;
    for (int i = 0; i < seconds; i++)
      {
        now += 1 * S;
        role_stats_add (&stats, now, prefill, decode);
        if (!role_plan (&planner, now, &stats, runners.data (),
                        runners.size (), &change))
          continue;
        changes++;
        planned.push_back ({ now, change.handle });
        EXPECT_GT (change.gain_s, change.cost_s);
        runners[change.handle].role = change.to;
      }
    return changes;
  }
};

class Role : public ::testing::Test, public site
{
};

// Guards against a low estimate of the demand while a window is not yet full.
TEST_F (Role, RateIsCorrectBeforeAWindowIsFull)
{
  start ("");
  run (5, 1000, 10);
  for (unsigned w = 0; w < ROLE_WINDOWS; w++)
    EXPECT_NEAR (role_stats_rate (&stats, w).prefill, 1000, 60);
}

// Guards against a planner that ignores a lasting shift of the demand, and
// against one that goes on changing roles under a constant demand.
TEST_F (Role, FollowsAShiftOnce)
{
  start ("ppdd");
  EXPECT_EQ (run (300, 10000, 1000), 0);
  EXPECT_EQ (run (300, 23000, 600), 1);
  EXPECT_EQ (change.from, ENGINE_ROLE_DECODE);
  EXPECT_EQ (run (300, 23000, 600), 0);
}

// Guards against a change caused by a burst shorter than the hold time.
TEST_F (Role, IgnoresABurst)
{
  start ("ppdd");
  run (120, 10000, 1000);
  EXPECT_EQ (run (3, 25000, 500), 0);
  EXPECT_EQ (run (120, 10000, 1000), 0);
}

// Guards against a change before its gain has persisted for the hold time, and
// against a second change before the reports show the effect of the first.
TEST_F (Role, WaitsForHoldTimeAndSettleTime)
{
  start ("ppppdddd");
  planner.settings.hold_s = 6;
  run (120, 20000, 2000);
  struct site no_hold = *this;
  no_hold.planner.settings.hold_s = 0;
  ASSERT_GE (no_hold.run (200, 55000, 600), 2);
  ASSERT_GE (run (200, 55000, 600), 2);
  EXPECT_EQ (planned[0].first - no_hold.planned[0].first, 6 * S);
  EXPECT_GE (no_hold.planned[1].first - no_hold.planned[0].first, 20 * S);
}

// Guards against ignoring a high cost of a change in the settings.
TEST_F (Role, CostForbidsASmallGain)
{
  start ("ppdd");
  planner.settings.role_change_cost_s = 500;
  EXPECT_EQ (run (300, 23000, 600), 0);
}

// Guards against a phase that is left without a runner.
TEST_F (Role, KeepsTheLastRunnerOfAPhase)
{
  start ("pd");
  EXPECT_EQ (run (300, 90000, 10), 0);
}

// Guards against two changes at the same time, and against changing a fixed
// runner.
TEST_F (Role, WaitsForAChangeInProgress)
{
  start ("ppdd");
  runners[0].changing = 1;
  EXPECT_EQ (run (300, 23000, 600), 0);
  runners[0].changing = 0;
  for (auto &r : runners)
    r.fixed = 1;
  EXPECT_EQ (run (300, 23000, 600), 0);
}

// Guards against changing a dedicated runner, a loaded one or one with a
// valuable cache when the gains are nearly the same, which they are when a
// runner with role both reaches little of its rates.
TEST_F (Role, PrefersBothThenLeastLoadedThenLittleCache)
{
  start ("pddbbb");
  planner.settings.both_efficiency = 0.01;
  for (int i = 0; i < 6; i++)
    runners[i].load = i < 3 ? 0.1 : (i == 3 ? 0.9 : 0.2);
  runners[4].cache_value_s = 5;
  ASSERT_GE (run (60, 20000, 1000), 1);
  EXPECT_EQ (planned[0].second, 5u);
}

// Guards against settings out of range.
TEST (RoleSettings, AreChecked)
{
  struct role_settings s = role_settings_default ();
  struct err err = {};

  EXPECT_EQ (role_settings_check (&s, &err), 0);
  s.target_use = 0;
  EXPECT_EQ (role_settings_check (&s, &err), -1);
  EXPECT_STREQ (err.text, "target_use must be between 0.01 and 1");
}
}
