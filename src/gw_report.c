/* Reports of usage, the duty of the holder of the authority over the engines.

   After the end of a window the holder adds up the counts of all gateways,
   writes the sum to the ledger, and sends what the ledger says.  */
#include <string.h>

#include "fleetsum.h"
#include "gw_usage.h"
#include "usage_ledger.h"

#define LEDGER_KEY "usage/ledger"
#define CLOUD_PEER "cloud"

enum
{
  RETRY_MS = 200,      /* after a call of the store that failed */
  WRITE_TIME_MS = 200, /* of counts, in a store in order */
  /* Missing counts are awaited for this part of the time until a report is
     due, and for so long after the store has become reachable, but not in the
     last part of that time.  */
  COLLECT_PART = 3,
  COLLECT_MS = 2500,
  COLLECT_LAST_PART = 4,
  COLLECT_RETRY_MS = 400,
  /* Within which others answer what they were told.  */
  ASK_MS = 250,
  ASK_AGAIN_MS = 1000,
  /* A gateway whose record is complete up to so many windows before has
     ended before the windows of interest.  */
  PARTIAL_WINDOWS = 2,
  KEEP_MS = 60000, /* older windows are left out */
  /* Of the ledger.  The store takes values of 1 MB.  */
  LEDGER_BYTES_MAX = 768 * 1024,
  /* Less than the time for which the next holder waits.  */
  CONFIRMATION_MAX_AGE_MS = 1000,
  CONNECT_MS = 400,
  ANSWER_MS = 1500,
  ANSWER_MAX_BYTES = 64 * 1024,
  /* A holder that reaches nobody for so long leaves the duty to another one,
     which then has at least the pause.  */
  UNREACHABLE_MS = 3000,
  HAND_OVER_PAUSE_MS = 15000
};

enum operation
{
  OP_NONE,
  OP_LOAD,
  OP_COLLECT,
  OP_COMMIT,
  OP_CONFIRM,
  OP_SEND
};

/* What the holder does, one operation at a time.  */
struct gw_report
{
  uint64_t token; /* under which LEDGER was read, or 0 */
  enum operation op;
  struct usage_ledger *ledger;
  uint64_t ledger_revision; /* 0: the store has none */
  uint64_t ledger_era;
  int is_loaded;
  int64_t next_us; /* of the next operation, after one that failed */
  /* The listing of the counts in progress.  */
  struct usage *sum;
  uint64_t last;      /* window up to which counts are collected */
  GHashTable *closed; /* gateway -> uint64_t, from which counts may change */
  /* Gateways with a record that is incomplete, although it isn't old.  */
  GHashTable *partial;
  GHashTable *merged;    /* keys whose record is in SUM */
  int64_t asked_us;      /* when others were asked for the missing counts */
  uint64_t asked;        /* up to this window */
  int64_t collecting_us; /* first listing since the store failed, or 0 */
  char *after;           /* last key of the page before */
  /* Start of the last read of the authority, and of the last that confirmed
     it, by the steady clock: a machine that was suspended reads again.  */
  int64_t confirming_us;
  int64_t confirmed_us;
  uint64_t sending; /* window */
  int status;
  int64_t sent_us;
  int64_t unreachable_us; /* since when all calls have failed, or 0 */
};

/* Forgets what was known as the holder.  */
static void
holder_reset (struct gw_usage *usage)
{
  struct gw_report *holder = usage->report;

  usage_ledger_start (holder->ledger, 0);
  holder->is_loaded = 0;
  holder->ledger_revision = 0;
  holder->next_us = 0;
  holder->confirmed_us = 0;
  holder->collecting_us = 0;
  holder->unreachable_us = 0;
}

/* Ends operation OP.  Returns nonzero when this gateway is still the holder
   that began it.  */
static int
op_end (struct gw *gw)
{
  struct gw_report *holder = gw->usage->report;

  holder->op = OP_NONE;
  return holder->token != 0 && gw_stage_duty_token (gw) == holder->token;
}

