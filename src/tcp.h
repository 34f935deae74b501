#ifndef TCP_H
#define TCP_H
/*
 * NAME
 *   tcp - sockets of the event loop: writes, ends, dead peers
 */
#include <uv.h>

enum
{
  /* A peer that acknowledges nothing for so long is taken as gone.  A few
     times the resend interval of a link in one region.  */
  TCP_USER_TIMEOUT_MS = 2500
};

/* Gives all readers of the loop one buffer, valid until the callback ends.  */
void tcp_alloc_buffer (uv_handle_t *handle, size_t hint, uv_buf_t *buf);

/* Writes at once what the socket takes and queues a copy of the rest.
   Returns 0 or -1.  */
int tcp_write (uv_stream_t *stream, const char *data, size_t size);

/* Reads on after the loop reported the end of STREAM.  Returns the number of
   bytes read into DATA, 0 at an orderly end, and -1 after a reset: the loop
   reports an end for either when the last bytes came with it.  */
ssize_t tcp_read_rest (uv_stream_t *stream, char *data, size_t size);

/* Ends both directions, so that the loop soon reports the end of STREAM.  */
void tcp_shutdown (uv_stream_t *stream);

void tcp_set_user_timeout (uv_tcp_t *tcp);
#endif
