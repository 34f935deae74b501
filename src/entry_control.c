#include "entry_control.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "goldcresthatch/metric.h"
#include "goldcresthatch/log.h"

enum
{
  CONTROL_PERIOD_US = 100 * 1000
};

static void
shard_key (const struct control_shard *shard, char *key, size_t size)
{
  snprintf (key, size, "authority/%s", shard->zone);
}

/* Sets the priority with which this entry acquires SHARD, by its zone and its
   place among the peers in the settings.  */
static void
set_rank (struct entry_control *control, struct control_shard *shard)
{
  const struct entry_settings *settings = &control->entry->settings;
  const char *peers[SETTINGS_LIST_MAX];
  size_t count = settings->config_peers.count;
  size_t i;

  for (i = 0; i < count; i++)
    peers[i] = settings->config_peers.items[i];
  authority_rank_set (
      &shard->authority, strcmp (settings->zone, shard->zone) == 0,
      authority_rank (shard->zone, settings->admin, peers, count), count);
}

/* Adds the shard ZONE unless it exists; the lock is held.  */
static void
add_shard (struct entry_control *control, const char *zone)
{
  struct control_shard *shard;
  guint i;

  for (i = 0; i < control->shards->len; i++)
    {
      shard = g_ptr_array_index (control->shards, i);
      if (strcmp (shard->zone, zone) == 0)
        return;
    }
  shard = g_new0 (struct control_shard, 1);
  g_strlcpy (shard->zone, zone, sizeof shard->zone);
  shard->plans = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        control_plan_free);
  authority_init (&shard->authority, control->entry->settings.name,
                  control->entry->incarnation);
  set_rank (control, shard);
  g_ptr_array_add (control->shards, shard);
}

/* A new incarnation of the agent does not know the order that the previous one
   accepted, so the order is dropped.  */
static void
update_incarnation (struct control_runner *runner,
                    const struct msg_report *report)
{
  if (runner->incarnation == report->incarnation)
    return;
  runner->incarnation = report->incarnation;
  runner->order_pending = 0;
  runner->next_order_us = 0;
  runner->prompt_in_demand = report->prompt_done;
  runner->output_in_demand = report->output_done;
}

static void
update_runner (struct control_runner *runner, uint64_t peer,
               const struct msg_report *report)
{
  update_incarnation (runner, report);
  runner->peer = peer;
  msg_str_copy (runner->zone, sizeof runner->zone, report->zone);
  msg_str_copy (runner->service, sizeof runner->service, report->service);
  runner->state = (enum msg_agent_state)report->state;
  runner->endpoint_up = report->endpoint_up != 0;
  runner->actual_known = report->known != 0 && report->role < ENGINE_ROLE_MAX;
  runner->actual.role
      = runner->actual_known ? (enum engine_role)report->role : 0;
  runner->actual.drain = report->drain != 0;
  runner->actual.withdraw = report->withdraw != 0;
  msg_str_copy (runner->actual.model, sizeof runner->actual.model,
                report->model);
  msg_str_copy (runner->actual.version, sizeof runner->actual.version,
                report->version);
  runner->running = report->running;
  runner->queued = report->queued;
  runner->capacity = report->capacity;
  runner->prompt_done = report->prompt_done;
  runner->output_done = report->output_done;
  runner->reported_us = g_get_monotonic_time ();
}

void
entry_control_report (struct entry *entry, uint64_t peer,
                      const struct msg_report *report)
{
  struct entry_control *control = entry->control;
  struct control_runner *runner;
  char name[MSG_NAME_MAX_BYTES + 1];

  msg_str_copy (name, sizeof name, report->agent);
  pthread_mutex_lock (&control->lock);
  runner = g_hash_table_lookup (control->runners, name);
  if (runner == NULL)
    {
      runner = g_new0 (struct control_runner, 1);
      g_strlcpy (runner->name, name, sizeof runner->name);
      g_hash_table_insert (control->runners, runner->name, runner);
    }
  update_runner (runner, peer, report);
  if (runner->zone[0] != '\0')
    add_shard (control, runner->zone);
  pthread_mutex_unlock (&control->lock);
}

