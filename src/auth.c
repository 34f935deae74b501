#include "goldcresthatch/auth.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

const struct auth_times auth_times_default = {
  .lease_us = AUTH_LEASE_US,
  .renew_us = AUTH_RENEW_US,
  .retry_us = AUTH_RETRY_US,
  .poll_us = AUTH_POLL_US,
  .margin_us = AUTH_MARGIN_US,
  .wait_us = AUTH_WAIT_US,
};

void
auth_times_set (struct auth *auth, const struct auth_times *times)
{
  auth->times = *times;
  auth->poll_us = times->poll_us;
}

void
auth_init (struct auth *auth, const char *holder, uint64_t incarnation)
{
  memset (auth, 0, sizeof *auth);
  snprintf (auth->holder, sizeof auth->holder, "%s", holder);
  auth->incarnation = incarnation;
  auth_times_set (auth, &auth_times_default);
}

uint64_t
auth_token (const struct auth *auth, int64_t now_us)
{
  if (auth->state != AUTH_HOLDER)
    return 0;
  return auth->certain_us - now_us >= auth->times.margin_us ? auth->token : 0;
}

static void
begin (struct auth *auth, enum auth_action_kind kind, int64_t now_us,
       struct auth_action *act)
{
  act->kind = kind;
  act->op = ++auth->op;
  act->lease = auth->lease;
  auth->pending = 1;
  auth->sent_us = now_us;
}

static void
follow (struct auth *auth, int64_t next_us)
{
  auth->state = AUTH_FOLLOWER;
  auth->token = 0;
  auth->lease = 0;
  auth->next_us = next_us;
}

static void
lose (struct auth *auth, struct auth_action *act)
{
  auth->state = AUTH_LOST;
  auth->token = 0;
  auth->lease = 0;
  auth->pending = 0;
  act->kind = AUTH_DO_STOP;
}

/* Holds the key from now on; the wait begins at the moment at which the key is
   known to exist, which is never before its creation.  */
static void
acquire (struct auth *auth, uint64_t revision, int64_t now_us)
{
  auth->state = AUTH_WAITING;
  auth->token = revision;
  auth->orders_us = now_us + auth->times.wait_us;
  auth->next_us = now_us;
}

static void
on_follower (struct auth *auth, const struct auth_event *ev,
             struct auth_action *act)
{
  if (ev->kind == AUTH_EV_TIME)
    {
      if (!auth->pending && ev->now_us >= auth->next_us)
        begin (auth, AUTH_DO_READ, ev->now_us, act);
      return;
    }
  if (ev->kind != AUTH_EV_READ)
    return;
  if (ev->rc != 0)
    {
      /* The spread keeps the followers of a shard from reading in step.  */
      auth->vacant = 0;
      auth->next_us = ev->now_us + auth->poll_us
                      + (int64_t)(ev->draw.lo % (uint64_t)(auth->poll_us / 3));
      return;
    }
  if (!auth->vacant)
    auth->vacant_us = ev->now_us;
  auth->vacant = 1;
  auth->next_us = auth->vacant_us + auth->wait_us;
  if (ev->now_us < auth->next_us)
    return;
  auth->vacant = 0;
  auth->state = AUTH_ACQUIRING;
  begin (auth, AUTH_DO_GRANT, ev->now_us, act);
}

static void
on_granted (struct auth *auth, const struct auth_event *ev,
            struct auth_action *act)
{
  if (ev->rc < 0)
    {
      follow (auth, ev->now_us + auth->times.retry_us);
      return;
    }
  auth->lease = ev->lease;
  auth->certain_us = auth->sent_us + auth->times.lease_us;
  auth->write_id = ev->draw;
  begin (auth, AUTH_DO_CAS, ev->now_us, act);
  snprintf (act->record.holder, sizeof act->record.holder, "%s", auth->holder);
  act->record.incarnation = auth->incarnation;
  act->record.write_id = auth->write_id;
  act->record.lease = auth->lease;
}

/* Settles a creation whose answer was lost: the key with this write_id means
   that it took effect.  An absent key does not mean that it failed, since the
   request may still be on its way, so the key is read until the lease is no
   longer certain; a creation under an ended lease has no effect.  */
static void
on_acquiring_read (struct auth *auth, const struct auth_event *ev)
{
  if (ev->rc == 1 && ev->record != NULL
      && strcmp (ev->record->holder, auth->holder) == 0
      && msg_id_equal (ev->record->write_id, auth->write_id))
    acquire (auth, ev->revision, ev->now_us);
  else if (ev->rc == 1)
    follow (auth, ev->now_us + auth->times.poll_us);
  else
    auth->next_us = ev->now_us + auth->times.retry_us;
}

static void
on_acquiring (struct auth *auth, const struct auth_event *ev,
              struct auth_action *act)
{
  switch (ev->kind)
    {
    case AUTH_EV_GRANTED:
      on_granted (auth, ev, act);
      return;
    case AUTH_EV_CAS:
      if (ev->rc > 0)
        acquire (auth, ev->revision, ev->now_us);
      else /* Refused too: a transport may have repeated the request.  */
        begin (auth, AUTH_DO_READ, ev->now_us, act);
      return;
    case AUTH_EV_READ:
      on_acquiring_read (auth, ev);
      return;
    case AUTH_EV_TIME:
      if (auth->pending)
        return;
      if (ev->now_us >= auth->certain_us)
        follow (auth, ev->now_us);
      else if (ev->now_us >= auth->next_us)
        begin (auth, AUTH_DO_READ, ev->now_us, act);
      return;
    default:
      return;
    }
}

