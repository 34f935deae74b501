#include "usage_ledger.h"

#include <msgpack.h>
#include <string.h>

#include "mpcheck.h"

enum
{
  VERSION = 1,
  FIELDS = 5,
  RETRY_US = 250 * 1000, /* doubles with each attempt */
  RETRY_DOUBLINGS_MAX = 3
};

struct usage_ledger *
usage_ledger_new (void)
{
  struct usage_ledger *ledger = g_new0 (struct usage_ledger, 1);

  ledger->pending = g_array_new (FALSE, TRUE, sizeof (struct usage_report));
  ledger->usage = usage_new ();
  return ledger;
}

void
usage_ledger_free (struct usage_ledger *ledger)
{
  if (ledger == NULL)
    return;
  g_array_free (ledger->pending, TRUE);
  usage_free (ledger->usage);
  g_free (ledger);
}

uint64_t
usage_window_at (const struct usage_times *times, int64_t now_us)
{
  return now_us > 0 ? (uint64_t)(now_us / times->window_us) : 0;
}

int64_t
usage_window_end (const struct usage_times *times, uint64_t window)
{
  return (int64_t)(window + 1) * times->window_us;
}

void
usage_ledger_start (struct usage_ledger *ledger, uint64_t first)
{
  g_array_set_size (ledger->pending, 0);
  usage_drop (ledger->usage, UINT64_MAX);
  ledger->era = 0;
  ledger->next = first;
}

static struct usage_report *
report_at (const struct usage_ledger *ledger, guint i)
{
  return &g_array_index (ledger->pending, struct usage_report, i);
}

static struct usage_report *
find (const struct usage_ledger *ledger, uint64_t window)
{
  guint i;

  for (i = 0; i < ledger->pending->len; i++)
    if (report_at (ledger, i)->window == window)
      return report_at (ledger, i);
  return NULL;
}

