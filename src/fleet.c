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
  struct fleet_runner pub;
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
  int64_t ticked_us;
  int64_t base_us; /* earliest start of a report time-out */
  int ticked;
  int keeping; /* self-preservation is on */
};

struct fleet *
fleet_new (void)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);

  fleet->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, 0);
  fleet->withheld = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, 0);
  fleet->base_us = INT64_MIN / 2;
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
find (const struct fleet *fleet, const char *name)
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
  if (!slot->in_use || slot->pub.ref.generation != ref.generation)
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
  slot->pub.usable = is_member (slot) && slot->serving
                     && (!slot->pub.silent || slot->pub.kept);
}

static int
check_list (const struct fleet_vm *vms, size_t n, GHashTable *seen,
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
      if (!g_hash_table_add (seen, (gpointer)vms[i].name))
        return err_set (err, ERR_INVALID, "list", vms[i].name,
                        "element %zu of the VM list: the name is listed twice",
                        i + 1);
    }
  return 0;
}

static void
remove_slot (struct fleet *fleet, struct slot *slot)
{
  g_hash_table_remove (fleet->by_name, slot->pub.name);
  slot->in_use = 0;
  slot->pub.usable = 0;
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
  generation = slot->pub.ref.generation + 1;
  memset (slot, 0, sizeof *slot);
  slot->in_use = 1;
  slot->pub.ref.index = (uint32_t)*hint;
  slot->pub.ref.generation = generation ? generation : 1;
  g_strlcpy (slot->pub.name, vm->name, sizeof slot->pub.name);
  g_strlcpy (slot->pub.address, vm->address, sizeof slot->pub.address);
  slot->withheld = g_hash_table_contains (fleet->withheld, vm->name);
  g_hash_table_insert (fleet->by_name, g_strdup (vm->name),
                       GSIZE_TO_POINTER (*hint + 1));
  return slot;
}

int
fleet_list_update (struct fleet *fleet, const struct fleet_vm *vms, size_t n,
                   struct err *err)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  size_t hint = 0;
  size_t i;
  int status = check_list (vms, n, seen, err);

  if (status < 0)
    goto out;
  for (i = 0; i < fleet->n_slots; i++)
    if (fleet->slots[i].in_use
        && !g_hash_table_contains (seen, fleet->slots[i].pub.name))
      remove_slot (fleet, &fleet->slots[i]);
  for (i = 0; i < n; i++)
    {
      struct slot *slot = find (fleet, vms[i].name);

      /* A new address means that the VM was replaced: the load and the reports
         of the old one do not apply.  */
      if (slot && strcmp (slot->pub.address, vms[i].address) != 0)
        {
          remove_slot (fleet, slot);
          hint = 0;
          slot = NULL;
        }
      if (!slot)
        slot = add_slot (fleet, &vms[i], &hint);
      g_strlcpy (slot->pub.zone, vms[i].zone, sizeof slot->pub.zone);
      slot->listed_leaving = vms[i].state == FLEET_VM_LEAVING;
      if (slot->listed_leaving)
        slot->reported = 0;
      update_usable (slot);
    }
out:
  g_hash_table_destroy (seen);
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
      slot->withheld = g_hash_table_contains (fleet->withheld, slot->pub.name);
      update_usable (slot);
    }
}

static void
new_incarnation (struct slot *slot, uint64_t incarnation)
{
  slot->old_incarnation = slot->pub.incarnation;
  slot->pub.incarnation = incarnation;
  slot->pub.window = 0;
  slot->reported_leaving = 0;
  slot->pub.outstanding = 0;
  slot->own_prompt_tokens = 0;
}

int
fleet_report (struct fleet *fleet, const struct msg_report *report,
              int64_t now, struct err *err)
{
  char name[MSG_NAME_MAX_BYTES + 1];
  struct slot *slot;

  msg_str_copy (name, sizeof name, report->agent);
  slot = find (fleet, name);
  if (!slot)
    return err_set (err, ERR_NOT_FOUND, "report", name,
                    "the agent is not in the VM list");
  if (slot->old_incarnation && report->incarnation == slot->old_incarnation)
    return err_set (err, ERR_CONFLICT, "report", name,
                    "report of the earlier incarnation %016llx ignored; the "
                    "current one is %016llx",
                    (unsigned long long)report->incarnation,
                    (unsigned long long)slot->pub.incarnation);
  if (report->incarnation != slot->pub.incarnation)
    new_incarnation (slot, report->incarnation);
  if (report->state == MSG_AGENT_LEAVING)
    slot->reported_leaving = 1;
  if (report->window < slot->pub.window)
    {
      update_usable (slot);
      return err_set (err, ERR_CONFLICT, "report", name,
                      "report of the earlier window %llu ignored; the current "
                      "one is %llu",
                      (unsigned long long)report->window,
                      (unsigned long long)slot->pub.window);
    }
  msg_str_copy (slot->pub.service, sizeof slot->pub.service, report->service);
  slot->pub.window = report->window;
  slot->pub.role = report->role;
  /* The report does not include requests on their way to the agent.  */
  slot->pub.load.requests
      = MAX (report->running + report->queued, slot->pub.outstanding);
  /* A delayed report does not include the prompts sent since.  */
  slot->pub.load.prompt_tokens
      = MAX (report->prompt_tokens, slot->own_prompt_tokens);
  slot->pub.load.capacity = report->capacity;
  slot->serving
      = report->state == MSG_AGENT_SERVING && report->endpoint_up != 0;
  slot->reported = !slot->listed_leaving;
  slot->reported_us = now;
  slot->pub.silent = 0;
  slot->pub.kept = 0;
  update_usable (slot);
  return 0;
}

