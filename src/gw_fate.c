/* What became of runners that broke off requests, or are silent with requests
   in progress.

   A runner has ended when it refuses a new connection, when the registry shows
   a later lifetime under its id or at its address, or when its entry is gone
   without notice and its address is silent.  Silence alone may be a fault of
   this gateway's own link, and a connection that is accepted may be accepted
   by the next lifetime.  Only an answer shows that the runner is still there,
   as each request names the lifetime that it expects.  */
#include <inttypes.h>
#include <string.h>

#include "gw_call.h"
#include "quarantine.h"

enum
{
  OPEN_MAX = 4096,
  TICK_MS = 100,
  /* A request that waited for less isn't held to have ended a silent runner.
   */
  SILENT_MS = 300
};

/* A request that was in progress at a runner whose fate is open.  */
struct open_case
{
  struct pool_runner *runner;
  uint64_t key;
  int64_t at_us;
  int answered;  /* KEY was answered if the runner is still there */
  int is_probed; /* since the runner's entry is gone */
};

/* What became of a runner.  */
enum fate
{
  FATE_UNKNOWN,
  FATE_ENDED,
  FATE_REACHED
};

struct gw_fate
{
  GArray *cases;         /* struct open_case */
  uint64_t pool_changes; /* at the last look at the pool */
};

static void
open_one (struct gw_call *call, uint64_t key, int answered)
{
  GArray *all = call->gw->fate->cases;
  struct open_case opened
      = { call->runner, key, gw_now (call->gw), answered, 0 };

  if (all->len >= OPEN_MAX)
    return;
  call->runner->references++;
  g_array_append_val (all, opened);
  /* The pool may have changed before.  */
  call->gw->fate->pool_changes = 0;
}

static void
open_all (struct gw_call *call, int answered)
{
  size_t i;

  open_one (call, call->fingerprint,
            answered
                && gw_quarantine_is_answer_of_use (call, call->fingerprint));
  for (i = 0; i < call->in.n_parts; i++)
    open_one (call, call->in.parts[i], answered);
}

void
gw_fate_note_broken (struct gw_call *call)
{
  struct quarantine_evidence possible[ADAPTER_PARTS_MAX + 1];
  size_t n = 0;
  size_t i;

  call->on_trial = 0;
  open_all (call, 0);
  possible[n++] = (struct quarantine_evidence){ call->fingerprint,
                                                call->runner->hash, 0 };
  for (i = 0; i < call->in.n_parts; i++)
    possible[n++] = (struct quarantine_evidence){ call->in.parts[i],
                                                  call->runner->hash, 0 };
  gw_quarantine_suspect (call->gw, possible, n);
  gw_probe_runner (call->gw, call->runner);
}

void
gw_fate_note_closed (struct gw_call *call)
{
  const struct adapter_answer *answer = &call->answer;

  open_all (call, call->phase == ADAPTER_WHOLE && answer->stamped
                      && !answer->not_run && answer->status < 500);
}

void
gw_fate_note_cancelled (struct gw_call *call)
{
  if (call->answer.status == 0
      && gw_now (call->gw) - call->sent >= gw_ms_to_us (SILENT_MS)
      && call->runner->answered_us < call->sent)
    open_all (call, 0);
}

/* Logs what became of a runner, and whether that is evidence for or against a
   request that was in progress there.  */
static void
log_fate (const struct gw *gw, const struct open_case *at, enum fate fate,
          int is_evidence)
{
  static const char *const names[] = { [FATE_UNKNOWN] = "unknown",
                                       [FATE_ENDED] = "ended",
                                       [FATE_REACHED] = "reached" };
  const char *evidence = fate == FATE_ENDED ? "against" : "for";

  /* Where all answers end with their connection, these are many.  */
  if (at->answered && fate == FATE_REACHED)
    return;
  event_log_write ("runner_fate", NULL,
                   "\"runner\":\"%s\",\"fate\":\"%s\",\"key\":\"%" PRIx64
                   "\",\"evidence\":\"%s\",\"crashes\":%zu,\"ms\":%" PRId64,
                   at->runner->entry.id, names[fate], at->key,
                   is_evidence ? evidence : "none",
                   quarantine_crashes (gw_quarantine_table (gw), at->key),
                   (tmr_now (gw->tmr) - at->at_us) / 1000);
}

/* Decides on the cases of RUNNER, of which FATE was seen at SINCE.  A case
   that was opened later stays open, unless the runner has ended.  Returns
   nonzero when one stays.  */
static int
settle (struct gw *gw, const struct pool_runner *runner, int64_t since,
        enum fate fate)
{
  GArray *cases = gw->fate->cases;
  GArray *found
      = g_array_new (FALSE, FALSE, sizeof (struct quarantine_evidence));
  int stays = 0;
  guint i = 0;

  while (i < cases->len)
    {
      const struct open_case *at = &g_array_index (cases, struct open_case, i);
      struct quarantine_evidence evidence
          = { at->key, fate == FATE_ENDED ? at->runner->hash : 0,
              gw_now (gw) - at->at_us };
      int is_evidence
          = fate == FATE_ENDED || (fate == FATE_REACHED && at->answered);
      if (at->runner != runner || (fate != FATE_ENDED && at->at_us > since))
        {
          stays |= at->runner == runner;
          i++;
          continue;
        }
      log_fate (gw, at, fate, is_evidence);
      at->runner->references--;
      g_array_remove_index_fast (cases, i);
      if (is_evidence)
        g_array_append_val (found, evidence);
    }
  gw_quarantine_add (
      gw, (const struct quarantine_evidence *)(void *)found->data, found->len);
  g_array_free (found, TRUE);
  return stays;
}

