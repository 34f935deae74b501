/* Usage: counts of the requests that began to run.

   Each gateway writes its counts under a key of its own after the end of each
   window, and when it stops.  Between two writes it tells them to others.  */
#include <msgpack.h>
#include <string.h>
#include <time.h>

#include "fleetsum.h"
#include "gw_call.h"
#include "gw_usage.h"
#include "mpcheck.h"
#include "truetime.h"
#include "usage.h"
#include "usage_witness.h"

enum
{
  STEP_MS = 100,
  /* The counts of a long window are also written before its end.  */
  WRITE_MS = 30000,
  RETRY_MS = 200, /* after a call of the store that failed */
  /* The last counts of a window are written within this time of its end, at
     random.  */
  SPREAD_PER_GATEWAY_MS = 4,
  SPREAD_MIN_MS = 200,
  SPREAD_MAX_MS = 1500,
  LEASE_MS = 180000, /* longer than windows are reported */
  LEASE_ROTATE_MS = 60000,
  /* Between two times that other gateways are told what isn't written.  */
  TELL_MS = 500,
  TELL_WINDOWS_MAX = 8,
  /* Datagrams that tell the time of day.  */
  CLOCK_VERSION = 11, /* other datagrams between gateways have other numbers */
  CLOCK_FIELDS = 3,
  CLOCK_MS = 1000,
  CLOCK_STALL_MS = 500 /* what is received after it may be old */
};

static int64_t
read_clock (clockid_t clock)
{
  struct timespec ts;

  clock_gettime (clock, &ts);
  return (int64_t)ts.tv_sec * G_USEC_PER_SEC + ts.tv_nsec / 1000;
}

static int64_t
day_clock (void)
{
  return read_clock (CLOCK_REALTIME);
}

static int64_t
steady_clock (void)
{
  return read_clock (CLOCK_BOOTTIME);
}

int64_t
gw_usage_true_time (const struct gw_usage *usage)
{
  return truetime_at (&usage->clock, usage->steady_clock ());
}

int64_t
gw_usage_spread_us (const struct gw *gw)
{
  return gw_ms_to_us (CLAMP ((int64_t)gw->processes * SPREAD_PER_GATEWAY_MS,
                             SPREAD_MIN_MS, SPREAD_MAX_MS));
}

/* Returns the window of now.  A small correction of the clock doesn't lead
   back into a window that is said to be closed.  */
static uint64_t
current_window (const struct gw_usage *usage)
{
  uint64_t window
      = usage_window_at (&usage->times, gw_usage_true_time (usage));

  return window + 1 == usage->writing ? usage->writing : window;
}

/* Counting.  */

void
gw_usage_note_begun (struct gw_call *call)
{
  struct gw_usage *usage = call->gw->usage;

  if (usage == NULL || call->usage_noted || call->tenant == NULL
      || call->phase != ADAPTER_WHOLE
      || strlen (call->tenant->name) > USAGE_NAME_BYTES_MAX)
    return;
  call->usage_noted = 1;
  usage_add (usage->usage, current_window (usage), call->tenant->name, 1);
  usage->counts.counted++;
  usage->is_dirty = 1;
  usage->is_untold = 1;
}

static void
on_granted (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;
  struct gw_usage *usage = gw->usage;

  gw->counts.store_calls++;
  gw_sync_note_era (gw, reply->era);
  usage->is_granting = 0;
  if (reply->rc != STORE_OK)
    return;
  /* A store that was restored may have lost the record.  */
  usage->is_dirty |= reply->era != usage->lease_era;
  usage->lease = reply->lease;
  usage->lease_era = reply->era;
  usage->lease_us = usage->lease_asked_us;
}

/* Returns nonzero when there is a lease for the counts, and gets a new one in
   time.  The next write moves the record to it; the old one ends by itself. */
static int
has_lease (struct gw *gw, int64_t now)
{
  struct gw_usage *usage = gw->usage;
  int64_t age = now - usage->lease_us;
  int is_valid = usage->lease != 0 && usage->lease_era == gw->store_era
                 && age < gw_ms_to_us (LEASE_MS / 2);

  if (!usage->is_granting
      && (!is_valid || age >= gw_ms_to_us (LEASE_ROTATE_MS))
      && (usage->lease_asked_us == 0
          || now - usage->lease_asked_us >= gw_ms_to_us (RETRY_MS)))
    {
      usage->is_granting = 1;
      usage->lease_asked_us = now;
      gw->store_api->grant (gw->store_ctx, LEASE_MS, on_granted, gw);
    }
  return is_valid;
}

static void
on_written (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;
  struct gw_usage *usage = gw->usage;
  uint64_t kept;

  gw->counts.store_calls++;
  gw_sync_note_era (gw, reply->era);
  usage->is_writing = 0;
  if (reply->rc != STORE_OK)
    {
      usage->counts.write_failures++;
      usage->is_dirty = 1;
      if (reply->rc == STORE_ABSENT)
        usage->lease = 0;
      usage->retry_us
          = gw_now (gw) + gw_ms_to_us (RETRY_MS)
            + (int64_t)(gw_random (gw) % (uint64_t)gw_ms_to_us (RETRY_MS));
      return;
    }
  usage->closed = usage->writing;
  /* Windows stay while a holder may still want to report them in time.  */
  kept = usage_window_at (&usage->times, gw_usage_true_time (usage)
                                             - usage->times.late_us
                                             - usage->times.window_us);
  usage_drop (usage->usage, MIN (kept, usage->closed));
}

