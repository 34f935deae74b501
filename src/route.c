#include "goldcresthatch/route.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#define NO_BLOCK UINT32_MAX

struct holder
{
  struct fleet_ref ref;
  int64_t used_us;
};

/* A prefix block in the estimate; links are indexes of the array or NONE.  */
struct block
{
  uint64_t hash;
  struct holder holders[ROUTE_HOLDERS_MAX];
  uint32_t bucket_next; /* next in the hash bucket */
  uint32_t newer;       /* list in the order of use */
  uint32_t older;
};

struct subset
{
  struct fleet_ref refs[ROUTE_SUBSET_MAX];
  size_t n;
};

struct loaded_version
{
  uint32_t generation;
  uint64_t version;
};

struct route
{
  struct route_config config;
  uint64_t seed;
  GHashTable *subsets; /* service -> struct subset */
  struct block *blocks;
  uint32_t *buckets;
  size_t n_buckets; /* a power of two */
  size_t n_blocks;  /* elements of BLOCKS in use */
  uint32_t newest;
  uint32_t oldest;
  struct loaded_version *loaded;
  size_t n_loaded;
};

static uint64_t
hash_string (const char *s, uint64_t seed)
{
  return XXH3_64bits_withSeed (s, strlen (s), seed);
}

struct route *
route_new (const struct route_config *config)
{
  struct route *route = g_new0 (struct route, 1);
  size_t i;

  route->config = *config;
  route->config.cache_pieces = MAX (config->cache_pieces, 1);
  route->config.half_life_us = MAX (config->half_life_us, 1);
  route->seed = hash_string (config->entry, 0);
  route->config.entry = NULL;
  route->subsets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  route->blocks = g_new0 (struct block, route->config.cache_pieces);
  route->n_buckets = 1;
  while (route->n_buckets < route->config.cache_pieces)
    route->n_buckets *= 2;
  route->buckets = g_new (uint32_t, route->n_buckets);
  for (i = 0; i < route->n_buckets; i++)
    route->buckets[i] = NO_BLOCK;
  route->newest = NO_BLOCK;
  route->oldest = NO_BLOCK;
  return route;
}

void
route_free (struct route *route)
{
  if (!route)
    return;
  g_hash_table_destroy (route->subsets);
  g_free (route->blocks);
  g_free (route->buckets);
  g_free (route->loaded);
  g_free (route);
}

/* A runner with its rendezvous score; the highest scores are in the
   subset.  */
struct scored_runner
{
  uint64_t score;
  const char *service;
  struct fleet_ref ref;
  int own_zone; /* 1 in the entry's zone, 0 elsewhere, or UNFIT */
};

enum
{
  UNFIT = -1 /* in the subset only when too few other runners exist */
};

static int
by_service_and_score (const void *a, const void *b)
{
  const struct scored_runner *x = a;
  const struct scored_runner *y = b;
  int order = strcmp (x->service, y->service);

  if (order)
    return order;
  if (x->score != y->score)
    return x->score > y->score ? -1 : 1;
  return 0;
}

static void
score_runner (const struct route *route, const struct fleet_runner *runner,
              const char *zone, struct scored_runner *out)
{
  out->score = hash_string (runner->name, route->seed);
  out->service = runner->service;
  out->ref = runner->ref;
  out->own_zone = strcmp (runner->zone, zone) == 0;
}

/* Adds to SUBSET, up to LIMIT, the runners with the value OWN_ZONE except for
   the first SKIP.  Returns the new size of SUBSET.  */
static size_t
add_runners (struct subset *subset, const struct scored_runner *runners,
             size_t n, int own_zone, size_t skip, size_t limit)
{
  size_t seen = 0;
  size_t i;

  for (i = 0; i < n && subset->n < limit; i++)
    if (runners[i].own_zone == own_zone && seen++ >= skip)
      subset->refs[subset->n++] = runners[i].ref;
  return subset->n;
}

