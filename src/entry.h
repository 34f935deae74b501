#ifndef ENTRY_H
#define ENTRY_H

/*
 * The entry: callers' HTTP interface, choice of a runner, attempts and the
 * assembly of answers.
 *
 * Lock order: a call's lock, then entry->lock, then the network's queue.  No
 * lock is held over a call of the key-value service.  The locks of spans and
 * warnings are leaves.
 */

#include <glib.h>
#include <json-c/json.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "goldcresthatch/cfg.h"
#include "goldcresthatch/kv.h"
#include "goldcresthatch/msg.h"
#include "goldcresthatch/net.h"
#include "goldcresthatch/set.h"
#include "goldcresthatch/strm.h"

enum
{
  ENTRY_BODY_MAX = 1 << 20, /* bytes of a request body */
  ENTRY_TICK_MS = 100
};

struct entry_settings
{
  char name[SET_TEXT_MAX];
  char zone[SET_TEXT_MAX];
  char listen[SET_TEXT_MAX]; /* callers */
  char admin[SET_TEXT_MAX];  /* operators and peers */
  char kv[SET_TEXT_MAX];
  char log_level[SET_TEXT_MAX];
  char role_planning[SET_TEXT_MAX]; /* "on" or "off" */
  int64_t drain_limit_s;
  int64_t deadline_ms; /* of a request that names none */
  int64_t workers;
  struct set_list config_peers;
  char keys[SET_TEXT_MAX]; /* file of CURVE keys, empty for none */
};

/* A runner as this entry sees it.  */
struct entry_runner
{
  char name[MSG_NAME_MAX];
  char address[ERR_PEER_MAX];
  char service[MSG_NAME_MAX];
  uint64_t peer; /* network handle */
  uint64_t incarnation;
  uint64_t window;
  enum msg_agent_state state;
  int endpoint_up;
  int leaving; /* by the platform's list */
  uint64_t running;
  uint64_t queued;
  uint64_t capacity;
  unsigned own; /* attempts of this entry in progress */
  int withheld; /* by the configuration: drain or withdraw */
  uint64_t cfg_generation;
  gint64 reported_us;
};

/* What the caller is told about a call that has no answer.  */
enum entry_outcome
{
  ENTRY_OUTCOME_NOT_RUN,
  ENTRY_OUTCOME_UNKNOWN,
  ENTRY_OUTCOME_INVALID,
  ENTRY_OUTCOME_MAX
};

struct entry_failure
{
  unsigned status;
  enum entry_outcome outcome;
  unsigned retry_after_s; /* 0 when a retry does not help */
  struct err err;
};

/* One request of a caller.  Reference-counted: the HTTP connection, the table
   of calls and each worker hold one.  */
struct entry_call
{
  gint refs;
  struct entry *entry;
  struct MHD_Connection *connection;

  /* Set before the call starts, constant afterwards.  */
  struct msg_id id;
  char *method;
  char *path;
  char *content_type;
  char *service;
  char customer[MSG_NAME_MAX];
  char key[MSG_NAME_MAX * 2]; /* Idempotency-Key, empty when absent */
  char traceparent[MSG_NAME_MAX];
  GByteArray *body;
  uint64_t priority;
  int stream;
  int at_most_once;
  gint64 deadline_us;
  int discarding; /* the body is too large */

  pthread_mutex_t lock; /* guards what follows */
  int started;
  int suspended; /* the connection waits for entry_call_wake */
  struct msg_id attempt;
  uint64_t runner_peer; /* 0 between attempts */
  uint64_t last_peer;   /* runner of the attempt before */
  unsigned tries;
  gint64 waiting_since_us; /* for a runner; 0 when not waiting */
  int head;                /* status and content type may be sent */
  int ended;               /* no more bytes follow */
  int failed;
  unsigned status;
  char answer_type[MSG_NAME_MAX];
  struct strm *strm;
  GString *answer; /* bytes not yet given to the caller */
  struct entry_failure failure;
  struct entry_trace *trace;         /* null until the headers are read */
  char attempt_parent[MSG_NAME_MAX]; /* traceparent of the attempt */
};

struct entry
{
  struct entry_settings settings;
  struct net *net;
  struct kv *kv;
  GThreadPool *workers;
  struct MHD_Daemon *callers;
  struct MHD_Daemon *admins;
  uint64_t incarnation;
  pthread_t ticker;
  pthread_t lister;
  gint stopping;
  gint draining;
  struct entry_control *control;
  struct cfg_sync *config;
  struct entry_trace_rings *rings;
  struct entry_warn *warn;

  pthread_mutex_t lock; /* guards what follows */
  GPtrArray *runners;   /* struct entry_runner */
  GHashTable *calls;    /* by id */
};

/* entry_http.c */
int entry_http_open (struct entry *entry, struct err *err);
void entry_http_close (struct entry *entry);

/* Appends the failure of CALL to a streamed answer that began; the call's lock
   is held.  */
void entry_http_append_failure (struct entry_call *call);

/* entry_call.c */
struct entry_call *entry_call_new (struct entry *entry);
struct entry_call *entry_call_ref (struct entry_call *call);
void entry_call_unref (struct entry_call *call);

/* Starts a call whose request is complete.  */
void entry_call_start (struct entry_call *call);

/* Ends CALL with a failure; the call's lock is held.  */
void entry_call_fail (struct entry_call *call, unsigned status,
                      enum entry_outcome outcome, enum err_code code,
                      const char *step, const char *peer, const char *fmt, ...)
    __attribute__ ((format (printf, 7, 8)));

