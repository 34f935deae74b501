#include "agent_order.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "goldcresthatch/metric.h"
#include "goldcresthatch/log.h"

enum
{
  ORDER_POLL_US = 20 * 1000 /* between two time events to struct engine_fsm */
};

int
agent_order_is_engine (const struct agent_orders *orders)
{
  return strcmp (orders->agent->settings.kind, "engine") == 0;
}

void
agent_order_post (struct agent_orders *orders, struct agent_order_event *event)
{
  g_async_queue_push (orders->events, event);
}

/* Updates the agent's admission state from the state of the orders, and sends
   a REPORT when it changed.  */
static void
apply_admission (struct agent_orders *orders)
{
  struct agent *agent = orders->agent;
  enum msg_agent_state state;
  int changed;

  pthread_mutex_lock (&orders->lock);
  state = orders->stopped || !orders->known ? MSG_AGENT_DRAINING
                                            : MSG_AGENT_SERVING;
  pthread_mutex_unlock (&orders->lock);
  pthread_mutex_lock (&agent->lock);
  changed = agent->state != MSG_AGENT_LEAVING && agent->state != state;
  if (changed)
    agent->state = state;
  pthread_mutex_unlock (&agent->lock);
  if (changed)
    agent_report (agent, 0);
}

static void
set_stopped (struct agent_orders *orders, int stopped)
{
  pthread_mutex_lock (&orders->lock);
  orders->stopped = stopped;
  pthread_mutex_unlock (&orders->lock);
  apply_admission (orders);
}

static void
start_op (struct agent_orders *orders, const struct engine_action *action)
{
  struct agent_order_op *op = g_new0 (struct agent_order_op, 1);

  op->kind = action->kind;
  op->op = action->op;
  op->order = action->order;
  g_thread_pool_push (orders->worker, op, NULL);
}

static void
send_ordered (struct agent_orders *orders, uint64_t peer, struct msg_id id,
              enum msg_order_state state, const struct err *err)
{
  struct msg msg = { .type = MSG_ORDERED };

  msg.u.ordered.order = id;
  msg.u.ordered.state = state;
  msg.u.ordered.step = msg_str_from (err->step);
  msg.u.ordered.text = msg_str_from (err->text);
  net_send (orders->agent->net, peer, &msg, NULL);
}

static void
record_answer (struct agent_orders *orders, enum msg_order_state state,
               const struct engine_order *order, const struct err *err)
{
  static const char *const names[MSG_ORDER_STATE_MAX]
      = { "accepted", "refused", "reached", "failed" };

  if (state == MSG_ORDER_ACCEPTED)
    metric_add (METRIC_ORDERS_ACCEPTED, 1);
  else if (state == MSG_ORDER_REFUSED)
    metric_add (METRIC_ORDERS_REFUSED, 1);
  log_write (LOG_LEVEL_INFO, NULL, "order", orders->agent->settings.endpoint,
             "order with token %llu %s%s%s", (unsigned long long)order->token,
             names[state], err->text[0] != '\0' ? ": " : "", err->text);
}

static void
send_answer (struct agent_orders *orders, const struct engine_action *action)
{
  uint64_t *peer = g_hash_table_lookup (orders->senders, &action->order.id);

  record_answer (orders, action->state, &action->order, &action->err);
  if (peer == NULL)
    return;
  send_ordered (orders, *peer, action->order.id, action->state, &action->err);
  if (action->state == MSG_ORDER_REACHED)
    agent_report (orders->agent, 0);
  if (action->state != MSG_ORDER_ACCEPTED)
    g_hash_table_remove (orders->senders, &action->order.id);
}

static void
execute_action (struct agent_orders *orders,
                const struct engine_action *action)
{
  switch (action->kind)
    {
    case ENGINE_DO_STOP_WORK:
      orders->drain_op = action->op;
      set_stopped (orders, 1);
      return;
    case ENGINE_DO_RESUME_WORK:
      orders->drain_op = 0;
      set_stopped (orders, 0);
      return;
    case ENGINE_DO_ANSWER:
      send_answer (orders, action);
      return;
    case ENGINE_DO_READ:
    case ENGINE_DO_SEND:
    case ENGINE_DO_QUERY:
      start_op (orders, action);
      return;
    }
}

