#include "http_server.h"

#include <limits.h>
#include <string.h>

#include "event_log.h"
#include "goldcresthatch/settings.h"
#include "goldcresthatch/slotmap.h"
#include "tcp.h"

enum
{
  SERVER_HANDLES = 3,            /* listener, turns and work */
  SERVER_CONNECTIONS_MAX = 3600, /* below the descriptor limit of a small VM */
  READ_AHEAD_MAX_BYTES = 8 * 1024, /* input buffered during a request */
  HEAD_READ_BYTES = 16 * 1024,
  READ_AHEAD_BYTES = 4 * 1024, /* of one read of it */
  /* A head is looked for in pieces of this size, so that what follows it isn't
     kept beside it.  */
  HEAD_PIECE_BYTES = 2 * 1024,
  INPUT_BYTES = 1024,
  INPUT_KEPT_BYTES = 8 * 1024,     /* of an idle connection */
  BODY_ALLOCATED_BYTES = 4 * 1024, /* at once, for a body of unknown length */
  /* With little memory left, a connection that hasn't moved for so long may be
     closed,  */
  STALLED_MS = 2000,
  EVICTED_LEAST_BYTES = 16 * 1024, /* if it holds this much.  */
  EVICTED_MAX = 64,                /* in one turn of the loop */
  STARVED_MS = 1000, /* longest wait for memory in the middle of a body */
  /* A body is judged by its rate after this time, in which usual clients have
     given up.  */
  BODY_GRACE_MS = 16 * 1000,
  UNSENT_MAX_BYTES = 1024 * 1024, /* output queued for a slow client */
  LINGERING_CLOSE_MS
  = 1000, /* for a client to close once the last answer is written */
  /* For one to take that answer, while what it sends is discarded.  */
  LINGERING_CLOSE_MAX_MS = 16 * 1000
};

enum phase
{
  PHASE_HEAD,
  PHASE_BODY,
  PHASE_PROCESSING, /* the owner processes the request */
  PHASE_RESPONSE,   /* the answer has been started */
  PHASE_LINGER      /* the last answer was written; input is discarded */
};

struct conn
{
  uv_tcp_t tcp;
  struct http_server *srv;
  uint64_t handle;
  enum phase phase;
  GString *in;
  struct http_head_progress scan;
  size_t head_length;
  struct http_head head;
  http_parser parser;
  GString *body;
  GBytes *bytes;          /* the complete body, or null */
  size_t input_charged;   /* for the connection and its input */
  size_t body_charged;    /* until the body is complete */
  size_t body_bytes;      /* of the body and its chunks */
  uint64_t body_since_ms; /* end of the head */
  uint64_t starved_ms; /* when the body began to wait for memory; 0: doesn't */
  uint64_t moved_ms;   /* when it last sent or took a byte */
  size_t unsent;       /* output queued when that was last looked at */
  struct tcp_queue queue; /* its budget is also that of the above */
  int body_complete;      /* the request's body has been received */
  int keep_alive;         /* the connection stays open after the answer */
  int chunked;            /* the answer is sent in chunks */
  int until_close;        /* the answer ends with the connection */
  int no_body;            /* the answer has no body, whatever is sent */
  int paused;             /* reading is stopped */
  int is_pipelined;   /* its next request has come and waits for its turn */
  int closing;        /* uv_close was called */
  int write_failed;   /* a write failed or too much output is queued */
  uint64_t read_turn; /* of the loop, in which it was last read */
  uint64_t since_ms;  /* when the connection became idle, the first byte of the
                         head arrived, the lingering close started, or its last
                         output was written */
};

struct http_server
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  struct http_server_ops ops;
  void *ctx;
  struct http_server_limits limits;
  struct http_server_progress progress;
  struct membudget *budget; /* or null */
  struct slotmap *conns;
  struct tcp_turns turns;
  uv_idle_t work;
  GArray *pipelined; /* handles of connections whose next request has come */
  int draining;
  int listener_closing; /* the listener is closed or closing */
  unsigned handles;     /* of the loop, that aren't closed */
};

static void resume_reading (struct conn *c);
static void on_work (uv_idle_t *work);
static void alloc_read (uv_handle_t *handle, size_t hint, uv_buf_t *buf);
static void on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);

/* The memory of a complete body, which its last reference frees.  */
struct body_memory
{
  struct membudget *budget;
  char *data;
  size_t charged;
};

static void
body_memory_free (void *data)
{
  struct body_memory *memory = data;

  membudget_release (memory->budget, MEMBUDGET_BODY, memory->charged);
  g_free (memory->data);
  g_free (memory);
}

/* Returns what a body of SIZE bytes is charged.  */
static size_t
body_cost (const struct http_server *srv, size_t size)
{
  return srv->budget != NULL ? size * srv->budget->body_copies : size;
}

