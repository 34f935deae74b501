#include "policy_sim.h"

#include <string.h>

enum
{
  TICK_US = 1000000,   /* period of planning and of changes to runners */
  DRAIN_LIMIT_S = 600, /* for which a run goes on after the last arrival */
  WITHDRAW_S = 400,
  WITHDRAWN_RUNNERS = 2,
  FIRST_CRASH_AT_S = 400,
  SECOND_CRASH_AT_S = 600,
  FLUSH_PERIOD_S = 120, /* between cache flushes that send no event */
  MINUTE_BUCKETS = 60 / BUCKET_S,
  SLOW_GAPS_MAX_PERCENT = 5 /* token gaps of a good request above the limit */
};

/* The policy plans roles from the tokens that callers request, as role.h
   specifies.  "served" plans from the tokens of ended requests, as the
   controller does.  In "pooled" each planner sees the runners of all zones,
   but changes only those of its own.  */
const struct variant variants[] = {
  { "baseline", 1, 0, 0, 0, 0, 0, 0, 0, 0 },
  { "least-own", 2, 0, 1, 0, 0, 0, 0, 0, 0 },
  { "all-both", 0, 1, 1, 1, 0, 0, 1, 0, 0 },
  { "no-prefix", 0, 0, 1, 1, 1, 1, 0, 0, 0 },
  { "no-own", 0, 1, 0, 1, 1, 1, 0, 0, 0 },
  { "no-admission", 0, 1, 1, 0, 1, 1, 0, 0, 0 },
  { "no-roles", 0, 1, 1, 1, 0, 0, 0, 0, 0 },
  { "served", 0, 1, 1, 1, 1, 0, 0, 0, 0 },
  { "pooled", 0, 1, 1, 1, 1, 1, 0, 1, 0 },
  { "other-cost", 0, 1, 1, 1, 1, 1, 0, 0, 1 },
  { "policy", 0, 1, 1, 1, 1, 1, 0, 0, 0 },
};
const size_t n_variants = G_N_ELEMENTS (variants);

/* Returns the role that runner I starts with.  The zones follow each other in
   the order of the runners, so the roles spread over the zones.  */
static enum engine_role
initial_role (const struct sim *sim, int i)
{
  int64_t n = sim->site->runners;

  if (sim->variant->start_all_both)
    return ENGINE_ROLE_BOTH;
  if (i < sim->site->prefill_runners)
    return ENGINE_ROLE_PREFILL;
  return i < n && i < sim->site->prefill_runners + sim->site->decode_runners
             ? ENGINE_ROLE_DECODE
             : ENGINE_ROLE_BOTH;
}

static void
take_snapshot (struct sim *sim, int64_t now)
{
  struct snapshot *snapshot = g_new0 (struct snapshot, 1);
  const GList *link;
  int i;

  snapshot->due_us = now + sim->kind->lag_us;
  for (i = 0; i < sim->site->runners; i++)
    {
      struct runner *runner = &sim->runners[i];
      struct msg_report *r = &snapshot->reports[i];

      r->agent = msg_str_from (runner->name);
      r->service = msg_str_from ("model");
      r->incarnation = 1;
      r->endpoint_up = !runner->down;
      r->state = runner->draining ? MSG_AGENT_DRAINING : MSG_AGENT_SERVING;
      r->role = runner->role;
      r->capacity = (uint64_t)sim->params->capacity;
      r->running = runner_running (runner);
      r->queued = runner_queued (runner);
      for (link = runner->waiting.head; link; link = link->next)
        r->prompt_tokens += ((struct request *)link->data)->left;
      snapshot->prompt_done[i] = runner->prompt_done;
      snapshot->output_done[i] = runner->output_done;
    }
  g_queue_push_tail (&sim->snapshots, snapshot);
}

static void
deliver_snapshot (struct sim *sim, int64_t now)
{
  struct snapshot *snapshot = g_queue_pop_head (&sim->snapshots);
  int i;
  int e;

  for (e = 0; e < ENTRIES; e++)
    for (i = 0; i < sim->site->runners; i++)
      fleet_report (sim->entries[e].fleet, &snapshot->reports[i], now, NULL);
  sim->delivered = *snapshot;
  g_free (snapshot);
}

static void
crash (struct sim *sim, struct runner *runner, int64_t now)
{
  GPtrArray *lost = g_ptr_array_new ();
  guint i;

  while (!g_queue_is_empty (&runner->waiting))
    g_ptr_array_add (lost, g_queue_pop_head (&runner->waiting));
  while (!g_queue_is_empty (&runner->joining))
    g_ptr_array_add (lost, g_queue_pop_head (&runner->joining));
  for (i = 0; i < runner->batch->len; i++)
    g_ptr_array_add (lost, runner->batch->pdata[i]);
  g_ptr_array_set_size (runner->batch, 0);
  runner->chunk = 0;
  runner->next_us = NEVER_US;
  runner->down = 1;
  runner->available_us = now + sim->params->crash_down_us;
  runner_flush_cache (runner);
  for (i = 0; i < lost->len; i++)
    {
      struct request *request = lost->pdata[i];

      fleet_ended (sim->entries[request->entry].fleet, &request->work, NULL);
      entries_failed (sim, request, RETRY_CRASHED, now);
    }
  g_ptr_array_free (lost, 1);
}

