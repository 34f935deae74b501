/* Requests and prompt parts that crash runners: evidence from this gateway's
   own sends, and verdicts kept in the store for gateways that start.  */
#include <inttypes.h>
#include <string.h>

#include "crashfeed.h"
#include "fleetsum.h"
#include "gw_call.h"

#define STORE_PREFIX "quarantine/"

enum
{
  ANSWERED_MAX = 20000, /* answered parts that are remembered; about 3 MB */
  LIST_RETRY_MS = 200,
  PENDING_MAX = 4096,
  STORE_AGAIN_MAX = 64, /* verdicts; the store bears few writes */
  /* A runner that has ended may be back after this time.  */
  PENDING_MS = 1000
};

/* A request that was in progress at a runner that may have ended.  */
struct pending
{
  struct pool_runner *runner;
  uint64_t key;
  int64_t at_us;
  int answered; /* KEY was answered if the runner is still there */
};

/* What became of a runner.  */
enum fate
{
  FATE_UNKNOWN,
  FATE_ENDED,
  FATE_REACHED
};

struct gw_quarantine
{
  struct crashfeed *feed;
  GArray *pending; /* struct pending */
  int loading;     /* the verdicts in the store aren't read yet */
  char *after;     /* last key of the page before */
  uint64_t era;    /* of the store that has the verdicts, or 0 */
};

static void
log_verdict (uint64_t key)
{
  event_log_write ("quarantined", NULL,
                   "\"key\":\"%" PRIx64 "\",\"for_ms\":%" PRId64, key,
                   QUARANTINE_HOLD_US / 1000);
}

static void
add_pending (struct gw_call *call, uint64_t key, int answered)
{
  GArray *all = call->gw->quarantine->pending;
  struct pending pending = { call->runner, key, gw_now (call->gw), answered };

  if (all->len >= PENDING_MAX)
    return;
  call->runner->references++;
  g_array_append_val (all, pending);
}

void
gw_quarantine_note_broken (struct gw_call *call)
{
  size_t i;

  add_pending (call, call->fingerprint, 0);
  for (i = 0; i < call->in.n_parts; i++)
    add_pending (call, call->in.parts[i], 0);
  /* An engine takes many requests along.  At other runners a connection is
     opened only when the next request doesn't get one, either.  */
  if (call->service != NULL && call->service->is_engine)
    gw_probe_runner (call->gw, call->runner);
}

/* Returns nonzero when an answer to KEY is worth remembering.  Most requests
   come once.  */
static int
is_answer_of_use (const struct gw_call *call, uint64_t key)
{
  return key != call->fingerprint
         || quarantine_crashes (gw_quarantine_table (call->gw), key) > 0;
}

void
gw_quarantine_note_closed (struct gw_call *call)
{
  const struct adapter_answer *answer = &call->answer;
  int answered = call->phase == ADAPTER_WHOLE && answer->stamped
                 && !answer->not_run && answer->status < 500;
  size_t i;

  add_pending (call, call->fingerprint,
               answered && is_answer_of_use (call, call->fingerprint));
  for (i = 0; i < call->in.n_parts; i++)
    add_pending (call, call->in.parts[i], answered);
}

/* Logs what became of a runner, and whether that is evidence for or against a
   request that was in progress there.  */
static void
log_fate (const struct gw *gw, const struct pending *pending, enum fate fate,
          int is_evidence)
{
  static const char *const names[] = { [FATE_UNKNOWN] = "unknown",
                                       [FATE_ENDED] = "ended",
                                       [FATE_REACHED] = "reached" };
  const char *evidence = fate == FATE_ENDED ? "against" : "for";

  event_log_write ("runner_fate", NULL,
                   "\"runner\":\"%s\",\"fate\":\"%s\",\"key\":\"%" PRIx64
                   "\",\"evidence\":\"%s\",\"crashes\":%zu,\"ms\":%" PRId64,
                   pending->runner->entry.id, names[fate], pending->key,
                   is_evidence ? evidence : "none",
                   quarantine_crashes (gw_quarantine_table (gw), pending->key),
                   (tmr_now (gw->tmr) - pending->at_us) / 1000);
}

/* Decides on what is pending for RUNNER, or for all runners if it is null, of
   which FATE was seen at SINCE.  A request whose connection ended later stays
   pending, unless the runner has ended.  Returns nonzero when one stays.  */
static int
settle (struct gw *gw, struct pool_runner *runner, int64_t since,
        enum fate fate)
{
  GArray *pending = gw->quarantine->pending;
  GArray *found
      = g_array_new (FALSE, FALSE, sizeof (struct quarantine_evidence));
  int stays = 0;
  guint i = 0;

  while (i < pending->len)
    {
      const struct pending *at = &g_array_index (pending, struct pending, i);
      struct quarantine_evidence evidence
          = { at->key, fate == FATE_ENDED ? at->runner->hash : 0,
              gw_now (gw) - at->at_us };
      int is_evidence
          = fate == FATE_ENDED || (fate == FATE_REACHED && at->answered);
      if ((runner != NULL && at->runner != runner)
          || (fate != FATE_ENDED && at->at_us > since))
        {
          stays |= at->runner == runner;
          i++;
          continue;
        }
      log_fate (gw, at, fate, is_evidence);
      at->runner->references--;
      g_array_remove_index_fast (pending, i);
      if (is_evidence)
        g_array_append_val (found, evidence);
    }
  crashfeed_add (gw->quarantine->feed,
                 (const struct quarantine_evidence *)(void *)found->data,
                 found->len, gw_now (gw));
  g_array_free (found, TRUE);
  return stays;
}

void
gw_quarantine_note_probe (struct gw *gw, struct pool_runner *runner,
                          int64_t started, enum gw_probe_result result)
{
  /* Silence may be a fault of this gateway's own link, which would accuse all
     that it has sent.  */
  static const enum fate fates[] = { [GW_PROBE_ACCEPTED] = FATE_REACHED,
                                     [GW_PROBE_REFUSED] = FATE_ENDED,
                                     [GW_PROBE_SILENT] = FATE_UNKNOWN };

  if (settle (gw, runner, result == GW_PROBE_SILENT ? INT64_MAX : started,
              fates[result]))
    gw_probe_runner (gw, runner);
}

void
gw_quarantine_note_reached (struct gw *gw, struct pool_runner *runner,
                            int64_t started, int reached)
{
  GArray *pending = gw->quarantine->pending;
  guint i;

  for (i = 0; i < pending->len; i++)
    if (g_array_index (pending, struct pending, i).runner == runner)
      break;
  if (i == pending->len)
    return;
  if (reached)
    settle (gw, runner, started, FATE_REACHED);
  else
    gw_probe_runner (gw, runner);
}

void
gw_quarantine_note_answer (struct gw_call *call)
{
  struct gw *gw = call->gw;
  struct quarantine_evidence answers[ADAPTER_PARTS_MAX + 1];
  size_t n = 0;
  size_t i;

  if (is_answer_of_use (call, call->fingerprint))
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
      uint64_t key = g_ascii_strtoull (name, NULL, 16);
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

  settle (gw, NULL, now - gw_ms_to_us (PENDING_MS), FATE_UNKNOWN);
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
  quarantine->pending = g_array_new (FALSE, FALSE, sizeof (struct pending));
  tmr_add (gw->tmr, CRASHFEED_TICK_US, CRASHFEED_TICK_US, on_tick, gw);
  return quarantine;
}
