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

#include "goldcresthatch/kv.h"
#include "goldcresthatch/msg.h"
#include "goldcresthatch/net.h"
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
  char method[MSG_NAME_MAX];
  char *path;
  char content_type[MSG_NAME_MAX];
  char traceparent[MSG_NAME_MAX];
  char *body;
  size_t body_size;
  uint64_t priority;
  uint64_t resume_index;
  gint64 deadline_us;
  uint64_t frames;  /* DATA messages sent */
  int answered;     /* a head arrived */
  uint64_t crashes; /* of the endpoint before the start */
  int counted;      /* in agent->running */
  gint cancelled;
};

struct agent
{
  struct agent_settings settings;
  struct net *net;
  struct kv *kv;
  GThreadPool *workers;
  uint64_t incarnation;
  gint64 start_us;

  pthread_mutex_t lock; /* guards what follows */
  enum msg_agent_state state;
  int endpoint_up;
  GHashTable *jobs;  /* by attempt */
  GHashTable *peers; /* entries by handle: time of the last HELLO */
  unsigned running;
  unsigned suspects; /* jobs that may crash the endpoint; at most one */
  uint64_t crashes;  /* of the endpoint, seen by this incarnation */
  uint64_t breaks;   /* times that a call found the endpoint down */

  pthread_t probe;
  gint stopping;
};

/* Handles the messages of entries.  */
extern const struct net_ops agent_net_ops;

/* The window that attempts are admitted by (see the design page).  */
uint64_t agent_window (const struct agent *agent);

/* Sends a REPORT to PEER, or to every recent entry when PEER is 0.  */
void agent_report (struct agent *agent, uint64_t peer);

/* Sends END for JOB.  */
void agent_send_end (struct agent_job *job, enum msg_outcome outcome,
                     const char *step, const char *text);

/* Worker: runs the job DATA on the endpoint of the agent CTX.  */
void agent_work (gpointer data, gpointer ctx);

void agent_job_unref (struct agent_job *job);

/* Marks the endpoint down until the next probe passes.  CRASHED is nonzero
   when the endpoint broke off JOB; the jobs of one crash count it once.  */
void agent_endpoint_broke (struct agent_job *job, int crashed);

/* Thread that checks the endpoint's health.  */
void *agent_probe_main (void *arg);

#endif
