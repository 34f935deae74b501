#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

extern "C"
{
#include "goldcresthatch/fleet.h"
}

namespace
{

const int64_t SECOND = 1000000;

class Fleet : public testing::Test
{
protected:
  struct fleet *fleet = fleet_new ();
  std::deque<std::string> names; // vms points into it
  std::vector<struct fleet_vm> vms;

  void
  SetUp () override
  {
    for (int i = 0; i < 8; i++)
      names.push_back ("r" + std::to_string (i));
    for (auto &name : names)
      vms.push_back ({ name.c_str (), "127.0.0.1:80", "z1", FLEET_VM_LIVE });
    ASSERT_EQ (list (), 0);
  }

  void
  TearDown () override
  {
    fleet_free (fleet);
  }

  int
  list ()
  {
    return fleet_list_update (fleet, vms.data (), vms.size (), nullptr);
  }

  int
  report (int i, int64_t now, uint64_t state = MSG_AGENT_SERVING,
          uint64_t window = 1, uint64_t incarnation = 7)
  {
    struct msg_report r = {};
    r.agent = msg_str_from (names[i].c_str ());
    r.incarnation = incarnation;
    r.window = window;
    r.state = state;
    r.endpoint_up = 1;
    r.running = 3;
    r.queued = 1;
    r.prompt_tokens = 500;
    return fleet_report (fleet, &r, now, nullptr);
  }

  // Advances from FROM to TO with a report of the first N runners each second.
  void
  run (int64_t from, int64_t to, int n)
  {
    for (int64_t t = from; t <= to; t += SECOND)
      {
        for (int i = 0; i < n; i++)
          report (i, t);
        fleet_tick (fleet, t);
      }
  }

