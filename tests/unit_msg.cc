#include <cstdlib>
#include <cstring>
#include <gtest/gtest.h>
#include <memory>
#include <msgpack.h>
#include <string>
#include <vector>

extern "C"
{
#include "goldcresthatch/msg.h"
}

namespace
{

struct msg_str
text (const char *p)
{
  return { p, std::strlen (p) };
}

/* Returns a message of TYPE with some field of each kind filled in.  */
struct msg
sample (enum msg_type type)
{
  struct msg msg = {};
  msg.type = type;
  switch (type)
    {
    case MSG_HELLO:
      msg.u.hello = { text ("entry-1"), 1, UINT64_MAX };
      break;
    case MSG_REPORT:
      msg.u.report.agent = text ("agent-1");
      msg.u.report.service = text ("chat");
      msg.u.report.zone = text ("zone-a");
      msg.u.report.window = 300;
      msg.u.report.state = MSG_AGENT_LEAVING;
      msg.u.report.endpoint_up = 1;
      msg.u.report.fence = 70000;
      break;
    case MSG_CALL:
      msg.u.call.call = { 1, 2 };
      msg.u.call.attempt = { 3, UINT64_MAX };
      msg.u.call.method = text ("POST");
      msg.u.call.path = text ("/v1/chat/completions");
      msg.u.call.content_type = text ("application/json");
      msg.u.call.body = { "{\0}", 3 };
      msg.u.call.traceparent = text ("00-x");
      break;
    case MSG_HEAD:
      msg.u.head = { { 1, 2 }, { 3, 4 }, 999, text ("text/plain") };
      break;
    case MSG_DATA:
      msg.u.data = { { 1, 2 }, { 3, 4 }, 5, text ("data: x\n\n") };
      break;
    case MSG_END:
      msg.u.end = { { 1, 2 },
                    { 3, 4 },
                    6,
                    MSG_OUTCOME_CRASHED,
                    text ("endpoint"),
                    text ("closed"),
                    7,
                    8,
                    9,
                    10,
                    11,
                    12,
                    13,
                    14 };
      break;
    case MSG_CANCEL:
      msg.u.cancel = { { 1, 2 }, { 3, 4 } };
      break;
    case MSG_VOID:
      msg.u.bar = { { 3, 4 }, 5, 6 };
      break;
    case MSG_VOIDED:
      msg.u.voided = { { 3, 4 }, MSG_VOID_DONE, 200, text ("a/b"), 1, 2,
                       13,       text ("{}") };
      break;
    case MSG_ORDER:
      msg.u.order
          = { text ("zone-a"), 9, { 1, 2 }, 1, 1, 0, text ("m"), text ("v2") };
      break;
    case MSG_ORDERED:
      msg.u.ordered = {
        { 1, 2 }, MSG_ORDER_FAILED, text ("load"), text ("no such model")
      };
      break;
    case MSG_CFG_GET:
      msg.u.cfg_get = { 11 };
      break;
    case MSG_CFG_DATA:
      msg.u.cfg_data = { 12, text ("{\"a\":1}") };
      break;
    default:
      break;
    }
  return msg;
}

std::string
encode (const struct msg &msg)
{
  void *data = nullptr;
  size_t size = 0;
  EXPECT_EQ (msg_encode (&msg, &data, &size, nullptr), 0);
  std::string bytes (static_cast<char *> (data), size);
  free (data);
  return bytes;
}

/* Decodes a copy of BYTES in a buffer of exactly their size, so that a
   sanitizer detects reads beyond it.  Checks the error code and returns the
   result.  */
int
decode (const std::string &bytes, struct msg *msg)
{
  std::unique_ptr<char[]> exact (new char[bytes.size ()]);
  struct err err = {};
  std::memcpy (exact.get (), bytes.data (), bytes.size ());
  int rc = msg_decode (exact.get (), bytes.size (), msg, &err);
  EXPECT_EQ (err.code, rc == 0 ? ERR_NONE : ERR_PROTOCOL);
  return rc;
}

void
expect_refused (const std::string &bytes)
{
  struct msg msg;
  EXPECT_EQ (decode (bytes, &msg), -1);
}

class MsgType : public ::testing::TestWithParam<int>
{
protected:
  const struct msg msg = sample (static_cast<enum msg_type> (GetParam ()));
  const std::string bytes = encode (msg);
};

// Guards against a field that is lost, swapped or truncated, for each type.
TEST_P (MsgType, SurvivesARoundTrip)
{
  struct msg got;
  ASSERT_EQ (msg_decode (bytes.data (), bytes.size (), &got, nullptr), 0);
  EXPECT_EQ (got.type, msg.type);
  EXPECT_EQ (encode (got), bytes);
}

// Guards against accepting a message that is truncated or has trailing bytes.
TEST_P (MsgType, RefusesEveryOtherLength)
{
  for (size_t n = 0; n < bytes.size (); n++)
    expect_refused (bytes.substr (0, n));
  expect_refused (bytes + '\0');
}

// Guards against a crash, or a string outside the frame, on changed bytes: an
// accepted message must be valid as a whole.
TEST_P (MsgType, SurvivesChangedBytes)
{
  for (size_t at = 0; at < bytes.size (); at++)
    for (int value = 0; value < 256; value += 5)
      {
        struct msg got;
        std::string bad = bytes;
        bad[at] = static_cast<char> (value);
        if (msg_decode (bad.data (), bad.size (), &got, nullptr) == 0)
          encode (got);
      }
}

INSTANTIATE_TEST_SUITE_P (All, MsgType, ::testing::Range (0, +MSG_TYPE_MAX));

// Guards against strings that point into memory freed by the decoder.
TEST (Msg, StringsPointIntoTheFrame)
{
  struct msg got;
  for (size_t size : { 1UL, 40UL, 300UL, 70000UL, 3000000UL })
    {
      const std::string body (size, 'x');
      struct msg msg = sample (MSG_CALL);
      msg.u.call.body = { body.data (), body.size () };
      const std::string bytes = encode (msg);
      ASSERT_EQ (msg_decode (bytes.data (), bytes.size (), &got, nullptr), 0);
      for (const struct msg_str &s :
           { got.u.call.body, got.u.call.path, got.u.call.method })
        {
          EXPECT_GE (s.p, bytes.data ()) << size;
          EXPECT_LE (s.p + s.n, bytes.data () + bytes.size ()) << size;
        }
      EXPECT_EQ (std::string (got.u.call.body.p, got.u.call.body.n), body);
    }
}

/* Packs an array of VERSION, TYPE and FIELDS copies of one object.  */
template <typename F>
std::string
pack (uint64_t version, uint64_t type, size_t fields, F field)
{
  msgpack_sbuffer buf;
  msgpack_packer pk;
  msgpack_sbuffer_init (&buf);
  msgpack_packer_init (&pk, &buf, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, 2 + fields);
  msgpack_pack_uint64 (&pk, version);
  msgpack_pack_uint64 (&pk, type);
  for (size_t i = 0; i < fields; i++)
    field (&pk);
  std::string bytes (buf.data, buf.size);
  msgpack_sbuffer_destroy (&buf);
  return bytes;
}

// Guards against fields of a wrong type, count or version being accepted.
TEST (Msg, RefusesWrongTypes)
{
  for (uint64_t type = 0; type < MSG_TYPE_MAX + 2U; type++)
    for (size_t fields = 0; fields < 20; fields++)
      {
        expect_refused (pack (MSG_VERSION, type, fields,
                              [] (auto *pk) { msgpack_pack_nil (pk); }));
        expect_refused (pack (MSG_VERSION, type, fields,
                              [] (auto *pk) { msgpack_pack_int (pk, -1); }));
        expect_refused (pack (MSG_VERSION, type, fields,
                              [] (auto *pk) { msgpack_pack_map (pk, 0); }));
        expect_refused (pack (MSG_VERSION + 1, type, fields,
                              [] (auto *pk) { msgpack_pack_uint64 (pk, 1); }));
      }
  // The only type whose fields are all numbers.
  struct msg msg;
  EXPECT_EQ (decode (pack (MSG_VERSION, MSG_CFG_GET, 1,
                           [] (auto *pk) { msgpack_pack_uint64 (pk, 1); }),
                     &msg),
             0);
}

// Guards against an allocation of the size claimed by a length prefix, a crash
// on deep nesting, and objects that aren't arrays.
TEST (Msg, RefusesHugeLengthsAndOtherObjects)
{
  expect_refused ("\xdd\xff\xff\xff\xff");         // array of 2^32 - 1
  expect_refused ("\xdd\x7f\xff\xff\xff\x01\x02"); // array of 2^31 - 1
  expect_refused ("\xdf\xff\xff\xff\xff");         // map
  expect_refused ("\xc6\xff\xff\xff\xff");         // bytes
  expect_refused ("\xdb\xff\xff\xff\xff");         // string
  expect_refused ("\xc9\xff\xff\xff\xff\x01");     // extension
  expect_refused ("\x93\x01\x0b\xc6\xff\xff\xff\xffx");
  expect_refused ("\x93\x01\x0b\xdd\xff\xff\xff\xff");
  expect_refused ("\x93\x01\x0b\xdf\xff\xff\xff\xff");
  expect_refused (std::string (100000, '\x91'));
  expect_refused (std::string (MSG_MAX_BYTES + 1, '\x01'));
  expect_refused (std::string ("\x80", 1)); // empty map
  expect_refused (std::string ("\x90", 1)); // empty array
  expect_refused (std::string ("\x01", 1));
  expect_refused ("\xa3xyz");
  // Objects whose own size is read as an array's without a check of the type.
  expect_refused (std::string ("\xcf\x00\x00\x00\x05\x00\x00\x00\x05", 9));
  expect_refused (std::string ("\x82\x01\x02\x03\x04", 5));
}

// Guards against a crash on input without any structure.
TEST (Msg, RefusesRandomBytes)
{
  unsigned random = 20261204;
  for (int i = 0; i < 5000; i++)
    {
      std::string bytes;
      const size_t size = 1 + i % 97;
      for (size_t n = 0; n < size; n++)
        bytes += static_cast<char> ((random = random * 1664525 + 1013904223)
                                    >> 24);
      expect_refused (bytes);
    }
}

// Guards against a name beyond its bound, and a message beyond the limit.
TEST (Msg, BoundsNamesAndSize)
{
  struct msg msg = sample (MSG_HELLO);
  struct err err = {};
  void *data;
  size_t size;
  const std::string longest (MSG_NAME_MAX_BYTES, 'n');
  const std::string longer (MSG_NAME_MAX_BYTES + 1, 'n');
  const std::string huge (MSG_MAX_BYTES, 'n');
  struct msg got;
  msg.u.hello.entry = { longest.data (), longest.size () };
  EXPECT_EQ (decode (encode (msg), &got), 0);
  msg.u.hello.entry = { longer.data (), longer.size () };
  expect_refused (encode (msg));
  msg = sample (MSG_DATA);
  msg.u.data.bytes = { huge.data (), huge.size () };
  EXPECT_EQ (msg_encode (&msg, &data, &size, &err), -1);
  EXPECT_EQ (err.code, ERR_LIMIT);
}

}
