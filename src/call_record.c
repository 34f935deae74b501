#include "goldcresthatch/call.h"

#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HEX_64 = 16,       /* hexadecimal digits of a 64-bit number */
  CLAIM_MEMBERS = 8, /* JSON members of a record without a result */
  DONE_MEMBERS = 9,  /* of a record with a result */
  RESULT_MEMBERS = 5 /* of a result */
};

static const char *const state_names[CALL_RECORD_STATE_MAX] = {
  [CALL_CLAIMED] = "claimed",
  [CALL_DONE] = "done",
  [CALL_UNKNOWN] = "unknown",
  [CALL_FREE] = "free",
};

/* Not every JSON reader handles numbers above 2^63 exactly, so 64-bit values
   are hexadecimal strings.  */
static struct json_object *
hex_new (uint64_t value)
{
  char text[HEX_64 + 1];

  snprintf (text, sizeof text, "%016llx", (unsigned long long)value);
  return json_object_new_string (text);
}

static struct json_object *
id_new (struct msg_id id)
{
  char text[2 * HEX_64 + 1];

  snprintf (text, sizeof text, "%016llx%016llx", (unsigned long long)id.hi,
            (unsigned long long)id.lo);
  return json_object_new_string (text);
}

/* The body may have any bytes, which a JSON string may not, so it is in
   base64.  */
static struct json_object *
body_new (const struct call_result *result)
{
  struct json_object *body;
  char *text;

  if (result->body == NULL)
    return NULL;
  text = g_base64_encode ((const guchar *)result->body, result->size);
  body = json_object_new_string (text);
  g_free (text);
  return body;
}

static struct json_object *
result_new (const struct call_result *result)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "status",
                          json_object_new_int64 (result->status));
  json_object_object_add (object, "content_type",
                          json_object_new_string (result->content_type));
  json_object_object_add (object, "size",
                          json_object_new_int64 ((int64_t)result->size));
  json_object_object_add (object, "digest", hex_new (result->digest));
  json_object_object_add (object, "body", body_new (result));
  return object;
}

int
call_record_encode (const struct call_record *record, char **text,
                    struct err *err)
{
  struct json_object *object;

  if (record->state >= CALL_RECORD_STATE_MAX)
    return err_set (err, ERR_INVALID, "claim-encode", NULL,
                    "claim record has the invalid state %d",
                    (int)record->state);
  if (record->result.body != NULL && record->result.size > CALL_BODY_MAX_BYTES)
    return err_set (
        err, ERR_LIMIT, "claim-encode", NULL,
        "result body of %zu bytes in a claim record exceeds the limit "
        "of %d",
        record->result.size, CALL_BODY_MAX_BYTES);
  object = json_object_new_object ();
  json_object_object_add (object, "fingerprint",
                          hex_new (record->fingerprint));
  json_object_object_add (object, "state",
                          json_object_new_string (state_names[record->state]));
  json_object_object_add (object, "attempt", id_new (record->attempt));
  json_object_object_add (object, "agent",
                          json_object_new_string (record->agent));
  json_object_object_add (object, "incarnation",
                          hex_new (record->incarnation));
  json_object_object_add (object, "window", hex_new (record->window));
  json_object_object_add (object, "entry",
                          json_object_new_string (record->entry));
  json_object_object_add (object, "version", json_object_new_int64 (1));
  if (record->state == CALL_DONE)
    json_object_object_add (object, "result", result_new (&record->result));
  *text = strdup (
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return 0;
}

/* Returns the member NAME of OBJECT and its length, or null when it is not a
   string.  */
static const char *
string_get (struct json_object *object, const char *name, size_t *size)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, name, &value)
      || !json_object_is_type (value, json_type_string))
    return NULL;
  *size = (size_t)json_object_get_string_len (value);
  return json_object_get_string (value);
}

static int
hex_parse (const char *text, uint64_t *value)
{
  *value = 0;
  for (int i = 0; i < HEX_64; i++)
    {
      if (!g_ascii_isxdigit (text[i]))
        return -1;
      *value = *value << 4 | (uint64_t)g_ascii_xdigit_value (text[i]);
    }
  return 0;
}

static int
hex_get (struct json_object *object, const char *name, uint64_t *value)
{
  size_t size;
  const char *text = string_get (object, name, &size);

  if (text == NULL || size != HEX_64)
    return -1;
  return hex_parse (text, value);
}

static int
id_get (struct json_object *object, const char *name, struct msg_id *id)
{
  size_t size;
  const char *text = string_get (object, name, &size);

  if (text == NULL || size != 2 * (size_t)HEX_64)
    return -1;
  return hex_parse (text, &id->hi) < 0
                 || hex_parse (text + HEX_64, &id->lo) < 0
             ? -1
             : 0;
}

