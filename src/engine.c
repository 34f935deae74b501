#include "goldcresthatch/engine.h"

#include <stdio.h>
#include <string.h>

static const char *const role_names[ENGINE_ROLE_MAX] = {
  [ENGINE_ROLE_BOTH] = "both",
  [ENGINE_ROLE_PREFILL] = "prefill",
  [ENGINE_ROLE_DECODE] = "decode",
};

const char *
engine_role_name (enum engine_role role)
{
  return role < ENGINE_ROLE_MAX ? role_names[role] : "unknown";
}

void
engine_init (struct engine_fsm *engine_fsm, const char *shard)
{
  memset (engine_fsm, 0, sizeof *engine_fsm);
  snprintf (engine_fsm->shard, sizeof engine_fsm->shard, "%s", shard);
}

int
engine_may_send (const struct engine_fsm *engine_fsm, int64_t now_us)
{
  return engine_fsm->state == ENGINE_APPLYING && now_us >= engine_fsm->read_us
         && now_us - engine_fsm->read_us <= ENGINE_READ_MAX_AGE_US;
}

/* Compares the part of the target that the engine itself applies.  */
static int
same_engine_target (const struct engine_target *a,
                    const struct engine_target *b)
{
  return a->role == b->role && strcmp (a->model, b->model) == 0
         && strcmp (a->version, b->version) == 0;
}

static int
is_out_of_service (const struct engine_target *target)
{
  return target->drain || target->withdraw;
}

int
engine_target_equal (const struct engine_target *a,
                     const struct engine_target *b)
{
  return same_engine_target (a, b) && !a->drain == !b->drain
         && !a->withdraw == !b->withdraw;
}

static struct engine_action *
add (struct engine_actions *acts, enum engine_action_kind kind)
{
  struct engine_action *act = &acts->item[acts->count++];

  act->kind = kind;
  return act;
}

static void
answer (struct engine_actions *acts, const struct engine_order *order,
        enum msg_order_state state)
{
  struct engine_action *act = add (acts, ENGINE_DO_ANSWER);

  act->order = *order;
  act->state = state;
}

/* Answers ORDER with STATE and the error CODE with TEXT.  */
static void
reject (struct engine_actions *acts, const struct engine_order *order,
        enum msg_order_state state, enum err_code code, const char *text)
{
  answer (acts, order, state);
  err_set (&acts->item[acts->count - 1].err, code, "engine-order",
           order->shard, "%s", text);
}

/* Enters STATE and starts an operation whose result leaves it.  */
static void
begin (struct engine_fsm *engine_fsm, enum engine_state state,
       enum engine_action_kind kind, struct engine_actions *acts)
{
  struct engine_action *act = add (acts, kind);

  engine_fsm->state = state;
  engine_fsm->op = ++engine_fsm->ops;
  act->op = engine_fsm->op;
  if (kind == ENGINE_DO_SEND)
    act->order = engine_fsm->order;
}

/* Drops the accepted order and takes new work again unless the target in force
   is drained or withdrawn.  */
static void
drop_order (struct engine_fsm *engine_fsm, struct engine_actions *acts)
{
  engine_fsm->has_order = 0;
  engine_fsm->drain_op = 0;
  if (!is_out_of_service (&engine_fsm->actual))
    add (acts, ENGINE_DO_RESUME_WORK);
}

static void
finish (struct engine_fsm *engine_fsm, struct engine_actions *acts)
{
  engine_fsm->actual = engine_fsm->order.target;
  answer (acts, &engine_fsm->order, MSG_ORDER_REACHED);
  drop_order (engine_fsm, acts);
  engine_fsm->state = ENGINE_IDLE;
}

static void
read_again (struct engine_fsm *engine_fsm, struct engine_actions *acts)
{
  engine_fsm->tries = 0;
  begin (engine_fsm, ENGINE_RECHECKING, ENGINE_DO_READ, acts);
}

/* Continues with the order once all work of the engine has ended.  */
static void
continue_drained (struct engine_fsm *engine_fsm, struct engine_actions *acts)
{
  if (same_engine_target (&engine_fsm->order.target, &engine_fsm->actual))
    finish (engine_fsm, acts);
  else
    read_again (engine_fsm, acts);
}

/* Continues the drain for the accepted order.  */
static void
return_to_drain (struct engine_fsm *engine_fsm, struct engine_actions *acts)
{
  engine_fsm->state = ENGINE_DRAINING;
  if (engine_fsm->drain_op == 0)
    continue_drained (engine_fsm, acts);
}

