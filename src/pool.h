#ifndef POOL_H
#define POOL_H
/*
 * NAME
 *   pool - pool of registered runners, with the load and health of each
 *
 * DESCRIPTION
 *   The pool is updated from listings and events of the registry and from the
 *   answers of the runners.  An event with an older revision than the runner's
 *   is ignored; a later start under the same id is a new lifetime, which
 *   inherits no state.  A runner that has announced that it leaves, in its
 * entry or in an answer, gets no new work in that lifetime, whatever the
 * registry shows later.
 *
 *   A runner that is missing while the registry is unreachable, or shortly
 *   after, is kept for POOL_REREGISTER_US after the registry's return, since
 *   its entry may have expired although the runner is alive.  When the
 * registry is restored from an older copy, its first listing may show runners
 * that have left.  One that had drained gets no new work; any other one only
 * once its entry is written again or has stayed for 10 s.  No input or output;
 *   times are in microseconds.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "limit.h"
#include "pace.h"

/* Runners re-register in about 2 s.  */
#define POOL_REREGISTER_US INT64_C (1900000)

/* Between the returns of two gateways to a runner after its rest, on average:
   about the time that a plain runner takes for a request in one of its slots.
   Without that, all gateways return at the same moment.  */
#define POOL_RETURN_US INT64_C (5000)

enum pool_stage
{
  POOL_STAGE_ANY, /* a plain service, or an engine without a stage */
  POOL_STAGE_PREFILL,
  POOL_STAGE_DECODE
};

/* Registry entry of a runner.  */
struct pool_entry
{
  char id[64];
  char service[64];
  char address[32]; /* IP:PORT */
  char zone[64];
  int64_t started_ms; /* start of this lifetime, since the epoch */
  unsigned slots;
  int draining;
  enum pool_stage stage;
  char build[64]; /* version of its software */
};

struct pool_runner
{
  struct pool_entry entry;
  char peer[96];          /* "ID@START", names the lifetime */
  uint64_t revision;      /* of the registry at the last change */
  int present;            /* in the registry */
  int64_t missing_us;     /* absent since, during a registry outage, or 0 */
  int announced;          /* has said that it leaves */
  int leaving;            /* gets no new work: announced, absent or doubtful */
  int64_t doubt_until_us; /* LEAVING until then, unless written again, or 0 */
  int listed;             /* found by the listing in progress */
  unsigned calls;         /* of this process, in progress */
  unsigned references;    /* held by requests */
  /* Load reported by the last answer, and the part from this process.  */
  unsigned load_reported;
  unsigned load_reported_own;
  int64_t load_reported_us;
  struct limit limit;
  double tokens; /* prompt tokens sent whose prefill has not ended */
  uint64_t hash; /* of PEER */
  /* Requests of the peer gateways, as of the last query.  */
  unsigned peer_calls;
  double peer_tokens;
  int64_t peer_report_us; /* time of the reply; 0: none yet */
  enum pool_stage peer_ordered;
  unsigned refusals;             /* in a row */
  unsigned kv_transfer_failures; /* failed KV transfers from here, in a row */
  /* Results of this process's own calls.  */
  unsigned failures;      /* of connections, in a row */
  int probing;            /* a connection is opened to see whether it is up */
  int64_t unreachable_us; /* when that failed last */
  int64_t answered_us;    /* when an answer began last */
  int64_t backoff_until_us; /* back-off: no new work before this time */
  int64_t rest_until_us;    /* it has asked for none before this time, or 0 */
  unsigned start_calls;    /* at once after that, or 0: as many as there are */
  double failure_rate;     /* failed share of calls; moving average */
  int64_t failure_rate_us; /* last update of that */
  double latency_us;       /* latency of calls; moving average */
  struct pace pace;
  struct pace_service *service_pace; /* of the pool */
  int64_t asked_us;        /* when it was asked for its speed last, or 0 */
  enum pool_stage ordered; /* stage that it is changing to, or ANY */
  int64_t ordered_us;
};

struct runner_pool;

struct runner_pool *pool_new (void);
void pool_free (struct runner_pool *runner_pool);

/* Applies an entry as of REVISION.  Returns the runner when its presence,
   draining state or stage has changed, else null.  */
struct pool_runner *pool_put (struct runner_pool *runner_pool,
                              const struct pool_entry *entry,
                              uint64_t revision);
/* Notes that RUNNER has said that it leaves.  Returns nonzero when that wasn't
   known.  */
int pool_note_leaving (struct pool_runner *runner);
/* Notes that the lifetime PEER, "ID@START", has said so, and remembers it when
   it isn't registered yet.  Returns the runner when that wasn't known of it,
   else null.  */
struct pool_runner *
pool_note_lifetime_leaving (struct runner_pool *runner_pool, const char *peer,
                            int64_t now);
