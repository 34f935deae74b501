/*
 * Prints the time and the memory of a routing decision by fleet size, beside
 * route_least_outstanding.  All threads read the same tables, which do not
 * change during the measurement.
 */

#include <glib.h>
#include <malloc.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "goldcresthatch/fleet.h"
#include "goldcresthatch/route.h"

enum
{
  ROUNDS = 200000, /* decisions of one thread */
  LEAST_OUTSTANDING_ROUNDS
  = 20000, /* fewer, since their cost grows with the fleet */
  THREADS = 10,
  PROMPTS = 512,        /* distinct prompts */
  PROMPT_BLOCKS = 8,    /* prefix blocks of a prompt */
  CACHE_BLOCKS = 65536, /* prefix blocks that the router keeps track of */
  ZONES = 13,
  NAME_SIZE = 32,
  NS_PER_SECOND = 1000000000
};

static struct msg_str
str_of (const char *text)
{
  struct msg_str str = { text, strlen (text) };

  return str;
}

struct setup
{
  struct fleet *fleet;
  struct route *route;
  uint64_t (*prefixes)[PROMPT_BLOCKS];
};

struct job
{
  const struct setup *setup;
  uint64_t seed;
  int rounds;
  int baseline; /* uses route_least_outstanding */
  uint64_t sum; /* keeps the decisions from being optimised away */
  double ns;
};

static uint64_t
next_random (uint64_t *state)
{
  *state = *state * UINT64_C (6364136223846793005) + 1442695040888963407U;
  return *state >> 16;
}

static double
now_ns (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)ts.tv_sec * NS_PER_SECOND + (double)ts.tv_nsec;
}

static size_t
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static void
fill_fleet (struct fleet *fleet, int n, uint64_t *random)
{
  struct fleet_vm *vms = g_new (struct fleet_vm, n);
  char (*names)[NAME_SIZE] = g_malloc ((gsize)n * NAME_SIZE);
  char zones[ZONES][NAME_SIZE];
  struct err err = { 0 };
  int i;

  for (i = 0; i < ZONES; i++)
    g_snprintf (zones[i], NAME_SIZE, "zone-%d", i);
  for (i = 0; i < n; i++)
    {
      g_snprintf (names[i], NAME_SIZE, "runner-%d", i);
      vms[i] = (struct fleet_vm){ names[i], "127.0.0.1:7000", zones[i % ZONES],
                                  FLEET_VM_LIVE };
    }
  if (fleet_list_update (fleet, vms, (size_t)n, &err) < 0)
    {
      fprintf (stderr, "bench_route: %s: %s\n", err.step, err.text);
      exit (1);
    }
  for (i = 0; i < n; i++)
    {
      struct msg_report report = { .agent = str_of (names[i]),
                                   .service = str_of ("model"),
                                   .incarnation = 1,
                                   .endpoint_up = 1,
                                   .capacity = 32 };

      report.running = next_random (random) % 32;
      report.prompt_tokens = next_random (random) % 8000;
      fleet_report (fleet, &report, 0, NULL);
    }
  g_free (names);
  g_free (vms);
}

static void
fill_cache (struct setup *setup, uint64_t *random)
{
  struct fleet_ref refs[ROUTE_SUBSET_MAX];
  size_t n = route_subset (setup->route, "model", refs);
  int i;
  int j;

  for (i = 0; i < PROMPTS; i++)
    {
      for (j = 0; j < PROMPT_BLOCKS; j++)
        setup->prefixes[i][j] = next_random (random);
      route_note_served (setup->route, refs[next_random (random) % n],
                         setup->prefixes[i], PROMPT_BLOCKS, 0);
    }
}

static void *
run (void *arg)
{
  struct job *job = arg;
  const struct setup *setup = job->setup;
  struct route_request request = { .service = "model",
                                   .zone = "zone-0",
                                   .prompt_tokens = 8500,
                                   .output_tokens = 200,
                                   .priority = 1,
                                   .budget_us = 1900000,
                                   .n_prefix = PROMPT_BLOCKS,
                                   .speed = { 50, 500, 20000, 500, 0, 0, 0 } };
  uint64_t random = job->seed;
  double start = now_ns ();
  int i;

  for (i = 0; i < job->rounds; i++)
    {
      uint64_t draw = next_random (&random);

      request.prefix = setup->prefixes[draw % PROMPTS];
      if (job->baseline)
        job->sum
            += route_least_outstanding (setup->fleet, &request, draw).index;
      else
        job->sum
            += route_choose (setup->route, setup->fleet, &request, draw, 0)
                   .ref.index;
    }
  job->ns = (now_ns () - start) / job->rounds;
  return NULL;
}