/* Begins again with the ledger, after a while.  */
static void
op_failed (struct gw *gw)
{
  struct gw_report *holder = gw->usage->report;

  holder->collecting_us = 0;
  holder->next_us = gw_now (gw) + gw_ms_to_us (RETRY_MS);
}

/* Sets the first window to be reported where the ledger doesn't tell.  A store
   that was restored may have lost what was written before reports that were
   sent, so that only windows that haven't ended are known not to be
   reported.  */
static void
ledger_begin (struct gw *gw, int is_restored)
{
  struct gw_usage *usage = gw->usage;
  struct usage_ledger *ledger = usage->report->ledger;
  uint64_t window
      = usage_window_at (&usage->times, gw_usage_true_time (usage));
  uint64_t left_out;

  if (ledger->next == 0)
    usage_ledger_start (
        ledger, is_restored ? window
                            : usage_window_at (&usage->times,
                                               gw_usage_true_time (usage)
                                                   - usage->times.late_us));
  else if (is_restored && ledger->next < window)
    {
      left_out = window - ledger->next;
      ledger->next = window;
      usage->counts.left_out += left_out;
      event_log_write ("usage_restored", NULL,
                       "\"left_out\":%" G_GUINT64_FORMAT, left_out);
    }
}

static void
on_loaded (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;
  struct gw_report *holder = gw->usage->report;
  int is_restored = reply->era > 1;
  struct err err;

  gw->counts.store_calls++;
  gw_sync_note_era (gw, reply->era);
  if (!op_end (gw))
    return;
  usage_ledger_start (holder->ledger, 0);
  holder->ledger_revision = 0;
  if (reply->rc == STORE_OK && reply->n_items > 0)
    {
      holder->ledger_revision = reply->items[0].revision;
      if (usage_ledger_read (holder->ledger, reply->items[0].value,
                             reply->items[0].size, &err)
          != 0)
        {
          /* What was reported isn't known, as after a restoration.  */
          event_log_write ("usage_ledger_malformed", NULL, "\"error\":\"%s\"",
                           err.text);
          gw->usage->counts.malformed++;
          is_restored = 1;
        }
      else
        is_restored = holder->ledger->era != reply->era;
    }
  else if (reply->rc != STORE_ABSENT)
    {
      op_failed (gw);
      return;
    }
  holder->ledger_era = reply->era;
  holder->is_loaded = 1;
  ledger_begin (gw, is_restored);
  event_log_write ("usage_holder", NULL,
                   "\"token\":%" G_GUINT64_FORMAT
                   ",\"next\":%" G_GUINT64_FORMAT ",\"pending\":%u",
                   holder->token, holder->ledger->next,
                   holder->ledger->pending->len);
}

/* Returns the last window whose counts should be in the store.  */
static uint64_t
last_written (const struct gw *gw)
{
  const struct gw_usage *usage = gw->usage;

  return usage_window_at (&usage->times, gw_usage_true_time (usage)
                                             - gw_usage_spread_us (gw)
                                             - gw_ms_to_us (WRITE_TIME_MS))
         - 1;
}

static void
on_committed (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;
  struct gw_report *holder = gw->usage->report;

  gw->counts.store_calls++;
  gw_sync_note_era (gw, reply->era);
  if (!op_end (gw))
    return;
  if (reply->rc != STORE_OK || reply->era != holder->ledger_era)
    {
      event_log_write ("usage_not_committed", NULL, "\"outcome\":%d",
                       reply->rc);
      holder->is_loaded = 0;
      op_failed (gw);
      return;
    }
  holder->ledger_revision = reply->revision;
  usage_ledger_commit (holder->ledger);
  gw_report_step (gw, gw_now (gw));
}

/* Writes the windows up to LAST with their counts to the ledger, or as many of
   them as there is room for.  */
