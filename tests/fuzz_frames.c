/* Sends random, mutated and oversized frames to an agent, first from one
   identity and then, with --identities, one each from that many.  The frames
   depend on --seed alone.  */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "goldcresthatch/msg.h"

enum
{
  RANDOM_MAX = 300, /* bytes of a random frame */
  MUTATIONS_MAX = 4,
  OVERSIZE = 5 << 20, /* above MSG_MAX_BYTES */
  LINGER_MS = 30000,
  IDENTITY_SIZE = 12,
  BATCH = 200 /* sockets of a context, which has at most 1,023 */
};

static char *connect_address;
static int frames = 1000;
static int identities;
static int seed = 1;

static const GOptionEntry options[] = {
  { "connect", 0, 0, G_OPTION_ARG_STRING, &connect_address, "The agent",
    "IP:PORT" },
  { "frames", 0, 0, G_OPTION_ARG_INT, &frames, "Frames to send", "N" },
  { "identities", 0, 0, G_OPTION_ARG_INT, &identities,
    "Identities that send one frame each", "N" },
  { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed", "N" },
  { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

static void *
open_dealer (void *zmq, const void *identity, size_t size)
{
  void *socket = zmq_socket (zmq, ZMQ_DEALER);
  char *address = g_strdup_printf ("tcp://%s", connect_address);
  int linger = LINGER_MS;

  zmq_setsockopt (socket, ZMQ_ROUTING_ID, identity, size);
  zmq_setsockopt (socket, ZMQ_LINGER, &linger, sizeof linger);
  if (zmq_connect (socket, address) != 0)
    g_error ("cannot connect to %s", address);
  g_free (address);
  return socket;
}

static void
send_random (void *socket, GRand *rand)
{
  unsigned char data[RANDOM_MAX];
  size_t size = (size_t)g_rand_int_range (rand, 0, RANDOM_MAX);
  size_t i;

  for (i = 0; i < size; i++)
    data[i] = (unsigned char)g_rand_int_range (rand, 0, 256);
  /* Every fourth frame is one part of a longer message.  */
  zmq_send (socket, data, size,
            g_rand_int_range (rand, 0, 4) == 0 ? ZMQ_SNDMORE : 0);
}

/* Sends a message of a random type with some of its bytes changed or its end
   cut off.  */
static void
send_mutated (void *socket, GRand *rand)
{
  struct msg msg = { 0 };
  unsigned char *bytes;
  void *data;
  size_t size;
  int i;

  msg.type = (enum msg_type)g_rand_int_range (rand, 0, MSG_TYPE_MAX);
  if (msg.type == MSG_CALL)
    {
      msg.u.call.method = msg_str_from ("POST");
      msg.u.call.path = msg_str_from ("/bookings/fuzz");
      msg.u.call.budget_ms = 1000;
    }
  if (msg_encode (&msg, &data, &size, NULL) != 0)
    return;
  bytes = data;
  for (i = g_rand_int_range (rand, 1, MUTATIONS_MAX); i > 0; i--)
    bytes[g_rand_int_range (rand, 0, (gint32)size)]
        = (unsigned char)g_rand_int_range (rand, 0, 256);
  if (g_rand_int_range (rand, 0, 4) == 0)
    size = (size_t)g_rand_int_range (rand, 0, (gint32)size);
  zmq_send (socket, data, size, 0);
  free (data);
}

static void
send_oversized (void *socket)
{
  char *data = g_malloc0 (OVERSIZE);

  zmq_send (socket, data, OVERSIZE, 0);
  g_free (data);
}

static void
send_from_one (void *zmq, GRand *rand)
{
  void *socket = open_dealer (zmq, "fuzz", strlen ("fuzz"));
  int i;

  send_oversized (socket);
  for (i = 0; i < frames; i++)
    if (i % 2 == 0)
      send_random (socket, rand);
    else
      send_mutated (socket, rand);
  zmq_send (socket, "", 0, 0);
  zmq_close (socket);
}

static void
send_batch (GRand *rand, int count)
{
  unsigned char identity[IDENTITY_SIZE];
  void *zmq = zmq_ctx_new ();
  void *socket;
  int i;
  size_t k;

  for (i = 0; i < count; i++)
    {
      /* A first byte of zero is reserved by ZeroMQ.  */
      for (k = 0; k < sizeof identity; k++)
        identity[k] = (unsigned char)g_rand_int_range (rand, 1, 256);
      socket = open_dealer (zmq, identity, sizeof identity);
      zmq_send (socket, "x", 1, 0);
      zmq_close (socket);
    }
  zmq_ctx_term (zmq); /* waits until every frame has left */
}

int
main (int argc, char **argv)
{
  GOptionContext *context = g_option_context_new (NULL);
  GError *error = NULL;
  GRand *rand;
  void *zmq;
  int left;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error)
      || connect_address == NULL)
    {
      fprintf (stderr, "usage: fuzz-frames --connect IP:PORT\n");
      return 2;
    }
  g_option_context_free (context);
  rand = g_rand_new_with_seed ((guint32)seed);
  zmq = zmq_ctx_new ();
  send_from_one (zmq, rand);
  zmq_ctx_term (zmq);
  for (left = identities; left > 0; left -= BATCH)
    send_batch (rand, MIN (left, BATCH));
  g_rand_free (rand);
  return 0;
}
