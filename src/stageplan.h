#ifndef STAGEPLAN_H
#define STAGEPLAN_H
/*
 * NAME
 *   stageplan - share of the engines that read prompts apart
 *
 * DESCRIPTION
 *   Engines are shared out so that both stages are used alike: in proportion
 *   to the engines that reading the prompts asked for would keep busy, and to
 *   those whose slots the generations asked for would fill.  Before any demand
 *   is known the share is a setting, which the demand outweighs within
 * minutes. A change takes an engine out for seconds, and many more until its
 * streams have ended, so a change must be worth an engine.  Pure; times are in
 * microseconds.
 */
#include <stdint.h>

#include "pool.h"

struct stageplan_view
{
  unsigned engines; /* with a stage, usable */
  unsigned prefill; /* that read prompts, or will once changed */
  unsigned changing;
  unsigned prefill_now; /* in their stage and not changing */
  unsigned decode_now;
  double share;         /* wanted before any demand, for 32 slots */
  double slots;         /* of an engine */
  double reading;       /* engines kept busy by the prompts asked for now */
  double decode_demand; /* engines whose slots are taken or waited for */
};

struct stageplan_state
{
  int64_t last_us;
  double reading; /* decaying averages */
  double decode_demand;
  double demand_s; /* time with demand */
};

void stageplan_init (struct stageplan_state *state);

/* Adds what is seen now to the averages.  */
void stageplan_update (struct stageplan_state *state,
                       const struct stageplan_view *view, int64_t now);

/* Returns the number of engines that should read prompts.  */
double stageplan_target (const struct stageplan_state *state,
                         const struct stageplan_view *view);

/* Returns 1 with the stage that one more engine is to get, or 0.  */
int stageplan_next (const struct stageplan_state *state,
                    const struct stageplan_view *view, enum pool_stage *to);
/* Returns the engine that is best changed to the stage TO, or null: one
   without failures and with few requests.  An engine that refuses requests is
   as good as another, since it may refuse for want of the other stage.  */
struct pool_runner *stageplan_pick (const struct runner_pool *runner_pool,
                                    enum pool_stage to);
#endif
