#include "http_client.h"

#include <string.h>

#include "event_log.h"
#include "goldcresthatch/settings.h"
#include "goldcresthatch/slotmap.h"
#include "tcp.h"

enum
{
  CALLS_MAX = 3600, /* below the descriptor limit of a small VM */
  RESPONSE_HEAD_MAX_BYTES = 64 * 1024, /* head of an answer */
  INFORMATIONAL_MAX = 16,              /* heads with status 1xx of an answer */
  /* A connection holds at most one answer of each request sent before.  */
  SKIPPED_MAX = 4,
  SKIPPED_MAX_BYTES = 1024 * 1024,
  /* Of chunk heads and trailers beside a byte of the body.  */
  CHUNK_HEAD_MAX_BYTES = 64 * 1024,
  BODY_READ_MAX_BYTES = 64 * 1024, /* of one read, which may end a chunk */
  INPUT_BYTES = 1024,              /* usual size of what isn't parsed */
  INPUT_KEPT_BYTES = 16 * 1024,
  READ_SLOW_MS = 50, /* in which no other connection is served */
  IDLE_MS = 4000, /* default; shorter than the usual idle timeout of servers */
  /* A connection is kept for one half of the time that the server states.  */
  KEEP_ALIVE_DIVISOR = 2
};

struct peer
{
  char *name;
  unsigned total;
  unsigned busy;
  GQueue idle; /* struct conn, the most recently used at the head */
};

struct conn
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  struct http_client *cli;
  struct peer *peer;
  uint64_t call; /* 0 when idle */
  int connected;
  int sent;
  int closing;
  int in_body;
  int body_complete;
  int skip_answer;
  int reused;  /* it has carried a request before */
  int is_head; /* the request is a HEAD */
  unsigned informational;
  unsigned skipped;
  size_t body_bytes;  /* of this answer */
  size_t other_bytes; /* received since the last byte of a body or head */
  GString *request;   /* until the connection is established */
  GBytes *body;       /* the same, or null */
  struct tcp_queue queue;
  GString *in; /* input that hasn't been parsed */
  struct http_head_progress scan;
  struct http_head head;
  http_parser parser;
  struct http_client_ops ops;
  void *ctx;
  uint64_t read_turn; /* of the loop, in which it was last read */
  uint64_t connect_by_ms;
  uint64_t answer_by_ms; /* 0: no limit */
  uint64_t idle_since_ms;
  uint64_t idle_until_ms;
  int64_t keep_ms;
};

struct http_client
{
  uv_loop_t *loop;
  struct slotmap *calls;
  GHashTable *peers;
  struct tcp_turns turns;
  struct membudget *budget;
  GString *decoded; /* bytes of a body, without chunks, of the read at hand */
};

static void
peer_remove_unused (struct http_client *cli, struct peer *peer)
{
  if (peer->total > 0)
    return;
  g_hash_table_remove (cli->peers, peer->name);
  g_queue_clear (&peer->idle);
  g_free (peer->name);
  g_free (peer);
}

static void
conn_free (uv_handle_t *handle)
{
  struct conn *c = handle->data;

  if (c->request != NULL)
    g_string_free (c->request, TRUE);
  if (c->body != NULL)
    g_bytes_unref (c->body);
  if (c->in != NULL)
    g_string_free (c->in, TRUE);
  g_free (c);
}

static void
conn_close (struct conn *c)
{
  struct peer *peer = c->peer;

  if (c->closing)
    return;
  c->closing = 1;
  if (c->call == 0)
    g_queue_remove (&peer->idle, c);
  else
    {
      slotmap_remove (c->cli->calls, c->call);
      peer->busy--;
    }
  c->call = 0;
  peer->total--;
  if (c->cli->budget != NULL)
    c->cli->budget->peers--;
  peer_remove_unused (c->cli, peer);
  uv_close ((uv_handle_t *)&c->tcp, conn_free);
}

static void
conn_fail (struct conn *c)
{
  struct http_client_ops ops = c->ops;
  void *ctx = c->ctx;
  enum http_client_result end
      = c->sent ? HTTP_CLIENT_BROKEN : HTTP_CLIENT_NOT_SENT;
  int notify = c->call != 0 && !c->closing;

  conn_close (c);
  if (notify)
    ops.done (ctx, end);
}

/* Puts the connection back into the idle queue, or closes it, and then reports
   END.  */
