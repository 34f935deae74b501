#include "lb.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Engines evict the least recently used blocks; a block unused for this long
   counts as evicted.  */
#define CACHE_RETENTION_US INT64_C (20000000)

enum
{
  CROSS_ZONE_COST_US = 1500, /* for another availability zone */
  CALL_DEFAULT_US = 30000,   /* expected time of a plain call */
  /* Cost of a failure beyond the time lost: a prefill is repeated at another
     engine; a decode may not be retried, nor may most plain calls.  */
  PREFILL_FAILURE_COST_US = 60000,
  DECODE_FAILURE_COST_US = 100000,
  CALL_FAILURE_COST_US = 300000
};

/* Cost of a stream whose pauses reach their target while its engine is
   disturbed, as a share of its duration: the longer it is, the likelier is a
   disturbance in it.  */
static const double pause_cost = 0.1;
/* By which that cost grows with the pause.  */
static const double pause_power = 2;
/* Events after which a stream is likely to leave its slot.  */
static const double events_per_slot = 3;
/* Share of that cost at a runner of the usual speed, while the time between
   events isn't known.  */
static const double slow_cost = 0.25;
/* By which the cost of crowding grows with the share of slots in use.  */
static const double crowding_power = 4;
/* Of a long stream fast runners are preferred by this power of their speed. */
static const double fast_preference = 4;
/* Half of the preference applies to a stream of this length.  */
static const double fast_preference_us = 600000;
/* A runner about which nothing is known gets a call at this share of its
   cost.  */
static const double look_again_cost = 0.5;

const struct lb_speed lb_speed_default = {
  .prefill_tokens_per_us = 0.34,
  .decode_prefill_slowdown = 2,
  .prefill_overhead_us = 2700,
  .decode_step_us = 650,
  .decode_step_us_per_request = 15,
  .kv_transfer_us = 1500,
};

struct lb
{
  struct lb_speed speed;
  size_t cache_entries_max;
  GHashTable *cached_blocks; /* hash of runner and block chain -> struct
                                cached_block */
  GQueue order; /* struct cached_block, most recently used first */
};

/* A prefix block that an engine has in its KV cache.  */
struct cached_block
{
  uint64_t key;
  int64_t used_us;
  GList *link;
};

struct lb *
lb_new (const struct lb_speed *speed, size_t cache_entries_max)
{
  struct lb *lb = g_new0 (struct lb, 1);

  lb->speed = *speed;
  lb->cache_entries_max = cache_entries_max;
  lb->cached_blocks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&lb->order);
  return lb;
}

void
lb_free (struct lb *lb)
{
  g_queue_clear (&lb->order);
  g_hash_table_destroy (lb->cached_blocks);
  g_free (lb);
}

/* Returns the hash of a chain that ends with ID after BEFORE.  */
static uint64_t
chain_hash (uint64_t before, uint64_t id)
{
  uint64_t pair[2] = { before, id };

  return XXH64 (pair, sizeof pair, 0);
}

uint64_t
lb_session_hash (const struct lb_prompt *prompt)
{
  uint64_t hash = 0;
  size_t n = prompt->n_blocks > 1 ? prompt->n_blocks - 1 : prompt->n_blocks;
  size_t i;

  for (i = 0; i < n; i++)
    hash = chain_hash (hash, prompt->blocks[i].id);
  return hash;
}

uint32_t
lb_uncached_tokens (const struct lb *lb, const struct pool_runner *runner,
                    const struct lb_prompt *prompt, int64_t now)
{
  uint64_t key = runner->hash;
  uint32_t uncached_tokens = prompt->tokens;
  size_t i;

  for (i = 0; i < prompt->n_blocks; i++)
    {
      const struct cached_block *block;
      key = chain_hash (key, prompt->blocks[i].id);
      block = g_hash_table_lookup (lb->cached_blocks, &key);
      if (block == NULL || now - block->used_us > CACHE_RETENTION_US)
        break;
      uncached_tokens -= MIN (uncached_tokens, prompt->blocks[i].tokens);
    }
  return uncached_tokens;
}

