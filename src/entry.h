#ifndef ENTRY_H
#define ENTRY_H

/*
 * The entry process: it takes callers' HTTP requests, chooses a runner for
 * each, sends and retries attempts, and assembles the answers.
 *
 * Lock order: a call's lock, then entry->lock, then the network's queue.  No
 * lock is held during a call of the key-value service.  No other lock is taken
 * while a lock of the spans or the warnings is held.
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
#include "hop.h"
#include "membudget.h"

enum
{
  ENTRY_BODY_MAX_BYTES = 1 << 20, /* bytes of a request body */
  ENTRY_TICK_PERIOD_MS = 100,
  /* How long a call waits for a usable runner before it is refused.  A crash
     or a restart leaves a service without a runner for about 1 s; an immediate
     refusal would cause a burst of retries.  */
  ENTRY_RUNNER_WAIT_US = 3 * G_USEC_PER_SEC,
  ENTRY_BYTES_PER_TOKEN = 4 /* of text, on average */
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
  int64_t drain_notice_ms; /* least time that a draining entry still listens */
  int64_t deadline_ms;     /* of a request without X-Deadline-Ms */
  int64_t workers;
  int64_t prefill_us;       /* prefill time for one prompt token */
  int64_t step_us;          /* decode time for one token of one request */
  int64_t step_request_us;  /* added to it by each concurrent request */
  int64_t request_us;       /* time of a request to a plain service */
  int64_t zone_distance_us; /* one-way latency between two zones */
  struct settings_list config_peers;
  int64_t memory_mb; /* this process may use; 0: the default */
  int64_t max_fds;   /* descriptors; 0: the operating system's limit */
  char keys[SETTINGS_TEXT_BYTES]; /* file of CURVE keys, empty for none */
};

/* The runner chosen for an attempt.  */
struct entry_runner
{
  uint64_t peer; /* network handle */
  uint64_t incarnation;
  uint64_t window;
  int64_t ttft_us; /* predicted time to the first token */
  struct fleet_work work;
  char name[MSG_NAME_MAX_BYTES + 1];
};

struct entry_http;
struct entry_fleet;
struct entry_admit;
struct entry_suspect;

/* Capacity of the usable runners of a service.  */
struct entry_fleet_supply
{
  uint64_t slots;      /* requests that they run concurrently */
  uint64_t free_slots; /* free slots by this entry's estimate */
  int64_t ttft_us;     /* predicted time to the first token */
};

/* The outcome that the caller gets for a call without an answer.  */
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
   of calls and each worker hold a reference.  */
/* The body of a request, within BYTES, which may be null.  */
struct entry_body
{
  GBytes *bytes;
  const char *data;
  size_t len;
};

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
  struct entry_body body;
  uint64_t priority;
  int has_priority; /* PRIORITY is from X-Priority */
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
  int queued;        /* waits in the admission queue */
  gint64 attempt_us; /* start of the current attempt */
  int64_t ttft_us;   /* predicted time to its first token */
  int wake_pending;  /* in the queue of the HTTP thread */
  int head_sent;     /* the head was sent to the caller */
  struct msg_id attempt;
  int runs_as_suspect; /* the current attempt runs as a suspect of crashes */
  struct fleet_work work;  /* of the current attempt */
  uint64_t runner_peer;    /* 0 between attempts */
  uint64_t previous_peer;  /* runner of the previous attempt */
  unsigned attempts;       /* attempts that count for the retry limit */
  int may_have_run;        /* an attempt ended without proof of "not run" */
  gint64 retry_at_us;      /* time of the next attempt; 0 when none is due */
  gint64 waiting_since_us; /* for a runner; 0 when not waiting */
  int head_ready;          /* status and content type may be sent */
  int ended;               /* ANSWER gets no more bytes */
  int failed;
  unsigned status;
  char answer_type[MSG_NAME_MAX_BYTES];
  struct reassembly *reassembly;
  GString *answer;       /* bytes not yet sent to the caller */
  size_t answer_charged; /* for ANSWER */
  int key_is_generated;  /* KEY is random, not an Idempotency-Key of the caller
                          */
  int recorded;          /* the answer was recorded by an earlier attempt */
  struct entry_claim *claim; /* null until the claim is made */
  struct entry_failure failure;
  struct entry_trace *trace; /* null until the headers are read */
  char attempt_parent[MSG_NAME_MAX_BYTES]; /* traceparent of the attempt */
};

/* A task of the worker pool: RUN is called once and owns the task.  */
struct entry_task
{
  void (*run) (struct entry_task *task);
};

