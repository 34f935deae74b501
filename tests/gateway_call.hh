// One request through the gateway, with the client and the runners on raw
// sockets and without a store.
#include <csignal>
#include <gtest/gtest.h>
#include <string>

#include "raw_socket.hh"

extern "C"
{
#include "goldcresthatch/settings.h"
#include "gw.h"
#include "pf.h"
#include "quarantine.h"
}

namespace gateway_call
{

using namespace raw_socket;

class GatewayCall : public testing::Test
{
protected:
  struct gw gw = {};
  std::string front = free_address ();
  std::string addresses[3];
  int listeners[3] = { -1, -1, -1 };
  int client = -1;
  int64_t started = 0; // of the last runner
  std::string got;

  void
  SetUp () override
  {
    signal (SIGPIPE, SIG_IGN);
    uv_loop_init (&gw.loop);
    gw.tmr = tmr_new_virtual (1000000);
    gw.adapter = &pf_adapter;
    gw.cli = http_client_new (&gw.loop);
    gw.runner_pool = pool_new ();
    gw.lb = lb_new (&lb_speed_default, 1000);
    gw.budgets
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
    gw.processes = 1;
    gw.seed = 7;
    gw.set.admit_factor = 1;
    gw.set.direct_tokens = 1000;
    gw.set.repeat_slack = 100;
    gw.set.repeat_window_ms = 10000;
    gw.set.link_mbit = 1000;
    g_strlcpy (gw.set.zone, "z", sizeof gw.set.zone);
    gw_peers_open (&gw, nullptr);
    gw_relay_new (&gw);
    gw_stage_new (&gw);
    gw_quarantine_new (&gw);
    gw_fate_new (&gw);
    gw_resume_new (&gw);
    struct gw_listener *request_listener
        = &gw.request_listeners[GW_LISTENER_CLIENTS];
    request_listener->gw = &gw;
    request_listener->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
    request_listener->srv = http_server_new (
        &gw.loop, front.c_str (), &gw_call_ops, request_listener, nullptr);
    ASSERT_NE (request_listener->srv, nullptr);
    gw.table = table ();
  }
  void
  TearDown () override
  {
    for (int fd : listeners)
      close (fd);
    close (client);
  }

  // Forgets what the gateway keeps in memory, as after a restart.
  void
  forget ()
  {
    gw_resume_new (&gw);
  }

  static struct routing_table *
  table ()
  {
    static const struct
    {
      const char *name;
      enum routing_kind kind;
      int resumable;
      unsigned attempts;
      const char *service;
    } rows[] = { { "order", ROUTING_NON_IDEMPOTENT, 0, 1, "app" },
                 { "read", ROUTING_IDEMPOTENT, 0, 2, "app" },
                 { "check", ROUTING_STREAM, 1, 2, "llm" },
                 { "chat", ROUTING_STREAM, 0, 1, "llm" } };
    struct routing_table *t = routing_new (1);
    for (const auto &row : rows)
      {
        struct routing_route *route = routing_route_add (t, 1);
        route->name = g_strdup (row.name);
        route->host = g_strdup ("h");
        route->prefix = g_strdup_printf ("/%s/", row.name);
        route->kind = row.kind;
        route->resumable = row.resumable;
        route->timeout_ms = 5000;
        route->target_ms = 1000;
        route->attempts = row.attempts;
        route->targets[0].service = g_strdup (row.service);
        route->targets[0].weight = 1;
      }
    for (const char *name : { "app", "llm" })
      {
        struct routing_service *service = routing_service_add (t);
        service->name = g_strdup (name);
        service->is_engine = *name == 'l';
        service->connections_max = 10;
      }
    routing_build_index (t);
    return t;
  }

  // Returns the runner I, which listens at a new address.
  struct pool_runner *
  runner (int i, const char *service, enum pool_stage stage = POOL_STAGE_ANY)
  {
    struct pool_entry e = {};
    listeners[i] = listen_raw (&addresses[i]);
    fcntl (listeners[i], F_SETFL, O_NONBLOCK);
    g_snprintf (e.id, sizeof e.id, "r%d", i);
    g_strlcpy (e.service, service, sizeof e.service);
    g_strlcpy (e.address, addresses[i].c_str (), sizeof e.address);
    g_strlcpy (e.zone, i == 0 ? "z" : "y", sizeof e.zone);
    e.slots = 8;
    e.stage = stage;
    e.started_ms = ++started;
    pool_put (gw.runner_pool, &e, 1);
    return pool_at (gw.runner_pool, pool_count (gw.runner_pool) - 1);
  }

