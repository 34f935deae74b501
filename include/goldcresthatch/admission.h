#ifndef GOLDCRESTHATCH_ADMISSION_H
#define GOLDCRESTHATCH_ADMISSION_H

/*
 * NAME
 *   admission - admission control with fair shares and priorities
 *
 * DESCRIPTION
 *   admission_offer admits a request, queues it, or refuses it early, by its
 *   predicted time to the first token against its budget.  admission_next
 * takes the next request from the bounded queue.  Customers of one priority
 * class share by deficit round robin over the cost of their requests.  A
 * higher class goes first, but each class below the highest keeps a guaranteed
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

#define ADMISSION_ERROR_HALF_LIFE_US INT64_C (5000000)

enum
{
  ADMISSION_CLASSES = 3,           /* priority 0 is the highest */
  ADMISSION_RETRY_AFTER_MAX_S = 60 /* seconds */
};

struct admission_config
{
  size_t queue_max;      /* requests, at least 1 */
  unsigned share_permil; /* guaranteed to each class below the highest */
  uint32_t quantum;      /* cost given to a customer in one round, above 0 */
};

enum admission_verdict
{
  ADMISSION_ADMIT,
  ADMISSION_QUEUE,
  ADMISSION_REFUSE_LATE,  /* the deadline cannot be met: 503 */
  ADMISSION_REFUSE_FULL,  /* the queue is full: 503 */
  ADMISSION_REFUSE_SHARE, /* the customer's share is used up: 429 */
  ADMISSION_VERDICT_MAX
};

struct admission_request
{
  uint64_t id;       /* the caller's; unique among queued requests */
  uint64_t customer; /* hash of the name */
  unsigned priority; /* class; a larger number is the lowest class */
  uint32_t cost;
  int64_t due_us; /* when the first token is due; 0 is never */
};

/* What the caller knows about the back ends at this moment.  */
struct admission_supply
{
  uint64_t room;       /* requests that may be sent now */
  int64_t first_us;    /* predicted time to the first token once sent */
  int64_t us_per_cost; /* time in which the fleet works off one unit */
};

struct admission_decision
{
  enum admission_verdict verdict;
  unsigned retry_after_s; /* above 0 with each LIM_REFUSE verdict */
  int64_t first_us;       /* predicted, the wait in the queue included */
  int has_evicted;        /* EVICTED lost its place: ADMISSION_REFUSE_SHARE */
  uint64_t evicted;
};

struct admission_control;

struct admission_control *
admission_new (const struct admission_config *config);
void admission_free (struct admission_control *admission_control);

/* Decides on REQUEST at its arrival.  */
struct admission_decision
admission_offer (struct admission_control *admission_control,
                 const struct admission_request *request,
                 const struct admission_supply *supply, int64_t now);

/* Notes the time to the first token that was predicted for a request that was
   sent and the one that was measured.  The mean error and its mean deviation
   are added to later predictions of admission_offer and admission_next while
   they are positive; a prediction is never made smaller.  Both halve with each
   ADMISSION_ERROR_HALF_LIFE_US without an observation, since a correction that
   refuses every request would otherwise never be corrected itself.  */
void admission_observe (struct admission_control *admission_control,
                        int64_t predicted_us, int64_t actual_us, int64_t now);

/* Takes the next request from the queue.  Returns 1 with REQUEST and DECISION
   filled in, which is ADMISSION_ADMIT or ADMISSION_REFUSE_LATE, or 0 when the
   queue is empty.  A late request takes nothing from its customer's share.  To
   be called while there is room.  */
int admission_next (struct admission_control *admission_control,
                    const struct admission_supply *supply, int64_t now,
                    struct admission_request *request,
                    struct admission_decision *decision);

/* Drops a queued request, whose caller went away.  Returns 0, or -1 when ID is
   not queued.  */
int admission_cancel (struct admission_control *admission_control,
                      uint64_t id);

size_t admission_queued (const struct admission_control *admission_control);

#endif