void
entry_control_ordered (struct entry *entry, const struct msg_ordered *ordered)
{
  pthread_mutex_lock (&entry->control->lock);
  control_handle_ordered (entry->control, ordered);
  pthread_mutex_unlock (&entry->control->lock);
}

int
control_accepts_orders (const struct control_runner *runner,
                        const struct control_shard *shard, gint64 now_us)
{
  return strcmp (runner->zone, shard->zone) == 0 && runner->actual_known
         && runner->state != MSG_AGENT_LEAVING
         && now_us - runner->reported_us < CONTROL_REPORT_TIMEOUT_US;
}

static void
read_authority (struct entry_control *control, const char *key,
                struct authority_record *record, struct authority_event *event)
{
  struct kv_value value = { 0 };
  struct err err;

  event->kind = AUTHORITY_EV_READ;
  event->rc = kv_get (control->entry->kv, key, &value, &err);
  event->revision = value.revision;
  if (event->rc == 1
      && authority_record_decode (value.data, value.size, record, &err) == 0)
    event->record = record;
  kv_value_free (&value);
}

static void
create_authority (struct entry_control *control, const char *key,
                  const struct authority_action *action,
                  struct authority_event *event)
{
  char text[AUTHORITY_RECORD_MAX_BYTES];
  struct err err;
  int size
      = authority_record_encode (&action->record, text, sizeof text, &err);

  event->kind = AUTHORITY_EV_CAS;
  event->rc = -1;
  if (size < 0)
    log_err (LOG_LEVEL_ERROR, NULL, &err);
  else
    event->rc = kv_cas (control->entry->kv, key, 0, text, (size_t)size,
                        action->lease, &event->revision, &err);
}

/* Carries out ACTION and fills in the event of its result.  */
static void
run_action (struct entry_control *control, const char *key,
            const struct authority_action *action,
            struct authority_record *record, struct authority_event *event)
{
  struct err err;

  memset (event, 0, sizeof *event);
  event->op = action->op;
  switch (action->kind)
    {
    case AUTHORITY_DO_READ:
      read_authority (control, key, record, event);
      break;
    case AUTHORITY_DO_GRANT:
      event->kind = AUTHORITY_EV_GRANTED;
      event->rc = kv_lease_grant (
          control->entry->kv, AUTHORITY_LEASE_US / 1000, &event->lease, &err);
      break;
    case AUTHORITY_DO_CAS:
      create_authority (control, key, action, event);
      break;
    default:
      event->kind = AUTHORITY_EV_RENEWED;
      event->rc = kv_lease_renew (control->entry->kv, action->lease, &err);
      break;
    }
}

static void
log_change (const struct control_shard *shard, enum authority_state before)
{
  enum authority_state now = shard->authority.state;

  if (now == before)
    return;
  if (now == AUTHORITY_HOLDER)
    log_write (LOG_LEVEL_INFO, NULL, "authority", shard->zone,
               "holds the authority with token %llu",
               (unsigned long long)shard->authority.token);
  else if (now == AUTHORITY_LOST)
    log_write (LOG_LEVEL_WARN, NULL, "authority", shard->zone,
               "lost the authority; sends no orders until it holds it again");
}

/* Passes time and results to the state machine of SHARD's authority and
   carries out its actions, until it has nothing to do before the next tick. */
static void
update_authority (struct entry_control *control, struct control_shard *shard)
{
  struct authority_event event = { .kind = AUTHORITY_EV_TIME };
  struct authority_action action;
  struct authority_record record;
  enum authority_state before;
  char key[KV_KEY_MAX_BYTES];

  shard_key (shard, key, sizeof key);
  for (;;)
    {
      event.now_us = g_get_monotonic_time ();
      event.draw = msg_id_new ();
      pthread_mutex_lock (&control->lock);
      before = shard->authority.state;
      authority_handle (&shard->authority, &event, &action);
      if (action.kind == AUTHORITY_DO_STOP)
        control_reset_shard (control, shard);
      log_change (shard, before);
      pthread_mutex_unlock (&control->lock);
      if (action.kind == AUTHORITY_DO_NOTHING
          || action.kind == AUTHORITY_DO_STOP)
        return;
      run_action (control, key, &action, &record, &event);
    }
}

