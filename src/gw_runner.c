/* What a runner says of itself in its answers.  */
#include <msgpack.h>
#include <string.h>

#include "gw.h"
#include "mpcheck.h"

enum
{
  LOGGED_VALUE_MAX = 40, /* bytes of an invalid value */
  /* A datagram that a lifetime leaves: an array of this number, which no other
     datagram between gateways begins with, and the lifetime's name.  */
  LEAVING_VERSION = 7,
  LEAVING_FIELDS = 2
};

/* Logs a field that is ignored.  Its value comes from outside, so what isn't
   plain text in a log line is left out.  */
static void
log_invalid (const struct pool_runner *runner,
             const struct adapter_answer *answer)
{
  char value[LOGGED_VALUE_MAX + 1];
  size_t n = MIN (answer->invalid_value.n, LOGGED_VALUE_MAX);
  size_t i;

  for (i = 0; i < n; i++)
    {
      char c = answer->invalid_value.p[i];
      value[i]
          = (char)(g_ascii_isprint (c) && c != '"' && c != '\\' ? c : '?');
    }
  value[n] = '\0';

  event_log_write ("field_invalid", NULL,
                   "\"runner\":\"%s\",\"field\":\"%s\",\"value\":\"%s\"",
                   runner->entry.id, answer->invalid_field, value);
}

/* Tells all other gateways that RUNNER leaves.  One that doesn't hear of it
   learns it from its own first answer.  */
static void
tell_leaving (struct gw *gw, const struct pool_runner *runner)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, LEAVING_FIELDS);
  msgpack_pack_int (&packer, LEAVING_VERSION);
  msgpack_pack_str (&packer, strlen (runner->peer));
  msgpack_pack_str_body (&packer, runner->peer, strlen (runner->peer));
  gw_peers_send (gw, 0, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
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

int
gw_runner_is_datagram (const char *data, size_t size)
{
  return size > 2 && (unsigned char)data[0] == (0x90 | LEAVING_FIELDS)
         && data[1] == LEAVING_VERSION;
}

int
gw_runner_receive (struct gw *gw, const char *data, size_t size,
                   struct err *err)
{
  msgpack_unpacked unpacked;
  const msgpack_object *field;
  struct pool_runner *runner = NULL;
  size_t offset = 0;
  int rc = -1;

  msgpack_unpacked_init (&unpacked);
  if (mpcheck (data, size) == 0
      && msgpack_unpack_next (&unpacked, data, size, &offset)
             == MSGPACK_UNPACK_SUCCESS
      && unpacked.data.type == MSGPACK_OBJECT_ARRAY
      && unpacked.data.via.array.size == LEAVING_FIELDS
      && unpacked.data.via.array.ptr[1].type == MSGPACK_OBJECT_STR)
    {
      char *lifetime;
      field = &unpacked.data.via.array.ptr[1];
      lifetime = g_strndup (field->via.str.ptr, field->via.str.size);
      runner = pool_note_lifetime_leaving (gw->runner_pool, lifetime,
                                           gw_now (gw));
      g_free (lifetime);
      rc = 0;
    }
  msgpack_unpacked_destroy (&unpacked);
  if (rc != 0)
    return err_set (err, ERR_PROTOCOL, "read runner", NULL,
                    "a datagram of %zu bytes names no lifetime", size);
  if (runner != NULL)
    on_leaving (gw, runner, "gateway");
  return 0;
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
    {
      on_leaving (gw, runner, "answer");
      tell_leaving (gw, runner);
    }
  if (answer->rest_us > 0)
    {
      int64_t return_us
          = (int64_t)(gw_random (gw)
                      % (uint64_t)(MAX (gw->processes, 1U) * POOL_RETURN_US));
      gw->counts.rest_asked++;
      /* The time of TMR may be that before a long poll.  */
      pool_note_rest (runner, answer->rest_us + return_us,
                      gw->clock != NULL ? gw->clock () : gw_now (gw));
      event_log_write ("rest_asked", NULL,
                       "\"runner\":\"%s\",\"status\":%d,\"rest_ms\":"
                       "%" G_GINT64_FORMAT,
                       runner->entry.id, answer->status,
                       answer->rest_us / 1000);
    }
  if (answer->status >= 200 && answer->status < 300)
    pool_note_served (runner, gw_now (gw));
}
