#include "goldcresthatch/role.h"

#include <math.h>
#include <string.h>

enum
{
  LONGEST_WINDOW = ROLE_WINDOWS - 1
};

static const double window_s[ROLE_WINDOWS] = { 10, 30, 120 };

static const double us_per_s = 1e6;

/* Cost factor for a runner with a dedicated role.  Changing a runner with role
   both is cheaper, since it goes on serving one of the phases.  */
static const double dedicated_cost_factor = 1.25;

/* Rates of the usable runners, in tokens/s, by role.  */
struct capacity
{
  double prefill[ENGINE_ROLE_MAX];
  double decode[ENGINE_ROLE_MAX];
  unsigned count[ENGINE_ROLE_MAX];
  unsigned runners;
};

struct role_settings
role_settings_default (void)
{
  /* both_efficiency and target_use are estimates.  With a hold_s of 6 or a
     hysteresis of 0.25, the noisy trace of bench_policy changes roles.  */
  struct role_settings settings = {
    .role_change_cost_s = 10,
    .horizon_s = 120,
    .hysteresis = 1,
    .hold_s = 15,
    .settle_s = 20,
    .both_efficiency = 0.85,
    .target_use = 0.85,
  };

  return settings;
}

static int
in_range (double value, double low, double high)
{
  return isfinite (value) && value >= low && value <= high;
}

int
role_settings_check (const struct role_settings *s, struct err *err)
{
  static const double day_s = 86400;
  const struct
  {
    const char *name;
    double value;
    double low;
    double high;
  } rules[] = {
    { "role_change_cost_s", s->role_change_cost_s, 0, day_s },
    { "horizon_s", s->horizon_s, 1, day_s },
    { "hysteresis", s->hysteresis, 0, 100 },
    { "hold_s", s->hold_s, 0, day_s },
    { "settle_s", s->settle_s, 0, day_s },
    { "both_efficiency", s->both_efficiency, 0.01, 1 },
    { "target_use", s->target_use, 0.01, 1 },
  };
  size_t i;

  for (i = 0; i < sizeof rules / sizeof rules[0]; i++)
    if (!in_range (rules[i].value, rules[i].low, rules[i].high))
      return err_set (err, ERR_INVALID, "role-settings", NULL,
                      "%s must be between %g and %g", rules[i].name,
                      rules[i].low, rules[i].high);
  return 0;
}

void
role_stats_init (struct role_stats *stats)
{
  memset (stats, 0, sizeof *stats);
  stats->start_us = -1;
}

void
role_stats_add (struct role_stats *stats, int64_t now_us,
                double prefill_tokens, double decode_tokens)
{
  double elapsed_s;
  double decay;
  int i;

  if (!in_range (prefill_tokens, 0, HUGE_VAL)
      || !in_range (decode_tokens, 0, HUGE_VAL))
    return;
  /* The first sample covers an unknown period and only sets the start.  */
  if (stats->start_us < 0)
    {
      stats->start_us = now_us;
      stats->last_us = now_us;
      return;
    }
  elapsed_s = now_us > stats->last_us
                  ? (double)(now_us - stats->last_us) / us_per_s
                  : 0;
  for (i = 0; i < ROLE_WINDOWS; i++)
    {
      decay = exp (-elapsed_s / window_s[i]);
      stats->sum[i].prefill = stats->sum[i].prefill * decay + prefill_tokens;
      stats->sum[i].decode = stats->sum[i].decode * decay + decode_tokens;
    }
  if (now_us > stats->last_us)
    stats->last_us = now_us;
}

struct role_demand
role_stats_rate (const struct role_stats *stats, unsigned window)
{
  struct role_demand rate = { 0, 0 };
  double age_s;
  double span_s;

  if (stats->start_us < 0 || stats->last_us <= stats->start_us)
    return rate;
  /* The weight of the time observed so far: without this correction a new
     average would look like a low demand.  */
  age_s = (double)(stats->last_us - stats->start_us) / us_per_s;
  span_s = window_s[window] * (1 - exp (-age_s / window_s[window]));
  rate.prefill = stats->sum[window].prefill / span_s;
  rate.decode = stats->sum[window].decode / span_s;
  return rate;
}

