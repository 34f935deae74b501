/*
 * Prints what becomes of requests to a plain service of which a third of the
 * runners asks for rest, in turn and for 1 to 10 s each time: without regard
 * to what they ask for, with it, and without the slow start after a rest.
 * The choices are those of lb and pool; runners, clients and time are a model.
 * BENCH_SEED picks the seed; the same seed gives the same table.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "lb.h"
#include "pool.h"

enum
{
  SECONDS = 60,
  SLOTS = 6,
  QUEUE = 24,
  WORK_LEAST_US = 30000,
  WORK_MOST_US = 60000,
  WIRE_US = 1000,        /* one way, between any two machines */
  OBJECTIVE_US = 150000, /* from the first attempt of a client */
  DEADLINE_US = 1500000, /* in all */
  TRIES_MAX = 4,         /* of a client */
  SENDS_MAX = 2,         /* of one try, to different runners */
  TURN_US = 12000000,    /* another third of the runners asks */
  REST_LEAST_US = 1000000,
  REST_MOST_US = 10000000,
  SAMPLE_US = 20000, /* between two looks at a runner that is back */
  LOAD_PERCENT = 55  /* of what all runners could serve */
};

enum policy
{
  POLICY_IGNORES,
  POLICY_HONOURS,
  POLICY_NO_SLOW_START,
  POLICY_MAX
};

struct request
{
  unsigned gateway;
  unsigned runner;
  unsigned excluded; /* runner that refused this try */
  unsigned sends;    /* of this try */
  unsigned tries;
  int64_t first_us;
  int64_t sent_us;
  int refused;
};

struct runner
{
  int64_t troubled_until_us;
  unsigned running;
  GQueue waiting;  /* struct request */
  int64_t back_us; /* end of its last trouble, until it is in full use */
};

enum event_kind
{
  EVENT_ARRIVE, /* at a gateway */
  EVENT_REACH,  /* at a runner */
  EVENT_WORKED,
  EVENT_ANSWER, /* at the gateway */
  EVENT_TURN,
  EVENT_SAMPLE
};

struct event
{
  int64_t at_us;
  uint64_t number;
  enum event_kind kind;
  struct request *request;
};

struct result
{
  unsigned requests;
  unsigned served;
  unsigned in_time;
  unsigned in_vain;  /* requests that a runner refused */
  unsigned unwanted; /* of them, 0.5 s or more after it had asked for rest */
  unsigned backs;
  int64_t back_us;     /* sum of the times to full use */
  unsigned queue_most; /* at a runner within 1 s after its rest */
};

struct model
{
  enum policy policy;
  unsigned n_gateways;
  unsigned n_runners;
  struct runner_pool **pools;
  struct runner *runners;
  int64_t *asked; /* for each gateway and runner: when first in this rest */
  GSequence *events;
  uint64_t number;
  int64_t now;
  GRand *random;
  struct result result;
};

static gint
by_time (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct event *x = a;
  const struct event *y = b;

  (void)ctx;
  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return x->number < y->number ? -1 : x->number > y->number;
}

static void
later (struct model *m, int64_t delay_us, enum event_kind kind,
       struct request *request)
{
  struct event *event = g_new0 (struct event, 1);

  event->at_us = m->now + delay_us;
  event->number = m->number++;
  event->kind = kind;
  event->request = request;
  g_sequence_insert_sorted (m->events, event, by_time, NULL);
}

static struct pool_runner *
seen_by (const struct model *m, const struct request *request)
{
  return pool_at (m->pools[request->gateway], request->runner);
}

/* The client is refused and told to return after AFTER_US.  */
static void
refuse (struct model *m, struct request *request, int64_t after_us)
{
  int64_t left_us = request->first_us + DEADLINE_US - m->now;

  request->tries++;
  if (request->tries == TRIES_MAX || after_us > left_us / 3)
    {
      g_free (request);
      return;
    }
  request->sends = 0;
  request->excluded = UINT_MAX;
  request->gateway
      = (unsigned)g_rand_int_range (m->random, 0, (gint32)m->n_gateways);
  later (m, after_us + INT64_C (2) * WIRE_US, EVENT_ARRIVE, request);
}

