/* Leadership over the engines, and orders that change their stages.  */
#include <string.h>

#include "gw.h"
#include "stageplan.h"

#define AUTHORITY_KEY "authority/engines"

enum
{
  STEP_MS = 250,
  DEMAND_STEPS = 4, /* between two contributions to the fleet's demand */
  CONNECT_MS = 400,
  ORDER_TIMEOUT_MS = 1500, /* a later answer counts as lost */
  REPORT_MAX_BYTES
  = 64 * 1024, /* of a runner's report or answer to an order */
  /* Added to lease_ms, for delayed orders of the last leader.  */
  HANDOVER_MARGIN_MS = 500,
  /* Greatest age of the read of the leader's key that precedes an order.  */
  CONFIRMATION_MAX_AGE_MS = 400,
  DEMAND_AVERAGE_MS = 1000, /* time constant of the average prefill demand */
  ASK_AGAIN_MS = 10000, /* between two questions for the speed of an engine */
  STAGE_CHANGE_TIMEOUT_MS = 15000 /* a change that takes longer has failed */
};

struct gw_stage
{
  struct authority authority;
  uint64_t lease_era;  /* of the lease of AUTHORITY */
  int rank_known;      /* the rank among the registered gateways is known */
  uint64_t token;      /* fencing token of this leader, or 0 */
  int64_t aside_until; /* leadership is left to others until then */
  int64_t confirmed;   /* start of the last read that returned TOKEN */
  int confirming;
  double requested_us;     /* engine time requested since the last step */
  struct gw_demand demand; /* of this gateway's requests; prefill is a moving
                              average */
  unsigned steps;
  int standby; /* may have to take over leadership */
  struct stageplan_state plan;
  /* One order at a time.  */
  struct pool_runner *runner;
  enum pool_stage to;
  uint64_t call;
  int asking;   /* RUNNER is only asked for its speed */
  int ordering; /* the order is sent; before that the report is read */
  int64_t sent;
  int status;
  GString *body;
};

static void step (struct gw *gw);
static void auth_step (struct gw *gw, const struct authority_event *event);

struct auth_op
{
  struct gw *gw;
  uint64_t op;
  enum authority_event_kind kind;
};

static struct msg_id
random_id (struct gw *gw)
{
  struct msg_id id;
  uint64_t bits[2] = { gw_random (gw), gw_random (gw) };

  memset (&id, 0, sizeof id);
  memcpy (&id, bits, MIN (sizeof id, sizeof bits));
  return id;
}

static int
result_of (enum store_rc rc)
{
  switch (rc)
    {
    case STORE_OK:
      return 1;
    case STORE_ABSENT:
    case STORE_CONFLICT:
    case STORE_REFUSED:
      return 0;
    default:
      return -1;
    }
}

/* Returns the fencing token of a record that was created at REVISION of ERA.
   Eras count from 1.  */
static uint64_t
fencing_token (uint64_t era, uint64_t revision)
{
  enum
  {
    REVISION_BITS = 40 /* leaves the token exact in a JSON number */
  };

  return ((era > 0 ? era - 1 : 0) << REVISION_BITS) + revision;
}

static void
on_auth_done (void *ctx, const struct store_reply *reply)
{
  struct auth_op *op = ctx;
  struct gw *gw = op->gw;
  struct authority_record record;
  struct authority_event event
      = { .kind = op->kind, .now_us = gw_now (gw), .op = op->op };

  gw->counts.store_calls++;
  gw_sync_note_era (gw, reply->era);
  event.rc = result_of (reply->rc);
  event.draw = random_id (gw);
  event.lease = reply->lease;
  event.revision = fencing_token (reply->era, reply->revision);
  if (op->kind == AUTHORITY_EV_GRANTED)
    {
      event.rc = reply->rc == STORE_OK ? 0 : -1;
      gw->stage->lease_era = reply->era;
    }
  else if (reply->rc == STORE_REFUSED)
    event.rc = -1;
  if (op->kind == AUTHORITY_EV_READ && reply->rc == STORE_OK
      && reply->n_items > 0)
    {
      event.revision = fencing_token (reply->era, reply->items[0].created);
      if (authority_record_decode (reply->items[0].value, reply->items[0].size,
                                   &record, NULL)
          == 0)
        event.record = &record;
    }
  g_free (op);
  auth_step (gw, &event);
}

/* Ends OP, the renewal of a lease of an earlier era: it has ended, and its
   number may be that of somebody else's lease.  */
