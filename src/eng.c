#include "goldcresthatch/eng.h"

#include <stdio.h>
#include <string.h>

static const char *const role_names[ENG_ROLE_MAX] = {
  [ENG_ROLE_BOTH] = "both",
  [ENG_ROLE_PREFILL] = "prefill",
  [ENG_ROLE_DECODE] = "decode",
};

const char *
eng_role_name (enum eng_role role)
{
  return role < ENG_ROLE_MAX ? role_names[role] : "unknown";
}

void
eng_init (struct eng *eng, const char *shard)
{
  memset (eng, 0, sizeof *eng);
  snprintf (eng->shard, sizeof eng->shard, "%s", shard);
}

int
eng_may_send (const struct eng *eng, int64_t now_us)
{
  return eng->state == ENG_APPLYING && now_us >= eng->read_us
         && now_us - eng->read_us <= ENG_READ_MAX_US;
}

/* Compares what the engine itself carries out.  */
static int
same_engine (const struct eng_target *a, const struct eng_target *b)
{
  return a->role == b->role && strcmp (a->model, b->model) == 0
         && strcmp (a->version, b->version) == 0;
}

static int
is_held (const struct eng_target *target)
{
  return target->drain || target->withdraw;
}

int
eng_target_equal (const struct eng_target *a, const struct eng_target *b)
{
  return same_engine (a, b) && !a->drain == !b->drain
         && !a->withdraw == !b->withdraw;
}

static struct eng_action *
add (struct eng_actions *acts, enum eng_action_kind kind)
{
  struct eng_action *act = &acts->item[acts->count++];

  act->kind = kind;
  return act;
}

static void
answer (struct eng_actions *acts, const struct eng_order *order,
        enum msg_order_state state)
{
  struct eng_action *act = add (acts, ENG_DO_ANSWER);

  act->order = *order;
  act->state = state;
}

/* Answers ORDER with STATE and the cause TEXT.  */
static void
reject (struct eng_actions *acts, const struct eng_order *order,
        enum msg_order_state state, enum err_code code, const char *text)
{
  answer (acts, order, state);
  err_set (&acts->item[acts->count - 1].err, code, "engine-order",
           order->shard, "%s", text);
}

/* Begins an operation whose result moves the state on.  */
static void
begin (struct eng *eng, enum eng_state state, enum eng_action_kind kind,
       struct eng_actions *acts)
{
  struct eng_action *act = add (acts, kind);

  eng->state = state;
  eng->op = ++eng->ops;
  act->op = eng->op;
  if (kind == ENG_DO_SEND)
    act->order = eng->order;
}

/* Drops the accepted order and takes work again unless the target in force
   says otherwise.  */
static void
drop_order (struct eng *eng, struct eng_actions *acts)
{
  eng->has_order = 0;
  eng->drain_op = 0;
  if (!is_held (&eng->actual))
    add (acts, ENG_DO_RESUME_WORK);
}

static void
finish (struct eng *eng, struct eng_actions *acts)
{
  eng->actual = eng->order.target;
  answer (acts, &eng->order, MSG_ORDER_REACHED);
  drop_order (eng, acts);
  eng->state = ENG_IDLE;
}

static void
recheck (struct eng *eng, struct eng_actions *acts)
{
  eng->tries = 0;
  begin (eng, ENG_RECHECKING, ENG_DO_READ, acts);
}

/* Goes on after the last work of the engine has ended.  */
static void
drained (struct eng *eng, struct eng_actions *acts)
{
  if (same_engine (&eng->order.target, &eng->actual))
    finish (eng, acts);
  else
    recheck (eng, acts);
}

/* Returns to the order whose replacement was refused.  */
static void
return_to_drain (struct eng *eng, struct eng_actions *acts)
{
  eng->state = ENG_DRAINING;
  if (eng->drain_op == 0)
    drained (eng, acts);
}

static void
adopt (struct eng *eng, struct eng_actions *acts)
{
  int replaces = eng->has_order;

  if (replaces)
    reject (acts, &eng->order, MSG_ORDER_FAILED, ERR_CONFLICT,
            "replaced by a later order");
  eng->order = eng->arrived;
  eng->has_order = 1;
  if (eng_target_equal (&eng->order.target, &eng->actual))
    {
      answer (acts, &eng->order, MSG_ORDER_REACHED);
      eng->has_order = 0;
      eng->state = ENG_IDLE;
      if (replaces)
        drop_order (eng, acts);
      return;
    }
  if (same_engine (&eng->order.target, &eng->actual)
      && !is_held (&eng->order.target))
    {
      finish (eng, acts);
      return;
    }
  answer (acts, &eng->order, MSG_ORDER_ACCEPTED);
  if (replaces)
    {
      return_to_drain (eng, acts);
      return;
    }
  eng->state = ENG_DRAINING;
  eng->drain_op = ++eng->ops;
  add (acts, ENG_DO_STOP_WORK)->op = eng->drain_op;
}

