#ifndef RTAB_H
#define RTAB_H
/*
 * NAME
 *   rtab - the operator's configuration in force: routes, services, limits
 *
 * DESCRIPTION
 *   A table never changes once it is built.  A request keeps a reference to
 *   the table by which it was routed.  Pure.  Times are in milliseconds.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "hhead.h"

enum rtab_kind
{
  RTAB_IDEMPOTENT,
  RTAB_NON_IDEMPOTENT,
  RTAB_STREAM
};

struct rtab_service
{
  char *name;
  unsigned connections_max; /* to one runner, from all callers together */
  int is_engine;
};

struct rtab_target
{
  char *service;
  unsigned weight;
};

struct rtab_route
{
  char *name;
  char *host;
  char *prefix;
  enum rtab_kind kind;
  int resumable;      /* a stream may go on at another runner */
  int64_t timeout_ms; /* longest time without a final answer */
  int64_t target_ms;  /* for the first byte of the answer */
  unsigned priority;  /* 0 is the highest */
  unsigned attempts;  /* runners to which one request may be sent */
  struct rtab_target *targets;
  size_t n_targets;
};

struct rtab
{
  int refs;
  uint64_t version;
  size_t header_bytes;
  size_t body_bytes;
  int64_t header_ms;
  int64_t idle_ms;
  GPtrArray *routes;   /* struct rtab_route */
  GPtrArray *services; /* struct rtab_service */
  GHashTable *hosts;   /* host -> GPtrArray of routes, longest prefix first */
};

/* Returns an empty table with one reference.  */
struct rtab *rtab_new (uint64_t version);
struct rtab *rtab_ref (struct rtab *table);
void rtab_unref (struct rtab *table);

/* Adds a zeroed route with N_TARGETS targets, to be filled in.  */
struct rtab_route *rtab_route_add (struct rtab *table, size_t n_targets);
struct rtab_service *rtab_service_add (struct rtab *table);

/* Builds the index; to be called once all is filled in.  */
void rtab_seal (struct rtab *table);

/* Returns the route of HOST, with or without a port, and the path of TARGET,
   or null.  */
const struct rtab_route *rtab_find (const struct rtab *table,
                                    struct hspan host, struct hspan target);
const struct rtab_service *rtab_service_find (const struct rtab *table,
                                              const char *name);

/* Returns the service for a request with this hash.  */
const char *rtab_pick (const struct rtab_route *route, uint64_t hash);

/* Replaces *HELD by NEXT, taking its reference, when NEXT is newer.  Returns
   1, or 0 after dropping NEXT.  A process never returns to an older version.
 */
int rtab_adopt (struct rtab **held, struct rtab *next);
#endif
