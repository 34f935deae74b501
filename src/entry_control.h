#ifndef ENTRY_CONTROL_H
#define ENTRY_CONTROL_H

/*
 * Private to entry_control*.c: the authority over shards, which is held under
 * a lease, and the orders that its holder sends.  A shard is the runners of
 * one zone.
 */

#include "entry.h"
#include "goldcresthatch/authority.h"
#include "goldcresthatch/engine.h"
#include "goldcresthatch/role.h"

enum
{
  /* Three intervals of REPORT.  A runner without a report for this time gets
     no orders.  */
  CONTROL_REPORT_TIMEOUT_US = 6 * G_USEC_PER_SEC
};

/* The state of a runner by its reports, and the last order that this entry
   sent to it.  */
struct control_runner
{
  char name[MSG_NAME_MAX_BYTES + 1];
  char zone[MSG_NAME_MAX_BYTES + 1];
  char service[MSG_NAME_MAX_BYTES + 1];
  uint64_t peer;
  uint64_t incarnation;
  enum msg_agent_state state;
  int endpoint_up;
  int actual_known; /* the reports contain ACTUAL */
  struct engine_target actual;
  gint64 reported_us;

  uint64_t running;
  uint64_t queued;
  uint64_t capacity;
  uint64_t prompt_done; /* tokens served by this incarnation */
  uint64_t output_done;
  uint64_t prompt_in_demand; /* of these, tokens already in the demand */
  uint64_t output_in_demand;

  int role_is_planned; /* ROLE was planned by this entry as the holder */
  enum engine_role role;

  int order_pending; /* an order is outstanding */
  int order_accepted;
  struct msg_id order_id;
  struct engine_target target;
  uint64_t token;
  enum engine_role previous_role; /* role before the order */
  gint64 first_sent_us;           /* when the order was first sent */
  gint64 last_sent_us;            /* when the order was last sent */
  gint64 next_order_us;           /* earliest time of the next new order */
  gint64 backoff_us;              /* after the last refusal or failure */
};

struct control_shard
{
  char zone[MSG_NAME_MAX_BYTES + 1];
  struct authority authority;
  GHashTable *plans; /* struct control_plan by model */
  gint64 planned_us;
};

struct entry_control
{
  struct entry *entry;
  pthread_t thread;

  /* No other lock is taken while it is held.  Guards what follows.  */
  pthread_mutex_t lock;
  GHashTable *runners; /* struct control_runner by name */
  GPtrArray *shards;   /* struct control_shard, never removed */
};

/* Returns nonzero when RUNNER belongs to SHARD, reports its state and is not
   leaving, so that orders may be sent to it.  */
int control_accepts_orders (const struct control_runner *runner,
                            const struct control_shard *shard, gint64 now_us);

/* Returns nonzero while the engine of RUNNER changes its role, model or
   version, or may do so.  */
int control_is_changing (const struct control_runner *runner, gint64 now_us);

/* entry_control_order.c: sends the orders that bring the runners of SHARD to
   the configured state and the planned roles.  This entry holds SHARD with the
   fencing token TOKEN; the lock is held.  */
void control_reconcile (struct entry_control *control,
                        struct control_shard *shard, uint64_t token);

/* Handles the message ORDERED, a runner's answer to an order; the lock is
   held.  */
void control_handle_ordered (struct entry_control *control,
                             const struct msg_ordered *ordered);

/* Drops the orders and plans of a shard whose authority was lost; the lock is
   held.  */
void control_reset_shard (struct entry_control *control,
                          struct control_shard *shard);

/* entry_control_plan.c: plans at most one change of role for each model that
   the runners of SHARD serve, once a second; the lock is held.  */
void control_plan_roles (struct entry_control *control,
                         struct control_shard *shard, double change_cost_s,
                         gint64 now_us);
void control_plan_free (gpointer plan);

#endif
