#ifndef GW_H
#define GW_H
/*
 * NAME
 *   gw - the gateway: an HTTP proxy that sends requests to the runners itself
 *
 * DESCRIPTION
 *   The gateway has one thread and one event loop.  It uses the platform
 *   through the function tables declared in adapter.h and store.h.  Times are
 *   in microseconds of the clock of tmr unless a name says otherwise.
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
#include "fleetfeed.h"
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
struct gw_quarantine;
struct gw_fate;
struct gw_resume;
struct gw_hold;
struct gw_stop;
struct gw_usage;
struct gw_share;
struct fleetsum_value;
struct quarantine;
struct quarantine_evidence;

/* Demand for each stage, as the number of engines that it keeps busy.  */
struct gw_demand
{
  double prefill;
  double decode;
};

/* A listener for requests, with the requests in progress on it.  */
struct gw_listener
{
  struct gw *gw;
  struct http_server *srv;
  GHashTable *calls; /* connection -> struct gw_call */
};

enum gw_listener_id
{
  GW_LISTENER_CLIENTS,
  GW_LISTENER_GATEWAYS, /* requests relayed by peer gateways */
  GW_LISTENER_MAX
};

struct gw_counts
{
  uint64_t requests;
  uint64_t answered;     /* a runner's answer was forwarded to its end */
  uint64_t until_close;  /* answers that ended with their connection */
  uint64_t refused;      /* answered without being run */
  uint64_t failed;       /* answered 502 or 504, or aborted in the answer */
  uint64_t disconnected; /* the client disconnected first */
  uint64_t retries;
  uint64_t prefills; /* sends to a prefill engine */
  uint64_t relayed;  /* sends to a peer gateway */
  uint64_t store_calls;
  /* Datagrams of peer gateways.  */
  uint64_t load_queries; /* for the load of a request's candidates */
  uint64_t load_queries_incomplete; /* not all homes have replied in time */
  uint64_t store_notices;           /* changes in the store, or beats */
  uint64_t datagrams_sent;
  uint64_t datagrams_received;
  uint64_t datagrams_malformed;
  uint64_t quarantined;
  /* Work for the answers of runners.  */
  uint64_t answer_bytes;   /* of their bodies */
  uint64_t answer_pieces;  /* in which the bodies were handled */
  uint64_t searched_bytes; /* looked at for the end of an event */
  uint64_t keys_refused;   /* requests without a key that is in force */
  uint64_t shares_held;    /* refused under a limit lowered for their tenant */
  uint64_t streams;        /* with a target for pauses, ended whole */
  uint64_t streams_paused; /* of them, with a pause beyond it */
  /* What runners say in their answers.  */
  uint64_t leaving_told;
  uint64_t rest_asked;
  uint64_t fields_invalid;
};

enum
{
  GW_LATENCY_BUCKETS = 16 /* bounds double from 1 ms; the last is +Inf */
};

struct gw
{
  uv_loop_t loop;
  struct tmr *tmr;
  /* Returns the time now, which TMR learns after the callbacks of a poll;
     null: that of TMR.  */
  int64_t (*clock) (void);
  struct gw_settings set;
  const struct adapter_ops *adapter;
  const struct store_functions *store_api;
  void *store_ctx;
  uint64_t store_era; /* the latest that is known, or 0 */
  struct membudget budget;
  struct http_client *cli;
  /* Without listen_relay, SRV is null for gateways.  */
  struct gw_listener request_listeners[GW_LISTENER_MAX];
  struct http_server *ready;
  struct http_server *metrics;
  struct routing_table *table;
  struct runner_pool *runner_pool;
  struct lb *lb;
  GHashTable *budgets; /* service -> struct retry_window */
  unsigned processes;  /* registered gateways, including this one */
  struct gw_sync *sync;
  struct gw_stage *stage;
  struct gw_peers *peers;
  struct gw_relay *relay;
  struct gw_quarantine *quarantine;
  struct gw_fate *fate;
  struct gw_resume *resume;
  struct gw_hold *hold;   /* null: no request waits for the start */
  struct gw_usage *usage; /* null: usage isn't reported */
  struct gw_share *share; /* null: tenants have no shares */
  uint64_t seed;          /* state of the random number generator */
  int stopping;
  struct gw_stop *stop; /* while STOPPING */
  size_t active;        /* requests in progress */
  struct gw_counts counts;
  uint64_t latency[GW_LATENCY_BUCKETS];
};

