#include <gtest/gtest.h>
#include <string>

extern "C"
{
#include "goldcresthatch/reassembly.h"
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

class Reassembly : public ::testing::Test
{
protected:
  explicit Reassembly (enum reassembly_format form = REASSEMBLY_SSE,
                       size_t bound = 4096)
      : reassembly (reassembly_new (form, bound)), out (g_string_new (nullptr))
  {
    reassembly_begin (reassembly, first);
  }
  ~Reassembly () override
  {
    reassembly_free (reassembly);
    g_string_free (out, TRUE);
  }
  enum reassembly_verdict
  data (const struct msg_id &id, uint64_t sequence, const std::string &bytes)
  {
    return reassembly_data (reassembly, id, sequence, bytes.data (),
                            bytes.size (), out);
  }
  struct reassembly *reassembly;
  GString *out;
};

// Guards against a resume that repeats or skips a token: the caller must have
// whole events only, and the index must count exactly those.
TEST_F (Reassembly, ResumesAfterTheLastWholeEvent)
{
  data (first, 0, event ("a") + event ("b").substr (0, 9));
  EXPECT_EQ (out->str, event ("a"));
  EXPECT_EQ (reassembly_tokens (reassembly), 1U);
  reassembly_begin (reassembly, second);
  data (second, 0, event ("b") + "data: [DONE]\n\n");
  EXPECT_EQ (out->str, event ("a") + event ("b") + "data: [DONE]\n\n");
  EXPECT_EQ (reassembly_tokens (reassembly), 2U);
  EXPECT_TRUE (reassembly_closed (reassembly));
}

// Guards against data of an abandoned attempt in the answer.
TEST_F (Reassembly, IgnoresOtherAttempts)
{
  reassembly_begin (reassembly, second);
  EXPECT_EQ (data (first, 0, event ("x")), REASSEMBLY_OTHER_ATTEMPT);
  EXPECT_EQ (reassembly_end (reassembly, first, 0, 1, out),
             REASSEMBLY_OTHER_ATTEMPT);
  EXPECT_EQ (out->len, 0U);
  EXPECT_FALSE (reassembly_complete (reassembly));
}

// Guards against an answer taken as complete when END overtakes data.
TEST_F (Reassembly, EndWaitsForEarlierData)
{
  EXPECT_EQ (reassembly_end (reassembly, first, 2, 1, out),
             REASSEMBLY_ACCEPTED);
  EXPECT_EQ (data (first, 1, "data: [DONE]"), REASSEMBLY_HELD);
  EXPECT_FALSE (reassembly_complete (reassembly));
  EXPECT_EQ (data (first, 0, event ("a")), REASSEMBLY_ACCEPTED);
  EXPECT_TRUE (reassembly_complete (reassembly));
  EXPECT_EQ (out->str, event ("a") + "data: [DONE]");
  EXPECT_EQ (data (first, 1, "late"), REASSEMBLY_DUPLICATE);
}

// Guards against an incomplete event sent to the caller before a resume.
TEST_F (Reassembly, FailedEndKeepsAnIncompleteEventBack)
{
  data (first, 0, "data: {\"cho");
  reassembly_end (reassembly, first, 1, 0, out);
  EXPECT_TRUE (reassembly_complete (reassembly));
  EXPECT_EQ (out->len, 0U);
}

// Guards against memory without limit behind a gap or in an endless event.
TEST_F (Reassembly, BreaksAtTheBound)
{
  EXPECT_EQ (data (first, 1, std::string (4096, 'x')), REASSEMBLY_BROKEN);
  reassembly_begin (reassembly, second);
  EXPECT_EQ (data (second, 0, std::string (4097, 'x')), REASSEMBLY_BROKEN);
  EXPECT_EQ (reassembly_end (reassembly, second, 1, 1, out),
             REASSEMBLY_BROKEN);
  EXPECT_FALSE (reassembly_complete (reassembly));
}

// Guards against an END whose count contradicts the data that arrived.
TEST_F (Reassembly, BreaksOnAContradictingEnd)
{
  data (first, 3, "x");
  EXPECT_EQ (reassembly_end (reassembly, first, 3, 1, out), REASSEMBLY_BROKEN);
}

// Guards against events without content, comments or other line ends being
// counted as tokens or not recognised.
TEST_F (Reassembly, CountsOnlyEventsWithContent)
{
  data (first, 0,
        ": ping\n\ndata: {\"choices\":[{\"delta\":{\"role\":\"a\"}}]}\n\n"
        "data: {\"choices\":[{\"text\":\"t\"}]}\r\n\r\n"
        "data: not json\n\n"
            + event (""));
  EXPECT_EQ (reassembly_tokens (reassembly), 1U);
}

}
