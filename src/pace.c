#include "pace.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* A single time or figure counts for at most this multiple of the expected
   one, or its inverse.  */
static const double ratio_max = 4;
/* Bound of a factor, which has two such parts.  */
static const double factor_max = 8;
/* Weight of the prior in a line, in measurements.  */
static const double prior_weight = 1;
/* Measurements from which on a line is known.  */
static const double line_known = 8;
/* Waits that are remembered.  */
static const double wait_memory = 100;
/* Weight of a share of 1.  */
static const double wait_prior_us = 100000;
static const double wait_share_min = 0.05;
/* Mean share of their limit that requests wait for below which queues count
   as passing, and above which as standing.  */
static const double pressure_passing = 0.3;
static const double pressure_standing = 0.6;
static const double leniency_max = 2;
/* Measurements that a line remembers.  */
static const double line_memory = 200;
/* Weight of an average runner in the mean ratio of one, in measurements.  */
static const double average_weight = 2;
/* A mean ratio this near to 1 isn't told from chance.  */
static const double ratio_chance = 1.25;
static const double ratio_half_life_us = 2e6;
/* Weight of past measurements, so that a few new ones are enough to change the
   mean.  */
static const double mean_weight_max = 8;
static const double usual_half_life_us = 10e6;
static const int64_t others_age_us = 5000000;
/* Weight of the usual time in the mean of what a runner tells.  */
static const double usual_weight = 0.1;
/* A figure above this multiple of the mean is a disturbance; it counts for
   less in the mean.  */
static const double disturbed = 1.5;
static const double usual_growth = 1.2;
/* Share of the old value in the moving averages.  */
static const double average_decay = 0.9;
/* Times of a disturbed runner over its usual ones, before any is seen.  */
static const double disturbance_prior = 2;
/* Latency above the lowest one that doesn't lower the limit.  */
static const double latency_tolerance = 2;
/* Time in which the lowest latency doubles, so that it is found anew after the
   runner has become slower.  */
static const double lowest_doubling_us = 20e6;
static const double limit_min = 1;
/* Share of the slots from which the limit begins to grow.  */
static const double limit_start = 0.25;

const struct pace_prior pace_prior_default[PACE_WORKS] = {
  [PACE_READ] = { 2700, 1 / 0.34, 10000 },
  [PACE_FIRST] = { 2150, 15, 8 },
  [PACE_EVENT] = { 650, 15, 8 },
  [PACE_CALL] = { 30000, 0, 0 },
};

static double
clamp_ratio (double ratio, double most)
{
  return CLAMP (ratio, 1 / most, most);
}

static double
aged_weight (const struct pace_mean *mean, double half_life_us, int64_t now)
{
  return mean->weight * exp2 (-(double)(now - mean->us) / half_life_us);
}

static void
mean_add (struct pace_mean *mean, double value, double half_life_us,
          int64_t now)
{
  double aged = aged_weight (mean, half_life_us, now);

  if (mean->weight > 0)
    mean->sum *= aged / mean->weight;
  mean->sum += value;
  mean->weight = aged + 1;
  mean->us = now;
  if (mean->weight > mean_weight_max)
    {
      mean->sum *= mean_weight_max / mean->weight;
      mean->weight = mean_weight_max;
    }
}

/* Returns the mean with a value of 1 that has the weight PRIOR.  */
static double
mean_value (const struct pace_mean *mean, double half_life_us, double prior,
            int64_t now)
{
  double aged = aged_weight (mean, half_life_us, now);

  if (mean->weight <= 0 || aged + prior < 1e-9)
    return 1;
  return (mean->sum * (aged / mean->weight) + prior) / (aged + prior);
}

/* Returns what the runner tells, as an average over the last while, or what
   other gateways know of it.  */
static double
usual_factor (const struct pace *pace, int64_t now)
{
  double others = pace->others > 0 && now - pace->others_us <= others_age_us
                      ? pace->others
                      : 1;
  double aged = aged_weight (&pace->usual, usual_half_life_us, now);

  if (pace->usual.weight <= 0)
    return others;
  return (pace->usual.sum * (aged / pace->usual.weight)
          + others * usual_weight)
         / (aged + usual_weight);
}