struct entry
{
  struct membudget budget; /* of what callers send */
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
  struct entry_claim_store *claim_store;
  struct entry_claim_breaker *claim_breaker;
  struct entry_control *control;
  struct cfg_sync *config;
  struct entry_trace_rings *rings;
  struct entry_warn *warn;

  pthread_mutex_t lock; /* guards what follows */
  struct entry_fleet *fleet;
  struct entry_admit *admit;
  struct entry_suspect *suspects;
  struct retry_budget retries;
  GHashTable *calls; /* by id */
};

/* entry_http.c */
int entry_http_open (struct entry *entry, struct err *err);
void entry_http_stop_listening (struct entry *entry);

/* Closes all connections and ends the HTTP thread.  Other threads may call
   entry_http_wake until entry_http_free.  */
void entry_http_close (struct entry *entry);
void entry_http_free (struct entry *entry);

/* Has the HTTP thread send the new part of CALL's answer to its caller; the
   call's lock is held.  */
void entry_http_wake (struct entry_call *call);

/* Appends the failure of CALL as an error event to a streamed answer that has
   begun; the call's lock is held.  */
void entry_http_append_failure (struct entry_call *call);

/* entry_call.c */
extern const struct retry_config entry_retry_config;

struct entry_call *entry_call_new (struct entry *entry);
struct entry_call *entry_call_ref (struct entry_call *call);
void entry_call_unref (struct entry_call *call);

/* Submits a call, whose request has been read, to admission control.  */
void entry_call_start (struct entry_call *call);

/* Starts the first attempt of an admitted call; the call's lock is held.  */
void entry_call_admitted (struct entry_call *call);

/* Ends CALL with a failure; the call's lock is held.  For a call with an
   Idempotency-Key and without a claim, "not run" becomes "unknown", because an
   earlier request under the key may have run.  */
void entry_call_fail (struct entry_call *call, unsigned status,
                      enum entry_outcome outcome, enum err_code code,
                      const char *step, const char *peer, const char *fmt, ...)
    __attribute__ ((format (printf, 7, 8)));

/* Takes the status and the content type of the current attempt's answer; the
   call's lock is held.  */
void entry_call_head (struct entry_call *call, unsigned status,
                      struct msg_str content_type);

/* Takes a part of the current attempt's answer; the call's lock is held.  The
   attempt ends when the answer is too long, or when there is no room for a
   long one.  */
void entry_call_data (struct entry_call *call, const struct msg_data *data);

/* Returns what may be said of an attempt that ended with OUTCOME.  IS_WHOLE:
   all messages of its answer have arrived.  The call's lock is held.  */
struct hop_verdict entry_call_judge (const struct entry_call *call,
                                     enum msg_outcome outcome, int is_whole);

/* Ends the current attempt, whose answer is complete; the call's lock is
   held.  */
void entry_call_finish (struct entry_call *call);

/* Sends the answer to the caller and ends the call; its lock is held.  */
void entry_call_answered (struct entry_call *call);

/* Ends the current attempt, whose answer is incomplete, and schedules a retry
   or fails the call; the call's lock is held.  STEP, PEER and TEXT say where
   and why it ended.  */
void entry_call_attempt_ended (struct entry_call *call,
                               enum msg_outcome outcome, const char *step,
                               const char *peer, const char *text);

/* Cancels a call whose connection has closed.  */
void entry_call_abandon (struct entry_call *call);

/* Ends the attempts on PEER after the connection to it broke.  */
void entry_call_peer_lost (struct entry *entry, uint64_t peer);

/* Fails calls past their deadline, ends attempts on runners that no longer
   report, and starts the retries that are due.  */
void entry_call_tick (struct entry *entry, gint64 now_us);

/* Returns a reference to each call in progress.  */
GPtrArray *entry_call_list (struct entry *entry);

/* entry_claim.c: the call's lock is held unless said otherwise.  */

/* Starts and stops the worker pool and the lease; no lock is held.  */
int entry_claim_open (struct entry *entry, struct err *err);
void entry_claim_close (struct entry *entry);

/* Writes records again that the service has lost, when it was restored from an
   older copy; no lock is held.  */
void entry_claim_check_service (struct entry *entry, gint64 now_us);

/* Writes the claim of the at-most-once CALL for RUNNER, then sends the
   attempt, which is already counted on RUNNER.  */
void entry_claim_start (struct entry_call *call,
                        const struct entry_runner *runner);

/* Sends CALL's attempt to RUNNER.  */
void entry_call_send (struct entry_call *call,
                      const struct entry_runner *runner);

/* Handles the end of the attempt with OUTCOME; its runner has been
   released.  */
