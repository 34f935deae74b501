#ifndef GOLDCRESTHATCH_ROUTE_H
#define GOLDCRESTHATCH_ROUTE_H

/*
 * NAME
 *   route - choice of the runner for a request
 *
 * DESCRIPTION
 *   route_refresh computes a subset of at most ROUTE_SUBSET_MAX runners for
 * each service by rendezvous hashing, so that a change of membership moves few
 *   sockets.  Up to ROUTE_SUBSET_OWN_ZONE_MAX come from the entry's own zone;
 * the rest come from other zones first, so that losing a zone leaves open
 * sockets.
 *
 *   route_choose samples ROUTE_SAMPLE_SIZE usable runners of the subset, adds
 * those that are estimated to hold a prefix of the prompt, and returns the
 * best. Sampling keeps entries that see the same old report from all choosing
 * the same runner.  The cost is the predicted time to the last token; a runner
 *   that is predicted to miss the deadline is chosen only when all would.
 *
 *   Times are in microseconds.  The part holds no locks; route_choose and
 *   route_least_outstanding change nothing and may run side by side.
 */

#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/fleet.h"

enum
{
  ROUTE_SUBSET_MAX = 24, /* runners of a service with an open socket */
  ROUTE_SUBSET_OWN_ZONE_MAX
  = 16,                  /* of these from the own zone, if others exist */
  ROUTE_SAMPLE_SIZE = 8, /* runners compared without a cached prefix */
  ROUTE_SERVICES_MAX = 64,
  ROUTE_BLOCK_TOKENS = 1000, /* tokens of one piece of an engine's cache */
  ROUTE_BLOCKS_MAX = 128,    /* pieces of a prompt that are compared */
  ROUTE_HOLDERS_MAX = 4      /* runners remembered for one piece */
};

enum route_phase
{
  ROUTE_PHASE_BOTH,
  ROUTE_PHASE_PREFILL,
  ROUTE_PHASE_DECODE
};

/* Speed of one runner of a service, by settings or measurement.  */
struct route_speed
{
  uint32_t prefill_us_per_token;
  uint32_t chunk_tokens; /* prefilled beside one decode step; 0: no decode is
                            run before the prefill has ended */
  uint32_t step_us;      /* decode step of a batch of one */
  uint32_t step_us_per_request; /* added by each further request */
  uint32_t request_us;          /* time of a call of a plain service */
  uint32_t version_load_us;     /* loading a version that is not warm */
  uint32_t role_mismatch_us;    /* cost of a role made for the other phase */
};

struct route_request
{
  const char *service; /* or model */
  const char *zone;    /* of the entry */
  uint64_t prompt_tokens;
  uint64_t output_tokens; /* expected */
  unsigned priority;      /* 0 is the highest */
  int64_t budget_us;      /* until the first token is due; 0 is none */
  enum route_phase phase;
  uint64_t version;       /* hash of the model version; 0 is any */
  const uint64_t *prefix; /* by route_hash_prefix */
  size_t n_prefix;
  const struct fleet_ref *excluded;
  size_t n_excluded;
  struct route_speed speed;
};

struct route_config
{
  const char *entry;     /* name; spreads the subsets of entries */
  size_t cache_pieces;   /* bound of the prefix estimate, at least 1 */
  int64_t half_life_us;  /* decay of the prefix estimate, above 0 */
  uint64_t prefill_role; /* values of fleet_runner.role */
  uint64_t decode_role;
  /* Returns the one-way time between zones; null means no difference.  */
  int64_t (*distance_us) (void *ctx, const char *from, const char *to);
  void *ctx;
};

struct route_choice
{
  struct fleet_ref ref; /* generation 0: no runner */
  int64_t first_us;     /* predicted time to the first token */
  int64_t step_us;      /* predicted time between tokens */
  uint64_t cached;      /* prompt tokens estimated to be cached */
  int late;             /* first_us is above the budget */
};

struct route;

/* Copies CONFIG except for CTX.  */
struct route *route_new (const struct route_config *config);
void route_free (struct route *route);

/* Computes the subsets again.  To be called after a change of the list and
   on each tick.  Services beyond ROUTE_SERVICES_MAX get no subset.  */
void route_refresh (struct route *route, const struct fleet *fleet,
                    const char *zone);

/* Copies to REFS, of fleet_slots, the runners to hold a connection to, and
   returns their number: those whose service is not known and, of each service,
   a subset like that of route_refresh, made of the runners for which FIT
   returns nonzero and then of the others.  */
size_t route_contacts (const struct route *route, const struct fleet *fleet,
                       const char *zone,
                       int (*fit) (void *ctx,
                                   const struct fleet_runner *runner),
                       void *ctx, struct fleet_ref *refs);

/* Copies the subset of SERVICE to REFS, of ROUTE_SUBSET_MAX, and returns its
   size.  */
size_t route_subset (const struct route *route, const char *service,
                     struct fleet_ref *refs);

/* Hashes the whole pieces of PIECE bytes of PROMPT, each chained to the one
   before, into OUT and returns their number, at most MAX.  */
size_t route_hash_prefix (const char *service, const void *prompt, size_t size,
                          size_t piece, uint64_t *out, size_t max);

/* Returns the choice for REQUEST.  RANDOM selects the sample and breaks
   ties.  */
struct route_choice route_choose (const struct route *route,
                                  const struct fleet *fleet,
                                  const struct route_request *request,
                                  uint64_t random, int64_t now);

/* Notes that REF has served a prompt with these pieces.  */
void route_note_served (struct route *route, struct fleet_ref ref,
                        const uint64_t *prefix, size_t n, int64_t now);

/* Notes that VERSION is the one that REF has loaded.  */
void route_note_version (struct route *route, struct fleet_ref ref,
                         uint64_t version);

/* Baseline: the usable runner of the service with the fewest requests of this
   entry outstanding, over the whole fleet.  */
struct fleet_ref route_least_outstanding (const struct fleet *fleet,
                                          const struct route_request *request,
                                          uint64_t random);

#endif