  const struct fleet_runner *
  at (int i)
  {
    return fleet_find (fleet, names[i].c_str ());
  }
};

// Guards against further attempts on a runner whose endpoint crashed, also
// during self-preservation, and against excluding it for ever.
TEST_F (Fleet, FaultLastsUntilTheNextReport)
{
  run (0, 2 * SECOND, 8);
  fleet_mark_failed (fleet, at (0)->ref);
  EXPECT_FALSE (at (0)->usable);
  EXPECT_TRUE (at (1)->usable);
  for (int64_t t = 3 * SECOND; t <= 9 * SECOND; t += SECOND)
    fleet_tick (fleet, t);
  ASSERT_TRUE (fleet_self_preservation (fleet));
  EXPECT_FALSE (at (0)->usable);
  EXPECT_TRUE (at (1)->usable);
  report (0, 10 * SECOND, MSG_AGENT_DRAINING);
  EXPECT_FALSE (at (0)->usable);
  report (0, 11 * SECOND);
  EXPECT_TRUE (at (0)->usable);
}

// Guards against mistaking connections that the entry closed for a fault of
// its link, which would keep silent runners usable.
TEST_F (Fleet, DisconnectedRunnersAreNotCountedAsSilent)
{
  run (0, 2 * SECOND, 8);
  for (int i = 3; i < 8; i++)
    fleet_disconnected (fleet, at (i)->ref);
  EXPECT_FALSE (at (3)->usable);
  run (3 * SECOND, 12 * SECOND, 2);
  EXPECT_FALSE (fleet_self_preservation (fleet));
  EXPECT_FALSE (at (2)->usable);
  report (3, 12 * SECOND);
  EXPECT_TRUE (at (3)->usable);
}

// Guards against sending work to an agent that stopped reporting.
TEST_F (Fleet, SilentRunnerGetsNoWork)
{
  run (0, 2 * SECOND, 8);
  EXPECT_TRUE (at (7)->usable);
  run (3 * SECOND, 9 * SECOND, 7);
  EXPECT_FALSE (at (7)->usable);
  report (7, 10 * SECOND);
  EXPECT_TRUE (at (7)->usable);
}

// Guards against sending work to a runner that became silent while it was
// withheld.
TEST_F (Fleet, SilenceCountsWhileWithheld)
{
  const char *withheld = "r7";
  run (0, SECOND, 8);
  fleet_withhold (fleet, &withheld, 1);
  run (2 * SECOND, 10 * SECOND, 7);
  fleet_withhold (fleet, nullptr, 0);
  EXPECT_FALSE (at (7)->usable);
}

// Guards against treating all runners as silent after the entry itself was
// paused.
TEST_F (Fleet, TickGapRestartsTimeouts)
{
  run (0, SECOND, 8);
  fleet_tick (fleet, 60 * SECOND);
  EXPECT_TRUE (at (0)->usable);
  EXPECT_FALSE (fleet_self_preservation (fleet));
  run (61 * SECOND, 67 * SECOND, 7);
  EXPECT_TRUE (at (0)->usable);
  EXPECT_FALSE (at (7)->usable);
}

// Guards against treating all runners as unusable when the entry's own link
// fails, and against keeping runners usable that were silent before or are
// known to leave.
TEST_F (Fleet, PreservesAMajorityThatBecomesSilent)
{
  run (0, SECOND, 8);
  run (2 * SECOND, 20 * SECOND, 7);
  ASSERT_FALSE (at (7)->usable);
  run (21 * SECOND, 29 * SECOND, 1);
  EXPECT_TRUE (fleet_self_preservation (fleet));
  EXPECT_TRUE (at (3)->usable);
  EXPECT_FALSE (at (7)->usable);
  vms[3].state = FLEET_VM_LEAVING;
  ASSERT_EQ (list (), 0);
  EXPECT_FALSE (at (3)->usable);
  run (30 * SECOND, 37 * SECOND, 5);
  EXPECT_FALSE (fleet_self_preservation (fleet));
  EXPECT_FALSE (at (6)->usable);
}

// Guards against sending work to a VM that leaves by the list, by an older
// report of its own or by the configuration.  A live list entry alone does not
// make it usable again.
TEST_F (Fleet, LeavingRunnerGetsNoWork)
{
  run (0, 0, 8);
  vms[0].state = FLEET_VM_LEAVING;
  ASSERT_EQ (list (), 0);
  report (0, 2);
  EXPECT_FALSE (at (0)->usable);
  vms[0].state = FLEET_VM_LIVE;
  ASSERT_EQ (list (), 0);
  EXPECT_FALSE (at (0)->usable);
  report (0, 4);
  EXPECT_TRUE (at (0)->usable);

  report (1, 5, MSG_AGENT_SERVING, 3);
  EXPECT_EQ (report (1, 6, MSG_AGENT_LEAVING, 2), -1);
  report (1, 7, MSG_AGENT_SERVING, 4);
  EXPECT_FALSE (at (1)->usable);
  report (1, 8, MSG_AGENT_SERVING, 0, 8);
  EXPECT_TRUE (at (1)->usable);
  EXPECT_EQ (report (1, 9, MSG_AGENT_SERVING, 9, 7), -1);

  const char *withheld[] = { "r2", "later" };
  fleet_withhold (fleet, withheld, 2);
  EXPECT_FALSE (at (2)->usable);
  vms.push_back ({ "later", "127.0.0.1:81", "z1", FLEET_VM_LIVE });
  names.push_back ("later");
  ASSERT_EQ (list (), 0);
  report (8, 11);
  EXPECT_FALSE (at (8)->usable);
}

// Guards against counting a request twice in the load or not at all.
TEST_F (Fleet, LoadFollowsSentAndEnded)
{
  report (0, 0);
  struct fleet_work a = fleet_sent (fleet, at (0)->ref, 100);
  struct fleet_work b = fleet_sent (fleet, at (0)->ref, 50);
  EXPECT_EQ (at (0)->load.requests, 6u);
  EXPECT_EQ (at (0)->load.prompt_tokens, 650u);
  report (0, 1);
  EXPECT_EQ (at (0)->load.requests, 4u) << "the report includes them";
  report (1, 0);
  for (int i = 0; i < 5; i++)
    fleet_sent (fleet, at (1)->ref, 1);
  report (1, 1);
  EXPECT_EQ (at (1)->load.requests, 5u) << "one is on its way";
  fleet_sent (fleet, at (1)->ref, 900);
  report (1, 2);
  EXPECT_EQ (at (1)->load.prompt_tokens, 905u) << "the report lags";
  fleet_first_token (fleet, &a);
  EXPECT_EQ (at (0)->load.prompt_tokens, 400u);
  struct msg_end end = {};
  fleet_ended (fleet, &a, &end);
  fleet_ended (fleet, &a, &end);
  EXPECT_EQ (at (0)->load.requests, 1u) << "b is on its way";
  fleet_ended (fleet, &b, nullptr);
  EXPECT_EQ (at (0)->load.requests, 0u);
}

// Guards against a handle that refers to the replacement of its runner, and
// against an invalid list that changes the table.
TEST_F (Fleet, HandlesExpireAndInvalidListsChangeNothing)
{
  struct fleet_ref old = at (0)->ref;
  vms[0].address = "127.0.0.2:80";
  ASSERT_EQ (list (), 0);
  EXPECT_EQ (fleet_get (fleet, old), nullptr);
  EXPECT_EQ (fleet_sent (fleet, old, 1).ref.generation, 0u);
  struct err err = {};
  EXPECT_EQ (fleet_list_update (fleet, nullptr, 0, &err), -1);
  for (const char *bad : { "x:1", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:9x" })
    {
      vms[1].address = bad;
      EXPECT_EQ (list (), -1) << bad;
    }
  vms[1] = vms[0];
  EXPECT_EQ (list (), -1);
  EXPECT_NE (at (1), nullptr);
}

} // namespace