static void
handle_event (struct agent_orders *orders, const struct engine_event *event)
{
  struct engine_actions actions;
  unsigned i;

  pthread_mutex_lock (&orders->lock);
  engine_handle (&orders->engine_fsm, event, &actions);
  if (orders->engine_fsm.state != ENGINE_QUERYING)
    orders->known = 1;
  pthread_mutex_unlock (&orders->lock);
  for (i = 0; i < actions.count; i++)
    execute_action (orders, &actions.item[i]);
  apply_admission (orders);
}

/* Returns nonzero for an order that a plain service can't carry out.  */
static int
needs_engine (const struct engine_target *target)
{
  return target->role != ENGINE_ROLE_BOTH || target->model[0] != '\0'
         || target->version[0] != '\0';
}

/* Returns nonzero when ORDER is a resend of the order for which the authority
   key is being read.  struct engine_fsm would refuse the resend as a different
   order.  */
static int
is_repeated (struct agent_orders *orders, const struct engine_order *order)
{
  int repeated;

  pthread_mutex_lock (&orders->lock);
  repeated = (orders->engine_fsm.state == ENGINE_CHECKING
              || orders->engine_fsm.state == ENGINE_REPLACING)
             && msg_id_equal (orders->engine_fsm.arrived.id, order->id);
  pthread_mutex_unlock (&orders->lock);
  return repeated;
}

/* Returns the reason why ORDER is refused before it reaches struct engine_fsm,
   or null.  */
static const char *
refuse_order (struct agent_orders *orders, const struct engine_order *order)
{
  struct agent *agent = orders->agent;
  enum msg_agent_state state;

  pthread_mutex_lock (&agent->lock);
  state = agent->state;
  pthread_mutex_unlock (&agent->lock);
  if (state == MSG_AGENT_LEAVING)
    return "the agent is leaving";
  if (!agent_order_is_engine (orders) && needs_engine (&order->target))
    return "a plain service takes drain and withdraw only";
  return NULL;
}

static void
dispatch_event (struct agent_orders *orders, struct agent_order_event *event)
{
  const char *refusal;
  struct err err = { 0 };

  if (event->event.kind != ENGINE_EV_ORDER)
    {
      handle_event (orders, &event->event);
      return;
    }
  refusal = refuse_order (orders, &event->order);
  if (refusal != NULL)
    {
      err_set (&err, ERR_REFUSED, "engine-order", event->order.shard, "%s",
               refusal);
      record_answer (orders, MSG_ORDER_REFUSED, &event->order, &err);
      send_ordered (orders, event->peer, event->order.id, MSG_ORDER_REFUSED,
                    &err);
      return;
    }
  if (is_repeated (orders, &event->order))
    return;
  event->event.order = &event->order;
  g_hash_table_insert (orders->senders,
                       g_memdup2 (&event->order.id, sizeof event->order.id),
                       g_memdup2 (&event->peer, sizeof event->peer));
  handle_event (orders, &event->event);
}

/* Sends ENGINE_EV_DRAINED when new work is stopped and the last job has ended.
 */
static void
check_drained (struct agent_orders *orders)
{
  struct agent *agent = orders->agent;
  struct engine_event event
      = { .kind = ENGINE_EV_DRAINED, .op = orders->drain_op };
  unsigned left;

  if (orders->drain_op == 0)
    return;
  pthread_mutex_lock (&agent->lock);
  left = g_hash_table_size (agent->jobs);
  pthread_mutex_unlock (&agent->lock);
  if (left > 0)
    return;
  orders->drain_op = 0;
  event.now_us = g_get_monotonic_time ();
  handle_event (orders, &event);
}

static void *
order_main (void *arg)
{
  struct agent_orders *orders = arg;
  struct engine_event event = { .kind = ENGINE_EV_START };
  struct agent_order_event *next;

  event.now_us = g_get_monotonic_time ();
  handle_event (orders, &event);
  while (!g_atomic_int_get (&orders->agent->stopping))
    {
      next = g_async_queue_timeout_pop (orders->events, ORDER_POLL_US);
      if (next != NULL)
        dispatch_event (orders, next);
      g_free (next);
      check_drained (orders);
      event.kind = ENGINE_EV_TIME;
      event.now_us = g_get_monotonic_time ();
      handle_event (orders, &event);
    }
  return NULL;
}

