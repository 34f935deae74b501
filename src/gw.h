#ifndef GW_H
#define GW_H
/*
 * NAME
 *   gw - the gateway: an entry that calls the runners itself
 *
 * DESCRIPTION
 *   One thread and one event loop.  A platform is met through the tables of
 *   functions in adapter.h and store.h.  Times are in microseconds of the
 * timer service unless a name says otherwise.
 */
#include <glib.h>
#include <stdint.h>
#include <uv.h>

#include "adapter.h"
#include "goldcresthatch/authority.h"
#include "goldcresthatch/slotmap.h"
#include "goldcresthatch/tmr.h"
#include "gw_settings.h"
#include "http_client.h"
#include "http_server.h"
#include "event_log.h"
#include "pool.h"
#include "reqstate.h"
#include "lb.h"
#include "routing.h"
#include "retry_window.h"
#include "store.h"

struct gw_sync;
struct gw_stage;
struct gw_peers;
struct gw_relay;

/* A listener whose requests are served.  */
struct gw_listener
{
  struct gw *gw;
  struct http_server *srv;
  GHashTable *calls; /* connection -> struct gw_call */
};

enum gw_listener_id
{
  GW_LISTENER_CLIENTS,
  GW_LISTENER_GATEWAYS, /* requests that other gateways relay */
  GW_LISTENER_MAX
};

struct gw_counts
{
  uint64_t requests;
  uint64_t answered; /* a runner's answer was passed on whole */
  uint64_t refused;  /* not run */
  uint64_t failed;   /* 502, 504 or cut */
  uint64_t left;     /* by the client */
  uint64_t repeats;  /* sends after the first */
  uint64_t prompts;  /* read apart */
  uint64_t relayed;  /* to another gateway */
  uint64_t store_calls;
};

enum
{
  GW_LATENCY_BUCKETS = 16 /* of the latency histogram, by doubling from 1 ms */
};

struct gw
{
  uv_loop_t loop;
  struct tmr *tmr;
  struct gw_settings set;
  const struct adapter_ops *adapter;
  const struct store_functions *store_api;
  void *store_ctx;
  struct http_client *cli;
  struct gw_listener
      request_listeners[GW_LISTENER_MAX]; /* SRV may be null for gateways */
  struct http_server *ready;
  struct http_server *metrics;
  struct routing_table *table;
  struct runner_pool *runner_pool;
  struct lb *lb;
  GHashTable *budgets; /* service -> struct retry_window */
  unsigned processes;  /* gateways that are registered, this one included */
  struct gw_sync *sync;
  struct gw_stage *stage;
  struct gw_peers *share;
  struct gw_relay *relay;
  uint64_t seed; /* of the random numbers */
  int stopping;
  int64_t stop_at; /* end of the grace time */
  int64_t
      drain_notice_until; /* until then the balancer may send new clients */
  size_t active;          /* requests in progress */
  struct gw_counts counts;
  uint64_t latency[GW_LATENCY_BUCKETS];
};

static inline int64_t
gw_ms_to_us (int64_t ms)
{
  return ms * 1000;
}

int64_t gw_now (struct gw *gw);
/* Seeds gw_random from ENTROPY and the name of the process, so that processes
   which start with the same entropy draw different numbers.  */
void gw_random_seed (struct gw *gw, const char *name, uint64_t entropy);
uint64_t gw_random (struct gw *gw);
struct retry_window *gw_retry_budget (struct gw *gw, const char *service);

/* gw_call.c: the life of a request */
extern const struct http_server_ops
    gw_call_ops; /* their context is a gw_listener */

/* gw_relay.c: gateways that take requests from this one */
struct gw_relay *gw_relay_new (struct gw *gw);
/* Appends what other gateways need to know of this one.  */
void gw_relay_presence_write (const struct gw *gw, GString *out);
/* Replaces what is known of the others by the presences PRESENT, by name.  */
void gw_relay_update (struct gw *gw, GHashTable *present);
/* Returns the gateway to which a request of SIZE bytes is relayed, or null:
   it is sent to a runner from here.  */
struct pool_runner *gw_relay_choose (struct gw *gw, size_t size,
                                     struct pool_runner *const *excluded,
                                     size_t n_excluded);

/* gw_sync.c: configuration, runners and the other gateways, from the store */
struct gw_sync *gw_sync_new (struct gw *gw);
int gw_is_ready (const struct gw *gw);
/* Removes this gateway from the registered ones.  */
void gw_sync_withdraw (struct gw *gw);

/* gw_stage.c: authority and the stages of the engines */
struct gw_stage *gw_stage_new (struct gw *gw);
/* Gives up the authority; no order is given any more.  */
void gw_stage_resign (struct gw *gw);
/* Tells the place of this gateway among all, by name: the first ones stand by
   to take over the authority, the others look rarely.  */
void gw_stage_set_rank (struct gw *gw, size_t place);
/* Notes that a prompt of which UNREAD tokens are to be read apart was asked
   for, whether or not it is taken.  */
void gw_stage_note_demand (struct gw *gw, double unread);
/* Returns the engines that the prompts asked of this gateway keep busy.  */
double gw_stage_prefill_demand (const struct gw *gw);

/* gw_peers.c: what gateways tell each other */
int gw_peers_open (struct gw *gw, struct err *err);
/* Returns the engines that the prompts asked of the others keep busy.  */
double gw_peers_prefill_demand (const struct gw *gw);
/* Sets the addresses of the registered gateways; this one's may be among
   them.  */
void gw_peers_set_addresses (struct gw *gw, const char *const *addresses,
                             size_t n);

/* gw_page.c: readiness and metrics */
int gw_pages_open (struct gw *gw, struct err *err);

/* gw_run.c */
int gw_run (int argc, char **argv, const struct adapter_ops *adapter,
            const struct store_functions *store_api,
            void *(*open_store) (struct http_client *cli, struct tmr *tmr,
                                 const char *address));
#endif