static struct subset *
make_subset (const struct scored_runner *runners, size_t n)
{
  struct subset *subset = g_new0 (struct subset, 1);
  size_t n_own_zone
      = add_runners (subset, runners, n, 1, 0, ROUTE_SUBSET_OWN_ZONE_MAX);

  add_runners (subset, runners, n, 0, 0, ROUTE_SUBSET_MAX);
  add_runners (subset, runners, n, 1, n_own_zone, ROUTE_SUBSET_MAX);
  add_runners (subset, runners, n, UNFIT, 0, ROUTE_SUBSET_MAX);
  return subset;
}

void
route_refresh (struct route *route, const struct fleet *fleet,
               const char *zone)
{
  size_t slots = fleet_slots (fleet);
  struct scored_runner *all = g_new (struct scored_runner, slots + 1);
  size_t n = 0;
  size_t i;
  size_t end;

  for (i = 0; i < slots; i++)
    {
      const struct fleet_runner *runner = fleet_at (fleet, i);

      if (!runner || !runner->usable)
        continue;
      score_runner (route, runner, zone, &all[n++]);
    }
  if (n)
    qsort (all, n, sizeof *all, by_service_and_score);
  g_hash_table_remove_all (route->subsets);
  for (i = 0; i < n; i = end)
    {
      for (end = i + 1; end < n; end++)
        if (strcmp (all[end].service, all[i].service) != 0)
          break;
      if (g_hash_table_size (route->subsets) < ROUTE_SERVICES_MAX)
        g_hash_table_insert (route->subsets, g_strdup (all[i].service),
                             make_subset (all + i, end - i));
    }
  g_free (all);
}

/* Writes to REFS, from index AT, which of the N RUNNERS of one service to
   connect to.  Returns the index after the last one.  */
static size_t
append_contacts (const struct scored_runner *runners, size_t n,
                 struct fleet_ref *refs, size_t at)
{
  struct subset *subset;
  size_t i;

  if (runners[0].service[0] == '\0')
    {
      for (i = 0; i < n; i++)
        refs[at++] = runners[i].ref;
      return at;
    }
  subset = make_subset (runners, n);
  memcpy (refs + at, subset->refs, subset->n * sizeof *refs);
  at += subset->n;
  g_free (subset);
  return at;
}

size_t
route_contacts (const struct route *route, const struct fleet *fleet,
                const char *zone,
                int (*fit) (void *ctx, const struct fleet_runner *runner),
                void *ctx, struct fleet_ref *refs)
{
  size_t slots = fleet_slots (fleet);
  struct scored_runner *all = g_new (struct scored_runner, slots + 1);
  size_t n = 0;
  size_t at = 0;
  size_t i;
  size_t end;

  for (i = 0; i < slots; i++)
    {
      const struct fleet_runner *runner = fleet_at (fleet, i);

      if (!runner)
        continue;
      score_runner (route, runner, zone, &all[n]);
      if (!fit (ctx, runner))
        all[n].own_zone = UNFIT;
      n++;
    }
  if (n)
    qsort (all, n, sizeof *all, by_service_and_score);
  for (i = 0; i < n; i = end)
    {
      for (end = i + 1; end < n; end++)
        if (strcmp (all[end].service, all[i].service) != 0)
          break;
      at = append_contacts (all + i, end - i, refs, at);
    }
  g_free (all);
  return at;
}

size_t
route_subset (const struct route *route, const char *service,
              struct fleet_ref *refs)
{
  const struct subset *subset = g_hash_table_lookup (route->subsets, service);

  if (!subset)
    return 0;
  memcpy (refs, subset->refs, subset->n * sizeof *refs);
  return subset->n;
}

size_t
route_hash_prefix (const char *service, const void *prompt, size_t size,
                   size_t block_bytes, uint64_t *out, size_t max)
{
  /* Models do not share cache blocks, so the model seeds the first hash.  */
  uint64_t hash = hash_string (service, 0);
  const char *p = prompt;
  size_t n = 0;

  if (!block_bytes)
    return 0;
  for (; size >= block_bytes && n < max; size -= block_bytes, p += block_bytes)
    {
      hash = XXH3_64bits_withSeed (p, block_bytes, hash);
      out[n++] = hash;
    }
  return n;
}

static struct block *
find_block (const struct route *route, uint64_t hash)
{
  uint32_t at = route->buckets[hash & (route->n_buckets - 1)];

  while (at != NO_BLOCK && route->blocks[at].hash != hash)
    at = route->blocks[at].bucket_next;
  return at == NO_BLOCK ? NULL : &route->blocks[at];
}

