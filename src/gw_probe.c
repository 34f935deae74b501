/* Detection of runners that have become unreachable during a request.

   A runner whose machine fails without a word leaves its connections open.  A
   request there would wait until its deadline, and so would those that follow
   on other idle connections.  Silence alone says nothing, since the runner may
   only be slow.  The gateway therefore opens a new connection: the kernel of a
   machine that is up accepts it, however slow the runner is.  */
#include "goldcresthatch/settings.h"
#include "gw_call.h"

enum
{
  SILENCE_MS = 300, /* beyond the expected time of the first byte */
  CONNECT_MS = 400  /* many times the latency between two zones */
};

struct probe
{
  struct gw *gw;
  struct pool_runner *runner;
  int64_t started;
  uv_tcp_t tcp;
  uv_connect_t connect;
  uint64_t timer;
};

static void
on_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
probe_end (struct probe *probe, enum gw_probe_result result)
{
  struct gw *gw = probe->gw;
  struct pool_runner *runner = probe->runner;
  int64_t started = probe->started;
  int64_t now = gw_now (gw);

  tmr_cancel (gw->tmr, probe->timer);
  runner->references--;
  runner->probing = 0;
  if (result != GW_PROBE_ACCEPTED)
    {
      event_log_write ("unreachable", NULL, "\"runner\":\"%s\"",
                       runner->entry.id);
      runner->unreachable_us = now;
      pool_note_failure (runner, POOL_UNREACHABLE, now);
      http_client_close_idle (gw->cli, runner->peer);
    }
  probe->runner = NULL;
  uv_close ((uv_handle_t *)&probe->tcp, on_closed);
  gw_fate_note_probe (gw, runner, started, result);
}

static void
on_connect (uv_connect_t *connect, int status)
{
  struct probe *probe = connect->data;

  if (probe->runner == NULL)
    return;
  if (status == 0)
    probe_end (probe, GW_PROBE_ACCEPTED);
  else
    probe_end (probe,
               status == UV_ECONNREFUSED ? GW_PROBE_REFUSED : GW_PROBE_SILENT);
}

static void
on_probe_time (void *ctx, int64_t now)
{
  (void)now;
  probe_end (ctx, GW_PROBE_SILENT);
}

void
gw_probe_runner (struct gw *gw, struct pool_runner *runner)
{
  struct sockaddr_in address;
  struct probe *probe;

  if (runner->probing
      || settings_parse_address (runner->entry.address, &address) != 0)
    return;
  probe = g_new0 (struct probe, 1);
  probe->gw = gw;
  probe->runner = runner;
  probe->started = gw_now (gw);
  runner->probing = 1;
  runner->references++;
  uv_tcp_init (&gw->loop, &probe->tcp);
  probe->tcp.data = probe;
  probe->connect.data = probe;
  probe->timer
      = tmr_add (gw->tmr, gw_ms_to_us (CONNECT_MS), 0, on_probe_time, probe);
  if (uv_tcp_connect (&probe->connect, &probe->tcp,
                      (struct sockaddr *)&address, on_connect)
      != 0)
    probe_end (probe, GW_PROBE_SILENT);
}

static void
on_silence (void *ctx, int64_t now)
{
  struct gw_call *call = ctx;
  struct gw *gw = call->gw;

  call->silence_timer = 0;
  if (call->runner->unreachable_us > call->sent)
    {
      gw_send_break (call);
      return;
    }
  gw_probe_runner (gw, call->runner);
  if (now < call->deadline)
    call->silence_timer = tmr_add (gw->tmr, gw_ms_to_us (CONNECT_MS) + 1000, 0,
                                   on_silence, call);
}

void
gw_probe_watch (struct gw_call *call, double first_byte_us)
{
  call->silence_timer = tmr_add (
      call->gw->tmr, gw_ms_to_us (SILENCE_MS) + (int64_t)(2 * first_byte_us),
      0, on_silence, call);
}

void
gw_probe_unwatch (struct gw_call *call)
{
  if (call->silence_timer != 0)
    tmr_cancel (call->gw->tmr, call->silence_timer);
  call->silence_timer = 0;
}
