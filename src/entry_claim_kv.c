#include "entry_claim.h"

#include <stdlib.h>
#include <string.h>

#include "cfg_sync.h"
#include "claim_log.h"
#include "goldcresthatch/metric.h"
#include "goldcresthatch/log.h"

enum
{
  /* A record is kept for at least 24 h.  The lease lasts 25 h and is replaced
     once it is 50 min old; no claim is written under a lease older than 1 h.
   */
  LEASE_TTL_MS = 25 * 3600 * 1000,
  LEASE_RENEW_AGE_S = 50 * 60,
  LEASE_USE_MAX_AGE_S = 60 * 60,

  /* Circuit breaker for the service.  During an outage each operation occupies
     a worker for the adapter's timeout.  After this many consecutive failures,
     only one operation in each period is sent, so that no queue builds up in
     front of the workers; the others are deferred for CLAIM_OUTAGE_TIMEOUT_US
     and then fail without an effect.  */
  FAILURES_BEFORE_PROBING = 8,
  KV_PROBE_PERIOD_US = 250 * 1000,

  /* After a restoration of the service, records of other entries may be
     missing.  Each entry notices it by its next poll of the configuration and
     then writes them again within this time.  */
  REWRITE_US = 1000 * 1000,
  REWRITE_RETRY_US = 250 * 1000
};

