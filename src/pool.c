#include "pool.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Back-off after a failure, which may be a restart that takes seconds.  */
#define FAILURE_BACKOFF_FIRST_US INT64_C (250000)
#define FAILURE_BACKOFF_MAX_US INT64_C (2000000)
/* Back-off after refusals in a row: the runner may be full for a moment, or
   changing its stage, which takes seconds.  */
#define REFUSAL_BACKOFF_FIRST_US INT64_C (50000)
#define REFUSAL_BACKOFF_MAX_US INT64_C (800000)
/* Load reported by an answer is out of date after a few more answers.  */
static const double reported_load_half_life_us = 150000;
/* Faulty runners recover within seconds.  */
static const double failure_rate_half_life_us = 3e6;
/* An engine whose change of stage a peer has reported is left out of queries,
   so the report is forgotten after this time.  */
#define PEER_ORDER_US INT64_C (1000000)
/* How long a lifetime that has left is remembered: longer than the copy is old
   from which the registry is restored.  */
#define DEPARTED_US INT64_C (60000000)
/* An entry that is still in a restored registry after this time is no longer
   taken for that of a runner that has left.  */
#define DOUBT_US INT64_C (10000000)
/* A runner that serves no request within this time after a rest is as slow as
   others; more requests then tell nothing new.  */
#define SLOW_START_US INT64_C (1000000)
/* Weight of the old value in the moving averages.  */
static const double average_decay = 0.9;

enum
{
  REFUSALS_TOLERATED = 3, /* in a row without back-off */
  BROKEN_BEFORE_BACKOFF
  = 3 /* broken connections in a row that start a back-off */
};

/* The latest lifetime of an id that has left.  */
struct departed
{
  char id[64];
  int64_t started_ms;
  int64_t at_us;
  int announced;         /* it had said that it leaves */
  int64_t rest_until_us; /* as of struct pool_runner */
};

struct runner_pool
{
  GPtrArray *runners;
  GHashTable *by_hash;  /* pool_runner.hash -> struct pool_runner */
  GHashTable *departed; /* id -> struct departed */
  GHashTable *paces;    /* service -> struct pace_service */
  int restored; /* from an older copy, and no listing has ended since */
  int reachable;
  int64_t registry_returned_us; /* when the registry last became reachable */
  uint64_t changes;             /* of lifetimes */
};

struct runner_pool *
pool_new (void)
{
  struct runner_pool *runner_pool = g_new0 (struct runner_pool, 1);

  runner_pool->runners = g_ptr_array_new_with_free_func (g_free);
  runner_pool->by_hash = g_hash_table_new (g_int64_hash, g_int64_equal);
  runner_pool->departed
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  runner_pool->paces
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  runner_pool->reachable = 1;
  runner_pool->changes = 1;
  runner_pool->registry_returned_us = INT64_MIN / 2;
  return runner_pool;
}

void
pool_free (struct runner_pool *runner_pool)
{
  g_hash_table_destroy (runner_pool->by_hash);
  g_hash_table_destroy (runner_pool->departed);
  g_hash_table_destroy (runner_pool->paces);
  g_ptr_array_free (runner_pool->runners, TRUE);
  g_free (runner_pool);
}

uint64_t
pool_changes (const struct runner_pool *runner_pool)
{
  return runner_pool->changes;
}

size_t
pool_count (const struct runner_pool *runner_pool)
{
  return runner_pool->runners->len;
}

struct pool_runner *
pool_at (const struct runner_pool *runner_pool, size_t i)
{
  return g_ptr_array_index (runner_pool->runners, i);
}

/* Returns the latest lifetime of ID.  */
struct pool_runner *
pool_find (const struct runner_pool *runner_pool, const char *id)
{
  struct pool_runner *found = NULL;
  guint i;

  for (i = 0; i < runner_pool->runners->len; i++)
    {
      struct pool_runner *runner = pool_at (runner_pool, i);
      if (strcmp (runner->entry.id, id) == 0
          && (found == NULL
              || runner->entry.started_ms >= found->entry.started_ms))
        found = runner;
    }
  return found;
}

