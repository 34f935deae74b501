#include "sbud.h"

/* Requests that the others count in another window than we do.  */
static const double keep_back = 0.75;

static unsigned
slot_at (struct sbud *sbud, const struct sbud_config *config, int64_t now)
{
  int64_t number = now / (config->window_us / SBUD_SLOTS);
  unsigned i = (unsigned)(number % SBUD_SLOTS);

  if (sbud->slot[i] != number)
    {
      sbud->slot[i] = number;
      sbud->firsts[i] = 0;
      sbud->repeats[i] = 0;
    }
  return i;
}

void
sbud_first (struct sbud *sbud, const struct sbud_config *config, int64_t now)
{
  sbud->firsts[slot_at (sbud, config, now)]++;
}

int
sbud_take (struct sbud *sbud, const struct sbud_config *config,
           unsigned processes, int64_t now)
{
  unsigned at = slot_at (sbud, config, now);
  int64_t oldest = sbud->slot[at] - SBUD_SLOTS;
  double firsts = 0;
  double repeats = 1;
  unsigned i;

  for (i = 0; i < SBUD_SLOTS; i++)
    if (sbud->slot[i] > oldest)
      {
        firsts += sbud->firsts[i];
        repeats += sbud->repeats[i];
      }
  if (repeats > (firsts * config->ratio
                 + config->slack / (processes > 0 ? processes : 1))
                    * keep_back)
    return 0;
  sbud->repeats[at]++;
  return 1;
}
