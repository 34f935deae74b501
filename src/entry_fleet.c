#include "entry_fleet.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "goldcresthatch/engine.h"
#include "goldcresthatch/log.h"

enum
{
  CACHE_BLOCKS_MAX = 65536,
  CACHE_HALF_LIFE_US = 300 * G_USEC_PER_SEC,
  PREFILL_CHUNK_TOKENS = 512
};

static int64_t
distance_us (void *ctx, const char *from, const char *to)
{
  const struct entry *entry = ctx;

  return strcmp (from, to) == 0 ? 0 : entry->settings.zone_distance_us;
}

void
entry_fleet_open (struct entry *entry)
{
  struct route_config config = {
    .entry = entry->settings.name,
    .cache_pieces = CACHE_BLOCKS_MAX,
    .half_life_us = CACHE_HALF_LIFE_US,
    .prefill_role = ENGINE_ROLE_PREFILL,
    .decode_role = ENGINE_ROLE_DECODE,
    .distance_us = distance_us,
    .ctx = entry,
  };

  entry->fleet = g_new0 (struct entry_fleet, 1);
  entry->fleet->fleet = fleet_new ();
  entry->fleet->route = route_new (&config);
  entry->fleet->by_index = g_ptr_array_new ();
  entry->fleet->by_peer = g_hash_table_new (g_int64_hash, g_int64_equal);
  entry->fleet->links = g_ptr_array_new_with_free_func (g_free);
}

void
entry_fleet_close (struct entry *entry)
{
  fleet_free (entry->fleet->fleet);
  route_free (entry->fleet->route);
  g_ptr_array_free (entry->fleet->by_index, TRUE);
  g_hash_table_destroy (entry->fleet->by_peer);
  g_ptr_array_free (entry->fleet->links, TRUE);
  g_free (entry->fleet);
}

static struct link *
find_peer (struct entry *entry, uint64_t peer)
{
  return g_hash_table_lookup (entry->fleet->by_peer, &peer);
}

void
entry_fleet_report (struct entry *entry, uint64_t peer,
                    const struct msg_report *report)
{
  const struct fleet_runner *runner;
  gint64 now = g_get_monotonic_time ();
  struct link *link;
  struct err err;
  int was_usable;

  pthread_mutex_lock (&entry->lock);
  link = find_peer (entry, peer);
  runner = link != NULL ? fleet_get (entry->fleet->fleet, link->ref) : NULL;
  /* A report with another runner's name comes from a VM that has replaced the
     one in the VM list; it is ignored until the list has the new one.  */
  if (link != NULL && report->agent.n == strlen (link->name)
      && memcmp (report->agent.p, link->name, report->agent.n) == 0)
    {
      link->reported_us = now;
      link->running = report->running;
      link->queued = report->queued;
      link->state = (enum msg_agent_state)report->state;
      link->endpoint_up = report->endpoint_up != 0;
      link->cfg_generation = report->cfg_generation;
      link->hello_until_us = 0;
      was_usable = runner != NULL && runner->usable;
      if (runner != NULL
          && fleet_report (entry->fleet->fleet, report, now, &err) != 0)
        log_err (LOG_LEVEL_DEBUG, NULL, &err);
      if (runner != NULL && !was_usable && runner->usable)
        entry_fleet_refresh_route (entry);
    }
  pthread_mutex_unlock (&entry->lock);
}

static void
fill_request (struct entry *entry, const struct entry_call *call,
              const struct fleet_ref *excluded, size_t n,
              struct route_request *request)
{
  const struct entry_settings *settings = &entry->settings;

  memset (request, 0, sizeof *request);
  request->service = call->service;
  request->zone = settings->zone;
  request->priority = (unsigned)call->priority;
  request->budget_us = call->deadline_us - g_get_monotonic_time ();
  request->excluded = excluded;
  request->n_excluded = n;
  if (call->prompt == NULL)
    {
      request->speed.request_us = (uint32_t)settings->request_us;
      return;
    }
  request->prompt_tokens = call->prompt->len / ENTRY_BYTES_PER_TOKEN + 1;
  request->output_tokens = call->output_tokens;
  request->prefix = call->prefix;
  request->n_prefix = call->n_prefix;
  request->speed.prefill_us_per_token = (uint32_t)settings->prefill_us;
  request->speed.chunk_tokens = PREFILL_CHUNK_TOKENS;
  request->speed.step_us = (uint32_t)settings->step_us;
  request->speed.step_us_per_request = (uint32_t)settings->step_request_us;
}

