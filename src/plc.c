#include "plc.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* An engine drops the parts used longest ago; beyond this age a part counts as
   dropped.  */
#define KEPT_US INT64_C (20000000)

enum
{
  HOMES = 2,            /* engines among which a session is placed */
  OTHER_ZONE_US = 1500, /* added to a choice outside the zone */
  CALL_US = 30000,      /* time of a plain call that isn't known yet */
  /* What a failure costs beside its time: a prompt is read elsewhere, a
     generation may not be sent again, nor may most plain calls.  */
  PROMPT_FAILED_US = 60000,
  DECODE_FAILED_US = 100000,
  CALL_FAILED_US = 300000
};

const struct plc_speed plc_speed_default = {
  .read_tokens_per_us = 0.34,
  .decode_read_slowdown = 2,
  .prompt_us = 2700,
  .token_us = 650,
  .token_us_per_request = 15,
  .transfer_us = 1500,
};

struct plc
{
  struct plc_speed speed;
  size_t memory_max;
  GHashTable *memory; /* hash of runner and part chain -> struct memory */
  GQueue order;       /* struct memory, the latest used at the head */
};

struct memory
{
  uint64_t key;
  int64_t used_us;
  GList *link;
};

struct plc *
plc_new (const struct plc_speed *speed, size_t memory_max)
{
  struct plc *plc = g_new0 (struct plc, 1);

  plc->speed = *speed;
  plc->memory_max = memory_max;
  plc->memory
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&plc->order);
  return plc;
}

void
plc_free (struct plc *plc)
{
  g_queue_clear (&plc->order);
  g_hash_table_destroy (plc->memory);
  g_free (plc);
}

static uint64_t
chain (uint64_t before, uint64_t id)
{
  uint64_t pair[2] = { before, id };

  return XXH64 (pair, sizeof pair, 0);
}

uint64_t
plc_session (const struct plc_prompt *prompt)
{
  uint64_t hash = 0;
  size_t n = prompt->n_parts > 1 ? prompt->n_parts - 1 : prompt->n_parts;
  size_t i;

  for (i = 0; i < n; i++)
    hash = chain (hash, prompt->parts[i].id);
  return hash;
}

uint32_t
plc_unread (const struct plc *plc, const struct memb_runner *runner,
            const struct plc_prompt *prompt, int64_t now)
{
  uint64_t key = runner->hash;
  uint32_t unread = prompt->tokens;
  size_t i;

  for (i = 0; i < prompt->n_parts; i++)
    {
      const struct memory *memory;
      key = chain (key, prompt->parts[i].id);
      memory = g_hash_table_lookup (plc->memory, &key);
      if (memory == NULL || now - memory->used_us > KEPT_US)
        break;
      unread -= MIN (unread, prompt->parts[i].tokens);
    }
  return unread;
}

void
plc_note (struct plc *plc, const struct memb_runner *runner,
          const struct plc_prompt *prompt, int64_t now)
{
  uint64_t key = runner->hash;
  size_t n = prompt->n_parts > 1 ? prompt->n_parts - 1 : prompt->n_parts;
  size_t i;

  for (i = 0; i < n; i++)
    {
      struct memory *memory;
      key = chain (key, prompt->parts[i].id);
      memory = g_hash_table_lookup (plc->memory, &key);
      if (memory != NULL)
        {
          memory->used_us = now;
          g_queue_unlink (&plc->order, memory->link);
          g_queue_push_head_link (&plc->order, memory->link);
          continue;
        }
      memory = g_new0 (struct memory, 1);
      memory->key = key;
      memory->used_us = now;
      g_queue_push_head (&plc->order, memory);
      memory->link = plc->order.head;
      g_hash_table_insert (plc->memory, &memory->key, memory);
      if (plc->order.length > plc->memory_max)
        {
          struct memory *old = g_queue_pop_tail (&plc->order);
          g_hash_table_remove (plc->memory, &old->key);
        }
    }
}

static int
fits (const struct memb_runner *runner, const struct plc_where *where,
      int64_t now)
{
  size_t i;

  if (!memb_usable (runner, now) || memb_changing (runner)
      || (where->calls_max > 0 && runner->calls >= where->calls_max)
      || strcmp (runner->entry.service, where->service) != 0
      || (where->stage != MEMB_STAGE_ANY
          && runner->entry.stage != where->stage))
    return 0;
  for (i = 0; i < where->n_excluded; i++)
    if (where->excluded[i] == runner)
      return 0;
  return 1;
}

/* Returns the time in which RUNNER reads what waits there: its own tokens are
   known, those of others are taken as like them unless they tell.  */
static double
backlog_us (const struct plc *plc, const struct memb_runner *runner,
            int64_t now)
{
  double load = memb_load (runner, now);
  double own = runner->calls;
  double tokens = runner->tokens + runner->others_tokens;
  double each = own > 0 ? tokens / own : 2890; /* a usual prompt's own part */

  if (load > own && runner->others_us == 0)
    tokens += (load - own) * each;
  return tokens / plc->speed.read_tokens_per_us + load * plc->speed.prompt_us;
}

/* A choice and what it costs callers beyond its own time.  */
struct weighed
{
  struct plc_choice choice;
  double cost_us;
};

static void
take_if_better (struct weighed *best, const struct plc_choice *choice,
                double cost_us)
{
  if (best->choice.runner != NULL && cost_us >= best->cost_us)
    return;
  best->choice = *choice;
  best->cost_us = cost_us;
}

