#include <gtest/gtest.h>
#include <string>

#include "gw_headers.hh"

namespace
{

enum http_head_result
scan (const std::string &text, int is_request = 1, size_t max = 1000)
{
  size_t length = 0;
  struct http_head_progress progress = {};
  return http_head_scan (&progress, text.data (), text.size (), max,
                         is_request, &length);
}

// Guards against scanning a head from its start for each of its bytes: what
// was scanned may change without an effect.
TEST (HttpHead, ScannedOnceWhateverItsPieces)
{
  const std::string text = "GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n\r\n";
  for (size_t first = 1; first < text.size (); first++)
    {
      struct http_head_progress progress = {};
      size_t length = 0;
      std::string data = text;
      ASSERT_EQ (
          http_head_scan (&progress, data.data (), first, 16384, 1, &length),
          HTTP_HEAD_PARTIAL);
      size_t lines = text.rfind ('\n', first - 1);
      if (lines != std::string::npos)
        data.replace (0, lines + 1, lines + 1, '\n');
      EXPECT_EQ (http_head_scan (&progress, data.data (), data.size (), 16384,
                                 1, &length),
                 HTTP_HEAD_OK)
          << first;
      EXPECT_EQ (length, text.size ());
    }
}

// Guards against forwarding a request that the runner could delimit
// differently (request smuggling).
TEST (HttpHead, RefusesWhatCanBeReadInTwoWays)
{
  const char *const malformed[] = {
    "GET / HTTP/1.1\nHost: a\n\n",
    "GET / HTTP/1.1\r\nHost: a\n\r\n",
    "GET / HTTP/1.1\r\nHost : a\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: a\r\n b: folded\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "GET / HTTP/1.1\r\nA: b\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: a\r\nA: b\rc\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n",
    "GET  / HTTP/1.1\r\nHost: a\r\n\r\n",
    "GET / HTTP/2.0\r\nHost: a\r\n\r\n",
    "\r\n\r\n",
  };
  for (const char *text : malformed)
    EXPECT_EQ (scan (text), HTTP_HEAD_MALFORMED) << text;
  EXPECT_EQ (scan ("GET / HTTP/1.1\r\nHost: a\r\nB: c\r\n\r\n"), HTTP_HEAD_OK);
}

// Guards against a head that is accepted before its end, or buffered without
// limit.
TEST (HttpHead, PartialAndTooLarge)
{
  EXPECT_EQ (scan (""), HTTP_HEAD_PARTIAL);
  EXPECT_EQ (scan ("GET / HTTP/1.1\r\nHost: a\r\n"), HTTP_HEAD_PARTIAL);
  EXPECT_EQ (scan (std::string (1001, 'a')), HTTP_HEAD_TOO_LARGE);
  EXPECT_EQ (
      scan ("GET / HTTP/1.1\r\nHost: " + std::string (1000, 'a') + "\r\n\r\n"),
      HTTP_HEAD_TOO_LARGE);
}

// Guards against field values with missing characters or surrounding white
// space, and against waiting for the body of a message that has none.
TEST (HttpHead, ParsesSpans)
{
  const std::string text
      = "POST /p/q?x=1 HTTP/1.1\r\nHost: h\r\nA:  b c \r\nEmpty:\r\n"
        "Content-Length: 0\r\n\r\n";
  http_parser parser;
  struct http_head head;
  long long number;
  http_parser_init (&parser, HTTP_REQUEST);
  ASSERT_EQ (http_head_parse (&parser, text.data (), text.size (), &head), 0);
  EXPECT_TRUE (http_str_equal (head.method, "POST"));
  EXPECT_TRUE (http_str_equal (head.target, "/p/q?x=1"));
  EXPECT_TRUE (http_str_equal (http_head_get (&head, "a"), "b c"));
  EXPECT_EQ (http_head_get (&head, "empty").n, 0U);
  EXPECT_EQ (http_head_get (&head, "other").p, nullptr);
  EXPECT_TRUE (head.complete);
  EXPECT_EQ (
      http_str_number (http_head_get (&head, "content-length"), &number), 0);
  EXPECT_EQ (http_str_number (gw_test::span ("1x"), &number), -1);
  EXPECT_EQ (http_str_number (gw_test::span ("1234567890123456"), &number),
             -1);
  EXPECT_TRUE (http_head_is_hop_by_hop (gw_test::span ("Transfer-Encoding")));
  EXPECT_FALSE (http_head_is_hop_by_hop (gw_test::span ("Content-Type")));
}

// Guards against an answer whose end isn't known and that is taken for one
// that tells it.
TEST (HttpHead, AnswersTellWhatEndsThem)
{
  const struct
  {
    const char *head;
    enum http_framing framing;
  } rows[] = {
    { "200 OK\r\nContent-Length: 3\r\n\r\n", HTTP_FRAMING_LENGTH },
    { "204 No Content\r\n\r\n", HTTP_FRAMING_LENGTH },
    { "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", HTTP_FRAMING_CHUNKS },
    { "200 OK\r\nTransfer-Encoding: identity\r\n\r\n",
      HTTP_FRAMING_CONNECTION },
    { "200 OK\r\nConnection: keep-alive\r\n\r\n", HTTP_FRAMING_CONNECTION },
    { "200 OK\r\n\r\n", HTTP_FRAMING_CONNECTION }
  };
  for (const char *version : { "HTTP/1.1 ", "HTTP/1.0 " })
    for (const auto &row : rows)
      {
        std::string text = version + std::string (row.head);
        http_parser parser;
        struct http_head head;
        http_parser_init (&parser, HTTP_RESPONSE);
        ASSERT_EQ (
            http_head_parse (&parser, text.data (), text.size (), &head), 0)
            << text;
        EXPECT_EQ (head.framing, row.framing) << text;
      }
}

}
