/* Requests and prompt parts that crash runners: evidence from this gateway's
   own sends, and verdicts kept in the store for gateways that start.  */
#include <inttypes.h>
#include <string.h>

#include "crashfeed.h"
#include "fleetsum.h"
#include "gw_call.h"
#include "num.h"

#define STORE_PREFIX "quarantine/"

enum
{
  ANSWERED_MAX = 20000, /* answered parts that are remembered; about 3 MB */
  LIST_RETRY_MS = 200,
  KEY_DIGITS = 16,     /* of a verdict in the store */
  STORE_AGAIN_MAX = 64 /* verdicts; the store bears few writes */
};

struct gw_quarantine
{
  struct crashfeed *feed;
  int loading;  /* the verdicts in the store aren't read yet */
  char *after;  /* last key of the page before */
  uint64_t era; /* of the store that has the verdicts, or 0 */
};

static void
log_verdict (uint64_t key)
{
  event_log_write ("quarantined", NULL,
                   "\"key\":\"%" PRIx64 "\",\"for_ms\":%" PRId64, key,
                   QUARANTINE_HOLD_US / 1000);
}

void
gw_quarantine_add (struct gw *gw, const struct quarantine_evidence *evidence,
                   size_t n)
{
  crashfeed_add (gw->quarantine->feed, evidence, n, gw_now (gw));
}

void
gw_quarantine_suspect (struct gw *gw,
                       const struct quarantine_evidence *evidence, size_t n)
{
  crashfeed_suspect (gw->quarantine->feed, evidence, n, gw_now (gw));
}

int
gw_quarantine_is_answer_of_use (const struct gw_call *call, uint64_t key)
{
  return key != call->fingerprint
         || quarantine_is_accused (gw_quarantine_table (call->gw), key);
}

void
gw_quarantine_note_answer (struct gw_call *call)
{
  struct gw *gw = call->gw;
  struct quarantine_evidence answers[ADAPTER_PARTS_MAX + 1];
  size_t n = 0;
  size_t i;

  if (gw_quarantine_is_answer_of_use (call, call->fingerprint))
    answers[n++] = (struct quarantine_evidence){ call->fingerprint, 0, 0 };
  for (i = 0; i < call->in.n_parts; i++)
    answers[n++] = (struct quarantine_evidence){ call->in.parts[i], 0, 0 };
  crashfeed_add (gw->quarantine->feed, answers, n, gw_now (gw));
}

int64_t
gw_quarantine_left_ms (const struct gw_call *call)
{
  const struct quarantine *table = gw_quarantine_table (call->gw);
  int64_t now = gw_now (call->gw);
  int64_t left = quarantine_left_us (table, call->fingerprint, now);
  size_t i;

  for (i = 0; i < call->in.n_parts; i++)
    left = MAX (left, quarantine_left_us (table, call->in.parts[i], now));
  return (left + 999) / 1000;
}

int64_t
gw_quarantine_trial_left_ms (const struct gw_call *call)
{
  const struct quarantine *table = gw_quarantine_table (call->gw);
  int64_t now = gw_now (call->gw);
  int64_t left;
  size_t i;

  if (call->on_trial)
    return 0;
  left = quarantine_trial_left_us (table, call->fingerprint, now);
  for (i = 0; i < call->in.n_parts; i++)
    left
        = MAX (left, quarantine_trial_left_us (table, call->in.parts[i], now));
  return (left + 999) / 1000;
}

static void
note_trial (struct gw_call *call, uint64_t key)
{
  struct gw *gw = call->gw;

  if (!quarantine_is_suspect (gw_quarantine_table (gw), key, gw_now (gw)))
    return;
  call->on_trial = 1;
  crashfeed_begin_trial (gw->quarantine->feed, key, gw_now (gw));
  event_log_write ("trial", call->in.id,
                   "\"key\":\"%" PRIx64 "\",\"runner\":\"%s\"", key,
                   call->runner->entry.id);
}

void
gw_quarantine_note_send (struct gw_call *call)
{
  size_t i;

  note_trial (call, call->fingerprint);
  for (i = 0; i < call->in.n_parts; i++)
    note_trial (call, call->in.parts[i]);
}

const struct quarantine *
gw_quarantine_table (const struct gw *gw)
{
  return crashfeed_table (gw->quarantine->feed);
}

int
gw_quarantine_receive (struct gw *gw, const char *data, size_t size,
                       struct err *err)
{
  return crashfeed_receive (gw->quarantine->feed, data, size, gw_now (gw),
                            err);
}

/* A verdict that is being written to the store.  */
struct verdict
{
  struct gw *gw;
  uint64_t key;
  uint64_t lease;
  uint64_t era; /* of the lease */
};

static void
on_ended (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;

  (void)reply;
  gw->counts.store_calls++;
}