void
lb_note_prefill (struct lb *lb, const struct pool_runner *runner,
                 const struct lb_prompt *prompt, int64_t now)
{
  uint64_t key = runner->hash;
  size_t n = prompt->n_blocks > 1 ? prompt->n_blocks - 1 : prompt->n_blocks;
  size_t i;

  for (i = 0; i < n; i++)
    {
      struct cached_block *block;
      key = chain_hash (key, prompt->blocks[i].id);
      block = g_hash_table_lookup (lb->cached_blocks, &key);
      if (block != NULL)
        {
          block->used_us = now;
          g_queue_unlink (&lb->order, block->link);
          g_queue_push_head_link (&lb->order, block->link);
          continue;
        }
      block = g_new0 (struct cached_block, 1);
      block->key = key;
      block->used_us = now;
      g_queue_push_head (&lb->order, block);
      block->link = lb->order.head;
      g_hash_table_insert (lb->cached_blocks, &block->key, block);
      if (lb->order.length > lb->cache_entries_max)
        {
          struct cached_block *old = g_queue_pop_tail (&lb->order);
          g_hash_table_remove (lb->cached_blocks, &old->key);
        }
    }
}

/* Returns the time in which RUNNER reads a prompt of TOKENS.  */
static double
read_us (const struct lb *lb, const struct pool_runner *runner,
         const struct lb_filter *where, double tokens, int64_t now)
{
  if (where->learns)
    return pace_service_us (runner->service_pace, PACE_READ, tokens)
           * pace_factor (&runner->pace, PACE_READ, now);
  return lb->speed.prefill_overhead_us
         + tokens / lb->speed.prefill_tokens_per_us;
}

/* Returns the time from the send of a decode to its first token.  */
static double
first_token_us (const struct lb *lb, const struct pool_runner *runner,
                const struct lb_filter *where, double load, int64_t now)
{
  if (where->learns)
    return pace_service_us (runner->service_pace, PACE_FIRST, load)
           * pace_factor (&runner->pace, PACE_FIRST, now);
  return lb->speed.kv_transfer_us + lb->speed.decode_step_us
         + load * lb->speed.decode_step_us_per_request;
}

/* Returns the time between two events of a stream at RUNNER.  */
static double
event_us (const struct pool_runner *runner, double load, int64_t now)
{
  return pace_service_us (runner->service_pace, PACE_EVENT, load)
         * pace_factor (&runner->pace, PACE_EVENT, now);
}

/* Returns the time until RUNNER has a free slot for a decode.  */
static double
slot_wait_us (const struct lb *lb, const struct pool_runner *runner,
              const struct lb_filter *where, double load, int64_t now)
{
  double slots = runner->entry.slots;

  if (slots <= 0 || load < slots)
    return 0;
  if (where->learns)
    return (load - slots + 1) / slots * events_per_slot
           * event_us (runner, load, now);
  return (load - slots + 1)
         * (lb->speed.decode_step_us
            + load * lb->speed.decode_step_us_per_request);
}

/* Returns the cost of a decode at RUNNER to the streams there: with few slots
   left, a more urgent request takes the place of one of them.  */
static double
crowding_cost_us (const struct lb *lb, const struct pool_runner *runner,
                  const struct lb_filter *where, double load, int64_t now)
{
  double cost = load * lb->speed.decode_step_us;

  if (where->learns && runner->entry.slots > 0)
    cost += pow (MIN (load / runner->entry.slots, 1.0), crowding_power)
            * events_per_slot * event_us (runner, load, now);
  return cost;
}

/* Returns the expected duration of the decode.  */
static double
stream_us (const struct lb *lb, const struct lb_filter *where)
{
  return where->output_tokens * lb->speed.decode_step_us;
}

/* Returns the cost of pauses that are too long at RUNNER, also while it is
   disturbed.  */
static double
pause_cost_us (const struct lb *lb, const struct pool_runner *runner,
               const struct lb_filter *where, double load, int64_t now)
{
  const struct pace_service *service = runner->service_pace;
  double pause;

  if (!where->learns || where->gap_us <= 0)
    return 0;
  if (!pace_service_is_known (service, PACE_EVENT))
    return stream_us (lb, where) * pause_cost * slow_cost
           * pace_steady (&runner->pace, now);
  pause = pace_service_us (service, PACE_EVENT, load + 1)
          * pace_steady (&runner->pace, now) * service->disturbance;
  return stream_us (lb, where) * pause_cost
         * MIN (pow (pause / where->gap_us, pause_power), 1.0);
}

