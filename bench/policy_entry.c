#include "policy_sim.h"

#include <string.h>

enum
{
  QUEUE_MAX = 64,
  CUSTOMER_SHARE_PERMIL = 100,
  FAIR_QUANTUM = 100,
  PREFIX_TABLE_BLOCKS = 4096,
  HALF_LIFE_S = 60,
  PORT = 7000,
  DECODE_CANDIDATES_MAX = 3 /* decode runners tried in turn */
};

/* Cost added for a runner without the role of the phase, which can't run it:
   high enough to rule it out.  */
#define WRONG_ROLE_PENALTY_US (3600 * SECOND_US)

static int64_t
distance_us (void *ctx, const char *from, const char *to)
{
  const struct sim *sim = ctx;

  return strcmp (from, to) == 0 ? 0 : sim->site->zone_us;
}

void
entries_init (struct sim *sim)
{
  struct admission_config limits
      = { QUEUE_MAX, CUSTOMER_SHARE_PERMIL, FAIR_QUANTUM };
  struct fleet_vm vms[RUNNERS_MAX];
  char address[32];
  int i;

  g_snprintf (address, sizeof address, "127.0.0.1:%d", PORT);
  for (i = 0; i < sim->site->runners; i++)
    vms[i] = (struct fleet_vm){ sim->runners[i].name, address,
                                sim->runners[i].zone, FLEET_VM_LIVE };
  for (i = 0; i < ENTRIES; i++)
    {
      struct entry *entry = &sim->entries[i];
      struct route_config config = { .entry = vms[i].name,
                                     .cache_pieces = PREFIX_TABLE_BLOCKS,
                                     .half_life_us = HALF_LIFE_S * SECOND_US,
                                     .prefill_role = ENGINE_ROLE_PREFILL,
                                     .decode_role = ENGINE_ROLE_DECODE,
                                     .distance_us = distance_us,
                                     .ctx = sim };

      g_snprintf (entry->zone, sizeof entry->zone, "zone-%d", i % ZONES);
      entry->fleet = fleet_new ();
      entry->route = route_new (&config);
      entry->admission_control = admission_new (&limits);
      retry_init (&entry->retries, &retry_defaults);
      fleet_list_update (entry->fleet, vms, (size_t)sim->site->runners, NULL);
    }
}

void
entries_clear (struct sim *sim)
{
  int i;

  for (i = 0; i < ENTRIES; i++)
    {
      fleet_free (sim->entries[i].fleet);
      route_free (sim->entries[i].route);
      admission_free (sim->entries[i].admission_control);
    }
}

static int
has_phase (uint64_t role, enum route_phase phase)
{
  return role
         != (phase == ROUTE_PHASE_DECODE ? ENGINE_ROLE_PREFILL
                                         : ENGINE_ROLE_DECODE);
}

static struct route_request
make_route_request (const struct sim *sim, const struct request *request,
                    enum route_phase phase)
{
  const struct params *p = sim->params;
  struct route_request r = { .service = "model",
                             .zone = sim->entries[request->entry].zone,
                             .output_tokens = request->output - request->done,
                             .priority = 1,
                             .phase = phase };

  if (phase == ROUTE_PHASE_PREFILL)
    {
      r.prompt_tokens = request->prompt + request->done;
      r.prefix = request->prefix;
      r.n_prefix = sim->variant->prefix ? request->n_prefix : 0;
    }
  r.speed.prefill_us_per_token = (uint32_t)p->prefill_us_per_token;
  r.speed.chunk_tokens = (uint32_t)p->chunk_tokens;
  r.speed.step_us = (uint32_t)p->step_us;
  r.speed.step_us_per_request = (uint32_t)p->step_us_per_request;
  r.speed.role_mismatch_us = (uint32_t)WRONG_ROLE_PENALTY_US;
  return r;
}

/* Baselines: returns the usable runner with the fewest requests, by its last
   report or by the requests outstanding from this entry.  */
static struct fleet_ref
least_loaded (struct sim *sim, const struct fleet *fleet,
              const struct route_request *routing)
{
  struct fleet_ref best = { 0, 0 };
  uint64_t least = UINT64_MAX;
  uint64_t ties = 1;
  size_t i;
  size_t k;

  for (i = 0; i < fleet_slots (fleet); i++)
    {
      const struct fleet_runner *runner = fleet_at (fleet, i);
      uint64_t load;

      if (!runner || !runner->usable
          || !has_phase (runner->role, routing->phase))
        continue;
      for (k = 0; k < routing->n_excluded; k++)
        if (routing->excluded[k].index == runner->ref.index)
          break;
      load = sim->variant->baseline == 2 ? runner->outstanding
                                         : runner->load.requests;
      if (k < routing->n_excluded || load > least)
        continue;
      ties = load < least ? 1 : ties + 1;
      least = load;
      if (ties == 1 || next_random (&sim->random) % ties == 0)
        best = runner->ref;
    }
  return best;
}

