#include "cfg_sync.h"

#include <pthread.h>
#include <sodium.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "goldcresthatch/metric.h"
#include "goldcresthatch/log.h"
#include "peer.h"

enum
{
  POLL_MIN_US = 2 * G_USEC_PER_SEC,
  POLL_MAX_US = 10 * G_USEC_PER_SEC, /* polls alone adopt within 15 s */
  POLL_FLEET_READS_PER_S = 40, /* of the whole fleet, up to 400 processes */
  START_POLL_INTERVAL_US = 200 * 1000, /* between polls until one succeeds */
  DELTA_REQUEST_INTERVAL_US
  = 500 * 1000,    /* between two requests for a delta */
  JOBS_MAX = 1024, /* queued; peers repeat dropped requests */
  STATUS_OK = 200,
  STATUS_NO_CONTENT = 204
};

enum job_kind
{
  JOB_GET,
  JOB_DATA,
  JOB_STOP
};

struct job
{
  enum job_kind kind;
  uint64_t peer;
  uint64_t have;
  char *text;
  size_t size;
};

struct cfg_sync
{
  const struct cfg_sync_ops *ops;
  void *ctx;
  const struct settings_list *peers;
  struct kv *kv;
  struct net *_Atomic net; /* null before cfg_sync_start */
  GAsyncQueue *jobs;
  pthread_t thread;
  bool started;
  gint ready;
  uint64_t polled_revision;      /* of the value last parsed */
  struct cfg_snapshot *snapshot; /* published by RCU */

  _Atomic uint64_t generation; /* of the snapshot whose adoption is complete */
  _Atomic gint64 delta_requested_us;

  pthread_mutex_t lock; /* guards what follows */
  struct cfg_doc *doc;
};

static void
job_free (gpointer data)
{
  struct job *job = data;

  g_free (job->text);
  g_free (job);
}

struct cfg_sync *
cfg_sync_open (const struct cfg_sync_ops *ops, void *ctx,
               const struct settings_list *peers)
{
  struct cfg_sync *sync = g_new0 (struct cfg_sync, 1);

  sync->ops = ops;
  sync->ctx = ctx;
  sync->peers = peers;
  sync->jobs = g_async_queue_new_full (job_free);
  pthread_mutex_init (&sync->lock, NULL);
  sync->doc = cfg_default ();
  sync->snapshot = cfg_snapshot_new (sync->doc);
  return sync;
}

uint64_t
cfg_sync_generation (struct cfg_sync *sync)
{
  return sync->generation;
}

bool
cfg_sync_ready (struct cfg_sync *sync)
{
  return g_atomic_int_get (&sync->ready) != 0;
}

struct cfg_snapshot *
cfg_sync_snapshot (struct cfg_sync *sync)
{
  struct cfg_snapshot *snap;

  rcu_read_lock ();
  snap = cfg_snapshot_ref (rcu_dereference (sync->snapshot));
  rcu_read_unlock ();
  return snap;
}

char *
cfg_sync_delta (struct cfg_sync *sync, uint64_t have, uint64_t *generation)
{
  char *text;

  *generation = sync->generation;
  if (have >= *generation)
    return NULL;
  pthread_mutex_lock (&sync->lock);
  text = cfg_delta (sync->doc, have);
  pthread_mutex_unlock (&sync->lock);
  return text;
}

/* Publishes the snapshot of the document just adopted.  Runs on the thread of
   SYNC, the only one that replaces the document.  */
static void
publish (struct cfg_sync *sync, const char *source)
{
  struct cfg_snapshot *snap;
  struct cfg_snapshot *old;

  pthread_mutex_lock (&sync->lock);
  snap = cfg_snapshot_new (sync->doc);
  pthread_mutex_unlock (&sync->lock);
  old = rcu_xchg_pointer (&sync->snapshot, snap);
  synchronize_rcu ();
  cfg_snapshot_unref (old);
  sync->ops->adopted (sync->ctx, snap);
  sync->generation = snap->generation;
  metric_set (METRIC_CFG_GENERATION, (int64_t)snap->generation);
  log_write (LOG_LEVEL_INFO, NULL, "config", source, "generation %llu adopted",
             (unsigned long long)snap->generation);
}

/* Adopts CANDIDATE, which is consumed, when its generation is higher.  */
static void
adopt_newer (struct cfg_sync *sync, struct cfg_doc *candidate,
             const char *source)
{
  bool adopted;

  pthread_mutex_lock (&sync->lock);
  adopted = cfg_adopt (&sync->doc, candidate);
  pthread_mutex_unlock (&sync->lock);
  if (adopted)
    publish (sync, source);
}

