#ifndef STGP_H
#define STGP_H
/*
 * NAME
 *   stgp - share of the engines that read prompts apart
 *
 * DESCRIPTION
 *   Before any demand is known the share is a setting.  Later it follows the
 *   tokens asked for, slowly: a change takes an engine out for seconds, while
 *   the mix may turn within as many.  Pure; times are in microseconds.
 */
#include <stdint.h>

#include "memb.h"

struct stgp_view
{
  unsigned engines;  /* with a stage, usable */
  unsigned prefill;  /* that read prompts, or will once changed */
  unsigned changing;
  double share;          /* wanted before any demand */
  int first;             /* no engine was ever ordered */
  double prefill_tokens; /* asked for a second, of prompts read apart */
  double decode_tokens;
};

struct stgp_state
{
  int64_t wanted_us; /* since when a change is wanted, or -1 */
  enum memb_stage wanted;
  int64_t changed_us;
};

void stgp_init (struct stgp_state *state);

/* Returns 1 with the stage that one more engine is to get, or 0.  */
int stgp_next (struct stgp_state *state, const struct stgp_view *view,
               int64_t now, enum memb_stage *to);
#endif
