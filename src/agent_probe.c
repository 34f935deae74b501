#include "agent.h"

#include "goldcresthatch/ctr.h"
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

  return http_run (&call, &status, err) == HTTP_OK && status == STATUS_OK;
}

void *
agent_probe_main (void *arg)
{
  struct agent *agent = arg;
  struct err err = { 0 };
  int changed;
  int up;

  while (!g_atomic_int_get (&agent->stopping))
    {
      up = probe (agent, &err);
      pthread_mutex_lock (&agent->lock);
      changed = up != agent->endpoint_up;
      agent->endpoint_up = up;
      if (changed && !up)
        agent_run_crash (agent);
      pthread_mutex_unlock (&agent->lock);
      if (changed)
        {
          log_write (up ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, NULL, "probe",
                     agent->settings.endpoint, "endpoint is %s",
                     up ? "up" : "down");
          if (!up)
            ctr_add (CTR_ENDPOINT_CRASHES, 1);
          agent_report (agent, 0);
        }
      g_usleep (PROBE_PERIOD_US);
    }
  return NULL;
}
