#include "quarantine.h"

#include <glib.h>

struct crash
{
  uint64_t number;
  int64_t at_us;
  int is_known; /* that the runner has ended */
};

struct accused
{
  uint64_t key;
  struct crash crashes[QUARANTINE_CRASHES_MAX];
  size_t n;
  int64_t until_us; /* end of the quarantine */
  int64_t trial_us; /* when the trial began or was broken off, or 0 */
};

/* A key that was answered.  */
struct answered
{
  uint64_t key;
  int64_t at_us;
  GList link; /* in order; most recent first */
};

struct quarantine
{
  GHashTable *accused;  /* key -> struct accused */
  GHashTable *answered; /* key -> struct answered */
  GQueue order;         /* struct answered */
  size_t answered_max;
};

struct quarantine *
quarantine_new (size_t answered_max)
{
  struct quarantine *q = g_new0 (struct quarantine, 1);

  q->accused
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  q->answered
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&q->order);
  q->answered_max = answered_max;
  return q;
}

void
quarantine_free (struct quarantine *q)
{
  if (q == NULL)
    return;
  g_hash_table_destroy (q->accused);
  g_hash_table_destroy (q->answered);
  g_free (q);
}

int64_t
quarantine_answered_us (const struct quarantine *q, uint64_t key)
{
  const struct answered *answered = g_hash_table_lookup (q->answered, &key);

  return answered != NULL ? answered->at_us : INT64_MIN;
}

static void
note_answered (struct quarantine *q, uint64_t key, int64_t at)
{
  struct answered *answered = g_hash_table_lookup (q->answered, &key);

  if (answered == NULL)
    {
      answered = g_new0 (struct answered, 1);
      answered->key = key;
      answered->at_us = at;
      answered->link.data = answered;
      g_hash_table_insert (q->answered, &answered->key, answered);
    }
  else
    {
      answered->at_us = MAX (answered->at_us, at);
      g_queue_unlink (&q->order, &answered->link);
    }
  g_queue_push_head_link (&q->order, &answered->link);
  if (q->order.length > q->answered_max)
    {
      struct answered *oldest = g_queue_peek_tail (&q->order);
      g_queue_unlink (&q->order, &oldest->link);
      g_hash_table_remove (q->answered, &oldest->key);
    }
}

static int64_t
last_crash_us (const struct accused *accused)
{
  int64_t last = INT64_MIN;
  size_t i;

  for (i = 0; i < accused->n; i++)
    last = MAX (last, accused->crashes[i].at_us);
  return last;
}

/* Removes the keys whose evidence is out of date and, if there are none, the
   one with the oldest.  The search visits the whole table, but is needed only
   at a crash.  */
static void
make_room (struct quarantine *q, int64_t now)
{
  struct accused *oldest = NULL;
  GHashTableIter iter;
  gpointer value;

  if (g_hash_table_size (q->accused) < QUARANTINE_ACCUSED_MAX)
    return;
  g_hash_table_iter_init (&iter, q->accused);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct accused *accused = value;
      if (accused->until_us > now)
        continue;
      if (now - last_crash_us (accused) > QUARANTINE_MEMORY_US)
        g_hash_table_iter_remove (&iter);
      else if (oldest == NULL
               || last_crash_us (accused) < last_crash_us (oldest))
        oldest = accused;
    }
  if (oldest != NULL
      && g_hash_table_size (q->accused) >= QUARANTINE_ACCUSED_MAX)
    g_hash_table_remove (q->accused, &oldest->key);
}

/* Returns the entry of KEY, which is created if there is room, or null.  */
static struct accused *
accused_get (struct quarantine *q, uint64_t key, int64_t now)
{
  struct accused *accused = g_hash_table_lookup (q->accused, &key);

  if (accused != NULL)
    return accused;
  make_room (q, now);
  if (g_hash_table_size (q->accused) >= QUARANTINE_ACCUSED_MAX)
    return NULL;
  accused = g_new0 (struct accused, 1);
  accused->key = key;
  g_hash_table_insert (q->accused, &accused->key, accused);
  return accused;
}

