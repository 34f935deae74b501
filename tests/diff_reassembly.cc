#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

extern "C"
{
#include "goldcresthatch/reassembly.h"
}

namespace
{

struct frame
{
  bool other;
  bool end;
  uint64_t sequence;
  std::string bytes;
};

/* Returns FRAMES in a random order.  */
std::vector<frame>
shuffled (std::vector<frame> frames)
{
  for (size_t i = frames.size (); i > 1; i--)
    std::swap (frames[i - 1], frames[*rc::gen::inRange<size_t> (0, i)]);
  return frames;
}

/* Feeds the PARTS of an answer as messages of the current attempt and of
   another one, in random order and some of them twice, and compares the result
   with the plain concatenation.  */
void
check_assembly (enum reassembly_format form,
                const std::vector<std::string> &parts)
{
  const struct msg_id attempt = { 7, 1 };
  const struct msg_id other = { 7, 2 };
  std::vector<frame> frames;
  std::string expected;

  for (size_t i = 0; i < parts.size (); i++)
    {
      expected += parts[i];
      for (int copies = *rc::gen::inRange (1, 3); copies > 0; copies--)
        frames.push_back ({ false, false, i, parts[i] });
      frames.push_back ({ true, false, i, "other" + parts[i] });
    }
  frames.push_back ({ false, true, parts.size (), "" });
  frames.push_back ({ true, true, 0, "" });

  struct reassembly *reassembly = reassembly_new (form, 1 << 20);
  GString *out = g_string_new (nullptr);
  reassembly_begin (reassembly, attempt);
  for (const frame &f : shuffled (frames))
    {
      const struct msg_id id = f.other ? other : attempt;
      if (f.end)
        reassembly_end (reassembly, id, f.sequence, 1, out);
      else
        reassembly_data (reassembly, id, f.sequence, f.bytes.data (),
                         f.bytes.size (), out);
      // What has been passed on is always a prefix of the answer.
      RC_ASSERT (
          expected.compare (0, out->len, std::string (out->str, out->len))
          == 0);
    }
  RC_ASSERT (reassembly_complete (reassembly));
  RC_ASSERT (std::string (out->str, out->len) == expected);
  g_string_free (out, TRUE);
  reassembly_free (reassembly);
}

// Guards against an answer that differs from the runner's when messages are
// reordered, duplicated or mixed with those of another attempt.
RC_GTEST_PROP (ReassemblyDiff, EqualsPlainConcatenation,
               (const std::vector<std::string> &parts))
{
  check_assembly (REASSEMBLY_BYTES, parts);
}

// Guards against lost or duplicated events when messages split them at any
// byte.
RC_GTEST_PROP (ReassemblyDiff, EqualsPlainConcatenationOfSplitEvents, ())
{
  std::vector<std::string> parts;
  const auto bytes = *rc::gen::container<std::string> (
      rc::gen::element ('d', 'a', ':', '\n', '\r', '{', ' '));
  for (size_t at = 0; at < bytes.size ();)
    {
      const size_t n = *rc::gen::inRange<size_t> (1, 9);
      parts.push_back (bytes.substr (at, n));
      at += n;
    }
  check_assembly (REASSEMBLY_SSE, parts);
}

}
