#include "gw_call.h"
#include "gw_stop.h"

#include <string.h>
#include <xxhash.h>

/* Runners end a request at its deadline themselves.  The gateway waits this
   much longer, since the runner's answer says more than its own 504.  */
#define DEADLINE_GRACE_US INT64_C (50000)

enum
{
  RETRY_AFTER_MIN_MS = 100, /* an immediate retry would meet the same queue */
  RETRY_AFTER_MAX_MS = 2000,
  RETRY_AFTER_JITTER_MS
  = 150, /* random part, so that clients don't retry together */
  NO_RUNNER_RETRY_AFTER_MS = 500, /* about the time until a runner is back */
  /* A record that is missing doesn't come later, so a client that is to wait
     waits in vain.  */
  UNKNOWN_RETRY_AFTER_MS = RETRY_AFTER_MIN_MS,
  UNREADABLE_RETRY_AFTER_MS = 500,
  /* The platform sends a retry to another gateway.  */
  STOPPING_RETRY_AFTER_MS = RETRY_AFTER_MIN_MS,
  /* Within this time most large bodies that were admitted have ended.  */
  FULL_RETRY_AFTER_MS = 500,
  /* Within this time most trials end.  */
  TRIAL_RETRY_AFTER_MS = 250,
  /* Clients that were refused while all runners rest return over this part of
     the rest that they were told of, in addition.  All come in that time that
     would have come in the rest.  */
  REST_SPREAD_PART = 3
};

int
gw_call_idempotent (const struct gw_call *call)
{
  return call->route->kind == ROUTING_IDEMPOTENT
         || (call->route->kind == ROUTING_STREAM && call->route->resumable);
}

void
gw_call_forget_view (struct gw_call *call)
{
  gw_peers_cancel (call->gw, call->query);
  call->query = 0;
  memset (call->asked, 0, sizeof call->asked);
  while (call->n_sample > 0)
    call->sample[--call->n_sample]->references--;
}

void
gw_call_end (struct gw_call *call)
{
  struct gw *gw = call->gw;

  gw_send_cancel (call);
  gw_resume_cancel (call);
  gw_call_forget_view (call);
  gw_send_free_handle (call);
  gw_send_set_source (call, NULL);
  gw_send_set_runner (call, NULL);
  while (call->n_excluded > 0)
    call->excluded[--call->n_excluded]->references--;
  g_hash_table_remove (call->request_listener->calls, &call->conn);
  tmr_cancel (gw->tmr, call->timer);
  gw_tenant_clear (call);
  routing_unref (call->table);
  if (call->fields != NULL)
    g_string_free (call->fields, TRUE);
  if (call->data != NULL)
    g_string_free (call->data, TRUE);
  membudget_set (&gw->budget, MEMBUDGET_ANSWER, &call->data_charged, 0);
  g_bytes_unref (call->body);
  gw->active--;
  g_free (call);
}

/* Appends to an answer to another gateway that the request has not run.  A
   status alone would not say so: this gateway also passes on those of runners.
 */
static void
add_not_run (const struct gw_listener *request_listener, GString *fields)
{
  const struct gw *gw = request_listener->gw;

  if (request_listener == &gw->request_listeners[GW_LISTENER_GATEWAYS])
    gw->adapter->not_run_write (fields);
}

static void
answer_failure (struct gw_call *call, int status, int64_t after_ms,
                const char *why)
{
  struct gw *gw = call->gw;
  GString *fields = g_string_new (NULL);

  if (after_ms > 0)
    gw->adapter->retry_after_write (fields, after_ms);
  if (reqstate_status (&call->reqstate, 0) == 503)
    add_not_run (call->request_listener, fields);
  event_log_write (
      status == 503 || status == 429 ? "refused" : "failed", call->in.id,
      "\"status\":%d,\"why\":\"%s\",\"route\":\"%s\",\"version\":"
      "%" G_GUINT64_FORMAT ",\"sends\":%u,\"age_ms\":%" G_GINT64_FORMAT
      ",\"return_ms\":%" G_GINT64_FORMAT
      ",\"runner\":\"%s\",\"tenant\":\"%s\"",
      status, why, call->route->name, call->table->version,
      call->reqstate.sends, (gw_now (gw) - call->arrived) / 1000, after_ms,
      call->runner != NULL ? call->runner->entry.id : "",
      gw_tenant_label (call));
  if (status == 503)
    gw->counts.refused++;
  else
    gw->counts.failed++;
  http_server_respond (call->request_listener->srv, call->conn, status,
                       fields->str, "", 0);
  g_string_free (fields, TRUE);
  gw_call_end (call);
}

