#include "crashfeed.h"

#include <glib.h>
#include <msgpack.h>
#include <string.h>

#include "mpcheck.h"

/* Kinds of datagrams; others between gateways have other numbers.  */
enum kind
{
  KIND_EVIDENCE = 4,
  KIND_SUSPICION = 6 /* a row without a crash is the beginning of a trial */
};

enum
{
  MESSAGE_FIELDS = 4,
  ROW_FIELDS = 3,
  ROWS_MAX = 50,             /* of a datagram */
  LISTED_MAX = 2 * ROWS_MAX, /* told to a gateway that asks */
  REPEATS_MAX = 1000
};

/* Times after which evidence is told again.  */
static const int64_t repeat_after_us[] = { 100000, 400000 };

struct message
{
  enum kind kind;
  uint64_t sender;
  int asks; /* the sender wants to be told */
  struct quarantine_evidence rows[ROWS_MAX];
  size_t n_rows;
};

/* Evidence that is told again.  */
struct repeat
{
  enum kind kind;
  struct quarantine_evidence evidence;
  int64_t first_us; /* when it was told first */
  unsigned times;
};

struct crashfeed
{
  uint64_t self;
  const struct crashfeed_ops *ops;
  void *ctx;
  struct quarantine *table;
  GHashTable *shared; /* keys whose evidence other gateways have */
  GArray *repeats;    /* struct repeat */
  int64_t asked_us;
};

struct crashfeed *
crashfeed_new (uint64_t self, size_t answered_max,
               const struct crashfeed_ops *ops, void *ctx)
{
  struct crashfeed *cf = g_new0 (struct crashfeed, 1);

  cf->self = self;
  cf->ops = ops;
  cf->ctx = ctx;
  cf->table = quarantine_new (answered_max);
  cf->shared
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  cf->repeats = g_array_new (FALSE, FALSE, sizeof (struct repeat));
  return cf;
}

void
crashfeed_free (struct crashfeed *cf)
{
  quarantine_free (cf->table);
  g_hash_table_destroy (cf->shared);
  g_array_free (cf->repeats, TRUE);
  g_free (cf);
}

const struct quarantine *
crashfeed_table (const struct crashfeed *cf)
{
  return cf->table;
}

static void
send_message (struct crashfeed *cf, uint64_t to, const struct message *message)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  size_t i;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, MESSAGE_FIELDS);
  msgpack_pack_int (&packer, message->kind);
  msgpack_pack_uint64 (&packer, cf->self);
  msgpack_pack_int (&packer, message->asks != 0);
  msgpack_pack_array (&packer, message->n_rows);
  for (i = 0; i < message->n_rows; i++)
    {
      const struct quarantine_evidence *row = &message->rows[i];
      msgpack_pack_array (&packer, ROW_FIELDS);
      msgpack_pack_uint64 (&packer, row->key);
      msgpack_pack_uint64 (&packer, row->crash);
      msgpack_pack_uint64 (
          &packer,
          (uint64_t)CLAMP (row->age_us, 0, QUARANTINE_MEMORY_US) / 1000);
    }
  cf->ops->send (cf->ctx, to, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
}

/* Sends N pieces of evidence to the gateway TO, or to all if it is 0.  */
static void
tell (struct crashfeed *cf, uint64_t to, enum kind kind,
      const struct quarantine_evidence *evidence, size_t n)
{
  struct message message = { .kind = kind };

  while (n > 0)
    {
      message.n_rows = MIN (n, (size_t)ROWS_MAX);
      memcpy (message.rows, evidence, message.n_rows * sizeof *evidence);
      send_message (cf, to, &message);
      evidence += message.n_rows;
      n -= message.n_rows;
    }
}

/* Tells all gateways, now and later again.  */
static void
tell_all (struct crashfeed *cf, enum kind kind,
          const struct quarantine_evidence *evidence, size_t n, int64_t now)
{
  size_t i;

  tell (cf, 0, kind, evidence, n);
  for (i = 0; i < n && cf->repeats->len < REPEATS_MAX; i++)
    {
      struct repeat repeat = { kind, evidence[i], now, 0 };
      g_array_append_val (cf->repeats, repeat);
    }
}

