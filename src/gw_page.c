/* HTTP pages with readiness and metrics.  */
#include "gw.h"
#include "quarantine.h"

static void
on_ready (void *ctx, uint64_t conn, const struct http_head *head,
          const char *body, size_t size)
{
  struct gw *gw = ctx;
  int status = 404;

  (void)body;
  (void)size;
  if (gw->adapter->is_ready_path (head->target))
    status = gw_is_ready (gw) ? 200 : 503;
  http_server_respond (gw->ready, conn, status, NULL, "", 0);
}

static int
is_limited (const struct pool_runner *runner, int64_t now)
{
  return limit_in_force (&runner->limit, now);
}

static int
has_announced (const struct pool_runner *runner, int64_t now)
{
  (void)now;
  return runner->announced;
}

static uint64_t
count_runners (const struct gw *gw,
               int (*is_counted) (const struct pool_runner *runner,
                                  int64_t now))
{
  uint64_t n = 0;
  size_t i;

  for (i = 0; i < pool_count (gw->runner_pool); i++)
    n += is_counted (pool_at (gw->runner_pool, i), tmr_now (gw->tmr)) != 0;
  return n;
}

struct row
{
  const char *name;
  uint64_t value;
};

static void
rows_write (const struct row *rows, size_t n, GString *out)
{
  size_t i;

  for (i = 0; i < n; i++)
    g_string_append_printf (out, "goldcresthatch_%s %" G_GUINT64_FORMAT "\n",
                            rows[i].name, rows[i].value);
}

static void
requests_write (const struct gw *gw, GString *out)
{
  const struct row rows[] = {
    { "requests_total", gw->counts.requests },
    { "answered_total", gw->counts.answered },
    { "answers_until_close_total", gw->counts.until_close },
    { "refused_total", gw->counts.refused },
    { "failed_total", gw->counts.failed },
    { "left_total", gw->counts.disconnected },
    { "repeats_total", gw->counts.retries },
    { "prompts_read_apart_total", gw->counts.prefills },
    { "relayed_total", gw->counts.relayed },
    { "quarantined_total", gw->counts.quarantined },
    { "in_quarantine",
      quarantine_count (gw_quarantine_table (gw), tmr_now (gw->tmr)) },
    { "answer_bytes_total", gw->counts.answer_bytes },
    { "answer_pieces_total", gw->counts.answer_pieces },
    { "answer_bytes_searched_total", gw->counts.searched_bytes },
    { "streams_total", gw->counts.streams },
    { "streams_paused_total", gw->counts.streams_paused },
    { "leaving_told_total", gw->counts.leaving_told },
    { "rest_asked_total", gw->counts.rest_asked },
    { "fields_invalid_total", gw->counts.fields_invalid },
  };

  rows_write (rows, G_N_ELEMENTS (rows), out);
}

static void
fleet_write (const struct gw *gw, GString *out)
{
  const struct row rows[] = {
    { "store_calls_total", gw->counts.store_calls },
    { "store_era", gw->store_era },
    { "store_notices_total", gw->counts.store_notices },
    { "store_source", (uint64_t)gw_peers_is_source (gw) },
    { "load_queries_total", gw->counts.load_queries },
    { "load_queries_incomplete_total", gw->counts.load_queries_incomplete },
    { "load_homes_silent", gw_peers_silent (gw) },
    { "datagrams_sent_total", gw->counts.datagrams_sent },
    { "datagrams_received_total", gw->counts.datagrams_received },
    { "datagrams_malformed_total", gw->counts.datagrams_malformed },
    { "runners", pool_count (gw->runner_pool) },
    { "runners_limited", count_runners (gw, is_limited) },
    { "runners_leaving", count_runners (gw, has_announced) },
    { "runners_at_rest", count_runners (gw, pool_is_resting) },
    { "gateways", gw->processes },
    { "config_version", gw->table != NULL ? gw->table->version : 0 },
  };

  rows_write (rows, G_N_ELEMENTS (rows), out);
}

