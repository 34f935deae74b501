/* Follows the configuration, the runners and the peer gateways in the store.
 */
#include <string.h>

#include "gw.h"

enum
{
  WATCH_MIN_MS = 1000,
  /* A dead connection is detected this long before the configuration has to
     be in force.  */
  WATCH_MARGIN_MS = 1000,
  /* A source whose connection is dead tells its followers within this part of
     the time in which a change has to be in force.  */
  SOURCE_WATCH_PART = 4,
  SOURCE_WATCH_MIN_MS = 500,
  FOLLOW_CHECK_MS = 200, /* between two checks of the followed sources */
  BATCH_DELAY_MS = 250,  /* changes within this time share one call */
  /* A history that is longer than the listing by this much is listed instead:
     a new value of one key, or a few small ones, is not.  */
  HISTORY_SLACK_BYTES = 64 * 1024,
  POLL_MS = 3000, /* between two listings of the gateways */
  POLL_FIRST_MS = 600,
  PROCESSES_HOLD_MS = 60000, /* several times the lease of a registry entry */
  /* Least delays before the retry of a failed call.  A store that does not
     answer may be back at any moment, and its changes have to apply soon after
     that; the return of one that refuses is seen from its answers.  */
  RETRY_NO_ANSWER_MS = 100,
  RETRY_REFUSED_MS = 400,
  /* A store that breaks off a call within this time, after as many others,
     refuses it.  */
  QUICK_MS = 100,
  QUICK_FAILURES = 2,
  RETRY_DOUBLINGS_MAX = 8,
  /* Of the time within which changes apply after an outage: the return of
     runners is awaited, and a retry may fail.  */
  RETRY_MARGIN_MS = 2500,
  PRESENCE_TTL_MS = 10000,
  PRESENCE_RENEW_MS = 3000
};

#define PROCESSES_PREFIX "gateways/"

enum feed_id
{
  FEED_CONFIG,
  FEED_RUNNERS,
  FEED_PROCESSES,
  FEED_MAX
};

struct feed
{
  struct gw *gw;
  enum feed_id id;
  const char *prefix;
  uint64_t era; /* of the revisions below */
  uint64_t revision;
  uint64_t list_era;        /* of the listing in progress */
  uint64_t list_revision;   /* of the first page of the listing in progress */
  uint64_t change_revision; /* of the last change that is known */
  size_t list_bytes;        /* of the answers to the last listing */
  char *after;              /* last key of the page before */
  int listed;
  int failing;
  unsigned failures; /* in a row */
  int64_t asked_us;  /* start of the last call */
  int behind;        /* changes that were missed are read by a listing */
  int following;     /* other gateways pass on the changes */
  uint64_t timer;    /* of the next call, while FOLLOWING */
};

struct gw_sync
{
  struct feed feeds[FEED_MAX];
  GHashTable *processes; /* name -> presence */
  uint64_t lease;
  uint64_t lease_era;
  int64_t processes_high_us; /* when at least gw->processes were last listed */
};

static void feed_list (struct feed *feed);
static void feed_watch (struct feed *feed);

static const char *
strip (const char *key, const char *prefix)
{
  size_t n = strlen (prefix);

  return strncmp (key, prefix, n) == 0 ? key + n : NULL;
}

