/* Streams go on only at the software version that began them.

   This gateway knows the versions of the streams that it began.  Those of
   other gateways, and its own from before a restart, it asks for first at the
   gateways that were told of them when they began: that works also before the
   record is in the store, and while the store can't be read.  All gateways may
   end at the same moment, so records are kept in the store, too: one for each
   version that serves or has, and, while a service has several, one for each
   of its streams.  Where the records don't tell, the stream isn't run.  */
#include <string.h>
#include <xxhash.h>

#include "fleetsum.h"
#include "gw_call.h"
#include "origin.h"
#include "originfeed.h"

#define PREFIX "resume/"
#define BUILD_PREFIX PREFIX "b/"
#define STREAM_PREFIX PREFIX "s/"

enum
{
  TICK_MS = 100,
  /* Between two writes of each gateway; all together write some 100 times a
     second at most, a quarter of what the store bears.  */
  WRITE_PER_GATEWAY_MS = 10,
  /* Streams recorded under one key.  */
  SLOT_MS = 1000,
  SLOT_PER_GATEWAY_MS = 100,
  LEASE_MS = 90000, /* longer than ORIGIN_LIFE_US */
  LEASE_ROTATE_MS = 20000,
  RETRY_MS = 200,
  /* A gateway that has just started lists the others within this time.  */
  GATEWAYS_WAIT_MS = 800
};

struct gw_resume
{
  struct origin *origin;
  struct originfeed *feed;
  GPtrArray *asking;       /* struct gw_call that wait for other gateways */
  uint64_t config_version; /* from which SERVICES are */
  GHashTable *services;    /* that have resumable streams */
  GHashTable *several;     /* services with several versions */
  /* Records of this gateway's streams.  */
  GString *slot;
  int64_t slot_us; /* since the epoch; names the slot */
  int64_t slot_began_us;
  int is_dirty;
  int is_writing;
  size_t writing_bytes;
  int64_t written_us;
  uint64_t lease;
  uint64_t lease_era;
  int64_t lease_us; /* of the last attempt to get one */
  int is_granting;
  int is_build_due; /* a version isn't recorded yet */
  /* A listing of the records, and the calls that wait for one.  */
  GPtrArray *waiting; /* struct gw_call */
  int is_listing;
  int reads_runners; /* the listing has come to the registered runners */
  int is_loaded;
  int64_t list_us; /* when it began */
  char *after;     /* last key of the page before */
};

static int
is_resumable (const struct gw_call *call)
{
  return call->route->kind == ROUTING_STREAM && call->route->resumable;
}

static void
add_record (struct gw_resume *resume, const struct gw_call *call)
{
  origin_write_stream (resume->slot, call->in.id, call->build);
  resume->is_dirty = 1;
}

static void write_records (struct gw *gw, int64_t now);

/* Notes a version that serves, which has to be recorded if it is new.  */
static void
note_build (struct gw_resume *resume, const char *service, const char *build,
            int64_t now)
{
  size_t before = origin_seen (resume->origin);

  origin_note_build (resume->origin, service, build, 1, now);
  resume->is_build_due |= origin_seen (resume->origin) > before;
}

void
gw_resume_note_begun (struct gw_call *call)
{
  struct gw_resume *resume = call->gw->resume;

  if (!is_resumable (call))
    return;
  if (call->build[0] == '\0')
    g_strlcpy (call->build, call->runner->entry.build, sizeof call->build);
  origin_note_stream (resume->origin, call->in.id, call->build,
                      gw_now (call->gw));
  originfeed_tell (resume->feed, origin_number (call->in.id), call->build);
  /* The runner may have appeared since the last look at all of them.  */
  note_build (resume, call->service_name, call->build, gw_now (call->gw));
  if (origin_builds (resume->origin, call->service_name) < 2)
    return;
  add_record (resume, call);
  /* At once: the gateway may end before its next tick.  */
  write_records (call->gw, gw_now (call->gw));
}

/* Records the streams of SERVICE that are in progress.  */
static void
record_active (struct gw *gw, const char *service)
{
  GHashTableIter iter;
  gpointer value;
  int i;

  for (i = 0; i < GW_LISTENER_MAX; i++)
    {
      if (gw->request_listeners[i].calls == NULL)
        continue;
      g_hash_table_iter_init (&iter, gw->request_listeners[i].calls);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          const struct gw_call *call = value;
          if (call->build[0] != '\0'
              && strcmp (call->service_name, service) == 0)
            add_record (gw->resume, call);
        }
    }
}

