#include <gtest/gtest.h>
#include <string>

extern "C"
{
#include "goldcresthatch/strm.h"
}

namespace
{

const struct msg_id first = { 1, 1 };
const struct msg_id second = { 1, 2 };

std::string
event (const std::string &token)
{
  return "data: {\"choices\":[{\"delta\":{\"content\":\"" + token
         + "\"}}]}\n\n";
}

class Strm : public ::testing::Test
{
protected:
  explicit Strm (enum strm_form form = STRM_SSE, size_t bound = 4096)
      : strm (strm_new (form, bound)), out (g_string_new (nullptr))
  {
    strm_begin (strm, first);
  }
  ~Strm () override
  {
    strm_free (strm);
    g_string_free (out, TRUE);
  }
  enum strm_verdict
  data (const struct msg_id &id, uint64_t sequence, const std::string &bytes)
  {
    return strm_data (strm, id, sequence, bytes.data (), bytes.size (), out);
  }
  struct strm *strm;
  GString *out;
};

// Guards against a resume that repeats or skips a token: the caller must have
// whole events only, and the index must count exactly those.
TEST_F (Strm, ResumesAfterTheLastWholeEvent)
{
  data (first, 0, event ("a") + event ("b").substr (0, 9));
  EXPECT_EQ (out->str, event ("a"));
  EXPECT_EQ (strm_tokens (strm), 1U);
  strm_begin (strm, second);
  data (second, 0, event ("b") + "data: [DONE]\n\n");
  EXPECT_EQ (out->str, event ("a") + event ("b") + "data: [DONE]\n\n");
  EXPECT_EQ (strm_tokens (strm), 2U);
  EXPECT_TRUE (strm_closed (strm));
}

// Guards against data of an abandoned attempt in the answer.
TEST_F (Strm, IgnoresOtherAttempts)
{
  strm_begin (strm, second);
  EXPECT_EQ (data (first, 0, event ("x")), STRM_OTHER);
  EXPECT_EQ (strm_end (strm, first, 0, 1, out), STRM_OTHER);
  EXPECT_EQ (out->len, 0U);
  EXPECT_FALSE (strm_complete (strm));
}

// Guards against an answer taken as complete when END overtakes data.
TEST_F (Strm, EndWaitsForEarlierData)
{
  EXPECT_EQ (strm_end (strm, first, 2, 1, out), STRM_ACCEPTED);
  EXPECT_EQ (data (first, 1, "data: [DONE]"), STRM_HELD);
  EXPECT_FALSE (strm_complete (strm));
  EXPECT_EQ (data (first, 0, event ("a")), STRM_ACCEPTED);
  EXPECT_TRUE (strm_complete (strm));
  EXPECT_EQ (out->str, event ("a") + "data: [DONE]");
  EXPECT_EQ (data (first, 1, "late"), STRM_DUPLICATE);
}

// Guards against an incomplete event sent to the caller before a resume.
TEST_F (Strm, FailedEndKeepsAnIncompleteEventBack)
{
  data (first, 0, "data: {\"cho");
  strm_end (strm, first, 1, 0, out);
  EXPECT_TRUE (strm_complete (strm));
  EXPECT_EQ (out->len, 0U);
}

// Guards against memory without limit behind a gap or in an endless event.
TEST_F (Strm, BreaksAtTheBound)
{
  EXPECT_EQ (data (first, 1, std::string (4096, 'x')), STRM_BROKEN);
  strm_begin (strm, second);
  EXPECT_EQ (data (second, 0, std::string (4097, 'x')), STRM_BROKEN);
  EXPECT_EQ (strm_end (strm, second, 1, 1, out), STRM_BROKEN);
  EXPECT_FALSE (strm_complete (strm));
}

// Guards against an END whose count contradicts the data that arrived.
TEST_F (Strm, BreaksOnAContradictingEnd)
{
  data (first, 3, "x");
  EXPECT_EQ (strm_end (strm, first, 3, 1, out), STRM_BROKEN);
}

// Guards against events without content, comments or other line ends being
// counted as tokens or not recognised.
TEST_F (Strm, CountsOnlyEventsWithContent)
{
  data (first, 0,
        ": ping\n\ndata: {\"choices\":[{\"delta\":{\"role\":\"a\"}}]}\n\n"
        "data: {\"choices\":[{\"text\":\"t\"}]}\r\n\r\n"
        "data: not json\n\n"
            + event (""));
  EXPECT_EQ (strm_tokens (strm), 1U);
}

}
