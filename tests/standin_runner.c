/* Stand-in for a model engine.  POST /v1/chat/completions and /v1/completions
   answer with the tokens of transcript.h, streamed as server-sent events or
   whole, from token X-Resume-From on.  POST /cancel?id=ID stops a request; GET
   /health and /load report; POST /orders carries out an order (JSON with
   token, role, model, version), GET /state shows the state and the order in
   progress, and GET /test/log lists every order that was applied, with the
   times of the change on the machine's monotonic clock and the number of
   requests in progress when it began.  With
   --ignore-token an order with an old fencing token is applied all the same;
   with --until-close the answers on health, state and orders have neither a
   length nor chunks and end with their connection.

   POST /test/hold?on=1 keeps orders in progress until on=0 or a crash.
   POST /test/crash ends every request without a whole answer and keeps the
   engine down for --restart-ms; so does a prompt that contains --crash-text.
   */

#include "standin.h"

#include "transcript.h"

enum
{
  EVENT_MAX = 512,
  DEFAULT_TOKENS = 16,
  CANCELLED_MAX = 4096
};

static char *listen_address;
static char *crash_text;
static int token_us = 2000;
static int prefill_us_per_kb = 2000;
static int order_ms = 200;
static int restart_ms = 1000;
static gboolean ignore_token;
static gboolean until_close;

/* Guarded by LOCK.  */
static GMutex lock;
static guint64 crash_epoch;
static gint64 down_until_us;
static int running;
static int started;           /* requests since the start of the process */
static GHashTable *cancelled; /* request ids */
static guint64 fence;
static char *role;
static char *model;
static char *version;
static int orders_in_progress;
static int orders_held;
static int orders_conflicting;
static struct json_object *order_log;

struct generation
{
  char *id;
  char *prompt;
  unsigned max_tokens;
  unsigned next;
  guint64 epoch;
  int finished; /* no longer in RUNNING */
  int stage;    /* 0 tokens, 1 closing events, 2 done */
};

static int
is_down (void)
{
  return g_get_monotonic_time () < down_until_us;
}

static void
crash (void)
{
  crash_epoch++;
  down_until_us = g_get_monotonic_time () + restart_ms * 1000L;
  orders_in_progress = 0;
}

/* Whether GENERATION has to end without a whole answer.  */
static int
is_cut (const struct generation *generation)
{
  int cut;

  g_mutex_lock (&lock);
  cut = generation->epoch != crash_epoch
        || (generation->id != NULL
            && g_hash_table_contains (cancelled, generation->id));
  g_mutex_unlock (&lock);
  return cut;
}

static const char *
member_text (struct json_object *object, const char *name)
{
  struct json_object *value;

  if (object == NULL || !json_object_object_get_ex (object, name, &value))
    return "";
  return json_object_get_string (value);
}

static const char *
find_prompt (struct json_object *root)
{
  struct json_object *messages;
  size_t count;

  if (!json_object_object_get_ex (root, "messages", &messages))
    return member_text (root, "prompt");
  count = json_object_array_length (messages);
  if (count == 0)
    return "";
  return member_text (json_object_array_get_idx (messages, count - 1),
                      "content");
}

/* Stops counting GENERATION, before its last bytes are sent: an order that
   follows the answer must not find it running.  */
static void
finish (struct generation *generation)
{
  if (generation->finished)
    return;
  generation->finished = 1;
  g_mutex_lock (&lock);
  running--;
  g_mutex_unlock (&lock);
}

static void
generation_free (void *cls)
{
  struct generation *generation = cls;

  finish (generation);
  g_free (generation->id);
  g_free (generation->prompt);
  g_free (generation);
}

