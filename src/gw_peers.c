/* Datagrams between gateways: sums of their load, and changes in the store. */
#include <string.h>
#include <xxhash.h>

#include "crashfeed.h"
#include "fleetsum.h"
#include "goldcresthatch/settings.h"
#include "gw.h"
#include "tcp.h"

enum
{
  FLUSH_MS = 2,     /* changes within this time share a datagram */
  EXPIRE_MS = 200,  /* between two checks for what is due or out of date */
  DEMAND_KEYS = 16, /* the gateways share out the reports of demand over these,
                       so that no home receives those of all */
  DEMAND_QUERY_MS = 1000,
  RANKED_MAX = 8,
  DEMAND_SCALE = 1000, /* the demand is sent as an integer */
  LIMITS_MS = 200,     /* between two queries for runners with a limit */
  /* A gateway whose link is narrower than the widest by more than this is no
     home: its processor is as small.  */
  HOME_LINK_RATIO_MAX = 4
};

/* The key of a runner's limit is that of its load with these bits changed.  */
#define LIMIT_KEY_BITS UINT64_C (0x6c696d6974000000)

/* A query whose end is awaited.  */
struct waiting
{
  uint64_t query;
  void (*fn) (void *ctx);
  void *ctx;
};

struct gw_peers
{
  struct fleetsum *sums;
  struct fleetfeed *feeds;
  uv_udp_t udp;
  uint64_t self;
  GHashTable *addresses; /* gateway's number -> struct sockaddr_in */
  GHashTable *waiting;   /* query -> struct waiting */
  int64_t timer_at;      /* when the end of a query is awaited, or -1 */
  int flushing;          /* a flush is due */
  uint64_t demand_keys[DEMAND_KEYS];
  struct gw_demand demand[DEMAND_KEYS]; /* of the other gateways */
  int64_t demand_asked_us;
};

static void
on_flush (void *ctx, int64_t now)
{
  struct gw *gw = ctx;

  gw->peers->flushing = 0;
  fleetsum_flush (gw->peers->sums, now);
}

void
gw_peers_contribute (struct gw *gw, uint64_t key,
                     const struct fleetsum_value *value)
{
  struct gw_peers *peers = gw->peers;

  if (!fleetsum_set (peers->sums, key, value) || peers->flushing)
    return;
  peers->flushing = 1;
  tmr_add (gw->tmr, gw_ms_to_us (FLUSH_MS), 0, on_flush, gw);
}

void
gw_peers_note_load (struct gw *gw, const struct pool_runner *runner)
{
  struct fleetsum_value value
      = { runner->calls, (uint32_t)runner->tokens, runner->ordered };

  if (runner->entry.stage != POOL_STAGE_ANY)
    gw_peers_contribute (gw, runner->hash, &value);
}

void
gw_peers_note_limit (struct gw *gw, const struct pool_runner *runner)
{
  int64_t now = gw_now (gw);
  struct fleetsum_value value = { 0, 0, 0 };

  if (runner->limit.named_us == 0)
    return;
  if (limit_in_force (&runner->limit, now))
    value.count = limit_sends (&runner->limit, now);
  gw_peers_contribute (gw, runner->hash ^ LIMIT_KEY_BITS, &value);
}

static void
log_limit (const struct pool_runner *runner)
{
  event_log_write ("limit", NULL,
                   "\"runner\":\"%s\",\"in_force\":%d,\"per_s\":%g",
                   runner->entry.id, runner->limit.told, runner->limit.per_s);
}

/* Updates the sends to runners with a limit, which age, and asks for those of
   the other gateways.  */
static void
on_limits (void *ctx, int64_t now)
{
  struct gw *gw = ctx;
  uint64_t keys[FLEETSUM_KEYS_MAX];
  size_t n = 0;
  size_t i;

  for (i = 0; i < pool_count (gw->runner_pool); i++)
    {
      struct pool_runner *runner = pool_at (gw->runner_pool, i);
      if (runner->limit.named_us == 0)
        continue;
      if (limit_changed (&runner->limit, now))
        log_limit (runner);
      gw_peers_note_limit (gw, runner);
      if (!runner->present || !limit_in_force (&runner->limit, now))
        continue;
      keys[n++] = runner->hash ^ LIMIT_KEY_BITS;
      if (n < FLEETSUM_KEYS_MAX)
        continue;
      fleetsum_query (gw->peers->sums, keys, n, now);
      n = 0;
    }
  if (n > 0)
    fleetsum_query (gw->peers->sums, keys, n, now);
}

