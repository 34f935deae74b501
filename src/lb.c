#include "lb.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Engines evict the least recently used blocks; a block unused for this long
   counts as evicted.  */
#define CACHE_RETENTION_US INT64_C (20000000)

enum
{
  SESSION_CANDIDATES = 2, /* candidate engines of a session */
  CROSS_ZONE_COST_US
  = 1500,                  /* cost of a runner in another availability zone */
  CALL_DEFAULT_US = 30000, /* expected time of a plain call */
  /* Cost of a failure beyond the time lost: a prefill is repeated at another
     engine; a decode may not be retried, nor may most plain calls.  */
  PREFILL_FAILURE_COST_US = 60000,
  DECODE_FAILURE_COST_US = 100000,
  CALL_FAILURE_COST_US = 300000
};

const struct lb_speed lb_speed_default = {
  .prefill_tokens_per_us = 0.34,
  .decode_prefill_slowdown = 2,
  .prefill_overhead_us = 2700,
  .token_us = 650,
  .decode_step_us_per_request = 15,
  .transfer_us = 1500,
};

struct lb
{
  struct lb_speed speed;
  size_t cache_entries_max;
  GHashTable *memory; /* hash of runner and block chain -> struct memory */
  GQueue order;       /* struct memory, most recently used first */
};

/* A prefix block that an engine has in its KV cache.  */
struct memory
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
  lb->memory
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&lb->order);
  return lb;
}

void
lb_free (struct lb *lb)
{
  g_queue_clear (&lb->order);
  g_hash_table_destroy (lb->memory);
  g_free (lb);
}

/* Returns the hash of a chain that ends with ID after BEFORE.  */
static uint64_t
chain (uint64_t before, uint64_t id)
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
    hash = chain (hash, prompt->parts[i].id);
  return hash;
}

uint32_t
lb_uncached_tokens (const struct lb *lb, const struct pool_runner *runner,
                    const struct lb_prompt *prompt, int64_t now)
{
  uint64_t key = runner->hash;
  uint32_t unread = prompt->tokens;
  size_t i;

  for (i = 0; i < prompt->n_blocks; i++)
    {
      const struct memory *memory;
      key = chain (key, prompt->parts[i].id);
      memory = g_hash_table_lookup (lb->memory, &key);
      if (memory == NULL || now - memory->used_us > CACHE_RETENTION_US)
        break;
      unread -= MIN (unread, prompt->parts[i].tokens);
    }
  return unread;
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
      struct memory *memory;
      key = chain (key, prompt->parts[i].id);
      memory = g_hash_table_lookup (lb->memory, &key);
      if (memory != NULL)
        {
          memory->used_us = now;
          g_queue_unlink (&lb->order, memory->link);
          g_queue_push_head_link (&lb->order, memory->link);
          continue;
        }
      memory = g_new0 (struct memory, 1);
      memory->key = key;
      memory->used_us = now;
      g_queue_push_head (&lb->order, memory);
      memory->link = lb->order.head;
      g_hash_table_insert (lb->memory, &memory->key, memory);
      if (lb->order.length > lb->cache_entries_max)
        {
          struct memory *old = g_queue_pop_tail (&lb->order);
          g_hash_table_remove (lb->memory, &old->key);
        }
    }
}

/* Returns nonzero when RUNNER is eligible by WHERE.  */
static int
is_eligible (const struct pool_runner *runner, const struct lb_filter *where,
             int64_t now)
{
  size_t i;

  if (!pool_usable (runner, now) || pool_is_changing_stage (runner)
      || (where->calls_max > 0 && runner->calls >= where->calls_max)
      || strcmp (runner->entry.service, where->service) != 0
      || (where->stage != POOL_STAGE_ANY
          && runner->entry.stage != where->stage))
    return 0;
  for (i = 0; i < where->n_excluded; i++)
    if (where->excluded[i] == runner)
      return 0;
  return 1;
}

/* Returns the time in which RUNNER reads its queue.  The queued tokens of this
   process and of gateways that report them are known; other requests are
   assumed to have as many tokens each as ours.  */