struct pool_runner *
pool_find_hash (const struct runner_pool *runner_pool, uint64_t hash)
{
  return g_hash_table_lookup (runner_pool->by_hash, &hash);
}

static uint64_t
lifetime_hash (const char *peer)
{
  return XXH64 (peer, strlen (peer), 1);
}

static struct pace_service *
service_pace (struct runner_pool *runner_pool, const char *service)
{
  struct pace_service *pace
      = g_hash_table_lookup (runner_pool->paces, service);

  if (pace == NULL)
    {
      pace = g_new0 (struct pace_service, 1);
      pace_service_init (pace, pace_prior_default);
      g_hash_table_insert (runner_pool->paces, g_strdup (service), pace);
    }
  return pace;
}

static struct pool_runner *
add (struct runner_pool *runner_pool, const struct pool_entry *entry,
     uint64_t revision)
{
  struct pool_runner *runner = g_new0 (struct pool_runner, 1);

  runner->entry = *entry;
  g_snprintf (runner->peer, sizeof runner->peer, "%s@%" G_GINT64_FORMAT,
              entry->id, entry->started_ms);
  runner->hash = lifetime_hash (runner->peer);
  runner->service_pace = service_pace (runner_pool, entry->service);
  runner->revision = revision;
  runner->present = 1;
  runner->announced = entry->draining;
  runner->leaving = entry->draining;
  runner->listed = 1;
  runner_pool->changes++;
  g_ptr_array_add (runner_pool->runners, runner);
  g_hash_table_insert (runner_pool->by_hash, &runner->hash, runner);
  return runner;
}

static struct departed *
remember (struct runner_pool *runner_pool, const char *id, int64_t started_ms,
          int64_t now)
{
  struct departed *departed = g_new0 (struct departed, 1);

  g_strlcpy (departed->id, id, sizeof departed->id);
  departed->started_ms = started_ms;
  departed->at_us = now;
  g_hash_table_replace (runner_pool->departed, departed->id, departed);
  return departed;
}

/* Notes that RUNNER has left.  */
static void
depart (struct runner_pool *runner_pool, struct pool_runner *runner,
        int64_t now)
{
  struct departed *departed = remember (runner_pool, runner->entry.id,
                                        runner->entry.started_ms, now);

  departed->announced = runner->announced;
  departed->rest_until_us = runner->rest_until_us;
  runner->present = 0;
  runner->leaving = 1;
  runner->doubt_until_us = 0;
  runner_pool->changes++;
}

/* Returns the departure of the lifetime of ENTRY, or null.  */
static const struct departed *
departed_find (const struct runner_pool *runner_pool,
               const struct pool_entry *entry)
{
  const struct departed *departed
      = g_hash_table_lookup (runner_pool->departed, entry->id);

  return departed != NULL && entry->started_ms <= departed->started_ms
             ? departed
             : NULL;
}

/* Decides whether RUNNER, which has just become present, gets new work.  The
   older copy from which the registry was restored may show a runner that has
   left since.  An entry that is written later shows that it is alive.  */
static void
admit (struct runner_pool *runner_pool, struct pool_runner *runner)
{
  const struct departed *departed
      = departed_find (runner_pool, &runner->entry);

  if (departed != NULL && departed->announced)
    pool_note_leaving (runner);
  if (departed != NULL && departed->started_ms == runner->entry.started_ms)
    runner->rest_until_us = departed->rest_until_us;
  if (!runner_pool->restored || departed == NULL)
    {
      g_hash_table_remove (runner_pool->departed, runner->entry.id);
      return;
    }
  runner->leaving = 1;
  if (!runner->announced)
    runner->doubt_until_us = INT64_MAX;
}

int
pool_note_leaving (struct pool_runner *runner)
{
  int is_new = !runner->announced;

  runner->announced = 1;
  runner->leaving = 1;
  runner->doubt_until_us = 0;
  return is_new;
}