struct entry_lease
{
  pthread_mutex_t lock;
  uint64_t id; /* 0 before the first grant */
  gint64 granted_us;
  unsigned failures;    /* consecutive failed operations */
  gint64 next_probe_us; /* earliest operation while the circuit is open */

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

/* One key-value operation.  */
struct claim_operation
{
  struct entry_task task;
  struct entry_call *call;
  enum call_action_kind kind;
  char *text;    /* encoded record of a write */
  uint64_t prev; /* expected revision of a write */
};

static void
run_worker_task (gpointer data, gpointer ctx)
{
  struct entry_task *task = data;

  (void)ctx;
  task->run (task);
}

int
entry_claim_open (struct entry *entry, struct err *err)
{
  entry->workers = g_thread_pool_new (
      run_worker_task, entry, (gint)entry->settings.workers, FALSE, NULL);
  if (entry->workers == NULL)
    return err_set (err, ERR_LIMIT, "workers", NULL,
                    "cannot start the pool of %d worker threads",
                    (int)entry->settings.workers);
  entry->claim_lease = g_new0 (struct entry_lease, 1);
  pthread_mutex_init (&entry->claim_lease->lock, NULL);
  entry->claim_lease->log = claim_log_new ();
  return 0;
}

void
entry_claim_close (struct entry *entry)
{
  g_thread_pool_free (entry->workers, FALSE, TRUE);
  claim_log_free (entry->claim_lease->log);
  pthread_mutex_destroy (&entry->claim_lease->lock);
  g_free (entry->claim_lease);
}

/* Returns the lease for a record that is written now, or 0 with ERR when none
   can be granted.  */
static uint64_t
current_lease (struct entry *entry, struct err *err)
{
  struct entry_lease *lease = entry->claim_lease;
  gint64 now = g_get_monotonic_time ();
  uint64_t granted;
  uint64_t id;
  gint64 age_s;

  pthread_mutex_lock (&lease->lock);
  id = lease->id;
  age_s = (now - lease->granted_us) / G_USEC_PER_SEC;
  pthread_mutex_unlock (&lease->lock);
  if (id != 0 && age_s < LEASE_RENEW_AGE_S)
    return id;
  if (kv_lease_grant (entry->kv, LEASE_TTL_MS, &granted, err) != 0)
    return id != 0 && age_s < LEASE_USE_MAX_AGE_S ? id : 0;
  pthread_mutex_lock (&lease->lock);
  lease->id = granted;
  lease->granted_us = now;
  pthread_mutex_unlock (&lease->lock);
  return granted;
}

/* Returns nonzero when the circuit breaker allows an operation now.  */
static int
may_call_service (struct entry_lease *lease)
{
  gint64 now = g_get_monotonic_time ();
  int may = 1;

  pthread_mutex_lock (&lease->lock);
  if (lease->failures >= FAILURES_BEFORE_PROBING)
    {
      may = now >= lease->next_probe_us;
      if (may)
        lease->next_probe_us = now + KV_PROBE_PERIOD_US;
    }
  pthread_mutex_unlock (&lease->lock);
  return may;
}

static void
count_failure (struct entry_lease *lease, int failed)
{
  pthread_mutex_lock (&lease->lock);
  lease->failures = failed ? lease->failures + 1 : 0;
  pthread_mutex_unlock (&lease->lock);
}

/* Forgets the lease ID, which the service doesn't know any more.  */
static void
forget_lease (struct entry_lease *lease, uint64_t id)
{
  pthread_mutex_lock (&lease->lock);
  if (lease->id == id)
    lease->id = 0;
  pthread_mutex_unlock (&lease->lock);
}

/* Notices that the service has been restored from an older copy.  */
static void
check_era (struct entry *entry)
{
  struct entry_lease *lease = entry->claim_lease;
  uint64_t era = kv_era (entry->kv);
  gint64 now = g_get_monotonic_time ();
  gint64 hold_us;
  int restored;

  pthread_mutex_lock (&lease->lock);
  restored = lease->era != 0 && era > lease->era;
  if (lease->era == 0)
    lease->era = era;
  pthread_mutex_unlock (&lease->lock);
  if (!restored)
    return;
  hold_us = cfg_sync_poll_max_us (entry->config) + REWRITE_US;
  pthread_mutex_lock (&lease->lock);
  restored = era > lease->era;
  if (restored)
    {
      lease->era = era;
      lease->held_until_us = now + hold_us;
      lease->next_rewrite_us = now;
    }
  pthread_mutex_unlock (&lease->lock);
  if (restored)
    log_write (LOG_LEVEL_WARN, NULL, "kv", entry->settings.kv,
               "restored from an older copy, era %llu; no claims for %d ms",
               (unsigned long long)era, (int)(hold_us / 1000));
}

/* Writes TEXT under KEY as kv_cas does, under a new lease when the current one
   has ended.  */
static int
put_record (struct entry *entry, const char *key, uint64_t prev,
            const char *text, uint64_t *revision, struct err *err)
{
  struct entry_lease *state = entry->claim_lease;
  uint64_t lease = current_lease (entry, err);
  int rc = -1;
  int i;

  for (i = 0; i < 2 && lease != 0; i++)
    {
      rc = kv_cas (entry->kv, key, prev, text, strlen (text), lease, revision,
                   err);
      if (rc >= 0 || err->code != ERR_NOT_FOUND)
        break;
      forget_lease (state, lease);
      lease = current_lease (entry, err);
    }
  check_era (entry);
  if (lease == 0 || (rc < 0 && err->code == ERR_NOT_FOUND))
    err->code = ERR_REFUSED;
  if (rc != 1)
    return rc;
  pthread_mutex_lock (&state->lock);
  claim_log_note (state->log, key, text, g_get_monotonic_time ());
  pthread_mutex_unlock (&state->lock);
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
  int rc = put_record (entry, record->key, 0, record->text, &revision, &err);

  if (rc != 0)
    return rc < 0 ? -1 : 0;
  rc = kv_get (entry->kv, record->key, &value, &err);
  if (rc == 1
      && call_record_decode (record->text, strlen (record->text), &lost, &err)
             == 0
      && call_record_decode (value.data, value.size, &found, &err) == 0
      && claim_log_may_replace (&lost, &found))
    rc = put_record (entry, record->key, value.revision, record->text,
                     &revision, &err)
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
  struct entry_lease *lease = entry->claim_lease;
  GPtrArray *records;
  guint i;

  pthread_mutex_lock (&lease->lock);
  records = claim_log_list (lease->log, g_get_monotonic_time ());
  pthread_mutex_unlock (&lease->lock);
  for (i = 0; i < records->len; i++)
    if (rewrite_record (entry, g_ptr_array_index (records, i)) != 0)
      break;
  if (i < records->len)
    {
      pthread_mutex_lock (&lease->lock);
      lease->next_rewrite_us = g_get_monotonic_time () + REWRITE_RETRY_US;
      pthread_mutex_unlock (&lease->lock);
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
  struct entry_lease *lease = entry->claim_lease;
  struct rewrite *rewrite;
  int due;

  check_era (entry);
  pthread_mutex_lock (&lease->lock);
  due = lease->next_rewrite_us != 0 && now_us >= lease->next_rewrite_us;
  if (due)
    lease->next_rewrite_us = 0;
  pthread_mutex_unlock (&lease->lock);
  if (!due)
    return;
  rewrite = g_new0 (struct rewrite, 1);
  rewrite->task.run = run_rewrite;
  rewrite->entry = entry;
  g_thread_pool_push (entry->workers, rewrite, NULL);
}

/* Returns nonzero when no claim may be made and CALL isn't sent yet.  */
static int
is_held (struct entry_call *call)
{
  struct entry_lease *lease = call->entry->claim_lease;
  gint64 until;
  int undecided;

  pthread_mutex_lock (&lease->lock);
  until = lease->held_until_us;
  pthread_mutex_unlock (&lease->lock);
  pthread_mutex_lock (&call->lock);
  undecided = !call->claim->sent && !call->claim->answered;
  pthread_mutex_unlock (&call->lock);
  return undecided && g_get_monotonic_time () < until;
}

static void
write_record (struct claim_operation *task, struct call_event *event,
              struct err *err)
{
  struct entry_call *call = task->call;
  int rc;

  event->kind = CALL_EV_WRITE_REFUSED;
  if (task->text == NULL)
    return;
  rc = put_record (call->entry, call->claim->key, task->prev, task->text,
                   &event->revision, err);
  if (rc == 0)
    event->kind = CALL_EV_WRITE_CONFLICT;
  /* When the restoration was noticed with this write, it doesn't tell yet that
     the key was free.  */
  else if (rc == 1)
    event->kind = is_held (call) ? CALL_EV_WRITE_LOST : CALL_EV_WRITE_DONE;
  else if (err->code != ERR_REFUSED)
    event->kind = CALL_EV_WRITE_LOST;
}

static void
read_record (struct claim_operation *task, struct call_event *event,
             struct call_record *record, struct err *err)
{
  struct kv_value value = { 0 };
  int rc = kv_get (task->call->entry->kv, task->call->claim->key, &value, err);

  check_era (task->call->entry);
  event->kind = rc == 0 ? CALL_EV_READ_ABSENT : CALL_EV_READ_FAILED;
  if (rc != 1)
    return;
  event->kind = CALL_EV_READ_BAD;
  event->revision = value.revision;
  if (call_record_decode (value.data, value.size, record, err) == 0)
    {
      event->kind = CALL_EV_READ_DONE;
      event->record = record;
    }
  kv_value_free (&value);
}

static int
is_service_failure (enum call_event_kind kind)
{
  return kind == CALL_EV_WRITE_LOST || kind == CALL_EV_WRITE_REFUSED
         || kind == CALL_EV_READ_FAILED || kind == CALL_EV_READ_BAD;
}

/* Defers TASK to the next tick while the service is down, unless its caller
   has an answer, is past its deadline or has waited for
   CLAIM_OUTAGE_TIMEOUT_US. Returns nonzero when TASK is deferred.  */
static int
defer_operation (struct claim_operation *task)
{
  struct entry_call *call = task->call;
  struct entry_claim *claim = call->claim;
  gint64 now = g_get_monotonic_time ();
  int defer;

  pthread_mutex_lock (&call->lock);
  if (claim->deferred_since_us == 0)
    claim->deferred_since_us = now;
  defer = !claim->answered && now < call->deadline_us
          && now - claim->deferred_since_us < CLAIM_OUTAGE_TIMEOUT_US;
  if (defer)
    claim->deferred = task;
  pthread_mutex_unlock (&call->lock);
  return defer;
}

/* Runs the operation of TASK and fills in EVENT.  Without TRY, the operation
   fails without a call of the service.  */
static void
run_operation (struct claim_operation *task, int try, struct call_event *event,
               struct call_record *record, struct err *err)
{
  struct entry *entry = task->call->entry;
  int write = task->kind == CALL_ACT_WRITE;

  if (is_held (task->call))
    {
      event->kind = write ? CALL_EV_WRITE_REFUSED : CALL_EV_READ_FAILED;
      err_set (err, ERR_REFUSED, "kv", entry->settings.kv,
               "not called: records may be missing after a restoration");
      return;
    }
  if (!try)
    {
      event->kind = write ? CALL_EV_WRITE_REFUSED : CALL_EV_READ_FAILED;
      err_set (err, ERR_REFUSED, "kv", entry->settings.kv,
               "not called: the last %d calls failed, the next is due within "
               "%d ms",
               FAILURES_BEFORE_PROBING, KV_PROBE_PERIOD_US / 1000);
      return;
    }
  if (write)
    write_record (task, event, err);
  else
    read_record (task, event, record, err);
  count_failure (entry->claim_lease, is_service_failure (event->kind)
                                         && event->kind != CALL_EV_READ_BAD);
}

/* Runs in a worker thread: carries out one operation and passes its result to
   the call.  */
static void
run_claim_operation (struct entry_task *base)
{
  struct claim_operation *task = (struct claim_operation *)base;
  struct entry_call *call = task->call;
  struct call_record record = { 0 };
  struct call_event event = { 0 };
  struct err err = { 0 };
  int try = may_call_service (call->entry->claim_lease);

  if (!try && defer_operation (task))
    return;
  run_operation (task, try, &event, &record, &err);
  if (is_service_failure (event.kind))
    log_err (LOG_LEVEL_INFO, call->traceparent, &err);
  pthread_mutex_lock (&call->lock);
  call->claim->busy = 0;
  if (!is_service_failure (event.kind))
    call->claim->outage_since_us = 0;
  else if (call->claim->outage_since_us == 0)
    call->claim->outage_since_us = g_get_monotonic_time ();
  entry_claim_handle_event (call, &event);
  pthread_mutex_unlock (&call->lock);
  call_record_clear (&record);
  free (task->text);
  g_free (task);
  entry_call_unref (call);
}

void
entry_claim_start_operation (struct entry_call *call,
                             const struct call_action *action)
{
  struct claim_operation *task = g_new0 (struct claim_operation, 1);
  struct err err;

  task->task.run = run_claim_operation;
  task->call = entry_call_ref (call);
  task->kind = action->kind;
  task->prev = action->prev;
  if (action->kind == CALL_ACT_WRITE
      && call_record_encode (action->record, &task->text, &err) != 0)
    log_err (LOG_LEVEL_ERROR, call->traceparent, &err);
  call->claim->busy = 1;
  g_thread_pool_push (call->entry->workers, task, NULL);
}

void
entry_claim_retry_deferred (struct entry_call *call)
{
  struct entry_claim *claim = call->claim;

  if (claim->deferred == NULL)
    return;
  g_thread_pool_push (call->entry->workers, claim->deferred, NULL);
  claim->deferred = NULL;
}