static ssize_t
next_event (void *cls, uint64_t pos, char *buf, size_t max)
{
  struct generation *generation = cls;
  char token[TRANSCRIPT_TOKEN_MAX];
  size_t size = strlen (generation->prompt);

  (void)pos;
  if (generation->stage == 2)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (generation->stage == 1)
    {
      generation->stage = 2;
      finish (generation);
      return snprintf (buf, max,
                       "data: {\"choices\":[{\"index\":0,\"delta\":{},"
                       "\"finish_reason\":\"stop\"}],\"usage\":{"
                       "\"prompt_tokens\":%zu,\"completion_tokens\":%u}}\n\n"
                       "data: [DONE]\n\n",
                       size / 4, generation->max_tokens);
    }
  g_usleep ((gulong)token_us);
  if (is_cut (generation))
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (transcript_token (generation->prompt, size, generation->max_tokens,
                        generation->next, token)
      == 0)
    {
      generation->stage = 1;
      return next_event (cls, pos, buf, max);
    }
  return snprintf (buf, max,
                   "data: {\"object\":\"chat.completion.chunk\",\"choices\":"
                   "[{\"index\":0,\"delta\":{\"content\":\"%s\"}}],"
                   "\"token_index\":%u}\n\n",
                   token, generation->next++);
}

static enum MHD_Result
send_whole (struct standin_request *request, struct generation *generation)
{
  size_t size = strlen (generation->prompt);
  GString *whole
      = transcript_whole (generation->prompt, size, generation->max_tokens);
  char *text = g_strdup_printf (
      "{\"object\":\"chat.completion\",\"choices\":[{\"index\":0,\"message\":"
      "{\"role\":\"assistant\",\"content\":\"%s\"},\"finish_reason\":\"stop\"}"
      "],\"usage\":{\"prompt_tokens\":%zu,\"completion_tokens\":%u}}\n",
      whole->str, size / 4, generation->max_tokens);
  enum MHD_Result rc = MHD_NO;

  g_usleep ((gulong)token_us * generation->max_tokens);
  finish (generation);
  if (!is_cut (generation))
    rc = standin_send (request->connection, MHD_HTTP_OK, text);
  g_free (text);
  g_string_free (whole, TRUE);
  generation_free (generation);
  return rc;
}

static enum MHD_Result
send_stream (struct standin_request *request, struct generation *generation)
{
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, EVENT_MAX, next_event, generation, generation_free);
  enum MHD_Result rc;

  MHD_add_response_header (response, "Content-Type", "text/event-stream");
  rc = MHD_queue_response (request->connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return rc;
}

static enum MHD_Result
complete (struct standin_request *request)
{
  struct json_object *root = json_tokener_parse (request->body->str);
  const char *resume = standin_header (request, "X-Resume-From");
  struct generation *generation;
  struct json_object *value;
  int stream;
  int kills;

  if (!json_object_is_type (root, json_type_object))
    {
      json_object_put (root);
      return standin_send (request->connection, MHD_HTTP_BAD_REQUEST,
                           "{\"error\":\"expected a JSON object\"}\n");
    }
  generation = g_new0 (struct generation, 1);
  generation->id = g_strdup (standin_header (request, "X-Request-Id"));
  generation->prompt = g_strdup (find_prompt (root));
  generation->next = resume != NULL ? (unsigned)atoi (resume) : 0;
  generation->max_tokens
      = json_object_object_get_ex (root, "max_tokens", &value)
            ? (unsigned)json_object_get_int (value)
            : DEFAULT_TOKENS;
  stream = json_object_object_get_ex (root, "stream", &value)
           && json_object_get_boolean (value);
  json_object_put (root);
  kills = crash_text != NULL && strstr (generation->prompt, crash_text);
  g_mutex_lock (&lock);
  running++;
  started++;
  generation->epoch = crash_epoch;
  if (kills)
    crash ();
  g_mutex_unlock (&lock);
  g_usleep ((gulong)prefill_us_per_kb * strlen (generation->prompt) / 1024);
  return stream ? send_stream (request, generation)
                : send_whole (request, generation);
}

