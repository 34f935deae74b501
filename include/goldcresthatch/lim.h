#ifndef GOLDCRESTHATCH_LIM_H
#define GOLDCRESTHATCH_LIM_H

/*
 * NAME
 *   lim - admission control with fair shares and priorities
 *
 * DESCRIPTION
 *   lim_offer admits a request, queues it, or refuses it early, by its
 *   predicted time to the first token against its budget.  lim_next takes the
 *   next request from the bounded queue.  Customers of one priority class
 *   share by deficit round robin over the cost of their requests.  A higher
 *   class goes first, but each class below the highest keeps a guaranteed
 *   share of the cost taken from the queue.  When the queue is full, the
 *   newest request of the customer with the most queued cost makes room,
 *   unless the customer that asks has as much.
 *
 *   Only customers with queued requests take up memory, so the tables are
 *   bounded by the queue.  Times are in microseconds.  Cost is in a unit of
 *   the caller's choice, such as tokens.
 */

#include <stddef.h>
#include <stdint.h>

#define LIM_HALF_LIFE_US INT64_C (5000000)

enum
{
  LIM_CLASSES = 3,         /* priority 0 is the highest */
  LIM_RETRY_AFTER_MAX = 60 /* seconds */
};

struct lim_config
{
  size_t queue_max;      /* requests, at least 1 */
  unsigned share_permil; /* guaranteed to each class below the highest */
  uint32_t quantum;      /* cost given to a customer in one round, above 0 */
};

enum lim_verdict
{
  LIM_ADMIT,
  LIM_QUEUE,
  LIM_REFUSE_LATE,  /* the deadline cannot be met: 503 */
  LIM_REFUSE_FULL,  /* the queue is full: 503 */
  LIM_REFUSE_SHARE, /* the customer's share is used up: 429 */
  LIM_VERDICT_MAX
};

struct lim_request
{
  uint64_t id;       /* the caller's; unique among queued requests */
  uint64_t customer; /* hash of the name */
  unsigned priority; /* class; a larger number is the lowest class */
  uint32_t cost;
  int64_t due_us; /* when the first token is due; 0 is never */
};

/* What the caller knows about the back ends at this moment.  */
struct lim_supply
{
  uint64_t room;       /* requests that may be sent now */
  int64_t first_us;    /* predicted time to the first token once sent */
  int64_t us_per_cost; /* time in which the fleet works off one unit */
};

struct lim_decision
{
  enum lim_verdict verdict;
  unsigned retry_after_s; /* above 0 with each LIM_REFUSE verdict */
  int64_t first_us;       /* predicted, the wait in the queue included */
  int has_evicted;        /* EVICTED lost its place: LIM_REFUSE_SHARE */
  uint64_t evicted;
};

struct lim;

struct lim *lim_new (const struct lim_config *config);
void lim_free (struct lim *lim);

/* Decides on REQUEST at its arrival.  */
struct lim_decision lim_offer (struct lim *lim,
                               const struct lim_request *request,
                               const struct lim_supply *supply, int64_t now);

/* Notes the time to the first token that was predicted for a request that was
   sent and the one that was measured.  The mean error and its mean deviation
   are added to later predictions of lim_offer and lim_next while they are
   positive; a prediction is never made smaller.  Both halve with each
   LIM_HALF_LIFE_US without an observation, since a correction that refuses
   every request would otherwise never be corrected itself.  */
void lim_observe (struct lim *lim, int64_t predicted_us, int64_t actual_us,
                  int64_t now);

/* Takes the next request from the queue.  Returns 1 with REQUEST and DECISION
   filled in, which is LIM_ADMIT or LIM_REFUSE_LATE, or 0 when the queue is
   empty.  A late request takes nothing from its customer's share.  To be
   called while there is room.  */
int lim_next (struct lim *lim, const struct lim_supply *supply, int64_t now,
              struct lim_request *request, struct lim_decision *decision);

/* Drops a queued request, whose caller went away.  Returns 0, or -1 when ID is
   not queued.  */
int lim_cancel (struct lim *lim, uint64_t id);

size_t lim_queued (const struct lim *lim);

#endif