/* Makes the body that was received one that other parts can keep.  */
static void
body_finish (struct conn *c)
{
  struct body_memory *memory;
  size_t size = c->body->len;

  if (size == 0)
    return;
  /* Memory beyond it isn't touched.  */
  membudget_set (c->queue.budget, MEMBUDGET_BODY, &c->body_charged,
                 body_cost (c->srv, size));
  memory = g_new (struct body_memory, 1);
  memory->budget = c->queue.budget;
  memory->charged = c->body_charged;
  memory->data = g_string_free (c->body, FALSE);
  c->body = NULL;
  c->body_charged = 0;
  c->bytes = g_bytes_new_with_free_func (memory->data, size, body_memory_free,
                                         memory);
}

static void
body_free (struct conn *c)
{
  if (c->body != NULL)
    g_string_free (c->body, TRUE);
  c->body = NULL;
  if (c->bytes != NULL)
    g_bytes_unref (c->bytes);
  c->bytes = NULL;
  membudget_set (c->queue.budget, MEMBUDGET_BODY, &c->body_charged, 0);
}

static void
charge_input (struct conn *c)
{
  membudget_set (c->queue.budget, MEMBUDGET_CONNECTION, &c->input_charged,
                 sizeof *c + c->in->allocated_len);
}

static void
conn_free (uv_handle_t *handle)
{
  struct conn *c = handle->data;

  body_free (c);
  membudget_set (c->queue.budget, MEMBUDGET_CONNECTION, &c->input_charged, 0);
  g_string_free (c->in, TRUE);
  g_free (c);
}

static void
conn_close (struct conn *c, int notify)
{
  if (c->closing)
    return;
  c->closing = 1;
  slotmap_remove (c->srv->conns, c->handle);
  if (c->srv->budget != NULL)
    c->srv->budget->clients--;
  if (notify && c->srv->ops.left != NULL
      && (c->phase == PHASE_PROCESSING || c->phase == PHASE_RESPONSE))
    c->srv->ops.left (c->srv->ctx, c->handle);
  uv_close ((uv_handle_t *)&c->tcp, conn_free);
}

/* Starts what is done between two callbacks of the loop.  */
static void
start_work (struct http_server *srv)
{
  uv_idle_start (&srv->work, on_work);
}

/* A connection that can't be written is not closed here, because the owner of
   the request may be in the middle of an answer.  It is shut down, and the
   loop then reports its end.  */
static void
conn_write (struct conn *c, const char *data, size_t size)
{
  uv_stream_t *stream = (uv_stream_t *)&c->tcp;

  if (c->write_failed)
    return;
  if (membudget_is_over (c->srv->budget))
    start_work (c->srv);
  if (tcp_write (stream, &c->queue, data, size) == 0
      && uv_stream_get_write_queue_size (stream) <= UNSENT_MAX_BYTES)
    return;
  c->write_failed = 1;
  tcp_shutdown (stream, c->until_close ? SHUT_RD : SHUT_RDWR);
  resume_reading (c);
}

static void
resume_reading (struct conn *c)
{
  if (c->paused)
    uv_read_start ((uv_stream_t *)&c->tcp, alloc_read, on_read);
  c->paused = 0;
}

static void
pause_reading (struct conn *c)
{
  if (!c->paused)
    uv_read_stop ((uv_stream_t *)&c->tcp);
  c->paused = 1;
}

static void
refuse (struct conn *c, int status, const char *why)
{
  GString *fields = g_string_new (NULL);
  GString *body = g_string_new (NULL);

  if (c->srv->ops.unread != NULL)
    c->srv->ops.unread (c->srv->ctx, status, why, fields, body);
  c->keep_alive = 0;
  c->starved_ms = 0;
  body_free (c);
  c->phase = PHASE_PROCESSING;
  http_server_respond (c->srv, c->handle, status, fields->str, body->str,
                       body->len);
  g_string_free (fields, TRUE);
  g_string_free (body, TRUE);
}

static void
refuse_memory (struct conn *c)
{
  if (c->srv->budget != NULL)
    c->srv->budget->refused++;
  refuse (c, 503, "memory");
}

static size_t
conn_held (const struct conn *c)
{
  return c->input_charged + c->body_charged + c->queue.held;
}

static int
is_stalled (const struct conn *c)
{
  return uv_now (c->srv->loop) - c->moved_ms >= STALLED_MS;
}

/* Returns nonzero when the connection may be closed to free memory.  A request
   that the owner has got isn't given up, but for an answer that its client
   doesn't read.  */
static int
is_evictable (const struct conn *c)
{
  return conn_held (c) >= EVICTED_LEAST_BYTES
         && ((c->phase != PHASE_PROCESSING && c->phase != PHASE_RESPONSE)
             || c->queue.held >= EVICTED_LEAST_BYTES);
}