/* Returns the time in microseconds that a refused client is told.  */
static int64_t
return_time (struct model *m, const struct request *request, int64_t usual_us)
{
  int64_t end = pool_rest_end (m->pools[request->gateway], "s", POOL_STAGE_ANY,
                               m->now);
  int64_t rest_us = end > 0 ? end - m->now : 0;

  return MAX (usual_us, rest_us)
         + g_rand_int_range (m->random, 0, (gint32)(150000 + rest_us / 3));
}

static void
dispatch (struct model *m, struct request *request)
{
  struct runner_pool *pool = m->pools[request->gateway];
  const struct pool_runner *excluded[1] = { NULL };
  struct lb_filter where = { .service = "s", .zone = "z" };
  struct lb_choice choice;

  where.gateways = m->n_gateways;
  if (request->excluded != UINT_MAX)
    {
      excluded[0] = pool_at (pool, request->excluded);
      where.excluded = excluded;
      where.n_excluded = 1;
    }
  choice = lb_call (pool, &where, g_rand_int (m->random), m->now);
  if (choice.runner == NULL
      || choice.first_byte_us
             > (double)(request->first_us + DEADLINE_US - m->now))
    {
      refuse (m, request, return_time (m, request, 500000));
      return;
    }
  request->runner = (unsigned)atoi (choice.runner->entry.id);
  request->sends++;
  request->sent_us = m->now;
  choice.runner->calls++;
  later (m, WIRE_US, EVENT_REACH, request);
}

static void
start (struct model *m, struct runner *runner, struct request *request)
{
  runner->running++;
  later (m, g_rand_int_range (m->random, WORK_LEAST_US, WORK_MOST_US),
         EVENT_WORKED, request);
}

static void
reach (struct model *m, struct request *request)
{
  struct runner *runner = &m->runners[request->runner];
  int64_t *asked
      = &m->asked[(gsize)request->gateway * m->n_runners + request->runner];

  if (m->now < runner->troubled_until_us)
    {
      m->result.in_vain++;
      m->result.unwanted += *asked != 0 && m->now - *asked >= 500000;
      if (*asked == 0)
        *asked = m->now;
      request->refused = 1;
      later (m, WIRE_US, EVENT_ANSWER, request);
      return;
    }
  *asked = 0;
  request->refused = runner->running == SLOTS
                     && g_queue_get_length (&runner->waiting) == QUEUE;
  if (request->refused)
    later (m, WIRE_US, EVENT_ANSWER, request);
  else if (runner->running == SLOTS)
    g_queue_push_tail (&runner->waiting, request);
  else
    start (m, runner, request);
  if (runner->back_us != 0 && m->now - runner->back_us < 1000000)
    m->result.queue_most
        = MAX (m->result.queue_most, g_queue_get_length (&runner->waiting));
}

static void
worked (struct model *m, struct request *request)
{
  struct runner *runner = &m->runners[request->runner];
  struct request *next = g_queue_pop_head (&runner->waiting);

  runner->running--;
  if (next != NULL)
    start (m, runner, next);
  later (m, WIRE_US, EVENT_ANSWER, request);
}

