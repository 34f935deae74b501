/* The tenant of a request.

   The gateway that takes a request from its client looks up the key, and tells
   the gateway that it relays the request to whose it is.  The key itself goes
   nowhere else.  */
#include <string.h>

#include "gw_call.h"

enum
{
  URGENCY_MAX = 9 /* the lowest that runners know */
};

static int
is_relayed (const struct gw_listener *request_listener)
{
  return request_listener
         == &request_listener->gw->request_listeners[GW_LISTENER_GATEWAYS];
}

/* Returns nonzero when the gateway that relays the request has looked at its
   key.  Gateways of a build without tenants pass the key on.  */
static int
is_judged (const struct gw_listener *request_listener,
           const struct adapter_request *in)
{
  return is_relayed (request_listener) && in->relayed_tenant.p != NULL;
}

int
gw_tenant_is_admitted (const struct gw_listener *request_listener,
                       const struct routing_route *route,
                       const struct adapter_request *in)
{
  const struct routing_table *table = request_listener->gw->table;

  return table->tenants == NULL || route->is_public
         || is_judged (request_listener, in)
         || routing_tenant_find (table, in->key) != NULL;
}

/* Returns the tenant that another gateway has named.  The table here may be of
   a version that doesn't know it.  */
static struct routing_tenant *
relayed_tenant (const struct gw_call *call)
{
  const struct routing_tenant *known;
  struct routing_tenant *tenant;

  if (call->in.relayed_tenant.n == 0)
    return NULL;
  tenant = g_new0 (struct routing_tenant, 1);
  tenant->name
      = g_strndup (call->in.relayed_tenant.p, call->in.relayed_tenant.n);
  known = routing_tenant_named (call->table, tenant->name);
  tenant->weight = known != NULL ? known->weight : 1;
  tenant->has_priority = call->in.relayed_urgency >= 0;
  tenant->priority = (unsigned)MAX (call->in.relayed_urgency, 0);
  return tenant;
}

void
gw_tenant_set (struct gw_call *call)
{
  if (is_judged (call->request_listener, &call->in))
    call->tenant = call->relayed_tenant = relayed_tenant (call);
  else if (!call->route->is_public)
    call->tenant = routing_tenant_find (call->table, call->in.key);
  /* The input may move when more is read.  */
  if (call->tenant != NULL && call->relayed_tenant == NULL)
    call->key = g_strndup (call->in.key.p, call->in.key.n);
}

void
gw_tenant_clear (struct gw_call *call)
{
  if (call->relayed_tenant != NULL)
    g_free (call->relayed_tenant->name);
  g_free (call->relayed_tenant);
  g_free (call->key);
  call->key = NULL;
  call->tenant = call->relayed_tenant = NULL;
}

int
gw_tenant_is_revoked (const struct gw_call *call)
{
  const struct routing_table *table = call->gw->table;
  const struct http_str key
      = { call->key, call->key != NULL ? strlen (call->key) : 0 };
  const struct routing_route *route;

  if (call->tenant == NULL || call->relayed_tenant != NULL
      || call->table == table || table->tenants == NULL
      || call->reqstate.sends > 0 || call->prompt_read
      || routing_tenant_find (table, key) != NULL)
    return 0;
  route = routing_find (table, http_head_get (call->head, "host"),
                        call->head->target);
  return route == NULL || !route->is_public;
}

const char *
gw_tenant_label (const struct gw_call *call)
{
  enum
  {
    LABEL_BYTES = 512
  };
  static char label[LABEL_BYTES];
  const char *name = call->tenant != NULL ? call->tenant->name : "";
  size_t n = 0;

  for (; *name != '\0' && n + 2 < sizeof label; name++)
    {
      if (*name == '"' || *name == '\\')
        label[n++] = '\\';
      label[n++] = *name;
    }
  label[n] = '\0';
  return label;
}

unsigned
gw_tenant_priority (const struct gw_call *call)
{
  return call->tenant != NULL && call->tenant->has_priority
             ? call->tenant->priority
             : call->route->priority;
}

int
gw_tenant_urgency (const struct gw_call *call, enum adapter_phase phase)
{
  if (phase == ADAPTER_RELAY
      && (call->tenant == NULL || !call->tenant->has_priority))
    return -1;
  return (int)MIN (gw_tenant_priority (call), (unsigned)URGENCY_MAX);
}
