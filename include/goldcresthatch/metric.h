#ifndef GOLDCRESTHATCH_METRIC_H
#define GOLDCRESTHATCH_METRIC_H

/*
 * NAME
 *   metric - counters and gauges of a process, in the Prometheus text format
 *
 * DESCRIPTION
 *   Metrics are process-wide, indexed by an enum, and may be changed from any
 *   thread.
 */

#include <glib.h>
#include <stdint.h>

enum metric_id
{
  METRIC_REQUESTS,
  METRIC_ANSWERED,
  METRIC_NOT_RUN,
  METRIC_UNKNOWN,
  METRIC_INVALID,
  METRIC_MEMORY_REFUSED,
  METRIC_RETRIES,
  METRIC_RESUMES,
  METRIC_ACTIVE_CALLS,
  METRIC_MESSAGES_IN,
  METRIC_MESSAGES_OUT,
  METRIC_MESSAGE_BYTES_IN,
  METRIC_MESSAGE_BYTES_OUT,
  METRIC_MESSAGES_MALFORMED,
  METRIC_MESSAGES_UNSENT,
  METRIC_STALE_CALLS_REFUSED,
  METRIC_KV_READS,
  METRIC_KV_WRITES,
  METRIC_KV_ERRORS,
  METRIC_CLAIMS,
  METRIC_ORDERS_ACCEPTED,
  METRIC_ORDERS_REFUSED,
  METRIC_ROLE_CHANGES,
  METRIC_CFG_GENERATION,
  METRIC_ENDPOINT_CRASHES,
  METRIC_PEERS_REFUSED,
  METRIC_SUSPECTS_STOPPED,
  METRIC_MAX
};

void metric_add (enum metric_id id, int64_t n);
void metric_set (enum metric_id id, int64_t value);
int64_t metric_get (enum metric_id id);

/* Appends every metric to OUT in the Prometheus text format.  */
void metric_render (GString *out);

#endif
