/* Stand-in for the platform's key-value service: revisions, compare-and-swap,
   leases, watches and the list of VMs.  POST /test/fault?kind=KIND sets one of
   outage (ms, and status for an answer instead of silence; calls held back are
   carried out when it ends), slow (ms, count), lose-answer (count), vms-lag
   (ms), lapse-leases, copy (notes the state) and restore (puts the last copy
   back) and none.  Store-Era in each answer rises when a copy is put back.  A
   watch above a nonzero revision of an absent
   key gets 404 at once, so that its watcher learns of a lapsed lease.  */

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <json-c/json.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  VALUE_MAX = 1 << 20,       /* bytes */
  CONNECTIONS_MAX = 8192,    /* one thread each */
  THREAD_STACK = 256 * 1024, /* bytes */
  SWEEP_MS = 10              /* between two removals of lapsed leases */
};

struct entry
{
  char *data;
  size_t size;
  guint64 revision;
  guint64 lease; /* 0 when the key has none */
};

struct lease
{
  guint64 id;
  gint64 ttl;     /* us */
  gint64 expires; /* us, monotonic */
};

struct vms
{
  gint64 given; /* us, monotonic */
  char *body;
};

struct request
{
  struct MHD_Connection *connection;
  const char *method;
  const char *url;
  GString *body;
  int too_large;
};

/* Everything below is guarded by LOCK; CHANGED is signalled at each change. */
static GMutex lock;
static GCond changed;
static GHashTable *entries; /* key -> struct entry */
static GHashTable *leases;  /* id -> struct lease */
static GQueue vms = G_QUEUE_INIT;
static guint64 last_revision;
static guint64 last_lease;
static guint64 era = 1;
static struct
{
  GHashTable *entries;
  GHashTable *leases;
  guint64 last_revision;
  guint64 last_lease;
} copy;
static guint64 reads;
static guint64 writes;
static guint64 lost_answers;
static guint64 waiting;
static int stopping;
static gint64 outage_until; /* us, 0 without an outage */
static int outage_status;   /* 0: no answer until the outage ends */
static gint64 slow_us;
static guint64 slow_calls; /* calls still to be delayed */
static guint64 lose_writes;
static gint64 vms_lag; /* us */

static void
entry_free (gpointer p)
{
  struct entry *entry = p;

  free (entry->data);
  free (entry);
}

static struct lease *
find_lease (guint64 id)
{
  struct lease *lease = g_hash_table_lookup (leases, &id);

  if (lease == NULL || lease->expires <= g_get_monotonic_time ())
    return NULL;
  return lease;
}

static struct entry *
find_entry (const char *key)
{
  struct entry *entry = g_hash_table_lookup (entries, key);

  if (entry == NULL
      || (entry->lease != 0 && find_lease (entry->lease) == NULL))
    return NULL;
  return entry;
}

static gboolean
lease_lapsed (gpointer key, gpointer value, gpointer ctx)
{
  const struct lease *lease = value;

  (void)key;
  return lease->expires <= *(gint64 *)ctx;
}

static gboolean
entry_orphaned (gpointer key, gpointer value, gpointer ctx)
{
  const struct entry *entry = value;

  (void)key;
  (void)ctx;
  return entry->lease != 0 && find_lease (entry->lease) == NULL;
}

/* Removes lapsed leases and their keys.  */
static void
sweep (void)
{
  gint64 now = g_get_monotonic_time ();

  if (g_hash_table_foreach_remove (leases, lease_lapsed, &now) == 0)
    return;
  g_hash_table_foreach_remove (entries, entry_orphaned, NULL);
  g_cond_broadcast (&changed);
}

static const char *
argument (struct request *rq, const char *name)
{
  return MHD_lookup_connection_value (rq->connection, MHD_GET_ARGUMENT_KIND,
                                      name);
}

/* Returns the number of argument NAME, or DEFAULT_VALUE without it.  */
static guint64
number (struct request *rq, const char *name, guint64 default_value)
{
  const char *text = argument (rq, name);

  return text != NULL ? strtoull (text, NULL, 10) : default_value;
}

