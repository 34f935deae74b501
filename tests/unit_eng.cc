#include <gtest/gtest.h>

#include <cstdio>

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
const int64_t S = 1000 * 1000;

class Eng : public ::testing::Test
{
protected:
  struct eng e = {};
  struct eng_actions acts = {};
  struct eng_event ev = {};
  uint64_t next_id = 0;

  void
  handle (enum eng_event_kind kind)
  {
    ev.kind = kind;
    ev.op = kind == ENG_EV_DRAINED ? e.drain_op : e.op;
    eng_handle (&e, &ev, &acts);
  }

  void
  order (uint64_t token, enum eng_role role, int drain = 0)
  {
    struct eng_order o = {};
    snprintf (o.shard, sizeof o.shard, "z1");
    o.token = token;
    o.id.lo = ++next_id;
    o.target.role = role;
    o.target.drain = drain;
    ev.order = &o;
    handle (ENG_EV_ORDER);
    ev.order = nullptr;
  }

  void
  read (uint64_t revision, int64_t took = 0)
  {
    ev.revision = revision;
    ev.start_us = ev.now_us;
    ev.now_us += took;
    handle (ENG_EV_READ);
  }

  // Reports the answer to a query: idle with ROLE.
  void
  queried (enum eng_role role)
  {
    ev.actual.role = role;
    handle (ENG_EV_QUERIED);
  }

  void
  SetUp () override
  {
    eng_init (&e, "z1");
    handle (ENG_EV_START);
    queried (ENG_ROLE_BOTH);
    read (5);
    ASSERT_EQ (e.state, ENG_IDLE);
  }

  void
  expect_answer (enum msg_order_state state, unsigned item = 0)
  {
    ASSERT_LT (item, acts.count);
    EXPECT_EQ (acts.item[item].kind, ENG_DO_ANSWER);
    EXPECT_EQ (acts.item[item].state, state) << acts.item[item].err.text;
  }

  // Brings an order of token 5 to the point before its request.
  void
  apply ()
  {
    order (5, ENG_ROLE_DECODE);
    read (5);
    handle (ENG_EV_DRAINED);
    read (5);
    ASSERT_EQ (e.state, ENG_APPLYING);
  }
};

// Guards against a change that skips the drain, either read or the end of the
// stop of new work.
TEST_F (Eng, DrainsAndReadsTwice)
{
  order (5, ENG_ROLE_DECODE);
  EXPECT_EQ (acts.item[0].kind, ENG_DO_READ);
  read (5);
  expect_answer (MSG_ORDER_ACCEPTED);
  EXPECT_EQ (acts.item[1].kind, ENG_DO_STOP_WORK);
  handle (ENG_EV_DRAINED);
  EXPECT_EQ (acts.item[0].kind, ENG_DO_READ);
  read (5);
  EXPECT_EQ (acts.item[0].kind, ENG_DO_SEND);
  EXPECT_EQ (acts.item[0].order.token, 5u);
  handle (ENG_EV_APPLIED);
  expect_answer (MSG_ORDER_REACHED);
  EXPECT_EQ (acts.item[1].kind, ENG_DO_RESUME_WORK);
}

// Guards against an order that is taken while a request of an earlier process
// may be under way, or while the authority cannot be read.
TEST_F (Eng, RefusesUntilQueriedAndRead)
{
  eng_init (&e, "z1");
  handle (ENG_EV_START);
  ev.in_progress = 1;
  queried (ENG_ROLE_BOTH);
  order (5, ENG_ROLE_DECODE);
  expect_answer (MSG_ORDER_REFUSED);
  ev.now_us += 1 * S;
  handle (ENG_EV_TIME);
  EXPECT_EQ (acts.item[0].kind, ENG_DO_QUERY);
  ev.in_progress = 0;
  queried (ENG_ROLE_BOTH);
  ev.result = ENG_RESULT_FAILED;
  read (0);
  order (5, ENG_ROLE_DECODE);
  expect_answer (MSG_ORDER_REFUSED);
}