/* Adopts the delta TEXT.  Returns 0, or -1 with ERR.  */
static int
adopt_delta (struct cfg_sync *sync, const char *text, size_t size,
             const char *source, struct err *err)
{
  struct cfg_doc *doc;
  bool adopted;

  /* Reading a document changes reference counts in it.  */
  pthread_mutex_lock (&sync->lock);
  doc = cfg_apply_delta (sync->doc, text, size, err);
  adopted = doc != NULL && cfg_adopt (&sync->doc, doc);
  pthread_mutex_unlock (&sync->lock);
  if (adopted)
    publish (sync, source);
  return doc != NULL ? 0 : -1;
}

/* Reads the value unless it is still the one last parsed.  The document of a
   large site has hundreds of kilobytes, and a watch with a wait of 0 answers
   without the value when it is unchanged.  */
static int
read_document_value (struct cfg_sync *sync, struct kv_value *value,
                     struct err *err)
{
  if (sync->polled_revision == 0)
    return kv_get (sync->kv, CFG_KEY, value, err);
  return kv_watch (sync->kv, CFG_KEY, sync->polled_revision, 0, value, err);
}

/* Reads the service.  Returns 0 when its document, or the absence of one, is
   known; -1 when the service did not answer or holds an invalid document.  */
static int
poll_kv_document (struct cfg_sync *sync)
{
  struct kv_value value = { NULL, 0, 0 };
  struct cfg_doc *doc;
  struct err err;
  int rc = read_document_value (sync, &value, &err);

  if (rc <= 0)
    return rc;
  doc = cfg_parse (value.data, value.size, CFG_KEY, NULL, &err);
  if (doc == NULL)
    {
      kv_value_free (&value);
      log_err (LOG_LEVEL_ERROR, NULL, &err);
      return -1;
    }
  sync->polled_revision = value.revision;
  kv_value_free (&value);
  adopt_newer (sync, doc, "key-value service");
  return 0;
}

/* Queries every peer and adopts the document of the highest generation when
   more than half of them answer and are ready.  Returns 0, or -1 when fewer
   do.  */
static int
adopt_from_peers (struct cfg_sync *sync)
{
  uint64_t generations[SETTINGS_LIST_MAX];
  const char *addresses[SETTINGS_LIST_MAX];
  struct cfg_peer_status answer;
  size_t answers = 0;
  GString *body;
  struct err err;
  int rc = -1;
  int newest;

  if (sync->peers == NULL)
    return -1;
  for (size_t i = 0; i < sync->peers->count; i++)
    if (peer_get_config (sync->peers->items[i], UINT64_MAX, NULL, &answer,
                         &err)
            == STATUS_NO_CONTENT
        && answer.ready)
      {
        generations[answers] = answer.generation;
        addresses[answers++] = sync->peers->items[i];
      }
  newest = cfg_majority_newest (generations, answers, sync->peers->count);
  if (newest < 0)
    return -1;
  if (generations[newest] <= cfg_sync_generation (sync))
    return 0;
  body = g_string_new (NULL);
  if (peer_get_config (addresses[newest], 0, body, &answer, &err) == STATUS_OK
      && answer.generation >= generations[newest]
      && adopt_delta (sync, body->str, body->len, addresses[newest], &err)
             == 0)
    rc = 0;
  g_string_free (body, TRUE);
  return rc;
}

static void
send_get (struct cfg_sync *sync, uint64_t peer, uint64_t generation)
{
  struct msg msg = { .type = MSG_CFG_GET };

  msg.u.cfg_get.generation = generation;
  net_send (sync->net, peer, &msg, NULL);
}

static void
send_delta (struct cfg_sync *sync, const struct job *job)
{
  struct msg msg = { .type = MSG_CFG_DATA };
  uint64_t generation;
  char *text = cfg_sync_delta (sync, job->have, &generation);

  if (text == NULL)
    return;
  msg.u.cfg_data.generation = generation;
  msg.u.cfg_data.sections.p = text;
  msg.u.cfg_data.sections.n = strlen (text);
  net_send (sync->net, job->peer, &msg, NULL);
  g_free (text);
}

static void
apply_received_delta (struct cfg_sync *sync, const struct job *job)
{
  struct err err;

  if (job->have <= cfg_sync_generation (sync)
      || adopt_delta (sync, job->text, job->size, "another process", &err)
             == 0)
    return;
  if (err.code == ERR_CONFLICT)
    send_get (sync, job->peer, 0);
  else if (err.code != ERR_REFUSED)
    log_err (LOG_LEVEL_WARN, NULL, &err);
}