/* Answers with BODY, and with header NAME of VALUE unless NAME is null.  */
static enum MHD_Result
answer (struct request *rq, unsigned status, const char *body, size_t size,
        const char *name, guint64 value)
{
  struct MHD_Response *response;
  enum MHD_Result result;
  char text[32];
  char era_text[32];

  response = MHD_create_response_from_buffer (size, (void *)body,
                                              MHD_RESPMEM_MUST_COPY);
  if (response == NULL)
    return MHD_NO;
  if (name != NULL)
    {
      g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, value);
      MHD_add_response_header (response, name, text);
    }
  g_snprintf (era_text, sizeof era_text, "%" G_GUINT64_FORMAT, era);
  MHD_add_response_header (response, "Store-Era", era_text);
  result = MHD_queue_response (rq->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
answer_text (struct request *rq, unsigned status, const char *text)
{
  return answer (rq, status, text, strlen (text), NULL, 0);
}

/* Holds the calling thread as an outage or slowness requires.  Returns 0, or
   the status with which the call fails.  */
static int
apply_delay (int count)
{
  gint64 until;

  while (!stopping && outage_until > g_get_monotonic_time ())
    {
      if (outage_status != 0)
        return outage_status;
      g_cond_wait_until (&changed, &lock, outage_until);
    }
  if (!count || slow_calls == 0)
    return 0;
  if (slow_calls != G_MAXUINT64)
    slow_calls--;
  until = g_get_monotonic_time () + slow_us;
  while (!stopping && slow_us > 0
         && g_cond_wait_until (&changed, &lock, until))
    ;
  return 0;
}

/* Waits while KEY is as the watcher knows it: at a revision up to AFTER, or
   absent when AFTER is 0.  Returns nonzero when it is so to the end.  */
static int
wait_change (const char *key, guint64 after, gint64 until)
{
  const struct entry *entry;
  int same;

  waiting++;
  for (;;)
    {
      entry = find_entry (key);
      same = entry != NULL ? entry->revision <= after : after == 0;
      if (!same || stopping || !g_cond_wait_until (&changed, &lock, until))
        break;
    }
  waiting--;
  return same;
}

static enum MHD_Result
get_key (struct request *rq, const char *key)
{
  const struct entry *entry;
  guint64 after = number (rq, "after", 0);
  gint64 until
      = g_get_monotonic_time () + (gint64)number (rq, "wait_ms", 0) * 1000;
  int status;

  reads++;
  if (argument (rq, "after") != NULL && wait_change (key, after, until))
    return answer (rq, MHD_HTTP_NOT_MODIFIED, "", 0, "X-Revision", after);
  status = apply_delay (0);
  if (status != 0)
    return answer_text (rq, status, "outage\n");
  entry = find_entry (key);
  if (entry == NULL)
    return answer (rq, MHD_HTTP_NOT_FOUND, "", 0, "X-Revision", 0);
  return answer (rq, MHD_HTTP_OK, entry->data, entry->size, "X-Revision",
                 entry->revision);
}

static enum MHD_Result
put_key (struct request *rq, const char *key)
{
  struct entry *entry = find_entry (key);
  guint64 revision = entry != NULL ? entry->revision : 0;
  guint64 lease = number (rq, "lease", 0);

  writes++;
  if (argument (rq, "prev") == NULL)
    return answer_text (rq, MHD_HTTP_BAD_REQUEST, "prev is missing\n");
  if (rq->too_large)
    return answer_text (rq, MHD_HTTP_CONTENT_TOO_LARGE, "value too large\n");
  if (lease != 0 && find_lease (lease) == NULL)
    return answer_text (rq, MHD_HTTP_NOT_FOUND, "no such lease\n");
  if (revision != number (rq, "prev", 0))
    return answer (rq, MHD_HTTP_PRECONDITION_FAILED, "", 0, "X-Revision",
                   revision);
  entry = g_new0 (struct entry, 1);
  entry->size = rq->body->len;
  entry->data = malloc (entry->size + 1);
  memcpy (entry->data, rq->body->str, entry->size + 1);
  entry->revision = ++last_revision;
  entry->lease = lease;
  g_hash_table_replace (entries, g_strdup (key), entry);
  g_cond_broadcast (&changed);
  if (lose_writes > 0)
    {
      lose_writes--;
      lost_answers++;
      return MHD_NO;
    }
  return answer (rq, MHD_HTTP_OK, "", 0, "X-Revision", entry->revision);
}

static enum MHD_Result
grant_lease (struct request *rq)
{
  struct lease *lease = g_new0 (struct lease, 1);

  writes++;
  lease->id = ++last_lease;
  lease->ttl = (gint64)number (rq, "ttl_ms", 0) * 1000;
  lease->expires = g_get_monotonic_time () + lease->ttl;
  g_hash_table_replace (leases, &lease->id, lease);
  return answer (rq, MHD_HTTP_OK, "", 0, "X-Lease", lease->id);
}

static enum MHD_Result
change_lease (struct request *rq, const char *rest)
{
  char *end;
  struct lease *lease = find_lease (strtoull (rest, &end, 10));

  writes++;
  if (lease == NULL)
    return answer_text (rq, MHD_HTTP_NOT_FOUND, "no such lease\n");
  if (strcmp (rq->method, "POST") == 0 && strcmp (end, "/renew") == 0)
    lease->expires = g_get_monotonic_time () + lease->ttl;
  else if (strcmp (rq->method, "DELETE") == 0 && *end == '\0')
    {
      lease->expires = 0;
      sweep ();
    }
  else
    return answer_text (rq, MHD_HTTP_BAD_REQUEST, "bad lease call\n");
  return answer_text (rq, MHD_HTTP_OK, "");
}

static enum MHD_Result
get_vms (struct request *rq)
{
  gint64 visible = g_get_monotonic_time () - vms_lag;
  const char *body = "[]";
  const struct vms *list;
  GList *link;

  reads++;
  for (link = vms.head; link != NULL; link = link->next)
    {
      list = link->data;
      if (list->given <= visible)
        body = list->body;
    }
  return answer_text (rq, MHD_HTTP_OK, body);
}

static enum MHD_Result
put_vms (struct request *rq)
{
  struct json_object *parsed = json_tokener_parse (rq->body->str);
  int valid = json_object_is_type (parsed, json_type_array);
  struct vms *list;

  json_object_put (parsed);
  if (!valid)
    return answer_text (rq, MHD_HTTP_BAD_REQUEST, "not a JSON array\n");
  list = g_new0 (struct vms, 1);
  list->given = g_get_monotonic_time ();
  list->body = g_strdup (rq->body->str);
  g_queue_push_tail (&vms, list);
  return answer_text (rq, MHD_HTTP_OK, "");
}

static GHashTable *
copy_entries (GHashTable *from)
{
  GHashTable *to
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, from);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct entry *entry = g_memdup2 (value, sizeof *entry);
      entry->data = malloc (entry->size + 1);
      memcpy (entry->data, ((struct entry *)value)->data, entry->size + 1);
      g_hash_table_replace (to, g_strdup (key), entry);
    }
  return to;
}