static void
conn_complete (struct conn *c, enum http_client_result end)
{
  struct http_client_ops ops = c->ops;
  void *ctx = c->ctx;

  if (c->keep_ms <= 0 || c->queue.failed)
    conn_close (c);
  else
    {
      slotmap_remove (c->cli->calls, c->call);
      c->call = 0;
      c->peer->busy--;
      c->idle_since_ms = uv_now (c->cli->loop);
      c->idle_until_ms = uv_now (c->cli->loop) + (uint64_t)c->keep_ms;
      g_string_free (c->in, TRUE);
      c->in = NULL;
      g_queue_push_head (&c->peer->idle, c);
    }
  ops.done (ctx, end);
}

/* Logs that the peer sends more than LIMIT of WHAT.  Returns -1.  */
static int
log_excess (const struct conn *c, const char *what, size_t limit)
{
  event_log_write ("answer_excess", NULL,
                   "\"peer\":\"%s\",\"what\":\"%s\",\"limit\":%zu",
                   c->peer->name, what, limit);
  return -1;
}

static int
on_body (http_parser *parser, const char *at, size_t n)
{
  struct conn *c = parser->data;

  c->other_bytes = 0;
  c->body_bytes += n;
  if (c->skip_answer && c->body_bytes > SKIPPED_MAX_BYTES)
    return log_excess (c, "bytes of a skipped answer", SKIPPED_MAX_BYTES);
  if (!c->skip_answer && c->ops.body_max > 0
      && c->body_bytes > c->ops.body_max)
    return log_excess (c, "bytes of a body", c->ops.body_max);
  if (!c->skip_answer)
    g_string_append_len (c->cli->decoded, at, (gssize)n);
  return 0;
}

/* Passes the decoded bytes to the owner.  Returns 0, or -1 when that has
   cancelled the call.  */
static int
pass_body (struct conn *c)
{
  GString *decoded = c->cli->decoded;
  uint64_t call = c->call;

  if (decoded->len == 0)
    return 0;
  c->ops.body (c->ctx, decoded->str, decoded->len);
  g_string_truncate (decoded, 0);
  return c->closing || c->call != call ? -1 : 0;
}

/* Returns for how long the connection may be kept after this answer.  */
static int64_t
keep_ms (struct conn *c)
{
  struct http_str value = http_head_get (&c->head, "keep-alive");
  const char *at;
  struct http_str digits;
  long long seconds;

  if (!http_should_keep_alive (&c->parser))
    return 0;
  at = value.p == NULL ? NULL
                       : g_strstr_len (value.p, (gssize)value.n, "timeout=");
  if (at == NULL)
    return IDLE_MS;
  digits.p = at + strlen ("timeout=");
  digits.n = 0;
  while (digits.p + digits.n < value.p + value.n
         && g_ascii_isdigit (digits.p[digits.n]))
    digits.n++;
  if (http_str_number (digits, &seconds) != 0)
    return IDLE_MS;
  return seconds * 1000 / KEEP_ALIVE_DIVISOR;
}

static void
begin_head (struct conn *c)
{
  http_parser_init (&c->parser, HTTP_RESPONSE);
  c->parser.data = c;
  memset (&c->scan, 0, sizeof c->scan);
  c->in_body = 0;
  c->body_complete = 0;
  c->skip_answer = 0;
  c->body_bytes = 0;
  c->other_bytes = 0;
}

/* Reads the heads up to that of the final answer.  Returns 0 when it is read,
   1 when more is needed, -1 on a failure.  */
static int
read_head (struct conn *c)
{
  enum http_client_verdict verdict;
  size_t length;
  uint64_t call = c->call;

  for (;;)
    {
      enum http_head_result result
          = http_head_scan (&c->scan, c->in->str, c->in->len,
                            RESPONSE_HEAD_MAX_BYTES, 0, &length);
      if (result == HTTP_HEAD_PARTIAL)
        return 1;
      if (result == HTTP_HEAD_TOO_LARGE)
        return log_excess (c, "bytes of a head", RESPONSE_HEAD_MAX_BYTES);
      if (result != HTTP_HEAD_OK
          || (c->is_head ? http_head_parse_to_head : http_head_parse) (
                 &c->parser, c->in->str, length, &c->head)
                 != 0)
        return -1;
      if (c->head.status >= 200)
        break;
      if (++c->informational > INFORMATIONAL_MAX)
        return log_excess (c, "informational answers", INFORMATIONAL_MAX);
      g_string_erase (c->in, 0, (gssize)length);
      begin_head (c);
    }
  c->keep_ms = keep_ms (c);
  verdict = c->ops.head (c->ctx, &c->head);
  if (c->closing || c->call != call || verdict == HTTP_CLIENT_REJECT)
    return -1;
  c->skip_answer = verdict == HTTP_CLIENT_SKIP;
  if (c->skip_answer && ++c->skipped > SKIPPED_MAX)
    return log_excess (c, "skipped answers", SKIPPED_MAX);
  g_string_erase (c->in, 0, (gssize)length);
  c->in_body = 1;
  c->body_complete = c->head.complete;
  return 0;
}

