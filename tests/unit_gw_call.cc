// Requests through the gateway, seen from the client's and the runner's end.
#include <map>
#include <string>
#include <vector>

#include "gateway_call.hh"

using namespace gateway_call;

namespace
{

// Guards against a status line in the middle of a stream that can't be resumed
// after its runner's connection is reset.
TEST_F (GatewayCall, BrokenStreamIsAborted)
{
  int fd;
  runner (0, "llm");
  send_request ("/check/1", "X-Goldcresthatch-Token-Count: 90,4\r\n");
  receive_at_runner (0, &fd);
  put (fd, head (200, stamp + std::string (chunked)) + chunk (event1));
  ASSERT_TRUE (client_has (event1));
  reset (fd);
  EXPECT_TRUE (client_closed ());
  EXPECT_EQ (got.find ("HTTP/1.1", 1), std::string::npos);
  EXPECT_EQ (got.find ("\r\n0\r\n"), std::string::npos);
}

// Guards against a stream that loses or repeats an event, or ends early, when
// another runner resumes it.
TEST_F (GatewayCall, ResumedStreamIsWhole)
{
  int fd;
  runner (0, "llm");
  runner (1, "llm");
  send_request ("/check/1", "X-Goldcresthatch-Token-Count: 90,4\r\n");
  receive_at_runner (0, &fd);
  put (fd, head (200, stamp + std::string (chunked))
               + chunk (event1 + "id: 2\nda"));
  ASSERT_TRUE (client_has (event1));
  reset (fd);
  std::string again = receive_at_runner (1, &fd);
  EXPECT_NE (again.find ("Last-Event-Id: 1\r\n"), std::string::npos);
  put (fd, head (200, stamp + std::string (chunked)) + chunk (event2)
               + "0\r\n\r\n");
  ASSERT_TRUE (client_has ("\r\n0\r\n\r\n"));
  EXPECT_NE (got.find (chunk (event1) + chunk (event2)), std::string::npos);
}

// Guards against status 503, "not run", for a request that may have run and
// can't be retried at another runner, whether it is idempotent or not.
TEST_F (GatewayCall, LostAnswerGivesStatus502)
{
  int fd;
  runner (0, "app");
  for (const char *path : { "/order/1", "/read/1" })
    {
      got.clear ();
      pool_find (gw.runner_pool, "r0")->backoff_until_us = 0;
      send_request (path);
      receive_at_runner (0, &fd);
      reset (fd);
      EXPECT_TRUE (client_has ("HTTP/1.1 502")) << path << got;
      close (client);
    }
}

// Guards against status 502 when the runner answers that it did not run the
// request, and against a 503 without Retry-After.
TEST_F (GatewayCall, NotRunGivesStatus503)
{
  int fd;
  runner (0, "app");
  send_request ("/order/1");
  receive_at_runner (0, &fd);
  put (fd, head (503, "X-Goldcresthatch-Not-Run: 1\r\n"
                      "Content-Length: 0\r\n\r\n"));
  EXPECT_TRUE (client_has ("HTTP/1.1 503"));
  EXPECT_TRUE (client_has ("\r\nRetry-After: 0."));
}

// Guards against forwarding a late answer to another request.
TEST_F (GatewayCall, ForeignAnswerIsSkipped)
{
  int fd;
  runner (0, "app");
  send_request ("/order/1");
  receive_at_runner (0, &fd);
  put (fd, std::string ("HTTP/1.1 200 X\r\nX-Goldcresthatch-Request-Id: x\r\n")
               + stamp + "Content-Length: 5\r\n\r\nstale"
               + head (200, stamp + std::string ("Content-Length: 3\r\n\r\n"))
               + "new");
  EXPECT_TRUE (client_has ("new"));
  EXPECT_EQ (got.find ("stale"), std::string::npos);
}

// Guards against forwarding a success that lacks the stamp of a runner.
TEST_F (GatewayCall, UnstampedSuccessIsNotPassedOn)
{
  int fd;
  runner (0, "app");
  send_request ("/order/1");
  receive_at_runner (0, &fd);
  put (fd, head (200, "Content-Length: 3\r\n\r\nnew"));
  EXPECT_TRUE (client_has ("HTTP/1.1 502"));
}

// Guards against a runner that keeps working for a client that has
// disconnected.
TEST_F (GatewayCall, DisconnectCancelsTheRun)
{
  int fd;
  char byte;
  runner (0, "llm");
  send_request ("/chat/1", "X-Goldcresthatch-Token-Count: 90,4\r\n");
  receive_at_runner (0, &fd);
  put (fd, head (200, stamp + std::string (chunked)) + chunk (event1));
  ASSERT_TRUE (client_has (event1));
  close (client);
  client = -1;
  EXPECT_TRUE (run_until (&gw.loop, [&] {
    ssize_t n = read (fd, &byte, 1);
    return n == 0 || (n < 0 && errno == ECONNRESET);
  }));
  EXPECT_EQ (pool_find (gw.runner_pool, "r0")->calls, 0U);
}

// Guards against a prefill when there is no decode engine.
TEST_F (GatewayCall, NoPrefillWithoutDecodeEngine)
{
  runner (0, "llm", POOL_STAGE_PREFILL);
  send_request ("/check/1",
                "X-Goldcresthatch-Token-Count: 2000,4\r\n"
                "X-Goldcresthatch-Prompt-Prefix: a:900,b:1100\r\n");
  EXPECT_TRUE (client_has ("HTTP/1.1 503"));
  EXPECT_EQ (accept (listeners[0], nullptr, nullptr), -1);
}

// Guards against a KV handle that isn't passed to the decode engine, or is
// passed twice.
TEST_F (GatewayCall, SeparatePrefillPassesTheHandle)
{
  int fd;
  runner (0, "llm", POOL_STAGE_PREFILL);
  runner (1, "llm", POOL_STAGE_DECODE);
  send_request ("/check/1",
                "X-Goldcresthatch-Token-Count: 2000,4\r\n"
                "X-Goldcresthatch-Prompt-Prefix: a:900,b:1100\r\n");
  std::string first = receive_at_runner (0, &fd);
  EXPECT_NE (first.find ("Stage: prefill\r\n"), std::string::npos);
  put (fd, head (200, "Content-Length: 15\r\n\r\n{\"handle\":\"h1\"}"));
  std::string second = receive_at_runner (1, &fd);
  EXPECT_NE (second.find ("Kv-Source: " + addresses[0] + "/h1\r\n"),
             std::string::npos);
  EXPECT_EQ (second.find ("Stage"), std::string::npos);
  put (fd, head (200, stamp + std::string (chunked)) + chunk (event1)
               + "0\r\n\r\n");
  EXPECT_TRUE (client_has ("\r\n0\r\n\r\n"));
  EXPECT_EQ (pool_find (gw.runner_pool, "r0")->calls, 0U);
  EXPECT_EQ (pool_find (gw.runner_pool, "r0")->references, 0U);
}

// Burst of long prompts: guards against a refusal while a decode engine could
// read the prompt in time, and against counting that prompt as queued after
// its answer has begun.
TEST_F (GatewayCall, OverflowPrefillsAtTheDecodeEngine)
{
  int fd;
  gw.set.overflow_share = 0.25;
  runner (0, "llm", POOL_STAGE_PREFILL);
  runner (1, "llm", POOL_STAGE_DECODE);
  pool_find (gw.runner_pool, "r0")->tokens = 1e7;
  send_request ("/check/1",
                "X-Goldcresthatch-Token-Count: 2000,4\r\n"
                "X-Goldcresthatch-Prompt-Prefix: a:900,b:1100\r\n");
  std::string sent = receive_at_runner (1, &fd);
  EXPECT_EQ (sent.find ("Stage"), std::string::npos);
  EXPECT_EQ (sent.find ("Kv-Source"), std::string::npos);
  EXPECT_EQ (pool_find (gw.runner_pool, "r1")->tokens, 2000);
  put (fd, head (200, stamp + std::string (chunked)) + chunk (event1));
  EXPECT_TRUE (client_has ("HTTP/1.1 200"));
  EXPECT_EQ (pool_find (gw.runner_pool, "r1")->tokens, 0);
  put (fd, "0\r\n\r\n");
  EXPECT_TRUE (client_has ("\r\n0\r\n\r\n"));
}

// Guards against forwarding a partial relayed answer as a complete one when
// the connection to the relay breaks before the end of the first event.
TEST_F (GatewayCall, BrokenRelayIsNotACompleteAnswer)
{
  int fd = -1;
  std::string address;
  int relay = listen_raw (&address);
  fcntl (relay, F_SETFL, O_NONBLOCK);
  gw.set.link_mbit = 10;
  GHashTable *present = g_hash_table_new (g_str_hash, g_str_equal);
  std::string presence = "- " + address + " 200 z";
  g_hash_table_insert (present, g_strdup ("wide"),
                       g_strdup (presence.c_str ()));
  gw_relay_update (&gw, present);
  client = connect_raw (front);
  fcntl (client, F_SETFL, O_NONBLOCK);
  put (client, "POST /chat/1 HTTP/1.1\r\nHost: h\r\n"
               "X-Goldcresthatch-Request-Id: me\r\n"
               "Content-Length: 3000\r\n\r\n"
                   + std::string (3000, 'x'));
  ASSERT_TRUE (run_until (&gw.loop, [&] {
    fd = accept (relay, nullptr, nullptr);
    return fd >= 0;
  }));
  put (fd, head (200, stamp + std::string (chunked)) + chunk ("id: 1\nda"));
  for (int i = 0; i < 50; i++)
    uv_run (&gw.loop, UV_RUN_NOWAIT);
  close (fd);
  EXPECT_TRUE (client_has ("HTTP/1.1 502"));
  EXPECT_EQ (got.find ("200 X"), std::string::npos);
  close (relay);
}

// Guards against an answer after the deadline, and against a status that says
// that a request which may have run has not.
TEST_F (GatewayCall, DeadlineGivesStatus504)
{
  int fd;
  runner (0, "app");
  send_request ("/order/1", "X-Goldcresthatch-Deadline-Ms: 300\r\n");
  receive_at_runner (0, &fd);
  tmr_advance (gw.tmr, tmr_now (gw.tmr) + 360000);
  EXPECT_TRUE (client_has ("HTTP/1.1 504"));
}

// Guards against forwarding a failure of an idempotent call that another
// runner could answer, and against hiding the failure when there is none.
TEST_F (GatewayCall, FailedIdempotentCallIsRetried)
{
  int fd;
  runner (0, "app");
  runner (1, "app");
  send_request ("/read/1");
  std::string first = receive_at_runner (0, &fd);
  put (fd, head (500, stamp + std::string ("Content-Length: 3\r\n\r\nbad")));
  receive_at_runner (1, &fd);
  put (fd, head (500, stamp + std::string ("Content-Length: 5\r\n\r\nworse")));
  EXPECT_TRUE (client_has ("worse"));
  EXPECT_NE (got.find ("HTTP/1.1 500"), std::string::npos);
}

// Pattern: many gateways with narrow links in a few zones.  Guards against
// relays that cross zones although the zone has one, and against all gateways
// taking the first of several equal ones.
TEST_F (GatewayCall, RelayIsChosenByZoneAndLoad)
{
  GHashTable *present = g_hash_table_new (g_str_hash, g_str_equal);
  gw.set.link_mbit = 10;
  for (const char *zone : { "y", "z" })
    for (int i = 0; i < 3; i++)
      g_hash_table_insert (
          present, g_strdup_printf ("wide-%s-%d", zone, i),
          g_strdup_printf ("- 127.0.0.1:%d 200 %s", 7000 + i, zone));
  gw_relay_update (&gw, present);
  std::map<std::string, int> chosen;
  for (int i = 0; i < 300; i++)
    chosen[gw_relay_choose (&gw, 9000, "y", nullptr, 0)->entry.id]++;
  EXPECT_EQ (chosen.size (), 3U);
  for (auto &[id, n] : chosen)
    {
      EXPECT_EQ (id.compare (0, 6, "wide-y"), 0) << id;
      EXPECT_GT (n, 50) << id;
    }
  struct pool_runner *first = gw_relay_choose (&gw, 9000, "z", nullptr, 0);
  first->calls = 1;
  for (int i = 0; i < 20; i++)
    EXPECT_NE (gw_relay_choose (&gw, 9000, "z", nullptr, 0), first);
  EXPECT_NE (gw_relay_choose (&gw, 9000, "elsewhere", nullptr, 0), nullptr);
  EXPECT_EQ (gw_relay_choose (&gw, 200, "z", nullptr, 0), nullptr);
}

// Guards against a runner in trouble that sends without end what is no answer,
// until its caller closes.  The request gets its outcome: what may have run is
// never called "not run", and a prompt that was not read is read elsewhere.
TEST_F (GatewayCall, EndlessAnswersOfRunnersEnd)
{
  static const struct
  {
    const char *what;
    const char *path;
    const char *fields; /* of the answer */
    const char *piece;
    const char *outcome;
  } kinds[] = {
    { "no stamp", "/order/1", "", "x", "HTTP/1.1 502" },
    { "no stamp, chunked", "/order/1", "Transfer-Encoding: chunked\r\n",
      "4\r\nabcd\r\n", "HTTP/1.1 502" },
    { "a stream without the end of an event", "/chat/1",
      "X-Goldcresthatch-Server-Stamp: s\r\n"
      "X-Goldcresthatch-Request-Id: me\r\n",
      "data: x", "HTTP/1.1 502" },
  };
  runner (0, "app");
  runner (1, "llm", POOL_STAGE_DECODE);
  for (const auto &kind : kinds)
    {
      size_t held;
      int fd = -1;
      int at = strncmp (kind.path, "/chat", 5) == 0 ? 1 : 0;
      got.clear ();
      send_request (kind.path);
      receive_at_runner (at, &fd);
      size_t sent = send_endlessly (&gw.loop, fd,
                                    std::string ("HTTP/1.1 200 OK\r\n")
                                        + kind.fields + "\r\n",
                                    kind.piece, &held);
      EXPECT_LT (sent, size_t{ 16 } << 20) << kind.what;
      EXPECT_LT (held, size_t{ 4 } << 20) << kind.what;
      EXPECT_TRUE (client_has (kind.outcome)) << kind.what << got;
      close (fd);
      close (client);
    }
}

// The same where only the prompt is read: another engine reads it.
TEST_F (GatewayCall, EndlessAnswerToAPromptIsRetried)
{
  size_t held;
  int fd = -1;
  int other = -1;
  runner (0, "llm", POOL_STAGE_PREFILL);
  runner (1, "llm", POOL_STAGE_PREFILL);
  runner (2, "llm", POOL_STAGE_DECODE);
  send_request ("/check/1", "X-Goldcresthatch-Token-Count: 2000,2\r\n"
                            "X-Goldcresthatch-Prompt-Prefix: a:1000,b:1000"
                            "\r\n");
  int first = -1;
  ASSERT_TRUE (run_until (&gw.loop, [&] {
    for (int i = 0; i < 2 && first < 0; i++)
      {
        fd = accept (listeners[i], nullptr, nullptr);
        first = fd >= 0 ? i : -1;
      }
    return first >= 0;
  }));
  size_t sent = send_endlessly (&gw.loop, fd, "HTTP/1.1 200 OK\r\n\r\n",
                                "{\"handle\":", &held);
  EXPECT_LT (sent, size_t{ 16 } << 20);
  EXPECT_LT (held, size_t{ 4 } << 20);
  EXPECT_NE (receive_at_runner (1 - first, &other).find ("prefill"),
             std::string::npos);
  close (fd);
  close (other);
}

// Guards against a late second copy of an answer on a connection in use again,
// where the copy lacks the request's id: it must neither reach the next caller
// nor count as the promise that the next request has not run.
TEST_F (GatewayCall, LateCopyOnAReusedConnectionIsNotTheAnswer)
{
  static const struct
  {
    int status;
    const char *fields;
  } copies[] = {
    { 503, "X-Goldcresthatch-Not-Run: 1\r\n" },
    { 500, "X-Goldcresthatch-Server-Stamp: old\r\n" },
    { 200, "X-Goldcresthatch-Server-Stamp: old\r\n" },
    { 421, "" },
    { 503, "X-Goldcresthatch-Not-Run: 1\r\n"
           "X-Goldcresthatch-Request-Id: other\r\n" },
  };
  runner (0, "app");
  runner (1, "app");
  pool_find (gw.runner_pool, "r1")->backoff_until_us = INT64_MAX;
  for (const auto &copy : copies)
    {
      int fd = -1;
      send_request ("/order/1");
      receive_at_runner (0, &fd);
      got.clear ();
      put (fd,
           head (200, std::string (stamp) + "Content-Length: 5\r\n\r\nfirst"));
      ASSERT_TRUE (client_has ("first"));
      close (client);
      got.clear ();
      send_request ("/order/2");
      std::string text;
      ASSERT_TRUE (run_until (&gw.loop, [&] {
        char buffer[4000];
        ssize_t n = read (fd, buffer, sizeof buffer);
        if (n > 0)
          text.append (buffer, static_cast<size_t> (n));
        return text.find ("body") != std::string::npos;
      })) << "the connection is used again";
      pool_find (gw.runner_pool, "r1")->backoff_until_us = 0;
      put (fd, "HTTP/1.1 " + std::to_string (copy.status) + " X\r\n"
                   + copy.fields + "Content-Length: 3\r\n\r\nold");
      run_until (
          &gw.loop, [&] { return client_has_now ("HTTP/1.1"); }, 300);
      EXPECT_EQ (got.find ("old"), std::string::npos) << copy.status;
      EXPECT_EQ (got.find ("HTTP/1.1 503"), std::string::npos) << copy.status;
      EXPECT_LT (accept (listeners[1], nullptr, nullptr), 0)
          << "sent again after a copy with status " << copy.status;
      pool_find (gw.runner_pool, "r1")->backoff_until_us = INT64_MAX;
      pool_find (gw.runner_pool, "r0")->backoff_until_us = 0;
      close (fd);
      close (client);
      for (int i = 0; i < 20; i++)
        uv_run (&gw.loop, UV_RUN_NOWAIT);
    }
}

// Guards against a refusal that a runner writes twice and that is taken for
// the answer to the next request: its client is told "not run", or it runs
// twice.
TEST_F (GatewayCall, RefusalWrittenTwiceIsNotTheNextAnswer)
{
  enum
  {
    AT_ONCE,
    WHILE_IDLE,
    AFTER_THE_NEXT_REQUEST
  };
  const std::string refusal = "HTTP/1.1 503 X\r\n"
                              "X-Goldcresthatch-Request-Id: one\r\n"
                              "X-Goldcresthatch-Not-Run: 1\r\n"
                              "Content-Length: 0\r\n\r\n";
  const std::string own = "id: 1\ndata: own\n\n";
  auto send = [&] (const std::string &path, const std::string &id) {
    client = connect_raw (front);
    fcntl (client, F_SETFL, O_NONBLOCK);
    got.clear ();
    put (client, "POST " + path + " HTTP/1.1\r\nHost: h\r\n"
                     + "X-Goldcresthatch-Request-Id: " + id
                     + "\r\nX-Goldcresthatch-Token-Count: 90,4\r\n"
                       "Content-Length: 4\r\n\r\nbody");
  };
  for (const char *path : { "/order/1", "/read/1", "/chat/1", "/check/1" })
    for (int when : { AT_ONCE, WHILE_IDLE, AFTER_THE_NEXT_REQUEST })
      {
        SCOPED_TRACE (testing::Message () << path << " " << when);
        int fd;
        int arrivals = 1;
        std::string text;
        struct pool_runner *r
            = runner (0, path[1] == 'o' || path[1] == 'r' ? "app" : "llm");
        send (path, "one");
        receive_at_runner (0, &fd);
        put (fd, when == AT_ONCE ? refusal + refusal : refusal);
        EXPECT_TRUE (client_has ("HTTP/1.1 503"));
        close (client);
        if (when == WHILE_IDLE)
          {
            put (fd, refusal);
            usleep (20000);
          }
        r->backoff_until_us = 0;
        send (path, "two");
        ASSERT_TRUE (run_until (&gw.loop, [&] {
          char buffer[4000];
          ssize_t n = read (fd, buffer, sizeof buffer);
          if (n > 0)
            text.append (buffer, static_cast<size_t> (n));
          int next = accept (listeners[0], nullptr, nullptr);
          if (next >= 0)
            {
              fcntl (next, F_SETFL, O_NONBLOCK);
              close (fd);
              fd = next;
            }
          return text.find ("body") != std::string::npos;
        }));
        EXPECT_NE (text.find (": two"), std::string::npos);
        if (when == AFTER_THE_NEXT_REQUEST)
          put (fd, refusal);
        run_until (
            &gw.loop, [] { return false; }, 20);
        put (fd, "HTTP/1.1 200 X\r\nX-Goldcresthatch-Request-Id: two\r\n"
                     + std::string (stamp) + chunked + chunk (own)
                     + "0\r\n\r\n");
        EXPECT_TRUE (client_has (own)) << got;
        while (accept (listeners[0], nullptr, nullptr) >= 0)
          arrivals++;
        EXPECT_EQ (arrivals, 1);
        close (client);
        close (fd);
        close (listeners[0]);
        pool_remove (gw.runner_pool, "r0", 9, gw_now (&gw));
        pool_tick (gw.runner_pool, gw_now (&gw));
      }
}

// Guards against cutting a stream that is slow but sound, and against keeping
// one that only drips: the route's time ends both, and nothing before.
TEST_F (GatewayCall, SlowStreamsGoOnAndDrippingOnesEnd)
{
  for (bool sound : { true, false })
    {
      int fd = -1;
      got.clear ();
      if (listeners[1] < 0)
        runner (1, "llm", POOL_STAGE_DECODE);
      send_request ("/chat/1");
      receive_at_runner (1, &fd);
      put (fd, head (200, stamp + std::string (chunked)) + chunk (event1));
      ASSERT_TRUE (client_has (event1));
      for (int piece = 0; piece < 4; piece++)
        {
          tmr_advance (gw.tmr, tmr_now (gw.tmr) + 1100000);
          http_client_check_timeouts (gw.cli);
          std::string event
              = "id: " + std::to_string (piece + 2) + "\ndata: slow\n\n";
          put (fd, chunk (sound ? event : ":"));
          EXPECT_TRUE (!sound || client_has (event)) << piece;
        }
      EXPECT_FALSE (client_has_now ("\r\n0\r\n")) << got;
      EXPECT_EQ (gw.active, 1U) << "it is not cut before its time";
      if (sound)
        {
          put (fd, "0\r\n\r\n");
          EXPECT_TRUE (client_has ("\r\n0\r\n\r\n"));
        }
      else
        {
          tmr_advance (gw.tmr, tmr_now (gw.tmr) + 700000);
          EXPECT_TRUE (client_closed ());
          EXPECT_EQ (got.find ("\r\n0\r\n\r\n"), std::string::npos)
              << "a stream that was cut must not look complete";
        }
      EXPECT_EQ (gw.active, 0U);
      close (fd);
      close (client);
    }
}

// Guards against giving up or repeating the running work of a runner whose
// registry entry disappears while it is only slow to report.
TEST_F (GatewayCall, RunningWorkOfASilentRunnerGoesOn)
{
  int fd = -1;
  runner (0, "app");
  send_request ("/read/1");
  receive_at_runner (0, &fd);
  runner (1, "app");
  pool_remove (gw.runner_pool, "r0", 5, tmr_now (gw.tmr));
  for (int i = 0; i < 20; i++)
    {
      tmr_advance (gw.tmr, tmr_now (gw.tmr) + 100000);
      pool_tick (gw.runner_pool, tmr_now (gw.tmr));
      uv_run (&gw.loop, UV_RUN_NOWAIT);
    }
  EXPECT_LT (accept (listeners[1], nullptr, nullptr), 0) << "sent elsewhere";
  EXPECT_EQ (gw.active, 1U) << "given up";
  put (fd, head (200, stamp + std::string ("Content-Length: 4\r\n\r\nslow")));
  EXPECT_TRUE (client_has ("slow"));
  close (fd);
}

// Guards against running a request again, or calling it "not run", after its
// answer is lost at any point.
TEST_F (GatewayCall, LostAnswerIsNeitherRepeatedNorCalledNotRun)
{
  static const std::string parts[]
      = { "", "HTTP/1.1 200 O", head (200, stamp),
          head (200, stamp + std::string ("Content-Length: 9\r\n\r\nhalf")) };
  runner (0, "app");
  runner (1, "app");
  pool_find (gw.runner_pool, "r1")->backoff_until_us = INT64_MAX;
  for (const std::string &part : parts)
    {
      int fd = -1;
      got.clear ();
      pool_find (gw.runner_pool, "r0")->backoff_until_us = 0;
      send_request ("/order/1");
      receive_at_runner (0, &fd);
      pool_find (gw.runner_pool, "r1")->backoff_until_us = 0;
      if (!part.empty ())
        put (fd, part);
      reset (fd);
      EXPECT_TRUE (client_has ("HTTP/1.1 502")) << part << got;
      EXPECT_LT (accept (listeners[1], nullptr, nullptr), 0) << part;
      pool_find (gw.runner_pool, "r1")->backoff_until_us = INT64_MAX;
      close (client);
    }
}

// Pattern: a machine fails without a word and its connections stay open.
// Guards against requests that wait there until their deadline; against a
// second run of one that is only slow, or must not run twice.
TEST_F (GatewayCall, RequestsLeaveAnUnreachableRunner)
{
  static const struct
  {
    const char *path;
    bool is_up;
    bool repeated;
  } cases[] = { { "/read/1", true, false },
                { "/order/1", false, false },
                { "/read/1", false, true } };
  for (const auto &c : cases)
    {
      int fd = -1;
      int other = -1;
      got.clear ();
      runner (0, "app");
      runner (1, "app");
      g_strlcpy (pool_find (gw.runner_pool, "r0")->entry.address,
                 addresses[0].c_str (), 32);
      g_strlcpy (pool_find (gw.runner_pool, "r1")->entry.address,
                 addresses[1].c_str (), 32);
      pool_find (gw.runner_pool, "r1")->backoff_until_us = INT64_MAX;
      pool_find (gw.runner_pool, "r0")->backoff_until_us = 0;
      send_request (c.path);
      receive_at_runner (0, &fd);
      pool_find (gw.runner_pool, "r1")->backoff_until_us = 0;
      if (!c.is_up)
        close (listeners[0]);
      for (int i = 0; i < 20 && other < 0; i++)
        {
          tmr_advance (gw.tmr, tmr_now (gw.tmr) + 100000);
          run_until (
              &gw.loop,
              [&] {
                other = accept (listeners[1], nullptr, nullptr);
                return other >= 0;
              },
              5);
        }
      EXPECT_EQ (other >= 0, c.repeated) << c.path << c.is_up;
      EXPECT_EQ (gw.active, 1U) << "given up";
      if (!c.repeated)
        put (fd, head (200,
                       stamp + std::string ("Content-Length: 4\r\n\r\nslow")));
      else
        put (
            other,
            head (200, stamp + std::string ("Content-Length: 4\r\n\r\nslow")));
      EXPECT_TRUE (client_has ("slow"));
      close (fd);
      close (other);
      close (client);
      close (listeners[0]);
      close (listeners[1]);
      http_client_close_idle (gw.cli, pool_find (gw.runner_pool, "r0")->peer);
      http_client_close_idle (gw.cli, pool_find (gw.runner_pool, "r1")->peer);
    }
}

// Guards against a stream that a runner broke off and that looks complete: one
// without a length or chunks ends with its connection.
TEST_F (GatewayCall, StreamThatEndsInsideAnEventIsBrokenOff)
{
  const struct
  {
    std::string sent;
    const char *status;
    const char *end;
    std::string received;
  } rows[] = { { event1 + event2, "200", "closed", event1 + event2 },
               { event1 + "id: 2\nda", "200", "reset", event1 },
               { event1 + "id: 2\ndata: b\n", "200", "reset", event1 },
               // Before the first event the status can still tell.
               { "id: 1\nda", "502", nullptr, "" },
               { "", "502", nullptr, "" } };
  for (const auto &row : rows)
    {
      int fd;
      SCOPED_TRACE (row.sent);
      pool_note_answer (runner (0, "llm"), 1, gw_now (&gw));
      send_request ("/chat/1");
      receive_at_runner (0, &fd);
      put (fd, head (200, stamp + std::string ("\r\n")) + row.sent);
      close (fd);
      ASSERT_TRUE (client_has ("HTTP/1.1 "));
      EXPECT_EQ (got.substr (9, 3), row.status);
      if (row.end != nullptr)
        {
          EXPECT_EQ (client_end (), row.end);
          EXPECT_EQ (client_body (), row.received);
          EXPECT_FALSE (is_delimited ());
        }
      EXPECT_EQ (got.find ("\r\n0\r\n\r\n"), std::string::npos);
      close (client);
      got.clear ();
      close (listeners[0]);
    }
}

// Guards against the loss of the rest of a stream that may be resumed.
TEST_F (GatewayCall, StreamThatEndsInsideAnEventIsResumed)
{
  int fd;
  runner (0, "llm");
  runner (1, "llm");
  send_request ("/check/1");
  receive_at_runner (0, &fd);
  put (fd, head (200, stamp + std::string ("\r\n")) + event1 + "id: 2\nda");
  close (fd);
  EXPECT_NE (receive_at_runner (1, &fd).find ("Last-Event-Id: 1\r\n"),
             std::string::npos);
  put (fd, head (200, stamp + std::string ("\r\n")) + event2);
  close (fd);
  EXPECT_EQ (client_end (), "closed");
  EXPECT_EQ (client_body (), event1 + event2);
  EXPECT_FALSE (is_delimited ());
}

// Guards against an answer that ends with its runner's connection, so that
// nobody knows whether it is whole, and that the gateway presents as whole.
TEST_F (GatewayCall, EndOfTheConnectionIsNotPassedOnAsACompleteAnswer)
{
  const struct
  {
    const char *path;
    const char *status;
    const char *fields;
    std::string body;
  } rows[] = { { "/chat/1", "HTTP/1.1 200", "", event1 + event2 },
               { "/chat/1", "HTTP/1.0 200", "", event1 },
               { "/chat/1", "HTTP/1.1 200", "Transfer-Encoding: identity\r\n",
                 event1 },
               { "/check/1", "HTTP/1.1 200", "", event1 },
               { "/order/1", "HTTP/1.1 200", "", "{\"seat\":" },
               { "/order/1", "HTTP/1.1 500", "", "{\"err" },
               { "/read/1", "HTTP/1.1 200", "", "" },
               // More than what is held of one answer.
               { "/read/1", "HTTP/1.1 200", "", std::string (300000, 'x') } };
  for (const auto &row : rows)
    for (const char *version : { "1.1", "1.0" })
      {
        std::string rest = std::string (" X\r\n") + row.fields
                           + "X-Goldcresthatch-Request-Id: me\r\n" + stamp
                           + "\r\n" + row.body;
        int fd;
        SCOPED_TRACE (std::string (row.path) + " " + row.status + " "
                      + row.fields + " to HTTP/" + version);
        runner (0, row.path[1] == 'c' ? "llm" : "app");
        send_request (row.path, "", version);
        receive_at_runner (0, &fd);
        fcntl (fd, F_SETFL, 0);
        put (fd, row.status + rest);
        close (fd);
        EXPECT_EQ (client_end (), "closed");
        EXPECT_EQ (got.substr (9, 3), std::string (row.status).substr (9));
        EXPECT_FALSE (is_delimited ()) << got.substr (0, 300);
        EXPECT_NE (got.find ("Connection: close\r\n"), std::string::npos);
        EXPECT_EQ (client_body (), row.body);
        close (client);
        got.clear ();
        close (listeners[0]);
      }
}

// Guards against an answer that is known to be broken off and that ends for
// the client as it would if it were whole.
TEST_F (GatewayCall, BrokenAnswerWithoutLengthIsReset)
{
  const struct
  {
    const char *fields;
    std::string body;
    bool resets;
    const char *version; // of the client
  } rows[]
      = { { "", event1 + "id: 2\nda", false, "1.1" },
          { "", event1 + event2, true, "1.1" },
          { "", event1 + event2, true, "1.0" },
          { "Transfer-Encoding: chunked\r\n", chunk (event1), false, "1.0" },
          { "Content-Length: 500\r\n", event1, false, "1.0" } };
  for (const auto &row : rows)
    {
      int fd;
      SCOPED_TRACE (std::string (row.fields) + row.body + row.version);
      runner (0, "llm");
      send_request ("/chat/1", "", row.version);
      receive_at_runner (0, &fd);
      put (fd,
           head (200, stamp + std::string (row.fields) + "\r\n") + row.body);
      ASSERT_TRUE (client_has (event1));
      if (row.resets)
        reset (fd);
      else
        close (fd);
      EXPECT_EQ (client_end (), "reset");
      close (client);
      got.clear ();
      close (listeners[0]);
    }
}

// Guards against an answer that the gateway breaks off itself, at the deadline
// or when it is full of output that the client doesn't read, and that ends for
// the client as it would if it were whole.
TEST_F (GatewayCall, AnswerWithoutLengthThatTheGatewayEndsIsReset)
{
  int fd;
  runner (0, "llm");
  send_request ("/chat/1", "X-Goldcresthatch-Deadline-Ms: 300\r\n");
  receive_at_runner (0, &fd);
  put (fd, head (200, stamp + std::string ("\r\n")) + event1);
  ASSERT_TRUE (client_has (event1));
  tmr_advance (gw.tmr, gw_now (&gw) + 400000);
  EXPECT_EQ (client_end (), "reset");
  close (fd);
  close (client);
  got.clear ();

  close (listeners[0]);
  pool_note_answer (runner (0, "llm"), 1, gw_now (&gw));
  send_request ("/chat/1");
  receive_at_runner (0, &fd);
  ASSERT_GE (fd, 0);
  put (fd, head (200, stamp + std::string ("\r\n")));
  std::string event = "id: 1\ndata: " + std::string (30000, 'x') + "\n\n";
  bool ended = false;
  for (int i = 0; i < 2000 && !ended; i++)
    {
      ended = send (fd, event.data (), event.size (), MSG_NOSIGNAL) < 0
              && errno != EAGAIN;
      for (int j = 0; j < 5; j++)
        uv_run (&gw.loop, UV_RUN_NOWAIT);
    }
  EXPECT_TRUE (ended);
  EXPECT_EQ (client_end (), "reset");
  close (fd);
}

// Guards against a stream in chunks that is continued by a runner whose answer
// ends with its connection, and that the gateway then ends as whole.
TEST_F (GatewayCall, ResumptionThatEndsWithItsConnectionIsNotAnEnd)
{
  int fd;
  runner (0, "llm");
  runner (1, "llm");
  send_request ("/check/1");
  receive_at_runner (0, &fd);
  put (fd, head (200, stamp + std::string (chunked)) + chunk (event1));
  ASSERT_TRUE (client_has (event1));
  close (fd);
  EXPECT_NE (receive_at_runner (1, &fd).find ("Last-Event-Id: 1\r\n"),
             std::string::npos);
  put (fd, head (200, stamp + std::string ("\r\n")) + event2);
  close (fd);
  EXPECT_NE (client_end (), "open");
  EXPECT_NE (got.find (chunk (event2)), std::string::npos);
  EXPECT_EQ (got.find ("\r\n0\r\n\r\n"), std::string::npos);
}

// Guards against an answer without length that loses its end on the way
// through a second gateway.
TEST_F (GatewayCall, RelayedAnswerKeepsItsFraming)
{
  const struct
  {
    std::string body;
    bool resets;
    const char *end;
  } rows[] = { { event1 + event2, false, "closed" },
               { event1 + event2, true, "reset" },
               { event1 + "id: 2", false, "reset" } };
  for (const auto &row : rows)
    {
      int fd = -1;
      int relay = relay_at ("wide");
      SCOPED_TRACE (row.body + row.end);
      send_request ("/chat/1", "X-Pad: " + std::string (3000, 'x') + "\r\n",
                    "1.1", std::string (3000, 'x'));
      ASSERT_TRUE (run_until (&gw.loop, [&] {
        fd = accept (relay, nullptr, nullptr);
        return fd >= 0;
      }));
      put (fd, head (200, stamp + std::string ("\r\n")) + row.body);
      ASSERT_TRUE (client_has (event1));
      for (int i = 0; i < 20; i++)
        uv_run (&gw.loop, UV_RUN_NOWAIT);
      char request[16000];
      EXPECT_GT (read (fd, request, sizeof request), 0);
      if (row.resets)
        reset (fd);
      else
        close (fd);
      EXPECT_EQ (client_end (), row.end);
      EXPECT_FALSE (is_delimited ());
      close (client);
      got.clear ();
      close (relay);
    }
}

// Guards against a part that crashes runners being sent on by a gateway that
// was only told of it, and against a refusal that isn't true.
TEST_F (GatewayCall, PartInQuarantineIsRefused)
{
  // Three ends of runners under the part 0xbad, 2 s apart.
  const std::string told ("\x94\x04\x01\x00\x93"
                          "\x93\xcd\x0b\xad\x01\xcd\x0f\xa0"
                          "\x93\xcd\x0b\xad\x02\xcd\x07\xd0"
                          "\x93\xcd\x0b\xad\x03\x00",
                          5 + 8 + 8 + 6);
  const std::string prompt = "X-Goldcresthatch-Token-Count: 30,4\r\n"
                             "X-Goldcresthatch-Prompt-Prefix: a:10,bad:10,";
  int fd;
  runner (0, "llm", POOL_STAGE_DECODE);
  ASSERT_EQ (gw_quarantine_receive (&gw, told.data (), told.size (), nullptr),
             0);
  send_request ("/chat/1", prompt + "c:10\r\n");
  EXPECT_TRUE (client_has ("HTTP/1.1 503"));
  EXPECT_NE (got.find ("Retry-After: 300.000"), std::string::npos);
  EXPECT_EQ (accept (listeners[0], nullptr, nullptr), -1);
  close (client);
  // The last part is the request's own and is not held against it.
  got.clear ();
  send_request ("/chat/1", "X-Goldcresthatch-Token-Count: 20,4\r\n"
                           "X-Goldcresthatch-Prompt-Prefix: a:10,bad:10\r\n");
  EXPECT_NE (receive_at_runner (0, &fd).find ("bad:10"), std::string::npos);
  close (fd);
}

// Guards against the refusal of sound parts by a gateway that is cut off from
// its runners: silence is no evidence that they have ended.
TEST_F (GatewayCall, SilenceIsNoEvidence)
{
  const std::string prompt = "X-Goldcresthatch-Token-Count: 20,4\r\n"
                             "X-Goldcresthatch-Prompt-Prefix: a:10,b:10\r\n";
  std::vector<int> waiting;
  struct sockaddr_in address;
  int fd;
  struct pool_runner *r = runner (0, "llm", POOL_STAGE_DECODE);
  send_request ("/chat/1", prompt);
  receive_at_runner (0, &fd);
  // A full queue of connections leaves the next one without an answer.
  listen (listeners[0], 0);
  settings_parse_address (addresses[0].c_str (), &address);
  for (int i = 0; i < 4; i++)
    {
      waiting.push_back (socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      connect (waiting.back (), (struct sockaddr *)&address, sizeof address);
    }
  close (fd);
  EXPECT_TRUE (client_has ("HTTP/1.1 502"));
  EXPECT_TRUE (r->probing);
  tmr_advance (gw.tmr, gw_now (&gw) + 1000000);
  EXPECT_FALSE (r->probing);
  EXPECT_EQ (quarantine_crashes (gw_quarantine_table (&gw), 0xa), 0U);
  for (int socket : waiting)
    close (socket);
}

// Guards against a request that crashes one runner after the other, as its
// caller sends it again and again.
TEST_F (GatewayCall, RequestThatCrashesRunnersIsRefused)
{
  int fd;
  for (int i = 0; i < 3; i++)
    {
      runner (0, "app");
      tmr_advance (gw.tmr, gw_now (&gw) + 1000000);
      send_request ("/order/1");
      receive_at_runner (0, &fd);
      close (listeners[0]);
      close (fd);
      EXPECT_TRUE (client_has ("HTTP/1.1 502"));
      close (client);
      got.clear ();
      // The next request to the runner finds that it has ended.
      send_request ("/order/2");
      EXPECT_TRUE (client_has ("HTTP/1.1 503"));
      EXPECT_TRUE (run_until (&gw.loop, [&] {
        return pool_at (gw.runner_pool, i)->probing == 0;
      }));
      close (client);
      got.clear ();
    }
  runner (0, "app");
  send_request ("/order/1");
  EXPECT_TRUE (client_has ("HTTP/1.1 503"));
  close (client);
  got.clear ();
  // Another one to the same service.
  send_request ("/order/2");
  EXPECT_NE (receive_at_runner (0, &fd).find ("/order/2"), std::string::npos);
  close (fd);
}

// Guards against evidence that counts a broken connection of a runner that is
// up, and against none when it has ended.
TEST_F (GatewayCall, OnlyTheEndOfARunnerIsEvidence)
{
  const std::string prompt = "X-Goldcresthatch-Token-Count: 20,4\r\n"
                             "X-Goldcresthatch-Prompt-Prefix: a:10,b:10\r\n";
  const struct quarantine *table = gw_quarantine_table (&gw);
  int fd;
  runner (0, "llm", POOL_STAGE_DECODE);
  send_request ("/chat/1", prompt);
  receive_at_runner (0, &fd);
  close (fd);
  EXPECT_TRUE (client_has ("HTTP/1.1 502"));
  run_until (&gw.loop, [&] { return !pool_at (gw.runner_pool, 0)->probing; });
  EXPECT_EQ (quarantine_crashes (table, 0xa), 0U);
  close (client);
  got.clear ();
  send_request ("/chat/1", prompt);
  while ((fd = accept (listeners[0], nullptr, nullptr)) >= 0)
    close (fd);
  receive_at_runner (0, &fd);
  close (listeners[0]);
  listeners[0] = -1;
  close (fd);
  EXPECT_TRUE (client_has ("HTTP/1.1 502"));
  EXPECT_TRUE (run_until (
      &gw.loop, [&] { return quarantine_crashes (table, 0xa) == 1; }));
  EXPECT_EQ (quarantine_crashes (table, 0xb), 0U);
}

// Guards against a runner that ends behind the first events of an answer
// without length: the answer is no evidence for its request, and the end of
// the runner is evidence against it.
TEST_F (GatewayCall, AnswerThatMayBeCutOffIsNoEvidence)
{
  const std::string prompt = "X-Goldcresthatch-Token-Count: 20,4\r\n"
                             "X-Goldcresthatch-Prompt-Prefix: a:10,b:10\r\n";
  const struct quarantine *table = gw_quarantine_table (&gw);
  for (bool ended : { false, true })
    {
      int fd;
      SCOPED_TRACE (ended);
      tmr_advance (gw.tmr, gw_now (&gw) + 3000000);
      pool_note_answer (runner (0, "llm", POOL_STAGE_DECODE), 1, gw_now (&gw));
      int64_t before = quarantine_answered_us (table, 0xa);
      send_request ("/chat/1", prompt);
      receive_at_runner (0, &fd);
      put (fd, head (200, stamp + std::string ("\r\n")) + event1);
      ASSERT_TRUE (client_has (event1));
      if (ended)
        close (listeners[0]);
      close (fd);
      EXPECT_EQ (client_end (), "closed");
      EXPECT_EQ (quarantine_answered_us (table, 0xa), before);
      close (client);
      got.clear ();
      // The next request shows whether the runner is there.
      tmr_advance (gw.tmr, gw_now (&gw) + 1000);
      send_request ("/chat/2", "X-Goldcresthatch-Token-Count: 10,4\r\n");
      if (!ended)
        {
          receive_at_runner (0, &fd);
          put (fd, head (200, stamp + std::string (chunked)) + chunk (event1)
                       + "0\r\n\r\n");
        }
      EXPECT_TRUE (client_has (ended ? "HTTP/1.1 503" : "\r\n0\r\n\r\n"));
      run_until (
          &gw.loop, [&] { return quarantine_crashes (table, 0xa) > 0; }, 200);
      EXPECT_EQ (quarantine_crashes (table, 0xa), ended ? 1U : 0U);
      EXPECT_EQ (quarantine_answered_us (table, 0xa) > before, !ended);
      EXPECT_EQ (quarantine_crashes (table, 0xb), 0U);
      close (fd);
      close (client);
      got.clear ();
      close (listeners[0]);
    }
}

}
