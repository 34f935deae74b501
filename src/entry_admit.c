#include "entry.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#include "goldcresthatch/metric.h"

enum
{
  /* The cost of a request is the time that it occupies one slot of a runner,
     in this unit.  */
  US_PER_COST = 1000,
  DEFAULT_SHARE_PERMIL = 100, /* of each class below the highest */
  PERMIL_PER_PERCENT = 10,
  QUANTUM_COST = 1000, /* cost that a customer may use in one round */
  EWMA_DIVISOR
  = 16, /* one answer has the weight 1/16 in the moving averages */
  COST_MAX = 1 << 24,
  /* Under overload, calls leave the queue as late as their deadline allows.
     The time that an answer takes is estimated by its moving average and this
     many mean deviations; the average alone let 1 answer of 960 miss its
     deadline.  */
  DEADLINE_DEVIATIONS = 4,
  STATUS_TOO_MANY = 429,
  STATUS_UNAVAILABLE = 503
};

/* State of the admission control of one service.  */
struct service
{
  struct admission_control *admission_control;
  struct admission_config config;
  int64_t slot_us;           /* average time in a slot for one unit of cost */
  int64_t slot_deviation_us; /* average deviation of a measurement from it */
  gint64 no_runner_since_us; /* since when no runner is usable, or 0 */
};

struct entry_admit
{
  GHashTable *services; /* name -> struct service */
  pthread_cond_t freed;
  int slot_freed; /* an attempt ended since the last wait */
};

static void
service_free (gpointer data)
{
  struct service *service = data;

  admission_free (service->admission_control);
  g_free (service);
}

void
entry_admit_open (struct entry *entry)
{
  struct entry_admit *admit = g_new0 (struct entry_admit, 1);
  pthread_condattr_t attr;

  admit->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, service_free);
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&admit->freed, &attr);
  pthread_condattr_destroy (&attr);
  entry->admit = admit;
}

void
entry_admit_close (struct entry *entry)
{
  g_hash_table_destroy (entry->admit->services);
  pthread_cond_destroy (&entry->admit->freed);
  g_free (entry->admit);
}

static struct admission_config
read_config (const struct cfg_snapshot *snap)
{
  struct admission_config config = { snap->limits.queue_max, 0, QUANTUM_COST };
  unsigned share = 0;
  size_t i;

  for (i = 0; i < snap->priority_count; i++)
    if (snap->priorities[i].level > 0
        && (share == 0 || snap->priorities[i].share < share))
      share = snap->priorities[i].share;
  config.share_permil
      = share > 0 ? share * PERMIL_PER_PERCENT : DEFAULT_SHARE_PERMIL;
  return config;
}

/* Returns the service NAME with the limits in force.  New limits apply once
   its queue is empty.  The entry's lock is held.  */
static struct service *
get_service (struct entry *entry, const char *name,
             const struct cfg_snapshot *snap)
{
  GHashTable *services = entry->admit->services;
  struct service *service = g_hash_table_lookup (services, name);
  struct admission_config config = read_config (snap);

  if (service == NULL)
    {
      service = g_new0 (struct service, 1);
      service->slot_us = US_PER_COST;
      service->slot_deviation_us = US_PER_COST / 2;
      g_hash_table_insert (services, g_strdup (name), service);
    }
  else if (admission_queued (service->admission_control) > 0
           || (config.queue_max == service->config.queue_max
               && config.share_permil == service->config.share_permil))
    return service;
  admission_free (service->admission_control);
  service->config = config;
  service->admission_control = admission_new (&config);
  return service;
}

/* Returns the time that CALL is expected to occupy one slot of a runner.  */
static int64_t
slot_us (const struct entry *entry, const struct entry_call *call)
{
  const struct entry_settings *settings = &entry->settings;

  if (call->prompt == NULL)
    return settings->request_us;
  return (int64_t)call->prompt->len / ENTRY_BYTES_PER_TOKEN
             * settings->prefill_us
         + (int64_t)call->output_tokens * settings->step_us;
}

/* The cost is divided by the customer's weight, so that a customer of a higher
   weight gets a larger share.  */
static struct admission_request
make_request (const struct entry *entry, const struct entry_call *call,
              const struct cfg_snapshot *snap)
{
  const struct cfg_customer *customer
      = cfg_customer_find (snap, call->customer);
  struct admission_request request = { .id = call->id.hi };
  double cost = (double)slot_us (entry, call) / US_PER_COST;
  uint64_t priority = call->priority;

  if (customer != NULL && customer->weight > 0)
    cost /= customer->weight;
  if (customer != NULL && customer->priority != NULL && !call->has_priority)
    priority = customer->priority->level;
  request.customer = XXH3_64bits (call->customer, strlen (call->customer));
  request.priority = (unsigned)MIN (priority, ADMISSION_CLASSES - 1);
  request.cost = (uint32_t)CLAMP (cost, 1, COST_MAX);
  return request;
}