static void
on_renewed (struct auth *auth, const struct auth_event *ev,
            struct auth_action *act)
{
  if (ev->rc == 0)
    lose (auth, act);
  else if (ev->rc < 0)
    auth->next_us = ev->now_us + auth->times.retry_us;
  else
    {
      auth->certain_us = auth->sent_us + auth->times.lease_us;
      auth->next_us = auth->sent_us + auth->times.renew_us;
      /* A key that was removed would leave two entries that plan for the
         shard, as the lease lives on without it.  */
      begin (auth, AUTH_DO_READ, ev->now_us, act);
    }
}

/* Serves both AUTH_WAITING and AUTH_HOLDER.  */
static void
on_owner (struct auth *auth, const struct auth_event *ev,
          struct auth_action *act)
{
  if (ev->kind == AUTH_EV_RENEWED)
    on_renewed (auth, ev, act);
  if (ev->kind == AUTH_EV_READ && ev->rc >= 0
      && (ev->rc == 0 || ev->revision != auth->token))
    lose (auth, act);
  if (auth->state == AUTH_LOST)
    return;
  if (ev->now_us >= auth->certain_us && !auth->times.keeps)
    {
      lose (auth, act);
      return;
    }
  if (ev->now_us >= auth->certain_us)
    {
      /* The lease may have ended, or the service is away and keeps it.  A
         renewal tells: a lease that can be renewed has never ended, so no one
         else held the key meanwhile.  */
      if (auth->state == AUTH_HOLDER)
        act->kind = AUTH_DO_STOP;
      auth->state = AUTH_WAITING;
      if (act->kind == AUTH_DO_STOP)
        return;
    }
  else if (auth->state == AUTH_WAITING && ev->now_us >= auth->orders_us)
    auth->state = AUTH_HOLDER;
  if (!auth->pending && ev->now_us >= auth->next_us)
    begin (auth, AUTH_DO_RENEW, ev->now_us, act);
}

static void
on_lost (struct auth *auth, const struct auth_event *ev,
         struct auth_action *act)
{
  (void)act;
  if (ev->kind == AUTH_EV_TIME)
    follow (auth, ev->now_us + auth->times.poll_us);
}

void
auth_handle (struct auth *auth, const struct auth_event *event,
             struct auth_action *action)
{
  static void (*const handlers[AUTH_STATE_MAX]) (
      struct auth *, const struct auth_event *, struct auth_action *)
      = {
          [AUTH_FOLLOWER] = on_follower, [AUTH_ACQUIRING] = on_acquiring,
          [AUTH_WAITING] = on_owner,     [AUTH_HOLDER] = on_owner,
          [AUTH_LOST] = on_lost,
        };

  memset (action, 0, sizeof *action);
  if (event->kind != AUTH_EV_TIME)
    {
      if (!auth->pending || event->op != auth->op)
        return;
      auth->pending = 0;
    }
  handlers[auth->state](auth, event, action);
}

int
auth_record_encode (const struct auth_record *record, char *buf, size_t size,
                    struct err *err)
{
  struct json_object *obj = json_object_new_object ();
  char id[2 * sizeof (struct msg_id) + 1];
  const char *text;
  int n;

  snprintf (id, sizeof id, "%016" PRIx64 "%016" PRIx64, record->write_id.hi,
            record->write_id.lo);
  json_object_object_add (obj, "holder",
                          json_object_new_string (record->holder));
  json_object_object_add (obj, "incarnation",
                          json_object_new_uint64 (record->incarnation));
  json_object_object_add (obj, "write_id", json_object_new_string (id));
  json_object_object_add (obj, "lease",
                          json_object_new_uint64 (record->lease));
  text = json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN);
  n = snprintf (buf, size, "%s", text);
  json_object_put (obj);
  if ((size_t)n >= size)
    return err_set (err, ERR_LIMIT, "authority-encode", NULL,
                    "record of %d bytes exceeds the buffer of %zu", n, size);
  return n;
}

static int
member (struct json_object *obj, const char *name, enum json_type type,
        struct json_object **out)
{
  return json_object_object_get_ex (obj, name, out)
         && json_object_is_type (*out, type);
}

static int
decode_id (const char *text, struct msg_id *id)
{
  if (strlen (text) != 2 * sizeof *id
      || strspn (text, "0123456789abcdef") != 2 * sizeof *id)
    return -1;
  /* The text is 32 hexadecimal digits here, so no conversion can overflow.  */
  return sscanf (text, "%16" SCNx64 "%16" SCNx64, &id->hi, &id->lo) == 2 ? 0
                                                                         : -1;
}

int
auth_record_decode (const char *data, size_t size, struct auth_record *record,
                    struct err *err)
{
  struct json_tokener *tok = json_tokener_new ();
  struct json_object *obj = NULL;
  struct json_object *holder;
  struct json_object *incarnation;
  struct json_object *id;
  struct json_object *lease;
  int rc = -1;

  memset (record, 0, sizeof *record);
  if (size <= AUTH_RECORD_MAX)
    obj = json_tokener_parse_ex (tok, data, (int)size);
  if (obj != NULL && json_object_is_type (obj, json_type_object)
      && member (obj, "holder", json_type_string, &holder)
      && member (obj, "incarnation", json_type_int, &incarnation)
      && member (obj, "write_id", json_type_string, &id)
      && member (obj, "lease", json_type_int, &lease)
      && json_object_get_string_len (holder) <= MSG_NAME_MAX
      && decode_id (json_object_get_string (id), &record->write_id) == 0)
    {
      snprintf (record->holder, sizeof record->holder, "%s",
                json_object_get_string (holder));
      record->incarnation = json_object_get_uint64 (incarnation);
      record->lease = json_object_get_uint64 (lease);
      rc = 0;
    }
  else
    err_set (err, ERR_PROTOCOL, "authority-decode", NULL,
             "not an authority record");
  json_object_put (obj);
  json_tokener_free (tok);
  return rc;
}
