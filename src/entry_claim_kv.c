#include "entry_claim.h"

#include <stdlib.h>
#include <string.h>

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
  KV_PROBE_PERIOD_US = 250 * 1000
};

struct entry_lease
{
  pthread_mutex_t lock;
  uint64_t id; /* 0 before the first grant */
  gint64 granted_us;
  unsigned failures;    /* consecutive failed operations */
  gint64 next_probe_us; /* earliest operation while the circuit is open */
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
  return 0;
}

void
entry_claim_close (struct entry *entry)
{
  g_thread_pool_free (entry->workers, FALSE, TRUE);
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

static void
write_record (struct claim_operation *task, struct call_event *event,
              struct err *err)
{
  struct entry_call *call = task->call;
  struct entry *entry = call->entry;
  uint64_t lease = current_lease (entry, err);
  int rc = -1;
  int i;

  event->kind = CALL_EV_WRITE_REFUSED;
  for (i = 0; i < 2 && rc < 0 && lease != 0 && task->text != NULL; i++)
    {
      rc = kv_cas (entry->kv, call->claim->key, task->prev, task->text,
                   strlen (task->text), lease, &event->revision, err);
      if (rc >= 0 || err->code != ERR_NOT_FOUND)
        break;
      forget_lease (entry->claim_lease, lease);
      lease = current_lease (entry, err);
    }
  if (rc == 1)
    event->kind = CALL_EV_WRITE_DONE;
  else if (rc == 0)
    event->kind = CALL_EV_WRITE_CONFLICT;
  else if (lease != 0 && err->code != ERR_REFUSED
           && err->code != ERR_NOT_FOUND)
    event->kind = CALL_EV_WRITE_LOST;
}

static void
read_record (struct claim_operation *task, struct call_event *event,
             struct call_record *record, struct err *err)
{
  struct kv_value value = { 0 };
  int rc = kv_get (task->call->entry->kv, task->call->claim->key, &value, err);

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
