#include "policy_sim.h"

void
roles_init (struct sim *sim, double cost_s)
{
  struct role_settings settings = role_settings_default ();
  int z;

  settings.role_change_cost_s = cost_s;
  for (z = 0; z < ZONES; z++)
    {
      role_stats_init (&sim->shards[z].stats);
      role_planner_init (&sim->shards[z].planner, &settings);
    }
}

static void
add_demand (struct sim *sim, int zone, int64_t now)
{
  struct shard *shard = &sim->shards[zone];
  double prompt = 0;
  double output = 0;
  int i;

  for (i = zone; i < sim->site->runners; i += ZONES)
    {
      prompt += (double)sim->delivered.prompt_done[i];
      output += (double)sim->delivered.output_done[i];
    }
  if (sim->variant->plan_requested)
    {
      int n = ((int)sim->site->runners - zone + ZONES - 1) / ZONES;
      double share = sim->variant->all_zones
                         ? 1
                         : (double)n / (double)sim->site->runners;

      prompt = sim->requested_prompt * share;
      output = sim->requested_output * share;
    }
  role_stats_add (&shard->stats, now, prompt - shard->prompt,
                  output - shard->output);
  shard->prompt = prompt;
  shard->output = output;
}

static void
plan_shard (struct sim *sim, int zone, int64_t now)
{
  const struct params *p = sim->params;
  struct role_runner list[RUNNERS_MAX] = { 0 };
  struct role_change change;
  int all_zones = sim->variant->all_zones;
  size_t n = 0;
  int i;

  /* The holders plan in turn, so that each sees the others' changes in the
     load reports before it orders one itself.  */
  if (all_zones && now / FLEET_REPORT_INTERVAL_US % ZONES != zone)
    return;

  for (i = all_zones ? 0 : zone; i < sim->site->runners;
       i += all_zones ? 1 : ZONES)
    {
      const struct runner *runner = &sim->runners[i];
      struct role_runner *r = &list[n++];

      r->handle = (uint32_t)i;
      r->role = runner->role;
      r->usable = runner_accepts (runner);
      r->fixed = runner->withdrawn || i % ZONES != zone;
      r->changing = i % ZONES == zone ? runner->target != runner->role
                                      : sim->delivered.reports[i].state
                                            == MSG_AGENT_DRAINING;
      /* The daemons estimate the rates from the prompts served, so cached
         blocks count as prefilled.  */
      r->prefill_rate = (double)SECOND_US / (double)p->prefill_us_per_token
                        * sim->prefill_tokens
                        / (sim->prefill_tokens - sim->cached_tokens);
      r->decode_rate
          = (double)SECOND_US * (double)p->capacity
            / (double)(p->step_us
                       + (p->capacity - 1) * p->step_us_per_request);
      r->load = MIN (1, (double)sim->delivered.reports[i].running
                            / (double)p->capacity);
    }
  if (!role_plan (&sim->shards[zone].planner, now, &sim->shards[zone].stats,
                  list, n, &change))
    return;
  sim->runners[change.handle].target = change.to;
  sim->runners[change.handle].draining = 1;
  sim->changes++;
  sim->changes_of[change.handle]++;
  sim->changes_at[MIN (now / (BUCKET_S * SECOND_US), BUCKETS - 1)]++;
}

void
roles_tick (struct sim *sim, int64_t now)
{
  int z;

  for (z = 0; z < ZONES; z++)
    {
      add_demand (sim, z, now);
      if (now < sim->trace.length_us)
        plan_shard (sim, z, now);
    }
}
