#include "entry_control.h"

#include <string.h>

#include "goldcresthatch/metric.h"
#include "goldcresthatch/log.h"

enum
{
  /* An order without an answer is resent after this time.  */
  ORDER_ANSWER_TIMEOUT_US = 2 * G_USEC_PER_SEC,
  /* An accepted order is resent too, because its last answer may be lost.  */
  ORDER_RESEND_US = 10 * G_USEC_PER_SEC,
  ORDER_BACKOFF_MIN_US = 500 * 1000,
  ORDER_BACKOFF_MAX_US = 8 * G_USEC_PER_SEC,
  /* An engine that is still down after this time in a change no longer delays
     the changes of other engines.  */
  ORDER_DOWN_TIMEOUT_US = 60 * G_USEC_PER_SEC
};

/* Returns nonzero when A and B differ in nothing that takes an engine out of
   service: its role, model and version.  */
static int
same_engine (const struct engine_target *a, const struct engine_target *b)
{
  return a->role == b->role && strcmp (a->model, b->model) == 0
         && strcmp (a->version, b->version) == 0;
}

int
control_is_changing (const struct control_runner *runner, gint64 now_us)
{
  if (!runner->endpoint_up
      && (!runner->order_pending
          || now_us - runner->first_sent_us > ORDER_DOWN_TIMEOUT_US))
    return 0;
  if (runner->order_pending && !same_engine (&runner->target, &runner->actual))
    return 1;
  /* A runner that drains without being told to carries out an order of this
     holder or of a previous one.  */
  return runner->state == MSG_AGENT_DRAINING && !runner->actual.drain
         && !runner->actual.withdraw;
}

/* Returns nonzero while an engine of SHARD other than RUNNER changes its role,
   model or version.  */
static int
other_changing (struct entry_control *control,
                const struct control_shard *shard,
                const struct control_runner *runner, gint64 now_us)
{
  struct control_runner *other;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->runners);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      other = value;
      if (other != runner && control_accepts_orders (other, shard, now_us)
          && control_is_changing (other, now_us))
        return 1;
    }
  return 0;
}

static void
find_target (const struct cfg_snapshot *snap,
             const struct control_runner *runner, struct engine_target *target)
{
  const struct cfg_runner *configured = cfg_runner_find (snap, runner->name);
  const struct cfg_model *model = cfg_model_find (snap, runner->service);

  *target = runner->actual;
  target->drain = configured != NULL && configured->drain;
  target->withdraw = configured != NULL && configured->withdraw;
  if (model == NULL)
    return;
  g_strlcpy (target->model, model->name, sizeof target->model);
  g_strlcpy (target->version, model->version, sizeof target->version);
  if (runner->role_is_planned)
    target->role = runner->role;
}

static void
send_order (struct entry_control *control, const struct control_shard *shard,
            struct control_runner *runner, gint64 now_us)
{
  struct msg msg = { .type = MSG_ORDER };

  msg.u.order.shard = msg_str_from (shard->zone);
  msg.u.order.fence = runner->token;
  msg.u.order.order = runner->order_id;
  msg.u.order.role = runner->target.role;
  msg.u.order.drain = (uint64_t)runner->target.drain;
  msg.u.order.withdraw = (uint64_t)runner->target.withdraw;
  msg.u.order.model = msg_str_from (runner->target.model);
  msg.u.order.version = msg_str_from (runner->target.version);
  runner->last_sent_us = now_us;
  net_send (control->entry->net, runner->peer, &msg, NULL);
}

static void
init_order (struct control_runner *runner, const struct engine_target *target,
            uint64_t token, gint64 now_us)
{
  runner->order_pending = 1;
  runner->order_accepted = 0;
  runner->order_id = msg_id_new ();
  runner->target = *target;
  runner->token = token;
  runner->previous_role = runner->actual.role;
  runner->first_sent_us = now_us;
}

static void
on_accepted (struct control_runner *runner)
{
  if (!runner->order_accepted)
    metric_add (METRIC_ORDERS_ACCEPTED, 1);
  runner->order_accepted = 1;
}

static void
on_reached (struct control_runner *runner)
{
  on_accepted (runner);
  if (runner->previous_role != runner->target.role)
    metric_add (METRIC_ROLE_CHANGES, 1);
  runner->actual = runner->target;
  runner->order_pending = 0;
  runner->backoff_us = 0;
  runner->next_order_us = 0;
}

