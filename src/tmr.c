#include "goldcresthatch/tmr.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <time.h>

enum
{
  NS_PER_US = 1000,
  US_PER_S = 1000000
};

struct timer
{
  uint64_t number;
  int64_t due;
  int64_t period;
  void (*fn) (void *ctx, int64_t now);
  void *ctx;
};

struct tmr
{
  pthread_mutex_t lock;
  pthread_cond_t wake; /* a timer was added, or the service ends */
  pthread_cond_t idle; /* a callback has returned */
  GTree *queue;        /* struct timer by due time and number */
  GHashTable *timers;  /* number -> struct timer */
  uint64_t last_number;
  uint64_t running; /* number of the timer whose callback runs, or 0 */
  int cancelled;    /* the running timer was cancelled */
  pthread_t runner; /* thread that runs the callback */
  int is_virtual;
  int64_t virtual_now;
  int stopping;
  pthread_t thread;
};

static int
compare (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct timer *x = a;
  const struct timer *y = b;

  (void)ctx;
  if (x->due != y->due)
    return x->due < y->due ? -1 : 1;
  if (x->number != y->number)
    return x->number < y->number ? -1 : 1;
  return 0;
}

static int64_t
clock_now (const struct tmr *tmr)
{
  struct timespec ts;

  if (tmr->is_virtual)
    return tmr->virtual_now;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * US_PER_S + ts.tv_nsec / NS_PER_US;
}

static struct timer *
first_timer (struct tmr *tmr)
{
  GTreeNode *node = g_tree_node_first (tmr->queue);

  return node != NULL ? g_tree_node_key (node) : NULL;
}

/* Puts TIMER back for its next period, or frees it.  */
static void
reschedule_or_free (struct tmr *tmr, struct timer *timer, int64_t now)
{
  if (tmr->cancelled || timer->period <= 0)
    {
      g_hash_table_remove (tmr->timers, &timer->number);
      g_free (timer);
      return;
    }
  timer->due += timer->period;
  if (timer->due <= now)
    timer->due
        += (now - timer->due) / timer->period * timer->period + timer->period;
  g_tree_insert (tmr->queue, timer, timer);
}

/* Runs the callback of TIMER, the first in the queue, without the lock.  */
static void
run_callback (struct tmr *tmr, struct timer *timer)
{
  int64_t now = clock_now (tmr);

  g_tree_remove (tmr->queue, timer);
  tmr->running = timer->number;
  tmr->cancelled = 0;
  tmr->runner = pthread_self ();
  pthread_mutex_unlock (&tmr->lock);
  timer->fn (timer->ctx, now);
  pthread_mutex_lock (&tmr->lock);
  reschedule_or_free (tmr, timer, clock_now (tmr));
  tmr->running = 0;
  pthread_cond_broadcast (&tmr->idle);
}

static void
wait_until (struct tmr *tmr, const struct timer *timer)
{
  struct timespec ts;

  if (timer == NULL)
    {
      pthread_cond_wait (&tmr->wake, &tmr->lock);
      return;
    }
  ts.tv_sec = timer->due / US_PER_S;
  ts.tv_nsec = timer->due % US_PER_S * NS_PER_US;
  pthread_cond_timedwait (&tmr->wake, &tmr->lock, &ts);
}

static void *
run_thread (void *ctx)
{
  struct tmr *tmr = ctx;
  struct timer *timer;

  pthread_mutex_lock (&tmr->lock);
  while (!tmr->stopping)
    {
      timer = first_timer (tmr);
      if (timer != NULL && timer->due <= clock_now (tmr))
        run_callback (tmr, timer);
      else
        wait_until (tmr, timer);
    }
  pthread_mutex_unlock (&tmr->lock);
  return NULL;
}

static struct tmr *
create (void)
{
  struct tmr *tmr = g_new0 (struct tmr, 1);
  pthread_condattr_t attr;

  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_mutex_init (&tmr->lock, NULL);
  pthread_cond_init (&tmr->wake, &attr);
  pthread_cond_init (&tmr->idle, &attr);
  pthread_condattr_destroy (&attr);
  tmr->queue = g_tree_new_full (compare, NULL, NULL, NULL);
  tmr->timers = g_hash_table_new (g_int64_hash, g_int64_equal);
  return tmr;
}