void
gw_peers_set_demand (struct gw *gw, const struct gw_demand *demand)
{
  struct gw_peers *peers = gw->peers;
  struct fleetsum_value value
      = { (uint32_t)(demand->decode * DEMAND_SCALE),
          (uint32_t)(demand->prefill * DEMAND_SCALE), 0 };

  gw_peers_contribute (gw, peers->demand_keys[peers->self % DEMAND_KEYS],
                       &value);
}

struct gw_demand
gw_peers_demand (struct gw *gw)
{
  struct gw_peers *peers = gw->peers;
  struct gw_demand sum = { 0, 0 };
  int64_t now = gw_now (gw);
  int i;

  if (now - peers->demand_asked_us >= gw_ms_to_us (DEMAND_QUERY_MS))
    {
      peers->demand_asked_us = now;
      fleetsum_query (peers->sums, peers->demand_keys, DEMAND_KEYS, now);
    }
  for (i = 0; i < DEMAND_KEYS; i++)
    {
      sum.prefill += peers->demand[i].prefill;
      sum.decode += peers->demand[i].decode;
    }
  return sum;
}

static void
send_datagram (void *ctx, uint64_t home, const char *data, size_t size)
{
  struct gw *gw = ctx;
  const struct sockaddr *to
      = g_hash_table_lookup (gw->peers->addresses, &home);
  uv_buf_t buf = uv_buf_init ((char *)data, (unsigned)size);

  if (to == NULL)
    return;
  gw->counts.datagrams_sent++;
  /* A datagram that the socket doesn't accept counts as lost.  */
  uv_udp_try_send (&gw->peers->udp, &buf, 1, to);
}

static void
on_sum (void *ctx, uint64_t key, const struct fleetsum_value *sum, int64_t now)
{
  struct gw *gw = ctx;
  struct gw_peers *peers = gw->peers;
  struct pool_runner *runner = pool_find_hash (gw->runner_pool, key);
  int i;

  if (runner != NULL)
    {
      runner->peer_calls = sum->count;
      runner->peer_tokens = sum->amount;
      runner->peer_report_us = now;
      runner->peer_ordered = sum->state <= POOL_STAGE_DECODE
                                     && sum->state != runner->entry.stage
                                 ? (enum pool_stage)sum->state
                                 : POOL_STAGE_ANY;
      return;
    }
  runner = pool_find_hash (gw->runner_pool, key ^ LIMIT_KEY_BITS);
  if (runner != NULL)
    {
      limit_note_others (&runner->limit, sum->count, now);
      return;
    }
  gw_share_note_sum (gw, key, sum, now);
  for (i = 0; i < DEMAND_KEYS; i++)
    if (peers->demand_keys[i] == key)
      {
        peers->demand[i].decode = (double)sum->count / DEMAND_SCALE;
        peers->demand[i].prefill = (double)sum->amount / DEMAND_SCALE;
      }
}

static void
on_query_done (void *ctx, uint64_t query, size_t silent)
{
  struct gw *gw = ctx;
  struct waiting *waiting = g_hash_table_lookup (gw->peers->waiting, &query);
  struct waiting ended;

  gw->counts.load_queries_incomplete += silent > 0;
  if (waiting == NULL)
    return;
  ended = *waiting;
  g_hash_table_remove (gw->peers->waiting, &query);
  ended.fn (ended.ctx);
}

void
gw_peers_ask (struct gw *gw, const uint64_t *keys, size_t n)
{
  fleetsum_query (gw->peers->sums, keys, n, gw_now (gw));
}

static void
on_query_time (void *ctx, int64_t now)
{
  struct gw *gw = ctx;
  struct gw_peers *peers = gw->peers;

  peers->timer_at = -1;
  peers->timer_at = fleetsum_advance (peers->sums, now);
  if (peers->timer_at >= 0)
    tmr_add (gw->tmr, MAX (peers->timer_at - now, 0), 0, on_query_time, gw);
}

