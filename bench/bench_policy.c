/*
 * Prints the goodput of the routing and admission policy beside the baseline
 * (least outstanding requests, no admission control) for a mix that swings by
 * half within five minutes.  Time is virtual: a table depends on BENCH_SEED
 * only.  The runner model is small: prefill in chunks beside the decode steps
 * of one batch, and an LRU cache of prompt pieces.  Its constants are assumed
 * and not measured on an engine.
 */

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "goldcresthatch/fleet.h"
#include "goldcresthatch/lim.h"
#include "goldcresthatch/route.h"

#define SECOND_US INT64_C (1000000)
#define FIRST_LIMIT_US INT64_C (1900000) /* target of design section 1 */
#define STEP_LIMIT_US INT64_C (74000)    /* target of design section 1 */
#define SWING_US (300 * SECOND_US)       /* from one extreme to the other */
#define LENGTH_US (1200 * SECOND_US)     /* time in which requests arrive */
#define NEVER INT64_MAX

enum
{
  RUNNERS = 11,
  ENTRIES = 3,
  CUSTOMERS = 60,
  ZONES = 3,
  CAPACITY = 32,         /* requests of a batch */
  CHUNK_TOKENS = 500,    /* of a prefill beside one decode step */
  PREFILL_US = 50,       /* per token */
  STEP_US = 20000,       /* decode step of a batch of one */
  STEP_REQUEST_US = 500, /* added by each further request */
  RUNNER_PIECES = 300,   /* pieces in a runner's cache */
  SHARED_PIECES = 4,     /* pieces that a customer's long prompts share */
  PIECES_MAX = 16,
  QUEUE_MAX = 64,
  TABLE_PIECES = 4096,
  PERCENT = 100
};

struct request
{
  int64_t at_us;
  int64_t sent_us;
  int64_t predicted_us; /* time to the first token when it was sent */
  int64_t first_us;
  int64_t last_us;
  uint64_t prefix[PIECES_MAX];
  size_t n_prefix;
  uint64_t prompt;
  uint64_t output;
  uint64_t left; /* prompt tokens to prefill */
  uint64_t done; /* output tokens */
  int customer;
  int entry;
  int runner;
  int refused;
  struct fleet_work work;
};

struct runner
{
  char name[16];
  char zone[16];
  GQueue waiting; /* struct request; the head is in prefill */
  GPtrArray *batch;
  GHashTable *cache; /* hash -> link in ages */
  GQueue ages;       /* hashes, newest first */
  int64_t next_us;   /* end of the current iteration */
  uint64_t chunk;    /* prompt tokens of the current iteration */
};

struct entry
{
  struct fleet *fleet;
  struct route *route;
  struct lim *lim;
};

struct sim
{
  struct runner runners[RUNNERS];
  struct entry entries[ENTRIES];
  struct request *requests;
  size_t n;
  int policy;
  uint64_t random;
  uint64_t cached;
  uint64_t prompts;
};

static uint64_t
next_random (uint64_t *state)
{
  *state = *state * UINT64_C (6364136223846793005) + 1442695040888963407U;
  return *state >> 16;
}

static double
uniform (uint64_t *state)
{
  return (double)(next_random (state) % 1000000 + 1) / 1000000;
}

/* Draws one request: long prompt and short answer, or the reverse.  */
static void
draw_request (struct request *request, int64_t now, uint64_t *random)
{
  double phase = fabs (fmod ((double)now / (double)SWING_US, 2.0) - 1.0);
  int is_long = uniform (random) < 0.25 + 0.5 * phase;
  double skew = uniform (random);
  size_t i;

  request->at_us = now;
  request->customer = (int)(skew * skew * (CUSTOMERS - 1));
  request->entry = (int)(next_random (random) % ENTRIES);
  request->prompt = is_long ? 5000 + next_random (random) % 6000
                            : 200 + next_random (random) % 800;
  request->output = is_long ? 20 + next_random (random) % 60
                            : 150 + next_random (random) % 400;
  request->left = request->prompt;
  request->n_prefix = request->prompt / ROUTE_PIECE_TOKENS;
  for (i = 0; i < request->n_prefix; i++)
    request->prefix[i] = i < SHARED_PIECES
                             ? (uint64_t)request->customer * PIECES_MAX + i + 1
                             : next_random (random) << 8;
}

static void
draw_requests (struct sim *sim, double rate, uint64_t seed)
{
  GArray *requests = g_array_new (0, 1, sizeof (struct request));
  uint64_t random = seed;
  double now = 0;

  for (;;)
    {
      struct request request = { 0 };

      now -= log (uniform (&random)) / rate * (double)SECOND_US;
      if (now >= (double)LENGTH_US)
        break;
      draw_request (&request, (int64_t)now, &random);
      g_array_append_val (requests, request);
    }
  sim->n = requests->len;
  sim->requests = (struct request *)g_array_free (requests, 0);
}