static void
destroy (struct tmr *tmr)
{
  GHashTableIter iter;
  gpointer timer;

  g_tree_destroy (tmr->queue);
  g_hash_table_iter_init (&iter, tmr->timers);
  while (g_hash_table_iter_next (&iter, NULL, &timer))
    {
      g_hash_table_iter_steal (&iter);
      g_free (timer);
    }
  g_hash_table_destroy (tmr->timers);
  pthread_cond_destroy (&tmr->idle);
  pthread_cond_destroy (&tmr->wake);
  pthread_mutex_destroy (&tmr->lock);
  g_free (tmr);
}

struct tmr *
tmr_new (struct err *err)
{
  struct tmr *tmr = create ();
  int rc = pthread_create (&tmr->thread, NULL, run_thread, tmr);

  if (rc == 0)
    return tmr;
  err_set (err, ERR_IO, "start timers", NULL,
           "cannot start the timer thread: %s", strerror (rc));
  destroy (tmr);
  return NULL;
}

struct tmr *
tmr_new_virtual (int64_t now)
{
  struct tmr *tmr = create ();

  tmr->is_virtual = 1;
  tmr->virtual_now = now;
  return tmr;
}

void
tmr_free (struct tmr *tmr)
{
  if (tmr == NULL)
    return;
  pthread_mutex_lock (&tmr->lock);
  tmr->stopping = 1;
  pthread_cond_broadcast (&tmr->wake);
  pthread_mutex_unlock (&tmr->lock);
  if (!tmr->is_virtual)
    pthread_join (tmr->thread, NULL);
  destroy (tmr);
}

int64_t
tmr_now (struct tmr *tmr)
{
  int64_t now;

  if (!tmr->is_virtual)
    return clock_now (tmr);
  pthread_mutex_lock (&tmr->lock);
  now = clock_now (tmr);
  pthread_mutex_unlock (&tmr->lock);
  return now;
}

uint64_t
tmr_add (struct tmr *tmr, int64_t delay, int64_t period,
         void (*fn) (void *ctx, int64_t now), void *ctx)
{
  struct timer *timer = g_new0 (struct timer, 1);
  uint64_t number;

  pthread_mutex_lock (&tmr->lock);
  number = ++tmr->last_number;
  timer->number = number;
  timer->due = clock_now (tmr) + MAX (delay, (int64_t)0);
  timer->period = period;
  timer->fn = fn;
  timer->ctx = ctx;
  g_hash_table_insert (tmr->timers, &timer->number, timer);
  g_tree_insert (tmr->queue, timer, timer);
  pthread_cond_signal (&tmr->wake);
  pthread_mutex_unlock (&tmr->lock);
  return number;
}

/* Cancels the timer whose callback runs now, and waits until it has returned
   unless the callback itself makes the call.  */
static int
cancel_running (struct tmr *tmr)
{
  uint64_t number = tmr->running;
  const struct timer *timer = g_hash_table_lookup (tmr->timers, &number);
  int pending = !tmr->cancelled && timer->period > 0;

  tmr->cancelled = 1;
  if (!pthread_equal (tmr->runner, pthread_self ()))
    while (tmr->running == number)
      pthread_cond_wait (&tmr->idle, &tmr->lock);
  return pending;
}

int
tmr_cancel (struct tmr *tmr, uint64_t number)
{
  struct timer *timer;
  int pending = 0;

  pthread_mutex_lock (&tmr->lock);
  timer = g_hash_table_lookup (tmr->timers, &number);
  if (timer != NULL && tmr->running == number)
    pending = cancel_running (tmr);
  else if (timer != NULL)
    {
      g_tree_remove (tmr->queue, timer);
      g_hash_table_remove (tmr->timers, &number);
      g_free (timer);
      pending = 1;
    }
  pthread_mutex_unlock (&tmr->lock);
  return pending;
}

int64_t
tmr_next_due (struct tmr *tmr)
{
  struct timer *timer;
  int64_t due;

  pthread_mutex_lock (&tmr->lock);
  timer = first_timer (tmr);
  due = timer != NULL ? timer->due : -1;
  pthread_mutex_unlock (&tmr->lock);
  return due;
}

void
tmr_advance (struct tmr *tmr, int64_t to)
{
  struct timer *timer;

  pthread_mutex_lock (&tmr->lock);
  while ((timer = first_timer (tmr)) != NULL && timer->due <= to)
    {
      tmr->virtual_now = MAX (tmr->virtual_now, timer->due);
      run_callback (tmr, timer);
    }
  tmr->virtual_now = MAX (tmr->virtual_now, to);
  pthread_mutex_unlock (&tmr->lock);
}