// Guards against orders under a token that is old, unread or read too slowly.
TEST_F (Eng, RefusesTokensThatAreNotCurrent)
{
  order (4, ENG_ROLE_DECODE);
  expect_answer (MSG_ORDER_REFUSED);
  order (5, ENG_ROLE_DECODE);
  read (6);
  expect_answer (MSG_ORDER_REFUSED);
  order (6, ENG_ROLE_DECODE);
  read (6, 1 * S + 1);
  expect_answer (MSG_ORDER_REFUSED);
  order (6, ENG_ROLE_DECODE);
  ev.result = ENG_RESULT_FAILED;
  read (6);
  expect_answer (MSG_ORDER_REFUSED);
  EXPECT_EQ (e.state, ENG_IDLE);
}

// Guards against a request that goes out long after its read.
TEST_F (Eng, VoidsTheReadOfAPausedRequest)
{
  apply ();
  EXPECT_TRUE (eng_may_send (&e, ev.now_us + 1 * S));
  EXPECT_FALSE (eng_may_send (&e, ev.now_us + 1 * S + 1));
  ev.result = ENG_RESULT_NOT_SENT;
  handle (ENG_EV_APPLIED);
  EXPECT_EQ (acts.item[0].kind, ENG_DO_READ);
}

// Guards against two orders at once, and against a draining order that cannot
// be replaced.
TEST_F (Eng, ReplacesOnlyAnOrderThatDrains)
{
  order (5, ENG_ROLE_DECODE);
  read (5);
  order (5, ENG_ROLE_PREFILL);
  handle (ENG_EV_DRAINED);
  EXPECT_EQ (acts.count, 0u);
  read (5);
  expect_answer (MSG_ORDER_FAILED, 0);
  expect_answer (MSG_ORDER_ACCEPTED, 1);
  read (5);
  EXPECT_EQ (acts.item[0].order.target.role, ENG_ROLE_PREFILL);
  order (5, ENG_ROLE_DECODE);
  expect_answer (MSG_ORDER_REFUSED);
}

// Guards against a drain of an engine that is already in the state ordered.
TEST_F (Eng, ReachedTargetChangesNothing)
{
  order (5, ENG_ROLE_BOTH);
  read (5);
  expect_answer (MSG_ORDER_REACHED);
  EXPECT_EQ (acts.count, 1u);
}

// Guards against a drained engine that is not stopped, or not resumed after.
TEST_F (Eng, DrainNeedsNoRequest)
{
  order (5, ENG_ROLE_BOTH, 1);
  read (5);
  handle (ENG_EV_DRAINED);
  expect_answer (MSG_ORDER_REACHED);
  EXPECT_EQ (acts.count, 1u);
  order (5, ENG_ROLE_BOTH, 0);
  read (5);
  EXPECT_EQ (acts.item[1].kind, ENG_DO_RESUME_WORK);
}

// Guards against a target applied again after a crash under an old token.
TEST_F (Eng, CrashInAChangeNeedsACurrentToken)
{
  apply ();
  handle (ENG_EV_CRASHED);
  EXPECT_EQ (acts.item[0].kind, ENG_DO_QUERY);
  queried (ENG_ROLE_BOTH);
  EXPECT_EQ (acts.item[0].kind, ENG_DO_READ);
  read (6);
  expect_answer (MSG_ORDER_FAILED);
  EXPECT_EQ (acts.item[1].kind, ENG_DO_RESUME_WORK);
}

// Guards against an engine kept from its work by an outage of the service.
TEST_F (Eng, GivesUpWhenTheAuthorityStaysUnreadable)
{
  order (5, ENG_ROLE_DECODE);
  read (5);
  handle (ENG_EV_DRAINED);
  ev.result = ENG_RESULT_FAILED;
  for (int i = 1; i < ENG_READ_TRIES; i++)
    {
      read (0);
      EXPECT_EQ (acts.count, 0u);
      ev.now_us += ENG_RETRY_US;
      handle (ENG_EV_TIME);
      EXPECT_EQ (acts.item[0].kind, ENG_DO_READ);
    }
  read (0);
  expect_answer (MSG_ORDER_FAILED);
  EXPECT_EQ (acts.item[1].kind, ENG_DO_RESUME_WORK);
}
}
