#include "goldcresthatch/net.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#include "goldcresthatch/metric.h"
#include "goldcresthatch/log.h"
#include "net_auth.h"

enum
{
  IDENTITY_BYTES = 128,        /* a ZeroMQ routing id */
  PEERS_MAX = 4096,            /* identities in an agent's table */
  HIGH_WATER_MARK = 10000,     /* messages queued to one peer */
  MALFORMED_LOG_PERIOD_S = 60, /* one line for each peer */
  RECEIVE_BATCH = 256,         /* messages between two queue checks */
  COMMAND_BATCH = 256,         /* commands between two receptions */
  /* Queued here when net_send_wait waits; a few times what one turn sends.  */
  QUEUE_MAX_BYTES = 4 << 20
};

enum command_kind
{
  COMMAND_CONNECT,
  COMMAND_DISCONNECT,
  COMMAND_SEND,
  COMMAND_STOP
};

struct command
{
  enum command_kind kind;
  uint64_t peer;
  char address[ERR_PEER_BYTES];
  void *data;
  size_t size;
};

struct peer
{
  uint64_t handle;
  void *socket;  /* of the entry's side */
  void *monitor; /* events of SOCKET */
  char name[IDENTITY_BYTES];
  size_t name_size;
  gint64 malformed_logged_us;
  gint64 last_received_us;
};

struct net
{
  const struct net_ops *ops;
  void *ctx;
  void *zmq;
  void *router;          /* of the agent's side */
  struct net_auth *auth; /* of an agent with keys */
  struct net_keys keys;  /* of an entry; empty without */
  char identity[IDENTITY_BYTES];
  int wake_fd;
  pthread_t thread;

  pthread_mutex_t lock; /* guards the members up to next_handle */
  pthread_cond_t room;  /* the queue has become shorter */
  GQueue queue;
  size_t queued_bytes;
  int closing;
  uint64_t next_handle;

  /* Used by the network thread only.  */
  GHashTable *by_handle;
  GHashTable *by_name;
  GPtrArray *order; /* peers in the order of the poll items */
};

static void
peer_free (gpointer data)
{
  struct peer *peer = data;

  if (peer->socket != NULL)
    {
      zmq_socket_monitor (peer->socket, NULL, 0);
      zmq_close (peer->monitor);
      zmq_close (peer->socket);
    }
  free (peer);
}

static void
command_free (struct command *command)
{
  free (command->data);
  free (command);
}

static void
wake (struct net *net)
{
  uint64_t one = 1;

  if (write (net->wake_fd, &one, sizeof one) < 0)
    log_write (LOG_LEVEL_ERROR, NULL, "net-wake", NULL,
               "cannot wake the network thread: %s", strerror (errno));
}

static void
queue_command (struct net *net, struct command *command)
{
  pthread_mutex_lock (&net->lock);
  g_queue_push_tail (&net->queue, command);
  net->queued_bytes += sizeof *command + command->size;
  pthread_mutex_unlock (&net->lock);
  wake (net);
}

static struct command *
take_command (struct net *net)
{
  struct command *command;

  pthread_mutex_lock (&net->lock);
  command = g_queue_pop_head (&net->queue);
  if (command != NULL)
    net->queued_bytes -= sizeof *command + command->size;
  pthread_cond_broadcast (&net->room);
  pthread_mutex_unlock (&net->lock);
  return command;
}

static void
set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static void
set_limits (void *socket)
{
  int64_t size_max = MSG_MAX_BYTES;

  zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &size_max, sizeof size_max);
  set_int (socket, ZMQ_SNDHWM, HIGH_WATER_MARK);
  set_int (socket, ZMQ_RCVHWM, HIGH_WATER_MARK);
}