static void
update_shard (struct entry_control *control, struct control_shard *shard)
{
  uint64_t token;

  update_authority (control, shard);
  pthread_mutex_lock (&control->lock);
  token = authority_token (&shard->authority, g_get_monotonic_time ());
  if (token != 0)
    control_reconcile (control, shard, token);
  pthread_mutex_unlock (&control->lock);
}

/* Revokes the lease, so that a successor need not wait for its expiry.  */
static void
release_authority (struct entry_control *control, struct control_shard *shard)
{
  uint64_t lease;
  struct err err;

  pthread_mutex_lock (&control->lock);
  lease = shard->authority.token != 0 ? shard->authority.lease : 0;
  authority_init (&shard->authority, control->entry->settings.name,
                  control->entry->incarnation);
  pthread_mutex_unlock (&control->lock);
  if (lease == 0)
    return;
  if (kv_lease_revoke (control->entry->kv, lease, &err) != 0)
    log_err (LOG_LEVEL_WARN, NULL, &err);
  else
    log_write (LOG_LEVEL_INFO, NULL, "authority", shard->zone,
               "gave up the authority");
}

static void
for_each_shard (struct entry_control *control,
                void (*fn) (struct entry_control *, struct control_shard *))
{
  struct control_shard *shard;
  guint i = 0;

  for (;;)
    {
      pthread_mutex_lock (&control->lock);
      shard = i < control->shards->len ? g_ptr_array_index (control->shards, i)
                                       : NULL;
      pthread_mutex_unlock (&control->lock);
      if (shard == NULL)
        return;
      fn (control, shard);
      i++;
    }
}

static void *
control_main (void *arg)
{
  struct entry_control *control = arg;
  struct entry *entry = control->entry;

  while (!g_atomic_int_get (&entry->stopping)
         && !g_atomic_int_get (&entry->draining))
    {
      for_each_shard (control, update_shard);
      g_usleep (CONTROL_PERIOD_US);
    }
  for_each_shard (control, release_authority);
  return NULL;
}

static void
shard_free (gpointer data)
{
  struct control_shard *shard = data;

  g_hash_table_destroy (shard->plans);
  g_free (shard);
}

void
entry_control_open (struct entry *entry)
{
  struct entry_control *control = g_new0 (struct entry_control, 1);

  control->entry = entry;
  pthread_mutex_init (&control->lock, NULL);
  control->runners
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  control->shards = g_ptr_array_new_with_free_func (shard_free);
  entry->control = control;
}

int
entry_control_start (struct entry *entry, struct err *err)
{
  if (pthread_create (&entry->control->thread, NULL, control_main,
                      entry->control)
      != 0)
    return err_set (err, ERR_LIMIT, "thread", NULL,
                    "cannot start the control thread");
  return 0;
}

void
entry_control_stop (struct entry *entry)
{
  pthread_join (entry->control->thread, NULL);
}

void
entry_control_close (struct entry *entry)
{
  struct entry_control *control = entry->control;

  g_hash_table_destroy (control->runners);
  g_ptr_array_free (control->shards, TRUE);
  pthread_mutex_destroy (&control->lock);
  g_free (control);
}

char *
entry_control_page (struct entry *entry)
{
  static const char *const names[AUTHORITY_STATE_MAX]
      = { "follower", "acquiring", "waiting", "holder", "lost" };
  struct entry_control *control = entry->control;
  struct json_object *root = json_object_new_array ();
  char *text;
  guint i;

  pthread_mutex_lock (&control->lock);
  for (i = 0; i < control->shards->len; i++)
    {
      struct control_shard *shard = g_ptr_array_index (control->shards, i);
      struct json_object *item = json_object_new_object ();

      json_object_object_add (item, "shard",
                              json_object_new_string (shard->zone));
      json_object_object_add (
          item, "state",
          json_object_new_string (names[shard->authority.state]));
      json_object_object_add (item, "token",
                              json_object_new_uint64 (shard->authority.token));
      json_object_array_add (root, item);
    }
  pthread_mutex_unlock (&control->lock);
  text = g_strdup (
      json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return text;
}