static void
unlink_age (struct route *route, struct block *block)
{
  if (block->newer != NO_BLOCK)
    route->blocks[block->newer].older = block->older;
  else
    route->newest = block->older;
  if (block->older != NO_BLOCK)
    route->blocks[block->older].newer = block->newer;
  else
    route->oldest = block->newer;
}

static void
link_newest (struct route *route, struct block *block)
{
  uint32_t at = (uint32_t)(block - route->blocks);

  block->newer = NO_BLOCK;
  block->older = route->newest;
  if (route->newest != NO_BLOCK)
    route->blocks[route->newest].newer = at;
  route->newest = at;
  if (route->oldest == NO_BLOCK)
    route->oldest = at;
}

static void
unlink_bucket (struct route *route, const struct block *block)
{
  uint32_t at = (uint32_t)(block - route->blocks);
  uint32_t *link = &route->buckets[block->hash & (route->n_buckets - 1)];

  while (*link != at)
    link = &route->blocks[*link].bucket_next;
  *link = block->bucket_next;
}

static struct block *
add_block (struct route *route, uint64_t hash)
{
  uint32_t *bucket = &route->buckets[hash & (route->n_buckets - 1)];
  struct block *block;

  if (route->n_blocks < route->config.cache_pieces)
    block = &route->blocks[route->n_blocks++];
  else
    {
      block = &route->blocks[route->oldest];
      unlink_bucket (route, block);
      unlink_age (route, block);
    }
  memset (block, 0, sizeof *block);
  block->hash = hash;
  block->bucket_next = *bucket;
  *bucket = (uint32_t)(block - route->blocks);
  link_newest (route, block);
  return block;
}

static int
same_ref (struct fleet_ref a, struct fleet_ref b)
{
  return a.index == b.index && a.generation == b.generation;
}

/* Records REF as a holder of BLOCK, in place of its own earlier record, an
   unused one, or the least recently used one.  */
static void
set_holder (struct block *block, struct fleet_ref ref, int64_t now)
{
  struct holder *into = &block->holders[0];
  int i;

  for (i = 0; i < ROUTE_HOLDERS_MAX; i++)
    {
      struct holder *holder = &block->holders[i];

      if (same_ref (holder->ref, ref))
        {
          into = holder;
          break;
        }
      if (!holder->ref.generation
          || (into->ref.generation && holder->used_us < into->used_us))
        into = holder;
    }
  into->ref = ref;
  into->used_us = now;
}

void
route_note_served (struct route *route, struct fleet_ref ref,
                   const uint64_t *prefix, size_t n, int64_t now)
{
  size_t i = MIN (n, ROUTE_BLOCKS_MAX);

  /* The blocks are added last to first, so that eviction removes the first
     block last: without it the others are useless.  */
  while (i-- > 0)
    {
      struct block *block = find_block (route, prefix[i]);

      if (block)
        {
          unlink_age (route, block);
          link_newest (route, block);
        }
      else
        block = add_block (route, prefix[i]);
      set_holder (block, ref, now);
    }
}

void
route_note_version (struct route *route, struct fleet_ref ref,
                    uint64_t version)
{
  if (ref.index >= FLEET_RUNNERS_MAX)
    return;
  if (ref.index >= route->n_loaded)
    {
      size_t n = MAX ((size_t)ref.index + 1, 2 * route->n_loaded);

      route->loaded = g_renew (struct loaded_version, route->loaded, n);
      memset (route->loaded + route->n_loaded, 0,
              (n - route->n_loaded) * sizeof *route->loaded);
      route->n_loaded = n;
    }
  route->loaded[ref.index].generation = ref.generation;
  route->loaded[ref.index].version = version;
}

static int
has_version (const struct route *route, struct fleet_ref ref, uint64_t version)
{
  return !version
         || (ref.index < route->n_loaded
             && route->loaded[ref.index].generation == ref.generation
             && route->loaded[ref.index].version == version);
}

struct candidate
{
  const struct fleet_runner *runner;
  size_t blocks;   /* blocks held, from the first without a gap */
  int64_t used_us; /* of the last of these blocks */
};