/* Returns the mean time of a decision in ns over N threads.  */
static double
measure (const struct setup *setup, int n, int baseline, uint64_t seed)
{
  struct job jobs[THREADS] = { { 0 } };
  pthread_t threads[THREADS];
  double ns = 0;
  int i;

  for (i = 0; i < n; i++)
    {
      jobs[i].setup = setup;
      jobs[i].seed = seed + (uint64_t)i;
      jobs[i].rounds = baseline ? LEAST_OUTSTANDING_ROUNDS : ROUNDS;
      jobs[i].baseline = baseline;
      /* One thread runs in the main thread, as mallinfo2 counts only its
         heap.  */
      if (n == 1)
        run (&jobs[i]);
      else if (pthread_create (&threads[i], NULL, run, &jobs[i]))
        {
          fprintf (stderr, "bench_route: cannot start a thread\n");
          exit (1);
        }
    }
  for (i = 0; i < n; i++)
    {
      if (n > 1)
        pthread_join (threads[i], NULL);
      ns += jobs[i].ns / n;
    }
  return ns;
}

static void
bench_size (int runners, uint64_t seed)
{
  struct route_config config = { .entry = "entry",
                                 .cache_pieces = CACHE_BLOCKS,
                                 .half_life_us = 300000000 };
  uint64_t random = seed;
  struct setup setup;
  size_t before = heap_bytes ();
  size_t fleet_bytes;
  size_t route_bytes;
  size_t decision_bytes;
  double ns[2][2];
  double refresh;
  int baseline; /* uses route_least_outstanding */

  setup.fleet = fleet_new ();
  fill_fleet (setup.fleet, runners, &random);
  fleet_bytes = heap_bytes () - before;
  before = heap_bytes ();
  setup.route = route_new (&config);
  refresh = now_ns ();
  route_refresh (setup.route, setup.fleet, "zone-0");
  refresh = now_ns () - refresh;
  route_bytes = heap_bytes () - before;
  setup.prefixes = g_malloc (PROMPTS * sizeof *setup.prefixes);
  fill_cache (&setup, &random);
  measure (&setup, 1, 0, seed); /* fills the processor's caches */
  before = heap_bytes ();
  for (baseline = 0; baseline < 2; baseline++)
    {
      ns[baseline][0] = measure (&setup, 1, baseline, seed);
      if (!baseline)
        decision_bytes = heap_bytes () - before;
      ns[baseline][1] = measure (&setup, THREADS, baseline, seed);
    }
  printf ("%7d %10.0f %10.0f %10.0f %10.0f %10.1f %10zu %10zu %10zu\n",
          runners, ns[0][0], ns[0][1], ns[1][0], ns[1][1], refresh / 1000,
          decision_bytes, fleet_bytes, route_bytes);
  g_free (setup.prefixes);
  route_free (setup.route);
  fleet_free (setup.fleet);
}

int
main (void)
{
  static const int sizes[] = { 12, 130, 1300 };
  const char *text = getenv ("BENCH_SEED");
  uint64_t seed = text ? strtoull (text, NULL, 10) : 1;
  size_t i;

  printf ("ns per decision: route_choose (1 and %d threads), "
          "route_least_outstanding (1 and %d threads)\n"
          "refresh: us for all subsets; bytes: left by the decisions of one "
          "thread, fleet table, route tables\n",
          THREADS, THREADS);
  printf ("%7s %10s %10s %10s %10s %10s %10s %10s %10s\n", "runners",
          "choose-1", "choose-10", "least-1", "least-10", "refresh",
          "decision-B", "fleet-B", "route-B");
  for (i = 0; i < G_N_ELEMENTS (sizes); i++)
    bench_size (sizes[i], seed);
  return 0;
}
