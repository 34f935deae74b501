#include "agent.h"

#include <string.h>

void
agent_trace_queued (struct agent_job *job)
{
  job->trace.queue_start_us = g_get_real_time ();
}

void
agent_trace_started (struct agent_job *job)
{
  struct span_ctx parent;
  struct span run;
  int known = span_parse_traceparent (job->traceparent,
                                      strlen (job->traceparent), &parent, NULL)
              == 0;

  job->trace.run_start_us = g_get_real_time ();
  span_start (&run, known ? &parent : NULL, SPAN_CLIENT, "run",
              job->trace.run_start_us);
  memcpy (&job->trace.run_span, run.ctx.id, SPAN_ID_BYTES);
  span_format_traceparent (&run.ctx, job->trace.parent);
}

void
agent_trace_end (const struct agent_job *job, struct msg_end *end)
{
  end->queue_start_us = (uint64_t)job->trace.queue_start_us;
  end->run_start_us = (uint64_t)job->trace.run_start_us;
  end->end_us = (uint64_t)g_get_real_time ();
  end->run_span = job->trace.run_span;
}