int64_t
cfg_sync_poll_max_us (struct cfg_sync *sync)
{
  gint64 base = (gint64)(sync->ops->fleet_size (sync->ctx) * G_USEC_PER_SEC
                         / POLL_FLEET_READS_PER_S);

  base = CLAMP (base, POLL_MIN_US, POLL_MAX_US);
  return CLAMP (base + base / 10, POLL_MIN_US, POLL_MAX_US);
}

/* Returns the time until the next poll.  */
static gint64
poll_interval (struct cfg_sync *sync)
{
  gint64 most = cfg_sync_poll_max_us (sync);

  return MAX (most - (gint64)randombytes_uniform ((uint32_t)(most / 6)),
              POLL_MIN_US);
}

/* Polls once.  Returns the time until the next poll.  */
static gint64
poll_once (struct cfg_sync *sync)
{
  int rc = poll_kv_document (sync);

  if (rc != 0 && !cfg_sync_ready (sync))
    rc = adopt_from_peers (sync);
  if (rc == 0)
    g_atomic_int_set (&sync->ready, 1);
  return cfg_sync_ready (sync) ? poll_interval (sync) : START_POLL_INTERVAL_US;
}

static void *
sync_main (void *arg)
{
  struct cfg_sync *sync = arg;
  gint64 next = 0;
  gint64 now;
  struct job *job;
  enum job_kind kind = JOB_GET;

  while (kind != JOB_STOP)
    {
      now = g_get_monotonic_time ();
      if (now >= next)
        next = g_get_monotonic_time () + poll_once (sync);
      now = g_get_monotonic_time ();
      job = g_async_queue_timeout_pop (sync->jobs,
                                       (guint64)MAX (next - now, 1));
      if (job == NULL)
        continue;
      kind = job->kind;
      if (kind == JOB_GET)
        send_delta (sync, job);
      else if (kind == JOB_DATA)
        apply_received_delta (sync, job);
      job_free (job);
    }
  return NULL;
}

int
cfg_sync_start (struct cfg_sync *sync, struct kv *kv, struct net *net,
                struct err *err)
{
  sync->kv = kv;
  sync->net = net;
  if (pthread_create (&sync->thread, NULL, sync_main, sync) != 0)
    return err_set (err, ERR_LIMIT, "thread", NULL,
                    "cannot start the configuration thread");
  sync->started = true;
  return 0;
}

static void
enqueue_job (struct cfg_sync *sync, enum job_kind kind, uint64_t peer,
             uint64_t have, struct msg_str text)
{
  struct job *job;

  if (kind != JOB_STOP && g_async_queue_length (sync->jobs) >= JOBS_MAX)
    return;
  job = g_new0 (struct job, 1);
  job->kind = kind;
  job->peer = peer;
  job->have = have;
  job->text = g_strndup (text.p, text.n);
  job->size = text.n;
  g_async_queue_push (sync->jobs, job);
}

void
cfg_sync_stop (struct cfg_sync *sync)
{
  struct msg_str none = { "", 0 };

  if (!sync->started)
    return;
  enqueue_job (sync, JOB_STOP, 0, 0, none);
  pthread_join (sync->thread, NULL);
  sync->started = false;
}

void
cfg_sync_close (struct cfg_sync *sync)
{
  g_async_queue_unref (sync->jobs);
  cfg_snapshot_unref (sync->snapshot);
  cfg_free (sync->doc);
  pthread_mutex_destroy (&sync->lock);
  g_free (sync);
}

void
cfg_sync_on_peer_generation (struct cfg_sync *sync, uint64_t peer,
                             uint64_t generation)
{
  gint64 now = g_get_monotonic_time ();
  gint64 requested_us = sync->delta_requested_us;
  uint64_t held = sync->generation;

  if (generation <= held || sync->net == NULL
      || (requested_us != 0 && now - requested_us < DELTA_REQUEST_INTERVAL_US))
    return;
  if (atomic_compare_exchange_strong (&sync->delta_requested_us, &requested_us,
                                      now))
    send_get (sync, peer, held);
}

void
cfg_sync_on_get (struct cfg_sync *sync, uint64_t peer, const struct msg *msg)
{
  struct msg_str none = { "", 0 };

  enqueue_job (sync, JOB_GET, peer, msg->u.cfg_get.generation, none);
}

void
cfg_sync_on_data (struct cfg_sync *sync, uint64_t peer, const struct msg *msg)
{
  enqueue_job (sync, JOB_DATA, peer, msg->u.cfg_data.generation,
               msg->u.cfg_data.sections);
}