/* Returns whether the ends of the last QUARANTINE_MEMORY_US convict.  */
static int
is_convicted (const struct accused *accused, int64_t now)
{
  int64_t first = INT64_MAX;
  int64_t last = INT64_MIN;
  size_t n = 0;
  size_t i;

  for (i = 0; i < accused->n; i++)
    {
      int64_t at = accused->crashes[i].at_us;
      if (!accused->crashes[i].is_known || now - at > QUARANTINE_MEMORY_US)
        continue;
      first = MIN (first, at);
      last = MAX (last, at);
      n++;
    }
  return n >= QUARANTINE_CRASHES && last - first >= QUARANTINE_SPAN_US;
}

/* Returns the crash whose place a new one takes: the oldest that isn't known
   or, when all are known, the oldest.  */
static struct crash *
least_useful (struct accused *accused)
{
  struct crash *least = &accused->crashes[0];
  size_t i;

  for (i = 1; i < accused->n; i++)
    {
      struct crash *crash = &accused->crashes[i];
      if (crash->is_known != least->is_known ? !crash->is_known
                                             : crash->at_us < least->at_us)
        least = crash;
    }
  return least;
}

/* Adds a crash.  When there is no room, one that isn't known is left out.
   Returns 0 when nothing changes.  */
static int
add_crash (struct accused *accused, const struct crash *crash)
{
  struct crash *place;
  size_t i;

  for (i = 0; i < accused->n; i++)
    if (accused->crashes[i].number == crash->number)
      {
        int was_known = accused->crashes[i].is_known;
        accused->crashes[i].is_known |= crash->is_known;
        return was_known != accused->crashes[i].is_known;
      }
  if (accused->n < QUARANTINE_CRASHES_MAX)
    {
      accused->crashes[accused->n++] = *crash;
      return 1;
    }
  place = least_useful (accused);
  if (!crash->is_known || (place->is_known && crash->at_us < place->at_us))
    return 0;
  *place = *crash;
  return 1;
}

/* Removes the ends up to AT.  Returns nonzero when there was one.  */
static int
clear_until (struct quarantine *q, uint64_t key, int64_t at, int64_t now)
{
  struct accused *accused = g_hash_table_lookup (q->accused, &key);
  size_t kept = 0;
  size_t i;

  if (accused == NULL)
    return 0;
  for (i = 0; i < accused->n; i++)
    if (accused->crashes[i].at_us > at)
      accused->crashes[kept++] = accused->crashes[i];
  if (kept == accused->n && kept > 0)
    return 0;
  accused->n = kept;
  accused->trial_us = 0;
  if (!is_convicted (accused, now))
    accused->until_us = 0;
  if (kept == 0)
    g_hash_table_remove (q->accused, &key);
  return 1;
}

enum quarantine_effect
quarantine_add (struct quarantine *q,
                const struct quarantine_evidence *evidence, int64_t now)
{
  int64_t at = now - MAX (evidence->age_us, 0);
  struct crash crash = { evidence->crash, at, 1 };
  struct accused *accused;
  int was_held;

  if (evidence->crash == 0)
    {
      note_answered (q, evidence->key, at);
      return clear_until (q, evidence->key, at, now) ? QUARANTINE_CLEARED
                                                     : QUARANTINE_KNOWN;
    }
  if (now - at > QUARANTINE_MEMORY_US)
    return QUARANTINE_KNOWN;
  if (quarantine_answered_us (q, evidence->key) >= at)
    return QUARANTINE_REFUTED;
  accused = accused_get (q, evidence->key, now);
  if (accused == NULL || !add_crash (accused, &crash))
    return QUARANTINE_KNOWN;
  if (at >= accused->trial_us)
    accused->trial_us = 0;
  was_held = accused->until_us > now;
  if (is_convicted (accused, now))
    accused->until_us = MAX (accused->until_us,
                             last_crash_us (accused) + QUARANTINE_HOLD_US);
  return !was_held && accused->until_us > now ? QUARANTINE_CONVICTED
                                              : QUARANTINE_NOTED;
}