void
entry_fleet_hash_prompt (struct entry_call *call)
{
  call->n_prefix
      = route_hash_prefix (call->service, call->prompt->str, call->prompt->len,
                           (size_t)ROUTE_BLOCK_TOKENS * ENTRY_BYTES_PER_TOKEN,
                           call->prefix, ROUTE_BLOCKS_MAX);
}

/* Chooses a runner for CALL other than the N runners EXCLUDED; the entry's
   lock is held.  */
static struct route_choice
choose (struct entry *entry, const struct entry_call *call,
        const struct fleet_ref *excluded, size_t n, gint64 now)
{
  struct route_request request;
  uint64_t random;

  randombytes_buf (&random, sizeof random);
  fill_request (entry, call, excluded, n, &request);
  return route_choose (entry->fleet->route, entry->fleet->fleet, &request,
                       random, now);
}

/* Counts the attempt of CALL on the runner of CHOICE and fills in OUT. Returns
   0 when the runner is not connected.  */
static int
assign_attempt (struct entry *entry, const struct entry_call *call,
                const struct route_choice *choice, gint64 now,
                struct entry_runner *out)
{
  struct entry_fleet *fleet = entry->fleet;
  const struct fleet_runner *runner = fleet_get (fleet->fleet, choice->ref);
  struct link *link = entry_fleet_find_link (entry, choice->ref);
  uint64_t tokens = 0;

  if (runner == NULL || link == NULL || link->peer == 0)
    return 0;
  if (call->prompt != NULL)
    tokens = call->prompt->len / ENTRY_BYTES_PER_TOKEN + 1 - choice->cached;
  link->attempts++;
  out->peer = link->peer;
  g_strlcpy (out->name, runner->name, sizeof out->name);
  out->incarnation = runner->incarnation;
  out->window = runner->window;
  out->ttft_us = choice->first_us;
  out->work = fleet_sent (fleet->fleet, choice->ref, tokens);
  route_note_served (fleet->route, choice->ref, call->prefix, call->n_prefix,
                     now);
  return 1;
}

void
entry_fleet_get_supply (struct entry *entry, const char *service,
                        const struct entry_call *call,
                        struct entry_fleet_supply *out)
{
  struct entry_call brief
      = { .service = (char *)service, .deadline_us = G_MAXINT64 };
  struct fleet_ref refs[ROUTE_SUBSET_MAX];
  size_t n = route_subset (entry->fleet->route, service, refs);
  size_t i;

  memset (out, 0, sizeof *out);
  for (i = 0; i < n; i++)
    {
      const struct fleet_runner *runner
          = fleet_get (entry->fleet->fleet, refs[i]);

      if (runner == NULL || !runner->usable)
        continue;
      out->slots += MAX (runner->load.capacity, 1);
      if (runner->load.requests < MAX (runner->load.capacity, 1))
        out->free_slots
            += MAX (runner->load.capacity, 1) - runner->load.requests;
    }
  out->ttft_us = choose (entry, call != NULL ? call : &brief, NULL, 0,
                         g_get_monotonic_time ())
                     .first_us;
}

/* Chooses a runner other than AVOID and reserves it if CALL is a suspect.  */
static struct route_choice
choose_and_reserve (struct entry *entry, struct entry_call *call,
                    const struct link *avoid, gint64 now)
{
  struct fleet_ref excluded[ROUTE_SUBSET_MAX + 1];
  struct route_choice choice;
  size_t n = 0;

  if (avoid != NULL)
    excluded[n++] = avoid->ref;
  for (;;)
    {
      choice = choose (entry, call, excluded, n, now);
      if (choice.ref.generation == 0
          || entry_suspect_acquire_runner (entry, call, choice.ref) == 0)
        return choice;
      if (n == G_N_ELEMENTS (excluded))
        break;
      excluded[n++] = choice.ref;
    }
  choice.ref.generation = 0;
  return choice;
}

int
entry_fleet_choose (struct entry *entry, struct entry_call *call,
                    struct entry_runner *out)
{
  gint64 now = g_get_monotonic_time ();
  struct route_choice choice;
  struct link *last;
  int found;

  pthread_mutex_lock (&entry->lock);
  last = find_peer (entry, call->previous_peer);
  choice = choose_and_reserve (entry, call, last, now);
  if (choice.ref.generation == 0 && last != NULL)
    choice = choose_and_reserve (entry, call, NULL, now);
  found = choice.ref.generation != 0
          && assign_attempt (entry, call, &choice, now, out);
  if (!found)
    entry_suspect_release_runner (entry, call, 0);
  pthread_mutex_unlock (&entry->lock);
  return found;
}

