#include "lshr.h"

#include <msgpack.h>
#include <string.h>

enum
{
  VERSION = 1,
  WORD_FIELDS = 5,
  READING_SCALE = 1000,    /* sent as a whole number */
  INTERVAL_EACH_US = 5000, /* bounds the datagrams received to 200/s */
  INTERVAL_LEAST_US = 20000
};

/* What one gateway has at one runner.  */
struct row
{
  uint64_t runner; /* memb_runner.hash */
  size_t at;       /* place of the runner when it was last looked up */
  unsigned calls;
  double tokens;
  enum memb_stage ordered;
};

struct teller
{
  uint64_t sequence;
  double reading;
  int64_t heard_us;
  GArray *rows;
};

struct lshr
{
  GHashTable *tellers; /* name -> struct teller */
};

static void
teller_free (gpointer data)
{
  struct teller *teller = data;

  g_array_free (teller->rows, TRUE);
  g_free (teller);
}

struct lshr *
lshr_new (void)
{
  struct lshr *lshr = g_new0 (struct lshr, 1);

  lshr->tellers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, teller_free);
  return lshr;
}

void
lshr_free (struct lshr *lshr)
{
  g_hash_table_destroy (lshr->tellers);
  g_free (lshr);
}

static int
has_word (const struct memb_runner *runner)
{
  return runner->entry.stage != MEMB_STAGE_ANY
         && (runner->calls > 0 || runner->ordered != MEMB_STAGE_ANY);
}

void
lshr_encode (const char *self, uint64_t sequence, double reading,
             const struct memb *memb, GString *out)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  size_t rows = 0;
  size_t i;

  for (i = 0; i < memb_count (memb); i++)
    rows += has_word (memb_at (memb, i)) != 0;
  rows = MIN (rows, (size_t)LSHR_ROWS_MAX);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, WORD_FIELDS);
  msgpack_pack_int (&packer, VERSION);
  msgpack_pack_str (&packer, strlen (self));
  msgpack_pack_str_body (&packer, self, strlen (self));
  msgpack_pack_uint64 (&packer, sequence);
  msgpack_pack_uint64 (&packer, (uint64_t)(reading * READING_SCALE));
  msgpack_pack_array (&packer, rows);
  for (i = 0; i < memb_count (memb) && rows > 0; i++)
    {
      const struct memb_runner *runner = memb_at (memb, i);
      if (!has_word (runner))
        continue;
      rows--;
      msgpack_pack_array (&packer, 4);
      msgpack_pack_uint64 (&packer, runner->hash);
      msgpack_pack_unsigned_int (&packer, runner->calls);
      msgpack_pack_uint64 (&packer, (uint64_t)runner->tokens);
      msgpack_pack_int (&packer, runner->ordered);
    }
  g_string_append_len (out, buffer.data, (gssize)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
}

static int
uint_of (const msgpack_object *object, uint64_t max, uint64_t *value)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
    return -1;
  *value = object->via.u64;
  return 0;
}

static int
row_read (const msgpack_object *from, struct row *row)
{
  uint64_t calls;
  uint64_t tokens;
  uint64_t ordered;

  if (from->type != MSGPACK_OBJECT_ARRAY || from->via.array.size != 4
      || uint_of (&from->via.array.ptr[0], UINT64_MAX, &row->runner) != 0
      || uint_of (&from->via.array.ptr[1], UINT16_MAX, &calls) != 0
      || uint_of (&from->via.array.ptr[2], UINT32_MAX, &tokens) != 0
      || uint_of (&from->via.array.ptr[3], MEMB_STAGE_DECODE, &ordered) != 0)
    return -1;
  row->at = 0;
  row->calls = (unsigned)calls;
  row->tokens = (double)tokens;
  row->ordered = (enum memb_stage)ordered;
  return 0;
}

/* Reads the rows of a word into ROWS.  Returns 0 or -1.  */
static int
rows_read (const msgpack_object *from, GArray *rows)
{
  struct row row;
  uint32_t i;

  if (from->type != MSGPACK_OBJECT_ARRAY
      || from->via.array.size > LSHR_ROWS_MAX)
    return -1;
  for (i = 0; i < from->via.array.size; i++)
    {
      if (row_read (&from->via.array.ptr[i], &row) != 0)
        return -1;
      g_array_append_val (rows, row);
    }
  return 0;
}

/* Returns the runner of ROW, or null.  Each word sums up the rows of all, so
   the place is kept: runners rarely move.  */
