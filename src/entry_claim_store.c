#include "entry_claim_store.h"

#include <string.h>

#include "cfg_sync.h"
#include "claim_log.h"
#include "goldcresthatch/log.h"

enum
{
  /* A record is kept for at least 24 h.  The lease lasts 25 h and is replaced
     once it is 50 min old; no claim is written under a lease older than 1 h.
   */
  LEASE_TTL_MS = 25 * 3600 * 1000,
  LEASE_RENEW_AGE_S = 50 * 60,
  LEASE_USE_MAX_AGE_S = 60 * 60,

  /* After a restoration of the service, records of other entries may be
     missing.  Each entry notices it by its next poll of the configuration and
     then writes them again within this time.  */
  REWRITE_US = 2 * 1000 * 1000, /* for some hundred records */
  REWRITE_RETRY_US = 250 * 1000
};

struct entry_claim_store
{
  pthread_mutex_t lock;
  uint64_t lease; /* 0 before the first grant */
  gint64 granted_us;
  struct claim_log *log;
  uint64_t era;           /* of the service, or 0 before the first answer */
  gint64 held_until_us;   /* no claim is made before this time */
  gint64 next_rewrite_us; /* time to write LOG's records again, or 0 */
};

struct rewrite
{
  struct entry_task task;
  struct entry *entry;
};

struct entry_claim_store *
entry_claim_store_new (void)
{
  struct entry_claim_store *store = g_new0 (struct entry_claim_store, 1);

  pthread_mutex_init (&store->lock, NULL);
  store->log = claim_log_new ();
  return store;
}

void
entry_claim_store_free (struct entry_claim_store *store)
{
  claim_log_free (store->log);
  pthread_mutex_destroy (&store->lock);
  g_free (store);
}

int
entry_claim_store_is_held (struct entry_claim_store *store)
{
  gint64 until;

  pthread_mutex_lock (&store->lock);
  until = store->held_until_us;
  pthread_mutex_unlock (&store->lock);
  return g_get_monotonic_time () < until;
}

/* Returns the lease for a record that is written now, or 0 with ERR when none
   can be granted.  */
static uint64_t
current_lease (struct entry *entry, struct err *err)
{
  struct entry_claim_store *store = entry->claim_store;
  gint64 now = g_get_monotonic_time ();
  uint64_t granted;
  uint64_t id;
  gint64 age_s;

  pthread_mutex_lock (&store->lock);
  id = store->lease;
  age_s = (now - store->granted_us) / G_USEC_PER_SEC;
  pthread_mutex_unlock (&store->lock);
  if (id != 0 && age_s < LEASE_RENEW_AGE_S)
    return id;
  if (kv_lease_grant (entry->kv, LEASE_TTL_MS, &granted, err) != 0)
    return id != 0 && age_s < LEASE_USE_MAX_AGE_S ? id : 0;
  pthread_mutex_lock (&store->lock);
  store->lease = granted;
  store->granted_us = now;
  pthread_mutex_unlock (&store->lock);
  return granted;
}

/* Forgets the lease ID, which the service doesn't know any more.  */
static void
forget_lease (struct entry_claim_store *store, uint64_t id)
{
  pthread_mutex_lock (&store->lock);
  if (store->lease == id)
    store->lease = 0;
  pthread_mutex_unlock (&store->lock);
}

void
entry_claim_store_check_era (struct entry *entry)
{
  struct entry_claim_store *store = entry->claim_store;
  uint64_t era = kv_era (entry->kv);
  gint64 now = g_get_monotonic_time ();
  gint64 hold_us;
  int restored;

  pthread_mutex_lock (&store->lock);
  restored = store->era != 0 && era > store->era;
  if (store->era == 0)
    store->era = era;
  pthread_mutex_unlock (&store->lock);
  if (!restored)
    return;
  hold_us = cfg_sync_poll_max_us (entry->config) + REWRITE_US;
  pthread_mutex_lock (&store->lock);
  restored = era > store->era;
  if (restored)
    {
      store->era = era;
      store->held_until_us = now + hold_us;
      store->next_rewrite_us = now;
    }
  pthread_mutex_unlock (&store->lock);
  if (restored)
    log_write (LOG_LEVEL_WARN, NULL, "kv", entry->settings.kv,
               "restored from an older copy, era %llu; no claims for %d ms",
               (unsigned long long)era, (int)(hold_us / 1000));
}

