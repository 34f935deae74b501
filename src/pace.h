#ifndef PACE_H
#define PACE_H
/*
 * NAME
 *   pace - how long work takes at a runner, learnt from its answers
 *
 * DESCRIPTION
 *   Work of one kind takes OVERHEAD + UNIT * SIZE at an average runner of its
 *   service, and a multiple of that, its factor, at a given runner.  The line
 *   is fitted to the measured times of all the service's runners by least
 *   squares in which older times count less.  It begins with a prior, which
 *   has the weight of a few measurements.
 *
 *   The factor of a runner has two parts.  What the runner tells of its
 *   present speed is clamped; it counts as it is for PACE_TOLD_US, and as a
 *   moving average after that, which ages as well.  The second part is the
 *   ratio of measured times to those expected, a mean in which each time is
 *   clamped and older times count less; so a runner that tells a
 *   false figure is found out after a few answers.  Without recent
 *   measurements the factor returns to 1: a newcomer counts as an average
 *   runner, and one that was slow is tried again within about 2 s.
 *
 *   A runner may slow down long before its slots are full.  The number of
 *   calls that it takes well is found by a gradient: the limit grows by its
 *   square root while the recent latency is near the lowest one of late, and
 *   shrinks by their ratio otherwise.
 *
 *   Sources: Netflix, concurrency-limits, "Gradient2Limit", 2018; Brakmo and
 *   Peterson, "TCP Vegas", 1995.  No input or output; times are in
 *   microseconds.
 */
#include <stdint.h>

/* A figure that a runner tells counts as its present speed for this long.  */
#define PACE_TOLD_US INT64_C (1000000)
/* A runner without calls is tried again after this.  */
#define PACE_LOOK_AGAIN_US INT64_C (2000000)

enum pace_work
{
  PACE_READ,  /* a prompt; its size is in tokens */
  PACE_FIRST, /* from a decode's send to its first event; size is the load */
  PACE_EVENT, /* between two events of a stream; size is the load */
  PACE_CALL,  /* a whole call; its size is 0 */
  PACE_WORKS
};

/* Times that are expected without measurements.  */
struct pace_prior
{
  double overhead_us;
  double unit_us;
  double size; /* of usual work */
};

/* Sums of a weighted least-squares fit.  */
struct pace_line
{
  double n;
  double x;
  double y;
  double xx;
  double xy;
};

enum
{
  PACE_URGENCIES = 10 /* of requests; 0 is the highest */
};

/* Waits at runners, as sums.  */
struct pace_waits
{
  double expected_us; /* if all that is there went first */
  double actual_us;
};

/* What the runners of a service have in common.  */
struct pace_service
{
  struct pace_line line[PACE_WORKS];
  struct pace_waits waits[PACE_URGENCIES];
  double disturbance; /* time at a disturbed runner over its usual one */
  double pressure;    /* mean share of their limit that choices wait */
};

/* A mean whose weight halves with time.  */
struct pace_mean
{
  double sum;
  double weight;
  int64_t us; /* of the last update */
};

struct pace_limit
{
  double calls;     /* 0: not known yet */
  double recent_us; /* latency, moving average */
  double lowest_us; /* of late; rises slowly */
  int64_t us;       /* of the last call */
};

struct pace
{
  double told; /* 1: as usual; 0: nothing told yet */
  int64_t told_us;
  int64_t measured_us; /* last time of any work, or 0 */
  double others;       /* factor by the other gateways; 0: none is known */
  int64_t others_us;
  struct pace_mean usual;             /* what was told */
  struct pace_mean ratio[PACE_WORKS]; /* measured over expected */
  struct pace_limit limit;
};

/* Of an engine or runner about which nothing is known.  */
extern const struct pace_prior pace_prior_default[PACE_WORKS];

void pace_service_init (struct pace_service *service,
                        const struct pace_prior prior[PACE_WORKS]);

/* Notes that the runner tells that work takes HUNDREDTHS of the usual time
   there; 0: it tells nothing.  */
void pace_note_told (struct pace *pace, struct pace_service *service,
                     unsigned hundredths, int64_t now);
/* Notes that WORK of SIZE took TOOK_US at the runner.  */
void pace_note (struct pace *pace, struct pace_service *service,
                enum pace_work work, double size, int64_t took_us,
                int64_t now);
/* Notes that one of CALLS plain calls at the runner, which has SLOTS, took
   TOOK_US.  */
void pace_note_call (struct pace *pace, struct pace_service *service,
                     double calls, double slots, int64_t took_us, int64_t now);

/* Notes that a request of this URGENCY waited for ACTUAL_US where reading all
   that was there before would have taken EXPECTED_US.  */
void pace_note_wait (struct pace_service *service, unsigned urgency,
                     double expected_us, double actual_us);
/* Returns the share of the work before it that a request of this URGENCY waits
   for: runners begin with the most urgent ones.  */
double pace_wait_share (const struct pace_service *service, unsigned urgency);

/* Notes that the best choice for a request waits for this SHARE of the time
   that it may take.  */
void pace_note_pressure (struct pace_service *service, double share);
/* Returns the factor on the limit beyond which a request is refused.  While
   queues come and go, one that is somewhat late is better served than sent
   back; where they stand, each that is let in makes the next ones late.  The
   same distinction is made by Nichols and Jacobson, "Controlling queue delay",
   2012.  */
double pace_leniency (const struct pace_service *service);

/* Returns the runner's present factor for WORK.  */
double pace_factor (const struct pace *pace, enum pace_work work, int64_t now);
/* Returns its factor for all work as expected over the next seconds.  */
double pace_steady (const struct pace *pace, int64_t now);
/* Returns nonzero when nothing was measured at the runner for
   PACE_LOOK_AGAIN_US.  */
int pace_is_unknown (const struct pace *pace, int64_t now);
/* Returns nonzero when the runner has told or shown its speed here within that
   time.  */
int pace_is_known_here (const struct pace *pace, int64_t now);
/* Returns nonzero when that is so, or another gateway knows it.  */
int pace_is_known (const struct pace *pace, int64_t now);
/* Notes the factor that other gateways have learnt.  It takes the place of
   that of an average runner.  */
void pace_note_others (struct pace *pace, double factor, int64_t now);
/* Returns the time that WORK of SIZE takes an average runner.  */
double pace_service_us (const struct pace_service *service,
                        enum pace_work work, double size);
/* Returns nonzero when that rests on measurements rather than on the prior. */
int pace_service_is_known (const struct pace_service *service,
                           enum pace_work work);
/* Returns the number of plain calls that the runner takes well, at most
   SLOTS.  */
double pace_calls (const struct pace *pace, double slots);
#endif