/* Returns nonzero when A is rather closed than B, which may be null.  */
static int
is_worse (const struct conn *a, const struct conn *b)
{
  if (b == NULL || is_stalled (a) != is_stalled (b))
    return b == NULL || is_stalled (a);
  if (conn_held (a) != conn_held (b))
    return conn_held (a) > conn_held (b);
  return a->moved_ms < b->moved_ms;
}

/* Returns the connection that holds most and has not moved for longest among
   those for which IS_CANDIDATE holds, or null.  */
static struct conn *
find_worst (struct http_server *srv,
            int (*is_candidate) (const struct conn *c))
{
  struct conn *worst = NULL;
  uint64_t handle = 0;

  while ((handle = slotmap_next (srv->conns, handle)) != 0)
    {
      struct conn *c = slotmap_get (srv->conns, handle);
      if (is_candidate (c) && is_worse (c, worst))
        worst = c;
    }
  return worst;
}

/* Closes connections until what is held is within the limit, as far as they
   are this server's.  */
static void
evict (struct http_server *srv)
{
  size_t freed = 0;
  struct conn *c;
  int i;

  for (i = 0; i < EVICTED_MAX; i++)
    {
      if (srv->budget == NULL || srv->budget->limit == 0
          || srv->budget->total <= srv->budget->limit + freed
          || (c = find_worst (srv, is_evictable)) == NULL)
        return;
      srv->budget->evicted++;
      event_log_write ("evicted", NULL,
                       "\"held\":%zu,\"moved_ms\":%" G_GUINT64_FORMAT,
                       conn_held (c), uv_now (srv->loop) - c->moved_ms);
      if (c->phase == PHASE_BODY)
        refuse_memory (c);
      else
        {
          freed += conn_held (c);
          conn_close (c, 1);
        }
    }
}

static int
is_stalled_body (const struct conn *c)
{
  return c->phase == PHASE_BODY && c->body_charged > BODY_ALLOCATED_BYTES
         && is_stalled (c);
}

/* Returns nonzero when MORE bytes of C's body, which then has SIZE, have room;
   bodies that have stalled give way.  */
static int
make_room (struct conn *c, size_t more, size_t size)
{
  struct http_server *srv = c->srv;
  struct conn *other;

  while (size > BODY_ALLOCATED_BYTES
         && !membudget_has_room (srv->budget, more, size))
    {
      other = find_worst (srv, is_stalled_body);
      if (other == NULL || other == c)
        return 0;
      srv->budget->evicted++;
      refuse_memory (other);
    }
  return 1;
}

/* Makes the body hold what N more bytes bring.  Returns 0, or -1 when there is
   no room for them now.  */
static int
body_reserve (struct conn *c, size_t n)
{
  GString *body = c->body;
  size_t next = MAX (body->allocated_len, (size_t)BODY_ALLOCATED_BYTES);

  /* The room for an announced length is kept already.  */
  if (!(c->parser.flags & F_CHUNKED))
    return 0;
  while (next <= body->len + n)
    next *= 2;
  next = body_cost (c->srv, MIN (next, c->srv->limits.body_bytes + 1));
  if (next <= c->body_charged)
    return 0;
  if (!make_room (c, next - c->body_charged, next))
    return -1;
  membudget_set (c->srv->budget, MEMBUDGET_BODY, &c->body_charged, next);
  return 0;
}

static int
on_body (http_parser *parser, const char *at, size_t n)
{
  struct conn *c = parser->data;

  if (c->body->len + n > c->srv->limits.body_bytes)
    return -1;
  g_string_append_len (c->body, at, (gssize)n);
  return 0;
}

static void
body_end (struct conn *c)
{
  c->phase = PHASE_PROCESSING;
  body_finish (c);
  c->srv->ops.request (c->srv->ctx, c->handle, &c->head,
                       c->bytes != NULL ? g_bytes_get_data (c->bytes, NULL)
                                        : "",
                       c->bytes != NULL ? g_bytes_get_size (c->bytes) : 0);
}

/* Parses the next bytes of a body.  Returns the number of bytes consumed: all,
   unless the body has ended or waits for memory.  */
static size_t
parse_body (struct conn *c, const char *data, size_t size)
{
  size_t n = 0;

  if (!c->body_complete && body_reserve (c, size) != 0)
    {
      if (c->starved_ms == 0)
        c->starved_ms = MAX (uv_now (c->srv->loop), (uint64_t)1);
      pause_reading (c);
      return 0;
    }
  c->starved_ms = 0;
  /* The parser takes a size of 0 as the end of the connection.  */
  if (!c->body_complete && size > 0)
    n = http_head_parse_body (&c->parser, data, size, on_body,
                              &c->body_complete);
  c->body_bytes += n;
  if (!c->body_complete && HTTP_PARSER_ERRNO (&c->parser) != HPE_OK)
    {
      refuse (c, HTTP_PARSER_ERRNO (&c->parser) == HPE_CB_body ? 413 : 400,
              http_errno_description (HTTP_PARSER_ERRNO (&c->parser)));
      return size;
    }
  return n;
}

