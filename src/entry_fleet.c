#include "entry.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "goldcresthatch/log.h"

enum
{
  LIST_PERIOD_US = 1 * G_USEC_PER_SEC,
  SILENCE_US = 6 * G_USEC_PER_SEC /* three report intervals */
};

static struct entry_runner *
find_peer (struct entry *entry, uint64_t peer)
{
  guint i;

  for (i = 0; i < entry->runners->len; i++)
    {
      struct entry_runner *runner = g_ptr_array_index (entry->runners, i);

      if (runner->peer == peer)
        return runner;
    }
  return NULL;
}

static struct entry_runner *
find_name (struct entry *entry, const char *name)
{
  guint i;

  for (i = 0; i < entry->runners->len; i++)
    {
      struct entry_runner *runner = g_ptr_array_index (entry->runners, i);

      if (strcmp (runner->name, name) == 0)
        return runner;
    }
  return NULL;
}

void
entry_fleet_report (struct entry *entry, uint64_t peer,
                    const struct msg_report *report)
{
  struct entry_runner *runner;

  pthread_mutex_lock (&entry->lock);
  runner = find_peer (entry, peer);
  if (runner != NULL)
    {
      msg_str_copy (runner->service, sizeof runner->service, report->service);
      runner->incarnation = report->incarnation;
      runner->window = report->window;
      runner->state = (enum msg_agent_state)report->state;
      runner->endpoint_up = report->endpoint_up != 0;
      runner->running = report->running;
      runner->queued = report->queued;
      runner->capacity = report->capacity;
      runner->reported_us = g_get_monotonic_time ();
    }
  pthread_mutex_unlock (&entry->lock);
}

static int
usable (const struct entry_runner *runner, const char *service, gint64 now)
{
  return strcmp (runner->service, service) == 0 && runner->endpoint_up
         && runner->state == MSG_AGENT_SERVING && !runner->leaving
         && runner->reported_us != 0 && now - runner->reported_us < SILENCE_US;
}

/* A total order in which a lower value is chosen first.  */
static uint64_t
load (const struct entry_runner *runner, uint64_t avoid)
{
  uint64_t penalty = runner->peer == avoid ? UINT32_MAX : 0;

  return runner->running + runner->queued + runner->own + penalty;
}

int
entry_fleet_choose (struct entry *entry, const char *service, uint64_t avoid,
                    struct entry_runner *out)
{
  gint64 now = g_get_monotonic_time ();
  struct entry_runner *best = NULL;
  guint i;

  pthread_mutex_lock (&entry->lock);
  for (i = 0; i < entry->runners->len; i++)
    {
      struct entry_runner *runner = g_ptr_array_index (entry->runners, i);

      if (usable (runner, service, now)
          && (best == NULL || load (runner, avoid) < load (best, avoid)))
        best = runner;
    }
  if (best != NULL)
    {
      best->own++;
      *out = *best;
    }
  pthread_mutex_unlock (&entry->lock);
  return best != NULL;
}

void
entry_fleet_release (struct entry *entry, uint64_t peer)
{
  struct entry_runner *runner;

  pthread_mutex_lock (&entry->lock);
  runner = find_peer (entry, peer);
  if (runner != NULL && runner->own > 0)
    runner->own--;
  pthread_mutex_unlock (&entry->lock);
}

int
entry_fleet_alive (struct entry *entry, uint64_t peer, gint64 now_us)
{
  struct entry_runner *runner;
  int alive;

  pthread_mutex_lock (&entry->lock);
  runner = find_peer (entry, peer);
  alive = runner != NULL && now_us - runner->reported_us < SILENCE_US;
  pthread_mutex_unlock (&entry->lock);
  return alive;
}

void
entry_fleet_name (struct entry *entry, uint64_t peer, char *name, size_t size)
{
  struct entry_runner *runner;

  pthread_mutex_lock (&entry->lock);
  runner = find_peer (entry, peer);
  g_strlcpy (name, runner != NULL ? runner->name : "", size);
  pthread_mutex_unlock (&entry->lock);
}