struct pool_runner *
pool_note_lifetime_leaving (struct runner_pool *runner_pool, const char *peer,
                            int64_t now)
{
  uint64_t hash = lifetime_hash (peer);
  struct pool_runner *runner = pool_find_hash (runner_pool, hash);
  const char *at = strrchr (peer, '@');
  struct departed *known;
  char id[sizeof known->id];
  int64_t started_ms;

  if (runner != NULL)
    return pool_note_leaving (runner) ? runner : NULL;
  if (at == NULL || at == peer || (size_t)(at - peer) >= sizeof id)
    return NULL;
  g_strlcpy (id, peer, (gsize)(at - peer) + 1);
  started_ms = g_ascii_strtoll (at + 1, NULL, 10);
  known = g_hash_table_lookup (runner_pool->departed, id);
  if (known == NULL || known->started_ms < started_ms)
    known = remember (runner_pool, id, started_ms, now);
  known->announced |= known->started_ms == started_ms;
  return NULL;
}

struct pool_runner *
pool_put (struct runner_pool *runner_pool, const struct pool_entry *entry,
          uint64_t revision)
{
  struct pool_runner *runner = pool_find (runner_pool, entry->id);
  int was_present;
  int was_leaving;

  if (runner == NULL)
    {
      runner = add (runner_pool, entry, revision);
      admit (runner_pool, runner);
      return runner;
    }
  if (entry->started_ms < runner->entry.started_ms)
    return NULL;
  if (entry->started_ms > runner->entry.started_ms
      || strcmp (entry->address, runner->entry.address) != 0
      || strcmp (entry->service, runner->entry.service) != 0)
    {
      struct pool_runner *next = add (runner_pool, entry, revision);
      runner->present = 0;
      runner->leaving = 1;
      admit (runner_pool, next);
      if (entry->started_ms == runner->entry.started_ms)
        {
          if (runner->announced)
            pool_note_leaving (next);
          next->rest_until_us = runner->rest_until_us;
        }
      return next;
    }
  runner->listed = 1;
  if (revision < runner->revision)
    return NULL;
  was_present = runner->present;
  was_leaving = runner->leaving;
  runner->revision = revision;
  runner->missing_us = 0;
  /* A removed entry that is registered again shows that the runner is alive.
   */
  runner->announced |= entry->draining;
  runner->leaving
      = runner->announced
        || (was_leaving && was_present
            && (runner->doubt_until_us == 0 || runner_pool->restored));
  if (!runner_pool->restored || entry->draining)
    runner->doubt_until_us = 0;
  if (was_present && was_leaving == runner->leaving
      && runner->entry.stage == entry->stage
      && strcmp (runner->entry.build, entry->build) == 0)
    return NULL;
  runner->present = 1;
  runner->entry = *entry;
  if (!was_present)
    admit (runner_pool, runner);
  if (runner->ordered == entry->stage)
    runner->ordered = POOL_STAGE_ANY;
  return runner;
}

/* Returns nonzero when an entry may be missing because of an outage of the
   registry.  */
static int
registry_may_be_at_fault (const struct runner_pool *runner_pool, int64_t now)
{
  return !runner_pool->reachable
         || now - runner_pool->registry_returned_us < POOL_REREGISTER_US;
}

int
pool_is_registry_sound (const struct runner_pool *runner_pool, int64_t now)
{
  return !registry_may_be_at_fault (runner_pool, now);
}

/* Handles a missing entry: the runner is gone, or kept for a while during an
   outage of the registry.  */
static void
note_missing (struct runner_pool *runner_pool, struct pool_runner *runner,
              int64_t now)
{
  if (registry_may_be_at_fault (runner_pool, now) && !runner->leaving)
    {
      if (runner->missing_us == 0)
        runner->missing_us = now;
      return;
    }
  depart (runner_pool, runner, now);
}

struct pool_runner *
pool_remove (struct runner_pool *runner_pool, const char *id,
             uint64_t revision, int64_t now)
{
  struct pool_runner *runner = pool_find (runner_pool, id);

  if (runner == NULL || !runner->present || revision < runner->revision)
    return NULL;
  runner->revision = revision;
  note_missing (runner_pool, runner, now);
  return runner;
}

