#include "claim_log.h"

#include <string.h>

struct noted
{
  char *key;
  char *text;
  int64_t at_us;
  GList link; /* in order; oldest first */
};

struct claim_log
{
  GHashTable *by_key; /* key -> struct noted */
  GQueue order;
};

static void
noted_free (gpointer value)
{
  struct noted *noted = value;

  g_free (noted->key);
  g_free (noted->text);
  g_free (noted);
}

struct claim_log *
claim_log_new (void)
{
  struct claim_log *log = g_new0 (struct claim_log, 1);

  log->by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, noted_free);
  g_queue_init (&log->order);
  return log;
}

void
claim_log_free (struct claim_log *log)
{
  if (log == NULL)
    return;
  g_hash_table_destroy (log->by_key);
  g_free (log);
}

static void
forget (struct claim_log *log, struct noted *noted)
{
  g_queue_unlink (&log->order, &noted->link);
  g_hash_table_remove (log->by_key, noted->key);
}

static void
forget_old (struct claim_log *log, int64_t now)
{
  struct noted *oldest;

  while ((oldest = g_queue_peek_head (&log->order)) != NULL
         && (now - oldest->at_us > CLAIM_LOG_US
             || log->order.length > CLAIM_LOG_MAX))
    forget (log, oldest);
}

void
claim_log_note (struct claim_log *log, const char *key, const char *text,
                int64_t now)
{
  struct noted *noted = g_hash_table_lookup (log->by_key, key);

  if (noted != NULL)
    forget (log, noted);
  noted = g_new0 (struct noted, 1);
  noted->key = g_strdup (key);
  noted->text = g_strdup (text);
  noted->at_us = now;
  noted->link.data = noted;
  g_hash_table_insert (log->by_key, noted->key, noted);
  g_queue_push_tail_link (&log->order, &noted->link);
  forget_old (log, now);
}

static void
record_free (gpointer value)
{
  struct claim_log_record *record = value;

  g_free (record->key);
  g_free (record->text);
  g_free (record);
}

GPtrArray *
claim_log_list (struct claim_log *log, int64_t now)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (record_free);
  GList *node;

  forget_old (log, now);
  for (node = log->order.tail; node != NULL; node = node->prev)
    {
      const struct noted *noted = node->data;
      struct claim_log_record *record = g_new0 (struct claim_log_record, 1);
      record->key = g_strdup (noted->key);
      record->text = g_strdup (noted->text);
      g_ptr_array_add (records, record);
    }
  return records;
}

int
claim_log_may_replace (const struct call_record *lost,
                       const struct call_record *found)
{
  if (lost->state == CALL_FREE || lost->fingerprint != found->fingerprint)
    return 0;
  if (!msg_id_equal (lost->attempt, found->attempt))
    return found->state == CALL_FREE || found->state == CALL_CLAIMED;
  return (found->state == CALL_CLAIMED && lost->state != CALL_CLAIMED)
         || (found->state == CALL_UNKNOWN && lost->state == CALL_DONE);
}
