#include "originfeed.h"

#include <glib.h>
#include <msgpack.h>
#include <string.h>

#include "mpcheck.h"

enum
{
  VERSION = 10, /* other datagrams between gateways have other numbers */
  MESSAGE_FIELDS = 5
};

struct message
{
  uint64_t sender;
  int asks; /* the sender wants to be told */
  uint64_t id;
  char build[ORIGINFEED_BUILD_MAX + 1]; /* empty: the sender doesn't know */
};

struct query
{
  uint64_t id;
  int64_t due;
  uint64_t asked[ORIGINFEED_ASKED]; /* that haven't replied */
  size_t n_asked;
};

struct originfeed
{
  uint64_t self;
  const struct originfeed_ops *ops;
  void *ctx;
  GHashTable *queries; /* stream -> struct query */
};

struct originfeed *
originfeed_new (uint64_t self, const struct originfeed_ops *ops, void *ctx)
{
  struct originfeed *feed = g_new0 (struct originfeed, 1);

  feed->self = self;
  feed->ops = ops;
  feed->ctx = ctx;
  feed->queries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return feed;
}

void
originfeed_free (struct originfeed *feed)
{
  g_hash_table_destroy (feed->queries);
  g_free (feed);
}

static void
send_message (struct originfeed *feed, uint64_t to,
              const struct message *message)
{
  size_t size = strlen (message->build);
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, MESSAGE_FIELDS);
  msgpack_pack_int (&packer, VERSION);
  msgpack_pack_uint64 (&packer, feed->self);
  msgpack_pack_int (&packer, message->asks != 0);
  msgpack_pack_uint64 (&packer, message->id);
  msgpack_pack_str (&packer, size);
  msgpack_pack_str_body (&packer, message->build, size);
  feed->ops->send (feed->ctx, to, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
}

void
originfeed_tell (struct originfeed *feed, uint64_t id, const char *build)
{
  uint64_t homes[ORIGINFEED_HOMES];
  struct message message = { .id = id };
  size_t n;
  size_t i;

  if (build[0] == '\0' || strlen (build) > ORIGINFEED_BUILD_MAX)
    return;
  g_strlcpy (message.build, build, sizeof message.build);
  n = feed->ops->rank (feed->ctx, id, homes, ORIGINFEED_HOMES);
  for (i = 0; i < n; i++)
    send_message (feed, homes[i], &message);
}

int
originfeed_ask (struct originfeed *feed, uint64_t id, int64_t now)
{
  struct message message = { .asks = 1, .id = id };
  struct query *query;
  size_t i;

  if (g_hash_table_contains (feed->queries, &id))
    return 1;
  query = g_new0 (struct query, 1);
  query->id = id;
  query->due = now + ORIGINFEED_QUERY_US;
  query->n_asked
      = feed->ops->rank (feed->ctx, id, query->asked, ORIGINFEED_ASKED);
  if (query->n_asked == 0)
    {
      g_free (query);
      return 0;
    }
  g_hash_table_insert (feed->queries, &query->id, query);
  for (i = 0; i < query->n_asked; i++)
    send_message (feed, query->asked[i], &message);
  return 1;
}

/* Ends the query for the stream ID.  DONE may begin another one.  */
static void
end_query (struct originfeed *feed, uint64_t id)
{
  if (g_hash_table_remove (feed->queries, &id))
    feed->ops->done (feed->ctx, id);
}

void
originfeed_advance (struct originfeed *feed, int64_t now)
{
  GArray *ended = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, feed->queries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct query *query = value;
      if (now >= query->due)
        g_array_append_val (ended, query->id);
    }
  for (i = 0; i < ended->len; i++)
    end_query (feed, g_array_index (ended, uint64_t, i));
  g_array_free (ended, TRUE);
}

int
originfeed_is_datagram (const char *data, size_t size)
{
  return size > 2 && (unsigned char)data[0] == (0x90 | MESSAGE_FIELDS)
         && data[1] == VERSION;
}

static int
read_uint (const msgpack_object *object, uint64_t max, uint64_t *value)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
    return -1;
  *value = object->via.u64;
  return 0;
}

static int
read_message (const msgpack_object *from, struct message *message)
{
  const msgpack_object *field = from->via.array.ptr;
  const msgpack_object_str *build;
  uint64_t version;
  uint64_t asks;
  uint32_t i;

  if (from->type != MSGPACK_OBJECT_ARRAY
      || from->via.array.size != MESSAGE_FIELDS
      || read_uint (&field[0], VERSION, &version) != 0 || version != VERSION
      || read_uint (&field[1], UINT64_MAX, &message->sender) != 0
      || read_uint (&field[2], 1, &asks) != 0
      || read_uint (&field[3], UINT64_MAX, &message->id) != 0
      || field[4].type != MSGPACK_OBJECT_STR)
    return -1;
  message->asks = (int)asks;
  build = &field[4].via.str;
  if (build->size > ORIGINFEED_BUILD_MAX)
    return -1;
  for (i = 0; i < build->size; i++)
    if ((unsigned char)build->ptr[i] <= ' ' || build->ptr[i] == 0x7f)
      return -1;
  memcpy (message->build, build->ptr, build->size);
  message->build[build->size] = '\0';
  return 0;
}

/* Tells the gateway that asked, also that nothing is known here.  */
static void
reply (struct originfeed *feed, const struct message *question)
{
  struct message message = { .id = question->id };
  const char *build = feed->ops->find (feed->ctx, question->id);

  if (build != NULL)
    g_strlcpy (message.build, build, sizeof message.build);
  send_message (feed, question->sender, &message);
}

/* Notes that SENDER has no record of the stream ID.  */
static void
note_unknown (struct originfeed *feed, uint64_t id, uint64_t sender)
{
  struct query *query = g_hash_table_lookup (feed->queries, &id);
  size_t i;

  if (query == NULL)
    return;
  for (i = 0; i < query->n_asked && query->asked[i] != sender; i++)
    ;
  if (i == query->n_asked)
    return;
  query->asked[i] = query->asked[--query->n_asked];
  if (query->n_asked == 0)
    end_query (feed, id);
}

int
originfeed_receive (struct originfeed *feed, const char *data, size_t size,
                    struct err *err)
{
  struct message message;
  msgpack_unpacked unpacked;
  size_t offset = 0;
  int rc = -1;

  msgpack_unpacked_init (&unpacked);
  if (mpcheck (data, size) == 0
      && msgpack_unpack_next (&unpacked, data, size, &offset)
             == MSGPACK_UNPACK_SUCCESS
      && read_message (&unpacked.data, &message) == 0)
    rc = 0;
  msgpack_unpacked_destroy (&unpacked);
  if (rc != 0)
    return err_set (err, ERR_PROTOCOL, "read record", NULL,
                    "a datagram of %zu bytes holds no record of a stream",
                    size);
  if (message.asks)
    reply (feed, &message);
  else if (message.build[0] == '\0')
    note_unknown (feed, message.id, message.sender);
  else
    {
      feed->ops->note (feed->ctx, message.id, message.build);
      end_query (feed, message.id);
    }
  return 0;
}