void
pool_restart_revisions (struct runner_pool *runner_pool, int64_t now)
{
  guint i;

  for (i = 0; i < runner_pool->runners->len; i++)
    pool_at (runner_pool, i)->revision = 0;
  runner_pool->registry_returned_us = now;
  runner_pool->restored = 1;
}

void
pool_list_begin (struct runner_pool *runner_pool)
{
  guint i;

  for (i = 0; i < runner_pool->runners->len; i++)
    pool_at (runner_pool, i)->listed = 0;
}

void
pool_list_end (struct runner_pool *runner_pool, uint64_t revision, int64_t now)
{
  guint i;

  for (i = 0; i < runner_pool->runners->len; i++)
    {
      struct pool_runner *runner = pool_at (runner_pool, i);
      if (!runner->listed && runner->present && runner->revision <= revision)
        note_missing (runner_pool, runner, now);
      if (runner->doubt_until_us != 0)
        runner->doubt_until_us = MIN (runner->doubt_until_us, now + DOUBT_US);
    }
  runner_pool->restored = 0;
}

void
pool_set_registry_reachable (struct runner_pool *runner_pool, int reachable,
                             int64_t now)
{
  if (reachable && !runner_pool->reachable)
    runner_pool->registry_returned_us = now;
  runner_pool->reachable = reachable;
}

static gboolean
is_forgotten (gpointer id, gpointer value, gpointer now)
{
  const struct departed *departed = value;

  (void)id;
  return *(const int64_t *)now - departed->at_us > DEPARTED_US
         && *(const int64_t *)now > departed->rest_until_us;
}

void
pool_tick (struct runner_pool *runner_pool, int64_t now)
{
  guint i = 0;

  g_hash_table_foreach_remove (runner_pool->departed, is_forgotten, &now);
  while (i < runner_pool->runners->len)
    {
      struct pool_runner *runner = pool_at (runner_pool, i);
      if (runner->missing_us != 0 && runner->present
          && !registry_may_be_at_fault (runner_pool, now))
        depart (runner_pool, runner, now);
      if (runner->doubt_until_us != 0 && now > runner->doubt_until_us)
        {
          runner->doubt_until_us = 0;
          runner->leaving = runner->announced;
        }
      if (runner->peer_ordered == runner->entry.stage
          || now - runner->peer_report_us > PEER_ORDER_US)
        runner->peer_ordered = POOL_STAGE_ANY;
      if (!runner->present && runner->calls + runner->references == 0)
        {
          if (pool_find_hash (runner_pool, runner->hash) == runner)
            g_hash_table_remove (runner_pool->by_hash, &runner->hash);
          g_ptr_array_remove_index_fast (runner_pool->runners, i);
        }
      else
        i++;
    }
}

int
pool_usable (const struct pool_runner *runner, int64_t now)
{
  return runner->present && !runner->leaving && now >= runner->backoff_until_us
         && !pool_is_resting (runner, now);
}

int
pool_is_resting (const struct pool_runner *runner, int64_t now)
{
  return now < runner->rest_until_us;
}

void
pool_note_rest (struct pool_runner *runner, int64_t rest_us, int64_t now)
{
  runner->rest_until_us = MAX (runner->rest_until_us, now + rest_us);
  runner->start_calls = 1;
}

void
pool_note_served (struct pool_runner *runner, int64_t now)
{
  if (pool_is_resting (runner, now))
    return;
  runner->start_calls *= 2;
  if (runner->start_calls >= runner->entry.slots)
    runner->start_calls = 0;
}

int
pool_start_allows (const struct pool_runner *runner, int64_t now)
{
  return runner->start_calls == 0 || runner->calls < runner->start_calls
         || now > runner->rest_until_us + SLOW_START_US;
}

int64_t
pool_rest_end (const struct runner_pool *runner_pool, const char *service,
               enum pool_stage stage, int64_t now)
{
  int64_t first = 0;
  guint i;

  for (i = 0; i < runner_pool->runners->len; i++)
    {
      const struct pool_runner *runner = pool_at (runner_pool, i);
      if (!runner->present || runner->leaving
          || strcmp (runner->entry.service, service) != 0
          || (stage != POOL_STAGE_ANY && runner->entry.stage != stage))
        continue;
      if (!pool_is_resting (runner, now))
        return 0;
      if (first == 0 || runner->rest_until_us < first)
        first = runner->rest_until_us;
    }
  return first;
}