static void
config_item (struct feed *feed, const struct store_item *item)
{
  struct gw *gw = feed->gw;
  struct http_server_limits limits;
  struct routing_table *table;
  struct err err;
  int i;

  if (item->deleted || strcmp (item->key, gw->adapter->config_key) != 0)
    return;
  table = gw->adapter->config_read (item->value, item->size, &err);
  if (table == NULL)
    {
      event_log_write ("config_malformed", NULL,
                       "\"revision\":%" G_GUINT64_FORMAT ",\"error\":\"%s\"",
                       item->revision, err.text);
      return;
    }
  if (gw->table != NULL && table->version < gw->table->version)
    event_log_write ("config_older", NULL,
                     "\"version\":%" G_GUINT64_FORMAT
                     ",\"revision\":%" G_GUINT64_FORMAT
                     ",\"held\":%" G_GUINT64_FORMAT,
                     table->version, item->revision, gw->table->version);
  if (!routing_adopt (&gw->table, table))
    return;
  limits.header_bytes = gw->table->header_bytes;
  limits.body_bytes = gw->table->body_bytes;
  limits.header_ms = gw->table->header_ms;
  limits.idle_ms = gw->table->idle_ms;
  for (i = 0; i < GW_LISTENER_MAX; i++)
    if (gw->request_listeners[i].srv != NULL)
      http_server_set_limits (gw->request_listeners[i].srv, &limits);
  event_log_write (
      "config", NULL,
      "\"version\":%" G_GUINT64_FORMAT ",\"revision\":%" G_GUINT64_FORMAT
      ",\"routes\":%u,\"services\":%u,\"tenants\":%d",
      gw->table->version, item->revision, gw->table->routes->len,
      gw->table->services->len,
      gw->table->tenants != NULL ? (int)gw->table->tenants->len : -1);
}

static void
runner_log (const struct pool_runner *runner, uint64_t revision)
{
  event_log_write (
      "runner", NULL,
      "\"runner\":\"%s\",\"service\":\"%s\",\"address\":\"%s\","
      "\"build\":\"%s\",\"present\":%d,\"leaving\":%d,\"stage\":%d,"
      "\"revision\":"
      "%" G_GUINT64_FORMAT,
      runner->entry.id, runner->entry.service, runner->entry.address,
      runner->entry.build, runner->present, runner->leaving,
      runner->entry.stage, revision);
}

static void
runner_item (struct feed *feed, const struct store_item *item)
{
  struct gw *gw = feed->gw;
  const char *id = strip (item->key, feed->prefix);
  struct pool_runner *runner;
  struct pool_entry entry;
  struct err err;
  int64_t now = gw_now (gw);

  if (id == NULL)
    return;
  if (item->deleted)
    runner = pool_remove (gw->runner_pool, id, item->revision, now);
  else if (gw->adapter->runner_read (id, item->value, item->size, &entry, &err)
           != 0)
    {
      event_log_write ("runner_malformed", NULL,
                       "\"revision\":%" G_GUINT64_FORMAT ",\"error\":\"%s\"",
                       item->revision, err.text);
      return;
    }
  else
    runner = pool_put (gw->runner_pool, &entry, item->revision);
  if (runner == NULL)
    return;
  runner_log (runner, item->revision);
  if (runner->leaving)
    http_client_close_idle (gw->cli, runner->peer);
}

static void
processes_changed (struct gw *gw)
{
  unsigned n = g_hash_table_size (gw->sync->processes);
  GHashTableIter iter;
  gpointer name;
  size_t place = 0;

  g_hash_table_iter_init (&iter, gw->sync->processes);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    place += strcmp (name, gw->set.node) < 0;
  gw_stage_set_rank (gw, place);
  gw_relay_update (gw, gw->sync->processes);
  /* Entries may have expired although their gateways are alive.  A smaller
     number applies only after a while, so that the parts of a retry budget
     don't add up to more than the budget.  */
  if (n >= gw->processes
      || gw_now (gw) - gw->sync->processes_high_us
             > gw_ms_to_us (PROCESSES_HOLD_MS))
    {
      gw->sync->processes_high_us = gw_now (gw);
      if (n != gw->processes)
        event_log_write ("gateways", NULL, "\"count\":%u,\"before\":%u", n,
                         gw->processes);
      gw->processes = MAX (n, 1u);
    }
}

static void
process_item (struct feed *feed, const struct store_item *item)
{
  struct gw *gw = feed->gw;

  const char *name = strip (item->key, feed->prefix);

  if (name == NULL)
    return;
  if (item->deleted)
    g_hash_table_remove (gw->sync->processes, name);
  else
    g_hash_table_insert (gw->sync->processes, g_strdup (name),
                         g_strndup (item->value, item->size));
}

