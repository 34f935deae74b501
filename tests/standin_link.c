/* Stand-in for a network path: accepts TCP connections on --listen and
   forwards each to --to.  Commands are HTTP requests to --control:

   POST /test/link?kind=KIND sets how bytes are forwarded: pass; silent
   (nothing is forwarded and nothing is closed, and bytes wait until the next
   command); delay (each block waits a random time of at most ms).  kind=reset
   resets every connection and forwards new ones.  With peer=NAME the command
   holds only for connections whose first bytes from the caller contain NAME,
   such as the routing id of an entry.  GET /test/stats counts connections.  */

#include "standin.h"

#include <errno.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  BLOCK = 64 << 10,
  HEAD_MAX = 512, /* first bytes of a connection, searched for the name */
  POLL_MS = 20,
  BACKLOG = 128,
  PEER_MAX = 64
};

enum kind
{
  KIND_PASS,
  KIND_SILENT,
  KIND_DELAY,
  KIND_RESET,
  KIND_MAX
};

static const char *const kind_names[KIND_MAX]
    = { "pass", "silent", "delay", "reset" };

static char *listen_address;
static char *to_address;
static char *control_address;

/* Guarded by LOCK.  */
static GMutex lock;
static enum kind kind;
static int delay_ms;
static char peer_name[PEER_MAX]; /* empty: every connection */
static unsigned resets;          /* number of reset commands */
static int connections;
static int open_connections;

struct pair
{
  int fds[2]; /* caller, target */
  int refs;   /* directions in progress, atomic */
  unsigned resets;
  int broken; /* atomic */
  /* Guarded by LOCK.  */
  char head[HEAD_MAX];
  size_t head_size;
};

struct direction
{
  struct pair *pair;
  int from; /* index in the pair's descriptors */
};

static struct sockaddr_in
parse_address (const char *address)
{
  struct sockaddr_in sin = { .sin_family = AF_INET };
  char **parts = g_strsplit (address, ":", 2);

  inet_pton (AF_INET, parts[0], &sin.sin_addr);
  sin.sin_port = htons ((uint16_t)atoi (parts[1]));
  g_strfreev (parts);
  return sin;
}

/* Whether the command in force holds for PAIR; LOCK is held.  */
static int
is_meant (const struct pair *pair)
{
  return peer_name[0] == '\0'
         || memmem (pair->head, pair->head_size, peer_name, strlen (peer_name))
                != NULL;
}

/* Returns what holds for PAIR now.  */
static enum kind
kind_of (struct pair *pair, int *ms)
{
  enum kind now;

  g_mutex_lock (&lock);
  now = is_meant (pair) ? kind : KIND_PASS;
  if (pair->resets != resets && is_meant (pair))
    now = KIND_RESET;
  *ms = delay_ms;
  g_mutex_unlock (&lock);
  if (g_atomic_int_get (&pair->broken))
    now = KIND_RESET;
  return now;
}

static void
add_head (struct pair *pair, const char *block, size_t size)
{
  g_mutex_lock (&lock);
  size = MIN (size, HEAD_MAX - pair->head_size);
  memcpy (pair->head + pair->head_size, block, size);
  pair->head_size += size;
  g_mutex_unlock (&lock);
}

/* Waits until bytes may be sent.  Returns -1 when the connection is reset.  */
static int
wait_turn (struct pair *pair, int is_block)
{
  enum kind now;
  int ms;

  while ((now = kind_of (pair, &ms)) == KIND_SILENT)
    g_usleep (POLL_MS * 1000UL);
  if (now == KIND_DELAY && is_block && ms > 0)
    {
      g_usleep ((gulong)g_random_int_range (0, ms + 1) * 1000);
      return wait_turn (pair, 0);
    }
  return now == KIND_RESET ? -1 : 0;
}

static int
send_all (int fd, const char *block, size_t size)
{
  ssize_t n;

  for (; size > 0; block += n, size -= (size_t)n)
    if ((n = send (fd, block, size, MSG_NOSIGNAL)) <= 0)
      return -1;
  return 0;
}

/* Forwards one block.  Returns 1 to go on, 0 at the end, -1 on a reset.  */
static int
forward_block (struct direction *direction, char *block)
{
  struct pair *pair = direction->pair;
  int from = pair->fds[direction->from];
  int to = pair->fds[!direction->from];
  struct pollfd item = { .fd = from, .events = POLLIN };
  ssize_t n;

  if (wait_turn (pair, 0) != 0)
    return -1;
  if (poll (&item, 1, POLL_MS) == 0)
    return 1;
  n = recv (from, block, BLOCK, 0);
  if (n < 0)
    return -1;
  if (direction->from == 0 && n > 0)
    add_head (pair, block, (size_t)n);
  if (wait_turn (pair, 1) != 0)
    return -1;
  if (n == 0)
    {
      shutdown (to, SHUT_WR);
      return 0;
    }
  return send_all (to, block, (size_t)n) == 0 ? 1 : -1;
}