/* Counts N bytes that were parsed after the last byte of the body: chunk heads
   and trailers.  Returns 0, or -1 when they don't seem to end.  */
static int
check_chunk_heads (struct conn *c, size_t n)
{
  c->other_bytes += n;
  if (c->other_bytes <= CHUNK_HEAD_MAX_BYTES + BODY_READ_MAX_BYTES)
    return 0;
  return log_excess (c, "bytes of a chunk's head", CHUNK_HEAD_MAX_BYTES);
}

static void
process_input (struct conn *c)
{
  size_t n;
  int rc;

  for (;;)
    {
      if (!c->in_body)
        {
          rc = read_head (c);
          if (rc < 0)
            conn_fail (c);
          if (rc != 0)
            return;
        }
      n = 0;
      if (!c->body_complete && c->in->len > 0)
        n = http_head_parse_body (&c->parser, c->in->str, c->in->len, on_body,
                                  &c->body_complete);
      if (pass_body (c) != 0)
        return;
      if (!c->body_complete
          && (HTTP_PARSER_ERRNO (&c->parser) != HPE_OK
              || check_chunk_heads (c, n) != 0))
        {
          conn_fail (c);
          return;
        }
      g_string_erase (c->in, 0, (gssize)n);
      if (!c->body_complete)
        return;
      if (!c->skip_answer)
        break;
      begin_head (c);
      if (c->in->len == 0)
        return;
    }
  if (c->in->len > 0)
    c->keep_ms = 0;
  conn_complete (c, HTTP_CLIENT_COMPLETE);
}

/* Handles the end of the connection.  It ends the answer only if the peer has
   read the request to its end: otherwise it may as well be a reset.  */
static void
handle_eof (struct conn *c)
{
  uint64_t call = c->call;
  char rest[4096];
  ssize_t n;

  while ((n = tcp_read_rest ((uv_stream_t *)&c->tcp, rest, sizeof rest)) > 0)
    {
      g_string_append_len (c->in, rest, n);
      process_input (c);
      if (c->closing || c->call != call)
        return;
    }
  c->keep_ms = 0;
  if (n == 0 && c->in_body && !c->skip_answer
      && c->head.framing == HTTP_FRAMING_CONNECTION
      && tcp_is_all_received ((const uv_stream_t *)&c->tcp, &c->queue)
      && http_head_parse_body (&c->parser, NULL, 0, on_body, &c->body_complete)
             == 0
      && c->body_complete)
    conn_complete (c, HTTP_CLIENT_CLOSED);
  else
    conn_fail (c);
}

/* Logs that the N bytes of a read took long.  */
static void
log_slow_read (const struct conn *c, ssize_t n, uint64_t took_ms)
{
  event_log_write ("read_slow", NULL,
                   "\"peer\":\"%s\",\"bytes\":%zd,\"body\":%zu,\"other\":"
                   "%zu,\"ms\":%" G_GUINT64_FORMAT,
                   c->closing ? "" : c->peer->name, n, c->body_bytes,
                   c->other_bytes, took_ms);
}

static void
alloc_read (uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
  struct conn *c = handle->data;

  (void)hint;
  tcp_alloc_in_turn (&c->cli->turns, &c->read_turn, buf);
}

/* Frees the room for a long read, so that answers in progress don't each hold
   it.  */
static void
shrink_input (struct conn *c)
{
  if (c->closing || c->in == NULL || c->in->len > 0
      || c->in->allocated_len <= INPUT_KEPT_BYTES)
    return;
  g_string_free (c->in, TRUE);
  c->in = g_string_sized_new (INPUT_BYTES);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct conn *c = stream->data;

  if (n == 0 || n == UV_ENOBUFS || c->closing)
    return;
  if (c->call == 0)
    {
      conn_close (c);
      return;
    }
  if (n > 0)
    {
      uint64_t began = uv_hrtime ();
      uint64_t took_ms;

      g_string_append_len (c->in, buf->base, n);
      process_input (c);
      shrink_input (c);
      /* A closed connection is freed by the loop, after this callback.  */
      took_ms = (uv_hrtime () - began) / 1000000;
      if (took_ms >= READ_SLOW_MS)
        log_slow_read (c, n, took_ms);
      return;
    }
  if (n == UV_EOF)
    {
      handle_eof (c);
      return;
    }
  c->keep_ms = 0;
  conn_fail (c);
}