static void (*const feed_item[FEED_MAX]) (struct feed *,
                                          const struct store_item *)
    = { [FEED_CONFIG] = config_item,
        [FEED_RUNNERS] = runner_item,
        [FEED_PROCESSES] = process_item };

/* Passes on N ITEMS, the changes after SINCE, and whether the store answers.
 */
static void
feed_publish (struct feed *feed, uint64_t since,
              const struct store_item *items, size_t n)
{
  struct fleetfeed_notice notice
      = { .feed = feed->id,
          .store_ok = !feed->failing && !feed->behind,
          .since = since,
          .upto = feed->change_revision,
          .items = items,
          .n_items = n,
          .era = feed->era };

  if (n == 0)
    notice.since = feed->change_revision;
  if (feed->id != FEED_PROCESSES && feed->listed)
    gw_peers_publish (feed->gw, &notice);
}

/* Applies changes in the order of their revisions.  */
static void
feed_apply (struct feed *feed, const struct store_item *items, size_t n)
{
  size_t i;

  for (i = 0; i < n; i++)
    {
      feed_item[feed->id](feed, &items[i]);
      feed->change_revision = MAX (feed->change_revision, items[i].revision);
    }
}

void
gw_sync_note_era (struct gw *gw, uint64_t era)
{
  if (era <= gw->store_era)
    return;
  event_log_write ("store_era", NULL,
                   "\"era\":%" G_GUINT64_FORMAT
                   ",\"before\":%" G_GUINT64_FORMAT,
                   era, gw->store_era);
  gw->store_era = era;
}

static void
feed_state (struct feed *feed, int ok)
{
  struct gw *gw = feed->gw;

  if (feed->id == FEED_RUNNERS)
    pool_set_registry_reachable (gw->runner_pool, ok, gw_now (gw));
  if (ok)
    feed->failures = 0;
  if (feed->failing == !ok)
    return;
  feed->failing = !ok;
  if (!ok)
    feed_publish (feed, 0, NULL, 0);
  event_log_write (ok ? "store_regained" : "store_lost", NULL,
                   "\"feed\":\"%s\"", feed->prefix);
}

static void
on_poll (void *ctx, int64_t now)
{
  (void)now;
  feed_list (ctx);
}

static void
on_retry (void *ctx, int64_t now)
{
  struct feed *feed = ctx;

  (void)now;
  if (feed->listed && !feed->behind && feed->id != FEED_PROCESSES)
    feed_watch (feed);
  else
    feed_list (feed);
}

/* Returns the longest pause between two retries.  A source retries often, and
   tells its followers when the store answers; they come back in time if it
   doesn't.  A gateway that has nothing to serve by doesn't wait.  */
static int64_t
retry_pause_max_ms (const struct feed *feed, int is_refused, int64_t least_ms)
{
  const struct gw *gw = feed->gw;

  if (!is_refused || !feed->listed || gw_peers_is_source (gw))
    return 2 * least_ms;
  return MAX (2 * least_ms, (int64_t)gw->set.settled_ms - RETRY_MARGIN_MS);
}

static void
feed_retry (struct feed *feed, enum store_rc rc)
{
  struct gw *gw = feed->gw;
  int is_refused
      = rc == STORE_REFUSED
        || (feed->failures >= QUICK_FAILURES
            && gw_now (gw) - feed->asked_us < gw_ms_to_us (QUICK_MS));
  int64_t least_ms = is_refused ? RETRY_REFUSED_MS : RETRY_NO_ANSWER_MS;
  int64_t max_ms = retry_pause_max_ms (feed, is_refused, least_ms);
  /* Random, so that the gateways of a fleet don't retry at the same time.  */
  int64_t pause_ms;

  least_ms = MIN (least_ms << MIN (feed->failures, RETRY_DOUBLINGS_MAX),
                  max_ms / 2);
  feed->failures++;
  pause_ms = least_ms + (int64_t)(gw_random (gw) % (uint64_t)least_ms);
  tmr_add (gw->tmr, pause_ms * 1000, 0, on_retry, feed);
}

