#ifndef SBUD_H
#define SBUD_H
/*
 * NAME
 *   sbud - one process's part of a service's budget of repeated sends
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
  SBUD_SLOTS = 20 /* parts of a window that are counted apart */
};

struct sbud_config
{
  double ratio;
  double slack;
  int64_t window_us;
};

struct sbud
{
  int64_t slot[SBUD_SLOTS]; /* number of the part that is counted */
  uint32_t firsts[SBUD_SLOTS];
  uint32_t repeats[SBUD_SLOTS];
};

/* Notes the first send of a request.  */
void sbud_first (struct sbud *sbud, const struct sbud_config *config,
                 int64_t now);

/* Takes one repeated send from the part of this process, one of PROCESSES.
   Returns 1, or 0 when the window has none left.  */
int sbud_take (struct sbud *sbud, const struct sbud_config *config,
               unsigned processes, int64_t now);
#endif
