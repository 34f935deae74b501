#ifndef CFG_SYNC_H
#define CFG_SYNC_H

/*
 * Keeps the configuration of a daemon up to date: polls the key-value service,
 * exchanges deltas with other processes and publishes a snapshot.  A separate
 * thread parses and adopts documents, so the network thread never waits for
 * that.
 *
 * Lock order: the lock of the document is a leaf that may be held while a
 * delta is parsed; readers of the snapshot take no lock.
 */

#include <glib.h>
#include <stdbool.h>

#include "goldcresthatch/cfg.h"
#include "goldcresthatch/net.h"
#include "goldcresthatch/settings.h"

struct cfg_sync;

struct cfg_sync_ops
{
  /* Returns the number of entries and agents of the fleet.  */
  size_t (*fleet_size) (void *ctx);

  /* Called after SNAP has been published.  cfg_sync_generation returns its
     generation only after this call has returned.  */
  void (*adopted) (void *ctx, struct cfg_snapshot *snap);
};

/* PEERS, which may be null, are the admin addresses that are queried when the
   service is not available at the start.  */
struct cfg_sync *cfg_sync_open (const struct cfg_sync_ops *ops, void *ctx,
                                const struct settings_list *peers);

/* Starts the thread.  Returns 0 or -1.  */
int cfg_sync_start (struct cfg_sync *sync, struct kv *kv, struct net *net,
                    struct err *err);

/* Ends the thread.  NET and KV are not used afterwards.  */
void cfg_sync_stop (struct cfg_sync *sync);
void cfg_sync_close (struct cfg_sync *sync);

/* The following are safe from any thread.  */
uint64_t cfg_sync_generation (struct cfg_sync *sync);

/* Returns true once the service or more than half of the peers have been
   read.  */
bool cfg_sync_ready (struct cfg_sync *sync);

/* Returns the longest time between two polls of the service, in
   microseconds.  */
int64_t cfg_sync_poll_max_us (struct cfg_sync *sync);

/* Returns the snapshot with a reference.  Safe under any lock.  */
struct cfg_snapshot *cfg_sync_snapshot (struct cfg_sync *sync);

/* Returns the delta from HAVE, or null when HAVE is not behind; free by
   g_free.  GENERATION is set in both cases.  */
char *cfg_sync_delta (struct cfg_sync *sync, uint64_t have,
                      uint64_t *generation);

/* Handles the announcement that PEER holds GENERATION: requests a delta from
   it when that is ahead.  */
void cfg_sync_on_peer_generation (struct cfg_sync *sync, uint64_t peer,
                                  uint64_t generation);

/* Queue a CFG_GET or CFG_DATA message for the thread, without blocking.  */
void cfg_sync_on_get (struct cfg_sync *sync, uint64_t peer,
                      const struct msg *msg);
void cfg_sync_on_data (struct cfg_sync *sync, uint64_t peer,
                       const struct msg *msg);

#endif
