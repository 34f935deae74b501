#include <gtest/gtest.h>

#include <cstring>
#include <sstream>

#include "engine_headers.hh"

namespace
{
// Runs a script of events against the state machine of an engine of the shard
// "z1" that starts idle with role both, having read token 5.  Steps:
//   oTOKENROLE  order; + drain, @ another shard
//   rTOKEN      read; ! failed, ~ too slow
//   d           drained
//   a           applied; ! failed, ? unknown, - not sent
//   qROLE       queried; * in progress
//   c, s, t     crash, restart, time
// ROLE is b, p or d.  The result lists the actions of each step, - for none.
class Engine : public ::testing::Test
{
  struct engine_fsm e = {};
  int64_t now = 0;
  uint64_t last_id = 0;

  static std::string
  text (const struct engine_action &a)
  {
    const char *answers[] = { "accepted", "refused", "reached", "failed" };
    if (a.kind == ENGINE_DO_ANSWER)
      return answers[a.state];
    if (a.kind == ENGINE_DO_SEND)
      return "send" + std::to_string (a.order.token)
             + engine_role_name (a.order.target.role)[0];
    const char *names[] = { "read", "stop", "resume", "", "query" };
    return names[a.kind];
  }

  std::string
  step (const std::string &s)
  {
    const char *kinds = "sordaqct"; // in the order of enum engine_event_kind
    const char *roles = "bpd";
    const char *flags = "!?-";
    struct engine_order o = {};
    struct engine_event ev = {};
    struct engine_actions acts;
    ev.kind
        = static_cast<enum engine_event_kind> (strchr (kinds, s[0]) - kinds);
    if (s[0] == 's')
      engine_init (&e, "z1");
    strcpy (o.shard, "z1");
    o.id.lo = ++last_id;
    ev.op = s[0] == 'd' ? e.drain_op : e.op;
    ev.order = &o;
    ev.start_us = now;
    now += s[0] == 't' ? ENGINE_RETRY_INTERVAL_US : 0;
    for (char c : s.substr (1))
      if (isdigit (c))
        o.token = ev.revision = c - '0';
      else if (strchr (roles, c) != nullptr)
        o.target.role = ev.actual.role
            = static_cast<enum engine_role> (strchr (roles, c) - roles);
      else if (strchr (flags, c) != nullptr)
        ev.result = static_cast<enum engine_result> (
            1 + (strchr (flags, c) - flags));
      else if (c == '@')
        strcpy (o.shard, "z2");
      else if (c == '~')
        now += ENGINE_READ_MAX_AGE_US + 1;
      else
        o.target.drain = ev.in_progress = 1;
    ev.now_us = now;
    engine_handle (&e, &ev, &acts);
    std::string out;
    for (unsigned i = 0; i < acts.count; i++)
      out += (i > 0 ? " " : "") + text (acts.item[i]);
    return out.empty () ? "-" : out;
  }

protected:
  std::string
  run (const std::string &script)
  {
    std::istringstream in (script);
    std::string out, s;
    while (in >> s)
      out += (out.empty () ? "" : ", ") + step (s);
    return out;
  }

  void
  SetUp () override
  {
    ASSERT_EQ (run ("s qb r5"), "query, read, -");
  }

  // Whether the request may be sent after a pause of US since the read.
  bool
  may_send_after (int64_t us)
  {
    return engine_may_send (&e, now + us);
  }
};

// Guards against a role change without the drain, one of the two reads or the
// return to work, and against draining an engine that already has the target.
TEST_F (Engine, DrainsAndReadsTwice)
{
  EXPECT_EQ (run ("o5d r5 d r5 a o5d r5"),
             "read, accepted stop, read, send5d, reached resume, read, "
             "reached");
}

// Guards against accepting an order while a request of an earlier process may
// be in progress, or before the authority key was read.
TEST_F (Engine, RefusesUntilQueriedAndRead)
{
  EXPECT_EQ (run ("s qb* o5d t qb o5d r! o5d t r5 o5d"),
             "query, -, refused, query, read, refused, -, refused, read, -, "
             "read");
}

// Guards against accepting an order whose fencing token is of another shard,
// old, superseded, not readable or read too slowly.
TEST_F (Engine, RefusesTokensThatAreNotCurrent)
{
  EXPECT_EQ (run ("o9d@ o4d o5d r6 o5d o6d r6~ o6d r! o6d r6"),
             "refused, refused, read, refused, refused, read, refused, read, "
             "refused, "
             "read, accepted stop");
}

// Guards against a request that is sent long after the read that allows it:
// the holder may have changed meanwhile.
TEST_F (Engine, ReadExpiresDuringAPause)
{
  run ("o5d r5 d r5");
  EXPECT_TRUE (may_send_after (ENGINE_READ_MAX_AGE_US));
  EXPECT_FALSE (may_send_after (ENGINE_READ_MAX_AGE_US + 1));
  EXPECT_EQ (run ("a- r5 a"), "read, send5d, reached resume");
}

// Guards against two orders in progress, and against an order that can't be
// replaced or reverted while the engine drains.
TEST_F (Engine, ReplacesOnlyAnOrderThatDrains)
{
  EXPECT_EQ (run ("o5d r5 o5p o5d d r5 o5d r5 o5d"),
             "read, accepted stop, read, refused, -, failed accepted read, "
             "refused, send5p, refused");
  EXPECT_EQ (run ("a o5d r5 o5p r5"),
             "reached resume, read, accepted stop, read, "
             "failed reached resume");
}

// Guards against an order to drain that does not stop work, and against one to
// undrain that does not resume it.
TEST_F (Engine, DrainNeedsNoRequest)
{
  EXPECT_EQ (run ("o5b+ r5 d o5b r5"),
             "read, accepted stop, reached, read, reached resume");
}

// Guards against applying a target again after a crash or a lost answer
// without a query or with an old token, and against not applying it again.
TEST_F (Engine, QueriesAfterACrashOrALostAnswer)
{
  EXPECT_EQ (run ("o5d r5 d r5 a? qb r5 c qb* t qb r6"),
             "read, accepted stop, read, send5d, query, read, send5d, query, "
             "-, query, read, failed resume");
  EXPECT_EQ (run ("o6p r6 d r6 a? qp"),
             "read, accepted stop, read, send6p, query, reached resume");
}

// Guards against an engine that stays drained throughout an outage of the
// key-value service.
TEST_F (Engine, FailsTheOrderWhenTheKeyStaysUnreadable)
{
  run ("o5d r5 d");
  for (int i = 1; i < ENGINE_READ_TRIES_MAX; i++)
    EXPECT_EQ (run ("r! t"), "-, read");
  EXPECT_EQ (run ("r!"), "failed resume");
}
}
