#include "usage_witness.h"

#include <msgpack.h>
#include <string.h>

#include "mpcheck.h"

enum
{
  /* Datagrams between gateways have different numbers.  */
  TELL_VERSION = 12,
  TELL_FIELDS = 3,
  ASK_VERSION = 13,
  ASK_FIELDS = 5,
  KEY_BYTES_MAX = 255,
  HEAD_BYTES_MAX = 64, /* of a message that tells, without the key */
  COUNT_BYTES_MAX = 12 /* of a customer's count, without the name */
};

struct told
{
  struct usage *usage;
  int64_t heard_us;
};

struct usage_witness
{
  const struct usage_witness_ops *ops;
  void *ctx;
  GHashTable *told; /* key -> struct told */
};

static void
told_free (gpointer data)
{
  struct told *told = data;

  usage_free (told->usage);
  g_free (told);
}

struct usage_witness *
usage_witness_new (const struct usage_witness_ops *ops, void *ctx)
{
  struct usage_witness *witness = g_new0 (struct usage_witness, 1);

  witness->ops = ops;
  witness->ctx = ctx;
  witness->told
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, told_free);
  return witness;
}

void
usage_witness_free (struct usage_witness *witness)
{
  if (witness == NULL)
    return;
  g_hash_table_destroy (witness->told);
  g_free (witness);
}

static void
pack_text (msgpack_packer *packer, const char *text)
{
  size_t size = strlen (text);

  msgpack_pack_str (packer, size);
  msgpack_pack_str_body (packer, text, size);
}

/* Sends the counts in PART and empties it.  */
static void
send_part (struct usage_witness *witness, uint64_t to, const char *key,
           struct usage *part)
{
  GString *record = g_string_new (NULL);
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  usage_encode (part, 0, record);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, TELL_FIELDS);
  msgpack_pack_int (&packer, TELL_VERSION);
  pack_text (&packer, key);
  msgpack_pack_bin (&packer, record->len);
  msgpack_pack_bin_body (&packer, record->str, record->len);
  witness->ops->send (witness->ctx, to, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  g_string_free (record, TRUE);
  usage_drop (part, UINT64_MAX);
}

void
usage_witness_tell (struct usage_witness *witness, uint64_t to,
                    const char *key, const struct usage *usage, uint64_t first,
                    uint64_t last)
{
  size_t empty = HEAD_BYTES_MAX + strlen (key);
  size_t size = empty;
  struct usage *part = usage_new ();
  GHashTableIter iter;
  gpointer customer;
  gpointer count;
  uint64_t window;

  for (window = first; window <= last; window++)
    {
      GHashTable *counts = usage_window (usage, window);
      if (counts == NULL)
        continue;
      g_hash_table_iter_init (&iter, counts);
      while (g_hash_table_iter_next (&iter, &customer, &count))
        {
          size_t more = strlen (customer) + COUNT_BYTES_MAX;
          if (size + more > USAGE_WITNESS_BYTES_MAX)
            {
              send_part (witness, to, key, part);
              size = empty;
            }
          usage_add (part, window, customer, *(const uint64_t *)count);
          size += more;
        }
      if (size > empty)
        send_part (witness, to, key, part);
      size = empty;
    }
  usage_free (part);
}

void
usage_witness_ask (struct usage_witness *witness, uint64_t to, uint64_t self,
                   const char *const *names, size_t n, uint64_t first,
                   uint64_t last)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  size_t i;

  n = MIN (n, (size_t)USAGE_WITNESS_NAMES_MAX);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, ASK_FIELDS);
  msgpack_pack_int (&packer, ASK_VERSION);
  msgpack_pack_uint64 (&packer, self);
  msgpack_pack_uint64 (&packer, first);
  msgpack_pack_uint64 (&packer, last);
  msgpack_pack_array (&packer, n);
  for (i = 0; i < n; i++)
    pack_text (&packer, names[i]);
  witness->ops->send (witness->ctx, to, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
}

int
usage_witness_is_message (const char *data, size_t size)
{
  return size > 2
         && (((unsigned char)data[0] == (0x90 | TELL_FIELDS)
              && data[1] == TELL_VERSION)
             || ((unsigned char)data[0] == (0x90 | ASK_FIELDS)
                 && data[1] == ASK_VERSION));
}

