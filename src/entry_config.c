#include "entry.h"

#include <stdlib.h>

#include "goldcresthatch/log.h"

enum
{
  CONFIG_POLL_US = 500 * 1000
};

struct entry_config
{
  struct entry *entry;
  pthread_t thread;
  struct cfg_doc *doc;
  pthread_mutex_t lock;
  struct cfg_snapshot *snapshot;
};

static void
poll_document (struct entry_config *config)
{
  struct kv_value value = { 0 };
  struct cfg_snapshot *old;
  struct cfg_doc *doc;
  struct err err;

  if (kv_get (config->entry->kv, CFG_KEY, &value, &err) != 1)
    return;
  doc = cfg_parse (value.data, value.size, CFG_KEY, NULL, &err);
  kv_value_free (&value);
  if (doc == NULL)
    {
      log_err (LOG_LEVEL_WARN, NULL, &err);
      return;
    }
  if (!cfg_adopt (&config->doc, doc))
    return;
  pthread_mutex_lock (&config->lock);
  old = config->snapshot;
  config->snapshot = cfg_snapshot_new (config->doc);
  pthread_mutex_unlock (&config->lock);
  cfg_snapshot_unref (old);
}

static void *
config_main (void *arg)
{
  struct entry_config *config = arg;

  while (!g_atomic_int_get (&config->entry->stopping))
    {
      if (config->entry->kv != NULL)
        poll_document (config);
      g_usleep (CONFIG_POLL_US);
    }
  return NULL;
}

int
entry_config_open (struct entry *entry, struct err *err)
{
  struct entry_config *config = calloc (1, sizeof *config);

  if (config == NULL)
    return err_set (err, ERR_LIMIT, "config", NULL, "out of memory");
  config->entry = entry;
  config->doc = cfg_default ();
  config->snapshot = cfg_snapshot_new (config->doc);
  pthread_mutex_init (&config->lock, NULL);
  entry->config = config;
  if (pthread_create (&config->thread, NULL, config_main, config) != 0)
    return err_set (err, ERR_LIMIT, "thread", NULL, "cannot start a thread");
  return 0;
}

void
entry_config_close (struct entry *entry)
{
  pthread_join (entry->config->thread, NULL);
  cfg_snapshot_unref (entry->config->snapshot);
  cfg_free (entry->config->doc);
  free (entry->config);
}

struct cfg_snapshot *
entry_config_get (struct entry *entry)
{
  struct cfg_snapshot *snapshot;

  pthread_mutex_lock (&entry->config->lock);
  snapshot = cfg_snapshot_ref (entry->config->snapshot);
  pthread_mutex_unlock (&entry->config->lock);
  return snapshot;
}
