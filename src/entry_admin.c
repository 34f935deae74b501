#include "entry.h"

#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cfg_sync.h"
#include "goldcresthatch/metric.h"
#include "peer.h"

static void
put_number (struct entry_admin_response *out, const char *name,
            uint64_t number)
{
  g_string_append_printf (out->fields, "%s: %llu\r\n", name,
                          (unsigned long long)number);
}

static void
put_type (struct entry_admin_response *out, const char *type)
{
  g_string_append_printf (out->fields, "Content-Type: %s\r\n", type);
}

/* Returns a copy of the argument NAME of QUERY, or null.  */
static char *
query_value (const char *query, const char *name)
{
  GHashTable *params
      = query != NULL
            ? g_uri_parse_params (query, -1, "&", G_URI_PARAMS_NONE, NULL)
            : NULL;
  char *value = NULL;

  if (params == NULL)
    return NULL;
  value = g_strdup (g_hash_table_lookup (params, name));
  g_hash_table_destroy (params);
  return value;
}

/* The generation in the headers is at most that of the body.  An entry that is
   not ready reports no generation: its configuration may be older than the one
   before its restart.  */
static void
config_page (struct entry *entry, const char *query,
             struct entry_admin_response *out)
{
  g_autofree char *have = NULL;
  g_autofree char *text = NULL;
  uint64_t generation;

  if (!entry_config_ready (entry))
    {
      put_number (out, PEER_HEADER_INCARNATION, entry->incarnation);
      put_number (out, PEER_HEADER_READY, 0);
      out->status = HTTP_STATUS_SERVICE_UNAVAILABLE;
      return;
    }
  have = query_value (query, "have");
  text = cfg_sync_delta (entry->config,
                         have != NULL ? strtoull (have, NULL, 10) : 0,
                         &generation);
  if (text != NULL)
    {
      put_type (out, "application/json");
      g_string_append (out->body, text);
    }
  else
    out->status = HTTP_STATUS_NO_CONTENT;
  put_number (out, PEER_HEADER_GENERATION, generation);
  put_number (out, PEER_HEADER_INCARNATION, entry->incarnation);
  put_number (out, PEER_HEADER_READY, 1);
}

static void
status_page (struct entry *entry, const char *query,
             struct entry_admin_response *out)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *runners = json_object_new_array ();
  unsigned calls;

  (void)query;
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
  put_type (out, "application/json");
  g_string_append (out->body, json_object_to_json_string_ext (
                                  root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
}

static void
authority_page (struct entry *entry, const char *query,
                struct entry_admin_response *out)
{
  g_autofree char *text = entry_control_page (entry);

  (void)query;
  put_type (out, "application/json");
  g_string_append (out->body, text);
}

static void
metrics_page (struct entry *entry, const char *query,
              struct entry_admin_response *out)
{
  (void)entry;
  (void)query;
  put_type (out, "text/plain; version=0.0.4");
  metric_render (out->body);
}

static void
trace_page (struct entry *entry, const char *query,
            struct entry_admin_response *out)
{
  g_autofree char *id = query_value (query, "id");

  if (entry_trace_page (entry, id, out->body) == 0)
    {
      put_type (out, "application/json");
      return;
    }
  out->status = HTTP_STATUS_BAD_REQUEST;
  put_type (out, "text/plain");
  g_string_assign (out->body, "id: expected 32 hexadecimal digits\n");
}

static void
warnings_page (struct entry *entry, const char *query,
               struct entry_admin_response *out)
{
  (void)query;
  put_type (out, "application/json");
  entry_warn_page (entry, out->body);
}

static const struct page
{
  const char *path;
  void (*make) (struct entry *entry, const char *query,
                struct entry_admin_response *out);
} pages[] = {
  { "/metrics", metrics_page },     { "/admin/authority", authority_page },
  { "/admin/config", config_page }, { "/admin/status", status_page },
  { "/admin/trace", trace_page },   { "/admin/warnings", warnings_page },
};

int
entry_admin_page (struct entry *entry, const char *path, const char *query,
                  struct entry_admin_response *out)
{
  for (size_t i = 0; i < G_N_ELEMENTS (pages); i++)
    if (strcmp (pages[i].path, path) == 0)
      {
        out->status = HTTP_STATUS_OK;
        pages[i].make (entry, query, out);
        return 0;
      }
  return -1;
}
