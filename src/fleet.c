#include "goldcresthatch/fleet.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "goldcresthatch/settings.h"

enum
{
  INITIAL_SLOTS = 16
};

struct slot
{
  struct fleet_runner runner;
  int in_use;
  int listed_leaving;
  int withheld;
  int reported_leaving;       /* reported by the current incarnation */
  int reported;               /* since the list last showed it as leaving */
  int serving;                /* by the last report, with the endpoint up */
  uint64_t own_prompt_tokens; /* sent by this entry, not yet prefilled */
  uint64_t old_incarnation;   /* the previous one; its reports are refused */
  int64_t reported_us;
  int64_t silent_since_us; /* when the runner became silent */
};

struct fleet
{
  struct slot *slots;
  size_t n_slots;
  GHashTable *by_name; /* name -> slot number + 1 */
  GHashTable *withheld;
  int64_t last_tick_us;
  int64_t timeout_base_us; /* earliest start of a report time-out */
  int has_ticked;
  int self_preservation;
};

struct fleet *
fleet_new (void)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);

  fleet->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, 0);
  fleet->withheld = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, 0);
  fleet->timeout_base_us = INT64_MIN / 2;
  return fleet;
}

void
fleet_free (struct fleet *fleet)
{
  if (!fleet)
    return;
  g_hash_table_destroy (fleet->by_name);
  g_hash_table_destroy (fleet->withheld);
  g_free (fleet->slots);
  g_free (fleet);
}

static struct slot *
find_slot (const struct fleet *fleet, const char *name)
{
  size_t at = GPOINTER_TO_SIZE (g_hash_table_lookup (fleet->by_name, name));

  return at ? &fleet->slots[at - 1] : NULL;
}

static struct slot *
slot_of (const struct fleet *fleet, struct fleet_ref ref)
{
  struct slot *slot;

  if (!ref.generation || ref.index >= fleet->n_slots)
    return NULL;
  slot = &fleet->slots[ref.index];
  if (!slot->in_use || slot->runner.ref.generation != ref.generation)
    return NULL;
  return slot;
}

/* Returns nonzero when SLOT is usable but for silence or the endpoint's
   state.  */
static int
is_member (const struct slot *slot)
{
  return slot->in_use && slot->reported && !slot->listed_leaving
         && !slot->withheld && !slot->reported_leaving;
}

static void
update_usable (struct slot *slot)
{
  slot->runner.usable = is_member (slot) && slot->serving
                        && (!slot->runner.silent || slot->runner.kept);
}

static int
check_list (const struct fleet_vm *vms, size_t n, GHashTable *listed,
            struct err *err)
{
  size_t i;

  if (!n)
    return err_set (err, ERR_INVALID, "list", NULL, "the VM list is empty");
  if (n > FLEET_RUNNERS_MAX)
    return err_set (err, ERR_LIMIT, "list", NULL,
                    "%zu VMs listed, at most %d supported", n,
                    FLEET_RUNNERS_MAX);
  for (i = 0; i < n; i++)
    {
      size_t length = strlen (vms[i].name);

      if (!length || length > MSG_NAME_MAX_BYTES
          || strlen (vms[i].zone) > MSG_NAME_MAX_BYTES)
        return err_set (
            err, ERR_INVALID, "list", NULL,
            "element %zu of the VM list: the name must have 1 to %d "
            "bytes and the zone at most %d, found %zu and %zu",
            i + 1, MSG_NAME_MAX_BYTES, MSG_NAME_MAX_BYTES, length,
            strlen (vms[i].zone));
      if (!settings_is_address (vms[i].address))
        return err_set (err, ERR_INVALID, "list", vms[i].name,
                        "element %zu of the VM list: expected the address as "
                        "IP:PORT, found '%.64s'",
                        i + 1, vms[i].address);
      if (!g_hash_table_add (listed, (gpointer)vms[i].name))
        return err_set (err, ERR_INVALID, "list", vms[i].name,
                        "element %zu of the VM list: the name is listed twice",
                        i + 1);
    }
  return 0;
}