static struct route_choice
choose_runner (struct sim *sim, const struct request *request,
               enum route_phase phase, const struct fleet_ref *excluded,
               size_t n, int64_t now)
{
  const struct entry *entry = &sim->entries[request->entry];
  struct route_request routing = make_route_request (sim, request, phase);
  struct route_choice choice = { 0 };
  const struct fleet_runner *runner;

  routing.excluded = excluded;
  routing.n_excluded = n;
  routing.budget_us = MAX (request->at_us + FIRST_TOKEN_LIMIT_US - now, 1);
  if (sim->variant->baseline)
    {
      choice.ref = least_loaded (sim, entry->fleet, &routing);
      return choice;
    }
  choice = route_choose (entry->route, entry->fleet, &routing,
                         next_random (&sim->random), now);
  runner = fleet_get (entry->fleet, choice.ref);
  if (runner && !has_phase (runner->role, phase))
    choice.ref.generation = 0;
  return choice;
}

static int
by_ready (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct request *x = a;
  const struct request *y = b;

  (void)data;
  return (x->ready_us > y->ready_us) - (x->ready_us < y->ready_us);
}

void
entries_failed (struct sim *sim, struct request *request,
                enum retry_failure failure, int64_t now)
{
  struct entry *entry = &sim->entries[request->entry];
  struct retry_attempt attempt
      = { failure, 1, request->attempts,
          request->first_us ? 0 : request->at_us + FIRST_TOKEN_LIMIT_US, 0 };
  struct retry_decision decision
      = retry_decide (&entry->retries, &retry_defaults, &attempt, now,
                      next_random (&sim->random));

  if (decision.verdict != RETRY_YES)
    {
      request->refused = 1;
      return;
    }
  request->ready_us = now + decision.delay_us;
  g_queue_insert_sorted (&sim->retries, request, by_ready, NULL);
}

static void
note_sent (struct sim *sim, struct request *request, struct fleet_ref ref,
           uint64_t prompt)
{
  request->runner = (int)ref.index;
  memset (&request->work, 0, sizeof request->work);
  if (sim->variant->count_outstanding)
    request->work
        = fleet_sent (sim->entries[request->entry].fleet, ref, prompt);
}

static void
send_request (struct sim *sim, struct request *request,
              const struct route_choice *choice, int64_t now)
{
  struct entry *entry = &sim->entries[request->entry];
  struct runner *runner = &sim->runners[choice->ref.index];

  if (!request->attempts++)
    retry_note_first (&entry->retries, &retry_defaults);
  if (!choice->ref.generation || !runner_accepts (runner)
      || runner->role == ENGINE_ROLE_DECODE)
    {
      request->runner = choice->ref.generation ? (int)choice->ref.index : -1;
      entries_failed (sim, request, RETRY_NOT_RUN, now);
      return;
    }
  request->sent_us = now;
  request->predicted_us = choice->first_us;
  request->left = request->prompt + request->done;
  request->cache_looked_up = 0;
  note_sent (sim, request, choice->ref, request->left);
  /* With cache_gaps, the cache events of every other 30 s are lost, so the
     prefix estimate is not updated.  */
  if (sim->variant->prefix
      && !(sim->kind->cache_gaps && now / (30 * SECOND_US) % 2))
    route_note_served (entry->route, choice->ref, request->prefix,
                       request->n_prefix, now);
  g_queue_push_tail (&runner->waiting, request);
  if (runner->next_us == NEVER_US)
    runner_start (sim->params, runner, now);
}

void
entries_retry (struct sim *sim, struct request *request, int64_t now)
{
  struct fleet_ref last = { (uint32_t)MAX (request->runner, 0), 1 };
  struct route_choice choice = choose_runner (
      sim, request, ROUTE_PHASE_PREFILL, &last, request->runner >= 0, now);

  send_request (sim, request, &choice, now);
}

/* Sets *CHOICE to the best runner for REQUEST and returns the supply for
   admission control.  */
static struct admission_supply
estimate_supply (struct sim *sim, const struct request *request,
                 struct route_choice *choice, int64_t now)
{
  const struct entry *entry = &sim->entries[request->entry];
  struct admission_supply supply
      = { 0, 0, INT64_C (1000) * ENTRIES / sim->site->runners };
  size_t i;

  *choice = choose_runner (sim, request, ROUTE_PHASE_PREFILL, NULL, 0, now);
  supply.first_us = choice->first_us;
  if (!choice->ref.generation)
    return supply;
  for (i = 0; i < fleet_slots (entry->fleet); i++)
    {
      const struct fleet_runner *runner = fleet_at (entry->fleet, i);

      if (runner && runner->usable
          && has_phase (runner->role, ROUTE_PHASE_DECODE)
          && runner->load.requests < runner->load.capacity)
        supply.room += runner->load.capacity - runner->load.requests;
    }
  return supply;
}

