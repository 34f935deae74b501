#ifndef AGENT_ORDER_H
#define AGENT_ORDER_H

/*
 * Private to agent_order*.c: the thread that drives struct engine_fsm and its
 * worker.
 */

#include "agent.h"
#include "goldcresthatch/engine.h"

/* An event on its way to the driver.  */
struct agent_order_event
{
  struct engine_event event;
  struct engine_order order;
  uint64_t peer; /* of an order */
};

/* An operation on its way to the worker.  */
struct agent_order_op
{
  enum engine_action_kind kind;
  uint64_t op;
  struct engine_order order;
};

struct agent_orders
{
  struct agent *agent;
  pthread_t thread;
  GAsyncQueue *events; /* struct agent_order_event */
  GThreadPool *worker; /* one thread, so a query follows every request */
  GHashTable *senders; /* peer by order id; of the driver only */
  uint64_t drain_op;   /* awaited end of work, or 0; of the driver only */

  pthread_mutex_t lock; /* a leaf; guards what follows */
  struct engine_fsm engine_fsm;
  int stopped; /* the aggregate asked for no new work */
  int known;   /* the engine's state has been read */
};

/* Carries out one operation and hands its result to the driver.  */
void agent_order_run (gpointer data, gpointer ctx);

/* Hands EVENT to the driver and takes it over.  */
void agent_order_post (struct agent_orders *orders,
                       struct agent_order_event *event);

/* Returns nonzero when the runner is an engine.  */
int agent_order_is_engine (const struct agent_orders *orders);

#endif
