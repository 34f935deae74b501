#include "entry.h"

#include <stdio.h>
#include <string.h>

#include "goldcresthatch/metric.h"
#include "goldcresthatch/log.h"
#include "goldcresthatch/suspect.h"
#include "goldcresthatch/warn.h"

enum
{
  WARN_PERIOD_US = 1 * G_USEC_PER_SEC,
  WINDOW_S = 10, /* over which late answers are counted */
  /* Fewer late answers are no sign of overload.  */
  LATE_CALLS_MIN = 3,
  LATE_PERCENT = 5, /* the site's goal is 95 % on time */
  /* A call refused within this time counts as evidence of an outage of the
     key-value service if calls of the service also failed within
     KV_FAILURE_MAX_AGE_US. During an outage at least the read of the VM list
     fails every 3 s: its period is 2 s and its time-out 1 s.  */
  REFUSAL_MAX_AGE_US = 10 * G_USEC_PER_SEC,
  KV_FAILURE_MAX_AGE_US = 4 * G_USEC_PER_SEC,
  STATUS_CRASHES = 422,
  STATUS_REFUSED = 503,
  STATUS_TIMEOUT = 504
};

/* Calls of a service that ended, and that missed their deadline, in each
   second of the window.  */
struct service_counts
{
  unsigned ended[WINDOW_S];
  unsigned late[WINDOW_S];
};

struct entry_warn
{
  /* No other lock is taken while it is held.  Guards what follows.  */
  pthread_mutex_t lock;
  struct warn_set *set;
  GHashTable *services; /* struct service_counts by name */
  gint64 updated_us;
  gint64 refused_us;   /* last call refused because it had no claim, or 0 */
  gint64 kv_failed_us; /* last increase of KV_ERRORS, or 0 */
  int64_t kv_errors;   /* METRIC_KV_ERRORS at the last tick */
  unsigned second;     /* index of the current second in the window */
};

void
entry_warn_open (struct entry *entry)
{
  struct entry_warn *warn = g_new0 (struct entry_warn, 1);

  pthread_mutex_init (&warn->lock, NULL);
  warn->set = warn_new ();
  warn->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  entry->warn = warn;
}

void
entry_warn_close (struct entry *entry)
{
  warn_free (entry->warn->set);
  g_hash_table_destroy (entry->warn->services);
  pthread_mutex_destroy (&entry->warn->lock);
  g_free (entry->warn);
}

/* The warnings' lock is held.  */
static struct service_counts *
get_counts (struct entry_warn *warn, const char *service)
{
  struct service_counts *counts
      = g_hash_table_lookup (warn->services, service);

  if (counts == NULL)
    {
      counts = g_new0 (struct service_counts, 1);
      g_hash_table_insert (warn->services, g_strdup (service), counts);
    }
  return counts;
}

void
entry_warn_answered (struct entry_call *call)
{
  struct entry_warn *warn = call->entry->warn;
  struct service_counts *counts;

  pthread_mutex_lock (&warn->lock);
  counts = get_counts (warn, call->service);
  counts->ended[warn->second]++;
  if (g_get_monotonic_time () > call->deadline_us)
    counts->late[warn->second]++;
  pthread_mutex_unlock (&warn->lock);
}

static void
report_crashing (struct entry_warn *warn, const struct entry_call *call,
                 gint64 now)
{
  char subject[WARN_SUBJECT_BYTES];
  char evidence[WARN_EVIDENCE_BYTES];

  snprintf (subject, sizeof subject, "%016llx",
            (unsigned long long)suspect_fingerprint (
                call->customer, call->path, call->body.data, call->body.len));
  snprintf (evidence, sizeof evidence, "customer '%s', path %.100s",
            call->customer, call->path);
  warn_report (warn->set, WARN_CRASHING_REQUEST, subject, 1, evidence, now);
}

static void
report_unknown (struct entry_warn *warn, const struct entry_call *call,
                gint64 now)
{
  char evidence[WARN_EVIDENCE_BYTES];

  snprintf (evidence, sizeof evidence, "key '%.60s', agent %.40s: %.60s",
            call->key, call->failure.err.peer, call->failure.err.text);
  warn_report (warn->set, WARN_OUTCOME_UNKNOWN, call->service, 1, evidence,
               now);
}

void
entry_warn_failed (struct entry_call *call)
{
  const struct entry_failure *failure = &call->failure;
  struct entry_warn *warn = call->entry->warn;
  gint64 now = g_get_monotonic_time ();
  struct service_counts *counts;

  /* A request that was rejected before its start has no service, and the error
     is the caller's.  */
  if (!call->started)
    return;
  pthread_mutex_lock (&warn->lock);
  counts = get_counts (warn, call->service);
  counts->ended[warn->second]++;
  if (failure->status == STATUS_TIMEOUT)
    counts->late[warn->second]++;
  if (failure->status == STATUS_CRASHES)
    report_crashing (warn, call, now);
  else if (failure->status == STATUS_REFUSED)
    {
      /* Nothing was sent for this call.  An unknown outcome refers to an
         earlier call under the same key.  */
      if (strcmp (failure->err.step, "claim") == 0)
        warn->refused_us = now;
    }
  else if (failure->outcome == ENTRY_OUTCOME_UNKNOWN && call->at_most_once)
    report_unknown (warn, call, now);
  pthread_mutex_unlock (&warn->lock);
}