static int
is_excluded (const struct route_request *request, struct fleet_ref ref)
{
  size_t i;

  for (i = 0; i < request->n_excluded; i++)
    if (same_ref (request->excluded[i], ref))
      return 1;
  return 0;
}

/* Copies the runners of SUBSET that may serve REQUEST to OUT and returns their
   number.  */
static size_t
collect_candidates (const struct subset *subset, const struct fleet *fleet,
                    const struct route_request *request, struct candidate *out)
{
  size_t n = 0;
  size_t i;

  for (i = 0; i < subset->n; i++)
    {
      const struct fleet_runner *runner = fleet_get (fleet, subset->refs[i]);

      if (!runner || !runner->usable || is_excluded (request, runner->ref)
          || strcmp (runner->service, request->service) != 0)
        continue;
      out[n].runner = runner;
      out[n].blocks = 0;
      out[n++].used_us = 0;
    }
  return n;
}

/* Sets for each candidate the number of blocks that it holds from the first
   without a gap.  */
static void
match_prefix (const struct route *route, const struct route_request *request,
              struct candidate *candidates, size_t n)
{
  size_t depth = MIN (request->n_prefix, ROUTE_BLOCKS_MAX);
  size_t i;
  size_t c;
  int h;

  for (i = 0; i < depth; i++)
    {
      const struct block *block = find_block (route, request->prefix[i]);
      int found = 0;

      if (!block)
        return;
      for (c = 0; c < n; c++)
        for (h = 0; h < ROUTE_HOLDERS_MAX; h++)
          if (candidates[c].blocks == i
              && same_ref (block->holders[h].ref, candidates[c].runner->ref))
            {
              candidates[c].blocks = i + 1;
              candidates[c].used_us = block->holders[h].used_us;
              found = 1;
            }
      if (!found)
        return;
    }
}

static uint64_t
next_random (uint64_t *state)
{
  *state += UINT64_C (0x9e3779b97f4a7c15);
  return XXH3_64bits (state, sizeof *state);
}

/* Moves the candidates that hold a prefix block and a random sample of the
   others to the front, and returns their number.  */
static size_t
select_sample (struct candidate *candidates, size_t n, uint64_t *random)
{
  struct candidate swap;
  size_t holders = 0;
  size_t i;
  size_t end;

  for (i = 0; i < n; i++)
    if (candidates[i].blocks)
      {
        swap = candidates[holders];
        candidates[holders++] = candidates[i];
        candidates[i] = swap;
      }
  end = MIN (n, holders + ROUTE_SAMPLE_SIZE);
  for (i = holders; i < end; i++)
    {
      size_t j = i + next_random (random) % (n - i);

      swap = candidates[i];
      candidates[i] = candidates[j];
      candidates[j] = swap;
    }
  return end;
}

/* Returns the prompt tokens estimated to be cached: those of the blocks held,
   which halve with each half-life since their last use.  */
static uint64_t
cached_tokens (const struct route *route, const struct route_request *request,
               const struct candidate *candidate, int64_t now)
{
  double age = (double)(now - candidate->used_us);
  double tokens = (double)candidate->blocks * ROUTE_BLOCK_TOKENS;

  if (!candidate->blocks)
    return 0;
  if (age > 0)
    tokens *= exp2 (-age / (double)route->config.half_life_us);
  return MIN ((uint64_t)tokens, request->prompt_tokens);
}

/* Returns the time added by the network round trip, by loading the version and
   by an unsuitable role.  */
static int64_t
overhead_us (const struct route *route, const struct route_request *request,
             const struct fleet_runner *runner)
{
  const struct route_config *config = &route->config;
  int64_t us = 0;

  if (config->distance_us)
    us += 2 * config->distance_us (config->ctx, request->zone, runner->zone);
  if (!has_version (route, runner->ref, request->version))
    us += request->speed.version_load_us;
  if ((request->phase == ROUTE_PHASE_PREFILL
       && runner->role == config->decode_role)
      || (request->phase == ROUTE_PHASE_DECODE
          && runner->role == config->prefill_role))
    us += request->speed.role_mismatch_us;
  return us;
}