static void
renewal_refused (struct gw *gw, struct auth_op *op)
{
  struct authority_event event
      = { .kind = op->kind, .now_us = gw_now (gw), .op = op->op };

  event.draw = random_id (gw);
  g_free (op);
  auth_step (gw, &event);
}

static void
auth_do (struct gw *gw, const struct authority_action *action)
{
  struct auth_op *op = g_new0 (struct auth_op, 1);
  char record[AUTHORITY_RECORD_MAX_BYTES];
  int n;

  op->gw = gw;
  op->op = action->op;
  switch (action->kind)
    {
    case AUTHORITY_DO_READ:
      op->kind = AUTHORITY_EV_READ;
      gw->store_api->get (gw->store_ctx, AUTHORITY_KEY, on_auth_done, op);
      return;
    case AUTHORITY_DO_GRANT:
      op->kind = AUTHORITY_EV_GRANTED;
      gw->store_api->grant (gw->store_ctx,
                            gw->stage->authority.times.lease_us / 1000,
                            on_auth_done, op);
      return;
    case AUTHORITY_DO_CAS:
      op->kind = AUTHORITY_EV_CAS;
      n = authority_record_encode (&action->record, record, sizeof record,
                                   NULL);
      gw->store_api->put (gw->store_ctx, AUTHORITY_KEY, 0, record,
                          (size_t)MAX (n, 0), action->lease, on_auth_done, op);
      return;
    case AUTHORITY_DO_RENEW:
      op->kind = AUTHORITY_EV_RENEWED;
      if (gw->stage->lease_era != gw->store_era)
        {
          renewal_refused (gw, op);
          return;
        }
      gw->store_api->renew (gw->store_ctx, action->lease, on_auth_done, op);
      return;
    default:
      g_free (op);
      return;
    }
}

static void
auth_step (struct gw *gw, const struct authority_event *event)
{
  struct gw_stage *stage = gw->stage;
  struct authority_action action;
  uint64_t token;

  authority_handle (&stage->authority, event, &action);
  token = authority_token (&stage->authority, gw_now (gw));
  if (token != stage->token)
    {
      event_log_write ("authority", NULL,
                       "\"token\":%" G_GUINT64_FORMAT
                       ",\"before\":%" G_GUINT64_FORMAT,
                       token, stage->token);
      stage->token = token;
      stage->confirmed = 0;
    }
  auth_do (gw, &action);
}

static enum http_client_verdict
on_head (void *ctx, const struct http_head *head)
{
  struct gw *gw = ctx;
  struct adapter_answer answer;

  gw->adapter->answer_read (head, &answer);
  gw_runner_note_answer (gw, gw->stage->runner, &answer);
  pace_note_told (&gw->stage->runner->pace, gw->stage->runner->service_pace,
                  answer.pace, gw_now (gw));
  gw->stage->status = head->status;
  g_string_truncate (gw->stage->body, 0);
  return HTTP_CLIENT_ACCEPT;
}

static void
on_body (void *ctx, const char *data, size_t size)
{
  struct gw *gw = ctx;

  g_string_append_len (gw->stage->body, data, (gssize)size);
}

/* Ends an order.  POSSIBLE means that it may be carried out: the runner has
   accepted it, or it was sent and there is no answer.  */
static void
finish_order (struct gw *gw, int possible)
{
  struct gw_stage *stage = gw->stage;

  if (stage->ordering && possible)
    {
      stage->runner->ordered = stage->to;
      stage->runner->ordered_us = gw_now (gw);
    }
  stage->runner->calls--;
  gw_peers_note_load (gw, stage->runner);
  stage->runner = NULL;
  stage->call = 0;
}

static int send_to_runner (struct gw *gw, const GString *request);

