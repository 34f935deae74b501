#include <cstring>
#include <gtest/gtest.h>
#include <json-c/json.h>
#include <json-c/json_pointer.h>
#include <string>

extern "C"
{
#include "goldcresthatch/span.h"
}

namespace
{

const std::string example
    = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

int
parse (const std::string &text, struct span_ctx *ctx)
{
  return span_parse_traceparent (text.data (), text.size (), ctx, nullptr);
}

// Guards against a trace that is lost at a hop because the header is changed.
TEST (Span, ParsesAndFormatsTraceparent)
{
  struct span_ctx ctx;
  char text[SPAN_TRACEPARENT_LEN + 1];
  ASSERT_EQ (parse (example, &ctx), 0);
  span_format_traceparent (&ctx, text);
  EXPECT_EQ (text, example);
  EXPECT_EQ (parse ("01" + example.substr (2) + "-more", &ctx), 0);
}

// Guards against headers that the W3C recommendation tells to ignore, and
// against a read beyond a short one.
TEST (Span, RefusesBadTraceparents)
{
  struct span_ctx ctx;
  for (size_t n = 0; n < example.size (); n++)
    EXPECT_EQ (parse (example.substr (0, n), &ctx), -1) << n;
  for (size_t i = 0; i < example.size (); i++)
    {
      std::string bad = example;
      bad[i] = 'G';
      EXPECT_EQ (parse (bad, &ctx), -1) << i;
    }
  EXPECT_EQ (parse (example + "-more", &ctx), -1);
  EXPECT_EQ (parse ("ff" + example.substr (2), &ctx), -1);
  EXPECT_EQ (parse ("00-" + std::string (32, '0') + example.substr (35), &ctx),
             -1);
  EXPECT_EQ (
      parse (example.substr (0, 36) + std::string (16, '0') + "-01", &ctx),
      -1);
}

std::string
at (struct json_object *root, const char *path)
{
  struct json_object *value = nullptr;
  std::string full = std::string ("/resourceSpans/0/") + path;
  if (json_pointer_get (root, full.c_str (), &value) != 0)
    return "absent";
  return json_object_get_string (value);
}

// Guards against spans that OTLP readers can't join: wrong ids, times or
// parents, or the error's step and peer left out.
TEST (Span, ExportsATraceAsOtlp)
{
  struct span_ring *ring = span_ring_new (8, "entry", "entry-1");
  struct span_ctx caller;
  struct span span;
  struct span other;
  struct err err = {};
  GString *out = g_string_new (nullptr);
  parse (example, &caller);
  err_set (&err, ERR_TIMEOUT, "claim", "10.0.0.1", "late \xff");
  span_start (&span, &caller, SPAN_SERVER, "chat", 1000001);
  span_start (&other, nullptr, SPAN_CLIENT, "other", 1);
  span_finish (ring, &other, 2, nullptr);
  span_finish (ring, &span, 1000002, &err);
  EXPECT_EQ (span_export_trace (ring, caller.trace, out), 1U);
  struct json_object *root = json_tokener_parse (out->str);
  ASSERT_NE (root, nullptr);
  EXPECT_EQ (at (root, "resource/attributes/0/value/stringValue"), "entry");
  const std::string path = "scopeSpans/0/spans/0/";
  EXPECT_EQ (at (root, (path + "traceId").c_str ()), example.substr (3, 32));
  EXPECT_EQ (at (root, (path + "parentSpanId").c_str ()),
             example.substr (36, 16));
  EXPECT_EQ (at (root, (path + "endTimeUnixNano").c_str ()), "1000002000");
  EXPECT_EQ (at (root, (path + "kind").c_str ()), "2");
  EXPECT_EQ (at (root, (path + "status/code").c_str ()), "2");
  EXPECT_EQ (at (root, (path + "attributes/1/value/stringValue").c_str ()),
             "claim");
  json_object_put (root);
  g_string_free (out, TRUE);
  span_ring_free (ring);
}

// Guards against a ring that grows, or that drops new spans instead of old
// ones.
TEST (Span, RingKeepsTheNewest)
{
  struct span_ring *ring = span_ring_new (3, "entry", "entry-1");
  struct span span;
  struct span_ctx caller;
  GString *out = g_string_new (nullptr);
  parse (example, &caller);
  for (int i = 0; i < 5; i++)
    {
      span_start (&span, &caller, SPAN_INTERNAL,
                  ("s" + std::to_string (i)).c_str (), i);
      span_finish (ring, &span, i, nullptr);
    }
  EXPECT_EQ (span_export_trace (ring, caller.trace, out), 3U);
  EXPECT_EQ (std::strstr (out->str, "\"s1\""), nullptr);
  EXPECT_LT (std::strstr (out->str, "\"s2\""),
             std::strstr (out->str, "\"s4\""));
  g_string_free (out, TRUE);
  span_ring_free (ring);
}

}
