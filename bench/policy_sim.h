#ifndef POLICY_SIM_H
#define POLICY_SIM_H

/* State of one run, private to the event loop, the entries and role
   planning.  */

#include "policy_model.h"

struct entry
{
  char zone[16];
  struct fleet *fleet;
  struct route *route;
  struct admission_control *admission_control;
  struct retry_budget retries;
};

/* Role planner of the runners of one zone, as run by the shard's holder.  */
struct shard
{
  struct role_stats stats;
  struct role_planner planner;
  double prompt; /* prompt tokens up to the last call */
  double output; /* output tokens up to the last call */
};

/* Load reports of all runners, in transit to the entries.  */
struct snapshot
{
  int64_t due_us;
  struct msg_report reports[RUNNERS_MAX];
  uint64_t prompt_done[RUNNERS_MAX];
  uint64_t output_done[RUNNERS_MAX];
};

struct sim
{
  const struct params *params;
  const struct site *site;
  const struct trace_kind *kind;
  const struct variant *variant;
  struct trace trace;
  struct runner runners[RUNNERS_MAX];
  struct entry entries[ENTRIES];
  struct shard shards[ZONES];
  struct snapshot delivered; /* last reports delivered */
  GQueue snapshots;
  GQueue retries; /* struct request by ready_us */
  uint64_t random;
  double prefill_tokens;   /* tokens of started prefills */
  double cached_tokens;    /* those of them found in caches */
  double requested_prompt; /* prompt tokens of all arrivals */
  double requested_output; /* output tokens requested by all arrivals */
  unsigned changes;
  unsigned changes_at[BUCKETS];
  unsigned changes_of[RUNNERS_MAX];
  struct runner_events events;
};

void entries_init (struct sim *sim);
void entries_clear (struct sim *sim);
void entries_arrive (struct sim *sim, struct request *request, int64_t now);
void entries_drain_queues (struct sim *sim, int64_t now);
void entries_retry (struct sim *sim, struct request *request, int64_t now);
/* The attempt of REQUEST ended with FAILURE.  */
void entries_failed (struct sim *sim, struct request *request,
                     enum retry_failure failure, int64_t now);
void entries_first_token (void *sim, struct request *request, int64_t now);
int entries_move_to_decode (void *sim, struct request *request, int64_t now);
void entries_request_end (void *sim, struct request *request, int64_t now);

void roles_init (struct sim *sim, double cost_s);
void roles_tick (struct sim *sim, int64_t now);

#endif