static GHashTable *
copy_leases (GHashTable *from)
{
  GHashTable *to
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, from);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct lease *lease = g_memdup2 (value, sizeof *lease);
      g_hash_table_replace (to, &lease->id, lease);
    }
  return to;
}

static void
take_copy (void)
{
  if (copy.entries != NULL)
    {
      g_hash_table_destroy (copy.entries);
      g_hash_table_destroy (copy.leases);
    }
  copy.entries = copy_entries (entries);
  copy.leases = copy_leases (leases);
  copy.last_revision = last_revision;
  copy.last_lease = last_lease;
}

static void
restore (void)
{
  g_hash_table_destroy (entries);
  g_hash_table_destroy (leases);
  entries = copy_entries (copy.entries);
  leases = copy_leases (copy.leases);
  last_revision = copy.last_revision;
  last_lease = copy.last_lease;
  era++;
}

static void
end_faults (void)
{
  outage_until = 0;
  slow_us = 0;
  slow_calls = 0;
  lose_writes = 0;
  vms_lag = 0;
}

/* Sets a fault; a COUNT or an MS of 0 means until the fault is ended.  */
static enum MHD_Result
set_fault (struct request *rq)
{
  const char *kind = argument (rq, "kind");
  guint64 count = number (rq, "count", 0);
  gint64 us = (gint64)number (rq, "ms", 0) * 1000;
  GHashTableIter iter;
  gpointer lease;

  if (kind == NULL)
    return answer_text (rq, MHD_HTTP_BAD_REQUEST, "kind is missing\n");
  if (strcmp (kind, "none") == 0)
    end_faults ();
  else if (strcmp (kind, "outage") == 0)
    {
      outage_until = us > 0 ? g_get_monotonic_time () + us : G_MAXINT64;
      outage_status = (int)number (rq, "status", 0);
    }
  else if (strcmp (kind, "slow") == 0)
    {
      slow_us = us;
      slow_calls = count > 0 ? count : G_MAXUINT64;
    }
  else if (strcmp (kind, "lose-answer") == 0)
    lose_writes = count > 0 ? count : 1;
  else if (strcmp (kind, "lapse-leases") == 0)
    {
      g_hash_table_iter_init (&iter, leases);
      while (g_hash_table_iter_next (&iter, NULL, &lease))
        ((struct lease *)lease)->expires = 0;
      sweep ();
    }
  else if (strcmp (kind, "vms-lag") == 0)
    vms_lag = us;
  else if (strcmp (kind, "copy") == 0)
    take_copy ();
  else if (strcmp (kind, "restore") == 0 && copy.entries != NULL)
    restore ();
  else
    return answer_text (rq, MHD_HTTP_BAD_REQUEST, "unknown kind\n");
  g_cond_broadcast (&changed);
  return answer_text (rq, MHD_HTTP_OK, "");
}

