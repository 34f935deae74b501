#include "limit.h"

#include <glib.h>
#include <string.h>

/* Windows hold several requests where they can.  Shorter ones spread them more
   evenly.  */
static unsigned
window_slots (const struct limit *limit)
{
  if (limit->per_s >= 8)
    return LIMIT_SLOTS / 4;
  return limit->per_s >= 2 ? LIMIT_SLOTS / 2 : LIMIT_SLOTS;
}

void
limit_note_answer (struct limit *limit, int named, double per_s, int64_t now)
{
  if (!named)
    {
      limit->unnamed_us = now;
      return;
    }
  limit->named_us = now;
  limit->per_s = per_s;
}

/* Clears the counters that are out of date.  */
static void
advance (struct limit *limit, int64_t now)
{
  int64_t slot = now / LIMIT_SLOT_US;

  if (slot - limit->slot >= LIMIT_SLOTS)
    memset (limit->sends, 0, sizeof limit->sends);
  else
    while (limit->slot < slot)
      limit->sends[++limit->slot % LIMIT_SLOTS] = 0;
  limit->slot = MAX (limit->slot, slot);
}

void
limit_note_send (struct limit *limit, int64_t now)
{
  uint16_t *sends;

  advance (limit, now);
  sends = &limit->sends[limit->slot % LIMIT_SLOTS];
  if (*sends < UINT16_MAX)
    ++*sends;
}

void
limit_note_others (struct limit *limit, unsigned sends, int64_t now)
{
  limit->others = sends;
  limit->others_us = now;
}

int
limit_in_force (const struct limit *limit, int64_t now)
{
  return limit->named_us != 0
         && (limit->unnamed_us < limit->named_us
             || now - limit->named_us <= LIMIT_HOLD_US);
}

unsigned
limit_sends (const struct limit *limit, int64_t now)
{
  int64_t first = now / LIMIT_SLOT_US - window_slots (limit) + 1;
  int64_t oldest = limit->slot - LIMIT_SLOTS + 1;
  unsigned sum = 0;
  int64_t slot;

  for (slot = MAX (MAX (first, oldest), INT64_C (0)); slot <= limit->slot;
       slot++)
    sum += limit->sends[slot % LIMIT_SLOTS];
  return sum;
}

int
limit_allows (const struct limit *limit, unsigned gateways, int64_t now)
{
  double allowed;

  if (!limit_in_force (limit, now))
    return 1;
  allowed = limit->per_s * (double)window_slots (limit) * LIMIT_SLOT_US / 1e6;
  allowed = MAX (allowed, 1.0);
  if (limit->others_us == 0
      || now - limit->others_us > LIMIT_OTHERS_MAX_AGE_US)
    return limit_sends (limit, now) + 1 <= allowed / MAX (gateways, 1U);
  return (double)limit_sends (limit, now) + limit->others + 1 <= allowed;
}

int
limit_changed (struct limit *limit, int64_t now)
{
  int in_force = limit_in_force (limit, now);

  if (in_force == limit->told
      && (!in_force
          || (limit->per_s <= limit->told_per_s * 1.25
              && limit->told_per_s <= limit->per_s * 1.25)))
    return 0;
  limit->told = in_force;
  limit->told_per_s = limit->per_s;
  return 1;
}
