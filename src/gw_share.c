/* Shares of tenants at the gateway: which requests count, in what unit, and
   the sums over all gateways.  */
#include <string.h>
#include <xxhash.h>

#include "fleetsum.h"
#include "gw_call.h"
#include "tenantshare.h"

enum
{
  REPORT_MS = 500,
  /* Generating a token takes an engine about as long as reading these.  */
  TOKENS_PER_OUTPUT = 10,
  CALL_WORK = 1000 /* of a request without a prompt */
};

struct gw_share
{
  struct tenantshare *shares;
  uint64_t keys[FLEETSUM_KEYS_MAX]; /* to be asked for together */
  size_t n_keys;
};

/* Returns the number of the requests among which CALL has a share: those of
   one service and priority.  */
static uint64_t
class_of (const struct gw_call *call)
{
  return XXH64 (call->service_name, strlen (call->service_name),
                gw_tenant_priority (call));
}

static double
work_of (const struct gw_call *call)
{
  const struct lb_prompt *prompt = &call->in.prompt;

  if (!call->in.has_prompt)
    return CALL_WORK;
  return (double)prompt->tokens
         + (double)prompt->output_tokens * TOKENS_PER_OUTPUT;
}

double
gw_share_limit (struct gw_call *call, double limit)
{
  struct gw *gw = call->gw;
  uint64_t class_id;
  double part;

  call->share_held = 0;
  if (gw->share == NULL || call->tenant == NULL)
    return limit;
  class_id = class_of (call);
  part = tenantshare_limit (gw->share->shares, class_id,
                            tenantshare_key (class_id, call->tenant->name),
                            gw_now (gw));
  call->share_held = part < 1;
  return limit * part;
}

void
gw_share_note (struct gw_call *call, int is_admitted)
{
  struct gw *gw = call->gw;
  uint64_t class_id;

  if (gw->share == NULL || call->tenant == NULL || call->share_noted)
    return;
  call->share_noted = 1;
  gw->counts.shares_held += !is_admitted && call->share_held;
  class_id = class_of (call);
  tenantshare_note (gw->share->shares, class_id,
                    tenantshare_key (class_id, call->tenant->name),
                    call->tenant->weight, work_of (call), is_admitted,
                    gw_now (gw));
}

static uint32_t
as_count (double work)
{
  return work < UINT32_MAX ? (uint32_t)work : UINT32_MAX;
}

static void
ask (struct gw *gw)
{
  gw_peers_ask (gw, gw->share->keys, gw->share->n_keys);
  gw->share->n_keys = 0;
}

static void
on_report (void *ctx, uint64_t key, double offered, double admitted)
{
  struct gw *gw = ctx;
  struct gw_share *share = gw->share;
  struct fleetsum_value value = { as_count (offered), as_count (admitted), 0 };

  gw_peers_contribute (gw, key, &value);
  if (offered <= 0)
    return;
  share->keys[share->n_keys++] = key;
  if (share->n_keys == FLEETSUM_KEYS_MAX)
    ask (gw);
}

static void
on_tick (void *ctx, int64_t now)
{
  struct gw *gw = ctx;

  tenantshare_report (gw->share->shares, now, on_report, gw);
  if (gw->share->n_keys > 0)
    ask (gw);
}

void
gw_share_note_sum (struct gw *gw, uint64_t key,
                   const struct fleetsum_value *sum, int64_t now)
{
  if (gw->share != NULL)
    tenantshare_note_others (gw->share->shares, key, sum->count, sum->amount,
                             now);
}

struct gw_share *
gw_share_new (struct gw *gw)
{
  gw->share = g_new0 (struct gw_share, 1);
  gw->share->shares = tenantshare_new ();
  tmr_add (gw->tmr, gw_ms_to_us (REPORT_MS), gw_ms_to_us (REPORT_MS), on_tick,
           gw);
  return gw->share;
}
