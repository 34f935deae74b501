#include "entry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cfg_sync.h"
#include "goldcresthatch/ctr.h"
#include "peer.h"

enum
{
  NUMBER_BYTES = 24
};

static void
number_header (struct MHD_Response *response, const char *name,
               uint64_t number)
{
  char text[NUMBER_BYTES];

  snprintf (text, sizeof text, "%llu", (unsigned long long)number);
  MHD_add_response_header (response, name, text);
}

static enum MHD_Result
send_text (struct MHD_Connection *connection, unsigned status,
           const char *type, const char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result rc;

  MHD_add_response_header (response, "Content-Type", type);
  rc = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return rc;
}

/* Answers without a body and a generation: what this entry holds may be older
   than what it held before a restart.  */
static enum MHD_Result
unready_page (struct entry *entry, struct MHD_Connection *connection)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      0, (void *)"", MHD_RESPMEM_PERSISTENT);
  enum MHD_Result rc;

  number_header (response, PEER_INCARNATION, entry->incarnation);
  number_header (response, PEER_READY, 0);
  rc = MHD_queue_response (connection, MHD_HTTP_SERVICE_UNAVAILABLE, response);
  MHD_destroy_response (response);
  return rc;
}

/* The generation in the headers is at most that of the body.  */
static enum MHD_Result
config_page (struct entry *entry, struct MHD_Connection *connection)
{
  const char *have = MHD_lookup_connection_value (
      connection, MHD_GET_ARGUMENT_KIND, "have");
  struct MHD_Response *response;
  enum MHD_Result rc;
  uint64_t generation;
  char *text;

  if (!entry_config_ready (entry))
    return unready_page (entry, connection);
  text = cfg_sync_delta (entry->config,
                         have != NULL ? strtoull (have, NULL, 10) : 0,
                         &generation);
  response = MHD_create_response_from_buffer (text != NULL ? strlen (text) : 0,
                                              text != NULL ? text : (void *)"",
                                              MHD_RESPMEM_MUST_COPY);
  if (text != NULL)
    MHD_add_response_header (response, "Content-Type", "application/json");
  number_header (response, PEER_GENERATION, generation);
  number_header (response, PEER_INCARNATION, entry->incarnation);
  number_header (response, PEER_READY, 1);
  rc = MHD_queue_response (
      connection, text != NULL ? MHD_HTTP_OK : MHD_HTTP_NO_CONTENT, response);
  MHD_destroy_response (response);
  g_free (text);
  return rc;
}

static enum MHD_Result
status_page (struct entry *entry, struct MHD_Connection *connection)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *runners = json_object_new_array ();
  enum MHD_Result rc;
  unsigned calls;

  pthread_mutex_lock (&entry->lock);
  calls = g_hash_table_size (entry->calls);
  pthread_mutex_unlock (&entry->lock);
  entry_fleet_status (entry, runners);
  json_object_object_add (root, "entry",
                          json_object_new_string (entry->settings.name));
  json_object_object_add (root, "generation",
                          entry_config_ready (entry) ? json_object_new_uint64 (
                              entry_config_generation (entry))
                                                     : NULL);
  json_object_object_add (
      root, "ready",
      json_object_new_boolean (entry_config_ready (entry)
                               && !g_atomic_int_get (&entry->draining)));
  json_object_object_add (root, "calls", json_object_new_uint64 (calls));
  json_object_object_add (root, "runners", runners);
  rc = send_text (
      connection, MHD_HTTP_OK, "application/json",
      json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return rc;
}

static enum MHD_Result
authority_page (struct entry *entry, struct MHD_Connection *connection)
{
  char *text = entry_control_page (entry);
  enum MHD_Result rc
      = send_text (connection, MHD_HTTP_OK, "application/json", text);

  g_free (text);
  return rc;
}

static enum MHD_Result
metrics_page (struct entry *entry, struct MHD_Connection *connection)
{
  GString *text = g_string_new (NULL);
  enum MHD_Result rc;

  (void)entry;
  ctr_render (text);
  rc = send_text (connection, MHD_HTTP_OK, "text/plain; version=0.0.4",
                  text->str);
  g_string_free (text, TRUE);
  return rc;
}

static enum MHD_Result
trace_page (struct entry *entry, struct MHD_Connection *connection)
{
  const char *id
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "id");
  GString *text = g_string_new (NULL);
  enum MHD_Result rc;

  if (entry_trace_page (entry, id, text) == 0)
    rc = send_text (connection, MHD_HTTP_OK, "application/json", text->str);
  else
    rc = send_text (connection, MHD_HTTP_BAD_REQUEST, "text/plain",
                    "id: expected 32 hexadecimal digits\n");
  g_string_free (text, TRUE);
  return rc;
}

static enum MHD_Result
warnings_page (struct entry *entry, struct MHD_Connection *connection)
{
  GString *text = g_string_new (NULL);
  enum MHD_Result rc;

  entry_warn_page (entry, text);
  rc = send_text (connection, MHD_HTTP_OK, "application/json", text->str);
  g_string_free (text, TRUE);
  return rc;
}

static const struct page
{
  const char *url;
  enum MHD_Result (*answer) (struct entry *, struct MHD_Connection *);
} pages[] = {
  { "/metrics", metrics_page },     { "/admin/authority", authority_page },
  { "/admin/config", config_page }, { "/admin/status", status_page },
  { "/admin/trace", trace_page },   { "/admin/warnings", warnings_page },
};

static const struct page *
find_page (const char *url)
{
  for (size_t i = 0; i < G_N_ELEMENTS (pages); i++)
    if (strcmp (pages[i].url, url) == 0)
      return &pages[i];
  return NULL;
}

bool
entry_admin_serves (const char *url)
{
  return find_page (url) != NULL;
}

enum MHD_Result
entry_admin_page (struct entry *entry, struct MHD_Connection *connection,
                  const char *url)
{
  const struct page *page = find_page (url);

  return page != NULL ? page->answer (entry, connection) : MHD_NO;
}
