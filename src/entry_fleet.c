#include "entry.h"

#include <json-c/json.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "goldcresthatch/eng.h"
#include "goldcresthatch/log.h"

enum
{
  /* The list is read whole: a shorter period would take more of the control
     budget than it gains against a list that lags by seconds itself.  */
  LIST_PERIOD_US = 2 * G_USEC_PER_SEC,
  REFRESH_PERIOD_US = 500 * 1000, /* of the subsets */
  /* Time from a connection's start in which a report is asked for by a HELLO
     on each tick, since a HELLO to a peer not yet connected is dropped.  */
  ASK_US = 5 * G_USEC_PER_SEC,
  /* A runner whose connection was closed for lack of a report is tried again
     after this time, unless the subset has room for it at once.  */
  CONTACT_AGAIN_US = 30 * G_USEC_PER_SEC,
  CACHE_PIECES = 65536,
  CACHE_HALF_LIFE_US = 300 * G_USEC_PER_SEC,
  PREFILL_CHUNK_TOKENS = 512
};

/* A connection to a runner, also to one that is no longer listed but still
   has attempts in progress.  */
struct link
{
  uint64_t peer; /* 0 when closed */
  struct fleet_ref ref;
  char name[MSG_NAME_MAX + 1];
  char address[MSG_NAME_MAX + 1];
  unsigned attempts; /* in progress */
  int wanted;        /* in the subset of its service */
  gint64 opened_us;
  gint64 closed_us;
  gint64 reported_us;
  uint64_t running; /* by the last report, like the four that follow */
  uint64_t queued;
  enum msg_agent_state state;
  int endpoint_up;
  uint64_t cfg_generation;
  gint64 ask_until_us; /* for a report; 0 when one has arrived */
};

struct entry_fleet
{
  struct fleet *fleet;
  struct route *route;
  GPtrArray *links;    /* struct link, at most one for each ref */
  GPtrArray *by_index; /* link of the newest ref with this index, or null */
  GHashTable *by_peer;
  gint64 refreshed_us;
  int listed; /* the platform's list has been read */
  char
      list_error[ERR_TEXT_MAX]; /* logged last; empty when the list is valid */
};

static int64_t
distance_us (void *ctx, const char *from, const char *to)
{
  const struct entry *entry = ctx;

  return strcmp (from, to) == 0 ? 0 : entry->settings.zone_distance_us;
}

void
entry_fleet_open (struct entry *entry)
{
  struct route_config config = {
    .entry = entry->settings.name,
    .cache_pieces = CACHE_PIECES,
    .half_life_us = CACHE_HALF_LIFE_US,
    .prefill_role = ENG_ROLE_PREFILL,
    .decode_role = ENG_ROLE_DECODE,
    .distance_us = distance_us,
    .ctx = entry,
  };

  entry->fleet = g_new0 (struct entry_fleet, 1);
  entry->fleet->fleet = fleet_new ();
  entry->fleet->route = route_new (&config);
  entry->fleet->by_index = g_ptr_array_new ();
  entry->fleet->by_peer = g_hash_table_new (g_int64_hash, g_int64_equal);
  entry->fleet->links = g_ptr_array_new_with_free_func (g_free);
}

void
entry_fleet_close (struct entry *entry)
{
  fleet_free (entry->fleet->fleet);
  route_free (entry->fleet->route);
  g_ptr_array_free (entry->fleet->by_index, TRUE);
  g_hash_table_destroy (entry->fleet->by_peer);
  g_ptr_array_free (entry->fleet->links, TRUE);
  g_free (entry->fleet);
}

static struct link *
find_peer (struct entry *entry, uint64_t peer)
{
  return g_hash_table_lookup (entry->fleet->by_peer, &peer);
}

static struct link *
find_ref (struct entry *entry, struct fleet_ref ref)
{
  GPtrArray *links = entry->fleet->by_index;
  struct link *link;

  if (ref.index >= links->len)
    return NULL;
  link = g_ptr_array_index (links, ref.index);
  return link != NULL && link->ref.generation == ref.generation ? link : NULL;
}

static void
ask (struct link *link, gint64 now)
{
  link->ask_until_us = now + ASK_US;
}

