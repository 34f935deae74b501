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
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "goldcresthatch/cfg.h"
#include "goldcresthatch/fleet.h"
#include "goldcresthatch/kv.h"
#include "goldcresthatch/admission.h"
#include "goldcresthatch/msg.h"
#include "goldcresthatch/net.h"
#include "goldcresthatch/retry.h"
#include "goldcresthatch/route.h"
#include "goldcresthatch/settings.h"
#include "goldcresthatch/reassembly.h"

enum
{
  ENTRY_BODY_MAX_BYTES = 1 << 20, /* bytes of a request body */
  ENTRY_TICK_PERIOD_MS = 100,
  /* A crash or a restart leaves a service without a runner for about a second;
     refusing at once would turn it into a burst of resends.  */
  ENTRY_RUNNER_WAIT_US = 3 * G_USEC_PER_SEC,
  ENTRY_BYTES_PER_TOKEN = 4 /* engines take about four bytes of text a token */
};

struct entry_settings
{
  char name[SETTINGS_TEXT_BYTES];
  char zone[SETTINGS_TEXT_BYTES];
  char listen[SETTINGS_TEXT_BYTES]; /* callers */
  char admin[SETTINGS_TEXT_BYTES];  /* operators and peers */
  char kv[SETTINGS_TEXT_BYTES];
  char log_level[SETTINGS_TEXT_BYTES];
  char role_planning[SETTINGS_TEXT_BYTES]; /* "on" or "off" */
  int64_t drain_limit_s;
  int64_t drain_notice_ms; /* least time that a graceful shutdown listens */
  int64_t deadline_ms;     /* of a request that names none */
  int64_t workers;
  int64_t prefill_us;       /* of an engine, for a token of the prompt */
  int64_t step_us;          /* of an engine, for a token of one answer */
  int64_t step_request_us;  /* added to it by each further answer */
  int64_t request_us;       /* of a plain service */
  int64_t zone_distance_us; /* one way between two zones */
  struct settings_list config_peers;
  char keys[SETTINGS_TEXT_BYTES]; /* file of CURVE keys, empty for none */
};

/* The runner chosen for an attempt.  */
struct entry_runner
{
  uint64_t peer; /* network handle */
  uint64_t incarnation;
  uint64_t window;
  int64_t first_us; /* predicted time to the first token */
  struct fleet_work work;
  char name[MSG_NAME_MAX_BYTES + 1];
};

struct entry_http;
struct entry_fleet;
struct entry_admit;
struct entry_suspect;

/* What the usable runners of a service can take.  */
struct entry_fleet_supply
{
  uint64_t slots;   /* requests that they run at once */
  uint64_t room;    /* of these, free by this entry's estimate */
  int64_t first_us; /* predicted time to the first token */
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
  uint64_t conn; /* handle of the caller's connection */

  /* Set before the call starts, constant afterwards.  */
  struct msg_id id;
  char *method;
  char *path;   /* without the query */
  char *target; /* path and query as received */
  char *content_type;
  char *service;
  char customer[MSG_NAME_MAX_BYTES];
  char key[MSG_NAME_MAX_BYTES * 2]; /* Idempotency-Key, empty when absent */
  char traceparent[MSG_NAME_MAX_BYTES];
  GByteArray *body;
  uint64_t priority;
  int has_priority; /* by its header */
  uint64_t fingerprint;
  GString *prompt;        /* of a model request, else null */
  uint64_t output_tokens; /* expected */
  uint64_t prefix[ROUTE_BLOCKS_MAX];
  size_t n_prefix;
  int stream;
  int at_most_once;
  gint64 deadline_us;

  pthread_mutex_t lock; /* guards what follows */
  int started;
  int queued;        /* for admission */
  gint64 attempt_us; /* start of the current attempt */
  int64_t first_us;  /* predicted time to its first token */
  int woken;         /* queued for the thread of the connections */
  int begun;         /* the caller has the head */
  struct msg_id attempt;
  int placed;             /* the current attempt runs as a suspect */
  struct fleet_work work; /* of the current attempt */
  uint64_t runner_peer;   /* 0 between attempts */
  uint64_t last_peer;     /* runner of the attempt before */
  unsigned tries;
  int may_have_run;        /* an attempt ended without a proof of "not run" */
  gint64 retry_at_us;      /* time of the next attempt; 0 when none is due */
  gint64 waiting_since_us; /* for a runner; 0 when not waiting */
  int head;                /* status and content type may be sent */
  int ended;               /* no more bytes follow */
  int failed;
  unsigned status;
  char answer_type[MSG_NAME_MAX_BYTES];
  struct reassembly *reassembly;
  GString *answer;      /* bytes not yet given to the caller */
  int key_is_generated; /* KEY was drawn here, not given by the caller */
  int recorded;         /* the answer was recorded by an earlier attempt */
  struct entry_claim *claim; /* null until the claim is made */
  struct entry_failure failure;
  struct entry_trace *trace; /* null until the headers are read */
  char attempt_parent[MSG_NAME_MAX_BYTES]; /* traceparent of the attempt */
};