static void
commit (struct gw *gw, uint64_t last)
{
  struct gw_usage *usage = gw->usage;
  struct gw_report *holder = usage->report;
  GString *value = g_string_new (NULL);
  uint64_t window;

  for (window = holder->ledger->next; window <= last; window++)
    {
      usage_ledger_extend (holder->ledger, window, holder->sum);
      g_string_truncate (value, 0);
      usage_ledger_write (holder->ledger, holder->ledger_era, value);
      if (value->len > LEDGER_BYTES_MAX / 2)
        break;
    }
  holder->op = OP_COMMIT;
  gw->store_api->put (gw->store_ctx, LEDGER_KEY, holder->ledger_revision,
                      value->str, value->len, 0, on_committed, gw);
  g_string_free (value, TRUE);
}

static void collect (struct gw *gw);

/* Returns the number of registered gateways whose counts of WINDOW aren't
   complete.  */
static size_t
missing_at (const struct gw *gw, uint64_t window)
{
  GHashTableIter iter;
  gpointer name;
  size_t n = 0;

  g_hash_table_iter_init (&iter, gw_sync_registered (gw));
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      const uint64_t *closed
          = g_hash_table_lookup (gw->usage->report->closed, name);
      n += closed == NULL || *closed <= window;
    }
  return n;
}

/* Asks the other gateways for what those with incomplete records have told
   them.  Returns nonzero while their answers are awaited.  */
static int
ask_witnesses (struct gw *gw)
{
  struct gw_usage *usage = gw->usage;
  struct gw_report *holder = usage->report;
  int64_t now = gw_now (gw);
  const char *names[USAGE_WITNESS_NAMES_MAX];
  GHashTableIter iter;
  gpointer name;
  size_t n = 0;

  if (holder->asked >= holder->last
      && now - holder->asked_us < gw_ms_to_us (ASK_AGAIN_MS))
    return now - holder->asked_us < gw_ms_to_us (ASK_MS);
  g_hash_table_iter_init (&iter, gw_sync_registered (gw));
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (holder->closed, name))
      g_hash_table_add (holder->partial, g_strdup (name));
  if (g_hash_table_size (holder->partial) == 0)
    return 0;
  holder->asked_us = now;
  holder->asked = holder->last;
  g_hash_table_iter_init (&iter, holder->partial);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      names[n++] = name;
      if (n < USAGE_WITNESS_NAMES_MAX)
        continue;
      usage_witness_ask (usage->witness, 0, fleetsum_id (gw->set.node), names,
                         n, holder->ledger->next, holder->last);
      n = 0;
    }
  if (n > 0)
    usage_witness_ask (usage->witness, 0, fleetsum_id (gw->set.node), names, n,
                       holder->ledger->next, holder->last);
  return 1;
}

/* Returns nonzero when the counts of WINDOW are complete or no more of them
   are awaited.  */
static int
may_commit (const struct gw *gw, uint64_t window, int is_asking)
{
  const struct gw_usage *usage = gw->usage;
  int64_t age
      = gw_usage_true_time (usage) - usage_window_end (&usage->times, window);
  int64_t collecting = tmr_now (gw->tmr) - usage->report->collecting_us;
  size_t missing = missing_at (gw, window);
  int is_last
      = age >= usage->times.late_us - usage->times.late_us / COLLECT_LAST_PART;

  if (!is_last
      && (is_asking
          || (missing > 0
              && (age < usage->times.late_us / COLLECT_PART
                  || collecting < gw_ms_to_us (COLLECT_MS)))))
    return 0;
  if (missing > 0)
    event_log_write (
        "usage_incomplete", NULL,
        "\"window\":%" G_GUINT64_FORMAT ",\"missing\":%zu,\"gateways\":%u",
        window, missing, g_hash_table_size (gw_sync_registered (gw)));
  return 1;
}

/* Adds what others were told of a record that isn't in the store.  */
static void
add_told (void *ctx, const char *key, const struct usage *told)
{
  struct gw_report *holder = ctx;

  if (!g_hash_table_contains (holder->merged, key))
    usage_sum (holder->sum, told, holder->ledger->next, holder->last);
}