static void
line_add (struct pace_line *line, double x, double y, double weight)
{
  line->n += weight;
  line->x += weight * x;
  line->y += weight * y;
  line->xx += weight * x * x;
  line->xy += weight * x * y;
}

static void
line_age (struct pace_line *line, double keep)
{
  line->n *= keep;
  line->x *= keep;
  line->y *= keep;
  line->xx *= keep;
  line->xy *= keep;
}

void
pace_service_init (struct pace_service *service,
                   const struct pace_prior prior[PACE_WORKS])
{
  int i;

  memset (service, 0, sizeof *service);
  service->disturbance = disturbance_prior;
  for (i = 0; i < PACE_WORKS; i++)
    {
      struct pace_line none = { 0, 0, 0, 0, 0 };
      service->line[i] = none;
      line_add (&service->line[i], 0, prior[i].overhead_us, prior_weight / 2);
      line_add (&service->line[i], prior[i].size,
                prior[i].overhead_us + prior[i].size * prior[i].unit_us,
                prior_weight / 2);
    }
}

double
pace_service_us (const struct pace_service *service, enum pace_work work,
                 double size)
{
  const struct pace_line *line = &service->line[work];
  double spread = line->n * line->xx - line->x * line->x;
  double unit = 0;
  double overhead;

  if (spread > 1e-6 * line->n * line->n)
    unit = fmax ((line->n * line->xy - line->x * line->y) / spread, 0);
  overhead = (line->y - unit * line->x) / line->n;
  if (overhead < 0)
    {
      overhead = 0;
      unit = line->xy / line->xx;
    }
  return fmax (overhead + unit * size, 1);
}

void
pace_note_wait (struct pace_service *service, unsigned urgency,
                double expected_us, double actual_us)
{
  struct pace_waits *waits
      = &service->waits[MIN (urgency, PACE_URGENCIES - 1U)];

  if (expected_us <= 0)
    return;
  waits->expected_us
      = waits->expected_us * (1 - 1 / wait_memory) + expected_us;
  waits->actual_us = waits->actual_us * (1 - 1 / wait_memory)
                     + CLAMP (actual_us, 0.0, expected_us * ratio_max);
}

double
pace_wait_share (const struct pace_service *service, unsigned urgency)
{
  const struct pace_waits *waits
      = &service->waits[MIN (urgency, PACE_URGENCIES - 1U)];

  return CLAMP ((waits->actual_us + wait_prior_us)
                    / (waits->expected_us + wait_prior_us),
                wait_share_min, ratio_max);
}

void
pace_note_pressure (struct pace_service *service, double share)
{
  service->pressure = service->pressure * average_decay
                      + CLAMP (share, 0.0, 1.0) * (1 - average_decay);
}

double
pace_leniency (const struct pace_service *service)
{
  double standing = (service->pressure - pressure_passing)
                    / (pressure_standing - pressure_passing);

  return 1 + (leniency_max - 1) * (1 - CLAMP (standing, 0.0, 1.0));
}

void
pace_note_told (struct pace *pace, struct pace_service *service,
                unsigned hundredths, int64_t now)
{
  double usual;

  if (hundredths == 0)
    return;
  pace->told = clamp_ratio (hundredths / 100.0, ratio_max);
  pace->told_us = now;
  if (pace->usual.weight <= 0)
    {
      mean_add (&pace->usual, pace->told, usual_half_life_us, now);
      return;
    }
  usual = usual_factor (pace, now);
  /* Disturbances are short, so the mean is close to the undisturbed time.  */
  if (pace->told > usual * disturbed)
    service->disturbance = service->disturbance * average_decay
                           + pace->told / usual * (1 - average_decay);
  mean_add (&pace->usual, MIN (pace->told, usual * usual_growth),
            usual_half_life_us, now);
}

/* Returns what the runner has told, as far as it holds now.  */
static double
told_factor (const struct pace *pace, int64_t now)
{
  if (pace->told <= 0)
    return 1;
  if (now - pace->told_us <= PACE_TOLD_US)
    return pace->told;
  return usual_factor (pace, now);
}

/* Returns RATIO, or 1 when it may be by chance.  */
static double
significant (double ratio)
{
  return ratio > ratio_chance || ratio < 1 / ratio_chance ? ratio : 1;
}

