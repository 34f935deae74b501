#include "reqstate.h"

void
reqstate_apply (struct reqstate *reqstate, enum reqstate_event event)
{
  switch (event)
    {
    case REQSTATE_EV_SEND:
      reqstate->sends++;
      reqstate->uncertain++;
      if (reqstate->state < REQSTATE_SENT)
        reqstate->state = REQSTATE_SENT;
      break;
    case REQSTATE_EV_UNREACHED:
      reqstate->sends--;
      /* fall through */
    case REQSTATE_EV_NOT_RUN:
      reqstate->uncertain--;
      if (reqstate->uncertain == 0 && reqstate->state == REQSTATE_SENT)
        reqstate->state = REQSTATE_UNSENT;
      break;
    case REQSTATE_EV_LOST:
      break;
    case REQSTATE_EV_START:
      reqstate->state = REQSTATE_STARTED;
      break;
    case REQSTATE_EV_DONE:
      reqstate->state = REQSTATE_DONE;
      break;
    }
}

int
reqstate_status (const struct reqstate *reqstate, int time_over)
{
  if (reqstate->state >= REQSTATE_STARTED)
    return 0;
  if (reqstate->uncertain == 0)
    return 503;
  return time_over ? 504 : 502;
}

int
reqstate_may_retry (const struct reqstate *reqstate, int idempotent,
                    unsigned attempts)
{
  return reqstate->state != REQSTATE_DONE && reqstate->sends < attempts
         && (idempotent
             || (reqstate->uncertain == 0
                 && reqstate->state < REQSTATE_STARTED));
}
