#include "agent.h"

#include "cfg_sync.h"

/* Returns the number of runners in the document plus the number of entries
   that sent a recent HELLO.  */
static size_t
fleet_size (void *ctx)
{
  struct agent *agent = ctx;
  struct cfg_snapshot *snap = cfg_sync_snapshot (agent->config);
  size_t size = snap->runner_count;

  cfg_snapshot_unref (snap);
  pthread_mutex_lock (&agent->lock);
  size += g_hash_table_size (agent->peers);
  pthread_mutex_unlock (&agent->lock);
  return size;
}

/* The agent applies no setting of the document itself.  */
static void
adopted (void *ctx, struct cfg_snapshot *snap)
{
  (void)ctx;
  (void)snap;
}

static const struct cfg_sync_ops sync_ops = { fleet_size, adopted };

void
agent_config_open (struct agent *agent)
{
  agent->config = cfg_sync_open (&sync_ops, agent, NULL);
}

int
agent_config_start (struct agent *agent, struct err *err)
{
  return cfg_sync_start (agent->config, agent->kv, agent->net, err);
}

void
agent_config_close (struct agent *agent)
{
  cfg_sync_close (agent->config);
}
