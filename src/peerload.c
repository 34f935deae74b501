#include "peerload.h"

#include <msgpack.h>
#include <string.h>

enum
{
  VERSION = 1,
  REPORT_FIELDS = 5,
  PREFILL_DEMAND_SCALE = 1000,    /* the demand is sent as an integer */
  INTERVAL_PER_GATEWAY_US = 5000, /* bounds the datagrams received to 200/s */
  INTERVAL_MIN_US = 20000
};

/* Load of one gateway at one runner.  */
struct row
{
  uint64_t runner; /* pool_runner.hash */
  size_t at;       /* index of the runner when it was last looked up */
  unsigned calls;
  double tokens;
  enum pool_stage ordered;
};

/* A peer gateway and its latest report.  */
struct sender
{
  uint64_t sequence;
  double prefill_demand;
  int64_t received_us;
  GArray *rows;
};

struct peerload
{
  GHashTable *load_senders; /* name -> struct sender */
};

static void
sender_free (gpointer data)
{
  struct sender *sender = data;

  g_array_free (sender->rows, TRUE);
  g_free (sender);
}

struct peerload *
peerload_new (void)
{
  struct peerload *peerload = g_new0 (struct peerload, 1);

  peerload->load_senders
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, sender_free);
  return peerload;
}

void
peerload_free (struct peerload *peerload)
{
  g_hash_table_destroy (peerload->load_senders);
  g_free (peerload);
}

/* Returns nonzero when RUNNER has a row in the report.  */
static int
needs_row (const struct pool_runner *runner)
{
  return runner->entry.stage != POOL_STAGE_ANY
         && (runner->calls > 0 || runner->ordered != POOL_STAGE_ANY);
}

void
peerload_encode (const char *self, uint64_t sequence, double prefill_demand,
                 const struct runner_pool *runner_pool, GString *out)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  size_t rows = 0;
  size_t i;

  for (i = 0; i < pool_count (runner_pool); i++)
    rows += needs_row (pool_at (runner_pool, i)) != 0;
  rows = MIN (rows, (size_t)PEERLOAD_ROWS_MAX);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, REPORT_FIELDS);
  msgpack_pack_int (&packer, VERSION);
  msgpack_pack_str (&packer, strlen (self));
  msgpack_pack_str_body (&packer, self, strlen (self));
  msgpack_pack_uint64 (&packer, sequence);
  msgpack_pack_uint64 (&packer,
                       (uint64_t)(prefill_demand * PREFILL_DEMAND_SCALE));
  msgpack_pack_array (&packer, rows);
  for (i = 0; i < pool_count (runner_pool) && rows > 0; i++)
    {
      const struct pool_runner *runner = pool_at (runner_pool, i);
      if (!needs_row (runner))
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
      || uint_of (&from->via.array.ptr[3], POOL_STAGE_DECODE, &ordered) != 0)
    return -1;
  row->at = 0;
  row->calls = (unsigned)calls;
  row->tokens = (double)tokens;
  row->ordered = (enum pool_stage)ordered;
  return 0;
}

/* Reads the rows of a report into ROWS.  Returns 0 or -1.  */
static int
rows_read (const msgpack_object *from, GArray *rows)
{
  struct row row;
  uint32_t i;

  if (from->type != MSGPACK_OBJECT_ARRAY
      || from->via.array.size > PEERLOAD_ROWS_MAX)
    return -1;
  for (i = 0; i < from->via.array.size; i++)
    {
      if (row_read (&from->via.array.ptr[i], &row) != 0)
        return -1;
      g_array_append_val (rows, row);
    }
  return 0;
}

/* Returns the runner of ROW, or null.  Each report causes a look-up of all
   rows, so the index is cached; it rarely changes.  */
static struct pool_runner *
find_runner (struct runner_pool *runner_pool, struct row *row)
{
  size_t i;

  if (row->at < pool_count (runner_pool)
      && pool_at (runner_pool, row->at)->hash == row->runner)
    return pool_at (runner_pool, row->at);
  for (i = 0; i < pool_count (runner_pool); i++)
    if (pool_at (runner_pool, i)->hash == row->runner)
      {
        row->at = i;
        return pool_at (runner_pool, i);
      }
  return NULL;
}

/* Sets the load of the peer gateways at each runner to the sum of all
   reports.  */