static int
name_get (struct json_object *object, const char *name, char *out)
{
  size_t size;
  const char *text = string_get (object, name, &size);

  if (text == NULL || size > MSG_NAME_MAX_BYTES || strlen (text) != size)
    return -1;
  memcpy (out, text, size + 1);
  return 0;
}

static int
number_get (struct json_object *object, const char *name, int64_t max,
            int64_t *out)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, name, &value)
      || !json_object_is_type (value, json_type_int))
    return -1;
  *out = json_object_get_int64 (value);
  return *out < 0 || *out > max ? -1 : 0;
}

static int
state_get (struct json_object *object, enum call_record_state *state)
{
  size_t size;
  const char *text = string_get (object, "state", &size);

  if (text == NULL)
    return -1;
  for (int i = 0; i < CALL_RECORD_STATE_MAX; i++)
    if (strcmp (text, state_names[i]) == 0)
      {
        *state = (enum call_record_state)i;
        return 0;
      }
  return -1;
}

static int
body_get (struct json_object *object, struct call_result *result)
{
  struct json_object *value;
  const char *text;
  gsize size = 0;
  size_t length;

  if (!json_object_object_get_ex (object, "body", &value))
    return -1;
  if (value == NULL)
    return 0;
  text = string_get (object, "body", &length);
  if (text == NULL || result->size > CALL_BODY_MAX_BYTES
      || strlen (text) != length)
    return -1;
  result->body = (char *)g_base64_decode (text, &size);
  return result->body != NULL && size == result->size ? 0 : -1;
}

static int
result_get (struct json_object *object, struct call_result *result)
{
  struct json_object *value;
  int64_t status;
  int64_t size;

  if (!json_object_object_get_ex (object, "result", &value)
      || !json_object_is_type (value, json_type_object)
      || json_object_object_length (value) != RESULT_MEMBERS
      || number_get (value, "status", CALL_STATUS_MAX, &status) < 0
      || number_get (value, "size", INT64_MAX - 1, &size) < 0
      || name_get (value, "content_type", result->content_type) < 0
      || hex_get (value, "digest", &result->digest) < 0)
    return -1;
  result->status = (unsigned)status;
  result->size = (size_t)size;
  return body_get (value, result);
}

static int
members_get (struct json_object *object, struct call_record *record)
{
  int64_t version;
  int members;

  if (!json_object_is_type (object, json_type_object)
      || number_get (object, "version", 1, &version) < 0 || version != 1
      || state_get (object, &record->state) < 0)
    return -1;
  members = record->state == CALL_DONE ? DONE_MEMBERS : CLAIM_MEMBERS;
  if (json_object_object_length (object) != members
      || hex_get (object, "fingerprint", &record->fingerprint) < 0
      || id_get (object, "attempt", &record->attempt) < 0
      || name_get (object, "agent", record->agent) < 0
      || hex_get (object, "incarnation", &record->incarnation) < 0
      || hex_get (object, "window", &record->window) < 0
      || name_get (object, "entry", record->entry) < 0)
    return -1;
  return record->state == CALL_DONE ? result_get (object, &record->result) : 0;
}

int
call_record_decode (const char *text, size_t size, struct call_record *record,
                    struct err *err)
{
  struct json_tokener *tokener;
  struct json_object *object;
  int rc = -1;

  memset (record, 0, sizeof *record);
  if (size > CALL_RECORD_MAX_BYTES)
    return err_set (err, ERR_PROTOCOL, "claim-decode", NULL,
                    "claim record of %zu bytes exceeds the limit of %d", size,
                    CALL_RECORD_MAX_BYTES);
  tokener = json_tokener_new ();
  json_tokener_set_flags (tokener,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  object = json_tokener_parse_ex (tokener, text, (int)size);
  if (json_tokener_get_error (tokener) == json_tokener_success
      && json_tokener_get_parse_end (tokener) == size)
    rc = members_get (object, record);
  json_object_put (object);
  json_tokener_free (tokener);
  if (rc == 0)
    return 0;
  call_record_clear (record);
  return err_set (err, ERR_PROTOCOL, "claim-decode", NULL,
                  "%zu bytes are not a valid claim record", size);
}

void
call_record_clear (struct call_record *record)
{
  g_free (record->result.body);
  memset (record, 0, sizeof *record);
}

void
call_record_copy (struct call_record *to, const struct call_record *from)
{
  *to = *from;
  if (from->result.body != NULL)
    {
      /* One more byte, so that an empty body is not a null pointer.  */
      to->result.body = g_malloc0 (from->result.size + 1);
      memcpy (to->result.body, from->result.body, from->result.size);
    }
}
