#include "policy_model.h"

#include <math.h>
#include <stdlib.h>

enum
{
  TRACE_LENGTH_S = 1200,
  HOT_FROM_S = 300,
  HOT_UNTIL_S = 900,
  HOT_SHARE_PERMIL = 600, /* share of the hot customer's requests */
  NOISE_PERIOD_S = 10,
  LONG_PROMPT = 5000,
  LONG_PROMPT_SPREAD = 6000,
  LONG_OUTPUT = 20,
  LONG_OUTPUT_SPREAD = 60,
  SHORT_PROMPT = 200,
  SHORT_PROMPT_SPREAD = 800,
  SHORT_OUTPUT = 150,
  SHORT_OUTPUT_SPREAD = 400
};

/* Shares of long prompts.  By the work per request in ideal_rate, prefill is
   17 % of all work at the low share and 62 % at the high one.  */
static const double long_share_low = 0.20;
static const double long_share_high = 0.85;
static const double long_share_mean = 0.50;
static const double noise_share = 0.15;
static const double noise_rate = 0.2;
static const double burst_factor = 1.5;
static const double hot_factor = 2.0;

const struct trace_kind trace_kinds[] = {
  { .name = "steady", .mix = MIX_STEADY },
  { .name = "load-85", .mix = MIX_STEADY, .load_permil = 850 },
  { .name = "load-100", .mix = MIX_STEADY, .load_permil = 1000 },
  { .name = "noisy", .mix = MIX_NOISY },
  { .name = "swing", .mix = MIX_SWING },
  { .name = "day", .mix = MIX_DAY },
  { .name = "burst", .mix = MIX_STEADY, .burst = 1 },
  { .name = "lag-1s", .mix = MIX_SWING, .lag_us = SECOND_US },
  { .name = "lag-5s", .mix = MIX_SWING, .lag_us = 5 * SECOND_US },
  { .name = "lag-15s", .mix = MIX_SWING, .lag_us = 15 * SECOND_US },
  { .name = "cache-gaps", .mix = MIX_SWING, .cache_gaps = 1 },
  { .name = "withdraw", .mix = MIX_SWING, .withdraw = 1 },
  { .name = "crash", .mix = MIX_SWING, .crash = 1 },
  { .name = "hot", .mix = MIX_STEADY, .hot = 1 },
};
const size_t n_trace_kinds = G_N_ELEMENTS (trace_kinds);

uint64_t
next_random (uint64_t *state)
{
  *state = *state * UINT64_C (6364136223846793005) + 1442695040888963407U;
  return *state >> 16;
}

double
uniform (uint64_t *state)
{
  return (double)(next_random (state) % 1000000 + 1) / 1000000;
}

/* Returns the runner time of one output token in a full batch.  */
static double
token_us (const struct params *p)
{
  return (double)(p->step_us + (p->capacity - 1) * p->step_us_per_request)
         / (double)p->capacity;
}

double
ideal_rate (const struct params *p, double runners, double share)
{
  double long_tokens = LONG_PROMPT + LONG_PROMPT_SPREAD / 2.0
                       - SHARED_PREFIX_BLOCKS * ROUTE_BLOCK_TOKENS;
  double short_tokens = SHORT_PROMPT + SHORT_PROMPT_SPREAD / 2.0;
  double long_us = long_tokens * (double)p->prefill_us_per_token
                   + (LONG_OUTPUT + LONG_OUTPUT_SPREAD / 2.0) * token_us (p);
  double short_us
      = short_tokens * (double)p->prefill_us_per_token
        + (SHORT_OUTPUT + SHORT_OUTPUT_SPREAD / 2.0) * token_us (p);

  return runners * (double)SECOND_US
         / (share * long_us + (1 - share) * short_us);
}

/* Returns the share of long prompts at S seconds: low until 240 s, high from
   540 s to 700 s, low again from 1000 s.  */
static double
swing (double s)
{
  double up = CLAMP ((s - 240) / 300, 0, 1);
  double down = CLAMP ((s - 700) / 300, 0, 1);

  return long_share_low + (long_share_high - long_share_low) * (up - down);
}

double
trace_share (const struct trace_kind *kind, int64_t now, uint64_t period_seed)
{
  double s = (double)now / (double)SECOND_US;

  switch (kind->mix)
    {
    case MIX_SWING:
      return swing (s);
    case MIX_DAY:
      return (long_share_low + long_share_high) / 2
             - (long_share_high - long_share_low) / 2
                   * cos (2 * G_PI * s / TRACE_LENGTH_S);
    case MIX_NOISY:
      return long_share_mean + noise_share * (2 * uniform (&period_seed) - 1);
    default:
      return long_share_mean;
    }
}

static double
rate_factor (const struct trace_kind *kind, double s, uint64_t period_seed,
             double load)
{
  if (kind->burst && s >= BURST_FROM_S && s < BURST_UNTIL_S)
    return burst_factor;
  if (kind->hot && s >= HOT_FROM_S && s < HOT_UNTIL_S)
    return load * hot_factor;
  if (kind->mix == MIX_NOISY)
    {
      next_random (&period_seed);
      return load * (1 + noise_rate * (2 * uniform (&period_seed) - 1));
    }
  if (kind->mix == MIX_DAY)
    return load * (0.8 + 0.2 * sin (4 * G_PI * s / TRACE_LENGTH_S));
  return load;
}

