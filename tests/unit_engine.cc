#include <gtest/gtest.h>

#include <cstring>
#include <sstream>

#include "engine_headers.hh"

namespace
{
// Runs a script of events against an aggregate for the shard "z1" that starts
// idle with role both, having read token 5.  Steps: oTOKENROLE[+] order (+ for
// drain, @ for
// another shard), rTOKEN read ("!" failed, "~" too slow), d drained, a applied
// ("!" failed, "?" unknown, "-" not sent), qROLE queried ("*" in progress), c
// crash, s restart, t time.  ROLE is b, p or d.  Returns the actions, - for
// none.
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

  // Called in place of a pause between the read and the request.
  bool
  may_send_after (int64_t us)
  {
    return engine_may_send (&e, now + us);
  }
};

// Guards against a change that skips the drain, either read or the return to
// work, and a drain of an engine that is already in the state ordered.
TEST_F (Engine, DrainsAndReadsTwice)
{
  EXPECT_EQ (run ("o5d r5 d r5 a o5d r5"),
             "read, accepted stop, read, send5d, reached resume, read, "
             "reached");
}

// Guards against an order that is taken while a request of an earlier process
// may be under way, or while the authority cannot be read.
TEST_F (Engine, RefusesUntilQueriedAndRead)
{
  EXPECT_EQ (run ("s qb* o5d t qb o5d r! o5d t r5 o5d"),
             "query, -, refused, query, read, refused, -, refused, read, -, "
             "read");
}

// Guards against orders under a token that is of another shard, old,
// superseded, unreadable or read too slowly.
TEST_F (Engine, RefusesTokensThatAreNotCurrent)
{
  EXPECT_EQ (run ("o9d@ o4d o5d r6 o5d o6d r6~ o6d r! o6d r6"),
             "refused, refused, read, refused, refused, read, refused, read, "
             "refused, "
             "read, accepted stop");
}

// Guards against a request that goes out long after its read.
TEST_F (Engine, VoidsTheReadOfAPausedRequest)
{
  run ("o5d r5 d r5");
  EXPECT_TRUE (may_send_after (ENGINE_READ_MAX_AGE_US));
  EXPECT_FALSE (may_send_after (ENGINE_READ_MAX_AGE_US + 1));
  EXPECT_EQ (run ("a- r5 a"), "read, send5d, reached resume");
}

// Guards against two orders at once, and against a draining order that cannot
// be replaced or called off.
TEST_F (Engine, ReplacesOnlyAnOrderThatDrains)
{
  EXPECT_EQ (run ("o5d r5 o5p o5d d r5 o5d r5 o5d"),
             "read, accepted stop, read, refused, -, failed accepted read, "
             "refused, send5p, refused");
  EXPECT_EQ (run ("a o5d r5 o5p r5"),
             "reached resume, read, accepted stop, read, "
             "failed reached resume");
}

// Guards against an engine that is ordered to drain and is not stopped, or is
// not resumed after.
TEST_F (Engine, DrainNeedsNoRequest)
{
  EXPECT_EQ (run ("o5b+ r5 d o5b r5"),
             "read, accepted stop, reached, read, reached resume");
}

// Guards against a target that is applied again after a crash or a lost
// answer without a query or under an old token, or is not applied again.
TEST_F (Engine, QueriesAfterACrashOrALostAnswer)
{
  EXPECT_EQ (run ("o5d r5 d r5 a? qb r5 c qb* t qb r6"),
             "read, accepted stop, read, send5d, query, read, send5d, query, "
             "-, query, read, failed resume");
  EXPECT_EQ (run ("o6p r6 d r6 a? qp"),
             "read, accepted stop, read, send6p, query, reached resume");
}

// Guards against an engine kept from its work by an outage of the service.
TEST_F (Engine, GivesUpWhenTheAuthorityStaysUnreadable)
{
  run ("o5d r5 d");
  for (int i = 1; i < ENGINE_READ_TRIES_MAX; i++)
    EXPECT_EQ (run ("r! t"), "-, read");
  EXPECT_EQ (run ("r!"), "failed resume");
}
}
