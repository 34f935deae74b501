/* Sends streamed chats to one address.  Prints the requests per second, the
   median and the 95th percentile of the time to the first byte of the answer
   in microseconds, and the number of failures.  */

#include <glib.h>
#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <neon/ne_socket.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BLOCK = 8192 /* size of the read buffer in bytes */
};

static char *address;
static char *model;
static int requests = 1000;
static int threads = 8;
static int tokens = 16;
static gint next_request;
static gint failures;
static double *first_us;

static const GOptionEntry options[] = {
  { "address", 0, 0, G_OPTION_ARG_STRING, &address, "Server", "IP:PORT" },
  { "model", 0, 0, G_OPTION_ARG_STRING, &model, "Model", "NAME" },
  { "requests", 0, 0, G_OPTION_ARG_INT, &requests, "Requests", "N" },
  { "threads", 0, 0, G_OPTION_ARG_INT, &threads, "Callers", "N" },
  { "tokens", 0, 0, G_OPTION_ARG_INT, &tokens, "Tokens an answer", "N" },
  { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

/* Sends one chat and records the time to its first byte.  */
static void
send_chat (ne_session *session, int index)
{
  gint64 start = g_get_monotonic_time ();
  char *body = g_strdup_printf (
      "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,\"messages\":"
      "[{\"role\":\"user\",\"content\":\"request %d\"}]}",
      model, tokens, index);
  ne_request *req
      = ne_request_create (session, "POST", "/v1/chat/completions");
  char block[BLOCK];
  ssize_t n;

  ne_add_request_header (req, "Content-Type", "application/json");
  ne_set_request_body_buffer (req, body, strlen (body));
  if (ne_begin_request (req) != NE_OK || ne_get_status (req)->code != 200)
    g_atomic_int_inc (&failures);
  else
    {
      n = ne_read_response_block (req, block, sizeof block);
      first_us[index] = (double)(g_get_monotonic_time () - start);
      while (n > 0)
        n = ne_read_response_block (req, block, sizeof block);
      if (n < 0 || ne_end_request (req) != NE_OK)
        g_atomic_int_inc (&failures);
    }
  ne_request_destroy (req);
  g_free (body);
}

static gpointer
run_thread (gpointer ctx)
{
  char **parts = g_strsplit (address, ":", 2);
  ne_session *session
      = ne_session_create ("http", parts[0], (unsigned)atoi (parts[1]));
  int index;

  (void)ctx;
  while ((index = g_atomic_int_add (&next_request, 1)) < requests)
    send_chat (session, index);
  ne_session_destroy (session);
  g_strfreev (parts);
  return NULL;
}

static int
compare (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

int
main (int argc, char **argv)
{
  GOptionContext *context = g_option_context_new (NULL);
  GThread **workers;
  gint64 start;
  double seconds;
  int i;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL) || address == NULL
      || model == NULL || requests < 1 || threads < 1)
    {
      fputs ("usage: load-latency --address IP:PORT --model NAME\n", stderr);
      return 2;
    }
  g_option_context_free (context);
  ne_sock_init ();
  first_us = g_new0 (double, (gsize)requests);
  workers = g_new0 (GThread *, (gsize)threads);
  start = g_get_monotonic_time ();
  for (i = 0; i < threads; i++)
    workers[i] = g_thread_new ("caller", run_thread, NULL);
  for (i = 0; i < threads; i++)
    g_thread_join (workers[i]);
  seconds = (double)(g_get_monotonic_time () - start) / G_USEC_PER_SEC;
  qsort (first_us, (size_t)requests, sizeof *first_us, compare);
  printf ("%.0f %.0f %.0f %d\n", requests / seconds, first_us[requests / 2],
          first_us[requests * 95L / 100], failures);
  g_free (workers);
  g_free (first_us);
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
