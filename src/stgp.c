#include "stgp.h"

#include <math.h>

/* Time constant of the averages.  A mix that turns within seconds isn't
   followed: its engines would come back too late.  */
static const double average_s = 120;
/* The setting counts like this much time of demand.  */
static const double prior_s = 60;
/* Engines that may change at once while others serve.  */
static const double changing_share = 0.1;
/* A change is made when the target is this far away, in engines.  */
static const double worth_a_change = 1;
/* Demand below this is no traffic: engines kept busy.  */
static const double demand_least = 0.05;
/* Slots of the engines that the setting is meant for.  */
static const double prior_slots = 32;
/* Measured on engines of 8 to 64 slots: the engines needed to generate grow
   only with the fourth root as the slots shrink.  */
static const double slots_power = 0.25;

void
stgp_init (struct stgp_state *state)
{
  state->last_us = -1;
  state->reading = 0;
  state->generating = 0;
  state->seen_s = 0;
}

void
stgp_see (struct stgp_state *state, const struct stgp_view *view, int64_t now)
{
  double elapsed_s
      = state->last_us < 0 ? 0 : (double)(now - state->last_us) / 1e6;
  double keep;

  state->last_us = now;
  if (view->reading + view->generating < demand_least)
    return;
  /* At first a plain mean, so that the start has no weight of its own.  */
  state->seen_s = fmin (state->seen_s + elapsed_s, average_s * 10);
  keep = state->seen_s < average_s
             ? 1 - fmin (1, elapsed_s / fmax (state->seen_s, 1e-3))
             : exp (-elapsed_s / average_s);
  state->reading = state->reading * keep + view->reading * (1 - keep);
  state->generating = state->generating * keep + view->generating * (1 - keep);
}

/* Returns the share to start with.  */
static double
prior (const struct stgp_view *view)
{
  double slots = view->slots > 0 ? view->slots : prior_slots;
  double generating
      = (1 - view->share) * pow (prior_slots / slots, slots_power);

  return view->share / (view->share + generating);
}

double
stgp_target (const struct stgp_state *state, const struct stgp_view *view)
{
  double share = prior (view);
  double sum = state->reading + state->generating;

  if (sum > 0)
    share = (share * prior_s + state->reading / sum * state->seen_s)
            / (prior_s + state->seen_s);
  return fmin (view->engines - 1.0, fmax (1, share * view->engines));
}

int
stgp_next (const struct stgp_state *state, const struct stgp_view *view,
           enum memb_stage *to)
{
  double off;

  if (view->engines < 2)
    return 0;
  off = stgp_target (state, view) - view->prefill;
  if (fabs (off) < 0.5)
    return 0;
  /* Without an engine in one stage nothing is served, as before any demand:
     the changes needn't wait for each other.  */
  if (state->seen_s > 0 && view->prefill_now > 0 && view->decode_now > 0
      && (fabs (off) < worth_a_change
          || view->changing + 1 > fmax (1, changing_share * view->engines)))
    return 0;
  *to = off > 0 ? MEMB_STAGE_PREFILL : MEMB_STAGE_DECODE;
  return 1;
}

struct memb_runner *
stgp_pick (const struct memb *memb, enum memb_stage to)
{
  struct memb_runner *best = NULL;
  size_t i;

  for (i = 0; i < memb_count (memb); i++)
    {
      struct memb_runner *one = memb_at (memb, i);
      if (one->entry.stage == MEMB_STAGE_ANY || one->entry.stage == to
          || !one->present || one->leaving || memb_changing (one))
        continue;
      if (best == NULL || one->failures < best->failures
          || (one->failures == best->failures && one->calls < best->calls))
        best = one;
    }
  return best;
}