static void
on_done (void *ctx, enum http_client_result end)
{
  struct gw *gw = ctx;
  struct gw_stage *stage = gw->stage;
  struct adapter_order order = { stage->to, gw->set.node, stage->token, -1 };
  struct adapter_report report;
  GString *out;
  int64_t now = gw_now (gw);

  stage->call = 0;
  if (stage->asking)
    {
      finish_order (gw, 0);
      step (gw);
      return;
    }
  /* The content of a report and the status of an order tell enough.  */
  if (end == HTTP_CLIENT_CLOSED)
    end = HTTP_CLIENT_COMPLETE;
  if (stage->ordering || end != HTTP_CLIENT_COMPLETE || stage->status != 200
      || gw->adapter->report_read (stage->body->str, stage->body->len, &report)
             != 0
      || report.busy || report.stage == stage->to || stage->runner->leaving
      || pool_is_resting (stage->runner, now)
      || authority_token (&stage->authority, now) != stage->token
      || now - stage->confirmed > gw_ms_to_us (CONFIRMATION_MAX_AGE_MS))
    {
      if (stage->ordering)
        event_log_write (
            "order", NULL,
            "\"runner\":\"%s\",\"to\":%d,\"fence\":%" G_GUINT64_FORMAT
            ",\"status\":%d,\"end\":%d",
            stage->runner->entry.id, stage->to, stage->token, stage->status,
            end);
      finish_order (
          gw, end == HTTP_CLIENT_BROKEN
                  || (end == HTTP_CLIENT_COMPLETE && stage->status == 202));
      return;
    }
  order.orders = report.orders;
  out = g_string_new (NULL);
  gw->adapter->order_write (out, stage->runner->entry.address,
                            stage->runner->entry.id, &order);
  stage->ordering = 1;
  stage->status = 0;
  if (send_to_runner (gw, out) != 0)
    finish_order (gw, 0);
  g_string_free (out, TRUE);
}

static int
send_to_runner (struct gw *gw, const GString *request)
{
  static const struct http_client_ops ops
      = { on_head, on_body, on_done, REPORT_MAX_BYTES, 0 };
  struct gw_stage *stage = gw->stage;

  stage->sent = gw_now (gw);
  stage->call = http_client_call (gw->cli, stage->runner->entry.address,
                                  stage->runner->peer, request->str,
                                  request->len, CONNECT_MS, 0, &ops, gw);
  return stage->call != 0 ? 0 : -1;
}

static void
order_start (struct gw *gw, struct pool_runner *runner, enum pool_stage to)
{
  struct gw_stage *stage = gw->stage;
  GString *out = g_string_new (NULL);

  stage->runner = runner;
  stage->to = to;
  stage->asking = 0;
  stage->ordering = 0;
  stage->status = 0;
  runner->calls++;
  gw->adapter->report_write (out, runner->entry.address);
  if (send_to_runner (gw, out) != 0)
    finish_order (gw, 0);
  g_string_free (out, TRUE);
}

/* Returns an engine whose speed nobody has told, or null.  */
static struct pool_runner *
next_to_ask (struct gw *gw)
{
  int64_t now = gw_now (gw);
  size_t i;

  for (i = 0; i < pool_count (gw->runner_pool); i++)
    {
      struct pool_runner *engine = pool_at (gw->runner_pool, i);
      if (engine->entry.stage != POOL_STAGE_ANY && pool_usable (engine, now)
          && engine->pace.told_us == 0 && !pace_is_known (&engine->pace, now)
          && (engine->asked_us == 0
              || now - engine->asked_us > gw_ms_to_us (ASK_AGAIN_MS)))
        return engine;
    }
  return NULL;
}

/* Asks an engine for its speed, which its health answer tells.  Returns 0 when
   there is none to ask.  */
static int
ask_speed (struct gw *gw)
{
  struct gw_stage *stage = gw->stage;
  struct pool_runner *engine = next_to_ask (gw);
  const struct routing_service *service
      = engine != NULL && gw->table != NULL
            ? routing_service_find (gw->table, engine->entry.service)
            : NULL;
  GString *out;

  if (service == NULL || service->health_path == NULL)
    return 0;
  out = g_string_new (NULL);
  engine->asked_us = gw_now (gw);
  engine->calls++;
  stage->runner = engine;
  stage->asking = 1;
  stage->ordering = 0;
  gw->adapter->health_write (out, engine->entry.address, service->health_path);
  if (send_to_runner (gw, out) != 0)
    finish_order (gw, 0);
  g_string_free (out, TRUE);
  return 1;
}

static void
on_confirmed (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;
  struct gw_stage *stage = gw->stage;
  int64_t requested_at = stage->confirming ? stage->sent : 0;

  gw->counts.store_calls++;
  stage->confirming = 0;
  gw_sync_note_era (gw, reply->era);
  if (reply->rc != STORE_OK || reply->n_items == 0
      || fencing_token (reply->era, reply->items[0].created) != stage->token)
    return;
  stage->confirmed = MAX (
      requested_at, gw_now (gw) - gw_ms_to_us (CONFIRMATION_MAX_AGE_MS) / 2);
  step (gw);
}