enum quarantine_effect
quarantine_suspect (struct quarantine *q,
                    const struct quarantine_evidence *evidence, int64_t now)
{
  int64_t at = now - MAX (evidence->age_us, 0);
  struct crash crash = { evidence->crash, at, 0 };
  struct accused *accused;

  if (now - at > QUARANTINE_OPEN_US)
    return QUARANTINE_KNOWN;
  if (quarantine_answered_us (q, evidence->key) >= at)
    return QUARANTINE_REFUTED;
  accused = accused_get (q, evidence->key, now);
  if (accused == NULL || !add_crash (accused, &crash))
    return QUARANTINE_KNOWN;
  accused->trial_us = MAX (accused->trial_us, at);
  return QUARANTINE_NOTED;
}

int
quarantine_is_suspect (const struct quarantine *q, uint64_t key, int64_t now)
{
  const struct accused *accused = g_hash_table_lookup (q->accused, &key);
  int64_t answered = quarantine_answered_us (q, key);
  size_t n = 0;
  size_t i;

  if (accused == NULL
      || (answered != INT64_MIN && now - answered <= QUARANTINE_IN_USE_US))
    return 0;
  for (i = 0; i < accused->n; i++)
    n += now - accused->crashes[i].at_us <= (accused->crashes[i].is_known
                                                 ? QUARANTINE_MEMORY_US
                                                 : QUARANTINE_OPEN_US);
  return n >= QUARANTINE_SUSPECTS;
}

void
quarantine_begin_trial (struct quarantine *q, uint64_t key, int64_t at)
{
  struct accused *accused = g_hash_table_lookup (q->accused, &key);

  if (accused != NULL)
    accused->trial_us = MAX (accused->trial_us, at);
}

int64_t
quarantine_trial_left_us (const struct quarantine *q, uint64_t key,
                          int64_t now)
{
  const struct accused *accused = g_hash_table_lookup (q->accused, &key);

  return accused != NULL && accused->trial_us != 0
                 && quarantine_is_suspect (q, key, now)
             ? MAX (accused->trial_us + QUARANTINE_TRIAL_US - now, 0)
             : 0;
}

void
quarantine_hold (struct quarantine *q, uint64_t key, int64_t now)
{
  struct accused *accused = accused_get (q, key, now);

  if (accused != NULL)
    accused->until_us = MAX (accused->until_us, now + QUARANTINE_HOLD_US);
}

int64_t
quarantine_left_us (const struct quarantine *q, uint64_t key, int64_t now)
{
  const struct accused *accused = g_hash_table_lookup (q->accused, &key);

  return accused != NULL && accused->until_us > now ? accused->until_us - now
                                                    : 0;
}

size_t
quarantine_crashes (const struct quarantine *q, uint64_t key)
{
  const struct accused *accused = g_hash_table_lookup (q->accused, &key);
  size_t n = 0;
  size_t i;

  for (i = 0; accused != NULL && i < accused->n; i++)
    n += accused->crashes[i].is_known != 0;
  return n;
}

int
quarantine_is_accused (const struct quarantine *q, uint64_t key)
{
  return g_hash_table_contains (q->accused, &key);
}

size_t
quarantine_list (const struct quarantine *q,
                 struct quarantine_evidence *evidence, size_t max, int64_t now)
{
  size_t n = 0;
  int held;

  for (held = 1; held >= 0; held--)
    {
      GHashTableIter iter;
      gpointer value;
      g_hash_table_iter_init (&iter, q->accused);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          const struct accused *accused = value;
          size_t i;
          if ((accused->until_us > now) != held)
            continue;
          for (i = 0; i < accused->n && n < max; i++)
            {
              evidence[n].key = accused->key;
              evidence[n].crash = accused->crashes[i].number;
              evidence[n].age_us = now - accused->crashes[i].at_us;
              n += accused->crashes[i].is_known
                   && evidence[n].age_us <= QUARANTINE_MEMORY_US;
            }
        }
    }
  return n;
}

size_t
quarantine_keys (const struct quarantine *q, uint64_t *keys, size_t max,
                 int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  size_t n = 0;

  g_hash_table_iter_init (&iter, q->accused);
  while (n < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct accused *accused = value;
      if (accused->until_us > now)
        keys[n++] = accused->key;
    }
  return n;
}

size_t
quarantine_count (const struct quarantine *q, int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  size_t n = 0;

  g_hash_table_iter_init (&iter, q->accused);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += ((struct accused *)value)->until_us > now;
  return n;
}