/* Converts milliseconds to microseconds.  */
static inline int64_t
gw_ms_to_us (int64_t ms)
{
  return ms * 1000;
}

int64_t gw_now (struct gw *gw);
/* Seeds gw_random from ENTROPY and the name of the process, so that processes
   started with the same entropy get different numbers.  */
void gw_random_seed (struct gw *gw, const char *name, uint64_t entropy);
uint64_t gw_random (struct gw *gw);
/* Returns the retry budget of SERVICE; it is created on first use.  */
struct retry_window *gw_retry_budget (struct gw *gw, const char *service);

/* gw_call.c: the requests */
extern const struct http_server_ops
    gw_call_ops; /* the context is a gw_listener */

/* gw_relay.c: peer gateways to which requests can be relayed */
struct gw_relay *gw_relay_new (struct gw *gw);
/* Appends the value of this gateway's registry entry.  */
void gw_relay_presence_write (const struct gw *gw, GString *out);
/* Replaces the peer gateways by those in PRESENT, a map from name to the value
   of the registry entry.  */
void gw_relay_update (struct gw *gw, GHashTable *present);
/* Returns the gateway to which a request of SIZE bytes is relayed, in ZONE if
   possible, or null if this gateway sends it to a runner itself.  */
struct pool_runner *gw_relay_choose (struct gw *gw, size_t size,
                                     const char *zone,
                                     struct pool_runner *const *excluded,
                                     size_t n_excluded);

/* gw_sync.c: configuration, runners and peer gateways, read from the store */
struct gw_sync *gw_sync_new (struct gw *gw);
/* Returns nonzero once the configuration and the runners have been read, until
   the gateway stops.  */
int gw_is_ready (const struct gw *gw);
/* Returns nonzero unless the last calls of the store, here or at the gateways
   that this one follows, have failed.  */
int gw_sync_store_answers (const struct gw *gw);
/* Returns the registry as of the last listing, a map whose keys are the names
   of gateways.  */
GHashTable *gw_sync_registered (const struct gw *gw);
/* Returns nonzero once what requests need has been read.  */
int gw_is_loaded (const struct gw *gw);
/* Removes the registry entry of this gateway.  */
void gw_sync_withdraw (struct gw *gw);
/* Notes the era of which an answer of the store speaks.  */
void gw_sync_note_era (struct gw *gw, uint64_t era);
/* Applies changes in the store that another gateway has passed on.  */
void gw_sync_apply_notice (struct gw *gw,
                           const struct fleetfeed_notice *notice);

/* gw_stage.c: leadership and the stages of the engines */
struct gw_stage *gw_stage_new (struct gw *gw);
/* Gives up leadership; this gateway sends no more orders.  */
void gw_stage_resign (struct gw *gw);
/* Sets the rank of this gateway among all, in the order of their names.  The
   first few gateways are ready to take over leadership; the others look for a
   vacancy less often.  */
void gw_stage_set_rank (struct gw *gw, size_t place);
/* Returns nonzero when this gateway is one of those ready to take over.  */
int gw_stage_is_standby (const struct gw *gw);
/* Returns the fencing token of this gateway's orders, or 0 when it may not
   give any.  Tokens rise, also over the eras of the store.  */
uint64_t gw_stage_token (const struct gw *gw);
/* Returns the same token for a duty other than these orders, as of now.  */
uint64_t gw_stage_duty_token (const struct gw *gw);
/* Reads the leader's key.  FN is called with CTX, and nonzero when the key
   bears the token that this gateway had at the call.  */
void gw_stage_confirm (struct gw *gw, void (*fn) (void *ctx, int confirmed),
                       void *ctx);
/* Gives up leadership and leaves it to others for PAUSE_US.  */
void gw_stage_hand_over (struct gw *gw, int64_t pause_us);
/* Adds a prompt that takes READ_US to the prefill demand, whether or not the
   request is admitted.  */
void gw_stage_note_demand (struct gw *gw, double read_us);

