#include <gtest/gtest.h>

extern "C"
{
#include "entry_control.h"
}

namespace
{

// One shard with four engines of one model, which are all full or all nearly
// idle.
struct control_site
{
  struct entry_control control = {};
  struct control_shard shard = {};
  struct control_runner runners[4] = {};
  gint64 now_us = 1000 * G_USEC_PER_SEC;

  control_site ()
  {
    control.runners = g_hash_table_new (g_str_hash, g_str_equal);
    shard.plans = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         control_plan_free);
    g_strlcpy (shard.zone, "zone-1", sizeof shard.zone);
    for (int i = 0; i < 4; i++)
      {
        struct control_runner *runner = &runners[i];

        snprintf (runner->name, sizeof runner->name, "vm%d", i);
        g_strlcpy (runner->zone, "zone-1", sizeof runner->zone);
        g_strlcpy (runner->service, "chat", sizeof runner->service);
        g_strlcpy (runner->actual.model, "chat", sizeof runner->actual.model);
        runner->actual_known = 1;
        runner->endpoint_up = 1;
        runner->state = MSG_AGENT_SERVING;
        runner->capacity = 8;
        g_hash_table_insert (control.runners, runner->name, runner);
      }
  }
  ~control_site ()
  {
    g_hash_table_destroy (control.runners);
    g_hash_table_destroy (shard.plans);
  }
  // Serves for SECONDS with SHARE of each engine's time in prefill.  An engine
  // has a rate of 8,000 prompt tokens/s in prefill and 400 output tokens/s in
  // decode.  Returns the number of runners with a planned role.
  int
  serve (int seconds, double share, bool full)
  {
    for (; seconds > 0; seconds--)
      {
        now_us += G_USEC_PER_SEC;
        for (auto &runner : runners)
          {
            runner.reported_us = now_us;
            runner.running = full ? 8 : 1;
            runner.prompt_done += (uint64_t)(8000 * share);
            runner.output_done += (uint64_t)(400 * (1 - share));
          }
        control_plan_roles (&control, &shard, 1, now_us);
      }
    return planned ();
  }
  int
  planned () const
  {
    int n = 0;

    for (const auto &runner : runners)
      n += runner.role_is_planned != 0;
    return n;
  }
};

} // namespace

// Guards against roles planned from rates that are not known: engines that are
// not full do not show their maximum rates, and samples with the same ratio of
// prefill to decode do not determine both.
TEST (Control, PlansNoRoleWithoutMeasuredRates)
{
  control_site idle;
  control_site one_mix;

  EXPECT_EQ (idle.serve (100, 0.2, false) + idle.serve (100, 0.8, false), 0);
  EXPECT_EQ (one_mix.serve (300, 0.5, true), 0);
}

// Guards against a holder that plans no role, or that plans a second one
// before the runner has reached the first.
TEST (Control, PlansOneRoleAtATime)
{
  control_site site;

  site.serve (100, 0.2, true);
  EXPECT_EQ (site.serve (200, 0.8, true), 1);
}
