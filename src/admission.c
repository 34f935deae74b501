#include "goldcresthatch/admission.h"

#include <glib.h>
#include <stdlib.h>

#define SECOND_US INT64_C (1000000)

enum
{
  PERMIL = 1000, /* one, in permil */
  /* Bound of a class's credit, in quanta.  Without it, a class that used
     little of its share for long would block the others when it returns.  */
  CREDIT_MAX_QUANTA = 16,
  /* Weight of an observation in the moving averages is 1/32.  Load reports are
     up to 2 s old, and 32 first tokens take several report intervals at the
     fleet sizes in use.  */
  AVERAGE_WEIGHT_DIVISOR = 32,
  HALVINGS_MAX = 62 /* largest valid left shift of an int64_t 1 */
};

struct item
{
  struct admission_request request;
  struct flow *flow;
};

/* The queued requests of one customer in one class.  */
struct flow
{
  guint64 key;
  unsigned class;
  GQueue items;     /* struct item, oldest first */
  uint64_t cost;    /* of the items */
  uint64_t deficit; /* of deficit round robin: cost that may be taken */
};

struct class
{
  GQueue flows;   /* struct flow in round-robin order */
  uint64_t cost;  /* of the flows */
  int64_t credit; /* guaranteed cost not yet taken, times PERMIL */
};

struct admission_control
{
  struct admission_config config;
  int64_t error_us;     /* moving average of actual minus predicted time */
  int64_t observed_us;  /* time of the last observation */
  int64_t deviation_us; /* moving average of the error's deviation */
  struct class classes[ADMISSION_CLASSES];
  GHashTable *flows; /* key -> struct flow */
  GHashTable *items; /* id -> link in the items of a flow */
};

struct admission_control *
admission_new (const struct admission_config *config)
{
  struct admission_control *admission_control
      = g_new0 (struct admission_control, 1);

  admission_control->config = *config;
  admission_control->config.queue_max = MAX (config->queue_max, 1);
  admission_control->config.quantum = MAX (config->quantum, 1);
  admission_control->flows = g_hash_table_new (g_int64_hash, g_int64_equal);
  admission_control->items = g_hash_table_new (g_int64_hash, g_int64_equal);
  return admission_control;
}

static guint64
flow_key (const struct admission_request *request)
{
  /* The odd factor gives the classes of one customer different keys.  */
  return request->customer + request->priority * UINT64_C (0x9e3779b97f4a7c15);
}

static struct flow *
get_flow (struct admission_control *admission_control,
          const struct admission_request *request)
{
  guint64 key = flow_key (request);
  struct flow *flow = g_hash_table_lookup (admission_control->flows, &key);

  if (flow)
    return flow;
  flow = g_new0 (struct flow, 1);
  flow->key = key;
  flow->class = request->priority;
  g_queue_init (&flow->items);
  g_hash_table_insert (admission_control->flows, &flow->key, flow);
  g_queue_push_tail (&admission_control->classes[flow->class].flows, flow);
  return flow;
}

static void
add_item (struct admission_control *admission_control,
          const struct admission_request *request)
{
  struct flow *flow = get_flow (admission_control, request);
  struct item *item = g_new (struct item, 1);

  item->request = *request;
  item->flow = flow;
  g_queue_push_tail (&flow->items, item);
  g_hash_table_insert (admission_control->items, &item->request.id,
                       flow->items.tail);
  flow->cost += request->cost;
  admission_control->classes[flow->class].cost += request->cost;
}

/* Removes the item at LINK, and its flow when this was the last one.  */
static void
remove_item (struct admission_control *admission_control, GList *link)
{
  struct item *item = link->data;
  struct flow *flow = item->flow;

  g_hash_table_remove (admission_control->items, &item->request.id);
  flow->cost -= item->request.cost;
  admission_control->classes[flow->class].cost -= item->request.cost;
  g_queue_delete_link (&flow->items, link);
  g_free (item);
  if (!g_queue_is_empty (&flow->items))
    return;
  g_hash_table_remove (admission_control->flows, &flow->key);
  g_queue_remove (&admission_control->classes[flow->class].flows, flow);
  g_free (flow);
}

void
admission_free (struct admission_control *admission_control)
{
  int i;

  if (!admission_control)
    return;
  for (i = 0; i < ADMISSION_CLASSES; i++)
    while (!g_queue_is_empty (&admission_control->classes[i].flows))
      {
        struct flow *flow
            = g_queue_peek_head (&admission_control->classes[i].flows);

        remove_item (admission_control, flow->items.head);
      }
  g_hash_table_destroy (admission_control->flows);
  g_hash_table_destroy (admission_control->items);
  g_free (admission_control);
}

/* Returns the cost that is served before a new REQUEST: all queued cost of its
   class and of higher ones, or less of its class when its customer has little
   queued, since the customers of a class take turns.  */