/* Returns nonzero when RUNNER is eligible by WHERE.  */
static int
is_eligible (const struct pool_runner *runner, const struct lb_filter *where,
             int64_t now)
{
  size_t i;

  if (!pool_usable (runner, now) || pool_is_changing_stage (runner)
      || (where->calls_max > 0 && runner->calls >= where->calls_max)
      || !limit_allows (&runner->limit, where->gateways, now)
      || !pool_start_allows (runner, now)
      || strcmp (runner->entry.service, where->service) != 0
      || (where->stage != POOL_STAGE_ANY
          && runner->entry.stage != where->stage)
      || (where->build != NULL
          && strcmp (runner->entry.build, where->build) != 0))
    return 0;
  for (i = 0; i < where->n_excluded; i++)
    if (where->excluded[i] == runner)
      return 0;
  return 1;
}

/* Returns nonzero when RUNNER is eligible and in the sample, if there is one.
 */
static int
is_in_sample (const struct pool_runner *runner, const struct lb_filter *where,
              int64_t now)
{
  size_t i;

  for (i = 0; i < where->n_sample && where->sample[i] != runner; i++)
    ;
  return (i < where->n_sample || where->n_sample == 0)
         && is_eligible (runner, where, now);
}

/* Returns the time in which RUNNER reads its queue.  The queued tokens of this
   process and of gateways that report them are known; other requests are
   assumed to have as many tokens each as ours.  */
static double
queueing_delay_us (const struct lb *lb, const struct pool_runner *runner,
                   const struct lb_filter *where, int64_t now)
{
  double load = pool_load (runner, now);
  double own = runner->calls;
  double tokens = runner->tokens + runner->peer_tokens;
  double tokens_each
      = own > 0 ? tokens / own : 2890; /* typical own block of a prompt */

  if (load > own && runner->peer_report_us == 0)
    tokens += (load - own) * tokens_each;
  /* The overhead that is learnt is a latency, which prompts in the queue have
     at the same time.  Of the prompt that is being read half is left.  */
  if (where->learns)
    return load < 1 ? 0
                    : (read_us (lb, runner, where, tokens, now)
                       - read_us (lb, runner, where, 0, now))
                          * (load - 0.5) / load;
  return tokens / lb->speed.prefill_tokens_per_us
         + load * lb->speed.prefill_overhead_us;
}

/* A choice with its expected cost, which includes that of failures.  */
struct weighted_choice
{
  struct lb_choice choice;
  double cost_us;
};

static void
keep_cheaper (struct weighted_choice *best, const struct lb_choice *choice,
              double cost_us)
{
  if (best->choice.runner != NULL && cost_us >= best->cost_us)
    return;
  best->choice = *choice;
  best->cost_us = cost_us;
}

static double
cross_zone_cost_us (const struct pool_runner *runner,
                    const struct lb_filter *where)
{
  return strcmp (runner->entry.zone, where->zone) != 0 ? CROSS_ZONE_COST_US
                                                       : 0;
}

/* A set of the runners with the highest weights.  */
struct sample
{
  struct pool_runner *runner[LB_SAMPLE_MAX];
  uint64_t weight[LB_SAMPLE_MAX];
  size_t n;
};

static void
sample_add (struct sample *sample, struct pool_runner *runner, uint64_t weight,
            size_t max)
{
  size_t at;

  for (at = sample->n; at > 0 && weight > sample->weight[at - 1]; at--)
    if (at < max)
      {
        sample->runner[at] = sample->runner[at - 1];
        sample->weight[at] = sample->weight[at - 1];
      }
  if (at == max)
    return;
  sample->runner[at] = runner;
  sample->weight[at] = weight;
  sample->n = MIN (sample->n + 1, max);
}

size_t
lb_session_candidates (const struct runner_pool *runner_pool,
                       const struct lb_filter *where,
                       const struct lb_prompt *prompt, int64_t now,
                       struct pool_runner **candidate)
{
  uint64_t session = lb_session_hash (prompt);
  struct sample sample = { .n = 0 };
  size_t i;

  for (i = 0; i < pool_count (runner_pool); i++)
    {
      struct pool_runner *runner = pool_at (runner_pool, i);
      if (is_eligible (runner, where, now))
        sample_add (&sample, runner, chain_hash (runner->hash, session),
                    LB_SESSION_CANDIDATES);
    }
  for (i = 0; i < sample.n; i++)
    candidate[i] = sample.runner[i];
  return sample.n;
}

