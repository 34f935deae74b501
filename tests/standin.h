#ifndef STANDIN_H
#define STANDIN_H

/* What the runner and service stand-ins share: one HTTP server with a thread
   per connection, and JSON answers.  */

#include <arpa/inet.h>
#include <glib.h>
#include <json-c/json.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct standin_request
{
  struct MHD_Connection *connection;
  const char *method;
  const char *url;
  GString *body;
};

/* Answers a whole request; set by standin_serve.  */

static enum MHD_Result (*standin_answer) (struct standin_request *);

static enum MHD_Result
standin_send (struct MHD_Connection *connection, unsigned status,
              const char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result rc;

  MHD_add_response_header (response, "Content-Type", "application/json");
  rc = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return rc;
}

/* Sends ROOT and releases it.  */
static inline enum MHD_Result
standin_send_json (struct MHD_Connection *connection, unsigned status,
                   struct json_object *root)
{
  enum MHD_Result rc = standin_send (
      connection, status,
      json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));

  json_object_put (root);
  return rc;
}

static inline const char *
standin_argument (struct standin_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

static inline const char *
standin_header (struct standin_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                      name);
}

static enum MHD_Result
standin_handle (void *cls, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *upload,
                size_t *upload_size, void **con_cls)
{
  struct standin_request *request = *con_cls;

  (void)cls;
  (void)version;
  if (request == NULL)
    {
      request = g_new0 (struct standin_request, 1);
      request->connection = connection;
      request->body = g_string_new (NULL);
      *con_cls = request;
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      g_string_append_len (request->body, upload, (gssize)*upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  request->url = url;
  request->method = method;
  return standin_answer (request);
}

static void
standin_completed (void *cls, struct MHD_Connection *connection,
                   void **con_cls, enum MHD_RequestTerminationCode code)
{
  struct standin_request *request = *con_cls;

  (void)cls;
  (void)connection;
  (void)code;
  if (request == NULL)
    return;
  g_string_free (request->body, TRUE);
  g_free (request);
}

/* Serves ADDRESS until SIGTERM or SIGINT.  Returns the exit status.  */
static int
standin_serve (const char *address,
               enum MHD_Result (*answer) (struct standin_request *))
{
  struct sockaddr_in sin = { .sin_family = AF_INET };
  struct MHD_Daemon *daemon;
  char **parts = g_strsplit (address, ":", 2);
  sigset_t set;
  int got;

  standin_answer = answer;
  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  inet_pton (AF_INET, parts[0], &sin.sin_addr);
  sin.sin_port = htons ((uint16_t)atoi (parts[1]));
  g_strfreev (parts);
  daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL,
      NULL, standin_handle, NULL, MHD_OPTION_SOCK_ADDR, &sin,
      MHD_OPTION_NOTIFY_COMPLETED, standin_completed, NULL,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (daemon == NULL)
    {
      fprintf (stderr, "cannot listen on %s\n", address);
      return EXIT_FAILURE;
    }
  sigwait (&set, &got);
  MHD_stop_daemon (daemon);
  return EXIT_SUCCESS;
}

#endif