static void
remove_slot (struct fleet *fleet, struct slot *slot)
{
  g_hash_table_remove (fleet->by_name, slot->runner.name);
  slot->in_use = 0;
  slot->runner.usable = 0;
}

static struct slot *
add_slot (struct fleet *fleet, const struct fleet_vm *vm, size_t *hint)
{
  uint32_t generation;
  struct slot *slot;

  while (*hint < fleet->n_slots && fleet->slots[*hint].in_use)
    (*hint)++;
  if (*hint == fleet->n_slots)
    {
      size_t n = fleet->n_slots ? 2 * fleet->n_slots : INITIAL_SLOTS;

      fleet->slots = g_renew (struct slot, fleet->slots, n);
      memset (fleet->slots + fleet->n_slots, 0,
              (n - fleet->n_slots) * sizeof *fleet->slots);
      fleet->n_slots = n;
    }
  slot = &fleet->slots[*hint];
  generation = slot->runner.ref.generation + 1;
  memset (slot, 0, sizeof *slot);
  slot->in_use = 1;
  slot->runner.ref.index = (uint32_t)*hint;
  slot->runner.ref.generation = generation ? generation : 1;
  g_strlcpy (slot->runner.name, vm->name, sizeof slot->runner.name);
  g_strlcpy (slot->runner.address, vm->address, sizeof slot->runner.address);
  slot->withheld = g_hash_table_contains (fleet->withheld, vm->name);
  g_hash_table_insert (fleet->by_name, g_strdup (vm->name),
                       GSIZE_TO_POINTER (*hint + 1));
  return slot;
}

int
fleet_list_update (struct fleet *fleet, const struct fleet_vm *vms, size_t n,
                   struct err *err)
{
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  size_t hint = 0;
  size_t i;
  int status = check_list (vms, n, listed, err);

  if (status < 0)
    goto out;
  for (i = 0; i < fleet->n_slots; i++)
    if (fleet->slots[i].in_use
        && !g_hash_table_contains (listed, fleet->slots[i].runner.name))
      remove_slot (fleet, &fleet->slots[i]);
  for (i = 0; i < n; i++)
    {
      struct slot *slot = find_slot (fleet, vms[i].name);

      /* A new address means that the VM was replaced: the load and the reports
         of the old one do not apply.  */
      if (slot && strcmp (slot->runner.address, vms[i].address) != 0)
        {
          remove_slot (fleet, slot);
          hint = 0;
          slot = NULL;
        }
      if (!slot)
        slot = add_slot (fleet, &vms[i], &hint);
      g_strlcpy (slot->runner.zone, vms[i].zone, sizeof slot->runner.zone);
      slot->listed_leaving = vms[i].state == FLEET_VM_LEAVING;
      if (slot->listed_leaving)
        slot->reported = 0;
      update_usable (slot);
    }
out:
  g_hash_table_destroy (listed);
  return status;
}

void
fleet_withhold (struct fleet *fleet, const char *const *names, size_t n)
{
  size_t i;

  g_hash_table_remove_all (fleet->withheld);
  for (i = 0; i < n; i++)
    g_hash_table_add (fleet->withheld, g_strdup (names[i]));
  for (i = 0; i < fleet->n_slots; i++)
    {
      struct slot *slot = &fleet->slots[i];

      if (!slot->in_use)
        continue;
      slot->withheld
          = g_hash_table_contains (fleet->withheld, slot->runner.name);
      update_usable (slot);
    }
}

static void
new_incarnation (struct slot *slot, uint64_t incarnation)
{
  slot->old_incarnation = slot->runner.incarnation;
  slot->runner.incarnation = incarnation;
  slot->runner.window = 0;
  slot->reported_leaving = 0;
  slot->runner.outstanding = 0;
  slot->own_prompt_tokens = 0;
}

