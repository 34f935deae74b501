// What the gateway concludes when a runner ends with a request in progress:
// each way in which the end shows or stays hidden.
#include <string>
#include <vector>

#include "gateway_call.hh"

using namespace gateway_call;

namespace
{

const int64_t second = 1000000;

// The request's prompt has the part 0xa; its last part is its own.
const char *const prompt = "X-Goldcresthatch-Token-Count: 20,4\r\n"
                           "X-Goldcresthatch-Prompt-Prefix: a:10,b:10\r\n";

class RunnerFate : public GatewayCall
{
protected:
  std::vector<int> waiting;

  void
  TearDown () override
  {
    for (int fd : waiting)
      close (fd);
    GatewayCall::TearDown ();
  }
  size_t
  crashes ()
  {
    return quarantine_crashes (gw_quarantine_table (&gw), 0xa);
  }
  // Lets the address of the runner I swallow new connections.
  void
  swallow (int i)
  {
    struct sockaddr_in address;
    listen (listeners[i], 0);
    settings_parse_address (addresses[i].c_str (), &address);
    for (int n = 0; n < 4; n++)
      {
        waiting.push_back (socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        connect (waiting.back (), (struct sockaddr *)&address, sizeof address);
      }
  }
  // Registers a runner ID at the address of the runner I.
  void
  register_again (int i, const char *id)
  {
    struct pool_entry e = pool_at (gw.runner_pool, i)->entry;
    g_strlcpy (e.id, id, sizeof e.id);
    e.started_ms = ++started;
    e.draining = 0;
    pool_put (gw.runner_pool, &e, 2);
  }
  void
  remove_entry (const char *id)
  {
    pool_remove (gw.runner_pool, id, 9, gw_now (&gw));
  }
  // Lets US pass, in which connections make progress.
  void
  pass (int64_t us)
  {
    for (int64_t end = gw_now (&gw) + us; gw_now (&gw) < end;)
      {
        tmr_advance (gw.tmr, gw_now (&gw) + 100000);
        for (int i = 0; i < 4; i++)
          {
            uv_run (&gw.loop, UV_RUN_NOWAIT);
            usleep (500);
          }
      }
  }
  // Sends a request that may run only once to the only runner, which receives
  // it.  Returns its connection.
  int
  begin (const char *service = "app")
  {
    int fd;
    runner (0, service);
    send_request (*service == 'a' ? "/order/1" : "/chat/1", prompt);
    receive_at_runner (0, &fd);
    return fd;
  }
};

// Guards against a request that ends plain runners and is evidence only when
// another request is sent to the runner within a second.
TEST_F (RunnerFate, RefusedConnectionShowsTheEndOfAPlainRunner)
{
  int fd = begin ();
  close (listeners[0]);
  listeners[0] = -1;
  close (fd);
  EXPECT_TRUE (client_has ("HTTP/1.1 502"));
  EXPECT_TRUE (run_until (
      &gw.loop, [&] { return crashes () == 1; }, 2000));
}

// Guards against a runner that counts as reached because the next one accepts
// connections at its address.
TEST_F (RunnerFate, NextRunnerAtItsAddressShowsTheEnd)
{
  for (const char *service : { "app", "llm" })
    {
      SCOPED_TRACE (service);
      size_t before = crashes ();
      int fd = begin (service);
      close (fd);
      EXPECT_TRUE (client_has ("HTTP/1.1 502"));
      pass (second / 2);
      EXPECT_EQ (crashes (), before);
      register_again ((int)pool_count (gw.runner_pool) - 1,
                      *service == 'a' ? "next-a" : "next-l");
      pass (second / 2);
      EXPECT_EQ (crashes (), before + 1);
      close (listeners[0]);
      close (client);
      got.clear ();
      remove_entry ("r0");
      remove_entry ("next-a");
      remove_entry ("next-l");
      pass (12 * second);
    }
}

// Guards against a new lifetime under the same id that hides the end.
TEST_F (RunnerFate, LaterStartUnderItsIdShowsTheEnd)
{
  int fd = begin ();
  close (fd);
  EXPECT_TRUE (client_has ("HTTP/1.1 502"));
  register_again (0, "r0");
  pass (second / 2);
  EXPECT_EQ (crashes (), 1U);
}

// Guards against a machine that goes with its runner and hides the end: its
// address swallows connections until the entry has expired.
TEST_F (RunnerFate, ExpiredEntryOfASilentRunnerShowsTheEnd)
{
  int fd = begin ();
  swallow (0);
  close (fd);
  EXPECT_TRUE (client_has ("HTTP/1.1 502"));
  pass (4 * second);
  EXPECT_EQ (crashes (), 0U);
  remove_entry ("r0");
  pass (second);
  EXPECT_EQ (crashes (), 1U);
}

// Guards against a machine that falls silent with the connection of the
// request, so that nothing breaks.
TEST_F (RunnerFate, ExpiredEntryShowsTheEndUnderAWaitingRequest)
{
  int fd = begin ();
  swallow (0);
  pass (second);
  remove_entry ("r0");
  pass (second);
  EXPECT_EQ (crashes (), 1U);
  close (fd);
}

// Guards against the next lifetime at its address that hides the end from a
// request that waits on a silent connection.
TEST_F (RunnerFate, NextRunnerShowsTheEndUnderAWaitingRequest)
{
  int fd = begin ();
  pass (second / 2);
  register_again (0, "next");
  pass (second / 2);
  EXPECT_EQ (crashes (), 1U);
  close (fd);
}

// Guards against a client that leaves before the end of its silent runner is
// known.
TEST_F (RunnerFate, ExpiredEntryShowsTheEndUnderARequestThatWasLeft)
{
  int fd = begin ();
  swallow (0);
  pass (second);
  close (client);
  pass (second);
  client = -1;
  remove_entry ("r0");
  pass (second);
  EXPECT_EQ (crashes (), 1U);
  close (fd);
}

// Guards against sound requests that are accused: the connection broke, but
// the runner goes on.
TEST_F (RunnerFate, BrokenConnectionOfALivingRunnerIsNoEvidence)
{
  int fd = begin ();
  close (fd);
  EXPECT_TRUE (client_has ("HTTP/1.1 502"));
  pass (12 * second);
  EXPECT_EQ (crashes (), 0U);
  // Its end long after is none, either.
  close (listeners[0]);
  listeners[0] = -1;
  remove_entry ("r0");
  pass (second);
  EXPECT_EQ (crashes (), 0U);
}

// Guards against sound requests that are accused when the registry loses
// entries, or a runner's own outage.
TEST_F (RunnerFate, EntriesMissingInAnOutageOfTheRegistryAreNoEvidence)
{
  int fd = begin ();
  close (fd);
  EXPECT_TRUE (client_has ("HTTP/1.1 502"));
  pool_set_registry_reachable (gw.runner_pool, 0, gw_now (&gw));
  remove_entry ("r0");
  pass (4 * second);
  EXPECT_EQ (crashes (), 0U);
  pool_set_registry_reachable (gw.runner_pool, 1, gw_now (&gw));
  pass (second);
  EXPECT_EQ (crashes (), 0U);
}

// Guards against running work that is ended, and accused, when a runner leaves
// without notice: its entry is removed, and it goes on for a while.
TEST_F (RunnerFate, RunnerThatLeavesWithoutNoticeHasNotEnded)
{
  int fd = begin ();
  remove_entry ("r0");
  pass (second);
  EXPECT_EQ (crashes (), 0U);
  put (fd, head (200, stamp + std::string ("Content-Length: 2\r\n\r\nok")));
  EXPECT_TRUE (client_has ("ok"));
  EXPECT_EQ (crashes (), 0U);
  close (fd);
}

// Guards against a request that ends runner after runner while the end of the
// first ones isn't known yet: what may have ended two runners runs alone.
TEST_F (RunnerFate, RequestThatMayHaveEndedTwoRunnersRunsAlone)
{
  int fd;
  for (int i = 0; i < 2; i++)
    {
      struct pool_runner *r = runner (i, "app");
      send_request ("/order/1");
      receive_at_runner (i, &fd);
      swallow (i);
      close (fd);
      EXPECT_TRUE (client_has ("HTTP/1.1 502"));
      close (client);
      got.clear ();
      pass (second * 6 / 5);
      r->backoff_until_us = INT64_MAX;
    }
  runner (2, "app");
  send_request ("/order/1");
  receive_at_runner (2, &fd);
  int first = client;
  send_request ("/order/1");
  EXPECT_TRUE (client_has ("HTTP/1.1 503"));
  EXPECT_NE (got.find ("Retry-After: 0."), std::string::npos);
  close (client);
  got.clear ();
  // Another request isn't held up.
  int other;
  send_request ("/order/2");
  EXPECT_NE (receive_at_runner (2, &other).find ("/order/2"),
             std::string::npos);
  close (other);
  close (client);
  got.clear ();
  // The answer shows that the request is sound.
  client = first;
  put (fd, head (200, stamp + std::string ("Content-Length: 2\r\n\r\nok")));
  EXPECT_TRUE (client_has ("ok"));
  close (client);
  close (fd);
  got.clear ();
  for (int i = 0; i < 2; i++)
    {
      send_request ("/order/1");
      receive_at_runner (2, &fd);
      put (fd, head (200, stamp
                              + std::string ("Content-Length: 2\r\n\r\n"
                                             "ok")));
      EXPECT_TRUE (client_has ("ok"));
      close (client);
      close (fd);
      got.clear ();
    }
}

}