/* Work for the pool of workers: RUN is called once and owns the task.  */
struct entry_task
{
  void (*run) (struct entry_task *task);
};

struct entry
{
  struct entry_settings settings;
  struct net *net;
  struct kv *kv;
  GThreadPool *workers;
  struct entry_http *http;
  uint64_t incarnation;
  pthread_t tick_thread;
  pthread_t list_thread;
  gint stopping;
  gint draining;
  struct entry_lease *lease; /* retention of claims */
  struct entry_control *control;
  struct cfg_sync *config;
  struct entry_trace_rings *rings;
  struct entry_warn *warn;

  pthread_mutex_t lock; /* guards what follows */
  struct entry_fleet *fleet;
  struct entry_admit *admit;
  struct entry_suspect *suspect_table;
  struct retry_budget retries;
  GHashTable *calls; /* by id */
};

/* entry_http.c */
int entry_http_open (struct entry *entry, struct err *err);
void entry_http_stop_listening (struct entry *entry);

/* Cuts the connections and ends their thread.  Other threads may still wake
   calls, until entry_http_free.  */
void entry_http_close (struct entry *entry);
void entry_http_free (struct entry *entry);

/* Passes on what CALL has for its caller; the call's lock is held.  */
void entry_http_wake (struct entry_call *call);

/* Appends the failure of CALL to a streamed answer that began; the call's lock
   is held.  */
void entry_http_append_failure (struct entry_call *call);

/* entry_call.c */
extern const struct retry_config entry_retry_config;

struct entry_call *entry_call_new (struct entry *entry);
struct entry_call *entry_call_ref (struct entry_call *call);
void entry_call_unref (struct entry_call *call);

/* Starts a call whose request is complete.  */
void entry_call_start (struct entry_call *call);

/* Starts the first attempt of a call that was admitted; the call's lock is
   held.  */
void entry_call_admitted (struct entry_call *call);

/* Ends CALL with a failure; the call's lock is held.  "Not run" is answered as
   unknown while a keyed call has made no claim, because an earlier request
   under its key may have run.  */
void entry_call_fail (struct entry_call *call, unsigned status,
                      enum entry_outcome outcome, enum err_code code,
                      const char *step, const char *peer, const char *fmt, ...)
    __attribute__ ((format (printf, 7, 8)));

/* The current attempt answered with STATUS; the call's lock is held.  */
void entry_call_head (struct entry_call *call, unsigned status,
                      struct msg_str content_type);

/* The answer of the current attempt is whole; the call's lock is held.  */
void entry_call_finish (struct entry_call *call);

/* Gives the caller the answer, and ends the call; its lock is held.  */
void entry_call_answered (struct entry_call *call);

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

/* Returns a reference to each call in progress.  */
GPtrArray *entry_call_list (struct entry *entry);

/* entry_claim.c: the call's lock is held unless it is said otherwise.  */

/* Opens and closes the workers and the lease; without a lock.  */
int entry_claim_open (struct entry *entry, struct err *err);
void entry_claim_close (struct entry *entry);

/* Claims the at-most-once CALL for RUNNER, on which the attempt is counted,
   then sends it.  */
void entry_claim_start (struct entry_call *call,
                        const struct entry_runner *runner);

/* Sends CALL's attempt to RUNNER.  */
void entry_call_send (struct entry_call *call,
                      const struct entry_runner *runner);

/* The attempt ended with OUTCOME; its runner is released.  */
void entry_claim_attempt_ended (struct entry_call *call,
                                enum msg_outcome outcome);

/* The connection to the runner broke.  */
void entry_claim_connection_lost (struct entry_call *call);

void entry_claim_tick (struct entry_call *call, gint64 now_us);

/* Gives VOIDED to the calls that asked for it; without a lock.  */
void entry_claim_handle_voided (struct entry *entry, uint64_t peer,
                                const struct msg *msg);

/* The caller has gone.  Returns nonzero when CALL must stay until its record
   is written.  */
int entry_claim_abandon (struct entry_call *call);
void entry_claim_free (struct entry_call *call);

/* Whether "not run" for CALL could be false for an earlier request under the
   caller's key, which no read of the claim has ruled out.  */
int entry_claim_may_exist (const struct entry_call *call);

/* entry_fleet.c */
void entry_fleet_report (struct entry *entry, uint64_t peer,
                         const struct msg_report *report);

/* Chooses a runner for CALL, other than that of its last attempt when there is
   a choice, and counts the attempt on it.  Returns 0 when there is
   none; else fills in OUT.  */
int entry_fleet_choose (struct entry *entry, struct entry_call *call,
                        struct entry_runner *out);

/* Notes the first token of WORK, whose prompt no longer waits.  */
void entry_fleet_first_token (struct entry *entry, struct fleet_work *work);

/* Counts the end of the attempt of CALL on PEER; END is null when none
 * arrived.  */
void entry_fleet_release (struct entry *entry, uint64_t peer,
                          struct entry_call *call, const struct msg_end *end);