/* Handles the end of a listing of the counts.  */
static void
collected (struct gw *gw)
{
  struct gw_report *holder = gw->usage->report;
  uint64_t window = holder->ledger->next;
  int is_asking = ask_witnesses (gw);

  if (holder->collecting_us == 0)
    holder->collecting_us = gw_now (gw);
  usage_witness_each (gw->usage->witness, add_told, holder);
  while (window <= holder->last && may_commit (gw, window, is_asking))
    window++;
  if (window > holder->ledger->next)
    commit (gw, window - 1);
  else
    holder->next_us = gw_now (gw) + gw_ms_to_us (COLLECT_RETRY_MS);
}

/* Notes that the counts of NODE before CLOSED are complete.  The latest of its
   records decides.  */
static void
note_closed (struct gw_report *holder, char *node, uint64_t closed)
{
  const uint64_t *known = g_hash_table_lookup (holder->closed, node);

  if (known == NULL || *known < closed)
    g_hash_table_replace (holder->closed, node,
                          g_memdup2 (&closed, sizeof closed));
  else
    g_free (node);
}

/* Adds a record in the store, with what others know of it besides.  */
static void
collect_item (struct gw *gw, const struct store_item *item)
{
  struct gw_report *holder = gw->usage->report;
  const char *key = item->key + strlen (GW_USAGE_COUNTS_PREFIX);
  const char *slash = strrchr (key, '/');
  const struct usage *told = usage_witness_find (gw->usage->witness, key);
  struct usage *record = usage_new ();
  uint64_t first = holder->ledger->next;
  uint64_t closed;
  struct err err;

  if (usage_merge (record, item->value, item->size, first, holder->last,
                   &closed, &err)
          != 0
      || slash == NULL)
    {
      gw->usage->counts.malformed++;
      event_log_write ("usage_malformed", NULL, "\"key\":\"%s\"", item->key);
      usage_free (record);
      return;
    }
  if (told != NULL)
    usage_raise (record, told, first, holder->last);
  usage_sum (holder->sum, record, first, holder->last);
  usage_free (record);
  g_hash_table_add (holder->merged, g_strdup (key));
  if (closed <= holder->last && closed + PARTIAL_WINDOWS >= first)
    g_hash_table_add (holder->partial, g_strndup (key, (gsize)(slash - key)));
  note_closed (holder, g_strndup (key, (gsize)(slash - key)), closed);
}

static void
on_collected (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;
  struct gw_report *holder = gw->usage->report;
  size_t i;

  gw->counts.store_calls++;
  gw_sync_note_era (gw, reply->era);
  if (!op_end (gw))
    return;
  if (reply->rc != STORE_OK || reply->era != holder->ledger_era)
    {
      holder->is_loaded &= reply->rc != STORE_OK;
      op_failed (gw);
      return;
    }
  for (i = 0; i < reply->n_items; i++)
    if (g_str_has_prefix (reply->items[i].key, GW_USAGE_COUNTS_PREFIX))
      collect_item (gw, &reply->items[i]);
  g_clear_pointer (&holder->after, g_free);
  if (reply->more && reply->n_items > 0)
    {
      holder->after = g_strdup (reply->items[reply->n_items - 1].key);
      collect (gw);
    }
  else
    collected (gw);
}

static void
collect (struct gw *gw)
{
  struct gw_report *holder = gw->usage->report;

  holder->op = OP_COLLECT;
  gw->store_api->list (gw->store_ctx, GW_USAGE_COUNTS_PREFIX, holder->after, 0,
                       on_collected, gw);
}

static void
collect_begin (struct gw *gw, uint64_t last)
{
  struct gw_report *holder = gw->usage->report;

  usage_free (holder->sum);
  holder->sum = usage_new ();
  holder->last = last;
  g_hash_table_remove_all (holder->closed);
  g_hash_table_remove_all (holder->partial);
  g_hash_table_remove_all (holder->merged);
  g_clear_pointer (&holder->after, g_free);
  collect (gw);
}

