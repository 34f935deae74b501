#include "fleetsum.h"

#include <msgpack.h>
#include <string.h>
#include <xxhash.h>

#include "mpcheck.h"

enum
{
  VERSION = 2, /* 1 was the load report that went to every gateway */
  MESSAGE_FIELDS = 7,
  ROW_FIELDS = 4,
  ROW_BYTES_MAX = 22,   /* of an encoded row */
  HEAD_BYTES_MAX = 40,  /* of the other fields */
  MISSES_TOLERATED = 1, /* queries in a row without a reply */
  RANDOM_SEED = 5,
  PARTS_MAX = 50000 /* contributions that are kept; about 2 MB */
};

#define REPEAT_US INT64_C (1000000)
/* A value that has become zero is repeated once, after this time.  */
#define REPEAT_ZERO_US INT64_C (200000)
/* Three repetitions may be lost.  */
#define EXPIRY_US INT64_C (3500000)

enum kind
{
  KIND_REPORT, /* updates, and a query unless its number is 0 */
  KIND_REPLY
};

struct home
{
  uint64_t id;
  unsigned misses; /* queries in a row without a reply */
  int64_t silent_until;
};

/* A contribution of this gateway.  */
struct own
{
  uint64_t key;
  struct fleetsum_value value;
  uint64_t home; /* that was sent the value, or 0 */
  int64_t sent_us;
  unsigned zeros; /* times that it was sent since it became zero */
  int changed;
};

/* A contribution of another gateway to a key whose home is here.  */
struct part
{
  uint64_t sender;
  uint64_t sequence;
  int64_t received_us;
  struct fleetsum_value value;
};

struct query
{
  uint64_t number;
  int64_t end_us;
  uint64_t homes[FLEETSUM_KEYS_MAX]; /* that have not replied */
  size_t n_homes;
  int ended;
};

struct fleetsum
{
  uint64_t self;
  uint64_t sequence;
  const struct fleetsum_ops *ops;
  void *ctx;
  GArray *homes;      /* struct home */
  GHashTable *owns;   /* key -> struct own */
  GHashTable *hosted; /* key -> GArray of struct part */
  size_t n_parts;
  GQueue changed; /* struct own whose changes are to be sent */
  GQueue queries; /* struct query, the oldest first */
  uint64_t last_query;
};

static const struct fleetsum_value zero;

static void
parts_free (gpointer parts)
{
  g_array_free (parts, TRUE);
}

uint64_t
fleetsum_id (const char *name)
{
  return XXH64 (name, strlen (name), RANDOM_SEED);
}

struct fleetsum *
fleetsum_new (uint64_t self, uint64_t sequence, const struct fleetsum_ops *ops,
              void *ctx)
{
  struct fleetsum *fs = g_new0 (struct fleetsum, 1);

  fs->self = self;
  fs->sequence = sequence;
  fs->ops = ops;
  fs->ctx = ctx;
  fs->homes = g_array_new (FALSE, FALSE, sizeof (struct home));
  fs->owns = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  fs->hosted = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                      parts_free);
  g_queue_init (&fs->changed);
  g_queue_init (&fs->queries);
  return fs;
}

void
fleetsum_free (struct fleetsum *fs)
{
  g_queue_clear (&fs->changed);
  g_queue_clear_full (&fs->queries, g_free);
  g_hash_table_destroy (fs->owns);
  g_hash_table_destroy (fs->hosted);
  g_array_free (fs->homes, TRUE);
  g_free (fs);
}

static struct home *
find_home (const struct fleetsum *fs, uint64_t id)
{
  guint i;

  for (i = 0; i < fs->homes->len; i++)
    if (g_array_index (fs->homes, struct home, i).id == id)
      return &g_array_index (fs->homes, struct home, i);
  return NULL;
}

static void repeat (struct fleetsum *fs, int64_t now);

void
fleetsum_set_homes (struct fleetsum *fs, const uint64_t *homes, size_t n,
                    int64_t now)
{
  GArray *next = g_array_new (FALSE, FALSE, sizeof (struct home));
  size_t i;

  for (i = 0; i < n; i++)
    {
      struct home home = { homes[i], 0, 0 };
      const struct home *before = find_home (fs, homes[i]);
      if (before != NULL)
        home = *before;
      g_array_append_val (next, home);
    }
  g_array_free (fs->homes, TRUE);
  fs->homes = next;
  repeat (fs, now);
  fleetsum_flush (fs, now);
}