static void
draw_request (struct request *r, const struct trace_kind *kind, int64_t now,
              double share, uint64_t *random)
{
  int is_long = uniform (random) < share;
  double skew = uniform (random);
  int is_hot = kind->hot && now >= HOT_FROM_S * SECOND_US
               && now < HOT_UNTIL_S * SECOND_US
               && next_random (random) % PERMIL < HOT_SHARE_PERMIL;
  size_t i;

  r->at_us = now;
  r->customer = is_hot ? 0 : 1 + (int)(skew * skew * (CUSTOMERS - 2));
  r->entry = (int)(next_random (random) % ENTRIES);
  r->prompt = is_long
                  ? LONG_PROMPT + next_random (random) % LONG_PROMPT_SPREAD
                  : SHORT_PROMPT + next_random (random) % SHORT_PROMPT_SPREAD;
  r->output = is_long
                  ? LONG_OUTPUT + next_random (random) % LONG_OUTPUT_SPREAD
                  : SHORT_OUTPUT + next_random (random) % SHORT_OUTPUT_SPREAD;
  r->left = r->prompt;
  r->n_prefix = r->prompt / ROUTE_BLOCK_TOKENS;
  for (i = 0; i < r->n_prefix; i++)
    r->prefix[i] = i < SHARED_PREFIX_BLOCKS
                       ? (uint64_t)r->customer * PREFIX_BLOCKS_MAX + i + 1
                       : next_random (random) << 8;
}

void
trace_draw (struct trace *trace, const struct trace_kind *kind,
            const struct setup *setup, const struct site *site, uint64_t seed)
{
  GArray *requests = g_array_new (0, 1, sizeof (struct request));
  double load
      = (double)(kind->load_permil ? kind->load_permil : site->load_permil)
        / PERMIL;
  uint64_t random = seed * UINT64_C (0x9e3779b97f4a7c15);
  double now = 0;

  for (;;)
    {
      struct request request = { 0 };
      double s = now / (double)SECOND_US;
      uint64_t block = seed * 7919 + (uint64_t)(s / NOISE_PERIOD_S) * 104729;
      double share;
      double rate;

      next_random (&block);
      next_random (&block);
      share = trace_share (kind, (int64_t)now, block);
      rate = ideal_rate (&setup->params, (double)site->runners, share)
             * rate_factor (kind, s, block, load);
      now -= log (uniform (&random)) / rate * (double)SECOND_US;
      if (now >= (double)TRACE_LENGTH_S * (double)SECOND_US)
        break;
      draw_request (&request, kind, (int64_t)now, share, &random);
      g_array_append_val (requests, request);
    }
  trace->n = requests->len;
  trace->length_us = TRACE_LENGTH_S * SECOND_US;
  trace->requests = (struct request *)g_array_free (requests, 0);
}

static int
by_value (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Returns the highest number of requests whose WORK fits into SUPPLY, out of
   N.  */
static size_t
max_requests_within (double *work, size_t n, double supply)
{
  size_t i;

  if (n)
    qsort (work, n, sizeof *work, by_value);
  for (i = 0; i < n && work[i] <= supply; i++)
    supply -= work[i];
  return i;
}

/* Returns the prefill time of each request that no cache can save: that of the
   blocks that no earlier request had.  */
static double *
uncacheable_prefill (const struct trace *trace, const struct params *p)
{
  GHashTable *earlier_blocks = g_hash_table_new (g_int64_hash, g_int64_equal);
  double *prefill = g_new (double, trace->n + 1);
  size_t i;
  size_t k;

  for (i = 0; i < trace->n; i++)
    {
      const struct request *r = &trace->requests[i];
      size_t held = 0;

      while (held < r->n_prefix
             && g_hash_table_contains (earlier_blocks, &r->prefix[held]))
        held++;
      for (k = held; k < r->n_prefix; k++)
        g_hash_table_add (earlier_blocks, (gpointer)&r->prefix[k]);
      prefill[i] = (double)(r->prompt - held * ROUTE_BLOCK_TOKENS)
                   * (double)p->prefill_us_per_token;
    }
  g_hash_table_destroy (earlier_blocks);
  return prefill;
}

/* Returns an upper bound of the number of good requests.  The requests that
   arrive in a window are good only if their prefill and a part of their tokens
   are done within the first-token limit after its end, which bounds the
   number of good ones by the runner time until then.  */
static size_t
bound_for_window (const struct trace *trace, const double *prefill,
                  const struct params *p, const struct site *site,
                  int64_t window)
{
  double *work = g_new (double, trace->n + 1);
  size_t total = 0;
  size_t i = 0;
  int64_t from;

  for (from = 0; from < trace->length_us; from += window)
    {
      int64_t until = from + window + FIRST_TOKEN_LIMIT_US;
      size_t n = 0;

      for (; i < trace->n && trace->requests[i].at_us < from + window; i++)
        {
          const struct request *r = &trace->requests[i];
          int64_t due
              = (until - r->at_us - FIRST_TOKEN_LIMIT_US) / TOKEN_GAP_LIMIT_US;

          work[n++]
              = prefill[i]
                + (double)MIN ((int64_t)r->output - 1, due) * token_us (p);
        }
      total += max_requests_within (work, n,
                                    (double)(window + FIRST_TOKEN_LIMIT_US)
                                        * (double)site->runners);
    }
  g_free (work);
  return total;
}

double
trace_bound (const struct trace *trace, const struct params *p,
             const struct site *site)
{
  static const int64_t windows_s[] = { 30, 60, 120, 300 };
  double *prefill = uncacheable_prefill (trace, p);
  size_t least = trace->n;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (windows_s); i++)
    least = MIN (least, bound_for_window (trace, prefill, p, site,
                                          windows_s[i] * SECOND_US));
  g_free (prefill);
  return trace->n ? (double)least / (double)trace->n : 0;
}