/* gw_peers.c: sums of the load of all gateways, and changes in the store that
   gateways pass on */
struct gw_peer
{
  const char *name;
  const char *load_address;
  double link_mbit;
};

int gw_peers_open (struct gw *gw, struct err *err);
/* Sets the other gateways that take part in the sums.  */
void gw_peers_set (struct gw *gw, const struct gw_peer *peers, size_t n);
/* Contributes this gateway's current load at RUNNER.  */
void gw_peers_note_load (struct gw *gw, const struct pool_runner *runner);
/* Contributes this gateway's current sends to RUNNER, if it has a limit.  */
void gw_peers_note_limit (struct gw *gw, const struct pool_runner *runner);
/* Asks for the load of the other gateways at N runners, which the caller keeps
   referenced.  It is up to date when FN is called with CTX, or as far as the
   homes have replied within FLEETSUM_QUERY_US.  Returns the number of the
   query, or 0 when the load is up to date already; FN isn't called then.  */
uint64_t gw_peers_query (struct gw *gw, struct pool_runner *const *runners,
                         size_t n, void (*fn) (void *ctx), void *ctx);
/* Ends QUERY without a call of its function.  */
void gw_peers_cancel (struct gw *gw, uint64_t query);
/* Contributes the demand of this gateway's requests.  */
void gw_peers_set_demand (struct gw *gw, const struct gw_demand *demand);
/* Returns the demand at the other gateways as of the last query of it, and
   asks for it again.  */
struct gw_demand gw_peers_demand (struct gw *gw);
/* Sends changes in the store to the gateways that follow this one.  */
void gw_peers_publish (struct gw *gw, const struct fleetfeed_notice *notice);
/* Returns nonzero when this gateway watches the store for others.  */
int gw_peers_is_source (const struct gw *gw);
/* Returns nonzero when the changes of FEED up to REVISION are all that the
   followed gateways know of, and they can read the store.  */
int gw_peers_is_current (struct gw *gw, unsigned feed, uint64_t era,
                         uint64_t revision);
/* Sets this gateway's part of another sum, KEY.  */
void gw_peers_contribute (struct gw *gw, uint64_t key,
                          const struct fleetsum_value *value);
/* Asks for N such sums, at most FLEETSUM_KEYS_MAX.  */
void gw_peers_ask (struct gw *gw, const uint64_t *keys, size_t n);
/* Returns the number of homes of sums that don't reply.  */
size_t gw_peers_silent (const struct gw *gw);

/* Returns another gateway chosen at random, or 0 when there is none.  */
uint64_t gw_peers_any (struct gw *gw);
/* Sends a datagram to the gateway TO, or to all others if it is 0.  */
void gw_peers_send (struct gw *gw, uint64_t to, const char *data, size_t size);
/* Writes at most MAX other gateways to TO, in the order in which they keep
   what belongs to KEY.  Returns their number.  */
size_t gw_peers_rank (struct gw *gw, uint64_t key, uint64_t *to, size_t max);

/* gw_quarantine.c: requests and prompt parts that crash runners */
struct gw_quarantine *gw_quarantine_new (struct gw *gw);
/* Reads the verdicts in the store.  */
void gw_quarantine_load (struct gw *gw);
/* Returns nonzero once they have been read.  */
int gw_quarantine_is_loaded (const struct gw *gw);
/* Adds N pieces of evidence that were seen here.  */
void gw_quarantine_add (struct gw *gw,
                        const struct quarantine_evidence *evidence, size_t n);
/* Notes that the runners of N pieces of evidence may have ended.  */
void gw_quarantine_suspect (struct gw *gw,
                            const struct quarantine_evidence *evidence,
                            size_t n);
/* Returns the evidence known here.  */
const struct quarantine *gw_quarantine_table (const struct gw *gw);
/* Handles a datagram of another gateway.  Returns 0, or -1 with ERR when it is
   malformed.  */
int gw_quarantine_receive (struct gw *gw, const char *data, size_t size,
                           struct err *err);

/* gw_fate.c: what became of runners that broke off requests */
struct gw_fate *gw_fate_new (struct gw *gw);
enum gw_probe_result
{
  GW_PROBE_ACCEPTED,
  GW_PROBE_REFUSED, /* the machine is up, but nothing listens there */
  GW_PROBE_SILENT
};

