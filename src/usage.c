#include "usage.h"

#include <msgpack.h>
#include <string.h>

#include "mpcheck.h"

enum
{
  VERSION = 1,
  RECORD_FIELDS = 3,
  WINDOW_FIELDS = 2,
  /* Sums of this many are far from an overflow.  */
  COUNT_BITS_MAX = 40
};

struct usage
{
  GHashTable *windows; /* uint64_t -> map from customer to uint64_t */
};

struct usage *
usage_new (void)
{
  struct usage *usage = g_new0 (struct usage, 1);

  usage->windows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                               (GDestroyNotify)g_hash_table_destroy);
  return usage;
}

void
usage_free (struct usage *usage)
{
  if (usage == NULL)
    return;
  g_hash_table_destroy (usage->windows);
  g_free (usage);
}

GHashTable *
usage_window (const struct usage *usage, uint64_t window)
{
  return g_hash_table_lookup (usage->windows, &window);
}

void
usage_add (struct usage *usage, uint64_t window, const char *customer,
           uint64_t n)
{
  GHashTable *counts = usage_window (usage, window);
  uint64_t *count;

  if (counts == NULL)
    {
      counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_hash_table_insert (usage->windows, g_memdup2 (&window, sizeof window),
                           counts);
    }
  count = g_hash_table_lookup (counts, customer);
  if (count == NULL)
    {
      count = g_new0 (uint64_t, 1);
      g_hash_table_insert (counts, g_strdup (customer), count);
    }
  *count += n;
}

uint64_t
usage_total (const struct usage *usage, uint64_t window)
{
  GHashTable *counts = usage_window (usage, window);
  GHashTableIter iter;
  gpointer count;
  uint64_t sum = 0;

  if (counts == NULL)
    return 0;
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, NULL, &count))
    sum += *(const uint64_t *)count;
  return sum;
}

/* Adds the counts of FROM in each window of a range, or with RAISE only what
   they are higher by.  */
static void
combine (struct usage *usage, const struct usage *from, uint64_t first,
         uint64_t last, int raise)
{
  GHashTableIter windows;
  GHashTableIter counts;
  gpointer window;
  gpointer map;
  gpointer customer;
  gpointer count;

  g_hash_table_iter_init (&windows, from->windows);
  while (g_hash_table_iter_next (&windows, &window, &map))
    {
      uint64_t number = *(const uint64_t *)window;
      if (number < first || number > last)
        continue;
      g_hash_table_iter_init (&counts, map);
      while (g_hash_table_iter_next (&counts, &customer, &count))
        {
          GHashTable *known = usage_window (usage, number);
          const uint64_t *before = raise && known != NULL
                                       ? g_hash_table_lookup (known, customer)
                                       : NULL;
          uint64_t n = *(const uint64_t *)count;
          usage_add (usage, number, customer,
                     n - MIN (n, before != NULL ? *before : 0));
        }
    }
}

void
usage_sum (struct usage *usage, const struct usage *from, uint64_t first,
           uint64_t last)
{
  combine (usage, from, first, last, 0);
}

void
usage_raise (struct usage *usage, const struct usage *from, uint64_t first,
             uint64_t last)
{
  combine (usage, from, first, last, 1);
}

static gboolean
is_before (gpointer window, gpointer counts, gpointer limit)
{
  (void)counts;
  return *(const uint64_t *)window < *(const uint64_t *)limit;
}

void
usage_drop (struct usage *usage, uint64_t window)
{
  g_hash_table_foreach_remove (usage->windows, is_before, &window);
}

static int
compare_windows (gconstpointer a, gconstpointer b)
{
  uint64_t x = **(const uint64_t *const *)a;
  uint64_t y = **(const uint64_t *const *)b;

  return x < y ? -1 : x > y;
}

static void
write_counts (msgpack_packer *packer, GHashTable *counts)
{
  GHashTableIter iter;
  gpointer customer;
  gpointer count;

  msgpack_pack_map (packer, g_hash_table_size (counts));
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &customer, &count))
    {
      size_t size = strlen (customer);
      msgpack_pack_str (packer, size);
      msgpack_pack_str_body (packer, customer, size);
      msgpack_pack_uint64 (packer, *(const uint64_t *)count);
    }
}

