#include "goldcresthatch/warn.h"

#include <json-c/json.h>
#include <string.h>

#define SECONDS_US(n) ((int64_t)(n)*1000000)
#define MINUTES_US(n) SECONDS_US ((n)*60)

/* Conditions are reported every few seconds.  One that was not reported for
   three intervals of 2 s is no longer known to hold.  */
#define STATE_REPORT_TTL_US SECONDS_US (6)

static const struct warn_kind_info infos[WARN_KIND_MAX] = {
  [WARN_LATE_ANSWERS]
  = { "late-answers", "answers arrive after their deadline",
      "lower the load of the lowest priority, or allow more engines to change "
      "role in the priorities section",
      "no queue is predicted to miss deadlines for a minute", SECONDS_US (30),
      MINUTES_US (1), STATE_REPORT_TTL_US },
  /* An engine that changes its role or restarts is unavailable for
     seconds.  */
  [WARN_NO_RUNNER]
  = { "no-runner", "every request for the service is refused",
      "undrain or restart a runner of the service, or take the service out of "
      "the configuration",
      "a runner of the service takes work", SECONDS_US (15), SECONDS_US (10),
      STATE_REPORT_TTL_US },
  /* A configuration must be in force everywhere within 15 s.  */
  [WARN_CFG_NOT_IN_FORCE]
  = { "config-not-in-force", "requests are served by an older configuration",
      "check that the process reaches the key-value service or a peer, and "
      "restart it if it does",
      "the process has the newest generation", SECONDS_US (15), SECONDS_US (5),
      STATE_REPORT_TTL_US },
  [WARN_KV_DOWN]
  = { "key-value-down", "bookings and orders are refused",
      "restore the key-value service; chats and idempotent calls go on",
      "calls of the key-value service succeed for 10 seconds", SECONDS_US (5),
      SECONDS_US (10), STATE_REPORT_TTL_US },
  [WARN_CRASHING_REQUEST]
  = { "crashing-request", "a request ends each runner that runs it",
      "tell the customer, and report the request to the owner of the runner",
      "the request hasn't been sent for 10 minutes", 0, 0, MINUTES_US (10) },
  [WARN_OUTCOME_UNKNOWN]
  = { "outcome-unknown", "a booking or order may or may not have been made",
      "look the call up in the service's own records and tell the customer",
      "no further outcome was unknown for 60 minutes", 0, 0, MINUTES_US (60) },
  /* A lease lasts 10 s and the next holder waits 2 s before its first order,
     so two successive changes of holder take 24 s.  */
  [WARN_NO_AUTHORITY]
  = { "no-authority", "engines of the shard can't change role or be drained",
      "check that an entry of the shard's zone runs and reaches the key-value "
      "service",
      "an entry holds the shard's authority", SECONDS_US (24), SECONDS_US (5),
      STATE_REPORT_TTL_US },
};

struct warn_set
{
  size_t count;
  struct warn_entry entries[WARN_ENTRIES_MAX];
  int holds[WARN_ENTRIES_MAX];     /* as last reported */
  int64_t ended[WARN_ENTRIES_MAX]; /* since when HOLDS is 0 */
};

struct warn_set *
warn_new (void)
{
  return g_new0 (struct warn_set, 1);
}

void
warn_free (struct warn_set *set)
{
  g_free (set);
}

const struct warn_kind_info *
warn_info (enum warn_kind kind)
{
  return &infos[kind];
}

/* Returns the index of the entry, or the count when there is none.  */
static size_t
find_entry (const struct warn_set *set, enum warn_kind kind,
            const char *subject)
{
  size_t i;

  for (i = 0; i < set->count; i++)
    if (set->entries[i].kind == kind
        && strncmp (set->entries[i].subject, subject, WARN_SUBJECT_BYTES - 1)
               == 0)
      break;
  return i;
}

/* Marks the condition of entry I as not holding when its last report has
   expired.  */
static void
expire (struct warn_set *set, size_t i, int64_t now)
{
  const struct warn_entry *entry = &set->entries[i];
  int64_t until = entry->reported + infos[entry->kind].report_ttl_us;

  if (!set->holds[i] || now < until)
    return;
  set->holds[i] = 0;
  set->ended[i] = until;
}

