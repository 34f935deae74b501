#ifndef LB_H
#define LB_H
/*
 * NAME
 *   lb - load balancing: choice of a runner for a prefill, a decode or a plain
 *   call
 *
 * DESCRIPTION
 *   Prompts that share prefix blocks go to the same few engines, so that each
 *   block is rarely read more than once.  The candidate engines of a session
 *   follow from its hash alone (rendezvous hashing), so all processes agree on
 *   them without messages.  A session uses its second engine while the
 *   queueing delay at the first is longer than reading the prompt anew.
 *
 *   The contents of an engine's KV cache are estimated from the prompts sent
 *   to it.  No input or output; times are in microseconds, prompts in tokens.
 */
#include <stddef.h>
#include <stdint.h>

#include "pool.h"

enum
{
  LB_BLOCKS_MAX = 16,
  LB_SESSION_CANDIDATES = 2, /* candidate engines of a session */
  LB_SAMPLE_MAX = 4          /* runners of a random sample */
};

/* Speed of an engine.  */
struct lb_speed
{
  double prefill_tokens_per_us;
  double decode_prefill_slowdown;    /* factor on prefill at a decode engine */
  double prefill_overhead_us;        /* fixed time of each prefill */
  double decode_step_us;             /* one decode step of a batch */
  double decode_step_us_per_request; /* added by each request of the batch */
  double kv_transfer_us;             /* KV transfer to another engine */
};

extern const struct lb_speed lb_speed_default;

/* A prefix block: a part of a prompt that can be cached.  */
struct lb_block
{
  uint64_t id;
  uint32_t tokens;
};

struct lb_prompt
{
  struct lb_block blocks[LB_BLOCKS_MAX]; /* last: the request's own */
  size_t n_blocks;
  uint32_t tokens;
  uint32_t output_tokens; /* expected */
};

struct lb;

/* CACHE_ENTRIES_MAX is the number of cached blocks that are remembered, over
   all engines.  */
struct lb *lb_new (const struct lb_speed *speed, size_t cache_entries_max);
void lb_free (struct lb *lb);

/* Returns the hash that selects the engines of the prompt's session: that of
   its blocks without the last one, which is the request's own.  */
uint64_t lb_session_hash (const struct lb_prompt *prompt);

/* Returns the tokens of the prompt that are not in RUNNER's KV cache,
   estimated from the prompts sent there within the usual retention time.  */
uint32_t lb_uncached_tokens (const struct lb *lb,
                             const struct pool_runner *runner,
                             const struct lb_prompt *prompt, int64_t now);
/* Notes that RUNNER reads the prompt and caches its blocks.  */
void lb_note_prefill (struct lb *lb, const struct pool_runner *runner,
                      const struct lb_prompt *prompt, int64_t now);

struct lb_choice
{
  struct pool_runner *runner; /* null: none is usable */
  double queue_us;            /* queueing delay */
  double before_us;           /* time of all that is in the queue before */
  double first_byte_us;       /* time to the first token, or the answer */
  double read_us;             /* time of reading the prompt, if it does */
  double busy_us;             /* part of it that keeps the runner busy */
  uint32_t uncached_tokens;   /* tokens that are not in its KV cache */
};

/* Returns nonzero when the queueing delay of CHOICE and its own time exceed
   LIMIT microseconds.  Own time counts for at most half of LIMIT: a very long
   prompt takes longer than LIMIT by itself and would never be served.  */
int lb_exceeds_limit (const struct lb_choice *choice, double limit);

/* Which runners are eligible.  */
struct lb_filter
{
  const char *service;
  const char *zone;      /* preferred */
  enum pool_stage stage; /* ANY for a plain service */
  const char *build;     /* the only software version; null: any */
  const struct pool_runner *const *excluded;
  size_t n_excluded;
  unsigned calls_max; /* of this process at one runner; 0: no limit */
  unsigned gateways;  /* among which the limits of runners are shared */
  const struct pool_runner *const *sample; /* the only ones for a decode */
  size_t n_sample;                         /* 0: no such limit */
  /* By learnt speeds; otherwise all runners count as equally fast.  */
  int learns;
  unsigned urgency; /* 0 is the highest; used with LEARNS */
  /* Of a decode; used with LEARNS.  */
  double gap_us;        /* longest pause between its events; 0: any */
  double output_tokens; /* expected */
};

/* Sets CANDIDATE to the eligible engines of PROMPT's session, the preferred
   one first.  Returns their number, at most LB_SESSION_CANDIDATES.  */
size_t lb_session_candidates (const struct runner_pool *runner_pool,
                              const struct lb_filter *where,
                              const struct lb_prompt *prompt, int64_t now,
                              struct pool_runner **candidate);
/* Sets SAMPLE to eligible runners chosen by RANDOM, half of them in the
   preferred zone where it has enough.  For a long stream with a target for its
   pauses fast runners are more likely.  Returns their number, at most
   LB_SAMPLE_MAX.  A choice among few runners whose load is known exactly keeps
   gateways from all choosing the runner that seemed idle a moment ago
   (Mitzenmacher, "The power of two choices in randomized load balancing",
   2001).  */
size_t lb_sample (const struct lb *lb, const struct runner_pool *runner_pool,
                  const struct lb_filter *where, uint64_t random, int64_t now,
                  struct pool_runner **sample);

/* Each function below returns the choice with the lowest expected cost; its
   RUNNER is null when no runner is eligible.  */
struct lb_choice lb_prefill (const struct lb *lb,
                             const struct runner_pool *runner_pool,
                             const struct lb_filter *where,
                             const struct lb_prompt *prompt, int64_t now);
/* PROMPT is null when the KV cache is transferred to the engine.  */
struct lb_choice lb_decode (const struct lb *lb,
                            const struct runner_pool *runner_pool,
                            const struct lb_filter *where,
                            const struct lb_prompt *prompt, int64_t now);
/* Chooses a decode engine for both prefill and decode of a request whose
   prompt the prefill engines can't read in time.  Only engines with at most
   SHARE of their slots in use and no queued prompt are eligible: a decode
   engine reads at half speed and delays its streams meanwhile.  */
struct lb_choice lb_overflow (const struct lb *lb,
                              const struct runner_pool *runner_pool,
                              const struct lb_filter *where,
                              const struct lb_prompt *prompt, double share,
                              int64_t now);
/* For a plain service.  RANDOM selects among runners of equal cost.  */
struct lb_choice lb_call (const struct runner_pool *runner_pool,
                          const struct lb_filter *where, uint64_t random,
                          int64_t now);
#endif
