#include "cfg_private.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

enum kind
{
  KIND_ANY,
  KIND_BOOL,
  KIND_INT,
  KIND_NUMBER,
  KIND_STRING,
  KIND_ARRAY,
  KIND_MAP,   /* object with arbitrary member names */
  KIND_OBJECT /* object with the members of a table */
};

/* Schema of a value.  MIN and MAX bound a number, the bytes of a string or the
   entries of an array or map.  */
struct schema
{
  enum kind kind;
  int64_t min;
  int64_t max;
  const struct schema *item;
  const struct member *members;
};

struct member
{
  const char *name;
  bool required;
  struct schema schema;
};

enum
{
  NAME_MAX_BYTES = 128,
  TEXT_MAX_BYTES = 1024,
  LIST_ENTRIES_MAX = 256, /* entries of a list */
  MAP_ENTRIES_MAX
  = 20000, /* entries of a map; a site plans for 12,000 customers */
  DURATION_MAX_MS = 86400000, /* one day */
  TOKENS_MAX = 1 << 24,
  QUEUE_MAX = 1 << 20 /* requests */
};

#define COUNT_MAX INT64_C (9007199254740991) /* exact in any JSON reader */

#define BOOL                                                                  \
  {                                                                           \
    KIND_BOOL, 0, 0, NULL, NULL                                               \
  }
#define INT(lo, hi)                                                           \
  {                                                                           \
    KIND_INT, lo, hi, NULL, NULL                                              \
  }
#define NUMBER(lo, hi)                                                        \
  {                                                                           \
    KIND_NUMBER, lo, hi, NULL, NULL                                           \
  }
#define STRING(lo, hi)                                                        \
  {                                                                           \
    KIND_STRING, lo, hi, NULL, NULL                                           \
  }
#define ARRAY(of)                                                             \
  {                                                                           \
    KIND_ARRAY, 0, LIST_ENTRIES_MAX, of, NULL                                 \
  }
#define MAP(of)                                                               \
  {                                                                           \
    KIND_MAP, 0, MAP_ENTRIES_MAX, of, NULL                                    \
  }
#define OBJECT(table)                                                         \
  {                                                                           \
    KIND_OBJECT, 0, 0, NULL, table                                            \
  }
#define END                                                                   \
  {                                                                           \
    NULL, false, { KIND_ANY, 0, 0, NULL, NULL }                               \
  }

static const struct schema any = { KIND_ANY, 0, 0, NULL, NULL };
static const struct schema name = STRING (1, NAME_MAX_BYTES);
static const struct schema write_id = STRING (1, CFG_WRITE_ID_SIZE - 1);

static const struct member model_members[]
    = { { "version", true, STRING (1, NAME_MAX_BYTES) },
        { "adapters", false, ARRAY (&name) },
        { "max_output_tokens", true, INT (1, TOKENS_MAX) },
        END };
static const struct schema model = OBJECT (model_members);

static const struct member route_members[]
    = { { "method", true, STRING (1, NAME_MAX_BYTES) },
        { "path_prefix", true, STRING (1, TEXT_MAX_BYTES) },
        { "idempotent", true, BOOL },
        END };
static const struct schema route = OBJECT (route_members);
static const struct member service_members[]
    = { { "routes", true, ARRAY (&route) },
        { "timeout_ms", true, INT (1, DURATION_MAX_MS) },
        END };
static const struct schema service = OBJECT (service_members);

static const struct member priority_members[]
    = { { "level", true, INT (0, 9) }, { "share", true, INT (0, 100) }, END };
static const struct schema priority = OBJECT (priority_members);

static const struct member customer_members[]
    = { { "weight", true, NUMBER (0, 1000000) },
        { "priority", true, STRING (1, NAME_MAX_BYTES) },
        END };
static const struct schema customer = OBJECT (customer_members);

static const struct member runner_members[]
    = { { "drain", false, BOOL },
        { "withdraw", false, BOOL },
        { "may_drain", false, BOOL },
        { "models", false, ARRAY (&name) },
        END };