/* Begins to apply a listing, whose first page is REPLY.  */
static void
listing_begin (struct feed *feed, const struct store_reply *reply)
{
  struct gw *gw = feed->gw;

  feed->list_era = reply->era;
  feed->list_revision = reply->revision;
  feed->list_bytes = 0;
  if (feed->id == FEED_PROCESSES)
    g_hash_table_remove_all (gw->sync->processes);
  if (feed->id != FEED_RUNNERS)
    return;
  if (feed->listed && feed->list_era != feed->era)
    pool_restart_revisions (gw->runner_pool, gw_now (gw));
  pool_list_begin (gw->runner_pool);
}

static void
listing_end (struct feed *feed)
{
  struct gw *gw = feed->gw;
  int restored = feed->listed && feed->list_era != feed->era;

  if (feed->id == FEED_RUNNERS)
    pool_list_end (gw->runner_pool, feed->list_revision, gw_now (gw));
  feed->listed = 1;
  feed->behind = 0;
  feed->era = feed->list_era;
  feed->revision = feed->list_revision;
  feed->change_revision
      = restored ? feed->list_revision
                 : MAX (feed->change_revision, feed->list_revision);
  feed_publish (feed, 0, NULL, 0);
  if (feed->id == FEED_PROCESSES)
    {
      processes_changed (gw);
      tmr_add (gw->tmr, gw_ms_to_us (POLL_MS), 0, on_poll, feed);
    }
  else
    feed_watch (feed);
}

static void
on_listed (void *ctx, const struct store_reply *reply)
{
  struct feed *feed = ctx;
  size_t i;

  feed->gw->counts.store_calls++;
  gw_sync_note_era (feed->gw, reply->era);
  feed_state (feed, reply->rc == STORE_OK);
  if (reply->rc != STORE_OK)
    {
      g_clear_pointer (&feed->after, g_free);
      feed_retry (feed, reply->rc);
      return;
    }
  if (feed->after == NULL)
    listing_begin (feed, reply);
  else if (reply->era != feed->list_era)
    {
      g_clear_pointer (&feed->after, g_free);
      feed_list (feed);
      return;
    }
  feed->list_bytes += reply->bytes;
  for (i = 0; i < reply->n_items; i++)
    feed_item[feed->id](feed, &reply->items[i]);
  if (reply->more && reply->n_items > 0)
    {
      g_free (feed->after);
      feed->after = g_strdup (reply->items[reply->n_items - 1].key);
      feed_list (feed);
      return;
    }
  g_clear_pointer (&feed->after, g_free);
  listing_end (feed);
}

static void
feed_list (struct feed *feed)
{
  struct gw *gw = feed->gw;

  feed->asked_us = gw_now (gw);
  gw->store_api->list (gw->store_ctx, feed->prefix, feed->after,
                       feed->id == FEED_PROCESSES, on_listed, feed);
}

static void
on_watched (void *ctx, const struct store_reply *reply)
{
  struct feed *feed = ctx;
  uint64_t since = feed->change_revision;

  feed->gw->counts.store_calls++;
  gw_sync_note_era (feed->gw, reply->era);
  feed_state (feed, reply->rc == STORE_OK || reply->rc == STORE_COMPACTED
                        || reply->rc == STORE_TOO_LONG);
  /* In another era, changes before FEED's revision may not be known.  */
  if (reply->rc == STORE_COMPACTED || reply->rc == STORE_TOO_LONG
      || (reply->rc == STORE_OK && reply->era != feed->era))
    {
      feed->behind = 1;
      feed_publish (feed, 0, NULL, 0);
      feed_list (feed);
      return;
    }
  if (reply->rc != STORE_OK)
    {
      feed_retry (feed, reply->rc);
      return;
    }
  feed_apply (feed, reply->items, reply->n_items);
  feed->revision = MAX (feed->revision, reply->revision);
  if (reply->n_items > 0)
    {
      feed_publish (feed, since, reply->items, reply->n_items);
      tmr_add (feed->gw->tmr, gw_ms_to_us (BATCH_DELAY_MS), 0, on_retry, feed);
    }
  else
    feed_watch (feed);
}

