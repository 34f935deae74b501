#include "entry_claim.h"
#include "entry_claim_store.h"

#include <stdlib.h>
#include <string.h>

#include "goldcresthatch/metric.h"
#include "goldcresthatch/log.h"

enum
{
  /* Circuit breaker for the service.  During an outage each operation occupies
     a worker for the adapter's timeout.  After this many consecutive failures,
     only one operation in each period is sent, so that no queue builds up in
     front of the workers; the others are deferred for CLAIM_OUTAGE_TIMEOUT_US
     and then fail without an effect.  */
  FAILURES_BEFORE_PROBING = 8,
  KV_PROBE_PERIOD_US = 250 * 1000
};

struct entry_claim_breaker
{
  pthread_mutex_t lock;
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
  entry->claim_breaker = g_new0 (struct entry_claim_breaker, 1);
  pthread_mutex_init (&entry->claim_breaker->lock, NULL);
  entry->claim_store = entry_claim_store_new ();
  return 0;
}

void
entry_claim_close (struct entry *entry)
{
  g_thread_pool_free (entry->workers, FALSE, TRUE);
  entry_claim_store_free (entry->claim_store);
  pthread_mutex_destroy (&entry->claim_breaker->lock);
  g_free (entry->claim_breaker);
}

/* Returns nonzero when the circuit breaker allows an operation now.  */
static int
may_call_service (struct entry_claim_breaker *breaker)
{
  gint64 now = g_get_monotonic_time ();
  int may = 1;

  pthread_mutex_lock (&breaker->lock);
  if (breaker->failures >= FAILURES_BEFORE_PROBING)
    {
      may = now >= breaker->next_probe_us;
      if (may)
        breaker->next_probe_us = now + KV_PROBE_PERIOD_US;
    }
  pthread_mutex_unlock (&breaker->lock);
  return may;
}

static void
count_failure (struct entry_claim_breaker *breaker, int failed)
{
  pthread_mutex_lock (&breaker->lock);
  breaker->failures = failed ? breaker->failures + 1 : 0;
  pthread_mutex_unlock (&breaker->lock);
}

/* Returns nonzero when no claim may be made and CALL isn't sent yet.  */
static int
is_held (struct entry_call *call)
{
  int undecided;

  pthread_mutex_lock (&call->lock);
  undecided = !call->claim->sent && !call->claim->answered;
  pthread_mutex_unlock (&call->lock);
  return undecided && entry_claim_store_is_held (call->entry->claim_store);
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
  rc = entry_claim_store_put (call->entry, call->claim->key, task->prev,
                              task->text, &event->revision, err);
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

  entry_claim_store_check_era (task->call->entry);
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
  count_failure (entry->claim_breaker, is_service_failure (event->kind)
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
  int try = may_call_service (call->entry->claim_breaker);

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