void
role_planner_init (struct role_planner *planner,
                   const struct role_settings *settings)
{
  memset (planner, 0, sizeof *planner);
  planner->settings = *settings;
  planner->last_us = -1;
  planner->candidate_since_us = -1;
}

static int
is_counted (const struct role_runner *runner)
{
  return runner->usable && runner->role < ENGINE_ROLE_MAX
         && in_range (runner->prefill_rate, 1e-9, HUGE_VAL)
         && in_range (runner->decode_rate, 1e-9, HUGE_VAL);
}

/* Adds RUNNER with the role ROLE to CAP; SIGN -1 subtracts it.  */
static void
count_runner (struct capacity *cap, const struct role_runner *runner,
              enum engine_role role, int sign)
{
  cap->prefill[role] += sign * runner->prefill_rate;
  cap->decode[role] += sign * runner->decode_rate;
  cap->count[role] += (unsigned)sign;
  cap->runners += (unsigned)sign;
}

/* Returns the largest multiple of DEMAND that CAP can serve, with the time of
   the runners with role both divided optimally between the phases.  */
static double
served_multiple (const struct capacity *cap, const struct role_demand *demand,
                 double both_efficiency)
{
  double p = cap->prefill[ENGINE_ROLE_PREFILL];
  double d = cap->decode[ENGINE_ROLE_DECODE];
  double bp = cap->prefill[ENGINE_ROLE_BOTH] * both_efficiency;
  double bd = cap->decode[ENGINE_ROLE_BOTH] * both_efficiency;
  double share = 0;

  if (demand->prefill <= 0 && demand->decode <= 0)
    return HUGE_VAL;
  if (demand->prefill <= 0)
    return (d + bd) / demand->decode;
  if (demand->decode <= 0)
    return (p + bp) / demand->prefill;
  if (bp > 0 && bd > 0)
    share = ((d + bd) / demand->decode - p / demand->prefill)
            / (bp / demand->prefill + bd / demand->decode);
  share = fmin (1, fmax (0, share));
  return fmin ((p + share * bp) / demand->prefill,
               (d + (1 - share) * bd) / demand->decode);
}

/* Returns the number of average runners that DEMAND keeps busy.  */
static double
busy_runners (const struct capacity *cap, const struct role_demand *demand)
{
  double prefill = 0;
  double decode = 0;
  int i;

  for (i = 0; i < ENGINE_ROLE_MAX; i++)
    {
      prefill += cap->prefill[i];
      decode += cap->decode[i];
    }
  return demand->prefill * cap->runners / prefill
         + demand->decode * cap->runners / decode;
}

/* Returns the additional work served over the horizon, in runner seconds, when
   BEFORE becomes AFTER.  */
static double
gain (const struct role_settings *s, const struct capacity *before,
      const struct capacity *after, const struct role_demand *demand)
{
  double multiple_before
      = served_multiple (before, demand, s->both_efficiency);
  double multiple_after = served_multiple (after, demand, s->both_efficiency);

  return busy_runners (before, demand)
         * (fmin (1, multiple_after * s->target_use)
            - fmin (1, multiple_before * s->target_use))
         * s->horizon_s;
}

/* Returns nonzero when both phases still have a runner without one of
   ROLE.  */
static int
leaves_both_phases (const struct capacity *cap, enum engine_role role)
{
  unsigned both = cap->count[ENGINE_ROLE_BOTH] - (role == ENGINE_ROLE_BOTH);
  unsigned prefill
      = cap->count[ENGINE_ROLE_PREFILL] - (role == ENGINE_ROLE_PREFILL);
  unsigned decode
      = cap->count[ENGINE_ROLE_DECODE] - (role == ENGINE_ROLE_DECODE);

  return prefill + both > 0 && decode + both > 0;
}

