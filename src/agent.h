#ifndef AGENT_H
#define AGENT_H

/*
 * The agent: sole access point to the runner of its endpoint VM.
 *
 * Lock order: agent->lock, then the network's queue.  No lock is held over a
 * request to the endpoint or the key-value service.
 */

#include <glib.h>
#include <pthread.h>
#include <stdint.h>
#include <xxhash.h>

#include "goldcresthatch/engine.h"
#include "goldcresthatch/kv.h"
#include "goldcresthatch/msg.h"
#include "goldcresthatch/net.h"
#include "goldcresthatch/attempt.h"
#include "goldcresthatch/settings.h"
#include "goldcresthatch/span.h"

struct agent_settings
{
  char name[SETTINGS_TEXT_BYTES];
  char zone[SETTINGS_TEXT_BYTES];
  char listen[SETTINGS_TEXT_BYTES];   /* for entries */
  char lock[SETTINGS_TEXT_BYTES];     /* loopback address bound exclusively */
  char endpoint[SETTINGS_TEXT_BYTES]; /* the runner */
  char kind[SETTINGS_TEXT_BYTES];     /* "engine" or "plain" */
  char service[SETTINGS_TEXT_BYTES];  /* model or plain service */
  char health_path[SETTINGS_TEXT_BYTES]; /* of the runner */
  char kv[SETTINGS_TEXT_BYTES];
  char log_level[SETTINGS_TEXT_BYTES];
  char keys[SETTINGS_TEXT_BYTES]; /* file of CURVE keys, empty for none */
  int64_t capacity;               /* requests run at once */
  int64_t drain_limit_s;          /* of a graceful shutdown */
  int64_t window_ms; /* length of the windows that admit attempts */
};

/* What the agent adds to the trace of a call.  */
struct agent_trace
{
  int64_t queue_start_us;
  int64_t run_start_us;
  uint64_t run_span;
  char parent[SPAN_TRACEPARENT_LEN + 1]; /* traceparent for the endpoint */
};

/* A call that runs or waits for a worker.  Reference-counted: the table of
   jobs and the worker hold one each.  */
struct agent_job
{
  gint refs;
  struct agent *agent;
  uint64_t peer;
  struct msg_id call;
  struct msg_id attempt;
  int at_most_once;
  int suspect; /* counted in agent->suspects */
  char method[MSG_NAME_MAX_BYTES];
  char *path;
  char content_type[MSG_NAME_MAX_BYTES];
  char traceparent[MSG_NAME_MAX_BYTES];
  char *body;
  size_t body_size;
  uint64_t priority;
  uint64_t resume_index;
  gint64 deadline_us;
  int stream;       /* the answer may have any length */
  size_t received;  /* bytes of the answer */
  uint64_t frames;  /* DATA messages sent */
  int answered;     /* a head arrived */
  uint64_t crashes; /* of the endpoint before the start */
  int counted;      /* included in agent->running */
  gint cancelled;
  struct agent_result *result; /* null unless at most once */
  struct agent_trace trace;
};

struct agent_orders;

/* State of the engine and its orders, as sent in a REPORT.  */
struct agent_order_status
{
  struct engine_target actual;
  uint64_t fence;
  int known; /* ACTUAL has been read from the engine */
};

struct agent
{
  struct agent_settings settings;
  struct net *net;
  struct kv *kv;
  int lock_fd; /* keeps a second agent from starting */
  GThreadPool *workers;
  uint64_t incarnation;
  struct agent_orders *orders;

  pthread_mutex_t lock; /* guards what follows */
  enum msg_agent_state state;
  int endpoint_up;
  GHashTable *jobs;  /* by attempt */
  GHashTable *peers; /* entries by handle: time of the last HELLO */
  unsigned running;
  uint64_t prompt_done; /* tokens served */
  uint64_t output_done;
  unsigned suspects; /* jobs that may crash the endpoint; at most one */
  uint64_t crashes;  /* endpoint crashes in this incarnation */
  /* Calls that lost their connection to the endpoint or could not make one. */
  uint64_t connection_failures;
  struct attempt_table *attempts; /* non-idempotent attempts and the window */

