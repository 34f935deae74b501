#include "entry.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "goldcresthatch/metric.h"
#include "goldcresthatch/log.h"
#include "goldcresthatch/suspect.h"
#include "num.h"

enum
{
  FINGERPRINTS_MAX = 65536,
  INDEX_MAX = 1024, /* fingerprints in the index, newest last */
  CAS_TRIES = 8,
  /* Longest wait of one watch.  A graceful stop waits for the watch to return.
     At this period, 380 entries make 190 of the 2,000 calls a second that the
     service takes.  */
  INDEX_WATCH_TIMEOUT_MS = 2000,
  RETRY_DELAY_US = 1 * G_USEC_PER_SEC,
  QUEUE_POLL_US = 200 * 1000
};

#define SUSPECT_INDEX_KEY "suspects/index"

/* The crashes of a request are stored in the key-value service under
   suspects/FINGERPRINT.  The index lists the newest fingerprints, so that an
   entry learns of new records by one watch instead of one read for each
   call.  */
struct entry_suspect
{
  struct suspect_table *table;
  GAsyncQueue *changed; /* fingerprints to write */
  pthread_t writer;
  pthread_t reader;
  int running;
};

static int
parse_id (const char *text, struct msg_id *id)
{
  return sscanf (text, "%16" SCNx64 "%16" SCNx64, &id->hi, &id->lo) == 2;
}

/* Parses a record of crashes into CRASHES.  Returns their number, at most
   SUSPECT_CRASHES_MAX.  */
static size_t
parse_record (const char *text, struct suspect_crash *crashes)
{
  struct json_object *list = json_tokener_parse (text);
  size_t n = 0;
  size_t i;

  if (json_object_is_type (list, json_type_array))
    for (i = 0; i < json_object_array_length (list) && n < SUSPECT_CRASHES_MAX;
         i++)
      {
        struct json_object *item = json_object_array_get_idx (list, i);
        struct json_object *id;
        struct json_object *at;

        if (!json_object_object_get_ex (item, "id", &id)
            || !json_object_object_get_ex (item, "at_us", &at)
            || !json_object_is_type (id, json_type_string)
            || !parse_id (json_object_get_string (id), &crashes[n].id))
          continue;
        crashes[n].age_us
            = MAX (g_get_real_time () - json_object_get_int64 (at), 0);
        n++;
      }
  json_object_put (list);
  return n;
}

static char *
format_record (const struct suspect_crash *crashes, size_t n)
{
  struct json_object *list = json_object_new_array ();
  char id[40];
  char *text;
  size_t i;

  for (i = 0; i < n; i++)
    {
      struct json_object *item = json_object_new_object ();

      snprintf (id, sizeof id, "%016" PRIx64 "%016" PRIx64, crashes[i].id.hi,
                crashes[i].id.lo);
      json_object_object_add (item, "id", json_object_new_string (id));
      json_object_object_add (
          item, "at_us",
          json_object_new_int64 (g_get_real_time () - crashes[i].age_us));
      json_object_array_add (list, item);
    }
  text = g_strdup (json_object_to_json_string (list));
  json_object_put (list);
  return text;
}

static void
record_key (char *key, size_t size, uint64_t fingerprint)
{
  snprintf (key, size, "suspects/%016" PRIx64, fingerprint);
}

/* Adds crashes of FINGERPRINT to the table; the entry's lock is held.  */
static void
add_crashes (struct entry *entry, uint64_t fingerprint,
             const struct suspect_crash *crashes, size_t n)
{
  struct suspect_table *table = entry->suspects->table;
  gint64 now = g_get_monotonic_time ();
  enum suspect_verdict before = suspect_check (table, fingerprint, now);

  if (suspect_add (table, fingerprint, crashes, n, now) == SUSPECT_STOPPED
      && before != SUSPECT_STOPPED)
    metric_add (METRIC_SUSPECTS_STOPPED, 1);
}

/* Reads the record of FINGERPRINT into the table.  Returns its revision, 0
   when it is absent, or -1 when the read failed.  */
static int64_t
read_record (struct entry *entry, uint64_t fingerprint)
{
  struct suspect_crash crashes[SUSPECT_CRASHES_MAX];
  struct kv_value value = { 0 };
  char key[KV_KEY_MAX_BYTES];
  struct err err;
  size_t n;
  int rc;

  record_key (key, sizeof key, fingerprint);
  rc = kv_get (entry->kv, key, &value, &err);
  if (rc <= 0)
    return rc;
  n = parse_record (value.data, crashes);
  pthread_mutex_lock (&entry->lock);
  add_crashes (entry, fingerprint, crashes, n);
  pthread_mutex_unlock (&entry->lock);
  kv_value_free (&value);
  return (int64_t)value.revision;
}

