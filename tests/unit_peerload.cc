#include <gtest/gtest.h>
#include <string>

#include "gw_headers.hh"

using gw_test::entry;

namespace
{

// The same engines in the pools of two gateways.
class Peerload : public testing::Test
{
protected:
  struct runner_pool *mine = pool_new ();
  struct runner_pool *theirs = pool_new ();
  struct peerload *peerload = peerload_new ();

  Peerload ()
  {
    for (const char *id : { "x", "y" })
      {
        struct pool_entry e = entry (id, 1, POOL_STAGE_PREFILL);
        pool_put (mine, &e, 1);
        pool_put (theirs, &e, 1);
      }
  }
  ~Peerload () override
  {
    peerload_free (peerload);
    pool_free (mine);
    pool_free (theirs);
  }

  int
  hear (const char *from, uint64_t sequence, int64_t now = 1)
  {
    GString *word = g_string_new (nullptr);
    peerload_encode (from, sequence, 1.5, theirs, word);
    int rc = peerload_apply (peerload, mine, "me", word->str, word->len, now,
                             nullptr);
    g_string_free (word, TRUE);
    return rc;
  }
};

// Guards against load that is lost or counted twice.
TEST_F (Peerload, SumsTheLatestWords)
{
  pool_find (theirs, "x")->calls = 3;
  pool_find (theirs, "x")->tokens = 9000;
  EXPECT_EQ (hear ("a", 1), 0);
  EXPECT_EQ (hear ("b", 1), 0);
  EXPECT_EQ (pool_find (mine, "x")->peer_calls, 6U);
  EXPECT_DOUBLE_EQ (pool_find (mine, "x")->peer_tokens, 18000);
  EXPECT_DOUBLE_EQ (peerload_prefill_demand (peerload), 3);
  pool_find (theirs, "x")->calls = 0;
  pool_find (theirs, "y")->calls = 1;
  EXPECT_EQ (hear ("a", 2), 0);
  EXPECT_EQ (pool_find (mine, "x")->peer_calls, 3U);
  EXPECT_EQ (pool_find (mine, "y")->peer_calls, 1U);
  EXPECT_DOUBLE_EQ (pool_load (pool_find (mine, "x"), 1), 3);
}

// Guards against using a report that arrived out of order, the gateway's own
// report, or the last one of a gateway that sends no more.
TEST_F (Peerload, OldOwnAndSilent)
{
  pool_find (theirs, "x")->calls = 3;
  EXPECT_EQ (hear ("a", 5), 0);
  EXPECT_EQ (hear ("a", 5), -1);
  EXPECT_EQ (hear ("a", 4), -1);
  EXPECT_EQ (hear ("me", 9), -1);
  peerload_expire (peerload, mine, PEERLOAD_TIMEOUT_US);
  EXPECT_EQ (pool_find (mine, "x")->peer_calls, 3U);
  peerload_expire (peerload, mine, PEERLOAD_TIMEOUT_US + 2);
  EXPECT_EQ (pool_find (mine, "x")->peer_calls, 0U);
}

// Guards against sending to an engine whose stage another gateway changes.
TEST_F (Peerload, OrderedStageIsTold)
{
  pool_find (theirs, "x")->ordered = POOL_STAGE_DECODE;
  EXPECT_EQ (hear ("a", 1), 0);
  EXPECT_TRUE (pool_is_changing_stage (pool_find (mine, "x")));
  EXPECT_FALSE (pool_is_changing_stage (pool_find (mine, "y")));
  pool_find (mine, "x")->entry.stage = POOL_STAGE_DECODE;
  EXPECT_EQ (hear ("a", 2), 0);
  EXPECT_FALSE (pool_is_changing_stage (pool_find (mine, "x")));
}

// Guards against datagrams that crash the gateway, and against accepting a
// truncated report.
TEST_F (Peerload, MalformedBytes)
{
  GString *word = g_string_new (nullptr);
  unsigned random = 1;
  pool_find (theirs, "x")->calls = 3;
  pool_find (theirs, "y")->calls = 1;
  peerload_encode ("a", 7, 0, theirs, word);
  for (size_t n = 0; n < word->len; n++)
    EXPECT_EQ (peerload_apply (peerload, mine, "me", word->str, n, 1, nullptr),
               -1);
  for (int i = 0; i < 20000; i++)
    {
      std::string bytes (word->str, word->len);
      random = random * 1664525 + 1013904223;
      bytes[(random >> 16) % bytes.size ()] = static_cast<char> (random >> 8);
      peerload_apply (peerload, mine, "me", bytes.data (), bytes.size (), 1,
                      nullptr);
    }
  g_string_free (word, TRUE);
}

// Guards against a datagram rate that grows with the square of the number of
// gateways.
TEST_F (Peerload, IntervalBoundsWhatOneReceives)
{
  for (unsigned n : { 1U, 4U, 31U, 380U })
    EXPECT_LE (n * 1e6 / static_cast<double> (peerload_interval (n)), 200.1);
}

}
