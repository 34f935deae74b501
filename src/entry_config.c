#include "entry.h"

#include "cfg_sync.h"

static size_t
fleet_size (void *ctx)
{
  struct entry *entry = ctx;

  return entry_fleet_count (entry) + entry->settings.config_peers.count;
}

static void
adopted (void *ctx, struct cfg_snapshot *snap)
{
  entry_fleet_apply_drains (ctx, snap);
}

static const struct cfg_sync_ops sync_ops = { fleet_size, adopted };

int
entry_config_open (struct entry *entry, struct err *err)
{
  (void)err;
  entry->config
      = cfg_sync_open (&sync_ops, entry, &entry->settings.config_peers);
  return 0;
}

int
entry_config_start (struct entry *entry, struct err *err)
{
  return cfg_sync_start (entry->config, entry->kv, entry->net, err);
}

void
entry_config_stop (struct entry *entry)
{
  cfg_sync_stop (entry->config);
}

void
entry_config_close (struct entry *entry)
{
  cfg_sync_close (entry->config);
}

struct cfg_snapshot *
entry_config_get (struct entry *entry)
{
  return cfg_sync_snapshot (entry->config);
}

uint64_t
entry_config_generation (struct entry *entry)
{
  return cfg_sync_generation (entry->config);
}

bool
entry_config_ready (struct entry *entry)
{
  return cfg_sync_ready (entry->config);
}