static void
note_shared (struct crashfeed *cf, uint64_t key)
{
  if (g_hash_table_size (cf->shared) >= QUARANTINE_ACCUSED_MAX)
    g_hash_table_remove_all (cf->shared);
  g_hash_table_add (cf->shared, g_memdup2 (&key, sizeof key));
}

/* Adds evidence of this gateway.  Returns nonzero when the others are to be
   told.  */
static int
add_own (struct crashfeed *cf, const struct quarantine_evidence *evidence,
         int64_t now)
{
  int64_t answered = quarantine_answered_us (cf->table, evidence->key);
  size_t known = quarantine_crashes (cf->table, evidence->key);

  switch (quarantine_add (cf->table, evidence, now))
    {
    case QUARANTINE_CONVICTED:
      cf->ops->convicted (cf->ctx, evidence->key);
      break;
    case QUARANTINE_NOTED:
      if (known == 0 && answered > now - QUARANTINE_IN_USE_US)
        return 0;
      break;
    case QUARANTINE_CLEARED:
      return g_hash_table_remove (cf->shared, &evidence->key);
    default:
      return 0;
    }
  note_shared (cf, evidence->key);
  return 1;
}

void
crashfeed_add (struct crashfeed *cf,
               const struct quarantine_evidence *evidence, size_t n,
               int64_t now)
{
  struct quarantine_evidence *told = g_new (struct quarantine_evidence, n);
  size_t n_told = 0;
  size_t i;

  for (i = 0; i < n; i++)
    if (add_own (cf, &evidence[i], now))
      told[n_told++] = evidence[i];
  tell_all (cf, KIND_EVIDENCE, told, n_told, now);
  g_free (told);
}

void
crashfeed_suspect (struct crashfeed *cf,
                   const struct quarantine_evidence *evidence, size_t n,
                   int64_t now)
{
  struct quarantine_evidence *told = g_new (struct quarantine_evidence, n);
  size_t n_told = 0;
  size_t i;

  for (i = 0; i < n; i++)
    if (quarantine_suspect (cf->table, &evidence[i], now) == QUARANTINE_NOTED
        && quarantine_answered_us (cf->table, evidence[i].key)
               <= now - QUARANTINE_IN_USE_US)
      {
        note_shared (cf, evidence[i].key);
        told[n_told++] = evidence[i];
      }
  tell_all (cf, KIND_SUSPICION, told, n_told, now);
  g_free (told);
}

void
crashfeed_begin_trial (struct crashfeed *cf, uint64_t key, int64_t now)
{
  struct quarantine_evidence trial = { key, 0, 0 };

  quarantine_begin_trial (cf->table, key, now);
  note_shared (cf, key);
  tell_all (cf, KIND_SUSPICION, &trial, 1, now);
}

void
crashfeed_hold (struct crashfeed *cf, uint64_t key, int64_t now)
{
  quarantine_hold (cf->table, key, now);
}

/* Adds evidence of another gateway.  Returns nonzero with ANSWER set when a
   later answer is known here.  */
static int
add_told (struct crashfeed *cf, enum kind kind,
          const struct quarantine_evidence *evidence,
          struct quarantine_evidence *answer, int64_t now)
{
  if (kind == KIND_SUSPICION && evidence->crash == 0)
    {
      quarantine_begin_trial (cf->table, evidence->key,
                              now - evidence->age_us);
      return 0;
    }
  switch (kind == KIND_SUSPICION
              ? quarantine_suspect (cf->table, evidence, now)
              : quarantine_add (cf->table, evidence, now))
    {
    case QUARANTINE_CONVICTED:
      cf->ops->convicted (cf->ctx, evidence->key);
      /* fall through */
    case QUARANTINE_NOTED:
      note_shared (cf, evidence->key);
      return 0;
    case QUARANTINE_CLEARED:
      g_hash_table_remove (cf->shared, &evidence->key);
      return 0;
    case QUARANTINE_REFUTED:
      answer->key = evidence->key;
      answer->crash = 0;
      answer->age_us = now - quarantine_answered_us (cf->table, evidence->key);
      return 1;
    default:
      return 0;
    }
}