int
entry_claim_store_put (struct entry *entry, const char *key, uint64_t prev,
                       const char *text, uint64_t *revision, struct err *err)
{
  struct entry_claim_store *store = entry->claim_store;
  uint64_t lease = current_lease (entry, err);
  int rc = -1;
  int i;

  for (i = 0; i < 2 && lease != 0; i++)
    {
      rc = kv_cas (entry->kv, key, prev, text, strlen (text), lease, revision,
                   err);
      if (rc >= 0 || err->code != ERR_NOT_FOUND)
        break;
      forget_lease (store, lease);
      lease = current_lease (entry, err);
    }
  entry_claim_store_check_era (entry);
  if (lease == 0 || (rc < 0 && err->code == ERR_NOT_FOUND))
    err->code = ERR_REFUSED;
  if (rc != 1)
    return rc;
  pthread_mutex_lock (&store->lock);
  claim_log_note (store->log, key, text, g_get_monotonic_time ());
  pthread_mutex_unlock (&store->lock);
  return 1;
}

/* Writes RECORD, which the restored service may have lost.  Returns 0, or -1
   when that has to be tried again.  */
static int
rewrite_record (struct entry *entry, const struct claim_log_record *record)
{
  struct call_record lost = { 0 };
  struct call_record found = { 0 };
  struct kv_value value = { 0 };
  uint64_t revision;
  struct err err;
  int rc = entry_claim_store_put (entry, record->key, 0, record->text,
                                  &revision, &err);

  if (rc != 0)
    return rc < 0 ? -1 : 0;
  rc = kv_get (entry->kv, record->key, &value, &err);
  if (rc == 1
      && call_record_decode (record->text, strlen (record->text), &lost, &err)
             == 0
      && call_record_decode (value.data, value.size, &found, &err) == 0
      && claim_log_may_replace (&lost, &found))
    rc = entry_claim_store_put (entry, record->key, value.revision,
                                record->text, &revision, &err)
         - 1;
  kv_value_free (&value);
  call_record_clear (&lost);
  call_record_clear (&found);
  return rc < 0 ? -1 : 0;
}

static void
run_rewrite (struct entry_task *base)
{
  struct rewrite *rewrite = (struct rewrite *)base;
  struct entry *entry = rewrite->entry;
  struct entry_claim_store *store = entry->claim_store;
  GPtrArray *records;
  guint i;

  pthread_mutex_lock (&store->lock);
  records = claim_log_list (store->log, g_get_monotonic_time ());
  pthread_mutex_unlock (&store->lock);
  for (i = 0; i < records->len; i++)
    if (rewrite_record (entry, g_ptr_array_index (records, i)) != 0)
      break;
  if (i < records->len)
    {
      pthread_mutex_lock (&store->lock);
      store->next_rewrite_us = g_get_monotonic_time () + REWRITE_RETRY_US;
      pthread_mutex_unlock (&store->lock);
    }
  else
    log_write (LOG_LEVEL_INFO, NULL, "kv", entry->settings.kv,
               "%u records of claims are there again", records->len);
  g_ptr_array_free (records, TRUE);
  g_free (rewrite);
}

void
entry_claim_check_service (struct entry *entry, gint64 now_us)
{
  struct entry_claim_store *store = entry->claim_store;
  struct rewrite *rewrite;
  int due;

  entry_claim_store_check_era (entry);
  pthread_mutex_lock (&store->lock);
  due = store->next_rewrite_us != 0 && now_us >= store->next_rewrite_us;
  if (due)
    store->next_rewrite_us = 0;
  pthread_mutex_unlock (&store->lock);
  if (!due)
    return;
  rewrite = g_new0 (struct rewrite, 1);
  rewrite->task.run = run_rewrite;
  rewrite->entry = entry;
  g_thread_pool_push (entry->workers, rewrite, NULL);
}
