#include <gtest/gtest.h>

#include <atomic>
#include <cstring>
#include <mutex>
#include <string>
#include <thread>

extern "C"
{
#include "cfg_sync.h"
}

namespace
{

constexpr const char *AGENT = "127.29.0.1:7200";
constexpr int WAIT_S = 60; // after which a condition counts as failed

std::string
document (int generation)
{
  std::string g = std::to_string (generation);

  return "{\"generation\":" + g + ",\"sections\":{\"limits\":{\"owner\":\"o\","
         + "\"revision\":" + g + ",\"generation\":" + g
         + ",\"body\":{\"queue_max\":" + g + "}}}}";
}

// One key whose value the test changes while others read it.
struct fake_kv
{
  std::mutex lock;
  std::string text; // empty while the service is down
  uint64_t revision = 0;
  unsigned reads = 0;
  unsigned values = 0; // answers with the value
  struct kv_ops ops = {};
  struct kv kv = { &ops, this };

  fake_kv ()
  {
    ops.get = get;
    ops.watch = watch;
  }

  void
  put (const std::string &value)
  {
    std::lock_guard<std::mutex> hold (lock);

    text = value;
    revision++;
  }

  unsigned
  read_count ()
  {
    std::lock_guard<std::mutex> hold (lock);

    return reads;
  }

  static int
  get (void *ctx, const char *, struct kv_value *out, struct err *err)
  {
    auto *self = static_cast<fake_kv *> (ctx);
    std::lock_guard<std::mutex> hold (self->lock);

    self->reads++;
    if (self->text.empty ())
      return err_set (err, ERR_IO, "kv", nullptr, "down");
    out->data = strdup (self->text.c_str ());
    out->size = self->text.size ();
    out->revision = self->revision;
    self->values++;
    return 1;
  }

  // For a wait of 0 ms.
  static int
  watch (void *ctx, const char *key, uint64_t after, unsigned,
         struct kv_value *out, struct err *err)
  {
    auto *self = static_cast<fake_kv *> (ctx);

    {
      std::lock_guard<std::mutex> hold (self->lock);

      if (!self->text.empty () && self->revision <= after)
        {
          self->reads++;
          return 0;
        }
    }
    return get (ctx, key, out, err);
  }
};

size_t
fleet_size (void *)
{
  return 2;
}

void
adopted (void *, struct cfg_snapshot *)
{
}

const struct cfg_sync_ops sync_ops = { fleet_size, adopted };

void
on_message (void *ctx, uint64_t peer, const struct msg *msg)
{
  auto *sync = static_cast<struct cfg_sync *> (ctx);

  if (msg->type == MSG_HELLO)
    cfg_sync_on_peer_generation (sync, peer, msg->u.hello.cfg_generation);
  else if (msg->type == MSG_CFG_GET)
    cfg_sync_on_get (sync, peer, msg);
  else if (msg->type == MSG_CFG_DATA)
    cfg_sync_on_data (sync, peer, msg);
}

void
on_unsent (void *, uint64_t, const struct msg *)
{
}

const struct net_ops test_net_ops = { on_message, on_unsent, nullptr };

// A process that takes part in the exchange of documents.
struct sync_process
{
  struct cfg_sync *sync = cfg_sync_open (&sync_ops, nullptr, nullptr);
  struct net *net = nullptr;

  void
  start (struct net *opened, struct kv *kv)
  {
    net = opened;
    ASSERT_NE (net, nullptr);
    ASSERT_EQ (cfg_sync_start (sync, kv, net, nullptr), 0);
  }
  ~sync_process ()
  {
    cfg_sync_stop (sync);
    if (net != nullptr)
      net_close (net);
    cfg_sync_close (sync);
  }
};

template <typename F>
bool
eventually (F condition)
{
  gint64 end = g_get_monotonic_time () + WAIT_S * G_USEC_PER_SEC;

  while (!condition () && g_get_monotonic_time () < end)
    g_usleep (5000);
  return condition ();
}

} // namespace

// Guards against an entry that can't reach the service and does not adopt the
// document of an agent that is ahead, or that becomes ready through one agent
// alone, and against a snapshot that is freed while another thread takes a
// reference.
TEST (CfgSync, AdoptsFromAnAgentWhileTheServiceIsDown)
{
  fake_kv store;
  fake_kv down;
  std::atomic<bool> stop{ false };
  std::atomic<bool> reverted{ false };
  sync_process agent;
  sync_process entry;
  uint64_t peer;

  store.put (document (3));
  agent.start (
      net_open_agent (AGENT, nullptr, &test_net_ops, agent.sync, nullptr),
      &store.kv);
  entry.start (
      net_open_entry ("entry", nullptr, &test_net_ops, entry.sync, nullptr),
      &down.kv);
  peer = net_connect (entry.net, AGENT);
  std::thread reader ([&] {
    uint64_t last = 0;
    while (!stop)
      {
        struct cfg_snapshot *snap = cfg_sync_snapshot (entry.sync);
        if (snap->generation < last)
          reverted = true;
        last = snap->generation;
        cfg_snapshot_unref (snap);
      }
  });
  ASSERT_TRUE (eventually ([&] {
    cfg_sync_on_peer_generation (entry.sync, peer, 3);
    return cfg_sync_generation (entry.sync) == 3;
  }));
  EXPECT_FALSE (cfg_sync_ready (entry.sync));
  EXPECT_TRUE (cfg_sync_ready (agent.sync));

  // An older or invalid document must not be adopted.
  struct msg msg = {};
  msg.type = MSG_CFG_DATA;
  msg.u.cfg_data.generation = 9;
  msg.u.cfg_data.sections = msg_str_from ("{\"generation\":9}");
  cfg_sync_on_data (entry.sync, peer, &msg);
  store.put (document (2));
  unsigned reads = store.read_count ();
  ASSERT_TRUE (eventually ([&] { return store.read_count () >= reads + 2; }));
  EXPECT_EQ (cfg_sync_generation (agent.sync), 3u);
  store.put (document (5));
  ASSERT_TRUE (
      eventually ([&] { return cfg_sync_generation (agent.sync) == 5; }));
  ASSERT_TRUE (eventually ([&] {
    cfg_sync_on_peer_generation (entry.sync, peer, 5);
    return cfg_sync_generation (entry.sync) == 5;
  }));
  struct cfg_snapshot *snap = cfg_sync_snapshot (entry.sync);
  EXPECT_EQ (snap->limits.queue_max, 5u);
  cfg_snapshot_unref (snap);
  stop = true;
  reader.join ();
  EXPECT_FALSE (reverted);
}

// Guards against polls that transfer the whole document when it is unchanged,
// and against a change that polls without the value miss.
TEST (CfgSync, PollsWithoutTheValueWhenItIsUnchanged)
{
  fake_kv service;
  sync_process reader;

  service.put (document (1));
  reader.start (
      net_open_entry ("entry", nullptr, &test_net_ops, reader.sync, nullptr),
      &service.kv);
  EXPECT_TRUE (eventually ([&] { return service.read_count () >= 2; }));
  {
    std::lock_guard<std::mutex> hold (service.lock);
    EXPECT_EQ (service.values, 1u);
  }
  service.put (document (2));
  EXPECT_TRUE (
      eventually ([&] { return cfg_sync_generation (reader.sync) == 2; }));
}
