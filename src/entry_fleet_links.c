#include "entry_fleet.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "goldcresthatch/log.h"

enum
{
  /* Each read transfers the whole list, and the list itself lags by seconds,
     so a shorter period would use more of the control budget for little gain.
   */
  VM_LIST_PERIOD_US = 2 * G_USEC_PER_SEC,
  SUBSET_PERIOD_US = 500 * 1000, /* of the subsets */
  /* Time after the start of a connection during which a report is requested by
     a HELLO on each tick, because a HELLO to a peer that is not connected yet
     is dropped.  */
  HELLO_REPEAT_US = 5 * G_USEC_PER_SEC,
  /* A runner whose connection was closed for lack of a report is reconnected
     after this time, or earlier if the subset has a free place.  */
  RECONNECT_DELAY_US = 30 * G_USEC_PER_SEC
};

struct link *
entry_fleet_find_link (struct entry *entry, struct fleet_ref ref)
{
  GPtrArray *links = entry->fleet->by_index;
  struct link *link;

  if (ref.index >= links->len)
    return NULL;
  link = g_ptr_array_index (links, ref.index);
  return link != NULL && link->ref.generation == ref.generation ? link : NULL;
}

void
entry_fleet_refresh_route (struct entry *entry)
{
  route_refresh (entry->fleet->route, entry->fleet->fleet,
                 entry->settings.zone);
}

void
entry_fleet_request_report (struct link *link, gint64 now)
{
  link->hello_until_us = now + HELLO_REPEAT_US;
}

int
entry_fleet_report_is_awaited (const struct link *link, gint64 now)
{
  return link->peer != 0 && link->reported_us == 0
         && now - link->listed_us < HELLO_REPEAT_US;
}

/* Sends HELLO to every connected runner if ALL is nonzero, otherwise only to
   those whose report is awaited; the entry's lock is held.  */
static void
send_hellos (struct entry *entry, int all, gint64 now)
{
  GPtrArray *links = entry->fleet->links;
  struct msg msg = { .type = MSG_HELLO };
  guint i;

  msg.u.hello.entry = msg_str_from (entry->settings.name);
  msg.u.hello.incarnation = entry->incarnation;
  msg.u.hello.cfg_generation = entry_config_generation (entry);
  for (i = 0; i < links->len; i++)
    {
      struct link *link = g_ptr_array_index (links, i);

      if (link->peer != 0 && (all || now < link->hello_until_us))
        net_send (entry->net, link->peer, &msg, NULL);
    }
}

void
entry_fleet_send_hellos (struct entry *entry)
{
  pthread_mutex_lock (&entry->lock);
  send_hellos (entry, 1, g_get_monotonic_time ());
  pthread_mutex_unlock (&entry->lock);
}

/* Adds a link for each listed runner that has none; the entry's lock is
   held.  */
static void
add_links (struct entry *entry)
{
  struct fleet *fleet = entry->fleet->fleet;
  size_t i;

  if (entry->fleet->by_index->len < fleet_slots (fleet))
    g_ptr_array_set_size (entry->fleet->by_index, (gint)fleet_slots (fleet));
  for (i = 0; i < fleet_slots (fleet); i++)
    {
      const struct fleet_runner *runner = fleet_at (fleet, i);
      struct link *link;

      if (runner == NULL || entry_fleet_find_link (entry, runner->ref) != NULL)
        continue;
      link = g_new0 (struct link, 1);
      link->ref = runner->ref;
      g_strlcpy (link->name, runner->name, sizeof link->name);
      g_strlcpy (link->address, runner->address, sizeof link->address);
      link->closed_us = -(gint64)RECONNECT_DELAY_US;
      link->listed_us = g_get_monotonic_time ();
      g_ptr_array_add (entry->fleet->links, link);
      g_ptr_array_index (entry->fleet->by_index, i) = link;
    }
}

/* Returns nonzero when RUNNER is or may become usable; such runners get a
   place in the subset before those that are known to be unusable.  */
static int
may_be_usable (void *ctx, const struct fleet_runner *runner)
{
  const struct link *link = entry_fleet_find_link (ctx, runner->ref);
  gint64 now = g_get_monotonic_time ();

  if (runner->usable)
    return 1;
  if (link == NULL)
    return 0;
  if (link->peer == 0)
    return now - link->closed_us >= RECONNECT_DELAY_US;
  return now - link->opened_us < FLEET_REPORT_TIMEOUT_US;
}

static void
close_link (struct entry *entry, struct link *link, gint64 now)
{
  net_disconnect (entry->net, link->peer);
  g_hash_table_remove (entry->fleet->by_peer, &link->peer);
  link->peer = 0;
  link->closed_us = now;
  fleet_disconnected (entry->fleet->fleet, link->ref);
}