/* Accepts the order in ARRIVED in place of one that is still draining.  */
static void
accept_arrived (struct engine_fsm *engine_fsm, struct engine_actions *acts)
{
  int replaces = engine_fsm->has_order;

  if (replaces)
    reject (acts, &engine_fsm->order, MSG_ORDER_FAILED, ERR_CONFLICT,
            "replaced by a later order");
  engine_fsm->order = engine_fsm->arrived;
  engine_fsm->has_order = 1;
  if (engine_target_equal (&engine_fsm->order.target, &engine_fsm->actual))
    {
      answer (acts, &engine_fsm->order, MSG_ORDER_REACHED);
      engine_fsm->has_order = 0;
      engine_fsm->state = ENGINE_IDLE;
      if (replaces)
        drop_order (engine_fsm, acts);
      return;
    }
  if (same_engine_target (&engine_fsm->order.target, &engine_fsm->actual)
      && !is_out_of_service (&engine_fsm->order.target))
    {
      finish (engine_fsm, acts);
      return;
    }
  answer (acts, &engine_fsm->order, MSG_ORDER_ACCEPTED);
  if (replaces)
    {
      return_to_drain (engine_fsm, acts);
      return;
    }
  engine_fsm->state = ENGINE_DRAINING;
  engine_fsm->drain_op = ++engine_fsm->ops;
  add (acts, ENGINE_DO_STOP_WORK)->op = engine_fsm->drain_op;
}

/* Returns the reason for which the read EV does not confirm TOKEN, or null
   when it does.  */
static const char *
read_fault (struct engine_fsm *engine_fsm, const struct engine_event *ev,
            uint64_t token)
{
  if (ev->result != ENGINE_RESULT_OK)
    return "the authority cannot be read";
  if (ev->now_us < ev->start_us
      || ev->now_us - ev->start_us > ENGINE_READ_MAX_AGE_US)
    return "the authority cannot be read in time";
  if (ev->revision > engine_fsm->highest)
    engine_fsm->highest = ev->revision;
  if (ev->revision != token || token < engine_fsm->highest)
    return "the fencing token is not current";
  return NULL;
}

static void
query (struct engine_fsm *engine_fsm, struct engine_actions *acts)
{
  begin (engine_fsm, ENGINE_QUERYING, ENGINE_DO_QUERY, acts);
}

static void
on_start (struct engine_fsm *engine_fsm, const struct engine_event *ev,
          struct engine_actions *acts)
{
  (void)ev;
  query (engine_fsm, acts);
}

static void
on_order_not_ready (struct engine_fsm *engine_fsm,
                    const struct engine_event *ev, struct engine_actions *acts)
{
  (void)engine_fsm;
  reject (acts, ev->order, MSG_ORDER_REFUSED, ERR_REFUSED,
          "the state of the engine is not known yet");
}

static void
on_order_busy (struct engine_fsm *engine_fsm, const struct engine_event *ev,
               struct engine_actions *acts)
{
  (void)engine_fsm;
  reject (acts, ev->order, MSG_ORDER_REFUSED, ERR_REFUSED,
          "another order is in progress");
}

/* Handles ENGINE_EV_ORDER in ENGINE_IDLE and ENGINE_DRAINING.  */
static void
on_order (struct engine_fsm *engine_fsm, const struct engine_event *ev,
          struct engine_actions *acts)
{
  const struct engine_order *order = ev->order;

  /* Tokens are revisions of one key and comparable only within its shard.  */
  if (strcmp (order->shard, engine_fsm->shard) != 0
      || order->target.role >= ENGINE_ROLE_MAX)
    reject (acts, order, MSG_ORDER_REFUSED, ERR_INVALID,
            "unknown role or another shard");
  else if (order->token == 0 || order->token < engine_fsm->highest)
    reject (acts, order, MSG_ORDER_REFUSED, ERR_REFUSED,
            "the fencing token is below the highest seen");
  else
    {
      engine_fsm->arrived = *order;
      begin (engine_fsm,
             engine_fsm->has_order ? ENGINE_REPLACING : ENGINE_CHECKING,
             ENGINE_DO_READ, acts);
    }
}

