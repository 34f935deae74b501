#ifndef ORIGIN_H
#define ORIGIN_H
/*
 * NAME
 *   origin - which software version of a service began a stream
 *
 * DESCRIPTION
 *   What two versions write doesn't fit together, so a stream may go on only
 * at the version that began it, its origin.  It is known from a record of the
 *   stream, or because one version alone has served for longer than a stream
 *   lasts.
 *
 *   Records are kept for ORIGIN_LIFE_US, and so are the versions after they
 *   were seen last.  At most ORIGIN_STREAMS_MAX records are kept; the oldest
 *   yield.  No input or output; times are in microseconds.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* Several times the longest time of a route.  */
#define ORIGIN_LIFE_US INT64_C (60000000)

enum
{
  ORIGIN_STREAMS_MAX = 100000 /* about 10 MB */
};

struct origin;

struct origin *origin_new (void);
void origin_free (struct origin *origin);

/* Notes that BUILD serves SERVICE.  IS_SEEN: runners of it are registered;
   otherwise another process has said so.  */
void origin_note_build (struct origin *origin, const char *service,
                        const char *build, int is_seen, int64_t now);
/* Returns the number of versions that serve SERVICE or have.  */
size_t origin_builds (const struct origin *origin, const char *service);
/* Returns the only one, or null.  */
const char *origin_only_build (const struct origin *origin,
                               const char *service);
/* Returns the number of versions of all services that were seen.  */
size_t origin_seen (const struct origin *origin);
/* Calls FN for each of them.  */
void origin_each_seen (const struct origin *origin,
                       void (*fn) (void *ctx, const char *service,
                                   const char *build),
                       void *ctx);

/* Notes that BUILD began the stream of the request ID.  */
void origin_note_stream (struct origin *origin, const char *id,
                         const char *build, int64_t now);
/* Returns the version that began the stream of the request ID, or null.  */
const char *origin_find (const struct origin *origin, const char *id);

/* Returns the number that stands for the request ID in records.  */
uint64_t origin_number (const char *id);
/* The same as origin_note_stream and origin_find, by NUMBER.  */
void origin_note_number (struct origin *origin, uint64_t number,
                         const char *build, int64_t now);
const char *origin_find_number (const struct origin *origin, uint64_t number);

/* Forgets what is out of date; to be called periodically.  */
void origin_expire (struct origin *origin, int64_t now);

/* Appends a record of the stream of the request ID to TEXT.  */
void origin_write_stream (GString *text, const char *id, const char *build);
/* Notes the streams recorded in the SIZE bytes of TEXT.  Returns the number of
   lines that are malformed, which are left out.  */
size_t origin_read_streams (struct origin *origin, const char *text,
                            size_t size, int64_t now);
/* Appends a record of the version BUILD to TEXT.  */
void origin_write_build (GString *text, const char *service,
                         const char *build);
/* Notes the version recorded in TEXT.  Returns 0, or -1 when it is malformed.
 */
int origin_read_build (struct origin *origin, const char *text, size_t size,
                       int64_t now);
#endif
