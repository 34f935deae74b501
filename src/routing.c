#include "routing.h"

#include <string.h>
#include <xxhash.h>

static void
route_free (gpointer data)
{
  struct routing_route *route = data;
  size_t i;

  for (i = 0; i < route->n_targets; i++)
    g_free (route->targets[i].service);
  g_free (route->targets);
  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_free (route);
}

static void
service_free (gpointer data)
{
  struct routing_service *service = data;

  g_free (service->name);
  g_free (service->health_path);
  g_free (service);
}

static void
tenant_free (gpointer data)
{
  struct routing_tenant *tenant = data;

  g_free (tenant->name);
  g_free (tenant);
}

struct routing_table *
routing_new (uint64_t version)
{
  struct routing_table *table = g_new0 (struct routing_table, 1);

  table->refs = 1;
  table->version = version;
  table->routes = g_ptr_array_new_with_free_func (route_free);
  table->services = g_ptr_array_new_with_free_func (service_free);
  table->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                        (GDestroyNotify)g_ptr_array_unref);
  return table;
}

struct routing_table *
routing_ref (struct routing_table *table)
{
  table->refs++;
  return table;
}

void
routing_unref (struct routing_table *table)
{
  if (table == NULL || --table->refs > 0)
    return;
  g_hash_table_destroy (table->hosts);
  g_ptr_array_free (table->routes, TRUE);
  g_ptr_array_free (table->services, TRUE);
  if (table->tenants != NULL)
    {
      g_hash_table_destroy (table->tenants_by_key);
      g_hash_table_destroy (table->tenants_by_name);
      g_ptr_array_free (table->tenants, TRUE);
      g_string_chunk_free (table->keys);
    }
  g_free (table);
}

struct routing_route *
routing_route_add (struct routing_table *table, size_t n_targets)
{
  struct routing_route *route = g_new0 (struct routing_route, 1);

  route->targets = g_new0 (struct routing_target, n_targets);
  route->n_targets = n_targets;
  g_ptr_array_add (table->routes, route);
  return route;
}

struct routing_service *
routing_service_add (struct routing_table *table)
{
  struct routing_service *service = g_new0 (struct routing_service, 1);

  g_ptr_array_add (table->services, service);
  return service;
}

static gint
longest_first (gconstpointer a, gconstpointer b)
{
  const struct routing_route *x = *(struct routing_route *const *)a;
  const struct routing_route *y = *(struct routing_route *const *)b;
  size_t n = strlen (x->prefix);
  size_t m = strlen (y->prefix);

  return n > m ? -1 : n < m;
}

void
routing_build_index (struct routing_table *table)
{
  GHashTableIter iter;
  gpointer list;
  guint i;

  for (i = 0; i < table->routes->len; i++)
    {
      struct routing_route *route = g_ptr_array_index (table->routes, i);
      GPtrArray *of_host = g_hash_table_lookup (table->hosts, route->host);
      if (of_host == NULL)
        {
          of_host = g_ptr_array_new ();
          g_hash_table_insert (table->hosts, route->host, of_host);
        }
      g_ptr_array_add (of_host, route);
    }
  g_hash_table_iter_init (&iter, table->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &list))
    g_ptr_array_sort (list, longest_first);
}

const struct routing_route *
routing_find (const struct routing_table *table, struct http_str host,
              struct http_str target)
{
  enum
  {
    HOST_MAX = 256
  };
  char name[HOST_MAX];
  const char *colon;
  const char *query;
  GPtrArray *of_host;
  size_t n = host.n;
  guint i;

  if (host.p == NULL)
    return NULL;
  colon = memchr (host.p, ':', n);
  if (colon != NULL)
    n = (size_t)(colon - host.p);
  if (n >= sizeof name)
    return NULL;
  for (i = 0; i < n; i++)
    name[i] = g_ascii_tolower (host.p[i]);
  name[n] = '\0';
  of_host = g_hash_table_lookup (table->hosts, name);
  if (of_host == NULL)
    return NULL;
  query = memchr (target.p, '?', target.n);
  if (query != NULL)
    target.n = (size_t)(query - target.p);
  for (i = 0; i < of_host->len; i++)
    {
      const struct routing_route *route = g_ptr_array_index (of_host, i);
      size_t m = strlen (route->prefix);
      if (m <= target.n && memcmp (route->prefix, target.p, m) == 0)
        return route;
    }
  return NULL;
}

const struct routing_service *
routing_service_find (const struct routing_table *table, const char *name)
{
  guint i;

  for (i = 0; i < table->services->len; i++)
    {
      const struct routing_service *service
          = g_ptr_array_index (table->services, i);
      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

static guint
key_hash (gconstpointer key)
{
  return (guint)XXH3_64bits (key, strlen (key));
}

void
routing_require_keys (struct routing_table *table)
{
  enum
  {
    KEYS_CHUNK_BYTES = 4096
  };

  table->tenants = g_ptr_array_new_with_free_func (tenant_free);
  table->tenants_by_name = g_hash_table_new (key_hash, g_str_equal);
  table->tenants_by_key = g_hash_table_new (key_hash, g_str_equal);
  table->keys = g_string_chunk_new (KEYS_CHUNK_BYTES);
}

struct routing_tenant *
routing_tenant_add (struct routing_table *table, const char *name)
{
  struct routing_tenant *tenant;

  if (g_hash_table_contains (table->tenants_by_name, name))
    return NULL;
  tenant = g_new0 (struct routing_tenant, 1);
  tenant->name = g_strdup (name);
  tenant->weight = 1;
  g_ptr_array_add (table->tenants, tenant);
  g_hash_table_insert (table->tenants_by_name, tenant->name, tenant);
  return tenant;
}

int
routing_key_add (struct routing_table *table, struct routing_tenant *tenant,
                 const char *key)
{
  const struct routing_tenant *holder
      = g_hash_table_lookup (table->tenants_by_key, key);

  if (holder != NULL)
    return holder == tenant ? 0 : -1;
  g_hash_table_insert (table->tenants_by_key,
                       g_string_chunk_insert (table->keys, key), tenant);
  table->key_bytes_max = MAX (table->key_bytes_max, strlen (key));
  return 0;
}

const struct routing_tenant *
routing_tenant_find (const struct routing_table *table, struct http_str key)
{
  const struct routing_tenant *tenant;
  char *text;

  /* A client may send a field as long as the whole header.  */
  if (table->tenants_by_key == NULL || key.n == 0
      || key.n > table->key_bytes_max)
    return NULL;
  text = g_strndup (key.p, key.n);
  tenant = g_hash_table_lookup (table->tenants_by_key, text);
  g_free (text);
  return tenant;
}

const struct routing_tenant *
routing_tenant_named (const struct routing_table *table, const char *name)
{
  if (table->tenants_by_name == NULL)
    return NULL;
  return g_hash_table_lookup (table->tenants_by_name, name);
}

const char *
routing_pick_service (const struct routing_route *route, uint64_t hash)
{
  uint64_t sum = 0;
  uint64_t at;
  size_t i;

  for (i = 0; i < route->n_targets; i++)
    sum += route->targets[i].weight;
  if (sum == 0)
    return route->n_targets > 0 ? route->targets[0].service : NULL;
  at = hash % sum;
  for (i = 0; at >= route->targets[i].weight; i++)
    at -= route->targets[i].weight;
  return route->targets[i].service;
}

int
routing_adopt (struct routing_table **held, struct routing_table *next)
{
  if (*held != NULL && next->version <= (*held)->version)
    {
      routing_unref (next);
      return 0;
    }
  routing_unref (*held);
  *held = next;
  return 1;
}
