/* Authority over the engines, and orders that change their stages.  */
#include <string.h>

#include "gw.h"
#include "stgp.h"

#define AUTHORITY_KEY "authority/engines"

enum
{
  STEP_MS = 250,
  CONNECT_MS = 400,
  ORDER_MS = 1500,   /* an answer that takes longer counts as lost */
  QUIET_MS = 500,    /* beyond lease_ms, for delays of the last holder's */
  CONFIRM_MS = 400,  /* age of the read of the key that an order needs */
  ASKED_MS = 1000,   /* time constant of the prompts asked for */
  ORDERED_MS = 15000 /* a change that isn't done by then has failed */
};

struct gw_stage
{
  struct auth auth;
  int placed; /* among the gateways that are registered */
  uint64_t token;
  int64_t confirmed; /* start of the last read that showed our token */
  int confirming;
  double asked_us; /* engine time asked for since the last step */
  double reading;  /* decaying average, in engines */
  struct stgp_state plan;
  /* One order at a time.  */
  struct memb_runner *runner;
  enum memb_stage to;
  uint64_t call;
  int ordering; /* the order is out; before that the report is read */
  int64_t sent;
  int status;
  GString *body;
};

static void step (struct gw *gw);
static void auth_step (struct gw *gw, const struct auth_event *event);

struct auth_op
{
  struct gw *gw;
  uint64_t op;
  enum auth_event_kind kind;
};

static struct msg_id
draw (struct gw *gw)
{
  struct msg_id id;
  uint64_t bits[2] = { gw_random (gw), gw_random (gw) };

  memset (&id, 0, sizeof id);
  memcpy (&id, bits, MIN (sizeof id, sizeof bits));
  return id;
}

static int
result_of (enum stor_rc rc)
{
  switch (rc)
    {
    case STOR_OK:
      return 1;
    case STOR_ABSENT:
    case STOR_CONFLICT:
    case STOR_REFUSED:
      return 0;
    default:
      return -1;
    }
}

static void
on_auth_done (void *ctx, const struct stor_reply *reply)
{
  struct auth_op *op = ctx;
  struct gw *gw = op->gw;
  struct auth_record record;
  struct auth_event event
      = { .kind = op->kind, .now_us = gw_now (gw), .op = op->op };

  gw->counts.store_calls++;
  event.rc = result_of (reply->rc);
  event.draw = draw (gw);
  event.lease = reply->lease;
  event.revision = reply->revision;
  if (op->kind == AUTH_EV_GRANTED)
    event.rc = reply->rc == STOR_OK ? 0 : -1;
  else if (reply->rc == STOR_REFUSED)
    event.rc = -1;
  if (op->kind == AUTH_EV_READ && reply->rc == STOR_OK && reply->n_items > 0)
    {
      event.revision = reply->items[0].created;
      if (auth_record_decode (reply->items[0].value, reply->items[0].size,
                              &record, NULL)
          == 0)
        event.record = &record;
    }
  g_free (op);
  auth_step (gw, &event);
}

static void
auth_do (struct gw *gw, const struct auth_action *action)
{
  struct auth_op *op = g_new0 (struct auth_op, 1);
  char record[AUTH_RECORD_MAX];
  int n;

  op->gw = gw;
  op->op = action->op;
  switch (action->kind)
    {
    case AUTH_DO_READ:
      op->kind = AUTH_EV_READ;
      gw->stor->get (gw->stor_ctx, AUTHORITY_KEY, on_auth_done, op);
      return;
    case AUTH_DO_GRANT:
      op->kind = AUTH_EV_GRANTED;
      gw->stor->grant (gw->stor_ctx, gw->stage->auth.times.lease_us / 1000,
                       on_auth_done, op);
      return;
    case AUTH_DO_CAS:
      op->kind = AUTH_EV_CAS;
      n = auth_record_encode (&action->record, record, sizeof record, NULL);
      gw->stor->put (gw->stor_ctx, AUTHORITY_KEY, 0, record,
                     (size_t)MAX (n, 0), action->lease, on_auth_done, op);
      return;
    case AUTH_DO_RENEW:
      op->kind = AUTH_EV_RENEWED;
      gw->stor->renew (gw->stor_ctx, action->lease, on_auth_done, op);
      return;
    default:
      g_free (op);
      return;
    }
}

static void
auth_step (struct gw *gw, const struct auth_event *event)
{
  struct gw_stage *stage = gw->stage;
  struct auth_action action;
  uint64_t token;

  auth_handle (&stage->auth, event, &action);
  token = auth_token (&stage->auth, gw_now (gw));
  if (token != stage->token)
    {
      jlog ("authority", NULL,
            "\"token\":%" G_GUINT64_FORMAT ",\"before\":%" G_GUINT64_FORMAT,
            token, stage->token);
      stage->token = token;
      stage->confirmed = 0;
    }
  auth_do (gw, &action);
}