static void
clients_write (const struct gw *gw, GString *out)
{
  const struct row rows[] = {
    { "keys_refused_total", gw->counts.keys_refused },
    { "shares_held_total", gw->counts.shares_held },
    { "tenants", gw->table != NULL && gw->table->tenants != NULL
                     ? gw->table->tenants->len
                     : 0 },
    { "active_requests", gw->active },
    { "client_connections",
      http_server_connections (
          gw->request_listeners[GW_LISTENER_CLIENTS].srv) },
  };

  rows_write (rows, G_N_ELEMENTS (rows), out);
}

static void
memory_write (const struct gw *gw, GString *out)
{
  const struct row rows[] = {
    { "memory_limit_bytes", gw->budget.limit },
    { "memory_held_bytes", gw->budget.total },
    { "memory_held_peak_bytes", gw->budget.peak },
    { "memory_refused_total", gw->budget.refused },
    { "memory_evicted_total", gw->budget.evicted },
    { "bodies_slow_total", gw->budget.slow },
    { "connections_limit", gw->budget.clients_max },
    { "connections_turned_away_total", gw->budget.turned_away },
  };
  size_t i;

  rows_write (rows, G_N_ELEMENTS (rows), out);
  for (i = 0; i < MEMBUDGET_MAX; i++)
    g_string_append_printf (
        out, "goldcresthatch_memory_bytes{of=\"%s\"} %zu\n",
        membudget_class_name ((enum membudget_class)i), gw->budget.held[i]);
}

static void
latency_write (const struct gw *gw, GString *out)
{
  uint64_t sum = 0;
  size_t i;

  for (i = 0; i < GW_LATENCY_BUCKETS; i++)
    {
      sum += gw->latency[i];
      if (i + 1 < GW_LATENCY_BUCKETS)
        g_string_append_printf (out,
                                "goldcresthatch_answer_seconds_bucket{le=\"%"
                                "g\"} %" G_GUINT64_FORMAT "\n",
                                (double)(UINT64_C (1) << i) / 1000, sum);
    }
  g_string_append_printf (
      out,
      "goldcresthatch_answer_seconds_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
      "\ngoldcresthatch_answer_seconds_count %" G_GUINT64_FORMAT "\n",
      sum, sum);
}

static void
metrics_text (const struct gw *gw, GString *out)
{
  requests_write (gw, out);
  clients_write (gw, out);
  memory_write (gw, out);
  fleet_write (gw, out);
  latency_write (gw, out);
  gw_pace_metrics (gw, out);
}

static void
on_metrics (void *ctx, uint64_t conn, const struct http_head *head,
            const char *body, size_t size)
{
  struct gw *gw = ctx;
  GString *out = g_string_new (NULL);

  (void)body;
  (void)size;
  if (http_str_equal (head->target, "/metrics"))
    {
      metrics_text (gw, out);
      gw_usage_metrics_write (gw, out);
      http_server_respond (gw->metrics, conn, 200,
                           "Content-Type: text/plain; version=0.0.4\r\n",
                           out->str, out->len);
    }
  else
    http_server_respond (gw->metrics, conn, 404, NULL, "", 0);
  g_string_free (out, TRUE);
}

int
gw_pages_open (struct gw *gw, struct err *err)
{
  static const struct http_server_ops ready = { on_ready, NULL, NULL };
  static const struct http_server_ops metrics = { on_metrics, NULL, NULL };

  gw->ready
      = http_server_new (&gw->loop, gw->set.listen_ready, &ready, gw, err);
  if (gw->ready == NULL)
    return -1;
  if (gw->set.listen_metrics[0] == '\0')
    return 0;
  gw->metrics
      = http_server_new (&gw->loop, gw->set.listen_metrics, &metrics, gw, err);
  return gw->metrics != NULL ? 0 : -1;
}