static void
judge_silence (struct fleet *fleet, struct slot *slot, int64_t now)
{
  int64_t since = MAX (slot->reported_us, fleet->base_us);

  if (slot->pub.silent || now - since <= FLEET_REPORT_TIMEOUT_US)
    return;
  slot->pub.silent = 1;
  slot->silent_since_us = now;
}

struct census
{
  size_t reporting;
  size_t
      fallen; /* silent for at most FLEET_REPORT_TIMEOUT_US, or kept usable */
};

static struct census
take_census (const struct fleet *fleet, int64_t now)
{
  struct census census = { 0, 0 };
  size_t i;

  for (i = 0; i < fleet->n_slots; i++)
    {
      const struct slot *slot = &fleet->slots[i];

      if (!is_member (slot))
        continue;
      if (!slot->pub.silent)
        census.reporting++;
      else if (slot->pub.kept
               || now - slot->silent_since_us <= FLEET_REPORT_TIMEOUT_US)
        census.fallen++;
    }
  return census;
}

/* Ends self-preservation and restarts the report time-out of the runners kept
   usable by it.  */
static void
stop_keeping (struct fleet *fleet, int64_t now)
{
  size_t i;

  fleet->keeping = 0;
  for (i = 0; i < fleet->n_slots; i++)
    {
      struct slot *slot = &fleet->slots[i];

      if (!slot->pub.kept)
        continue;
      slot->pub.kept = 0;
      slot->pub.silent = 0;
      slot->reported_us = now;
    }
}

void
fleet_tick (struct fleet *fleet, int64_t now)
{
  struct census census;
  size_t i;

  if (fleet->ticked && now - fleet->ticked_us > FLEET_TICK_GAP_MAX_US)
    fleet->base_us = now;
  fleet->ticked = 1;
  fleet->ticked_us = now;
  for (i = 0; i < fleet->n_slots; i++)
    if (fleet->slots[i].in_use)
      judge_silence (fleet, &fleet->slots[i], now);
  census = take_census (fleet, now);
  if (census.fallen > census.reporting)
    fleet->keeping = 1;
  else if (fleet->keeping && census.reporting > census.fallen)
    stop_keeping (fleet, now);
  for (i = 0; i < fleet->n_slots; i++)
    {
      struct slot *slot = &fleet->slots[i];

      if (!slot->in_use)
        continue;
      if (fleet->keeping && slot->pub.silent
          && now - slot->silent_since_us <= FLEET_REPORT_TIMEOUT_US)
        slot->pub.kept = 1;
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
  slot->pub.outstanding++;
  slot->pub.load.requests++;
  slot->pub.load.prompt_tokens += prompt_tokens;
  slot->own_prompt_tokens += prompt_tokens;
  work.ref = ref;
  work.incarnation = slot->pub.incarnation;
  work.prompt_tokens = prompt_tokens;
  return work;
}

static struct slot *
slot_of_work (struct fleet *fleet, const struct fleet_work *work)
{
  struct slot *slot = slot_of (fleet, work->ref);

  return slot && slot->pub.incarnation == work->incarnation ? slot : NULL;
}

void
fleet_first_token (struct fleet *fleet, struct fleet_work *work)
{
  struct slot *slot = slot_of_work (fleet, work);

  if (slot)
    {
      slot->pub.load.prompt_tokens
          -= MIN (slot->pub.load.prompt_tokens, work->prompt_tokens);
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
  slot->pub.outstanding -= slot->pub.outstanding > 0;
  slot->pub.load.requests -= slot->pub.load.requests > 0;
  if (end)
    slot->pub.load.requests = end->running + end->queued;
  /* END does not include requests on their way to the agent.  */
  slot->pub.load.requests
      = MAX (slot->pub.load.requests, slot->pub.outstanding);
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

  return slot ? &slot->pub : NULL;
}

const struct fleet_runner *
fleet_find (const struct fleet *fleet, const char *name)
{
  const struct slot *slot = find (fleet, name);

  return slot ? &slot->pub : NULL;
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
  return &fleet->slots[slot].pub;
}

int
fleet_self_preservation (const struct fleet *fleet)
{
  return fleet->keeping;
}
