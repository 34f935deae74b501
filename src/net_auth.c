#include "net_auth.h"

#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "goldcresthatch/metric.h"
#include "goldcresthatch/log.h"
#include "goldcresthatch/settings.h"

enum
{
  KEY_BYTES = 32,
  PART_BYTES = 256, /* one part of a request */
  LOG_PERIOD_S = 60 /* between two log lines about refused peers */
};

/* Parts of a ZAP request, in their order.  */
enum part
{
  PART_VERSION,
  PART_REQUEST,
  PART_DOMAIN,
  PART_ADDRESS,
  PART_IDENTITY,
  PART_MECHANISM,
  PART_KEY,
  PART_COUNT
};

struct net_auth
{
  void *socket;
  size_t count;
  uint8_t allowed[NET_KEYS_ALLOWED_MAX][KEY_BYTES];
  gint64 logged_us;
};

struct request
{
  char data[PART_COUNT][PART_BYTES];
  int size[PART_COUNT];
};

struct keys_file
{
  char public_key[SETTINGS_TEXT_BYTES];
  char secret_key[SETTINGS_TEXT_BYTES];
  char server[SETTINGS_TEXT_BYTES];
  struct settings_list allowed;
};

#define MEMBER(n, k, ...)                                                     \
  {                                                                           \
    .name = #n, .kind = k, .offset = offsetof (struct keys_file, n),          \
    __VA_ARGS__                                                               \
  }

static const struct settings_member members[] = {
  MEMBER (public_key, SETTINGS_TEXT, .required = 1),
  MEMBER (secret_key, SETTINGS_TEXT, .required = 1),
  MEMBER (server, SETTINGS_TEXT),
  MEMBER (allowed, SETTINGS_TEXTS),
};

/* Checks and copies a key in Z85; an absent key stays empty.  */
static int
copy_key (const char *file, const char *member, const char *text, char *key,
          GString *errors)
{
  uint8_t bytes[KEY_BYTES];

  if (text[0] == '\0')
    return 0;
  if (strlen (text) != NET_KEY_BYTES - 1
      || zmq_z85_decode (bytes, text) == NULL)
    {
      g_string_append_printf (errors,
                              "%s: %s: expected a key of %d characters\n",
                              file, member, NET_KEY_BYTES - 1);
      return -1;
    }
  memcpy (key, text, NET_KEY_BYTES);
  return 0;
}

int
net_keys_read (const char *file, struct net_keys *keys, GString *errors)
{
  struct keys_file *in = g_new0 (struct keys_file, 1);
  size_t i;
  int rc;

  rc = settings_read (file, members, G_N_ELEMENTS (members), in, errors);
  rc |= copy_key (file, "public_key", in->public_key, keys->public_key,
                  errors);
  rc |= copy_key (file, "secret_key", in->secret_key, keys->secret_key,
                  errors);
  rc |= copy_key (file, "server", in->server, keys->server, errors);
  for (i = 0; i < in->allowed.count && i < NET_KEYS_ALLOWED_MAX; i++)
    rc |= copy_key (file, "allowed", in->allowed.items[i], keys->allowed[i],
                    errors);
  keys->allowed_count = in->allowed.count;
  g_free (in);
  return rc;
}

struct net_auth *
net_auth_open (void *zmq, const struct net_keys *keys)
{
  struct net_auth *auth = calloc (1, sizeof *auth);
  size_t i;

  auth->socket = zmq_socket (zmq, ZMQ_REP);
  zmq_bind (auth->socket, "inproc://zeromq.zap.01");
  for (i = 0; i < keys->allowed_count; i++)
    zmq_z85_decode (auth->allowed[i], keys->allowed[i]);
  auth->count = keys->allowed_count;
  return auth;
}

void
net_auth_close (struct net_auth *auth)
{
  if (auth == NULL)
    return;
  zmq_close (auth->socket);
  free (auth);
}

void *
net_auth_socket (struct net_auth *auth)
{
  return auth->socket;
}

/* Reads one request.  Returns the number of its parts, or 0 when none is
   pending.  */
static int
read_request (struct net_auth *auth, struct request *request)
{
  int count = 0;
  int more = 1;
  size_t more_size = sizeof more;

  memset (request, 0, sizeof *request);
  while (more && count < PART_COUNT)
    {
      request->size[count] = zmq_recv (auth->socket, request->data[count],
                                       PART_BYTES - 1, ZMQ_DONTWAIT);
      if (request->size[count] < 0)
        return 0;
      count++;
      zmq_getsockopt (auth->socket, ZMQ_RCVMORE, &more, &more_size);
    }
  return count;
}

static int
is_allowed (const struct net_auth *auth, const struct request *request)
{
  size_t i;

  if (strcmp (request->data[PART_MECHANISM], "CURVE") != 0
      || request->size[PART_KEY] != KEY_BYTES)
    return 0;
  for (i = 0; i < auth->count; i++)
    if (memcmp (auth->allowed[i], request->data[PART_KEY], KEY_BYTES) == 0)
      return 1;
  return 0;
}

static void
count_refusal (struct net_auth *auth, const char *address)
{
  gint64 now = g_get_monotonic_time ();

  metric_add (METRIC_PEERS_REFUSED, 1);
  if (auth->logged_us != 0
      && now - auth->logged_us < (gint64)LOG_PERIOD_S * G_USEC_PER_SEC)
    return;
  auth->logged_us = now;
  log_write (LOG_LEVEL_WARN, NULL, "authenticate", address,
             "connection refused: the peer's public key is not allowed");
}

static void
send_part (struct net_auth *auth, const char *text, int flags)
{
  zmq_send (auth->socket, text, strlen (text), flags);
}

void
net_auth_answer_requests (struct net_auth *auth)
{
  struct request request;
  int allowed;

  while (read_request (auth, &request) > 0)
    {
      allowed = is_allowed (auth, &request);
      if (!allowed)
        count_refusal (auth, request.data[PART_ADDRESS]);
      send_part (auth, "1.0", ZMQ_SNDMORE);
      zmq_send (auth->socket, request.data[PART_REQUEST],
                (size_t)MAX (request.size[PART_REQUEST], 0), ZMQ_SNDMORE);
      send_part (auth, allowed ? "200" : "400", ZMQ_SNDMORE);
      send_part (auth, allowed ? "OK" : "key not allowed", ZMQ_SNDMORE);
      send_part (auth, "", ZMQ_SNDMORE);
      send_part (auth, "", 0);
    }
}

void
net_auth_configure_server (void *socket, const struct net_keys *keys)
{
  int server = 1;

  zmq_setsockopt (socket, ZMQ_CURVE_SERVER, &server, sizeof server);
  zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, keys->secret_key,
                  NET_KEY_BYTES);
}

void
net_auth_configure_client (void *socket, const struct net_keys *keys)
{
  zmq_setsockopt (socket, ZMQ_CURVE_SERVERKEY, keys->server, NET_KEY_BYTES);
  zmq_setsockopt (socket, ZMQ_CURVE_PUBLICKEY, keys->public_key,
                  NET_KEY_BYTES);
  zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, keys->secret_key,
                  NET_KEY_BYTES);
}
