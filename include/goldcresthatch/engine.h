#ifndef GOLDCRESTHATCH_ENGINE_H
#define GOLDCRESTHATCH_ENGINE_H

/*
 * NAME
 *   engine - acceptance and execution of orders to one engine, in its agent
 *
 * DESCRIPTION
 *   An order names an absolute target.  The agent reads authority/S after it
 *   received the order, accepts the order when the fencing token is the one
 *   read, drains the engine, reads again and sends one request to the engine.
 *   engine_handle() takes one event and returns the actions to carry out in
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
  ENGINE_READ_MAX_AGE_US = 1000 * 1000,
  ENGINE_RETRY_INTERVAL_US
  = 500 * 1000, /* between queries and reads repeated */
  /* Reads before an order whose engine stands drained fails, so that an outage
     of the service does not keep the engine from its work.  */
  ENGINE_READ_TRIES_MAX = 10,
  ENGINE_ACTIONS_MAX = 4
};

enum engine_role
{
  ENGINE_ROLE_BOTH,
  ENGINE_ROLE_PREFILL,
  ENGINE_ROLE_DECODE,
  ENGINE_ROLE_MAX
};

struct engine_target
{
  enum engine_role role;
  int drain;    /* take no new work */
  int withdraw; /* take no new work; the runner leaves the fleet */
  char model[MSG_NAME_MAX_BYTES + 1];
  char version[MSG_NAME_MAX_BYTES + 1];
};

struct engine_order
{
  char shard[MSG_NAME_MAX_BYTES + 1];
  uint64_t token;
  struct msg_id id;
  struct engine_target target;
};

enum engine_state
{
  ENGINE_QUERYING,   /* the engine may have a request in progress */
  ENGINE_READING,    /* first read of the authority */
  ENGINE_IDLE,       /* the engine has the target in `actual` */
  ENGINE_CHECKING,   /* a received order waits for its read */
  ENGINE_DRAINING,   /* an accepted order waits for work to end */
  ENGINE_REPLACING,  /* the same, and a later order waits for its read */
  ENGINE_RECHECKING, /* drained; the read before the request is made */
  ENGINE_APPLYING,   /* the engine has the request */
  ENGINE_STATE_MAX
};

enum engine_event_kind
{
  ENGINE_EV_START,   /* the agent started */
  ENGINE_EV_ORDER,   /* `order` was received */
  ENGINE_EV_READ,    /* result of ENGINE_DO_READ */
  ENGINE_EV_DRAINED, /* result of ENGINE_DO_STOP_WORK: no work is left */
  ENGINE_EV_APPLIED, /* result of ENGINE_DO_SEND */
  ENGINE_EV_QUERIED, /* result of ENGINE_DO_QUERY */
  ENGINE_EV_CRASHED, /* the engine ended or restarted */
  ENGINE_EV_TIME,
  ENGINE_EV_MAX
};

enum engine_result
{
  ENGINE_RESULT_OK,
  ENGINE_RESULT_FAILED,  /* the engine declined or failed; nothing is under way
                          */
  ENGINE_RESULT_UNKNOWN, /* no answer: the request may be under way */
  ENGINE_RESULT_NOT_SENT, /* engine_may_send() was 0 before the request */
  ENGINE_RESULT_MAX
};

struct engine_event
{
  enum engine_event_kind kind;
  int64_t now_us;
  uint64_t op;
  enum engine_result result; /* READ, APPLIED, QUERIED */
  const struct engine_order *order;
  int64_t start_us;            /* READ: before the read was sent */
  uint64_t revision;           /* READ: of the key, 0 when absent */
  int in_progress;             /* QUERIED: an order is being carried out */
  struct engine_target actual; /* QUERIED: role, model and version */
};

enum engine_action_kind
{
  ENGINE_DO_READ,        /* read the authority of the shard */
  ENGINE_DO_STOP_WORK,   /* take no new work; report when none is left */
  ENGINE_DO_RESUME_WORK, /* take new work again */
  ENGINE_DO_SEND,        /* send the target to the engine with the token */
  ENGINE_DO_QUERY,       /* ask the engine for its state */
  ENGINE_DO_ANSWER       /* send ORDERED for `order` */
};

struct engine_action
{
  enum engine_action_kind kind;
  uint64_t op;
  struct engine_order order;  /* SEND, ANSWER */
  enum msg_order_state state; /* ANSWER */
  struct err err;             /* ANSWER: why, when refused or failed */
};

struct engine_actions
{
  unsigned count;
  struct engine_action item[ENGINE_ACTIONS_MAX];
};

struct engine_fsm
{
  enum engine_state state;
  char shard[MSG_NAME_MAX_BYTES + 1];
  uint64_t highest;          /* highest fencing token seen */
  uint64_t ops;              /* number of the last action that has a result */
  uint64_t op;               /* read, query or request awaited, or 0 */
  uint64_t drain_op;         /* stop of work awaited, or 0 */
  int64_t next_us;           /* earliest time of the next try */
  int64_t read_us;           /* start of the read that allows the request */
  unsigned tries;            /* reads made in ENGINE_RECHECKING */
  int has_order;             /* `order` is accepted and not yet reached */
  struct engine_order order; /* accepted */
  struct engine_order arrived; /* waits for its read */
  struct engine_target actual; /* in force at the engine and the agent */
};

/* Prepares ENG for an engine of SHARD; ENGINE_EV_START comes next.  */
void engine_init (struct engine_fsm *engine_fsm, const char *shard);

/* Applies EVENT and fills in the actions to carry out.  */
void engine_handle (struct engine_fsm *engine_fsm,
                    const struct engine_event *event,
                    struct engine_actions *actions);

/* Returns nonzero while the request of ENGINE_DO_SEND may go out.  Called with
   the time immediately before the request, since a pause after the read may
   have let the authority pass on.  */
int engine_may_send (const struct engine_fsm *engine_fsm, int64_t now_us);

/* Returns nonzero when A and B are the same target.  */
int engine_target_equal (const struct engine_target *a,
                         const struct engine_target *b);

/* Returns the name of ROLE, such as "prefill".  */
const char *engine_role_name (enum engine_role role);

#endif
