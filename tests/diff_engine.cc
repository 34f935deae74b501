// Compares the engine state machine with a reference model that knows the
// global state: the current fencing token at each moment and all requests ever
// sent.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstring>
#include <deque>
#include <vector>

#include "engine_headers.hh"

namespace
{
const int64_t TICK_US = 100 * 1000;

// The agent, its engine, which does not check tokens, and the key-value
// service.
struct simulation
{
  struct engine_fsm engine_fsm = {};
  int64_t now = 1;
  uint64_t current_token = 1;       // current fencing token
  int64_t current_token_since = -1; // time of its creation
  uint64_t last_id = 0;
  // Requests on their way to the engine, oldest first.
  std::deque<struct engine_action> in_transit;
  bool running = false;
  struct engine_action run = {}; // op 0 when the agent that sent it is gone
  struct engine_target actual = {};
  uint64_t applied = 0; // highest token applied
  // Actions whose results the agent awaits.
  struct engine_action read = {}, send = {};
  int64_t read_start = 0;
  uint64_t read_value = 0; // 0 until the service has read the key
  uint64_t drain = 0;
  unsigned reached = 0;
  bool working = true;

  void
  give_event (struct engine_event ev, enum engine_event_kind kind,
              uint64_t op = 0, enum engine_result result = ENGINE_RESULT_OK)
  {
    struct engine_actions acts;
    ev.kind = kind;
    ev.op = op;
    ev.result = result;
    ev.now_us = now;
    engine_handle (&engine_fsm, &ev, &acts);
    for (unsigned i = 0; i < acts.count; i++)
      carry_out (acts.item[i]);
  }

  void
  carry_out (const struct engine_action &a)
  {
    if (a.kind == ENGINE_DO_READ)
      {
        read = a;
        read_start = now;
        read_value = 0;
      }
    else if (a.kind == ENGINE_DO_QUERY)
      in_transit.push_back (a);
    else if (a.kind == ENGINE_DO_SEND)
      send = a;
    else if (a.kind == ENGINE_DO_ANSWER && a.state == MSG_ORDER_REACHED)
      {
        reached++;
        RC_ASSERT (a.order.target.role == actual.role);
      }
    else if (a.kind == ENGINE_DO_STOP_WORK)
      {
        drain = a.op;
        working = false;
      }
    else if (a.kind == ENGINE_DO_RESUME_WORK)
      working = true;
  }

  // Answers to the previous process are lost.
  void
  restart ()
  {
    engine_init (&engine_fsm, "z");
    for (auto &a : in_transit)
      a.op = 0;
    run.op = read.op = send.op = drain = 0;
    working = true;
    give_event ({}, ENGINE_EV_START);
  }

  void
  order (uint64_t token, unsigned role)
  {
    struct engine_order o = {};
    struct engine_event ev = {};
    strcpy (o.shard, "z");
    o.token = token;
    o.id.lo = ++last_id;
    o.target.role = static_cast<enum engine_role> (role % ENGINE_ROLE_MAX);
    ev.order = &o;
    give_event (ev, ENGINE_EV_ORDER);
  }

  // The reference rule: an order of the previous holder is sent only while the
  // new holder waits, and never to an engine that takes work.
  void
  send_request ()
  {
    uint64_t op = send.op;
    send.op = 0;
    if (op == 0)
      return;
    if (!engine_may_send (&engine_fsm, now))
      {
        give_event ({}, ENGINE_EV_APPLIED, op, ENGINE_RESULT_NOT_SENT);
        return;
      }
    if (send.order.token != current_token)
      RC_ASSERT (now - current_token_since < AUTHORITY_FIRST_ORDER_DELAY_US);
    RC_ASSERT (!working);
    in_transit.push_back (send);
    in_transit.back ().op = op;
  }

  void
  engine_receives ()
  {
    if (in_transit.empty ())
      return;
    struct engine_action a = in_transit.front ();
    in_transit.pop_front ();
    if (a.kind == ENGINE_DO_SEND)
      {
        RC_ASSERT (!running);
        RC_ASSERT (a.order.token >= applied);
        applied = a.order.token;
        running = true;
        run = a;
        return;
      }
    struct engine_event ev = {};
    ev.in_progress = running;
    ev.actual = actual;
    give_event (ev, ENGINE_EV_QUERIED, a.op);
  }