static enum http_client_verdict
on_head (void *ctx, const struct http_head *head)
{
  struct gw *gw = ctx;

  gw->usage->report->status = head->status;
  return HTTP_CLIENT_ACCEPT;
}

static void
on_body (void *ctx, const char *data, size_t size)
{
  (void)ctx;
  (void)data;
  (void)size;
}

/* Notes whether the platform answers.  A holder that reaches nobody hands the
   duty over, since the fault may be its own.  */
static void
note_reached (struct gw *gw, int is_reached)
{
  struct gw_report *holder = gw->usage->report;
  int64_t now = gw_now (gw);

  if (is_reached)
    holder->unreachable_us = 0;
  else if (holder->unreachable_us == 0)
    holder->unreachable_us = holder->sent_us;
  else if (now - holder->unreachable_us >= gw_ms_to_us (UNREACHABLE_MS)
           && g_hash_table_size (gw_sync_registered (gw)) > 1)
    {
      event_log_write ("usage_handed_over", NULL,
                       "\"token\":%" G_GUINT64_FORMAT, holder->token);
      gw->usage->counts.handed_over++;
      gw_stage_hand_over (gw, gw_ms_to_us (HAND_OVER_PAUSE_MS));
      holder->token = 0;
      holder_reset (gw->usage);
    }
}

static void
on_sent (void *ctx, enum http_client_result end)
{
  struct gw *gw = ctx;
  struct gw_usage *usage = gw->usage;
  struct gw_report *holder = usage->report;
  uint64_t window = holder->sending;
  struct usage_report report = { .window = window };
  int is_answered = holder->status != 0 && end != HTTP_CLIENT_NOT_SENT;
  enum adapter_duty_result result
      = is_answered ? gw->adapter->duty_result (holder->status)
                    : ADAPTER_DUTY_AGAIN;
  int64_t late_us = gw_usage_true_time (usage)
                    - usage_window_end (&usage->times, window)
                    - usage->times.late_us;
  guint i;

  for (i = 0; i < holder->ledger->pending->len; i++)
    if (g_array_index (holder->ledger->pending, struct usage_report, i).window
        == window)
      report = g_array_index (holder->ledger->pending, struct usage_report, i);
  event_log_write (
      "usage_report", NULL,
      "\"window\":%" G_GUINT64_FORMAT
      ",\"customers\":%u,\"requests\":%" G_GUINT64_FORMAT
      ",\"token\":%" G_GUINT64_FORMAT
      ",\"attempt\":%u,\"status\":%d,\"end\":%d,\"ms\":%" G_GINT64_FORMAT
      ",\"late_ms\":%" G_GINT64_FORMAT,
      window,
      usage_window (holder->ledger->usage, window) != NULL
          ? g_hash_table_size (usage_window (holder->ledger->usage, window))
          : 0,
      usage_total (holder->ledger->usage, window), holder->token,
      report.attempts + 1, holder->status, end,
      (gw_now (gw) - holder->sent_us) / 1000, late_us / 1000);
  if (result == ADAPTER_DUTY_DONE)
    {
      usage->counts.reported++;
      usage->counts.late += late_us > 0;
    }
  else
    usage->counts.attempts_failed++;
  if (!op_end (gw))
    return;
  if (result == ADAPTER_DUTY_DONE)
    usage_ledger_done (holder->ledger, window);
  else if (result == ADAPTER_DUTY_REFUSED && late_us > 0)
    {
      usage->counts.left_out++;
      usage_ledger_done (holder->ledger, window);
    }
  else
    usage_ledger_failed (holder->ledger, window, gw_now (gw));
  note_reached (gw, is_answered);
}