static enum MHD_Result
get_stats (struct request *rq)
{
  char text[256];

  g_snprintf (text, sizeof text,
              "{\"reads\":%" G_GUINT64_FORMAT ",\"writes\":%" G_GUINT64_FORMAT
              ",\"watches\":%" G_GUINT64_FORMAT
              ",\"leases\":%u,\"keys\":%u,\"lost_answers\":%" G_GUINT64_FORMAT
              "}\n",
              reads, writes, waiting, g_hash_table_size (leases),
              g_hash_table_size (entries), lost_answers);
  return answer_text (rq, MHD_HTTP_OK, text);
}

static enum MHD_Result
dispatch (struct request *rq)
{
  int get = strcmp (rq->method, "GET") == 0;
  int put = strcmp (rq->method, "PUT") == 0;
  int status;

  if (strcmp (rq->url, "/test/fault") == 0)
    return set_fault (rq);
  if (strcmp (rq->url, "/test/stats") == 0)
    return get_stats (rq);
  status = apply_delay (1);
  if (status != 0)
    return answer_text (rq, status, "outage\n");
  if (strncmp (rq->url, "/kv/", 4) == 0 && get)
    return get_key (rq, rq->url + 4);
  if (strncmp (rq->url, "/kv/", 4) == 0 && put)
    return put_key (rq, rq->url + 4);
  if (strcmp (rq->url, "/lease") == 0 && strcmp (rq->method, "POST") == 0)
    return grant_lease (rq);
  if (strncmp (rq->url, "/lease/", 7) == 0)
    return change_lease (rq, rq->url + 7);
  if (strcmp (rq->url, "/vms") == 0 && get)
    return get_vms (rq);
  if (strcmp (rq->url, "/vms") == 0 && put)
    return put_vms (rq);
  return answer_text (rq, MHD_HTTP_NOT_FOUND, "no such path\n");
}

static enum MHD_Result
handle (void *ctx, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *data,
        size_t *size, void **state)
{
  struct request *rq = *state;
  enum MHD_Result result;

  (void)ctx;
  (void)version;
  if (rq == NULL)
    {
      rq = g_new0 (struct request, 1);
      rq->body = g_string_new (NULL);
      *state = rq;
      return MHD_YES;
    }
  if (*size > 0)
    {
      if (rq->body->len + *size > VALUE_MAX)
        rq->too_large = 1;
      else
        g_string_append_len (rq->body, data, (gssize)*size);
      *size = 0;
      return MHD_YES;
    }
  rq->connection = connection;
  rq->method = method;
  rq->url = url;
  g_mutex_lock (&lock);
  result = dispatch (rq);
  g_mutex_unlock (&lock);
  return result;
}

static void
completed (void *ctx, struct MHD_Connection *connection, void **state,
           enum MHD_RequestTerminationCode code)
{
  struct request *rq = *state;

  (void)ctx;
  (void)connection;
  (void)code;
  if (rq == NULL)
    return;
  g_string_free (rq->body, TRUE);
  g_free (rq);
  *state = NULL;
}

/* Parses "IP:PORT".  Returns 0 or -1.  */
static int
parse_address (const char *text, struct sockaddr_in *address)
{
  char ip[INET_ADDRSTRLEN];
  const char *colon = strrchr (text, ':');

  if (colon == NULL || (size_t)(colon - text) >= sizeof ip)
    return -1;
  memcpy (ip, text, (size_t)(colon - text));
  ip[colon - text] = '\0';
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
  return inet_pton (AF_INET, ip, &address->sin_addr) == 1 ? 0 : -1;
}

/* Removes lapsed leases until SIGTERM or SIGINT arrives.  */
static void
run (const sigset_t *signals)
{
  const struct timespec pause = { 0, SWEEP_MS * 1000000L };

  while (sigtimedwait (signals, NULL, &pause) < 0)
    {
      g_mutex_lock (&lock);
      sweep ();
      g_mutex_unlock (&lock);
    }
  g_mutex_lock (&lock);
  stopping = 1;
  g_cond_broadcast (&changed);
  g_mutex_unlock (&lock);
}

int
main (int argc, char **argv)
{
  struct MHD_Daemon *httpd;
  struct sockaddr_in address;
  sigset_t signals;

  if (argc != 3 || strcmp (argv[1], "--listen") != 0
      || parse_address (argv[2], &address) != 0)
    {
      fputs ("usage: standin-kv --listen IP:PORT\n", stderr);
      return 2;
    }
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
  leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  httpd = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
          | MHD_USE_POLL,
      0, NULL, NULL, handle, NULL, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_NOTIFY_COMPLETED, completed, NULL,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
      MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (httpd == NULL)
    {
      fprintf (stderr, "standin-kv: cannot listen on %s: %s\n", argv[2],
               strerror (errno));
      return 1;
    }
  run (&signals);
  MHD_stop_daemon (httpd);
  return 0;
}
