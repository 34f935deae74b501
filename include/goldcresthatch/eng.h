#ifndef GOLDCRESTHATCH_ENG_H
#define GOLDCRESTHATCH_ENG_H

/*
 * NAME
 *   eng - acceptance and execution of orders to one engine, in its agent
 *
 * DESCRIPTION
 *   An order names an absolute target.  The agent reads authority/S after it
 *   received the order, accepts the order when the fencing token is the one
 *   read, drains the engine, reads again and sends one request to the engine.
 *   eng_handle() takes one event and returns the actions to carry out in
 *   order.  An action that has a result carries a number, and the result is
 *   reported with that number; a result with another number is ignored.
 *
 *   The engine must take requests in the order of their arrival, so that the
 *   answer to a query covers every request sent before it, also by an earlier
 *   process of the agent.
 *
 * UNITS
 *   Times are microseconds of a monotonic clock.
 */

#include <stdint.h>

#include "goldcresthatch/err.h"
#include "goldcresthatch/msg.h"

enum
{
  /* A new holder waits for twice this time before its first order.  */
  ENG_READ_MAX_US = 1000 * 1000,
  ENG_RETRY_US = 500 * 1000, /* between queries and reads repeated */
  /* Reads before an order whose engine stands drained fails, so that an outage
     of the service does not keep the engine from its work.  */
  ENG_READ_TRIES = 10,
  ENG_ACTIONS_MAX = 4
};

enum eng_role
{
  ENG_ROLE_BOTH,
  ENG_ROLE_PREFILL,
  ENG_ROLE_DECODE,
  ENG_ROLE_MAX
};

struct eng_target
{
  enum eng_role role;
  int drain;    /* take no new work */
  int withdraw; /* take no new work; the runner leaves the fleet */
  char model[MSG_NAME_MAX + 1];
  char version[MSG_NAME_MAX + 1];
};

struct eng_order
{
  char shard[MSG_NAME_MAX + 1];
  uint64_t token;
  struct msg_id id;
  struct eng_target target;
};

enum eng_state
{
  ENG_QUERYING,   /* the engine may have a request in progress */
  ENG_LOADING,    /* first read of the authority */
  ENG_IDLE,       /* the engine has the target in `actual` */
  ENG_CHECKING,   /* a received order waits for its read */
  ENG_DRAINING,   /* an accepted order waits for work to end */
  ENG_REPLACING,  /* the same, and a later order waits for its read */
  ENG_RECHECKING, /* drained; the read before the request is made */
  ENG_APPLYING,   /* the engine has the request */
  ENG_STATE_MAX
};

enum eng_event_kind
{
  ENG_EV_START,   /* the agent started */
  ENG_EV_ORDER,   /* `order` was received */
  ENG_EV_READ,    /* result of ENG_DO_READ */
  ENG_EV_DRAINED, /* result of ENG_DO_STOP_WORK: no work is left */
  ENG_EV_APPLIED, /* result of ENG_DO_SEND */
  ENG_EV_QUERIED, /* result of ENG_DO_QUERY */
  ENG_EV_CRASHED, /* the engine ended or restarted */
  ENG_EV_TIME,
  ENG_EV_MAX
};

enum eng_result
{
  ENG_RESULT_OK,
  ENG_RESULT_FAILED,  /* the engine declined or failed; nothing is under way */
  ENG_RESULT_UNKNOWN, /* no answer: the request may be under way */
  ENG_RESULT_NOT_SENT, /* eng_may_send() was 0 before the request */
  ENG_RESULT_MAX
};

struct eng_event
{
  enum eng_event_kind kind;
  int64_t now_us;
  uint64_t op;
  enum eng_result result; /* READ, APPLIED, QUERIED */
  const struct eng_order *order;
  int64_t start_us;         /* READ: before the read was sent */
  uint64_t revision;        /* READ: of the key, 0 when absent */
  int in_progress;          /* QUERIED: an order is being carried out */
  struct eng_target actual; /* QUERIED: role, model and version */
};

enum eng_action_kind
{
  ENG_DO_READ,        /* read the authority of the shard */
  ENG_DO_STOP_WORK,   /* take no new work; report when none is left */
  ENG_DO_RESUME_WORK, /* take new work again */
  ENG_DO_SEND,        /* send the target to the engine with the token */
  ENG_DO_QUERY,       /* ask the engine for its state */
  ENG_DO_ANSWER       /* send ORDERED for `order` */
};

struct eng_action
{
  enum eng_action_kind kind;
  uint64_t op;
  struct eng_order order;     /* SEND, ANSWER */
  enum msg_order_state state; /* ANSWER */
  struct err err;             /* ANSWER: why, when refused or failed */
};

struct eng_actions
{
  unsigned count;
  struct eng_action item[ENG_ACTIONS_MAX];
};

struct eng
{
  enum eng_state state;
  char shard[MSG_NAME_MAX + 1];
  uint64_t highest;         /* highest fencing token seen */
  uint64_t ops;             /* number of the last action that has a result */
  uint64_t op;              /* read, query or request awaited, or 0 */
  uint64_t drain_op;        /* stop of work awaited, or 0 */
  int64_t next_us;          /* earliest time of the next try */
  int64_t read_us;          /* start of the read that allows the request */
  unsigned tries;           /* reads made in ENG_RECHECKING */
  int has_order;            /* `order` is accepted and not yet reached */
  struct eng_order order;   /* accepted */
  struct eng_order arrived; /* waits for its read */
  struct eng_target actual; /* in force at the engine and the agent */
};

/* Prepares ENG for an engine of SHARD; ENG_EV_START comes next.  */
void eng_init (struct eng *eng, const char *shard);

/* Applies EVENT and fills in the actions to carry out.  */
void eng_handle (struct eng *eng, const struct eng_event *event,
                 struct eng_actions *actions);

/* Returns nonzero while the request of ENG_DO_SEND may go out.  Called with
   the time immediately before the request, since a pause after the read may
   have let the authority pass on.  */
int eng_may_send (const struct eng *eng, int64_t now_us);

/* Returns nonzero when A and B are the same target.  */
int eng_target_equal (const struct eng_target *a, const struct eng_target *b);

/* Returns the name of ROLE, such as "prefill".  */
const char *eng_role_name (enum eng_role role);

#endif
