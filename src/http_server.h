#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H
/*
 * NAME
 *   http_server - HTTP/1.1 server on an event loop
 *
 * DESCRIPTION
 *   A connection has one request at a time; what a client sends ahead waits.
 *   A request is handed over once its body is whole.  Connections are named by
 *   handles, which find nothing once the connection has ended.  Times are in
 *   milliseconds.
 */
#include <glib.h>
#include <stdint.h>
#include <uv.h>

#include "goldcresthatch/err.h"
#include "http_head.h"

struct http_server_limits
{
  size_t header_bytes;
  size_t body_bytes;
  int64_t header_ms; /* from the first byte of a head to its end */
  int64_t idle_ms;   /* between two requests */
};

struct http_server_ops
{
  /* A whole request; HEAD and BODY are valid until it is answered.  */
  void (*request) (void *ctx, uint64_t conn, const struct http_head *head,
                   const char *body, size_t size);
  /* The client has left before its answer was complete; may be null.  */
  void (*left) (void *ctx, uint64_t conn);
  /* A request is refused with STATUS before it is whole; may be null.  FIELDS
     takes header lines and BODY the body of the answer.  */
  void (*unread) (void *ctx, int status, const char *why, GString *fields,
                  GString *body);
};

struct http_server;

/* Listens on ADDRESS, "IP:PORT".  */
struct http_server *http_server_new (uv_loop_t *loop, const char *address,
                                     const struct http_server_ops *ops,
                                     void *ctx, struct err *err);
void http_server_set_limits (struct http_server *srv,
                             const struct http_server_limits *limits);

/* Sends a whole answer.  FIELDS holds further header lines, each with its line
   end, and may be null.  */
void http_server_respond (struct http_server *srv, uint64_t conn, int status,
                          const char *fields, const char *body, size_t size);

/* Starts an answer whose FIELDS lack those for the connection and the length.
   LENGTH is that of the body, or -1.  */
void http_server_start_response (struct http_server *srv, uint64_t conn,
                                 int status, const char *fields,
                                 int64_t length);
void http_server_send_body (struct http_server *srv, uint64_t conn,
                            const char *data, size_t size);
void http_server_finish_response (struct http_server *srv, uint64_t conn);

/* Closes the connection in the middle of an answer.  */
void http_server_abort_response (struct http_server *srv, uint64_t conn);

/* From now on each answer ends its connection.  */
void http_server_drain (struct http_server *srv);
/* Closes the connections without a request.  */
void http_server_close_idle (struct http_server *srv);
size_t http_server_connections (const struct http_server *srv);

/* Takes no new connections.  */
void http_server_stop_listening (struct http_server *srv);

/* Closes all connections without telling their owner; SRV is freed once the
   loop has run.  */
void http_server_free (struct http_server *srv);

/* Closes what has been idle or slow for too long; to be called regularly.  */
void http_server_check_timeouts (struct http_server *srv);
#endif
