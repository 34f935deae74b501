#ifndef AGENT_ORDER_H
#define AGENT_ORDER_H

/*
 * Private to agent_order*.c: the thread that drives struct engine_fsm and its
 * worker.
 */

#include "agent.h"
#include "goldcresthatch/engine.h"

/* An event queued for the driver thread.  */
struct agent_order_event
{
  struct engine_event event;
  struct engine_order order;
  uint64_t peer; /* of an order */
};

/* An operation queued for the worker thread.  */
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
  GHashTable *senders; /* peer by order id; used by the driver only */
  uint64_t drain_op;   /* operation that waits for the running jobs to end, or
                          0; used by the driver only */

  pthread_mutex_t lock; /* a leaf; guards what follows */
  struct engine_fsm engine_fsm;
  int stopped; /* struct engine_fsm asked to admit no new work */
  int known;   /* the engine's state has been read */
};

/* Runs one operation and queues its result for the driver.  */
void agent_order_run (gpointer data, gpointer ctx);

/* Queues EVENT for the driver, which frees it.  */
void agent_order_post (struct agent_orders *orders,
                       struct agent_order_event *event);

/* Returns nonzero when the runner is an engine.  */
int agent_order_is_engine (const struct agent_orders *orders);

#endif