static const struct schema runner = OBJECT (runner_members);
static const struct member fleet_members[]
    = { { "runners", false, MAP (&runner) }, END };

static const struct member limits_members[]
    = { { "deadline_default_ms", false, INT (1, DURATION_MAX_MS) },
        { "deadline_max_ms", false, INT (1, DURATION_MAX_MS) },
        { "first_token_ms", false, INT (1, DURATION_MAX_MS) },
        { "token_gap_ms", false, INT (1, DURATION_MAX_MS) },
        { "retry_percent", false, INT (0, 100) },
        { "queue_max", false, INT (0, QUEUE_MAX) },
        END };

static const struct member site_members[]
    = { { "role_change_cost_s", false, NUMBER (0, 86400) },
        { "goodput_weight", false, NUMBER (0, 1000000) },
        END };

static const struct schema body_schemas[CFG_SECTION_MAX] = {
  [CFG_MODELS] = MAP (&model),          [CFG_SERVICES] = MAP (&service),
  [CFG_PRIORITIES] = MAP (&priority),   [CFG_CUSTOMERS] = MAP (&customer),
  [CFG_FLEET] = OBJECT (fleet_members), [CFG_LIMITS] = OBJECT (limits_members),
  [CFG_SITE] = OBJECT (site_members),
};

static const struct member section_members[]
    = { { "owner", true, STRING (0, NAME_MAX_BYTES) },
        { "credential", false, STRING (0, TEXT_MAX_BYTES) },
        { "revision", true, INT (0, COUNT_MAX) },
        { "generation", true, INT (0, COUNT_MAX) },
        { "time_us", false, INT (0, INT64_MAX - 1) },
        { "operator", false, STRING (0, NAME_MAX_BYTES) },
        { "write_id", false, STRING (0, CFG_WRITE_ID_SIZE - 1) },
        { "body", true, { KIND_ANY, 0, 0, NULL, NULL } },
        { "history", false, ARRAY (&any) },
        END };

static const struct member sections_members[] = {
  { "models", false, OBJECT (section_members) },
  { "services", false, OBJECT (section_members) },
  { "priorities", false, OBJECT (section_members) },
  { "customers", false, OBJECT (section_members) },
  { "fleet", false, OBJECT (section_members) },
  { "limits", false, OBJECT (section_members) },
  { "site", false, OBJECT (section_members) },
  END,
};
static const struct member document_members[] = {
  { "generation", true, INT (0, COUNT_MAX) },
  { "write_ids", false, { KIND_ARRAY, 0, CFG_WRITE_IDS, &write_id, NULL } },
  { "sections", true, OBJECT (sections_members) },
  END
};
static const struct schema document = OBJECT (document_members);

static void check_value (struct cfg_input *in, const char *path,
                         const struct schema *schema,
                         struct json_object *value);

static void
check_members (struct cfg_input *in, const char *path,
               const struct member *members, struct json_object *value)
{
  json_object_object_foreach (value, key, child)
  {
    char *sub = g_strconcat (path, path[0] != '\0' ? "." : "", key, NULL);
    const struct member *m = members;

    while (m->name != NULL && strcmp (m->name, key) != 0)
      m++;
    if (m->name != NULL)
      check_value (in, sub, &m->schema, child);
    else
      cfg_problem_add (in, sub, "expected a known member");
    g_free (sub);
  }
  for (const struct member *m = members; m->name != NULL; m++)
    if (m->required && !json_object_object_get_ex (value, m->name, NULL))
      cfg_problem_add (in, path, "expected the member \"%s\"", m->name);
}

