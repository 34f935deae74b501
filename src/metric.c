#include "goldcresthatch/metric.h"

#include <urcu/uatomic.h>

enum kind
{
  KIND_COUNTER,
  KIND_GAUGE
};

static const struct
{
  const char *name;
  const char *help;
  enum kind kind;
} info[METRIC_MAX] = {
  [METRIC_REQUESTS] = { "requests_total", "Requests received.", KIND_COUNTER },
  [METRIC_ANSWERED]
  = { "answered_total", "Requests answered whole.", KIND_COUNTER },
  [METRIC_NOT_RUN]
  = { "not_run_total", "Requests refused as not run.", KIND_COUNTER },
  [METRIC_UNKNOWN]
  = { "unknown_total", "Requests whose outcome is unknown.", KIND_COUNTER },
  [METRIC_INVALID]
  = { "invalid_total", "Requests refused as invalid.", KIND_COUNTER },
  [METRIC_MEMORY_REFUSED]
  = { "memory_refused_total", "Requests refused for lack of memory.",
      KIND_COUNTER },
  [METRIC_RETRIES]
  = { "retries_total", "Attempts after the first.", KIND_COUNTER },
  [METRIC_RESUMES]
  = { "resumes_total", "Streams resumed on another runner.", KIND_COUNTER },
  [METRIC_ACTIVE_CALLS]
  = { "active_calls", "Requests in progress.", KIND_GAUGE },
  [METRIC_MESSAGES_IN]
  = { "messages_in_total", "Messages received.", KIND_COUNTER },
  [METRIC_MESSAGES_OUT]
  = { "messages_out_total", "Messages sent.", KIND_COUNTER },
  [METRIC_MESSAGE_BYTES_IN]
  = { "message_bytes_in_total", "Bytes of messages received.", KIND_COUNTER },
  [METRIC_MESSAGE_BYTES_OUT]
  = { "message_bytes_out_total", "Bytes of messages sent.", KIND_COUNTER },
  [METRIC_MESSAGES_MALFORMED]
  = { "messages_malformed_total", "Malformed messages dropped.",
      KIND_COUNTER },
  [METRIC_MESSAGES_UNSENT]
  = { "messages_unsent_total", "Messages that could not be sent.",
      KIND_COUNTER },
  [METRIC_STALE_CALLS_REFUSED]
  = { "stale_calls_refused_total",
      "Calls for another incarnation, window or a barred attempt.",
      KIND_COUNTER },
  [METRIC_KV_READS]
  = { "kv_reads_total", "Reads of the key-value service.", KIND_COUNTER },
  [METRIC_KV_WRITES]
  = { "kv_writes_total", "Writes to the key-value service.", KIND_COUNTER },
  [METRIC_KV_ERRORS]
  = { "kv_errors_total", "Failed calls of the key-value service.",
      KIND_COUNTER },
  [METRIC_CLAIMS]
  = { "claims_total", "Claims of non-idempotent calls made.", KIND_COUNTER },
  [METRIC_ORDERS_ACCEPTED]
  = { "orders_accepted_total", "Engine orders accepted.", KIND_COUNTER },
  [METRIC_ORDERS_REFUSED]
  = { "orders_refused_total", "Engine orders refused.", KIND_COUNTER },
  [METRIC_ROLE_CHANGES]
  = { "role_changes_total", "Engine role changes.", KIND_COUNTER },
  [METRIC_CFG_GENERATION]
  = { "config_generation", "Generation of the configuration in force.",
      KIND_GAUGE },
  [METRIC_PEERS_REFUSED]
  = { "peers_refused_total",
      "Connections refused because their key is not allowed.", KIND_COUNTER },
  [METRIC_SUSPECTS_STOPPED]
  = { "suspects_stopped_total", "Requests found to crash endpoints.",
      KIND_COUNTER },
  [METRIC_ENDPOINT_CRASHES]
  = { "endpoint_crashes_total", "Endpoint crashes seen.", KIND_COUNTER },
};

static unsigned long values[METRIC_MAX];

void
metric_add (enum metric_id id, int64_t n)
{
  uatomic_add (&values[id], (unsigned long)n);
}

void
metric_set (enum metric_id id, int64_t value)
{
  uatomic_set (&values[id], (unsigned long)value);
}

int64_t
metric_get (enum metric_id id)
{
  return (int64_t)uatomic_read (&values[id]);
}

void
metric_render (GString *out)
{
  static const char *const kinds[] = { "counter", "gauge" };
  int i;

  for (i = 0; i < METRIC_MAX; i++)
    g_string_append_printf (out,
                            "# HELP goldcresthatch_%s %s\n"
                            "# TYPE goldcresthatch_%s %s\n"
                            "goldcresthatch_%s %" G_GINT64_FORMAT "\n",
                            info[i].name, info[i].help, info[i].name,
                            kinds[info[i].kind], info[i].name,
                            (gint64)metric_get ((enum metric_id)i));
}