static void
read_services (struct gw *gw)
{
  struct gw_resume *resume = gw->resume;
  guint i;
  size_t j;

  if (gw->table->version == resume->config_version)
    return;
  resume->config_version = gw->table->version;
  g_hash_table_remove_all (resume->services);
  for (i = 0; i < gw->table->routes->len; i++)
    {
      const struct routing_route *route
          = g_ptr_array_index (gw->table->routes, i);
      for (j = 0; route->resumable && j < route->n_targets; j++)
        g_hash_table_add (resume->services,
                          g_strdup (route->targets[j].service));
    }
}

/* Looks at the versions of the registered runners.  */
static void
look_at_runners (struct gw *gw, int64_t now)
{
  struct gw_resume *resume = gw->resume;
  GHashTableIter iter;
  gpointer service;
  size_t i;

  for (i = 0; i < pool_count (gw->runner_pool); i++)
    {
      const struct pool_runner *runner = pool_at (gw->runner_pool, i);
      if (runner->present
          && g_hash_table_contains (resume->services, runner->entry.service))
        note_build (resume, runner->entry.service, runner->entry.build, now);
    }
  origin_expire (resume->origin, now);
  g_hash_table_iter_init (&iter, resume->services);
  while (g_hash_table_iter_next (&iter, &service, NULL))
    if (origin_builds (resume->origin, service) < 2)
      g_hash_table_remove (resume->several, service);
    else if (g_hash_table_add (resume->several, g_strdup (service)))
      record_active (gw, service);
}

static void
on_build_written (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;

  gw->counts.store_calls++;
  if (reply->rc != STORE_OK)
    gw->resume->is_build_due = 1;
}

static void
write_build (void *ctx, const char *service, const char *build)
{
  struct gw *gw = ctx;
  GString *text = g_string_new (NULL);
  char key[sizeof BUILD_PREFIX + 16];

  origin_write_build (text, service, build);
  g_snprintf (key, sizeof key, BUILD_PREFIX "%016" G_GINT64_MODIFIER "x",
              (guint64)XXH64 (text->str, text->len, 0));
  gw->store_api->set (gw->store_ctx, key, text->str, text->len,
                      gw->resume->lease, on_build_written, gw);
  g_string_free (text, TRUE);
}

static void
on_granted (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;
  struct gw_resume *resume = gw->resume;

  gw->counts.store_calls++;
  resume->is_granting = 0;
  if (reply->rc != STORE_OK)
    {
      resume->lease = 0;
      return;
    }
  /* A store that was restored may not have them.  */
  if (reply->era != resume->lease_era && resume->slot->len > 0)
    resume->is_dirty = 1;
  resume->lease = reply->lease;
  resume->lease_era = reply->era;
  /* Each version is kept as long as the latest lease.  */
  resume->is_build_due = 1;
}

static int64_t
slot_length_us (const struct gw *gw)
{
  return gw_ms_to_us (
      MAX ((int64_t)gw->processes * SLOT_PER_GATEWAY_MS, (int64_t)SLOT_MS));
}

static void
on_streams_written (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;
  struct gw_resume *resume = gw->resume;

  gw->counts.store_calls++;
  resume->is_writing = 0;
  if (reply->rc != STORE_OK)
    {
      resume->is_dirty = 1;
      if (reply->rc == STORE_ABSENT)
        resume->lease = 0;
    }
  else if (gw_now (gw) - resume->slot_began_us >= slot_length_us (gw))
    {
      g_string_erase (resume->slot, 0, (gssize)resume->writing_bytes);
      resume->slot_us = 0;
    }
}

/* Writes the records of streams that have begun since the last time.  */
static void
write_streams (struct gw *gw, int64_t now)
{
  struct gw_resume *resume = gw->resume;
  int64_t pause_ms = (int64_t)gw->processes * WRITE_PER_GATEWAY_MS;
  char *key;

  if (!resume->is_dirty || resume->is_writing
      || now - resume->written_us < gw_ms_to_us (pause_ms))
    return;
  if (resume->slot_us == 0)
    {
      resume->slot_us = g_get_real_time ();
      resume->slot_began_us = now;
    }
  resume->written_us = now;
  resume->is_dirty = 0;
  resume->is_writing = 1;
  resume->writing_bytes = resume->slot->len;
  key = g_strdup_printf (STREAM_PREFIX "%s/%" G_GINT64_FORMAT, gw->set.node,
                         resume->slot_us);
  gw->store_api->set (gw->store_ctx, key, resume->slot->str, resume->slot->len,
                      resume->lease, on_streams_written, gw);
  g_free (key);
}

