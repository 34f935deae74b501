// Runners whose answers say that they leave while the registry shows them as
// ready.
#include <string>

#include "gateway_call.hh"

using namespace gateway_call;

namespace
{

const std::string says_so = "Server-Leaving: 1\r\n";
const std::string no_body = "Content-Length: 0\r\n\r\n";
const std::string not_run = "X-Goldcresthatch-Not-Run: 1\r\n";
const std::string prompt = "X-Goldcresthatch-Token-Count: 2000,4\r\n"
                           "X-Goldcresthatch-Prompt-Prefix: a:900,b:1100\r\n";

class LeavingRunner : public GatewayCall
{
protected:
  // Lets a request be answered by the runner 0, which is the only one.
  struct pool_runner *
  told (const std::string &answer, const std::string &path = "/order/1")
  {
    int fd;
    struct pool_runner *r = runner (0, path[1] == 'c' ? "llm" : "app");
    send_request (
        path, path[1] == 'c' ? "X-Goldcresthatch-Token-Count: 90,4\r\n" : "");
    receive_at_runner (0, &fd);
    put (fd, answer);
    EXPECT_TRUE (run_until (&gw.loop, [&] { return r->answered_us != 0; }));
    run_until (
        &gw.loop, [] { return false; }, 20);
    close (client);
    return r;
  }
  bool
  usable (const struct pool_runner *r)
  {
    return pool_usable (r, gw_now (&gw) + 30000000);
  }
  void
  list (const struct pool_entry *e, uint64_t revision)
  {
    pool_list_begin (gw.runner_pool);
    if (e != nullptr)
      pool_put (gw.runner_pool, e, revision);
    pool_list_end (gw.runner_pool, revision, gw_now (&gw));
  }
};

struct answer_row
{
  const char *name;
  const char *path;
  std::string answer;
};

// Names the row in the output of a failed test.
void
PrintTo (const answer_row &row, std::ostream *out)
{
  *out << row.name;
}

class LeavingAnswer : public LeavingRunner,
                      public testing::WithParamInterface<answer_row>
{
};

// Guards against requests to a runner after an answer of any kind has said
// that it leaves.
TEST_P (LeavingAnswer, EndsNewWork)
{
  const answer_row &row = GetParam ();
  struct pool_runner *r = told (row.answer, row.path);
  ASSERT_FALSE (usable (r)) << row.name;
  got.clear ();
  send_request (row.path, "X-Goldcresthatch-Token-Count: 90,4\r\n");
  EXPECT_TRUE (client_has ("HTTP/1.1 503")) << row.name;
  EXPECT_LT (accept (listeners[0], nullptr, nullptr), 0) << row.name;
}

INSTANTIATE_TEST_SUITE_P (
    Kinds, LeavingAnswer,
    testing::Values (
        answer_row{ "Status200", "/order/1",
                    "HTTP/1.1 200 X\r\nX-Goldcresthatch-Request-Id: me\r\n"
                        + says_so + stamp + no_body },
        answer_row{ "Own500", "/order/1",
                    "HTTP/1.1 500 X\r\nX-Goldcresthatch-Request-Id: me\r\n"
                        + says_so + stamp + no_body },
        answer_row{ "Refusal503", "/order/1",
                    "HTTP/1.1 503 X\r\nX-Goldcresthatch-Request-Id: me\r\n"
                        + says_so + not_run + no_body },
        answer_row{ "Own503", "/order/1",
                    "HTTP/1.1 503 X\r\nX-Goldcresthatch-Request-Id: me\r\n"
                        + says_so + stamp + no_body },
        answer_row{ "Status429", "/order/1",
                    "HTTP/1.1 429 X\r\nX-Goldcresthatch-Request-Id: me\r\n"
                        + says_so + not_run + no_body },
        answer_row{ "Status504", "/order/1",
                    "HTTP/1.1 504 X\r\nX-Goldcresthatch-Request-Id: me\r\n"
                        + says_so + stamp + no_body },
        // Either that of the runner asked, in another stage, or of another
        // lifetime at its address: the one asked is then gone.
        answer_row{ "Status421", "/order/1",
                    "HTTP/1.1 421 X\r\n" + says_so + no_body },
        answer_row{ "StreamHead", "/chat/1",
                    "HTTP/1.1 200 X\r\nX-Goldcresthatch-Request-Id: me\r\n"
                        + says_so + stamp + chunked },
        answer_row{ "LateAnswer", "/order/1",
                    "HTTP/1.1 200 X\r\nX-Goldcresthatch-Request-Id: old\r\n"
                        + says_so + stamp + no_body
                        + "HTTP/1.1 200 X\r\n"
                          "X-Goldcresthatch-Request-Id: me\r\n"
                        + stamp + no_body }),
    [] (const testing::TestParamInfo<answer_row> &row) {
      return std::string (row.param.name);
    });

const std::string told_200 = "HTTP/1.1 200 X\r\n"
                             "X-Goldcresthatch-Request-Id: me\r\n"
                             + says_so + stamp + no_body;

// Guards against requests to a runner that leaves while another one can serve
// them, and against a failure of either.
TEST_F (LeavingRunner, OthersServe)
{
  int fd;
  struct pool_runner *r = told (told_200);
  runner (1, "app");
  ASSERT_FALSE (usable (r));
  for (int i = 0; i < 8; i++)
    {
      got.clear ();
      send_request ("/order/1");
      receive_at_runner (1, &fd);
      put (fd, head (200, stamp + std::string ("Connection: close\r\n")
                              + "Content-Length: 2\r\n\r\nok"));
      EXPECT_TRUE (client_has ("ok"));
      close (client);
      close (fd);
    }
  EXPECT_EQ (r->failures, 0U);
  EXPECT_EQ (r->failure_rate, 0) << "a runner that leaves isn't at fault";
}

// Guards against ending a stream whose head says that its runner leaves.
TEST_F (LeavingRunner, RunningStreamEndsInPeace)
{
  int fd;
  struct pool_runner *r = runner (0, "llm");
  send_request ("/chat/1", "X-Goldcresthatch-Token-Count: 90,4\r\n");
  receive_at_runner (0, &fd);
  put (fd,
       head (200, says_so + stamp + std::string (chunked)) + chunk (event1));
  ASSERT_TRUE (client_has (event1));
  EXPECT_FALSE (usable (r));
  put (fd, chunk (event2) + "0\r\n\r\n");
  EXPECT_TRUE (client_has (chunk (event2) + "0\r\n\r\n"));
}

// Guards against another prompt for a prefill engine that leaves, while the
// prompt that it has read is still used.
TEST_F (LeavingRunner, PromptThatWasReadIsUsed)
{
  int fd;
  struct pool_runner *r = runner (0, "llm", POOL_STAGE_PREFILL);
  runner (1, "llm", POOL_STAGE_DECODE);
  send_request ("/check/1", prompt);
  receive_at_runner (0, &fd);
  put (fd,
       head (200, says_so + "Content-Length: 14\r\n\r\n{\"handle\":\"h\"}"));
  EXPECT_NE (receive_at_runner (1, &fd).find ("/h\r\n"), std::string::npos);
  EXPECT_FALSE (usable (r));
}

// Guards against missing what the answer to a freed KV handle says.
TEST_F (LeavingRunner, AnswerToAFreedHandle)
{
  int fd;
  char buffer[2000];
  std::string text;
  struct pool_runner *r = runner (0, "llm", POOL_STAGE_PREFILL);
  struct pool_runner *decode = runner (1, "llm", POOL_STAGE_DECODE);
  send_request ("/check/1", prompt);
  receive_at_runner (0, &fd);
  decode->leaving = 1;
  put (fd, head (200, "Content-Length: 14\r\n\r\n{\"handle\":\"h\"}"));
  EXPECT_TRUE (client_has ("HTTP/1.1 503"));
  ASSERT_TRUE (run_until (&gw.loop, [&] {
    ssize_t n = read (fd, buffer, sizeof buffer);
    if (n > 0)
      text.append (buffer, static_cast<size_t> (n));
    if (n == 0)
      text.clear ();
    int next = accept (listeners[0], nullptr, nullptr);
    if (next >= 0)
      {
        fcntl (next, F_SETFL, O_NONBLOCK);
        fd = next;
      }
    return text.find ("DELETE ") != std::string::npos;
  }));
  EXPECT_TRUE (usable (r));
  put (fd, "HTTP/1.1 200 X\r\n" + says_so + no_body);
  EXPECT_TRUE (run_until (
      &gw.loop, [&] { return !usable (r); }, 2000));
}

// Guards against forgetting what an answer said at the next version of the
// registry entry, at the end of an outage and after a while.
TEST_F (LeavingRunner, EntryThatIsWrittenAgainDoesNotForget)
{
  struct pool_runner *r = told (told_200);
  struct pool_entry e = r->entry;
  e.slots = 9;
  pool_put (gw.runner_pool, &e, 5);
  EXPECT_FALSE (usable (r));
  pool_set_registry_reachable (gw.runner_pool, 0, gw_now (&gw));
  pool_set_registry_reachable (gw.runner_pool, 1, gw_now (&gw));
  list (&e, 6);
  pool_tick (gw.runner_pool, gw_now (&gw) + 60000000);
  EXPECT_FALSE (usable (r));
}

// Guards against forgetting it when the entry is removed and comes back,
// whether requests still refer to the runner or not.
TEST_F (LeavingRunner, EntryThatComesBackDoesNotForget)
{
  for (bool referenced : { true, false })
    {
      SCOPED_TRACE (referenced);
      struct pool_runner *r = told (told_200);
      struct pool_entry e = r->entry;
      r->references += referenced;
      pool_remove (gw.runner_pool, "r0", 5, gw_now (&gw));
      pool_tick (gw.runner_pool, gw_now (&gw));
      EXPECT_EQ (pool_count (gw.runner_pool), referenced ? 1U : 0U);
      pool_put (gw.runner_pool, &e, 6);
      ASSERT_NE (pool_find (gw.runner_pool, "r0"), nullptr);
      EXPECT_FALSE (usable (pool_find (gw.runner_pool, "r0")));
      pool_find (gw.runner_pool, "r0")->references = 0;
      pool_remove (gw.runner_pool, "r0", 7, gw_now (&gw));
      pool_tick (gw.runner_pool, gw_now (&gw));
      close (listeners[0]);
    }
}

// Guards against forgetting it when the registry is put back to an older copy,
// before or after the runner has gone from it.
TEST_F (LeavingRunner, RegistryThatIsPutBackDoesNotForget)
{
  for (bool gone : { true, false })
    {
      SCOPED_TRACE (gone);
      struct pool_runner *r = told (told_200);
      struct pool_entry e = r->entry;
      if (gone)
        {
          pool_remove (gw.runner_pool, "r0", 5, gw_now (&gw));
          pool_tick (gw.runner_pool, gw_now (&gw));
        }
      pool_restart_revisions (gw.runner_pool, gw_now (&gw));
      list (&e, 3);
      pool_put (gw.runner_pool, &e, 4);
      pool_tick (gw.runner_pool, gw_now (&gw) + 20000000);
      ASSERT_NE (pool_find (gw.runner_pool, "r0"), nullptr);
      EXPECT_FALSE (usable (pool_find (gw.runner_pool, "r0")));
      pool_remove (gw.runner_pool, "r0", 7, gw_now (&gw));
      pool_tick (gw.runner_pool, gw_now (&gw));
      close (listeners[0]);
    }
}

// Guards against holding what one lifetime said against the next one.
TEST_F (LeavingRunner, NextLifetimeIsUsed)
{
  struct pool_runner *r = told (told_200);
  struct pool_entry e = r->entry;
  EXPECT_FALSE (usable (r));
  e.started_ms++;
  pool_put (gw.runner_pool, &e, 5);
  EXPECT_TRUE (usable (pool_find (gw.runner_pool, "r0")));
}

// Guards against a decode at an engine that was sampled before it said that it
// leaves, while the request waited for the load of the fleet.
TEST_F (LeavingRunner, SampleIsLookedAtAgain)
{
  struct pool_runner *r = told (told_200, "/chat/1");
  const struct pool_runner *sample[] = { r };
  struct lb_filter where = {};
  where.service = "llm";
  where.zone = "z";
  where.sample = sample;
  where.n_sample = 1;
  where.gateways = 1;
  EXPECT_EQ (
      lb_decode (gw.lb, gw.runner_pool, &where, nullptr, gw_now (&gw)).runner,
      nullptr);
}

// Guards against requests that a gateway sends itself to a runner whose answer
// it has passed on from a relay, also when it hears of the runner later.
TEST_F (LeavingRunner, RelayedAnswerBinds)
{
  for (bool known : { true, false })
    {
      SCOPED_TRACE (known);
      int fd = -1;
      int relay = relay_at ("wide");
      struct pool_runner *r = runner (0, "app");
      struct pool_entry e = r->entry;
      std::string lifetime = r->peer;
      if (!known)
        {
          // Nothing is known of this lifetime yet.
          e.started_ms += 1000;
          lifetime = "r0@" + std::to_string (e.started_ms);
        }
      got.clear ();
      send_request ("/order/1", "", "1.1", std::string (4000, 'x'));
      ASSERT_TRUE (run_until (
          &gw.loop,
          [&] { return (fd = accept (relay, nullptr, nullptr)) >= 0; }, 2000));
      run_until (
          &gw.loop, [] { return false; }, 20);
      put (fd,
           head (200, says_so + "X-Goldcresthatch-Relayed-From: " + lifetime
                          + "\r\n" + stamp + "Content-Length: 2\r\n\r\nok"));
      ASSERT_TRUE (client_has ("ok"));
      EXPECT_EQ (got.find ("Relayed-From"), std::string::npos);
      if (!known)
        pool_put (gw.runner_pool, &e, 5);
      EXPECT_FALSE (usable (pool_find (gw.runner_pool, "r0")));
      pool_remove (gw.runner_pool, "r0", 7, gw_now (&gw));
      pool_tick (gw.runner_pool, gw_now (&gw));
      close (listeners[0]);
      close (relay);
      close (client);
      close (fd);
    }
}

// Guards against a relay that doesn't tell the gateway before it which runner
// leaves, and against telling that to a client.
TEST_F (LeavingRunner, RelayNamesTheRunner)
{
  for (int listener : { GW_LISTENER_GATEWAYS, GW_LISTENER_CLIENTS })
    {
      int fd;
      struct gw_listener *l = &gw.request_listeners[listener];
      struct pool_runner *r = runner (0, "app");
      std::string address = front;
      if (listener == GW_LISTENER_GATEWAYS)
        {
          address = free_address ();
          l->gw = &gw;
          l->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
          l->srv = http_server_new (&gw.loop, address.c_str (), &gw_call_ops,
                                    l, nullptr);
        }
      std::swap (address, front);
      got.clear ();
      send_request ("/order/1");
      std::swap (address, front);
      receive_at_runner (0, &fd);
      put (fd, told_200);
      EXPECT_TRUE (client_has ("HTTP/1.1 200"));
      EXPECT_EQ (got.find (std::string ("X-Goldcresthatch-Relayed-From: ")
                           + r->peer + "\r\n")
                     != std::string::npos,
                 listener == GW_LISTENER_GATEWAYS)
          << got;
      close (client);
      close (fd);
      close (listeners[0]);
    }
}

// Guards against requests that other gateways send to a runner that has told
// only this one, and against a malformed datagram that is taken for one.
TEST_F (LeavingRunner, OtherGatewaysAreTold)
{
  char buffer[200];
  struct sockaddr_in sa = {};
  socklen_t size = sizeof sa;
  struct err err;
  int udp = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  sa.sin_family = AF_INET;
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  bind (udp, reinterpret_cast<struct sockaddr *> (&sa), sizeof sa);
  getsockname (udp, reinterpret_cast<struct sockaddr *> (&sa), &size);
  std::string other = "127.0.0.1:" + std::to_string (ntohs (sa.sin_port));
  struct gw_peer peer = { "other", other.c_str (), 1000 };
  g_strlcpy (gw.set.listen_load, free_address ().c_str (),
             sizeof gw.set.listen_load);
  ASSERT_EQ (gw_peers_open (&gw, nullptr), 0);
  gw_peers_set (&gw, &peer, 1);
  struct pool_runner *r = told (told_200);
  std::string datagram;
  ASSERT_TRUE (run_until (
      &gw.loop,
      [&] {
        ssize_t n = recv (udp, buffer, sizeof buffer, 0);
        if (n > 0 && gw_runner_is_datagram (buffer, static_cast<size_t> (n)))
          datagram.assign (buffer, static_cast<size_t> (n));
        return !datagram.empty ();
      },
      2000));
  // The other gateway knows the same runner.
  struct pool_entry e = r->entry;
  gw.runner_pool = pool_new ();
  pool_put (gw.runner_pool, &e, 1);
  EXPECT_TRUE (usable (pool_find (gw.runner_pool, "r0")));
  for (size_t cut = 0; cut < datagram.size (); cut++)
    EXPECT_NE (gw_runner_receive (&gw, datagram.data (), cut, &err), 0);
  EXPECT_TRUE (usable (pool_find (gw.runner_pool, "r0")));
  EXPECT_EQ (gw_runner_receive (&gw, datagram.data (), datagram.size (), &err),
             0);
  EXPECT_FALSE (usable (pool_find (gw.runner_pool, "r0")));
  close (udp);
}

// Guards against values that only look as if a runner left.
TEST_F (LeavingRunner, InvalidValuesChangeNothing)
{
  for (const char *value : { "0", "", "true", "2", "-1", "1, 1" })
    {
      struct pool_runner *r
          = told ("HTTP/1.1 200 X\r\nX-Goldcresthatch-Request-Id: me\r\n"
                  "Server-Leaving: "
                  + std::string (value) + "\r\n" + stamp + no_body);
      EXPECT_TRUE (usable (r)) << value;
      pool_remove (gw.runner_pool, "r0", 7, gw_now (&gw));
      pool_tick (gw.runner_pool, gw_now (&gw));
      close (listeners[0]);
    }
  EXPECT_EQ (gw.counts.fields_invalid, 6U);
}

}