static void
on_follow_check (void *ctx, int64_t now)
{
  struct feed *feed = ctx;

  (void)now;
  feed->following = 0;
  feed_watch (feed);
}

void
gw_sync_apply_notice (struct gw *gw, const struct fleetfeed_notice *notice)
{
  struct feed *feed;

  if (notice->feed >= FEED_PROCESSES)
    return;
  feed = &gw->sync->feeds[notice->feed];
  if (!feed->listed)
    return;
  if (notice->era > feed->era && feed->following)
    {
      /* At a random time, as all followers of a fleet hear of it at once.  */
      feed->following = 0;
      tmr_cancel (gw->tmr, feed->timer);
      tmr_add (gw->tmr,
               gw_ms_to_us ((double)(gw_random (gw) % FOLLOW_CHECK_MS)), 0,
               on_poll, feed);
      return;
    }
  /* While a listing of a later era is read, it is the state.  */
  if (notice->era == feed->era && notice->era == gw->store_era
      && notice->since <= feed->revision)
    {
      feed_apply (feed, notice->items, notice->n_items);
      feed->revision = MAX (feed->revision, notice->upto);
    }
  if (!feed->following
      || gw_peers_is_current (gw, feed->id, feed->era, feed->revision))
    return;
  tmr_cancel (gw->tmr, feed->timer);
  on_follow_check (feed, gw_now (gw));
}

/* Tells the followers that this gateway is alive, and of changes that they may
   have missed.  */
static void
on_beat (void *ctx, int64_t now)
{
  struct gw *gw = ctx;

  (void)now;
  if (!gw_peers_is_source (gw) || gw->stopping)
    return;
  feed_publish (&gw->sync->feeds[FEED_CONFIG], 0, NULL, 0);
  feed_publish (&gw->sync->feeds[FEED_RUNNERS], 0, NULL, 0);
}

/* Returns for how long a watch of the store may be silent.  */
static int
watch_wait_ms (const struct feed *feed)
{
  const struct gw *gw = feed->gw;

  /* The answer tells at once whether the store has been restored.  */
  if (feed->failing)
    return 1;
  if (gw_peers_is_source (gw))
    return (int)MAX (gw->set.settled_ms / SOURCE_WATCH_PART,
                     SOURCE_WATCH_MIN_MS);
  return (int)MAX (gw->set.settled_ms - WATCH_MARGIN_MS, WATCH_MIN_MS);
}

/* Returns how long a history may be before a listing costs less: the listing
   has the last value of each key only.  */
static size_t
history_max (const struct feed *feed)
{
  return feed->list_bytes + feed->list_bytes / 2 + HISTORY_SLACK_BYTES;
}

static void
feed_watch (struct feed *feed)
{
  struct gw *gw = feed->gw;

  if (gw->store_era != feed->era)
    {
      feed_list (feed);
      return;
    }
  if (gw_peers_is_current (gw, feed->id, feed->era, feed->revision))
    {
      feed_state (feed, 1);
      feed->following = 1;
      feed->timer = tmr_add (gw->tmr, gw_ms_to_us (FOLLOW_CHECK_MS), 0,
                             on_follow_check, feed);
      return;
    }
  feed->asked_us = gw_now (gw);
  gw->store_api->watch (gw->store_ctx, feed->prefix, feed->revision,
                        watch_wait_ms (feed), history_max (feed), on_watched,
                        feed);
}

/* Registry entry of this process, kept by a lease.  */
static void presence_start (struct gw *gw);

static void
on_presence_time (void *ctx, int64_t now)
{
  (void)now;
  presence_start (ctx);
}

static void
on_renewed (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;

  gw->counts.store_calls++;
  gw_sync_note_era (gw, reply->era);
  if (reply->rc == STORE_ABSENT)
    gw->sync->lease = 0;
  tmr_add (gw->tmr,
           gw_ms_to_us (reply->rc == STORE_ABSENT ? RETRY_REFUSED_MS
                                                  : PRESENCE_RENEW_MS),
           0, on_presence_time, gw);
}