static void
send_request (struct conn *c)
{
  /* From here on the peer may have received the request.  */
  c->sent = 1;
  if (tcp_write_bytes ((uv_stream_t *)&c->tcp, &c->queue, c->request->str,
                       c->request->len, c->body)
      != 0)
    {
      conn_fail (c);
      return;
    }
  g_string_free (c->request, TRUE);
  c->request = NULL;
  if (c->body != NULL)
    g_bytes_unref (c->body);
  c->body = NULL;
}

static void
on_connect (uv_connect_t *req, int status)
{
  struct conn *c = req->data;

  if (c->closing)
    return;
  if (status != 0)
    {
      conn_fail (c);
      return;
    }
  c->connected = 1;
  uv_tcp_nodelay (&c->tcp, 1);
  tcp_set_user_timeout (&c->tcp, TCP_USER_TIMEOUT_MS);
  uv_read_start ((uv_stream_t *)&c->tcp, alloc_read, on_read);
  send_request (c);
}

static struct peer *
peer_get (struct http_client *cli, const char *name)
{
  struct peer *peer = g_hash_table_lookup (cli->peers, name);

  if (peer != NULL)
    return peer;
  peer = g_new0 (struct peer, 1);
  peer->name = g_strdup (name);
  g_queue_init (&peer->idle);
  g_hash_table_insert (cli->peers, peer->name, peer);
  return peer;
}

static struct conn *
conn_open (struct http_client *cli, struct peer *peer, const char *address,
           int64_t connect_ms)
{
  struct sockaddr_in sa;
  struct conn *c;

  if (settings_parse_address (address, &sa) != 0)
    return NULL;
  c = g_new0 (struct conn, 1);
  c->cli = cli;
  c->peer = peer;
  c->queue.budget = cli->budget;
  c->connect_by_ms = uv_now (cli->loop) + (uint64_t)connect_ms;
  uv_tcp_init (cli->loop, &c->tcp);
  c->tcp.data = c;
  c->connect.data = c;
  if (uv_tcp_connect (&c->connect, &c->tcp, (struct sockaddr *)&sa, on_connect)
      != 0)
    {
      c->closing = 1;
      uv_close ((uv_handle_t *)&c->tcp, conn_free);
      return NULL;
    }
  peer->total++;
  if (cli->budget != NULL)
    cli->budget->peers++;
  return c;
}

struct http_client *
http_client_new (uv_loop_t *loop)
{
  struct http_client *cli = g_new0 (struct http_client, 1);

  cli->loop = loop;
  cli->calls = slotmap_new (CALLS_MAX);
  cli->peers = g_hash_table_new (g_str_hash, g_str_equal);
  tcp_turns_start (&cli->turns, loop);
  cli->decoded = g_string_sized_new (BODY_READ_MAX_BYTES);
  return cli;
}

void
http_client_set_budget (struct http_client *cli, struct membudget *budget)
{
  cli->budget = budget;
}

/* Returns nonzero when another connection may be opened for a request; the one
   that is idle for longest yields to it.  */
static int
takes_request (struct http_client *cli)
{
  struct conn *longest = NULL;
  GHashTableIter iter;
  gpointer value;

  if (membudget_takes_peer (cli->budget))
    return 1;
  g_hash_table_iter_init (&iter, cli->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct conn *c = g_queue_peek_tail (&((struct peer *)value)->idle);
      if (c != NULL
          && (longest == NULL || c->idle_since_ms < longest->idle_since_ms))
        longest = c;
    }
  if (longest == NULL)
    return 0;
  conn_close (longest);
  return 1;
}

