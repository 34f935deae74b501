/* Relaying of requests to peer gateways.

   A request with a separate prefill is sent twice, so a gateway with a slow
   network link is saturated at half of the load that its link could carry.  It
   relays long requests to gateways with much faster links, which send them
   twice.  */
#include <stdio.h>
#include <string.h>

#include "gw.h"

enum
{
  RELAY_MIN_BYTES = 2048, /* shorter requests don't saturate a link */
  /* To this gateway's: a relay serves many slow ones.  */
  RELAY_LINK_RATIO_MIN = 4,
  REPORTS_VERSION = 2 /* of the messages of fleetsum */
};

struct gw_relay
{
  GHashTable *peers; /* name -> struct peer_gateway */
};

struct peer_gateway
{
  struct pool_runner runner; /* health and calls of the gateway */
  double link_mbit;
  char load_address[32];
  int reports; /* version of the reports of load that it understands */
  int present;
};

struct gw_relay *
gw_relay_new (struct gw *gw)
{
  gw->relay = g_new0 (struct gw_relay, 1);
  gw->relay->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return gw->relay;
}

void
gw_relay_presence_write (const struct gw *gw, GString *out)
{
  g_string_append_printf (out, "%s %s %.2f %s %d",
                          gw->set.listen_load[0] ? gw->set.listen_load : "-",
                          gw->set.listen_relay[0] ? gw->set.listen_relay : "-",
                          gw->set.link_mbit, gw->set.zone, REPORTS_VERSION);
}

static void
read_presence (struct gw_relay *relay, const char *name, const char *presence)
{
  struct peer_gateway *peer = g_hash_table_lookup (relay->peers, name);
  struct peer_gateway next = { 0 };

  /* Gateways that send reports of the first version have four fields.  */
  if (sscanf (presence, "%31s %31s %lf %63s %d", next.load_address,
              next.runner.entry.address, &next.link_mbit,
              next.runner.entry.zone, &next.reports)
      < 4)
    {
      event_log_write ("gateway_malformed", NULL, "\"gateway\":\"%s\"", name);
      return;
    }
  next.present = 1;
  g_strlcpy (next.runner.entry.id, name, sizeof next.runner.entry.id);
  g_snprintf (next.runner.peer, sizeof next.runner.peer, "gateway %s %s", name,
              next.runner.entry.address);
  if (peer == NULL)
    {
      peer = g_new0 (struct peer_gateway, 1);
      *peer = next;
      g_hash_table_insert (relay->peers, g_strdup (name), peer);
      return;
    }
  /* A gateway at a new address is another process; calls in progress to the
     old one end by themselves.  */
  memcpy (&peer->runner.entry, &next.runner.entry, sizeof next.runner.entry);
  memcpy (peer->runner.peer, next.runner.peer, sizeof next.runner.peer);
  memcpy (peer->load_address, next.load_address, sizeof next.load_address);
  peer->link_mbit = next.link_mbit;
  peer->reports = next.reports;
  peer->present = 1;
}

void
gw_relay_update (struct gw *gw, GHashTable *present)
{
  struct gw_relay *relay = gw->relay;
  GArray *peers = g_array_new (FALSE, TRUE, sizeof (struct gw_peer));
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, relay->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct peer_gateway *)value)->present = 0;
  g_hash_table_iter_init (&iter, present);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (strcmp (name, gw->set.node) != 0)
      read_presence (relay, name, value);
  g_hash_table_iter_init (&iter, relay->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer_gateway *peer = value;
      struct gw_peer entry
          = { peer->runner.entry.id, peer->load_address, peer->link_mbit };
      if (peer->present && peer->reports == REPORTS_VERSION)
        g_array_append_val (peers, entry);
      if (!peer->present && peer->runner.calls + peer->runner.references == 0)
        g_hash_table_iter_remove (&iter);
    }
  gw_peers_set (gw, (const struct gw_peer *)(void *)peers->data, peers->len);
  g_array_free (peers, TRUE);
}

struct pool_runner *
gw_relay_choose (struct gw *gw, size_t size, const char *zone,
                 struct pool_runner *const *excluded, size_t n_excluded)
{
  struct pool_runner *best = NULL;
  int best_is_near = 0;
  unsigned equal = 0; /* gateways as good as BEST */
  int64_t now = gw_now (gw);
  GHashTableIter iter;
  gpointer value;
  size_t i;

  if (size < RELAY_MIN_BYTES)
    return NULL;
  g_hash_table_iter_init (&iter, gw->relay->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer_gateway *peer = value;
      struct pool_runner *runner = &peer->runner;
      int near = strcmp (runner->entry.zone, zone) == 0;
      if (!peer->present
          || peer->link_mbit < gw->set.link_mbit * RELAY_LINK_RATIO_MIN
          || runner->entry.address[0] == '-' || now < runner->backoff_until_us)
        continue;
      for (i = 0; i < n_excluded && excluded[i] != runner; i++)
        ;
      if (i < n_excluded)
        continue;
      if (best == NULL || near > best_is_near
          || (near == best_is_near && runner->calls < best->calls))
        equal = 0;
      else if (near < best_is_near || runner->calls > best->calls)
        continue;
      /* Random among equals, so that the gateways don't all take the same.  */
      if (gw_random (gw) % ++equal == 0)
        best = runner;
      best_is_near = near;
    }
  return best;
}
