#ifndef STORE_H
#define STORE_H
/*
 * NAME
 *   store - the platform's key-value service, as calls that don't block
 *
 * DESCRIPTION
 *   Each call ends with one call of DONE, also when no answer comes in time.
 *   The adapter of a platform fills in the table of operations.
 */
#include <stddef.h>
#include <stdint.h>

enum store_rc
{
  STORE_OK,
  STORE_ABSENT,    /* no such key or lease */
  STORE_CONFLICT,  /* the condition doesn't hold; nothing was done */
  STORE_COMPACTED, /* the history asked for is gone */
  STORE_REFUSED,   /* nothing was done */
  STORE_UNKNOWN    /* no answer: it may have been done, or may still be */
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
  int more;          /* the listing goes on after the last key */
  uint64_t revision; /* of the service as a whole, or of a write */
  uint64_t lease;
};

typedef void store_done (void *ctx, const struct store_reply *reply);

struct store_functions
{
  void (*get) (void *store_api, const char *key, store_done *done, void *ctx);
  /* Lists the keys after AFTER, which may be null.  With STALE the answer may
     be seconds old, and costs less.  */
  void (*list) (void *store_api, const char *prefix, const char *after,
                int stale, store_done *done, void *ctx);
  /* Waits up to WAIT_MS for changes after REVISION.  */
  void (*watch) (void *store_api, const char *prefix, uint64_t revision,
                 int wait_ms, store_done *done, void *ctx);
  /* Writes KEY where its revision is EXPECTED, 0 meaning absent.  */
  void (*put) (void *store_api, const char *key, uint64_t expected,
               const char *value, size_t size, uint64_t lease,
               store_done *done, void *ctx);
  /* Writes KEY whatever it holds.  */
  void (*set) (void *store_api, const char *key, const char *value,
               size_t size, uint64_t lease, store_done *done, void *ctx);
  void (*grant) (void *store_api, int64_t ttl_ms, store_done *done, void *ctx);
  void (*renew) (void *store_api, uint64_t lease, store_done *done, void *ctx);
  /* Ends the lease and removes its keys.  */
  void (*end) (void *store_api, uint64_t lease, store_done *done, void *ctx);
};
#endif
