/* Command line, event loop, startup and shutdown of the gateway.  */
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <xxhash.h>

#include "gw.h"
#include "gw_stop.h"
#include "opts.h"
#include "proclimits.h"

enum
{
  LOG_FLUSH_MS = 200,
  SETTINGS_POLL_MS = 2000, /* between two checks of the settings file */
  TICK_MS = 100,           /* also the resolution of connection timeouts */
  PROCESSES_DEFAULT = 8,   /* gateways assumed until they are listed */
  /* Reading the store takes a few round trips.  Requests wait no longer when
     it is away.  */
  START_HOLD_MS = 100
};

struct driver
{
  struct gw *gw;
  uv_timer_t timer;
  uv_prepare_t prepare;
  uv_check_t check;
  uv_signal_t term;
  uv_signal_t hup;
  struct timespec settings_mtime; /* modification time of the settings file */
};

static int64_t
clock_us (void)
{
  return (int64_t)(uv_hrtime () / 1000);
}

int64_t
gw_now (struct gw *gw)
{
  return tmr_now (gw->tmr);
}

void
gw_random_seed (struct gw *gw, const char *name, uint64_t entropy)
{
  gw->seed = XXH64 (name, strlen (name), entropy);
  /* Zero is a fixed point of xorshift.  */
  if (gw->seed == 0)
    gw->seed = 1;
}

uint64_t
gw_random (struct gw *gw)
{
  /* xorshift64*: not for cryptography, good enough to spread load.  */
  gw->seed ^= gw->seed >> 12;
  gw->seed ^= gw->seed << 25;
  gw->seed ^= gw->seed >> 27;
  return gw->seed * UINT64_C (2685821657736338717);
}

struct retry_window *
gw_retry_budget (struct gw *gw, const char *service)
{
  struct retry_window *budget = g_hash_table_lookup (gw->budgets, service);

  if (budget == NULL)
    {
      budget = g_new0 (struct retry_window, 1);
      g_hash_table_insert (gw->budgets, g_strdup (service), budget);
    }
  return budget;
}

static void
on_timer (uv_timer_t *timer)
{
  (void)timer;
}

/* Runs the timers that are due and arms the loop's timer for the next one.  */
static void
on_prepare (uv_prepare_t *prepare)
{
  struct driver *driver = prepare->data;
  struct tmr *tmr = driver->gw->tmr;
  int64_t due;
  int64_t wait_ms;

  tmr_advance (tmr, clock_us ());
  due = tmr_next_due (tmr);
  if (due < 0)
    return;
  wait_ms = (due - clock_us () + 999) / 1000;
  uv_timer_start (&driver->timer, on_timer,
                  wait_ms > 0 ? (uint64_t)wait_ms : 0, 0);
}

static void
on_check (uv_check_t *check)
{
  struct driver *driver = check->data;

  tmr_advance (driver->gw->tmr, clock_us ());
}

static void
on_flush (void *ctx, int64_t now)
{
  (void)ctx;
  (void)now;
  event_log_flush ();
}

static void
on_tick (void *ctx, int64_t now)
{
  struct gw *gw = ctx;
  int i;

  for (i = 0; i < GW_LISTENER_MAX; i++)
    if (gw->request_listeners[i].srv != NULL)
      http_server_check_timeouts (gw->request_listeners[i].srv);
  http_server_check_timeouts (gw->ready);
  if (gw->metrics != NULL)
    http_server_check_timeouts (gw->metrics);
  http_client_check_timeouts (gw->cli);
  pool_tick (gw->runner_pool, now);
}

static void
exit_now (void *ctx)
{
  struct gw *gw = ctx;

  event_log_write ("stop", NULL,
                   "\"requests\":%" G_GUINT64_FORMAT
                   ",\"answered\":%" G_GUINT64_FORMAT ",\"cut\":%zu",
                   gw->counts.requests, gw->counts.answered, gw->active);
  event_log_flush ();
  exit (EXIT_SUCCESS);
}

