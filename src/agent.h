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

#include "goldcresthatch/kv.h"
#include "goldcresthatch/msg.h"
#include "goldcresthatch/net.h"
#include "goldcresthatch/run.h"
#include "goldcresthatch/set.h"

struct agent_settings
{
  char name[SET_TEXT_MAX];
  char zone[SET_TEXT_MAX];
  char listen[SET_TEXT_MAX];      /* for entries */
  char lock[SET_TEXT_MAX];        /* loopback address bound exclusively */
  char endpoint[SET_TEXT_MAX];    /* the runner */
  char kind[SET_TEXT_MAX];        /* "engine" or "plain" */
  char service[SET_TEXT_MAX];     /* model or plain service */
  char health_path[SET_TEXT_MAX]; /* of the runner */
  char kv[SET_TEXT_MAX];
  char log_level[SET_TEXT_MAX];
  int64_t capacity;      /* requests run at once */
  int64_t drain_limit_s; /* of a graceful shutdown */
  int64_t window_ms;     /* length of the windows that admit attempts */
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
  char method[MSG_NAME_MAX];
  char *path;
  char content_type[MSG_NAME_MAX];
  char traceparent[MSG_NAME_MAX];
  char *body;
  size_t body_size;
  uint64_t priority;
  uint64_t resume_index;
  gint64 deadline_us;
  uint64_t frames; /* DATA messages sent */
  int answered;    /* a head arrived */
  gint cancelled;
  struct agent_result *result; /* null unless at most once */
};

struct agent
{
  struct agent_settings settings;
  struct net *net;
  struct kv *kv;
  GThreadPool *workers;
  uint64_t incarnation;

  pthread_mutex_t lock; /* guards what follows */
  enum msg_agent_state state;
  int endpoint_up;
  GHashTable *jobs;  /* by attempt */
  GHashTable *peers; /* entries by handle: time of the last HELLO */
  unsigned running;
  struct run_table *runs; /* non-idempotent attempts and the window */

  pthread_t probe;
  gint stopping;
};

/* Handles the messages of entries.  */
extern const struct net_ops agent_net_ops;

/* agent_run.c: the agent's lock is held where it is not said otherwise.  */

/* Returns the window that attempts are admitted by.  */
uint64_t agent_run_window (struct agent *agent);

/* Admits a non-idempotent CALL.  REASON refuses it for another cause than the
   run table's, unless null.  Returns null when the call may start; else the
   text of the refusal, which is empty for a duplicate, to be dropped.  */
const char *agent_run_admit (struct agent *agent, const struct msg_call *call,
                             const char *reason);

/* Collects the answer of JOB for the run table; without a lock.  */
void agent_run_begin (struct agent_job *job);
void agent_run_head (struct agent_job *job, unsigned status,
                     struct msg_str content_type);
void agent_run_data (struct agent_job *job, const char *data, size_t size);
void agent_run_free (struct agent_job *job);

/* Records the outcome of JOB, before END tells it; takes the agent's lock.  */
void agent_run_finish (struct agent_job *job, enum msg_outcome outcome);

/* Makes the outcome of the running attempts unknown.  */
void agent_run_crash (struct agent *agent);

/* Answers a VOID; takes the agent's lock.  */
void agent_run_void (struct agent *agent, uint64_t peer,
                     const struct msg *msg);

/* Sends a REPORT to PEER, or to every recent entry when PEER is 0.  */
void agent_report (struct agent *agent, uint64_t peer);

/* Sends END for JOB.  */
void agent_send_end (struct agent_job *job, enum msg_outcome outcome,
                     const char *step, const char *text);

/* Worker: runs the job DATA on the endpoint of the agent CTX.  */
void agent_work (gpointer data, gpointer ctx);

void agent_job_unref (struct agent_job *job);

/* Thread that checks the endpoint's health.  */
void *agent_probe_main (void *arg);

#endif
