/* Cost of what a gateway knows of the load at the runners: sums kept at homes
   (fleetsum) beside reports of every gateway to every other one.

   The fleet runs in virtual time, with datagrams delivered after a fixed time.
   The processor time is that of all gateways, divided by their number; system
   calls are not in it.  */
#include <glib.h>
#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "fleetsum.h"

enum
{
  DELAY_US = 900, /* between two zones, one way */
  RUN_MS = 4000,
  SESSION_ENGINES = 2, /* candidates for the prompt of a request */
  DECODE_ENGINES = 4,  /* and for its generation */
  CANDIDATES = SESSION_ENGINES + DECODE_ENGINES,
  PREFILL_MS = 30,
  DECODE_MS = 40,
  MESH_INTERVAL_PER_GATEWAY_US = 5000,
  MESH_INTERVAL_MIN_US = 20000,
  MESH_REPORTS = 400 /* applied in a measurement */
};

/* Requests a second of one gateway at the target size.  */
static const double requests_per_s = 1200.0 / 380;

struct fleet;

struct gateway
{
  struct fleet *fleet;
  uint64_t id;
  struct fleetsum *sums;
  uint64_t sent;
  uint64_t bytes;
};

struct datagram
{
  int64_t due;
  struct gateway *to;
  size_t size;
  char data[FLEETSUM_BYTES_MAX];
};

/* A change of the load that is due later.  */
struct change
{
  int64_t due;
  struct gateway *gateway;
  uint64_t engine;
  uint32_t count;
};

struct fleet
{
  GHashTable *by_id;
  struct gateway *gateways;
  unsigned n;
  unsigned n_engines;
  GQueue flight;  /* struct datagram, in the order of their due times */
  GQueue changes; /* struct change */
  int64_t now;
  GRand *random;
};

static void
on_send (void *ctx, uint64_t home, const char *data, size_t size)
{
  struct gateway *gateway = ctx;
  struct fleet *fleet = gateway->fleet;
  struct datagram *datagram = g_new (struct datagram, 1);

  gateway->sent++;
  gateway->bytes += size;
  datagram->due = fleet->now + DELAY_US;
  datagram->to = g_hash_table_lookup (fleet->by_id, &home);
  datagram->size = size;
  memcpy (datagram->data, data, size);
  g_queue_push_tail (&fleet->flight, datagram);
}

static void
on_sum (void *ctx, uint64_t key, const struct fleetsum_value *sum, int64_t now)
{
  (void)ctx;
  (void)key;
  (void)sum;
  (void)now;
}

static void
on_done (void *ctx, uint64_t query, size_t silent)
{
  (void)ctx;
  (void)query;
  (void)silent;
}

static void
set_load (struct fleet *fleet, struct gateway *gateway, uint64_t engine,
          uint32_t count)
{
  struct fleetsum_value value = { count, count * 9000, 0 };

  fleetsum_set (gateway->sums, engine, &value);
  fleetsum_flush (gateway->sums, fleet->now);
}

static void
change_later (struct fleet *fleet, struct gateway *gateway, uint64_t engine,
              uint32_t count, int64_t delay_us)
{
  struct change *change = g_new (struct change, 1);

  change->due = fleet->now + delay_us;
  change->gateway = gateway;
  change->engine = engine;
  change->count = count;
  g_queue_push_tail (&fleet->changes, change);
}

/* A request arrives: its candidates are asked for, and the one that is chosen
   has it for a while.  */
static void
request (struct fleet *fleet)
{
  struct gateway *gateway
      = &fleet
             ->gateways[g_rand_int_range (fleet->random, 0, (gint32)fleet->n)];
  uint64_t keys[CANDIDATES];
  int i;

  for (i = 0; i < CANDIDATES; i++)
    keys[i] = 1000000
              + (uint64_t)g_rand_int_range (fleet->random, 0,
                                            (gint32)fleet->n_engines);
  fleetsum_query (gateway->sums, keys, SESSION_ENGINES, fleet->now);
  set_load (fleet, gateway, keys[0], 1);
  fleetsum_query (gateway->sums, keys + SESSION_ENGINES, DECODE_ENGINES,
                  fleet->now);
  change_later (fleet, gateway, keys[0], 0, INT64_C (1000) * PREFILL_MS);
  set_load (fleet, gateway, keys[SESSION_ENGINES], 1);
  change_later (fleet, gateway, keys[SESSION_ENGINES], 0,
                INT64_C (1000) * DECODE_MS);
}

static void
deliver_due (struct fleet *fleet)
{
  struct datagram *datagram;
  GList *link = fleet->changes.head;

  while ((datagram = g_queue_peek_head (&fleet->flight)) != NULL
         && datagram->due <= fleet->now)
    {
      g_queue_pop_head (&fleet->flight);
      fleetsum_receive (datagram->to->sums, datagram->data, datagram->size,
                        fleet->now, NULL);
      g_free (datagram);
    }
  while (link != NULL)
    {
      struct change *change = link->data;
      GList *next = link->next;
      if (change->due <= fleet->now)
        {
          set_load (fleet, change->gateway, change->engine, change->count);
          g_free (change);
          g_queue_delete_link (&fleet->changes, link);
        }
      link = next;
    }
}

static double
cpu_s (void)
{
  struct timespec at;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &at);
  return (double)at.tv_sec + (double)at.tv_nsec / 1e9;
}

