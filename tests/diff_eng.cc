// Compares the engine aggregate with a naive version that sees one global
// truth: the current token at each moment and all requests ever sent.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdio>
#include <deque>
#include <vector>

// msg.h has a function with the name of its struct, as C allows.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
extern "C"
{
#include "goldcresthatch/eng.h"
}
#pragma GCC diagnostic pop

namespace
{
const int64_t TICK = 300 * 1000; // us

// The agent, its engine and the key-value service.
struct world
{
  struct eng eng = {};
  int64_t now = 1;
  uint64_t truth = 1;       // current token
  int64_t truth_since = -1; // time of its creation
  // Requests on their way to the engine, oldest first, and the one it runs.
  std::deque<struct eng_action> wire;
  bool running = false;
  struct eng_action run = {};
  uint64_t run_op = 0; // 0 when the agent that sent it is gone
  struct eng_target actual = {};
  uint64_t applied = 0; // highest token applied
  uint64_t next_id = 1;
  // Awaited by the agent, one each.
  struct eng_action read = {}, query = {}, send = {};
  int64_t read_start = 0;
  uint64_t read_value = 0;
  bool read_done = false;
  uint64_t drain = 0;
  unsigned reached = 0;
  bool working = true;

  void
  handle (struct eng_event ev)
  {
    struct eng_actions acts;
    ev.now_us = now;
    eng_handle (&eng, &ev, &acts);
    for (unsigned i = 0; i < acts.count; i++)
      carry_out (acts.item[i]);
  }

  void
  carry_out (const struct eng_action &a)
  {
    switch (a.kind)
      {
      case ENG_DO_READ:
        read = a;
        read_start = now;
        read_done = false;
        break;
      case ENG_DO_QUERY:
        query = a;
        wire.push_back (a);
        break;
      case ENG_DO_SEND:
        send = a;
        break;
      case ENG_DO_STOP_WORK:
        drain = a.op;
        working = false;
        break;
      case ENG_DO_RESUME_WORK:
        working = true;
        break;
      case ENG_DO_ANSWER:
        if (a.state == MSG_ORDER_REACHED)
          {
            reached++;
            RC_ASSERT (a.order.target.role == actual.role);
          }
        break;
      }
  }

  void
  start ()
  {
    eng_init (&eng, "z");
    read = query = send = {};
    drain = 0;
    // Answers go to the process that asked, which is gone.
    run_op = 0;
    for (auto &a : wire)
      a.op = 0;
    working = true;
    struct eng_event ev = {};
    ev.kind = ENG_EV_START;
    handle (ev);
  }

  void
  order (uint64_t token, enum eng_role role)
  {
    struct eng_order o = {};
    snprintf (o.shard, sizeof o.shard, "z");
    o.token = token;
    o.id.lo = next_id++;
    o.target.role = role;
    struct eng_event ev = {};
    ev.kind = ENG_EV_ORDER;
    ev.order = &o;
    handle (ev);
  }

  void
  answer_read (bool fails)
  {
    if (read.op == 0 || (!read_done && !fails))
      return;
    struct eng_event ev = {};
    ev.kind = ENG_EV_READ;
    ev.op = read.op;
    ev.result = fails ? ENG_RESULT_FAILED : ENG_RESULT_OK;
    ev.start_us = read_start;
    ev.revision = read_value;
    read.op = 0;
    handle (ev);
  }

  // The request goes out now unless its read is void.
  void
  send_request ()
  {
    if (send.op == 0)
      return;
    if (!eng_may_send (&eng, now))
      {
        struct eng_event ev = {};
        ev.kind = ENG_EV_APPLIED;
        ev.op = send.op;
        ev.result = ENG_RESULT_NOT_SENT;
        send.op = 0;
        handle (ev);
        return;
      }
    // The naive rule: a predecessor's order goes out only within the wait.
    if (send.order.token != truth)
      RC_ASSERT (now - truth_since < 2 * ENG_READ_MAX_US);
    RC_ASSERT (!working);
    wire.push_back (send);
    send.op = 0;
  }

  // The engine takes the oldest request; it ignores tokens.
  void
  engine_receives ()
  {
    if (wire.empty ())
      return;
    struct eng_action a = wire.front ();
    wire.pop_front ();
    if (a.kind == ENG_DO_SEND)
      {
        RC_ASSERT (!running);
        RC_ASSERT (a.order.token >= applied);
        applied = a.order.token;
        running = true;
        run = a;
        run_op = a.op;
        return;
      }
    if (a.op == 0 || a.op != query.op)
      return;
    struct eng_event ev = {};
    ev.kind = ENG_EV_QUERIED;
    ev.op = a.op;
    ev.in_progress = running;
    ev.actual = actual;
    handle (ev);
  }