/* Updates the average demand.  With MAY_ORDER it also selects the next change
   of stage.  Returns nonzero with RUNNER and TO set, or 0 when there is none.
 */
static int
next_change (struct gw *gw, int may_order, struct pool_runner **runner,
             enum pool_stage *to)
{
  struct gw_stage *stage = gw->stage;
  int64_t now = gw_now (gw);
  struct stageplan_view view = { 0 };
  struct gw_demand others = { 0, 0 };
  double capacity = 0;
  size_t i;

  if (stage->standby)
    others = gw_peers_demand (gw);

  view.share = gw->set.prefill_share;
  view.prefill_demand = stage->demand.prefill + others.prefill;
  view.decode_demand = stage->demand.decode + others.decode;
  for (i = 0; i < pool_count (gw->runner_pool); i++)
    {
      struct pool_runner *engine = pool_at (gw->runner_pool, i);
      enum pool_stage at = engine->entry.stage;
      double speed;
      if (at == POOL_STAGE_ANY || !engine->present || engine->leaving)
        continue;
      if (engine->ordered != POOL_STAGE_ANY
          && now - engine->ordered_us > gw_ms_to_us (STAGE_CHANGE_TIMEOUT_MS))
        {
          engine->ordered = POOL_STAGE_ANY;
          gw_peers_note_load (gw, engine);
        }
      if (pool_is_changing_stage (engine))
        {
          at = engine->ordered != POOL_STAGE_ANY ? engine->ordered
                                                 : engine->peer_ordered;
          view.changing++;
        }
      view.engines++;
      view.slots += (engine->entry.slots - view.slots) / view.engines;
      speed = gw->set.learn_speeds > 0 ? 1 / pace_steady (&engine->pace, now)
                                       : 1;
      capacity += speed;
      view.prefill += at == POOL_STAGE_PREFILL ? speed : 0;
      if (!pool_is_changing_stage (engine) && pool_usable (engine, now))
        *(engine->entry.stage == POOL_STAGE_PREFILL ? &view.prefill_now
                                                    : &view.decode_now)
            += 1;
    }
  if (capacity > 0)
    view.prefill *= view.engines / capacity;
  stageplan_update (&stage->plan, &view, now);
  if (!may_order || !stageplan_next (&stage->plan, &view, to))
    return 0;
  *runner
      = stageplan_pick (gw->runner_pool, *to, gw->set.learn_speeds > 0, now);
  return *runner != NULL;
}

static void
step (struct gw *gw)
{
  struct gw_stage *stage = gw->stage;
  int64_t now = gw_now (gw);
  struct pool_runner *runner;
  enum pool_stage to;
  int may_order;

  if (stage->runner != NULL)
    {
      if (now - stage->sent < gw_ms_to_us (ORDER_TIMEOUT_MS))
        return;
      http_client_cancel (gw->cli, stage->call);
      finish_order (gw, 1);
    }
  may_order = stage->token != 0 && !gw->stopping && now >= stage->aside_until
              && authority_token (&stage->authority, now) == stage->token;
  if (!next_change (gw, may_order, &runner, &to))
    return;
  if (gw->set.learn_speeds > 0 && ask_speed (gw))
    return;
  if (now - stage->confirmed > gw_ms_to_us (CONFIRMATION_MAX_AGE_MS) / 2)
    {
      if (stage->confirming)
        return;
      stage->confirming = 1;
      stage->sent = now;
      gw->store_api->get (gw->store_ctx, AUTHORITY_KEY, on_confirmed, gw);
      return;
    }
  order_start (gw, runner, to);
}

/* Updates the demand of this gateway's requests.  */
static void
update_demand (struct gw *gw)
{
  struct gw_stage *stage = gw->stage;
  size_t i;

  stage->demand.prefill += (stage->requested_us / (gw_ms_to_us (STEP_MS))
                            - stage->demand.prefill)
                           * STEP_MS / DEMAND_AVERAGE_MS;
  stage->requested_us = 0;
  stage->demand.decode = 0;
  for (i = 0; i < pool_count (gw->runner_pool); i++)
    {
      const struct pool_runner *engine = pool_at (gw->runner_pool, i);
      if (engine->entry.stage == POOL_STAGE_DECODE && engine->present)
        stage->demand.decode
            += (double)engine->calls / MAX (engine->entry.slots, 1u);
    }
  if (++stage->steps % DEMAND_STEPS == 0)
    gw_peers_set_demand (gw, &stage->demand);
}

