#ifndef GOLDCRESTHATCH_KV_H
#define GOLDCRESTHATCH_KV_H

/*
 * NAME
 *   kv - access to the platform's key-value service through callbacks
 *
 * DESCRIPTION
 *   An adapter fills in a struct kv_ops; kv_http.c has the one over HTTP.
 *   Every call blocks for at most the adapter's timeout.  A write that fails
 *   with ERR_TIMEOUT or ERR_IO may have taken effect; the writer finds out by
 *   reading the write identity that its value carries.  With ERR_REFUSED it
 *   had no effect.
 *
 *   A service that is restored from an older copy gives revisions and leases
 *   out again.  Here they are different ones, and revisions rise: the number
 * of the restoration, which the service names in each answer, leads them.
 */

#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"

enum
{
  KV_VALUE_MAX_BYTES = 1 << 20,
  KV_KEY_MAX_BYTES = 256
};

/* A value read; DATA is freed with free() and is terminated by a zero byte
   that SIZE does not count.  */
struct kv_value
{
  char *data;
  size_t size;
  uint64_t revision; /* 0 when the key is absent */
};

struct kv_ops
{
  /* Reads KEY.  Returns 1 when present, 0 when absent, -1 on failure.  */
  int (*get) (void *ctx, const char *key, struct kv_value *out,
              struct err *err);

  /* Writes KEY when its revision is PREV, 0 meaning absent; LEASE, unless 0,
     removes the key when that lease ends.  Returns 1 with the new revision, 0
     when the revision differs, -1 when the effect is unknown.  With
     ERR_NOT_FOUND, LEASE has ended and there was no effect.  */
  int (*cas) (void *ctx, const char *key, uint64_t prev, const void *data,
              size_t size, uint64_t lease, uint64_t *revision,
              struct err *err);

  /* Waits up to WAIT_MS for KEY to have a revision above AFTER, then reads it
     as get does.  */
  int (*watch) (void *ctx, const char *key, uint64_t after, unsigned wait_ms,
                struct kv_value *out, struct err *err);

  /* Grants a lease of TTL_MS.  Returns 0 or -1.  */
  int (*lease_grant) (void *ctx, unsigned ttl_ms, uint64_t *lease,
                      struct err *err);

  /* Renews LEASE.  Returns 1, 0 when it has ended, -1 on failure.  */
  int (*lease_renew) (void *ctx, uint64_t lease, struct err *err);

  /* Ends LEASE and removes its keys.  Returns 0 or -1.  */
  int (*lease_revoke) (void *ctx, uint64_t lease, struct err *err);

  /* Reads the platform's list of VMs as a JSON array into OUT.  */
  int (*vms) (void *ctx, struct kv_value *out, struct err *err);

  /* Returns the era of the service as of its last answer, or 0.  */
  uint64_t (*era) (void *ctx);
};

struct kv
{
  const struct kv_ops *ops;
  void *ctx;
};

/* Opens the HTTP adapter for the service at ADDRESS, "IP:PORT", whose calls
   take at most TIMEOUT_S seconds.  Safe for use by many threads.  Returns null
   on failure.  */
struct kv *kv_http_open (const char *address, unsigned timeout_s,
                         struct err *err);
void kv_http_close (struct kv *kv);

/* Calls of the adapter, counted in the process's metrics.  */
int kv_get (struct kv *kv, const char *key, struct kv_value *out,
            struct err *err);
int kv_cas (struct kv *kv, const char *key, uint64_t prev, const void *data,
            size_t size, uint64_t lease, uint64_t *revision, struct err *err);
int kv_watch (struct kv *kv, const char *key, uint64_t after, unsigned wait_ms,
              struct kv_value *out, struct err *err);
int kv_lease_grant (struct kv *kv, unsigned ttl_ms, uint64_t *lease,
                    struct err *err);
int kv_lease_renew (struct kv *kv, uint64_t lease, struct err *err);
int kv_lease_revoke (struct kv *kv, uint64_t lease, struct err *err);
int kv_list_vms (struct kv *kv, struct kv_value *out, struct err *err);

/* Returns a number that rises when the service is restored from an older copy,
   as of its last answer; 0: unknown.  */
uint64_t kv_era (const struct kv *kv);

void kv_value_free (struct kv_value *value);

#endif
