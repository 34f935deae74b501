#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H
/*
 * NAME
 *   http_client - HTTP/1.1 client on an event loop, with kept connections for
 * a peer
 *
 * DESCRIPTION
 *   A call is sent once, on a connection that carries nothing else.  Every
 *   call ends with exactly one call of DONE, unless it is cancelled first.  A
 *   connection that shows anything but one whole answer for each request is
 *   closed.  Times are in milliseconds.
 */
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "http_head.h"

enum http_client_result
{
  HTTP_CLIENT_COMPLETE, /* the answer is complete */
  HTTP_CLIENT_NOT_SENT, /* no byte of the request was written */
  HTTP_CLIENT_BROKEN    /* it was sent; no answer, or not all of it, came */
};

enum http_client_verdict
{
  HTTP_CLIENT_ACCEPT,
  HTTP_CLIENT_SKIP /* the answer belongs to another request; wait for the next
                    */
};

struct http_client_ops
{
  enum http_client_verdict (*head) (void *ctx, const struct http_head *head);
  void (*body) (void *ctx, const char *data, size_t size);
  void (*done) (void *ctx, enum http_client_result end);
};

struct http_client;

struct http_client *http_client_new (uv_loop_t *loop);

/* Sends the SIZE bytes of REQUEST to ADDRESS, "IP:PORT".  PEER names the
   lifetime of the process expected there; connections are kept for each.  One
   that has rested for longer than REST_MS is not used: its peer may have
   dropped it without a word, and the request would be lost; the connection
   that is made instead takes the place of the one that has rested longest.
   Returns the call's handle, which is 0 when nothing was sent and DONE will
   not be called.  */
uint64_t http_client_call (struct http_client *cli, const char *address,
                           const char *peer, const char *request, size_t size,
                           int64_t connect_ms, int64_t max_idle_ms,
                           const struct http_client_ops *ops, void *ctx);

/* Ends a call without DONE and closes its connection.  */
void http_client_cancel (struct http_client *cli, uint64_t call);

/* Returns the number of connections to PEER, and in BUSY those in use.  */
unsigned http_client_connections (const struct http_client *cli,
                                  const char *peer, unsigned *busy);

/* Closes the kept connections to PEER.  */
void http_client_close_idle (struct http_client *cli, const char *peer);

/* Closes connections that were idle for too long; to be called regularly.  */
void http_client_check_timeouts (struct http_client *cli);
#endif
