#ifndef STOR_H
#define STOR_H
/*
 * NAME
 *   stor - the platform's key-value service, as calls that don't block
 *
 * DESCRIPTION
 *   Each call ends with one call of DONE, also when no answer comes in time.
 *   The adapter of a platform fills in the table of operations.
 */
#include <stddef.h>
#include <stdint.h>

enum stor_rc
{
  STOR_OK,
  STOR_ABSENT,    /* no such key or lease */
  STOR_CONFLICT,  /* the condition doesn't hold; nothing was done */
  STOR_COMPACTED, /* the history asked for is gone */
  STOR_REFUSED,   /* nothing was done */
  STOR_UNKNOWN    /* no answer: it may have been done, or may still be */
};

struct stor_item
{
  const char *key;
  const char *value; /* SIZE bytes, and a null byte */
  size_t size;
  uint64_t revision; /* of the last change */
  uint64_t created;  /* revision of the creation */
  int deleted;
};

struct stor_reply
{
  enum stor_rc rc;
  const struct stor_item *items;
  size_t n_items;
  int more;          /* the listing goes on after the last key */
  uint64_t revision; /* of the service as a whole, or of a write */
  uint64_t lease;
};

typedef void stor_done (void *ctx, const struct stor_reply *reply);

struct stor_ops
{
  void (*get) (void *stor, const char *key, stor_done *done, void *ctx);
  /* Lists the keys after AFTER, which may be null.  With STALE the answer may
     be seconds old, and costs less.  */
  void (*list) (void *stor, const char *prefix, const char *after, int stale,
                stor_done *done, void *ctx);
  /* Waits up to WAIT_MS for changes after REVISION.  */
  void (*watch) (void *stor, const char *prefix, uint64_t revision,
                 int wait_ms, stor_done *done, void *ctx);
  /* Writes KEY where its revision is EXPECTED, 0 meaning absent.  */
  void (*put) (void *stor, const char *key, uint64_t expected,
               const char *value, size_t size, uint64_t lease, stor_done *done,
               void *ctx);
  /* Writes KEY whatever it holds.  */
  void (*set) (void *stor, const char *key, const char *value, size_t size,
               uint64_t lease, stor_done *done, void *ctx);
  void (*grant) (void *stor, int64_t ttl_ms, stor_done *done, void *ctx);
  void (*renew) (void *stor, uint64_t lease, stor_done *done, void *ctx);
  /* Ends the lease and removes its keys.  */
  void (*end) (void *stor, uint64_t lease, stor_done *done, void *ctx);
};
#endif