  // After a lost answer the engine is still running the request.
  void
  engine_completes (enum engine_result result)
  {
    uint64_t op = run.op;
    if (!running)
      return;
    running = result == ENGINE_RESULT_UNKNOWN;
    run.op = 0;
    if (result == ENGINE_RESULT_OK)
      actual = run.order.target;
    give_event ({}, ENGINE_EV_APPLIED, op, result);
  }

  void
  rare_fault (unsigned arg)
  {
    if (arg % 24 == 0)
      restart ();
    else if (arg % 24 == 1)
      {
        // The connections are closed, so requests in transit are lost.
        running = false;
        in_transit.clear ();
        send.op = 0;
        actual.role = ENGINE_ROLE_BOTH;
        give_event ({}, ENGINE_EV_CRASHED);
      }
    else if (arg % 24 < 4)
      {
        current_token++;
        current_token_since = now;
      }
  }

  void
  step (unsigned what, unsigned arg)
  {
    static const enum engine_result results[]
        = { ENGINE_RESULT_OK, ENGINE_RESULT_OK, ENGINE_RESULT_FAILED,
            ENGINE_RESULT_UNKNOWN };
    struct engine_event ev = {};
    now += arg % 4 == 3 ? TICK_US : 0;
    switch (what)
      {
      case 0:
        rare_fault (arg);
        break;
      case 1:
        // A holder orders after its wait; a previous holder that was paused
        // orders at once.
        if (arg % 3 == 0 && current_token > 1)
          order (current_token - 1, arg);
        else if (now - current_token_since >= AUTHORITY_FIRST_ORDER_DELAY_US)
          order (current_token, arg);
        break;
      case 2:
        now += (arg % 8 == 0 ? 15 : arg % 5) * TICK_US;
        give_event ({}, ENGINE_EV_TIME);
        break;
      case 3: // the service reads the key
        read_value = read_value == 0 ? current_token : read_value;
        break;
      case 4:
        ev.start_us = read_start;
        ev.revision = read_value;
        if (read_value != 0)
          give_event (ev, ENGINE_EV_READ, read.op,
                      arg % 8 == 7 ? ENGINE_RESULT_FAILED : ENGINE_RESULT_OK);
        break;
      case 5:
        give_event ({}, ENGINE_EV_DRAINED, drain);
        break;
      case 6:
        send_request ();
        break;
      case 7:
        engine_receives ();
        break;
      default: // rare, so that restarts happen while a request runs
        if (arg % 8 == 1)
          engine_completes (results[arg / 8 % 4]);
      }
  }

  // Takes 1000 random steps, drawn at nominal size, so that orders finish.
  void
  run_script ()
  {
    restart ();
    auto script = *rc::gen::resize (
        rc::kNominalSize,
        rc::gen::container<std::vector<std::pair<unsigned, unsigned>>> (
            1000, rc::gen::pair (rc::gen::inRange (0u, 9u),
                                 rc::gen::inRange (0u, 256u))));
    for (const auto &s : script)
      step (s.first, s.second);
  }
};

// Guards against conflicting orders: an old token after a newer one, two
// requests at the same time, a request with a token that is known to be
// superseded, a change of an engine that takes work, or a false answer
// "reached".
RC_GTEST_PROP (EngineDiff, OrderLogIsConflictFree, ())
{
  struct simulation w;
  w.run_script ();
  RC_CLASSIFY (w.applied > 0, "a request was applied");
  RC_CLASSIFY (w.applied > 1, "a successor's request was applied");
}

// Guards against a state machine that makes no progress after faults.
RC_GTEST_PROP (EngineDiff, ReachesATargetAfterFaults, ())
{
  struct simulation w;
  w.run_script ();
  w.now += AUTHORITY_FIRST_ORDER_DELAY_US;
  unsigned before = w.reached;
  for (unsigned i = 0; i < 400 && w.reached == before; i++)
    {
      if (i % 40 == 0)
        w.order (w.current_token, w.actual.role + 1);
      for (unsigned what = 2; what < 9; what++)
        w.step (what, 1);
    }
  RC_ASSERT (w.reached > before);
}
}
