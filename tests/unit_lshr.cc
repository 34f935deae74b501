#include <gtest/gtest.h>
#include <string>

#include "gw_headers.hh"

using gw_test::entry;

namespace
{

// The same engines as two gateways see them.
class Lshr : public testing::Test
{
protected:
  struct memb *mine = memb_new ();
  struct memb *theirs = memb_new ();
  struct lshr *lshr = lshr_new ();

  Lshr ()
  {
    for (const char *id : { "x", "y" })
      {
        struct memb_entry e = entry (id, 1, MEMB_STAGE_PREFILL);
        memb_put (mine, &e, 1);
        memb_put (theirs, &e, 1);
      }
  }
  ~Lshr () override
  {
    lshr_free (lshr);
    memb_free (mine);
    memb_free (theirs);
  }

  int
  hear (const char *from, uint64_t sequence, int64_t now = 1)
  {
    GString *word = g_string_new (nullptr);
    lshr_encode (from, sequence, 1.5, theirs, word);
    int rc = lshr_apply (lshr, mine, "me", word->str, word->len, now, nullptr);
    g_string_free (word, TRUE);
    return rc;
  }
};

// Guards against load that is lost or counted twice between gateways.
TEST_F (Lshr, SumsTheLatestWords)
{
  memb_find (theirs, "x")->calls = 3;
  memb_find (theirs, "x")->tokens = 9000;
  EXPECT_EQ (hear ("a", 1), 0);
  EXPECT_EQ (hear ("b", 1), 0);
  EXPECT_EQ (memb_find (mine, "x")->others_calls, 6U);
  EXPECT_DOUBLE_EQ (memb_find (mine, "x")->others_tokens, 18000);
  EXPECT_DOUBLE_EQ (lshr_reading (lshr), 3);
  memb_find (theirs, "x")->calls = 0;
  memb_find (theirs, "y")->calls = 1;
  EXPECT_EQ (hear ("a", 2), 0);
  EXPECT_EQ (memb_find (mine, "x")->others_calls, 3U);
  EXPECT_EQ (memb_find (mine, "y")->others_calls, 1U);
  EXPECT_DOUBLE_EQ (memb_load (memb_find (mine, "x"), 1), 3);
}

// Guards against an overtaken datagram, a gateway's own and a silent one's.
TEST_F (Lshr, OldOwnAndSilent)
{
  memb_find (theirs, "x")->calls = 3;
  EXPECT_EQ (hear ("a", 5), 0);
  EXPECT_EQ (hear ("a", 5), -1);
  EXPECT_EQ (hear ("a", 4), -1);
  EXPECT_EQ (hear ("me", 9), -1);
  lshr_tick (lshr, mine, LSHR_SILENCE_US);
  EXPECT_EQ (memb_find (mine, "x")->others_calls, 3U);
  lshr_tick (lshr, mine, LSHR_SILENCE_US + 2);
  EXPECT_EQ (memb_find (mine, "x")->others_calls, 0U);
}

// Guards against work for an engine whose stage another gateway is changing.
TEST_F (Lshr, OrderedStageIsTold)
{
  memb_find (theirs, "x")->ordered = MEMB_STAGE_DECODE;
  EXPECT_EQ (hear ("a", 1), 0);
  EXPECT_TRUE (memb_changing (memb_find (mine, "x")));
  EXPECT_FALSE (memb_changing (memb_find (mine, "y")));
  memb_find (mine, "x")->entry.stage = MEMB_STAGE_DECODE;
  EXPECT_EQ (hear ("a", 2), 0);
  EXPECT_FALSE (memb_changing (memb_find (mine, "x")));
}

// Guards against bytes from outside that crash a gateway or change its view.
TEST_F (Lshr, MalformedBytes)
{
  GString *word = g_string_new (nullptr);
  unsigned random = 1;
  memb_find (theirs, "x")->calls = 3;
  memb_find (theirs, "y")->calls = 1;
  lshr_encode ("a", 7, 0, theirs, word);
  for (size_t n = 0; n < word->len; n++)
    EXPECT_EQ (lshr_apply (lshr, mine, "me", word->str, n, 1, nullptr), -1);
  for (int i = 0; i < 20000; i++)
    {
      std::string bytes (word->str, word->len);
      random = random * 1664525 + 1013904223;
      bytes[(random >> 16) % bytes.size ()] = static_cast<char> (random >> 8);
      lshr_apply (lshr, mine, "me", bytes.data (), bytes.size (), 1, nullptr);
    }
  g_string_free (word, TRUE);
}

// Guards against datagrams that grow with the square of the fleet.
TEST_F (Lshr, IntervalBoundsWhatOneReceives)
{
  for (unsigned n : { 1U, 4U, 31U, 380U })
    EXPECT_LE (n * 1e6 / static_cast<double> (lshr_interval (n)), 200.1);
}

}