static int
is_number (const msgpack_object *object)
{
  return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static int
receive_tell (struct usage_witness *witness, const msgpack_object *field,
              int64_t now, struct err *err)
{
  struct usage *usage;
  struct told *told;
  uint64_t closed;
  char *key;

  if (field[1].type != MSGPACK_OBJECT_STR || field[1].via.str.size == 0
      || field[1].via.str.size > KEY_BYTES_MAX
      || field[2].type != MSGPACK_OBJECT_BIN)
    return err_set (err, ERR_PROTOCOL, "read witness", NULL,
                    "a message names no record");
  usage = usage_new ();
  if (usage_merge (usage, field[2].via.bin.ptr, field[2].via.bin.size, 0,
                   UINT64_MAX, &closed, err)
      != 0)
    {
      usage_free (usage);
      return -1;
    }
  key = g_strndup (field[1].via.str.ptr, field[1].via.str.size);
  told = g_hash_table_lookup (witness->told, key);
  if (told == NULL)
    {
      told = g_new0 (struct told, 1);
      told->usage = usage_new ();
      g_hash_table_insert (witness->told, g_strdup (key), told);
    }
  usage_raise (told->usage, usage, 0, UINT64_MAX);
  told->heard_us = now;
  usage_free (usage);
  g_free (key);
  return 0;
}

/* Returns nonzero when KEY is a record of one of the gateways in NAMES.  */
static int
is_asked_for (const char *key, const msgpack_object *names)
{
  const char *slash = strrchr (key, '/');
  uint32_t i;

  if (slash == NULL)
    return 0;
  for (i = 0; i < names->via.array.size; i++)
    {
      const msgpack_object *name = &names->via.array.ptr[i];
      if (name->via.str.size == (size_t)(slash - key)
          && memcmp (name->via.str.ptr, key, name->via.str.size) == 0)
        return 1;
    }
  return 0;
}

static int
receive_ask (struct usage_witness *witness, const msgpack_object *field,
             struct err *err)
{
  const msgpack_object *names = &field[4];
  GHashTableIter iter;
  gpointer key;
  gpointer told;
  uint32_t i;
  int ok = is_number (&field[1]) && is_number (&field[2])
           && is_number (&field[3]) && field[2].via.u64 <= field[3].via.u64
           && field[3].via.u64 - field[2].via.u64 < USAGE_WINDOWS_MAX
           && names->type == MSGPACK_OBJECT_ARRAY
           && names->via.array.size <= USAGE_WITNESS_NAMES_MAX;

  for (i = 0; ok && i < names->via.array.size; i++)
    ok = names->via.array.ptr[i].type == MSGPACK_OBJECT_STR;
  if (!ok)
    return err_set (err, ERR_PROTOCOL, "read witness", NULL,
                    "a message asks for no windows of gateways");
  g_hash_table_iter_init (&iter, witness->told);
  while (g_hash_table_iter_next (&iter, &key, &told))
    if (is_asked_for (key, names))
      usage_witness_tell (witness, field[1].via.u64, key,
                          ((struct told *)told)->usage, field[2].via.u64,
                          field[3].via.u64);
  return 0;
}

int
usage_witness_receive (struct usage_witness *witness, const char *data,
                       size_t size, int64_t now, struct err *err)
{
  msgpack_unpacked unpacked;
  const msgpack_object *root = &unpacked.data;
  size_t offset = 0;
  int rc;

  msgpack_unpacked_init (&unpacked);
  if (mpcheck (data, size) != 0
      || msgpack_unpack_next (&unpacked, data, size, &offset)
             != MSGPACK_UNPACK_SUCCESS
      || root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size == 0
      || !is_number (&root->via.array.ptr[0]))
    rc = err_set (err, ERR_PROTOCOL, "read witness", NULL,
                  "a datagram of %zu bytes is no message", size);
  else if (root->via.array.size == TELL_FIELDS
           && root->via.array.ptr[0].via.u64 == TELL_VERSION)
    rc = receive_tell (witness, root->via.array.ptr, now, err);
  else if (root->via.array.size == ASK_FIELDS
           && root->via.array.ptr[0].via.u64 == ASK_VERSION)
    rc = receive_ask (witness, root->via.array.ptr, err);
  else
    rc = err_set (err, ERR_PROTOCOL, "read witness", NULL,
                  "a message is of another version");
  msgpack_unpacked_destroy (&unpacked);
  return rc;
}

const struct usage *
usage_witness_find (const struct usage_witness *witness, const char *key)
{
  const struct told *told = g_hash_table_lookup (witness->told, key);

  return told != NULL ? told->usage : NULL;
}

void
usage_witness_each (const struct usage_witness *witness,
                    void (*fn) (void *ctx, const char *key,
                                const struct usage *usage),
                    void *ctx)
{
  GHashTableIter iter;
  gpointer key;
  gpointer told;

  g_hash_table_iter_init (&iter, witness->told);
  while (g_hash_table_iter_next (&iter, &key, &told))
    fn (ctx, key, ((const struct told *)told)->usage);
}

static gboolean
is_older (gpointer key, gpointer told, gpointer since)
{
  (void)key;
  return ((const struct told *)told)->heard_us < *(const int64_t *)since;
}

void
usage_witness_expire (struct usage_witness *witness, int64_t since)
{
  g_hash_table_foreach_remove (witness->told, is_older, &since);
}