uint64_t
fleetsum_home (const struct fleetsum *fs, uint64_t key, int64_t now)
{
  uint64_t best = 0;
  uint64_t highest = 0;
  guint i;

  for (i = 0; i < fs->homes->len; i++)
    {
      const struct home *home = &g_array_index (fs->homes, struct home, i);
      uint64_t pair[2] = { home->id, key };
      uint64_t weight;
      if (now < home->silent_until)
        continue;
      weight = XXH64 (pair, sizeof pair, 0);
      if (best == 0 || weight > highest)
        {
          best = home->id;
          highest = weight;
        }
    }
  return best;
}

size_t
fleetsum_silent (const struct fleetsum *fs, int64_t now)
{
  size_t n = 0;
  guint i;

  for (i = 0; i < fs->homes->len; i++)
    n += now < g_array_index (fs->homes, struct home, i).silent_until;
  return n;
}

static int
is_zero (const struct fleetsum_value *value)
{
  return value->count == 0 && value->amount == 0 && value->state == 0;
}

int
fleetsum_set (struct fleetsum *fs, uint64_t key,
              const struct fleetsum_value *value)
{
  struct own *own = g_hash_table_lookup (fs->owns, &key);

  if (own == NULL)
    {
      if (is_zero (value))
        return 0;
      own = g_new0 (struct own, 1);
      own->key = key;
      g_hash_table_insert (fs->owns, &own->key, own);
    }
  else if (memcmp (&own->value, value, sizeof *value) == 0)
    return 0;
  own->value = *value;
  own->zeros = 0;
  if (!own->changed)
    g_queue_push_tail (&fs->changed, own);
  own->changed = 1;
  return 1;
}

/* A datagram that is being written: first the rows, then the keys.  */
struct report
{
  msgpack_sbuffer rows;
  size_t n_rows;
  msgpack_sbuffer keys;
  size_t n_keys;
};

static void
report_init (struct report *report)
{
  msgpack_sbuffer_init (&report->rows);
  msgpack_sbuffer_init (&report->keys);
  report->n_rows = 0;
  report->n_keys = 0;
}

static void
report_clear (struct report *report)
{
  msgpack_sbuffer_destroy (&report->rows);
  msgpack_sbuffer_destroy (&report->keys);
}

static int
has_room (const struct report *report, size_t bytes)
{
  return report->rows.size + report->keys.size + HEAD_BYTES_MAX + bytes
         <= FLEETSUM_BYTES_MAX;
}

static void
add_row (struct report *report, uint64_t key,
         const struct fleetsum_value *value)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, &report->rows, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, ROW_FIELDS);
  msgpack_pack_uint64 (&packer, key);
  msgpack_pack_uint32 (&packer, value->count);
  msgpack_pack_uint32 (&packer, value->amount);
  msgpack_pack_uint32 (&packer, value->state);
  report->n_rows++;
}

static void
add_key (struct report *report, uint64_t key)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, &report->keys, msgpack_sbuffer_write);
  msgpack_pack_uint64 (&packer, key);
  report->n_keys++;
}

static void
send_report (struct fleetsum *fs, uint64_t to, enum kind kind, uint64_t query,
             struct report *report)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, MESSAGE_FIELDS);
  msgpack_pack_int (&packer, VERSION);
  msgpack_pack_int (&packer, (int)kind);
  msgpack_pack_uint64 (&packer, fs->self);
  msgpack_pack_uint64 (&packer, ++fs->sequence);
  msgpack_pack_uint64 (&packer, query);
  msgpack_pack_array (&packer, report->n_rows);
  msgpack_sbuffer_write (&buffer, report->rows.data, report->rows.size);
  msgpack_pack_array (&packer, report->n_keys);
  msgpack_sbuffer_write (&buffer, report->keys.data, report->keys.size);
  fs->ops->send (fs->ctx, to, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  report_clear (report);
  report_init (report);
}