static enum MHD_Result
cancel (struct standin_request *request)
{
  const char *id = standin_argument (request, "id");

  g_mutex_lock (&lock);
  if (g_hash_table_size (cancelled) >= CANCELLED_MAX)
    g_hash_table_remove_all (cancelled);
  if (id != NULL)
    g_hash_table_add (cancelled, g_strdup (id));
  g_mutex_unlock (&lock);
  return standin_send (request->connection, MHD_HTTP_OK, "{}\n");
}

/* The state as JSON; LOCK is held.  */
static struct json_object *
state_json (void)
{
  struct json_object *root = json_object_new_object ();

  json_object_object_add (root, "role", json_object_new_string (role));
  json_object_object_add (root, "model", json_object_new_string (model));
  json_object_object_add (root, "version", json_object_new_string (version));
  json_object_object_add (root, "token", json_object_new_uint64 (fence));
  json_object_object_add (root, "in_progress",
                          json_object_new_int (orders_in_progress));
  json_object_object_add (root, "conflicting",
                          json_object_new_int (orders_conflicting));
  json_object_object_add (root, "running", json_object_new_int (running));
  json_object_object_add (root, "started", json_object_new_int (started));
  return root;
}

static void
apply_order (struct json_object *order, guint64 token)
{
  g_free (role);
  g_free (model);
  g_free (version);
  role = g_strdup (member_text (order, "role"));
  model = g_strdup (member_text (order, "model"));
  version = g_strdup (member_text (order, "version"));
  if (token > fence)
    fence = token;
  json_object_array_add (order_log, json_object_get (order));
}

static void
add_times (struct json_object *order, gint64 began_us)
{
  if (order == NULL)
    return;
  json_object_object_add (order, "began_us", json_object_new_int64 (began_us));
  json_object_object_add (order, "ended_us",
                          json_object_new_int64 (g_get_monotonic_time ()));
}

static int
is_held (guint64 epoch)
{
  int held;

  g_mutex_lock (&lock);
  held = orders_held && epoch == crash_epoch;
  g_mutex_unlock (&lock);
  return held;
}

static enum MHD_Result
hold_orders (struct standin_request *request)
{
  const char *on = standin_argument (request, "on");

  g_mutex_lock (&lock);
  orders_held = on != NULL && atoi (on) != 0;
  g_mutex_unlock (&lock);
  return standin_send (request->connection, MHD_HTTP_OK, "{}\n");
}

static ssize_t
read_text (void *ctx, uint64_t offset, char *buffer, size_t max)
{
  const char *rest = (const char *)ctx + offset;
  size_t size = strnlen (rest, max);

  if (size == 0)
    return MHD_CONTENT_READER_END_OF_STREAM;
  memcpy (buffer, rest, size);
  return (ssize_t)size;
}

/* Answers what an agent asks of its own accord.  */
static enum MHD_Result
send_control (struct standin_request *request, const char *text)
{
  struct MHD_Response *response;
  enum MHD_Result rc;

  if (!until_close)
    return standin_send (request->connection, MHD_HTTP_OK, text);
  response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, EVENT_MAX, read_text, g_strdup (text), g_free);
  MHD_set_response_options (response, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
                            MHD_RO_END);
  rc = MHD_queue_response (request->connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return rc;
}

static enum MHD_Result
carry_out_order (struct standin_request *request)
{
  struct json_object *order = json_tokener_parse (request->body->str);
  struct json_object *value;
  guint64 token = 0;
  guint64 epoch;
  gint64 began_us;
  int refused;
  int lost;

  if (order != NULL && json_object_object_get_ex (order, "token", &value))
    token = json_object_get_uint64 (value);
  g_mutex_lock (&lock);
  refused = token < fence && !ignore_token;
  if (!refused)
    {
      orders_conflicting += orders_in_progress > 0;
      orders_in_progress++;
    }
  epoch = crash_epoch;
  began_us = g_get_monotonic_time ();
  if (order != NULL)
    json_object_object_add (order, "running", json_object_new_int (running));
  g_mutex_unlock (&lock);
  if (refused)
    {
      json_object_put (order);
      return standin_send (request->connection, MHD_HTTP_CONFLICT,
                           "{\"error\":\"old fencing token\"}\n");
    }
  do
    g_usleep ((gulong)order_ms * 1000);
  while (is_held (epoch));
  g_mutex_lock (&lock);
  lost = epoch != crash_epoch;
  if (!lost)
    {
      orders_in_progress--;
      add_times (order, began_us);
      apply_order (order, token);
    }
  g_mutex_unlock (&lock);
  json_object_put (order);
  return lost ? MHD_NO : send_control (request, "{}\n");
}