/* Takes the prefix of REQUEST from the cache of RUNNER and adds the rest.  */
static uint64_t
use_cache (struct runner *runner, const struct request *request)
{
  size_t held = 0;
  size_t i;

  while (held < request->n_prefix
         && g_hash_table_contains (runner->cache, &request->prefix[held]))
    held++;
  for (i = 0; i < request->n_prefix; i++)
    {
      GList *link = g_hash_table_lookup (runner->cache, &request->prefix[i]);

      if (link)
        {
          g_queue_unlink (&runner->ages, link);
          g_queue_push_head_link (&runner->ages, link);
          continue;
        }
      g_queue_push_head (&runner->ages,
                         g_memdup2 (&request->prefix[i], sizeof (gint64)));
      g_hash_table_insert (runner->cache, runner->ages.head->data,
                           runner->ages.head);
      if (runner->ages.length > RUNNER_PIECES)
        {
          gint64 *oldest = g_queue_pop_tail (&runner->ages);

          g_hash_table_remove (runner->cache, oldest);
          g_free (oldest);
        }
    }
  return held * ROUTE_PIECE_TOKENS;
}

/* Starts the next iteration of RUNNER at NOW, if it has work.  */
static void
start_iteration (struct sim *sim, struct runner *runner, int64_t now)
{
  struct request *head = g_queue_peek_head (&runner->waiting);
  size_t batch = runner->batch->len;

  runner->next_us = NEVER;
  runner->chunk = 0;
  if (head && batch < CAPACITY)
    {
      if (head->left == head->prompt)
        {
          uint64_t held = use_cache (runner, head);

          sim->cached += held;
          sim->prompts += head->prompt;
          head->left -= MIN (held, head->prompt - 1);
        }
      runner->chunk = MIN (head->left, CHUNK_TOKENS);
    }
  if (batch || runner->chunk)
    runner->next_us
        = now + (int64_t)runner->chunk * PREFILL_US
          + (batch ? STEP_US + (int64_t)(batch - 1) * STEP_REQUEST_US : 0);
}

static uint64_t
running (const struct runner *runner)
{
  return runner->batch->len + (runner->chunk > 0);
}

static uint64_t
queued (const struct runner *runner)
{
  return runner->waiting.length - (runner->chunk > 0);
}

static void
end_request (struct sim *sim, struct request *request, int64_t now)
{
  const struct runner *runner = &sim->runners[request->runner];
  struct msg_end end
      = { .running = running (runner), .queued = queued (runner) };

  request->last_us = now;
  fleet_ended (sim->entries[request->entry].fleet, &request->work, &end);
}

/* Applies the iteration of RUNNER that ends at NOW.  */
static void
end_iteration (struct sim *sim, struct runner *runner, int64_t now)
{
  guint i = 0;

  while (i < runner->batch->len)
    {
      struct request *request = runner->batch->pdata[i];

      if (++request->done < request->output)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (runner->batch, i);
      end_request (sim, request, now);
    }
  if (runner->chunk)
    {
      struct request *head = g_queue_peek_head (&runner->waiting);

      head->left -= runner->chunk;
      runner->chunk = 0;
      if (!head->left)
        {
          g_queue_pop_head (&runner->waiting);
          head->first_us = now;
          head->done = 1;
          lim_observe (sim->entries[head->entry].lim, head->predicted_us,
                       now - head->sent_us, now);
          fleet_first_token (sim->entries[head->entry].fleet, &head->work);
          g_ptr_array_add (runner->batch, head);
        }
    }
  start_iteration (sim, runner, now);
}

static struct route_request
routing_of (const struct request *request)
{
  struct route_request r = { .service = "model",
                             .zone = "zone-0",
                             .prompt_tokens = request->prompt,
                             .output_tokens = request->output,
                             .priority = 1,
                             .prefix = request->prefix,
                             .n_prefix = request->n_prefix };

  r.speed.prefill_us_per_token = PREFILL_US;
  r.speed.chunk_tokens = CHUNK_TOKENS;
  r.speed.step_us = STEP_US;
  r.speed.step_us_per_request = STEP_REQUEST_US;
  return r;
}

static void
send_request (struct sim *sim, struct request *request, struct fleet_ref ref,
              int64_t predicted_us, int64_t now)
{
  struct entry *entry = &sim->entries[request->entry];
  struct runner *runner = &sim->runners[ref.index];

  request->runner = (int)ref.index;
  request->sent_us = now;
  request->predicted_us = predicted_us;
  request->work = fleet_sent (entry->fleet, ref, request->prompt);
  if (sim->policy)
    route_served (entry->route, ref, request->prefix, request->n_prefix, now);
  g_queue_push_tail (&runner->waiting, request);
  if (runner->next_us == NEVER)
    start_iteration (sim, runner, now);
}

