#include "policy_model.h"

void
runner_init (struct runner *runner, int index, enum engine_role role)
{
  g_snprintf (runner->name, sizeof runner->name, "runner-%d", index);
  g_snprintf (runner->zone, sizeof runner->zone, "zone-%d", index % ZONES);
  g_queue_init (&runner->waiting);
  g_queue_init (&runner->joining);
  g_queue_init (&runner->lru);
  runner->batch = g_ptr_array_new ();
  runner->cache = g_hash_table_new (g_int64_hash, g_int64_equal);
  runner->next_us = NEVER_US;
  runner->available_us = NEVER_US;
  runner->role = role;
  runner->target = role;
}

void
runner_flush_cache (struct runner *runner)
{
  g_hash_table_remove_all (runner->cache);
  g_queue_clear_full (&runner->lru, g_free);
}

void
runner_clear (struct runner *runner)
{
  runner_flush_cache (runner);
  g_hash_table_destroy (runner->cache);
  g_queue_clear (&runner->waiting);
  g_queue_clear (&runner->joining);
  g_ptr_array_free (runner->batch, 1);
}

int
runner_accepts (const struct runner *runner)
{
  return !runner->down && !runner->draining && !runner->withdrawn;
}

int
runner_idle (const struct runner *runner)
{
  return !runner->waiting.length && !runner->joining.length
         && !runner->batch->len;
}

uint64_t
runner_running (const struct runner *runner)
{
  return runner->batch->len + (runner->chunk > 0);
}

uint64_t
runner_queued (const struct runner *runner)
{
  return runner->waiting.length + runner->joining.length - (runner->chunk > 0);
}

/* Looks up the prefix blocks of REQUEST, marks those in the cache as recently
   used and adds the others.  Returns the number of tokens in the cached
   prefix.  */
static uint64_t
use_cache (const struct params *params, struct runner *runner,
           const struct request *request)
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
          g_queue_unlink (&runner->lru, link);
          g_queue_push_head_link (&runner->lru, link);
          continue;
        }
      g_queue_push_head (&runner->lru,
                         g_memdup2 (&request->prefix[i], sizeof (gint64)));
      g_hash_table_insert (runner->cache, runner->lru.head->data,
                           runner->lru.head);
      if (runner->lru.length > params->cache_pieces)
        {
          gint64 *oldest = g_queue_pop_tail (&runner->lru);

          g_hash_table_remove (runner->cache, oldest);
          g_free (oldest);
        }
    }
  return held * ROUTE_BLOCK_TOKENS;
}

static void
join_batch (const struct params *params, struct runner *runner, int64_t now)
{
  for (;;)
    {
      struct request *head = g_queue_peek_head (&runner->joining);

      if (!head || head->ready_us > now
          || runner->batch->len >= params->capacity)
        return;
      g_ptr_array_add (runner->batch, g_queue_pop_head (&runner->joining));
    }
}

void
runner_start (const struct params *params, struct runner *runner, int64_t now)
{
  struct request *head = g_queue_peek_head (&runner->waiting);
  const struct request *joins;
  int64_t us = 0;
  int64_t batch;

  runner->next_us = NEVER_US;
  runner->chunk = 0;
  if (runner->down)
    return;
  join_batch (params, runner, now);
  batch = runner->batch->len;
  if (head && batch < params->capacity)
    {
      if (!head->cache_looked_up)
        {
          uint64_t held = use_cache (params, runner, head);

          head->cache_looked_up = 1;
          runner->prefill_tokens += head->left;
          runner->cached_tokens += MIN (held, head->left - 1);
          head->left -= MIN (held, head->left - 1);
        }
      runner->chunk = MIN (head->left, (uint64_t)params->chunk_tokens);
      us = (int64_t)runner->chunk * params->prefill_us_per_token;
    }
  if (batch)
    us += params->step_us + (batch - 1) * params->step_us_per_request;
  if (batch && runner->chunk)
    us += us * params->mixed_permil / PERMIL;
  joins = g_queue_peek_head (&runner->joining);
  if (us)
    runner->next_us = now + us;
  else if (joins)
    runner->next_us = MAX (joins->ready_us, now + 1);
}

static void
add_token (struct request *request, int64_t now)
{
  if (request->first_us)
    request->slow_gaps += now - request->token_us > TOKEN_GAP_LIMIT_US;
  request->token_us = now;
  request->done++;
}

static void
end_prefill (struct runner *runner, const struct runner_events *events,
             int64_t now)
{
  struct request *head = g_queue_pop_head (&runner->waiting);

  runner->prompt_done += head->prompt;
  add_token (head, now);
  if (!head->first_us)
    {
      head->first_us = now;
      events->first_token (events->ctx, head, now);
    }
  if (head->done >= head->output)
    events->end (events->ctx, head, now);
  else if (!events->move (events->ctx, head, now))
    g_ptr_array_add (runner->batch, head);
}

void
runner_end (const struct params *params, struct runner *runner,
            const struct runner_events *events, int64_t now)
{
  guint i = 0;

  while (i < runner->batch->len)
    {
      struct request *request = runner->batch->pdata[i];

      add_token (request, now);
      if (request->done < request->output)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (runner->batch, i);
      runner->output_done += request->output;
      events->end (events->ctx, request, now);
    }
  if (runner->chunk)
    {
      struct request *head = g_queue_peek_head (&runner->waiting);

      head->left -= runner->chunk;
      runner->chunk = 0;
      if (!head->left)
        end_prefill (runner, events, now);
    }
  runner_start (params, runner, now);
}
