#include <gtest/gtest.h>
#include <map>
#include <string>

#include "gw_headers.hh"

using gw_test::entry;

namespace
{

const int64_t ms = 1000;

class Plc : public testing::Test
{
protected:
  struct memb *memb = memb_new ();
  struct plc *plc = plc_new (&plc_speed_default, 10000);
  struct plc_where where = {};

  Plc ()
  {
    where.service = "service";
    where.zone = "a";
    where.stage = MEMB_STAGE_PREFILL;
  }
  ~Plc () override
  {
    plc_free (plc);
    memb_free (memb);
  }

  struct memb_runner *
  add (const std::string &id, enum memb_stage stage = MEMB_STAGE_PREFILL)
  {
    struct memb_entry e = entry (id.c_str (), 1, stage);
    memb_put (memb, &e, 1);
    return memb_find (memb, id.c_str ());
  }

  static struct plc_prompt
  prompt (uint64_t session, uint64_t own = 0)
  {
    struct plc_prompt p = {};
    p.parts[0] = { 1, 2500 };
    p.parts[1] = { session, 3800 };
    p.parts[2] = { own, 2900 };
    p.n_parts = 3;
    p.tokens = 9200;
    return p;
  }

  struct memb_runner *
  choose (uint64_t session, int64_t now = 0)
  {
    struct plc_prompt p = prompt (session);
    return plc_prefill (plc, memb, &where, &p, now).runner;
  }
};

// Sessions that return: guards against reading a session at several engines,
// and against gateways that place it differently.
TEST_F (Plc, SessionStaysAtItsEngine)
{
  struct plc *other = plc_new (&plc_speed_default, 100);
  for (int i = 0; i < 8; i++)
    add ("engine" + std::to_string (i));
  for (uint64_t session = 100; session < 200; session++)
    {
      struct plc_prompt p = prompt (session);
      struct memb_runner *home = choose (session);
      EXPECT_EQ (choose (session), home);
      EXPECT_EQ (plc_prefill (other, memb, &where, &p, 0).runner, home);
    }
  plc_free (other);
}

// Many sessions: guards against engines that get far more of them than others.
TEST_F (Plc, SessionsSpread)
{
  std::map<struct memb_runner *, int> count;
  for (int i = 0; i < 8; i++)
    add ("engine" + std::to_string (i));
  for (uint64_t session = 0; session < 1600; session++)
    count[choose (session * 7919)]++;
  EXPECT_EQ (count.size (), 8U);
  for (const auto &[runner, n] : count)
    EXPECT_LT (n, 300) << runner->entry.id;
}

// A third of the engines gone: guards against moving the sessions of those
// that stay.
TEST_F (Plc, FewSessionsMoveWhenEnginesGo)
{
  std::map<uint64_t, struct memb_runner *> before;
  for (int i = 0; i < 9; i++)
    add ("engine" + std::to_string (i));
  for (uint64_t session = 0; session < 900; session++)
    before[session] = choose (session);
  for (int i = 0; i < 3; i++)
    memb_find (memb, ("engine" + std::to_string (i)).c_str ())->leaving = 1;
  for (const auto &[session, runner] : before)
    if (!runner->leaving)
      {
        EXPECT_EQ (choose (session), runner);
      }
}

// Hot session: guards against a queue at its engine while its next one is
// idle.
TEST_F (Plc, HotSessionOverflows)
{
  for (int i = 0; i < 4; i++)
    add ("engine" + std::to_string (i));
  struct memb_runner *home = choose (5);
  struct plc_prompt p = prompt (5);
  plc_note (plc, home, &p, 0);
  home->calls = 1;
  home->tokens = 2900;
  EXPECT_EQ (choose (5), home) << "a short wait costs less than reading anew";
  home->calls = 8;
  home->tokens = 40000;
  EXPECT_NE (choose (5), home);
}

// Load that only others caused: guards against a choice that looks at this
// gateway's own requests alone.
TEST_F (Plc, LoadOfOthersCounts)
{
  for (int i = 0; i < 4; i++)
    add ("engine" + std::to_string (i));
  struct memb_runner *home = choose (5);
  home->others_us = 1;
  home->others_calls = 10;
  home->others_tokens = 50000;
  EXPECT_NE (choose (5), home);
}

// Guards against counting parts as kept for ever, or after a part before them
// is missing.
TEST_F (Plc, UnreadTokens)
{
  struct memb_runner *engine = add ("engine");
  struct plc_prompt p = prompt (5);
  EXPECT_EQ (plc_unread (plc, engine, &p, 0), 9200U);
  plc_note (plc, engine, &p, 0);
  EXPECT_EQ (plc_unread (plc, engine, &p, 0), 2900U);
  struct plc_prompt other = prompt (6);
  EXPECT_EQ (plc_unread (plc, engine, &other, 0), 6700U);
  struct plc_prompt headless = prompt (5);
  headless.parts[0].id = 2;
  EXPECT_EQ (plc_unread (plc, engine, &headless, 0), 9200U);
  EXPECT_EQ (plc_unread (plc, engine, &p, 60000 * ms), 9200U);
}

// Burst of long outputs: guards against waiting for a slot beside free ones.
TEST_F (Plc, DecodeTakesFreeSlots)
{
  where.stage = MEMB_STAGE_DECODE;
  struct memb_runner *full = add ("full", MEMB_STAGE_DECODE);
  struct memb_runner *free_one = add ("gfree", MEMB_STAGE_DECODE);
  full->calls = full->entry.slots;
  free_one->calls = 3;
  EXPECT_EQ (plc_decode (plc, memb, &where, nullptr, 0).runner, free_one);
  free_one->others_ordered = MEMB_STAGE_PREFILL;
  EXPECT_EQ (plc_decode (plc, memb, &where, nullptr, 0).runner, full);
}

// One slow and one grey runner: guards against sending a plain service's calls
// evenly to runners that answer late or fail.
TEST_F (Plc, CallsAvoidSlowAndFailing)
{
  where.stage = MEMB_STAGE_ANY;
  struct memb_runner *sound = add ("sound", MEMB_STAGE_ANY);
  struct memb_runner *slow = add ("tslow", MEMB_STAGE_ANY);
  struct memb_runner *grey = add ("ugrey", MEMB_STAGE_ANY);
  for (int i = 0; i < 30; i++)
    {
      memb_answered (sound, 30 * ms, 0);
      memb_answered (slow, 240 * ms, 0);
      memb_answered (grey, 30 * ms, 0);
      if (i % 2)
        memb_failed (grey, MEMB_ERROR, 0);
    }
  for (uint64_t random = 0; random < 10; random++)
    EXPECT_EQ (plc_call (memb, &where, random, 0).runner, sound);
  // Beside a full sound one they are still better than waiting for long.
  sound->calls = 40;
  EXPECT_NE (plc_call (memb, &where, 0, 0).runner, sound);
}

// Grey engines: guards against prompts that go on to engines which break half
// of them, seen for 4 s in an incident, and against giving them up for good.
TEST_F (Plc, PromptsAvoidGreyEngines)
{
  for (int i = 0; i < 4; i++)
    add ("engine" + std::to_string (i));
  struct memb_runner *home = choose (5);
  struct plc_prompt p = prompt (5);
  plc_note (plc, home, &p, 0);
  for (int i = 0; i < 10; i++)
    {
      memb_answered (home, 20 * ms, 0);
      memb_failed (home, MEMB_BROKEN, 0);
    }
  EXPECT_TRUE (memb_usable (home, 0));
  EXPECT_NE (choose (5), home);
  EXPECT_EQ (choose (5, 10000 * ms), home);
}

// The largest prompts: guards against refusing what is late by its own size
// alone, and against taking it into a queue.
TEST_F (Plc, LongPromptsAreLateByTheirWait)
{
  const double limit = 120 * ms;
  struct plc_choice choice = {};
  choice.first_us = 200 * ms;
  EXPECT_FALSE (plc_is_late (&choice, limit));
  choice.wait_us = 61 * ms;
  choice.first_us = 261 * ms;
  EXPECT_TRUE (plc_is_late (&choice, limit));
  choice.wait_us = 100 * ms;
  choice.first_us = 110 * ms;
  EXPECT_FALSE (plc_is_late (&choice, limit));
  choice.first_us = 125 * ms;
  EXPECT_TRUE (plc_is_late (&choice, limit));
}

// Burst of long prompts: guards against refusing while engines that generate
// have little to do, and against reading at one that is busy, is reading, or
// lacks the session's parts while another has them.
TEST_F (Plc, OverflowGoesToIdleGenerators)
{
  const double share = 0.25; /* 2 of 8 slots */
  struct plc_prompt p = prompt (5);
  where.stage = MEMB_STAGE_DECODE;
  EXPECT_EQ (plc_overflow (plc, memb, &where, &p, share, 0).runner, nullptr);
  struct memb_runner *busy = add ("busy", MEMB_STAGE_DECODE);
  struct memb_runner *idle = add ("idle", MEMB_STAGE_DECODE);
  busy->calls = 3;
  idle->calls = 2;
  struct plc_choice cold = plc_overflow (plc, memb, &where, &p, share, 0);
  EXPECT_EQ (cold.runner, idle);
  EXPECT_EQ (cold.unread, 9200U);
  EXPECT_EQ (plc_overflow (plc, memb, &where, &p, 0, 0).runner, nullptr);
  struct memb_runner *warm = add ("warm", MEMB_STAGE_DECODE);
  warm->calls = 2;
  plc_note (plc, warm, &p, 0);
  struct plc_choice choice = plc_overflow (plc, memb, &where, &p, share, 0);
  EXPECT_EQ (choice.runner, warm);
  EXPECT_EQ (choice.unread, 2900U);
  EXPECT_LT (choice.first_us, cold.first_us);
  warm->others_tokens = 1;
  EXPECT_EQ (plc_overflow (plc, memb, &where, &p, share, 0).runner, idle);
  idle->tokens = 1;
  EXPECT_EQ (plc_overflow (plc, memb, &where, &p, share, 0).runner, nullptr);
}

// Guards against more calls, and so connections, to a runner than this
// process's part of what the runner accepts.
TEST_F (Plc, CallsToOneRunnerAreBounded)
{
  struct memb_runner *near = add ("near", MEMB_STAGE_ANY);
  struct memb_runner *far = add ("far", MEMB_STAGE_ANY);
  g_strlcpy (far->entry.zone, "b", sizeof far->entry.zone);
  where.stage = MEMB_STAGE_ANY;
  where.calls_max = 2;
  EXPECT_EQ (plc_call (memb, &where, 0, 0).runner, near);
  near->calls = 2;
  EXPECT_EQ (plc_call (memb, &where, 0, 0).runner, far);
  far->calls = 2;
  EXPECT_EQ (plc_call (memb, &where, 0, 0).runner, nullptr);
  where.calls_max = 0;
  EXPECT_NE (plc_call (memb, &where, 0, 0).runner, nullptr);
}

// Guards against a choice that was excluded, and against one made of nothing.
TEST_F (Plc, ExcludedAndNone)
{
  struct memb_runner *only = add ("only");
  const struct memb_runner *excluded[] = { only };
  where.excluded = excluded;
  where.n_excluded = 1;
  EXPECT_EQ (choose (1), nullptr);
}

}