struct service_runners
{
  unsigned known;
  unsigned usable;
};

static void
count_runner (void *ctx, const char *service, int usable)
{
  GHashTable *services = ctx;
  struct service_runners *count = g_hash_table_lookup (services, service);

  if (count == NULL)
    {
      count = g_new0 (struct service_runners, 1);
      g_hash_table_insert (services, g_strdup (service), count);
    }
  count->known++;
  count->usable += usable != 0;
}

static void
report_runners (struct entry *entry, gint64 now)
{
  GHashTable *services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  struct entry_warn *warn = entry->warn;
  char evidence[WARN_EVIDENCE_BYTES];
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  entry_fleet_for_each (entry, count_runner, services);
  pthread_mutex_lock (&warn->lock);
  g_hash_table_iter_init (&iter, services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct service_runners *count = value;

      snprintf (evidence, sizeof evidence, "0 of %u known runners take work",
                count->known);
      warn_report (warn->set, WARN_NO_RUNNER, name, count->usable == 0,
                   evidence, now);
    }
  pthread_mutex_unlock (&warn->lock);
  g_hash_table_destroy (services);
}

/* The warnings' lock is held.  */
static void
report_late (struct entry_warn *warn, gint64 now)
{
  char evidence[WARN_EVIDENCE_BYTES];
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, warn->services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct service_counts *counts = value;
      unsigned ended = 0;
      unsigned late = 0;
      int i;

      for (i = 0; i < WINDOW_S; i++)
        {
          ended += counts->ended[i];
          late += counts->late[i];
        }
      snprintf (evidence, sizeof evidence,
                "%u of %u calls in %d s missed their deadline", late, ended,
                WINDOW_S);
      warn_report (warn->set, WARN_LATE_ANSWERS, name,
                   late >= LATE_CALLS_MIN
                       && late * 100 >= ended * LATE_PERCENT,
                   evidence, now);
    }
}

/* The warnings' lock is held.  */
static void
report_kv (struct entry_warn *warn, const char *address, gint64 now)
{
  int64_t errors = metric_get (METRIC_KV_ERRORS);
  char evidence[WARN_EVIDENCE_BYTES];
  int holds;

  if (errors != warn->kv_errors)
    warn->kv_failed_us = now;
  warn->kv_errors = errors;
  holds = warn->refused_us != 0 && now - warn->refused_us < REFUSAL_MAX_AGE_US
          && warn->kv_failed_us != 0
          && now - warn->kv_failed_us < KV_FAILURE_MAX_AGE_US;
  snprintf (evidence, sizeof evidence,
            "a call was refused %lld s ago; %lld calls of the service failed",
            (long long)((now - warn->refused_us) / G_USEC_PER_SEC),
            (long long)errors);
  warn_report (warn->set, WARN_KV_DOWN, address, holds, evidence, now);
}

/* Starts the next second of the window; the warnings' lock is held.  */
static void
start_next_second (struct entry_warn *warn)
{
  GHashTableIter iter;
  gpointer value;

  warn->second = (warn->second + 1) % WINDOW_S;
  g_hash_table_iter_init (&iter, warn->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct service_counts *counts = value;

      counts->ended[warn->second] = 0;
      counts->late[warn->second] = 0;
    }
}

static void
log_change (void *ctx, const struct warn_entry *change)
{
  const char *kind = warn_info (change->kind)->name;

  (void)ctx;
  /* The evidence is of the last report in which the condition held.  */
  if (change->raised)
    log_write (LOG_LEVEL_WARN, NULL, "warning", change->subject,
               "%s raised: %s", kind, change->evidence);
  else
    log_write (LOG_LEVEL_WARN, NULL, "warning", change->subject, "%s cleared",
               kind);
}

void
entry_warn_tick (struct entry *entry, gint64 now_us)
{
  struct entry_warn *warn = entry->warn;

  if (now_us - warn->updated_us < WARN_PERIOD_US)
    return;
  warn->updated_us = now_us;
  report_runners (entry, now_us);
  pthread_mutex_lock (&warn->lock);
  report_late (warn, now_us);
  report_kv (warn, entry->settings.kv, now_us);
  start_next_second (warn);
  warn_update (warn->set, now_us, log_change, NULL);
  pthread_mutex_unlock (&warn->lock);
}

void
entry_warn_page (struct entry *entry, GString *out)
{
  struct entry_warn *warn = entry->warn;

  pthread_mutex_lock (&warn->lock);
  warn_json (warn->set, g_get_monotonic_time (), out);
  pthread_mutex_unlock (&warn->lock);
}