/* Returns the cost of a change of RUNNER, in runner seconds.  */
static double
change_cost (const struct role_settings *s, const struct role_runner *runner)
{
  double load = in_range (runner->load, 0, 1) ? runner->load : 1;
  double cache = in_range (runner->cache_value_s, 0, HUGE_VAL)
                     ? runner->cache_value_s
                     : 0;
  double change = s->role_change_cost_s * (1 + load);

  if (runner->role != ENGINE_ROLE_BOTH)
    change *= dedicated_cost_factor;
  return change + cache;
}

/* Returns 1 and fills in OUT when changing RUNNER to the role TO is worth its
   cost, else 0.  */
static int
evaluate_change (const struct role_settings *s, const struct capacity *cap,
                 const struct role_stats *stats,
                 const struct role_runner *runner, enum engine_role to,
                 struct role_change *out)
{
  struct capacity after = *cap;
  struct role_demand demand;
  double least_gain_s = HUGE_VAL;
  double cost_s = change_cost (s, runner);
  unsigned i;

  count_runner (&after, runner, runner->role, -1);
  count_runner (&after, runner, to, 1);
  for (i = 0; i < LONGEST_WINDOW; i++)
    {
      demand = role_stats_rate (stats, i);
      least_gain_s = fmin (least_gain_s, gain (s, cap, &after, &demand));
    }
  demand = role_stats_rate (stats, LONGEST_WINDOW);
  if (!(least_gain_s > cost_s * (1 + s->hysteresis))
      || !(gain (s, cap, &after, &demand) >= -cost_s))
    return 0;
  out->handle = runner->handle;
  out->from = runner->role;
  out->to = to;
  out->gain_s = least_gain_s;
  out->cost_s = cost_s;
  return 1;
}

/* Finds the change with the highest gain minus cost.  Returns 0 when no change
   is worth its cost.  */
static int
best_change (const struct role_settings *s, const struct capacity *cap,
             const struct role_stats *stats, const struct role_runner *runners,
             size_t count, struct role_change *best)
{
  struct role_change change;
  int found = 0;
  size_t i;
  int to;

  for (i = 0; i < count; i++)
    {
      if (!is_counted (&runners[i]) || runners[i].fixed
          || !leaves_both_phases (cap, runners[i].role))
        continue;
      for (to = 0; to < ENGINE_ROLE_MAX; to++)
        if (to != (int)runners[i].role
            && evaluate_change (s, cap, stats, &runners[i],
                                (enum engine_role)to, &change)
            && (!found
                || change.gain_s - change.cost_s
                       > best->gain_s - best->cost_s))
          {
            *best = change;
            found = 1;
          }
    }
  return found;
}

int
role_plan (struct role_planner *planner, int64_t now_us,
           const struct role_stats *stats, const struct role_runner *runners,
           size_t count, struct role_change *change)
{
  const struct role_settings *s = &planner->settings;
  struct capacity cap = { 0 };
  size_t i;

  for (i = 0; i < count; i++)
    {
      if (runners[i].changing)
        return 0;
      if (is_counted (&runners[i]))
        count_runner (&cap, &runners[i], runners[i].role, 1);
    }
  if (planner->last_us >= 0
      && (double)(now_us - planner->last_us) < s->settle_s * us_per_s)
    return 0;
  if (cap.runners == 0
      || !best_change (s, &cap, stats, runners, count, change))
    {
      planner->candidate_since_us = -1;
      return 0;
    }
  if (planner->candidate_since_us < 0 || planner->candidate_role != change->to)
    {
      planner->candidate_since_us = now_us;
      planner->candidate_role = change->to;
    }
  if ((double)(now_us - planner->candidate_since_us) < s->hold_s * us_per_s)
    return 0;
  planner->last_us = now_us;
  planner->candidate_since_us = -1;
  return 1;
}
