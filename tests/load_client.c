/* Sends a mixed load of chats and bookings to entries, checks that each answer
   is whole and belongs to its request, and prints one JSON line of counts.  A
   booking is sent as {"booking":KEY,...} with the Idempotency-Key KEY, and its
   answer must contain KEY.  SIGTERM ends the load: requests that were begun
   are finished and counted.  */

#include <glib.h>
#include <json-c/json.h>
#include <json-c/json_pointer.h>
#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <neon/ne_socket.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transcript.h"

enum
{
  ENTRIES_MAX = 16,
  TRIES_MAX = 10,        /* sendings of one request */
  RESEND_PAUSE_MS = 300, /* before a request is sent again */
  READ_LIMIT_S = 60,     /* silence after which a connection is broken */
  CONNECT_LIMIT_S = 5,
  CUSTOMERS = 8,
  LONG_PROMPT_WORDS = 1500,
  SHORT_PROMPT_WORDS = 12,
  LONG_ANSWER_TOKENS = 96,
  SHORT_ANSWER_TOKENS = 8,
  KEY_MAX = 48,
  BLOCK = 8192 /* bytes read at once */
};

enum outcome
{
  ANSWERED_WHOLE,
  NOT_RUN,
  UNKNOWN,
  INVALID,
  CUT,   /* the answer ended early */
  WRONG, /* the answer is not the one of its request */
  OUTCOME_MAX
};

static const char *const outcome_names[OUTCOME_MAX]
    = { "answered_whole", "not_run", "unknown", "invalid", "cut", "wrong" };

/* What became of one sending.  */
enum reply
{
  REPLY_NO_CONNECTION, /* nothing was sent */
  REPLY_BROKEN,        /* the connection broke before the answer's end */
  REPLY_WHOLE          /* an answer arrived, perhaps an error */
};

static gchar **entries;
static int chats;
static int bookings;
static int threads = 8;
static int deadline_ms;
static gdouble rate;
static gboolean resend;
static gchar *booking_path;
static gchar *transcript_path;