static void
on_term (uv_signal_t *signal, int number)
{
  struct driver *driver = signal->data;

  (void)number;
  gw_stop_begin (driver->gw, exit_now, driver->gw);
}

static void
reload_settings (struct gw *gw)
{
  const char *path = gw->loop.data;
  struct gw_settings next;
  GString *errors = g_string_new (NULL);

  if (gw_settings_read (path, &next, errors) != 0)
    {
      struct json_object *text = json_object_new_string (errors->str);

      event_log_write ("reload", NULL, "\"outcome\":\"kept\",\"error\":%s",
                       json_object_to_json_string (text));
      json_object_put (text);
      g_string_free (errors, TRUE);
      return;
    }
  g_string_free (errors, TRUE);
  /* Addresses and names can't change while the process runs.  */
  gw->set.repeat_ratio = next.repeat_ratio;
  gw->set.repeat_slack = next.repeat_slack;
  gw->set.repeat_window_ms = next.repeat_window_ms;
  gw->set.prefill_share = next.prefill_share;
  gw->set.admit_factor = next.admit_factor;
  gw->set.overflow_share = next.overflow_share;
  gw->set.direct_tokens = next.direct_tokens;
  gw->set.grace_ms = next.grace_ms;
  gw->set.duties_per_s = next.duties_per_s;
  event_log_write ("reload", NULL, "\"outcome\":\"in force\"");
}

static void
on_hup (uv_signal_t *signal, int number)
{
  struct driver *driver = signal->data;

  (void)number;
  reload_settings (driver->gw);
}

/* Reloads the settings file when it has changed without a SIGHUP.  */
static void
on_settings_poll (void *ctx, int64_t now)
{
  struct driver *driver = ctx;
  struct stat st;

  (void)now;
  if (stat (driver->gw->loop.data, &st) != 0
      || (st.st_mtim.tv_sec == driver->settings_mtime.tv_sec
          && st.st_mtim.tv_nsec == driver->settings_mtime.tv_nsec))
    return;
  if (driver->settings_mtime.tv_sec != 0)
    reload_settings (driver->gw);
  driver->settings_mtime = st.st_mtim;
}

static void
start_loop (struct gw *gw, struct driver *driver, const char *path)
{
  driver->gw = gw;
  gw->loop.data = (void *)path;
  uv_timer_init (&gw->loop, &driver->timer);
  gw->clock = clock_us;
  uv_prepare_init (&gw->loop, &driver->prepare);
  uv_check_init (&gw->loop, &driver->check);
  uv_signal_init (&gw->loop, &driver->term);
  uv_signal_init (&gw->loop, &driver->hup);
  driver->prepare.data = driver;
  driver->check.data = driver;
  driver->term.data = driver;
  driver->hup.data = driver;
  uv_prepare_start (&driver->prepare, on_prepare);
  uv_check_start (&driver->check, on_check);
  uv_signal_start (&driver->term, on_term, SIGTERM);
  uv_signal_start (&driver->hup, on_hup, SIGHUP);
  signal (SIGPIPE, SIG_IGN);
  tmr_add (gw->tmr, gw_ms_to_us (LOG_FLUSH_MS), gw_ms_to_us (LOG_FLUSH_MS),
           on_flush, gw);
  tmr_add (gw->tmr, gw_ms_to_us (TICK_MS), gw_ms_to_us (TICK_MS), on_tick, gw);
  tmr_add (gw->tmr, 0, gw_ms_to_us (SETTINGS_POLL_MS), on_settings_poll,
           driver);
}

static int
open_listeners (struct gw *gw, struct err *err)
{
  const char *addresses[GW_LISTENER_MAX]
      = { [GW_LISTENER_CLIENTS] = gw->set.listen_front,
          [GW_LISTENER_GATEWAYS] = gw->set.listen_relay };
  const struct http_server_progress progress
      = { (int64_t)gw->set.body_ms, (size_t)gw->set.body_bytes_per_s };
  int i;

  for (i = 0; i < GW_LISTENER_MAX; i++)
    {
      struct gw_listener *request_listener = &gw->request_listeners[i];
      request_listener->gw = gw;
      request_listener->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
      if (addresses[i][0] == '\0')
        continue;
      request_listener->srv = http_server_new (
          &gw->loop, addresses[i], &gw_call_ops, request_listener, err);
      if (request_listener->srv == NULL)
        return -1;
      http_server_set_budget (request_listener->srv, &gw->budget);
      http_server_set_progress (request_listener->srv, &progress);
    }
  return 0;
}