struct lb_choice
lb_prefill (const struct lb *lb, const struct runner_pool *runner_pool,
            const struct lb_filter *where, const struct lb_prompt *prompt,
            int64_t now)
{
  struct pool_runner *candidate[LB_SESSION_CANDIDATES];
  struct weighted_choice best = { .cost_us = 0 };
  size_t n
      = lb_session_candidates (runner_pool, where, prompt, now, candidate);
  size_t k;

  for (k = 0; k < n; k++)
    {
      struct lb_choice choice = { .runner = candidate[k] };
      choice.uncached_tokens
          = lb_uncached_tokens (lb, candidate[k], prompt, now);
      choice.before_us = queueing_delay_us (lb, candidate[k], where, now);
      choice.queue_us = choice.before_us;
      choice.read_us
          = read_us (lb, candidate[k], where, choice.uncached_tokens, now);
      choice.busy_us
          = where->learns
                ? choice.read_us - read_us (lb, candidate[k], where, 0, now)
                : choice.read_us;
      /* The cost is that to all requests: what goes before others delays
         them.  */
      if (where->learns)
        choice.queue_us
            *= pace_wait_share (candidate[k]->service_pace, where->urgency);
      choice.first_byte_us = choice.queue_us + choice.read_us;
      keep_cheaper (&best, &choice,
                    choice.before_us + choice.read_us
                        + pool_failure_rate (candidate[k], now)
                              * PREFILL_FAILURE_COST_US);
    }
  return best.choice;
}

/* Returns a random WEIGHT, the higher the likelier the faster RUNNER is, for a
   sample without replacement (Efraimidis and Spirakis, "Weighted random
   sampling with a reservoir", 2006).  */
static uint64_t
prefer_fast (const struct lb *lb, const struct pool_runner *runner,
             const struct lb_filter *where, uint64_t weight, int64_t now)
{
  double length = stream_us (lb, where);
  double power = fast_preference * length / (length + fast_preference_us);
  double uniform = ldexp ((double)weight, -64);

  return (uint64_t)ldexp (
      pow (uniform, pow (pace_steady (&runner->pace, now), power)), 63);
}

size_t
lb_sample (const struct lb *lb, const struct runner_pool *runner_pool,
           const struct lb_filter *where, uint64_t random, int64_t now,
           struct pool_runner **sample)
{
  struct sample near = { .n = 0 };
  struct sample all = { .n = 0 };
  size_t found = 0;
  size_t i;
  size_t k;

  for (i = 0; i < pool_count (runner_pool); i++)
    {
      struct pool_runner *runner = pool_at (runner_pool, i);
      uint64_t weight = chain_hash (runner->hash, random);
      if (!is_eligible (runner, where, now))
        continue;
      if (where->learns && where->gap_us > 0)
        weight = prefer_fast (lb, runner, where, weight, now);
      if (strcmp (runner->entry.zone, where->zone) == 0)
        sample_add (&near, runner, weight, LB_SAMPLE_MAX / 2);
      sample_add (&all, runner, weight, LB_SAMPLE_MAX);
    }
  for (i = 0; i < near.n; i++)
    sample[found++] = near.runner[i];
  for (i = 0; i < all.n && found < LB_SAMPLE_MAX; i++)
    {
      for (k = 0; k < near.n && near.runner[k] != all.runner[i]; k++)
        ;
      if (k == near.n)
        sample[found++] = all.runner[i];
    }
  return found;
}

/* Returns the time in which the decode engine RUNNER reads TOKENS of prompts
   beside its streams.  */
static double
decode_read_us (const struct lb *lb, const struct pool_runner *runner,
                const struct lb_filter *where, double tokens, int64_t now)
{
  return (read_us (lb, runner, where, tokens, now)
          - read_us (lb, runner, where, 0, now))
         * lb->speed.decode_prefill_slowdown;
}

/* Returns the tokens of PROMPT that RUNNER has to read.  A stream that goes on
   has read its prompt before, often at one of the candidates.  */
static double
tokens_to_read (const struct lb *lb, const struct pool_runner *runner,
                const struct lb_filter *where, const struct lb_prompt *prompt,
                int64_t now)
{
  return where->build != NULL ? lb_uncached_tokens (lb, runner, prompt, now)
                              : prompt->tokens;
}

