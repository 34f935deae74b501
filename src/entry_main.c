#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "daemon.h"
#include "entry.h"
#include "goldcresthatch/log.h"

enum
{
  KV_TIMEOUT_S = 1,
  HELLO_ALL_PERIOD_US = 2 * G_USEC_PER_SEC,
  DRAIN_POLL_MS = 20
};

#define MEMBER(n, k, ...)                                                     \
  {                                                                           \
    .name = #n, .kind = k, .offset = offsetof (struct entry_settings, n),     \
    __VA_ARGS__                                                               \
  }

static const struct settings_member members[] = {
  MEMBER (name, SETTINGS_TEXT, .required = 1, .max = MSG_NAME_MAX_BYTES - 1),
  MEMBER (zone, SETTINGS_TEXT, .required = 1, .max = MSG_NAME_MAX_BYTES - 1),
  MEMBER (listen, SETTINGS_ADDRESS, .required = 1),
  MEMBER (admin, SETTINGS_ADDRESS, .required = 1),
  MEMBER (kv, SETTINGS_ADDRESS, .required = 1),
  MEMBER (log_level, SETTINGS_TEXT, .text = "info",
          .words = "error|warn|info|debug"),
  /* Off, because prefill and decode of one request cannot run on two engines
     yet: a role for one of them would only restrict an engine.  */
  MEMBER (role_planning, SETTINGS_TEXT, .text = "off", .words = "on|off"),
  MEMBER (drain_limit_s, SETTINGS_NUMBER, .number = 60, .min = 1, .max = 3600),
  MEMBER (drain_notice_ms, SETTINGS_NUMBER, .number = 2000, .min = 0,
          .max = 60000),
  MEMBER (deadline_ms, SETTINGS_NUMBER, .number = 60000, .min = 1,
          .max = 3600000),
  MEMBER (workers, SETTINGS_NUMBER, .number = 16, .min = 1, .max = 256),
  MEMBER (prefill_us, SETTINGS_NUMBER, .number = 20, .min = 0, .max = 100000),
  MEMBER (step_us, SETTINGS_NUMBER, .number = 10000, .min = 0, .max = 1000000),
  MEMBER (step_request_us, SETTINGS_NUMBER, .number = 300, .min = 0,
          .max = 100000),
  MEMBER (request_us, SETTINGS_NUMBER, .number = 10000, .min = 0,
          .max = 60000000),
  MEMBER (zone_distance_us, SETTINGS_NUMBER, .number = 1500, .min = 0,
          .max = 1000000),
  MEMBER (config_peers, SETTINGS_ADDRESSES),
  MEMBER (memory_mb, SETTINGS_NUMBER, .max = 1000000),
  MEMBER (max_fds, SETTINGS_NUMBER, .max = 1000000),
  MEMBER (keys, SETTINGS_TEXT),
};

static void *
tick_main (void *arg)
{
  struct entry *entry = arg;
  gint64 hello_us = 0;
  gint64 tick_us = 0;
  gint64 now;

  while (!g_atomic_int_get (&entry->stopping))
    {
      now = g_get_monotonic_time ();
      if (now - hello_us >= HELLO_ALL_PERIOD_US)
        {
          entry_fleet_send_hellos (entry);
          hello_us = now;
        }
      if (now >= tick_us)
        {
          entry_fleet_tick (entry, now);
          entry_call_tick (entry, now);
          entry_claim_check_service (entry, now);
          entry_warn_tick (entry, now);
          tick_us = now + (gint64)ENTRY_TICK_PERIOD_MS * 1000;
        }
      entry_admit_dispatch (entry);
      entry_admit_wait_for_slot (entry, tick_us);
    }
  return NULL;
}