static void
drop_link (struct entry *entry, guint at)
{
  struct link *link = g_ptr_array_index (entry->fleet->links, at);

  if (entry_fleet_find_link (entry, link->ref) == link)
    g_ptr_array_index (entry->fleet->by_index, link->ref.index) = NULL;
  g_ptr_array_remove_index_fast (entry->fleet->links, at);
}

/* Connects the links that are wanted, disconnects the others once they are
   idle, and removes those of runners no longer listed.  */
static void
apply_links (struct entry *entry, gint64 now)
{
  GPtrArray *links = entry->fleet->links;
  guint i = 0;

  while (i < links->len)
    {
      struct link *link = g_ptr_array_index (links, i);
      int listed = fleet_get (entry->fleet->fleet, link->ref) != NULL;

      if (link->wanted && link->peer == 0)
        {
          link->peer = net_connect (entry->net, link->address);
          g_hash_table_insert (entry->fleet->by_peer, &link->peer, link);
          link->opened_us = now;
          entry_fleet_request_report (link, now);
        }
      else if (!link->wanted && link->peer != 0 && link->attempts == 0)
        close_link (entry, link, now);
      if (listed || link->peer != 0)
        i++;
      else
        drop_link (entry, i);
    }
}

/* Updates the links by the VM list and the subsets; the entry's lock is
   held.  */
static void
update_links (struct entry *entry, gint64 now)
{
  struct entry_fleet *fleet = entry->fleet;
  struct fleet_ref *refs
      = g_new (struct fleet_ref, fleet_slots (fleet->fleet) + 1);
  size_t n;
  size_t i;
  guint l;

  fleet->refreshed_us = now;
  add_links (entry);
  for (l = 0; l < fleet->links->len; l++)
    ((struct link *)g_ptr_array_index (fleet->links, l))->wanted = 0;
  n = route_contacts (fleet->route, fleet->fleet, entry->settings.zone,
                      may_be_usable, entry, refs);
  for (i = 0; i < n; i++)
    entry_fleet_find_link (entry, refs[i])->wanted = 1;
  g_free (refs);
  apply_links (entry, now);
  entry_fleet_refresh_route (entry);
}

void
entry_fleet_tick (struct entry *entry, gint64 now_us)
{
  pthread_mutex_lock (&entry->lock);
  fleet_tick (entry->fleet->fleet, now_us);
  if (now_us - entry->fleet->refreshed_us >= SUBSET_PERIOD_US)
    update_links (entry, now_us);
  send_hellos (entry, 0, now_us);
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

static void
apply_list (struct entry *entry, struct json_object *list)
{
  size_t n = json_object_array_length (list);
  struct fleet_vm *vms = g_new0 (struct fleet_vm, n + 1);
  struct err err;
  size_t i;

  for (i = 0; i < n; i++)
    {
      struct json_object *vm = json_object_array_get_idx (list, i);

      vms[i].name = text_member (vm, "name");
      vms[i].address = text_member (vm, "address");
      vms[i].zone = text_member (vm, "zone");
      vms[i].state = strcmp (text_member (vm, "state"), "leaving") == 0
                         ? FLEET_VM_LEAVING
                         : FLEET_VM_LIVE;
    }
  pthread_mutex_lock (&entry->lock);
  /* fleet_list_update refuses an empty list, but a site may have no endpoint
   * VM.  */
  if (n == 0)
    entry->fleet->listed = 1;
  if (fleet_list_update (entry->fleet->fleet, vms, n, &err) == 0)
    {
      entry->fleet->listed = 1;
      update_links (entry, g_get_monotonic_time ());
      entry->fleet->list_error[0] = '\0';
    }
  else if (strcmp (entry->fleet->list_error, err.text) != 0)
    {
      g_strlcpy (entry->fleet->list_error, err.text, ERR_TEXT_BYTES);
      log_err (LOG_LEVEL_WARN, NULL, &err);
    }
  pthread_mutex_unlock (&entry->lock);
  g_free (vms);
}

static void
read_list (struct entry *entry)
{
  struct kv_value value = { 0 };
  struct json_object *list;
  struct err err;

  if (kv_list_vms (entry->kv, &value, &err) != 1)
    return;
  list = json_tokener_parse (value.data);
  if (json_object_is_type (list, json_type_array))
    apply_list (entry, list);
  json_object_put (list);
  kv_value_free (&value);
}

void *
entry_fleet_list_main (void *arg)
{
  struct entry *entry = arg;

  while (!g_atomic_int_get (&entry->stopping))
    {
      read_list (entry);
      g_usleep (VM_LIST_PERIOD_US);
    }
  return NULL;
}