/* Applies the removal of an entry.  Returns the runner when it was present. */
struct pool_runner *pool_remove (struct runner_pool *runner_pool,
                                 const char *id, uint64_t revision,
                                 int64_t now);

/* The registry has been restored from an older copy: its revisions aren't
   comparable with those before, runners that are missing in it have to
   register again, and runners that have left may be listed once more.  */
void pool_restart_revisions (struct runner_pool *runner_pool, int64_t now);

/* A complete listing: call pool_list_begin, pool_put for each entry, then
   pool_list_end, which removes the runners that were not listed.  */
void pool_list_begin (struct runner_pool *runner_pool);
void pool_list_end (struct runner_pool *runner_pool, uint64_t revision,
                    int64_t now);

/* Sets whether the registry answers.  */
void pool_set_registry_reachable (struct runner_pool *runner_pool,
                                  int reachable, int64_t now);

/* Removes absent runners without calls or references, and forgets what peers
   have reported of stage changes a while ago; to be called periodically.  */
void pool_tick (struct runner_pool *runner_pool, int64_t now);

/* Returns nonzero when an entry that is missing isn't so because of an outage
   of the registry.  */
int pool_is_registry_sound (const struct runner_pool *runner_pool,
                            int64_t now);
/* Returns a number that changes, and is never 0, when a lifetime appears or
   leaves.  */
uint64_t pool_changes (const struct runner_pool *runner_pool);

size_t pool_count (const struct runner_pool *runner_pool);
struct pool_runner *pool_at (const struct runner_pool *runner_pool, size_t i);
struct pool_runner *pool_find (const struct runner_pool *runner_pool,
                               const char *id);
/* Returns the runner with HASH, or null.  */
struct pool_runner *pool_find_hash (const struct runner_pool *runner_pool,
                                    uint64_t hash);

/* Returns nonzero when RUNNER may get new work: it is registered, not leaving,
   and neither at rest nor in back-off.  */
int pool_usable (const struct pool_runner *runner, int64_t now);

/* Notes that RUNNER wants nothing from here for REST_US.  Unlike a back-off,
   which is a guess, nothing but time and a new lifetime ends that.  */
void pool_note_rest (struct pool_runner *runner, int64_t rest_us, int64_t now);
int pool_is_resting (const struct pool_runner *runner, int64_t now);
/* Notes that RUNNER has begun to serve a request.  After a rest it gets twice
   as many at once each time; one that it serves within the rest says nothing.
 */
void pool_note_served (struct pool_runner *runner, int64_t now);
/* Returns nonzero when RUNNER may get one more request so soon after a rest.
 */
int pool_start_allows (const struct pool_runner *runner, int64_t now);
/* Returns when the first runner of SERVICE in STAGE ends its rest, or 0 when
   there is none that stays or one of them doesn't rest.  */
int64_t pool_rest_end (const struct runner_pool *runner_pool,
                       const char *service, enum pool_stage stage,
                       int64_t now);

/* Returns nonzero when RUNNER has been ordered to change its stage.  */
int pool_is_changing_stage (const struct pool_runner *runner);

/* Returns the estimated number of requests at RUNNER from all callers: this
   process's calls, and those of others by the last query of the peer gateways
   or, without one, by the runner's last answer.  */
double pool_load (const struct pool_runner *runner, int64_t now);

/* Returns the failed share of the calls to RUNNER, as a moving average that
   decays with time: a runner avoided for its failures is tried again after
   some seconds.  */
double pool_failure_rate (const struct pool_runner *runner, int64_t now);

/* Returns the age of the load reported to pool_load by others, in
   microseconds.  */
int64_t pool_load_age (const struct pool_runner *runner, int64_t now);

/* Notes the load that an answer of RUNNER reports.  */
void pool_note_load (struct pool_runner *runner, unsigned running,
                     unsigned waiting, int64_t now);
enum pool_failure
{
  POOL_UNREACHABLE,       /* connect failed */
  POOL_CONNECTION_BROKEN, /* the connection ended before the answer was
                             complete */
  POOL_ERROR_ANSWER       /* the runner answered with status 5xx */
};

/* Notes that RUNNER answered "not run".  A few refusals in a row start a
   back-off: the runner may be changing its stage, or refuse without being
   full.  */
void pool_note_refusal (struct pool_runner *runner, int64_t now);
/* Notes whether the KV cache of a prompt could be fetched from RUNNER, which
   had read the prompt.  TAKEN is nonzero when it could.  */
void pool_note_kv_transfer (struct pool_runner *runner, int taken,
                            int64_t now);

/* Notes the end of a call: answered in TOOK_US, or failed.  */
void pool_note_answer (struct pool_runner *runner, int64_t took_us,
                       int64_t now);
void pool_note_failure (struct pool_runner *runner, enum pool_failure failure,
                        int64_t now);
#endif