/* Notes that the value of OWN was sent to HOME.  */
static void
note_sent (struct fleetsum *fs, struct own *own, uint64_t home, int64_t now)
{
  own->home = home;
  own->sent_us = now;
  own->zeros += is_zero (&own->value);
  if (!own->changed)
    return;
  own->changed = 0;
  g_queue_remove (&fs->changed, own);
}

/* Adds the contributions to the keys of HOME that are to be sent.  */
static void
add_changed (struct fleetsum *fs, uint64_t home, struct report *report,
             int64_t now)
{
  GList *link = fs->changed.head;

  while (link != NULL && has_room (report, ROW_BYTES_MAX))
    {
      struct own *own = link->data;
      link = link->next;
      if (fleetsum_home (fs, own->key, now) != home)
        continue;
      add_row (report, own->key, &own->value);
      note_sent (fs, own, home, now);
    }
}

void
fleetsum_flush (struct fleetsum *fs, int64_t now)
{
  struct report report;

  report_init (&report);
  while (fs->changed.head != NULL)
    {
      struct own *own = fs->changed.head->data;
      uint64_t home = fleetsum_home (fs, own->key, now);
      if (home == 0 || home == fs->self)
        {
          note_sent (fs, own, home, now);
          continue;
        }
      add_changed (fs, home, &report, now);
      send_report (fs, home, KIND_REPORT, 0, &report);
    }
  report_clear (&report);
}

/* Marks the contributions to be sent again, since the last datagram may have
   been lost or the home has changed.  Forgets those that are zero.  */
static void
repeat (struct fleetsum *fs, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fs->owns);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct own *own = value;
      int64_t due_us
          = own->sent_us + (own->zeros > 0 ? REPEAT_ZERO_US : REPEAT_US);
      if (own->changed
          || (now < due_us && fleetsum_home (fs, own->key, now) == own->home))
        continue;
      if (own->zeros > 1)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      own->changed = 1;
      g_queue_push_tail (&fs->changed, own);
    }
}

void
fleetsum_expire (struct fleetsum *fs, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fs->hosted);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GArray *parts = value;
      guint i = 0;
      while (i < parts->len)
        if (now - g_array_index (parts, struct part, i).received_us
            > EXPIRY_US)
          {
            g_array_remove_index_fast (parts, i);
            fs->n_parts--;
          }
        else
          i++;
      if (parts->len == 0)
        g_hash_table_iter_remove (&iter);
    }
  repeat (fs, now);
  fleetsum_flush (fs, now);
}

/* Sets SUM to the contributions to KEY kept here, but for those of EXCEPT.  */
static void
sum_parts (const struct fleetsum *fs, uint64_t key, uint64_t except,
           struct fleetsum_value *sum)
{
  const GArray *parts = g_hash_table_lookup (fs->hosted, &key);
  const struct own *own = g_hash_table_lookup (fs->owns, &key);
  guint i;

  *sum = zero;
  if (own != NULL && except != fs->self)
    *sum = own->value;
  for (i = 0; parts != NULL && i < parts->len; i++)
    {
      const struct part *part = &g_array_index (parts, struct part, i);
      if (part->sender == except)
        continue;
      sum->count += part->value.count;
      sum->amount += part->value.amount;
      sum->state = MAX (sum->state, part->value.state);
    }
}

uint64_t
fleetsum_query (struct fleetsum *fs, const uint64_t *keys, size_t n,
                int64_t now)
{
  struct query *query = g_new0 (struct query, 1);
  uint64_t home_of[FLEETSUM_KEYS_MAX];
  struct report report;
  size_t i;
  size_t k;

  n = MIN (n, (size_t)FLEETSUM_KEYS_MAX);
  query->number = ++fs->last_query;
  query->end_us = now + FLEETSUM_QUERY_US;
  report_init (&report);
  for (i = 0; i < n; i++)
    {
      struct fleetsum_value sum;
      home_of[i] = fleetsum_home (fs, keys[i], now);
      if (home_of[i] != fs->self)
        continue;
      sum_parts (fs, keys[i], fs->self, &sum);
      fs->ops->sum (fs->ctx, keys[i], &sum, now);
    }
  for (i = 0; i < n; i++)
    {
      uint64_t home = home_of[i];
      if (home == 0 || home == fs->self)
        continue;
      for (k = i; k < n; k++)
        if (home_of[k] == home)
          {
            add_key (&report, keys[k]);
            home_of[k] = 0;
          }
      add_changed (fs, home, &report, now);
      send_report (fs, home, KIND_REPORT, query->number, &report);
      query->homes[query->n_homes++] = home;
    }
  report_clear (&report);
  if (query->n_homes == 0)
    {
      g_free (query);
      return 0;
    }
  g_queue_push_tail (&fs->queries, query);
  return query->number;
}