uint64_t
gw_peers_query (struct gw *gw, struct pool_runner *const *runners, size_t n,
                void (*fn) (void *ctx), void *ctx)
{
  struct gw_peers *peers = gw->peers;
  uint64_t keys[FLEETSUM_KEYS_MAX];
  int64_t now = gw_now (gw);
  struct waiting *waiting;
  size_t n_keys = 0;
  size_t i;

  n = MIN (n, (size_t)FLEETSUM_KEYS_MAX / 2);
  for (i = 0; i < n; i++)
    {
      keys[n_keys++] = runners[i]->hash;
      if (limit_in_force (&runners[i]->limit, now))
        keys[n_keys++] = runners[i]->hash ^ LIMIT_KEY_BITS;
    }
  waiting = g_new0 (struct waiting, 1);
  waiting->fn = fn;
  waiting->ctx = ctx;
  waiting->query = fleetsum_query (peers->sums, keys, n_keys, now);
  if (waiting->query == 0)
    {
      g_free (waiting);
      return 0;
    }
  gw->counts.load_queries++;
  g_hash_table_insert (peers->waiting, &waiting->query, waiting);
  if (peers->timer_at < 0)
    {
      peers->timer_at = now + FLEETSUM_QUERY_US;
      tmr_add (gw->tmr, FLEETSUM_QUERY_US, 0, on_query_time, gw);
    }
  return waiting->query;
}

void
gw_peers_cancel (struct gw *gw, uint64_t query)
{
  if (query == 0)
    return;
  fleetsum_cancel (gw->peers->sums, query);
  g_hash_table_remove (gw->peers->waiting, &query);
}

void
gw_peers_set (struct gw *gw, const struct gw_peer *peer, size_t n)
{
  struct gw_peers *peers = gw->peers;
  GArray *homes = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GArray *all = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  double widest = gw->set.link_mbit;
  size_t i;

  /* Without a socket this gateway takes no part.  */
  if (gw->set.listen_load[0] == '\0')
    n = 0;
  for (i = 0; i < n; i++)
    widest = MAX (widest, peer[i].link_mbit);
  g_hash_table_remove_all (peers->addresses);
  for (i = 0; i < n; i++)
    {
      uint64_t id = fleetsum_id (peer[i].name);
      struct sockaddr_in *address = g_new0 (struct sockaddr_in, 1);
      if (settings_parse_address (peer[i].load_address, address) != 0)
        {
          g_free (address);
          continue;
        }
      g_hash_table_insert (peers->addresses, g_memdup2 (&id, sizeof id),
                           address);
      g_array_append_val (all, id);
      if (peer[i].link_mbit * HOME_LINK_RATIO_MAX >= widest)
        g_array_append_val (homes, id);
    }
  if (gw->set.link_mbit * HOME_LINK_RATIO_MAX >= widest)
    g_array_append_val (homes, peers->self);
  fleetsum_set_homes (peers->sums, (const uint64_t *)(void *)homes->data,
                      homes->len, gw_now (gw));
  g_array_append_val (all, peers->self);
  fleetfeed_set_members (peers->feeds, (const uint64_t *)(void *)homes->data,
                         homes->len, (const uint64_t *)(void *)all->data,
                         all->len);
  g_array_free (homes, TRUE);
  g_array_free (all, TRUE);
}

uint64_t
gw_peers_any (struct gw *gw)
{
  GHashTable *addresses = gw->peers->addresses;
  guint n = g_hash_table_size (addresses);
  guint skip = n > 0 ? (guint)(gw_random (gw) % n) : 0;
  GHashTableIter iter;
  gpointer id;

  g_hash_table_iter_init (&iter, addresses);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    if (skip-- == 0)
      return *(const uint64_t *)id;
  return 0;
}

size_t
gw_peers_rank (struct gw *gw, uint64_t key, uint64_t *to, size_t max)
{
  uint64_t weight[RANKED_MAX];
  GHashTableIter iter;
  gpointer value;
  size_t n = 0;

  max = MIN (max, (size_t)RANKED_MAX);
  g_hash_table_iter_init (&iter, gw->peers->addresses);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      uint64_t id = *(const uint64_t *)value;
      uint64_t at = XXH64 (&key, sizeof key, id);
      size_t i;
      if (n == max && (n == 0 || at <= weight[n - 1]))
        continue;
      n += n < max;
      for (i = n - 1; i > 0 && weight[i - 1] < at; i--)
        {
          weight[i] = weight[i - 1];
          to[i] = to[i - 1];
        }
      weight[i] = at;
      to[i] = id;
    }
  return n;
}

void
gw_peers_send (struct gw *gw, uint64_t to, const char *data, size_t size)
{
  GHashTableIter iter;
  gpointer id;

  if (to != 0)
    {
      send_datagram (gw, to, data, size);
      return;
    }
  g_hash_table_iter_init (&iter, gw->peers->addresses);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    send_datagram (gw, *(const uint64_t *)id, data, size);
}