void
agent_order_open (struct agent *agent)
{
  struct agent_orders *orders = g_new0 (struct agent_orders, 1);

  orders->agent = agent;
  orders->events = g_async_queue_new_full (g_free);
  orders->worker = g_thread_pool_new (agent_order_run, orders, 1, FALSE, NULL);
  orders->senders
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  pthread_mutex_init (&orders->lock, NULL);
  engine_init (&orders->engine_fsm, agent->settings.zone);
  /* Calls are refused until a query has shown that the engine is not still
     carrying out an order from an earlier agent process.  */
  agent->state = MSG_AGENT_DRAINING;
  agent->orders = orders;
}

int
agent_order_start (struct agent *agent, struct err *err)
{
  if (pthread_create (&agent->orders->thread, NULL, order_main, agent->orders)
      != 0)
    return err_set (err, ERR_LIMIT, "thread", NULL,
                    "cannot start the order thread");
  return 0;
}

void
agent_order_stop (struct agent *agent)
{
  struct agent_orders *orders = agent->orders;

  pthread_join (orders->thread, NULL);
  g_thread_pool_free (orders->worker, FALSE, TRUE);
}

void
agent_order_close (struct agent *agent)
{
  struct agent_orders *orders = agent->orders;

  g_async_queue_unref (orders->events);
  g_hash_table_destroy (orders->senders);
  pthread_mutex_destroy (&orders->lock);
  g_free (orders);
}

void
agent_order_received (struct agent *agent, uint64_t peer,
                      const struct msg_order *order)
{
  struct agent_order_event *event = g_new0 (struct agent_order_event, 1);

  event->peer = peer;
  event->event.kind = ENGINE_EV_ORDER;
  event->event.now_us = g_get_monotonic_time ();
  event->order.token = order->fence;
  event->order.id = order->order;
  msg_str_copy (event->order.shard, sizeof event->order.shard, order->shard);
  event->order.target.role = order->role < ENGINE_ROLE_MAX
                                 ? (enum engine_role)order->role
                                 : ENGINE_ROLE_MAX;
  event->order.target.drain = order->drain != 0;
  event->order.target.withdraw = order->withdraw != 0;
  msg_str_copy (event->order.target.model, sizeof event->order.target.model,
                order->model);
  msg_str_copy (event->order.target.version,
                sizeof event->order.target.version, order->version);
  agent_order_post (agent->orders, event);
}

void
agent_order_endpoint_down (struct agent *agent)
{
  struct agent_order_event *event = g_new0 (struct agent_order_event, 1);

  event->event.kind = ENGINE_EV_CRASHED;
  event->event.now_us = g_get_monotonic_time ();
  agent_order_post (agent->orders, event);
}

/* Returns the number after the member NAME in DATA, or 0.  */
static uint64_t
find_number (const char *data, size_t size, const char *name)
{
  const char *at = memmem (data, size, name, strlen (name));
  const char *end = data + size;
  uint64_t n = 0;

  if (at == NULL)
    return 0;
  for (at += strlen (name); at < end && *at == ' '; at++)
    ;
  for (; at < end && g_ascii_isdigit (*at) && n < UINT32_MAX; at++)
    n = n * 10 + (uint64_t)(*at - '0');
  return n;
}

/* A usage record that is split over two pieces is not counted, which lowers
   the measured demand by one request.  */
void
agent_order_count_usage (struct agent *agent, const char *data, size_t size)
{
  uint64_t prompt;
  uint64_t output;

  if (!agent_order_is_engine (agent->orders))
    return;
  prompt = find_number (data, size, "\"prompt_tokens\":");
  output = find_number (data, size, "\"completion_tokens\":");
  if (prompt == 0 && output == 0)
    return;
  pthread_mutex_lock (&agent->lock);
  agent->prompt_done += prompt;
  agent->output_done += output;
  pthread_mutex_unlock (&agent->lock);
}

unsigned
agent_order_in_progress (struct agent *agent)
{
  struct agent_orders *orders = agent->orders;
  unsigned busy;

  pthread_mutex_lock (&orders->lock);
  busy = orders->engine_fsm.has_order
         && orders->engine_fsm.state != ENGINE_QUERYING;
  pthread_mutex_unlock (&orders->lock);
  return busy;
}

void
agent_order_status (struct agent *agent, struct agent_order_status *out)
{
  struct agent_orders *orders = agent->orders;

  pthread_mutex_lock (&orders->lock);
  out->actual = orders->engine_fsm.actual;
  out->fence = orders->engine_fsm.highest;
  out->known = orders->known;
  pthread_mutex_unlock (&orders->lock);
}
