#include "goldcresthatch/attempt.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

enum attempt_state
{
  ATTEMPT_STATE_VOIDED,
  ATTEMPT_STATE_RUNNING,
  ATTEMPT_STATE_DONE,
  ATTEMPT_STATE_UNKNOWN,
  ATTEMPT_STATE_MAX
};

struct attempt_record
{
  struct msg_id attempt; /* first member: the hash table's key */
  uint64_t window;
  enum attempt_state state;
  int64_t changed_us;
  GList link;      /* in the table's ORDER, sorted by changed_us */
  GList body_link; /* in the table's BODIES while a body is held */
  struct call_result result;
};

struct attempt_table
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

static const enum msg_void_state void_states[ATTEMPT_STATE_MAX] = {
  [ATTEMPT_STATE_VOIDED] = MSG_VOID_NEVER_RAN,
  [ATTEMPT_STATE_RUNNING] = MSG_VOID_RUNNING,
  [ATTEMPT_STATE_DONE] = MSG_VOID_DONE,
  [ATTEMPT_STATE_UNKNOWN] = MSG_VOID_UNKNOWN,
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
drop_body (struct attempt_table *table, struct attempt_record *record)
{
  if (record->result.body == NULL)
    return;
  g_queue_unlink (&table->bodies, &record->body_link);
  table->body_bytes -= record->result.size;
  g_free (record->result.body);
  record->result.body = NULL;
}

static void
drop_record (struct attempt_table *table, struct attempt_record *record)
{
  drop_body (table, record);
  g_queue_unlink (&table->order, &record->link);
  if (record->window > table->dropped_window)
    table->dropped_window = record->window;
  g_hash_table_remove (table->records, &record->attempt);
}

/* Sets the state of RECORD and moves it to the tail of the list of records,
   which is sorted by the time of the last change.  */
static void
set_record_state (struct attempt_table *table, struct attempt_record *record,
                  enum attempt_state state)
{
  record->state = state;
  record->changed_us = table->now_us;
  g_queue_unlink (&table->order, &record->link);
  g_queue_push_tail_link (&table->order, &record->link);
}

static int
window_accepted (const struct attempt_table *table, uint64_t window)
{
  return window == table->window || window + 1 == table->window;
}

static int
may_drop (const struct attempt_table *table,
          const struct attempt_record *record)
{
  return record->state != ATTEMPT_STATE_RUNNING
         && !window_accepted (table, record->window);
}

/* Returns the least recently changed record that may be dropped, or null.  */
static struct attempt_record *
oldest (const struct attempt_table *table)
{
  for (GList *l = table->order.head; l != NULL; l = l->next)
    if (may_drop (table, l->data))
      return l->data;
  return NULL;
}

static void
expire (struct attempt_table *table)
{
  GList *next;

  for (GList *l = table->order.head; l != NULL; l = next)
    {
      struct attempt_record *record = l->data;

      next = l->next;
      if (table->now_us - record->changed_us < ATTEMPT_RETENTION_US)
        return;
      if (may_drop (table, record))
        drop_record (table, record);
    }
}

static void
advance (struct attempt_table *table, int64_t now_us)
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

/* Adds a record.  Returns null when the table is full and no record may be
   dropped.  */
static struct attempt_record *
record_add (struct attempt_table *table, struct msg_id attempt,
            uint64_t window, enum attempt_state state)
{
  struct attempt_record *record;

  if (g_hash_table_size (table->records) >= ATTEMPT_RECORDS_MAX)
    {
      record = oldest (table);
      if (record == NULL)
        return NULL;
      drop_record (table, record);
    }
  record = g_new0 (struct attempt_record, 1);
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

struct attempt_table *
attempt_new (uint64_t incarnation, int64_t window_us, int64_t now_us)
{
  struct attempt_table *table = g_new0 (struct attempt_table, 1);

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
attempt_free (struct attempt_table *table)
{
  if (table == NULL)
    return;
  while (table->bodies.head != NULL)
    drop_body (table, table->bodies.head->data);
  g_hash_table_destroy (table->records);
  g_free (table);
}

uint64_t
attempt_window (struct attempt_table *table, int64_t now_us)
{
  advance (table, now_us);
  return table->window;
}

size_t
attempt_count (const struct attempt_table *table)
{
  return g_hash_table_size (table->records);
}

enum attempt_admit
attempt_admit (struct attempt_table *table, struct msg_id attempt,
               uint64_t incarnation, uint64_t window, int64_t now_us)
{
  const struct attempt_record *record;

  advance (table, now_us);
  if (incarnation != table->incarnation)
    return ATTEMPT_STALE_INCARNATION;
  record = g_hash_table_lookup (table->records, &attempt);
  if (record != NULL)
    return record->state == ATTEMPT_STATE_VOIDED ? ATTEMPT_VOIDED
                                                 : ATTEMPT_DUPLICATE;
  if (!window_accepted (table, window))
    return ATTEMPT_STALE_WINDOW;
  if (record_add (table, attempt, window, ATTEMPT_STATE_RUNNING) == NULL)
    return ATTEMPT_TABLE_FULL;
  return ATTEMPT_ADMITTED;
}

/* Returns the state of an attempt without a record, and voids it if a CALL
   could still start it.  */
static enum msg_void_state
void_without_record (struct attempt_table *table, struct msg_id attempt,
                     uint64_t window)
{
  /* A later window than the current one was never published.  */
  if (window <= table->dropped_window || window > table->window)
    return MSG_VOID_UNKNOWN;
  /* A CALL with this window is refused without a record.  */
  if (!window_accepted (table, window))
    return MSG_VOID_NEVER_RAN;
  if (record_add (table, attempt, window, ATTEMPT_STATE_VOIDED) == NULL)
    return MSG_VOID_UNKNOWN;
  return MSG_VOID_NEVER_RAN;
}

enum msg_void_state
attempt_void (struct attempt_table *table, struct msg_id attempt,
              uint64_t incarnation, uint64_t window, int64_t now_us,
              const struct call_result **result)
{
  const struct attempt_record *record;

  *result = NULL;
  advance (table, now_us);
  if (incarnation != table->incarnation)
    return MSG_VOID_UNKNOWN;
  record = g_hash_table_lookup (table->records, &attempt);
  if (record == NULL)
    return void_without_record (table, attempt, window);
  if (record->state == ATTEMPT_STATE_DONE)
    *result = &record->result;
  return void_states[record->state];
}

static void
store_result (struct attempt_table *table, struct attempt_record *record,
              const struct call_result *result)
{
  record->result = *result;
  record->result.body = NULL;
  if (result->body == NULL)
    return;
  record->result.digest = XXH64 (result->body, result->size, 0);
  if (result->size > CALL_BODY_MAX_BYTES)
    return;
  while (table->body_bytes + result->size > ATTEMPT_BODIES_MAX_BYTES)
    drop_body (table, table->bodies.head->data);
  record->result.body = g_malloc0 (result->size + 1);
  memcpy (record->result.body, result->body, result->size);
  table->body_bytes += result->size;
  g_queue_push_tail_link (&table->bodies, &record->body_link);
}

int
attempt_finish (struct attempt_table *table, struct msg_id attempt,
                enum msg_outcome outcome, const struct call_result *result,
                int64_t now_us)
{
  struct attempt_record *record;

  advance (table, now_us);
  record = g_hash_table_lookup (table->records, &attempt);
  if (record == NULL || record->state != ATTEMPT_STATE_RUNNING)
    return -1;
  if (outcome == MSG_OUTCOME_DONE && result != NULL)
    {
      store_result (table, record, result);
      set_record_state (table, record, ATTEMPT_STATE_DONE);
    }
  /* Voided, so that a second CALL of this attempt can't start it.  */
  else if (outcome == MSG_OUTCOME_NOT_RUN)
    set_record_state (table, record, ATTEMPT_STATE_VOIDED);
  else
    set_record_state (table, record, ATTEMPT_STATE_UNKNOWN);
  return 0;
}

size_t
attempt_crash (struct attempt_table *table, int64_t now_us)
{
  size_t count = 0;
  GHashTableIter iter;
  gpointer value;

  advance (table, now_us);
  g_hash_table_iter_init (&iter, table->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct attempt_record *record = value;

      if (record->state != ATTEMPT_STATE_RUNNING)
        continue;
      set_record_state (table, record, ATTEMPT_STATE_UNKNOWN);
      count++;
    }
  return count;
}