int
fleet_report (struct fleet *fleet, const struct msg_report *report,
              int64_t now, struct err *err)
{
  char name[MSG_NAME_MAX_BYTES + 1];
  struct slot *slot;

  msg_str_copy (name, sizeof name, report->agent);
  slot = find_slot (fleet, name);
  if (!slot)
    return err_set (err, ERR_NOT_FOUND, "report", name,
                    "the agent is not in the VM list");
  if (slot->old_incarnation && report->incarnation == slot->old_incarnation)
    return err_set (err, ERR_CONFLICT, "report", name,
                    "report of the earlier incarnation %016llx ignored; the "
                    "current one is %016llx",
                    (unsigned long long)report->incarnation,
                    (unsigned long long)slot->runner.incarnation);
  if (report->incarnation != slot->runner.incarnation)
    new_incarnation (slot, report->incarnation);
  if (report->state == MSG_AGENT_LEAVING)
    slot->reported_leaving = 1;
  if (report->window < slot->runner.window)
    {
      update_usable (slot);
      return err_set (err, ERR_CONFLICT, "report", name,
                      "report of the earlier window %llu ignored; the current "
                      "one is %llu",
                      (unsigned long long)report->window,
                      (unsigned long long)slot->runner.window);
    }
  msg_str_copy (slot->runner.service, sizeof slot->runner.service,
                report->service);
  slot->runner.window = report->window;
  slot->runner.role = report->role;
  /* The report does not include requests on their way to the agent.  */
  slot->runner.load.requests
      = MAX (report->running + report->queued, slot->runner.outstanding);
  /* A delayed report does not include the prompts sent since.  */
  slot->runner.load.prompt_tokens
      = MAX (report->prompt_tokens, slot->own_prompt_tokens);
  slot->runner.load.capacity = report->capacity;
  slot->serving
      = report->state == MSG_AGENT_SERVING && report->endpoint_up != 0;
  slot->reported = !slot->listed_leaving;
  slot->reported_us = now;
  slot->runner.silent = 0;
  slot->runner.kept = 0;
  update_usable (slot);
  return 0;
}

static void
detect_silence (struct fleet *fleet, struct slot *slot, int64_t now)
{
  int64_t since = MAX (slot->reported_us, fleet->timeout_base_us);

  if (slot->runner.silent || now - since <= FLEET_REPORT_TIMEOUT_US)
    return;
  slot->runner.silent = 1;
  slot->silent_since_us = now;
}

struct member_counts
{
  size_t reporting;
  size_t newly_silent; /* silent for at most FLEET_REPORT_TIMEOUT_US, or kept
                          usable */
};

static struct member_counts
count_members (const struct fleet *fleet, int64_t now)
{
  struct member_counts member_counts = { 0, 0 };
  size_t i;

  for (i = 0; i < fleet->n_slots; i++)
    {
      const struct slot *slot = &fleet->slots[i];

      if (!is_member (slot))
        continue;
      if (!slot->runner.silent)
        member_counts.reporting++;
      else if (slot->runner.kept
               || now - slot->silent_since_us <= FLEET_REPORT_TIMEOUT_US)
        member_counts.newly_silent++;
    }
  return member_counts;
}

/* Ends self-preservation and restarts the report time-out of the runners kept
   usable by it.  */
static void
end_self_preservation (struct fleet *fleet, int64_t now)
{
  size_t i;

  fleet->self_preservation = 0;
  for (i = 0; i < fleet->n_slots; i++)
    {
      struct slot *slot = &fleet->slots[i];

      if (!slot->runner.kept)
        continue;
      slot->runner.kept = 0;
      slot->runner.silent = 0;
      slot->reported_us = now;
    }
}