/* Reads what the input holds of the body.  */
static void
read_body (struct conn *c)
{
  size_t start = c->head_length;
  size_t n = parse_body (c, c->in->str + start, c->in->len - start);

  if (c->phase != PHASE_BODY || c->starved_ms != 0)
    return;
  g_string_erase (c->in, (gssize)start, (gssize)n);
  if (c->body_complete)
    body_end (c);
}

/* Answers "Expect: 100-continue"; some clients don't send the body before.  */
static void
send_continue (struct conn *c)
{
  static const char line[] = "HTTP/1.1 100 Continue\r\n\r\n";

  if (http_str_equal_nocase (http_head_get (&c->head, "expect"),
                             "100-continue"))
    conn_write (c, line, sizeof line - 1);
}

/* Returns nonzero when the length of the body is given in one way only, and by
   a transfer coding that the server supports.  */
static int
is_framing_supported (const struct http_head *head)
{
  struct http_str coding = http_head_get (head, "transfer-encoding");
  size_t i;
  int lengths = 0;

  for (i = 0; i < head->n_fields; i++)
    lengths += http_str_equal_nocase (head->fields[i].name, "content-length")
               || http_str_equal_nocase (head->fields[i].name,
                                         "transfer-encoding");
  return lengths <= 1
         && (coding.p == NULL || http_str_equal_nocase (coding, "chunked"));
}

/* Skips the blank lines that some clients send after a body.  */
static void
skip_blank_lines (struct conn *c)
{
  size_t n = 0;

  if (c->scan.line > 0)
    return;
  while (c->in->len >= n + 2 && memcmp (c->in->str + n, "\r\n", 2) == 0)
    n += 2;
  if (n == 0)
    return;
  g_string_erase (c->in, 0, (gssize)n);
  memset (&c->scan, 0, sizeof c->scan);
}

static void
read_head (struct conn *c)
{
  struct http_server *srv = c->srv;
  enum http_head_result verdict;
  size_t length;
  size_t cost;

  skip_blank_lines (c);
  if (c->in->len == 0)
    return;
  verdict = http_head_scan (&c->scan, c->in->str, c->in->len,
                            srv->limits.header_bytes, 1, &c->head_length);
  if (verdict == HTTP_HEAD_PARTIAL)
    return;
  if (verdict != HTTP_HEAD_OK)
    {
      refuse (c, verdict == HTTP_HEAD_TOO_LARGE ? 431 : 400, "head");
      return;
    }
  http_parser_init (&c->parser, HTTP_REQUEST);
  c->parser.data = c;
  if (http_head_parse (&c->parser, c->in->str, c->head_length, &c->head) != 0
      || !is_framing_supported (&c->head))
    {
      refuse (c, 400, "fields or length");
      return;
    }
  if (!(c->parser.flags & F_CHUNKED) && c->parser.content_length != ULLONG_MAX
      && c->parser.content_length > srv->limits.body_bytes)
    {
      refuse (c, 413, "length");
      return;
    }
  length
      = c->parser.flags & F_CHUNKED || c->parser.content_length == ULLONG_MAX
            ? 0
            : (size_t)c->parser.content_length;
  cost = body_cost (srv, length);
  if (!make_room (c, cost, cost))
    {
      refuse_memory (c);
      return;
    }
  c->keep_alive = http_should_keep_alive (&c->parser);
  c->body_complete = c->head.complete;
  c->no_body = http_str_equal (c->head.method, "HEAD");
  /* The room of a body that is announced is kept for it.  Its memory is taken
     as it arrives.  */
  membudget_set (srv->budget, MEMBUDGET_BODY, &c->body_charged, cost);
  c->body = g_string_sized_new (MIN (length, (size_t)MEMBUDGET_LARGE_BYTES));
  c->body_bytes = 0;
  c->body_since_ms = uv_now (srv->loop);
  c->is_pipelined = 0;
  c->phase = PHASE_BODY;
  send_continue (c);
}

/* Appends to the input.  The fields of the head point into it and are adjusted
   when it moves.  */
static void
append_input (struct conn *c, const char *data, size_t size)
{
  const char *old = c->in->str;
  ptrdiff_t by;
  size_t i;

  g_string_append_len (c->in, data, (gssize)size);
  by = c->in->str - old;
  if (c->phase == PHASE_HEAD || by == 0)
    return;
  c->head.method.p += by;
  c->head.target.p += by;
  for (i = 0; i < c->head.n_fields; i++)
    {
      c->head.fields[i].name.p += by;
      if (c->head.fields[i].value.n > 0)
        c->head.fields[i].value.p += by;
    }
}

