#include "goldcresthatch/run.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

enum run_state
{
  RUN_ST_BARRED,
  RUN_ST_RUNNING,
  RUN_ST_DONE,
  RUN_ST_UNKNOWN,
  RUN_ST_MAX
};

struct run_record
{
  struct msg_id attempt; /* first member: the hash table's key */
  uint64_t window;
  enum run_state state;
  int64_t changed_us;
  GList link;      /* in ORDER, by the time of the last change */
  GList body_link; /* in BODIES while a body is held */
  struct call_result result;
};

struct run_table
{
  uint64_t incarnation;
  uint64_t window;
  int64_t window_us; /* length of a window */
  int64_t window_start_us;
  int64_t now_us;
  uint64_t dropped_window; /* highest window of a dropped record, or 0 */
  GHashTable *records;
  GQueue order;
  GQueue bodies;
  size_t body_bytes;
};

static const enum msg_void_state void_states[RUN_ST_MAX] = {
  [RUN_ST_BARRED] = MSG_VOID_NEVER_RAN,
  [RUN_ST_RUNNING] = MSG_VOID_RUNNING,
  [RUN_ST_DONE] = MSG_VOID_DONE,
  [RUN_ST_UNKNOWN] = MSG_VOID_UNKNOWN,
};

static guint
id_hash (gconstpointer key)
{
  return (guint)XXH64 (key, sizeof (struct msg_id), 0);
}

static gboolean
id_equal (gconstpointer a, gconstpointer b)
{
  return msg_id_equal (*(const struct msg_id *)a, *(const struct msg_id *)b);
}

static void
body_drop (struct run_table *table, struct run_record *record)
{
  if (record->result.body == NULL)
    return;
  g_queue_unlink (&table->bodies, &record->body_link);
  table->body_bytes -= record->result.size;
  g_free (record->result.body);
  record->result.body = NULL;
}

static void
record_drop (struct run_table *table, struct run_record *record)
{
  body_drop (table, record);
  g_queue_unlink (&table->order, &record->link);
  if (record->window > table->dropped_window)
    table->dropped_window = record->window;
  g_hash_table_remove (table->records, &record->attempt);
}

/* Moves RECORD to the end of the order, as the last one changed.  */
static void
record_change (struct run_table *table, struct run_record *record,
               enum run_state state)
{
  record->state = state;
  record->changed_us = table->now_us;
  g_queue_unlink (&table->order, &record->link);
  g_queue_push_tail_link (&table->order, &record->link);
}

static int
window_accepted (const struct run_table *table, uint64_t window)
{
  return window == table->window || window + 1 == table->window;
}

static int
may_drop (const struct run_table *table, const struct run_record *record)
{
  return record->state != RUN_ST_RUNNING
         && !window_accepted (table, record->window);
}

/* Returns the record changed longest ago that may be dropped, or null.  */
static struct run_record *
oldest (const struct run_table *table)
{
  for (GList *l = table->order.head; l != NULL; l = l->next)
    if (may_drop (table, l->data))
      return l->data;
  return NULL;
}

static void
expire (struct run_table *table)
{
  GList *next;

  for (GList *l = table->order.head; l != NULL; l = next)
    {
      struct run_record *record = l->data;

      next = l->next;
      if (table->now_us - record->changed_us < RUN_RETENTION_US)
        return;
      if (may_drop (table, record))
        record_drop (table, record);
    }
}

static void
advance (struct run_table *table, int64_t now_us)
{
  int64_t windows;

  if (now_us <= table->now_us)
    return;
  table->now_us = now_us;
  windows = (now_us - table->window_start_us) / table->window_us;
  table->window += (uint64_t)windows;
  table->window_start_us += windows * table->window_us;
  expire (table);
}

/* Adds a record, or returns null when no room can be made.  */
static struct run_record *
record_add (struct run_table *table, struct msg_id attempt, uint64_t window,
            enum run_state state)
{
  struct run_record *record;

  if (g_hash_table_size (table->records) >= RUN_RECORDS_MAX)
    {
      record = oldest (table);
      if (record == NULL)
        return NULL;
      record_drop (table, record);
    }
  record = g_new0 (struct run_record, 1);
  record->attempt = attempt;
  record->window = window;
  record->state = state;
  record->changed_us = table->now_us;
  record->link.data = record;
  record->body_link.data = record;
  g_hash_table_insert (table->records, &record->attempt, record);
  g_queue_push_tail_link (&table->order, &record->link);
  return record;
}