void
fleet_tick (struct fleet *fleet, int64_t now)
{
  struct member_counts member_counts;
  size_t i;

  if (fleet->has_ticked && now - fleet->last_tick_us > FLEET_TICK_GAP_MAX_US)
    fleet->timeout_base_us = now;
  fleet->has_ticked = 1;
  fleet->last_tick_us = now;
  for (i = 0; i < fleet->n_slots; i++)
    if (fleet->slots[i].in_use)
      detect_silence (fleet, &fleet->slots[i], now);
  member_counts = count_members (fleet, now);
  if (member_counts.newly_silent > member_counts.reporting)
    fleet->self_preservation = 1;
  else if (fleet->self_preservation
           && member_counts.reporting > member_counts.newly_silent)
    end_self_preservation (fleet, now);
  for (i = 0; i < fleet->n_slots; i++)
    {
      struct slot *slot = &fleet->slots[i];

      if (!slot->in_use)
        continue;
      if (fleet->self_preservation && slot->runner.silent
          && now - slot->silent_since_us <= FLEET_REPORT_TIMEOUT_US)
        slot->runner.kept = 1;
      update_usable (slot);
    }
}

struct fleet_work
fleet_sent (struct fleet *fleet, struct fleet_ref ref, uint64_t prompt_tokens)
{
  struct fleet_work work = { { 0, 0 }, 0, 0 };
  struct slot *slot = slot_of (fleet, ref);

  if (!slot)
    return work;
  slot->runner.outstanding++;
  slot->runner.load.requests++;
  slot->runner.load.prompt_tokens += prompt_tokens;
  slot->own_prompt_tokens += prompt_tokens;
  work.ref = ref;
  work.incarnation = slot->runner.incarnation;
  work.prompt_tokens = prompt_tokens;
  return work;
}

static struct slot *
slot_of_work (struct fleet *fleet, const struct fleet_work *work)
{
  struct slot *slot = slot_of (fleet, work->ref);

  return slot && slot->runner.incarnation == work->incarnation ? slot : NULL;
}

void
fleet_first_token (struct fleet *fleet, struct fleet_work *work)
{
  struct slot *slot = slot_of_work (fleet, work);

  if (slot)
    {
      slot->runner.load.prompt_tokens
          -= MIN (slot->runner.load.prompt_tokens, work->prompt_tokens);
      slot->own_prompt_tokens
          -= MIN (slot->own_prompt_tokens, work->prompt_tokens);
    }
  work->prompt_tokens = 0;
}

void
fleet_ended (struct fleet *fleet, struct fleet_work *work,
             const struct msg_end *end)
{
  struct slot *slot = slot_of_work (fleet, work);

  fleet_first_token (fleet, work);
  work->ref.generation = 0;
  if (!slot)
    return;
  slot->runner.outstanding -= slot->runner.outstanding > 0;
  slot->runner.load.requests -= slot->runner.load.requests > 0;
  if (end)
    slot->runner.load.requests = end->running + end->queued;
  /* END does not include requests on their way to the agent.  */
  slot->runner.load.requests
      = MAX (slot->runner.load.requests, slot->runner.outstanding);
}

void
fleet_mark_failed (struct fleet *fleet, struct fleet_ref ref)
{
  struct slot *slot = slot_of (fleet, ref);

  if (!slot)
    return;
  slot->serving = 0;
  update_usable (slot);
}

void
fleet_disconnected (struct fleet *fleet, struct fleet_ref ref)
{
  struct slot *slot = slot_of (fleet, ref);

  if (!slot)
    return;
  slot->reported = 0;
  update_usable (slot);
}

const struct fleet_runner *
fleet_get (const struct fleet *fleet, struct fleet_ref ref)
{
  const struct slot *slot = slot_of (fleet, ref);

  return slot ? &slot->runner : NULL;
}

const struct fleet_runner *
fleet_find (const struct fleet *fleet, const char *name)
{
  const struct slot *slot = find_slot (fleet, name);

  return slot ? &slot->runner : NULL;
}

size_t
fleet_slots (const struct fleet *fleet)
{
  return fleet->n_slots;
}

const struct fleet_runner *
fleet_at (const struct fleet *fleet, size_t slot)
{
  if (slot >= fleet->n_slots || !fleet->slots[slot].in_use)
    return NULL;
  return &fleet->slots[slot].runner;
}

int
fleet_self_preservation (const struct fleet *fleet)
{
  return fleet->self_preservation;
}