/* Returns why the read EV does not confirm TOKEN, or null when it does.  */
static const char *
read_fault (struct eng *eng, const struct eng_event *ev, uint64_t token)
{
  if (ev->result != ENG_RESULT_OK)
    return "the authority cannot be read";
  if (ev->now_us < ev->start_us || ev->now_us - ev->start_us > ENG_READ_MAX_US)
    return "the authority cannot be read in time";
  if (ev->revision > eng->highest)
    eng->highest = ev->revision;
  if (ev->revision != token || token < eng->highest)
    return "the fencing token is not current";
  return NULL;
}

static void
query (struct eng *eng, struct eng_actions *acts)
{
  begin (eng, ENG_QUERYING, ENG_DO_QUERY, acts);
}

static void
on_start (struct eng *eng, const struct eng_event *ev,
          struct eng_actions *acts)
{
  (void)ev;
  query (eng, acts);
}

static void
on_order_unready (struct eng *eng, const struct eng_event *ev,
                  struct eng_actions *acts)
{
  (void)eng;
  reject (acts, ev->order, MSG_ORDER_REFUSED, ERR_REFUSED,
          "the state of the engine is not known yet");
}

static void
on_order_busy (struct eng *eng, const struct eng_event *ev,
               struct eng_actions *acts)
{
  (void)eng;
  reject (acts, ev->order, MSG_ORDER_REFUSED, ERR_REFUSED,
          "another order is in progress");
}

/* Serves ENG_IDLE and ENG_DRAINING.  */
static void
on_order (struct eng *eng, const struct eng_event *ev,
          struct eng_actions *acts)
{
  const struct eng_order *order = ev->order;

  /* Tokens are revisions of one key and compare only within its shard.  */
  if (strcmp (order->shard, eng->shard) != 0
      || order->target.role >= ENG_ROLE_MAX)
    reject (acts, order, MSG_ORDER_REFUSED, ERR_INVALID,
            "unknown role or another shard");
  else if (order->token == 0 || order->token < eng->highest)
    reject (acts, order, MSG_ORDER_REFUSED, ERR_REFUSED,
            "the fencing token is below the highest seen");
  else
    {
      eng->arrived = *order;
      begin (eng, eng->has_order ? ENG_REPLACING : ENG_CHECKING, ENG_DO_READ,
             acts);
    }
}

/* Serves ENG_CHECKING and ENG_REPLACING.  */
static void
on_read_arrived (struct eng *eng, const struct eng_event *ev,
                 struct eng_actions *acts)
{
  const char *fault = read_fault (eng, ev, eng->arrived.token);

  if (fault == NULL)
    {
      adopt (eng, acts);
      return;
    }
  reject (acts, &eng->arrived, MSG_ORDER_REFUSED, ERR_REFUSED, fault);
  if (eng->has_order)
    return_to_drain (eng, acts);
  else
    eng->state = ENG_IDLE;
}

static void
on_read_loading (struct eng *eng, const struct eng_event *ev,
                 struct eng_actions *acts)
{
  (void)acts;
  if (ev->result != ENG_RESULT_OK || ev->now_us < ev->start_us
      || ev->now_us - ev->start_us > ENG_READ_MAX_US)
    {
      eng->next_us = ev->now_us + ENG_RETRY_US;
      return;
    }
  if (ev->revision > eng->highest)
    eng->highest = ev->revision;
  eng->state = ENG_IDLE;
}

static void
on_read_drained (struct eng *eng, const struct eng_event *ev,
                 struct eng_actions *acts)
{
  const char *fault = read_fault (eng, ev, eng->order.token);
  int readable = ev->result == ENG_RESULT_OK
                 && ev->now_us - ev->start_us <= ENG_READ_MAX_US;

  eng->tries++;
  if (fault == NULL)
    {
      eng->read_us = ev->start_us;
      begin (eng, ENG_APPLYING, ENG_DO_SEND, acts);
    }
  else if (!readable && eng->tries < ENG_READ_TRIES)
    eng->next_us = ev->now_us + ENG_RETRY_US;
  else
    {
      reject (acts, &eng->order, MSG_ORDER_FAILED, ERR_REFUSED, fault);
      drop_order (eng, acts);
      eng->state = ENG_IDLE;
    }
}

static void
on_drained (struct eng *eng, const struct eng_event *ev,
            struct eng_actions *acts)
{
  (void)ev;
  eng->drain_op = 0;
  if (eng->state == ENG_DRAINING)
    drained (eng, acts);
}

static void
on_applied (struct eng *eng, const struct eng_event *ev,
            struct eng_actions *acts)
{
  switch (ev->result)
    {
    case ENG_RESULT_OK:
      finish (eng, acts);
      return;
    case ENG_RESULT_NOT_SENT:
      begin (eng, ENG_RECHECKING, ENG_DO_READ, acts);
      return;
    case ENG_RESULT_FAILED:
      reject (acts, &eng->order, MSG_ORDER_FAILED, ERR_IO,
              "the engine did not carry out the order");
      drop_order (eng, acts);
      query (eng, acts);
      return;
    default:
      query (eng, acts);
      return;
    }
}