struct run_table *
run_new (uint64_t incarnation, int64_t window_us, int64_t now_us)
{
  struct run_table *table = g_new0 (struct run_table, 1);

  table->incarnation = incarnation;
  table->window = 1;
  table->window_us = window_us;
  table->window_start_us = now_us;
  table->now_us = now_us;
  table->records = g_hash_table_new_full (id_hash, id_equal, NULL, g_free);
  g_queue_init (&table->order);
  g_queue_init (&table->bodies);
  return table;
}

void
run_free (struct run_table *table)
{
  if (table == NULL)
    return;
  while (table->bodies.head != NULL)
    body_drop (table, table->bodies.head->data);
  g_hash_table_destroy (table->records);
  g_free (table);
}

uint64_t
run_window (struct run_table *table, int64_t now_us)
{
  advance (table, now_us);
  return table->window;
}

size_t
run_count (const struct run_table *table)
{
  return g_hash_table_size (table->records);
}

enum run_admit
run_admit (struct run_table *table, struct msg_id attempt,
           uint64_t incarnation, uint64_t window, int64_t now_us)
{
  const struct run_record *record;

  advance (table, now_us);
  if (incarnation != table->incarnation)
    return RUN_STALE_INCARNATION;
  record = g_hash_table_lookup (table->records, &attempt);
  if (record != NULL)
    return record->state == RUN_ST_BARRED ? RUN_BARRED : RUN_DUPLICATE;
  if (!window_accepted (table, window))
    return RUN_STALE_WINDOW;
  if (record_add (table, attempt, window, RUN_ST_RUNNING) == NULL)
    return RUN_FULL;
  return RUN_ADMITTED;
}

/* Answers for an attempt without a record.  */
static enum msg_void_state
void_absent (struct run_table *table, struct msg_id attempt, uint64_t window)
{
  /* A later window than the current one was never published.  */
  if (window <= table->dropped_window || window > table->window)
    return MSG_VOID_UNKNOWN;
  /* Its CALL is refused by the window alone.  */
  if (!window_accepted (table, window))
    return MSG_VOID_NEVER_RAN;
  if (record_add (table, attempt, window, RUN_ST_BARRED) == NULL)
    return MSG_VOID_UNKNOWN;
  return MSG_VOID_NEVER_RAN;
}

enum msg_void_state
run_void (struct run_table *table, struct msg_id attempt, uint64_t incarnation,
          uint64_t window, int64_t now_us, const struct call_result **result)
{
  const struct run_record *record;

  *result = NULL;
  advance (table, now_us);
  if (incarnation != table->incarnation)
    return MSG_VOID_UNKNOWN;
  record = g_hash_table_lookup (table->records, &attempt);
  if (record == NULL)
    return void_absent (table, attempt, window);
  if (record->state == RUN_ST_DONE)
    *result = &record->result;
  return void_states[record->state];
}

static void
result_keep (struct run_table *table, struct run_record *record,
             const struct call_result *result)
{
  record->result = *result;
  record->result.body = NULL;
  if (result->body == NULL)
    return;
  record->result.digest = XXH64 (result->body, result->size, 0);
  if (result->size > CALL_BODY_MAX)
    return;
  while (table->body_bytes + result->size > RUN_BODIES_MAX)
    body_drop (table, table->bodies.head->data);
  record->result.body = g_malloc0 (result->size + 1);
  memcpy (record->result.body, result->body, result->size);
  table->body_bytes += result->size;
  g_queue_push_tail_link (&table->bodies, &record->body_link);
}

int
run_finish (struct run_table *table, struct msg_id attempt,
            enum msg_outcome outcome, const struct call_result *result,
            int64_t now_us)
{
  struct run_record *record;

  advance (table, now_us);
  record = g_hash_table_lookup (table->records, &attempt);
  if (record == NULL || record->state != RUN_ST_RUNNING)
    return -1;
  if (outcome == MSG_OUTCOME_DONE && result != NULL)
    {
      result_keep (table, record, result);
      record_change (table, record, RUN_ST_DONE);
    }
  /* Barred, so that a second CALL of this attempt does not start it.  */
  else if (outcome == MSG_OUTCOME_NOT_RUN)
    record_change (table, record, RUN_ST_BARRED);
  else
    record_change (table, record, RUN_ST_UNKNOWN);
  return 0;
}

size_t
run_crash (struct run_table *table, int64_t now_us)
{
  size_t count = 0;
  GHashTableIter iter;
  gpointer value;

  advance (table, now_us);
  g_hash_table_iter_init (&iter, table->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct run_record *record = value;

      if (record->state != RUN_ST_RUNNING)
        continue;
      record_change (table, record, RUN_ST_UNKNOWN);
      count++;
    }
  return count;
}
