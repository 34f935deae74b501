#include "stageplan.h"

#include <math.h>

/* Time constant of the averages.  Changes of the demand within seconds are not
   followed: an engine needs longer than that to change its stage.  */
static const double averaging_time_s = 120;
/* The configured share has the weight of this much time of demand.  */
static const double configured_share_weight_s = 60;
/* Share of the engines that may change their stage at the same time.  */
static const double changing_share_max = 0.1;
/* Least distance from the target for a change, in engines.  */
static const double min_deviation_engines = 1;
/* Demand below this, in engines, counts as no traffic.  */
static const double demand_min_engines = 0.05;
/* Slots of an engine to which the configured share applies.  */
static const double reference_slots = 32;
/* On engines with 8 to 64 slots the number of decode engines needed grows with
   the fourth root of the inverse of their slots.  */
static const double slots_exponent = 0.25;
/* Ratio of the speeds of two engines that outweighs the requests at them.  */
static const double speed_difference = 1.3;

void
stageplan_init (struct stageplan_state *state)
{
  state->last_us = -1;
  state->prefill_demand = 0;
  state->decode_demand = 0;
  state->demand_s = 0;
}

void
stageplan_update (struct stageplan_state *state,
                  const struct stageplan_view *view, int64_t now)
{
  double elapsed_s
      = state->last_us < 0 ? 0 : (double)(now - state->last_us) / 1e6;
  double keep;

  state->last_us = now;
  if (view->prefill_demand + view->decode_demand < demand_min_engines)
    return;
  /* Until the time constant has passed this is the arithmetic mean, so that
     the initial zero has no weight.  */
  state->demand_s = fmin (state->demand_s + elapsed_s, averaging_time_s * 10);
  keep = state->demand_s < averaging_time_s
             ? 1 - fmin (1, elapsed_s / fmax (state->demand_s, 1e-3))
             : exp (-elapsed_s / averaging_time_s);
  state->prefill_demand
      = state->prefill_demand * keep + view->prefill_demand * (1 - keep);
  state->decode_demand
      = state->decode_demand * keep + view->decode_demand * (1 - keep);
}

/* Returns the configured share, adapted to the slots of the engines.  */
static double
initial_share (const struct stageplan_view *view)
{
  double slots = view->slots > 0 ? view->slots : reference_slots;
  double decode_demand
      = (1 - view->share) * pow (reference_slots / slots, slots_exponent);

  return view->share / (view->share + decode_demand);
}

double
stageplan_target (const struct stageplan_state *state,
                  const struct stageplan_view *view)
{
  double share = initial_share (view);
  double sum = state->prefill_demand + state->decode_demand;

  if (sum > 0)
    share = (share * configured_share_weight_s
             + state->prefill_demand / sum * state->demand_s)
            / (configured_share_weight_s + state->demand_s);
  return fmin (view->engines - 1.0, fmax (1, share * view->engines));
}

int
stageplan_next (const struct stageplan_state *state,
                const struct stageplan_view *view, enum pool_stage *to)
{
  double deviation;

  if (view->engines < 2)
    return 0;
  deviation = stageplan_target (state, view) - view->prefill;
  if (fabs (deviation) < 0.5)
    return 0;
  /* Before any demand, and while one stage has no usable engine and nothing
     can be served, the limits on distance and concurrent changes don't apply.
   */
  if (state->demand_s > 0 && view->prefill_now > 0 && view->decode_now > 0
      && (fabs (deviation) < min_deviation_engines
          || view->changing + 1
                 > fmax (1, changing_share_max * view->engines)))
    return 0;
  *to = deviation > 0 ? POOL_STAGE_PREFILL : POOL_STAGE_DECODE;
  return 1;
}

/* Returns nonzero when ENGINE is the better one for the stage TO.  */
static int
is_better (const struct pool_runner *engine, const struct pool_runner *best,
           enum pool_stage to, int learns, int64_t now)
{
  double slower = learns ? pace_steady (&engine->pace, now)
                               / pace_steady (&best->pace, now)
                         : 1;

  if (engine->failures != best->failures)
    return engine->failures < best->failures;
  if (to == POOL_STAGE_DECODE)
    slower = 1 / slower;
  if (slower > speed_difference || slower < 1 / speed_difference)
    return slower > 1;
  return engine->calls < best->calls;
}

int
stageplan_may_change (const struct pool_runner *engine, enum pool_stage to,
                      int64_t now)
{
  return engine->entry.stage != POOL_STAGE_ANY && engine->entry.stage != to
         && engine->present && !engine->leaving
         && !pool_is_resting (engine, now) && !pool_is_changing_stage (engine);
}

struct pool_runner *
stageplan_pick (const struct runner_pool *runner_pool, enum pool_stage to,
                int learns, int64_t now)
{
  struct pool_runner *best = NULL;
  size_t i;

  for (i = 0; i < pool_count (runner_pool); i++)
    {
      struct pool_runner *engine = pool_at (runner_pool, i);
      if (!stageplan_may_change (engine, to, now))
        continue;
      if (best == NULL || is_better (engine, best, to, learns, now))
        best = engine;
    }
  return best;
}