static enum MHD_Result
send_state (struct standin_request *request)
{
  struct json_object *root;
  enum MHD_Result rc;

  g_mutex_lock (&lock);
  root = state_json ();
  g_mutex_unlock (&lock);
  rc = send_control (
      request, json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return rc;
}

static enum MHD_Result
send_log (struct standin_request *request)
{
  char *text;
  enum MHD_Result rc;

  g_mutex_lock (&lock);
  text = g_strdup (
      json_object_to_json_string_ext (order_log, JSON_C_TO_STRING_PLAIN));
  g_mutex_unlock (&lock);
  rc = standin_send (request->connection, MHD_HTTP_OK, text);
  g_free (text);
  return rc;
}

static enum MHD_Result
crash_now (struct standin_request *request)
{
  g_mutex_lock (&lock);
  crash ();
  g_mutex_unlock (&lock);
  return standin_send (request->connection, MHD_HTTP_OK, "{}\n");
}

static enum MHD_Result
send_health (struct standin_request *request)
{
  return send_control (request, "{}\n");
}

static const struct
{
  const char *url;
  enum MHD_Result (*answer) (struct standin_request *request);
  int while_down;
} pages[] = {
  { "/v1/chat/completions", complete, 0 },
  { "/v1/completions", complete, 0 },
  { "/cancel", cancel, 0 },
  { "/health", send_health, 0 },
  { "/load", send_state, 0 },
  { "/state", send_state, 0 },
  { "/orders", carry_out_order, 0 },
  { "/test/log", send_log, 1 },
  { "/test/crash", crash_now, 1 },
  { "/test/hold", hold_orders, 1 },
};

static enum MHD_Result
answer (struct standin_request *request)
{
  size_t i;
  int down;

  g_mutex_lock (&lock);
  down = is_down ();
  g_mutex_unlock (&lock);
  for (i = 0; i < G_N_ELEMENTS (pages); i++)
    if (strcmp (pages[i].url, request->url) == 0)
      return down && !pages[i].while_down ? MHD_NO : pages[i].answer (request);
  return standin_send (request->connection, MHD_HTTP_NOT_FOUND, "{}\n");
}

int
main (int argc, char **argv)
{
  const GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &listen_address, "Address", "A" },
    { "crash-text", 0, 0, G_OPTION_ARG_STRING, &crash_text, "Text", "T" },
    { "token-us", 0, 0, G_OPTION_ARG_INT, &token_us, "Time a token", "N" },
    { "prefill-us", 0, 0, G_OPTION_ARG_INT, &prefill_us_per_kb,
      "Time a KB of prompt", "N" },
    { "order-ms", 0, 0, G_OPTION_ARG_INT, &order_ms, "Time an order", "N" },
    { "restart-ms", 0, 0, G_OPTION_ARG_INT, &restart_ms, "Down time", "N" },
    { "ignore-token", 0, 0, G_OPTION_ARG_NONE, &ignore_token,
      "Apply orders with old tokens", NULL },
    { "until-close", 0, 0, G_OPTION_ARG_NONE, &until_close,
      "Answer without length or chunks", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *options = g_option_context_new (NULL);

  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, NULL)
      || listen_address == NULL)
    {
      fprintf (stderr, "usage: standin-runner --listen IP:PORT\n");
      return 2;
    }
  g_option_context_free (options);
  cancelled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  order_log = json_object_new_array ();
  role = g_strdup ("both");
  model = g_strdup ("");
  version = g_strdup ("");
  return standin_serve (listen_address, answer);
}
