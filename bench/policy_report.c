#include "policy_model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int
by_goodput (const void *a, const void *b)
{
  const struct result *x = a;
  const struct result *y = b;

  return (x->goodput > y->goodput) - (x->goodput < y->goodput);
}

static int
by_double (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Returns the median of the member at OFFSET, a double, of the SEEDS results
   at R.  */
static double
median (const struct result *r, size_t seeds, size_t offset)
{
  double *values = g_new (double, seeds);
  double value;
  size_t i;

  for (i = 0; i < seeds; i++)
    values[i] = G_STRUCT_MEMBER (double, &r[i], offset);
  qsort (values, seeds, sizeof *values, by_double);
  value = values[seeds / 2];
  g_free (values);
  return value;
}

static void
print_row (const char *trace, const char *name, const struct result *results,
           size_t seeds)
{
  struct result *r = g_memdup2 (results, seeds * sizeof *r);
  double changes = 0;
  unsigned most = 0;
  unsigned per_runner = 0;
  size_t i;

#define MEDIAN(member)                                                        \
  (PERCENT * median (r, seeds, G_STRUCT_OFFSET (struct result, member)))

  for (i = 0; i < seeds; i++)
    {
      changes += r[i].changes;
      most = MAX (most, r[i].changes);
      per_runner = MAX (per_runner, r[i].per_runner);
    }
  qsort (r, seeds, sizeof *r, by_goodput);
  printf ("%-10s %-12s %5.1f %5.1f %6.1f %6.1f %5.1f %6.1f %7.1f %5.1f %5.1f "
          "%5.1f %7.1f %4u %6u\n",
          trace, name, MEDIAN (goodput), PERCENT * r[0].goodput,
          MEDIAN (worst_minute), MEDIAN (others), MEDIAN (burst),
          MEDIAN (cached), MEDIAN (refused), MEDIAN (late), MEDIAN (slow),
          MEDIAN (goodput) / MEDIAN (bound) * PERCENT, changes / (double)seeds,
          most, per_runner);
#undef MEDIAN
  g_free (r);
}

void
report_site (const struct site *site, const struct result *results,
             size_t seeds, const char *only)
{
  size_t k;
  size_t v;

  printf ("\n%s: %d runners, role_change_cost_s %d, load %d%% of the ideal\n",
          site->name, (int)site->runners, (int)site->role_change_cost_s,
          (int)site->load_permil * PERCENT / PERMIL);
  printf ("%-10s %-12s %5s %5s %6s %6s %5s %6s %7s %5s %5s %5s %7s %4s %6s\n",
          "trace", "row", "good", "worst", "minute", "others", "burst",
          "cached", "refused", "late", "slow", "bound", "changes", "most",
          "runner");
  for (k = 0; k < n_trace_kinds; k++)
    {
      const struct result *first = &results[k * n_variants * seeds];

      if (only && strcmp (only, trace_kinds[k].name) != 0)
        continue;
      for (v = 0; v < n_variants; v++)
        if (first[v * seeds].bound > 0)
          print_row (trace_kinds[k].name, variants[v].name, first + v * seeds,
                     seeds);
      printf ("%-10s %-12s %5.1f\n", trace_kinds[k].name, "clairvoyant",
              PERCENT
                  * median (first + (n_variants - 1) * seeds, seeds,
                            G_STRUCT_OFFSET (struct result, bound)));
    }
}

/* Returns the results of the row VARIANT of the trace KIND.  */
static const struct result *
row (const struct result *results, size_t seeds, const char *kind,
     const char *variant)
{
  size_t k = 0;
  size_t v = 0;

  while (strcmp (trace_kinds[k].name, kind) != 0)
    k++;
  while (strcmp (variants[v].name, variant) != 0)
    v++;
  return results + (k * n_variants + v) * seeds;
}

static double
percent (const struct result *r, size_t seeds, size_t offset)
{
  return PERCENT * median (r, seeds, offset);
}

static unsigned
most_changes (const struct result *r, size_t seeds, int per_runner)
{
  unsigned most = 0;
  size_t i;

  for (i = 0; i < seeds; i++)
    most = MAX (most, per_runner ? r[i].per_runner : r[i].changes);
  return most;
}

static double
mean_changes (const struct result *r, size_t seeds)
{
  double sum = 0;
  size_t i;

  for (i = 0; i < seeds; i++)
    sum += r[i].changes;
  return sum / (double)seeds;
}

static void
print_overload (const struct result *results, size_t seeds)
{
  static const char *const loads[] = { "steady", "load-85", "load-100" };
  size_t offset = G_STRUCT_OFFSET (struct result, burst);
  double capacity = 0;
  double burst
      = percent (row (results, seeds, "burst", "policy"), seeds, offset);
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (loads); i++)
    capacity
        = MAX (capacity, percent (row (results, seeds, loads[i], "policy"),
                                  seeds, offset));
  printf ("overload, from 90%% of the capacity: %.1f%% of the highest steady "
          "goodput, %.1f%% of the ideal\n",
          PERCENT * burst / capacity, burst);
}

void
report_targets (const struct site *site, const struct result *results,
                size_t seeds)
{
  static const char *const swings[] = { "swing", "day" };
  const struct result *policy = row (results, seeds, "swing", "policy");
  const struct result *other = row (results, seeds, "swing", "other-cost");
  size_t good = G_STRUCT_OFFSET (struct result, goodput);
  size_t minute = G_STRUCT_OFFSET (struct result, worst_minute);
  size_t i;

  printf ("\n%s, targets and measured:\n", site->name);
  for (i = 0; i < G_N_ELEMENTS (swings); i++)
    {
      const struct result *r = row (results, seeds, swings[i], "policy");

      printf ("%s, from 95%% of the clairvoyant bound: %.1f%%\n", swings[i],
              PERCENT * median (r, seeds, good)
                  / median (r, seeds, G_STRUCT_OFFSET (struct result, bound)));
    }
  printf ("worst minute of the swing, from 1.3 times the baseline: %.1f%%, "
          "baseline %.1f%%, least-own %.1f%%\n",
          percent (policy, seeds, minute),
          percent (row (results, seeds, "swing", "baseline"), seeds, minute),
          percent (row (results, seeds, "swing", "least-own"), seeds, minute));
  printf ("most role changes of a seed, none: steady %u, noisy %u\n",
          most_changes (row (results, seeds, "steady", "policy"), seeds, 0),
          most_changes (row (results, seeds, "noisy", "policy"), seeds, 0));
  printf ("most changes of one runner in two swings, up to 2: %u\n",
          most_changes (policy, seeds, 1));
  printf ("changes and goodput in the swing: %.1f, %.1f%%; with the other "
          "site's cost: %.1f, %.1f%%\n",
          mean_changes (policy, seeds), percent (policy, seeds, good),
          mean_changes (other, seeds), percent (other, seeds, good));
  print_overload (results, seeds);
}