static void
close_pair (struct pair *pair)
{
  const struct linger now = { 1, 0 };
  int i;

  for (i = 0; i < 2; i++)
    {
      if (g_atomic_int_get (&pair->broken))
        setsockopt (pair->fds[i], SOL_SOCKET, SO_LINGER, &now, sizeof now);
      close (pair->fds[i]);
    }
  g_mutex_lock (&lock);
  open_connections--;
  g_mutex_unlock (&lock);
  g_free (pair);
}

static gpointer
forward (gpointer ctx)
{
  struct direction *direction = ctx;
  struct pair *pair = direction->pair;
  char *block = g_malloc (BLOCK);
  int rc;

  while ((rc = forward_block (direction, block)) > 0)
    ;
  if (rc < 0)
    g_atomic_int_set (&pair->broken, 1);
  if (g_atomic_int_dec_and_test (&pair->refs))
    close_pair (pair);
  g_free (block);
  g_free (direction);
  return NULL;
}

static void
start_direction (struct pair *pair, int from)
{
  struct direction *direction = g_new0 (struct direction, 1);

  direction->pair = pair;
  direction->from = from;
  g_thread_unref (g_thread_new ("forward", forward, direction));
}

static void
open_pair (int caller)
{
  struct sockaddr_in sin = parse_address (to_address);
  struct pair *pair;
  int target = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (connect (target, (struct sockaddr *)&sin, sizeof sin) != 0)
    {
      close (target);
      close (caller);
      return;
    }
  pair = g_new0 (struct pair, 1);
  pair->fds[0] = caller;
  pair->fds[1] = target;
  pair->refs = 2;
  g_mutex_lock (&lock);
  pair->resets = resets;
  connections++;
  open_connections++;
  g_mutex_unlock (&lock);
  start_direction (pair, 0);
  start_direction (pair, 1);
}

static gpointer
accept_callers (gpointer ctx)
{
  int fd = GPOINTER_TO_INT (ctx);
  int caller;

  for (;;)
    {
      caller = accept4 (fd, NULL, NULL, SOCK_CLOEXEC);
      if (caller >= 0)
        open_pair (caller);
      else if (errno != EINTR && errno != ECONNABORTED)
        g_usleep (POLL_MS * 1000UL);
    }
  return NULL;
}

static enum MHD_Result
settings_kind (struct standin_request *request)
{
  const char *name = standin_argument (request, "kind");
  const char *ms = standin_argument (request, "ms");
  const char *peer = standin_argument (request, "peer");
  int i;

  for (i = 0; i < KIND_MAX && g_strcmp0 (name, kind_names[i]) != 0; i++)
    ;
  if (i == KIND_MAX)
    return standin_send (request->connection, MHD_HTTP_BAD_REQUEST,
                         "{\"error\":\"unknown kind\"}\n");
  g_mutex_lock (&lock);
  kind = i == KIND_RESET ? KIND_PASS : (enum kind)i;
  resets += i == KIND_RESET;
  delay_ms = ms != NULL ? atoi (ms) : 0;
  g_strlcpy (peer_name, peer != NULL ? peer : "", sizeof peer_name);
  g_mutex_unlock (&lock);
  return standin_send (request->connection, MHD_HTTP_OK, "{}\n");
}

static enum MHD_Result
send_stats (struct standin_request *request)
{
  struct json_object *root = json_object_new_object ();

  g_mutex_lock (&lock);
  json_object_object_add (root, "kind",
                          json_object_new_string (kind_names[kind]));
  json_object_object_add (root, "connections",
                          json_object_new_int (connections));
  json_object_object_add (root, "open",
                          json_object_new_int (open_connections));
  g_mutex_unlock (&lock);
  return standin_send_json (request->connection, MHD_HTTP_OK, root);
}

static enum MHD_Result
answer (struct standin_request *request)
{
  if (strcmp (request->url, "/test/link") == 0)
    return settings_kind (request);
  if (strcmp (request->url, "/test/stats") == 0)
    return send_stats (request);
  return standin_send (request->connection, MHD_HTTP_NOT_FOUND, "{}\n");
}

int
main (int argc, char **argv)
{
  const GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &listen_address, "Address", "A" },
    { "to", 0, 0, G_OPTION_ARG_STRING, &to_address, "Target", "A" },
    { "control", 0, 0, G_OPTION_ARG_STRING, &control_address, "Commands",
      "A" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *options = g_option_context_new (NULL);
  struct sockaddr_in sin;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, NULL)
      || listen_address == NULL || to_address == NULL
      || control_address == NULL)
    {
      fputs ("usage: standin-link --listen A --to A --control A\n", stderr);
      return 2;
    }
  g_option_context_free (options);
  sin = parse_address (listen_address);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&sin, sizeof sin) != 0
      || listen (fd, BACKLOG) != 0)
    {
      perror (listen_address);
      return EXIT_FAILURE;
    }
  g_thread_unref (
      g_thread_new ("accept", accept_callers, GINT_TO_POINTER (fd)));
  return standin_serve (control_address, answer);
}
