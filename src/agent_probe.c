#include "agent.h"

#include "goldcresthatch/metric.h"
#include "goldcresthatch/log.h"
#include "http.h"

enum
{
  PROBE_PERIOD_US = 250 * 1000,
  PROBE_TIMEOUT_S = 2,
  STATUS_OK = 200
};

static int
probe (struct agent *agent, struct err *err)
{
  struct http_call call = { .address = agent->settings.endpoint,
                            .method = "GET",
                            .path = agent->settings.health_path,
                            .timeout_s = PROBE_TIMEOUT_S };
  int status;

  return http_has_status (http_run (&call, &status, err))
         && status == STATUS_OK;
}

/* Sets the state of the endpoint; the agent's lock is held.  Returns nonzero
   when it changed.  */
static int
set_endpoint (struct agent *agent, int up)
{
  if (up == agent->endpoint_up)
    return 0;
  agent->endpoint_up = up;
  if (!up)
    metric_add (METRIC_ENDPOINT_CRASHES, 1);
  return 1;
}

static void
report_endpoint (struct agent *agent, const char *step, int up)
{
  log_write (up ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, NULL, step,
             agent->settings.endpoint, "endpoint is %s", up ? "up" : "down");
  if (!up)
    agent_order_endpoint_down (agent);
  agent_report (agent, 0);
}

void
agent_endpoint_failed (struct agent_job *job, int crashed)
{
  struct agent *agent = job->agent;
  uint64_t crash = 0;
  int changed;

  pthread_mutex_lock (&agent->lock);
  if (crashed && job->crashes == agent->crashes)
    crash = ++agent->crashes;
  agent->connection_failures++;
  changed = set_endpoint (agent, 0);
  pthread_mutex_unlock (&agent->lock);
  if (crash != 0)
    log_write (LOG_LEVEL_WARN, NULL, "run", agent->settings.endpoint,
               "crash %llu of the endpoint", (unsigned long long)crash);
  if (changed)
    report_endpoint (agent, "run", 0);
}

void *
agent_probe_main (void *arg)
{
  struct agent *agent = arg;
  struct err err = { 0 };
  uint64_t connection_failures;
  int changed;
  int up;

  while (!g_atomic_int_get (&agent->stopping))
    {
      pthread_mutex_lock (&agent->lock);
      connection_failures = agent->connection_failures;
      pthread_mutex_unlock (&agent->lock);
      up = probe (agent, &err);
      pthread_mutex_lock (&agent->lock);
      /* A call failed during the probe, possibly after the health check
         succeeded.  */
      if (connection_failures != agent->connection_failures)
        up = 0;
      changed = set_endpoint (agent, up);
      if (changed && !up)
        agent_attempt_crash (agent);
      pthread_mutex_unlock (&agent->lock);
      if (changed)
        report_endpoint (agent, "probe", up);
      g_usleep (PROBE_PERIOD_US);
    }
  return NULL;
}
