#ifndef ENTRY_H
#define ENTRY_H

/*
 * The entry: callers' HTTP interface, choice of a runner, attempts and the
 * assembly of answers.
 *
 * Lock order: a call's lock, then entry->lock, then the network's queue.  No
 * lock is held over a call of the key-value service.
 */

#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
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
  int64_t drain_limit_s;
  int64_t deadline_ms; /* of a request that names none */
  int64_t workers;
  struct set_list config_peers;
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
  int key_drawn;   /* KEY was drawn here, not given by the caller */
  int recorded;    /* the answer was recorded by an earlier attempt */
  struct entry_claim *claim; /* null until the claim is made */
  struct entry_failure failure;
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
  struct MHD_Daemon *callers;
  struct MHD_Daemon *admins;
  uint64_t incarnation;
  pthread_t ticker;
  pthread_t lister;
  gint stopping;
  gint draining;
  struct entry_config *config;
  struct entry_lease *lease; /* retention of claims */

  pthread_mutex_t lock; /* guards what follows */
  GPtrArray *runners;   /* struct entry_runner */
  gint64 listed_us;     /* the platform's list was first read, or 0 */
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

/* Returns a reference to each call in progress.  */
GPtrArray *entry_call_all (struct entry *entry);

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
void entry_claim_ended (struct entry_call *call, enum msg_outcome outcome);

/* The connection to the runner broke.  */
void entry_claim_lost (struct entry_call *call);

void entry_claim_tick (struct entry_call *call, gint64 now_us);

/* Gives VOIDED to the calls that asked for it; without a lock.  */
void entry_claim_voided (struct entry *entry, uint64_t peer,
                         const struct msg *msg);

/* The caller has gone.  Returns nonzero when CALL must stay until its record
   is written.  */
int entry_claim_abandon (struct entry_call *call);
void entry_claim_free (struct entry_call *call);

/* Whether "not run" for CALL could be false for an earlier request under the
   caller's key, which no read of the claim has ruled out.  */
int entry_claim_unread (const struct entry_call *call);

/* entry_fleet.c */
void entry_fleet_report (struct entry *entry, uint64_t peer,
                         const struct msg_report *report);

/* Chooses a runner for SERVICE, other than the one with the handle AVOID when
   there is a choice, and counts the attempt on it.  Returns 0 when there is
   none; else fills in OUT.  */
int entry_fleet_choose (struct entry *entry, const char *service,
                        uint64_t avoid, struct entry_runner *out);
void entry_fleet_release (struct entry *entry, uint64_t peer);
int entry_fleet_alive (struct entry *entry, uint64_t peer, gint64 now_us);
void entry_fleet_name (struct entry *entry, uint64_t peer, char *name,
                       size_t size);
int entry_fleet_knows (struct entry *entry, const char *service);

/* Whether every runner on the platform's list has reported or had the time to:
   until then, a service that is not known may exist.  */
int entry_fleet_settled (struct entry *entry);
void entry_fleet_hello (struct entry *entry);
void *entry_fleet_main (void *arg);

/* entry_config.c */
int entry_config_open (struct entry *entry, struct err *err);
void entry_config_close (struct entry *entry);

/* Returns the configuration in force with a reference, which the caller drops
   by cfg_snapshot_unref.  Safe from any thread, under any lock.  */
struct cfg_snapshot *entry_config_get (struct entry *entry);

/* entry_net.c */
extern const struct net_ops entry_net_ops;

#endif
