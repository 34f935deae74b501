#include "tenantshare.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Time constant of the memory of work: several times the longest queue, so
   that a short burst of a tenant is served from its unused share.  */
#define MEMORY_US 4e6
#define LEVEL_US INT64_C (100000) /* between two calculations of a level */
#define OTHERS_US                                                             \
  INT64_C (3000000) /* a report of the others counts so long                  \
                     */
#define FORGET_US INT64_C (30000000)
/* A class in which less than this part of the work is refused isn't short.  */
#define REFUSED_MIN 0.01
/* A tenant this far above its share is not held back: that is chance.  */
#define EXCESS_MIN 1.1
/* The limit of tenants above their share is half when others are refused the
   inverse of this part of their work.  */
#define REFUSED_GAIN 50
/* A limit is not lowered beyond this part.  With an empty queue engines would
   be idle between two requests.  */
#define LIMIT_MIN 0.25

struct tenant
{
  uint64_t key;
  double weight;
  double offered;
  double admitted;
  int64_t at;   /* time as of which the two are */
  int64_t last; /* time of the last request */
  double others_offered;
  double others_admitted;
  int64_t others_at;
  int is_told;
};

struct class
{
  uint64_t id;
  GHashTable *tenants; /* key -> struct tenant */
  double offered;
  double admitted;
  int64_t at;
  double level;         /* work per weight that a tenant is entitled to */
  double refused_below; /* part of the work of tenants that ask for less */
  int64_t level_at;
};

struct tenantshare
{
  GHashTable *classes; /* id -> struct class */
};

static void
class_free (gpointer data)
{
  struct class *class = data;

  g_hash_table_destroy (class->tenants);
  g_free (class);
}

struct tenantshare *
tenantshare_new (void)
{
  struct tenantshare *shares = g_new0 (struct tenantshare, 1);

  shares->classes
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, class_free);
  return shares;
}

void
tenantshare_free (struct tenantshare *shares)
{
  g_hash_table_destroy (shares->classes);
  g_free (shares);
}

uint64_t
tenantshare_key (uint64_t class_id, const char *name)
{
  return XXH64 (name, strlen (name), class_id);
}

/* Lets what was noted at *AT decay until NOW.  */
static void
age (double *offered, double *admitted, int64_t *at, int64_t now)
{
  double part;

  if (now <= *at)
    return;
  part = exp (-(double)(now - *at) / MEMORY_US);
  *offered *= part;
  *admitted *= part;
  *at = now;
}

static struct class *
class_find (const struct tenantshare *shares, uint64_t id)
{
  return g_hash_table_lookup (shares->classes, &id);
}

static struct tenant *
tenant_find (const struct class *class, uint64_t key)
{
  return g_hash_table_lookup (class->tenants, &key);
}

static struct class *
class_add (struct tenantshare *shares, uint64_t id, int64_t now)
{
  struct class *class = g_new0 (struct class, 1);

  class->id = id;
  class->at = now;
  class->tenants
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_hash_table_insert (shares->classes, &class->id, class);
  return class;
}

static struct tenant *
tenant_add (struct class *class, uint64_t key, int64_t now)
{
  struct tenant *tenant = g_new0 (struct tenant, 1);

  tenant->key = key;
  tenant->at = now;
  g_hash_table_insert (class->tenants, &tenant->key, tenant);
  return tenant;
}

void
tenantshare_note (struct tenantshare *shares, uint64_t id, uint64_t key,
                  double weight, double work, int is_admitted, int64_t now)
{
  struct class *class = class_find (shares, id);
  struct tenant *tenant;

  if (class == NULL)
    class = class_add (shares, id, now);
  tenant = tenant_find (class, key);
  if (tenant == NULL)
    tenant = tenant_add (class, key, now);
  age (&class->offered, &class->admitted, &class->at, now);
  age (&tenant->offered, &tenant->admitted, &tenant->at, now);
  class->offered += work;
  tenant->offered += work;
  if (is_admitted)
    {
      class->admitted += work;
      tenant->admitted += work;
    }
  tenant->weight = weight;
  tenant->last = now;
}

static int
is_short (struct class *class, int64_t now)
{
  age (&class->offered, &class->admitted, &class->at, now);
  return class->admitted < class->offered * (1 - REFUSED_MIN);
}

/* A tenant's work at all gateways.  */
struct demand
{
  double offered;
  double admitted;
  double weight;
};