  // Returns the listener of the only other gateway, to which requests with a
  // large body are relayed.
  int
  relay_at (const char *name)
  {
    std::string address;
    int relay = listen_raw (&address);
    fcntl (relay, F_SETFL, O_NONBLOCK);
    gw.set.link_mbit = 10;
    GHashTable *present = g_hash_table_new (g_str_hash, g_str_equal);
    std::string presence = "- " + address + " 200 z";
    g_hash_table_insert (present, g_strdup (name),
                         g_strdup (presence.c_str ()));
    gw_relay_update (&gw, present);
    g_hash_table_unref (present);
    return relay;
  }

  void
  send_request (const std::string &path, const std::string &fields = "",
                const std::string &version = "1.1",
                const std::string &body = "body")
  {
    client = connect_raw (front);
    fcntl (client, F_SETFL, O_NONBLOCK);
    put (client, "POST " + path + " HTTP/" + version
                     + "\r\nHost: h\r\nX-Goldcresthatch-Request-Id: me\r\n"
                     + fields + "Content-Length: "
                     + std::to_string (body.size ()) + "\r\n\r\n" + body);
  }
  // Waits for a request at the runner I.  Returns it, with its connection in
  // FD.  A connection that ends without a byte was opened to see whether the
  // runner is up.
  std::string
  receive_at_runner (int i, int *fd)
  {
    std::string text;
    *fd = -1;
    run_until (&gw.loop, [&] {
      char buffer[4000];
      if (*fd < 0)
        *fd = accept (listeners[i], nullptr, nullptr);
      if (*fd < 0)
        return false;
      fcntl (*fd, F_SETFL, O_NONBLOCK);
      ssize_t n = read (*fd, buffer, sizeof buffer);
      if (n > 0)
        text.append (buffer, static_cast<size_t> (n));
      if (n == 0 && text.empty ())
        {
          close (*fd);
          *fd = -1;
        }
      return text.find ("\r\n\r\nbody") != std::string::npos;
    });
    return text;
  }
  // Reads what the client has received.  Returns whether it holds TEXT.
  bool
  client_has_now (const std::string &text)
  {
    char buffer[4000];
    ssize_t n = read (client, buffer, sizeof buffer);
    if (n > 0)
      got.append (buffer, static_cast<size_t> (n));
    return got.find (text) != std::string::npos;
  }
  bool
  client_has (const std::string &text)
  {
    return run_until (&gw.loop,
                      [&] {
                        char buffer[4000];
                        ssize_t n = read (client, buffer, sizeof buffer);
                        if (n > 0)
                          got.append (buffer, static_cast<size_t> (n));
                        return got.find (text) != std::string::npos || n == 0
                               || (n < 0 && errno == ECONNRESET);
                      })
           && got.find (text) != std::string::npos;
  }
  bool
  client_closed ()
  {
    return run_until (&gw.loop, [&] {
      char buffer[4000];
      ssize_t n = read (client, buffer, sizeof buffer);
      if (n > 0)
        got.append (buffer, static_cast<size_t> (n));
      return n == 0 || (n < 0 && errno == ECONNRESET);
    });
  }
  // Reads what the client receives until its connection ends.  Returns how.
  std::string
  client_end ()
  {
    const char *end = "open";
    run_until (
        &gw.loop,
        [&] {
          char buffer[4000];
          ssize_t n = read (client, buffer, sizeof buffer);
          if (n > 0)
            got.append (buffer, static_cast<size_t> (n));
          if (n == 0)
            end = "closed";
          else if (n < 0 && errno == ECONNRESET)
            end = "reset";
          return *end != 'o';
        },
        3000);
    return end;
  }
  std::string
  client_body () const
  {
    size_t at = got.find ("\r\n\r\n");
    return at == std::string::npos ? "" : got.substr (at + 4);
  }
  // Returns whether the answer says where it ends.
  bool
  is_delimited () const
  {
    std::string fields = got.substr (0, got.find ("\r\n\r\n") + 2);
    return fields.find ("\r\nContent-Length:") != std::string::npos
           || fields.find ("\r\nTransfer-Encoding:") != std::string::npos;
  }
  static std::string
  head (int status, const std::string &more)
  {
    return "HTTP/1.1 " + std::to_string (status)
           + " X\r\nX-Goldcresthatch-Request-Id: me\r\n" + more;
  }
};

const char *const stamp = "X-Goldcresthatch-Server-Stamp: s\r\n";
const char *const chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string event1 = "id: 1\ndata: a\n\n";
const std::string event2 = "id: 2\ndata: b\n\n";

inline std::string
chunk (const std::string &text)
{
  char size[20];
  g_snprintf (size, sizeof size, "%zx\r\n", text.size ());
  return size + text + "\r\n";
}

}
