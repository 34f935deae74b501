/* What a runner says of itself in its answers.  */
#include "gw.h"

enum
{
  LOGGED_VALUE_MAX = 40 /* bytes of an invalid value */
};

/* Logs a field that is ignored.  Its value comes from outside.  */
static void
log_invalid (const struct pool_runner *runner,
             const struct adapter_answer *answer)
{
  char *value = g_strndup (answer->invalid_value.p,
                           MIN (answer->invalid_value.n, LOGGED_VALUE_MAX));
  char *quoted = g_strescape (value, NULL);

  event_log_write ("field_invalid", NULL,
                   "\"runner\":\"%s\",\"field\":\"%s\",\"value\":\"%s\"",
                   runner->entry.id, answer->invalid_field, quoted);
  g_free (quoted);
  g_free (value);
}

/* Handles the first word that RUNNER leaves; BY says from whom.  */
static void
on_leaving (struct gw *gw, struct pool_runner *runner, const char *by)
{
  gw->counts.leaving_told++;
  event_log_write ("leaving_told", NULL, "\"runner\":\"%s\",\"by\":\"%s\"",
                   runner->entry.id, by);
  http_client_close_idle (gw->cli, runner->peer);
}

void
gw_runner_note_relayed (struct gw *gw, const struct adapter_answer *answer)
{
  struct pool_runner *runner;
  char *lifetime;

  if (!answer->leaving || answer->relayed_from.p == NULL)
    return;
  lifetime = g_strndup (answer->relayed_from.p, answer->relayed_from.n);
  runner = pool_note_lifetime_leaving (gw->runner_pool, lifetime, gw_now (gw));
  g_free (lifetime);
  if (runner != NULL)
    on_leaving (gw, runner, "relay");
}

void
gw_runner_note_answer (struct gw *gw, struct pool_runner *runner,
                       const struct adapter_answer *answer)
{
  if (answer->invalid_field != NULL)
    {
      gw->counts.fields_invalid++;
      log_invalid (runner, answer);
    }
  if (answer->leaving && pool_note_leaving (runner))
    on_leaving (gw, runner, "answer");
  if (answer->rest_us > 0)
    {
      gw->counts.rest_asked++;
      /* The time of TMR may be that before a long poll.  */
      pool_note_rest (runner, answer->rest_us,
                      gw->clock != NULL ? gw->clock () : gw_now (gw));
      event_log_write ("rest_asked", NULL,
                       "\"runner\":\"%s\",\"status\":%d,\"rest_ms\":"
                       "%" G_GINT64_FORMAT,
                       runner->entry.id, answer->status,
                       answer->rest_us / 1000);
    }
  if (answer->status >= 200 && answer->status < 300)
    pool_note_served (runner);
}
