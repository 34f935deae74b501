/* Graceful shutdown of the gateway.  */
#include "gw_stop.h"
#include "gw_call.h"

enum
{
  /* The external load balancer removes a process after two failed health
     checks, one second apart.  */
  DRAIN_NOTICE_MS = 2600,
  /* Of the grace period, in which requests are taken whatever their time.  */
  TAKE_PART = 3,
  /* Time to write the last answers: this much, or this part of a short grace
     period.  */
  LAST_ANSWERS_MS = 700,
  LAST_ANSWERS_PART = 8,
  STEP_MS = 50 /* between two looks at what is in progress */
};

struct gw_stop
{
  void (*ended) (void *ctx);
  void *ctx;
  int64_t notice_until; /* the load balancer may send new clients until then */
  int64_t take_until;
  int64_t answer_at; /* when the requests in progress are answered */
  int64_t exit_at;   /* when the process exits at the latest */
};

int
gw_stop_takes (struct gw *gw, int64_t answered_by, int once)
{
  return !gw->stopping || answered_by <= gw->stop->answer_at
         || (!once && gw_now (gw) < gw->stop->take_until);
}

/* Answers the requests in progress.  */
static void
answer_rest (struct gw *gw)
{
  GHashTableIter iter;
  gpointer call;
  int i;

  for (i = 0; i < GW_LISTENER_MAX; i++)
    {
      GHashTable *calls = gw->request_listeners[i].calls;

      if (gw->request_listeners[i].srv == NULL)
        continue;
      /* A call that ends leaves the table.  */
      while (g_hash_table_size (calls) > 0)
        {
          g_hash_table_iter_init (&iter, calls);
          g_hash_table_iter_next (&iter, NULL, &call);
          gw_call_fail (call, 0, "stopping");
        }
    }
}

static void
on_answer_time (void *ctx, int64_t now)
{
  struct gw *gw = ctx;

  (void)now;
  event_log_write ("stop_answers", NULL, "\"active\":%zu", gw->active);
  answer_rest (gw);
}

static void
on_exit_time (void *ctx, int64_t now)
{
  const struct gw *gw = ctx;

  (void)now;
  gw->stop->ended (gw->stop->ctx);
}

static void
on_step (void *ctx, int64_t now)
{
  struct gw *gw = ctx;
  struct gw_stop *stop = gw->stop;
  size_t open = 0;
  int i;

  if (now < stop->notice_until)
    return;
  for (i = 0; i < GW_LISTENER_MAX; i++)
    if (gw->request_listeners[i].srv != NULL)
      {
        http_server_close_idle (gw->request_listeners[i].srv);
        open += http_server_connections (gw->request_listeners[i].srv);
      }
  if (gw->active == 0 && open == 0)
    stop->ended (stop->ctx);
}

void
gw_stop_begin (struct gw *gw, void (*ended) (void *ctx), void *ctx)
{
  int64_t now = gw_now (gw);
  int64_t grace_ms = (int64_t)gw->set.grace_ms;
  int64_t last_ms = MIN (LAST_ANSWERS_MS, grace_ms / LAST_ANSWERS_PART);
  struct gw_stop *stop;
  int i;

  if (gw->stopping)
    return;
  stop = g_new0 (struct gw_stop, 1);
  stop->ended = ended;
  stop->ctx = ctx;
  stop->answer_at = now + gw_ms_to_us (grace_ms - last_ms);
  stop->exit_at = now + gw_ms_to_us (grace_ms - last_ms / 2);
  stop->notice_until
      = MIN (now + gw_ms_to_us (DRAIN_NOTICE_MS), stop->answer_at);
  stop->take_until
      = MIN (stop->notice_until, now + gw_ms_to_us (grace_ms / TAKE_PART));
  gw->stop = stop;
  gw->stopping = 1;
  gw_sync_withdraw (gw);
  gw_stage_resign (gw);
  gw_usage_flush (gw);
  event_log_write ("stopping", NULL, "\"active\":%zu", gw->active);
  for (i = 0; i < GW_LISTENER_MAX; i++)
    if (gw->request_listeners[i].srv != NULL)
      http_server_drain (gw->request_listeners[i].srv);
  tmr_add (gw->tmr, gw_ms_to_us (STEP_MS), gw_ms_to_us (STEP_MS), on_step, gw);
  tmr_add (gw->tmr, stop->answer_at - now, 0, on_answer_time, gw);
  tmr_add (gw->tmr, stop->exit_at - now, 0, on_exit_time, gw);
}