static int
is_number (const msgpack_object *object)
{
  return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

/* Checks the fields of a value: version, era, next window, the pending ones
   in rising order, and the record of their counts.  */
static int
check_value (const msgpack_object *from)
{
  const msgpack_object *field = from->via.array.ptr;
  uint32_t i;

  if (from->type != MSGPACK_OBJECT_ARRAY || from->via.array.size != FIELDS
      || !is_number (&field[0]) || field[0].via.u64 != VERSION
      || !is_number (&field[1]) || !is_number (&field[2])
      || field[3].type != MSGPACK_OBJECT_ARRAY
      || field[3].via.array.size > USAGE_LEDGER_PENDING_MAX
      || field[4].type != MSGPACK_OBJECT_BIN)
    return -1;
  for (i = 0; i < field[3].via.array.size; i++)
    {
      const msgpack_object *window = &field[3].via.array.ptr[i];
      if (!is_number (window) || window->via.u64 >= field[2].via.u64
          || (i > 0 && window->via.u64 <= window[-1].via.u64))
        return -1;
    }
  return 0;
}

static void
take_value (struct usage_ledger *ledger, const msgpack_object *field,
            struct usage *usage)
{
  uint32_t i;

  usage_ledger_start (ledger, field[2].via.u64);
  ledger->era = field[1].via.u64;
  for (i = 0; i < field[3].via.array.size; i++)
    {
      struct usage_report report = { .is_committed = 1 };
      report.window = field[3].via.array.ptr[i].via.u64;
      g_array_append_val (ledger->pending, report);
    }
  usage_free (ledger->usage);
  ledger->usage = usage;
}

int
usage_ledger_read (struct usage_ledger *ledger, const char *data, size_t size,
                   struct err *err)
{
  struct usage *usage = usage_new ();
  msgpack_unpacked unpacked;
  const msgpack_object *field;
  uint64_t closed;
  size_t offset = 0;
  int rc = -1;

  msgpack_unpacked_init (&unpacked);
  if (mpcheck (data, size) == 0
      && msgpack_unpack_next (&unpacked, data, size, &offset)
             == MSGPACK_UNPACK_SUCCESS
      && check_value (&unpacked.data) == 0)
    {
      field = unpacked.data.via.array.ptr;
      rc = usage_merge (usage, field[4].via.bin.ptr, field[4].via.bin.size, 0,
                        UINT64_MAX, &closed, err);
    }
  else
    err_set (err, ERR_PROTOCOL, "read ledger", NULL,
             "%zu bytes are no ledger of version %d", size, VERSION);
  if (rc == 0)
    take_value (ledger, field, usage);
  else
    usage_free (usage);
  msgpack_unpacked_destroy (&unpacked);
  return rc;
}

void
usage_ledger_write (const struct usage_ledger *ledger, uint64_t era,
                    GString *out)
{
  GString *counts = g_string_new (NULL);
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  guint i;

  usage_encode (ledger->usage, ledger->next, counts);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, FIELDS);
  msgpack_pack_int (&packer, VERSION);
  msgpack_pack_uint64 (&packer, era);
  msgpack_pack_uint64 (&packer, ledger->next);
  msgpack_pack_array (&packer, ledger->pending->len);
  for (i = 0; i < ledger->pending->len; i++)
    msgpack_pack_uint64 (&packer, report_at (ledger, i)->window);
  msgpack_pack_bin (&packer, counts->len);
  msgpack_pack_bin_body (&packer, counts->str, counts->len);
  g_string_append_len (out, buffer.data, (gssize)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  g_string_free (counts, TRUE);
}

/* Forgets the counts of the windows before the first pending one.  */
static void
drop_counts (struct usage_ledger *ledger)
{
  usage_drop (ledger->usage, ledger->pending->len > 0
                                 ? report_at (ledger, 0)->window
                                 : ledger->next);
}

void
usage_ledger_extend (struct usage_ledger *ledger, uint64_t last,
                     const struct usage *sum)
{
  for (; ledger->next <= last; ledger->next++)
    {
      struct usage_report report = { .window = ledger->next };
      if (ledger->pending->len >= USAGE_LEDGER_PENDING_MAX)
        g_array_remove_index (ledger->pending, 0);
      g_array_append_val (ledger->pending, report);
      usage_sum (ledger->usage, sum, ledger->next, ledger->next);
    }
  drop_counts (ledger);
}

void
usage_ledger_commit (struct usage_ledger *ledger)
{
  guint i;

  for (i = 0; i < ledger->pending->len; i++)
    report_at (ledger, i)->is_committed = 1;
}

uint64_t
usage_ledger_leave_out (struct usage_ledger *ledger, uint64_t window)
{
  uint64_t n = 0;

  while (ledger->pending->len > 0 && report_at (ledger, 0)->window < window)
    {
      g_array_remove_index (ledger->pending, 0);
      n++;
    }
  if (ledger->next < window)
    {
      n += window - ledger->next;
      ledger->next = window;
    }
  usage_drop (ledger->usage, window);
  return n;
}

struct usage_report *
usage_ledger_pick (const struct usage_ledger *ledger,
                   const struct usage_times *times, int64_t now_us,
                   int64_t day_us)
{
  struct usage_report *oldest = NULL;
  guint i;

  for (i = 0; i < ledger->pending->len; i++)
    {
      struct usage_report *report = report_at (ledger, i);
      if (!report->is_committed || now_us < report->next_us)
        continue;
      if (day_us < usage_window_end (times, report->window) + times->late_us)
        return report;
      if (oldest == NULL)
        oldest = report;
    }
  return oldest;
}

void
usage_ledger_failed (struct usage_ledger *ledger, uint64_t window,
                     int64_t now_us)
{
  struct usage_report *report = find (ledger, window);

  if (report == NULL)
    return;
  report->next_us
      = now_us
        + ((int64_t)RETRY_US << MIN (report->attempts, RETRY_DOUBLINGS_MAX));
  report->attempts++;
}

void
usage_ledger_done (struct usage_ledger *ledger, uint64_t window)
{
  guint i;

  for (i = 0; i < ledger->pending->len; i++)
    if (report_at (ledger, i)->window == window)
      {
        g_array_remove_index (ledger->pending, i);
        drop_counts (ledger);
        return;
      }
}
