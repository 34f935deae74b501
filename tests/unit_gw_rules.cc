// Rules of the gateway that need no network: outcomes, budgets, routes, the
// share of the stages.
#include <gtest/gtest.h>
#include <json-c/json.h>
#include <unistd.h>

#include <set>
#include <string>

#include "gw_headers.hh"

extern "C"
{
#include "gw.h"
#include "jlog.h"
}

using gw_test::span;

namespace
{

// Guards against telling "not run" of a request that a runner may have run.
TEST (Outc, NotRunIsTrue)
{
  struct outc outc = {};
  EXPECT_EQ (outc_status (&outc, 0), 503);
  outc_apply (&outc, OUTC_EV_SEND);
  EXPECT_EQ (outc_status (&outc, 0), 502);
  EXPECT_EQ (outc_status (&outc, 1), 504);
  outc_apply (&outc, OUTC_EV_NOT_RUN);
  EXPECT_EQ (outc_status (&outc, 1), 503);
  outc_apply (&outc, OUTC_EV_SEND);
  outc_apply (&outc, OUTC_EV_LOST);
  outc_apply (&outc, OUTC_EV_SEND);
  outc_apply (&outc, OUTC_EV_NOT_RUN);
  EXPECT_EQ (outc_status (&outc, 0), 502) << "the first send may have run";
}

// Guards against a log line that a client's request id turns into no JSON.
TEST (Jlog, IdsAreEscaped)
{
  int pipe_ends[2];
  char line[500] = "";
  ASSERT_EQ (pipe (pipe_ends), 0);
  fflush (stdout);
  int out = dup (STDOUT_FILENO);
  dup2 (pipe_ends[1], STDOUT_FILENO);
  jlog_open ("node");
  jlog ("event", "a\"b\\c", "\"n\":1");
  jlog_flush ();
  dup2 (out, STDOUT_FILENO);
  EXPECT_GT (read (pipe_ends[0], line, sizeof line - 1), 0);
  struct json_object *parsed = json_tokener_parse (line);
  struct json_object *id = nullptr;
  ASSERT_NE (parsed, nullptr) << line;
  ASSERT_TRUE (json_object_object_get_ex (parsed, "id", &id));
  EXPECT_STREQ (json_object_get_string (id), "a\"b\\c");
  json_object_put (parsed);
  close (pipe_ends[0]);
  close (pipe_ends[1]);
  close (out);
}

// Guards against gateways that draw the same identifiers because they started
// at the same time under names that differ little.
TEST (GwRandom, NamesGiveDifferentNumbers)
{
  std::set<uint64_t> seen;

  for (int i = 0; i < 64; i++)
    {
      struct gw gw = {};
      gw_random_seed (&gw, ("front-a-" + std::to_string (i)).c_str (), 12345);
      for (int k = 0; k < 4; k++)
        EXPECT_TRUE (seen.insert (gw_random (&gw)).second) << i;
    }
}

// Guards against a status after part of an answer has gone out.
TEST (Outc, NoStatusOnceStarted)
{
  struct outc outc = {};
  outc_apply (&outc, OUTC_EV_SEND);
  outc_apply (&outc, OUTC_EV_START);
  EXPECT_EQ (outc_status (&outc, 1), 0);
}

// Guards against running a request that isn't idempotent twice, and against
// more runners than its route allows.
TEST (Outc, Repeats)
{
  struct outc outc = {};
  outc_apply (&outc, OUTC_EV_SEND);
  outc_apply (&outc, OUTC_EV_LOST);
  EXPECT_FALSE (outc_may_repeat (&outc, 0, 5));
  EXPECT_TRUE (outc_may_repeat (&outc, 1, 2));
  outc_apply (&outc, OUTC_EV_SEND);
  EXPECT_FALSE (outc_may_repeat (&outc, 1, 2));
  struct outc unreached = {};
  outc_apply (&unreached, OUTC_EV_SEND);
  outc_apply (&unreached, OUTC_EV_UNREACHED);
  EXPECT_TRUE (outc_may_repeat (&unreached, 0, 1));
}

// Guards against processes that together send more than the service's budget:
// retry storm, each process for itself.
TEST (Sbud, PartsStayBelowTheBudget)
{
  const struct sbud_config config = { 0.2, 54, 10000000 };
  struct sbud sbud[4] = {};
  unsigned repeats = 0;
  for (int i = 0; i < 4000; i++)
    {
      int64_t now = INT64_C (100000000) + i * 2500;
      sbud_first (&sbud[i % 4], &config, now);
      repeats += (unsigned)sbud_take (&sbud[i % 4], &config, 4, now);
    }
  EXPECT_GT (repeats, 400U);
  EXPECT_LE (repeats, 0.2 * 4000 + 54);
}

// Guards against a budget that stays used up, or is saved for a later burst.
TEST (Sbud, WindowSlides)
{
  const struct sbud_config config = { 0, 8, 10000000 };
  struct sbud sbud = {};
  unsigned taken = 0;
  for (int i = 0; i < 50; i++)
    taken += (unsigned)sbud_take (&sbud, &config, 1, 1000000000);
  EXPECT_EQ (taken, 6U);
  EXPECT_FALSE (sbud_take (&sbud, &config, 1, 1009000000));
  EXPECT_TRUE (sbud_take (&sbud, &config, 1, 1010600000));
}

struct rtab *
table (uint64_t version)
{
  static const char *const prefixes[] = { "/a/", "/a/b/", "/" };
  struct rtab *t = rtab_new (version);
  for (const char *prefix : prefixes)
    {
      struct rtab_route *route = rtab_route_add (t, 2);
      route->name = g_strdup (prefix);
      route->host = g_strdup ("h.example");
      route->prefix = g_strdup (prefix);
      route->targets[0].service = g_strdup ("x");
      route->targets[0].weight = 90;
      route->targets[1].service = g_strdup ("y");
      route->targets[1].weight = 10;
    }
  rtab_seal (t);
  return t;
}

const char *
found (const struct rtab *t, const char *host, const char *target)
{
  const struct rtab_route *route = rtab_find (t, span (host), span (target));
  return route != nullptr ? route->prefix : "";
}

// Guards against a route that is taken though a longer prefix begins the path.
TEST (Rtab, LongestPrefix)
{
  struct rtab *t = table (1);
  EXPECT_STREQ (found (t, "h.example", "/a/b/c"), "/a/b/");
  EXPECT_STREQ (found (t, "H.EXAMPLE:80", "/a/c?x=/a/b/"), "/a/");
  EXPECT_STREQ (found (t, "h.example", "/b"), "/");
  EXPECT_STREQ (found (t, "other.example", "/a/"), "");
  rtab_unref (t);
}

// Guards against a share of a split route that isn't its weight's.
TEST (Rtab, Weights)
{
  struct rtab *t = table (1);
  const struct rtab_route *route
      = rtab_find (t, span ("h.example"), span ("/"));
  int y = 0;
  for (uint64_t i = 0; i < 1000; i++)
    y += *rtab_pick (route, i) == 'y';
  EXPECT_EQ (y, 100);
  rtab_unref (t);
}

// Guards against a return to an older configuration within one lifetime.
TEST (Rtab, NeverOlder)
{
  struct rtab *held = nullptr;
  EXPECT_TRUE (rtab_adopt (&held, table (7)));
  EXPECT_FALSE (rtab_adopt (&held, table (5)));
  EXPECT_FALSE (rtab_adopt (&held, table (7)));
  EXPECT_EQ (held->version, 7U);
  EXPECT_TRUE (rtab_adopt (&held, table (12)));
  EXPECT_EQ (held->version, 12U);
  rtab_unref (held);
}

struct stgp_view
view (unsigned prefill, double reading, double generating)
{
  struct stgp_view v = {};
  v.engines = 10;
  v.prefill = prefill;
  v.prefill_now = prefill;
  v.decode_now = 10 - prefill;
  v.share = 0.7;
  v.slots = 32;
  v.reading = reading;
  v.generating = generating;
  return v;
}

// Guards against a first start that serves with the stages it found.
TEST (Stgp, SettingBeforeDemand)
{
  struct stgp_state state;
  enum memb_stage to;
  stgp_init (&state);
  struct stgp_view v = view (3, 0, 0);
  ASSERT_TRUE (stgp_next (&state, &v, &to));
  EXPECT_EQ (to, MEMB_STAGE_PREFILL);
  v.prefill = 7;
  EXPECT_FALSE (stgp_next (&state, &v, &to));
  v.prefill = 8;
  ASSERT_TRUE (stgp_next (&state, &v, &to));
  EXPECT_EQ (to, MEMB_STAGE_DECODE);
}

// Guards against engines that follow a mix turning every few seconds: each
// change takes one out for as long.
TEST (Stgp, TurningMixChangesNothing)
{
  struct stgp_state state;
  enum memb_stage to;
  stgp_init (&state);
  for (int i = 0; i < 600; i++)
    {
      int prompts = i / 14 % 2;
      struct stgp_view v = view (7, prompts ? 6 : 1, prompts ? 0.4 : 2.6);
      stgp_see (&state, &v, i * INT64_C (200000));
      EXPECT_FALSE (stgp_next (&state, &v, &to)) << i;
    }
}

// Guards against a share that stays when the mix has moved for good.
TEST (Stgp, FollowsTheDayWithinMinutes)
{
  struct stgp_state state;
  enum memb_stage to = MEMB_STAGE_ANY;
  int changed = 0;
  stgp_init (&state);
  for (int i = 0; i < 1500 && !changed; i++)
    {
      struct stgp_view v = view (7, 2, 4);
      stgp_see (&state, &v, i * INT64_C (200000));
      changed = stgp_next (&state, &v, &to);
    }
  EXPECT_TRUE (changed);
  EXPECT_EQ (to, MEMB_STAGE_DECODE);
}

// The engines of one stage all left: guards against changing the others one by
// one, for seconds each, while nothing is served.
TEST (Stgp, NoEngineLeftInAStage)
{
  struct stgp_state state;
  enum memb_stage to;
  stgp_init (&state);
  struct stgp_view v = view (10, 4, 0);
  stgp_see (&state, &v, 0);
  stgp_see (&state, &v, 1000000);
  for (v.changing = 0; v.changing < 3; v.changing++, v.prefill--)
    {
      ASSERT_TRUE (stgp_next (&state, &v, &to)) << v.changing;
      EXPECT_EQ (to, MEMB_STAGE_DECODE);
    }
}

// Guards against more engines out at once than the others can make up for.
TEST (Stgp, OneAtATimeUnderLoad)
{
  struct stgp_state state;
  enum memb_stage to;
  stgp_init (&state);
  struct stgp_view v = view (2, 8, 1);
  stgp_see (&state, &v, 0);
  stgp_see (&state, &v, 1000000);
  EXPECT_TRUE (stgp_next (&state, &v, &to));
  v.changing = 1;
  EXPECT_FALSE (stgp_next (&state, &v, &to));
}

// All decode engines were taken away: guards against leaving it so because the
// others refuse, which they do for want of a decode engine.  Seen as a service
// that answered nothing for 20 s.
TEST (Stgp, RefusingEnginesAreChanged)
{
  struct memb *memb = memb_new ();
  for (const char *id : { "a", "b", "c" })
    {
      struct memb_entry e = gw_test::entry (id, 1, MEMB_STAGE_PREFILL);
      memb_put (memb, &e, 1);
      for (int i = 0; i < 20; i++)
        memb_refused (memb_find (memb, id), 0);
    }
  EXPECT_FALSE (memb_usable (memb_at (memb, 0), 1));
  EXPECT_NE (stgp_pick (memb, MEMB_STAGE_DECODE), nullptr);
  EXPECT_EQ (stgp_pick (memb, MEMB_STAGE_PREFILL), nullptr);
  memb_find (memb, "a")->leaving = 1;
  memb_find (memb, "b")->failures = 1;
  EXPECT_EQ (stgp_pick (memb, MEMB_STAGE_DECODE), memb_find (memb, "c"));
  memb_find (memb, "c")->others_ordered = MEMB_STAGE_DECODE;
  EXPECT_EQ (stgp_pick (memb, MEMB_STAGE_DECODE), memb_find (memb, "b"));
  memb_free (memb);
}

}