static void
answer (struct model *m, struct request *request)
{
  struct pool_runner *seen = seen_by (m, request);
  const struct runner *runner = &m->runners[request->runner];

  seen->calls--;
  pool_note_load (seen, runner->running,
                  g_queue_get_length ((GQueue *)&runner->waiting), m->now);
  if (!request->refused)
    {
      pool_note_answer (seen, m->now - request->sent_us, m->now);
      pool_note_served (seen, m->now);
      m->result.served++;
      m->result.in_time += m->now - request->first_us <= OBJECTIVE_US;
      g_free (request);
      return;
    }
  if (m->policy != POLICY_IGNORES && m->now < runner->troubled_until_us)
    {
      int64_t rest_us = runner->troubled_until_us - m->now;
      if (m->policy == POLICY_HONOURS)
        rest_us += g_rand_int_range (m->random, 0,
                                     (gint32)(m->n_gateways * POOL_RETURN_US));
      pool_note_rest (seen, rest_us, m->now);
      if (m->policy == POLICY_NO_SLOW_START)
        seen->start_calls = 0;
    }
  pool_note_refusal (seen, m->now);
  request->excluded = request->runner;
  if (request->sends < SENDS_MAX)
    dispatch (m, request);
  else
    refuse (m, request, return_time (m, request, 100000));
}

/* Lets another third of the runners ask for rest.  */
static void
turn (struct model *m)
{
  unsigned i;
  unsigned g;
  unsigned first
      = (unsigned)g_rand_int_range (m->random, 0, (gint32)m->n_runners);

  for (i = 0; i < m->n_runners / 3; i++)
    {
      struct runner *runner = &m->runners[(first + i * 3 + 1) % m->n_runners];
      runner->troubled_until_us
          = m->now + g_rand_int_range (m->random, REST_LEAST_US, REST_MOST_US);
      runner->back_us = runner->troubled_until_us;
      for (g = 0; g < m->n_gateways; g++)
        m->asked[(gsize)g * m->n_runners + (gsize)(runner - m->runners)] = 0;
    }
  if (m->now + TURN_US < (int64_t)SECONDS * G_USEC_PER_SEC)
    later (m, TURN_US, EVENT_TURN, NULL);
}

/* Looks which runners that were at rest serve as many requests as the others
   again.  */
static void
sample (struct model *m)
{
  unsigned busy = 0;
  unsigned n = 0;
  unsigned i;

  for (i = 0; i < m->n_runners; i++)
    if (m->now >= m->runners[i].troubled_until_us
        && m->runners[i].back_us == 0)
      {
        busy += m->runners[i].running;
        n++;
      }
  for (i = 0; n > 0 && i < m->n_runners; i++)
    {
      struct runner *runner = &m->runners[i];
      if (runner->back_us == 0 || m->now < runner->back_us
          || runner->running * n * 5 < busy * 4)
        continue;
      m->result.backs++;
      m->result.back_us += m->now - runner->back_us;
      runner->back_us = 0;
    }
  if (m->now + SAMPLE_US < (int64_t)SECONDS * G_USEC_PER_SEC)
    later (m, SAMPLE_US, EVENT_SAMPLE, NULL);
}

/* Adds the arrivals of new requests.  */
static void
add_arrivals (struct model *m)
{
  double per_us = (double)m->n_runners * SLOTS
                  / ((WORK_LEAST_US + WORK_MOST_US) / 2.0) * LOAD_PERCENT
                  / 100;
  double at = 0;

  for (;;)
    {
      struct request *request;
      at += g_rand_double_range (m->random, 0, 2 / per_us);
      if (at >= SECONDS * (double)G_USEC_PER_SEC)
        return;
      request = g_new0 (struct request, 1);
      request->gateway
          = (unsigned)g_rand_int_range (m->random, 0, (gint32)m->n_gateways);
      request->excluded = UINT_MAX;
      request->first_us = (int64_t)at;
      later (m, (int64_t)at, EVENT_ARRIVE, request);
      m->result.requests++;
    }
}

