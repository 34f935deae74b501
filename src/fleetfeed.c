#include "fleetfeed.h"

#include <msgpack.h>
#include <string.h>
#include <xxhash.h>

#include "mpcheck.h"

enum
{
  VERSION = 5, /* other datagrams between gateways have other numbers */
  NOTICE_FIELDS = 8,
  /* Gateways of all versions have to choose the same sources.  */
  WEIGHT_SEED = 3,
  ITEM_FIELDS = 4,
  HEAD_BYTES_MAX = 50, /* of the fields other than the items */
  SOURCES_MIN = 3,
  GATEWAYS_PER_SOURCE = 24
};

/* What a followed source has told of one feed.  */
struct heard
{
  int64_t at_us; /* 0: nothing yet */
  int store_ok;
  uint64_t era;
  uint64_t upto;
};

struct followed
{
  uint64_t id;
  struct heard feeds[FLEETFEED_FEEDS_MAX];
};

struct fleetfeed
{
  uint64_t self;
  int is_source;
  struct followed followed[FLEETFEED_FOLLOWED];
  size_t n_followed;
  GArray *followers; /* uint64_t */
};

struct fleetfeed *
fleetfeed_new (uint64_t self)
{
  struct fleetfeed *ff = g_new0 (struct fleetfeed, 1);

  ff->self = self;
  ff->followers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  return ff;
}

void
fleetfeed_free (struct fleetfeed *ff)
{
  g_array_free (ff->followers, TRUE);
  g_free (ff);
}

/* Sets CHOSEN to the N of IDS with the highest weights for KEY.  Returns their
   number.  */
static size_t
choose (const uint64_t *ids, size_t n_ids, uint64_t key, uint64_t *chosen,
        size_t n)
{
  uint64_t *weights = g_new (uint64_t, n);
  size_t found = 0;
  size_t i;

  for (i = 0; i < n_ids; i++)
    {
      uint64_t pair[2] = { ids[i], key };
      uint64_t weight = XXH64 (pair, sizeof pair, WEIGHT_SEED);
      size_t at;
      for (at = found; at > 0 && weight > weights[at - 1]; at--)
        if (at < n)
          {
            chosen[at] = chosen[at - 1];
            weights[at] = weights[at - 1];
          }
      if (at == n)
        continue;
      chosen[at] = ids[i];
      weights[at] = weight;
      found = MIN (found + 1, n);
    }
  g_free (weights);
  return found;
}

static int
contains (const uint64_t *ids, size_t n, uint64_t id)
{
  size_t i;

  for (i = 0; i < n && ids[i] != id; i++)
    ;
  return i < n;
}

/* Sets the sources that this gateway follows to CHOSEN and keeps what is known
   of those that it followed before.  */
static void
follow (struct fleetfeed *ff, const uint64_t *chosen, size_t n)
{
  struct followed next[FLEETFEED_FOLLOWED];
  size_t i;
  size_t k;

  memset (next, 0, sizeof next);
  for (i = 0; i < n; i++)
    {
      next[i].id = chosen[i];
      for (k = 0; k < ff->n_followed; k++)
        if (ff->followed[k].id == chosen[i])
          next[i] = ff->followed[k];
    }
  memcpy (ff->followed, next, sizeof next);
  ff->n_followed = n;
}

void
fleetfeed_set_members (struct fleetfeed *ff, const uint64_t *able,
                       size_t n_able, const uint64_t *all, size_t n_all)
{
  size_t n_sources = SOURCES_MIN + n_all / GATEWAYS_PER_SOURCE;
  uint64_t *sources = g_new (uint64_t, n_sources);
  uint64_t chosen[FLEETFEED_FOLLOWED];
  size_t n;
  size_t i;

  g_array_set_size (ff->followers, 0);
  ff->is_source = 0;
  if (n_all < FLEETFEED_MEMBERS_MIN)
    {
      follow (ff, NULL, 0);
      g_free (sources);
      return;
    }
  n_sources = choose (able, n_able, 0, sources, n_sources);
  ff->is_source = contains (sources, n_sources, ff->self);
  for (i = 0; i < n_all; i++)
    {
      if (contains (sources, n_sources, all[i]))
        continue;
      n = choose (sources, n_sources, all[i], chosen, FLEETFEED_FOLLOWED);
      if (all[i] == ff->self)
        follow (ff, chosen, n);
      else if (contains (chosen, n, ff->self))
        g_array_append_val (ff->followers, all[i]);
    }
  if (ff->is_source)
    follow (ff, NULL, 0);
  g_free (sources);
}