static struct memb_runner *
runner_of (struct memb *memb, struct row *row)
{
  size_t i;

  if (row->at < memb_count (memb)
      && memb_at (memb, row->at)->hash == row->runner)
    return memb_at (memb, row->at);
  for (i = 0; i < memb_count (memb); i++)
    if (memb_at (memb, i)->hash == row->runner)
      {
        row->at = i;
        return memb_at (memb, i);
      }
  return NULL;
}

/* Adds the word of all tellers up to the runners.  */
static void
sum (struct lshr *lshr, struct memb *memb, int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  size_t i;
  guint k;

  for (i = 0; i < memb_count (memb); i++)
    {
      struct memb_runner *runner = memb_at (memb, i);
      runner->others_calls = 0;
      runner->others_tokens = 0;
      runner->others_us = now;
      runner->others_ordered = MEMB_STAGE_ANY;
    }
  g_hash_table_iter_init (&iter, lshr->tellers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct teller *teller = value;
      for (k = 0; k < teller->rows->len; k++)
        {
          struct row *row = &g_array_index (teller->rows, struct row, k);
          struct memb_runner *runner = runner_of (memb, row);
          if (runner == NULL)
            continue;
          runner->others_calls += row->calls;
          runner->others_tokens += row->tokens;
          if (row->ordered != MEMB_STAGE_ANY
              && row->ordered != runner->entry.stage)
            runner->others_ordered = row->ordered;
        }
    }
}

static int
word_apply (struct lshr *lshr, const msgpack_object *word, const char *self,
            int64_t now, struct err *err)
{
  const msgpack_object *field = word->via.array.ptr;
  struct teller *teller;
  GArray *rows;
  uint64_t version;
  uint64_t sequence;
  uint64_t reading;
  char *name;

  if (word->type != MSGPACK_OBJECT_ARRAY || word->via.array.size != WORD_FIELDS
      || uint_of (&field[0], VERSION, &version) != 0 || version != VERSION
      || field[1].type != MSGPACK_OBJECT_STR
      || uint_of (&field[2], UINT64_MAX, &sequence) != 0
      || uint_of (&field[3], UINT32_MAX, &reading) != 0)
    return err_set (err, ERR_PROTOCOL, "read load", NULL, "malformed");
  rows = g_array_new (FALSE, FALSE, sizeof (struct row));
  name = g_strndup (field[1].via.str.ptr, field[1].via.str.size);
  teller = g_hash_table_lookup (lshr->tellers, name);
  if (rows_read (&field[4], rows) != 0 || strcmp (name, self) == 0
      || (teller != NULL && sequence <= teller->sequence))
    {
      g_array_free (rows, TRUE);
      err_set (err, ERR_PROTOCOL, "read load", name, "malformed or old");
      g_free (name);
      return -1;
    }
  if (teller == NULL)
    {
      teller = g_new0 (struct teller, 1);
      g_hash_table_insert (lshr->tellers, name, teller);
    }
  else
    {
      g_array_free (teller->rows, TRUE);
      g_free (name);
    }
  teller->rows = rows;
  teller->sequence = sequence;
  teller->reading = (double)reading / READING_SCALE;
  teller->heard_us = now;
  return 0;
}

int
lshr_apply (struct lshr *lshr, struct memb *memb, const char *self,
            const char *data, size_t size, int64_t now, struct err *err)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  int rc;

  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, data, size, &offset)
          != MSGPACK_UNPACK_SUCCESS
      || offset != size)
    rc = err_set (err, ERR_PROTOCOL, "read load", NULL, "not a whole word");
  else
    rc = word_apply (lshr, &unpacked.data, self, now, err);
  msgpack_unpacked_destroy (&unpacked);
  if (rc == 0)
    sum (lshr, memb, now);
  return rc;
}

void
lshr_tick (struct lshr *lshr, struct memb *memb, int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  int changed = 0;

  g_hash_table_iter_init (&iter, lshr->tellers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now - ((struct teller *)value)->heard_us > LSHR_SILENCE_US)
      {
        g_hash_table_iter_remove (&iter);
        changed = 1;
      }
  if (changed)
    sum (lshr, memb, now);
}

double
lshr_reading (const struct lshr *lshr)
{
  GHashTableIter iter;
  gpointer value;
  double sum = 0;

  g_hash_table_iter_init (&iter, lshr->tellers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    sum += ((const struct teller *)value)->reading;
  return sum;
}

int64_t
lshr_interval (unsigned processes)
{
  int64_t interval = (int64_t)processes * INTERVAL_EACH_US;

  return MAX (interval, (int64_t)INTERVAL_LEAST_US);
}