/* Returns the time to prefill TOKENS.  With continuous batching, an engine
   runs a decode step of STEP_US with each chunk, so a full batch slows
   prefill.  */
static int64_t
prefill_us (const struct route_speed *speed, uint64_t tokens, int64_t step_us)
{
  int64_t us = (int64_t)(tokens * speed->prefill_us_per_token);

  if (speed->chunk_tokens)
    us += (int64_t)(tokens / speed->chunk_tokens) * step_us;
  return us;
}

static struct route_choice
predict (const struct route *route, const struct route_request *request,
         const struct candidate *candidate, int64_t now)
{
  const struct route_speed *speed = &request->speed;
  const struct fleet_load *load = &candidate->runner->load;
  struct route_choice choice;
  uint64_t batch = load->requests + 1;
  uint64_t waiting = 0;
  uint64_t ahead = load->prompt_tokens;

  if (load->capacity && batch > load->capacity)
    {
      waiting = batch - load->capacity;
      batch = load->capacity;
    }
  /* Engines run the highest priority first.  Reports do not state the waiting
     work by priority; half is assumed to have the highest.  */
  if (request->priority == 0)
    {
      ahead /= 2;
      waiting /= 2;
    }
  choice.ref = candidate->runner->ref;
  choice.cached = cached_tokens (route, request, candidate, now);
  choice.step_us
      = (int64_t)(speed->step_us + (batch - 1) * speed->step_us_per_request);
  choice.first_us
      = overhead_us (route, request, candidate->runner)
        + prefill_us (speed, ahead + request->prompt_tokens - choice.cached,
                      load->requests ? choice.step_us : 0)
        + (int64_t)(waiting * request->output_tokens / batch) * choice.step_us
        + (int64_t)((waiting / batch + 1) * speed->request_us);
  choice.late = request->budget_us > 0 && choice.first_us > request->budget_us;
  return choice;
}

/* Returns a number below 0 when A is better than B for REQUEST, above 0 when B
   is, and 0 when they are equal.  */
static int
compare_choices (const struct route_choice *a, const struct route_choice *b,
                 const struct route_request *request)
{
  int64_t tokens = (int64_t)request->output_tokens;
  int64_t x = a->first_us + a->step_us * tokens;
  int64_t y = b->first_us + b->step_us * tokens;

  if (a->late != b->late)
    return a->late - b->late;
  return (x > y) - (x < y);
}

struct route_choice
route_choose (const struct route *route, const struct fleet *fleet,
              const struct route_request *request, uint64_t random,
              int64_t now)
{
  struct route_choice best = { { 0, 0 }, 0, 0, 0, 0 };
  const struct subset *subset
      = g_hash_table_lookup (route->subsets, request->service);
  struct candidate candidates[ROUTE_SUBSET_MAX];
  uint64_t ties = 1;
  size_t n;
  size_t i;

  if (!subset)
    return best;
  n = collect_candidates (subset, fleet, request, candidates);
  match_prefix (route, request, candidates, n);
  n = select_sample (candidates, n, &random);
  for (i = 0; i < n; i++)
    {
      struct route_choice choice
          = predict (route, request, &candidates[i], now);
      int order = i ? compare_choices (&choice, &best, request) : -1;

      if (order < 0)
        ties = 1;
      else if (order == 0)
        ties++;
      if (order < 0 || (order == 0 && next_random (&random) % ties == 0))
        best = choice;
    }
  return best;
}

struct fleet_ref
route_least_outstanding (const struct fleet *fleet,
                         const struct route_request *request, uint64_t random)
{
  struct fleet_ref best = { 0, 0 };
  uint64_t least = UINT64_MAX;
  uint64_t ties = 1;
  size_t n = fleet_slots (fleet);
  size_t i;

  for (i = 0; i < n; i++)
    {
      const struct fleet_runner *runner = fleet_at (fleet, i);

      if (!runner || !runner->usable || runner->outstanding > least
          || is_excluded (request, runner->ref)
          || strcmp (runner->service, request->service) != 0)
        continue;
      ties = runner->outstanding < least ? 1 : ties + 1;
      least = runner->outstanding;
      if (ties == 1 || next_random (&random) % ties == 0)
        best = runner->ref;
    }
  return best;
}