/* Fills in the best runner for REQUEST and returns what admission needs.  */
static struct lim_supply
survey (struct sim *sim, const struct request *request,
        struct route_choice *choice, int64_t now)
{
  const struct entry *entry = &sim->entries[request->entry];
  struct route_request routing = routing_of (request);
  struct lim_supply supply = { 0, 0, 1000 * ENTRIES / RUNNERS };
  size_t i;

  routing.budget_us = MAX (request->at_us + FIRST_LIMIT_US - now, 1);
  *choice = route_choose (entry->route, entry->fleet, &routing,
                          next_random (&sim->random), now);
  supply.first_us = choice->first_us;
  for (i = 0; i < RUNNERS; i++)
    {
      const struct fleet_runner *runner = fleet_at (entry->fleet, i);

      if (runner->usable && runner->load.requests < runner->load.capacity)
        supply.room += runner->load.capacity - runner->load.requests;
    }
  return supply;
}

static void
arrive (struct sim *sim, struct request *request, int64_t now)
{
  struct entry *entry = &sim->entries[request->entry];
  struct lim_request ask
      = { (uint64_t)(request - sim->requests), (uint64_t)request->customer, 1,
          0, now + FIRST_LIMIT_US };
  struct route_choice choice;
  struct lim_supply supply;
  struct lim_decision decision;

  if (!sim->policy)
    {
      struct route_request routing = routing_of (request);

      send_request (sim, request,
                    route_least_outstanding (entry->fleet, &routing,
                                             next_random (&sim->random)),
                    0, now);
      return;
    }
  /* Cost in milliseconds of a runner: prefill, and a share of a batch.  */
  ask.cost = (uint32_t)((request->prompt * PREFILL_US
                         + request->output * STEP_US / CAPACITY)
                        / 1000);
  supply = survey (sim, request, &choice, now);
  decision = lim_offer (entry->lim, &ask, &supply, now);
  if (decision.has_evicted)
    sim->requests[decision.evicted].refused = 1;
  if (decision.verdict == LIM_ADMIT)
    send_request (sim, request, choice.ref, choice.first_us, now);
  else if (decision.verdict != LIM_QUEUE)
    request->refused = 1;
}

/* Sends queued requests of ENTRY while there is room.  */
static void
drain_queue (struct sim *sim, int e, int64_t now)
{
  struct entry *entry = &sim->entries[e];

  while (lim_queued (entry->lim))
    {
      struct request probe = { .entry = e, .prompt = 1, .at_us = now };
      struct route_choice choice;
      struct lim_supply supply = survey (sim, &probe, &choice, now);
      struct lim_decision decision;
      struct lim_request next;
      struct request *request;

      if (!supply.room
          || !lim_next (entry->lim, &supply, now, &next, &decision))
        return;
      request = &sim->requests[next.id];
      survey (sim, request, &choice, now);
      if (decision.verdict == LIM_ADMIT && !choice.late)
        send_request (sim, request, choice.ref, choice.first_us, now);
      else
        request->refused = 1;
    }
}

static void
report (struct sim *sim, int64_t now)
{
  int i;
  int e;

  for (i = 0; i < RUNNERS; i++)
    {
      struct runner *runner = &sim->runners[i];
      struct msg_report r = { .agent = msg_text (runner->name),
                              .service = msg_text ("model"),
                              .incarnation = 1,
                              .endpoint_up = 1,
                              .capacity = CAPACITY };
      GList *link;

      r.running = running (runner);
      r.queued = queued (runner);
      for (link = runner->waiting.head; link; link = link->next)
        r.prompt_tokens += ((struct request *)link->data)->left;
      for (e = 0; e < ENTRIES; e++)
        fleet_report (sim->entries[e].fleet, &r, now, NULL);
    }
  for (e = 0; e < ENTRIES; e++)
    {
      fleet_tick (sim->entries[e].fleet, now);
      if (sim->policy)
        route_refresh (sim->entries[e].route, sim->entries[e].fleet, "zone-0");
    }
}