int
warn_report (struct warn_set *set, enum warn_kind kind, const char *subject,
             int holds, const char *evidence, int64_t now)
{
  size_t i = find_entry (set, kind, subject);
  struct warn_entry *entry = &set->entries[i];

  if (i == set->count)
    {
      if (!holds)
        return 0;
      if (set->count == WARN_ENTRIES_MAX)
        return -1;
      memset (entry, 0, sizeof *entry);
      entry->kind = kind;
      entry->since = now;
      g_strlcpy (entry->subject, subject, sizeof entry->subject);
      set->count++;
    }
  else
    expire (set, i, now);
  if (!holds)
    {
      if (set->holds[i])
        set->ended[i] = now;
      set->holds[i] = 0;
      return 0;
    }
  /* The hold time restarts unless the condition has held without a break.  */
  if (!set->holds[i] && !entry->raised)
    entry->since = now;
  set->holds[i] = 1;
  entry->reported = now;
  g_strlcpy (entry->evidence, evidence, sizeof entry->evidence);
  return 0;
}

static void
remove_entry (struct warn_set *set, size_t i)
{
  set->count--;
  set->entries[i] = set->entries[set->count];
  set->holds[i] = set->holds[set->count];
  set->ended[i] = set->ended[set->count];
}

void
warn_update (struct warn_set *set, int64_t now,
             void (*fn) (void *ctx, const struct warn_entry *entry), void *ctx)
{
  const struct warn_kind_info *info;
  struct warn_entry *entry;
  size_t i = 0;

  while (i < set->count)
    {
      entry = &set->entries[i];
      info = &infos[entry->kind];
      expire (set, i, now);
      if (set->holds[i] && !entry->raised
          && now - entry->since >= info->hold_us)
        {
          entry->raised = 1;
          if (fn != NULL)
            fn (ctx, entry);
        }
      else if (!set->holds[i] && entry->raised
               && now - set->ended[i] >= info->clear_us)
        {
          entry->raised = 0;
          if (fn != NULL)
            fn (ctx, entry);
        }
      if (!set->holds[i] && !entry->raised)
        remove_entry (set, i);
      else
        i++;
    }
}

size_t
warn_count (const struct warn_set *set)
{
  size_t n = 0;
  size_t i;

  for (i = 0; i < set->count; i++)
    n += set->entries[i].raised != 0;
  return n;
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  const struct warn_entry *x = *(const struct warn_entry *const *)a;
  const struct warn_entry *y = *(const struct warn_entry *const *)b;

  if (x->kind != y->kind)
    return x->kind < y->kind ? -1 : 1;
  return strcmp (x->subject, y->subject);
}

/* Adds TEXT as valid UTF-8, which JSON requires.  */
static void
add_text (struct json_object *object, const char *key, const char *text)
{
  gchar *valid = g_utf8_make_valid (text, -1);

  json_object_object_add (object, key, json_object_new_string (valid));
  g_free (valid);
}

static struct json_object *
entry_json (const struct warn_entry *entry, int64_t now)
{
  const struct warn_kind_info *info = &infos[entry->kind];
  struct json_object *object = json_object_new_object ();

  add_text (object, "kind", info->name);
  add_text (object, "subject", entry->subject);
  add_text (object, "outcome_at_risk", info->outcome);
  add_text (object, "evidence", entry->evidence);
  add_text (object, "action", info->action);
  add_text (object, "clears_when", info->clears);
  json_object_object_add (
      object, "age_s",
      json_object_new_int64 ((now - entry->since) / SECONDS_US (1)));
  return object;
}

void
warn_json (const struct warn_set *set, int64_t now, GString *out)
{
  GPtrArray *raised = g_ptr_array_new ();
  struct json_object *array = json_object_new_array ();
  size_t i;

  for (i = 0; i < set->count; i++)
    if (set->entries[i].raised)
      g_ptr_array_add (raised, (gpointer)&set->entries[i]);
  g_ptr_array_sort (raised, compare);
  for (i = 0; i < raised->len; i++)
    json_object_array_add (array, entry_json (raised->pdata[i], now));
  g_ptr_array_free (raised, TRUE);
  g_string_append (
      out, json_object_to_json_string_ext (array, JSON_C_TO_STRING_PLAIN));
  json_object_put (array);
}
