#include "memb.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* A first failure may be the runner's restart, which takes seconds.  */
#define DOWN_FIRST_US INT64_C (250000)
#define DOWN_MAX_US INT64_C (2000000)
/* A refusal in a row may be a full moment; a change of stage takes seconds. */
#define REFUSED_FIRST_US INT64_C (50000)
#define REFUSED_MAX_US INT64_C (800000)
/* Load told by an answer is stale after a few answers' time.  */
static const double told_half_life_us = 150000;
/* A faulty runner was seen to recover within seconds.  */
static const double failing_half_life_us = 3e6;
static const double average_keep = 0.9;

enum
{
  REFUSALS_BORNE = 3,
  FAILURES_DOWN = 3 /* broken answers in a row that take a runner out */
};

struct memb
{
  GPtrArray *runners;
  int reachable;
  int64_t returned_us; /* last return of the registry */
};

struct memb *
memb_new (void)
{
  struct memb *memb = g_new0 (struct memb, 1);

  memb->runners = g_ptr_array_new_with_free_func (g_free);
  memb->reachable = 1;
  memb->returned_us = INT64_MIN / 2;
  return memb;
}

void
memb_free (struct memb *memb)
{
  g_ptr_array_free (memb->runners, TRUE);
  g_free (memb);
}

size_t
memb_count (const struct memb *memb)
{
  return memb->runners->len;
}

struct memb_runner *
memb_at (const struct memb *memb, size_t i)
{
  return g_ptr_array_index (memb->runners, i);
}

/* Returns the latest lifetime of ID.  */
struct memb_runner *
memb_find (const struct memb *memb, const char *id)
{
  struct memb_runner *found = NULL;
  guint i;

  for (i = 0; i < memb->runners->len; i++)
    {
      struct memb_runner *runner = memb_at (memb, i);
      if (strcmp (runner->entry.id, id) == 0
          && (found == NULL || runner->entry.born_ms >= found->entry.born_ms))
        found = runner;
    }
  return found;
}

static struct memb_runner *
add (struct memb *memb, const struct memb_entry *entry, uint64_t revision)
{
  struct memb_runner *runner = g_new0 (struct memb_runner, 1);

  runner->entry = *entry;
  g_snprintf (runner->peer, sizeof runner->peer, "%s@%" G_GINT64_FORMAT,
              entry->id, entry->born_ms);
  runner->hash = XXH64 (runner->peer, strlen (runner->peer), 1);
  runner->revision = revision;
  runner->present = 1;
  runner->leaving = entry->draining;
  runner->listed = 1;
  g_ptr_array_add (memb->runners, runner);
  return runner;
}

struct memb_runner *
memb_put (struct memb *memb, const struct memb_entry *entry, uint64_t revision)
{
  struct memb_runner *runner = memb_find (memb, entry->id);
  int was_leaving;

  if (runner == NULL)
    return add (memb, entry, revision);
  if (entry->born_ms < runner->entry.born_ms)
    return NULL;
  if (entry->born_ms > runner->entry.born_ms
      || strcmp (entry->address, runner->entry.address) != 0
      || strcmp (entry->service, runner->entry.service) != 0)
    {
      runner->present = 0;
      runner->leaving = 1;
      return add (memb, entry, revision);
    }
  runner->listed = 1;
  if (revision < runner->revision)
    return NULL;
  was_leaving = runner->leaving;
  runner->revision = revision;
  runner->missing_us = 0;
  /* A removed entry that is back belongs to a runner that lives.  */
  runner->leaving = entry->draining || (was_leaving && runner->present);
  if (runner->present && was_leaving == runner->leaving
      && runner->entry.stage == entry->stage)
    return NULL;
  runner->present = 1;
  runner->entry = *entry;
  if (runner->ordered == entry->stage)
    runner->ordered = MEMB_STAGE_ANY;
  return runner;
}

/* Returns nonzero when a missing entry may be the registry's fault.  */
static int
excused (const struct memb *memb, int64_t now)
{
  return !memb->reachable || now - memb->returned_us < MEMB_RETURN_US;
}

static void
miss (struct memb *memb, struct memb_runner *runner, int64_t now)
{
  if (excused (memb, now) && !runner->leaving)
    {
      if (runner->missing_us == 0)
        runner->missing_us = now;
      return;
    }
  runner->present = 0;
  runner->leaving = 1;
}

struct memb_runner *
memb_remove (struct memb *memb, const char *id, uint64_t revision, int64_t now)
{
  struct memb_runner *runner = memb_find (memb, id);

  if (runner == NULL || !runner->present || revision < runner->revision)
    return NULL;
  runner->revision = revision;
  miss (memb, runner, now);
  return runner;
}