static void
refresh_route (struct entry *entry)
{
  route_refresh (entry->fleet->route, entry->fleet->fleet,
                 entry->settings.zone);
}

void
entry_fleet_report (struct entry *entry, uint64_t peer,
                    const struct msg_report *report)
{
  const struct fleet_runner *runner;
  gint64 now = g_get_monotonic_time ();
  struct link *link;
  struct err err;
  int was_usable;

  pthread_mutex_lock (&entry->lock);
  link = find_peer (entry, peer);
  runner = link != NULL ? fleet_get (entry->fleet->fleet, link->ref) : NULL;
  /* A report under another runner's name comes from a VM that was replaced
     while the list still shows the old one.  */
  if (link != NULL && report->agent.n == strlen (link->name)
      && memcmp (report->agent.p, link->name, report->agent.n) == 0)
    {
      link->reported_us = now;
      link->running = report->running;
      link->queued = report->queued;
      link->state = (enum msg_agent_state)report->state;
      link->endpoint_up = report->endpoint_up != 0;
      link->cfg_generation = report->cfg_generation;
      link->ask_until_us = 0;
      was_usable = runner != NULL && runner->usable;
      if (runner != NULL
          && fleet_report (entry->fleet->fleet, report, now, &err) != 0)
        log_err (LOG_LEVEL_DEBUG, NULL, &err);
      if (runner != NULL && !was_usable && runner->usable)
        refresh_route (entry);
    }
  pthread_mutex_unlock (&entry->lock);
}

static void
fill_request (struct entry *entry, const struct entry_call *call,
              const struct fleet_ref *excluded, size_t n,
              struct route_request *request)
{
  const struct entry_settings *settings = &entry->settings;

  memset (request, 0, sizeof *request);
  request->service = call->service;
  request->zone = settings->zone;
  request->priority = (unsigned)call->priority;
  request->budget_us = call->deadline_us - g_get_monotonic_time ();
  request->excluded = excluded;
  request->n_excluded = n;
  if (call->prompt == NULL)
    {
      request->speed.request_us = (uint32_t)settings->request_us;
      return;
    }
  request->prompt_tokens = call->prompt->len / ENTRY_TOKEN_BYTES + 1;
  request->output_tokens = call->output_tokens;
  request->prefix = call->prefix;
  request->n_prefix = call->n_prefix;
  request->speed.prefill_us_per_token = (uint32_t)settings->prefill_us;
  request->speed.chunk_tokens = PREFILL_CHUNK_TOKENS;
  request->speed.step_us = (uint32_t)settings->step_us;
  request->speed.step_us_per_request = (uint32_t)settings->step_request_us;
}

void
entry_fleet_hash_prompt (struct entry_call *call)
{
  call->n_prefix
      = route_prefix (call->service, call->prompt->str, call->prompt->len,
                      (size_t)ROUTE_PIECE_TOKENS * ENTRY_TOKEN_BYTES,
                      call->prefix, ROUTE_PIECES_MAX);
}

/* Chooses without the runners excluded, whose lock is held.  */
static struct route_choice
choose (struct entry *entry, const struct entry_call *call,
        const struct fleet_ref *excluded, size_t n, gint64 now)
{
  struct route_request request;
  uint64_t random;

  randombytes_buf (&random, sizeof random);
  fill_request (entry, call, excluded, n, &request);
  return route_choose (entry->fleet->route, entry->fleet->fleet, &request,
                       random, now);
}

/* Counts the attempt of CALL on the runner of CHOICE and fills in OUT.  */
static int
take (struct entry *entry, const struct entry_call *call,
      const struct route_choice *choice, gint64 now, struct entry_runner *out)
{
  struct entry_fleet *fleet = entry->fleet;
  const struct fleet_runner *runner = fleet_get (fleet->fleet, choice->ref);
  struct link *link = find_ref (entry, choice->ref);
  uint64_t tokens = 0;

  if (runner == NULL || link == NULL || link->peer == 0)
    return 0;
  if (call->prompt != NULL)
    tokens = call->prompt->len / ENTRY_TOKEN_BYTES + 1 - choice->cached;
  link->attempts++;
  out->peer = link->peer;
  g_strlcpy (out->name, runner->name, sizeof out->name);
  out->incarnation = runner->incarnation;
  out->window = runner->window;
  out->first_us = choice->first_us;
  out->work = fleet_sent (fleet->fleet, choice->ref, tokens);
  route_served (fleet->route, choice->ref, call->prefix, call->n_prefix, now);
  return 1;
}