static void
on_present (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;

  gw->counts.store_calls++;
  gw_sync_note_era (gw, reply->era);
  if (reply->rc != STORE_OK)
    gw->sync->lease = 0;
  tmr_add (gw->tmr, gw_ms_to_us (PRESENCE_RENEW_MS), 0, on_presence_time, gw);
}

static void
on_granted (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;
  GString *presence;
  char *key;

  gw->counts.store_calls++;
  gw_sync_note_era (gw, reply->era);
  if (reply->rc != STORE_OK || gw->stopping)
    {
      tmr_add (gw->tmr, gw_ms_to_us (PRESENCE_RENEW_MS), 0, on_presence_time,
               gw);
      return;
    }
  gw->sync->lease = reply->lease;
  gw->sync->lease_era = reply->era;
  key = g_strconcat (PROCESSES_PREFIX, gw->set.node, NULL);
  presence = g_string_new (NULL);
  gw_relay_presence_write (gw, presence);
  gw->store_api->set (gw->store_ctx, key, presence->str, presence->len,
                      gw->sync->lease, on_present, gw);
  g_string_free (presence, TRUE);
  g_free (key);
}

/* Returns nonzero when this process has a lease.  A number of an earlier era
   may be that of somebody else's by now.  */
static int
has_lease (const struct gw *gw)
{
  return gw->sync->lease != 0 && gw->sync->lease_era == gw->store_era;
}

static void
presence_start (struct gw *gw)
{
  if (gw->stopping)
    return;
  if (!has_lease (gw))
    gw->store_api->grant (gw->store_ctx, PRESENCE_TTL_MS, on_granted, gw);
  else
    gw->store_api->renew (gw->store_ctx, gw->sync->lease, on_renewed, gw);
}

static void
on_ended (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;

  gw->counts.store_calls++;
  event_log_write ("withdrawn", NULL, "\"outcome\":%d", reply->rc);
}

void
gw_sync_withdraw (struct gw *gw)
{
  if (has_lease (gw))
    gw->store_api->end (gw->store_ctx, gw->sync->lease, on_ended, gw);
  gw->sync->lease = 0;
}

struct gw_sync *
gw_sync_new (struct gw *gw)
{
  struct gw_sync *sync = g_new0 (struct gw_sync, 1);
  int i;

  gw->sync = sync;
  sync->processes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  sync->feeds[FEED_CONFIG].prefix = gw->adapter->config_key;
  sync->feeds[FEED_RUNNERS].prefix = gw->adapter->runners_prefix;
  sync->feeds[FEED_PROCESSES].prefix = PROCESSES_PREFIX;
  for (i = 0; i < FEED_MAX; i++)
    {
      sync->feeds[i].gw = gw;
      sync->feeds[i].id = (enum feed_id)i;
      if (i != FEED_PROCESSES)
        feed_list (&sync->feeds[i]);
    }
  tmr_add (gw->tmr, FLEETFEED_BEAT_US, FLEETFEED_BEAT_US, on_beat, gw);
  tmr_add (gw->tmr, gw_ms_to_us (POLL_FIRST_MS), 0, on_poll,
           &sync->feeds[FEED_PROCESSES]);
  presence_start (gw);
  return sync;
}

int
gw_sync_store_answers (const struct gw *gw)
{
  return !gw->sync->feeds[FEED_RUNNERS].failing;
}

GHashTable *
gw_sync_registered (const struct gw *gw)
{
  return gw->sync->processes;
}

int
gw_is_ready (const struct gw *gw)
{
  return !gw->stopping && gw_is_loaded (gw);
}

int
gw_is_loaded (const struct gw *gw)
{
  return gw->table != NULL && gw->sync != NULL
         && gw->sync->feeds[FEED_RUNNERS].listed
         && gw_quarantine_is_loaded (gw);
}
