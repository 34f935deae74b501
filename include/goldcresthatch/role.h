#ifndef GOLDCRESTHATCH_ROLE_H
#define GOLDCRESTHATCH_ROLE_H

/*
 * NAME
 *   role - planning of engine roles from the demand for prefill and decode
 *
 * DESCRIPTION
 *   The holder of a shard's authority adds the demand to struct role_stats and
 *   calls role_plan() for the runners of one model in that shard.  A call
 *   yields at most one change, and none while a change is in progress.
 *
 *   The gain is the work that the runners could serve in addition over the
 *   horizon.  The gain of a change must exceed its cost times 1 + hysteresis,
 *   in the two shorter windows of the demand and throughout hold_s, so that
 *   neither a burst nor a delayed report causes a change.  In the longest
 *   window a change must not lose more than its cost.
 *
 * UNITS
 *   Times are microseconds of a monotonic clock.  Settings with the suffix _s
 *   are seconds.  Gains and costs are work, in seconds of one runner.
 */

#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/engine.h"

enum
{
  ROLE_WINDOWS = 3 /* averaging windows, shortest first */
};

struct role_demand
{
  double prefill; /* tokens/s */
  double decode;  /* tokens/s */
};

/* Exponentially weighted moving averages with the time constants 10 s, 30 s
   and 120 s.  */
struct role_stats
{
  int64_t start_us; /* -1 before the first sample */
  int64_t last_us;
  struct role_demand sum[ROLE_WINDOWS];
};

struct role_settings
{
  double role_change_cost_s; /* cost of a change of an idle runner */
  double horizon_s;          /* time over which a change earns its gain */
  double hysteresis;      /* fraction by which a gain must exceed the cost */
  double hold_s;          /* time for which a gain must persist */
  double settle_s;        /* least time between two changes */
  double both_efficiency; /* fraction of its rates that a runner with role
                             both reaches, as prefill and decode in one
                             batch slow each other */
  double target_use;      /* fraction of the capacity that is planned for */
};

struct role_runner
{
  uint32_t handle;
  enum engine_role role;
  int usable;           /* up, and takes new work */
  int fixed;            /* its role may not be changed */
  int changing;         /* a role order is in progress */
  double prefill_rate;  /* tokens/s if it did nothing else */
  double decode_rate;   /* tokens/s if it did nothing else */
  double load;          /* fraction of its capacity in use, 0 to 1 */
  double cache_value_s; /* work that its prefix cache is expected to save */
};

struct role_change
{
  uint32_t handle;
  enum engine_role from;
  enum engine_role to;
  double gain_s;
  double cost_s;
};

struct role_planner
{
  struct role_settings settings;
  int64_t last_us;            /* time of the last change returned, or -1 */
  int64_t candidate_since_us; /* since when a change to candidate_role has been
                        worth its cost, or -1 */
  enum engine_role candidate_role; /* new role of the best change */
};

/* Returns the default settings.  */
struct role_settings role_settings_default (void);

/* Checks the range of each of SETTINGS.  Returns 0, or -1 with
   ERR_INVALID.  */
int role_settings_check (const struct role_settings *settings,
                         struct err *err);

void role_stats_init (struct role_stats *stats);

/* Adds the tokens requested since the previous call.  The first call only sets
   the start time.  */
void role_stats_add (struct role_stats *stats, int64_t now_us,
                     double prefill_tokens, double decode_tokens);

/* Returns the demand in WINDOW, below ROLE_WINDOWS, at the last sample; 0
   before the second one.  */
struct role_demand role_stats_rate (const struct role_stats *stats,
                                    unsigned window);

void role_planner_init (struct role_planner *planner,
                        const struct role_settings *settings);

/* Returns 1 and fills in CHANGE when a change is worth its cost, else 0.  */
int role_plan (struct role_planner *planner, int64_t now_us,
               const struct role_stats *stats,
               const struct role_runner *runners, size_t count,
               struct role_change *change);

#endif