static void
set_up (struct sim *sim)
{
  struct lim_config limits = { QUEUE_MAX, 100, 100 };
  struct fleet_vm vms[RUNNERS];
  int i;

  for (i = 0; i < RUNNERS; i++)
    {
      struct runner *runner = &sim->runners[i];

      g_snprintf (runner->name, sizeof runner->name, "runner-%d", i);
      g_snprintf (runner->zone, sizeof runner->zone, "zone-%d", i % ZONES);
      g_queue_init (&runner->waiting);
      g_queue_init (&runner->ages);
      runner->batch = g_ptr_array_new ();
      runner->cache = g_hash_table_new (g_int64_hash, g_int64_equal);
      runner->next_us = NEVER;
      vms[i] = (struct fleet_vm){ runner->name, "127.0.0.1:7000", runner->zone,
                                  FLEET_VM_LIVE };
    }
  for (i = 0; i < ENTRIES; i++)
    {
      struct route_config config = { .entry = vms[i].name,
                                     .cache_pieces = TABLE_PIECES,
                                     .half_life_us = 60 * SECOND_US };

      sim->entries[i].fleet = fleet_new ();
      sim->entries[i].route = route_new (&config);
      sim->entries[i].lim = lim_new (&limits);
      fleet_list (sim->entries[i].fleet, vms, RUNNERS, NULL);
    }
}

static void
tear_down (struct sim *sim)
{
  int i;

  for (i = 0; i < RUNNERS; i++)
    {
      g_hash_table_destroy (sim->runners[i].cache);
      g_queue_clear_full (&sim->runners[i].ages, g_free);
      g_ptr_array_free (sim->runners[i].batch, 1);
    }
  for (i = 0; i < ENTRIES; i++)
    {
      fleet_free (sim->entries[i].fleet);
      route_free (sim->entries[i].route);
      lim_free (sim->entries[i].lim);
    }
  g_free (sim->requests);
}

/* Runs all events in the order of time until every request has ended.  */
static void
run (struct sim *sim)
{
  int64_t report_us = 0;
  size_t next = 0;
  int e;
  int i;

  for (;;)
    {
      int64_t now = next < sim->n ? sim->requests[next].at_us : NEVER;
      struct runner *first = NULL;

      for (i = 0; i < RUNNERS; i++)
        if (sim->runners[i].next_us < now)
          {
            first = &sim->runners[i];
            now = first->next_us;
          }
      if (now == NEVER && !lim_queued (sim->entries[0].lim)
          && !lim_queued (sim->entries[1].lim)
          && !lim_queued (sim->entries[2].lim))
        return;
      if (report_us <= now)
        {
          now = report_us;
          report (sim, now);
          report_us += FLEET_INTERVAL_US;
        }
      else if (first)
        end_iteration (sim, first, now);
      else
        arrive (sim, &sim->requests[next++], now);
      for (e = 0; e < ENTRIES; e++)
        drain_queue (sim, e, now);
    }
}

static int
by_value (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

static void
print_row (const struct sim *sim, double rate)
{
  int64_t *first = g_new (int64_t, sim->n + 1);
  size_t answered = 0;
  size_t on_time = 0;
  size_t slow = 0;
  size_t p95;
  size_t i;

  for (i = 0; i < sim->n; i++)
    {
      const struct request *r = &sim->requests[i];
      int64_t steps = (int64_t)r->output - 1;
      int is_slow;

      if (r->refused)
        continue;
      is_slow = r->last_us - r->first_us > steps * STEP_LIMIT_US;
      first[answered++] = r->first_us - r->at_us;
      slow += is_slow;
      on_time += !is_slow && r->first_us - r->at_us <= FIRST_LIMIT_US;
    }
  p95 = answered * 95 / PERCENT;
  if (answered)
    qsort (first, answered, sizeof *first, by_value);
  printf ("%6.0f %-9s %9zu %9zu %8zu %8.1f%% %8zu %10.0f %8.1f%%\n", rate,
          sim->policy ? "policy" : "baseline", sim->n, answered,
          sim->n - answered, PERCENT * (double)on_time / (double)sim->n, slow,
          answered ? (double)first[p95] / 1000 : 0,
          PERCENT * (double)sim->cached / (double)sim->prompts);
  g_free (first);
}

int
main (void)
{
  static const double rates[] = { 14, 18, 22, 26, 32, 40 };
  const char *text = getenv ("BENCH_SEED");
  uint64_t seed = text ? strtoull (text, NULL, 10) : 1;
  size_t i;
  int policy;

  printf ("%6s %-9s %9s %9s %8s %9s %8s %10s %9s\n", "req/s", "", "requests",
          "answered", "refused", "on-time", "slow", "first-p95", "cached");
  for (i = 0; i < G_N_ELEMENTS (rates); i++)
    for (policy = 0; policy < 2; policy++)
      {
        struct sim sim = { .policy = policy, .random = seed };

        draw_requests (&sim, rates[i], seed);
        set_up (&sim);
        run (&sim);
        print_row (&sim, rates[i]);
        tear_down (&sim);
      }
  printf ("on-time: share of all requests with the first token within 1.9 s "
          "and at most 74 ms between tokens\nslow: answered with more than "
          "74 ms between tokens; first-p95 in ms, of those answered\n");
  return 0;
}