void
entries_arrive (struct sim *sim, struct request *request, int64_t now)
{
  const struct params *p = sim->params;
  struct admission_request ask
      = { (uint64_t)(request - sim->trace.requests),
          (uint64_t)request->customer, 1, 0, now + FIRST_TOKEN_LIMIT_US };
  struct route_choice choice;
  struct admission_supply supply;
  struct admission_decision decision;

  sim->requested_prompt += (double)request->prompt;
  sim->requested_output += (double)request->output;
  if (!sim->variant->admission)
    {
      choice = choose_runner (sim, request, ROUTE_PHASE_PREFILL, NULL, 0, now);
      send_request (sim, request, &choice, now);
      return;
    }
  /* Cost in milliseconds of a runner: the prefill and the request's share of
     the decode iterations.  */
  ask.cost = (uint32_t)((int64_t)request->prompt * p->prefill_us_per_token
                        + (int64_t)request->output * p->step_us / p->capacity)
             / 1000;
  supply = estimate_supply (sim, request, &choice, now);
  decision = admission_offer (sim->entries[request->entry].admission_control,
                              &ask, &supply, now);
  if (decision.has_evicted)
    sim->trace.requests[decision.evicted].refused = 1;
  if (decision.verdict == ADMISSION_ADMIT)
    send_request (sim, request, &choice, now);
  else if (decision.verdict != ADMISSION_QUEUE)
    request->refused = 1;
}

/* Sends queued requests of entry E while runners have free slots.  */
static void
drain_queue (struct sim *sim, int e, int64_t now)
{
  struct admission_control *admission_control
      = sim->entries[e].admission_control;

  while (admission_queued (admission_control))
    {
      struct request probe
          = { .entry = e, .prompt = 1, .output = 1, .at_us = now };
      struct route_choice choice;
      struct admission_supply supply
          = estimate_supply (sim, &probe, &choice, now);
      struct admission_decision decision;
      struct admission_request next;
      struct request *request;

      if (!supply.room
          || !admission_next (admission_control, &supply, now, &next,
                              &decision))
        return;
      request = &sim->trace.requests[next.id];
      estimate_supply (sim, request, &choice, now);
      if (decision.verdict == ADMISSION_ADMIT && !choice.late)
        send_request (sim, request, &choice, now);
      else
        request->refused = 1;
    }
}

void
entries_drain_queues (struct sim *sim, int64_t now)
{
  int e;

  for (e = 0; e < ENTRIES; e++)
    drain_queue (sim, e, now);
}

void
entries_first_token (void *ctx, struct request *request, int64_t now)
{
  struct sim *sim = ctx;
  struct entry *entry = &sim->entries[request->entry];

  if (sim->variant->admission)
    admission_observe (entry->admission_control, request->predicted_us,
                       now - request->sent_us, now);
  fleet_first_token (entry->fleet, &request->work);
}

static void
end_work (struct sim *sim, struct request *request)
{
  const struct runner *runner = &sim->runners[request->runner];
  struct msg_end end = { .running = runner_running (runner),
                         .queued = runner_queued (runner) };

  fleet_ended (sim->entries[request->entry].fleet, &request->work, &end);
}

void
entries_request_end (void *ctx, struct request *request, int64_t now)
{
  end_work (ctx, request);
  request->token_us = now;
  request->ended = 1;
}

static int64_t
transfer_us (const struct sim *sim, const struct request *request,
             const struct runner *to)
{
  const struct runner *from = &sim->runners[request->runner];
  int64_t bytes = (int64_t)(request->prompt + request->done)
                  * sim->params->kv_bytes_per_token;
  int64_t us = bytes / sim->params->kv_bytes_per_us;

  return us + (strcmp (from->zone, to->zone) ? sim->site->zone_us : 0);
}

/* Moves a prefilled REQUEST with its KV cache to a decode runner, unless the
   best one is the runner that it is on.  */
int
entries_move_to_decode (void *ctx, struct request *request, int64_t now)
{
  struct sim *sim = ctx;
  int can_stay = sim->runners[request->runner].role != ENGINE_ROLE_PREFILL;
  struct fleet_ref refused[DECODE_CANDIDATES_MAX];
  size_t n;

  for (n = 0; n < DECODE_CANDIDATES_MAX; n++)
    {
      struct route_choice choice
          = choose_runner (sim, request, ROUTE_PHASE_DECODE, refused, n, now);
      struct runner *to = &sim->runners[choice.ref.index];

      if (!choice.ref.generation
          || (can_stay && (int)choice.ref.index == request->runner))
        break;
      refused[n] = choice.ref;
      if (!runner_accepts (to) || to->role == ENGINE_ROLE_PREFILL)
        continue;
      end_work (sim, request);
      request->ready_us = now + transfer_us (sim, request, to);
      note_sent (sim, request, choice.ref, 0);
      g_queue_push_tail (&to->joining, request);
      if (to->next_us == NEVER_US)
        runner_start (sim->params, to, now);
      return 1;
    }
  if (can_stay)
    return 0;
  end_work (sim, request);
  entries_failed (sim, request, RETRY_NOT_RUN, now);
  return 1;
}
