#include <gtest/gtest.h>

#include <vector>

#include "eng_headers.hh"

namespace
{
const int64_t S = 1000 * 1000;

class Role : public ::testing::Test
{
protected:
  struct role_planner planner = {};
  struct role_stats stats = {};
  struct role_change change = {};
  std::vector<struct role_runner> runners;
  int64_t now = 0;

  void
  SetUp () override
  {
    struct role_settings s = role_settings_default ();
    role_planner_init (&planner, &s);
    role_stats_init (&stats);
    role_stats_add (&stats, now, 0, 0);
  }

  void
  add (enum eng_role role, double load = 0.5)
  {
    runners.push_back ({ static_cast<uint32_t> (runners.size ()), role, 1, 0,
                         0, 10000, 1000, load, 0 });
  }

  // Plans each second under a demand; returns the number of changes, which
  // take effect at once.
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
        EXPECT_GT (change.gain_s, change.cost_s);
        runners[change.handle].role = change.to;
      }
    return changes;
  }
};

// Guards against averages that take a young window for a low demand.
TEST_F (Role, YoungAveragesGiveTheRate)
{
  run (5, 1000, 10);
  for (unsigned w = 0; w < ROLE_WINDOWS; w++)
    EXPECT_NEAR (role_stats_rate (&stats, w).prefill, 1000, 60);
}

// Guards against a plan that misses a lasting shift, and one that goes on
// changing roles under a steady demand.
TEST_F (Role, FollowsAShiftAndSettles)
{
  for (int i = 0; i < 4; i++)
    add (i < 2 ? ENG_ROLE_PREFILL : ENG_ROLE_DECODE);
  EXPECT_EQ (run (300, 10000, 1000), 0);
  EXPECT_EQ (run (300, 23000, 600), 1);
  EXPECT_EQ (change.from, ENG_ROLE_DECODE);
  EXPECT_EQ (run (300, 23000, 600), 0);
}

// Guards against a change set off by a burst shorter than the hold time.
TEST_F (Role, IgnoresABurst)
{
  for (int i = 0; i < 4; i++)
    add (i < 2 ? ENG_ROLE_PREFILL : ENG_ROLE_DECODE);
  run (120, 10000, 1000);
  EXPECT_EQ (run (3, 25000, 500), 0);
  EXPECT_EQ (run (120, 10000, 1000), 0);
}

// Guards against a site whose high cost of a change is not respected.
TEST_F (Role, CostForbidsASmallGain)
{
  for (int i = 0; i < 4; i++)
    add (i < 2 ? ENG_ROLE_PREFILL : ENG_ROLE_DECODE);
  planner.settings.role_change_cost_s = 500;
  EXPECT_EQ (run (300, 23000, 600), 0);
}

// Guards against a side that is left without a runner.
TEST_F (Role, KeepsTheLastRunnerOfASide)
{
  add (ENG_ROLE_PREFILL);
  add (ENG_ROLE_DECODE);
  EXPECT_EQ (run (300, 90000, 10), 0);
}

// Guards against two changes at once, also through a fixed runner.
TEST_F (Role, WaitsForAChangeInProgress)
{
  for (int i = 0; i < 4; i++)
    add (i < 2 ? ENG_ROLE_PREFILL : ENG_ROLE_DECODE);
  runners[0].changing = 1;
  EXPECT_EQ (run (300, 23000, 600), 0);
  runners[0].changing = 0;
  for (auto &r : runners)
    r.fixed = 1;
  EXPECT_EQ (run (300, 23000, 600), 0);
}

// Guards against a choice of a dedicated, a loaded or a well cached runner.
TEST_F (Role, PrefersBothThenLeastLoadedThenLittleCache)
{
  add (ENG_ROLE_PREFILL, 0.1);
  add (ENG_ROLE_DECODE, 0.1);
  add (ENG_ROLE_DECODE, 0.1);
  add (ENG_ROLE_BOTH, 0.9);
  add (ENG_ROLE_BOTH, 0.2);
  add (ENG_ROLE_BOTH, 0.2);
  runners[4].cache_value_s = 5;
  ASSERT_GE (run (60, 60000, 1800), 1);
  EXPECT_EQ (runners[5].role, ENG_ROLE_PREFILL);
}

// Guards against settings that make a plan meaningless.
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
