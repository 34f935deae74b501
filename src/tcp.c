#include "tcp.h"

#include <errno.h>
#include <glib.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
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
  struct tcp_queue *queue;
  size_t held;
  GBytes *body; /* or null */
  char data[];
};

static void
pending_free (struct pending *pending)
{
  if (pending->body != NULL)
    g_bytes_unref (pending->body);
  g_free (pending);
}

static void
on_written (uv_write_t *req, int status)
{
  struct pending *pending = req->data;
  struct tcp_queue *queue = pending->queue;

  queue->failed |= status != 0;
  queue->held -= pending->held;
  membudget_release (queue->budget, MEMBUDGET_OUTPUT, pending->held);
  pending_free (pending);
}

int
tcp_write_bytes (uv_stream_t *stream, struct tcp_queue *queue,
                 const char *data, size_t size, GBytes *body)
{
  size_t body_size = 0;
  const char *bytes = body != NULL ? g_bytes_get_data (body, &body_size) : "";
  uv_buf_t bufs[2] = { uv_buf_init ((char *)data, (unsigned)size),
                       uv_buf_init ((char *)bytes, (unsigned)body_size) };
  unsigned n_bufs = body_size > 0 ? 2 : 1;
  struct pending *pending;
  int n = uv_try_write (stream, bufs, n_bufs);
  size_t done;

  if (n == UV_EAGAIN)
    n = 0;
  if (n < 0)
    {
      queue->failed = 1;
      return -1;
    }
  done = (size_t)n;
  if (done == size + body_size)
    return 0;
  bufs[0].len = size - MIN (done, size);
  pending = g_malloc (sizeof *pending + bufs[0].len);
  memcpy (pending->data, data + size - bufs[0].len, bufs[0].len);
  bufs[0].base = pending->data;
  done -= MIN (done, size);
  bufs[1].base += done;
  bufs[1].len -= done;
  pending->req.data = pending;
  pending->queue = queue;
  pending->held = sizeof *pending + bufs[0].len;
  pending->body = n_bufs > 1 ? g_bytes_ref (body) : NULL;
  if (uv_write (&pending->req, stream, bufs, n_bufs, on_written) == 0)
    {
      queue->held += pending->held;
      membudget_charge (queue->budget, MEMBUDGET_OUTPUT, pending->held);
      return 0;
    }
  queue->failed = 1;
  pending_free (pending);
  return -1;
}

int
tcp_write (uv_stream_t *stream, struct tcp_queue *queue, const char *data,
           size_t size)
{
  return tcp_write_bytes (stream, queue, data, size, NULL);
}

int
tcp_is_all_received (const uv_stream_t *stream, const struct tcp_queue *queue)
{
  uv_os_fd_t fd;
  int unacknowledged;

  if (queue->failed || queue->held > 0
      || uv_fileno ((const uv_handle_t *)stream, &fd) != 0
      || ioctl (fd, SIOCOUTQ, &unacknowledged) != 0)
    return 0;
  return unacknowledged == 0;
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
tcp_set_user_timeout (uv_tcp_t *tcp, unsigned ms)
{
  uv_os_fd_t fd;

  if (uv_fileno ((const uv_handle_t *)tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}