  struct cfg_sync *config;
  pthread_t probe;
  gint stopping;
};

/* Handles the messages of entries.  */
extern const struct net_ops agent_net_ops;

/* agent_attempt.c: the caller holds the agent's lock unless stated otherwise.
 */

/* Returns the window that attempts are admitted by.  */
uint64_t agent_attempt_window (struct agent *agent);

/* Admits a non-idempotent CALL.  A REASON that isn't null refuses it
   regardless of the attempt table.  Returns null when the call may start, or
   else the text of the refusal; the text is empty for a duplicate, which must
   be dropped without an answer.  */
const char *agent_attempt_admit (struct agent *agent,
                                 const struct msg_call *call,
                                 const char *reason);

/* Collects the answer of JOB for the attempt table; called without a lock.  */
void agent_attempt_begin (struct agent_job *job);
void agent_attempt_head (struct agent_job *job, unsigned status,
                         struct msg_str content_type);
void agent_attempt_data (struct agent_job *job, const char *data, size_t size);
void agent_attempt_free (struct agent_job *job);

/* Records the outcome of JOB, before the END is sent; takes the agent's
   lock.  */
void agent_attempt_finish (struct agent_job *job, enum msg_outcome outcome);

/* Sets the outcome of the running attempts to unknown.  */
void agent_attempt_crash (struct agent *agent);

/* Answers a VOID; takes the agent's lock.  */
void agent_attempt_void (struct agent *agent, uint64_t peer,
                         const struct msg *msg);

/* Sends a REPORT to PEER, or to every recent entry when PEER is 0.  */
void agent_report (struct agent *agent, uint64_t peer);

/* Sends END for JOB.  */
void agent_send_end (struct agent_job *job, enum msg_outcome outcome,
                     const char *step, const char *text);

/* Worker thread: runs the job DATA on the endpoint of the agent CTX.  */
void agent_job_run (gpointer data, gpointer ctx);

void agent_job_unref (struct agent_job *job);

/* agent_config.c: the configuration that the agent holds.  */
void agent_config_open (struct agent *agent);
int agent_config_start (struct agent *agent, struct err *err);
void agent_config_close (struct agent *agent);

/* agent_trace.c: record when JOB was received, and when its run on the
   endpoint started; the span of the run becomes the parent of the
   endpoint's.  */
void agent_trace_queued (struct agent_job *job);
void agent_trace_started (struct agent_job *job);

/* Fills in the span times of END.  */
void agent_trace_end (const struct agent_job *job, struct msg_end *end);

/* Marks the endpoint as down until the next successful probe.  CRASHED is
   nonzero when the endpoint closed the connection during JOB; several jobs
   interrupted by the same crash count as one crash.  */
void agent_endpoint_failed (struct agent_job *job, int crashed);

/* Thread that checks the endpoint's health.  */
void *agent_probe_main (void *arg);

/* agent_order.c: opened before the network, started after it; stopped before
   the network closes.  */
void agent_order_open (struct agent *agent);
int agent_order_start (struct agent *agent, struct err *err);
void agent_order_stop (struct agent *agent);
void agent_order_close (struct agent *agent);

/* Handles an ORDER from PEER.  */
void agent_order_received (struct agent *agent, uint64_t peer,
                           const struct msg_order *order);

/* Tells the order thread that the health check found the runner down.  */
void agent_order_endpoint_down (struct agent *agent);

/* Returns the number of accepted orders in progress, which a graceful shutdown
   waits for.  One whose engine is down does not count.  */
unsigned agent_order_in_progress (struct agent *agent);

/* Adds the tokens of the usage record in a piece of an engine's answer, if it
   has one, to the totals of REPORT.  */
void agent_order_count_usage (struct agent *agent, const char *data,
                              size_t size);

void agent_order_status (struct agent *agent, struct agent_order_status *out);

#endif