/* Handles ENGINE_EV_READ in ENGINE_CHECKING and ENGINE_REPLACING.  */
static void
on_read_arrived (struct engine_fsm *engine_fsm, const struct engine_event *ev,
                 struct engine_actions *acts)
{
  const char *fault = read_fault (engine_fsm, ev, engine_fsm->arrived.token);

  if (fault == NULL)
    {
      accept_arrived (engine_fsm, acts);
      return;
    }
  reject (acts, &engine_fsm->arrived, MSG_ORDER_REFUSED, ERR_REFUSED, fault);
  if (engine_fsm->has_order)
    return_to_drain (engine_fsm, acts);
  else
    engine_fsm->state = ENGINE_IDLE;
}

static void
on_read_loading (struct engine_fsm *engine_fsm, const struct engine_event *ev,
                 struct engine_actions *acts)
{
  (void)acts;
  if (ev->result != ENGINE_RESULT_OK || ev->now_us < ev->start_us
      || ev->now_us - ev->start_us > ENGINE_READ_MAX_AGE_US)
    {
      engine_fsm->next_us = ev->now_us + ENGINE_RETRY_INTERVAL_US;
      return;
    }
  if (ev->revision > engine_fsm->highest)
    engine_fsm->highest = ev->revision;
  engine_fsm->state = ENGINE_IDLE;
}

static void
on_read_drained (struct engine_fsm *engine_fsm, const struct engine_event *ev,
                 struct engine_actions *acts)
{
  const char *fault = read_fault (engine_fsm, ev, engine_fsm->order.token);
  int readable = ev->result == ENGINE_RESULT_OK
                 && ev->now_us - ev->start_us <= ENGINE_READ_MAX_AGE_US;

  engine_fsm->tries++;
  if (fault == NULL)
    {
      engine_fsm->read_us = ev->start_us;
      begin (engine_fsm, ENGINE_APPLYING, ENGINE_DO_SEND, acts);
    }
  else if (!readable && engine_fsm->tries < ENGINE_READ_TRIES_MAX)
    engine_fsm->next_us = ev->now_us + ENGINE_RETRY_INTERVAL_US;
  else
    {
      reject (acts, &engine_fsm->order, MSG_ORDER_FAILED, ERR_REFUSED, fault);
      drop_order (engine_fsm, acts);
      engine_fsm->state = ENGINE_IDLE;
    }
}

static void
on_drained (struct engine_fsm *engine_fsm, const struct engine_event *ev,
            struct engine_actions *acts)
{
  (void)ev;
  engine_fsm->drain_op = 0;
  if (engine_fsm->state == ENGINE_DRAINING)
    continue_drained (engine_fsm, acts);
}

static void
on_applied (struct engine_fsm *engine_fsm, const struct engine_event *ev,
            struct engine_actions *acts)
{
  switch (ev->result)
    {
    case ENGINE_RESULT_OK:
      finish (engine_fsm, acts);
      return;
    case ENGINE_RESULT_NOT_SENT:
      begin (engine_fsm, ENGINE_RECHECKING, ENGINE_DO_READ, acts);
      return;
    case ENGINE_RESULT_FAILED:
      reject (acts, &engine_fsm->order, MSG_ORDER_FAILED, ERR_IO,
              "the engine did not carry out the order");
      drop_order (engine_fsm, acts);
      query (engine_fsm, acts);
      return;
    default:
      query (engine_fsm, acts);
      return;
    }
}

static void
on_queried (struct engine_fsm *engine_fsm, const struct engine_event *ev,
            struct engine_actions *acts)
{
  if (ev->result != ENGINE_RESULT_OK || ev->in_progress)
    {
      engine_fsm->next_us = ev->now_us + ENGINE_RETRY_INTERVAL_US;
      return;
    }
  engine_fsm->actual.role = ev->actual.role;
  memcpy (engine_fsm->actual.model, ev->actual.model,
          sizeof engine_fsm->actual.model);
  memcpy (engine_fsm->actual.version, ev->actual.version,
          sizeof engine_fsm->actual.version);
  if (!engine_fsm->has_order)
    begin (engine_fsm, ENGINE_READING, ENGINE_DO_READ, acts);
  else
    continue_drained (engine_fsm, acts);
}

/* A crash ends all work of the engine, so an accepted order needs no further
   drain.  */
