#include "outc.h"

void
outc_apply (struct outc *outc, enum outc_event event)
{
  switch (event)
    {
    case OUTC_EV_SEND:
      outc->sends++;
      outc->uncertain++;
      if (outc->state < OUTC_SENT)
        outc->state = OUTC_SENT;
      break;
    case OUTC_EV_UNREACHED:
      outc->sends--;
      /* fall through */
    case OUTC_EV_NOT_RUN:
      outc->uncertain--;
      if (outc->uncertain == 0 && outc->state == OUTC_SENT)
        outc->state = OUTC_UNSENT;
      break;
    case OUTC_EV_LOST:
      break;
    case OUTC_EV_START:
      outc->state = OUTC_STARTED;
      break;
    case OUTC_EV_DONE:
      outc->state = OUTC_DONE;
      break;
    }
}

int
outc_status (const struct outc *outc, int time_over)
{
  if (outc->state >= OUTC_STARTED)
    return 0;
  if (outc->uncertain == 0)
    return 503;
  return time_over ? 504 : 502;
}

int
outc_may_repeat (const struct outc *outc, int idempotent, unsigned attempts)
{
  return outc->state != OUTC_DONE && outc->sends < attempts
         && (idempotent
             || (outc->uncertain == 0 && outc->state < OUTC_STARTED));
}
