#include "http_head.h"

#include <limits.h>
#include <string.h>
#include <strings.h>

#include "num.h"

static int
is_token (unsigned char c)
{
  return g_ascii_isalnum (c) || (c != 0 && strchr ("!#$%&'*+-.^_`|~", c));
}

/* Checks a field line of N bytes, without its line end, and counts Host fields
   in HOSTS.  */
static int
is_field_line (const char *line, size_t n, int *hosts)
{
  size_t i = 0;

  while (i < n && is_token ((unsigned char)line[i]))
    i++;
  if (i == 0 || i == n || line[i] != ':')
    return 0;
  if (i == 4 && strncasecmp (line, "host", 4) == 0)
    ++*hosts;
  for (; i < n; i++)
    if (((unsigned char)line[i] < 0x20 && line[i] != '\t') || line[i] == 0x7f)
      return 0;
  return 1;
}

/* Checks "HTTP/1.1 200" and what follows: a status has three digits, of which
   the first names one of five classes.  */
static int
is_status_line (const char *line, size_t n)
{
  static const char version[] = "HTTP/1.";
  const char *at = line + strlen (version);

  return n >= strlen ("HTTP/1.1 200")
         && memcmp (line, version, strlen (version)) == 0
         && g_ascii_isdigit (at[0]) && at[1] == ' ' && at[2] >= '1'
         && at[2] <= '5' && g_ascii_isdigit (at[3]) && g_ascii_isdigit (at[4])
         && (n == strlen ("HTTP/1.1 200") || at[5] == ' ');
}

static int
is_first_line (const char *line, size_t n, int is_request)
{
  size_t i;
  int spaces = 0;

  for (i = 0; i < n; i++)
    {
      if ((unsigned char)line[i] < 0x20 || line[i] == 0x7f)
        return 0;
      spaces += line[i] == ' ';
    }
  if (!is_request)
    return is_status_line (line, n);
  return spaces == 2 && n > 9
         && (memcmp (line + n - 9, " HTTP/1.1", 9) == 0
             || memcmp (line + n - 9, " HTTP/1.0", 9) == 0);
}

enum http_head_result
http_head_scan (struct http_head_progress *progress, const char *data,
                size_t size, size_t max, int is_request, size_t *length)
{
  for (;;)
    {
      size_t start = progress->line;
      const char *lf = memchr (data + progress->searched, '\n',
                               size - progress->searched);
      size_t end;
      if (lf == NULL)
        {
          progress->searched = size;
          return size > max ? HTTP_HEAD_TOO_LARGE : HTTP_HEAD_PARTIAL;
        }
      end = (size_t)(lf - data);
      if (end + 1 > max)
        return HTTP_HEAD_TOO_LARGE;
      if (end == start || data[end - 1] != '\r')
        return HTTP_HEAD_MALFORMED;
      if (end - 1 == start)
        {
          *length = end + 1;
          return start == 0 || (is_request && progress->hosts != 1)
                     ? HTTP_HEAD_MALFORMED
                     : HTTP_HEAD_OK;
        }
      if (start == 0 ? !is_first_line (data, end - 1, is_request)
                     : !is_field_line (data + start, end - 1 - start,
                                       &progress->hosts))
        return HTTP_HEAD_MALFORMED;
      progress->line = progress->searched = end + 1;
    }
}

static int
on_url (http_parser *parser, const char *at, size_t n)
{
  struct http_head *head = parser->data;

  head->target.p = at;
  head->target.n = n;
  return 0;
}

static int
on_field (http_parser *parser, const char *at, size_t n)
{
  struct http_head *head = parser->data;

  if (head->n_fields == HTTP_HEAD_FIELDS_MAX)
    return -1;
  head->fields[head->n_fields].name.p = at;
  head->fields[head->n_fields].name.n = n;
  head->fields[head->n_fields].value.p = "";
  head->fields[head->n_fields].value.n = 0;
  head->n_fields++;
  return 0;
}

static int
on_value (http_parser *parser, const char *at, size_t n)
{
  struct http_head *head = parser->data;
  struct http_str *value = &head->fields[head->n_fields - 1].value;

  while (n > 0 && (at[n - 1] == ' ' || at[n - 1] == '\t'))
    n--;
  value->p = at;
  value->n = n;
  return 0;
}

static int
on_complete (http_parser *parser)
{
  ((struct http_head *)parser->data)->complete = 1;
  return 0;
}