static void
reconcile_runner (struct entry_control *control, struct control_shard *shard,
                  struct control_runner *runner,
                  const struct cfg_snapshot *snap, uint64_t token,
                  gint64 now_us)
{
  struct engine_target target;

  find_target (snap, runner, &target);
  if (engine_target_equal (&target, &runner->actual))
    {
      if (runner->order_pending
          && engine_target_equal (&target, &runner->target))
        on_reached (runner);
      runner->order_pending = 0;
      return;
    }
  if (runner->order_pending && runner->token == token
      && engine_target_equal (&target, &runner->target))
    {
      if (now_us - runner->last_sent_us >= (runner->order_accepted
                                                ? ORDER_RESEND_US
                                                : ORDER_ANSWER_TIMEOUT_US))
        send_order (control, shard, runner, now_us);
      return;
    }
  if (now_us < runner->next_order_us || !runner->endpoint_up)
    return;
  if (!same_engine (&target, &runner->actual)
      && other_changing (control, shard, runner, now_us))
    return;
  init_order (runner, &target, token, now_us);
  log_write (LOG_LEVEL_INFO, NULL, "order", runner->name,
             "sends an order with token %llu: role %s, version %s, drain %d, "
             "withdraw %d",
             (unsigned long long)token, engine_role_name (target.role),
             target.version, target.drain, target.withdraw);
  send_order (control, shard, runner, now_us);
}

void
control_reconcile (struct entry_control *control, struct control_shard *shard,
                   uint64_t token)
{
  struct cfg_snapshot *snap = entry_config_get (control->entry);
  gint64 now_us = g_get_monotonic_time ();
  GHashTableIter iter;
  gpointer value;

  if (strcmp (control->entry->settings.role_planning, "on") == 0)
    control_plan_roles (control, shard, snap->site.role_change_cost_s, now_us);
  g_hash_table_iter_init (&iter, control->runners);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (control_accepts_orders (value, shard, now_us))
      reconcile_runner (control, shard, value, snap, token, now_us);
  cfg_snapshot_unref (snap);
}

static struct control_runner *
find_order (struct entry_control *control, struct msg_id order)
{
  struct control_runner *runner;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->runners);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      runner = value;
      if (runner->order_pending && msg_id_equal (runner->order_id, order))
        return runner;
    }
  return NULL;
}

/* Doubles the back-off of RUNNER after each consecutive order that was refused
   or failed.  */
static void
on_declined (struct control_runner *runner, const struct msg_ordered *ordered)
{
  char text[ERR_TEXT_BYTES];

  if (ordered->state == MSG_ORDER_REFUSED)
    metric_add (METRIC_ORDERS_REFUSED, 1);
  msg_str_copy (text, sizeof text, ordered->text);
  log_write (LOG_LEVEL_WARN, NULL, "order", runner->name, "order %s: %s",
             ordered->state == MSG_ORDER_REFUSED ? "refused" : "failed", text);
  runner->order_pending = 0;
  runner->backoff_us = CLAMP (runner->backoff_us * 2, ORDER_BACKOFF_MIN_US,
                              ORDER_BACKOFF_MAX_US);
  runner->next_order_us = g_get_monotonic_time () + runner->backoff_us;
}

void
control_handle_ordered (struct entry_control *control,
                        const struct msg_ordered *ordered)
{
  struct control_runner *runner = find_order (control, ordered->order);

  if (runner == NULL)
    return;
  switch ((enum msg_order_state)ordered->state)
    {
    case MSG_ORDER_ACCEPTED:
      on_accepted (runner);
      return;
    case MSG_ORDER_REACHED:
      on_reached (runner);
      return;
    default:
      on_declined (runner, ordered);
      return;
    }
}

void
control_reset_shard (struct entry_control *control,
                     struct control_shard *shard)
{
  struct control_runner *runner;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->runners);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      runner = value;
      if (strcmp (runner->zone, shard->zone) != 0)
        continue;
      runner->order_pending = 0;
      runner->role_is_planned = 0;
      runner->backoff_us = 0;
      runner->next_order_us = 0;
    }
  g_hash_table_remove_all (shard->plans);
}