int
fleetfeed_is_source (const struct fleetfeed *ff)
{
  return ff->is_source;
}

const uint64_t *
fleetfeed_followers (const struct fleetfeed *ff, size_t *n)
{
  *n = ff->followers->len;
  return (const uint64_t *)(const void *)ff->followers->data;
}

int
fleetfeed_is_current (const struct fleetfeed *ff, unsigned feed, uint64_t era,
                      uint64_t revision, int64_t now)
{
  size_t i;

  if (ff->n_followed < FLEETFEED_FOLLOWED || feed >= FLEETFEED_FEEDS_MAX)
    return 0;
  for (i = 0; i < ff->n_followed; i++)
    {
      const struct heard *heard = &ff->followed[i].feeds[feed];
      if (heard->at_us == 0 || now - heard->at_us > FLEETFEED_TIMEOUT_US
          || !heard->store_ok || heard->era != era || heard->upto > revision)
        return 0;
    }
  return 1;
}

static void
write_item (msgpack_packer *packer, const struct store_item *item)
{
  size_t key_size = strlen (item->key);

  msgpack_pack_array (packer, ITEM_FIELDS);
  msgpack_pack_str (packer, key_size);
  msgpack_pack_str_body (packer, item->key, key_size);
  msgpack_pack_uint64 (packer, item->revision);
  if (item->deleted)
    msgpack_pack_nil (packer);
  else
    {
      msgpack_pack_bin (packer, item->size);
      msgpack_pack_bin_body (packer, item->value, item->size);
    }
  msgpack_pack_uint64 (packer, item->created);
}

/* Writes one datagram with N encoded ITEMS.  */
static void
write_datagram (const struct fleetfeed *ff,
                const struct fleetfeed_notice *notice, uint64_t since,
                uint64_t upto, const msgpack_sbuffer *items, size_t n,
                void (*send) (void *ctx, const char *data, size_t size),
                void *ctx)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, NOTICE_FIELDS);
  msgpack_pack_int (&packer, VERSION);
  msgpack_pack_uint64 (&packer, ff->self);
  msgpack_pack_unsigned_int (&packer, notice->feed);
  msgpack_pack_int (&packer, notice->store_ok != 0);
  msgpack_pack_uint64 (&packer, notice->era);
  msgpack_pack_uint64 (&packer, since);
  msgpack_pack_uint64 (&packer, upto);
  msgpack_pack_array (&packer, n);
  if (n > 0)
    msgpack_sbuffer_write (&buffer, items->data, items->size);
  send (ctx, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
}

void
fleetfeed_write (const struct fleetfeed *ff,
                 const struct fleetfeed_notice *notice,
                 void (*send) (void *ctx, const char *data, size_t size),
                 void *ctx)
{
  uint64_t since = notice->since;
  uint64_t last = notice->since;
  msgpack_sbuffer items;
  msgpack_packer packer;
  size_t n = 0;
  size_t i;

  msgpack_sbuffer_init (&items);
  msgpack_packer_init (&packer, &items, msgpack_sbuffer_write);
  for (i = 0; i < notice->n_items; i++)
    {
      const struct store_item *item = &notice->items[i];
      size_t before = items.size;
      if (item->revision < last)
        break;
      write_item (&packer, item);
      if (items.size + HEAD_BYTES_MAX <= FLEETFEED_BYTES_MAX)
        {
          n++;
          last = item->revision;
          continue;
        }
      if (n == 0)
        break;
      /* It begins the next datagram.  */
      items.size = before;
      write_datagram (ff, notice, since, last, &items, n, send, ctx);
      since = last;
      items.size = 0;
      n = 0;
      i--;
    }
  if (i < notice->n_items)
    /* A change that can't be told: the followers have to read it.  */
    write_datagram (ff, notice, notice->upto, notice->upto, &items, 0, send,
                    ctx);
  else
    write_datagram (ff, notice, since, notice->upto, &items, n, send, ctx);
  msgpack_sbuffer_destroy (&items);
}