/* Measures the sums of N gateways before ENGINES.  */
static void
measure_sums (unsigned n, unsigned engines)
{
  static const struct fleetsum_ops ops = { on_send, on_sum, on_done };
  struct fleet fleet = { .n = n, .n_engines = engines, .now = 1000000 };
  uint64_t *ids = g_new (uint64_t, n);
  uint64_t sent = 0;
  uint64_t bytes = 0;
  double next_request = 0;
  double begun;
  double used;
  unsigned i;
  int ms;

  fleet.random = g_rand_new_with_seed (1);
  fleet.by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  fleet.gateways = g_new0 (struct gateway, n);
  g_queue_init (&fleet.flight);
  g_queue_init (&fleet.changes);
  for (i = 0; i < n; i++)
    {
      struct gateway *gateway = &fleet.gateways[i];
      char name[32];
      g_snprintf (name, sizeof name, "gateway-%u", i);
      gateway->fleet = &fleet;
      ids[i] = gateway->id = fleetsum_id (name);
      gateway->sums = fleetsum_new (gateway->id, 1, &ops, gateway);
      g_hash_table_insert (fleet.by_id, &gateway->id, gateway);
    }
  for (i = 0; i < n; i++)
    fleetsum_set_homes (fleet.gateways[i].sums, ids, n, fleet.now);
  begun = cpu_s ();
  for (ms = 0; ms < RUN_MS; ms++)
    {
      fleet.now += 1000;
      while (next_request <= ms)
        {
          request (&fleet);
          next_request += 1000 / (requests_per_s * n);
        }
      deliver_due (&fleet);
      for (i = 0; i < n; i++)
        fleetsum_advance (fleet.gateways[i].sums, fleet.now);
      if (ms % 200 == 0)
        for (i = 0; i < n; i++)
          fleetsum_expire (fleet.gateways[i].sums, fleet.now);
    }
  used = cpu_s () - begun;
  for (i = 0; i < n; i++)
    {
      sent += fleet.gateways[i].sent;
      bytes += fleet.gateways[i].bytes;
      fleetsum_free (fleet.gateways[i].sums);
    }
  printf ("%8u %8u  sums  %10.1f %10.2f %12.3f %10.1f\n", n, engines,
          (double)sent / n / (RUN_MS / 1000.0),
          (double)bytes / n / (RUN_MS / 1000.0) / 1000,
          used / n / (RUN_MS / 1000.0) * 100, 2 * DELAY_US / 1000.0);
  g_queue_clear_full (&fleet.flight, g_free);
  g_queue_clear_full (&fleet.changes, g_free);
  g_hash_table_destroy (fleet.by_id);
  g_rand_free (fleet.random);
  g_free (fleet.gateways);
  g_free (ids);
}

/* Appends a report of ROWS engines.  */
static void
mesh_encode (msgpack_sbuffer *buffer, unsigned rows)
{
  msgpack_packer packer;
  unsigned i;

  msgpack_packer_init (&packer, buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, rows);
  for (i = 0; i < rows; i++)
    {
      msgpack_pack_array (&packer, 3);
      msgpack_pack_uint64 (&packer, UINT64_MAX - i);
      msgpack_pack_unsigned_int (&packer, 1);
      msgpack_pack_uint64 (&packer, 9000);
    }
}

/* Measures reports of N gateways to each other: each is decoded, and the rows
   of all of them are added up anew.  */
static void
measure_mesh (unsigned n, unsigned engines)
{
  double interval_s
      = MAX (n * (double)MESH_INTERVAL_PER_GATEWAY_US, MESH_INTERVAL_MIN_US)
        / 1e6;
  /* Engines at which a gateway has a request at a time.  */
  unsigned rows = (unsigned)MAX (
      1, requests_per_s * (PREFILL_MS + DECODE_MS) / 1000.0 + 0.5);
  uint64_t *sums = g_new0 (uint64_t, engines);
  msgpack_sbuffer buffer;
  double begun = cpu_s ();
  double used;
  int report;
  unsigned i;

  for (report = 0; report < MESH_REPORTS; report++)
    {
      msgpack_unpacked unpacked;
      msgpack_sbuffer_init (&buffer);
      mesh_encode (&buffer, rows);
      msgpack_unpacked_init (&unpacked);
      msgpack_unpack_next (&unpacked, buffer.data, buffer.size, NULL);
      memset (sums, 0, engines * sizeof *sums);
      for (i = 0; i < n * rows; i++)
        sums[(i * 7919) % engines]
            += unpacked.data.via.array.ptr[i % rows].via.array.ptr[1].via.u64;
      msgpack_unpacked_destroy (&unpacked);
      if (report + 1 < MESH_REPORTS)
        msgpack_sbuffer_destroy (&buffer);
    }
  used = (cpu_s () - begun) / MESH_REPORTS;
  printf ("%8u %8u  mesh  %10.1f %10.2f %12.3f %10.1f\n", n, engines,
          (n - 1) / interval_s,
          (double)buffer.size * (n - 1) / interval_s / 1000,
          used * (n - 1) / interval_s * 100, interval_s * 1000);
  msgpack_sbuffer_destroy (&buffer);
  g_free (sums);
}

int
main (void)
{
  static const struct
  {
    unsigned gateways;
    unsigned engines;
  } sizes[] = { { 4, 11 }, { 25, 35 }, { 103, 73 }, { 380, 1300 } };
  size_t i;

  printf ("%8s %8s        %10s %10s %12s %10s\n", "gateways", "engines",
          "datagrams", "kB/s sent", "% of a core", "age, ms");
  for (i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      measure_mesh (sizes[i].gateways, sizes[i].engines);
      measure_sums (sizes[i].gateways, sizes[i].engines);
    }
  return EXIT_SUCCESS;
}