static enum hcli_take
on_head (void *ctx, const struct hhead *head)
{
  struct gw *gw = ctx;

  gw->stage->status = head->status;
  g_string_truncate (gw->stage->body, 0);
  return HCLI_TAKE;
}

static void
on_body (void *ctx, const char *data, size_t size)
{
  struct gw *gw = ctx;

  g_string_append_len (gw->stage->body, data, (gssize)size);
}

/* Ends an order.  One that was sent and for which there is no answer may still
   be carried out, like one that was taken: POSSIBLE.  */
static void
order_over (struct gw *gw, int possible)
{
  struct gw_stage *stage = gw->stage;

  if (stage->ordering && possible)
    {
      stage->runner->ordered = stage->to;
      stage->runner->ordered_us = gw_now (gw);
    }
  stage->runner->calls--;
  stage->runner = NULL;
  stage->call = 0;
}

static int send_to_runner (struct gw *gw, const GString *request);

static void
on_done (void *ctx, enum hcli_end end)
{
  struct gw *gw = ctx;
  struct gw_stage *stage = gw->stage;
  struct adp_order order = { stage->to, gw->set.node, stage->token, -1 };
  struct adp_report report;
  GString *out;
  int64_t now = gw_now (gw);

  stage->call = 0;
  if (stage->ordering || end != HCLI_WHOLE || stage->status != 200
      || gw->adp->report_read (stage->body->str, stage->body->len, &report)
             != 0
      || report.busy || report.stage == stage->to
      || auth_token (&stage->auth, now) != stage->token
      || now - stage->confirmed > gw_ms (CONFIRM_MS))
    {
      if (stage->ordering)
        jlog ("order", NULL,
              "\"runner\":\"%s\",\"to\":%d,\"fence\":%" G_GUINT64_FORMAT
              ",\"status\":%d,\"end\":%d",
              stage->runner->entry.id, stage->to, stage->token, stage->status,
              end);
      order_over (gw, end == HCLI_BROKEN
                          || (end == HCLI_WHOLE && stage->status == 202));
      return;
    }
  order.orders = report.orders;
  out = g_string_new (NULL);
  gw->adp->order_write (out, stage->runner->entry.address,
                        stage->runner->entry.id, &order);
  stage->ordering = 1;
  stage->status = 0;
  if (send_to_runner (gw, out) != 0)
    order_over (gw, 0);
  g_string_free (out, TRUE);
}

static int
send_to_runner (struct gw *gw, const GString *request)
{
  static const struct hcli_ops ops = { on_head, on_body, on_done };
  struct gw_stage *stage = gw->stage;

  stage->sent = gw_now (gw);
  stage->call
      = hcli_call (gw->cli, stage->runner->entry.address, stage->runner->peer,
                   request->str, request->len, CONNECT_MS, 0, &ops, gw);
  return stage->call != 0 ? 0 : -1;
}

static void
order_start (struct gw *gw, struct memb_runner *runner, enum memb_stage to)
{
  struct gw_stage *stage = gw->stage;
  GString *out = g_string_new (NULL);

  stage->runner = runner;
  stage->to = to;
  stage->ordering = 0;
  stage->status = 0;
  runner->calls++;
  gw->adp->report_write (out, runner->entry.address);
  if (send_to_runner (gw, out) != 0)
    order_over (gw, 0);
  g_string_free (out, TRUE);
}

static void
on_confirmed (void *ctx, const struct stor_reply *reply)
{
  struct gw *gw = ctx;
  struct gw_stage *stage = gw->stage;
  int64_t asked = stage->confirming ? stage->sent : 0;

  gw->counts.store_calls++;
  stage->confirming = 0;
  if (reply->rc != STOR_OK || reply->n_items == 0
      || reply->items[0].created != stage->token)
    return;
  stage->confirmed = MAX (asked, gw_now (gw) - gw_ms (CONFIRM_MS) / 2);
  step (gw);
}

/* Notes the demand and decides on the next change.  Returns 0 when there is
   none.  */
static int
next_change (struct gw *gw, int may_order, struct memb_runner **runner,
             enum memb_stage *to)
{
  struct gw_stage *stage = gw->stage;
  int64_t now = gw_now (gw);
  struct stgp_view view = { 0 };
  size_t i;

