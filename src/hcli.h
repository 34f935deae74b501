#ifndef HCLI_H
#define HCLI_H
/*
 * NAME
 *   hcli - HTTP/1.1 client on an event loop, with kept connections for a peer
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

#include "hhead.h"

enum hcli_end
{
  HCLI_WHOLE,    /* the answer is complete */
  HCLI_NOT_SENT, /* no byte of the request was written */
  HCLI_BROKEN    /* it was sent; no answer, or not all of it, came */
};

enum hcli_take
{
  HCLI_TAKE,
  HCLI_SKIP /* the answer belongs to another request; wait for the next */
};

struct hcli_ops
{
  enum hcli_take (*head) (void *ctx, const struct hhead *head);
  void (*body) (void *ctx, const char *data, size_t size);
  void (*done) (void *ctx, enum hcli_end end);
};

struct hcli;

struct hcli *hcli_new (uv_loop_t *loop);

/* Sends the SIZE bytes of REQUEST to ADDRESS, "IP:PORT".  PEER names the
   lifetime of the process expected there; connections are kept for each.  One
   that has rested for longer than REST_MS is not used: its peer may have
   dropped it without a word, and the request would be lost; the connection
   that is made instead takes the place of the one that has rested longest.
   Returns the call's handle, which is 0 when nothing was sent and DONE will
   not be called.  */
uint64_t hcli_call (struct hcli *cli, const char *address, const char *peer,
                    const char *request, size_t size, int64_t connect_ms,
                    int64_t rest_ms, const struct hcli_ops *ops, void *ctx);

/* Ends a call without DONE and closes its connection.  */
void hcli_cancel (struct hcli *cli, uint64_t call);

/* Returns the number of connections to PEER, and in BUSY those in use.  */
unsigned hcli_connections (const struct hcli *cli, const char *peer,
                           unsigned *busy);

/* Closes the kept connections to PEER.  */
void hcli_forget (struct hcli *cli, const char *peer);

/* Closes connections that were idle for too long; to be called regularly.  */
void hcli_tick (struct hcli *cli);
#endif
