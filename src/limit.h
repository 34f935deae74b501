#ifndef LIMIT_H
#define LIMIT_H
/*
 * NAME
 *   limit - limit that a runner names on its requests from all gateways
 *
 * DESCRIPTION
 *   A runner in need names in its answers how many requests a second it takes
 *   from all gateways together.  Each gateway counts its own sends within a
 *   sliding window and learns the sum of the others' from them, so a gateway
 *   with many clients can use what others leave.  While that sum is older than
 *   LIMIT_OTHERS_MAX_AGE_US, each gateway keeps to an equal part.
 *
 *   A limit holds as long as answers name it; one without it ends the limit
 *   LIMIT_HOLD_US after the last answer that named it, since not all kinds of
 *   answers may.  A limit of less than one request in the longest window
 * allows one, as only answers can tell that it has ended.  No input or output;
 * times are in microseconds.
 */
#include <stdint.h>

#define LIMIT_SLOT_US INT64_C (100000)
#define LIMIT_HOLD_US INT64_C (2000000)
#define LIMIT_OTHERS_MAX_AGE_US INT64_C (1000000)

enum
{
  LIMIT_SLOTS = 40 /* of the longest window */
};

struct limit
{
  double per_s;
  int64_t named_us;            /* last answer that named it; 0: none */
  int64_t unnamed_us;          /* last answer that did not */
  uint16_t sends[LIMIT_SLOTS]; /* ring of counters */
  int64_t slot;                /* number of the latest counter in use */
  unsigned others;             /* sends of the other gateways */
  int64_t others_us;           /* when they were told; 0: never */
  /* What limit_changed has reported last.  */
  int told;
  double told_per_s;
};

/* Notes an answer of the runner.  NAMED: it names PER_S.  */
void limit_note_answer (struct limit *limit, int named, double per_s,
                        int64_t now);
/* Notes a request sent to the runner.  */
void limit_note_send (struct limit *limit, int64_t now);
/* Notes the sum of the other gateways' limit_sends.  */
void limit_note_others (struct limit *limit, unsigned sends, int64_t now);

int limit_in_force (const struct limit *limit, int64_t now);
/* Returns the sends of this gateway within the window.  */
unsigned limit_sends (const struct limit *limit, int64_t now);
/* Returns nonzero when a request may be sent now.  GATEWAYS is the number of
   gateways, this one included.  */
int limit_allows (const struct limit *limit, unsigned gateways, int64_t now);
/* Returns nonzero when the limit has begun, ended or changed by a quarter
   since the last call that returned so.  */
int limit_changed (struct limit *limit, int64_t now);
#endif
