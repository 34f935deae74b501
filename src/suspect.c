#include "goldcresthatch/suspect.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

struct crash_record
{
  struct msg_id id;
  int64_t at_us;
  int cleared;
};

struct suspect
{
  gint64 fingerprint;
  struct crash_record crashes[SUSPECT_CRASHES_MAX];
  size_t n;
  gint64 runner; /* key of the runner that it runs on, if PLACED */
  int placed;
};

struct suspect_table
{
  size_t max;
  GHashTable *by_fingerprint; /* fingerprint -> struct suspect */
  GHashTable *by_runner; /* runner key -> struct suspect that runs there */
};

struct suspect_table *
suspect_new (size_t max)
{
  struct suspect_table *suspect_table = g_new0 (struct suspect_table, 1);

  suspect_table->max = MAX (max, 1);
  suspect_table->by_fingerprint
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  suspect_table->by_runner = g_hash_table_new (g_int64_hash, g_int64_equal);
  return suspect_table;
}

void
suspect_free (struct suspect_table *suspect_table)
{
  if (!suspect_table)
    return;
  g_hash_table_destroy (suspect_table->by_runner);
  g_hash_table_destroy (suspect_table->by_fingerprint);
  g_free (suspect_table);
}

uint64_t
suspect_fingerprint (const char *customer, const char *path, const void *body,
                     size_t size)
{
  /* The hash of each part seeds the next one, so that moving bytes from one
     part to the next changes the result.  */
  uint64_t hash = XXH3_64bits (customer, strlen (customer));

  hash = XXH3_64bits_withSeed (path, strlen (path), hash);
  return XXH3_64bits_withSeed (body, size, hash);
}

static struct suspect *
find_suspect (const struct suspect_table *suspect_table, uint64_t fingerprint)
{
  gint64 key = (gint64)fingerprint;

  return g_hash_table_lookup (suspect_table->by_fingerprint, &key);
}

static int
in_retention (const struct crash_record *crash_record, int64_t now)
{
  return now - crash_record->at_us < SUSPECT_RETENTION_US;
}

static enum suspect_verdict
verdict_on (const struct suspect *suspect, int64_t now)
{
  size_t count = 0;
  size_t i;

  for (i = 0; suspect && i < suspect->n; i++)
    count += in_retention (&suspect->crashes[i], now)
             && !suspect->crashes[i].cleared;
  if (count >= SUSPECT_CRASH_LIMIT)
    return SUSPECT_STOPPED;
  return count ? SUSPECT_RESTRICTED : SUSPECT_CLEAN;
}

/* Returns the time of the latest crash.  */
static int64_t
last_crash (const struct suspect *suspect)
{
  int64_t last = INT64_MIN;
  size_t i;

  for (i = 0; i < suspect->n; i++)
    last = MAX (last, suspect->crashes[i].at_us);
  return last;
}

static void
clear_placement (struct suspect_table *suspect_table, struct suspect *suspect)
{
  if (suspect->placed)
    g_hash_table_remove (suspect_table->by_runner, &suspect->runner);
  suspect->placed = 0;
}

/* Removes the expired suspects from a full table and, if there are none, the
   one whose latest crash is the oldest.  The search visits the whole table,
   but is needed only at a crash.  */
static void
make_room (struct suspect_table *suspect_table, int64_t now)
{
  struct suspect *oldest = NULL;
  GHashTableIter iter;
  gpointer value;

  if (g_hash_table_size (suspect_table->by_fingerprint) < suspect_table->max)
    return;
  g_hash_table_iter_init (&iter, suspect_table->by_fingerprint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct suspect *suspect = value;

      if (now - last_crash (suspect) >= SUSPECT_RETENTION_US)
        {
          clear_placement (suspect_table, suspect);
          g_hash_table_iter_remove (&iter);
        }
      else if (!oldest || last_crash (suspect) < last_crash (oldest))
        oldest = suspect;
    }
  if (oldest
      && g_hash_table_size (suspect_table->by_fingerprint)
             >= suspect_table->max)
    {
      clear_placement (suspect_table, oldest);
      g_hash_table_remove (suspect_table->by_fingerprint,
                           &oldest->fingerprint);
    }
}