/* Returns 1 to have the message end with its head, whatever a length says.  */
static int
on_headers (http_parser *parser)
{
  return parser->type == HTTP_RESPONSE
         && (parser->status_code == 204 || parser->status_code == 304);
}

static int
on_headers_to_head (http_parser *parser)
{
  (void)parser;
  return 1;
}

static int
parse (http_parser *parser, const char *data, size_t length,
       http_cb headers_complete, struct http_head *head)
{
  const http_parser_settings settings
      = { .on_url = on_url,
          .on_header_field = on_field,
          .on_header_value = on_value,
          .on_headers_complete = headers_complete,
          .on_message_complete = on_complete };
  void *owner = parser->data;
  size_t n;

  memset (head, 0, offsetof (struct http_head, fields));
  parser->data = head;
  n = http_parser_execute (parser, &settings, data, length);
  parser->data = owner;
  if (n != length || HTTP_PARSER_ERRNO (parser) != HPE_OK || parser->upgrade)
    return -1;
  if (parser->type == HTTP_REQUEST)
    {
      head->method.p = data;
      head->method.n = strcspn (data, " ");
    }
  else
    head->status = parser->status_code;
  if (parser->flags & F_CHUNKED)
    head->framing = HTTP_FRAMING_CHUNKS;
  else if (!head->complete && parser->content_length == ULLONG_MAX)
    head->framing = HTTP_FRAMING_CONNECTION;
  return 0;
}

int
http_head_parse (http_parser *parser, const char *data, size_t length,
                 struct http_head *head)
{
  return parse (parser, data, length, on_headers, head);
}

int
http_head_parse_to_head (http_parser *parser, const char *data, size_t length,
                         struct http_head *head)
{
  return parse (parser, data, length, on_headers_to_head, head);
}

const char *
http_framing_name (enum http_framing framing)
{
  static const char *const names[]
      = { [HTTP_FRAMING_LENGTH] = "length",
          [HTTP_FRAMING_CHUNKS] = "chunks",
          [HTTP_FRAMING_CONNECTION] = "connection" };

  return names[framing];
}

int
http_str_equal_nocase (struct http_str span, const char *text)
{
  return span.p != NULL && strlen (text) == span.n
         && strncasecmp (span.p, text, span.n) == 0;
}

int
http_str_equal (struct http_str span, const char *text)
{
  return span.p != NULL && strlen (text) == span.n
         && memcmp (span.p, text, span.n) == 0;
}

struct http_str
http_head_get (const struct http_head *head, const char *name)
{
  struct http_str none = { NULL, 0 };
  size_t i;

  for (i = 0; i < head->n_fields; i++)
    if (http_str_equal_nocase (head->fields[i].name, name))
      return head->fields[i].value;
  return none;
}

int
http_str_number (struct http_str span, long long *value)
{
  enum
  {
    DIGITS_MAX = 15
  };
  uint64_t number;

  if (span.p == NULL || span.n > DIGITS_MAX
      || num_parse_n (span.p, span.n, 10, 0, UINT64_MAX, &number) != 0)
    return -1;
  *value = (long long)number;
  return 0;
}

int64_t
http_head_length (const struct http_head *head)
{
  long long length;

  return http_str_number (http_head_get (head, "content-length"), &length) == 0
             ? length
             : -1;
}

int
http_head_is_hop_by_hop (struct http_str name)
{
  static const char *const hop[] = { "connection",
                                     "keep-alive",
                                     "proxy-connection",
                                     "te",
                                     "trailer",
                                     "transfer-encoding",
                                     "upgrade",
                                     "expect",
                                     "proxy-authenticate",
                                     "proxy-authorization" };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (hop); i++)
    if (http_str_equal_nocase (name, hop[i]))
      return 1;
  return 0;
}

static int
pause_at_end (http_parser *parser)
{
  http_parser_pause (parser, 1);
  return 0;
}

size_t
http_head_parse_body (http_parser *parser, const char *data, size_t size,
                      http_data_cb on_body, int *body_complete)
{
  const http_parser_settings settings
      = { .on_body = on_body, .on_message_complete = pause_at_end };
  size_t n = http_parser_execute (parser, &settings, data, size);

  if (HTTP_PARSER_ERRNO (parser) == HPE_PAUSED)
    *body_complete = 1;
  return n;
}
