#ifndef POLICY_MODEL_H
#define POLICY_MODEL_H

/* Structures of the policy benchmark: parameters, traces, the runner model and
   the result of one run.  Times are in microseconds of virtual time, and
   members that end in _permil are parts of a thousand.  */

#include <glib.h>
#include <stdint.h>

#include "goldcresthatch/fleet.h"
#include "goldcresthatch/admission.h"
#include "goldcresthatch/retry.h"
#include "goldcresthatch/role.h"
#include "goldcresthatch/route.h"

#define SECOND_US INT64_C (1000000)
/* Latency targets of docs/design.md, section 1.  */
#define FIRST_TOKEN_LIMIT_US INT64_C (1900000)
#define TOKEN_GAP_LIMIT_US INT64_C (74000)

#define NEVER_US INT64_MAX

enum
{
  SITES = 2,
  RUNNERS_MAX = 16,
  ENTRIES = 3,
  ZONES = 3,
  CUSTOMERS = 60,
  PREFIX_BLOCKS_MAX = 16,
  SHARED_PREFIX_BLOCKS = 4, /* blocks that a customer's long prompts share */
  BUCKET_S = 10,            /* width of a bucket of the time series */
  BUCKETS = 144,
  BURST_FROM_S = 400,
  BURST_UNTIL_S = 700,
  PERMIL = 1000,
  PERCENT = 100
};

struct params
{
  int64_t prefill_us_per_token;
  int64_t chunk_tokens;
  int64_t step_us;
  int64_t step_us_per_request;
  int64_t mixed_permil;
  int64_t capacity;
  int64_t cache_pieces;
  int64_t role_change_us;
  int64_t crash_down_us;
  int64_t kv_bytes_per_token;
  int64_t kv_bytes_per_us;
};

struct site
{
  char name[32];
  int64_t runners;
  int64_t prefill_runners;
  int64_t decode_runners;
  int64_t zone_us;
  int64_t role_change_cost_s;
  int64_t load_permil;
};

struct setup
{
  struct params params;
  struct site sites[SITES];
};

enum trace_mix
{
  MIX_STEADY,
  MIX_NOISY, /* the share and the rate change at random every 10 s */
  MIX_SWING,
  MIX_DAY
};

struct trace_kind
{
  const char *name;
  enum trace_mix mix;
  int64_t lag_us;  /* delay of load reports */
  int load_permil; /* replaces the site's, if above 0 */
  int burst;
  int cache_gaps;
  int withdraw;
  int crash;
  int hot;
};

struct request
{
  int64_t at_us;
  int64_t sent_us;
  int64_t predicted_us; /* time to the first token when it was sent */
  int64_t first_us;     /* time of the first token, 0 before it */
  int64_t token_us;     /* time of the last token */
  int64_t ready_us;     /* end of the KV transfer, or time of the retry */
  uint64_t prefix[PREFIX_BLOCKS_MAX];
  size_t n_prefix;
  uint64_t prompt;
  uint64_t output;
  uint64_t left;      /* prompt tokens left to prefill */
  uint64_t done;      /* output tokens produced */
  uint64_t slow_gaps; /* token gaps above TOKEN_GAP_LIMIT_US */
  int cache_looked_up;
  int customer;
  int entry;
  int runner;
  int refused;
  int ended;
  unsigned attempts;
  struct fleet_work work;
};

struct trace
{
  struct request *requests;
  size_t n;
  int64_t length_us;
};

/* One row of a table: the parts of the policy that are enabled.  */
struct variant
{
  const char *name;
  int baseline;          /* 1: least reported load; 2: least outstanding */
  int prefix;            /* routing by prefix hits */
  int count_outstanding; /* counting requests sent since the last report */
  int admission;
  int roles;
  int plan_requested; /* role planning by requested, not served, tokens */
  int start_all_both; /* every runner starts with role both */
  int all_zones;      /* role planning sees the runners of all zones */
  int other_cost;     /* uses role_change_cost_s of the other site */
};