/* Watches the socket of PEER for a broken connection.  */
static void
open_monitor (struct net *net, struct peer *peer)
{
  char endpoint[ERR_PEER_BYTES];

  snprintf (endpoint, sizeof endpoint, "inproc://monitor-%llu",
            (unsigned long long)peer->handle);
  zmq_socket_monitor (peer->socket, endpoint, ZMQ_EVENT_DISCONNECTED);
  peer->monitor = zmq_socket (net->zmq, ZMQ_PAIR);
  set_int (peer->monitor, ZMQ_LINGER, 0);
  zmq_connect (peer->monitor, endpoint);
}

static void
do_connect (struct net *net, const struct command *command)
{
  struct peer *peer = calloc (1, sizeof *peer);
  char endpoint[ERR_PEER_BYTES + 8];

  snprintf (endpoint, sizeof endpoint, "tcp://%s", command->address);
  peer->handle = command->peer;
  peer->name_size = (size_t)snprintf (peer->name, sizeof peer->name, "%s",
                                      command->address);
  peer->socket = zmq_socket (net->zmq, ZMQ_DEALER);
  set_limits (peer->socket);
  set_int (peer->socket, ZMQ_LINGER, 0);
  /* Without ZMQ_IMMEDIATE a call queued for an absent agent would be delivered
     when the agent returns, however late.  */
  set_int (peer->socket, ZMQ_IMMEDIATE, 1);
  zmq_setsockopt (peer->socket, ZMQ_ROUTING_ID, net->identity,
                  strlen (net->identity));
  if (net->keys.public_key[0] != '\0')
    net_auth_configure_client (peer->socket, &net->keys);
  open_monitor (net, peer);
  if (zmq_connect (peer->socket, endpoint) != 0)
    log_write (LOG_LEVEL_WARN, NULL, "connect", command->address,
               "cannot connect to the agent: %s", zmq_strerror (errno));
  g_hash_table_insert (net->by_handle, &peer->handle, peer);
  g_ptr_array_add (net->order, peer);
}

static void
do_disconnect (struct net *net, uint64_t handle)
{
  struct peer *peer = g_hash_table_lookup (net->by_handle, &handle);

  if (peer == NULL)
    return;
  g_ptr_array_remove (net->order, peer);
  g_hash_table_remove (net->by_handle, &handle);
}

static int
send_frame (struct net *net, const struct peer *peer,
            const struct command *command)
{
  if (peer->socket != NULL)
    return zmq_send (peer->socket, command->data, command->size, ZMQ_DONTWAIT);
  if (zmq_send (net->router, peer->name, peer->name_size,
                ZMQ_SNDMORE | ZMQ_DONTWAIT)
      < 0)
    return -1;
  return zmq_send (net->router, command->data, command->size, ZMQ_DONTWAIT);
}

static void
do_send (struct net *net, const struct command *command)
{
  struct peer *peer = g_hash_table_lookup (net->by_handle, &command->peer);
  struct msg msg;

  if (peer != NULL && send_frame (net, peer, command) >= 0)
    {
      metric_add (METRIC_MESSAGES_OUT, 1);
      metric_add (METRIC_MESSAGE_BYTES_OUT, (int64_t)command->size);
      return;
    }
  metric_add (METRIC_MESSAGES_UNSENT, 1);
  if (msg_decode (command->data, command->size, &msg, NULL) == 0)
    net->ops->unsent (net->ctx, command->peer, &msg);
}

/* Runs queued commands.  Returns nonzero when the thread has to stop.  */
static int
run_commands (struct net *net)
{
  struct command *command = NULL;
  uint64_t count;
  int stop = 0;
  int i;

  if (read (net->wake_fd, &count, sizeof count) < 0)
    return 0;
  /* Without a pause, a queue that is filled as fast as it is emptied would
     keep the thread from receiving.  */
  for (i = 0;
       !stop && i < COMMAND_BATCH && (command = take_command (net)) != NULL;
       i++)
    {
      switch (command->kind)
        {
        case COMMAND_CONNECT:
          do_connect (net, command);
          break;
        case COMMAND_DISCONNECT:
          do_disconnect (net, command->peer);
          break;
        case COMMAND_SEND:
          do_send (net, command);
          break;
        case COMMAND_STOP:
          stop = 1;
          break;
        }
      command_free (command);
    }
  if (command != NULL)
    wake (net);
  return stop;
}

