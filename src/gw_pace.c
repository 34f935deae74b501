/* What the answers of runners show of their speeds.  */
#include "gw_call.h"

void
gw_pace_note_send (struct gw_call *call, const struct lb_choice *choice,
                   int fetches)
{
  call->queued_tokens = choice->uncached_tokens;
  call->read_tokens = choice->uncached_tokens;
  call->queue_us = choice->queue_us;
  call->before_us = choice->before_us;
  call->read_us = choice->read_us;
  call->fetches = fetches;
}

void
gw_pace_note_head (struct gw_call *call)
{
  struct pool_runner *runner = call->runner;

  if (call->phase != ADAPTER_RELAY && call->answer.has_load)
    pace_note_told (&runner->pace, runner->service_pace, call->answer.pace,
                    gw_now (call->gw));
}

void
gw_pace_note_read (struct gw_call *call)
{
  struct pool_runner *runner = call->runner;
  int64_t now = gw_now (call->gw);
  double took = (double)(now - call->sent);

  pace_note_wait (runner->service_pace, call->route->priority, call->before_us,
                  took - call->read_us);
  /* The expected delay is too rough to be much of the time.  */
  if (call->queue_us < took / 4)
    pace_note (&runner->pace, runner->service_pace, PACE_READ,
               call->read_tokens, (int64_t)(took - call->queue_us), now);
}

void
gw_pace_note_event (struct gw_call *call)
{
  struct pool_runner *runner = call->runner;
  int64_t now = gw_now (call->gw);
  double load = pool_load (runner, now);

  if (call->event_us != 0)
    call->pause_us = MAX (call->pause_us, now - call->event_us);
  if (call->phase == ADAPTER_WHOLE && call->first_event != 0)
    pace_note (&runner->pace, runner->service_pace, PACE_EVENT, load,
               now - call->event_us, now);
  else if (call->phase == ADAPTER_WHOLE && call->fetches
           && call->queue_us <= 0)
    pace_note (&runner->pace, runner->service_pace, PACE_FIRST, load,
               now - call->sent, now);
  call->event_us = now;
}

int
gw_pace_refuses (struct gw_call *call, const struct lb_choice *choice,
                 double limit)
{
  struct pace_service *service = choice->runner->service_pace;

  if (call->gw->set.learn_speeds <= 0)
    return lb_exceeds_limit (choice, limit);
  pace_note_pressure (service, choice->queue_us / MAX (limit, 1.0));
  return lb_exceeds_limit (choice, limit * pace_leniency (service));
}

void
gw_pace_note_answer (struct gw_call *call)
{
  struct gw *gw = call->gw;
  struct pool_runner *runner = call->runner;
  int64_t now = gw_now (gw);

  pool_note_answer (runner, now - call->sent, now);
  if (call->route->gap_ms > 0 && call->event_us != 0)
    {
      gw->counts.streams++;
      gw->counts.streams_paused
          += call->pause_us > gw_ms_to_us (call->route->gap_ms);
    }
  if (call->phase != ADAPTER_WHOLE || call->answer.status >= 300)
    return;
  if (call->service != NULL && !call->service->is_engine)
    pace_note_call (&runner->pace, runner->service_pace,
                    pool_load (runner, now) + 1, MAX (runner->entry.slots, 1U),
                    now - call->sent, now);
}

void
gw_pace_metrics (const struct gw *gw, GString *out)
{
  int64_t now = tmr_now (gw->tmr);
  size_t i;

  for (i = 0; i < pool_count (gw->runner_pool); i++)
    {
      const struct pool_runner *runner = pool_at (gw->runner_pool, i);
      if (!runner->present)
        continue;
      g_string_append_printf (
          out,
          "goldcresthatch_runner_slowness{runner=\"%s\"} %.3f\n"
          "goldcresthatch_runner_calls_limit{runner=\"%s\"} %.1f\n",
          runner->entry.id, pace_steady (&runner->pace, now), runner->entry.id,
          pace_calls (&runner->pace, runner->entry.slots));
    }
}
