#include "retry_window.h"

/* Part of the budget that is used.  The windows of the processes don't start
   at the same time, so the full parts could exceed the budget together.  */
static const double window_margin = 0.75;

/* Returns the index of the counter for NOW, after clearing an outdated one. */
static unsigned
slot_at (struct retry_window *retry_window,
         const struct retry_window_config *config, int64_t now)
{
  int64_t number = now / (config->window_us / RETRY_WINDOW_SLOTS);
  unsigned i = (unsigned)(number % RETRY_WINDOW_SLOTS);

  if (retry_window->slot[i] != number)
    {
      retry_window->slot[i] = number;
      retry_window->first_sends[i] = 0;
      retry_window->retries[i] = 0;
    }
  return i;
}

void
retry_window_note_request (struct retry_window *retry_window,
                           const struct retry_window_config *config,
                           int64_t now)
{
  retry_window->first_sends[slot_at (retry_window, config, now)]++;
}

int
retry_window_take (struct retry_window *retry_window,
                   const struct retry_window_config *config,
                   unsigned processes, int64_t now)
{
  unsigned at = slot_at (retry_window, config, now);
  int64_t oldest = retry_window->slot[at] - RETRY_WINDOW_SLOTS;
  double first_sends = 0;
  double retries = 1;
  unsigned i;

  for (i = 0; i < RETRY_WINDOW_SLOTS; i++)
    if (retry_window->slot[i] > oldest)
      {
        first_sends += retry_window->first_sends[i];
        retries += retry_window->retries[i];
      }
  if (retries > (first_sends * config->ratio
                 + config->slack / (processes > 0 ? processes : 1))
                    * window_margin)
    return 0;
  retry_window->retries[at]++;
  return 1;
}
