#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H
/*
 * NAME
 *   http_client - HTTP/1.1 client on an event loop, with persistent
 *   connections
 *
 * DESCRIPTION
 *   A request is sent once, on a connection without another request in
 *   progress.  DONE is called exactly once for every call that isn't
 *   cancelled.  A connection on which the peer sends anything but one complete
 *   answer for each request is closed, and so is one whose peer sends what is
 *   no answer without an end: a head of more than 64 KB, more than a few
 *   informational or skipped answers, or a body beyond the call's limit.  The
 *   call is then broken, and the log tells what was received.  Times are in
 *   milliseconds.
 */
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "http_head.h"
#include "membudget.h"

enum http_client_result
{
  HTTP_CLIENT_COMPLETE, /* the answer is complete */
  /* An answer without length and chunks has ended with its connection: it is
     complete or has been broken off, which only its content can tell.  */
  HTTP_CLIENT_CLOSED,
  HTTP_CLIENT_NOT_SENT, /* no byte of the request was written */
  HTTP_CLIENT_BROKEN    /* it was sent, but no complete answer was received */
};

enum http_client_verdict
{
  HTTP_CLIENT_ACCEPT,
  HTTP_CLIENT_SKIP,  /* it answers another request; wait for the next */
  HTTP_CLIENT_REJECT /* it may answer another request; the call is broken */
};

struct http_client_ops
{
  enum http_client_verdict (*head) (void *ctx, const struct http_head *head);
  /* The next bytes of the body: all that one read has brought, without the
     chunks that they came in.  */
  void (*body) (void *ctx, const char *data, size_t size);
  void (*done) (void *ctx, enum http_client_result end);
  size_t body_max; /* bytes of the longest body that is of use; 0: no limit */
  int64_t answer_ms; /* from the call to the end of its answer; 0: no limit */
};

struct http_client;

struct http_client *http_client_new (uv_loop_t *loop);

/* Charges BUDGET, which must remain, with connections and what is queued.  */
void http_client_set_budget (struct http_client *cli,
                             struct membudget *budget);

/* Sends the SIZE bytes of REQUEST to ADDRESS, "IP:PORT".  PEER identifies the
   incarnation of the process expected there; each has its own connections.  A
   connection that has been idle for longer than max_idle_ms is not reused: its
   peer may have dropped it silently, and the request would be lost.  The
   connection opened instead replaces the one that has been idle longest.
   Returns the call's handle, or 0 when nothing was sent; DONE is not called
   then.  */
uint64_t http_client_call (struct http_client *cli, const char *address,
                           const char *peer, const char *request, size_t size,
                           int64_t connect_ms, int64_t max_idle_ms,
                           const struct http_client_ops *ops, void *ctx);

/* The same for a client's request of HEAD and BODY, which must also find room
   for its connection in the budget.  The body isn't copied but
   referenced until it is written, also after the end of the call; null: there
   is none.  */
uint64_t http_client_send (struct http_client *cli, const char *address,
                           const char *peer, const char *head, size_t size,
                           GBytes *body, int64_t connect_ms,
                           int64_t max_idle_ms,
                           const struct http_client_ops *ops, void *ctx);

/* Returns nonzero when CALL uses a connection on which another request was
   sent before, so that a late answer to that one may arrive.  */
int http_client_is_reused (const struct http_client *cli, uint64_t call);

/* Ends a call without DONE and closes its connection.  */
void http_client_cancel (struct http_client *cli, uint64_t call);

/* Returns the number of connections to PEER, and in BUSY those in use.  */
unsigned http_client_connections (const struct http_client *cli,
                                  const char *peer, unsigned *busy);

/* Closes the idle connections to PEER.  */
void http_client_close_idle (struct http_client *cli, const char *peer);

/* Closes expired idle connections, and fails the calls that could not connect
   in time or whose answer isn't complete in time.  Must be called
   periodically.  */
void http_client_check_timeouts (struct http_client *cli);
#endif