static void
withdraw (struct sim *sim)
{
  const char *names[WITHDRAWN_RUNNERS];
  int i;
  int e;

  for (i = 0; i < WITHDRAWN_RUNNERS; i++)
    {
      struct runner *runner = &sim->runners[sim->site->runners - 1 - i];

      runner->withdrawn = 1;
      names[i] = runner->name;
    }
  for (e = 0; e < ENTRIES; e++)
    fleet_withhold (sim->entries[e].fleet, names, WITHDRAWN_RUNNERS);
}

/* Advances the role change of RUNNER, or ends its outage.  */
static void
change_role (const struct sim *sim, struct runner *runner, int64_t now)
{
  if (runner->draining && !runner->down && runner_idle (runner))
    {
      runner->down = 1;
      runner->available_us = now + sim->params->role_change_us;
      runner_flush_cache (runner);
    }
  if (runner->down && now >= runner->available_us)
    {
      runner->down = 0;
      runner->available_us = NEVER_US;
      runner->role = runner->target;
      runner->draining = 0;
      runner->next_us = NEVER_US;
    }
}

static void
count_cached (struct sim *sim)
{
  int i;

  sim->prefill_tokens = 1;
  sim->cached_tokens = 0;
  for (i = 0; i < sim->site->runners; i++)
    {
      sim->prefill_tokens += (double)sim->runners[i].prefill_tokens;
      sim->cached_tokens += (double)sim->runners[i].cached_tokens;
    }
}

static void
tick (struct sim *sim, int64_t now)
{
  int64_t s = now / SECOND_US;
  int i;
  int e;

  if (sim->kind->withdraw && s == WITHDRAW_S)
    withdraw (sim);
  if (sim->kind->crash && (s == FIRST_CRASH_AT_S || s == SECOND_CRASH_AT_S))
    crash (sim,
           &sim->runners[s == FIRST_CRASH_AT_S ? 0 : sim->site->runners - 1],
           now);
  for (i = 0; i < sim->site->runners; i++)
    {
      change_role (sim, &sim->runners[i], now);
      if (sim->kind->cache_gaps
          && (s + INT64_C (10) * i) % FLUSH_PERIOD_S == 0)
        runner_flush_cache (&sim->runners[i]);
    }
  count_cached (sim);
  if (sim->variant->roles)
    roles_tick (sim, now);
  for (e = 0; e < ENTRIES; e++)
    {
      fleet_tick (sim->entries[e].fleet, now);
      route_refresh (sim->entries[e].route, sim->entries[e].fleet,
                     sim->entries[e].zone);
    }
}

static int
is_good (const struct request *r)
{
  int64_t gaps = (int64_t)r->output - 1;

  return r->ended && r->first_us - r->at_us <= FIRST_TOKEN_LIMIT_US
         && r->token_us - r->first_us <= gaps * TOKEN_GAP_LIMIT_US
         && (int64_t)r->slow_gaps * PERCENT <= gaps * SLOW_GAPS_MAX_PERCENT;
}

static void
measure_series (struct sim *sim, struct result *result)
{
  unsigned offered[BUCKETS] = { 0 };
  unsigned good[BUCKETS] = { 0 };
  size_t i;
  int b;

  for (i = 0; i < sim->trace.n; i++)
    {
      const struct request *r = &sim->trace.requests[i];

      b = (int)(r->at_us / (BUCKET_S * SECOND_US));
      offered[b]++;
      good[b] += (unsigned)is_good (r);
    }
  result->worst_minute = 1;
  for (b = 0; b < BUCKETS; b++)
    {
      unsigned n = 0;
      unsigned g = 0;
      int k;

      result->series[b] = offered[b] ? (double)good[b] / offered[b] : 0;
      result->changes_at[b] = sim->changes_at[b];
      for (k = 0; k < MINUTE_BUCKETS && b + k < BUCKETS; k++)
        {
          n += offered[b + k];
          g += good[b + k];
        }
      if (k == MINUTE_BUCKETS && offered[b + k - 1])
        result->worst_minute = MIN (result->worst_minute, (double)g / n);
    }
}