/* Returns how much may be read at once.  What isn't of this request must be
   kept until the next.  */
static size_t
read_size (const struct conn *c)
{
  int is_tight = membudget_is_tight (c->srv->budget);

  if (c->phase == PHASE_PROCESSING || c->phase == PHASE_RESPONSE)
    return READ_AHEAD_BYTES;
  if (c->phase == PHASE_HEAD)
    return c->in->len > 0 || is_tight ? READ_AHEAD_BYTES : HEAD_READ_BYTES;
  if (c->phase == PHASE_BODY && !(c->parser.flags & F_CHUNKED))
    return c->parser.content_length + READ_AHEAD_BYTES;
  return is_tight ? HEAD_READ_BYTES : SIZE_MAX;
}

static void
alloc_read (uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
  struct conn *c = handle->data;

  (void)hint;
  tcp_alloc_in_turn (&c->srv->turns, &c->read_turn, buf);
  buf->len = MIN (buf->len, read_size (c));
}

/* Takes in the next bytes of a head.  Returns their number.  */
static size_t
take_head (struct conn *c, const char *data, size_t size)
{
  size_t n = MIN (size, (size_t)HEAD_PIECE_BYTES);

  if (c->in->len == 0)
    c->since_ms = uv_now (c->srv->loop);
  append_input (c, data, n);
  read_head (c);
  if (c->phase == PHASE_BODY)
    read_body (c);
  return n;
}

/* Takes in the next bytes of a body.  Returns their number.  */
static size_t
take_body (struct conn *c, const char *data, size_t size)
{
  size_t n = 0;

  if (c->starved_ms == 0)
    n = parse_body (c, data, size);
  if (c->phase != PHASE_BODY)
    return size;
  if (c->starved_ms != 0)
    {
      append_input (c, data, size);
      return size;
    }
  if (c->body_complete)
    body_end (c);
  return n;
}

/* Notes that N bytes were read after the last answer.  A client that still
   sends the body which was refused, and only that, is let finish: a reset
   could cost it the answer.  */
static void
note_discarded (struct conn *c, size_t n)
{
  uint64_t now = uv_now (c->srv->loop);

  c->body_bytes += n;
  if (c->body_bytes <= c->srv->limits.body_bytes
      && now - c->body_since_ms < (uint64_t)c->srv->limits.idle_ms)
    c->since_ms = now;
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct conn *c = stream->data;
  const char *data = buf->base;
  size_t left = n > 0 ? (size_t)n : 0;

  if (n == UV_ENOBUFS)
    return;
  if (n < 0)
    {
      conn_close (c, 1);
      return;
    }
  if (n > 0)
    c->moved_ms = uv_now (c->srv->loop);
  if (n > 0 && c->phase == PHASE_LINGER)
    note_discarded (c, (size_t)n);
  while (left > 0 && !c->closing && c->phase != PHASE_LINGER)
    {
      size_t taken = left;
      if (c->phase == PHASE_HEAD)
        taken = take_head (c, data, left);
      else if (c->phase == PHASE_BODY)
        taken = take_body (c, data, left);
      else
        append_input (c, data, left);
      data += taken;
      left -= taken;
    }
  if (c->closing)
    return;
  if (c->phase == PHASE_PROCESSING || c->phase == PHASE_RESPONSE
      || c->is_pipelined)
    {
      if (c->in->len > c->head_length + READ_AHEAD_MAX_BYTES)
        pause_reading (c);
    }
  charge_input (c);
  if (membudget_is_over (c->srv->budget))
    start_work (c->srv);
}

/* Closes the connection that is idle for longest, or one that has stopped in
   the middle of a request.  Returns nonzero when one is closed.  */
static int
close_for_another (struct http_server *srv)
{
  struct conn *found = NULL;
  uint64_t handle = 0;

  while ((handle = slotmap_next (srv->conns, handle)) != 0)
    {
      struct conn *c = slotmap_get (srv->conns, handle);
      if (c->phase != PHASE_HEAD && c->phase != PHASE_LINGER
          && (c->phase != PHASE_BODY || !is_stalled (c)))
        continue;
      /* It may still be taking its answer.  */
      if (c->queue.held > 0 && !is_stalled (c))
        continue;
      if (found == NULL || c->moved_ms < found->moved_ms)
        found = c;
    }
  if (found == NULL)
    return 0;
  conn_close (found, 0);
  return 1;
}

static int
takes_client (struct http_server *srv)
{
  if (membudget_takes_client (srv->budget))
    return 1;
  srv->budget->turned_away++;
  return close_for_another (srv);
}

