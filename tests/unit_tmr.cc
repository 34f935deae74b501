#include <atomic>
#include <condition_variable>
#include <gtest/gtest.h>
#include <mutex>
#include <vector>

extern "C"
{
#include "goldcresthatch/tmr.h"
}

namespace
{

struct callback_log
{
  struct tmr *tmr = nullptr;
  uint64_t timer = 0;
  std::vector<int64_t> calls;
};

void
log_call (void *ctx, int64_t now)
{
  static_cast<callback_log *> (ctx)->calls.push_back (now);
}

void
log_and_cancel (void *ctx, int64_t now)
{
  callback_log *p = static_cast<callback_log *> (ctx);

  p->calls.push_back (now);
  EXPECT_EQ (tmr_cancel (p->tmr, p->timer), 1);
  EXPECT_EQ (tmr_cancel (p->tmr, p->timer), 0);
}

void
log_and_add (void *ctx, int64_t now)
{
  callback_log *p = static_cast<callback_log *> (ctx);

  p->calls.push_back (now);
  tmr_add (p->tmr, 5, 0, log_call, p);
}

// Guards against calls at other times than the due ones, or out of order.
TEST (Tmr, RunsAtDueTimes)
{
  callback_log p;
  p.tmr = tmr_new_virtual (100);
  tmr_add (p.tmr, 10, 20, log_call, &p);
  tmr_add (p.tmr, 15, 0, log_and_add, &p);
  tmr_advance (p.tmr, 150);
  EXPECT_EQ (p.calls, (std::vector<int64_t>{ 110, 115, 120, 130, 150 }));
  EXPECT_EQ (tmr_now (p.tmr), 150);
  tmr_free (p.tmr);
}

// Guards against a call after cancel, and against a use of freed memory when
// a callback cancels its own periodic timer.
TEST (Tmr, CancelsFromInsideAndOutside)
{
  callback_log p;
  callback_log q;
  p.tmr = tmr_new_virtual (0);
  p.timer = tmr_add (p.tmr, 1, 1, log_and_cancel, &p);
  q.timer = tmr_add (p.tmr, 5, 0, log_call, &q);
  EXPECT_EQ (tmr_cancel (p.tmr, q.timer), 1);
  EXPECT_EQ (tmr_cancel (p.tmr, q.timer), 0);
  tmr_advance (p.tmr, 10);
  EXPECT_EQ (p.calls.size (), 1U);
  EXPECT_TRUE (q.calls.empty ());
  EXPECT_EQ (tmr_cancel (p.tmr, p.timer), 0);
  tmr_free (p.tmr);
}

struct gate
{
  std::mutex lock;
  std::condition_variable changed;
  bool entered = false;
  std::atomic<bool> left{ false };
};

void
pass_gate (void *ctx, int64_t now)
{
  gate *g = static_cast<gate *> (ctx);

  (void)now;
  {
    std::lock_guard<std::mutex> hold (g->lock);
    g->entered = true;
    g->changed.notify_all ();
  }
  for (int i = 0; i < 100000; i++)
    g->left = false;
  g->left = true;
}

// Guards against a context that is freed after tmr_cancel while the service's
// thread is still in the callback.
TEST (Tmr, CancelWaitsForARunningCallback)
{
  gate g;
  struct tmr *tmr = tmr_new (nullptr);
  uint64_t timer = tmr_add (tmr, 0, 0, pass_gate, &g);
  {
    std::unique_lock<std::mutex> hold (g.lock);
    g.changed.wait (hold, [&] { return g.entered; });
  }
  tmr_cancel (tmr, timer);
  EXPECT_TRUE (g.left);
  tmr_free (tmr);
}

}