static void
sum_reports (struct peerload *peerload, struct runner_pool *runner_pool,
             int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  size_t i;
  guint k;

  for (i = 0; i < pool_count (runner_pool); i++)
    {
      struct pool_runner *runner = pool_at (runner_pool, i);
      runner->peer_calls = 0;
      runner->peer_tokens = 0;
      runner->peer_report_us = now;
      runner->peer_ordered = POOL_STAGE_ANY;
    }
  g_hash_table_iter_init (&iter, peerload->load_senders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct sender *sender = value;
      for (k = 0; k < sender->rows->len; k++)
        {
          struct row *row = &g_array_index (sender->rows, struct row, k);
          struct pool_runner *runner = find_runner (runner_pool, row);
          if (runner == NULL)
            continue;
          runner->peer_calls += row->calls;
          runner->peer_tokens += row->tokens;
          if (row->ordered != POOL_STAGE_ANY
              && row->ordered != runner->entry.stage)
            runner->peer_ordered = row->ordered;
        }
    }
}

static int
report_apply (struct peerload *peerload, const msgpack_object *report,
              const char *self, int64_t now, struct err *err)
{
  const msgpack_object *field = report->via.array.ptr;
  struct sender *sender;
  GArray *rows;
  uint64_t version;
  uint64_t sequence;
  uint64_t prefill_demand;
  char *name;

  if (report->type != MSGPACK_OBJECT_ARRAY
      || report->via.array.size != REPORT_FIELDS
      || uint_of (&field[0], VERSION, &version) != 0 || version != VERSION
      || field[1].type != MSGPACK_OBJECT_STR
      || uint_of (&field[2], UINT64_MAX, &sequence) != 0
      || uint_of (&field[3], UINT32_MAX, &prefill_demand) != 0)
    return err_set (err, ERR_PROTOCOL, "read load", NULL,
                    "load report is malformed or has an unknown version");
  rows = g_array_new (FALSE, FALSE, sizeof (struct row));
  name = g_strndup (field[1].via.str.ptr, field[1].via.str.size);
  sender = g_hash_table_lookup (peerload->load_senders, name);
  if (rows_read (&field[4], rows) != 0 || strcmp (name, self) == 0
      || (sender != NULL && sequence <= sender->sequence))
    {
      g_array_free (rows, TRUE);
      err_set (err, ERR_PROTOCOL, "read load", name,
               "load report has malformed rows, my own name or an old "
               "sequence number");
      g_free (name);
      return -1;
    }
  if (sender == NULL)
    {
      sender = g_new0 (struct sender, 1);
      g_hash_table_insert (peerload->load_senders, name, sender);
    }
  else
    {
      g_array_free (sender->rows, TRUE);
      g_free (name);
    }
  sender->rows = rows;
  sender->sequence = sequence;
  sender->prefill_demand = (double)prefill_demand / PREFILL_DEMAND_SCALE;
  sender->received_us = now;
  return 0;
}

int
peerload_apply (struct peerload *peerload, struct runner_pool *runner_pool,
                const char *self, const char *data, size_t size, int64_t now,
                struct err *err)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  int rc;

  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, data, size, &offset)
          != MSGPACK_UNPACK_SUCCESS
      || offset != size)
    rc = err_set (err, ERR_PROTOCOL, "read load", NULL,
                  "load report is not one MessagePack object");
  else
    rc = report_apply (peerload, &unpacked.data, self, now, err);
  msgpack_unpacked_destroy (&unpacked);
  if (rc == 0)
    sum_reports (peerload, runner_pool, now);
  return rc;
}

void
peerload_expire (struct peerload *peerload, struct runner_pool *runner_pool,
                 int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  int changed = 0;

  g_hash_table_iter_init (&iter, peerload->load_senders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now - ((struct sender *)value)->received_us > PEERLOAD_TIMEOUT_US)
      {
        g_hash_table_iter_remove (&iter);
        changed = 1;
      }
  if (changed)
    sum_reports (peerload, runner_pool, now);
}

double
peerload_prefill_demand (const struct peerload *peerload)
{
  GHashTableIter iter;
  gpointer value;
  double sum = 0;

  g_hash_table_iter_init (&iter, peerload->load_senders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    sum += ((const struct sender *)value)->prefill_demand;
  return sum;
}

int64_t
peerload_interval (unsigned processes)
{
  int64_t interval = (int64_t)processes * INTERVAL_PER_GATEWAY_US;

  return MAX (interval, (int64_t)INTERVAL_MIN_US);
}