static uint64_t
begin_call (struct http_client *cli, const char *address,
            const char *peer_name, const char *head, size_t size, GBytes *body,
            int64_t connect_ms, int64_t max_idle_ms, int is_request,
            const struct http_client_ops *ops, void *ctx)
{
  struct peer *peer = peer_get (cli, peer_name);
  struct conn *c = g_queue_peek_head (&peer->idle);
  uint64_t call;

  /* The head of the queue has been idle for the shortest time.  */
  if (c != NULL
      && uv_now (cli->loop) - c->idle_since_ms <= (uint64_t)max_idle_ms)
    g_queue_pop_head (&peer->idle);
  else
    {
      struct conn *idle_longest = g_queue_peek_tail (&peer->idle);

      c = idle_longest != NULL || !is_request || takes_request (cli)
              ? conn_open (cli, peer, address, connect_ms)
              : NULL;
      /* Otherwise idle connections would exceed what the peer accepts.  */
      if (c != NULL && idle_longest != NULL)
        conn_close (idle_longest);
    }
  if (c == NULL)
    {
      peer_remove_unused (cli, peer);
      return 0;
    }
  call = slotmap_add (cli->calls, c);
  if (call == 0)
    {
      if (c->connected)
        g_queue_push_head (&peer->idle, c);
      else
        conn_close (c);
      return 0;
    }
  peer->busy++;
  c->call = call;
  c->ops = *ops;
  c->ctx = ctx;
  c->sent = 0;
  c->reused = c->connected;
  c->is_head = g_str_has_prefix (head, "HEAD ");
  c->informational = 0;
  c->skipped = 0;
  c->answer_by_ms
      = ops->answer_ms > 0 ? uv_now (cli->loop) + (uint64_t)ops->answer_ms : 0;
  c->in = g_string_sized_new (INPUT_BYTES);
  begin_head (c);
  if (!c->connected)
    {
      c->request = g_string_new_len (head, (gssize)size);
      c->body = body != NULL ? g_bytes_ref (body) : NULL;
      return call;
    }
  c->sent = 1;
  /* The next read by the loop reports the failure to the owner.  */
  if (tcp_write_bytes ((uv_stream_t *)&c->tcp, &c->queue, head, size, body)
      != 0)
    uv_read_start ((uv_stream_t *)&c->tcp, alloc_read, on_read);
  return call;
}

uint64_t
http_client_call (struct http_client *cli, const char *address,
                  const char *peer, const char *request, size_t size,
                  int64_t connect_ms, int64_t max_idle_ms,
                  const struct http_client_ops *ops, void *ctx)
{
  return begin_call (cli, address, peer, request, size, NULL, connect_ms,
                     max_idle_ms, 0, ops, ctx);
}

uint64_t
http_client_send (struct http_client *cli, const char *address,
                  const char *peer, const char *head, size_t size,
                  GBytes *body, int64_t connect_ms, int64_t max_idle_ms,
                  const struct http_client_ops *ops, void *ctx)
{
  return begin_call (cli, address, peer, head, size, body, connect_ms,
                     max_idle_ms, 1, ops, ctx);
}

int
http_client_is_reused (const struct http_client *cli, uint64_t call)
{
  const struct conn *c = slotmap_get (cli->calls, call);

  return c != NULL && c->reused;
}

void
http_client_cancel (struct http_client *cli, uint64_t call)
{
  struct conn *c = slotmap_get (cli->calls, call);

  if (c != NULL)
    conn_close (c);
}

unsigned
http_client_connections (const struct http_client *cli, const char *peer_name,
                         unsigned *busy)
{
  const struct peer *peer = g_hash_table_lookup (cli->peers, peer_name);

  *busy = peer != NULL ? peer->busy : 0;
  return peer != NULL ? peer->total : 0;
}

void
http_client_close_idle (struct http_client *cli, const char *peer_name)
{
  struct peer *peer = g_hash_table_lookup (cli->peers, peer_name);
  GList *idle;

  if (peer == NULL)
    return;
  idle = g_list_copy (peer->idle.head);
  g_list_foreach (idle, (GFunc)(void (*) (void))conn_close, NULL);
  g_list_free (idle);
}

static void
close_idle (struct http_client *cli, struct peer *peer, GPtrArray *expired)
{
  uint64_t now = uv_now (cli->loop);
  GList *node;

  for (node = peer->idle.head; node != NULL; node = node->next)
    if (((struct conn *)node->data)->idle_until_ms < now)
      g_ptr_array_add (expired, node->data);
}

void
http_client_check_timeouts (struct http_client *cli)
{
  GPtrArray *expired = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer peer;
  uint64_t now = uv_now (cli->loop);
  uint64_t call = 0;
  guint i;

  g_hash_table_iter_init (&iter, cli->peers);
  while (g_hash_table_iter_next (&iter, NULL, &peer))
    close_idle (cli, peer, expired);
  for (i = 0; i < expired->len; i++)
    conn_close (g_ptr_array_index (expired, i));
  g_ptr_array_set_size (expired, 0);
  while ((call = slotmap_next (cli->calls, call)) != 0)
    {
      struct conn *c = slotmap_get (cli->calls, call);
      if ((!c->connected && c->connect_by_ms < now)
          || (c->answer_by_ms != 0 && c->answer_by_ms < now))
        g_ptr_array_add (expired, c);
    }
  for (i = 0; i < expired->len; i++)
    conn_fail (g_ptr_array_index (expired, i));
  g_ptr_array_free (expired, TRUE);
}
