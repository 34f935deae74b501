#include "tcp.h"

#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

void
tcp_alloc_buffer (uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
  static char shared[64 * 1024];

  (void)handle;
  (void)hint;
  buf->base = shared;
  buf->len = sizeof shared;
}

static void
on_prepare (uv_prepare_t *prepare)
{
  struct tcp_turns *turns = prepare->data;

  turns->n++;
}

void
tcp_turns_start (struct tcp_turns *turns, uv_loop_t *loop)
{
  turns->n = 1;
  uv_prepare_init (loop, &turns->prepare);
  turns->prepare.data = turns;
  uv_prepare_start (&turns->prepare, on_prepare);
  /* The count alone doesn't keep the loop running.  */
  uv_unref ((uv_handle_t *)&turns->prepare);
}

void
tcp_turns_stop (struct tcp_turns *turns, uv_close_cb closed)
{
  uv_close ((uv_handle_t *)&turns->prepare, closed);
}

void
tcp_alloc_in_turn (const struct tcp_turns *turns, uint64_t *last,
                   uv_buf_t *buf)
{
  if (*last == turns->n)
    {
      *buf = uv_buf_init (NULL, 0);
      return;
    }
  *last = turns->n;
  tcp_alloc_buffer (NULL, 0, buf);
}

struct pending
{
  uv_write_t req;
  char data[];
};

static void
on_written (uv_write_t *req, int status)
{
  /* A failed write is reported as an error of the next read.  */
  (void)status;
  g_free (req->data);
}

int
tcp_write (uv_stream_t *stream, const char *data, size_t size)
{
  uv_buf_t buf = uv_buf_init ((char *)data, (unsigned)size);
  struct pending *pending;
  int n = uv_try_write (stream, &buf, 1);

  if (n == UV_EAGAIN)
    n = 0;
  if (n < 0)
    return -1;
  if ((size_t)n == size)
    return 0;
  size -= (size_t)n;
  pending = g_malloc (sizeof *pending + size);
  memcpy (pending->data, data + n, size);
  pending->req.data = pending;
  buf = uv_buf_init (pending->data, (unsigned)size);
  if (uv_write (&pending->req, stream, &buf, 1, on_written) == 0)
    return 0;
  g_free (pending);
  return -1;
}

ssize_t
tcp_read_rest (uv_stream_t *stream, char *data, size_t size)
{
  uv_os_fd_t fd;
  ssize_t n;

  if (uv_fileno ((const uv_handle_t *)stream, &fd) != 0)
    return -1;
  do
    n = recv (fd, data, size, MSG_DONTWAIT);
  while (n < 0 && errno == EINTR);
  return n;
}

void
tcp_shutdown (uv_stream_t *stream, int how)
{
  uv_os_fd_t fd;

  if (uv_fileno ((const uv_handle_t *)stream, &fd) == 0)
    shutdown (fd, how);
}

void
tcp_set_reset_on_close (uv_tcp_t *tcp, int on)
{
  struct linger linger = { .l_onoff = on, .l_linger = 0 };
  uv_os_fd_t fd;

  if (uv_fileno ((const uv_handle_t *)tcp, &fd) == 0)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

void
tcp_set_user_timeout (uv_tcp_t *tcp)
{
  unsigned silence_ms = TCP_USER_TIMEOUT_MS;
  uv_os_fd_t fd;

  if (uv_fileno ((const uv_handle_t *)tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms,
                sizeof silence_ms);
}
