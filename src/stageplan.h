#ifndef STAGEPLAN_H
#define STAGEPLAN_H
/*
 * NAME
 *   stageplan - number of prefill and decode engines
 *
 * DESCRIPTION
 *   Engines are divided in proportion to the demand of the two stages, so that
 *   both have the same utilization.  The prefill demand is the number of
 *   engines that reading the requested prompts keeps busy, the decode demand
 *   the number of engines whose slots the requests fill.  Until the demand is
 *   known the share is a setting, which the demand outweighs within minutes.
 *   A change of stage takes an engine out of service for seconds, and for much
 *   longer until its streams have ended, so an engine is changed only when the
 *   target is at least one engine away.  No input or output; times are in
 *   microseconds.
 */
#include <stdint.h>

#include "pool.h"

struct stageplan_view
{
  unsigned engines; /* with a stage, registered and not draining */
  /* In the prefill stage, or changing to it; with learnt speeds their capacity
     in engines of the average speed.  */
  double prefill;
  unsigned changing;
  unsigned prefill_now; /* usable and not changing */
  unsigned decode_now;
  double share;          /* configured prefill share, for 32 slots */
  double slots;          /* of an engine, on average */
  double prefill_demand; /* current prefill demand, in engines */
  double decode_demand;  /* the same for decode: engines with slots used or
                            waited for */
};

struct stageplan_state
{
  int64_t last_us;
  double prefill_demand; /* exponentially weighted moving averages */
  double decode_demand;
  double demand_s; /* time with demand, in seconds */
};

void stageplan_init (struct stageplan_state *state);

/* Adds the current demand to the averages.  */
void stageplan_update (struct stageplan_state *state,
                       const struct stageplan_view *view, int64_t now);

/* Returns the number of prefill engines wanted.  */
double stageplan_target (const struct stageplan_state *state,
                         const struct stageplan_view *view);

/* Returns 1 with the stage that one more engine should change to, or 0.  */
int stageplan_next (const struct stageplan_state *state,
                    const struct stageplan_view *view, enum pool_stage *to);
/* Returns nonzero when ENGINE may change to the stage TO now.  */
int stageplan_may_change (const struct pool_runner *engine, enum pool_stage to,
                          int64_t now);
/* Returns the engine to change to the stage TO, or null: the one with the
   fewest failures, then the fewest requests.  With LEARNS slow engines are
   preferred for prefill and fast ones for decode, which streams bear worse, if
   their speeds differ clearly.  Refusals don't count, since an
   engine may refuse because the other stage has no engine; but one that has
   asked for rest gets no order.  */
struct pool_runner *stageplan_pick (const struct runner_pool *runner_pool,
                                    enum pool_stage to, int learns,
                                    int64_t now);
#endif
