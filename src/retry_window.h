#ifndef RETRY_WINDOW_H
#define RETRY_WINDOW_H
/*
 * NAME
 *   retry_window - one process's part of a service's budget of repeated sends
 *
 * DESCRIPTION
 *   All processes together may send RATIO of a service's requests in a window
 *   once more, and SLACK beyond that.  Each keeps to the ratio of the requests
 *   that it has seen itself and to an equal part of the slack, so they need no
 *   messages.  A process that doesn't know how many others there are keeps to
 *   the part it last had.  Pure; times are in microseconds.
 */
#include <stdint.h>

enum
{
  RETRY_WINDOW_SLOTS = 20 /* parts of a window that are counted apart */
};

struct retry_window_config
{
  double ratio;
  double slack;
  int64_t window_us;
};

struct retry_window
{
  int64_t slot[RETRY_WINDOW_SLOTS]; /* number of the part that is counted */
  uint32_t firsts[RETRY_WINDOW_SLOTS];
  uint32_t repeats[RETRY_WINDOW_SLOTS];
};

/* Notes the first send of a request.  */
void retry_window_note_request (struct retry_window *retry_window,
                                const struct retry_window_config *config,
                                int64_t now);

/* Takes one repeated send from the part of this process, one of PROCESSES.
   Returns 1, or 0 when the window has none left.  */
int retry_window_take (struct retry_window *retry_window,
                       const struct retry_window_config *config,
                       unsigned processes, int64_t now);
#endif