/* Writes the record of FINGERPRINT, merged with the crashes that other entries
   recorded.  Returns 0, or -1 when the write must be retried later.  */
static int
write_record (struct entry *entry, uint64_t fingerprint, uint64_t lease)
{
  struct suspect_crash crashes[SUSPECT_CRASHES_MAX];
  char key[KV_KEY_MAX_BYTES];
  uint64_t written;
  struct err err;
  int64_t revision;
  char *text;
  size_t n;
  int rc = 0;
  int i;

  record_key (key, sizeof key, fingerprint);
  for (i = 0; i < CAS_TRIES && rc == 0; i++)
    {
      revision = read_record (entry, fingerprint);
      if (revision < 0)
        return -1;
      pthread_mutex_lock (&entry->lock);
      n = suspect_crashes (entry->suspects->table, fingerprint, crashes,
                           g_get_monotonic_time ());
      pthread_mutex_unlock (&entry->lock);
      if (n == 0)
        return 0;
      text = format_record (crashes, n);
      rc = kv_cas (entry->kv, key, (uint64_t)revision, text, strlen (text),
                   lease, &written, &err);
      g_free (text);
    }
  return rc == 1 ? 0 : -1;
}

/* Returns the JSON text of LIST with FINGERPRINT moved or added to its end;
   the caller frees it by g_free.  */
static char *
append_index (const char *list, uint64_t fingerprint)
{
  struct json_object *old = list != NULL ? json_tokener_parse (list) : NULL;
  struct json_object *new = json_object_new_array ();
  char name[20];
  char *text;
  size_t n = 0;
  size_t i;

  snprintf (name, sizeof name, "%016" PRIx64, fingerprint);
  if (json_object_is_type (old, json_type_array))
    n = json_object_array_length (old);
  for (i = n >= INDEX_MAX ? n - INDEX_MAX + 1 : 0; i < n; i++)
    {
      struct json_object *item = json_object_array_get_idx (old, i);

      if (g_strcmp0 (json_object_get_string (item), name) != 0)
        json_object_array_add (new, json_object_get (item));
    }
  json_object_array_add (new, json_object_new_string (name));
  text = g_strdup (json_object_to_json_string (new));
  json_object_put (old);
  json_object_put (new);
  return text;
}

static int
write_index (struct entry *entry, uint64_t fingerprint)
{
  uint64_t written;
  struct err err;
  int rc = 0;
  int i;

  for (i = 0; i < CAS_TRIES && rc == 0; i++)
    {
      struct kv_value value = { 0 };
      char *text;

      if (kv_get (entry->kv, SUSPECT_INDEX_KEY, &value, &err) < 0)
        return -1;
      text = append_index (value.data, fingerprint);
      rc = kv_cas (entry->kv, SUSPECT_INDEX_KEY, value.revision, text,
                   strlen (text), 0, &written, &err);
      g_free (text);
      kv_value_free (&value);
    }
  return rc == 1 ? 0 : -1;
}

static int
publish_evidence (struct entry *entry, uint64_t fingerprint)
{
  uint64_t lease;
  struct err err;

  if (kv_lease_grant (entry->kv, SUSPECT_RETENTION_US / 1000, &lease, &err)
          != 0
      || write_record (entry, fingerprint, lease) != 0
      || write_index (entry, fingerprint) != 0)
    return -1;
  return 0;
}

static void *
writer_main (void *arg)
{
  struct entry *entry = arg;
  uint64_t *fingerprint;
  int failing = 0;

  while (!g_atomic_int_get (&entry->stopping))
    {
      fingerprint = g_async_queue_timeout_pop (entry->suspects->changed,
                                               QUEUE_POLL_US);
      if (fingerprint == NULL)
        continue;
      if (publish_evidence (entry, *fingerprint) == 0)
        {
          g_free (fingerprint);
          failing = 0;
          continue;
        }
      if (!failing)
        log_write (LOG_LEVEL_WARN, NULL, "suspect", entry->settings.kv,
                   "cannot write the evidence on crashing requests; retrying "
                   "every %d ms",
                   (int)(RETRY_DELAY_US / 1000));
      failing = 1;
      g_async_queue_push (entry->suspects->changed, fingerprint);
      g_usleep (RETRY_DELAY_US);
    }
  return NULL;
}