static void
deliver (struct net *net, struct peer *peer, zmq_msg_t *frame)
{
  gint64 now = g_get_monotonic_time ();
  struct err err;
  struct msg msg;

  metric_add (METRIC_MESSAGES_IN, 1);
  metric_add (METRIC_MESSAGE_BYTES_IN, (int64_t)zmq_msg_size (frame));
  if (msg_decode (zmq_msg_data (frame), zmq_msg_size (frame), &msg, &err) == 0)
    {
      net->ops->message (net->ctx, peer->handle, &msg);
      return;
    }
  metric_add (METRIC_MESSAGES_MALFORMED, 1);
  if (peer->malformed_logged_us != 0
      && now - peer->malformed_logged_us
             < (gint64)MALFORMED_LOG_PERIOD_S * G_USEC_PER_SEC)
    return;
  peer->malformed_logged_us = now;
  log_write (LOG_LEVEL_WARN, NULL, err.step, peer->name, "%s", err.text);
}

static void
receive_dealer (struct net *net, struct peer *peer)
{
  zmq_msg_t frame;
  int i;

  for (i = 0; i < RECEIVE_BATCH; i++)
    {
      zmq_msg_init (&frame);
      if (zmq_msg_recv (&frame, peer->socket, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&frame);
          return;
        }
      deliver (net, peer, &frame);
      zmq_msg_close (&frame);
    }
}

/* Reads the events of PEER's monitor; only one kind was asked for.  */
static void
receive_monitor (struct net *net, struct peer *peer)
{
  zmq_msg_t frame;
  int events = 0;

  zmq_msg_init (&frame);
  while (zmq_msg_recv (&frame, peer->monitor, ZMQ_DONTWAIT) >= 0)
    events++;
  zmq_msg_close (&frame);
  if (events > 0 && net->ops->lost != NULL)
    net->ops->lost (net->ctx, peer->handle);
}

/* Evicts the identity that has been silent the longest.  Each start of an
   entry uses a new identity, so without eviction the table would fill up and
   the agent would ignore every new entry.  */
static void
evict_peer (struct net *net)
{
  struct peer *oldest = NULL;
  GBytes *name = NULL;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, net->by_name);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct peer *peer = value;

      if (oldest != NULL && peer->last_received_us >= oldest->last_received_us)
        continue;
      oldest = peer;
      name = key;
    }
  g_hash_table_remove (net->by_name, name);
  g_hash_table_remove (net->by_handle, &oldest->handle);
}

/* Finds or adds the peer with the routing id in FRAME.  */
static struct peer *
router_peer (struct net *net, zmq_msg_t *frame)
{
  GBytes *name = g_bytes_new (zmq_msg_data (frame), zmq_msg_size (frame));
  struct peer *peer = g_hash_table_lookup (net->by_name, name);

  if (peer != NULL)
    peer->last_received_us = g_get_monotonic_time ();
  if (peer != NULL || zmq_msg_size (frame) >= IDENTITY_BYTES)
    {
      g_bytes_unref (name);
      return peer;
    }
  if (g_hash_table_size (net->by_name) >= PEERS_MAX)
    evict_peer (net);
  peer = calloc (1, sizeof *peer);
  peer->last_received_us = g_get_monotonic_time ();
  peer->name_size = zmq_msg_size (frame);
  memcpy (peer->name, zmq_msg_data (frame), peer->name_size);
  pthread_mutex_lock (&net->lock);
  peer->handle = ++net->next_handle;
  pthread_mutex_unlock (&net->lock);
  g_hash_table_insert (net->by_handle, &peer->handle, peer);
  g_hash_table_insert (net->by_name, name, peer);
  return peer;
}

