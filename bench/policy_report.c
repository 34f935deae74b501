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

/* Returns the median of the double at OFFSET of the SEEDS results at R.  */
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
          MEDIAN (worst), MEDIAN (others), MEDIAN (burst), MEDIAN (cached),
          MEDIAN (refused), MEDIAN (late), MEDIAN (slow),
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
        print_row (trace_kinds[k].name, variants[v].name, first + v * seeds,
                   seeds);
      printf (
          "%-10s %-12s %5.1f\n", trace_kinds[k].name, "clairvoyant",
          PERCENT
              * median (first, seeds, G_STRUCT_OFFSET (struct result, bound)));
    }
}
