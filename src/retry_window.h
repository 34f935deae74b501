#ifndef RETRY_WINDOW_H
#define RETRY_WINDOW_H
/*
 * NAME
 *   retry_window - one process's part of the retry budget of a service
 *
 * DESCRIPTION
 *   All processes together may retry RATIO of a service's requests in a
 *   window, and SLACK requests beyond that.  Each process uses the ratio of
 *   its own requests and an equal part of the slack, so they need no messages.
 *   A process that can't find out how many others there are keeps its last
 *   part.  No input or output; times are in microseconds.
 */
#include <stdint.h>

enum
{
  RETRY_WINDOW_SLOTS = 20 /* counters in a sliding window */
};

struct retry_window_config
{
  double ratio;
  double slack;
  int64_t window_us;
};

struct retry_window
{
  int64_t
      slot[RETRY_WINDOW_SLOTS]; /* number of the interval that is counted */
  uint32_t first_sends[RETRY_WINDOW_SLOTS]; /* first sends */
  uint32_t retries[RETRY_WINDOW_SLOTS];
};

/* Notes the first send of a request.  */
void retry_window_note_request (struct retry_window *retry_window,
                                const struct retry_window_config *config,
                                int64_t now);

/* Takes one retry from the part of this process, one of PROCESSES.  Returns 1,
   or 0 when the window has none left.  */
int retry_window_take (struct retry_window *retry_window,
                       const struct retry_window_config *config,
                       unsigned processes, int64_t now);
#endif