/* Reads the record of each fingerprint in the index TEXT that is not stopped
   already, as a stopped one needs no more evidence.  Each change of a record
   changes the index too, by moving the fingerprint to its end.  */
static void
read_index (struct entry *entry, const char *text)
{
  struct json_object *list = json_tokener_parse (text);
  size_t n = 0;
  size_t i;

  if (json_object_is_type (list, json_type_array))
    n = json_object_array_length (list);
  for (i = 0; i < n; i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);
      uint64_t fingerprint;
      enum suspect_verdict verdict;

      if (!json_object_is_type (item, json_type_string)
          || num_parse (json_object_get_string (item), 16, 0, UINT64_MAX,
                        &fingerprint)
                 != 0)
        continue;
      pthread_mutex_lock (&entry->lock);
      verdict = suspect_check (entry->suspects->table, fingerprint,
                               g_get_monotonic_time ());
      pthread_mutex_unlock (&entry->lock);
      if (verdict != SUSPECT_STOPPED)
        read_record (entry, fingerprint);
    }
  json_object_put (list);
}

static void *
reader_main (void *arg)
{
  struct entry *entry = arg;
  uint64_t seen = 0;
  struct err err;

  while (!g_atomic_int_get (&entry->stopping))
    {
      struct kv_value value = { 0 };
      int rc = kv_watch (entry->kv, SUSPECT_INDEX_KEY, seen,
                         INDEX_WATCH_TIMEOUT_MS, &value, &err);

      if (rc == 1 && value.revision != seen)
        {
          seen = value.revision;
          read_index (entry, value.data);
        }
      else if (rc < 0)
        g_usleep (RETRY_DELAY_US);
      else if (rc == 0)
        seen = 0;
      if (rc == 1)
        kv_value_free (&value);
    }
  return NULL;
}

int
entry_suspect_open (struct entry *entry, struct err *err)
{
  struct entry_suspect *suspects = g_new0 (struct entry_suspect, 1);

  suspects->table = suspect_new (FINGERPRINTS_MAX);
  suspects->changed = g_async_queue_new_full (g_free);
  entry->suspects = suspects;
  if (pthread_create (&suspects->writer, NULL, writer_main, entry) != 0
      || pthread_create (&suspects->reader, NULL, reader_main, entry) != 0)
    return err_set (err, ERR_LIMIT, "thread", NULL,
                    "cannot start the threads for the evidence on crashes");
  return 0;
}

void
entry_suspect_close (struct entry *entry)
{
  pthread_join (entry->suspects->writer, NULL);
  pthread_join (entry->suspects->reader, NULL);
  g_async_queue_unref (entry->suspects->changed);
  suspect_free (entry->suspects->table);
  g_free (entry->suspects);
}

void
entry_suspect_note_crash (struct entry *entry, const struct entry_call *call,
                          uint64_t crash)
{
  struct suspect_crash seen = { { call->work.incarnation, crash }, 0 };
  uint64_t fingerprint = call->fingerprint;

  pthread_mutex_lock (&entry->lock);
  add_crashes (entry, fingerprint, &seen, 1);
  pthread_mutex_unlock (&entry->lock);
  g_async_queue_push (entry->suspects->changed,
                      g_memdup2 (&fingerprint, sizeof fingerprint));
}

int
entry_suspect_is_blocked (struct entry *entry, const struct entry_call *call)
{
  enum suspect_verdict verdict;

  pthread_mutex_lock (&entry->lock);
  verdict = suspect_check (entry->suspects->table, call->fingerprint,
                           g_get_monotonic_time ());
  pthread_mutex_unlock (&entry->lock);
  return verdict == SUSPECT_STOPPED;
}

int
entry_suspect_acquire_runner (struct entry *entry, struct entry_call *call,
                              struct fleet_ref ref)
{
  gint64 now = g_get_monotonic_time ();
  struct err err;

  if (suspect_place (entry->suspects->table, call->fingerprint, ref, now, &err)
      != 0)
    return -1;
  call->runs_as_suspect
      = suspect_check (entry->suspects->table, call->fingerprint, now)
        == SUSPECT_RESTRICTED;
  return 0;
}

void
entry_suspect_release_runner (struct entry *entry, struct entry_call *call,
                              int answered)
{
  if (call->runs_as_suspect || answered)
    suspect_release (entry->suspects->table, call->fingerprint, answered,
                     g_get_monotonic_time ());
  call->runs_as_suspect = 0;
}
