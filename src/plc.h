#ifndef PLC_H
#define PLC_H
/*
 * NAME
 *   plc - choice of a runner for a prompt, a generation or a plain call
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

#include "memb.h"

enum
{
  PLC_PARTS_MAX = 16
};

/* Speed of an engine; rates are refined by measurement.  */
struct plc_speed
{
  double read_tokens_per_us;
  double decode_read_slowdown; /* at an engine that makes tokens */
  double prompt_us;            /* of each prompt beside its tokens */
  double token_us;             /* one step of a batch */
  double token_us_per_request; /* added by each request of the batch */
  double transfer_us;          /* of a prompt's memory to another engine */
};

extern const struct plc_speed plc_speed_default;

struct plc_part
{
  uint64_t id;
  uint32_t tokens;
};

struct plc_prompt
{
  struct plc_part parts[PLC_PARTS_MAX]; /* in order; the last is its own */
  size_t n_parts;
  uint32_t tokens;
  uint32_t output_tokens; /* expected */
};

struct plc;

struct plc *plc_new (const struct plc_speed *speed, size_t memory_max);
void plc_free (struct plc *plc);

/* Returns the hash by which the prompt's session is placed.  */
uint64_t plc_session (const struct plc_prompt *prompt);

/* Returns the tokens that RUNNER has to read, by what was sent there within
   the time that an engine usually keeps it.  */
uint32_t plc_unread (const struct plc *plc, const struct memb_runner *runner,
                     const struct plc_prompt *prompt, int64_t now);
/* Notes that RUNNER reads the prompt.  */
void plc_note (struct plc *plc, const struct memb_runner *runner,
               const struct plc_prompt *prompt, int64_t now);

struct plc_choice
{
  struct memb_runner *runner; /* null: none is usable */
  double wait_us;             /* until the request starts there */
  double first_us;            /* until its first token or its answer */
  uint32_t unread;
};

/* Returns nonzero when a request placed by CHOICE would start later than LIMIT
   microseconds from now.  A long prompt takes most of a limit by itself: it is
   late by its wait, or it would never be served.  */
int plc_is_late (const struct plc_choice *choice, double limit);

struct plc_where
{
  const char *service;
  const char *zone;      /* preferred */
  enum memb_stage stage; /* ANY for a plain service */
  const struct memb_runner *const *excluded;
  size_t n_excluded;
  unsigned calls_max; /* in progress at one runner; 0 for any number */
};

struct plc_choice plc_prefill (const struct plc *plc, const struct memb *memb,
                               const struct plc_where *where,
                               const struct plc_prompt *prompt, int64_t now);
/* PROMPT is null when the prompt's memory is moved there.  */
struct plc_choice plc_decode (const struct plc *plc, const struct memb *memb,
                              const struct plc_where *where,
                              const struct plc_prompt *prompt, int64_t now);
/* Chooses an engine that generates for a whole request whose prompt the other
   stage can't read in time.  Only an engine that is used for at most SHARE of
   its slots and has no prompt left to read is taken: it reads at half speed
   and delays its streams meanwhile.  */
struct plc_choice plc_overflow (const struct plc *plc, const struct memb *memb,
                                const struct plc_where *where,
                                const struct plc_prompt *prompt, double share,
                                int64_t now);
struct plc_choice plc_call (const struct memb *memb,
                            const struct plc_where *where, uint64_t random,
                            int64_t now);
#endif
