#ifndef ROUTING_H
#define ROUTING_H
/*
 * NAME
 *   routing - routing table: routes, services and limits of the operator's
 *   configuration
 *
 * DESCRIPTION
 *   A table is immutable once it is built.  A request keeps a reference to the
 *   table by which it was routed.  No input or output; times are in
 *   milliseconds.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "http_head.h"

enum routing_kind
{
  ROUTING_IDEMPOTENT,
  ROUTING_NON_IDEMPOTENT,
  ROUTING_STREAM
};

struct routing_service
{
  char *name;
  unsigned connections_max; /* to one runner, over all callers */
  int is_engine;
  char *health_path; /* null: none is configured */
};

struct routing_target
{
  char *service;
  unsigned weight;
};

struct routing_route
{
  char *name;
  char *host;
  char *prefix;
  enum routing_kind kind;
  int resumable;      /* another runner can resume a stream */
  int64_t timeout_ms; /* from the request to the end of the answer */
  int64_t target_ms;  /* for the first byte of the answer */
  int64_t gap_ms;     /* for each pause between events; 0: no target */
  unsigned priority;  /* 0 is the highest */
  unsigned attempts;  /* sends of one request, the first included */
  struct routing_target *targets;
  size_t n_targets;
  int is_public; /* asks for no key */
};

/* A customer whose requests bear one of its keys.  */
struct routing_tenant
{
  char *name;
  int has_priority;
  unsigned priority; /* goes before that of the route, if HAS_PRIORITY */
  double weight;     /* of its share where room is short; 1: the usual */
};

struct routing_table
{
  int refs;
  uint64_t version;
  size_t header_bytes;
  size_t body_bytes;
  int64_t header_ms;
  int64_t idle_ms;
  GPtrArray *routes;   /* struct routing_route */
  GPtrArray *services; /* struct routing_service */
  GPtrArray *tenants;  /* struct routing_tenant, or null: no keys are asked */
  GHashTable *tenants_by_name;
  GHashTable *tenants_by_key;
  GStringChunk *keys;
  size_t key_bytes_max; /* length of the longest key */
  GHashTable *hosts;    /* host -> GPtrArray of routes, longest prefix first */
};

/* Returns an empty table with one reference.  */
struct routing_table *routing_new (uint64_t version);
struct routing_table *routing_ref (struct routing_table *table);
void routing_unref (struct routing_table *table);

/* Adds a zeroed route with N_TARGETS targets, which the caller fills in.  */
struct routing_route *routing_route_add (struct routing_table *table,
                                         size_t n_targets);
/* Adds a zeroed service, which the caller fills in.  */
struct routing_service *routing_service_add (struct routing_table *table);

/* Builds the index by host; to be called once all routes are filled in.  */
void routing_build_index (struct routing_table *table);

/* Returns the route with the longest prefix of TARGET's path for HOST, which
   may have a port, or null.  */
const struct routing_route *routing_find (const struct routing_table *table,
                                          struct http_str host,
                                          struct http_str target);
const struct routing_service *
routing_service_find (const struct routing_table *table, const char *name);

/* From now on requests need a key, except on public routes.  */
void routing_require_keys (struct routing_table *table);
/* Adds a tenant with a weight of 1 and without keys to a table that requires
   keys.  Returns null when there is one of that name.  */
struct routing_tenant *routing_tenant_add (struct routing_table *table,
                                           const char *name);
/* Gives KEY, which isn't empty, to TENANT.  Returns 0, or -1 when another
   tenant holds it.  */
int routing_key_add (struct routing_table *table,
                     struct routing_tenant *tenant, const char *key);
/* Returns the tenant that holds KEY, or null.  */
const struct routing_tenant *
routing_tenant_find (const struct routing_table *table, struct http_str key);

/* Returns the tenant of that name, or null.  */
const struct routing_tenant *
routing_tenant_named (const struct routing_table *table, const char *name);

/* Returns the service for a request with this hash, by the weights of the
   targets.  */
const char *routing_pick_service (const struct routing_route *route,
                                  uint64_t hash);

/* Replaces *HELD by NEXT, taking over the reference, when NEXT is newer.
   Returns 1, or 0 after releasing NEXT: a process never goes back to an older
   version.  */
int routing_adopt (struct routing_table **held, struct routing_table *next);
#endif