/* Returns nonzero when the service has a runner in STAGE; POOL_STAGE_ANY means
   in either stage.  With USABLE the runner must also accept new work now.  */
static int
has_stage (const struct gw_call *call, enum pool_stage stage, int usable)
{
  const struct runner_pool *runner_pool = call->gw->runner_pool;
  int64_t now = gw_now (call->gw);
  size_t i;

  for (i = 0; i < pool_count (runner_pool); i++)
    {
      const struct pool_runner *runner = pool_at (runner_pool, i);
      enum pool_stage at = runner->entry.stage;
      if ((stage == POOL_STAGE_ANY ? at != POOL_STAGE_ANY : at == stage)
          && runner->present && (!usable || pool_usable (runner, now))
          && strcmp (runner->entry.service, call->service_name) == 0)
        return 1;
    }
  return 0;
}

/* Returns the milliseconds until the first of the runners that could serve the
   call ends its rest, or 0 when they don't all rest.  */
static int64_t
rest_left_ms (const struct gw_call *call)
{
  const struct runner_pool *runner_pool = call->gw->runner_pool;
  int64_t now = gw_now (call->gw);
  enum pool_stage stage = has_stage (call, POOL_STAGE_DECODE, 0)
                              ? POOL_STAGE_DECODE
                              : POOL_STAGE_ANY;
  int64_t end = pool_rest_end (runner_pool, call->service_name, stage, now);

  return end > 0 ? (end - now + 999) / 1000 : 0;
}

