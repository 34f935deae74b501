#include "goldcresthatch/authority.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

const struct authority_times authority_times_default = {
  .lease_us = AUTHORITY_LEASE_US,
  .renew_us = AUTHORITY_RENEW_INTERVAL_US,
  .retry_us = AUTHORITY_RETRY_INTERVAL_US,
  .poll_us = AUTHORITY_POLL_INTERVAL_US,
  .margin_us = AUTHORITY_LEASE_MARGIN_US,
  .wait_us = AUTHORITY_FIRST_ORDER_DELAY_US,
};

void
authority_times_set (struct authority *authority,
                     const struct authority_times *times)
{
  authority->times = *times;
  authority->poll_us = times->poll_us;
}

void
authority_init (struct authority *authority, const char *holder,
                uint64_t incarnation)
{
  memset (authority, 0, sizeof *authority);
  snprintf (authority->holder, sizeof authority->holder, "%s", holder);
  authority->incarnation = incarnation;
  authority_times_set (authority, &authority_times_default);
}

uint64_t
authority_token (const struct authority *authority, int64_t now_us)
{
  if (authority->state != AUTHORITY_HOLDER)
    return 0;
  return authority->lease_end_us - now_us >= authority->times.margin_us
             ? authority->token
             : 0;
}

static void
start_operation (struct authority *authority, enum authority_action_kind kind,
                 int64_t now_us, struct authority_action *act)
{
  act->kind = kind;
  act->op = ++authority->op;
  act->lease = authority->lease;
  authority->pending = 1;
  authority->sent_us = now_us;
}

static void
become_follower (struct authority *authority, int64_t next_us)
{
  authority->state = AUTHORITY_FOLLOWER;
  authority->token = 0;
  authority->lease = 0;
  authority->next_us = next_us;
}

static void
lose_key (struct authority *authority, struct authority_action *act)
{
  authority->state = AUTHORITY_LOST;
  authority->token = 0;
  authority->lease = 0;
  authority->pending = 0;
  act->kind = AUTHORITY_DO_STOP;
}

/* Becomes the holder.  The wait before the first order begins when the key is
   known to exist, which is never before its creation.  */
static void
become_holder (struct authority *authority, uint64_t revision, int64_t now_us)
{
  authority->state = AUTHORITY_WAITING;
  authority->token = revision;
  authority->first_order_us = now_us + authority->times.wait_us;
  authority->next_us = now_us;
}

static void
on_follower (struct authority *authority, const struct authority_event *ev,
             struct authority_action *act)
{
  if (ev->kind == AUTHORITY_EV_TIME)
    {
      if (!authority->pending && ev->now_us >= authority->next_us)
        start_operation (authority, AUTHORITY_DO_READ, ev->now_us, act);
      return;
    }
  if (ev->kind != AUTHORITY_EV_READ)
    return;
  if (ev->rc != 0)
    {
      /* The jitter keeps the followers of a shard from reading at the same
         time.  */
      authority->key_absent = 0;
      authority->next_us
          = ev->now_us + authority->poll_us
            + (int64_t)(ev->draw.lo % (uint64_t)(authority->poll_us / 3));
      return;
    }
  if (!authority->key_absent)
    authority->absent_since_us = ev->now_us;
  authority->key_absent = 1;
  authority->next_us = authority->absent_since_us + authority->wait_us;
  if (ev->now_us < authority->next_us)
    return;
  authority->key_absent = 0;
  authority->state = AUTHORITY_ACQUIRING;
  start_operation (authority, AUTHORITY_DO_GRANT, ev->now_us, act);
}

static void
on_granted (struct authority *authority, const struct authority_event *ev,
            struct authority_action *act)
{
  if (ev->rc < 0)
    {
      become_follower (authority, ev->now_us + authority->times.retry_us);
      return;
    }
  authority->lease = ev->lease;
  authority->lease_end_us = authority->sent_us + authority->times.lease_us;
  authority->write_id = ev->draw;
  start_operation (authority, AUTHORITY_DO_CAS, ev->now_us, act);
  snprintf (act->record.holder, sizeof act->record.holder, "%s",
            authority->holder);
  act->record.incarnation = authority->incarnation;
  act->record.write_id = authority->write_id;
  act->record.lease = authority->lease;
}

/* Determines the outcome of a creation whose answer was lost.  A key with this
   holder and write_id means that it had an effect.  An absent key does not
   mean that it failed, since the request may still be on its way, so the key
   is read until the lease may have expired; a creation under an expired lease
   has no effect.  */
static void
on_acquiring_read (struct authority *authority,
                   const struct authority_event *ev)
{
  if (ev->rc == 1 && ev->record != NULL
      && strcmp (ev->record->holder, authority->holder) == 0
      && msg_id_equal (ev->record->write_id, authority->write_id))
    become_holder (authority, ev->revision, ev->now_us);
  else if (ev->rc == 1)
    become_follower (authority, ev->now_us + authority->times.poll_us);
  else
    authority->next_us = ev->now_us + authority->times.retry_us;
}