static void
check_map (struct cfg_input *in, const char *path, const struct schema *schema,
           struct json_object *value)
{
  if (json_object_object_length (value) > schema->max)
    cfg_problem_add (in, path, "expected at most %" PRId64 " entries",
                     schema->max);
  json_object_object_foreach (value, key, child)
  {
    char *sub = g_strconcat (path, path[0] != '\0' ? "." : "", key, NULL);

    if (key[0] == '\0' || strlen (key) > NAME_MAX_BYTES)
      cfg_problem_add (in, sub, "expected a name of 1 to %d bytes",
                       NAME_MAX_BYTES);
    check_value (in, sub, schema->item, child);
    g_free (sub);
  }
}

static void
check_array (struct cfg_input *in, const char *path,
             const struct schema *schema, struct json_object *value)
{
  size_t count = json_object_array_length (value);

  if (count > (size_t)schema->max)
    cfg_problem_add (in, path, "expected at most %" PRId64 " entries",
                     schema->max);
  for (size_t i = 0; i < count; i++)
    {
      char *sub = g_strdup_printf ("%s[%zu]", path, i);

      check_value (in, sub, schema->item,
                   json_object_array_get_idx (value, i));
      g_free (sub);
    }
}

/* json-c clamps an integer that is out of range, so the bounds of each number
   are below the extreme values and also refuse clamped ones.  */
static void
check_number (struct cfg_input *in, const char *path,
              const struct schema *schema, struct json_object *value)
{
  bool integer = json_object_is_type (value, json_type_int);
  double number = json_object_get_double (value);
  bool valid;

  if (schema->kind == KIND_INT)
    valid = integer && json_object_get_int64 (value) >= schema->min
            && json_object_get_int64 (value) <= schema->max;
  else
    valid = (integer || json_object_is_type (value, json_type_double))
            && isfinite (number) && number >= (double)schema->min
            && number <= (double)schema->max;
  if (!valid)
    cfg_problem_add (in, path, "expected %s from %" PRId64 " to %" PRId64,
                     schema->kind == KIND_INT ? "an integer" : "a number",
                     schema->min, schema->max);
}

static void
check_value (struct cfg_input *in, const char *path,
             const struct schema *schema, struct json_object *value)
{
  enum json_type type = json_object_get_type (value);

  switch (schema->kind)
    {
    case KIND_ANY:
      break;
    case KIND_BOOL:
      if (type != json_type_boolean)
        cfg_problem_add (in, path, "expected true or false");
      break;
    case KIND_INT:
    case KIND_NUMBER:
      check_number (in, path, schema, value);
      break;
    case KIND_STRING:
      if (type != json_type_string
          || json_object_get_string_len (value) < schema->min
          || json_object_get_string_len (value) > schema->max)
        cfg_problem_add (
            in, path, "expected a string of %" PRId64 " to %" PRId64 " bytes",
            schema->min, schema->max);
      break;
    case KIND_ARRAY:
      if (type != json_type_array)
        cfg_problem_add (in, path, "expected an array");
      else
        check_array (in, path, schema, value);
      break;
    case KIND_MAP:
    case KIND_OBJECT:
      if (type != json_type_object)
        cfg_problem_add (in, path, "expected an object");
      else if (schema->kind == KIND_MAP)
        check_map (in, path, schema, value);
      else
        check_members (in, path, schema->members, value);
      break;
    }
}

void
cfg_check_body (struct cfg_input *in, enum cfg_section id,
                struct json_object *body)
{
  check_value (in, "", &body_schemas[id], body);
}

void
cfg_check_document (struct cfg_input *in, struct json_object *root)
{
  check_value (in, "", &document, root);
  for (int id = 0; id < CFG_SECTION_MAX; id++)
    {
      struct json_object *body = cfg_body_json (root, id);
      char *path;

      if (cfg_section_json (root, id) == NULL)
        continue;
      path = g_strdup_printf ("sections.%s.body", cfg_section_name (id));
      check_value (in, path, &body_schemas[id], body);
      g_free (path);
    }
}

static void
check_shares (struct cfg_input *in, struct json_object *priorities)
{
  int64_t sum = 0;

  json_object_object_foreach (priorities, key, value)
  {
    (void)key;
    sum += cfg_int (value, "share", 0);
  }
  if (sum > 100)
    cfg_problem_add (in, "sections.priorities.body",
                     "expected shares that add up to at most 100, found "
                     "%" PRId64,
                     sum);
}