struct lb_choice
lb_decode (const struct lb *lb, const struct runner_pool *runner_pool,
           const struct lb_filter *where, const struct lb_prompt *prompt,
           int64_t now)
{
  struct weighted_choice best = { .cost_us = 0 };
  size_t i;

  for (i = 0; i < pool_count (runner_pool); i++)
    {
      struct pool_runner *runner = pool_at (runner_pool, i);
      struct lb_choice choice = { .runner = runner };
      double load;
      double cost;
      if (!is_in_sample (runner, where, now))
        continue;
      load = pool_load (runner, now);
      choice.queue_us = slot_wait_us (lb, runner, where, load, now);
      choice.first_byte_us
          = choice.queue_us + first_token_us (lb, runner, where, load, now);
      cost = choice.first_byte_us
             + crowding_cost_us (lb, runner, where, load, now)
             + pause_cost_us (lb, runner, where, load, now)
             + pool_failure_rate (runner, now) * DECODE_FAILURE_COST_US;
      if (prompt != NULL)
        {
          choice.read_us
              = decode_read_us (lb, runner, where, prompt->tokens, now);
          choice.first_byte_us += choice.read_us;
          cost += decode_read_us (
              lb, runner, where,
              tokens_to_read (lb, runner, where, prompt, now) + runner->tokens
                  + runner->peer_tokens,
              now);
        }
      keep_cheaper (&best, &choice, cost + cross_zone_cost_us (runner, where));
    }
  return best.choice;
}

struct lb_choice
lb_overflow (const struct lb *lb, const struct runner_pool *runner_pool,
             const struct lb_filter *where, const struct lb_prompt *prompt,
             double share, int64_t now)
{
  struct weighted_choice best = { .cost_us = 0 };
  size_t i;

  for (i = 0; i < pool_count (runner_pool); i++)
    {
      struct pool_runner *runner = pool_at (runner_pool, i);
      struct lb_choice choice = { .runner = runner };
      double load;
      if (!is_in_sample (runner, where, now) || runner->entry.slots == 0
          || runner->tokens + runner->peer_tokens > 0)
        continue;
      load = pool_load (runner, now);
      if (load > share * runner->entry.slots)
        continue;
      choice.uncached_tokens = lb_uncached_tokens (lb, runner, prompt, now);
      choice.read_us = read_us (
          lb, runner, where,
          choice.uncached_tokens * lb->speed.decode_prefill_slowdown, now);
      choice.first_byte_us = choice.read_us;
      keep_cheaper (&best, &choice,
                    choice.first_byte_us * (1 + load / runner->entry.slots)
                        + pool_failure_rate (runner, now)
                              * PREFILL_FAILURE_COST_US
                        + cross_zone_cost_us (runner, where));
    }
  return best.choice;
}

/* Returns the time that a call takes RUNNER.  */
static double
learnt_call_us (const struct pool_runner *runner, int64_t now)
{
  return pace_service_us (runner->service_pace, PACE_CALL, 0)
         * pace_factor (&runner->pace, PACE_CALL, now);
}

struct lb_choice
lb_call (const struct runner_pool *runner_pool, const struct lb_filter *where,
         uint64_t random, int64_t now)
{
  struct weighted_choice best = { .cost_us = 0 };
  size_t n = pool_count (runner_pool);
  size_t i;

  for (i = 0; i < n; i++)
    {
      struct pool_runner *runner = pool_at (runner_pool, (i + random) % n);
      struct lb_choice choice = { .runner = runner };
      double call_us
          = runner->latency_us > 0 ? runner->latency_us : CALL_DEFAULT_US;
      double usual_us = CALL_DEFAULT_US;
      double slots = runner->entry.slots > 0 ? runner->entry.slots : 1;
      double load;
      double cost;
      if (!is_eligible (runner, where, now))
        continue;
      load = pool_load (runner, now);
      if (where->learns)
        {
          call_us = usual_us = learnt_call_us (runner, now);
          slots = pace_calls (&runner->pace, slots);
        }
      if (load >= slots)
        choice.queue_us = (load - slots + 1) / slots * usual_us;
      choice.first_byte_us = choice.queue_us + usual_us;
      cost = call_us * (1 + load / slots) + choice.queue_us
             + pool_failure_rate (runner, now) * CALL_FAILURE_COST_US;
      if (where->learns && runner->calls == 0
          && pace_is_unknown (&runner->pace, now))
        cost *= look_again_cost;
      keep_cheaper (&best, &choice, cost + cross_zone_cost_us (runner, where));
    }
  return best.choice;
}

int
lb_exceeds_limit (const struct lb_choice *choice, double limit)
{
  double own = choice->first_byte_us - choice->queue_us;

  return choice->queue_us + MIN (own, limit / 2) > limit;
}