/* Returns nonzero when there is a lease to write with.  Gets a new one when it
   is time for that.  */
static int
has_lease (struct gw *gw, int64_t now)
{
  struct gw_resume *resume = gw->resume;
  int is_valid = resume->lease != 0 && resume->lease_era == gw->store_era;
  int64_t pause_ms = is_valid ? LEASE_ROTATE_MS : RETRY_MS;

  if (!resume->is_granting
      && (resume->lease_us == 0
          || now - resume->lease_us >= gw_ms_to_us (pause_ms)))
    {
      resume->is_granting = 1;
      resume->lease_us = now;
      gw->store_api->grant (gw->store_ctx, LEASE_MS, on_granted, gw);
    }
  return is_valid;
}

/* Writes what isn't recorded yet.  A few gateways are enough to record the
   versions, as the store bears few writes.  */
static void
write_records (struct gw *gw, int64_t now)
{
  struct gw_resume *resume = gw->resume;
  int records_builds = gw_stage_is_standby (gw);

  if (gw->store_api == NULL || (!records_builds && !resume->is_dirty)
      || !has_lease (gw, now))
    return;
  if (records_builds && resume->is_build_due)
    {
      resume->is_build_due = 0;
      origin_each_seen (resume->origin, write_build, gw);
    }
  write_streams (gw, now);
}

static void list_records (struct gw *gw);
static void release_early (struct gw *gw, int64_t now);

static void
on_tick (void *ctx, int64_t now)
{
  struct gw *gw = ctx;
  struct gw_resume *resume = gw->resume;

  release_early (gw, now);
  if (gw->table == NULL)
    return;
  read_services (gw);
  if (g_hash_table_size (resume->services) == 0)
    return;
  look_at_runners (gw, now);
  if (gw->store_api == NULL)
    return;
  if (!resume->is_loaded && !resume->is_listing)
    list_records (gw);
  write_records (gw, now);
}

/* Returns the id of the request that began the stream of CALL.  */
static const char *
first_id (const struct gw_call *call)
{
  return call->in.last_event > 0 ? call->in.resumes : call->in.id;
}

static int
learn_build (struct gw_call *call, int is_complete)
{
  const struct origin *origin = call->gw->resume->origin;
  const char *build = origin_find (origin, first_id (call));

  if (build == NULL && is_complete)
    build = origin_only_build (origin, call->service_name);
  if (build == NULL)
    return 0;
  g_strlcpy (call->build, build, sizeof call->build);
  return 1;
}

/* Lets the calls go on that have waited since SINCE, or all if the records
   can't be read.  */
static void
answer_waiting (struct gw *gw, int64_t since, int is_complete)
{
  GPtrArray *waiting = gw->resume->waiting;
  guint i = 0;

  while (i < waiting->len)
    {
      struct gw_call *call = g_ptr_array_index (waiting, i);
      if (call->resume_asked_us > since)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (waiting, i);
      call->resume_waits = 0;
      call->resume_answered = 1;
      call->resume_complete = is_complete;
      if (is_complete)
        learn_build (call, 1);
      gw_call_dispatch (call);
    }
}

/* Reads a registered runner, which may not be known here yet.  */
static void
read_runner (struct gw *gw, const struct store_item *item, int64_t now)
{
  struct gw_resume *resume = gw->resume;
  struct pool_entry entry;
  struct err err;

  if (gw->adapter->runner_read (item->key
                                    + strlen (gw->adapter->runners_prefix),
                                item->value, item->size, &entry, &err)
          == 0
      && g_hash_table_contains (resume->services, entry.service))
    note_build (resume, entry.service, entry.build, now);
}

/* Returns nonzero when a call that the records answer has none, and would go
   on at the only version that is known here.  */
static int
must_read_runners (const struct gw_resume *resume)
{
  guint i;

  for (i = 0; i < resume->waiting->len; i++)
    {
      const struct gw_call *call = g_ptr_array_index (resume->waiting, i);
      if (call->resume_asked_us <= resume->list_us
          && origin_find (resume->origin, first_id (call)) == NULL
          && origin_only_build (resume->origin, call->service_name) != NULL)
        return 1;
    }
  return 0;
}