static void
check_customers (struct cfg_input *in, struct json_object *root)
{
  struct json_object *priorities = cfg_body_json (root, CFG_PRIORITIES);

  json_object_object_foreach (cfg_body_json (root, CFG_CUSTOMERS), key, value)
  {
    const char *wanted = cfg_string (value, "priority");

    if (!json_object_object_get_ex (priorities, wanted, NULL))
      {
        char *path
            = g_strdup_printf ("sections.customers.body.%s.priority", key);

        cfg_problem_add (in, path, "expected a known priority, found \"%s\"",
                         wanted);
        g_free (path);
      }
  }
}

/* Checks one runner.  SERVED maps each listed model to whether a runner that
   is not withdrawn serves it.  */
static void
check_runner (struct cfg_input *in, struct json_object *models,
              const char *key, struct json_object *value, GHashTable *served)
{
  struct json_object *list = cfg_member (value, "models");
  size_t count = list != NULL ? json_object_array_length (list) : 0;
  bool withdrawn = cfg_bool (value, "withdraw", false);
  char *path = g_strdup_printf ("sections.fleet.body.runners.%s", key);

  if (!cfg_bool (value, "may_drain", true)
      && (withdrawn || cfg_bool (value, "drain", false)))
    cfg_problem_add (in, path,
                     "expected neither drain nor withdraw for a runner that "
                     "may not be drained");
  for (size_t i = 0; i < count; i++)
    {
      const char *wanted
          = json_object_get_string (json_object_array_get_idx (list, i));

      if (!json_object_object_get_ex (models, wanted, NULL))
        cfg_problem_add (in, path, "expected a known model, found \"%s\"",
                         wanted);
      if (!withdrawn || !g_hash_table_contains (served, wanted))
        g_hash_table_insert (served, (void *)wanted,
                             GINT_TO_POINTER (!withdrawn));
    }
  g_free (path);
}

static void
check_fleet (struct cfg_input *in, struct json_object *root)
{
  struct json_object *models = cfg_body_json (root, CFG_MODELS);
  struct json_object *runners
      = cfg_member (cfg_body_json (root, CFG_FLEET), "runners");
  GHashTable *served;
  GHashTableIter iter;
  void *key_data;
  void *flag;

  if (runners == NULL)
    return;
  served = g_hash_table_new (g_str_hash, g_str_equal);
  json_object_object_foreach (runners, key, value)
  {
    check_runner (in, models, key, value, served);
  }
  g_hash_table_iter_init (&iter, served);
  while (g_hash_table_iter_next (&iter, &key_data, &flag))
    if (!GPOINTER_TO_INT (flag))
      cfg_problem_add (in, "sections.fleet.body.runners",
                       "expected a runner of model \"%s\" that is not "
                       "withdrawn",
                       (const char *)key_data);
  g_hash_table_unref (served);
}

void
cfg_check_consistency (struct cfg_input *in, struct json_object *root)
{
  struct json_object *limits = cfg_body_json (root, CFG_LIMITS);
  int64_t generation = cfg_int (root, "generation", 0);

  for (int id = 0; id < CFG_SECTION_MAX; id++)
    if (cfg_int (cfg_section_json (root, id), "generation", 0) > generation)
      cfg_problem_add (in, "sections",
                       "expected \"%s\" to have at most the generation of "
                       "the document",
                       cfg_section_name (id));
  check_shares (in, cfg_body_json (root, CFG_PRIORITIES));
  check_customers (in, root);
  check_fleet (in, root);
  if (cfg_int (limits, "deadline_default_ms", 1)
      > cfg_int (limits, "deadline_max_ms", DURATION_MAX_MS))
    cfg_problem_add (in, "sections.limits.body.deadline_default_ms",
                     "expected at most deadline_max_ms");
}
