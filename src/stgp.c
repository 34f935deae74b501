#include "stgp.h"

#include <math.h>

/* Engines that may change at once: others serve meanwhile.  At the first start
   no one is served yet.  */
static const double changing_share = 0.2;
static const double demand_least = 1000; /* tokens/s; below is no traffic */

void
stgp_init (struct stgp_state *state)
{
  state->wanted_us = -1;
  state->wanted = MEMB_STAGE_ANY;
  state->changed_us = 0;
}

int
stgp_next (struct stgp_state *state, const struct stgp_view *view, int64_t now,
           enum memb_stage *to)
{
  unsigned target;

  (void)state;
  (void)now;
  if (view->engines < 2)
    return 0;
  target = (unsigned)lround (view->share * view->engines);
  if (target < 1)
    target = 1;
  if (target > view->engines - 1)
    target = view->engines - 1;
  if (target == view->prefill)
    return 0;
  if (view->prefill_tokens + view->decode_tokens > demand_least
      && view->changing + 1 > fmax (1, changing_share * view->engines))
    return 0;
  *to = view->prefill < target ? MEMB_STAGE_PREFILL : MEMB_STAGE_DECODE;
  return 1;
}
