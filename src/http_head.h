#ifndef HTTP_HEAD_H
#define HTTP_HEAD_H
/*
 * NAME
 *   http_head - heads of HTTP/1.1 messages, as strings within the bytes
 *   received
 *
 * DESCRIPTION
 *   A head is checked byte by byte before it is parsed, so that a request that
 *   two HTTP implementations could delimit differently (request smuggling) is
 *   refused and never forwarded.
 */
#include <glib.h>
#include <http_parser.h>
#include <stddef.h>

struct http_str
{
  const char *p;
  size_t n;
};

struct http_field
{
  struct http_str name;
  struct http_str value;
};

enum
{
  HTTP_HEAD_FIELDS_MAX = 96 /* fields of one head; a few dozen are usual */
};

/* What tells the end of a body.  */
enum http_framing
{
  HTTP_FRAMING_LENGTH, /* its length, or the message has none */
  HTTP_FRAMING_CHUNKS,
  HTTP_FRAMING_CONNECTION /* only the end of the connection */
};

struct http_head
{
  struct http_str method; /* of a request */
  struct http_str target; /* of a request: path and query as received */
  int status;             /* of an answer */
  int complete;           /* the message has no body */
  enum http_framing framing;
  size_t n_fields;
  struct http_field fields[HTTP_HEAD_FIELDS_MAX];
};

enum http_head_result
{
  HTTP_HEAD_OK,
  HTTP_HEAD_PARTIAL,   /* the end of the head has not been received */
  HTTP_HEAD_MALFORMED, /* 400 */
  HTTP_HEAD_TOO_LARGE  /* 431 */
};

/* How far a head has been scanned; zero at first.  */
struct http_head_progress
{
  size_t line;     /* start of the first line that isn't complete */
  size_t searched; /* bytes known to have no further line end */
  int hosts;       /* Host fields so far */
};

/* Looks for the end of a head in SIZE bytes of DATA and stores its length in
   LENGTH.  Refuses bare line feeds, folded lines, control characters, space
   before a colon and, for a request, anything but one Host field.  After
   HTTP_HEAD_PARTIAL it is called again with the same bytes and those that
   follow them; what PROGRESS covers is not looked at again.  */
enum http_head_result http_head_scan (struct http_head_progress *progress,
                                      const char *data, size_t size,
                                      size_t max, int is_request,
                                      size_t *length);

/* Parses the LENGTH bytes found by http_head_scan with PARSER, which then
   stands at the first byte of the body.  Returns 0, or -1 when it is
   malformed.  */
int http_head_parse (http_parser *parser, const char *data, size_t length,
                     struct http_head *head);

/* The same for the answer to a HEAD, which ends with its head, whatever a
   length says.  */
int http_head_parse_to_head (http_parser *parser, const char *data,
                             size_t length, struct http_head *head);

/* Returns the length that a head tells, or -1.  */
int64_t http_head_length (const struct http_head *head);

/* Returns the value of the field NAME, compared without case, or a string with
   a null pointer when there is none.  */
struct http_str http_head_get (const struct http_head *head, const char *name);

int http_str_equal_nocase (struct http_str span,
                           const char *text); /* without case */
int http_str_equal (struct http_str span, const char *text);

/* Returns a name for logs.  */
const char *http_framing_name (enum http_framing framing);

/* Parses a decimal number of at most 15 digits.  Returns 0 or -1.  */
int http_str_number (struct http_str span, long long *value);

/* Returns nonzero for a hop-by-hop field, which must not be forwarded.  */
int http_head_is_hop_by_hop (struct http_str name);

/* Parses the next SIZE bytes of a body and passes the content to ON_BODY; a
   SIZE of 0 tells PARSER that the connection has ended.  Stops after the last
   byte of the message and then sets WHOLE.  Returns the number of bytes
   consumed.  */
size_t http_head_parse_body (http_parser *parser, const char *data,
                             size_t size, http_data_cb on_body,
                             int *body_complete);
#endif