int
fleetfeed_is_datagram (const char *data, size_t size)
{
  return size > 2 && (unsigned char)data[0] == (0x90 | NOTICE_FIELDS)
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

/* Reads an item.  Its key and value are copies, with a null byte.  */
static int
read_item (const msgpack_object *from, struct store_item *item)
{
  const msgpack_object *field = from->via.array.ptr;

  memset (item, 0, sizeof *item);
  if (from->type != MSGPACK_OBJECT_ARRAY || from->via.array.size != ITEM_FIELDS
      || field[0].type != MSGPACK_OBJECT_STR
      || read_uint (&field[1], UINT64_MAX, &item->revision) != 0
      || (field[2].type != MSGPACK_OBJECT_NIL
          && field[2].type != MSGPACK_OBJECT_BIN)
      || read_uint (&field[3], UINT64_MAX, &item->created) != 0)
    return -1;
  item->key = g_strndup (field[0].via.str.ptr, field[0].via.str.size);
  item->deleted = field[2].type == MSGPACK_OBJECT_NIL;
  if (!item->deleted)
    {
      item->size = field[2].via.bin.size;
      item->value = g_strndup (field[2].via.bin.ptr, item->size);
      memcpy ((char *)item->value, field[2].via.bin.ptr, item->size);
    }
  return 0;
}

static int
read_notice (const msgpack_object *from, uint64_t *sender,
             struct fleetfeed_notice *notice, GArray *items)
{
  const msgpack_object *field = from->via.array.ptr;
  uint64_t version;
  uint64_t feed;
  uint64_t store_ok;
  uint32_t i;

  if (from->type != MSGPACK_OBJECT_ARRAY
      || from->via.array.size != NOTICE_FIELDS
      || read_uint (&field[0], VERSION, &version) != 0 || version != VERSION
      || read_uint (&field[1], UINT64_MAX, sender) != 0
      || read_uint (&field[2], FLEETFEED_FEEDS_MAX - 1, &feed) != 0
      || read_uint (&field[3], 1, &store_ok) != 0
      || read_uint (&field[4], UINT64_MAX, &notice->era) != 0
      || read_uint (&field[5], UINT64_MAX, &notice->since) != 0
      || read_uint (&field[6], UINT64_MAX, &notice->upto) != 0
      || notice->since > notice->upto || field[7].type != MSGPACK_OBJECT_ARRAY)
    return -1;
  notice->feed = (unsigned)feed;
  notice->store_ok = (int)store_ok;
  for (i = 0; i < field[7].via.array.size; i++)
    {
      struct store_item item;
      if (read_item (&field[7].via.array.ptr[i], &item) != 0)
        return -1;
      g_array_append_val (items, item);
    }
  notice->items = (const struct store_item *)(const void *)items->data;
  notice->n_items = items->len;
  return 0;
}

/* Notes what SENDER tells.  Returns 0, 1 when the notice is of an earlier era
   than the last one, or -1 when the sender isn't followed.  */
static int
note_heard (struct fleetfeed *ff, uint64_t sender,
            const struct fleetfeed_notice *notice, int64_t now)
{
  size_t i;

  for (i = 0; i < ff->n_followed; i++)
    if (ff->followed[i].id == sender)
      {
        struct heard *heard = &ff->followed[i].feeds[notice->feed];
        if (notice->era < heard->era)
          return 1;
        if (notice->era > heard->era)
          heard->upto = 0;
        heard->era = notice->era;
        heard->at_us = now;
        heard->store_ok = notice->store_ok;
        heard->upto = MAX (heard->upto, notice->upto);
        return 0;
      }
  return -1;
}

static void
item_clear (gpointer data)
{
  struct store_item *item = data;

  g_free ((char *)item->key);
  g_free ((char *)item->value);
}

int
fleetfeed_receive (struct fleetfeed *ff, const char *data, size_t size,
                   int64_t now,
                   void (*fn) (void *ctx,
                               const struct fleetfeed_notice *notice),
                   void *ctx, struct err *err)
{
  GArray *items = g_array_new (FALSE, FALSE, sizeof (struct store_item));
  struct fleetfeed_notice notice;
  msgpack_unpacked unpacked;
  uint64_t sender;
  size_t offset = 0;
  int late;
  int rc = -1;

  g_array_set_clear_func (items, item_clear);
  msgpack_unpacked_init (&unpacked);
  if (mpcheck (data, size) != 0
      || msgpack_unpack_next (&unpacked, data, size, &offset)
             != MSGPACK_UNPACK_SUCCESS
      || read_notice (&unpacked.data, &sender, &notice, items) != 0)
    err_set (err, ERR_PROTOCOL, "read notice", NULL,
             "a datagram of %zu bytes is no notice of version %d", size,
             VERSION);
  else if ((late = note_heard (ff, sender, &notice, now)) < 0)
    err_set (err, ERR_PROTOCOL, "read notice", NULL,
             "a notice came from a gateway that is not followed");
  else
    {
      if (!late)
        fn (ctx, &notice);
      rc = 0;
    }
  msgpack_unpacked_destroy (&unpacked);
  g_array_free (items, TRUE);
  return rc;
}
