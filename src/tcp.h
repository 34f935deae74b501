#ifndef TCP_H
#define TCP_H
/*
 * NAME
 *   tcp - TCP connections on the event loop: writes, shutdown, dead peers
 */
#include <glib.h>
#include <uv.h>

#include "membudget.h"

enum
{
  /* A connection whose peer acknowledges nothing for this long is closed.  A
     few times the retransmission timeout within a region.  */
  TCP_USER_TIMEOUT_MS = 2500,
  /* The same for clients.  The kernel counts a closed window, too, even if the
     peer answers its probes: a client that reads nothing for a while.  Time
     limits of requests and idle connections end what this leaves.  */
  TCP_CLIENT_TIMEOUT_MS = 20000
};

/* Provides one buffer to all readers of the loop; its content is valid until
   the read callback returns.  */
void tcp_alloc_buffer (uv_handle_t *handle, size_t hint, uv_buf_t *buf);

/* Counts the turns of a loop, for readers that take part in each of them only
   once.  */
struct tcp_turns
{
  uv_prepare_t prepare;
  uint64_t n;
};

void tcp_turns_start (struct tcp_turns *turns, uv_loop_t *loop);
/* Ends the count.  TURNS must remain until CLOSED is called; with a null
   CLOSED it must remain as long as the loop.  */
void tcp_turns_stop (struct tcp_turns *turns, uv_close_cb closed);

/* The same as tcp_alloc_buffer for the first read in a turn; LAST, 0 at first,
   is the reader's.  There is no buffer for another read, and the read callback
   gets UV_ENOBUFS: what is left is read in the next turn.  */
void tcp_alloc_in_turn (const struct tcp_turns *turns, uint64_t *last,
                        uv_buf_t *buf);

/* What a connection has queued.  It must remain until its stream is closed. */
struct tcp_queue
{
  struct membudget *budget; /* is charged; may be null */
  size_t held;              /* bytes of memory */
  int failed;               /* a write has failed */
};

/* Writes at once what the socket takes and queues a copy of the rest in QUEUE.
   Returns 0 or -1.  */
int tcp_write (uv_stream_t *stream, struct tcp_queue *queue, const char *data,
               size_t size);

/* The same for DATA and BODY, of which no copy is made: it is referenced until
   it is written.  */
int tcp_write_bytes (uv_stream_t *stream, struct tcp_queue *queue,
                     const char *data, size_t size, GBytes *body);

/* Returns nonzero when the peer has received all that was written.  After the
   end of STREAM it has read no more than that.  A failed write takes the
   error of the socket, and the end that the next read sees looks orderly.  */
int tcp_is_all_received (const uv_stream_t *stream,
                         const struct tcp_queue *queue);

/* Reads what is left after the loop reported the end of STREAM.  Returns the
   number of bytes read into DATA, 0 at an orderly end, and -1 after a reset;
   the loop reports an end for both when the last bytes arrive with it.  */
ssize_t tcp_read_rest (uv_stream_t *stream, char *data, size_t size);

/* Shuts down STREAM as shutdown(2) does with HOW.  The loop then reports its
   end, unless HOW is SHUT_WR.  */
void tcp_shutdown (uv_stream_t *stream, int how);

/* With ON, the connection is reset when it is closed, also by the end of the
   process.  */
void tcp_set_reset_on_close (uv_tcp_t *tcp, int on);

/* Sets TCP_USER_TIMEOUT to MS.  */
void tcp_set_user_timeout (uv_tcp_t *tcp, unsigned ms);
#endif
