#include <string.h>
#include <xxhash.h>

#include "goldcresthatch/authority.h"

/* Rendezvous hashing gives each shard a different order of the peers, so that
   the loss of a zone does not make one entry the holder of all its shards.  */
static uint64_t
weight (const char *zone, const char *peer)
{
  return XXH3_64bits_withSeed (peer, strlen (peer),
                               XXH3_64bits (zone, strlen (zone)));
}

size_t
authority_rank (const char *zone, const char *self, const char *const *peers,
                size_t count)
{
  uint64_t own = weight (zone, self);
  size_t rank = 0;
  int listed = 0;
  size_t i;

  for (i = 0; i < count; i++)
    {
      if (strcmp (peers[i], self) == 0)
        listed = 1;
      else if (weight (zone, peers[i]) > own)
        rank++;
    }
  return listed ? rank : count;
}

void
authority_rank_set (struct authority *authority, int own_zone, size_t rank,
                    size_t count)
{
  int64_t own_zone_poll_us = (int64_t)count * AUTHORITY_POLL_PER_PEER_US;

  if (own_zone_poll_us < authority->times.poll_us)
    own_zone_poll_us = authority->times.poll_us;
  if (own_zone)
    {
      authority->poll_us = own_zone_poll_us;
      authority->wait_us = 0;
      return;
    }
  authority->poll_us
      = 2 * own_zone_poll_us + (int64_t)rank * AUTHORITY_POLL_PER_RANK_US;
  if (count > 0 && rank >= count)
    authority->poll_us = AUTHORITY_POLL_UNLISTED_US;
  /* Longer than the longest poll interval in the zone, which has a jitter of
     up to a third.  */
  authority->wait_us
      = own_zone_poll_us + own_zone_poll_us / 3 + authority->times.retry_us;
}