  void
  engine_completes (enum eng_result result)
  {
    if (!running)
      return;
    running = false;
    if (result != ENG_RESULT_FAILED)
      actual = run.order.target;
    struct eng_event ev = {};
    ev.kind = ENG_EV_APPLIED;
    ev.op = run_op;
    ev.result = result;
    handle (ev);
  }

  // A crash ends the connections, so that requests under way are gone.
  void
  engine_crashes ()
  {
    running = false;
    wire.clear ();
    actual.role = ENG_ROLE_BOTH;
    struct eng_event ev = {};
    ev.kind = ENG_EV_CRASHED;
    handle (ev);
  }

  void
  step (unsigned what, unsigned arg)
  {
    struct eng_event ev = {};
    now += arg % 4 == 0 ? TICK : 0;
    if (what >= 6 && what <= 9 && read.op != 0 && !read_done)
      {
        read_done = true;
        read_value = truth;
      }
    switch (what)
      {
      case 0: // a new holder, which waits before its orders
        if (arg % 4 == 0)
          {
            truth++;
            truth_since = now;
          }
        break;
      case 1:
      case 2: // an order of the holder or of a predecessor that resumes
        if (arg % 3 == 0 && truth > 1)
          order (truth - 1, static_cast<enum eng_role> (arg % ENG_ROLE_MAX));
        else if (now - truth_since >= 2 * ENG_READ_MAX_US)
          order (truth, static_cast<enum eng_role> (arg % ENG_ROLE_MAX));
        break;
      case 3:
        if (arg % 8 == 0)
          start ();
        break;
      case 4:
        if (arg % 8 == 0)
          engine_crashes ();
        break;
      case 5:
        now += (arg % 5) * TICK;
        ev.kind = ENG_EV_TIME;
        handle (ev);
        break;
      case 6:
      case 7:
      case 8:
        answer_read (arg % 8 == 0);
        break;
      case 9:
      case 10:
        ev.kind = ENG_EV_DRAINED;
        ev.op = drain;
        handle (ev);
        break;
      case 11:
      case 12:
        send_request ();
        break;
      case 13:
      case 14:
        engine_receives ();
        break;
      default:
        engine_completes (static_cast<enum eng_result> (
            arg % 4 == 0
                ? ENG_RESULT_FAILED
                : (arg % 4 == 1 ? ENG_RESULT_UNKNOWN : ENG_RESULT_OK)));
      }
  }
};

// Draws 300 steps of nominal size, so that orders come to their end.
std::vector<std::pair<unsigned, unsigned>>
draw_script ()
{
  return *rc::gen::resize (
      rc::kNominalSize,
      rc::gen::container<std::vector<std::pair<unsigned, unsigned>>> (
          300, rc::gen::pair (rc::gen::inRange (0u, 16u),
                              rc::gen::inRange (0u, 256u))));
}

// Guards against an order log with a conflict: an old token after a newer one,
// two orders at once, an order under a token known to be gone, a change of an
// engine that takes work, or an answer "reached" that is not true.
RC_GTEST_PROP (EngDiff, OrderLogIsConflictFree, ())
{
  struct world w;
  w.start ();
  for (const auto &s : draw_script ())
    w.step (s.first, s.second);
  RC_CLASSIFY (w.applied > 0, "a request was applied");
  RC_CLASSIFY (w.reached > 1, "two targets were reached");
}

// Guards against a generator that never brings an order to its end, and
// against an aggregate that stops making progress after faults.
RC_GTEST_PROP (EngDiff, ReachesATargetAfterFaults, ())
{
  struct world w;
  w.start ();
  for (const auto &s : draw_script ())
    w.step (s.first, s.second);
  w.now += 3 * ENG_READ_MAX_US;
  unsigned before = w.reached;
  auto role = static_cast<enum eng_role> ((w.actual.role + 1) % ENG_ROLE_MAX);
  for (int i = 0; i < 400 && w.reached == before; i++)
    {
      if (i % 40 == 0)
        w.order (w.truth, role);
      w.step (5, 1);
      w.step (6, 1);
      w.step (9, 1);
      w.step (11, 1);
      w.step (13, 1);
      w.step (15, 2);
    }
  RC_ASSERT (w.reached > before);
}
}
