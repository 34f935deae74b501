#ifndef GOLDCRESTHATCH_CTR_H
#define GOLDCRESTHATCH_CTR_H

/*
 * NAME
 *   ctr - counters and gauges of a process, shown in the Prometheus text form
 *
 * DESCRIPTION
 *   Counters are process-wide, indexed by an enum, and safe to change from
 *   any thread.
 */

#include <glib.h>
#include <stdint.h>

enum ctr_id
{
  CTR_REQUESTS,
  CTR_ANSWERED,
  CTR_NOT_RUN,
  CTR_UNKNOWN,
  CTR_INVALID,
  CTR_RETRIES,
  CTR_RESUMES,
  CTR_ACTIVE_CALLS,
  CTR_MESSAGES_IN,
  CTR_MESSAGES_OUT,
  CTR_MESSAGE_BYTES_IN,
  CTR_MESSAGE_BYTES_OUT,
  CTR_MESSAGES_MALFORMED,
  CTR_MESSAGES_UNSENT,
  CTR_STALE_CALLS_REFUSED,
  CTR_KV_READS,
  CTR_KV_WRITES,
  CTR_KV_ERRORS,
  CTR_CLAIMS,
  CTR_ORDERS_ACCEPTED,
  CTR_ORDERS_REFUSED,
  CTR_ROLE_CHANGES,
  CTR_CFG_GENERATION,
  CTR_ENDPOINT_CRASHES,
  CTR_PEERS_REFUSED,
  CTR_SUSPECTS_STOPPED,
  CTR_MAX
};

void ctr_add (enum ctr_id id, int64_t n);
void ctr_set (enum ctr_id id, int64_t value);
int64_t ctr_get (enum ctr_id id);

/* Appends every counter to OUT in the Prometheus text form.  */
void ctr_render (GString *out);

#endif