static struct demand
demand_of (struct tenant *tenant, int64_t now)
{
  struct demand demand;

  age (&tenant->offered, &tenant->admitted, &tenant->at, now);
  demand.offered = tenant->offered;
  demand.admitted = tenant->admitted;
  demand.weight = tenant->weight;
  if (tenant->others_at != 0 && now - tenant->others_at < OTHERS_US)
    {
      demand.offered += tenant->others_offered;
      demand.admitted += tenant->others_admitted;
    }
  return demand;
}

static gint
least_demanding_first (gconstpointer a, gconstpointer b)
{
  const struct demand *x = a;
  const struct demand *y = b;
  double left = x->offered * y->weight;
  double right = y->offered * x->weight;

  return left < right ? -1 : left > right;
}

/* Sets the level L at which the tenants would be admitted as much work as they
   are, if each got what it offers but at most L by its weight, and the part of
   their work that those below it are refused.  */
static void
set_level (struct class *class, int64_t now)
{
  GArray *demands = g_array_new (FALSE, FALSE, sizeof (struct demand));
  double room = 0;
  double weights = 0;
  double offered = 0; /* by the tenants below the level */
  double refused = 0;
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, class->tenants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct demand demand = demand_of (value, now);
      room += demand.admitted;
      weights += demand.weight;
      g_array_append_val (demands, demand);
    }
  g_array_sort (demands, least_demanding_first);
  class->level = INFINITY;
  for (i = 0; i < demands->len; i++)
    {
      const struct demand *demand = &g_array_index (demands, struct demand, i);
      if (demand->offered * weights > room * demand->weight)
        {
          class->level = room / weights;
          break;
        }
      room -= demand->offered;
      weights -= demand->weight;
      offered += demand->offered;
      refused += demand->offered - demand->admitted;
    }
  g_array_free (demands, TRUE);
  class->refused_below = offered > 0 ? refused / offered : 0;
  class->level_at = now;
}

double
tenantshare_limit (struct tenantshare *shares, uint64_t id, uint64_t key,
                   int64_t now)
{
  struct class *class = class_find (shares, id);
  struct tenant *tenant = class != NULL ? tenant_find (class, key) : NULL;
  struct demand demand;
  double part;
  double share;

  if (tenant == NULL || !is_short (class, now))
    return 1;
  if (class->level_at == 0 || now - class->level_at >= LEVEL_US)
    set_level (class, now);
  demand = demand_of (tenant, now);
  share = class->level * demand.weight;
  /* Who asks for more but gets less isn't what the others suffer from.  */
  if (demand.admitted <= share)
    return 1;
  part = 1 / (1 + REFUSED_GAIN * class->refused_below);
  if (demand.admitted > share * EXCESS_MIN)
    part *= pow (share / demand.admitted, 2);
  return MAX (part, LIMIT_MIN);
}

static gint
most_offered_first (gconstpointer a, gconstpointer b)
{
  const struct tenant *x = *(struct tenant *const *)a;
  const struct tenant *y = *(struct tenant *const *)b;

  return x->offered > y->offered ? -1 : x->offered < y->offered;
}

static void
report_class (struct class *class, int64_t now, tenantshare_report_fn *fn,
              void *ctx)
{
  GPtrArray *tenants = g_ptr_array_new ();
  int told = is_short (class, now);
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, class->tenants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct tenant *tenant = value;
      if (!tenant->is_told && now - tenant->last > FORGET_US)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      age (&tenant->offered, &tenant->admitted, &tenant->at, now);
      g_ptr_array_add (tenants, tenant);
    }
  g_ptr_array_sort (tenants, most_offered_first);
  for (i = 0; i < tenants->len; i++)
    {
      struct tenant *tenant = g_ptr_array_index (tenants, i);
      int is_told = told && i < TENANTSHARE_TOLD_MAX;

      if (is_told)
        fn (ctx, tenant->key, tenant->offered, tenant->admitted);
      else if (tenant->is_told)
        fn (ctx, tenant->key, 0, 0);
      tenant->is_told = is_told;
    }
  g_ptr_array_free (tenants, TRUE);
}

void
tenantshare_report (struct tenantshare *shares, int64_t now,
                    tenantshare_report_fn *fn, void *ctx)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, shares->classes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct class *class = value;
      report_class (class, now, fn, ctx);
      if (g_hash_table_size (class->tenants) == 0)
        g_hash_table_iter_remove (&iter);
    }
}

int
tenantshare_note_others (struct tenantshare *shares, uint64_t key,
                         double offered, double admitted, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, shares->classes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct tenant *tenant = tenant_find (value, key);
      if (tenant == NULL)
        continue;
      tenant->others_offered = offered;
      tenant->others_admitted = MIN (admitted, offered);
      tenant->others_at = now;
      return 0;
    }
  return -1;
}