static double
other_zone_us (const struct memb_runner *runner, const struct plc_where *where)
{
  return strcmp (runner->entry.zone, where->zone) != 0 ? OTHER_ZONE_US : 0;
}

struct plc_choice
plc_prefill (const struct plc *plc, const struct memb *memb,
             const struct plc_where *where, const struct plc_prompt *prompt,
             int64_t now)
{
  uint64_t session = plc_session (prompt);
  struct memb_runner *home[HOMES] = { NULL };
  uint64_t weight[HOMES] = { 0 };
  struct weighed best = { { NULL, 0, 0, 0 }, 0 };
  size_t i;
  int k;

  for (i = 0; i < memb_count (memb); i++)
    {
      struct memb_runner *runner = memb_at (memb, i);
      uint64_t w;
      int at;
      if (!fits (runner, where, now))
        continue;
      w = chain (runner->hash, session);
      for (at = HOMES; at > 0 && (home[at - 1] == NULL || w > weight[at - 1]);
           at--)
        if (at < HOMES)
          {
            home[at] = home[at - 1];
            weight[at] = weight[at - 1];
          }
      if (at < HOMES)
        {
          home[at] = runner;
          weight[at] = w;
        }
    }
  for (k = 0; k < HOMES && home[k] != NULL; k++)
    {
      struct plc_choice choice = { home[k], 0, 0, 0 };
      choice.unread = plc_unread (plc, home[k], prompt, now);
      choice.wait_us = backlog_us (plc, home[k], now);
      choice.first_us = choice.wait_us + plc->speed.prompt_us
                        + choice.unread / plc->speed.read_tokens_per_us;
      take_if_better (&best, &choice,
                      choice.first_us
                          + memb_failing (home[k], now) * PROMPT_FAILED_US);
    }
  return best.choice;
}

struct plc_choice
plc_decode (const struct plc *plc, const struct memb *memb,
            const struct plc_where *where, const struct plc_prompt *prompt,
            int64_t now)
{
  struct weighed best = { { NULL, 0, 0, 0 }, 0 };
  size_t i;

  for (i = 0; i < memb_count (memb); i++)
    {
      struct memb_runner *runner = memb_at (memb, i);
      struct plc_choice choice = { runner, 0, 0, 0 };
      double load;
      double cost;
      if (!fits (runner, where, now))
        continue;
      load = memb_load (runner, now);
      if (runner->entry.slots > 0 && load >= runner->entry.slots)
        choice.wait_us
            = (load - runner->entry.slots + 1)
              * (plc->speed.token_us + load * plc->speed.token_us_per_request);
      choice.first_us = choice.wait_us + plc->speed.transfer_us
                        + plc->speed.token_us
                        + load * plc->speed.token_us_per_request;
      if (prompt != NULL)
        choice.first_us += prompt->tokens / plc->speed.read_tokens_per_us
                           * plc->speed.decode_read_slowdown;
      cost = choice.first_us + load * plc->speed.token_us
             + memb_failing (runner, now) * DECODE_FAILED_US;
      take_if_better (&best, &choice, cost + other_zone_us (runner, where));
    }
  return best.choice;
}

struct plc_choice
plc_overflow (const struct plc *plc, const struct memb *memb,
              const struct plc_where *where, const struct plc_prompt *prompt,
              double share, int64_t now)
{
  struct weighed best = { { NULL, 0, 0, 0 }, 0 };
  size_t i;

  for (i = 0; i < memb_count (memb); i++)
    {
      struct memb_runner *runner = memb_at (memb, i);
      struct plc_choice choice = { runner, 0, 0, 0 };
      double load;
      if (!fits (runner, where, now) || runner->entry.slots == 0
          || runner->tokens + runner->others_tokens > 0)
        continue;
      load = memb_load (runner, now);
      if (load > share * runner->entry.slots)
        continue;
      choice.unread = plc_unread (plc, runner, prompt, now);
      choice.first_us = plc->speed.prompt_us
                        + choice.unread / plc->speed.read_tokens_per_us
                              * plc->speed.decode_read_slowdown;
      take_if_better (&best, &choice,
                      choice.first_us * (1 + load / runner->entry.slots)
                          + memb_failing (runner, now) * PROMPT_FAILED_US
                          + other_zone_us (runner, where));
    }
  return best.choice;
}

struct plc_choice
plc_call (const struct memb *memb, const struct plc_where *where,
          uint64_t random, int64_t now)
{
  struct weighed best = { { NULL, 0, 0, 0 }, 0 };
  size_t n = memb_count (memb);
  size_t i;

  for (i = 0; i < n; i++)
    {
      struct memb_runner *runner = memb_at (memb, (i + random) % n);
      struct plc_choice choice = { runner, 0, 0, 0 };
      double each = runner->slow_us > 0 ? runner->slow_us : CALL_US;
      double slots = runner->entry.slots > 0 ? runner->entry.slots : 1;
      double load;
      double cost;
      if (!fits (runner, where, now))
        continue;
      load = memb_load (runner, now);
      if (load >= slots)
        choice.wait_us = (load - slots + 1) / slots * CALL_US;
      choice.first_us = choice.wait_us + CALL_US;
      cost = each * (1 + load / slots) + choice.wait_us
             + memb_failing (runner, now) * CALL_FAILED_US;
      take_if_better (&best, &choice, cost + other_zone_us (runner, where));
    }
  return best.choice;
}

int
plc_is_late (const struct plc_choice *choice, double limit)
{
  double own = choice->first_us - choice->wait_us;

  return choice->wait_us + MIN (own, limit / 2) > limit;
}