static void
write_counts (struct gw *gw, uint64_t window, int64_t now)
{
  struct gw_usage *usage = gw->usage;
  GString *value = g_string_new (NULL);

  usage->is_writing = 1;
  usage->is_dirty = 0;
  usage->writing = window;
  usage->next_write_us = now + gw_ms_to_us (WRITE_MS);
  usage->counts.writes++;
  usage_encode (usage->usage, window, value);
  gw->store_api->set (gw->store_ctx, usage->key, value->str, value->len,
                      usage->lease, on_written, gw);
  g_string_free (value, TRUE);
}

/* Writes the counts if their time has come: those of a window shortly after
   its end, at a random time, and those of a long one now and then.  */
static void
write_step (struct gw *gw, int64_t now)
{
  struct gw_usage *usage = gw->usage;
  uint64_t window = current_window (usage);
  int64_t begin = (int64_t)window * usage->times.window_us;
  int closes;

  if (usage->close_at < begin
      || usage->close_at > begin + usage->times.window_us)
    usage->close_at
        = begin
          + (int64_t)(gw_random (gw) % (uint64_t)gw_usage_spread_us (gw));
  closes = window != usage->closed
           && gw_usage_true_time (usage) >= usage->close_at;
  /* The return of a store that fails is seen from calls that go on anyway.  */
  if ((!gw_sync_store_answers (gw) && !gw->stopping) || !has_lease (gw, now)
      || usage->is_writing || now < usage->retry_us)
    return;
  if (closes
      || (usage->is_dirty && (gw->stopping || now >= usage->next_write_us)))
    write_counts (gw, window, now);
}

void
gw_usage_flush (struct gw *gw)
{
  if (gw->usage != NULL)
    write_step (gw, gw_now (gw));
}

/* Datagrams.  */

static void
send_witness (void *ctx, uint64_t to, const char *data, size_t size)
{
  gw_peers_send (ctx, to, data, size);
}

/* Tells another gateway what isn't in the store yet.  */
static void
tell_step (struct gw *gw, int64_t now)
{
  struct gw_usage *usage = gw->usage;
  uint64_t window = current_window (usage);
  uint64_t to;

  if (!usage->is_untold || now - usage->told_us < gw_ms_to_us (TELL_MS))
    return;
  usage->told_us = now;
  usage_witness_expire (usage->witness, now - usage->times.late_us
                                            - 2 * usage->times.window_us);
  to = gw_peers_any (gw);
  if (to == 0)
    return;
  usage->is_untold = 0;
  usage_witness_tell (
      usage->witness, to, usage->key + strlen (GW_USAGE_COUNTS_PREFIX),
      usage->usage,
      MAX (usage->closed,
           window > TELL_WINDOWS_MAX ? window - TELL_WINDOWS_MAX : 0),
      window);
}

static int
is_clock (const char *data, size_t size)
{
  return size > 2 && (unsigned char)data[0] == (0x90 | CLOCK_FIELDS)
         && data[1] == CLOCK_VERSION;
}

int
gw_usage_is_datagram (const char *data, size_t size)
{
  return is_clock (data, size) || usage_witness_is_message (data, size);
}

static int
receive_clock (struct gw *gw, const char *data, size_t size, struct err *err)
{
  struct gw_usage *usage = gw->usage;
  msgpack_unpacked unpacked;
  const msgpack_object *field;
  size_t offset = 0;
  int rc = -1;

  msgpack_unpacked_init (&unpacked);
  if (mpcheck (data, size) == 0
      && msgpack_unpack_next (&unpacked, data, size, &offset)
             == MSGPACK_UNPACK_SUCCESS
      && unpacked.data.type == MSGPACK_OBJECT_ARRAY
      && unpacked.data.via.array.size == CLOCK_FIELDS
      && unpacked.data.via.array.ptr[1].type == MSGPACK_OBJECT_POSITIVE_INTEGER
      && unpacked.data.via.array.ptr[2].type == MSGPACK_OBJECT_POSITIVE_INTEGER
      && unpacked.data.via.array.ptr[2].via.u64 <= INT64_MAX)
    {
      int64_t now = usage != NULL ? usage->steady_clock () : 0;
      field = unpacked.data.via.array.ptr;
      if (usage != NULL
          && now - usage->stepped_us < gw_ms_to_us (CLOCK_STALL_MS))
        truetime_hear (&usage->clock, field[1].via.u64,
                       (int64_t)field[2].via.u64, now);
      rc = 0;
    }
  msgpack_unpacked_destroy (&unpacked);
  return rc == 0 ? 0
                 : err_set (err, ERR_PROTOCOL, "read clock", NULL,
                            "a datagram of %zu bytes tells no time", size);
}

