#include <arpa/inet.h>
#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "agent.h"
#include "cfg_sync.h"
#include "daemon.h"
#include "goldcresthatch/log.h"

enum
{
  KV_TIMEOUT_S = 1,
  DRAIN_POLL_MS = 20
};

#define MEMBER(n, k, ...)                                                     \
  {                                                                           \
    .name = #n, .kind = k, .offset = offsetof (struct agent_settings, n),     \
    __VA_ARGS__                                                               \
  }

static const struct settings_member members[] = {
  MEMBER (name, SETTINGS_TEXT, .required = 1, .max = MSG_NAME_MAX_BYTES - 1),
  MEMBER (zone, SETTINGS_TEXT, .required = 1, .max = MSG_NAME_MAX_BYTES - 1),
  MEMBER (listen, SETTINGS_ADDRESS, .required = 1),
  MEMBER (lock, SETTINGS_ADDRESS, .required = 1),
  MEMBER (endpoint, SETTINGS_ADDRESS, .required = 1),
  MEMBER (kind, SETTINGS_TEXT, .required = 1, .words = "engine|plain"),
  MEMBER (service, SETTINGS_TEXT, .required = 1,
          .max = MSG_NAME_MAX_BYTES - 1),
  MEMBER (health_path, SETTINGS_TEXT, .text = "/health"),
  MEMBER (kv, SETTINGS_ADDRESS, .required = 1),
  MEMBER (log_level, SETTINGS_TEXT, .text = "info",
          .words = "error|warn|info|debug"),
  MEMBER (keys, SETTINGS_TEXT),
  MEMBER (capacity, SETTINGS_NUMBER, .number = 32, .min = 1, .max = 1024),
  MEMBER (drain_limit_s, SETTINGS_NUMBER, .number = 60, .min = 1, .max = 3600),
  MEMBER (window_ms, SETTINGS_NUMBER,
          .number = ATTEMPT_WINDOW_DEFAULT_US / 1000, .min = 100,
          .max = 600000),
};

/* Binds ADDRESS without SO_REUSEADDR, so that the kernel refuses a second
   agent on the VM even while the first is suspended.  */
static int
bind_lock_address (const char *address, struct err *err)
{
  struct sockaddr_in sin;
  int fd;

  settings_parse_address (address, &sin);
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || bind (fd, (struct sockaddr *)&sin, sizeof sin) != 0
      || listen (fd, 1) != 0)
    {
      err_set (err, ERR_CONFLICT, "lock", address,
               "another agent runs on this VM: %s", strerror (errno));
      if (fd >= 0)
        close (fd);
      return -1;
    }
  return fd;
}

static int
agent_open (void *ctx, const struct net_keys *keys, struct err *err)
{
  struct agent *agent = ctx;

  agent->lock_fd = bind_lock_address (agent->settings.lock, err);
  if (agent->lock_fd < 0)
    return -1;
  randombytes_buf (&agent->incarnation, sizeof agent->incarnation);
  agent->attempts
      = attempt_new (agent->incarnation, agent->settings.window_ms * 1000,
                     g_get_monotonic_time ());
  pthread_mutex_init (&agent->lock, NULL);
  agent->jobs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       (GDestroyNotify)agent_job_unref);
  agent->peers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  agent->workers = g_thread_pool_new (
      agent_job_run, agent, (gint)agent->settings.capacity, FALSE, NULL);
  agent_order_open (agent);
  agent->kv = kv_http_open (agent->settings.kv, KV_TIMEOUT_S, err);
  if (agent->kv == NULL)
    return -1;
  agent_config_open (agent);
  agent->net = net_open_agent (agent->settings.listen, keys, &agent_net_ops,
                               agent, err);
  if (agent->net == NULL)
    return -1;
  if (agent_config_start (agent, err) != 0)
    return -1;
  if (pthread_create (&agent->probe, NULL, agent_probe_main, agent) != 0)
    return err_set (err, ERR_LIMIT, "thread", NULL,
                    "cannot start the health check thread");
  if (agent_order_start (agent, err) != 0)
    return -1;
  log_write (LOG_LEVEL_INFO, NULL, "start", agent->settings.listen,
             "agent %s serves %s", agent->settings.name,
             agent->settings.service);
  return 0;
}

static unsigned
count_unfinished_jobs (struct agent *agent)
{
  unsigned left;

  pthread_mutex_lock (&agent->lock);
  left = g_hash_table_size (agent->jobs);
  pthread_mutex_unlock (&agent->lock);
  return left + agent_order_in_progress (agent);
}

/* Refuses new work and waits for the work in progress, until drain_limit_s or
   a second signal.  Returns the number of jobs and orders still in
   progress.  */
static unsigned
agent_drain (void *ctx)
{
  struct agent *agent = ctx;
  gint64 limit = g_get_monotonic_time ()
                 + agent->settings.drain_limit_s * G_USEC_PER_SEC;

  pthread_mutex_lock (&agent->lock);
  agent->state = MSG_AGENT_LEAVING;
  pthread_mutex_unlock (&agent->lock);
  agent_report (agent, 0);
  while (count_unfinished_jobs (agent) > 0 && g_get_monotonic_time () < limit)
    if (daemon_wait_signal (DRAIN_POLL_MS))
      break;
  return count_unfinished_jobs (agent);
}

static void
agent_close (void *ctx)
{
  struct agent *agent = ctx;
  g_atomic_int_set (&agent->stopping, 1);
  pthread_join (agent->probe, NULL);
  agent_order_stop (agent);
  g_thread_pool_free (agent->workers, FALSE, TRUE);
  cfg_sync_stop (agent->config);
  net_close (agent->net);
  agent_order_close (agent);
  agent_config_close (agent);
  kv_http_close (agent->kv);
  g_hash_table_destroy (agent->jobs);
  g_hash_table_destroy (agent->peers);
  attempt_free (agent->attempts);
  close (agent->lock_fd);
}

static const struct daemon_program program = {
  .name = "goldcresthatch-agent",
  .summary = "Sole access point to the runner of an endpoint VM.",
  .members = members,
  .member_count = G_N_ELEMENTS (members),
  .log_level = offsetof (struct agent_settings, log_level),
  .keys = offsetof (struct agent_settings, keys),
  .open = agent_open,
  .drain = agent_drain,
  .close = agent_close,
};

int
main (int argc, char **argv)
{
  static struct agent agent;

  return daemon_run (&program, argc, argv, &agent.settings, &agent);
}