static uint64_t
cost_ahead (const struct admission_control *admission_control,
            const struct admission_request *request)
{
  guint64 key = flow_key (request);
  const struct flow *own
      = g_hash_table_lookup (admission_control->flows, &key);
  const struct class *class = &admission_control->classes[request->priority];
  uint64_t turns = (own ? own->cost : 0) + request->cost;
  uint64_t ahead = 0;
  unsigned i;

  for (i = 0; i < request->priority; i++)
    ahead += admission_control->classes[i].cost;
  /* Another customer can be ahead by up to one quantum.  */
  turns = (turns + admission_control->config.quantum)
          * g_queue_get_length ((GQueue *)&class->flows);
  return ahead + MIN (class->cost, turns);
}

static unsigned
retry_after (int64_t us)
{
  return (unsigned)CLAMP ((us + SECOND_US - 1) / SECOND_US, 1,
                          ADMISSION_RETRY_AFTER_MAX_S);
}

static struct admission_decision
make_decision (enum admission_verdict verdict, int64_t first_us,
               int64_t retry_us)
{
  struct admission_decision decision = { verdict, 0, first_us, 0, 0 };

  if (verdict != ADMISSION_ADMIT && verdict != ADMISSION_QUEUE)
    decision.retry_after_s = retry_after (retry_us);
  return decision;
}

/* Returns the flow with the most queued cost.  The search visits at most
   queue_max flows and is needed only when the queue is full.  */
static struct flow *
largest_flow (struct admission_control *admission_control)
{
  struct flow *largest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, admission_control->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct flow *flow = value;

      /* Comparing keys makes the choice independent of the hash table's
         order.  */
      if (!largest || flow->cost > largest->cost
          || (flow->cost == largest->cost && flow->key < largest->key))
        largest = flow;
    }
  return largest;
}

/* Evicts a request to make room for REQUEST.  Returns 1, or 0 when the
   customer of REQUEST would have the most queued cost.  */
static int
evict_for_request (struct admission_control *admission_control,
                   const struct admission_request *request,
                   struct admission_decision *decision)
{
  guint64 key = flow_key (request);
  const struct flow *own
      = g_hash_table_lookup (admission_control->flows, &key);
  struct flow *largest = largest_flow (admission_control);
  GList *newest = largest->items.tail;

  if ((own ? own->cost : 0) + request->cost >= largest->cost)
    return 0;
  decision->has_evicted = 1;
  decision->evicted = ((struct item *)newest->data)->request.id;
  remove_item (admission_control, newest);
  return 1;
}

/* Returns VALUE decayed by the time since the last observation.  */
static int64_t
decayed (const struct admission_control *admission_control, int64_t value,
         int64_t now)
{
  int64_t halvings
      = (now - admission_control->observed_us) / ADMISSION_ERROR_HALF_LIFE_US;

  return value / (INT64_C (1) << CLAMP (halvings, 0, HALVINGS_MAX));
}

void
admission_observe (struct admission_control *admission_control,
                   int64_t predicted_us, int64_t actual_us, int64_t now)
{
  int64_t difference_us;

  admission_control->error_us
      = decayed (admission_control, admission_control->error_us, now);
  admission_control->deviation_us
      = decayed (admission_control, admission_control->deviation_us, now);
  admission_control->observed_us = now;
  difference_us = actual_us - predicted_us - admission_control->error_us;
  admission_control->error_us += difference_us / AVERAGE_WEIGHT_DIVISOR;
  admission_control->deviation_us
      += (llabs (difference_us) - admission_control->deviation_us)
         / AVERAGE_WEIGHT_DIVISOR;
}

/* Returns the predicted time to the first token of a request sent now, with
   the error of earlier predictions added.  */
static int64_t
corrected_first_us (const struct admission_control *admission_control,
                    const struct admission_supply *supply, int64_t now)
{
  int64_t error = decayed (
      admission_control,
      admission_control->error_us + admission_control->deviation_us, now);

  return supply->first_us + MAX (error, 0);
}

struct admission_decision
admission_offer (struct admission_control *admission_control,
                 const struct admission_request *request,
                 const struct admission_supply *supply, int64_t now)
{
  struct admission_request r = *request;
  struct admission_decision decision;
  int64_t first_us = corrected_first_us (admission_control, supply, now);
  int64_t late_us;
  guint64 key;

  r.priority = MIN (r.priority, ADMISSION_CLASSES - 1);
  r.cost = MAX (r.cost, 1);
  key = flow_key (&r);
  if (!supply->room || admission_queued (admission_control))
    first_us
        += (int64_t)cost_ahead (admission_control, &r) * supply->us_per_cost;
  late_us = r.due_us ? now + first_us - r.due_us : 0;
  if (late_us > 0)
    return make_decision (ADMISSION_REFUSE_LATE, first_us, late_us);
  if (supply->room && !admission_queued (admission_control))
    return make_decision (ADMISSION_ADMIT, first_us, 0);
  decision = make_decision (ADMISSION_QUEUE, first_us, 0);
  if (admission_queued (admission_control)
          >= admission_control->config.queue_max
      && !evict_for_request (admission_control, &r, &decision))
    return make_decision (
        g_hash_table_contains (admission_control->flows, &key)
            ? ADMISSION_REFUSE_SHARE
            : ADMISSION_REFUSE_FULL,
        first_us, first_us);
  add_item (admission_control, &r);
  return decision;
}

