#ifndef POOL_H
#define POOL_H
/*
 * NAME
 *   pool - runners that registered themselves, and what is known of each
 *
 * DESCRIPTION
 *   The table is fed by listings and events of the registry and by the answers
 *   of the runners.  An event older than what is known of a runner is ignored;
 *   a later start under the same id is a new lifetime, of which nothing is
 *   known.  A runner that leaves gets no new work from then on.
 *
 *   A runner that is missing while the registry is away, or shortly after, is
 *   kept for POOL_REREGISTER_US after the registry's return, since its entry
 * may have lapsed although it lives.  Pure; times are in microseconds.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#define POOL_REREGISTER_US                                                    \
  INT64_C (1900000) /* entries are back in about 2 s */

enum pool_stage
{
  POOL_STAGE_ANY, /* a plain service, or an engine without stages */
  POOL_STAGE_PREFILL,
  POOL_STAGE_DECODE
};

/* What a runner says of itself.  */
struct pool_entry
{
  char id[64];
  char service[64];
  char address[32]; /* IP:PORT */
  char zone[64];
  int64_t started_ms; /* start of this lifetime, by the time of day */
  unsigned slots;
  int draining;
  enum pool_stage stage;
};

struct pool_runner
{
  struct pool_entry entry;
  char peer[96];       /* id and start: names the lifetime */
  uint64_t revision;   /* of the registry, at the last change */
  int present;         /* in the registry */
  int64_t missing_us;  /* since when it isn't, during an outage */
  int leaving;         /* takes no new work in this lifetime */
  int listed;          /* met by the listing in progress */
  unsigned calls;      /* of this process, in progress */
  unsigned references; /* of requests that may still name it */
  /* Load that the last answer told, and how much of it was ours.  */
  unsigned told;
  unsigned load_reported_own;
  int64_t load_reported_us;
  double tokens; /* prompt tokens sent and not yet known as read */
  uint64_t hash; /* of the lifetime's name */
  /* What other gateways have in progress there, as they tell.  */
  unsigned peer_calls;
  double peer_tokens;
  int64_t peer_report_us; /* 0: never told */
  enum pool_stage peer_ordered;
  unsigned refusals;             /* in a row, with room by what is known */
  unsigned kv_transfer_failures; /* in a row: prompts whose memory no one could
                                    take */
  /* Failures, told by this process's own calls.  */
  unsigned failures;        /* in a row */
  int64_t backoff_until_us; /* no new work before this time */
  double failing;           /* share of failed calls, decaying average */
  int64_t failure_rate_us;  /* when that was last changed */
  double slow_us;           /* time of a call, decaying average */
  enum pool_stage ordered;  /* stage it is changing to, or ANY */
  int64_t ordered_us;
};

struct runner_pool;

struct runner_pool *pool_new (void);
void pool_free (struct runner_pool *runner_pool);

/* Applies an entry as of REVISION.  Returns the runner when something that
   matters to routing changed, else null.  */
struct pool_runner *pool_put (struct runner_pool *runner_pool,
                              const struct pool_entry *entry,
                              uint64_t revision);
/* Applies the removal of an entry.  Returns the runner when it was present. */
struct pool_runner *pool_remove (struct runner_pool *runner_pool,
                                 const char *id, uint64_t revision,
                                 int64_t now);

/* A whole listing: begin, put for each entry, end.  */
void pool_list_begin (struct runner_pool *runner_pool);
void pool_list_end (struct runner_pool *runner_pool, uint64_t revision,
                    int64_t now);

/* Tells whether the registry answers.  */
void pool_set_registry_reachable (struct runner_pool *runner_pool,
                                  int reachable, int64_t now);

/* Drops runners that are gone and have no calls; to be called regularly.  */
void pool_tick (struct runner_pool *runner_pool, int64_t now);

size_t pool_count (const struct runner_pool *runner_pool);
struct pool_runner *pool_at (const struct runner_pool *runner_pool, size_t i);
struct pool_runner *pool_find (const struct runner_pool *runner_pool,
                               const char *id);

/* Returns nonzero when RUNNER may get new work.  */
int pool_usable (const struct pool_runner *runner, int64_t now);

/* Returns nonzero when an order to change its stage is on its way.  */
int pool_is_changing_stage (const struct pool_runner *runner);

/* Returns the estimated number of requests at RUNNER from all callers.  */
double pool_load (const struct pool_runner *runner, int64_t now);

/* Returns the share of calls at RUNNER that fail, by what was seen lately: one
   that is avoided for its failures is tried again after some seconds.  */
double pool_failure_rate (const struct pool_runner *runner, int64_t now);

/* Returns the age of what pool_load rests on beside our own requests.  */
int64_t pool_load_age (const struct pool_runner *runner, int64_t now);

void pool_note_load (struct pool_runner *runner, unsigned running,
                     unsigned waiting, int64_t now);
enum pool_failure
{
  POOL_UNREACHABLE,       /* no connection was made */
  POOL_CONNECTION_BROKEN, /* the connection ended without a whole answer */
  POOL_ERROR_ANSWER       /* the runner answered with a failure */
};

/* Notes that RUNNER said "not run".  After a few in a row it gets a pause:
   it may be changing its stage, or be refusing without being full.  */
void pool_note_refusal (struct pool_runner *runner, int64_t now);
/* Notes whether the memory of a prompt that RUNNER had read could be taken. */
void pool_note_kv_transfer (struct pool_runner *runner, int taken,
                            int64_t now);

/* Notes how a call ended: answered in TOOK_US, or failed.  */
void pool_note_answer (struct pool_runner *runner, int64_t took_us,
                       int64_t now);
void pool_note_failure (struct pool_runner *runner, enum pool_failure failure,
                        int64_t now);
#endif