static GList *
find_query (struct fleetsum *fs, uint64_t number)
{
  GList *link;

  for (link = fs->queries.head; link != NULL; link = link->next)
    if (((struct query *)link->data)->number == number)
      return link;
  return NULL;
}

void
fleetsum_cancel (struct fleetsum *fs, uint64_t query)
{
  GList *link = find_query (fs, query);

  /* It stays in the queue, since a home without a reply counts as missed.  */
  if (link != NULL)
    ((struct query *)link->data)->ended = 1;
}

static void
note_missed (struct fleetsum *fs, uint64_t id, int64_t now)
{
  struct home *home = find_home (fs, id);

  if (home == NULL || ++home->misses <= MISSES_TOLERATED)
    return;
  home->misses = MISSES_TOLERATED; /* after the silence one miss is enough */
  home->silent_until = now + FLEETSUM_SILENCE_US;
}

int64_t
fleetsum_advance (struct fleetsum *fs, int64_t now)
{
  struct query *query;
  size_t i;

  while ((query = g_queue_peek_head (&fs->queries)) != NULL
         && now >= query->end_us)
    {
      g_queue_pop_head (&fs->queries);
      for (i = 0; i < query->n_homes; i++)
        note_missed (fs, query->homes[i], now);
      if (!query->ended)
        fs->ops->done (fs->ctx, query->number, query->n_homes);
      g_free (query);
    }
  return query != NULL ? query->end_us : -1;
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
read_row (const msgpack_object *from, uint64_t *key,
          struct fleetsum_value *value)
{
  const msgpack_object *field = from->via.array.ptr;
  uint64_t count;
  uint64_t amount;
  uint64_t state;

  if (from->type != MSGPACK_OBJECT_ARRAY || from->via.array.size != ROW_FIELDS
      || read_uint (&field[0], UINT64_MAX, key) != 0
      || read_uint (&field[1], UINT32_MAX, &count) != 0
      || read_uint (&field[2], UINT32_MAX, &amount) != 0
      || read_uint (&field[3], FLEETSUM_STATE_MAX, &state) != 0)
    return -1;
  value->count = (uint32_t)count;
  value->amount = (uint32_t)amount;
  value->state = (uint32_t)state;
  return 0;
}

/* A message whose form has been checked.  */
struct message
{
  uint64_t kind;
  uint64_t sender;
  uint64_t sequence;
  uint64_t query;
  const msgpack_object_array *rows;
  const msgpack_object_array *keys;
};

static int
read_message (const msgpack_object *from, struct message *message)
{
  const msgpack_object *field = from->via.array.ptr;
  struct fleetsum_value value;
  uint64_t version;
  uint64_t key;
  uint32_t i;

  if (from->type != MSGPACK_OBJECT_ARRAY
      || from->via.array.size != MESSAGE_FIELDS
      || read_uint (&field[0], VERSION, &version) != 0 || version != VERSION
      || read_uint (&field[1], KIND_REPLY, &message->kind) != 0
      || read_uint (&field[2], UINT64_MAX, &message->sender) != 0
      || read_uint (&field[3], UINT64_MAX, &message->sequence) != 0
      || read_uint (&field[4], UINT64_MAX, &message->query) != 0
      || field[5].type != MSGPACK_OBJECT_ARRAY
      || field[6].type != MSGPACK_OBJECT_ARRAY
      || field[6].via.array.size > FLEETSUM_KEYS_MAX)
    return -1;
  message->rows = &field[5].via.array;
  message->keys = &field[6].via.array;
  for (i = 0; i < message->rows->size; i++)
    if (read_row (&message->rows->ptr[i], &key, &value) != 0)
      return -1;
  for (i = 0; i < message->keys->size; i++)
    if (read_uint (&message->keys->ptr[i], UINT64_MAX, &key) != 0)
      return -1;
  return 0;
}

/* Keeps VALUE as the contribution of the sender of MESSAGE to KEY.  A zero is
   kept too until it expires, so that an update that was overtaken by it isn't
   taken for a later one.  */
static void
keep_part (struct fleetsum *fs, const struct message *message, uint64_t key,
           const struct fleetsum_value *value, int64_t now)
{
  GArray *parts = g_hash_table_lookup (fs->hosted, &key);
  struct part part = { message->sender, message->sequence, now, *value };
  guint i;

  for (i = 0; parts != NULL && i < parts->len; i++)
    {
      struct part *old = &g_array_index (parts, struct part, i);
      if (old->sender != message->sender)
        continue;
      if (message->sequence > old->sequence)
        *old = part;
      return;
    }
  if (fs->n_parts >= PARTS_MAX)
    return;
  if (parts == NULL)
    {
      parts = g_array_new (FALSE, FALSE, sizeof (struct part));
      g_hash_table_insert (fs->hosted, g_memdup2 (&key, sizeof key), parts);
    }
  g_array_append_val (parts, part);
  fs->n_parts++;
}

static void
handle_report (struct fleetsum *fs, const struct message *message, int64_t now)
{
  struct fleetsum_value value;
  struct report reply;
  uint64_t key;
  uint32_t i;

  for (i = 0; i < message->rows->size; i++)
    if (read_row (&message->rows->ptr[i], &key, &value) == 0)
      keep_part (fs, message, key, &value, now);
  if (message->query == 0)
    return;
  report_init (&reply);
  for (i = 0; i < message->keys->size; i++)
    {
      key = message->keys->ptr[i].via.u64;
      sum_parts (fs, key, message->sender, &value);
      add_row (&reply, key, &value);
    }
  send_report (fs, message->sender, KIND_REPLY, message->query, &reply);
  report_clear (&reply);
}

static void
handle_reply (struct fleetsum *fs, const struct message *message, int64_t now)
{
  GList *link = find_query (fs, message->query);
  struct home *home = find_home (fs, message->sender);
  struct fleetsum_value value;
  struct query *query;
  uint64_t key;
  uint32_t i;

  if (home != NULL)
    {
      home->misses = 0;
      home->silent_until = 0;
    }
  for (i = 0; i < message->rows->size; i++)
    if (read_row (&message->rows->ptr[i], &key, &value) == 0)
      fs->ops->sum (fs->ctx, key, &value, now);
  if (link == NULL)
    return;
  query = link->data;
  for (i = 0; i < query->n_homes; i++)
    if (query->homes[i] == message->sender)
      {
        query->homes[i] = query->homes[--query->n_homes];
        break;
      }
  if (query->n_homes > 0)
    return;
  g_queue_delete_link (&fs->queries, link);
  if (!query->ended)
    fs->ops->done (fs->ctx, query->number, 0);
  g_free (query);
}

int
fleetsum_receive (struct fleetsum *fs, const char *data, size_t size,
                  int64_t now, struct err *err)
{
  msgpack_unpacked unpacked;
  struct message message;
  size_t offset = 0;
  int rc = -1;

  if (mpcheck (data, size) != 0)
    return err_set (err, ERR_PROTOCOL, "read report", NULL,
                    "a datagram of %zu bytes is not one MessagePack object",
                    size);
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, data, size, &offset)
          == MSGPACK_UNPACK_SUCCESS
      && read_message (&unpacked.data, &message) == 0
      && message.sender != fs->self)
    rc = 0;
  else
    err_set (err, ERR_PROTOCOL, "read report", NULL,
             "a datagram of %zu bytes is no report of version %d from "
             "another gateway",
             size, VERSION);
  if (rc == 0 && message.kind == KIND_REPORT)
    handle_report (fs, &message, now);
  else if (rc == 0)
    handle_reply (fs, &message, now);
  msgpack_unpacked_destroy (&unpacked);
  return rc;
}