void
entry_fleet_get_supply (struct entry *entry, const char *service,
                        const struct entry_call *call,
                        struct entry_fleet_supply *out)
{
  struct entry_call brief
      = { .service = (char *)service, .deadline_us = G_MAXINT64 };
  struct fleet_ref refs[ROUTE_SUBSET];
  size_t n = route_subset (entry->fleet->route, service, refs);
  size_t i;

  memset (out, 0, sizeof *out);
  for (i = 0; i < n; i++)
    {
      const struct fleet_runner *runner
          = fleet_get (entry->fleet->fleet, refs[i]);

      if (runner == NULL || !runner->usable)
        continue;
      out->slots += MAX (runner->load.capacity, 1);
      if (runner->load.requests < MAX (runner->load.capacity, 1))
        out->room += MAX (runner->load.capacity, 1) - runner->load.requests;
    }
  out->first_us = choose (entry, call != NULL ? call : &brief, NULL, 0,
                          g_get_monotonic_time ())
                      .first_us;
}

/* Chooses a runner other than AVOID where a suspect may run.  */
static struct route_choice
choose_placed (struct entry *entry, struct entry_call *call,
               const struct link *avoid, gint64 now)
{
  struct fleet_ref excluded[ROUTE_SUBSET + 1];
  struct route_choice choice;
  size_t n = 0;

  if (avoid != NULL)
    excluded[n++] = avoid->ref;
  for (;;)
    {
      choice = choose (entry, call, excluded, n, now);
      if (choice.ref.generation == 0
          || entry_susp_place (entry, call, choice.ref) == 0)
        return choice;
      if (n == G_N_ELEMENTS (excluded))
        break;
      excluded[n++] = choice.ref;
    }
  choice.ref.generation = 0;
  return choice;
}

int
entry_fleet_choose (struct entry *entry, struct entry_call *call,
                    struct entry_runner *out)
{
  gint64 now = g_get_monotonic_time ();
  struct route_choice choice;
  struct link *last;
  int found;

  pthread_mutex_lock (&entry->lock);
  last = find_peer (entry, call->last_peer);
  choice = choose_placed (entry, call, last, now);
  if (choice.ref.generation == 0 && last != NULL)
    choice = choose_placed (entry, call, NULL, now);
  found = choice.ref.generation != 0 && take (entry, call, &choice, now, out);
  if (!found)
    entry_susp_release (entry, call, 0);
  pthread_mutex_unlock (&entry->lock);
  return found;
}

void
entry_fleet_first_token (struct entry *entry, struct fleet_work *work)
{
  pthread_mutex_lock (&entry->lock);
  fleet_first_token (entry->fleet->fleet, work);
  pthread_mutex_unlock (&entry->lock);
}

void
entry_fleet_release (struct entry *entry, uint64_t peer,
                     struct entry_call *call, const struct msg_end *end)
{
  struct link *link;

  pthread_mutex_lock (&entry->lock);
  link = find_peer (entry, peer);
  if (link != NULL && link->attempts > 0)
    link->attempts--;
  fleet_ended (entry->fleet->fleet, &call->work, end);
  entry_susp_release (entry, call, 0);
  entry_admit_freed (entry);
  pthread_mutex_unlock (&entry->lock);
}

void
entry_fleet_fault (struct entry *entry, uint64_t peer)
{
  struct link *link;

  pthread_mutex_lock (&entry->lock);
  link = find_peer (entry, peer);
  if (link != NULL)
    {
      fleet_fault (entry->fleet->fleet, link->ref);
      ask (link, g_get_monotonic_time ());
    }
  pthread_mutex_unlock (&entry->lock);
}