static void
on_queried (struct eng *eng, const struct eng_event *ev,
            struct eng_actions *acts)
{
  if (ev->result != ENG_RESULT_OK || ev->in_progress)
    {
      eng->next_us = ev->now_us + ENG_RETRY_US;
      return;
    }
  eng->actual.role = ev->actual.role;
  memcpy (eng->actual.model, ev->actual.model, sizeof eng->actual.model);
  memcpy (eng->actual.version, ev->actual.version, sizeof eng->actual.version);
  if (!eng->has_order)
    begin (eng, ENG_LOADING, ENG_DO_READ, acts);
  else
    drained (eng, acts);
}

/* An engine that crashed has no work left, so an accepted order needs no
   further drain.  */
static void
on_crashed (struct eng *eng, const struct eng_event *ev,
            struct eng_actions *acts)
{
  (void)ev;
  if (eng->state == ENG_CHECKING || eng->state == ENG_REPLACING)
    reject (acts, &eng->arrived, MSG_ORDER_REFUSED, ERR_REFUSED,
            "the engine crashed");
  eng->drain_op = 0;
  query (eng, acts);
}

static void
on_time (struct eng *eng, const struct eng_event *ev, struct eng_actions *acts)
{
  if (eng->op != 0 || ev->now_us < eng->next_us)
    return;
  begin (eng, eng->state,
         eng->state == ENG_QUERYING ? ENG_DO_QUERY : ENG_DO_READ, acts);
}

static void (*const handlers[ENG_STATE_MAX][ENG_EV_MAX]) (
    struct eng *, const struct eng_event *, struct eng_actions *)
    = {
        [ENG_QUERYING] = { [ENG_EV_START] = on_start,
                           [ENG_EV_ORDER] = on_order_unready,
                           [ENG_EV_QUERIED] = on_queried,
                           [ENG_EV_CRASHED] = on_crashed,
                           [ENG_EV_TIME] = on_time },
        [ENG_LOADING] = { [ENG_EV_ORDER] = on_order_unready,
                          [ENG_EV_READ] = on_read_loading,
                          [ENG_EV_CRASHED] = on_crashed,
                          [ENG_EV_TIME] = on_time },
        [ENG_IDLE]
        = { [ENG_EV_ORDER] = on_order, [ENG_EV_CRASHED] = on_crashed },
        [ENG_CHECKING] = { [ENG_EV_ORDER] = on_order_busy,
                           [ENG_EV_READ] = on_read_arrived,
                           [ENG_EV_CRASHED] = on_crashed },
        [ENG_DRAINING] = { [ENG_EV_ORDER] = on_order,
                           [ENG_EV_DRAINED] = on_drained,
                           [ENG_EV_CRASHED] = on_crashed },
        [ENG_REPLACING] = { [ENG_EV_ORDER] = on_order_busy,
                            [ENG_EV_READ] = on_read_arrived,
                            [ENG_EV_DRAINED] = on_drained,
                            [ENG_EV_CRASHED] = on_crashed },
        [ENG_RECHECKING] = { [ENG_EV_ORDER] = on_order_busy,
                             [ENG_EV_READ] = on_read_drained,
                             [ENG_EV_CRASHED] = on_crashed,
                             [ENG_EV_TIME] = on_time },
        [ENG_APPLYING] = { [ENG_EV_ORDER] = on_order_busy,
                           [ENG_EV_APPLIED] = on_applied,
                           [ENG_EV_CRASHED] = on_crashed },
      };

/* Takes the operation that EV is the result of; returns 0 when EV is the
   result of no awaited operation.  */
static int
claim_result (struct eng *eng, const struct eng_event *ev)
{
  switch (ev->kind)
    {
    case ENG_EV_DRAINED:
      return ev->op != 0 && ev->op == eng->drain_op;
    case ENG_EV_READ:
    case ENG_EV_APPLIED:
    case ENG_EV_QUERIED:
      if (ev->op == 0 || ev->op != eng->op)
        return 0;
      eng->op = 0;
      return 1;
    default:
      return 1;
    }
}

void
eng_handle (struct eng *eng, const struct eng_event *event,
            struct eng_actions *actions)
{
  memset (actions, 0, sizeof *actions);
  if (!claim_result (eng, event))
    return;
  /* An order sent again before its end is answered as before.  */
  if (event->kind == ENG_EV_ORDER && eng->has_order
      && msg_id_equal (event->order->id, eng->order.id))
    {
      answer (actions, &eng->order, MSG_ORDER_ACCEPTED);
      return;
    }
  if (handlers[eng->state][event->kind] != NULL)
    handlers[eng->state][event->kind](eng, event, actions);
}