struct result
{
  double goodput;
  double worst_minute; /* lowest goodput of a minute */
  double others;       /* goodput without customer 0 */
  double bound;        /* clairvoyant bound of the goodput */
  double cached;       /* share of the prompt tokens found in caches */
  double refused;      /* or failed */
  double late;         /* answered, the first token late */
  double slow;         /* answered, too many long token gaps */
  double burst;        /* good requests in the burst over the capacity in it */
  unsigned changes;
  unsigned per_runner;    /* most role changes of one runner */
  double series[BUCKETS]; /* goodput by time of arrival */
  unsigned changes_at[BUCKETS];
};

struct runner
{
  char name[16];
  char zone[16];
  GQueue waiting; /* struct request; the head is in prefill */
  GQueue joining; /* prefilled elsewhere, to join the batch */
  GPtrArray *batch;
  GHashTable *cache;    /* prefix hash -> link in lru */
  GQueue lru;           /* prefix hashes, most recently used first */
  int64_t next_us;      /* end of the current iteration */
  int64_t available_us; /* end of a role change or an outage, or NEVER */
  uint64_t chunk;       /* prompt tokens of the current iteration */
  enum engine_role role;
  enum engine_role target;
  int draining;
  int down;
  int withdrawn;
  uint64_t prompt_done;
  uint64_t output_done;
  uint64_t prefill_tokens; /* prompt tokens of started prefills */
  uint64_t cached_tokens;  /* those of them found in the cache */
};

/* MOVE is called after a prefill and returns nonzero when the request leaves
   the runner.  */
struct runner_events
{
  void (*first_token) (void *ctx, struct request *request, int64_t now);
  int (*move) (void *ctx, struct request *request, int64_t now);
  void (*end) (void *ctx, struct request *request, int64_t now);
  void *ctx;
};

extern const struct trace_kind trace_kinds[];
extern const size_t n_trace_kinds;
extern const struct variant variants[];
extern const size_t n_variants;

uint64_t next_random (uint64_t *state);
double uniform (uint64_t *state);

/* Reads the parameters from FILE.  Returns 0, or -1 with a message on standard
   error.  */
int setup_read (const char *file, struct setup *setup);

/* Ideal capacity in requests/s of RUNNERS at SHARE of long prompts: full
   batches, every shared prefix block cached, no time lost.  */
double ideal_rate (const struct params *params, double runners, double share);
double trace_share (const struct trace_kind *kind, int64_t now,
                    uint64_t period_seed);
void trace_draw (struct trace *trace, const struct trace_kind *kind,
                 const struct setup *setup, const struct site *site,
                 uint64_t seed);
/* Clairvoyant bound of TRACE as a share of its requests.  */
double trace_bound (const struct trace *trace, const struct params *params,
                    const struct site *site);

void runner_init (struct runner *runner, int index, enum engine_role role);
void runner_clear (struct runner *runner);
void runner_flush_cache (struct runner *runner);
int runner_accepts (const struct runner *runner);
int runner_idle (const struct runner *runner);
uint64_t runner_running (const struct runner *runner);
uint64_t runner_queued (const struct runner *runner);
void runner_start (const struct params *params, struct runner *runner,
                   int64_t now);
void runner_end (const struct params *params, struct runner *runner,
                 const struct runner_events *events, int64_t now);

void sim_run (const struct setup *setup, const struct site *site,
              const struct trace_kind *kind, const struct variant *variant,
              uint64_t seed, struct result *result);

/* Prints the targets beside the results of the median seed.  */
void report_targets (const struct site *site, const struct result *results,
                     size_t seeds);

/* Prints a table of all rows.  ONLY is the trace to print, or null for all. */
void report_site (const struct site *site, const struct result *results,
                  size_t seeds, const char *only);
int report_svg (const char *file, const struct result *baseline,
                const struct result *policy);

#endif
