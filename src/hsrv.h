#ifndef HSRV_H
#define HSRV_H
/*
 * NAME
 *   hsrv - HTTP/1.1 server on an event loop
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
#include "hhead.h"

struct hsrv_limits
{
  size_t header_bytes;
  size_t body_bytes;
  int64_t header_ms; /* from the first byte of a head to its end */
  int64_t idle_ms;   /* between two requests */
};

struct hsrv_ops
{
  /* A whole request; HEAD and BODY are valid until it is answered.  */
  void (*request) (void *ctx, uint64_t conn, const struct hhead *head,
                   const char *body, size_t size);
  /* The client has left before its answer was complete; may be null.  */
  void (*left) (void *ctx, uint64_t conn);
  /* A request is refused with STATUS before it is whole; may be null.  FIELDS
     takes header lines and BODY the body of the answer.  */
  void (*unread) (void *ctx, int status, const char *why, GString *fields,
                  GString *body);
};

struct hsrv;

/* Listens on ADDRESS, "IP:PORT".  */
struct hsrv *hsrv_new (uv_loop_t *loop, const char *address,
                       const struct hsrv_ops *ops, void *ctx, struct err *err);
void hsrv_limits_set (struct hsrv *srv, const struct hsrv_limits *limits);

/* Sends a whole answer.  FIELDS holds further header lines, each with its line
   end, and may be null.  */
void hsrv_answer (struct hsrv *srv, uint64_t conn, int status,
                  const char *fields, const char *body, size_t size);

/* Starts an answer whose FIELDS lack those for the connection and the length.
   LENGTH is that of the body, or -1.  */
void hsrv_start (struct hsrv *srv, uint64_t conn, int status,
                 const char *fields, int64_t length);
void hsrv_send (struct hsrv *srv, uint64_t conn, const char *data,
                size_t size);
void hsrv_finish (struct hsrv *srv, uint64_t conn);

/* Closes the connection in the middle of an answer.  */
void hsrv_abort (struct hsrv *srv, uint64_t conn);

/* From now on each answer ends its connection.  */
void hsrv_drain (struct hsrv *srv);
/* Closes the connections without a request.  */
void hsrv_close_idle (struct hsrv *srv);
size_t hsrv_connections (const struct hsrv *srv);

/* Takes no new connections.  */
void hsrv_stop_listening (struct hsrv *srv);

/* Closes all connections without telling their owner; SRV is freed once the
   loop has run.  */
void hsrv_free (struct hsrv *srv);

/* Closes what has been idle or slow for too long; to be called regularly.  */
void hsrv_tick (struct hsrv *srv);
#endif