static void
on_accept (uv_stream_t *listener, int status)
{
  struct http_server *srv = listener->data;
  struct conn *c;

  if (status != 0)
    return;
  c = g_new0 (struct conn, 1);
  c->srv = srv;
  c->in = g_string_sized_new (INPUT_BYTES);
  uv_tcp_init (srv->loop, &c->tcp);
  c->tcp.data = c;
  c->since_ms = c->moved_ms = uv_now (srv->loop);
  c->queue.budget = srv->budget;
  charge_input (c);
  if (uv_accept (listener, (uv_stream_t *)&c->tcp) != 0 || !takes_client (srv)
      || (c->handle = slotmap_add (srv->conns, c)) == 0)
    {
      c->closing = 1;
      uv_close ((uv_handle_t *)&c->tcp, conn_free);
      return;
    }
  if (srv->budget != NULL)
    srv->budget->clients++;
  uv_tcp_nodelay (&c->tcp, 1);
  tcp_set_user_timeout (&c->tcp, TCP_CLIENT_TIMEOUT_MS);
  uv_read_start ((uv_stream_t *)&c->tcp, alloc_read, on_read);
}

struct http_server *
http_server_new (uv_loop_t *loop, const char *address,
                 const struct http_server_ops *ops, void *ctx, struct err *err)
{
  enum
  {
    BACKLOG = 511
  };
  static const struct http_server_limits defaults
      = { 16384, 4194304, 3000, 15000 };
  static const struct http_server_progress progress_default = { 30000, 1000 };
  struct sockaddr_in sa;
  struct http_server *srv;
  int rc;

  if (settings_parse_address (address, &sa) != 0)
    {
      err_set (err, ERR_INVALID, "listen", address, "expected IP:PORT");
      return NULL;
    }
  srv = g_new0 (struct http_server, 1);
  srv->loop = loop;
  srv->ops = *ops;
  srv->ctx = ctx;
  srv->limits = defaults;
  srv->progress = progress_default;
  srv->conns = slotmap_new (SERVER_CONNECTIONS_MAX);
  uv_tcp_init (loop, &srv->listener);
  srv->listener.data = srv;
  rc = uv_tcp_bind (&srv->listener, (struct sockaddr *)&sa, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&srv->listener, BACKLOG, on_accept);
  if (rc == 0)
    {
      tcp_turns_start (&srv->turns, loop);
      uv_idle_init (loop, &srv->work);
      srv->work.data = srv;
      srv->pipelined = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      srv->handles = SERVER_HANDLES;
      return srv;
    }
  err_set (err, ERR_IO, "listen", address, "%s", uv_strerror (rc));
  uv_close ((uv_handle_t *)&srv->listener, NULL);
  slotmap_free (srv->conns);
  g_free (srv);
  return NULL;
}

void
http_server_set_limits (struct http_server *srv,
                        const struct http_server_limits *limits)
{
  srv->limits = *limits;
}

void
http_server_set_progress (struct http_server *srv,
                          const struct http_server_progress *progress)
{
  srv->progress = *progress;
}

void
http_server_set_budget (struct http_server *srv, struct membudget *budget)
{
  srv->budget = budget;
}

GBytes *
http_server_body (const struct http_server *srv, uint64_t conn)
{
  const struct conn *c = slotmap_get (srv->conns, conn);

  return c != NULL && c->bytes != NULL ? g_bytes_ref (c->bytes) : NULL;
}