double
pace_factor (const struct pace *pace, enum pace_work work, int64_t now)
{
  return clamp_ratio (
      told_factor (pace, now)
          * significant (mean_value (&pace->ratio[work], ratio_half_life_us,
                                     average_weight, now)),
      factor_max);
}

double
pace_steady (const struct pace *pace, int64_t now)
{
  /* The other kinds of work take long for other reasons too.  */
  static const enum pace_work works[] = { PACE_READ, PACE_EVENT, PACE_CALL };
  double sum = average_weight;
  double weight = average_weight;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (works); i++)
    {
      const struct pace_mean *ratio = &pace->ratio[works[i]];
      double aged = aged_weight (ratio, ratio_half_life_us, now);
      sum += aged * mean_value (ratio, ratio_half_life_us, 0, now);
      weight += aged;
    }
  return clamp_ratio (usual_factor (pace, now) * significant (sum / weight),
                      factor_max);
}

int
pace_service_is_known (const struct pace_service *service, enum pace_work work)
{
  return service->line[work].n > prior_weight + line_known;
}

void
pace_note_others (struct pace *pace, double factor, int64_t now)
{
  pace->others = clamp_ratio (factor, factor_max);
  pace->others_us = now;
}

int
pace_is_known_here (const struct pace *pace, int64_t now)
{
  return !pace_is_unknown (pace, now)
         || (pace->told_us != 0 && now - pace->told_us <= PACE_LOOK_AGAIN_US);
}

int
pace_is_known (const struct pace *pace, int64_t now)
{
  return pace_is_known_here (pace, now)
         || (pace->others > 0 && now - pace->others_us <= others_age_us);
}

int
pace_is_unknown (const struct pace *pace, int64_t now)
{
  return pace->measured_us == 0
         || now - pace->measured_us > PACE_LOOK_AGAIN_US;
}

void
pace_note (struct pace *pace, struct pace_service *service,
           enum pace_work work, double size, int64_t took_us, int64_t now)
{
  struct pace_line *line = &service->line[work];
  double told = told_factor (pace, now);
  double expected = pace_service_us (service, work, size);
  double ratio
      = clamp_ratio (fmax ((double)took_us, 1) / told / expected, ratio_max);

  line_age (line, 1 - 1 / line_memory);
  line_add (line, size, expected * ratio, 1);
  /* Against a prior, a ratio says more of the prior than of the runner.  */
  if (pace_service_is_known (service, work))
    mean_add (&pace->ratio[work], ratio, ratio_half_life_us, now);
  pace->measured_us = now;
}

void
pace_note_call (struct pace *pace, struct pace_service *service, double calls,
                double slots, int64_t took_us, int64_t now)
{
  struct pace_limit *limit = &pace->limit;
  double took = fmax ((double)took_us / told_factor (pace, now), 1);
  double gradient;

  pace_note (pace, service, PACE_CALL, 0, took_us, now);
  if (limit->calls <= 0)
    {
      limit->calls = fmax (fmax (calls, slots * limit_start), limit_min);
      limit->recent_us = limit->lowest_us = took;
      limit->us = now;
      return;
    }
  took = fmin (took, limit->recent_us * ratio_max);
  limit->recent_us
      = limit->recent_us * average_decay + took * (1 - average_decay);
  limit->lowest_us
      = fmin (limit->recent_us,
              limit->lowest_us
                  * exp2 ((double)(now - limit->us) / lowest_doubling_us));
  limit->us = now;
  gradient = fmin (latency_tolerance * limit->lowest_us / limit->recent_us, 1);
  /* Calls far below the limit say nothing of it.  */
  if (gradient >= 1 && calls < limit->calls / 2)
    return;
  limit->calls = limit->calls * average_decay
                 + (limit->calls * fmax (gradient, 0.5) + sqrt (limit->calls))
                       * (1 - average_decay);
  limit->calls = CLAMP (limit->calls, limit_min, fmax (slots, limit_min));
}

double
pace_calls (const struct pace *pace, double slots)
{
  return pace->limit.calls > 0 ? fmin (pace->limit.calls, slots) : slots;
}