/* Returns nonzero when the entry of RUNNER is gone though it had not announced
   that it leaves.  */
static int
is_gone (const struct pool_runner *runner)
{
  return !runner->present && !runner->announced;
}

void
gw_fate_note_probe (struct gw *gw, struct pool_runner *runner, int64_t started,
                    enum gw_probe_result result)
{
  const GArray *cases = gw->fate->cases;
  int is_later = 0;
  guint i;

  if (result == GW_PROBE_REFUSED
      || (result == GW_PROBE_SILENT && is_gone (runner)))
    {
      settle (gw, runner, INT64_MAX, FATE_ENDED);
      return;
    }
  for (i = 0; i < cases->len; i++)
    {
      const struct open_case *at = &g_array_index (cases, struct open_case, i);
      is_later |= at->runner == runner && at->at_us > started;
    }
  if (is_later)
    gw_probe_runner (gw, runner);
}

void
gw_fate_note_reached (struct gw *gw, struct pool_runner *runner,
                      int64_t started, int reached)
{
  const GArray *cases = gw->fate->cases;
  guint i;

  for (i = 0; i < cases->len; i++)
    if (g_array_index (cases, struct open_case, i).runner == runner)
      break;
  if (i == cases->len)
    return;
  if (reached)
    settle (gw, runner, started, FATE_REACHED);
  else
    gw_probe_runner (gw, runner);
}

/* Returns nonzero when the registry shows a lifetime after that of RUNNER.  */
static int
is_succeeded (const struct gw *gw, const struct pool_runner *runner)
{
  size_t i;

  for (i = 0; i < pool_count (gw->runner_pool); i++)
    {
      const struct pool_runner *other = pool_at (gw->runner_pool, i);
      int is_later = other->entry.started_ms > runner->entry.started_ms
                     || (other->present && !runner->present);
      if (other != runner && is_later
          && (strcmp (other->entry.address, runner->entry.address) == 0
              || strcmp (other->entry.id, runner->entry.id) == 0))
        return 1;
    }
  return 0;
}

/* Opens the cases of requests that wait for a runner which has left the
   registry without notice or has been succeeded.  */
static void
open_waiting (struct gw *gw)
{
  GHashTableIter iter;
  gpointer value;
  int i;

  for (i = 0; i < GW_LISTENER_MAX; i++)
    {
      if (gw->request_listeners[i].calls == NULL)
        continue;
      g_hash_table_iter_init (&iter, gw->request_listeners[i].calls);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          struct gw_call *call = value;
          if (call->call == 0 || call->phase == ADAPTER_RELAY
              || call->answer_noted || call->fate_open
              || (!is_gone (call->runner) && !is_succeeded (gw, call->runner)))
            continue;
          call->fate_open = 1;
          open_all (call, 0);
        }
    }
}

/* Looks for the runners of open cases in a pool that has changed.  */
static void
look_up (struct gw *gw)
{
  GArray *cases = gw->fate->cases;
  guint i = 0;

  while (i < cases->len)
    {
      struct open_case *at = &g_array_index (cases, struct open_case, i);
      struct pool_runner *runner = at->runner;
      if (is_succeeded (gw, runner))
        {
          settle (gw, runner, INT64_MAX, FATE_ENDED);
          i = 0;
          continue;
        }
      if (is_gone (runner) && !at->is_probed)
        {
          at->is_probed = 1;
          gw_probe_runner (gw, runner);
        }
      i++;
    }
}

/* Gives up cases that nothing has decided.  What an outage of the registry
   hides shows after it.  */
static void
give_up (struct gw *gw, int64_t now)
{
  GArray *cases = gw->fate->cases;
  guint i = 0;

  while (i < cases->len)
    {
      const struct open_case *at = &g_array_index (cases, struct open_case, i);
      if (now - at->at_us <= QUARANTINE_OPEN_US
          || (!at->answered && !pool_is_registry_sound (gw->runner_pool, now)))
        {
          i++;
          continue;
        }
      log_fate (gw, at, FATE_UNKNOWN, 0);
      at->runner->references--;
      g_array_remove_index_fast (cases, i);
    }
}

static void
on_tick (void *ctx, int64_t now)
{
  struct gw *gw = ctx;
  uint64_t changes = pool_changes (gw->runner_pool);

  if (changes != gw->fate->pool_changes)
    {
      open_waiting (gw);
      look_up (gw);
      gw->fate->pool_changes = changes;
    }
  give_up (gw, now);
}

struct gw_fate *
gw_fate_new (struct gw *gw)
{
  struct gw_fate *fate = g_new0 (struct gw_fate, 1);

  gw->fate = fate;
  fate->cases = g_array_new (FALSE, FALSE, sizeof (struct open_case));
  tmr_add (gw->tmr, gw_ms_to_us (TICK_MS), gw_ms_to_us (TICK_MS), on_tick, gw);
  return fate;
}