/* Returns the class to serve: the lowest one with credit left, else the
   highest one with queued requests, or null.  */
static struct class *
pick_class (struct admission_control *admission_control)
{
  struct class *highest = NULL;
  int i;

  for (i = ADMISSION_CLASSES - 1; i >= 0; i--)
    {
      struct class *class = &admission_control->classes[i];

      if (g_queue_is_empty (&class->flows))
        continue;
      if (i > 0 && class->credit > 0)
        return class;
      highest = class;
    }
  return highest;
}

/* Adds up in one step the rounds in which no flow of CLASS could afford its
   oldest request, so that the time taken does not depend on the costs.  */
static void
skip_rounds (const struct admission_control *admission_control,
             struct class *class)
{
  uint64_t quantum = admission_control->config.quantum;
  uint64_t least = UINT64_MAX;
  GList *link;

  for (link = class->flows.head; link; link = link->next)
    {
      struct flow *flow = link->data;
      const struct item *item = g_queue_peek_head (&flow->items);
      uint64_t missing = 0;

      if (item->request.cost > flow->deficit)
        missing = item->request.cost - flow->deficit;
      least = MIN (least, (missing + quantum - 1) / quantum);
    }
  if (least <= 1)
    return;
  for (link = class->flows.head; link; link = link->next)
    ((struct flow *)link->data)->deficit += (least - 1) * quantum;
}

/* Returns the next flow of CLASS whose deficit counter covers the cost of its
   oldest request.  */
static struct flow *
pick_flow (const struct admission_control *admission_control,
           struct class *class)
{
  skip_rounds (admission_control, class);
  for (;;)
    {
      struct flow *flow = g_queue_peek_head (&class->flows);
      const struct item *item = g_queue_peek_head (&flow->items);

      if (flow->deficit >= item->request.cost)
        return flow;
      flow->deficit += admission_control->config.quantum;
      g_queue_push_tail (&class->flows, g_queue_pop_head (&class->flows));
    }
}

/* Accounts for COST taken from CLASS: each class below the highest with queued
   requests is credited its share, and CLASS is charged COST.  A class without
   requests loses its credit.  */
static void
charge_class (struct admission_control *admission_control, struct class *class,
              uint32_t cost)
{
  int64_t bound = (int64_t)CREDIT_MAX_QUANTA
                  * admission_control->config.quantum * PERMIL;
  int i;

  for (i = 1; i < ADMISSION_CLASSES; i++)
    {
      struct class *each = &admission_control->classes[i];

      if (g_queue_is_empty (&each->flows))
        {
          each->credit = 0;
          continue;
        }
      each->credit += (int64_t)cost * admission_control->config.share_permil;
      if (each == class)
        each->credit -= (int64_t)cost * PERMIL;
      each->credit = CLAMP (each->credit, -bound, bound);
    }
}

int
admission_next (struct admission_control *admission_control,
                const struct admission_supply *supply, int64_t now,
                struct admission_request *request,
                struct admission_decision *decision)
{
  struct class *class = pick_class (admission_control);
  struct flow *flow;
  struct item *item;
  int64_t first_us = corrected_first_us (admission_control, supply, now);
  int64_t late_us;

  if (!class)
    return 0;
  flow = pick_flow (admission_control, class);
  item = g_queue_peek_head (&flow->items);
  *request = item->request;
  late_us = request->due_us ? now + first_us - request->due_us : 0;
  if (late_us > 0)
    *decision = make_decision (ADMISSION_REFUSE_LATE, first_us, late_us);
  else
    {
      *decision = make_decision (ADMISSION_ADMIT, first_us, 0);
      flow->deficit -= request->cost;
      charge_class (admission_control, class, request->cost);
    }
  remove_item (admission_control, flow->items.head);
  return 1;
}

int
admission_cancel (struct admission_control *admission_control, uint64_t id)
{
  guint64 key = id;
  GList *link = g_hash_table_lookup (admission_control->items, &key);

  if (!link)
    return -1;
  remove_item (admission_control, link);
  return 0;
}

size_t
admission_queued (const struct admission_control *admission_control)
{
  return g_hash_table_size (admission_control->items);
}