int
gw_usage_receive (struct gw *gw, const char *data, size_t size,
                  struct err *err)
{
  if (is_clock (data, size))
    return receive_clock (gw, data, size, err);
  return gw->usage == NULL ? 0
                           : usage_witness_receive (gw->usage->witness, data,
                                                    size, gw_now (gw), err);
}

/* Tells another gateway the time of day here.  */
static void
tell_clock (struct gw *gw, int64_t day_us)
{
  uint64_t to = gw_peers_any (gw);
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  if (to == 0)
    return;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, CLOCK_FIELDS);
  msgpack_pack_int (&packer, CLOCK_VERSION);
  msgpack_pack_uint64 (&packer, fleetsum_id (gw->set.node));
  msgpack_pack_uint64 (&packer, (uint64_t)day_us);
  gw_peers_send (gw, to, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
}

static void
clock_step (struct gw *gw, int64_t now)
{
  struct gw_usage *usage = gw->usage;
  int64_t day = usage->day_clock ();
  int64_t steady = usage->steady_clock ();

  /* After a stall, only datagrams that come from now on are fresh.  */
  usage->stepped_us = steady;
  if (truetime_note (&usage->clock, day, steady))
    event_log_write ("clock_stepped", NULL, "\"off_ms\":%" G_GINT64_FORMAT,
                     (day - truetime_at (&usage->clock, steady)) / 1000);
  if (now - usage->clock_told_us < gw_ms_to_us (CLOCK_MS))
    return;
  usage->clock_told_us = now;
  tell_clock (gw, day);
}

static void
on_step (void *ctx, int64_t now)
{
  struct gw *gw = ctx;

  clock_step (gw, now);
  write_step (gw, now);
  tell_step (gw, now);
  gw_report_step (gw, now);
}

void
gw_usage_set_clocks (struct gw *gw, int64_t (*day) (void),
                     int64_t (*steady) (void))
{
  gw->usage->day_clock = day;
  gw->usage->steady_clock = steady;
  memset (&gw->usage->clock, 0, sizeof gw->usage->clock);
  truetime_note (&gw->usage->clock, day (), steady ());
  gw->usage->stepped_us = steady ();
}

const struct gw_usage_stats *
gw_usage_stats_get (const struct gw *gw)
{
  return &gw->usage->counts;
}

void
gw_usage_new (struct gw *gw)
{
  static const struct usage_witness_ops witness_ops = { send_witness };
  struct gw_usage *usage;

  if (gw->set.usage_window_ms == 0)
    return;
  usage = g_new0 (struct gw_usage, 1);
  gw->usage = usage;
  usage->times.window_us = (int64_t)(gw->set.usage_window_ms * 1000);
  usage->times.late_us = (int64_t)(gw->set.usage_late_ms * 1000);
  usage->usage = usage_new ();
  usage->witness = usage_witness_new (&witness_ops, gw);
  usage->report = gw_report_new ();
  /* A gateway that is started again doesn't replace its earlier counts.  */
  usage->key
      = g_strdup_printf (GW_USAGE_COUNTS_PREFIX "%s/%" G_GINT64_MODIFIER "x",
                         gw->set.node, gw_random (gw));
  gw_usage_set_clocks (gw, day_clock, steady_clock);
  tmr_add (gw->tmr, gw_ms_to_us (STEP_MS), gw_ms_to_us (STEP_MS), on_step, gw);
}

void
gw_usage_metrics_write (const struct gw *gw, GString *out)
{
  const struct gw_usage *usage = gw->usage;
  const struct
  {
    const char *name;
    uint64_t value;
  } rows[] = {
    { "usage_counted_total", usage != NULL ? usage->counts.counted : 0 },
    { "usage_writes_total", usage != NULL ? usage->counts.writes : 0 },
    { "usage_write_failures_total",
      usage != NULL ? usage->counts.write_failures : 0 },
    { "usage_records_malformed_total",
      usage != NULL ? usage->counts.malformed : 0 },
    { "usage_report_attempts_total",
      usage != NULL ? usage->counts.attempts : 0 },
    { "usage_report_attempts_failed_total",
      usage != NULL ? usage->counts.attempts_failed : 0 },
    { "usage_windows_reported_total",
      usage != NULL ? usage->counts.reported : 0 },
    { "usage_windows_late_total", usage != NULL ? usage->counts.late : 0 },
    { "usage_windows_left_out_total",
      usage != NULL ? usage->counts.left_out : 0 },
    { "usage_handed_over_total",
      usage != NULL ? usage->counts.handed_over : 0 },
    { "usage_holder", usage != NULL ? gw_report_token (usage->report) : 0 },
    { "usage_clock_steps_total", usage != NULL ? usage->clock.steps : 0 },
  };
  size_t i;

  if (usage == NULL)
    return;
  for (i = 0; i < G_N_ELEMENTS (rows); i++)
    g_string_append_printf (out, "goldcresthatch_%s %" G_GUINT64_FORMAT "\n",
                            rows[i].name, rows[i].value);
}
