#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H
/*
 * NAME
 *   http_server - HTTP/1.1 server on an event loop
 *
 * DESCRIPTION
 *   A connection handles one request at a time; pipelined requests wait, and
 *   the next begins in a later turn of the loop than the answer to the one
 *   before.  The owner gets a request once its whole body has been received.
 *   A request is identified by a handle, which names its connection until the
 *   request is answered or its client has left.  The next request of the
 *   connection has another handle; a call with one that has ended has no
 *   effect.  A client that shuts down its sending side counts as one that has
 *   left.  Times are in milliseconds.
 */
#include <glib.h>
#include <stdint.h>
#include <uv.h>

#include "goldcresthatch/err.h"
#include "http_head.h"
#include "membudget.h"

struct http_server_limits
{
  size_t header_bytes;
  size_t body_bytes;
  int64_t header_ms; /* from the first byte of a head to its end */
  int64_t idle_ms;   /* longest time without a request */
};

/* What the body of a request must keep to; otherwise it is refused with 408.
   A client that waits 15 s for an answer meets neither.  */
struct http_server_progress
{
  int64_t body_ms; /* longest time from the end of the head; default: 30000 */
  /* Least rate, on average, of one that takes longer than 16 s; default:
     1000.  */
  size_t body_bytes_per_s;
};

struct http_server_ops
{
  /* A complete request; HEAD and BODY are valid until it is answered or LEFT
     is called.  */
  void (*request) (void *ctx, uint64_t conn, const struct http_head *head,
                   const char *body, size_t size);
  /* The client closed the connection before its answer was complete; may be
     null.  */
  void (*left) (void *ctx, uint64_t conn);
  /* A request is refused with STATUS before it is complete, for the reason
     WHY; may be null.  The callback may append header lines to FIELDS and the
     answer's body to BODY.  */
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
void http_server_set_progress (struct http_server *srv,
                               const struct http_server_progress *progress);

/* Charges BUDGET, which must remain, for what connections hold.  A body for
   which there is no room is refused with 503, before it is read if its length
   is announced; one of unknown length waits up to a second.  When more is held
   than the limit, the connections that hold most and have not moved for
   longest are closed.  At the limit of clients, the one that is idle for
   longest yields to the next.  Must be called before the first connection.  */
void http_server_set_budget (struct http_server *srv,
                             struct membudget *budget);

/* Returns a reference to the body of the request CONN, to be released by the
   caller; null: it is empty.  */
GBytes *http_server_body (const struct http_server *srv, uint64_t conn);

/* Sends a complete answer.  FIELDS holds additional header lines, each ended
   by CRLF, and may be null.  */
void http_server_respond (struct http_server *srv, uint64_t conn, int status,
                          const char *fields, const char *body, size_t size);

/* Lengths that aren't known.  */
enum
{
  /* Chunks tell the end.  A client of HTTP/1.0 doesn't understand them; its
     answer ends with the connection.  */
  HTTP_SERVER_CHUNKED = -1,
  /* The answer ends with the connection, and nothing tells whether it is
     whole.  */
  HTTP_SERVER_UNTIL_CLOSE = -2
};

/* Starts an answer.  The server adds Connection and either Content-Length or
   Transfer-Encoding to FIELDS, which must not contain them.  LENGTH is that of
   the body, or one of the above.  A connection that ends the answer is closed
   in order only by http_server_finish_response; in any other case, and when
   the process ends, it is reset.  */
void http_server_start_response (struct http_server *srv, uint64_t conn,
                                 int status, const char *fields,
                                 int64_t length);
void http_server_send_body (struct http_server *srv, uint64_t conn,
                            const char *data, size_t size);
void http_server_finish_response (struct http_server *srv, uint64_t conn);

/* Closes the connection without completing the answer.  */
void http_server_abort_response (struct http_server *srv, uint64_t conn);

/* Makes every connection close after its next answer.  */
void http_server_drain (struct http_server *srv);

/* Closes the connections that have no request in progress.  */
void http_server_close_idle (struct http_server *srv);
size_t http_server_connections (const struct http_server *srv);

/* Stops accepting connections.  */
void http_server_stop_listening (struct http_server *srv);

/* Closes all connections without calling LEFT; SRV is freed once the loop has
   run.  */
void http_server_free (struct http_server *srv);

/* Closes the connections that exceed a time limit.  Must be called
   periodically.  */
void http_server_check_timeouts (struct http_server *srv);
#endif