static void on_listed (void *ctx, const struct store_reply *reply);

/* Reads the next page of the listing.  */
static void
list_page (struct gw *gw)
{
  const struct gw_resume *resume = gw->resume;

  gw->store_api->list (gw->store_ctx,
                       resume->reads_runners ? gw->adapter->runners_prefix
                                             : PREFIX,
                       resume->after, 0, on_listed, gw);
}

static void
on_listed (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;
  struct gw_resume *resume = gw->resume;
  int64_t now = gw_now (gw);
  size_t i;

  gw->counts.store_calls++;
  if (gw->table != NULL)
    read_services (gw);
  for (i = 0; i < reply->n_items; i++)
    {
      const struct store_item *item = &reply->items[i];
      if (g_str_has_prefix (item->key, BUILD_PREFIX))
        origin_read_build (resume->origin, item->value, item->size, now);
      else if (g_str_has_prefix (item->key, STREAM_PREFIX))
        origin_read_streams (resume->origin, item->value, item->size, now);
      else if (g_str_has_prefix (item->key, gw->adapter->runners_prefix))
        read_runner (gw, item, now);
    }
  g_clear_pointer (&resume->after, g_free);
  if (reply->rc == STORE_OK && reply->more && reply->n_items > 0)
    {
      resume->after = g_strdup (reply->items[reply->n_items - 1].key);
      list_page (gw);
      return;
    }
  if (gw->table != NULL)
    look_at_runners (gw, now);
  if (reply->rc == STORE_OK && !resume->reads_runners
      && must_read_runners (resume))
    {
      resume->reads_runners = 1;
      list_page (gw);
      return;
    }
  resume->is_listing = 0;
  resume->is_loaded |= reply->rc == STORE_OK;
  if (reply->rc == STORE_OK)
    answer_waiting (gw, resume->list_us, 1);
  else
    answer_waiting (gw, INT64_MAX, 0);
  if (resume->waiting->len > 0 && !resume->is_listing)
    list_records (gw);
}

static void
list_records (struct gw *gw)
{
  gw->resume->is_listing = 1;
  gw->resume->reads_runners = 0;
  gw->resume->list_us = gw_now (gw);
  list_page (gw);
}

static const char *
find_record (void *ctx, uint64_t id)
{
  const struct gw *gw = ctx;

  return origin_find_number (gw->resume->origin, id);
}

static void
note_record (void *ctx, uint64_t id, const char *build)
{
  struct gw *gw = ctx;

  origin_note_number (gw->resume->origin, id, build, gw_now (gw));
}

/* Lets the calls go on that wait for the record of the stream ID.  Where no
   gateway has it, they look for it in the store.  */
static void
on_asked (void *ctx, uint64_t id)
{
  struct gw *gw = ctx;
  GPtrArray *asking = gw->resume->asking;
  guint i = 0;

  while (i < asking->len)
    {
      struct gw_call *call = g_ptr_array_index (asking, i);
      /* One that waits for the list of gateways has no part in the query.  */
      if (!call->resume_asked || origin_number (first_id (call)) != id)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (asking, i);
      call->resume_asks = 0;
      gw_call_dispatch (call);
      i = 0;
    }
}

static size_t
rank_gateways (void *ctx, uint64_t id, uint64_t *to, size_t max)
{
  return gw_peers_rank (ctx, id, to, max);
}

static void
send_to_gateway (void *ctx, uint64_t to, const char *data, size_t size)
{
  gw_peers_send (ctx, to, data, size);
}

static void
on_ask_time (void *ctx, int64_t now)
{
  struct gw *gw = ctx;

  originfeed_advance (gw->resume->feed, now);
}

/* Asks the other gateways for the record of the stream of CALL.  Returns 0
   when there is none to ask.  */
static int
ask_gateways (struct gw_call *call)
{
  struct gw *gw = call->gw;

  if (!originfeed_ask (gw->resume->feed, origin_number (first_id (call)),
                       gw_now (gw)))
    return 0;
  call->resume_asked = 1;
  call->resume_asks = 1;
  g_ptr_array_add (gw->resume->asking, call);
  tmr_add (gw->tmr, ORIGINFEED_QUERY_US, 0, on_ask_time, gw);
  return 1;
}