int
gw_run (int argc, char **argv, const struct adapter_ops *adapter,
        const struct store_functions *store_api,
        void *(*open_store) (struct http_client *cli, struct tmr *tmr,
                             const char *address))
{
  enum
  {
    CACHE_ENTRIES_MAX = 40000, /* cached blocks of all engines; about 4 MB */
    MEMORY_DEFAULT_MB = 120    /* of the smallest usual VM of a gateway */
  };
  static struct gw gw;
  static struct driver driver;
  uint64_t entropy;
  struct opts opts;
  enum opts_start start
      = opts_read ("goldcresthatch-gateway",
                   "Gateway: callers' interface on the users' platform.",
                   "GOLDCRESTHATCH_CONFIG", argc, argv, &opts);
  GString *errors = g_string_new (NULL);
  struct err err;

  if (start != OPTS_RUN)
    return start == OPTS_DONE ? EXIT_SUCCESS : OPTS_EXIT_USAGE;
  if (gw_settings_read (opts.settings, &gw.set, errors) != 0)
    {
      fputs (errors->str, stderr);
      return EXIT_FAILURE;
    }
  g_string_free (errors, TRUE);
  if (opts.check)
    return EXIT_SUCCESS;
  event_log_open (gw.set.node);
  if (uv_random (NULL, NULL, &entropy, sizeof entropy, 0, NULL) != 0)
    {
      fputs ("goldcresthatch-gateway: cannot read random numbers from the "
             "system\n",
             stderr);
      return 1;
    }
  gw_random_seed (&gw, gw.set.node, entropy);
  uv_loop_init (&gw.loop);
  gw.tmr = tmr_new_virtual (clock_us ());
  gw.adapter = adapter;
  gw.store_api = store_api;
  gw.cli = http_client_new (&gw.loop);
  http_client_set_budget (gw.cli, &gw.budget);
  gw.store_ctx = open_store (gw.cli, gw.tmr, gw.set.store);
  gw.runner_pool = pool_new ();
  gw.lb = lb_new (&lb_speed_default, CACHE_ENTRIES_MAX);
  gw.budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gw.processes = PROCESSES_DEFAULT;
  gw_quarantine_new (&gw);
  gw_fate_new (&gw);
  gw_resume_new (&gw);
  if (gw.set.tenant_shares > 0)
    gw_share_new (&gw);
  gw_hold_new (&gw, gw_ms_to_us (START_HOLD_MS), gw_is_loaded);
  start_loop (&gw, &driver, opts.settings);
  if (proclimits_apply (&gw.budget, gw.set.memory_mb, gw.set.max_fds,
                        MEMORY_DEFAULT_MB, &err)
          != 0
      || open_listeners (&gw, &err) != 0 || gw_pages_open (&gw, &err) != 0
      || gw_peers_open (&gw, &err) != 0)
    {
      event_log_write ("start_failed", NULL,
                       "\"peer\":\"%s\",\"error\":\"%s\"", err.peer, err.text);
      event_log_flush ();
      fprintf (stderr, "goldcresthatch-gateway: %s\n", err.text);
      return 1;
    }
  event_log_write ("start", NULL, "\"listen\":\"%s\",\"store\":\"%s\"",
                   gw.set.listen_front, gw.set.store);
  gw_relay_new (&gw);
  gw_stage_new (&gw);
  gw_sync_new (&gw);
  gw_usage_new (&gw);
  gw_quarantine_load (&gw);
  uv_run (&gw.loop, UV_RUN_DEFAULT);
  return 0;
}
