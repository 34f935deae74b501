#ifndef GOLDCRESTHATCH_ADMISSION_H
#define GOLDCRESTHATCH_ADMISSION_H

/*
 * NAME
 *   admission - admission control with fair queueing and priorities
 *
 * DESCRIPTION
 *   admission_offer admits a request, queues it, or refuses it when its
 *   predicted time to the first token is past its deadline.  admission_next
 *   takes the next request from the bounded queue.  Customers of one priority
 *   class share by deficit round robin over the cost of their requests.  A
 *   higher class goes first, but each class below the highest is guaranteed a
 *   share of the cost taken from the queue.  When the queue is full, the
 *   newest request of the customer with the most queued cost is evicted,
 *   unless the customer of the new request would have as much queued.
 *
 *   Only customers with queued requests take up memory, so the tables are
 *   bounded by the queue.  Times are in microseconds.  Cost is in a unit of
 *   the caller's choice, such as tokens.
 */

#include <stddef.h>
#include <stdint.h>

/* Decay of the prediction error without observations; see
   admission_observe.  */
#define ADMISSION_ERROR_HALF_LIFE_US INT64_C (5000000)

enum
{
  ADMISSION_CLASSES = 3, /* priority 0 is the highest */
  ADMISSION_RETRY_AFTER_MAX_S = 60
};

struct admission_config
{
  size_t queue_max;      /* requests in the queue, at least 1 */
  unsigned share_permil; /* of the cost taken from the queue, guaranteed to
                            each class below the highest */
  uint32_t quantum;      /* cost granted to a customer per round, above 0 */
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
  unsigned priority; /* class; ADMISSION_CLASSES or more is the lowest class */
  uint32_t cost;
  int64_t due_us; /* when the first token is due; 0: no deadline */
};

/* State of the back ends as estimated by the caller.  */
struct admission_supply
{
  uint64_t room;       /* requests that may be sent now */
  int64_t first_us;    /* predicted time to the first token once sent */
  int64_t us_per_cost; /* time in which the fleet serves one unit of cost */
};

struct admission_decision
{
  enum admission_verdict verdict;
  unsigned retry_after_s; /* at least 1 when refused */
  int64_t first_us;       /* predicted time to the first token, with the
                             queueing delay */
  int has_evicted;        /* request EVICTED was removed from the queue, to be
                             refused with ADMISSION_REFUSE_SHARE */
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

/* Records the predicted and the actual time to the first token of a request
   that was sent.  The sum of the moving averages of the error and of its
   deviation is added to later predictions of admission_offer and
   admission_next when it is positive; a prediction is never reduced.  Both
   averages halve with each ADMISSION_ERROR_HALF_LIFE_US without an
   observation: when the correction refuses every request, no observation would
   ever reduce it.  */
void admission_observe (struct admission_control *admission_control,
                        int64_t predicted_us, int64_t actual_us, int64_t now);

/* Takes the next request from the queue.  Returns 1 with REQUEST and DECISION
   filled in, which is ADMISSION_ADMIT or ADMISSION_REFUSE_LATE, or 0 when the
   queue is empty.  A late request is not charged to its customer.  To be
   called while SUPPLY has room.  */
int admission_next (struct admission_control *admission_control,
                    const struct admission_supply *supply, int64_t now,
                    struct admission_request *request,
                    struct admission_decision *decision);

/* Removes a queued request whose caller has gone.  Returns 0, or -1 when ID is
   not queued.  */
int admission_cancel (struct admission_control *admission_control,
                      uint64_t id);

/* Returns the number of queued requests.  */
size_t admission_queued (const struct admission_control *admission_control);

#endif