int
entry_fleet_alive (struct entry *entry, uint64_t peer, gint64 now_us)
{
  const struct fleet_runner *runner;
  struct link *link;
  int alive = 0;

  pthread_mutex_lock (&entry->lock);
  link = find_peer (entry, peer);
  runner = link != NULL ? fleet_get (entry->fleet->fleet, link->ref) : NULL;
  if (runner != NULL)
    alive = !runner->silent || runner->kept;
  else if (link != NULL)
    alive = now_us - link->reported_us < FLEET_SILENCE_US;
  pthread_mutex_unlock (&entry->lock);
  return alive;
}

void
entry_fleet_name (struct entry *entry, uint64_t peer, char *name, size_t size)
{
  struct link *link;

  pthread_mutex_lock (&entry->lock);
  link = find_peer (entry, peer);
  g_strlcpy (name, link != NULL ? link->name : "", size);
  pthread_mutex_unlock (&entry->lock);
}

int
entry_fleet_knows (struct entry *entry, const char *service)
{
  struct fleet *fleet = entry->fleet->fleet;
  gint64 now = g_get_monotonic_time ();
  const struct link *link;
  int known = 0;
  size_t i;

  pthread_mutex_lock (&entry->lock);
  for (i = 0; i < fleet_slots (fleet) && !known; i++)
    {
      const struct fleet_runner *runner = fleet_at (fleet, i);

      if (runner == NULL)
        continue;
      link = find_ref (entry, runner->ref);
      /* A call is not refused as invalid while the service of a runner is
         still being asked for.  */
      known = strcmp (runner->service, service) == 0
              || (runner->service[0] == '\0' && link != NULL
                  && now < link->ask_until_us);
    }
  pthread_mutex_unlock (&entry->lock);
  return known;
}

int
entry_fleet_settled (struct entry *entry)
{
  struct entry_fleet *fleet = entry->fleet;
  gint64 now = g_get_monotonic_time ();
  int settled;
  guint i;

  pthread_mutex_lock (&entry->lock);
  settled = fleet->listed;
  for (i = 0; i < fleet->links->len && settled; i++)
    {
      const struct link *link = g_ptr_array_index (fleet->links, i);

      settled = link->peer == 0 || link->reported_us != 0
                || now >= link->ask_until_us;
    }
  pthread_mutex_unlock (&entry->lock);
  return settled;
}

uint64_t
entry_fleet_peer (struct entry *entry, const char *name)
{
  GPtrArray *links = entry->fleet->links;
  uint64_t peer = 0;
  guint i;

  pthread_mutex_lock (&entry->lock);
  for (i = 0; i < links->len && peer == 0; i++)
    {
      const struct link *link = g_ptr_array_index (links, i);

      if (strcmp (link->name, name) == 0)
        peer = link->peer;
    }
  pthread_mutex_unlock (&entry->lock);
  return peer;
}

void
entry_fleet_withhold (struct entry *entry, const struct cfg_snapshot *snap)
{
  const char **names = g_new0 (const char *, snap->runner_count + 1);
  size_t n = 0;
  size_t i;

  for (i = 0; i < snap->runner_count; i++)
    if (snap->runners[i].drain || snap->runners[i].withdraw)
      names[n++] = snap->runners[i].name;
  pthread_mutex_lock (&entry->lock);
  fleet_withhold (entry->fleet->fleet, names, n);
  refresh_route (entry);
  pthread_mutex_unlock (&entry->lock);
  g_free (names);
}