int
crashfeed_is_datagram (const char *data, size_t size)
{
  return size > 2 && (unsigned char)data[0] == (0x90 | MESSAGE_FIELDS)
         && (data[1] == KIND_EVIDENCE || data[1] == KIND_SUSPICION);
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
read_row (const msgpack_object *from, struct quarantine_evidence *row)
{
  const msgpack_object *field = from->via.array.ptr;
  uint64_t age_ms;

  if (from->type != MSGPACK_OBJECT_ARRAY || from->via.array.size != ROW_FIELDS
      || read_uint (&field[0], UINT64_MAX, &row->key) != 0
      || read_uint (&field[1], UINT64_MAX, &row->crash) != 0
      || read_uint (&field[2], QUARANTINE_MEMORY_US / 1000, &age_ms) != 0)
    return -1;
  row->age_us = (int64_t)age_ms * 1000;
  return 0;
}

static int
read_message (const msgpack_object *from, struct message *message)
{
  const msgpack_object *field = from->via.array.ptr;
  uint64_t kind;
  uint64_t asks;
  uint32_t i;

  if (from->type != MSGPACK_OBJECT_ARRAY
      || from->via.array.size != MESSAGE_FIELDS
      || read_uint (&field[0], KIND_SUSPICION, &kind) != 0
      || (kind != KIND_EVIDENCE && kind != KIND_SUSPICION)
      || read_uint (&field[1], UINT64_MAX, &message->sender) != 0
      || read_uint (&field[2], 1, &asks) != 0
      || field[3].type != MSGPACK_OBJECT_ARRAY
      || field[3].via.array.size > ROWS_MAX)
    return -1;
  message->kind = (enum kind)kind;
  message->asks = (int)asks;
  message->n_rows = field[3].via.array.size;
  for (i = 0; i < message->n_rows; i++)
    if (read_row (&field[3].via.array.ptr[i], &message->rows[i]) != 0)
      return -1;
  return 0;
}

int
crashfeed_receive (struct crashfeed *cf, const char *data, size_t size,
                   int64_t now, struct err *err)
{
  struct quarantine_evidence listed[LISTED_MAX];
  struct message message;
  msgpack_unpacked unpacked;
  size_t offset = 0;
  size_t n = 0;
  size_t i;
  int rc = -1;

  msgpack_unpacked_init (&unpacked);
  if (mpcheck (data, size) == 0
      && msgpack_unpack_next (&unpacked, data, size, &offset)
             == MSGPACK_UNPACK_SUCCESS
      && read_message (&unpacked.data, &message) == 0)
    rc = 0;
  msgpack_unpacked_destroy (&unpacked);
  if (rc != 0)
    return err_set (err, ERR_PROTOCOL, "read evidence", NULL,
                    "a datagram of %zu bytes holds no evidence", size);
  for (i = 0; i < message.n_rows; i++)
    n += (size_t)add_told (cf, message.kind, &message.rows[i], &listed[n],
                           now);
  tell (cf, 0, KIND_EVIDENCE, listed, n);
  if (message.asks)
    tell (cf, message.sender, KIND_EVIDENCE, listed,
          quarantine_list (cf->table, listed, LISTED_MAX, now));
  return 0;
}

/* Tells again what is due of KIND.  */
static void
tell_repeats (struct crashfeed *cf, enum kind kind, int64_t now)
{
  struct quarantine_evidence due[ROWS_MAX];
  size_t n = 0;
  guint i = 0;

  while (i < cf->repeats->len && n < ROWS_MAX)
    {
      struct repeat *repeat = &g_array_index (cf->repeats, struct repeat, i);
      if (repeat->kind != kind
          || now < repeat->first_us + repeat_after_us[repeat->times])
        {
          i++;
          continue;
        }
      due[n] = repeat->evidence;
      due[n++].age_us += now - repeat->first_us;
      if (++repeat->times == G_N_ELEMENTS (repeat_after_us))
        g_array_remove_index_fast (cf->repeats, i);
      else
        i++;
    }
  tell (cf, 0, kind, due, n);
}

void
crashfeed_tick (struct crashfeed *cf, int64_t now)
{
  struct message message = { .kind = KIND_EVIDENCE, .asks = 1 };
  uint64_t to;

  tell_repeats (cf, KIND_EVIDENCE, now);
  tell_repeats (cf, KIND_SUSPICION, now);
  if (now - cf->asked_us < CRASHFEED_ASK_US)
    return;
  cf->asked_us = now;
  to = cf->ops->any (cf->ctx);
  if (to != 0)
    send_message (cf, to, &message);
}