/* Returns the time at which the first token of CALL is due, so that the rest
   of the answer is complete by the deadline.  The estimate for the rest is
   limited to half of the time left: one that is too long would otherwise
   refuse every request, and no answer would correct it.  */
static int64_t
first_token_due_us (const struct entry *entry, const struct service *service,
                    const struct entry_call *call, gint64 now)
{
  int64_t unit_us
      = service->slot_us + DEADLINE_DEVIATIONS * service->slot_deviation_us;
  int64_t answer_us = 0;

  if (call->prompt != NULL)
    answer_us = (int64_t)call->output_tokens * entry->settings.step_us
                / US_PER_COST * unit_us;
  return call->deadline_us - MIN (answer_us, (call->deadline_us - now) / 2);
}

static void
make_supply (const struct service *service,
             const struct entry_fleet_supply *fleet,
             struct admission_supply *out)
{
  out->room = fleet->free_slots;
  out->first_us = fleet->ttft_us;
  out->us_per_cost = service->slot_us / (int64_t)MAX (fleet->slots, 1);
}

/* Refuses CALL, whose lock is held.  */
static void
refuse (struct entry_call *call, enum admission_verdict verdict,
        unsigned retry_after_s)
{
  static const char *const texts[ADMISSION_VERDICT_MAX] = {
    [ADMISSION_REFUSE_LATE] = "the deadline cannot be met",
    [ADMISSION_REFUSE_FULL] = "the queue is full",
    [ADMISSION_REFUSE_SHARE] = "the customer's share is used up",
  };

  call->queued = 0;
  entry_call_fail (call,
                   verdict == ADMISSION_REFUSE_SHARE ? STATUS_TOO_MANY
                                                     : STATUS_UNAVAILABLE,
                   ENTRY_OUTCOME_NOT_RUN, ERR_LIMIT, "admit", call->service,
                   "%s", texts[verdict]);
  call->failure.retry_after_s = MAX (retry_after_s, 1);
}

static struct entry_call *
find_call (struct entry *entry, uint64_t id)
{
  struct entry_call *call;

  pthread_mutex_lock (&entry->lock);
  call = g_hash_table_lookup (entry->calls, &id);
  if (call != NULL)
    entry_call_ref (call);
  pthread_mutex_unlock (&entry->lock);
  return call;
}

void
entry_admit_evict (struct entry *entry, uint64_t id)
{
  struct entry_call *call = id != 0 ? find_call (entry, id) : NULL;

  if (call == NULL)
    return;
  pthread_mutex_lock (&call->lock);
  if (call->queued)
    refuse (call, ADMISSION_REFUSE_SHARE, 1);
  pthread_mutex_unlock (&call->lock);
  entry_call_unref (call);
}

int
entry_admit_offer (struct entry *entry, struct entry_call *call,
                   uint64_t *evicted)
{
  struct cfg_snapshot *snap = entry_config_get (entry);
  struct entry_fleet_supply fleet;
  struct admission_decision decision = { .verdict = ADMISSION_ADMIT };
  struct admission_request request = make_request (entry, call, snap);
  struct admission_supply supply;
  struct service *service;
  gint64 now = g_get_monotonic_time ();

  *evicted = 0;
  pthread_mutex_lock (&entry->lock);
  entry_fleet_get_supply (entry, call->service, call, &fleet);
  /* Without a usable runner nothing can be predicted, so the call is admitted
     and waits for a runner, at most ENTRY_RUNNER_WAIT_US.  */
  if (fleet.slots > 0)
    {
      service = get_service (entry, call->service, snap);
      make_supply (service, &fleet, &supply);
      request.due_us = first_token_due_us (entry, service, call, now);
      decision = admission_offer (service->admission_control, &request,
                                  &supply, now);
    }
  pthread_mutex_unlock (&entry->lock);
  cfg_snapshot_unref (snap);
  if (decision.has_evicted)
    *evicted = decision.evicted;
  call->queued = decision.verdict == ADMISSION_QUEUE;
  if (decision.verdict >= ADMISSION_REFUSE_LATE)
    refuse (call, decision.verdict, decision.retry_after_s);
  return decision.verdict == ADMISSION_ADMIT;
}