double
pool_load (const struct pool_runner *runner, int64_t now)
{
  double others
      = runner->load_reported > runner->load_reported_own
            ? (double)(runner->load_reported - runner->load_reported_own)
            : 0;
  double age = (double)(now - runner->load_reported_us);

  if (runner->entry.stage != POOL_STAGE_ANY && runner->peer_report_us != 0)
    return (double)runner->calls + runner->peer_calls;
  return (double)runner->calls
         + others * exp2 (-age / reported_load_half_life_us);
}

int64_t
pool_load_age (const struct pool_runner *runner, int64_t now)
{
  return now - MAX (runner->load_reported_us, runner->peer_report_us);
}

void
pool_note_load (struct pool_runner *runner, unsigned running, unsigned waiting,
                int64_t now)
{
  runner->load_reported = running + waiting;
  runner->load_reported_own = runner->calls;
  runner->load_reported_us = now;
}

/* Returns the back-off in microseconds, which doubles with each refusal beyond
   REFUSALS_TOLERATED.  */
static int64_t
refusal_backoff_us (unsigned refusals)
{
  int64_t pause = REFUSAL_BACKOFF_FIRST_US;

  if (refusals < REFUSALS_TOLERATED)
    return 0;
  refusals -= REFUSALS_TOLERATED;
  while (refusals-- > 0 && pause < REFUSAL_BACKOFF_MAX_US)
    pause *= 2;
  return MIN (pause, REFUSAL_BACKOFF_MAX_US);
}

void
pool_note_refusal (struct pool_runner *runner, int64_t now)
{
  runner->refusals++;
  runner->backoff_until_us = MAX (runner->backoff_until_us,
                                  now + refusal_backoff_us (runner->refusals));
}

void
pool_note_kv_transfer (struct pool_runner *runner, int taken, int64_t now)
{
  runner->kv_transfer_failures = taken ? 0 : runner->kv_transfer_failures + 1;
  if (!taken)
    runner->backoff_until_us
        = MAX (runner->backoff_until_us,
               now + refusal_backoff_us (runner->kv_transfer_failures));
}

int
pool_is_changing_stage (const struct pool_runner *runner)
{
  return runner->ordered != POOL_STAGE_ANY
         || runner->peer_ordered != POOL_STAGE_ANY;
}

double
pool_failure_rate (const struct pool_runner *runner, int64_t now)
{
  return runner->failure_rate
         * exp2 (-(double)(now - runner->failure_rate_us)
                 / failure_rate_half_life_us);
}

static void
update_failure_rate (struct pool_runner *runner, int failed, int64_t now)
{
  runner->failure_rate = pool_failure_rate (runner, now) * average_decay
                         + failed * (1 - average_decay);
  runner->failure_rate_us = now;
}

void
pool_note_answer (struct pool_runner *runner, int64_t took_us, int64_t now)
{
  runner->failures = 0;
  runner->refusals = 0;
  runner->backoff_until_us = 0;
  update_failure_rate (runner, 0, now);
  runner->latency_us = runner->latency_us <= 0
                           ? (double)took_us
                           : runner->latency_us * average_decay
                                 + (double)took_us * (1 - average_decay);
}

void
pool_note_failure (struct pool_runner *runner, enum pool_failure failure,
                   int64_t now)
{
  int64_t pause = FAILURE_BACKOFF_FIRST_US;
  unsigned i;

  update_failure_rate (runner, 1, now);
  if (failure == POOL_ERROR_ANSWER)
    return;
  runner->failures++;
  if (failure == POOL_CONNECTION_BROKEN
      && runner->failures < BROKEN_BEFORE_BACKOFF)
    return;
  for (i = 1; i < runner->failures && pause < FAILURE_BACKOFF_MAX_US; i++)
    pause *= 2;
  runner->backoff_until_us = now + MIN (pause, FAILURE_BACKOFF_MAX_US);
}
