/* Simulates the routing, admission, retry and role policies in virtual time
   and prints their goodput and role changes beside baselines and a clairvoyant
   bound.  The tables depend only on BENCH_SEED and bench/policy.json;
   BENCH_TRACE selects one trace.  */

#include "policy_model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SEED_COUNT = 10,
  SVG_TRACE = 4 /* index of "swing" */
};

struct work
{
  const struct setup *setup;
  struct result *results; /* by site, trace, variant and seed */
  uint64_t seed;
  const char *only; /* trace, or null for all */
};

static void
run_one (gpointer number, gpointer ctx)
{
  const struct work *work = ctx;
  size_t at = GPOINTER_TO_SIZE (number) - 1;
  size_t variant = at / SEED_COUNT % n_variants;
  size_t kind = at / SEED_COUNT / n_variants % n_trace_kinds;
  size_t site = at / SEED_COUNT / n_variants / n_trace_kinds;

  if (work->only && strcmp (work->only, trace_kinds[kind].name) != 0)
    return;
  /* Traces with a load of their own only give the capacity of the policy.  */
  if (trace_kinds[kind].load_permil && variant != n_variants - 1)
    return;
  sim_run (work->setup, &work->setup->sites[site], &trace_kinds[kind],
           &variants[variant], work->seed + at % SEED_COUNT,
           &work->results[at]);
}

int
main (void)
{
  const char *text = getenv ("BENCH_SEED");
  const char *build = getenv ("BUILD");
  size_t per_site = n_trace_kinds * n_variants * SEED_COUNT;
  const struct result *swing;
  char *svg
      = g_build_filename (build ? build : "build", "policy-swing.svg", NULL);
  struct setup setup;
  struct work work = { &setup, NULL, text ? strtoull (text, NULL, 10) : 1,
                       getenv ("BENCH_TRACE") };
  GThreadPool *pool;
  size_t i;
  int status;

  if (setup_read ("bench/policy.json", &setup) < 0)
    return 1;
  work.results = g_new0 (struct result, SITES * per_site);
  pool = g_thread_pool_new (run_one, &work, (int)g_get_num_processors (), 1,
                            NULL);
  for (i = 0; i < SITES * per_site; i++)
    g_thread_pool_push (pool, GSIZE_TO_POINTER (i + 1), NULL);
  g_thread_pool_free (pool, 0, 1);
  printf ("%d seeds from %llu; all but changes in percent; good: median seed, "
          "worst: worst seed,\nminute: worst minute, others: goodput without "
          "customer 0, burst: good requests between\n%d and %d s over the "
          "ideal capacity, bound: goodput over the clairvoyant bound\n",
          SEED_COUNT, (unsigned long long)work.seed, BURST_FROM_S,
          BURST_UNTIL_S);
  for (i = 0; i < SITES; i++)
    {
      report_site (&setup.sites[i], work.results + i * per_site, SEED_COUNT,
                   work.only);
      if (!work.only)
        report_targets (&setup.sites[i], work.results + i * per_site,
                        SEED_COUNT);
    }
  swing = work.results + SVG_TRACE * n_variants * SEED_COUNT;
  status = report_svg (svg, swing, swing + (n_variants - 1) * SEED_COUNT);
  g_free (work.results);
  g_free (svg);
  return status < 0;
}
