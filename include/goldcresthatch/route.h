#ifndef GOLDCRESTHATCH_ROUTE_H
#define GOLDCRESTHATCH_ROUTE_H

/*
 * NAME
 *   route - choice of the runner for a request
 *
 * DESCRIPTION
 *   route_refresh computes a subset of at most ROUTE_SUBSET_MAX runners for
 *   each service by rendezvous hashing, so that a change of membership opens
 *   and closes few sockets.  Up to ROUTE_SUBSET_OWN_ZONE_MAX come from the
 *   entry's own zone; the rest come from other zones first, so that sockets
 *   stay open when a zone fails.
 *
 *   route_choose samples ROUTE_SAMPLE_SIZE usable runners of the subset, adds
 *   those that are estimated to have a prefix of the prompt in the KV cache,
 *   and returns the one with the lowest cost.  Sampling keeps entries that use
 *   the same outdated load report from all choosing the same runner.  The cost
 *   is the predicted time to the last token; a runner that is predicted to
 *   miss the deadline is chosen only when all would.
 *
 *   The prefix estimate maps each prefix block of recent prompts to the
 *   runners that served it, and drops the least recently used block when it is
 *   full.
 *
 *   Times are in microseconds.  The module takes no locks; route_choose and
 *   route_least_outstanding change nothing and may run concurrently.
 */

#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/fleet.h"

enum
{
  ROUTE_SUBSET_MAX = 24, /* runners of a service with an open socket */
  ROUTE_SUBSET_OWN_ZONE_MAX
  = 16,                    /* of these, in the entry's zone if others exist */
  ROUTE_SAMPLE_SIZE = 8,   /* runners compared that have no prefix block */
  ROUTE_SERVICES_MAX = 64, /* services with a subset */
  ROUTE_BLOCK_TOKENS = 1000, /* tokens of one prefix block */
  ROUTE_BLOCKS_MAX = 128,    /* blocks of a prompt that are compared */
  ROUTE_HOLDERS_MAX = 4      /* runners recorded for one prefix block */
};

enum route_phase
{
  ROUTE_PHASE_BOTH,
  ROUTE_PHASE_PREFILL,
  ROUTE_PHASE_DECODE
};

/* Speed of one runner of a service, configured or measured.  */
struct route_speed
{
  uint32_t prefill_us_per_token;
  uint32_t chunk_tokens; /* prefilled together with one decode step; 0: prefill
                            and decode are not batched together */
  uint32_t step_us;      /* decode step of a batch of one request */
  uint32_t step_us_per_request; /* added by each further request */
  uint32_t request_us;          /* time of a call of a plain service */
  uint32_t version_load_us; /* loading a model version that is not loaded */
  uint32_t
      role_mismatch_us; /* penalty for a role dedicated to the other phase */
};

struct route_request
{
  const char *service; /* plain service or model */
  const char *zone;    /* of the entry */
  uint64_t prompt_tokens;
  uint64_t output_tokens; /* expected */
  unsigned priority;      /* 0 is the highest */
  int64_t budget_us;      /* until the first token is due; 0: no deadline */
  enum route_phase phase;
  uint64_t version;       /* hash of the model version; 0: any */
  const uint64_t *prefix; /* hashes of the blocks, by route_hash_prefix */
  size_t n_prefix;
  const struct fleet_ref *excluded;
  size_t n_excluded;
  struct route_speed speed;
};

struct route_config
{
  const char *entry;     /* name, so that entries have different subsets */
  size_t cache_pieces;   /* most blocks in the prefix estimate, at least 1 */
  int64_t half_life_us;  /* of the tokens counted as cached, above 0 */
  uint64_t prefill_role; /* value of fleet_runner.role */
  uint64_t decode_role;
  /* Returns the one-way network delay between zones; null: 0 for all.  */
  int64_t (*distance_us) (void *ctx, const char *from, const char *to);
  void *ctx;
};

struct route_choice
{
  struct fleet_ref ref; /* generation 0: no runner is usable */
  int64_t first_us;     /* predicted time to the first token */
  int64_t step_us;      /* predicted time between tokens */
  uint64_t cached;      /* prompt tokens estimated to be cached */
  int late;             /* first_us is above the budget */
};

struct route;

/* CTX of CONFIG must outlive the result; the rest is copied.  */
struct route *route_new (const struct route_config *config);
void route_free (struct route *route);

/* Recomputes the subsets from the usable runners of FLEET.  To be called after
   a change of the VM list and on each tick.  Services beyond
   ROUTE_SERVICES_MAX get no subset.  */
void route_refresh (struct route *route, const struct fleet *fleet,
                    const char *zone);

/* Copies to REFS, which has room for fleet_slots() elements, the runners to
   hold a connection to, and returns their number: all runners whose service is
   not known and, of each service, a subset like that of route_refresh.
   Runners for which FIT returns 0 are in a subset only when too few others
   exist.  */
size_t route_contacts (const struct route *route, const struct fleet *fleet,
                       const char *zone,
                       int (*fit) (void *ctx,
                                   const struct fleet_runner *runner),
                       void *ctx, struct fleet_ref *refs);

/* Copies the subset of SERVICE to REFS, which has room for ROUTE_SUBSET_MAX
   elements, and returns its size, 0 when there is none.  */
size_t route_subset (const struct route *route, const char *service,
                     struct fleet_ref *refs);

/* Hashes the blocks of BLOCK_BYTES bytes of PROMPT into OUT and returns their
   number, at most MAX.  Each hash covers the blocks before it and SERVICE; an
   incomplete last block is left out.  */
size_t route_hash_prefix (const char *service, const void *prompt, size_t size,
                          size_t block_bytes, uint64_t *out, size_t max);

/* Returns the choice for REQUEST.  RANDOM seeds the sample and the order among
   equal runners.  */
struct route_choice route_choose (const struct route *route,
                                  const struct fleet *fleet,
                                  const struct route_request *request,
                                  uint64_t random, int64_t now);

/* Records that REF has served a prompt with these N prefix blocks.  */
void route_note_served (struct route *route, struct fleet_ref ref,
                        const uint64_t *prefix, size_t n, int64_t now);

/* Records that REF has loaded the model version VERSION.  */
void route_note_version (struct route *route, struct fleet_ref ref,
                         uint64_t version);

/* Returns the usable runner of the service, in the whole fleet, with the
   fewest outstanding requests of this entry; generation 0 when there is none.
   The baseline for comparisons with route_choose.  */
struct fleet_ref route_least_outstanding (const struct fleet *fleet,
                                          const struct route_request *request,
                                          uint64_t random);

#endif
