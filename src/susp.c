#include "goldcresthatch/susp.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

struct evidence
{
  struct msg_id id;
  int64_t at_us;
  int cleared;
};

struct suspect
{
  gint64 fingerprint;
  struct evidence crashes[SUSP_CRASHES_MAX];
  size_t n;
  gint64 runner; /* key of the runner it is placed on */
  int placed;
};

struct susp
{
  size_t max;
  GHashTable *suspects; /* fingerprint -> struct suspect */
  GHashTable *runners;  /* runner key -> struct suspect placed there */
};

struct susp *
susp_new (size_t max)
{
  struct susp *susp = g_new0 (struct susp, 1);

  susp->max = MAX (max, 1);
  susp->suspects
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  susp->runners = g_hash_table_new (g_int64_hash, g_int64_equal);
  return susp;
}

void
susp_free (struct susp *susp)
{
  if (!susp)
    return;
  g_hash_table_destroy (susp->runners);
  g_hash_table_destroy (susp->suspects);
  g_free (susp);
}

uint64_t
susp_fingerprint (const char *customer, const char *path, const void *body,
                  size_t size)
{
  /* Each part is hashed with the hash of the one before as its seed, so that
     bytes cannot move from one part to the next unnoticed.  */
  uint64_t hash = XXH3_64bits (customer, strlen (customer));

  hash = XXH3_64bits_withSeed (path, strlen (path), hash);
  return XXH3_64bits_withSeed (body, size, hash);
}

static struct suspect *
find (const struct susp *susp, uint64_t fingerprint)
{
  gint64 key = (gint64)fingerprint;

  return g_hash_table_lookup (susp->suspects, &key);
}

static int
is_kept (const struct evidence *evidence, int64_t now)
{
  return now - evidence->at_us < SUSP_RETENTION_US;
}

static enum susp_verdict
judge (const struct suspect *suspect, int64_t now)
{
  size_t count = 0;
  size_t i;

  for (i = 0; suspect && i < suspect->n; i++)
    count
        += is_kept (&suspect->crashes[i], now) && !suspect->crashes[i].cleared;
  if (count >= SUSP_STOP)
    return SUSP_STOPPED;
  return count ? SUSP_SUSPECT : SUSP_CLEAN;
}

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
unplace (struct susp *susp, struct suspect *suspect)
{
  if (suspect->placed)
    g_hash_table_remove (susp->runners, &suspect->runner);
  suspect->placed = 0;
}

/* Drops expired suspects, or else the one with the oldest evidence.  The
   search is over the whole table, but is made only at a crash.  */
static void
make_room (struct susp *susp, int64_t now)
{
  struct suspect *oldest = NULL;
  GHashTableIter iter;
  gpointer value;

  if (g_hash_table_size (susp->suspects) < susp->max)
    return;
  g_hash_table_iter_init (&iter, susp->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct suspect *suspect = value;

      if (now - last_crash (suspect) >= SUSP_RETENTION_US)
        {
          unplace (susp, suspect);
          g_hash_table_iter_remove (&iter);
        }
      else if (!oldest || last_crash (suspect) < last_crash (oldest))
        oldest = suspect;
    }
  if (oldest && g_hash_table_size (susp->suspects) >= susp->max)
    {
      unplace (susp, oldest);
      g_hash_table_remove (susp->suspects, &oldest->fingerprint);
    }
}

/* Returns the place for a new crash: a free one, or that of the oldest.  */
static struct evidence *
free_evidence (struct suspect *suspect)
{
  struct evidence *oldest = &suspect->crashes[0];
  size_t i;

  if (suspect->n < SUSP_CRASHES_MAX)
    return &suspect->crashes[suspect->n++];
  for (i = 1; i < suspect->n; i++)
    if (suspect->crashes[i].at_us < oldest->at_us)
      oldest = &suspect->crashes[i];
  return oldest;
}

static void
add_crash (struct suspect *suspect, const struct susp_crash *crash,
           int64_t now)
{
  struct evidence *evidence;
  size_t i;

  for (i = 0; i < suspect->n; i++)
    if (msg_id_equal (suspect->crashes[i].id, crash->id))
      return;
  evidence = free_evidence (suspect);
  evidence->id = crash->id;
  evidence->at_us = now - MAX (crash->age_us, 0);
  evidence->cleared = 0;
}

enum susp_verdict
susp_add (struct susp *susp, uint64_t fingerprint,
          const struct susp_crash *crashes, size_t n, int64_t now)
{
  struct suspect *suspect = find (susp, fingerprint);
  size_t i;

  for (i = 0; i < n; i++)
    {
      if (crashes[i].age_us >= SUSP_RETENTION_US)
        continue;
      if (!suspect)
        {
          make_room (susp, now);
          suspect = g_new0 (struct suspect, 1);
          suspect->fingerprint = (gint64)fingerprint;
          g_hash_table_insert (susp->suspects, &suspect->fingerprint, suspect);
        }
      add_crash (suspect, &crashes[i], now);
    }
  return judge (suspect, now);
}

enum susp_verdict
susp_check (const struct susp *susp, uint64_t fingerprint, int64_t now)
{
  return judge (find (susp, fingerprint), now);
}

size_t
susp_crashes (const struct susp *susp, uint64_t fingerprint,
              struct susp_crash *crashes, int64_t now)
{
  const struct suspect *suspect = find (susp, fingerprint);
  size_t n = 0;
  size_t i;

  for (i = 0; suspect && i < suspect->n; i++)
    if (is_kept (&suspect->crashes[i], now) && !suspect->crashes[i].cleared)
      {
        crashes[n].id = suspect->crashes[i].id;
        crashes[n++].age_us = now - suspect->crashes[i].at_us;
      }
  return n;
}

int
susp_place (struct susp *susp, uint64_t fingerprint, struct fleet_ref runner,
            int64_t now, struct err *err)
{
  struct suspect *suspect = find (susp, fingerprint);
  enum susp_verdict verdict = judge (suspect, now);
  gint64 key
      = (gint64)((uint64_t)runner.generation << 32 | (uint64_t)runner.index);

  if (verdict == SUSP_CLEAN)
    return 0;
  if (verdict == SUSP_STOPPED)
    return err_set (err, ERR_REFUSED, "suspect", NULL,
                    "the request was in flight at %d crashes of endpoints",
                    SUSP_STOP);
  if (suspect->placed)
    return err_set (err, ERR_REFUSED, "suspect", NULL,
                    "the request may have crashed an endpoint and is already "
                    "running once");
  if (g_hash_table_contains (susp->runners, &key))
    return err_set (err, ERR_REFUSED, "suspect", NULL,
                    "the runner already has a request that may have crashed "
                    "an endpoint");
  suspect->runner = key;
  suspect->placed = 1;
  g_hash_table_insert (susp->runners, &suspect->runner, suspect);
  return 0;
}

void
susp_release (struct susp *susp, uint64_t fingerprint, int answered,
              int64_t now)
{
  struct suspect *suspect = find (susp, fingerprint);
  size_t i;

  if (!suspect)
    return;
  unplace (susp, suspect);
  /* A stopped request was already in flight when it was stopped elsewhere; one
     answer does not outweigh two crashes.  */
  if (!answered || judge (suspect, now) == SUSP_STOPPED)
    return;
  for (i = 0; i < suspect->n; i++)
    suspect->crashes[i].cleared = 1;
}

size_t
susp_count (const struct susp *susp)
{
  return g_hash_table_size (susp->suspects);
}
