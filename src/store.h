#ifndef STORE_H
#define STORE_H
/*
 * NAME
 *   store - asynchronous interface to the platform's key-value store
 *
 * DESCRIPTION
 *   Each operation ends with exactly one call of DONE, also when it times out.
 *   The adapter of a platform fills in the table of operations.
 *
 *   A store that has been restored from an older copy is in a later era.
 *   Revisions and leases are those of an era: they are given out again in the
 *   next one.
 */
#include <stddef.h>
#include <stdint.h>

enum store_rc
{
  STORE_OK,
  STORE_ABSENT,    /* no such key or lease */
  STORE_CONFLICT,  /* the condition is false; nothing was done */
  STORE_COMPACTED, /* the requested history has been compacted */
  STORE_TOO_LONG,  /* the requested history is longer than it may be */
  STORE_REFUSED,   /* the store refused or was unreachable; nothing was done */
  STORE_UNKNOWN    /* no answer: it may have been done, or may be done later */
};

struct store_item
{
  const char *key;
  const char *value; /* SIZE bytes, and a null byte */
  size_t size;
  uint64_t revision; /* of the last change */
  uint64_t created;  /* revision of the creation */
  int deleted;
};

struct store_reply
{
  enum store_rc rc;
  const struct store_item *items;
  size_t n_items;
  int more;          /* there are more keys after the last one */
  uint64_t era;      /* 0: unknown */
  uint64_t revision; /* of the whole store, or of a write */
  uint64_t lease;
  size_t bytes; /* of the answer on the wire */
};

typedef void store_done (void *ctx, const struct store_reply *reply);

struct store_functions
{
  void (*get) (void *store_api, const char *key, store_done *done, void *ctx);
  /* Lists the keys after AFTER, which may be null.  With STALE the answer may
     be seconds old, which costs the store less.  */
  void (*list) (void *store_api, const char *prefix, const char *after,
                int stale, store_done *done, void *ctx);
  /* Waits up to WAIT_MS for changes after REVISION.  Ends with STORE_TOO_LONG
     when the answer has more than BYTES_MAX; 0: as many as it can take.  */
  void (*watch) (void *store_api, const char *prefix, uint64_t revision,
                 int wait_ms, size_t bytes_max, store_done *done, void *ctx);
  /* Writes KEY if its revision is EXPECTED; 0 means that it is absent.  */
  void (*put) (void *store_api, const char *key, uint64_t expected,
               const char *value, size_t size, uint64_t lease,
               store_done *done, void *ctx);
  /* Writes KEY unconditionally.  */
  void (*set) (void *store_api, const char *key, const char *value,
               size_t size, uint64_t lease, store_done *done, void *ctx);
  void (*grant) (void *store_api, int64_t ttl_ms, store_done *done, void *ctx);
  void (*renew) (void *store_api, uint64_t lease, store_done *done, void *ctx);
  /* Revokes the lease, which removes its keys.  */
  void (*end) (void *store_api, uint64_t lease, store_done *done, void *ctx);
};
#endif