/* Returns the element for a new crash: an unused one, or the oldest.  */
static struct crash_record *
crash_slot (struct suspect *suspect)
{
  struct crash_record *oldest = &suspect->crashes[0];
  size_t i;

  if (suspect->n < SUSPECT_CRASHES_MAX)
    return &suspect->crashes[suspect->n++];
  for (i = 1; i < suspect->n; i++)
    if (suspect->crashes[i].at_us < oldest->at_us)
      oldest = &suspect->crashes[i];
  return oldest;
}

static void
add_crash (struct suspect *suspect, const struct suspect_crash *crash,
           int64_t now)
{
  struct crash_record *crash_record;
  size_t i;

  for (i = 0; i < suspect->n; i++)
    if (msg_id_equal (suspect->crashes[i].id, crash->id))
      return;
  crash_record = crash_slot (suspect);
  crash_record->id = crash->id;
  crash_record->at_us = now - MAX (crash->age_us, 0);
  crash_record->cleared = 0;
}

enum suspect_verdict
suspect_add (struct suspect_table *suspect_table, uint64_t fingerprint,
             const struct suspect_crash *crashes, size_t n, int64_t now)
{
  struct suspect *suspect = find_suspect (suspect_table, fingerprint);
  size_t i;

  for (i = 0; i < n; i++)
    {
      if (crashes[i].age_us >= SUSPECT_RETENTION_US)
        continue;
      if (!suspect)
        {
          make_room (suspect_table, now);
          suspect = g_new0 (struct suspect, 1);
          suspect->fingerprint = (gint64)fingerprint;
          g_hash_table_insert (suspect_table->by_fingerprint,
                               &suspect->fingerprint, suspect);
        }
      add_crash (suspect, &crashes[i], now);
    }
  return verdict_on (suspect, now);
}

enum suspect_verdict
suspect_check (const struct suspect_table *suspect_table, uint64_t fingerprint,
               int64_t now)
{
  return verdict_on (find_suspect (suspect_table, fingerprint), now);
}

size_t
suspect_crashes (const struct suspect_table *suspect_table,
                 uint64_t fingerprint, struct suspect_crash *crashes,
                 int64_t now)
{
  const struct suspect *suspect = find_suspect (suspect_table, fingerprint);
  size_t n = 0;
  size_t i;

  for (i = 0; suspect && i < suspect->n; i++)
    if (in_retention (&suspect->crashes[i], now)
        && !suspect->crashes[i].cleared)
      {
        crashes[n].id = suspect->crashes[i].id;
        crashes[n++].age_us = now - suspect->crashes[i].at_us;
      }
  return n;
}

int
suspect_place (struct suspect_table *suspect_table, uint64_t fingerprint,
               struct fleet_ref runner, int64_t now, struct err *err)
{
  struct suspect *suspect = find_suspect (suspect_table, fingerprint);
  enum suspect_verdict verdict = verdict_on (suspect, now);
  gint64 key
      = (gint64)((uint64_t)runner.generation << 32 | (uint64_t)runner.index);

  if (verdict == SUSPECT_CLEAN)
    return 0;
  if (verdict == SUSPECT_STOPPED)
    return err_set (
        err, ERR_REFUSED, "suspect", NULL,
        "the request was in flight at %d endpoint crashes and is not "
        "run again",
        SUSPECT_CRASH_LIMIT);
  if (suspect->placed)
    return err_set (
        err, ERR_REFUSED, "suspect", NULL,
        "the request may have crashed an endpoint and already runs "
        "on a runner");
  if (g_hash_table_contains (suspect_table->by_runner, &key))
    return err_set (err, ERR_REFUSED, "suspect", NULL,
                    "the runner already runs another request that may have "
                    "crashed an endpoint");
  suspect->runner = key;
  suspect->placed = 1;
  g_hash_table_insert (suspect_table->by_runner, &suspect->runner, suspect);
  return 0;
}

void
suspect_release (struct suspect_table *suspect_table, uint64_t fingerprint,
                 int answered, int64_t now)
{
  struct suspect *suspect = find_suspect (suspect_table, fingerprint);
  size_t i;

  if (!suspect)
    return;
  clear_placement (suspect_table, suspect);
  /* A stopped request that is answered was in flight when other entries
     reported its crashes; one answer does not outweigh two crashes.  */
  if (!answered || verdict_on (suspect, now) == SUSPECT_STOPPED)
    return;
  for (i = 0; i < suspect->n; i++)
    suspect->crashes[i].cleared = 1;
}

size_t
suspect_count (const struct suspect_table *suspect_table)
{
  return g_hash_table_size (suspect_table->by_fingerprint);
}