static void
model_open (struct model *m, uint32_t seed)
{
  struct pool_entry entry = { .service = "s", .zone = "z", .slots = SLOTS };
  unsigned g;
  unsigned i;

  m->random = g_rand_new_with_seed (seed);
  m->events = g_sequence_new (g_free);
  m->pools = g_new0 (struct runner_pool *, m->n_gateways);
  m->runners = g_new0 (struct runner, m->n_runners);
  m->asked = g_new0 (int64_t, (gsize)m->n_gateways * m->n_runners);
  for (g = 0; g < m->n_gateways; g++)
    {
      m->pools[g] = pool_new ();
      for (i = 0; i < m->n_runners; i++)
        {
          g_snprintf (entry.id, sizeof entry.id, "%u", i);
          g_snprintf (entry.address, sizeof entry.address, "10.0.%u.%u:80",
                      i / 256, i % 256);
          pool_put (m->pools[g], &entry, 1);
        }
    }
}

static void
model_close (struct model *m)
{
  unsigned g;

  for (g = 0; g < m->n_gateways; g++)
    pool_free (m->pools[g]);
  g_sequence_free (m->events);
  g_rand_free (m->random);
  g_free (m->pools);
  g_free (m->runners);
  g_free (m->asked);
}

static struct result
play (enum policy policy, unsigned n_gateways, unsigned n_runners,
      uint32_t seed)
{
  struct model m
      = { .policy = policy, .n_gateways = n_gateways, .n_runners = n_runners };
  GSequenceIter *first;

  model_open (&m, seed);
  add_arrivals (&m);
  later (&m, TURN_US / 6, EVENT_TURN, NULL);
  later (&m, SAMPLE_US, EVENT_SAMPLE, NULL);
  while (
      !g_sequence_iter_is_end (first = g_sequence_get_begin_iter (m.events)))
    {
      struct event event = *(struct event *)g_sequence_get (first);
      g_sequence_remove (first);
      m.now = event.at_us;
      switch (event.kind)
        {
        case EVENT_ARRIVE:
          dispatch (&m, event.request);
          break;
        case EVENT_REACH:
          reach (&m, event.request);
          break;
        case EVENT_WORKED:
          worked (&m, event.request);
          break;
        case EVENT_ANSWER:
          answer (&m, event.request);
          break;
        case EVENT_TURN:
          turn (&m);
          break;
        case EVENT_SAMPLE:
          sample (&m);
          break;
        }
    }
  model_close (&m);
  return m.result;
}

int
main (void)
{
  static const char *const names[POLICY_MAX]
      = { "ignores", "honours", "no slow start" };
  static const struct
  {
    unsigned gateways;
    unsigned runners;
  } fleets[] = { { 4, 3 }, { 25, 18 }, { 103, 60 } };
  const char *text = g_getenv ("BENCH_SEED");
  uint32_t seed = text != NULL ? (uint32_t)atoi (text) : 1;
  size_t f;
  int p;

  puts ("A third of the runners asks for 1 to 10 s of rest, in turn.\n"
        "in vain, unwanted: requests refused, and those after 0.5 s of rest,\n"
        "of 1,000 requests; queue: the longest at a runner within 1 s of its\n"
        "return; full use: from the end of a rest, as often as the others");
  printf ("%8s %7s %-13s %8s %8s %8s %8s %6s %11s\n", "gateways", "runners",
          "policy", "served %", "in time", "in vain", "unwanted", "queue",
          "full use ms");
  for (f = 0; f < G_N_ELEMENTS (fleets); f++)
    for (p = 0; p < POLICY_MAX; p++)
      {
        struct result r = play ((enum policy)p, fleets[f].gateways,
                                fleets[f].runners, seed);
        printf ("%8u %7u %-13s %8.2f %8.2f %8.1f %8.1f %6u %11.0f\n",
                fleets[f].gateways, fleets[f].runners, names[p],
                100.0 * r.served / r.requests, 100.0 * r.in_time / r.requests,
                1000.0 * r.in_vain / r.requests,
                1000.0 * r.unwanted / r.requests, r.queue_most,
                r.backs > 0 ? (double)r.back_us / r.backs / 1000 : 0);
      }
  return 0;
}