/* Fills in what SERVICE can take, for CALL or, when it is null, for a short
   request; the entry's lock is held.  */
void entry_fleet_get_supply (struct entry *entry, const char *service,
                             const struct entry_call *call,
                             struct entry_fleet_supply *out);

/* Keeps new work from PEER, whose endpoint crashed or whose connection broke,
   until its next report that the endpoint is up.  */
void entry_fleet_mark_unusable (struct entry *entry, uint64_t peer);
int entry_fleet_is_alive (struct entry *entry, uint64_t peer, gint64 now_us);
void entry_fleet_name (struct entry *entry, uint64_t peer, char *name,
                       size_t size);
int entry_fleet_may_have_service (struct entry *entry, const char *service);

/* Whether every runner on the platform's list has reported or had the time to:
   until then, a service that is not known may exist.  */
int entry_fleet_discovery_done (struct entry *entry);

/* Returns the network handle of the agent NAME, or 0 when no connection to it
   is open.  */
uint64_t entry_fleet_find_peer (struct entry *entry, const char *name);
void entry_fleet_send_hellos (struct entry *entry);

/* Judges silence and follows the subsets.  To be called on each tick, before
   entry_call_tick.  */
void entry_fleet_tick (struct entry *entry, gint64 now_us);

/* Hashes the prompt of CALL for the estimate of cached prefixes.  */
void entry_fleet_hash_prompt (struct entry_call *call);

/* Keeps new work from the runners that the configuration drains or withdraws.
   To be called with each new snapshot.  */
void entry_fleet_apply_drains (struct entry *entry,
                               const struct cfg_snapshot *snap);
void entry_fleet_open (struct entry *entry);
void entry_fleet_close (struct entry *entry);
void *entry_fleet_list_main (void *arg);

/* Appends the runners as seen here to the JSON array LIST.  */
void entry_fleet_status (struct entry *entry, struct json_object *list);

/* Returns the number of runners listed.  */
size_t entry_fleet_count (struct entry *entry);

/* Calls VISIT for each runner whose service is known; the entry's lock is
   held meanwhile.  */
void entry_fleet_for_each (struct entry *entry,
                           void (*visit) (void *ctx, const char *service,
                                          int usable),
                           void *ctx);

/* entry_suspect.c */
int entry_suspect_open (struct entry *entry, struct err *err);

/* To be called after entry->stopping is set.  */
void entry_suspect_close (struct entry *entry);

/* Adds crash number CRASH of the agent as evidence against CALL.  */
void entry_suspect_note_crash (struct entry *entry,
                               const struct entry_call *call, uint64_t crash);

/* Whether CALL must not run any more.  */
int entry_suspect_is_blocked (struct entry *entry,
                              const struct entry_call *call);

/* Asks to run CALL on REF, as suspect_place does, and notes its end; the
   entry's lock is held.  */
int entry_suspect_acquire_runner (struct entry *entry, struct entry_call *call,
                                  struct fleet_ref ref);
void entry_suspect_release_runner (struct entry *entry,
                                   struct entry_call *call, int answered);

/* entry_admit.c */
void entry_admit_open (struct entry *entry);
void entry_admit_close (struct entry *entry);

/* Decides on CALL, whose lock is held.  Returns nonzero when its first attempt
   may start now; else it is queued, or refused and has ended.  *EVICTED is the
   call to pass to entry_admit_evict without a call's lock, or 0.  */
int entry_admit_offer (struct entry *entry, struct entry_call *call,
                       uint64_t *evicted);
void entry_admit_evict (struct entry *entry, uint64_t id);

/* Takes CALL, whose lock is held, out of the queue.  */
void entry_admit_cancel (struct entry *entry, struct entry_call *call);

/* Whether CALL is queued and no runner has been usable for
   ENTRY_RUNNER_WAIT_US.  */
int entry_admit_has_no_runner (struct entry *entry,
                               const struct entry_call *call, gint64 now_us);

/* Note the first token and the whole answer of the attempt of CALL, whose lock
   is held.  */
void entry_admit_first_token (struct entry *entry, struct entry_call *call);
void entry_admit_answered (struct entry *entry, const struct entry_call *call);

/* Starts or refuses queued calls while there is room.  */
void entry_admit_dispatch (struct entry *entry);

/* Notes that a slot may have become free; the entry's lock is held.  */
void entry_admit_slot_freed (struct entry *entry);

/* Waits until a slot may have become free, at most until UNTIL_US.  */
void entry_admit_wait_for_slot (struct entry *entry, gint64 until_us);

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
struct entry_admin_response
{
  int status;
  GString *fields; /* header lines */
  GString *body;
};

/* Makes the operators' page at PATH; QUERY may be null.  Returns 0, or -1 when
   there is no such page.  */
int entry_admin_page (struct entry *entry, const char *path, const char *query,
                      struct entry_admin_response *out);

/* entry_request.c */
struct http_head;

/* Reads the request of CALL, whose body is set, and starts it or ends it with
   a failure.  */
void entry_request_begin (struct entry_call *call,
                          const struct http_head *head);

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
