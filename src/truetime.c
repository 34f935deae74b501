#include "truetime.h"

#include <stdlib.h>
#include <string.h>

int
truetime_note (struct truetime *truetime, int64_t day_us, int64_t steady_us)
{
  int64_t offset = day_us - steady_us;
  int stepped;

  if (!truetime->is_set)
    {
      truetime->is_set = 1;
      truetime->held_us = truetime->offset_us = offset;
      return 0;
    }
  stepped = llabs (offset - truetime->offset_us) >= TRUETIME_STEP_US;
  truetime->steps += (uint64_t)stepped;
  truetime->offset_us = offset;
  if (llabs (offset - truetime->held_us) < TRUETIME_STEP_US)
    {
      truetime->held_us = offset;
      truetime->differs_us = 0;
    }
  else if (truetime->differs_us == 0 || stepped)
    truetime->differs_us = steady_us;
  else if (steady_us - truetime->differs_us >= TRUETIME_SETTLE_US)
    {
      truetime->held_us = offset;
      truetime->differs_us = 0;
    }
  return stepped;
}

void
truetime_hear (struct truetime *truetime, uint64_t machine, int64_t day_us,
               int64_t steady_us)
{
  struct truetime_sample sample = { machine, day_us - steady_us, steady_us };
  size_t oldest = 0;
  size_t i;

  for (i = 0; i < truetime->n_samples; i++)
    {
      if (truetime->samples[i].machine == machine)
        {
          truetime->samples[i] = sample;
          return;
        }
      if (truetime->samples[i].at_us < truetime->samples[oldest].at_us)
        oldest = i;
    }
  if (truetime->n_samples < TRUETIME_SAMPLES_MAX)
    oldest = truetime->n_samples++;
  truetime->samples[oldest] = sample;
}

static int
compare (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

int64_t
truetime_at (const struct truetime *truetime, int64_t steady_us)
{
  int64_t offsets[TRUETIME_SAMPLES_MAX + 1];
  size_t n = 0;
  size_t i;

  for (i = 0; i < truetime->n_samples; i++)
    if (steady_us - truetime->samples[i].at_us <= TRUETIME_SAMPLE_LIFE_US)
      offsets[n++] = truetime->samples[i].offset_us;
  offsets[n++] = truetime->offset_us;
  if (n < TRUETIME_QUORUM)
    return steady_us + truetime->held_us;
  qsort (offsets, n, sizeof *offsets, compare);
  return steady_us + offsets[n / 2];
}