/* Lets the connection go on; the call's lock is held.  */
void entry_call_wake (struct entry_call *call);

/* The current attempt answered with STATUS; the call's lock is held.  */
void entry_call_head (struct entry_call *call, unsigned status,
                      struct msg_str content_type);

/* The answer is whole; the call's lock is held.  */
void entry_call_finish (struct entry_call *call);

/* The attempt ended without a whole answer; the call's lock is held.  */
void entry_call_attempt_ended (struct entry_call *call,
                               enum msg_outcome outcome, const char *step,
                               const char *peer, const char *text);

/* Stops the work for a call whose caller has gone.  */
void entry_call_abandon (struct entry_call *call);

/* Ends the attempts on PEER, to which the connection broke.  */
void entry_call_peer_lost (struct entry *entry, uint64_t peer);

/* Fails calls past their deadline or on silent runners.  */
void entry_call_tick (struct entry *entry, gint64 now_us);

/* entry_fleet.c */
void entry_fleet_report (struct entry *entry, uint64_t peer,
                         const struct msg_report *report);

/* Chooses a runner for SERVICE, other than the one with the handle AVOID when
   there is a choice, and counts the attempt on it.  Returns 0 when there is
   none; else fills in OUT.  */
int entry_fleet_choose (struct entry *entry, const char *service,
                        uint64_t avoid, struct entry_runner *out);

/* Whether RUNNER takes work; the entry's lock is held.  */
int entry_fleet_usable (const struct entry_runner *runner, gint64 now_us);
void entry_fleet_release (struct entry *entry, uint64_t peer);
int entry_fleet_alive (struct entry *entry, uint64_t peer, gint64 now_us);
void entry_fleet_name (struct entry *entry, uint64_t peer, char *name,
                       size_t size);
int entry_fleet_knows (struct entry *entry, const char *service);
void entry_fleet_hello (struct entry *entry);
void *entry_fleet_main (void *arg);

/* Gives no new work to the runners that SNAP drains or withdraws.  */
void entry_fleet_withhold (struct entry *entry,
                           const struct cfg_snapshot *snap);

/* Appends the runners as seen here to the JSON array LIST.  */
void entry_fleet_status (struct entry *entry, struct json_object *list);

/* entry_config.c */
int entry_config_open (struct entry *entry, struct err *err);
void entry_config_close (struct entry *entry);

/* Returns the configuration in force with a reference, which the caller drops
   by cfg_snapshot_unref.  Safe from any thread, under any lock.  */
struct cfg_snapshot *entry_config_get (struct entry *entry);

/* entry_control.c: opened before the network, started after it; stopped
   before the network closes.  The thread ends when the entry drains and then
   gives up every authority.  */
void entry_control_open (struct entry *entry);
int entry_control_start (struct entry *entry, struct err *err);
void entry_control_stop (struct entry *entry);
void entry_control_close (struct entry *entry);

void entry_control_report (struct entry *entry, uint64_t peer,
                           const struct msg_report *report);
void entry_control_ordered (struct entry *entry,
                            const struct msg_ordered *ordered);

/* Returns the shards with the state and token of this entry, as JSON text that
   the caller frees by g_free.  */
char *entry_control_page (struct entry *entry);
/* Starts and stops the exchange with the service, the peers and the agents.
   The network and the service's adapter are open during this time.  */
int entry_config_start (struct entry *entry, struct err *err);
void entry_config_stop (struct entry *entry);

uint64_t entry_config_generation (struct entry *entry);

/* Returns true once the configuration is known well enough to serve.  */
bool entry_config_ready (struct entry *entry);

/* entry_admin.c */
bool entry_admin_serves (const char *url);

/* Answers a request for one of the admin pages.  */
enum MHD_Result entry_admin_page (struct entry *entry,
                                  struct MHD_Connection *connection,
                                  const char *url);
/* entry_trace.c: spans of a call.  The functions on calls need the call's
   lock, except the first.  */
void entry_trace_open (struct entry *entry);
void entry_trace_close (struct entry *entry);

/* Starts the spans of CALL under its caller's traceparent, or in a new trace,
   and names the span in call->traceparent.  */
void entry_trace_request (struct entry_call *call);

/* An attempt at AGENT begins; fills in call->attempt_parent.  */
void entry_trace_attempt (struct entry_call *call, const char *agent);

/* The attempt failed.  */
void entry_trace_attempt_ended (struct entry_call *call, const char *step,
                                const char *peer, const char *text);

/* Records the spans that AGENT reported in END.  */
void entry_trace_agent (struct entry_call *call, const struct msg_end *end,
                        const char *agent);

/* The call ended, with ERR unless that is null.  */
void entry_trace_done (struct entry_call *call, const struct err *err);

/* Appends the spans of the trace ID in OTLP's JSON form to OUT.  Returns -1
   when ID is not a trace id.  */
int entry_trace_page (struct entry *entry, const char *id, GString *out);

/* entry_warn.c: conditions that this entry can see.  The functions on calls
   need the call's lock.  */
void entry_warn_open (struct entry *entry);
void entry_warn_close (struct entry *entry);
void entry_warn_answered (struct entry_call *call);
void entry_warn_failed (struct entry_call *call);

/* Reports the conditions and updates the warnings once a second.  */
void entry_warn_tick (struct entry *entry, gint64 now_us);

/* Appends the raised warnings to OUT as a JSON array.  */
void entry_warn_page (struct entry *entry, GString *out);

/* entry_net.c */
extern const struct net_ops entry_net_ops;

#endif