static void
send_report (struct gw *gw, uint64_t window, int64_t now)
{
  static const struct http_client_ops ops
      = { on_head, on_body, on_sent, ANSWER_MAX_BYTES, ANSWER_MS };
  struct gw_report *holder = gw->usage->report;
  struct adapter_duty duty = { gw->set.node, holder->token };
  GString *out = g_string_new (NULL);

  holder->op = OP_SEND;
  holder->sending = window;
  holder->status = 0;
  holder->sent_us = now;
  gw->usage->counts.attempts++;
  gw->adapter->usage_write (out, gw->set.cloud, &duty, window,
                            usage_window (holder->ledger->usage, window));
  if (http_client_call (gw->cli, gw->set.cloud, CLOUD_PEER, out->str, out->len,
                        CONNECT_MS, 0, &ops, gw)
      == 0)
    on_sent (gw, HTTP_CLIENT_NOT_SENT);
  g_string_free (out, TRUE);
}

static void
on_confirmed (void *ctx, int confirmed)
{
  struct gw *gw = ctx;
  struct gw_report *holder = gw->usage->report;

  if (!op_end (gw))
    return;
  if (!confirmed)
    {
      op_failed (gw);
      return;
    }
  holder->confirmed_us = holder->confirming_us;
  gw_report_step (gw, gw_now (gw));
}

/* Sends the next report, after a read of the authority.  Returns nonzero when
   there is one.  */
static int
send_step (struct gw *gw, int64_t now)
{
  struct gw_usage *usage = gw->usage;
  struct gw_report *holder = usage->report;
  const struct usage_report *report = usage_ledger_pick (
      holder->ledger, &usage->times, now, gw_usage_true_time (usage));

  if (report == NULL
      || (holder->sent_us != 0
          && now - holder->sent_us
                 < (int64_t)(G_USEC_PER_SEC / gw->set.duties_per_s)))
    return 0;
  if (holder->confirmed_us != 0
      && usage->steady_clock () - holder->confirmed_us
             <= gw_ms_to_us (CONFIRMATION_MAX_AGE_MS))
    {
      send_report (gw, report->window, now);
      return 1;
    }
  holder->op = OP_CONFIRM;
  holder->confirming_us = usage->steady_clock ();
  gw_stage_confirm (gw, on_confirmed, gw);
  return 1;
}

static void
leave_out_old (struct gw *gw)
{
  struct gw_usage *usage = gw->usage;
  uint64_t first = usage_window_at (
      &usage->times, gw_usage_true_time (usage) - usage->times.late_us
                         - gw_ms_to_us (KEEP_MS));
  uint64_t n = usage_ledger_leave_out (usage->report->ledger, first);

  if (n == 0)
    return;
  usage->counts.left_out += n;
  event_log_write ("usage_left_out", NULL,
                   "\"before\":%" G_GUINT64_FORMAT
                   ",\"windows\":%" G_GUINT64_FORMAT,
                   first, n);
}

void
gw_report_step (struct gw *gw, int64_t now)
{
  struct gw_usage *usage = gw->usage;
  struct gw_report *holder = usage->report;
  uint64_t token = gw_stage_duty_token (gw);
  uint64_t last;

  if (holder->op != OP_NONE)
    return;
  if (token != holder->token)
    {
      holder->token = token;
      holder_reset (usage);
    }
  if (token == 0 || now < holder->next_us)
    return;
  if (!holder->is_loaded || holder->ledger_era != gw->store_era)
    {
      holder->is_loaded = 0;
      holder->op = OP_LOAD;
      gw->store_api->get (gw->store_ctx, LEDGER_KEY, on_loaded, gw);
      return;
    }
  leave_out_old (gw);
  if (send_step (gw, now))
    return;
  last = last_written (gw);
  if (last >= holder->ledger->next)
    collect_begin (gw, last);
}

uint64_t
gw_report_token (const struct gw_report *holder)
{
  return holder->token;
}

struct gw_report *
gw_report_new (void)
{
  struct gw_report *holder = g_new0 (struct gw_report, 1);

  holder->ledger = usage_ledger_new ();
  holder->partial
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  holder->merged
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  holder->closed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return holder;
}