static void
measure_result (struct sim *sim, struct result *result)
{
  double capacity = ideal_rate (sim->params, (double)sim->site->runners,
                                trace_share (sim->kind, 0, 0))
                    * (BURST_UNTIL_S - BURST_FROM_S);
  size_t good = 0;
  size_t others = 0;
  size_t others_good = 0;
  size_t burst = 0;
  size_t i;

  for (i = 0; i < sim->trace.n; i++)
    {
      const struct request *r = &sim->trace.requests[i];
      int ok = is_good (r);

      good += (size_t)ok;
      result->refused += !r->ended;
      result->late
          += r->ended && r->first_us - r->at_us > FIRST_TOKEN_LIMIT_US;
      result->slow
          += r->ended && !ok && r->first_us - r->at_us <= FIRST_TOKEN_LIMIT_US;
      others += r->customer != 0;
      others_good += r->customer != 0 && ok;
      burst += ok && r->at_us >= BURST_FROM_S * SECOND_US
               && r->at_us < BURST_UNTIL_S * SECOND_US;
    }
  result->goodput = (double)good / (double)MAX (sim->trace.n, 1);
  result->others = (double)others_good / (double)MAX (others, 1);
  result->burst = (double)burst / capacity;
  result->refused /= (double)MAX (sim->trace.n, 1);
  result->late /= (double)MAX (sim->trace.n, 1);
  result->slow /= (double)MAX (sim->trace.n, 1);
  result->changes = sim->changes;
  for (i = 0; i < RUNNERS_MAX; i++)
    result->per_runner = MAX (result->per_runner, sim->changes_of[i]);
  result->cached = sim->cached_tokens / sim->prefill_tokens;
  measure_series (sim, result);
}

/* Runs the next event.  Returns 0 when none is left.  */
static int
step (struct sim *sim, size_t *next, int64_t *report_us, int64_t *tick_us)
{
  const struct snapshot *snapshot = g_queue_peek_head (&sim->snapshots);
  struct request *retry = g_queue_peek_head (&sim->retries);
  int64_t now
      = *next < sim->trace.n ? sim->trace.requests[*next].at_us : NEVER_US;
  struct runner *first = NULL;
  int is_busy = *next < sim->trace.n || retry;
  int i;

  for (i = 0; i < ENTRIES; i++)
    is_busy |= admission_queued (sim->entries[i].admission_control) > 0;
  for (i = 0; i < sim->site->runners; i++)
    {
      is_busy |= !runner_idle (&sim->runners[i]);
      if (sim->runners[i].next_us < now)
        {
          first = &sim->runners[i];
          now = first->next_us;
        }
    }
  if (!is_busy || *tick_us > sim->trace.length_us + DRAIN_LIMIT_S * SECOND_US)
    return 0;
  if (*report_us <= now && *report_us <= *tick_us)
    {
      take_snapshot (sim, *report_us);
      *report_us += FLEET_REPORT_INTERVAL_US;
      return 1;
    }
  if (snapshot && snapshot->due_us <= MIN (now, *tick_us))
    {
      now = snapshot->due_us;
      deliver_snapshot (sim, now);
    }
  else if (*tick_us <= now)
    {
      now = *tick_us;
      tick (sim, now);
      *tick_us += TICK_US;
    }
  else if (retry && retry->ready_us <= now)
    {
      g_queue_pop_head (&sim->retries);
      entries_retry (sim, retry, retry->ready_us);
    }
  else if (first)
    runner_end (sim->params, first, &sim->events, now);
  else
    entries_arrive (sim, &sim->trace.requests[(*next)++], now);
  if (sim->variant->admission)
    entries_drain_queues (sim, now);
  return 1;
}

void
sim_run (const struct setup *setup, const struct site *site,
         const struct trace_kind *kind, const struct variant *variant,
         uint64_t seed, struct result *result)
{
  struct sim *sim = g_new0 (struct sim, 1);
  const struct site *cost_of = site;
  int64_t report_us = 0;
  int64_t tick_us = 0;
  size_t next = 0;
  int i;

  sim->params = &setup->params;
  sim->site = site;
  sim->kind = kind;
  sim->variant = variant;
  sim->random = seed;
  sim->prefill_tokens = 1;
  sim->events
      = (struct runner_events){ entries_first_token, entries_move_to_decode,
                                entries_request_end, sim };
  if (variant->other_cost)
    cost_of = &setup->sites[site == &setup->sites[0]];
  for (i = 0; i < site->runners; i++)
    runner_init (&sim->runners[i], i, initial_role (sim, i));
  entries_init (sim);
  roles_init (sim, (double)cost_of->role_change_cost_s);
  trace_draw (&sim->trace, kind, setup, site, seed);
  memset (result, 0, sizeof *result);
  result->bound = trace_bound (&sim->trace, &setup->params, site);
  while (step (sim, &next, &report_us, &tick_us))
    ;
  measure_result (sim, result);
  for (i = 0; i < site->runners; i++)
    runner_clear (&sim->runners[i]);
  entries_clear (sim);
  g_queue_clear_full (&sim->snapshots, g_free);
  g_queue_clear (&sim->retries);
  g_free (sim->trace.requests);
  g_free (sim);
}