void
memb_list_begin (struct memb *memb)
{
  guint i;

  for (i = 0; i < memb->runners->len; i++)
    memb_at (memb, i)->listed = 0;
}

void
memb_list_end (struct memb *memb, uint64_t revision, int64_t now)
{
  guint i;

  for (i = 0; i < memb->runners->len; i++)
    {
      struct memb_runner *runner = memb_at (memb, i);
      if (!runner->listed && runner->present && runner->revision <= revision)
        miss (memb, runner, now);
    }
}

void
memb_registry (struct memb *memb, int reachable, int64_t now)
{
  if (reachable && !memb->reachable)
    memb->returned_us = now;
  memb->reachable = reachable;
}

void
memb_tick (struct memb *memb, int64_t now)
{
  guint i = 0;

  while (i < memb->runners->len)
    {
      struct memb_runner *runner = memb_at (memb, i);
      if (runner->missing_us != 0 && runner->present && !excused (memb, now))
        {
          runner->present = 0;
          runner->leaving = 1;
        }
      if (!runner->present && runner->calls + runner->references == 0)
        g_ptr_array_remove_index_fast (memb->runners, i);
      else
        i++;
    }
}

int
memb_usable (const struct memb_runner *runner, int64_t now)
{
  return runner->present && !runner->leaving && now >= runner->down_us;
}

double
memb_load (const struct memb_runner *runner, int64_t now)
{
  double others = runner->told > runner->told_own
                      ? (double)(runner->told - runner->told_own)
                      : 0;
  double age = (double)(now - runner->told_us);

  if (runner->entry.stage != MEMB_STAGE_ANY && runner->others_us != 0)
    return (double)runner->calls + runner->others_calls;
  return (double)runner->calls + others * exp2 (-age / told_half_life_us);
}

int64_t
memb_load_age (const struct memb_runner *runner, int64_t now)
{
  return now - MAX (runner->told_us, runner->others_us);
}

void
memb_told (struct memb_runner *runner, unsigned running, unsigned waiting,
           int64_t now)
{
  runner->told = running + waiting;
  runner->told_own = runner->calls;
  runner->told_us = now;
}

/* Returns a pause that doubles with the refusals beyond those that are borne.
 */
static int64_t
refusal_pause (unsigned refusals)
{
  int64_t pause = REFUSED_FIRST_US;

  if (refusals < REFUSALS_BORNE)
    return 0;
  refusals -= REFUSALS_BORNE;
  while (refusals-- > 0 && pause < REFUSED_MAX_US)
    pause *= 2;
  return MIN (pause, REFUSED_MAX_US);
}

void
memb_refused (struct memb_runner *runner, int64_t now)
{
  runner->refusals++;
  runner->down_us
      = MAX (runner->down_us, now + refusal_pause (runner->refusals));
}

void
memb_moved (struct memb_runner *runner, int taken, int64_t now)
{
  runner->unmoved = taken ? 0 : runner->unmoved + 1;
  if (!taken)
    runner->down_us
        = MAX (runner->down_us, now + refusal_pause (runner->unmoved));
}

int
memb_changing (const struct memb_runner *runner)
{
  return runner->ordered != MEMB_STAGE_ANY
         || runner->others_ordered != MEMB_STAGE_ANY;
}

double
memb_failing (const struct memb_runner *runner, int64_t now)
{
  return runner->failing
         * exp2 (-(double)(now - runner->failing_us) / failing_half_life_us);
}

static void
note_failing (struct memb_runner *runner, int failed, int64_t now)
{
  runner->failing = memb_failing (runner, now) * average_keep
                    + failed * (1 - average_keep);
  runner->failing_us = now;
}

void
memb_answered (struct memb_runner *runner, int64_t took_us, int64_t now)
{
  runner->failures = 0;
  runner->refusals = 0;
  runner->down_us = 0;
  note_failing (runner, 0, now);
  runner->slow_us = runner->slow_us <= 0
                        ? (double)took_us
                        : runner->slow_us * average_keep
                              + (double)took_us * (1 - average_keep);
}

void
memb_failed (struct memb_runner *runner, enum memb_failure failure,
             int64_t now)
{
  int64_t pause = DOWN_FIRST_US;
  unsigned i;

  note_failing (runner, 1, now);
  if (failure == MEMB_ERROR)
    return;
  runner->failures++;
  if (failure == MEMB_BROKEN && runner->failures < FAILURES_DOWN)
    return;
  for (i = 1; i < runner->failures && pause < DOWN_MAX_US; i++)
    pause *= 2;
  runner->down_us = now + MIN (pause, DOWN_MAX_US);
}