void entry_claim_attempt_ended (struct entry_call *call,
                                enum msg_outcome outcome);

/* Handles the loss of the connection to the runner.  */
void entry_claim_connection_lost (struct entry_call *call);

/* Handles the deadline and the retries that are due at NOW_US.  */
void entry_claim_tick (struct entry_call *call, gint64 now_us);

/* Passes the message VOIDED to the calls that await it; no lock is held.  */
void entry_claim_handle_voided (struct entry *entry, uint64_t peer,
                                const struct msg *msg);

/* Handles the loss of the caller's connection.  Returns nonzero when CALL must
   be kept until its record is written.  */
int entry_claim_abandon (struct entry_call *call);
void entry_claim_free (struct entry_call *call);

/* Returns nonzero when CALL has an Idempotency-Key of the caller, so that an
   earlier request under this key may have run.  The claim need not have been
   read.  */
int entry_claim_may_exist (const struct entry_call *call);

/* entry_fleet.c */

/* Updates the runner of PEER by its REPORT.  */
void entry_fleet_report (struct entry *entry, uint64_t peer,
                         const struct msg_report *report);

/* Chooses a runner for CALL, if possible not that of its previous attempt, and
   counts the attempt on it.  Returns nonzero after filling in OUT, or 0 when
   no runner is usable.  */
int entry_fleet_choose (struct entry *entry, struct entry_call *call,
                        struct entry_runner *out);

/* Notes the first token of WORK, which ends its prefill.  */
void entry_fleet_first_token (struct entry *entry, struct fleet_work *work);

/* Takes the ended attempt of CALL off the count of PEER; END is null when no
   END message arrived.  */
void entry_fleet_release (struct entry *entry, uint64_t peer,
                          struct entry_call *call, const struct msg_end *end);

/* Fills in the capacity of SERVICE.  The time to the first token is predicted
   for CALL or, when it is null, for a short request.  The entry's lock is
   held.  */
void entry_fleet_get_supply (struct entry *entry, const char *service,
                             const struct entry_call *call,
                             struct entry_fleet_supply *out);

/* Sends no new work to PEER, whose endpoint crashed or whose connection broke,
   until it reports that the endpoint is up.  */
void entry_fleet_mark_unusable (struct entry *entry, uint64_t peer);

/* Returns nonzero unless the reports of PEER have stopped.  */
int entry_fleet_is_alive (struct entry *entry, uint64_t peer, gint64 now_us);
void entry_fleet_name (struct entry *entry, uint64_t peer, char *name,
                       size_t size);

/* Returns nonzero when a runner of SERVICE is known, or a runner has not yet
   named its service.  */
int entry_fleet_may_have_service (struct entry *entry, const char *service);

/* Returns nonzero once every runner on the platform's VM list has reported or
   has had the time to.  Until then, a service that is not known may exist.  */
int entry_fleet_discovery_done (struct entry *entry);

/* Returns the network handle of the agent NAME, or 0 when no connection to it
   is open.  */
uint64_t entry_fleet_find_peer (struct entry *entry, const char *name);

/* Sends HELLO to every connected runner, which answers with a report.  */
void entry_fleet_send_hellos (struct entry *entry);

/* Detects runners that no longer report, and updates the subsets and the
   connections.  To be called on each tick, before entry_call_tick.  */
void entry_fleet_tick (struct entry *entry, gint64 now_us);

/* Hashes the prefix blocks of CALL's prompt, from which prefix hits are
   estimated.  */
void entry_fleet_hash_prompt (struct entry_call *call);

/* Sends no new work to the runners that the configuration drains or withdraws.
   To be called with each new snapshot.  */
void entry_fleet_apply_drains (struct entry *entry,
                               const struct cfg_snapshot *snap);
void entry_fleet_open (struct entry *entry);
void entry_fleet_close (struct entry *entry);

/* Main function of the thread that reads the platform's VM list; ARG is the
   entry.  */
void *entry_fleet_list_main (void *arg);

/* Appends the runners as seen here to the JSON array LIST.  */
void entry_fleet_status (struct entry *entry, struct json_object *list);

/* Returns the number of runners listed.  */
size_t entry_fleet_count (struct entry *entry);

/* Calls VISIT, with the entry's lock held, for each runner whose service is
   known.  */
void entry_fleet_for_each (struct entry *entry,
                           void (*visit) (void *ctx, const char *service,
                                          int usable),
                           void *ctx);

/* entry_suspect.c */
int entry_suspect_open (struct entry *entry, struct err *err);

/* To be called after entry->stopping is set.  */
void entry_suspect_close (struct entry *entry);