size_t
entry_fleet_size (struct entry *entry)
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
entry_fleet_each (struct entry *entry,
                  void (*visit) (void *ctx, const char *service, int usable),
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

/* Sends HELLO to every runner, or only to those whose report is awaited; the
   entry's lock is held.  */
static void
hello (struct entry *entry, int all, gint64 now)
{
  GPtrArray *links = entry->fleet->links;
  struct msg msg = { .type = MSG_HELLO };
  guint i;

  msg.u.hello.entry = msg_text (entry->settings.name);
  msg.u.hello.incarnation = entry->incarnation;
  msg.u.hello.cfg_generation = entry_config_generation (entry);
  for (i = 0; i < links->len; i++)
    {
      struct link *link = g_ptr_array_index (links, i);

      if (link->peer != 0 && (all || now < link->ask_until_us))
        net_send (entry->net, link->peer, &msg, NULL);
    }
}

void
entry_fleet_hello (struct entry *entry)
{
  pthread_mutex_lock (&entry->lock);
  hello (entry, 1, g_get_monotonic_time ());
  pthread_mutex_unlock (&entry->lock);
}

/* Makes a link for each runner listed; the entry's lock is held.  */
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

      if (runner == NULL || find_ref (entry, runner->ref) != NULL)
        continue;
      link = g_new0 (struct link, 1);
      link->ref = runner->ref;
      g_strlcpy (link->name, runner->name, sizeof link->name);
      g_strlcpy (link->address, runner->address, sizeof link->address);
      link->closed_us = -(gint64)CONTACT_AGAIN_US;
      g_ptr_array_add (entry->fleet->links, link);
      g_ptr_array_index (entry->fleet->by_index, i) = link;
    }
}

/* Whether RUNNER may turn out to be usable, so that it takes a place in the
   subset before the ones that are known not to be.  */
static int
is_fit (void *ctx, const struct fleet_runner *runner)
{
  const struct link *link = find_ref (ctx, runner->ref);
  gint64 now = g_get_monotonic_time ();

  if (runner->usable)
    return 1;
  if (link == NULL)
    return 0;
  if (link->peer == 0)
    return now - link->closed_us >= CONTACT_AGAIN_US;
  return now - link->opened_us < FLEET_SILENCE_US;
}

static void
close_link (struct entry *entry, struct link *link, gint64 now)
{
  net_disconnect (entry->net, link->peer);
  g_hash_table_remove (entry->fleet->by_peer, &link->peer);
  link->peer = 0;
  link->closed_us = now;
  fleet_unfollow (entry->fleet->fleet, link->ref);
}

static void
drop_link (struct entry *entry, guint at)
{
  struct link *link = g_ptr_array_index (entry->fleet->links, at);

  if (find_ref (entry, link->ref) == link)
    g_ptr_array_index (entry->fleet->by_index, link->ref.index) = NULL;
  g_ptr_array_remove_index_fast (entry->fleet->links, at);
}

/* Opens the links that are wanted, closes the others once they are idle, and
   drops those of runners no longer listed.  */
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
          ask (link, now);
        }
      else if (!link->wanted && link->peer != 0 && link->attempts == 0)
        close_link (entry, link, now);
      if (listed || link->peer != 0)
        i++;
      else
        drop_link (entry, i);
    }
}

/* Follows the list and the subsets; the entry's lock is held.  */
static void
refresh (struct entry *entry, gint64 now)
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
  n = route_contacts (fleet->route, fleet->fleet, entry->settings.zone, is_fit,
                      entry, refs);
  for (i = 0; i < n; i++)
    find_ref (entry, refs[i])->wanted = 1;
  g_free (refs);
  apply_links (entry, now);
  refresh_route (entry);
}

void
entry_fleet_tick (struct entry *entry, gint64 now_us)
{
  pthread_mutex_lock (&entry->lock);
  fleet_tick (entry->fleet->fleet, now_us);
  if (now_us - entry->fleet->refreshed_us >= REFRESH_PERIOD_US)
    refresh (entry, now_us);
  hello (entry, 0, now_us);
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
take_list (struct entry *entry, struct json_object *list)
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
  /* An empty list is refused below, yet a site may have no endpoint VM.  */
  entry->fleet->listed = 1;
  if (fleet_list (entry->fleet->fleet, vms, n, &err) == 0)
    {
      refresh (entry, g_get_monotonic_time ());
      entry->fleet->list_error[0] = '\0';
    }
  else if (strcmp (entry->fleet->list_error, err.text) != 0)
    {
      g_strlcpy (entry->fleet->list_error, err.text, ERR_TEXT_MAX);
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

  if (kv_vms (entry->kv, &value, &err) != 1)
    return;
  list = json_tokener_parse (value.data);
  if (json_object_is_type (list, json_type_array))
    take_list (entry, list);
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
