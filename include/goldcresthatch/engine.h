#ifndef GOLDCRESTHATCH_ENGINE_H
#define GOLDCRESTHATCH_ENGINE_H

/*
 * NAME
 *   engine - state machine of the agent that applies orders to its engine
 *
 * DESCRIPTION
 *   An order states an absolute target.  After the agent receives the order it
 *   reads authority/S, the key of the holder of shard S.  It accepts the order
 *   when the fencing token of the order is the one read, drains the engine,
 *   reads the key again and sends one request to the engine.
 *
 *   engine_handle() takes one event and returns the actions to carry out in
 *   order.  An action with a result has a number, and its result is reported
 *   with that number; a result with another number is ignored.
 *
 *   The engine must process requests in the order of their arrival, so that
 *   the answer to a query reflects every request sent before it, also by an
 *   earlier process of the agent.
 *
 * UNITS
 *   Times are microseconds of a monotonic clock.
 */

#include <stdint.h>

#include "goldcresthatch/err.h"
#include "goldcresthatch/msg.h"

enum
{
  /* Longest time from the start of a read to the request that it allows.  A
     new holder of the key waits twice as long before its first order.  */
  ENGINE_READ_MAX_AGE_US = 1000 * 1000,
  ENGINE_RETRY_INTERVAL_US
  = 500 * 1000, /* between repeated queries and reads */
  /* Failed reads after which the order for a drained engine fails, so that an
     outage of the key-value service does not keep the engine idle.  */
  ENGINE_READ_TRIES_MAX = 10,
  ENGINE_ACTIONS_MAX = 4 /* from one event */
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
  ENGINE_READING,    /* first read of the key */
  ENGINE_IDLE,       /* no order; the target in `actual` is in force */
  ENGINE_CHECKING,   /* an order was received; its read is awaited */
  ENGINE_DRAINING,   /* an order was accepted; the engine drains */
  ENGINE_REPLACING,  /* the same, and the read for a later order is awaited */
  ENGINE_RECHECKING, /* drained; the read before the request is awaited */
  ENGINE_APPLYING,   /* the request was sent to the engine */
  ENGINE_STATE_MAX
};

enum engine_event_kind
{
  ENGINE_EV_START,   /* the agent started */
  ENGINE_EV_ORDER,   /* `order` was received */
  ENGINE_EV_READ,    /* result of ENGINE_DO_READ */
  ENGINE_EV_DRAINED, /* result of ENGINE_DO_STOP_WORK: all work has ended */
  ENGINE_EV_APPLIED, /* result of ENGINE_DO_SEND */
  ENGINE_EV_QUERIED, /* result of ENGINE_DO_QUERY */
  ENGINE_EV_CRASHED, /* the engine crashed or restarted */
  ENGINE_EV_TIME,    /* the time has advanced */
  ENGINE_EV_MAX
};

enum engine_result
{
  ENGINE_RESULT_OK,
  ENGINE_RESULT_FAILED, /* the engine refused or failed; nothing is in progress
                         */
  ENGINE_RESULT_UNKNOWN,  /* no answer: the request may be in progress */
  ENGINE_RESULT_NOT_SENT, /* engine_may_send() returned 0 before the request */
  ENGINE_RESULT_MAX
};

struct engine_event
{
  enum engine_event_kind kind;
  int64_t now_us;
  uint64_t op;
  enum engine_result result; /* READ, APPLIED, QUERIED */
  const struct engine_order *order;
  int64_t start_us;            /* READ: time before the read was sent */
  uint64_t revision;           /* READ: of the key's creation, 0 when absent */
  int in_progress;             /* QUERIED: a request is being carried out */
  struct engine_target actual; /* QUERIED: role, model and version */
};

enum engine_action_kind
{
  ENGINE_DO_READ,        /* read the authority key of the shard */
  ENGINE_DO_STOP_WORK,   /* refuse new work; report when all work has ended */
  ENGINE_DO_RESUME_WORK, /* take new work again */
  ENGINE_DO_SEND,        /* send target and fencing token to the engine */
  ENGINE_DO_QUERY,       /* ask the engine for its state */
  ENGINE_DO_ANSWER       /* send ORDERED for `order` */
};

struct engine_action
{
  enum engine_action_kind kind;
  uint64_t op;
  struct engine_order order;  /* SEND, ANSWER */
  enum msg_order_state state; /* ANSWER */
  struct err err;             /* ANSWER: the cause, when refused or failed */
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
  uint64_t highest;  /* highest fencing token read */
  uint64_t ops;      /* number of the last action with a result */
  uint64_t op;       /* number of the awaited read, query or request, or 0 */
  uint64_t drain_op; /* number of the awaited ENGINE_DO_STOP_WORK, or 0 */
  int64_t next_us;   /* earliest time of the next read or query */
  int64_t read_us;   /* start of the read that allows the request */
  unsigned tries;    /* reads made in ENGINE_RECHECKING */
  int has_order;     /* `order` is accepted and not finished */
  struct engine_order order;   /* accepted */
  struct engine_order arrived; /* received; its read is awaited */
  struct engine_target actual; /* in force at the engine and its agent */
};

/* Initializes ENGINE_FSM for an engine of SHARD.  The first event is
   ENGINE_EV_START.  */
void engine_init (struct engine_fsm *engine_fsm, const char *shard);

/* Applies EVENT and fills in the actions to carry out.  */
void engine_handle (struct engine_fsm *engine_fsm,
                    const struct engine_event *event,
                    struct engine_actions *actions);

/* Returns nonzero while the request of ENGINE_DO_SEND may be sent.  To be
   called immediately before the request: during a pause after the read,
   another entry may have become the holder.  */
int engine_may_send (const struct engine_fsm *engine_fsm, int64_t now_us);

/* Returns nonzero when A and B are equal.  */
int engine_target_equal (const struct engine_target *a,
                         const struct engine_target *b);

/* Returns the name of ROLE, such as "prefill".  */
const char *engine_role_name (enum engine_role role);

#endif
