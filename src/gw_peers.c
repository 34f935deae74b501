/* Sends the load reports of this gateway and receives those of its peers.  */
#include <string.h>

#include "goldcresthatch/settings.h"
#include "gw.h"
#include "tcp.h"
#include "peerload.h"

struct gw_peers
{
  struct peerload *peerload;
  uv_udp_t udp;
  uint64_t sequence;
  struct sockaddr_in self;
  GArray *peer_addresses; /* struct sockaddr_in */
  unsigned malformed;
};

void
gw_peers_set_addresses (struct gw *gw, const char *const *addresses, size_t n)
{
  struct gw_peers *peers = gw->peers;
  struct sockaddr_in sa;
  size_t i;

  g_array_set_size (peers->peer_addresses, 0);
  for (i = 0; i < n; i++)
    if (settings_parse_address (addresses[i], &sa) == 0
        && (sa.sin_addr.s_addr != peers->self.sin_addr.s_addr
            || sa.sin_port != peers->self.sin_port))
      g_array_append_val (peers->peer_addresses, sa);
}

static void
on_datagram (uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
             const struct sockaddr *from, unsigned flags)
{
  struct gw *gw = udp->data;
  struct err err;

  if (n <= 0 || from == NULL || (flags & UV_UDP_PARTIAL))
    return;
  if (peerload_apply (gw->peers->peerload, gw->runner_pool, gw->set.node,
                      buf->base, (size_t)n, gw_now (gw), &err)
      != 0)
    gw->peers->malformed++;
}

static void
on_report_time (void *ctx, int64_t now)
{
  struct gw *gw = ctx;
  struct gw_peers *peers = gw->peers;
  GString *report = g_string_new (NULL);
  uv_buf_t buf;
  guint i;

  peerload_expire (peers->peerload, gw->runner_pool, now);
  if (peers->peer_addresses->len > 0)
    {
      peerload_encode (gw->set.node, ++peers->sequence,
                       gw_stage_prefill_demand (gw), gw->runner_pool, report);
      buf = uv_buf_init (report->str, (unsigned)report->len);
      for (i = 0; i < peers->peer_addresses->len; i++)
        /* A datagram that the socket doesn't accept counts as lost.  */
        uv_udp_try_send (&peers->udp, &buf, 1,
                         (const struct sockaddr *)&g_array_index (
                             peers->peer_addresses, struct sockaddr_in, i));
    }
  g_string_free (report, TRUE);
  tmr_add (gw->tmr, peerload_interval (gw->processes), 0, on_report_time, gw);
}

double
gw_peers_prefill_demand (const struct gw *gw)
{
  return peerload_prefill_demand (gw->peers->peerload);
}

int
gw_peers_open (struct gw *gw, struct err *err)
{
  struct gw_peers *peers = g_new0 (struct gw_peers, 1);
  int rc;

  gw->peers = peers;
  peers->peerload = peerload_new ();
  peers->peer_addresses
      = g_array_new (FALSE, FALSE, sizeof (struct sockaddr_in));
  /* The sequence numbers must rise over a restart of this process.  */
  peers->sequence = (uint64_t)g_get_real_time ();
  if (gw->set.listen_load[0] == '\0')
    return 0;
  settings_parse_address (gw->set.listen_load, &peers->self);
  uv_udp_init (&gw->loop, &peers->udp);
  peers->udp.data = gw;
  rc = uv_udp_bind (&peers->udp, (struct sockaddr *)&peers->self, 0);
  if (rc == 0)
    rc = uv_udp_recv_start (&peers->udp, tcp_alloc_buffer, on_datagram);
  if (rc != 0)
    return err_set (err, ERR_IO, "listen for load", gw->set.listen_load, "%s",
                    uv_strerror (rc));
  tmr_add (gw->tmr, peerload_interval (1), 0, on_report_time, gw);
  return 0;
}
