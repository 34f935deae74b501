#ifndef GOLDCRESTHATCH_SPAN_H
#define GOLDCRESTHATCH_SPAN_H

/*
 * NAME
 *   span - trace context and spans in OTLP's JSON form
 *
 * DESCRIPTION
 *   Each hop of a request records a span in the trace of the caller's
 *   traceparent header.  Finished spans are kept in a ring buffer, where a new
 *   one replaces the oldest, and are exported by trace id.  Times are
 *   microseconds since the Unix epoch.  A ring is safe for use by many
 *   threads; a span belongs to one thread at a time.
 */

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"

enum
{
  SPAN_TRACE_ID_BYTES = 16,
  SPAN_ID_BYTES = 8,
  SPAN_TRACEPARENT_LEN = 55, /* characters, without the zero byte */
  SPAN_NAME_BYTES = 48,      /* with the zero byte, as the next two */
  SPAN_KEY_BYTES = 24,
  SPAN_VALUE_BYTES = 64,
  SPAN_ATTRS_MAX = 6 /* attributes of a span */
};

/* As in OTLP.  */
enum span_kind
{
  SPAN_INTERNAL = 1,
  SPAN_SERVER,
  SPAN_CLIENT
};

/* What a traceparent header carries.  */
struct span_ctx
{
  uint8_t trace[SPAN_TRACE_ID_BYTES];
  uint8_t id[SPAN_ID_BYTES];
  uint8_t flags;
};

struct span_attribute
{
  char key[SPAN_KEY_BYTES];
  char value[SPAN_VALUE_BYTES];
};

struct span
{
  struct span_ctx ctx;
  uint8_t parent[SPAN_ID_BYTES]; /* all zeros for a root span */
  enum span_kind kind;
  char name[SPAN_NAME_BYTES];
  int64_t start;
  int64_t end;
  unsigned attr_count;
  struct span_attribute attrs[SPAN_ATTRS_MAX];
  struct err err; /* ERR_NONE when the hop succeeded */
};

struct span_ring;

/* Parses the SIZE bytes of a traceparent.  Returns 0, or -1 with ERR_INVALID;
   a caller then starts a new trace, as the W3C recommendation asks.  */
int span_parse_traceparent (const char *text, size_t size,
                            struct span_ctx *ctx, struct err *err);

/* Writes CTX as a traceparent of version 00.  */
void span_format_traceparent (const struct span_ctx *ctx,
                              char out[SPAN_TRACEPARENT_LEN + 1]);

/* Starts SPAN at START under PARENT, or in a new sampled trace when PARENT is
   null.  */
void span_start (struct span *span, const struct span_ctx *parent,
                 enum span_kind kind, const char *name, int64_t start);

/* Adds an attribute, truncated to fit; those beyond SPAN_ATTRS_MAX are
   dropped.  */
void span_add_attribute (struct span *span, const char *key,
                         const char *value);

/* Ends SPAN at END, with ERR unless that is null, and records it.  A trace
   that isn't sampled isn't recorded.  */
void span_finish (struct span_ring *ring, struct span *span, int64_t end,
                  const struct err *err);

/* Returns a ring of CAPACITY spans for the process INSTANCE of SERVICE.  */
struct span_ring *span_ring_new (size_t capacity, const char *service,
                                 const char *instance);
void span_ring_free (struct span_ring *ring);

/* Appends the spans of TRACE to OUT as an OTLP/JSON document, the oldest
   first.  Returns their number.  */
size_t span_export_trace (struct span_ring *ring,
                          const uint8_t trace[SPAN_TRACE_ID_BYTES],
                          GString *out);

/* Parses a trace id of 32 hexadecimal digits.  Returns 0 or -1.  */
int span_parse_trace_id (const char *text, uint8_t trace[SPAN_TRACE_ID_BYTES]);

#endif
