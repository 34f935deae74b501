#include "entry_fleet.h"

#include <json-c/json.h>

size_t
entry_fleet_count (struct entry *entry)
{
  size_t count = 0;
  size_t i;

  pthread_mutex_lock (&entry->lock);
  for (i = 0; i < fleet_slots (entry->fleet->fleet); i++)
    count += fleet_at (entry->fleet->fleet, i) != NULL;
  pthread_mutex_unlock (&entry->lock);
  return count;
}

void
entry_fleet_for_each (struct entry *entry,
                      void (*visit) (void *ctx, const char *service,
                                     int usable),
                      void *ctx)
{
  const struct fleet_runner *runner;
  size_t i;

  pthread_mutex_lock (&entry->lock);
  for (i = 0; i < fleet_slots (entry->fleet->fleet); i++)
    {
      runner = fleet_at (entry->fleet->fleet, i);
      if (runner != NULL && runner->service[0] != '\0')
        visit (ctx, runner->service, runner->usable);
    }
  pthread_mutex_unlock (&entry->lock);
}

static const char *
state_name (const struct link *link, const struct fleet_runner *runner,
            const struct cfg_snapshot *snap)
{
  const struct cfg_runner *listed = cfg_runner_find (snap, runner->name);

  if (link->reported_us == 0 || runner->silent)
    return "silent";
  if (link->state == MSG_AGENT_LEAVING)
    return "leaving";
  if (!link->endpoint_up)
    return "down";
  if (listed != NULL && (listed->drain || listed->withdraw))
    return "withheld";
  if (link->state == MSG_AGENT_DRAINING)
    return "draining";
  return runner->usable ? "serving" : "leaving";
}

static void
add_number (struct json_object *object, const char *name, uint64_t number)
{
  json_object_object_add (object, name, json_object_new_uint64 (number));
}

void
entry_fleet_status (struct entry *entry, struct json_object *list)
{
  struct cfg_snapshot *snap = entry_config_get (entry);
  GPtrArray *links = entry->fleet->links;
  guint i;

  pthread_mutex_lock (&entry->lock);
  for (i = 0; i < links->len; i++)
    {
      struct link *link = g_ptr_array_index (links, i);
      const struct fleet_runner *runner
          = fleet_get (entry->fleet->fleet, link->ref);
      struct json_object *item;

      if (runner == NULL)
        continue;
      item = json_object_new_object ();
      json_object_object_add (item, "name",
                              json_object_new_string (runner->name));
      json_object_object_add (item, "service",
                              json_object_new_string (runner->service));
      json_object_object_add (
          item, "state",
          json_object_new_string (state_name (link, runner, snap)));
      add_number (item, "running", link->running);
      add_number (item, "queued", link->queued);
      add_number (item, "capacity", runner->load.capacity);
      add_number (item, "own", runner->outstanding);
      add_number (item, "generation", link->cfg_generation);
      json_object_array_add (list, item);
    }
  pthread_mutex_unlock (&entry->lock);
  cfg_snapshot_unref (snap);
}
