#ifndef LB_H
#define LB_H
/*
 * NAME
 *   lb - choice of a runner for a prompt, a generation or a plain call
 *
 * DESCRIPTION
 *   Prompts that share parts go to the same few engines, so that each part is
 *   read rarely: the engines of a session follow from its hash alone, and all
 *   processes agree on them without messages.  A session moves to its next
 *   engine while the wait at its first is longer than reading it there.
 *
 *   What an engine holds is estimated from what was sent there.  Pure; times
 *   are in microseconds, prompts in tokens.
 */
#include <stddef.h>
#include <stdint.h>

#include "pool.h"

enum
{
  LB_BLOCKS_MAX = 16
};

/* Speed of an engine; rates are refined by measurement.  */
struct lb_speed
{
  double prefill_tokens_per_us;
  double decode_prefill_slowdown;    /* at an engine that makes tokens */
  double prefill_overhead_us;        /* of each prompt beside its tokens */
  double token_us;                   /* one step of a batch */
  double decode_step_us_per_request; /* added by each request of the batch */
  double transfer_us; /* of a prompt's memory to another engine */
};

extern const struct lb_speed lb_speed_default;

struct lb_block
{
  uint64_t id;
  uint32_t tokens;
};

struct lb_prompt
{
  struct lb_block parts[LB_BLOCKS_MAX]; /* in order; the last is its own */
  size_t n_blocks;
  uint32_t tokens;
  uint32_t output_tokens; /* expected */
};

struct lb;

struct lb *lb_new (const struct lb_speed *speed, size_t cache_entries_max);
void lb_free (struct lb *lb);

/* Returns the hash by which the prompt's session is placed.  */
uint64_t lb_session_hash (const struct lb_prompt *prompt);

/* Returns the tokens that RUNNER has to read, by what was sent there within
   the time that an engine usually keeps it.  */
uint32_t lb_uncached_tokens (const struct lb *lb,
                             const struct pool_runner *runner,
                             const struct lb_prompt *prompt, int64_t now);
/* Notes that RUNNER reads the prompt.  */
void lb_note_prefill (struct lb *lb, const struct pool_runner *runner,
                      const struct lb_prompt *prompt, int64_t now);

struct lb_choice
{
  struct pool_runner *runner; /* null: none is usable */
  double wait_us;             /* until the request starts there */
  double first_us;            /* until its first token or its answer */
  uint32_t unread;
};

/* Returns nonzero when a request placed by CHOICE would start later than LIMIT
   microseconds from now.  A long prompt takes most of a limit by itself: it is
   late by its wait, or it would never be served.  */
int lb_exceeds_limit (const struct lb_choice *choice, double limit);

struct lb_filter
{
  const char *service;
  const char *zone;      /* preferred */
  enum pool_stage stage; /* ANY for a plain service */
  const struct pool_runner *const *excluded;
  size_t n_excluded;
  unsigned calls_max; /* in progress at one runner; 0 for any number */
};

struct lb_choice lb_prefill (const struct lb *lb,
                             const struct runner_pool *runner_pool,
                             const struct lb_filter *where,
                             const struct lb_prompt *prompt, int64_t now);
/* PROMPT is null when the prompt's memory is moved there.  */
struct lb_choice lb_decode (const struct lb *lb,
                            const struct runner_pool *runner_pool,
                            const struct lb_filter *where,
                            const struct lb_prompt *prompt, int64_t now);
/* Chooses an engine that generates for a whole request whose prompt the other
   stage can't read in time.  Only an engine that is used for at most SHARE of
   its slots and has no prompt left to read is taken: it reads at half speed
   and delays its streams meanwhile.  */
struct lb_choice lb_overflow (const struct lb *lb,
                              const struct runner_pool *runner_pool,
                              const struct lb_filter *where,
                              const struct lb_prompt *prompt, double share,
                              int64_t now);
struct lb_choice lb_call (const struct runner_pool *runner_pool,
                          const struct lb_filter *where, uint64_t random,
                          int64_t now);
#endif