static void
on_acquiring (struct authority *authority, const struct authority_event *ev,
              struct authority_action *act)
{
  switch (ev->kind)
    {
    case AUTHORITY_EV_GRANTED:
      on_granted (authority, ev, act);
      return;
    case AUTHORITY_EV_CAS:
      if (ev->rc > 0)
        become_holder (authority, ev->revision, ev->now_us);
      else /* Also when refused: a transport may have repeated it.  */
        start_operation (authority, AUTHORITY_DO_READ, ev->now_us, act);
      return;
    case AUTHORITY_EV_READ:
      on_acquiring_read (authority, ev);
      return;
    case AUTHORITY_EV_TIME:
      if (authority->pending)
        return;
      if (ev->now_us >= authority->lease_end_us)
        become_follower (authority, ev->now_us);
      else if (ev->now_us >= authority->next_us)
        start_operation (authority, AUTHORITY_DO_READ, ev->now_us, act);
      return;
    default:
      return;
    }
}

static void
on_renewed (struct authority *authority, const struct authority_event *ev,
            struct authority_action *act)
{
  if (ev->rc == 0)
    lose_key (authority, act);
  else if (ev->rc < 0)
    authority->next_us = ev->now_us + authority->times.retry_us;
  else
    {
      authority->lease_end_us = authority->sent_us + authority->times.lease_us;
      authority->next_us = authority->sent_us + authority->times.renew_us;
      /* The lease outlives a key that was removed.  Without this read, this
         entry and the next holder would both give orders.  */
      start_operation (authority, AUTHORITY_DO_READ, ev->now_us, act);
    }
}

/* Handles events in AUTHORITY_WAITING and AUTHORITY_HOLDER.  */
static void
on_holder (struct authority *authority, const struct authority_event *ev,
           struct authority_action *act)
{
  if (ev->kind == AUTHORITY_EV_RENEWED)
    on_renewed (authority, ev, act);
  if (ev->kind == AUTHORITY_EV_READ && ev->rc >= 0
      && (ev->rc == 0 || ev->revision != authority->token))
    lose_key (authority, act);
  if (authority->state == AUTHORITY_LOST)
    return;
  if (ev->now_us >= authority->lease_end_us
      && !authority->times.renew_after_expiry)
    {
      lose_key (authority, act);
      return;
    }
  if (ev->now_us >= authority->lease_end_us)
    {
      /* The lease may have expired, or the key-value service is unreachable
         and keeps it.  A renewal decides: a lease that can be renewed has
         never expired, so no other entry was the holder meanwhile.  */
      if (authority->state == AUTHORITY_HOLDER)
        act->kind = AUTHORITY_DO_STOP;
      authority->state = AUTHORITY_WAITING;
      if (act->kind == AUTHORITY_DO_STOP)
        return;
    }
  else if (authority->state == AUTHORITY_WAITING
           && ev->now_us >= authority->first_order_us)
    authority->state = AUTHORITY_HOLDER;
  if (!authority->pending && ev->now_us >= authority->next_us)
    start_operation (authority, AUTHORITY_DO_RENEW, ev->now_us, act);
}

static void
on_lost (struct authority *authority, const struct authority_event *ev,
         struct authority_action *act)
{
  (void)act;
  if (ev->kind == AUTHORITY_EV_TIME)
    become_follower (authority, ev->now_us + authority->times.poll_us);
}

void
authority_handle (struct authority *authority,
                  const struct authority_event *event,
                  struct authority_action *action)
{
  static void (*const handlers[AUTHORITY_STATE_MAX]) (
      struct authority *, const struct authority_event *,
      struct authority_action *)
      = {
          [AUTHORITY_FOLLOWER] = on_follower,
          [AUTHORITY_ACQUIRING] = on_acquiring,
          [AUTHORITY_WAITING] = on_holder,
          [AUTHORITY_HOLDER] = on_holder,
          [AUTHORITY_LOST] = on_lost,
        };

  memset (action, 0, sizeof *action);
  if (event->kind != AUTHORITY_EV_TIME)
    {
      if (!authority->pending || event->op != authority->op)
        return;
      authority->pending = 0;
    }
  handlers[authority->state](authority, event, action);
}

int
authority_record_encode (const struct authority_record *record, char *buf,
                         size_t size, struct err *err)
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
                    "authority record of %d bytes exceeds the buffer of %zu",
                    n, size);
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
  /* TEXT has 32 hexadecimal digits, so no conversion can overflow.  */
  return sscanf (text, "%16" SCNx64 "%16" SCNx64, &id->hi, &id->lo) == 2 ? 0
                                                                         : -1;
}

int
authority_record_decode (const char *data, size_t size,
                         struct authority_record *record, struct err *err)
{
  struct json_tokener *tok = json_tokener_new ();
  struct json_object *obj = NULL;
  struct json_object *holder;
  struct json_object *incarnation;
  struct json_object *id;
  struct json_object *lease;
  int rc = -1;

  memset (record, 0, sizeof *record);
  if (size <= AUTHORITY_RECORD_MAX_BYTES)
    obj = json_tokener_parse_ex (tok, data, (int)size);
  if (obj != NULL && json_object_is_type (obj, json_type_object)
      && member (obj, "holder", json_type_string, &holder)
      && member (obj, "incarnation", json_type_int, &incarnation)
      && member (obj, "write_id", json_type_string, &id)
      && member (obj, "lease", json_type_int, &lease)
      && json_object_get_string_len (holder) <= MSG_NAME_MAX_BYTES
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
             "%zu bytes are not a valid authority record of at most %d bytes",
             size, AUTHORITY_RECORD_MAX_BYTES);
  json_object_put (obj);
  json_tokener_free (tok);
  return rc;
}
