#ifndef HHEAD_H
#define HHEAD_H
/*
 * NAME
 *   hhead - heads of HTTP/1.1 messages as spans of the bytes received
 *
 * DESCRIPTION
 *   A head is checked byte by byte before it is parsed, so that a request that
 *   two readers could split differently is refused and never passed on.
 */
#include <glib.h>
#include <http_parser.h>
#include <stddef.h>

struct hspan
{
  const char *p;
  size_t n;
};

struct hfield
{
  struct hspan name;
  struct hspan value;
};

enum
{
  HHEAD_FIELDS_MAX = 96 /* fields of one head; a few dozen are usual */
};

struct hhead
{
  struct hspan method; /* of a request */
  struct hspan target; /* of a request: path and query as received */
  int status;          /* of an answer */
  int complete;        /* the message has no body */
  size_t n_fields;
  struct hfield fields[HHEAD_FIELDS_MAX];
};

enum hhead_verdict
{
  HHEAD_OK,
  HHEAD_PARTIAL,   /* the end of the head has not been received */
  HHEAD_MALFORMED, /* 400 */
  HHEAD_TOO_LARGE  /* 431 */
};

/* Looks for the end of a head in SIZE bytes of DATA and stores its length in
   LENGTH.  Refuses bare line feeds, folded lines, control characters, space
   before a colon and, for a request, anything but one Host field.  */
enum hhead_verdict hhead_scan (const char *data, size_t size, size_t max,
                               int is_request, size_t *length);

/* Parses the LENGTH bytes found by hhead_scan with PARSER, which then stands
   at the first byte of the body.  Returns 0, or -1 when it is malformed.  */
int hhead_parse (http_parser *parser, const char *data, size_t length,
                 struct hhead *head);

/* Returns the value of the field NAME, compared without case, or a span with a
   null pointer.  */
struct hspan hhead_get (const struct hhead *head, const char *name);

int hspan_is (struct hspan span, const char *text); /* without case */
int hspan_same (struct hspan span, const char *text);

/* Parses a decimal number of at most 15 digits.  Returns 0 or -1.  */
int hspan_number (struct hspan span, long long *value);

/* Returns nonzero for a field that concerns one connection only.  */
int hhead_is_hop (struct hspan name);

/* Runs PARSER over the next SIZE bytes of a body, or with none over the end of
   the connection, and gives them to ON_BODY.  Stops after the message's last
   byte and then sets WHOLE.  Returns the number of bytes used.  */
size_t hhead_body (http_parser *parser, const char *data, size_t size,
                   http_data_cb on_body, int *whole);
#endif