static void
on_stored (void *ctx, const struct store_reply *reply)
{
  struct verdict *verdict = ctx;
  struct gw *gw = verdict->gw;

  gw->counts.store_calls++;
  /* It is there already.  */
  if (reply->rc == STORE_CONFLICT && reply->era == verdict->era)
    gw->store_api->end (gw->store_ctx, verdict->lease, on_ended, gw);
  g_free (verdict);
}

static void
on_granted (void *ctx, const struct store_reply *reply)
{
  struct verdict *verdict = ctx;
  struct gw *gw = verdict->gw;
  char key[sizeof STORE_PREFIX + 16];

  gw->counts.store_calls++;
  if (reply->rc != STORE_OK)
    {
      g_free (verdict);
      return;
    }
  verdict->lease = reply->lease;
  verdict->era = reply->era;
  g_snprintf (key, sizeof key, STORE_PREFIX "%016" PRIx64, verdict->key);
  gw->store_api->put (gw->store_ctx, key, 0, "1", 1, verdict->lease, on_stored,
                      verdict);
}

static void
store_verdict (struct gw *gw, uint64_t key)
{
  struct verdict *verdict;

  /* A few gateways are enough, and the store bears few writes.  */
  if (gw->store_api == NULL || !gw_stage_is_standby (gw))
    return;
  verdict = g_new0 (struct verdict, 1);
  verdict->gw = gw;
  verdict->key = key;
  gw->store_api->grant (
      gw->store_ctx,
      quarantine_left_us (gw_quarantine_table (gw), key, gw_now (gw)) / 1000,
      on_granted, verdict);
}

/* Writes the verdicts in force to a store that was restored from a copy, which
   may not have them.  */
static void
store_again (struct gw *gw)
{
  uint64_t keys[STORE_AGAIN_MAX];
  size_t n = quarantine_keys (gw_quarantine_table (gw), keys, STORE_AGAIN_MAX,
                              gw_now (gw));

  while (n > 0)
    store_verdict (gw, keys[--n]);
}

static void
on_convicted (void *ctx, uint64_t key)
{
  struct gw *gw = ctx;

  gw->counts.quarantined++;
  log_verdict (key);
  store_verdict (gw, key);
}

static void list (struct gw *gw);

static void
on_list_retry (void *ctx, int64_t now)
{
  (void)now;
  list (ctx);
}

static void
on_listed (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;
  struct gw_quarantine *quarantine = gw->quarantine;
  size_t i;

  gw->counts.store_calls++;
  if (reply->rc != STORE_OK)
    {
      tmr_add (gw->tmr, gw_ms_to_us (LIST_RETRY_MS), 0, on_list_retry, gw);
      return;
    }
  for (i = 0; i < reply->n_items; i++)
    {
      const char *name = reply->items[i].key + strlen (STORE_PREFIX);
      uint64_t key;
      if (strlen (name) != KEY_DIGITS
          || num_parse (name, 16, 0, UINT64_MAX, &key) != 0)
        continue;
      crashfeed_hold (quarantine->feed, key, gw_now (gw));
      log_verdict (key);
    }
  if (reply->more && reply->n_items > 0)
    {
      g_free (quarantine->after);
      quarantine->after = g_strdup (reply->items[reply->n_items - 1].key);
      list (gw);
      return;
    }
  g_clear_pointer (&quarantine->after, g_free);
  quarantine->loading = 0;
}

static void
list (struct gw *gw)
{
  gw->store_api->list (gw->store_ctx, STORE_PREFIX, gw->quarantine->after, 0,
                       on_listed, gw);
}

void
gw_quarantine_load (struct gw *gw)
{
  gw->quarantine->loading = 1;
  list (gw);
}

int
gw_quarantine_is_loaded (const struct gw *gw)
{
  return !gw->quarantine->loading;
}

static void
send_datagram (void *ctx, uint64_t to, const char *data, size_t size)
{
  gw_peers_send (ctx, to, data, size);
}

static uint64_t
any_gateway (void *ctx)
{
  return gw_peers_any (ctx);
}

static void
on_tick (void *ctx, int64_t now)
{
  struct gw *gw = ctx;

  crashfeed_tick (gw->quarantine->feed, now);
  if (gw->store_era == gw->quarantine->era)
    return;
  if (gw->quarantine->era != 0)
    store_again (gw);
  gw->quarantine->era = gw->store_era;
}

struct gw_quarantine *
gw_quarantine_new (struct gw *gw)
{
  static const struct crashfeed_ops ops
      = { send_datagram, any_gateway, on_convicted };
  struct gw_quarantine *quarantine = g_new0 (struct gw_quarantine, 1);

  gw->quarantine = quarantine;
  quarantine->feed
      = crashfeed_new (fleetsum_id (gw->set.node), ANSWERED_MAX, &ops, gw);
  tmr_add (gw->tmr, CRASHFEED_TICK_US, CRASHFEED_TICK_US, on_tick, gw);
  return quarantine;
}