/* Returns nonzero while CALL is to wait for the list of the other gateways. */
static int
is_early (const struct gw_call *call, int64_t now)
{
  uint64_t any;

  return !call->resume_asked && call->gw->processes > 1
         && now - call->arrived < gw_ms_to_us (GATEWAYS_WAIT_MS)
         && gw_peers_rank (call->gw, 0, &any, 1) == 0;
}

/* Lets the calls go on that needn't wait for the other gateways any more.  */
static void
release_early (struct gw *gw, int64_t now)
{
  GPtrArray *asking = gw->resume->asking;
  guint i = 0;

  while (i < asking->len)
    {
      struct gw_call *call = g_ptr_array_index (asking, i);
      if (call->resume_asked || is_early (call, now))
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (asking, i);
      call->resume_asks = 0;
      gw_call_dispatch (call);
      i = 0;
    }
}

/* Asks the other gateways about CALL, for which the store has no record, if
   they weren't known before.  Returns 0 when there is nothing to wait for.  */
static int
ask_late (struct gw_call *call)
{
  if (call->resume_asked)
    return 0;
  if (ask_gateways (call))
    return 1;
  if (!is_early (call, gw_now (call->gw)))
    return 0;
  call->resume_asks = 1;
  g_ptr_array_add (call->gw->resume->asking, call);
  return 1;
}

int
gw_resume_is_datagram (const char *data, size_t size)
{
  return originfeed_is_datagram (data, size);
}

int
gw_resume_receive (struct gw *gw, const char *data, size_t size,
                   struct err *err)
{
  return originfeed_receive (gw->resume->feed, data, size, err);
}

enum gw_resume_result
gw_resume_find (struct gw_call *call)
{
  struct gw *gw = call->gw;

  if (call->build[0] != '\0' || learn_build (call, gw->store_api == NULL))
    return GW_RESUME_KNOWN;
  if (call->resume_asks)
    return GW_RESUME_ASKED;
  if (call->resume_answered && ask_late (call))
    return GW_RESUME_ASKED;
  if (call->resume_answered && !call->resume_complete)
    return GW_RESUME_UNREADABLE;
  if (gw->store_api == NULL || call->resume_answered)
    return GW_RESUME_UNKNOWN;
  if (!call->resume_asked && ask_gateways (call))
    return GW_RESUME_ASKED;
  if (!call->resume_waits)
    {
      call->resume_waits = 1;
      call->resume_asked_us = gw_now (gw);
      g_ptr_array_add (gw->resume->waiting, call);
    }
  if (!gw->resume->is_listing)
    list_records (gw);
  return GW_RESUME_ASKED;
}

void
gw_resume_log_taken_up (const struct gw_call *call)
{
  /* The client chooses it.  */
  char *resumes
      = g_strcanon (g_strdup (call->in.resumes),
                    G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "-_.:", '?');

  event_log_write ("taken_up", call->in.id,
                   "\"resumes\":\"%s\",\"last_event\":%" G_GUINT64_FORMAT
                   ",\"left_ms\":%" G_GINT64_FORMAT,
                   resumes, call->in.last_event,
                   (call->deadline - gw_now (call->gw)) / 1000);
  g_free (resumes);
}

void
gw_resume_cancel (struct gw_call *call)
{
  if (call->resume_waits)
    g_ptr_array_remove (call->gw->resume->waiting, call);
  if (call->resume_asks)
    g_ptr_array_remove (call->gw->resume->asking, call);
  call->resume_waits = 0;
  call->resume_asks = 0;
}

struct gw_resume *
gw_resume_new (struct gw *gw)
{
  static const struct originfeed_ops ops
      = { rank_gateways, send_to_gateway, find_record, note_record, on_asked };
  struct gw_resume *resume = g_new0 (struct gw_resume, 1);

  resume->origin = origin_new ();
  resume->feed = originfeed_new (fleetsum_id (gw->set.node), &ops, gw);
  resume->asking = g_ptr_array_new ();
  resume->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  resume->several
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  resume->slot = g_string_new (NULL);
  resume->waiting = g_ptr_array_new ();
  if (gw->resume == NULL)
    tmr_add (gw->tmr, gw_ms_to_us (TICK_MS), gw_ms_to_us (TICK_MS), on_tick,
             gw);
  gw->resume = resume;
  return resume;
}
