#include "goldcresthatch/msg.h"

#include <glib.h>
#include <msgpack.h>
#include <sodium.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

enum field_kind
{
  FIELD_UINT,
  FIELD_ID,
  FIELD_NAME, /* at most MSG_NAME_MAX_BYTES */
  FIELD_TEXT, /* at most MSG_MAX_BYTES */
  FIELD_BOUND /* unsigned number below a limit */
};

struct field
{
  enum field_kind kind;
  size_t offset; /* in struct msg */
  uint64_t limit;
};

struct layout
{
  const char *name;
  const struct field *fields;
  size_t count;
};

enum
{
  HEADER_FIELDS = 2, /* version and type */
  FIELDS_MAX = 21
};

/* First bytes of msgpack objects.  */
enum
{
  WIRE_FIXINT_MAX = 0x7f,
  WIRE_FIXARRAY = 0x90,
  WIRE_FIXARRAY_MASK = 0xf0,
  WIRE_BIN8 = 0xc4,
  WIRE_BIN32 = 0xc6,
  WIRE_UINT8 = 0xcc,
  WIRE_UINT64 = 0xcf,
  WIRE_ARRAY16 = 0xdc
};

/* Fields of a message: unsigned number, identifier, name, text, and unsigned
   number below a limit.  */
#define UINT(m)                                                               \
  {                                                                           \
    FIELD_UINT, offsetof (struct msg, u.m), 0                                 \
  }
#define ID(m)                                                                 \
  {                                                                           \
    FIELD_ID, offsetof (struct msg, u.m), 0                                   \
  }
#define NAME(m)                                                               \
  {                                                                           \
    FIELD_NAME, offsetof (struct msg, u.m), MSG_NAME_MAX_BYTES                \
  }
#define TEXT(m)                                                               \
  {                                                                           \
    FIELD_TEXT, offsetof (struct msg, u.m), MSG_MAX_BYTES                     \
  }
#define BOUND(m, l)                                                           \
  {                                                                           \
    FIELD_BOUND, offsetof (struct msg, u.m), l                                \
  }

static const struct field hello_fields[]
    = { NAME (hello.entry), UINT (hello.incarnation),
        UINT (hello.cfg_generation) };

static const struct field report_fields[]
    = { NAME (report.agent),
        UINT (report.incarnation),
        UINT (report.window),
        BOUND (report.state, MSG_AGENT_STATE_MAX),
        BOUND (report.endpoint_up, 2),
        NAME (report.service),
        NAME (report.zone),
        UINT (report.role),
        UINT (report.running),
        UINT (report.queued),
        UINT (report.prompt_tokens),
        UINT (report.capacity),
        UINT (report.cfg_generation),
        UINT (report.fence),
        BOUND (report.known, 2),
        BOUND (report.drain, 2),
        BOUND (report.withdraw, 2),
        NAME (report.model),
        NAME (report.version),
        UINT (report.prompt_done),
        UINT (report.output_done) };

static const struct field call_fields[] = { ID (call.call),
                                            ID (call.attempt),
                                            UINT (call.incarnation),
                                            UINT (call.window),
                                            BOUND (call.at_most_once, 2),
                                            NAME (call.method),
                                            TEXT (call.path),
                                            NAME (call.content_type),
                                            TEXT (call.body),
                                            UINT (call.budget_ms),
                                            UINT (call.priority),
                                            BOUND (call.stream, 2),
                                            UINT (call.resume_index),
                                            UINT (call.fingerprint),
                                            BOUND (call.suspect, 2),
                                            NAME (call.traceparent) };

static const struct field head_fields[]
    = { ID (head.call), ID (head.attempt), BOUND (head.status, 1000),
        NAME (head.content_type) };

static const struct field data_fields[]
    = { ID (data.call), ID (data.attempt), UINT (data.sequence),
        TEXT (data.bytes) };

