#include "entry.h"

#include <string.h>

#include "cfg_sync.h"
#include "goldcresthatch/metric.h"

/* Returns the call ID, locked and with a reference that unlock_call drops, or
   null when the call has ended or ATTEMPT is not its current attempt.  */
static struct entry_call *
find_call (struct entry *entry, struct msg_id id, struct msg_id attempt)
{
  struct entry_call *call;

  pthread_mutex_lock (&entry->lock);
  call = g_hash_table_lookup (entry->calls, &id);
  if (call != NULL)
    entry_call_ref (call);
  pthread_mutex_unlock (&entry->lock);
  if (call == NULL)
    return NULL;
  pthread_mutex_lock (&call->lock);
  if (!call->ended && call->runner_peer != 0
      && msg_id_equal (call->attempt, attempt))
    return call;
  pthread_mutex_unlock (&call->lock);
  entry_call_unref (call);
  return NULL;
}

static void
unlock_call (struct entry_call *call)
{
  pthread_mutex_unlock (&call->lock);
  entry_call_unref (call);
}

static void
on_report (struct entry *entry, uint64_t peer, const struct msg *msg)
{
  entry_fleet_report (entry, peer, &msg->u.report);
  entry_control_report (entry, peer, &msg->u.report);
  cfg_sync_on_peer_generation (entry->config, peer,
                               msg->u.report.cfg_generation);
}

static void
on_head (struct entry *entry, uint64_t peer, const struct msg *msg)
{
  const struct msg_head *head = &msg->u.head;
  struct entry_call *call = find_call (entry, head->call, head->attempt);

  (void)peer;
  if (call == NULL)
    return;
  entry_fleet_first_token (entry, &call->work);
  entry_call_head (call, (unsigned)head->status, head->content_type);
  unlock_call (call);
}

static void
on_data (struct entry *entry, uint64_t peer, const struct msg *msg)
{
  const struct msg_data *data = &msg->u.data;
  struct entry_call *call = find_call (entry, data->call, data->attempt);

  (void)peer;
  if (call == NULL)
    return;
  entry_call_data (call, data);
  unlock_call (call);
}

static int
str_equals (struct msg_str s, const char *text)
{
  return s.n == strlen (text) && memcmp (s.p, text, s.n) == 0;
}

/* Returns nonzero when END shows that the runner is unusable: its endpoint
   crashed, or the agent did not admit the call or reach the endpoint.  */
static int
shows_runner_unusable (const struct msg_end *end)
{
  return end->outcome == MSG_OUTCOME_CRASHED
         || (end->outcome == MSG_OUTCOME_NOT_RUN
             && (str_equals (end->step, "admit")
                 || str_equals (end->step, "connect")));
}

static void
on_end (struct entry *entry, uint64_t peer, const struct msg *msg)
{
  const struct msg_end *end = &msg->u.end;
  struct entry_call *call = find_call (entry, end->call, end->attempt);
  char step[MSG_NAME_MAX_BYTES];
  char name[MSG_NAME_MAX_BYTES];
  char text[ERR_TEXT_BYTES];
  int done;

  cfg_sync_on_peer_generation (entry->config, peer, end->cfg_generation);
  if (shows_runner_unusable (end))
    entry_fleet_mark_unusable (entry, peer);
  if (call == NULL)
    return;
  done = end->outcome == MSG_OUTCOME_DONE;
  entry_fleet_name (entry, peer, name, sizeof name);
  entry_trace_agent (call, end, name);
  entry_fleet_release (entry, peer, call, end);
  call->runner_peer = 0;
  if (end->outcome == MSG_OUTCOME_CRASHED)
    entry_suspect_note_crash (entry, call, end->crash);
  reassembly_end (call->reassembly, end->attempt, end->frames, done,
                  call->answer);
  if (entry_call_judge (call, (enum msg_outcome)end->outcome,
                        reassembly_complete (call->reassembly))
          .act
      == HOP_PASS)
    {
      entry_call_finish (call);
      unlock_call (call);
      return;
    }
  msg_str_copy (step, sizeof step, end->step);
  msg_str_copy (text, sizeof text, end->text);
  entry_call_attempt_ended (
      call, done ? MSG_OUTCOME_UNKNOWN : (enum msg_outcome)end->outcome, step,
      name, text);
  unlock_call (call);
}

static void
on_ordered (struct entry *entry, uint64_t peer, const struct msg *msg)
{
  (void)peer;
  entry_control_ordered (entry, &msg->u.ordered);
}

static void
on_cfg_get (struct entry *entry, uint64_t peer, const struct msg *msg)
{
  cfg_sync_on_get (entry->config, peer, msg);
}

static void
on_cfg_data (struct entry *entry, uint64_t peer, const struct msg *msg)
{
  cfg_sync_on_data (entry->config, peer, msg);
}

static void (*const handlers[MSG_TYPE_MAX]) (struct entry *, uint64_t,
                                             const struct msg *)
    = {
        [MSG_REPORT] = on_report,     [MSG_HEAD] = on_head,
        [MSG_DATA] = on_data,         [MSG_END] = on_end,
        [MSG_ORDERED] = on_ordered,   [MSG_CFG_GET] = on_cfg_get,
        [MSG_CFG_DATA] = on_cfg_data, [MSG_VOIDED] = entry_claim_handle_voided,
      };

static void
on_message (void *ctx, uint64_t peer, const struct msg *msg)
{
  if (handlers[msg->type] != NULL)
    handlers[msg->type](ctx, peer, msg);
  else
    metric_add (METRIC_MESSAGES_MALFORMED, 1);
}

/* A CALL that was not sent has not run.  */
static void
on_unsent (void *ctx, uint64_t peer, const struct msg *msg)
{
  struct entry *entry = ctx;
  struct entry_call *call;
  char name[MSG_NAME_MAX_BYTES];

  if (msg->type != MSG_CALL)
    return;
  entry_fleet_mark_unusable (entry, peer);
  call = find_call (entry, msg->u.call.call, msg->u.call.attempt);
  if (call == NULL)
    return;
  entry_fleet_release (entry, peer, call, NULL);
  entry_fleet_name (entry, peer, name, sizeof name);
  entry_call_attempt_ended (call, MSG_OUTCOME_NOT_RUN, "send", name,
                            "no connection to the agent");
  unlock_call (call);
}

static void
on_lost (void *ctx, uint64_t peer)
{
  entry_fleet_mark_unusable (ctx, peer);
  entry_call_peer_lost (ctx, peer);
}

const struct net_ops entry_net_ops = { on_message, on_unsent, on_lost };
