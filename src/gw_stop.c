/* Graceful shutdown of the gateway.  */
#include "gw_stop.h"

enum
{
  /* The external load balancer removes a process after two failed health
     checks, one second apart.  */
  DRAIN_NOTICE_MS = 2600,
  EXIT_MARGIN_MS = 700, /* exit this long before the grace period ends */
  STEP_MS = 50          /* between two looks at what is in progress */
};

struct gw_stop
{
  void (*ended) (void *ctx);
  void *ctx;
  int64_t exit_at;      /* when the process exits at the latest */
  int64_t notice_until; /* the load balancer may send new clients until then */
};

int
gw_stop_takes (struct gw *gw, int64_t deadline)
{
  return !gw->stopping || gw_now (gw) < gw->stop->notice_until
         || deadline <= gw->stop->exit_at;
}

static void
on_step (void *ctx, int64_t now)
{
  struct gw *gw = ctx;
  struct gw_stop *stop = gw->stop;
  size_t open = 0;
  int i;

  if (now >= stop->exit_at)
    stop->ended (stop->ctx);
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
  struct gw_stop *stop;
  int i;

  if (gw->stopping)
    return;
  stop = g_new0 (struct gw_stop, 1);
  stop->ended = ended;
  stop->ctx = ctx;
  stop->exit_at
      = gw_now (gw) + gw_ms_to_us (gw->set.grace_ms - EXIT_MARGIN_MS);
  stop->notice_until = gw_now (gw) + gw_ms_to_us (DRAIN_NOTICE_MS);
  gw->stop = stop;
  gw->stopping = 1;
  gw_sync_withdraw (gw);
  gw_stage_resign (gw);
  event_log_write ("stopping", NULL, "\"active\":%zu", gw->active);
  for (i = 0; i < GW_LISTENER_MAX; i++)
    if (gw->request_listeners[i].srv != NULL)
      http_server_drain (gw->request_listeners[i].srv);
  tmr_add (gw->tmr, gw_ms_to_us (STEP_MS), gw_ms_to_us (STEP_MS), on_step, gw);
}
