#include "cfg_private.h"

#include <string.h>

struct cfg_arena
{
  gatomicrefcount references;
  GPtrArray *blocks;
};

static void *
allocate (struct cfg_snapshot *snap, size_t count, size_t size)
{
  void *block = g_malloc0_n (count + 1, size);

  g_ptr_array_add (snap->arena->blocks, block);
  return block;
}

static const char *
copy_string (struct cfg_snapshot *snap, const char *text)
{
  char *block = g_strdup (text);

  g_ptr_array_add (snap->arena->blocks, block);
  return block;
}

/* The first member of every table entry is its name.  */
static int
by_name (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static const void *
find_by_name (const void *table, size_t count, size_t size, const char *name)
{
  return count > 0 ? bsearch (&name, table, count, size, by_name) : NULL;
}

static const char *const *
copy_list (struct cfg_snapshot *snap, struct json_object *list, size_t *count)
{
  const char **out;

  *count = list != NULL ? json_object_array_length (list) : 0;
  out = allocate (snap, *count, sizeof *out);
  for (size_t i = 0; i < *count; i++)
    out[i] = copy_string (
        snap, json_object_get_string (json_object_array_get_idx (list, i)));
  return out;
}

static unsigned
get_unsigned (struct json_object *obj, const char *name, unsigned absent)
{
  return (unsigned)cfg_int (obj, name, absent);
}

static double
get_double (struct json_object *obj, const char *name, double absent)
{
  struct json_object *value = cfg_member (obj, name);

  return value != NULL ? json_object_get_double (value) : absent;
}

static void
fill_model (struct cfg_snapshot *snap, void *entry, struct json_object *value)
{
  struct cfg_model *model = entry;

  model->version = copy_string (snap, cfg_string (value, "version"));
  model->adapters = copy_list (snap, cfg_member (value, "adapters"),
                               &model->adapter_count);
  model->max_output_tokens = get_unsigned (value, "max_output_tokens", 0);
}

static void
fill_service (struct cfg_snapshot *snap, void *entry,
              struct json_object *value)
{
  struct cfg_service *service = entry;
  struct json_object *list = cfg_member (value, "routes");
  struct cfg_route *routes;

  service->timeout_ms = get_unsigned (value, "timeout_ms", 0);
  service->route_count = json_object_array_length (list);
  routes = allocate (snap, service->route_count, sizeof *routes);
  for (size_t i = 0; i < service->route_count; i++)
    {
      struct json_object *route = json_object_array_get_idx (list, i);

      routes[i].method = copy_string (snap, cfg_string (route, "method"));
      routes[i].path_prefix
          = copy_string (snap, cfg_string (route, "path_prefix"));
      routes[i].idempotent = cfg_bool (route, "idempotent", false);
    }
  service->routes = routes;
}

static void
fill_priority (struct cfg_snapshot *snap, void *entry,
               struct json_object *value)
{
  struct cfg_priority *priority = entry;

  (void)snap;
  priority->level = get_unsigned (value, "level", 0);
  priority->share = get_unsigned (value, "share", 0);
}

static void
fill_customer (struct cfg_snapshot *snap, void *entry,
               struct json_object *value)
{
  struct cfg_customer *customer = entry;

  customer->weight = get_double (value, "weight", 1);
  customer->priority
      = cfg_priority_find (snap, cfg_string (value, "priority"));
}

static void
fill_runner (struct cfg_snapshot *snap, void *entry, struct json_object *value)
{
  struct cfg_runner *runner = entry;

  runner->drain = cfg_bool (value, "drain", false);
  runner->withdraw = cfg_bool (value, "withdraw", false);
  runner->may_drain = cfg_bool (value, "may_drain", true);
  runner->models
      = copy_list (snap, cfg_member (value, "models"), &runner->model_count);
}

/* Builds a table from the members of MAP and sorts it by name.  */
static void *
fill_table (struct cfg_snapshot *snap, struct json_object *map, size_t size,
            void (*fill) (struct cfg_snapshot *, void *, struct json_object *),
            size_t *count)
{
  char *table;
  char *entry;

  *count = map != NULL ? (size_t)json_object_object_length (map) : 0;
  table = allocate (snap, *count, size);
  entry = table;
  if (map == NULL)
    return table;
  json_object_object_foreach (map, key, value)
  {
    *(const char **)(void *)entry = copy_string (snap, key);
    fill (snap, entry, value);
    entry += size;
  }
  qsort (table, *count, size, by_name);
  return table;
}

static void
fill_limits (struct cfg_limits *limits, struct json_object *body)
{
  struct cfg_doc *defaults = cfg_default ();
  struct json_object *absent = cfg_body_json (defaults->root, CFG_LIMITS);

#define LIMIT(m)                                                              \
  limits->m = get_unsigned (body, #m, get_unsigned (absent, #m, 0))
  LIMIT (deadline_default_ms);
  LIMIT (deadline_max_ms);
  LIMIT (first_token_ms);
  LIMIT (token_gap_ms);
  LIMIT (retry_percent);
  LIMIT (queue_max);
#undef LIMIT
  cfg_free (defaults);
}

static void
fill_site (struct cfg_site *site, struct json_object *body)
{
  struct cfg_doc *defaults = cfg_default ();
  struct json_object *absent = cfg_body_json (defaults->root, CFG_SITE);

  site->role_change_cost_s
      = get_double (body, "role_change_cost_s",
                    get_double (absent, "role_change_cost_s", 0));
  site->goodput_weight = get_double (body, "goodput_weight",
                                     get_double (absent, "goodput_weight", 0));
  cfg_free (defaults);
}

struct cfg_snapshot *
cfg_snapshot_new (const struct cfg_doc *doc)
{
  struct cfg_snapshot *snap = g_new0 (struct cfg_snapshot, 1);

  snap->arena = g_new0 (struct cfg_arena, 1);
  g_atomic_ref_count_init (&snap->arena->references);
  snap->arena->blocks = g_ptr_array_new_with_free_func (g_free);
  snap->generation = cfg_generation (doc);
  fill_limits (&snap->limits, cfg_body_json (doc->root, CFG_LIMITS));
  fill_site (&snap->site, cfg_body_json (doc->root, CFG_SITE));
#define TABLE(body, kind)                                                     \
  snap->kind##s = fill_table (snap, body, sizeof (struct cfg_##kind),         \
                              fill_##kind, &snap->kind##_count)
  TABLE (cfg_body_json (doc->root, CFG_MODELS), model);
  TABLE (cfg_body_json (doc->root, CFG_SERVICES), service);
  TABLE (cfg_member (cfg_body_json (doc->root, CFG_FLEET), "runners"), runner);
#undef TABLE
  snap->priorities = fill_table (
      snap, cfg_body_json (doc->root, CFG_PRIORITIES),
      sizeof (struct cfg_priority), fill_priority, &snap->priority_count);
  /* Customers point to their priority, so priorities are filled first.  */
  snap->customers = fill_table (snap, cfg_body_json (doc->root, CFG_CUSTOMERS),
                                sizeof (struct cfg_customer), fill_customer,
                                &snap->customer_count);
  return snap;
}

struct cfg_snapshot *
cfg_snapshot_ref (struct cfg_snapshot *snap)
{
  g_atomic_ref_count_inc (&snap->arena->references);
  return snap;
}

void
cfg_snapshot_unref (struct cfg_snapshot *snap)
{
  if (snap == NULL || !g_atomic_ref_count_dec (&snap->arena->references))
    return;
  g_ptr_array_unref (snap->arena->blocks);
  g_free (snap->arena);
  g_free (snap);
}

const struct cfg_model *
cfg_model_find (const struct cfg_snapshot *snap, const char *name)
{
  return find_by_name (snap->models, snap->model_count, sizeof *snap->models,
                       name);
}

const struct cfg_runner *
cfg_runner_find (const struct cfg_snapshot *snap, const char *name)
{
  return find_by_name (snap->runners, snap->runner_count,
                       sizeof *snap->runners, name);
}

const struct cfg_customer *
cfg_customer_find (const struct cfg_snapshot *snap, const char *name)
{
  return find_by_name (snap->customers, snap->customer_count,
                       sizeof *snap->customers, name);
}

const struct cfg_priority *
cfg_priority_find (const struct cfg_snapshot *snap, const char *name)
{
  return find_by_name (snap->priorities, snap->priority_count,
                       sizeof *snap->priorities, name);
}

static bool
has_prefix (const char *path, const char *prefix)
{
  size_t n = strlen (prefix);

  return strncmp (path, prefix, n) == 0
         && (path[n] == '\0' || path[n] == '/' || path[n] == '?'
             || (n > 0 && prefix[n - 1] == '/'));
}

const struct cfg_route *
cfg_route_find (const struct cfg_snapshot *snap, const char *method,
                const char *path, const struct cfg_service **service)
{
  const struct cfg_route *best = NULL;

  for (size_t s = 0; s < snap->service_count; s++)
    for (size_t r = 0; r < snap->services[s].route_count; r++)
      {
        const struct cfg_route *route = &snap->services[s].routes[r];

        if (strcmp (route->method, method) != 0
            || !has_prefix (path, route->path_prefix)
            || (best != NULL
                && strlen (best->path_prefix) >= strlen (route->path_prefix)))
          continue;
        best = route;
        *service = &snap->services[s];
      }
  return best;
}
