#include "http.h"

#include <neon/ne_session.h>
#include <neon/ne_socket.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "hop.h"

enum
{
  HOST_MAX = 64,
  IGNORED_BODY_MAX_BYTES = 64 * 1024,
  CONNECT_TIMEOUT_S = 2
};

struct exchange
{
  const struct http_call *call;
  int status;
  int invalid;
  size_t received; /* bytes of the body */
  int stopped;
};

int
http_init (void)
{
  return ne_sock_init ();
}

static int
accept_response (void *userdata, ne_request *req, const ne_status *st)
{
  struct exchange *exchange = userdata;

  /* The body is refused by read_body: one that neon discards may not end.  */
  exchange->invalid = !hop_is_final (st->code);
  if (exchange->invalid)
    return 1;
  exchange->status = st->code;
  if (exchange->call->on_head != NULL
      && exchange->call->on_head (exchange->call->ctx, st->code, req) != 0)
    exchange->stopped = 1;
  return 1;
}

static size_t
body_max (const struct http_call *call)
{
  if (call->body_max > 0)
    return call->body_max;
  return call->on_data == NULL ? IGNORED_BODY_MAX_BYTES : SIZE_MAX;
}

static int
read_body (void *userdata, const char *data, size_t size)
{
  struct exchange *exchange = userdata;

  if (exchange->stopped || exchange->invalid)
    return -1;
  exchange->received += size;
  if (exchange->received > body_max (exchange->call))
    {
      exchange->invalid = 1;
      return -1;
    }
  if (size == 0 || exchange->call->on_data == NULL)
    return 0;
  if (exchange->call->on_data (exchange->call->ctx, data, size) == 0)
    return 0;
  exchange->stopped = 1;
  return -1;
}

/* Returns nonzero when the response tells where its body ends.  */
static int
is_delimited (const struct exchange *exchange, ne_request *req)
{
  const char *coding = ne_get_response_header (req, "Transfer-Encoding");

  if (exchange->status == 204 || exchange->status == 304
      || strcmp (exchange->call->method, "HEAD") == 0)
    return 1;
  if (coding != NULL)
    return strcasecmp (coding, "chunked") == 0;
  return ne_get_response_header (req, "Content-Length") != NULL;
}

int
http_has_status (enum http_result result)
{
  return result == HTTP_OK || result == HTTP_UNDELIMITED;
}

static enum http_result
classify (const struct exchange *exchange, ne_request *req, int rc)
{
  if (exchange->invalid)
    return HTTP_INVALID;
  if (exchange->stopped)
    return HTTP_STOPPED;
  switch (rc)
    {
    case NE_OK:
      return is_delimited (exchange, req) ? HTTP_OK : HTTP_UNDELIMITED;
    case NE_CONNECT:
    case NE_LOOKUP:
      return HTTP_NOT_SENT;
    case NE_TIMEOUT:
      return HTTP_TIMEOUT;
    default:
      return HTTP_BROKEN;
    }
}

static ne_request *
build_request (ne_session *session, struct exchange *exchange)
{
  const struct http_call *call = exchange->call;
  ne_request *req = ne_request_create (session, call->method, call->path);
  int i;

  ne_set_request_flag (req, NE_REQFLAG_IDEMPOTENT, 0);
  for (i = 0; i < HTTP_HEADERS_MAX && call->headers[i].name != NULL; i++)
    ne_add_request_header (req, call->headers[i].name, call->headers[i].value);
  if (call->content_type != NULL && call->content_type[0] != '\0')
    ne_add_request_header (req, "Content-Type", call->content_type);
  if (call->body != NULL)
    ne_set_request_body_buffer (req, call->body, call->body_size);
  ne_add_response_body_reader (req, accept_response, read_body, exchange);
  return req;
}

enum http_result
http_run (const struct http_call *call, int *status, struct err *err)
{
  struct exchange exchange = { .call = call };
  enum http_result result;
  ne_session *session;
  ne_request *req;
  char host[HOST_MAX];
  char *colon;
  int rc;

  *status = 0;
  snprintf (host, sizeof host, "%s", call->address);
  colon = strrchr (host, ':');
  if (colon == NULL)
    {
      err_set (err, ERR_INVALID, "connect", call->address,
               "address lacks a port");
      return HTTP_NOT_SENT;
    }
  *colon = '\0';
  session = ne_session_create ("http", host, (unsigned)atoi (colon + 1));
  ne_set_session_flag (session, NE_SESSFLAG_PERSIST, 0);
  ne_set_connect_timeout (session, CONNECT_TIMEOUT_S);
  ne_set_read_timeout (session, (int)call->timeout_s);
  req = build_request (session, &exchange);
  rc = ne_request_dispatch (req);
  *status = exchange.status;
  result = classify (&exchange, req, rc);
  if (result == HTTP_INVALID)
    err_set (err, ERR_PROTOCOL, "http", call->address,
             "%s %s: no valid response, or one without an end", call->method,
             call->path);
  else if (result == HTTP_UNDELIMITED)
    err_set (err, ERR_PROTOCOL, "http", call->address,
             "%s %s: response without length or chunks", call->method,
             call->path);
  else if (result != HTTP_OK)
    err_set (err, result == HTTP_TIMEOUT ? ERR_TIMEOUT : ERR_IO,
             result == HTTP_NOT_SENT ? "connect" : "http", call->address,
             "%s %s: %s", call->method, call->path, ne_get_error (session));
  ne_request_destroy (req);
  ne_session_destroy (session);
  return result;
}