void
gw_call_refuse (struct gw_call *call, int64_t after_ms, const char *why)
{
  int64_t rest_ms = rest_left_ms (call);

  /* Status 503 is only for requests that certainly have not run.  */
  if (reqstate_status (&call->reqstate, 0) != 503)
    {
      gw_call_fail (call, 0, why);
      return;
    }
  after_ms = CLAMP (after_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
  if (rest_ms > 0)
    {
      after_ms = MAX (after_ms, rest_ms);
      why = "runners at rest";
    }
  after_ms += (int64_t)(gw_random (call->gw)
                        % (uint64_t)(RETRY_AFTER_JITTER_MS
                                     + rest_ms / REST_SPREAD_PART));
  answer_failure (call, 503, after_ms, why);
}

void
gw_call_fail (struct gw_call *call, int time_over, const char *why)
{
  int status = reqstate_status (&call->reqstate, time_over);

  gw_send_cancel (call);
  if (status == 0)
    {
      event_log_write (
          "cut", call->in.id,
          "\"why\":\"%s\",\"route\":\"%s\",\"last_event\":%" G_GUINT64_FORMAT
          ",\"runner\":\"%s\"",
          why, call->route->name, call->last_event,
          call->runner != NULL ? call->runner->entry.id : "");
      call->gw->counts.failed++;
      http_server_abort_response (call->request_listener->srv, call->conn);
      gw_call_end (call);
      return;
    }
  if (status == 503)
    gw_call_refuse (call, RETRY_AFTER_MIN_MS, why);
  else
    answer_failure (call, status, 0, why);
}

static void
on_deadline (void *ctx, int64_t now)
{
  (void)now;
  gw_call_fail (ctx, 1, "deadline");
}

/* Refuses a request whose best CHOICE takes longer than LIMIT microseconds. */
static void
refuse_late (struct gw_call *call, const struct lb_choice *choice,
             double limit)
{
  const struct pool_runner *runner = choice->runner;
  int64_t now = gw_now (call->gw);

  event_log_write (
      "predicted", call->in.id,
      "\"runner\":\"%s\",\"load\":%.1f,\"load_age_ms\":%" G_GINT64_FORMAT
      ",\"unread\":%u,\"wait_ms\":%.0f,\"first_ms\":%.0f,\"limit_ms\":%.0f,"
      "\"held\":%d",
      runner->entry.id, pool_load (runner, now),
      pool_load_age (runner, now) / 1000, choice->uncached_tokens,
      choice->queue_us / 1000, choice->first_byte_us / 1000, limit / 1000,
      call->share_held);
  gw_share_note (call, 0);
  gw_call_refuse (call, (int64_t)(choice->first_byte_us - limit) / 1000,
                  "late");
}

static void
on_view (void *ctx)
{
  struct gw_call *call = ctx;

  call->query = 0;
  gw_call_dispatch (call);
}

/* Brings the load of the candidates of VIEW up to date, and selects the sample
   that WHERE is limited to.  Returns nonzero when that takes until a later
   dispatch of the call.  */
static int
update_view (struct gw_call *call, struct lb_filter *where, enum gw_view view)
{
  struct gw *gw = call->gw;
  struct pool_runner *candidate[LB_SESSION_CANDIDATES];
  struct pool_runner **runners = candidate;
  int64_t now = gw_now (gw);
  size_t n;
  size_t i;

  if (!call->asked[view])
    {
      call->asked[view] = 1;
      if (view == GW_VIEW_SESSION)
        n = lb_session_candidates (gw->runner_pool, where, &call->in.prompt,
                                   now, candidate);
      else
        {
          n = lb_sample (gw->lb, gw->runner_pool, where, gw_random (gw), now,
                         call->sample);
          for (i = 0; i < n; i++)
            call->sample[i]->references++;
          call->n_sample = n;
          runners = call->sample;
        }
      call->query = gw_peers_query (gw, runners, n, on_view, call);
    }
  if (view == GW_VIEW_SAMPLE)
    {
      where->sample = (const struct pool_runner *const *)call->sample;
      where->n_sample = call->n_sample;
    }
  return call->query != 0;
}

/* Chooses the engine that reads a long prompt: a prefill engine, when there is
   also a decode engine; if that would be late, a lightly loaded decode engine
   that does both.  Returns nonzero when the choice takes until a later
   dispatch of the call.  */
static int
choose_prefill_engine (struct gw_call *call, struct lb_filter *where,
                       double limit, struct lb_choice *choice,
                       enum adapter_phase *phase)
{
  struct gw *gw = call->gw;
  const struct lb_prompt *prompt = &call->in.prompt;
  int64_t now = gw_now (gw);
  struct lb_choice decode;
  struct lb_choice combined;

  where->stage = POOL_STAGE_PREFILL;
  if (update_view (call, where, GW_VIEW_SESSION))
    return 1;
  *phase = ADAPTER_PREFILL_ONLY;
  *choice = lb_prefill (gw->lb, gw->runner_pool, where, prompt, now);
  where->stage = POOL_STAGE_DECODE;
  decode = lb_decode (gw->lb, gw->runner_pool, where, NULL, now);
  choice->first_byte_us += decode.first_byte_us;
  if (!call->demand_noted)
    gw_stage_note_demand (gw, choice->busy_us);
  call->demand_noted = 1;
  /* Without a decode engine the prefill would be wasted.  */
  if (decode.runner == NULL)
    choice->runner = NULL;
  if (choice->runner == NULL || !lb_exceeds_limit (choice, limit))
    return 0;
  if (update_view (call, where, GW_VIEW_SAMPLE))
    return 1;
  combined = lb_overflow (gw->lb, gw->runner_pool, where, prompt,
                          gw->set.overflow_share, now);
  if (combined.runner == NULL || lb_exceeds_limit (&combined, limit))
    return 0;
  *phase = ADAPTER_WHOLE;
  *choice = combined;
  return 0;
}

/* Returns nonzero when the prompt is read by a prefill engine.  */
static int
has_separate_prefill (struct gw_call *call, const struct lb_filter *where)
{
  if (call->in.prompt.tokens < (uint32_t)call->gw->set.direct_tokens
      || where->stage != POOL_STAGE_DECODE || call->last_event != 0
      || !has_stage (call, POOL_STAGE_PREFILL, 1))
    return 0;
  if (call->prompt_read && !call->reread_granted)
    call->reread_granted = gw_send_take_retry (call);
  return !call->prompt_read || call->reread_granted;
}

static void
dispatch_to_engine (struct gw_call *call, struct lb_filter *where)
{
  struct gw *gw = call->gw;
  const struct lb_prompt *prompt = &call->in.prompt;
  int64_t now = gw_now (gw);
  double limit = (double)MIN (
      call->deadline - now,
      (int64_t)((double)call->route->target_ms * 1000 * gw->set.admit_factor)
          - (now - call->arrived));
  struct lb_choice choice;
  enum adapter_phase phase = ADAPTER_WHOLE;

  limit = gw_share_limit (call, limit);
  /* The KV cache moves faster within a zone.  */
  if (call->kv_handle[0] != '\0' && call->source != NULL)
    where->zone = call->source->entry.zone;
  where->stage = has_stage (call, POOL_STAGE_ANY, 0) ? POOL_STAGE_DECODE
                                                     : POOL_STAGE_ANY;
  if (call->kv_handle[0] == '\0' && has_separate_prefill (call, where))
    {
      if (choose_prefill_engine (call, where, limit, &choice, &phase))
        return;
    }
  else
    {
      int has_kv_cache = call->kv_handle[0] != '\0';
      if (update_view (call, where, GW_VIEW_SAMPLE))
        return;
      choice = lb_decode (gw->lb, gw->runner_pool, where,
                          has_kv_cache ? NULL : prompt, now);
      choice.uncached_tokens = has_kv_cache ? 0 : prompt->tokens;
    }
  if (choice.runner == NULL)
    gw_call_refuse (call, NO_RUNNER_RETRY_AFTER_MS, "no runner");
  else if (call->kv_handle[0] == '\0' && call->reqstate.sends == 0
           && gw_pace_refuses (call, &choice, limit))
    refuse_late (call, &choice, limit);
  else if (gw_send (call, &choice, phase) != 0)
    gw_call_refuse (call, NO_RUNNER_RETRY_AFTER_MS, "no connection");
}

/* Returns the zone of the gateway that a request is relayed to: that of the
   engine that is likely to read its prompt, since a relay sends the prompt
   twice.  */
static const char *
relay_zone (const struct gw_call *call, const struct lb_filter *where)
{
  struct pool_runner *candidate[LB_SESSION_CANDIDATES];
  struct lb_filter prefill = *where;

  prefill.stage = POOL_STAGE_PREFILL;
  if (call->service != NULL && call->service->is_engine
      && call->in.prompt.tokens >= (uint32_t)call->gw->set.direct_tokens
      && lb_session_candidates (call->gw->runner_pool, &prefill,
                                &call->in.prompt, gw_now (call->gw), candidate)
             > 0)
    return candidate[0]->entry.zone;
  return where->zone;
}

/* Ends a call that is in quarantine.  Returns 0 when it isn't.  */
static int
reject_quarantined (struct gw_call *call)
{
  int64_t left_ms = gw_quarantine_left_ms (call);

  if (left_ms == 0)
    return 0;
  if (reqstate_status (&call->reqstate, 0) == 503)
    answer_failure (call, 503, left_ms, "in quarantine");
  else
    gw_call_fail (call, 0, "in quarantine");
  return 1;
}

void
gw_call_dispatch (struct gw_call *call)
{
  struct gw *gw = call->gw;
  struct lb_filter where
      = { .service = call->service_name,
          .zone = gw->set.zone,
          .excluded = (const struct pool_runner *const *)call->excluded,
          .n_excluded = call->n_excluded,
          .gateways = gw->processes,
          .learns = gw->set.learn_speeds > 0,
          .urgency = gw_tenant_priority (call),
          .gap_us = (double)gw_ms_to_us (call->route->gap_ms),
          .output_tokens = call->in.prompt.output_tokens };
  struct lb_choice choice = { .runner = NULL };
  double limit;

  if (gw_tenant_is_revoked (call))
    {
      gw->counts.keys_refused++;
      answer_failure (call, 401, 0, "key taken away");
      return;
    }
  if (reject_quarantined (call))
    return;
  if (gw_quarantine_trial_left_ms (call) > 0)
    {
      gw_call_refuse (call, TRIAL_RETRY_AFTER_MS, "on trial");
      return;
    }
  /* A runner resets connections beyond its limit, which covers all callers:
     each gateway uses an equal part of it.  */
  if (call->service != NULL)
    where.calls_max
        = MAX (call->service->connections_max / MAX (gw->processes, 1u), 1u);
  if (call->request_listener == &gw->request_listeners[GW_LISTENER_CLIENTS]
      && call->reqstate.sends == 0)
    choice.runner = gw_relay_choose (gw, call->size, relay_zone (call, &where),
                                     call->excluded, call->n_excluded);
  if (choice.runner != NULL && gw_send (call, &choice, ADAPTER_RELAY) == 0)
    return;
  if (call->last_event > 0 && call->route->kind == ROUTING_STREAM)
    {
      enum gw_resume_result result = gw_resume_find (call);
      if (result == GW_RESUME_UNKNOWN)
        gw_call_refuse (call, UNKNOWN_RETRY_AFTER_MS, "unknown version");
      else if (result == GW_RESUME_UNREADABLE)
        gw_call_refuse (call, UNREADABLE_RETRY_AFTER_MS, "no records");
      if (result != GW_RESUME_KNOWN)
        return;
      where.build = call->build;
    }
  if (call->service != NULL && call->service->is_engine)
    {
      dispatch_to_engine (call, &where);
      return;
    }
  choice = lb_call (gw->runner_pool, &where, gw_random (gw), gw_now (gw));
  limit = gw_share_limit (call, (double)(call->deadline - gw_now (gw)));
  if (choice.runner == NULL)
    gw_call_refuse (call, NO_RUNNER_RETRY_AFTER_MS, "no runner");
  else if (call->reqstate.sends == 0 && choice.first_byte_us > limit)
    refuse_late (call, &choice, limit);
  else if (gw_send (call, &choice, ADAPTER_WHOLE) != 0)
    gw_call_refuse (call, NO_RUNNER_RETRY_AFTER_MS, "no connection");
}

/* Returns a number that is the same when a client sends the request again,
   under a new id.  */
static uint64_t
fingerprint (const struct http_head *head, const char *body, size_t size)
{
  /* The hash of each part seeds the next one, so that moving bytes from one
     part to the next changes the result.  */
  uint64_t hash = XXH64 (head->method.p, head->method.n, 0);

  hash = XXH64 (head->target.p, head->target.n, hash);
  return XXH64 (body, size, hash);
}

/* Answers a request for which no gw_call is created.  AFTER_MS: when the
   client may return; 0: it need not.  */
static void
answer_without_call (struct gw_listener *request_listener, uint64_t conn,
                     const char *id, int status, int64_t after_ms,
                     const char *why)
{
  struct gw *gw = request_listener->gw;
  GString *fields = g_string_new (NULL);

  if (after_ms > 0)
    gw->adapter->retry_after_write (fields, after_ms);
  add_not_run (request_listener, fields);
  event_log_write (
      "refused", id,
      "\"status\":%d,\"why\":\"%s\",\"version\":%" G_GUINT64_FORMAT, status,
      why, gw->table != NULL ? gw->table->version : 0);
  gw->counts.refused++;
  http_server_respond (request_listener->srv, conn, status, fields->str, "",
                       0);
  g_string_free (fields, TRUE);
}

/* Reads a request and finds its route.  Returns null after refusing it.  */
static const struct routing_route *
admit (struct gw_listener *request_listener, uint64_t conn,
       const struct http_head *head, struct adapter_request *in)
{
  struct gw *gw = request_listener->gw;
  const struct routing_route *route;

  if (gw->adapter->request_read (head, in) != 0 || in->id[0] == '\0')
    {
      answer_without_call (request_listener, conn, NULL, 400, 0, "malformed");
      return NULL;
    }
  if (gw->table == NULL || !gw_quarantine_is_loaded (gw))
    {
      answer_without_call (request_listener, conn, in->id, 503,
                           NO_RUNNER_RETRY_AFTER_MS, "no configuration yet");
      return NULL;
    }
  /* The sender has shown a later version to clients, and serves the request
     itself.  */
  if (request_listener == &gw->request_listeners[GW_LISTENER_GATEWAYS]
      && in->relayed_version > gw->table->version)
    {
      answer_without_call (request_listener, conn, in->id, 409, 0,
                           "older configuration");
      return NULL;
    }
  route = routing_find (gw->table, http_head_get (head, "host"), head->target);
  if (route == NULL)
    {
      answer_without_call (request_listener, conn, in->id, 404, 0, "no route");
      return NULL;
    }
  if (!gw_tenant_is_admitted (request_listener, route, in))
    {
      gw->counts.keys_refused++;
      answer_without_call (request_listener, conn, in->id, 401, 0,
                           in->key.n > 0 ? "unknown key" : "no key");
      return NULL;
    }
  return route;
}

static void
on_request (void *ctx, uint64_t conn, const struct http_head *head,
            const char *body, size_t size)
{
  struct gw_listener *request_listener = ctx;
  struct gw *gw = request_listener->gw;
  struct adapter_request in;
  const struct routing_route *route;
  struct gw_call *call;
  int64_t budget_ms;

  if (gw_hold_take (request_listener, conn, head, body, size))
    return;
  gw->counts.requests++;
  route = admit (request_listener, conn, head, &in);
  if (route == NULL)
    return;
  call = g_new0 (struct gw_call, 1);
  call->gw = gw;
  call->request_listener = request_listener;
  call->conn = conn;
  call->head = head;
  call->body = http_server_body (request_listener->srv, conn);
  call->size = size;
  call->in = in;
  call->fingerprint = fingerprint (head, body, size);
  call->table = routing_ref (gw->table);
  call->route = route;
  call->service_name
      = routing_pick_service (route, XXH64 (in.id, strlen (in.id), 0));
  call->service = routing_service_find (gw->table, call->service_name);
  call->arrived = gw_hold_arrival (gw);
  call->last_event = in.last_event;
  budget_ms = in.budget_ms > 0 ? MIN (in.budget_ms, route->timeout_ms)
                               : route->timeout_ms;
  call->deadline = call->arrived + budget_ms * 1000;
  if (!gw_stop_takes (gw, call->deadline + DEADLINE_GRACE_US,
                      route->kind == ROUTING_NON_IDEMPOTENT))
    {
      routing_unref (call->table);
      g_bytes_unref (call->body);
      g_free (call);
      answer_without_call (
          request_listener, conn, in.id, 503,
          STOPPING_RETRY_AFTER_MS
              + (int64_t)(gw_random (gw) % RETRY_AFTER_JITTER_MS),
          "stopping");
      return;
    }
  gw_tenant_set (call);
  call->timer
      = tmr_add (gw->tmr, call->deadline - gw_now (gw) + DEADLINE_GRACE_US, 0,
                 on_deadline, call);
  gw->active++;
  g_hash_table_insert (request_listener->calls, &call->conn, call);
  if (in.last_event > 0 && route->kind == ROUTING_STREAM)
    gw_resume_log_taken_up (call);
  gw_call_dispatch (call);
}

static void
on_disconnect (void *ctx, uint64_t conn)
{
  struct gw_listener *request_listener = ctx;
  struct gw *gw = request_listener->gw;
  struct gw_call *call = g_hash_table_lookup (request_listener->calls, &conn);

  if (call == NULL)
    {
      gw->counts.disconnected
          += (uint64_t)(gw_hold_drop (request_listener, conn) != 0);
      return;
    }
  gw->counts.disconnected++;
  event_log_write ("left", call->in.id,
                   "\"route\":\"%s\",\"sends\":%u,\"age_ms\":%" G_GINT64_FORMAT
                   ",\"last_event\":%" G_GUINT64_FORMAT,
                   call->route->name, call->reqstate.sends,
                   (gw_now (gw) - call->arrived) / 1000, call->last_event);
  gw_call_end (call);
}

static void
on_unreadable (void *ctx, int status, const char *why, GString *fields,
               GString *body)
{
  struct gw_listener *request_listener = ctx;
  struct gw *gw = request_listener->gw;

  (void)body;
  request_listener->gw->counts.refused++;
  if (status == 503)
    gw->adapter->retry_after_write (
        fields,
        FULL_RETRY_AFTER_MS + (int64_t)(gw_random (gw) % FULL_RETRY_AFTER_MS));
  add_not_run (request_listener, fields);
  event_log_write ("unread", NULL, "\"status\":%d,\"why\":\"%s\"", status,
                   why);
}

const struct http_server_ops gw_call_ops
    = { on_request, on_disconnect, on_unreadable };