static const struct field end_fields[]
    = { ID (end.call),
        ID (end.attempt),
        UINT (end.frames),
        BOUND (end.outcome, MSG_OUTCOME_MAX),
        NAME (end.step),
        TEXT (end.text),
        UINT (end.running),
        UINT (end.queued),
        UINT (end.cfg_generation),
        UINT (end.queue_start_us),
        UINT (end.run_start_us),
        UINT (end.end_us),
        UINT (end.run_span),
        UINT (end.crash) };

static const struct field cancel_fields[]
    = { ID (cancel.call), ID (cancel.attempt) };

static const struct field void_fields[]
    = { ID (bar.attempt), UINT (bar.incarnation), UINT (bar.window) };

static const struct field voided_fields[]
    = { ID (voided.attempt),         BOUND (voided.state, MSG_VOID_STATE_MAX),
        BOUND (voided.status, 1000), NAME (voided.content_type),
        BOUND (voided.held, 2),      UINT (voided.size),
        UINT (voided.digest),        TEXT (voided.body) };

static const struct field order_fields[]
    = { NAME (order.shard), UINT (order.fence),     ID (order.order),
        UINT (order.role),  BOUND (order.drain, 2), BOUND (order.withdraw, 2),
        NAME (order.model), NAME (order.version) };

static const struct field ordered_fields[]
    = { ID (ordered.order), BOUND (ordered.state, MSG_ORDER_STATE_MAX),
        NAME (ordered.step), TEXT (ordered.text) };

static const struct field cfg_get_fields[] = { UINT (cfg_get.generation) };

static const struct field cfg_data_fields[]
    = { UINT (cfg_data.generation), TEXT (cfg_data.sections) };

#define LAYOUT(name, fields)                                                  \
  {                                                                           \
    name, fields, G_N_ELEMENTS (fields)                                       \
  }

static const struct layout layouts[MSG_TYPE_MAX] = {
  [MSG_HELLO] = LAYOUT ("HELLO", hello_fields),
  [MSG_REPORT] = LAYOUT ("REPORT", report_fields),
  [MSG_CALL] = LAYOUT ("CALL", call_fields),
  [MSG_HEAD] = LAYOUT ("HEAD", head_fields),
  [MSG_DATA] = LAYOUT ("DATA", data_fields),
  [MSG_END] = LAYOUT ("END", end_fields),
  [MSG_CANCEL] = LAYOUT ("CANCEL", cancel_fields),
  [MSG_VOID] = LAYOUT ("VOID", void_fields),
  [MSG_VOIDED] = LAYOUT ("VOIDED", voided_fields),
  [MSG_ORDER] = LAYOUT ("ORDER", order_fields),
  [MSG_ORDERED] = LAYOUT ("ORDERED", ordered_fields),
  [MSG_CFG_GET] = LAYOUT ("CFG_GET", cfg_get_fields),
  [MSG_CFG_DATA] = LAYOUT ("CFG_DATA", cfg_data_fields),
};

static void
pack_field (msgpack_packer *pk, const struct field *field, const char *at)
{
  const struct msg_id *id;
  const struct msg_str *str;

  switch (field->kind)
    {
    case FIELD_UINT:
    case FIELD_BOUND:
      msgpack_pack_uint64 (pk, *(const uint64_t *)at);
      return;
    case FIELD_ID:
      id = (const struct msg_id *)at;
      msgpack_pack_bin (pk, sizeof *id);
      msgpack_pack_bin_body (pk, id, sizeof *id);
      return;
    case FIELD_NAME:
    case FIELD_TEXT:
      str = (const struct msg_str *)at;
      msgpack_pack_bin (pk, str->n);
      if (str->n > 0)
        msgpack_pack_bin_body (pk, str->p, str->n);
      return;
    }
}