void
entry_admit_cancel (struct entry *entry, struct entry_call *call)
{
  struct service *service;

  if (!call->queued)
    return;
  call->queued = 0;
  pthread_mutex_lock (&entry->lock);
  service = g_hash_table_lookup (entry->admit->services, call->service);
  if (service != NULL)
    admission_cancel (service->admission_control, call->id.hi);
  pthread_mutex_unlock (&entry->lock);
}

void
entry_admit_first_token (struct entry *entry, struct entry_call *call)
{
  gint64 now = g_get_monotonic_time ();
  struct service *service;

  pthread_mutex_lock (&entry->lock);
  service = g_hash_table_lookup (entry->admit->services, call->service);
  if (service != NULL)
    admission_observe (service->admission_control, call->ttft_us,
                       now - call->attempt_us, now);
  pthread_mutex_unlock (&entry->lock);
}

void
entry_admit_answered (struct entry *entry, const struct entry_call *call)
{
  int64_t cost = MAX (slot_us (entry, call) / US_PER_COST, 1);
  int64_t measured = (g_get_monotonic_time () - call->attempt_us) / cost;
  struct service *service;

  pthread_mutex_lock (&entry->lock);
  service = g_hash_table_lookup (entry->admit->services, call->service);
  if (service != NULL)
    {
      int64_t deviation = measured - service->slot_us;

      service->slot_us += deviation / EWMA_DIVISOR;
      service->slot_deviation_us
          += (llabs (deviation) - service->slot_deviation_us) / EWMA_DIVISOR;
    }
  pthread_mutex_unlock (&entry->lock);
}

static void
note_runner_usable (struct service *service,
                    const struct entry_fleet_supply *fleet)
{
  if (fleet->slots > 0)
    service->no_runner_since_us = 0;
  else if (service->no_runner_since_us == 0)
    service->no_runner_since_us = g_get_monotonic_time ();
}

int
entry_admit_has_no_runner (struct entry *entry, const struct entry_call *call,
                           gint64 now_us)
{
  const struct service *service;
  int starved;

  if (!call->queued)
    return 0;
  pthread_mutex_lock (&entry->lock);
  service = g_hash_table_lookup (entry->admit->services, call->service);
  starved = service != NULL && service->no_runner_since_us != 0
            && now_us - service->no_runner_since_us >= ENTRY_RUNNER_WAIT_US;
  pthread_mutex_unlock (&entry->lock);
  return starved;
}

/* Takes the next request from the queue of a service that has a free slot.
   Returns 0 when there is none.  */
static int
take_next (struct entry *entry, struct admission_request *request,
           struct admission_decision *decision)
{
  struct entry_fleet_supply fleet;
  struct admission_supply supply;
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  int found = 0;

  pthread_mutex_lock (&entry->lock);
  g_hash_table_iter_init (&iter, entry->admit->services);
  while (!found && g_hash_table_iter_next (&iter, &name, &value))
    {
      struct service *service = value;

      if (admission_queued (service->admission_control) == 0)
        continue;
      entry_fleet_get_supply (entry, name, NULL, &fleet);
      note_runner_usable (service, &fleet);
      make_supply (service, &fleet, &supply);
      found = supply.room > 0
              && admission_next (service->admission_control, &supply,
                                 g_get_monotonic_time (), request, decision);
    }
  pthread_mutex_unlock (&entry->lock);
  return found;
}

void
entry_admit_dispatch (struct entry *entry)
{
  struct admission_decision decision;
  struct admission_request request;
  struct entry_call *call;

  while (take_next (entry, &request, &decision))
    {
      call = find_call (entry, request.id);
      if (call == NULL)
        continue;
      pthread_mutex_lock (&call->lock);
      if (call->queued && decision.verdict == ADMISSION_ADMIT)
        {
          call->queued = 0;
          entry_call_admitted (call);
        }
      else if (call->queued)
        refuse (call, decision.verdict, decision.retry_after_s);
      pthread_mutex_unlock (&call->lock);
      entry_call_unref (call);
    }
}

void
entry_admit_slot_freed (struct entry *entry)
{
  entry->admit->slot_freed = 1;
  pthread_cond_signal (&entry->admit->freed);
}

void
entry_admit_wait_for_slot (struct entry *entry, gint64 until_us)
{
  struct timespec until
      = { until_us / G_USEC_PER_SEC, until_us % G_USEC_PER_SEC * 1000 };

  pthread_mutex_lock (&entry->lock);
  while (!entry->admit->slot_freed
         && pthread_cond_timedwait (&entry->admit->freed, &entry->lock, &until)
                == 0)
    ;
  entry->admit->slot_freed = 0;
  pthread_mutex_unlock (&entry->lock);
}
