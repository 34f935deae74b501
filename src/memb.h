#ifndef MEMB_H
#define MEMB_H
/*
 * NAME
 *   memb - runners that registered themselves, and what is known of each
 *
 * DESCRIPTION
 *   The table is fed by listings and events of the registry and by the answers
 *   of the runners.  An event older than what is known of a runner is ignored;
 *   a later start under the same id is a new lifetime, of which nothing is
 *   known.  A runner that leaves gets no new work from then on.
 *
 *   A runner that is missing while the registry is away, or shortly after, is
 *   kept for MEMB_RETURN_US after the registry's return, since its entry may
 *   have lapsed although it lives.  Pure; times are in microseconds.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#define MEMB_RETURN_US INT64_C (1900000) /* entries are back in about 2 s */

enum memb_stage
{
  MEMB_STAGE_ANY, /* a plain service, or an engine without stages */
  MEMB_STAGE_PREFILL,
  MEMB_STAGE_DECODE
};

/* What a runner says of itself.  */
struct memb_entry
{
  char id[64];
  char service[64];
  char address[32]; /* IP:PORT */
  char zone[64];
  int64_t born_ms; /* start of this lifetime, by the time of day */
  unsigned slots;
  int draining;
  enum memb_stage stage;
};

struct memb_runner
{
  struct memb_entry entry;
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
  unsigned told_own;
  int64_t told_us;
  double tokens; /* prompt tokens sent and not yet known as read */
  uint64_t hash; /* of the lifetime's name */
  /* What other gateways have in progress there, as they tell.  */
  unsigned others_calls;
  double others_tokens;
  int64_t others_us; /* 0: never told */
  enum memb_stage others_ordered;
  unsigned refusals; /* in a row, with room by what is known */
  unsigned unmoved;  /* in a row: prompts whose memory no one could take */
  /* Failures, told by this process's own calls.  */
  unsigned failures;       /* in a row */
  int64_t down_us;         /* no new work before this time */
  double failing;          /* share of failed calls, decaying average */
  int64_t failing_us;      /* when that was last changed */
  double slow_us;          /* time of a call, decaying average */
  enum memb_stage ordered; /* stage it is changing to, or ANY */
  int64_t ordered_us;
};

struct memb;

struct memb *memb_new (void);
void memb_free (struct memb *memb);

/* Applies an entry as of REVISION.  Returns the runner when something that
   matters to routing changed, else null.  */
struct memb_runner *memb_put (struct memb *memb,
                              const struct memb_entry *entry,
                              uint64_t revision);
/* Applies the removal of an entry.  Returns the runner when it was present. */
struct memb_runner *memb_remove (struct memb *memb, const char *id,
                                 uint64_t revision, int64_t now);

/* A whole listing: begin, put for each entry, end.  */
void memb_list_begin (struct memb *memb);
void memb_list_end (struct memb *memb, uint64_t revision, int64_t now);

/* Tells whether the registry answers.  */
void memb_registry (struct memb *memb, int reachable, int64_t now);

/* Drops runners that are gone and have no calls; to be called regularly.  */
void memb_tick (struct memb *memb, int64_t now);

size_t memb_count (const struct memb *memb);
struct memb_runner *memb_at (const struct memb *memb, size_t i);
struct memb_runner *memb_find (const struct memb *memb, const char *id);

/* Returns nonzero when RUNNER may get new work.  */
int memb_usable (const struct memb_runner *runner, int64_t now);

/* Returns nonzero when an order to change its stage is on its way.  */
int memb_changing (const struct memb_runner *runner);

/* Returns the estimated number of requests at RUNNER from all callers.  */
double memb_load (const struct memb_runner *runner, int64_t now);

/* Returns the share of calls at RUNNER that fail, by what was seen lately: one
   that is avoided for its failures is tried again after some seconds.  */
double memb_failing (const struct memb_runner *runner, int64_t now);

/* Returns the age of what memb_load rests on beside our own requests.  */
int64_t memb_load_age (const struct memb_runner *runner, int64_t now);

void memb_told (struct memb_runner *runner, unsigned running, unsigned waiting,
                int64_t now);
enum memb_failure
{
  MEMB_UNREACHED, /* no connection was made */
  MEMB_BROKEN,    /* the connection ended without a whole answer */
  MEMB_ERROR      /* the runner answered with a failure */
};

/* Notes that RUNNER said "not run".  After a few in a row it gets a pause:
   it may be changing its stage, or be refusing without being full.  */
void memb_refused (struct memb_runner *runner, int64_t now);
/* Notes whether the memory of a prompt that RUNNER had read could be taken. */
void memb_moved (struct memb_runner *runner, int taken, int64_t now);

/* Notes how a call ended: answered in TOOK_US, or failed.  */
void memb_answered (struct memb_runner *runner, int64_t took_us, int64_t now);
void memb_failed (struct memb_runner *runner, enum memb_failure failure,
                  int64_t now);
#endif
