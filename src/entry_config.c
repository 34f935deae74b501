#include "entry.h"

#include <stdlib.h>

struct entry_config
{
  struct cfg_doc *doc;
  struct cfg_snapshot *snapshot;
};

int
entry_config_open (struct entry *entry, struct err *err)
{
  struct entry_config *config = calloc (1, sizeof *config);

  if (config == NULL)
    return err_set (err, ERR_LIMIT, "config", NULL, "out of memory");
  config->doc = cfg_default ();
  config->snapshot = cfg_snapshot_new (config->doc);
  entry->config = config;
  return 0;
}

void
entry_config_close (struct entry *entry)
{
  cfg_snapshot_unref (entry->config->snapshot);
  cfg_free (entry->config->doc);
  free (entry->config);
}

struct cfg_snapshot *
entry_config_get (struct entry *entry)
{
  return cfg_snapshot_ref (entry->config->snapshot);
}