  view.share = gw->set.prefill_share;
  view.reading = stage->reading + gw_share_reading (gw);
  for (i = 0; i < memb_count (gw->memb); i++)
    {
      struct memb_runner *one = memb_at (gw->memb, i);
      enum memb_stage at = one->entry.stage;
      if (at == MEMB_STAGE_ANY || !one->present || one->leaving)
        continue;
      if (one->ordered != MEMB_STAGE_ANY
          && now - one->ordered_us > gw_ms (ORDERED_MS))
        one->ordered = MEMB_STAGE_ANY;
      if (memb_changing (one))
        {
          at = one->ordered != MEMB_STAGE_ANY ? one->ordered
                                              : one->others_ordered;
          view.changing++;
        }
      view.engines++;
      view.slots += (one->entry.slots - view.slots) / view.engines;
      view.prefill += at == MEMB_STAGE_PREFILL;
      if (!memb_changing (one) && memb_usable (one, now))
        *(one->entry.stage == MEMB_STAGE_PREFILL ? &view.prefill_now
                                                 : &view.decode_now)
            += 1;
      if (one->entry.stage == MEMB_STAGE_DECODE)
        view.generating += memb_load (one, now) / MAX (one->entry.slots, 1u);
    }
  stgp_see (&stage->plan, &view, now);
  if (!may_order || !stgp_next (&stage->plan, &view, to))
    return 0;
  *runner = stgp_pick (gw->memb, *to);
  return *runner != NULL;
}

static void
step (struct gw *gw)
{
  struct gw_stage *stage = gw->stage;
  int64_t now = gw_now (gw);
  struct memb_runner *runner;
  enum memb_stage to;
  int may_order;

  if (stage->runner != NULL)
    {
      if (now - stage->sent < gw_ms (ORDER_MS))
        return;
      hcli_cancel (gw->cli, stage->call);
      order_over (gw, 1);
    }
  may_order = stage->token != 0 && !gw->stopping
              && auth_token (&stage->auth, now) == stage->token;
  if (!next_change (gw, may_order, &runner, &to))
    return;
  if (now - stage->confirmed > gw_ms (CONFIRM_MS) / 2)
    {
      if (stage->confirming)
        return;
      stage->confirming = 1;
      stage->sent = now;
      gw->stor->get (gw->stor_ctx, AUTHORITY_KEY, on_confirmed, gw);
      return;
    }
  order_start (gw, runner, to);
}

static void
on_step (void *ctx, int64_t now)
{
  struct gw *gw = ctx;
  struct gw_stage *stage = gw->stage;
  struct auth_event event = { .kind = AUTH_EV_TIME, .now_us = now };

  event.draw = draw (gw);
  stage->reading += (stage->asked_us / (gw_ms (STEP_MS)) - stage->reading)
                    * STEP_MS / ASKED_MS;
  stage->asked_us = 0;
  if (!gw->stopping && stage->placed)
    auth_step (gw, &event);
  step (gw);
}

void
gw_stage_place (struct gw *gw, size_t place)
{
  enum
  {
    NEAR = 3 /* gateways that are quick to take over */
  };

  gw->stage->placed = 1;
  auth_stand_set (&gw->stage->auth, place < NEAR, place, NEAR);
}

void
gw_stage_demand (struct gw *gw, double unread)
{
  gw->stage->asked_us += plc_speed_default.prompt_us
                         + unread / plc_speed_default.read_tokens_per_us;
}

double
gw_stage_reading (const struct gw *gw)
{
  return gw->stage->reading;
}

static void
on_resigned (void *ctx, const struct stor_reply *reply)
{
  struct gw *gw = ctx;

  gw->counts.store_calls++;
  jlog ("resigned", NULL, "\"outcome\":%d", reply->rc);
}

void
gw_stage_resign (struct gw *gw)
{
  uint64_t lease = gw->stage->auth.lease;

  if (lease != 0)
    gw->stor->end (gw->stor_ctx, lease, on_resigned, gw);
}

struct gw_stage *
gw_stage_new (struct gw *gw)
{
  /* An order leaves the holder right after a read of the key, so it needs
     little of the lease; a short lease lets another one follow soon.  */
  struct auth_times times = { .lease_us = gw_ms (4000),
                              .renew_us = gw_ms (1000),
                              .retry_us = gw_ms (300),
                              .poll_us = gw_ms (1000),
                              .margin_us = gw_ms (1000),
                              .keeps = 1 };
  struct gw_stage *stage = g_new0 (struct gw_stage, 1);

  gw->stage = stage;
  auth_init (&stage->auth, gw->set.node, gw_random (gw));
  times.wait_us = (int64_t)(gw->set.lease_ms * 1000) + gw_ms (QUIET_MS);
  auth_times_set (&stage->auth, &times);
  stgp_init (&stage->plan);
  stage->body = g_string_new (NULL);
  tmr_add (gw->tmr, gw_ms (STEP_MS), gw_ms (STEP_MS), on_step, gw);
  return stage;
}