void
entry_fleet_first_token (struct entry *entry, struct fleet_work *work)
{
  pthread_mutex_lock (&entry->lock);
  fleet_first_token (entry->fleet->fleet, work);
  pthread_mutex_unlock (&entry->lock);
}

void
entry_fleet_release (struct entry *entry, uint64_t peer,
                     struct entry_call *call, const struct msg_end *end)
{
  struct link *link;

  pthread_mutex_lock (&entry->lock);
  link = find_peer (entry, peer);
  if (link != NULL && link->attempts > 0)
    link->attempts--;
  fleet_ended (entry->fleet->fleet, &call->work, end);
  entry_suspect_release_runner (entry, call, 0);
  entry_admit_slot_freed (entry);
  pthread_mutex_unlock (&entry->lock);
}

void
entry_fleet_mark_unusable (struct entry *entry, uint64_t peer)
{
  struct link *link;

  pthread_mutex_lock (&entry->lock);
  link = find_peer (entry, peer);
  if (link != NULL)
    {
      fleet_mark_failed (entry->fleet->fleet, link->ref);
      entry_fleet_request_report (link, g_get_monotonic_time ());
    }
  pthread_mutex_unlock (&entry->lock);
}

int
entry_fleet_is_alive (struct entry *entry, uint64_t peer, gint64 now_us)
{
  const struct fleet_runner *runner;
  struct link *link;
  int alive = 0;

  pthread_mutex_lock (&entry->lock);
  link = find_peer (entry, peer);
  runner = link != NULL ? fleet_get (entry->fleet->fleet, link->ref) : NULL;
  if (runner != NULL)
    alive = !runner->silent || runner->kept;
  else if (link != NULL)
    alive = now_us - link->reported_us < FLEET_REPORT_TIMEOUT_US;
  pthread_mutex_unlock (&entry->lock);
  return alive;
}

void
entry_fleet_name (struct entry *entry, uint64_t peer, char *name, size_t size)
{
  struct link *link;

  pthread_mutex_lock (&entry->lock);
  link = find_peer (entry, peer);
  g_strlcpy (name, link != NULL ? link->name : "", size);
  pthread_mutex_unlock (&entry->lock);
}

int
entry_fleet_may_have_service (struct entry *entry, const char *service)
{
  struct fleet *fleet = entry->fleet->fleet;
  int known = 0;
  size_t i;

  pthread_mutex_lock (&entry->lock);
  for (i = 0; i < fleet_slots (fleet) && !known; i++)
    {
      const struct fleet_runner *runner = fleet_at (fleet, i);

      if (runner == NULL)
        continue;
      /* While a runner has not reported its service, any service may exist, so
         that no call is rejected as invalid too early.  */
      known = strcmp (runner->service, service) == 0
              || runner->service[0] == '\0';
    }
  pthread_mutex_unlock (&entry->lock);
  return known;
}

int
entry_fleet_discovery_done (struct entry *entry)
{
  struct entry_fleet *fleet = entry->fleet;
  gint64 now = g_get_monotonic_time ();
  int settled;
  guint i;

  pthread_mutex_lock (&entry->lock);
  settled = fleet->listed;
  for (i = 0; i < fleet->links->len && settled; i++)
    settled = !entry_fleet_report_is_awaited (
        g_ptr_array_index (fleet->links, i), now);
  pthread_mutex_unlock (&entry->lock);
  return settled;
}

uint64_t
entry_fleet_find_peer (struct entry *entry, const char *name)
{
  GPtrArray *links = entry->fleet->links;
  uint64_t peer = 0;
  guint i;

  pthread_mutex_lock (&entry->lock);
  for (i = 0; i < links->len && peer == 0; i++)
    {
      const struct link *link = g_ptr_array_index (links, i);

      if (strcmp (link->name, name) == 0)
        peer = link->peer;
    }
  pthread_mutex_unlock (&entry->lock);
  return peer;
}

void
entry_fleet_apply_drains (struct entry *entry, const struct cfg_snapshot *snap)
{
  const char **names = g_new0 (const char *, snap->runner_count + 1);
  size_t n = 0;
  size_t i;

  for (i = 0; i < snap->runner_count; i++)
    if (snap->runners[i].drain || snap->runners[i].withdraw)
      names[n++] = snap->runners[i].name;
  pthread_mutex_lock (&entry->lock);
  fleet_withhold (entry->fleet->fleet, names, n);
  entry_fleet_refresh_route (entry);
  pthread_mutex_unlock (&entry->lock);
  g_free (names);
}
