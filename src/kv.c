#include "goldcresthatch/kv.h"

#include <stdlib.h>

#include "goldcresthatch/metric.h"

/* Counts a call, and an error when RC is negative.  Returns RC.  */
static int
count_call (enum metric_id id, int rc)
{
  metric_add (id, 1);
  if (rc < 0)
    metric_add (METRIC_KV_ERRORS, 1);
  return rc;
}

int
kv_get (struct kv *kv, const char *key, struct kv_value *out, struct err *err)
{
  return count_call (METRIC_KV_READS, kv->ops->get (kv->ctx, key, out, err));
}

int
kv_cas (struct kv *kv, const char *key, uint64_t prev, const void *data,
        size_t size, uint64_t lease, uint64_t *revision, struct err *err)
{
  if (size > KV_VALUE_MAX_BYTES)
    return err_set (err, ERR_LIMIT, "kv-cas", key,
                    "value of %zu bytes exceeds the limit of %d", size,
                    KV_VALUE_MAX_BYTES);
  return count_call (
      METRIC_KV_WRITES,
      kv->ops->cas (kv->ctx, key, prev, data, size, lease, revision, err));
}

int
kv_watch (struct kv *kv, const char *key, uint64_t after, unsigned wait_ms,
          struct kv_value *out, struct err *err)
{
  return count_call (METRIC_KV_READS,
                     kv->ops->watch (kv->ctx, key, after, wait_ms, out, err));
}

int
kv_lease_grant (struct kv *kv, unsigned ttl_ms, uint64_t *lease,
                struct err *err)
{
  return count_call (METRIC_KV_WRITES,
                     kv->ops->lease_grant (kv->ctx, ttl_ms, lease, err));
}

int
kv_lease_renew (struct kv *kv, uint64_t lease, struct err *err)
{
  return count_call (METRIC_KV_WRITES,
                     kv->ops->lease_renew (kv->ctx, lease, err));
}

int
kv_lease_revoke (struct kv *kv, uint64_t lease, struct err *err)
{
  return count_call (METRIC_KV_WRITES,
                     kv->ops->lease_revoke (kv->ctx, lease, err));
}

int
kv_list_vms (struct kv *kv, struct kv_value *out, struct err *err)
{
  return count_call (METRIC_KV_READS, kv->ops->vms (kv->ctx, out, err));
}

uint64_t
kv_era (const struct kv *kv)
{
  return kv->ops->era (kv->ctx);
}

void
kv_value_free (struct kv_value *value)
{
  free (value->data);
  value->data = NULL;
  value->size = 0;
}