static double
queueing_delay_us (const struct lb *lb, const struct pool_runner *runner,
                   int64_t now)
{
  double load = pool_load (runner, now);
  double own = runner->calls;
  double tokens = runner->tokens + runner->peer_tokens;
  double each
      = own > 0 ? tokens / own : 2890; /* typical own block of a prompt */

  if (load > own && runner->peer_report_us == 0)
    tokens += (load - own) * each;
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

struct lb_choice
lb_prefill (const struct lb *lb, const struct runner_pool *runner_pool,
            const struct lb_filter *where, const struct lb_prompt *prompt,
            int64_t now)
{
  uint64_t session = lb_session_hash (prompt);
  struct pool_runner *home[SESSION_CANDIDATES] = { NULL };
  uint64_t weight[SESSION_CANDIDATES] = { 0 };
  struct weighted_choice best = { { NULL, 0, 0, 0 }, 0 };
  size_t i;
  int k;

  for (i = 0; i < pool_count (runner_pool); i++)
    {
      struct pool_runner *runner = pool_at (runner_pool, i);
      uint64_t w;
      int at;
      if (!is_eligible (runner, where, now))
        continue;
      w = chain (runner->hash, session);
      for (at = SESSION_CANDIDATES;
           at > 0 && (home[at - 1] == NULL || w > weight[at - 1]); at--)
        if (at < SESSION_CANDIDATES)
          {
            home[at] = home[at - 1];
            weight[at] = weight[at - 1];
          }
      if (at < SESSION_CANDIDATES)
        {
          home[at] = runner;
          weight[at] = w;
        }
    }
  for (k = 0; k < SESSION_CANDIDATES && home[k] != NULL; k++)
    {
      struct lb_choice choice = { home[k], 0, 0, 0 };
      choice.unread = lb_uncached_tokens (lb, home[k], prompt, now);
      choice.wait_us = queueing_delay_us (lb, home[k], now);
      choice.first_us = choice.wait_us + lb->speed.prefill_overhead_us
                        + choice.unread / lb->speed.prefill_tokens_per_us;
      keep_cheaper (&best, &choice,
                    choice.first_us
                        + pool_failure_rate (home[k], now)
                              * PREFILL_FAILURE_COST_US);
    }
  return best.choice;
}

struct lb_choice
lb_decode (const struct lb *lb, const struct runner_pool *runner_pool,
           const struct lb_filter *where, const struct lb_prompt *prompt,
           int64_t now)
{
  struct weighted_choice best = { { NULL, 0, 0, 0 }, 0 };
  size_t i;

  for (i = 0; i < pool_count (runner_pool); i++)
    {
      struct pool_runner *runner = pool_at (runner_pool, i);
      struct lb_choice choice = { runner, 0, 0, 0 };
      double load;
      double cost;
      if (!is_eligible (runner, where, now))
        continue;
      load = pool_load (runner, now);
      if (runner->entry.slots > 0 && load >= runner->entry.slots)
        choice.wait_us = (load - runner->entry.slots + 1)
                         * (lb->speed.token_us
                            + load * lb->speed.decode_step_us_per_request);
      choice.first_us = choice.wait_us + lb->speed.transfer_us
                        + lb->speed.token_us
                        + load * lb->speed.decode_step_us_per_request;
      if (prompt != NULL)
        choice.first_us += prompt->tokens / lb->speed.prefill_tokens_per_us
                           * lb->speed.decode_prefill_slowdown;
      cost = choice.first_us + load * lb->speed.token_us
             + pool_failure_rate (runner, now) * DECODE_FAILURE_COST_US;
      keep_cheaper (&best, &choice, cost + cross_zone_cost_us (runner, where));
    }
  return best.choice;
}

struct lb_choice
lb_overflow (const struct lb *lb, const struct runner_pool *runner_pool,
             const struct lb_filter *where, const struct lb_prompt *prompt,
             double share, int64_t now)
{
  struct weighted_choice best = { { NULL, 0, 0, 0 }, 0 };
  size_t i;

  for (i = 0; i < pool_count (runner_pool); i++)
    {
      struct pool_runner *runner = pool_at (runner_pool, i);
      struct lb_choice choice = { runner, 0, 0, 0 };
      double load;
      if (!is_eligible (runner, where, now) || runner->entry.slots == 0
          || runner->tokens + runner->peer_tokens > 0)
        continue;
      load = pool_load (runner, now);
      if (load > share * runner->entry.slots)
        continue;
      choice.unread = lb_uncached_tokens (lb, runner, prompt, now);
      choice.first_us = lb->speed.prefill_overhead_us
                        + choice.unread / lb->speed.prefill_tokens_per_us
                              * lb->speed.decode_prefill_slowdown;
      keep_cheaper (&best, &choice,
                    choice.first_us * (1 + load / runner->entry.slots)
                        + pool_failure_rate (runner, now)
                              * PREFILL_FAILURE_COST_US
                        + cross_zone_cost_us (runner, where));
    }
  return best.choice;
}

struct lb_choice
lb_call (const struct runner_pool *runner_pool, const struct lb_filter *where,
         uint64_t random, int64_t now)
{
  struct weighted_choice best = { { NULL, 0, 0, 0 }, 0 };
  size_t n = pool_count (runner_pool);
  size_t i;

  for (i = 0; i < n; i++)
    {
      struct pool_runner *runner = pool_at (runner_pool, (i + random) % n);
      struct lb_choice choice = { runner, 0, 0, 0 };
      double each = runner->slow_us > 0 ? runner->slow_us : CALL_DEFAULT_US;
      double slots = runner->entry.slots > 0 ? runner->entry.slots : 1;
      double load;
      double cost;
      if (!is_eligible (runner, where, now))
        continue;
      load = pool_load (runner, now);
      if (load >= slots)
        choice.wait_us = (load - slots + 1) / slots * CALL_DEFAULT_US;
      choice.first_us = choice.wait_us + CALL_DEFAULT_US;
      cost = each * (1 + load / slots) + choice.wait_us
             + pool_failure_rate (runner, now) * CALL_FAILURE_COST_US;
      keep_cheaper (&best, &choice, cost + cross_zone_cost_us (runner, where));
    }
  return best.choice;
}

int
lb_exceeds_limit (const struct lb_choice *choice, double limit)
{
  double own = choice->first_us - choice->wait_us;

  return choice->wait_us + MIN (own, limit / 2) > limit;
}