static void
receive_router (struct net *net)
{
  zmq_msg_t name;
  zmq_msg_t frame;
  struct peer *peer;
  int i;

  for (i = 0; i < RECEIVE_BATCH; i++)
    {
      zmq_msg_init (&name);
      zmq_msg_init (&frame);
      if (zmq_msg_recv (&name, net->router, ZMQ_DONTWAIT) < 0)
        i = RECEIVE_BATCH;
      else
        {
          peer = router_peer (net, &name);
          while (zmq_msg_more (&name)
                 && zmq_msg_recv (&frame, net->router, ZMQ_DONTWAIT) >= 0
                 && zmq_msg_more (&frame))
            ;
          if (peer != NULL)
            deliver (net, peer, &frame);
        }
      zmq_msg_close (&frame);
      zmq_msg_close (&name);
    }
}

enum
{
  ITEMS_PER_PEER = 2, /* socket and monitor */
  AGENT_ITEMS = 2     /* ROUTER and authentication */
};

static zmq_pollitem_t *
poll_items (struct net *net, int *count)
{
  int n = 1 + ITEMS_PER_PEER * (int)net->order->len;
  zmq_pollitem_t *items;
  guint i;

  if (net->router != NULL)
    n += net->auth != NULL ? AGENT_ITEMS : 1;
  items = g_new0 (zmq_pollitem_t, n);
  items[0].fd = net->wake_fd;
  if (net->router != NULL)
    items[1].socket = net->router;
  if (net->auth != NULL)
    items[2].socket = net_auth_socket (net->auth);
  for (i = 0; i < net->order->len; i++)
    {
      struct peer *peer = g_ptr_array_index (net->order, i);

      items[1 + ITEMS_PER_PEER * i].socket = peer->socket;
      items[2 + ITEMS_PER_PEER * i].socket = peer->monitor;
    }
  for (i = 0; i < (guint)n; i++)
    items[i].events = ZMQ_POLLIN;
  *count = n;
  return items;
}

static void
receive_all (struct net *net, const zmq_pollitem_t *items)
{
  guint i;

  if (net->router != NULL && (items[1].revents & ZMQ_POLLIN))
    receive_router (net);
  if (net->auth != NULL && (items[2].revents & ZMQ_POLLIN))
    net_auth_answer_requests (net->auth);
  for (i = 0; i < net->order->len; i++)
    {
      struct peer *peer = g_ptr_array_index (net->order, i);

      if (items[1 + ITEMS_PER_PEER * i].revents & ZMQ_POLLIN)
        receive_dealer (net, peer);
      if (items[2 + ITEMS_PER_PEER * i].revents & ZMQ_POLLIN)
        receive_monitor (net, peer);
    }
}

static void *
net_main (void *arg)
{
  struct net *net = arg;
  zmq_pollitem_t *items;
  int count;
  int stop = 0;

  while (!stop)
    {
      items = poll_items (net, &count);
      if (zmq_poll (items, count, -1) > 0)
        {
          receive_all (net, items);
          if (items[0].revents & ZMQ_POLLIN)
            stop = run_commands (net);
        }
      g_free (items);
    }
  return NULL;
}

static struct net *
net_new (const struct net_ops *ops, void *ctx)
{
  struct net *net = calloc (1, sizeof *net);

  net->ops = ops;
  net->ctx = ctx;
  net->zmq = zmq_ctx_new ();
  net->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  pthread_mutex_init (&net->lock, NULL);
  pthread_cond_init (&net->room, NULL);
  g_queue_init (&net->queue);
  net->by_handle
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, peer_free);
  net->by_name = g_hash_table_new_full (g_bytes_hash, g_bytes_equal,
                                        (GDestroyNotify)g_bytes_unref, NULL);
  net->order = g_ptr_array_new ();
  return net;
}

static void
net_free (struct net *net)
{
  struct command *command;

  while ((command = take_command (net)) != NULL)
    command_free (command);
  g_ptr_array_free (net->order, TRUE);
  g_hash_table_destroy (net->by_name);
  g_hash_table_destroy (net->by_handle);
  if (net->router != NULL)
    zmq_close (net->router);
  net_auth_close (net->auth);
  zmq_ctx_term (net->zmq);
  close (net->wake_fd);
  pthread_cond_destroy (&net->room);
  pthread_mutex_destroy (&net->lock);
  free (net);
}