static void
on_crashed (struct engine_fsm *engine_fsm, const struct engine_event *ev,
            struct engine_actions *acts)
{
  (void)ev;
  if (engine_fsm->state == ENGINE_CHECKING
      || engine_fsm->state == ENGINE_REPLACING)
    reject (acts, &engine_fsm->arrived, MSG_ORDER_REFUSED, ERR_REFUSED,
            "the engine crashed");
  engine_fsm->drain_op = 0;
  query (engine_fsm, acts);
}

static void
on_time (struct engine_fsm *engine_fsm, const struct engine_event *ev,
         struct engine_actions *acts)
{
  if (engine_fsm->op != 0 || ev->now_us < engine_fsm->next_us)
    return;
  begin (engine_fsm, engine_fsm->state,
         engine_fsm->state == ENGINE_QUERYING ? ENGINE_DO_QUERY
                                              : ENGINE_DO_READ,
         acts);
}

static void (*const handlers[ENGINE_STATE_MAX][ENGINE_EV_MAX]) (
    struct engine_fsm *, const struct engine_event *, struct engine_actions *)
    = {
        [ENGINE_QUERYING] = { [ENGINE_EV_START] = on_start,
                              [ENGINE_EV_ORDER] = on_order_not_ready,
                              [ENGINE_EV_QUERIED] = on_queried,
                              [ENGINE_EV_CRASHED] = on_crashed,
                              [ENGINE_EV_TIME] = on_time },
        [ENGINE_READING] = { [ENGINE_EV_ORDER] = on_order_not_ready,
                             [ENGINE_EV_READ] = on_read_loading,
                             [ENGINE_EV_CRASHED] = on_crashed,
                             [ENGINE_EV_TIME] = on_time },
        [ENGINE_IDLE]
        = { [ENGINE_EV_ORDER] = on_order, [ENGINE_EV_CRASHED] = on_crashed },
        [ENGINE_CHECKING] = { [ENGINE_EV_ORDER] = on_order_busy,
                              [ENGINE_EV_READ] = on_read_arrived,
                              [ENGINE_EV_CRASHED] = on_crashed },
        [ENGINE_DRAINING] = { [ENGINE_EV_ORDER] = on_order,
                              [ENGINE_EV_DRAINED] = on_drained,
                              [ENGINE_EV_CRASHED] = on_crashed },
        [ENGINE_REPLACING] = { [ENGINE_EV_ORDER] = on_order_busy,
                               [ENGINE_EV_READ] = on_read_arrived,
                               [ENGINE_EV_DRAINED] = on_drained,
                               [ENGINE_EV_CRASHED] = on_crashed },
        [ENGINE_RECHECKING] = { [ENGINE_EV_ORDER] = on_order_busy,
                                [ENGINE_EV_READ] = on_read_drained,
                                [ENGINE_EV_CRASHED] = on_crashed,
                                [ENGINE_EV_TIME] = on_time },
        [ENGINE_APPLYING] = { [ENGINE_EV_ORDER] = on_order_busy,
                              [ENGINE_EV_APPLIED] = on_applied,
                              [ENGINE_EV_CRASHED] = on_crashed },
      };

/* Ends the wait for the operation whose result EV is.  Returns 0 when EV is a
   result that is not awaited.  */
static int
is_awaited_result (struct engine_fsm *engine_fsm,
                   const struct engine_event *ev)
{
  switch (ev->kind)
    {
    case ENGINE_EV_DRAINED:
      return ev->op != 0 && ev->op == engine_fsm->drain_op;
    case ENGINE_EV_READ:
    case ENGINE_EV_APPLIED:
    case ENGINE_EV_QUERIED:
      if (ev->op == 0 || ev->op != engine_fsm->op)
        return 0;
      engine_fsm->op = 0;
      return 1;
    default:
      return 1;
    }
}

void
engine_handle (struct engine_fsm *engine_fsm, const struct engine_event *event,
               struct engine_actions *actions)
{
  memset (actions, 0, sizeof *actions);
  if (!is_awaited_result (engine_fsm, event))
    return;
  /* A repetition of the accepted order gets the same answer again.  */
  if (event->kind == ENGINE_EV_ORDER && engine_fsm->has_order
      && msg_id_equal (event->order->id, engine_fsm->order.id))
    {
      answer (actions, &engine_fsm->order, MSG_ORDER_ACCEPTED);
      return;
    }
  if (handlers[engine_fsm->state][event->kind] != NULL)
    handlers[engine_fsm->state][event->kind](engine_fsm, event, actions);
}