/* Notes what became of a connection to RUNNER, opened at STARTED.  */
void gw_fate_note_probe (struct gw *gw, struct pool_runner *runner,
                         int64_t started, enum gw_probe_result result);
/* Notes whether a request to RUNNER, sent at STARTED, found it there.  */
void gw_fate_note_reached (struct gw *gw, struct pool_runner *runner,
                           int64_t started, int reached);

/* gw_hold.c: requests that arrive while the gateway starts */
/* Holds requests for FOR_US at most, until IS_LOADED returns nonzero.  */
void gw_hold_new (struct gw *gw, int64_t for_us,
                  int (*is_loaded) (const struct gw *gw));
/* Returns nonzero when the request is held and will be handed to gw_call_ops
   again.  */
int gw_hold_take (struct gw_listener *listener, uint64_t conn,
                  const struct http_head *head, const char *body, size_t size);
/* Forgets the request of a client that has left.  Returns nonzero when it was
   held.  */
int gw_hold_drop (struct gw_listener *listener, uint64_t conn);
/* Returns when the request that is handed on now has arrived.  */
int64_t gw_hold_arrival (struct gw *gw);

/* gw_resume.c: streams that go on at the version that began them */
struct gw_resume *gw_resume_new (struct gw *gw);
int gw_resume_is_datagram (const char *data, size_t size);
/* Handles a datagram.  Returns 0, or -1 with ERR when it is malformed.  */
int gw_resume_receive (struct gw *gw, const char *data, size_t size,
                       struct err *err);

/* gw_runner.c */
/* Notes what an answer of RUNNER says of it: that it leaves, or wants to rest.
   Values that aren't valid are logged and ignored.  */
void gw_runner_note_answer (struct gw *gw, struct pool_runner *runner,
                            const struct adapter_answer *answer);
/* The same for an answer that another gateway has relayed.  It passes on that
   the runner leaves; a wish to rest is for the gateway that sends there.  */
void gw_runner_note_relayed (struct gw *gw,
                             const struct adapter_answer *answer);

/* Returns nonzero when DATA may be a datagram of gw_runner.  */
int gw_runner_is_datagram (const char *data, size_t size);
/* Handles the datagram of another gateway that a runner has told that it
   leaves.  Returns 0, or -1 with ERR when it is malformed.  */
int gw_runner_receive (struct gw *gw, const char *data, size_t size,
                       struct err *err);

/* gw_share.c: shares of tenants where room is short */
struct gw_share *gw_share_new (struct gw *gw);
/* Takes SUM of the other gateways if it is that of a tenant.  */
void gw_share_note_sum (struct gw *gw, uint64_t key,
                        const struct fleetsum_value *sum, int64_t now);

/* gw_usage.c: counts of the requests that began to run, and their reports */
/* Does nothing without the settings of usage.  */
void gw_usage_new (struct gw *gw);
/* Writes the counts to the store at once; the gateway stops.  */
void gw_usage_flush (struct gw *gw);
/* Appends metrics, if usage is counted.  */
void gw_usage_metrics_write (const struct gw *gw, GString *out);
/* Returns nonzero when DATA may be a datagram of gw_usage.  */
int gw_usage_is_datagram (const char *data, size_t size);
/* Handles the datagram of another gateway that tells its time of day.  Returns
   0, or -1 with ERR when it is malformed.  */
int gw_usage_receive (struct gw *gw, const char *data, size_t size,
                      struct err *err);

/* gw_probe.c */
/* Opens a connection to RUNNER to see whether it is up.  */
void gw_probe_runner (struct gw *gw, struct pool_runner *runner);

/* gw_pace.c: speeds of the runners */
/* Appends the metrics of them.  */
void gw_pace_metrics (const struct gw *gw, GString *out);

/* gw_page.c: HTTP pages with readiness and metrics */
int gw_pages_open (struct gw *gw, struct err *err);

/* gw_run.c: runs the program.  Returns its exit status.  */
int gw_run (int argc, char **argv, const struct adapter_ops *adapter,
            const struct store_functions *store_api,
            void *(*open_store) (struct http_client *cli, struct tmr *tmr,
                                 const char *address));
#endif