void
http_server_start_response (struct http_server *srv, uint64_t conn, int status,
                            const char *fields, int64_t length)
{
  struct conn *c = slotmap_get (srv->conns, conn);
  GString *out;

  if (c == NULL)
    return;
  out = g_string_sized_new (512);
  /* Such answers end with their head.  A 204 has no length, and that of a 304
     is of an answer that isn't sent.  */
  if (status == 204 || status == 304)
    {
      c->no_body = 1;
      length = status == 204 ? 0 : MAX (length, 0);
    }
  /* A client may have sent further requests behind this one.  They were read,
     so each gets an answer before the connection ends.  */
  c->keep_alive
      = c->keep_alive && (!srv->draining || c->in->len > c->head_length);
  c->chunked = length == HTTP_SERVER_CHUNKED && c->parser.http_minor > 0;
  c->until_close = length < 0 && !c->chunked;
  if (c->until_close)
    {
      c->keep_alive = 0;
      tcp_set_reset_on_close (&c->tcp, 1);
    }
  g_string_append_printf (out, "HTTP/1.1 %d %s\r\n%s", status,
                          http_status_str ((enum http_status)status),
                          fields ? fields : "");
  if (length > 0 || (length == 0 && !c->no_body))
    g_string_append_printf (out, "Content-Length: %" G_GINT64_FORMAT "\r\n",
                            length);
  else if (c->chunked)
    g_string_append (out, "Transfer-Encoding: chunked\r\n");
  g_string_append (out, c->keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
  c->phase = PHASE_RESPONSE;
  conn_write (c, out->str, out->len);
  g_string_free (out, TRUE);
}

void
http_server_send_body (struct http_server *srv, uint64_t conn,
                       const char *data, size_t size)
{
  struct conn *c = slotmap_get (srv->conns, conn);
  GString *out;

  if (c == NULL || size == 0 || c->no_body)
    return;
  if (!c->chunked)
    {
      conn_write (c, data, size);
      return;
    }
  out = g_string_sized_new (size + 16);
  g_string_append_printf (out, "%zx\r\n", size);
  g_string_append_len (out, data, (gssize)size);
  g_string_append (out, "\r\n");
  conn_write (c, out->str, out->len);
  g_string_free (out, TRUE);
}

static void
on_shutdown (uv_shutdown_t *req, int status)
{
  struct conn *c = req->data;

  /* The whole answer is in the socket.  The client's close ends the
     connection; http_server_check_timeouts bounds the wait.  */
  if (status == 0 && !c->closing)
    {
      c->since_ms = uv_now (c->srv->loop);
      if (c->until_close)
        tcp_set_reset_on_close (&c->tcp, 0);
    }
  g_free (req);
}

/* Sends the queued output and shuts down the sending side.  A close with
   unread input would reset the connection, and the client could lose the
   answer.  */
static void
start_lingering_close (struct conn *c)
{
  uv_shutdown_t *req = g_new0 (uv_shutdown_t, 1);

  c->phase = PHASE_LINGER;
  c->since_ms = c->body_since_ms = uv_now (c->srv->loop);
  c->body_bytes = 0;
  resume_reading (c);
  req->data = c;
  if (uv_shutdown (req, (uv_stream_t *)&c->tcp, on_shutdown) != 0)
    {
      g_free (req);
      conn_close (c, 0);
    }
}

/* Returns for how long a lingering close may last.  A client that is slow to
   read the answer gets more time.  */
static int64_t
linger_ms (const struct conn *c)
{
  return uv_stream_get_write_queue_size ((const uv_stream_t *)&c->tcp) > 0
             ? CLAMP (c->srv->limits.idle_ms, LINGERING_CLOSE_MS,
                      LINGERING_CLOSE_MAX_MS)
             : LINGERING_CLOSE_MS;
}

/* Begins the requests that came before the answer to the one before them.  */
static void
on_work (uv_idle_t *work)
{
  struct http_server *srv = work->data;
  GArray *pipelined = srv->pipelined;
  guint i;

  srv->pipelined = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (i = 0; i < pipelined->len; i++)
    {
      struct conn *c
          = slotmap_get (srv->conns, g_array_index (pipelined, uint64_t, i));
      if (c == NULL || c->phase != PHASE_HEAD)
        continue;
      c->is_pipelined = 0;
      read_head (c);
      if (!c->closing && c->phase == PHASE_BODY)
        read_body (c);
      if (c->closing)
        continue;
      if (c->starved_ms == 0
          && ((c->phase < PHASE_PROCESSING && !c->is_pipelined)
              || c->in->len <= c->head_length + READ_AHEAD_MAX_BYTES))
        resume_reading (c);
      charge_input (c);
    }
  g_array_free (pipelined, TRUE);
  if (membudget_is_over (srv->budget))
    evict (srv);
  if (srv->pipelined->len == 0)
    uv_idle_stop (work);
}

/* Prepares the connection for its next request, which doesn't begin before the
   owner's call has returned.  */
static void
next_request (struct conn *c)
{
  struct http_server *srv = c->srv;

  /* The handle of the request that was answered has no effect on the next.  */
  slotmap_remove (srv->conns, c->handle);
  c->handle = slotmap_add (srv->conns, c);
  body_free (c);
  if (!c->keep_alive)
    {
      g_string_truncate (c->in, 0);
      start_lingering_close (c);
      return;
    }
  c->phase = PHASE_HEAD;
  c->is_pipelined = 0;
  memset (&c->scan, 0, sizeof c->scan);
  c->no_body = 0;
  g_string_erase (c->in, 0, (gssize)c->head_length);
  c->head_length = 0;
  c->since_ms = uv_now (srv->loop);
  if (c->in->len == 0)
    {
      resume_reading (c);
      if (c->in->allocated_len > INPUT_KEPT_BYTES)
        {
          g_string_free (c->in, TRUE);
          c->in = g_string_sized_new (INPUT_BYTES);
          charge_input (c);
        }
      return;
    }
  c->is_pipelined = 1;
  g_array_append_val (srv->pipelined, c->handle);
  start_work (srv);
}

void
http_server_finish_response (struct http_server *srv, uint64_t conn)
{
  struct conn *c = slotmap_get (srv->conns, conn);

  if (c == NULL)
    return;
  if (c->chunked && !c->no_body)
    conn_write (c, "0\r\n\r\n", 5);
  /* Output is missing, so an end in order would be false.  */
  if (c->write_failed && c->until_close)
    http_server_abort_response (srv, conn);
  else if (!c->closing)
    next_request (c);
}

void
http_server_respond (struct http_server *srv, uint64_t conn, int status,
                     const char *fields, const char *body, size_t size)
{
  struct conn *c = slotmap_get (srv->conns, conn);

  if (c == NULL)
    return;
  http_server_start_response (srv, conn, status, fields, (int64_t)size);
  c = slotmap_get (srv->conns, conn);
  if (c == NULL)
    return;
  c->chunked = 0;
  http_server_send_body (srv, conn, body, size);
  http_server_finish_response (srv, conn);
}

void
http_server_abort_response (struct http_server *srv, uint64_t conn)
{
  struct conn *c = slotmap_get (srv->conns, conn);

  if (c == NULL)
    return;
  c->phase = PHASE_HEAD;
  conn_close (c, 0);
}

void
http_server_drain (struct http_server *srv)
{
  srv->draining = 1;
}

void
http_server_close_idle (struct http_server *srv)
{
  uint64_t handle = 0;

  while ((handle = slotmap_next (srv->conns, handle)) != 0)
    {
      struct conn *c = slotmap_get (srv->conns, handle);
      if (c->phase == PHASE_HEAD && c->in->len == 0)
        conn_close (c, 0);
    }
}

static void
handle_closed (struct http_server *srv)
{
  if (--srv->handles > 0)
    return;
  slotmap_free (srv->conns);
  g_array_free (srv->pipelined, TRUE);
  g_free (srv);
}

static void
on_closed (uv_handle_t *handle)
{
  handle_closed (handle->data);
}

static void
on_turns_closed (uv_handle_t *handle)
{
  struct tcp_turns *turns = handle->data;

  handle_closed (
      (struct http_server *)((char *)turns
                             - offsetof (struct http_server, turns)));
}

void
http_server_stop_listening (struct http_server *srv)
{
  if (!srv->listener_closing)
    uv_close ((uv_handle_t *)&srv->listener, on_closed);
  srv->listener_closing = 1;
}

void
http_server_free (struct http_server *srv)
{
  uint64_t handle = 0;

  while ((handle = slotmap_next (srv->conns, handle)) != 0)
    conn_close (slotmap_get (srv->conns, handle), 0);
  http_server_stop_listening (srv);
  tcp_turns_stop (&srv->turns, on_turns_closed);
  uv_close ((uv_handle_t *)&srv->work, on_closed);
}

size_t
http_server_connections (const struct http_server *srv)
{
  return slotmap_count (srv->conns);
}

/* Returns nonzero when a body takes too long.  */
static int
is_body_slow (const struct conn *c)
{
  const struct http_server_progress *progress = &c->srv->progress;
  uint64_t age = uv_now (c->srv->loop) - c->body_since_ms;

  return age > (uint64_t)progress->body_ms
         || (age > BODY_GRACE_MS
             && c->body_bytes * 1000 / age < progress->body_bytes_per_s);
}

/* Goes on with a body that waits for memory, or ends the wait.  */
static void
feed (struct conn *c)
{
  read_body (c);
  if (c->closing || c->phase != PHASE_BODY)
    return;
  if (c->starved_ms == 0)
    resume_reading (c);
  else if (uv_now (c->srv->loop) - c->starved_ms > STARVED_MS)
    refuse_memory (c);
}

/* Notes whether the client has taken output since the last look.  */
static void
note_output (struct conn *c)
{
  size_t unsent
      = uv_stream_get_write_queue_size ((const uv_stream_t *)&c->tcp);

  if (unsent < c->unsent)
    c->moved_ms = uv_now (c->srv->loop);
  c->unsent = unsent;
}

void
http_server_check_timeouts (struct http_server *srv)
{
  uint64_t now = uv_now (srv->loop);
  uint64_t handle = 0;

  if (membudget_is_over (srv->budget))
    start_work (srv);
  while ((handle = slotmap_next (srv->conns, handle)) != 0)
    {
      struct conn *c = slotmap_get (srv->conns, handle);
      int64_t age = (int64_t)(now - c->since_ms);
      note_output (c);
      if (c->phase == PHASE_BODY && is_body_slow (c))
        {
          if (srv->budget != NULL)
            srv->budget->slow++;
          refuse (c, 408, "body not complete in time");
        }
      else if (c->phase == PHASE_BODY && c->starved_ms != 0)
        feed (c);
      else if (c->phase == PHASE_HEAD && c->in->len == 0
               && age > srv->limits.idle_ms)
        conn_close (c, 0);
      else if (c->phase == PHASE_HEAD && c->in->len > 0
               && age > srv->limits.header_ms)
        refuse (c, 408, "head not complete in time");
      else if (c->phase == PHASE_LINGER && age > linger_ms (c))
        conn_close (c, 0);
    }
}