int
msg_encode (const struct msg *msg, void **data, size_t *size, struct err *err)
{
  const struct layout *layout = &layouts[msg->type];
  msgpack_sbuffer buf;
  msgpack_packer pk;
  size_t i;

  msgpack_sbuffer_init (&buf);
  msgpack_packer_init (&pk, &buf, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, HEADER_FIELDS + layout->count);
  msgpack_pack_uint64 (&pk, MSG_VERSION);
  msgpack_pack_uint64 (&pk, msg->type);
  for (i = 0; i < layout->count; i++)
    pack_field (&pk, &layout->fields[i],
                (const char *)msg + layout->fields[i].offset);
  if (buf.size > MSG_MAX_BYTES)
    {
      err_set (err, ERR_LIMIT, "encode", NULL,
               "%s of %zu bytes exceeds the limit of %d", layout->name,
               buf.size, MSG_MAX_BYTES);
      msgpack_sbuffer_destroy (&buf);
      return -1;
    }
  *size = buf.size;
  /* The buffer is 8 KB at least; most messages are short and may be queued in
     great numbers.  */
  *data = realloc (msgpack_sbuffer_release (&buf), *size);
  return 0;
}

static int
decode_field (const msgpack_object *obj, const struct field *field, char *at)
{
  struct msg_str *str;

  switch (field->kind)
    {
    case FIELD_UINT:
    case FIELD_BOUND:
      if (obj->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        return -1;
      if (field->kind == FIELD_BOUND && obj->via.u64 >= field->limit)
        return -1;
      *(uint64_t *)at = obj->via.u64;
      return 0;
    case FIELD_ID:
      if (obj->type != MSGPACK_OBJECT_BIN
          || obj->via.bin.size != sizeof (struct msg_id))
        return -1;
      memcpy (at, obj->via.bin.ptr, sizeof (struct msg_id));
      return 0;
    case FIELD_NAME:
    case FIELD_TEXT:
      if (obj->type != MSGPACK_OBJECT_BIN || obj->via.bin.size > field->limit)
        return -1;
      str = (struct msg_str *)at;
      str->p = obj->via.bin.ptr;
      str->n = obj->via.bin.size;
      return 0;
    }
  return -1;
}

/* Returns the length of the unsigned number or byte string at P, where SIZE
   bytes are left, or 0 when it is truncated or another kind of object.  */
static size_t
object_length (const unsigned char *p, size_t size)
{
  size_t width; /* bytes of the number that follows the first byte */
  uint64_t n = 0;
  size_t i;

  if (p[0] <= WIRE_FIXINT_MAX)
    return 1;
  if (p[0] >= WIRE_UINT8 && p[0] <= WIRE_UINT64)
    width = (size_t)1 << (p[0] - WIRE_UINT8);
  else if (p[0] >= WIRE_BIN8 && p[0] <= WIRE_BIN32)
    width = (size_t)1 << (p[0] - WIRE_BIN8);
  else
    return 0;
  if (size - 1 < width)
    return 0;
  if (p[0] >= WIRE_UINT8)
    return 1 + width;
  for (i = 1; i <= width; i++)
    n = n << 8 | p[i];
  return n <= size - 1 - width ? 1 + width + (size_t)n : 0;
}

/* Returns nonzero when DATA is one array of at most as many objects as a
   message has, all of them numbers or byte strings.  The unpacker allocates
   as many objects as an array or a map claims to hold, up to 2^32, before it
   reads them, so it must not see any other container.  */
static int
is_flat_array (const unsigned char *data, size_t size)
{
  size_t count;
  size_t at;
  size_t n;

  if (size >= 1 && (data[0] & WIRE_FIXARRAY_MASK) == WIRE_FIXARRAY)
    {
      count = data[0] & ~WIRE_FIXARRAY_MASK;
      at = 1;
    }
  else if (size >= 3 && data[0] == WIRE_ARRAY16)
    {
      count = (size_t)data[1] << 8 | data[2];
      at = 3;
    }
  else
    return 0;
  if (count > HEADER_FIELDS + FIELDS_MAX)
    return 0;
  for (; count > 0; count--, at += n)
    if (at == size || (n = object_length (data + at, size - at)) == 0)
      return 0;
  return at == size;
}

/* Checks the array that holds a message and finds its layout.  */
static const struct layout *
decode_header (const msgpack_object *root, struct msg *msg, struct err *err)
{
  const msgpack_object *items = root->via.array.ptr;
  const struct layout *layout;

  if (root->type != MSGPACK_OBJECT_ARRAY
      || root->via.array.size < HEADER_FIELDS
      || items[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || items[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    {
      err_set (err, ERR_PROTOCOL, "decode", NULL,
               "message does not start with its version and type");
      return NULL;
    }
  if (items[0].via.u64 != MSG_VERSION || items[1].via.u64 >= MSG_TYPE_MAX)
    {
      err_set (err, ERR_PROTOCOL, "decode", NULL,
               "expected message version %d and a type below %d, found "
               "version %llu and type %llu",
               MSG_VERSION, MSG_TYPE_MAX, (unsigned long long)items[0].via.u64,
               (unsigned long long)items[1].via.u64);
      return NULL;
    }
  msg->type = (enum msg_type)items[1].via.u64;
  layout = &layouts[msg->type];
  if (root->via.array.size != HEADER_FIELDS + layout->count)
    {
      err_set (err, ERR_PROTOCOL, "decode", NULL,
               "%s: expected %zu array items, found %u", layout->name,
               HEADER_FIELDS + layout->count, root->via.array.size);
      return NULL;
    }
  return layout;
}

int
msg_decode (const void *data, size_t size, struct msg *msg, struct err *err)
{
  const struct layout *layout;
  msgpack_unpacked unpacked;
  size_t i;
  size_t off = 0;
  int rc = -1;

  memset (msg, 0, sizeof *msg);
  if (size > MSG_MAX_BYTES)
    return err_set (err, ERR_PROTOCOL, "decode", NULL,
                    "message of %zu bytes exceeds the limit of %d", size,
                    MSG_MAX_BYTES);
  if (!is_flat_array (data, size))
    return err_set (err, ERR_PROTOCOL, "decode", NULL,
                    "frame of %zu bytes is not one msgpack array of at most "
                    "%d numbers and byte strings",
                    size, HEADER_FIELDS + FIELDS_MAX);
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, data, size, &off)
          != MSGPACK_UNPACK_SUCCESS
      || off != size)
    {
      err_set (err, ERR_PROTOCOL, "decode", NULL,
               "msgpack array of %zu bytes cannot be unpacked", size);
      goto out;
    }
  layout = decode_header (&unpacked.data, msg, err);
  if (layout == NULL)
    goto out;
  for (i = 0; i < layout->count; i++)
    if (decode_field (&unpacked.data.via.array.ptr[HEADER_FIELDS + i],
                      &layout->fields[i],
                      (char *)msg + layout->fields[i].offset)
        != 0)
      {
        err_set (err, ERR_PROTOCOL, "decode", NULL,
                 "%s: array item %zu has the wrong type, length or range",
                 layout->name, HEADER_FIELDS + i);
        goto out;
      }
  rc = 0;
out:
  msgpack_unpacked_destroy (&unpacked);
  return rc;
}

const char *
msg_type_name (enum msg_type type)
{
  return type < MSG_TYPE_MAX ? layouts[type].name : "?";
}

struct msg_str
msg_str_from (const char *s)
{
  struct msg_str str = { s != NULL ? s : "", s != NULL ? strlen (s) : 0 };

  return str;
}

void
msg_str_copy (char *dst, size_t size, struct msg_str s)
{
  size_t n = s.n < size - 1 ? s.n : size - 1;

  if (n > 0)
    memcpy (dst, s.p, n);
  dst[n] = '\0';
}

int
msg_id_equal (struct msg_id a, struct msg_id b)
{
  return a.hi == b.hi && a.lo == b.lo;
}

struct msg_id
msg_id_new (void)
{
  struct msg_id id;

  randombytes_buf (&id, sizeof id);
  return id;
}
