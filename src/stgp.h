#ifndef STGP_H
#define STGP_H
/*
 * NAME
 *   stgp - share of the engines that read prompts apart
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

#include "memb.h"

struct stgp_view
{
  unsigned engines; /* with a stage, usable */
  unsigned prefill; /* that read prompts, or will once changed */
  unsigned changing;
  unsigned prefill_now; /* in their stage and not changing */
  unsigned decode_now;
  double share;      /* wanted before any demand, for 32 slots */
  double slots;      /* of an engine */
  double reading;    /* engines kept busy by the prompts asked for now */
  double generating; /* engines whose slots are taken or waited for */
};

struct stgp_state
{
  int64_t last_us;
  double reading; /* decaying averages */
  double generating;
  double seen_s; /* time with demand */
};

void stgp_init (struct stgp_state *state);

/* Adds what is seen now to the averages.  */
void stgp_see (struct stgp_state *state, const struct stgp_view *view,
               int64_t now);

/* Returns the number of engines that should read prompts.  */
double stgp_target (const struct stgp_state *state,
                    const struct stgp_view *view);

/* Returns 1 with the stage that one more engine is to get, or 0.  */
int stgp_next (const struct stgp_state *state, const struct stgp_view *view,
               enum memb_stage *to);
/* Returns the engine that is best changed to the stage TO, or null: one
   without failures and with few requests.  An engine that refuses requests is
   as good as another, since it may refuse for want of the other stage.  */
struct memb_runner *stgp_pick (const struct memb *memb, enum memb_stage to);
#endif