struct net *
net_open_agent (const char *address, const struct net_keys *keys,
                const struct net_ops *ops, void *ctx, struct err *err)
{
  struct net *net = net_new (ops, ctx);
  char endpoint[ERR_PEER_BYTES + 8];

  snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  net->router = zmq_socket (net->zmq, ZMQ_ROUTER);
  set_limits (net->router);
  set_int (net->router, ZMQ_LINGER, 1000);
  set_int (net->router, ZMQ_ROUTER_MANDATORY, 1);
  set_int (net->router, ZMQ_ROUTER_HANDOVER, 1);
  if (keys != NULL)
    {
      net->auth = net_auth_open (net->zmq, keys);
      net_auth_configure_server (net->router, keys);
    }
  if (zmq_bind (net->router, endpoint) != 0)
    {
      err_set (err, ERR_IO, "bind", address, "cannot listen for entries: %s",
               zmq_strerror (errno));
      goto fail;
    }
  if (pthread_create (&net->thread, NULL, net_main, net) != 0)
    {
      err_set (err, ERR_LIMIT, "thread", NULL,
               "cannot start the network thread");
      goto fail;
    }
  return net;
fail:
  net_free (net);
  return NULL;
}

struct net *
net_open_entry (const char *identity, const struct net_keys *keys,
                const struct net_ops *ops, void *ctx, struct err *err)
{
  struct net *net = net_new (ops, ctx);

  if (keys != NULL)
    net->keys = *keys;
  snprintf (net->identity, sizeof net->identity, "%s", identity);
  if (pthread_create (&net->thread, NULL, net_main, net) != 0)
    {
      err_set (err, ERR_LIMIT, "thread", NULL,
               "cannot start the network thread");
      net_free (net);
      return NULL;
    }
  return net;
}

uint64_t
net_connect (struct net *net, const char *address)
{
  struct command *command = calloc (1, sizeof *command);
  uint64_t handle;

  pthread_mutex_lock (&net->lock);
  handle = ++net->next_handle;
  pthread_mutex_unlock (&net->lock);
  command->kind = COMMAND_CONNECT;
  command->peer = handle;
  snprintf (command->address, sizeof command->address, "%s", address);
  queue_command (net, command);
  return handle;
}

void
net_disconnect (struct net *net, uint64_t peer)
{
  struct command *command = calloc (1, sizeof *command);

  command->kind = COMMAND_DISCONNECT;
  command->peer = peer;
  queue_command (net, command);
}

int
net_send (struct net *net, uint64_t peer, const struct msg *msg,
          struct err *err)
{
  struct command *command = calloc (1, sizeof *command);

  command->kind = COMMAND_SEND;
  command->peer = peer;
  if (msg_encode (msg, &command->data, &command->size, err) != 0)
    {
      command_free (command);
      return -1;
    }
  queue_command (net, command);
  return 0;
}

int
net_send_wait (struct net *net, uint64_t peer, const struct msg *msg,
               struct err *err)
{
  pthread_mutex_lock (&net->lock);
  while (net->queued_bytes > QUEUE_MAX_BYTES && !net->closing)
    pthread_cond_wait (&net->room, &net->lock);
  pthread_mutex_unlock (&net->lock);
  return net_send (net, peer, msg, err);
}

void
net_close (struct net *net)
{
  struct command *command;

  if (net == NULL)
    return;
  pthread_mutex_lock (&net->lock);
  net->closing = 1;
  pthread_cond_broadcast (&net->room);
  pthread_mutex_unlock (&net->lock);
  command = calloc (1, sizeof *command);
  command->kind = COMMAND_STOP;
  queue_command (net, command);
  pthread_join (net->thread, NULL);
  net_free (net);
}
