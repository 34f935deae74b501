#ifndef TRUETIME_H
#define TRUETIME_H
/*
 * NAME
 *   truetime - the time of day, whatever a single machine's clock shows
 *
 * DESCRIPTION
 *   True time is a steady clock, which also runs while the machine is
 *   suspended, plus the median of the offsets of this machine's time of day
 *   and of those that other machines have told lately.  A clock that steps, or
 *   is wrong from the start, is outvoted.  With fewer than TRUETIME_QUORUM
 *   machines there is no majority, and the first offset of this machine holds
 *   until its clock has stayed elsewhere for TRUETIME_SETTLE_US.  No input or
 *   output.  Times are in microseconds.
 */
#include <stddef.h>
#include <stdint.h>

enum
{
  TRUETIME_SAMPLES_MAX = 15,
  TRUETIME_QUORUM = 3,
  TRUETIME_SAMPLE_LIFE_US = 60 * 1000 * 1000,
  TRUETIME_STEP_US = 250 * 1000, /* a difference that is no drift */
  TRUETIME_SETTLE_US = 60 * 1000 * 1000
};

struct truetime_sample
{
  uint64_t machine;
  int64_t offset_us;
  int64_t at_us;
};

struct truetime
{
  int is_set;
  int64_t held_us;    /* offset of this machine that is believed */
  int64_t offset_us;  /* its last one */
  int64_t differs_us; /* since when it differs from HELD by a step; 0: not */
  uint64_t steps;     /* that were seen */
  struct truetime_sample samples[TRUETIME_SAMPLES_MAX];
  size_t n_samples;
};

/* Notes that the time of day is DAY_US here when the steady clock shows
   STEADY_US.  Returns nonzero when the clock has stepped since the last call.
 */
int truetime_note (struct truetime *truetime, int64_t day_us,
                   int64_t steady_us);

/* Notes that the time of day is DAY_US at MACHINE.  Its latest sample
   counts.  */
void truetime_hear (struct truetime *truetime, uint64_t machine,
                    int64_t day_us, int64_t steady_us);

/* Returns the true time at STEADY_US, since the start of 1970.  */
int64_t truetime_at (const struct truetime *truetime, int64_t steady_us);
#endif