void
usage_encode (const struct usage *usage, uint64_t closed, GString *out)
{
  GPtrArray *windows = g_ptr_array_new ();
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  GHashTableIter iter;
  gpointer window;
  guint first;
  guint i;

  g_hash_table_iter_init (&iter, usage->windows);
  while (g_hash_table_iter_next (&iter, &window, NULL))
    g_ptr_array_add (windows, window);
  g_ptr_array_sort (windows, compare_windows);
  first = windows->len - MIN (windows->len, (guint)USAGE_WINDOWS_MAX);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, RECORD_FIELDS);
  msgpack_pack_int (&packer, VERSION);
  msgpack_pack_uint64 (&packer, closed);
  msgpack_pack_array (&packer, windows->len - first);
  for (i = first; i < windows->len; i++)
    {
      uint64_t number = *(const uint64_t *)g_ptr_array_index (windows, i);
      msgpack_pack_array (&packer, WINDOW_FIELDS);
      msgpack_pack_uint64 (&packer, number);
      write_counts (&packer, usage_window (usage, number));
    }
  g_string_append_len (out, buffer.data, (gssize)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  g_ptr_array_free (windows, TRUE);
}

static int
is_number (const msgpack_object *object)
{
  return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static int
check_counts (const msgpack_object *from)
{
  uint32_t i;

  if (from->type != MSGPACK_OBJECT_MAP)
    return -1;
  for (i = 0; i < from->via.map.size; i++)
    {
      const msgpack_object_kv *entry = &from->via.map.ptr[i];
      if (entry->key.type != MSGPACK_OBJECT_STR || entry->key.via.str.size == 0
          || entry->key.via.str.size > USAGE_NAME_BYTES_MAX
          || memchr (entry->key.via.str.ptr, '\0', entry->key.via.str.size)
                 != NULL
          || !is_number (&entry->val)
          || entry->val.via.u64 >> COUNT_BITS_MAX != 0)
        return -1;
    }
  return 0;
}

static int
check_record (const msgpack_object *from)
{
  const msgpack_object *field = from->via.array.ptr;
  uint32_t i;

  if (from->type != MSGPACK_OBJECT_ARRAY
      || from->via.array.size != RECORD_FIELDS || !is_number (&field[0])
      || field[0].via.u64 != VERSION || !is_number (&field[1])
      || field[2].type != MSGPACK_OBJECT_ARRAY
      || field[2].via.array.size > USAGE_WINDOWS_MAX)
    return -1;
  for (i = 0; i < field[2].via.array.size; i++)
    {
      const msgpack_object *window = &field[2].via.array.ptr[i];
      if (window->type != MSGPACK_OBJECT_ARRAY
          || window->via.array.size != WINDOW_FIELDS
          || !is_number (&window->via.array.ptr[0])
          || check_counts (&window->via.array.ptr[1]) != 0)
        return -1;
    }
  return 0;
}

static void
add_window (struct usage *usage, uint64_t window, const msgpack_object *counts)
{
  char customer[USAGE_NAME_BYTES_MAX + 1];
  uint32_t i;

  for (i = 0; i < counts->via.map.size; i++)
    {
      const msgpack_object_kv *entry = &counts->via.map.ptr[i];
      memcpy (customer, entry->key.via.str.ptr, entry->key.via.str.size);
      customer[entry->key.via.str.size] = '\0';
      usage_add (usage, window, customer, entry->val.via.u64);
    }
}

int
usage_merge (struct usage *usage, const char *data, size_t size,
             uint64_t first, uint64_t last, uint64_t *closed, struct err *err)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  uint32_t i;
  int rc = -1;

  msgpack_unpacked_init (&unpacked);
  if (mpcheck (data, size) == 0
      && msgpack_unpack_next (&unpacked, data, size, &offset)
             == MSGPACK_UNPACK_SUCCESS
      && check_record (&unpacked.data) == 0)
    {
      const msgpack_object *field = unpacked.data.via.array.ptr;
      *closed = field[1].via.u64;
      for (i = 0; i < field[2].via.array.size; i++)
        {
          const msgpack_object *window
              = field[2].via.array.ptr[i].via.array.ptr;
          if (window[0].via.u64 >= first && window[0].via.u64 <= last)
            add_window (usage, window[0].via.u64, &window[1]);
        }
      rc = 0;
    }
  msgpack_unpacked_destroy (&unpacked);
  if (rc != 0)
    err_set (err, ERR_PROTOCOL, "read usage", NULL,
             "%zu bytes are no usage record of version %d", size, VERSION);
  return rc;
}
