/* Requests that arrive while the gateway starts.

   The callers of a gateway that has ended connect again as soon as its port
   accepts, some milliseconds before the configuration and the runners have
   been read.  A refusal would be the end of a stream whose caller has one
   retry, so requests wait for a while.  */
#include "gw.h"

enum
{
  TICK_MS = 2,
  HELD_MAX = 1000 /* requests; the bodies are in memory */
};

struct held
{
  struct gw_listener *listener;
  uint64_t conn;
  const struct http_head *head;
  const char *body;
  size_t size;
  int64_t arrived;
};

struct gw_hold
{
  GArray *held; /* struct held, oldest first */
  int64_t until;
  int64_t arrived; /* of the request that is let go now, or 0 */
  uint64_t timer;
  int (*is_loaded) (const struct gw *gw);
};

int
gw_hold_take (struct gw_listener *listener, uint64_t conn,
              const struct http_head *head, const char *body, size_t size)
{
  struct gw *gw = listener->gw;
  struct gw_hold *hold = gw->hold;
  int64_t now = gw_now (gw);
  struct held held = { listener, conn, head, body, size, now };

  if (hold == NULL || hold->timer == 0 || now >= hold->until
      || hold->held->len >= HELD_MAX || hold->is_loaded (gw))
    return 0;
  g_array_append_val (hold->held, held);
  return 1;
}

int
gw_hold_drop (struct gw_listener *listener, uint64_t conn)
{
  struct gw_hold *hold = listener->gw->hold;
  guint i;

  if (hold == NULL)
    return 0;
  for (i = 0; i < hold->held->len; i++)
    {
      const struct held *held = &g_array_index (hold->held, struct held, i);
      if (held->listener == listener && held->conn == conn)
        {
          g_array_remove_index (hold->held, i);
          return 1;
        }
    }
  return 0;
}

int64_t
gw_hold_arrival (struct gw *gw)
{
  return gw->hold != NULL && gw->hold->arrived > 0 ? gw->hold->arrived
                                                   : gw_now (gw);
}

static void
on_tick (void *ctx, int64_t now)
{
  struct gw *gw = ctx;
  struct gw_hold *hold = gw->hold;
  int is_loaded = hold->is_loaded (gw);
  guint n = hold->held->len;

  if (!is_loaded && now < hold->until)
    return;
  tmr_cancel (gw->tmr, hold->timer);
  hold->timer = 0;
  if (n > 0)
    event_log_write (
        "held", NULL, "\"count\":%u,\"loaded\":%d,\"ms\":%" G_GINT64_FORMAT, n,
        is_loaded,
        (now - g_array_index (hold->held, struct held, 0).arrived) / 1000);
  while (hold->held->len > 0)
    {
      struct held held = g_array_index (hold->held, struct held, 0);
      g_array_remove_index (hold->held, 0);
      hold->arrived = held.arrived;
      gw_call_ops.request (held.listener, held.conn, held.head, held.body,
                           held.size);
    }
  hold->arrived = 0;
}

void
gw_hold_new (struct gw *gw, int64_t for_us,
             int (*is_loaded) (const struct gw *gw))
{
  struct gw_hold *hold = g_new0 (struct gw_hold, 1);

  hold->held = g_array_new (FALSE, FALSE, sizeof (struct held));
  hold->until = gw_now (gw) + for_us;
  hold->is_loaded = is_loaded;
  gw->hold = hold;
  hold->timer = tmr_add (gw->tmr, gw_ms_to_us (TICK_MS), gw_ms_to_us (TICK_MS),
                         on_tick, gw);
}