static const GOptionEntry options[] = {
  { "entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &entries, "An entry",
    "IP:PORT" },
  { "chats", 0, 0, G_OPTION_ARG_INT, &chats, "Chats to send", "N" },
  { "bookings", 0, 0, G_OPTION_ARG_INT, &bookings, "Bookings to send", "N" },
  { "threads", 0, 0, G_OPTION_ARG_INT, &threads, "Concurrent callers", "N" },
  { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &rate, "Requests per second", "R" },
  { "deadline-ms", 0, 0, G_OPTION_ARG_INT, &deadline_ms,
    "Deadline of each request", "N" },
  { "booking-path", 0, 0, G_OPTION_ARG_STRING, &booking_path,
    "Path of bookings", "PATH" },
  { "resend", 0, 0, G_OPTION_ARG_NONE, &resend,
    "Also send chats that were not run, and bookings with Retry-After, again",
    NULL },
  { "transcript", 0, 0, G_OPTION_ARG_FILENAME, &transcript_path,
    "Kind, key and outcome of each request", "FILE" },
  { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

static unsigned entry_count;
static guint32 run_id;
static gint64 started; /* us */
static gint next_request;
static GMutex lock; /* guards the counts and the transcript file */
static unsigned long counts[OUTCOME_MAX];
static unsigned long on_time;
static unsigned long resent;
static FILE *transcript;

struct request
{
  int index;
  int booking;
  int stream;
  unsigned max_tokens;
  char key[KEY_MAX];
  GString *prompt;
  GString *body;
};

struct answer
{
  int status;
  char outcome[16]; /* header X-Outcome */
  int retry_after;  /* whether the header Retry-After is present */
  GString *body;
};

/* Returns nonzero when request I is a booking; bookings are spread evenly.  */
static int
is_booking (int i)
{
  gint64 total = (gint64)chats + bookings;

  return (i + 1) * (gint64)bookings / total > i * (gint64)bookings / total;
}

static void
build_chat (struct request *rq)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *messages = json_object_new_array ();
  struct json_object *message = json_object_new_object ();
  int long_prompt = rq->index % 3 == 0;
  int words = long_prompt ? LONG_PROMPT_WORDS : SHORT_PROMPT_WORDS;
  int i;

  rq->stream = rq->index % 2 == 0;
  rq->max_tokens = long_prompt ? SHORT_ANSWER_TOKENS : LONG_ANSWER_TOKENS;
  g_string_printf (rq->prompt, "%s", rq->key);
  for (i = 0; i < words; i++)
    g_string_append_printf (rq->prompt, " word%d", i);
  json_object_object_add (message, "role", json_object_new_string ("user"));
  json_object_object_add (message, "content",
                          json_object_new_string (rq->prompt->str));
  json_object_array_add (messages, message);
  json_object_object_add (root, "model", json_object_new_string ("chat"));
  json_object_object_add (root, "messages", messages);
  json_object_object_add (root, "max_tokens",
                          json_object_new_int ((int)rq->max_tokens));
  json_object_object_add (root, "stream",
                          json_object_new_boolean (rq->stream));
  g_string_assign (rq->body, json_object_to_json_string (root));
  json_object_put (root);
}

static void
build (struct request *rq, int index)
{
  rq->index = index;
  rq->booking = is_booking (index);
  rq->prompt = g_string_new (NULL);
  rq->body = g_string_new (NULL);
  g_snprintf (rq->key, sizeof rq->key, "%08x-%d", run_id, index);
  if (rq->booking)
    g_string_printf (rq->body, "{\"booking\":\"%s\",\"seats\":1}", rq->key);
  else
    build_chat (rq);
}

static void
add_headers (ne_request *req, const struct request *rq, gint64 until)
{
  gint64 left = (until - g_get_monotonic_time ()) / 1000;

  ne_add_request_header (req, "Content-Type", "application/json");
  ne_print_request_header (req, "X-Customer", "load-%d",
                           rq->index % CUSTOMERS);
  if (deadline_ms > 0)
    ne_print_request_header (req, "X-Deadline-Ms", "%d",
                             (int)MAX (left, (gint64)1));
  if (!rq->booking)
    return;
  ne_add_request_header (req, "Idempotency-Key", rq->key);
  /* Without this, neon 0.32.5 sends the booking a second time by itself when
     the server has dropped a kept-alive connection.  */
  ne_set_request_flag (req, NE_REQFLAG_IDEMPOTENT, 0);
}

/* Sends RQ once and reads the answer.  */
static enum reply
send_once (ne_session *session, const struct request *rq, gint64 until,
           struct answer *answer)
{
  ne_request *req = ne_request_create (
      session, "POST", rq->booking ? booking_path : "/v1/chat/completions");
  enum reply reply = REPLY_BROKEN;
  const char *outcome;
  char block[BLOCK];
  ssize_t n;
  int rc;

  answer->status = 0;
  answer->outcome[0] = '\0';
  answer->retry_after = 0;
  g_string_truncate (answer->body, 0);
  add_headers (req, rq, until);
  ne_set_request_body_buffer (req, rq->body->str, rq->body->len);
  rc = ne_begin_request (req);
  if (rc == NE_CONNECT || rc == NE_LOOKUP)
    reply = REPLY_NO_CONNECTION;
  if (rc != NE_OK)
    goto out;
  answer->status = ne_get_status (req)->code;
  outcome = ne_get_response_header (req, "X-Outcome");
  if (outcome != NULL)
    g_strlcpy (answer->outcome, outcome, sizeof answer->outcome);
  answer->retry_after = ne_get_response_header (req, "Retry-After") != NULL;
  while ((n = ne_read_response_block (req, block, sizeof block)) > 0)
    g_string_append_len (answer->body, block, n);
  if (n == 0 && ne_end_request (req) == NE_OK)
    reply = REPLY_WHOLE;
out:
  ne_request_destroy (req);
  return reply;
}

/* Appends the string at PATH of the JSON text to OUT.  */
static void
append_json (const char *text, const char *path, GString *out)
{
  struct json_object *root = json_tokener_parse (text);
  struct json_object *value = NULL;

  if (root != NULL && json_pointer_get (root, path, &value) == 0
      && json_object_is_type (value, json_type_string))
    g_string_append (out, json_object_get_string (value));
  json_object_put (root);
}

/* Collects the answer's text.  Returns nonzero when it ends as it should.  */
static int
collect_text (const struct request *rq, const struct answer *answer,
              GString *text)
{
  gchar **lines;
  gchar **line;
  int done = 0;

  if (!rq->stream)
    {
      append_json (answer->body->str, "/choices/0/message/content", text);
      return 1;
    }
  lines = g_strsplit (answer->body->str, "\n", -1);
  for (line = lines; *line != NULL; line++)
    {
      if (!g_str_has_prefix (*line, "data: "))
        continue;
      if (g_str_has_prefix (*line, "data: [DONE]"))
        done = 1;
      else
        append_json (*line + strlen ("data: "), "/choices/0/delta/content",
                     text);
    }
  g_strfreev (lines);
  return done;
}

static enum outcome
check_chat (const struct request *rq, const struct answer *answer,
            enum reply reply)
{
  GString *expected
      = transcript_whole (rq->prompt->str, rq->prompt->len, rq->max_tokens);
  GString *text = g_string_new (NULL);
  int ended = collect_text (rq, answer, text) && reply == REPLY_WHOLE;
  enum outcome outcome;

  if (g_string_equal (text, expected) && ended)
    outcome = ANSWERED_WHOLE;
  else if (g_str_has_prefix (expected->str, text->str))
    outcome = CUT;
  else
    outcome = WRONG;
  g_string_free (text, TRUE);
  g_string_free (expected, TRUE);
  return outcome;
}

static enum outcome
judge (const struct request *rq, const struct answer *answer, enum reply reply)
{
  if (reply == REPLY_NO_CONNECTION)
    return NOT_RUN;
  if (strcmp (answer->outcome, "not-run") == 0)
    return NOT_RUN;
  if (strcmp (answer->outcome, "invalid") == 0)
    return INVALID;
  if (strcmp (answer->outcome, "unknown") == 0)
    return UNKNOWN;
  if (!rq->booking && (answer->status == 0 || answer->status == 200))
    return check_chat (rq, answer, reply);
  if (reply != REPLY_WHOLE || answer->status / 100 != 2)
    return UNKNOWN;
  return strstr (answer->body->str, rq->key) != NULL ? ANSWERED_WHOLE : WRONG;
}

/* Sends RQ until it has an outcome that a resend can't improve.  A not-run
   that follows a broken connection says nothing of the earlier sending, which
   may have run: that outcome is unknown.  */
static enum outcome
perform (ne_session **sessions, const struct request *rq, gint64 until)
{
  struct answer answer = { .body = g_string_new (NULL) };
  enum outcome outcome = NOT_RUN;
  enum reply reply;
  int broken = 0;
  int again;
  int try;

  for (try = 0; try < TRIES_MAX; try++)
    {
      reply = send_once (sessions[(unsigned)(rq->index + try) % entry_count],
                         rq, until, &answer);
      outcome = judge (rq, &answer, reply);
      again = rq->booking ? reply != REPLY_WHOLE || outcome == NOT_RUN
                          : reply == REPLY_NO_CONNECTION
                                || (resend && outcome == NOT_RUN);
      /* A resend under the same key is always safe.  */
      again |= resend && rq->booking && answer.retry_after;
      broken |= reply == REPLY_BROKEN;
      if (!again || g_get_monotonic_time () >= until)
        break;
      g_mutex_lock (&lock);
      resent++;
      g_mutex_unlock (&lock);
      g_usleep (RESEND_PAUSE_MS * 1000UL);
    }
  if (rq->booking && broken && outcome == NOT_RUN)
    outcome = UNKNOWN;
  g_string_free (answer.body, TRUE);
  return outcome;
}

static void
record (const struct request *rq, enum outcome outcome, int in_time)
{
  g_mutex_lock (&lock);
  counts[outcome]++;
  on_time += outcome == ANSWERED_WHOLE && in_time;
  if (transcript != NULL)
    fprintf (transcript, "%s %s %s\n", rq->booking ? "booking" : "chat",
             rq->key, outcome_names[outcome]);
  g_mutex_unlock (&lock);
}

static void
run_request (ne_session **sessions, int index)
{
  struct request rq = { 0 };
  enum outcome outcome;
  gint64 due = started;
  gint64 until;
  gint64 now = g_get_monotonic_time ();

  if (rate > 0)
    due += (gint64)(index / rate * G_USEC_PER_SEC);
  if (due > now)
    g_usleep ((gulong)(due - now));
  now = g_get_monotonic_time ();
  until = deadline_ms > 0 ? now + (gint64)deadline_ms * 1000 : G_MAXINT64;
  build (&rq, index);
  outcome = perform (sessions, &rq, until);
  record (&rq, outcome, g_get_monotonic_time () <= until);
  g_string_free (rq.prompt, TRUE);
  g_string_free (rq.body, TRUE);
}

static gpointer
run_thread (gpointer ctx)
{
  ne_session *sessions[ENTRIES_MAX] = { NULL };
  unsigned i;
  int index;
  int total = chats + bookings;

  (void)ctx;
  for (i = 0; i < entry_count; i++)
    {
      gchar **parts = g_strsplit (entries[i], ":", 2);

      sessions[i]
          = ne_session_create ("http", parts[0], (unsigned)atoi (parts[1]));
      ne_set_read_timeout (sessions[i], READ_LIMIT_S);
      ne_set_connect_timeout (sessions[i], CONNECT_LIMIT_S);
      g_strfreev (parts);
    }
  while ((index = g_atomic_int_add (&next_request, 1)) < total)
    run_request (sessions, index);
  for (i = 0; i < entry_count; i++)
    ne_session_destroy (sessions[i]);
  return NULL;
}

static int
parse_options (int argc, char **argv)
{
  GOptionContext *context = g_option_context_new (NULL);
  GError *error = NULL;
  int rc = -1;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    fprintf (stderr, "load-client: %s\n", error->message);
  else if (entries == NULL || g_strv_length (entries) > ENTRIES_MAX)
    fprintf (stderr, "load-client: give 1 to %d entries\n", ENTRIES_MAX);
  else if (chats < 0 || bookings < 0 || threads < 1 || chats + bookings == 0)
    fputs ("load-client: give chats or bookings, and threads\n", stderr);
  else if (bookings > 0 && booking_path == NULL)
    fputs ("load-client: bookings need --booking-path\n", stderr);
  else
    rc = 0;
  for (; rc == 0 && entries[entry_count] != NULL; entry_count++)
    if (strchr (entries[entry_count], ':') == NULL)
      {
        fprintf (stderr, "load-client: %s is not IP:PORT\n",
                 entries[entry_count]);
        rc = -1;
      }
  g_clear_error (&error);
  g_option_context_free (context);
  return rc;
}

static void
end_load (int signal_number)
{
  (void)signal_number;
  g_atomic_int_set (&next_request, G_MAXINT / 2);
}

static unsigned long
requests_done (void)
{
  unsigned long sum = 0;
  int i;

  for (i = 0; i < OUTCOME_MAX; i++)
    sum += counts[i];
  return sum;
}

int
main (int argc, char **argv)
{
  GThread **workers;
  int i;

  if (parse_options (argc, argv) != 0)
    return 2;
  if (transcript_path != NULL
      && (transcript = fopen (transcript_path, "w")) == NULL)
    {
      perror (transcript_path);
      return 2;
    }
  signal (SIGTERM, end_load);
  ne_sock_init ();
  run_id = g_random_int ();
  started = g_get_monotonic_time ();
  workers = g_new0 (GThread *, (gsize)threads);
  for (i = 0; i < threads; i++)
    workers[i] = g_thread_new ("caller", run_thread, NULL);
  for (i = 0; i < threads && workers[i] != NULL; i++)
    g_thread_join (workers[i]);
  g_free (workers);
  printf ("{\"requests\":%lu,\"on_time\":%lu,\"resent\":%lu", requests_done (),
          on_time, resent);
  for (i = 0; i < OUTCOME_MAX; i++)
    printf (",\"%s\":%lu", outcome_names[i], counts[i]);
  puts ("}");
  if (transcript != NULL)
    fclose (transcript);
  ne_sock_exit ();
  return 0;
}