int
entry_fleet_knows (struct entry *entry, const char *service)
{
  int known = 0;
  guint i;

  pthread_mutex_lock (&entry->lock);
  for (i = 0; i < entry->runners->len && !known; i++)
    {
      struct entry_runner *runner = g_ptr_array_index (entry->runners, i);

      known = strcmp (runner->service, service) == 0;
    }
  pthread_mutex_unlock (&entry->lock);
  return known;
}

int
entry_fleet_settled (struct entry *entry)
{
  int settled;
  guint i;

  pthread_mutex_lock (&entry->lock);
  settled = entry->listed_us != 0;
  if (settled && g_get_monotonic_time () - entry->listed_us >= SILENCE_US)
    {
      pthread_mutex_unlock (&entry->lock);
      return 1;
    }
  for (i = 0; i < entry->runners->len && settled; i++)
    {
      const struct entry_runner *runner
          = g_ptr_array_index (entry->runners, i);

      settled = runner->leaving || runner->reported_us != 0;
    }
  pthread_mutex_unlock (&entry->lock);
  return settled;
}

void
entry_fleet_hello (struct entry *entry)
{
  struct msg msg = { .type = MSG_HELLO };
  guint i;

  msg.u.hello.entry = msg_text (entry->settings.name);
  msg.u.hello.incarnation = entry->incarnation;
  pthread_mutex_lock (&entry->lock);
  for (i = 0; i < entry->runners->len; i++)
    {
      struct entry_runner *runner = g_ptr_array_index (entry->runners, i);

      net_send (entry->net, runner->peer, &msg, NULL);
    }
  pthread_mutex_unlock (&entry->lock);
}

static const char *
text_member (struct json_object *object, const char *name)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, name, &value)
      || !json_object_is_type (value, json_type_string))
    return "";
  return json_object_get_string (value);
}

/* Takes one VM of the platform's list; the entry's lock is held.  */
static void
take_vm (struct entry *entry, struct json_object *vm)
{
  const char *name = text_member (vm, "name");
  const char *address = text_member (vm, "address");
  struct entry_runner *runner;

  if (name[0] == '\0' || !set_is_address (address))
    return;
  runner = find_name (entry, name);
  if (runner == NULL)
    {
      runner = g_new0 (struct entry_runner, 1);
      g_strlcpy (runner->name, name, sizeof runner->name);
      g_ptr_array_add (entry->runners, runner);
    }
  if (strcmp (runner->address, address) != 0)
    {
      if (runner->peer != 0)
        net_disconnect (entry->net, runner->peer);
      g_strlcpy (runner->address, address, sizeof runner->address);
      runner->peer = net_connect (entry->net, address);
      runner->reported_us = 0;
    }
  runner->leaving = strcmp (text_member (vm, "state"), "leaving") == 0;
}

static void
read_list (struct entry *entry)
{
  struct kv_value value = { 0 };
  struct json_object *list;
  struct err err;
  size_t i;

  if (kv_vms (entry->kv, &value, &err) != 1)
    return;
  list = json_tokener_parse (value.data);
  pthread_mutex_lock (&entry->lock);
  if (entry->listed_us == 0)
    entry->listed_us = g_get_monotonic_time ();
  if (json_object_is_type (list, json_type_array))
    for (i = 0; i < json_object_array_length (list); i++)
      take_vm (entry, json_object_array_get_idx (list, i));
  pthread_mutex_unlock (&entry->lock);
  json_object_put (list);
  kv_value_free (&value);
}

void *
entry_fleet_main (void *arg)
{
  struct entry *entry = arg;

  while (!g_atomic_int_get (&entry->stopping))
    {
      read_list (entry);
      g_usleep (LIST_PERIOD_US);
    }
  return NULL;
}