/* Passes a datagram on to the gateways that follow this one.  */
static void
send_to_followers (void *ctx, const char *data, size_t size)
{
  struct gw *gw = ctx;
  size_t n;
  const uint64_t *followers = fleetfeed_followers (gw->peers->feeds, &n);
  size_t i;

  for (i = 0; i < n; i++)
    send_datagram (gw, followers[i], data, size);
}

void
gw_peers_publish (struct gw *gw, const struct fleetfeed_notice *notice)
{
  fleetfeed_write (gw->peers->feeds, notice, send_to_followers, gw);
}

int
gw_peers_is_source (const struct gw *gw)
{
  return fleetfeed_is_source (gw->peers->feeds);
}

int
gw_peers_is_current (struct gw *gw, unsigned feed, uint64_t era,
                     uint64_t revision)
{
  return fleetfeed_is_current (gw->peers->feeds, feed, era, revision,
                               gw_now (gw));
}

static void
on_notice (void *ctx, const struct fleetfeed_notice *notice)
{
  struct gw *gw = ctx;

  gw->counts.store_notices++;
  gw_sync_apply_notice (gw, notice);
}

static void
on_datagram (uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
             const struct sockaddr *from, unsigned flags)
{
  struct gw *gw = udp->data;
  struct err err;
  int rc;

  if (n <= 0 || from == NULL || (flags & UV_UDP_PARTIAL))
    return;
  gw->counts.datagrams_received++;
  if (fleetfeed_is_datagram (buf->base, (size_t)n))
    rc = fleetfeed_receive (gw->peers->feeds, buf->base, (size_t)n,
                            gw_now (gw), on_notice, gw, &err);
  else if (crashfeed_is_datagram (buf->base, (size_t)n))
    rc = gw_quarantine_receive (gw, buf->base, (size_t)n, &err);
  else if (gw_resume_is_datagram (buf->base, (size_t)n))
    rc = gw_resume_receive (gw, buf->base, (size_t)n, &err);
  else if (gw_runner_is_datagram (buf->base, (size_t)n))
    rc = gw_runner_receive (gw, buf->base, (size_t)n, &err);
  else if (gw_usage_is_datagram (buf->base, (size_t)n))
    rc = gw_usage_receive (gw, buf->base, (size_t)n, &err);
  else
    rc = fleetsum_receive (gw->peers->sums, buf->base, (size_t)n, gw_now (gw),
                           &err);
  gw->counts.datagrams_malformed += rc != 0;
}

static void
on_expire (void *ctx, int64_t now)
{
  struct gw *gw = ctx;

  fleetsum_expire (gw->peers->sums, now);
}

size_t
gw_peers_silent (const struct gw *gw)
{
  return fleetsum_silent (gw->peers->sums, tmr_now (gw->tmr));
}

int
gw_peers_open (struct gw *gw, struct err *err)
{
  static const struct fleetsum_ops ops
      = { send_datagram, on_sum, on_query_done };
  struct gw_peers *peers = g_new0 (struct gw_peers, 1);
  struct sockaddr_in listen;
  uint64_t i;
  int rc;

  gw->peers = peers;
  peers->self = fleetsum_id (gw->set.node);
  /* The sequence numbers must rise over a restart of this process.  */
  peers->sums
      = fleetsum_new (peers->self, (uint64_t)g_get_real_time (), &ops, gw);
  peers->feeds = fleetfeed_new (peers->self);
  peers->addresses
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  peers->waiting
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  peers->timer_at = -1;
  tmr_add (gw->tmr, gw_ms_to_us (LIMITS_MS), gw_ms_to_us (LIMITS_MS),
           on_limits, gw);
  for (i = 0; i < DEMAND_KEYS; i++)
    peers->demand_keys[i] = XXH64 (&i, sizeof i, 0);
  if (gw->set.listen_load[0] == '\0')
    return 0;
  settings_parse_address (gw->set.listen_load, &listen);
  uv_udp_init (&gw->loop, &peers->udp);
  peers->udp.data = gw;
  rc = uv_udp_bind (&peers->udp, (struct sockaddr *)&listen, 0);
  if (rc == 0)
    rc = uv_udp_recv_start (&peers->udp, tcp_alloc_buffer, on_datagram);
  if (rc != 0)
    return err_set (err, ERR_IO, "listen for load", gw->set.listen_load, "%s",
                    uv_strerror (rc));
  tmr_add (gw->tmr, gw_ms_to_us (EXPIRE_MS), gw_ms_to_us (EXPIRE_MS),
           on_expire, gw);
  return 0;
}