static void
on_step (void *ctx, int64_t now)
{
  struct gw *gw = ctx;
  struct gw_stage *stage = gw->stage;
  struct authority_event event = { .kind = AUTHORITY_EV_TIME, .now_us = now };

  event.draw = random_id (gw);
  update_demand (gw);
  if (!gw->stopping && stage->rank_known && now >= stage->aside_until)
    auth_step (gw, &event);
  step (gw);
}

void
gw_stage_set_rank (struct gw *gw, size_t rank)
{
  enum
  {
    STANDBY_MAX = 3 /* gateways that take over quickly */
  };

  gw->stage->rank_known = 1;
  gw->stage->standby = rank < STANDBY_MAX;
  authority_rank_set (&gw->stage->authority, rank < STANDBY_MAX, rank,
                      STANDBY_MAX);
}

int
gw_stage_is_standby (const struct gw *gw)
{
  return gw->stage->standby;
}

uint64_t
gw_stage_token (const struct gw *gw)
{
  return gw->stage->token;
}

uint64_t
gw_stage_duty_token (const struct gw *gw)
{
  const struct gw_stage *stage = gw->stage;

  int64_t now = tmr_now (gw->tmr);

  if (gw->stopping || now < stage->aside_until
      || authority_token (&stage->authority, now) != stage->token)
    return 0;
  return stage->token;
}

/* A read of the leader's key for another part.  */
struct confirmation
{
  struct gw *gw;
  uint64_t token;
  void (*fn) (void *ctx, int confirmed);
  void *ctx;
};

static void
on_duty_confirmed (void *ctx, const struct store_reply *reply)
{
  struct confirmation *confirmation = ctx;
  struct gw *gw = confirmation->gw;

  gw->counts.store_calls++;
  gw_sync_note_era (gw, reply->era);
  confirmation->fn (confirmation->ctx,
                    reply->rc == STORE_OK && reply->n_items > 0
                        && fencing_token (reply->era, reply->items[0].created)
                               == confirmation->token);
  g_free (confirmation);
}

void
gw_stage_confirm (struct gw *gw, void (*fn) (void *ctx, int confirmed),
                  void *ctx)
{
  struct confirmation *confirmation = g_new0 (struct confirmation, 1);

  confirmation->gw = gw;
  confirmation->token = gw->stage->token;
  confirmation->fn = fn;
  confirmation->ctx = ctx;
  gw->store_api->get (gw->store_ctx, AUTHORITY_KEY, on_duty_confirmed,
                      confirmation);
}

void
gw_stage_hand_over (struct gw *gw, int64_t pause_us)
{
  gw->stage->aside_until = gw_now (gw) + pause_us;
  gw_stage_resign (gw);
}

void
gw_stage_note_demand (struct gw *gw, double read_us)
{
  gw->stage->requested_us += read_us;
}

static void
on_resigned (void *ctx, const struct store_reply *reply)
{
  struct gw *gw = ctx;

  gw->counts.store_calls++;
  event_log_write ("resigned", NULL, "\"outcome\":%d", reply->rc);
}

void
gw_stage_resign (struct gw *gw)
{
  uint64_t lease = gw->stage->authority.lease;

  /* In a later era the lease may be somebody else's.  */
  if (lease != 0 && gw->stage->lease_era == gw->store_era)
    gw->store_api->end (gw->store_ctx, lease, on_resigned, gw);
}

struct gw_stage *
gw_stage_new (struct gw *gw)
{
  /* The leader sends an order right after a read of the key, so a short lease
     is enough, and another gateway can take over soon.  */
  struct authority_times times = { .lease_us = gw_ms_to_us (4000),
                                   .renew_us = gw_ms_to_us (1000),
                                   .retry_us = gw_ms_to_us (300),
                                   .poll_us = gw_ms_to_us (1000),
                                   .margin_us = gw_ms_to_us (1000),
                                   .renew_after_expiry = 1 };
  struct gw_stage *stage = g_new0 (struct gw_stage, 1);

  gw->stage = stage;
  authority_init (&stage->authority, gw->set.node, gw_random (gw));
  times.wait_us
      = (int64_t)(gw->set.lease_ms * 1000) + gw_ms_to_us (HANDOVER_MARGIN_MS);
  authority_times_set (&stage->authority, &times);
  stageplan_init (&stage->plan);
  stage->body = g_string_new (NULL);
  tmr_add (gw->tmr, gw_ms_to_us (STEP_MS), gw_ms_to_us (STEP_MS), on_step, gw);
  return stage;
}