/* Records that CALL was in flight at crash number CRASH of its agent's
   endpoint.  */
void entry_suspect_note_crash (struct entry *entry,
                               const struct entry_call *call, uint64_t crash);

/* Returns nonzero when CALL was in flight at too many crashes to run again. */
int entry_suspect_is_blocked (struct entry *entry,
                              const struct entry_call *call);

/* Reserves the runner REF for CALL if CALL is a suspect.  Returns 0 when CALL
   may run on REF, or -1 as suspect_place does.  The entry's lock is held.  */
int entry_suspect_acquire_runner (struct entry *entry, struct entry_call *call,
                                  struct fleet_ref ref);

/* Ends the reservation; ANSWERED is nonzero after a complete answer, which
   clears CALL of its crashes.  The entry's lock is held.  */
void entry_suspect_release_runner (struct entry *entry,
                                   struct entry_call *call, int answered);

/* entry_admit.c */
void entry_admit_open (struct entry *entry);
void entry_admit_close (struct entry *entry);

/* Admits, queues or refuses CALL, whose lock is held.  Returns nonzero when
   its first attempt may start now; otherwise CALL is queued, or has ended with
   a refusal.  *EVICTED is the call to pass to entry_admit_evict, with no
   call's lock held, or 0.  */
int entry_admit_offer (struct entry *entry, struct entry_call *call,
                       uint64_t *evicted);

/* Refuses the queued call ID, which lost its place to another call.  */
void entry_admit_evict (struct entry *entry, uint64_t id);

/* Removes CALL, whose lock is held, from the queue.  */
void entry_admit_cancel (struct entry *entry, struct entry_call *call);

/* Returns nonzero when CALL is queued and no runner of its service has been
   usable for ENTRY_RUNNER_WAIT_US.  */
int entry_admit_has_no_runner (struct entry *entry,
                               const struct entry_call *call, gint64 now_us);

/* Note the first token and the complete answer of CALL, whose lock is held, to
   correct the predictions.  */
void entry_admit_first_token (struct entry *entry, struct entry_call *call);
void entry_admit_answered (struct entry *entry, const struct entry_call *call);

/* Starts or refuses queued calls while runners have free slots.  */
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
   before the network closes.  The thread ends when the entry drains, after
   releasing the leases of all shards that it holds.  */
void entry_control_open (struct entry *entry);
int entry_control_start (struct entry *entry, struct err *err);
void entry_control_stop (struct entry *entry);
void entry_control_close (struct entry *entry);

void entry_control_report (struct entry *entry, uint64_t peer,
                           const struct msg_report *report);
void entry_control_ordered (struct entry *entry,
                            const struct msg_ordered *ordered);

/* Returns the shards with the state and fencing token of this entry, as JSON
   text that the caller frees by g_free.  */
char *entry_control_page (struct entry *entry);

/* entry_config.c: start and stop the exchange of the configuration with the
   key-value service, the peers and the agents.  The network and the adapter of
   the service are open during this time.  */
int entry_config_start (struct entry *entry, struct err *err);
void entry_config_stop (struct entry *entry);

uint64_t entry_config_generation (struct entry *entry);

/* Returns true once the configuration is recent enough to serve requests.  */
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

/* Parses the request of CALL, whose body is set, and starts it or ends it with
   a failure.  */
void entry_request_begin (struct entry_call *call,
                          const struct http_head *head);

/* entry_trace.c: spans of a call.  The functions on calls need the call's
   lock, except entry_trace_request.  */
void entry_trace_open (struct entry *entry);
void entry_trace_close (struct entry *entry);

/* Starts the request span of CALL under its caller's traceparent, or in a new
   trace, and stores its own traceparent in call->traceparent.  */
void entry_trace_request (struct entry_call *call);

/* Starts the span of an attempt at AGENT; fills in call->attempt_parent.  */
void entry_trace_attempt (struct entry_call *call, const char *agent);

/* Ends the span of an attempt that failed.  */
void entry_trace_attempt_ended (struct entry_call *call, const char *step,
                                const char *peer, const char *text);

/* Records the spans of the times that AGENT reported in END.  */
void entry_trace_agent (struct entry_call *call, const struct msg_end *end,
                        const char *agent);

/* Ends the spans of CALL, with ERR unless that is null.  */
void entry_trace_done (struct entry_call *call, const struct err *err);

/* Appends the spans of the trace ID in OTLP's JSON form to OUT.  Returns -1
   when ID is not a trace id.  */
int entry_trace_page (struct entry *entry, const char *id, GString *out);

/* entry_warn.c: conditions that this entry can detect.  The functions on calls
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