static int
entry_open (void *ctx, const struct net_keys *keys, struct err *err)
{
  struct entry *entry = ctx;
  char identity[SETTINGS_TEXT_BYTES + 32];

  randombytes_buf (&entry->incarnation, sizeof entry->incarnation);
  pthread_mutex_init (&entry->lock, NULL);
  retry_init (&entry->retries, &entry_retry_config);
  entry_fleet_open (entry);
  entry_admit_open (entry);
  entry->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                        (GDestroyNotify)entry_call_unref);
  entry_control_open (entry);
  entry_trace_open (entry);
  entry_warn_open (entry);
  if (entry_config_open (entry, err) != 0)
    return -1;
  entry->kv = kv_http_open (entry->settings.kv, KV_TIMEOUT_S, err);
  if (entry->kv == NULL || entry_claim_open (entry, err) != 0)
    return -1;
  snprintf (identity, sizeof identity, "%.64s/%016llx", entry->settings.name,
            (unsigned long long)entry->incarnation);
  entry->net = net_open_entry (identity, keys, &entry_net_ops, entry, err);
  if (entry->net == NULL)
    return -1;
  if (entry_config_start (entry, err) != 0
      || entry_suspect_open (entry, err) != 0)
    return -1;
  if (pthread_create (&entry->list_thread, NULL, entry_fleet_list_main, entry)
          != 0
      || pthread_create (&entry->tick_thread, NULL, tick_main, entry) != 0)
    return err_set (err, ERR_LIMIT, "thread", NULL,
                    "cannot start the threads for the VM list and for ticks");
  if (entry_control_start (entry, err) != 0)
    return -1;
  if (entry_http_open (entry, err) != 0)
    return -1;
  log_write (LOG_LEVEL_INFO, NULL, "start", entry->settings.listen, "entry %s",
             entry->settings.name);
  return 0;
}

static unsigned
calls_left (struct entry *entry)
{
  unsigned left;

  pthread_mutex_lock (&entry->lock);
  left = g_hash_table_size (entry->calls);
  pthread_mutex_unlock (&entry->lock);
  return left;
}

/* Waits for the calls in progress, until drain_limit_s or a second signal, and
   answers new requests with 503 meanwhile.  The entry keeps listening for
   drain_notice_ms even without calls, because a load balancer sends callers to
   it until its next health check, and a refused connection would leave them
   without an answer.  Returns the number of calls still in progress.  */
static unsigned
entry_drain (void *ctx)
{
  struct entry *entry = ctx;
  gint64 now = g_get_monotonic_time ();
  gint64 notice = now + entry->settings.drain_notice_ms * 1000;
  gint64 limit = now + entry->settings.drain_limit_s * G_USEC_PER_SEC;

  g_atomic_int_set (&entry->draining, 1);
  while (now < limit && (now < notice || calls_left (entry) > 0))
    {
      if (daemon_wait_signal (DRAIN_POLL_MS))
        break;
      now = g_get_monotonic_time ();
    }
  entry_http_stop_listening (entry);
  return calls_left (entry);
}

static void
entry_close (void *ctx)
{
  struct entry *entry = ctx;
  entry_http_close (entry);
  g_atomic_int_set (&entry->stopping, 1);
  pthread_join (entry->tick_thread, NULL);
  pthread_join (entry->list_thread, NULL);
  entry_control_stop (entry);
  entry_config_stop (entry);
  entry_suspect_close (entry);
  net_close (entry->net);
  entry_control_close (entry);
  entry_claim_close (entry);
  entry_config_close (entry);
  kv_http_close (entry->kv);
  entry_http_free (entry);
  entry_trace_close (entry);
  entry_warn_close (entry);
  g_hash_table_destroy (entry->calls);
  entry_admit_close (entry);
  entry_fleet_close (entry);
}

static const struct daemon_program program = {
  .name = "goldcresthatch-entry",
  .summary = "Entry: callers' interface of the serving system.",
  .members = members,
  .member_count = G_N_ELEMENTS (members),
  .log_level = offsetof (struct entry_settings, log_level),
  .keys = offsetof (struct entry_settings, keys),
  .open = entry_open,
  .drain = entry_drain,
  .close = entry_close,
};

int
main (int argc, char **argv)
{
  static struct entry entry;

  return daemon_run (&program, argc, argv, &entry.settings, &entry);
}
