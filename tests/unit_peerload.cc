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
  receive_report (const char *from, uint64_t sequence, int64_t now = 1)
  {
    GString *report = g_string_new (nullptr);
    peerload_encode (from, sequence, 1.5, theirs, report);
    int rc = peerload_apply (peerload, mine, "me", report->str, report->len,
                             now, nullptr);
    g_string_free (report, TRUE);
    return rc;
  }
};

// Guards against load that is lost or counted twice.
TEST_F (Peerload, SumsTheLatestReports)
{
  pool_find (theirs, "x")->calls = 3;
  pool_find (theirs, "x")->tokens = 9000;
  EXPECT_EQ (receive_report ("a", 1), 0);
  EXPECT_EQ (receive_report ("b", 1), 0);
  EXPECT_EQ (pool_find (mine, "x")->peer_calls, 6U);
  EXPECT_DOUBLE_EQ (pool_find (mine, "x")->peer_tokens, 18000);
  EXPECT_DOUBLE_EQ (peerload_prefill_demand (peerload), 3);
  pool_find (theirs, "x")->calls = 0;
  pool_find (theirs, "y")->calls = 1;
  EXPECT_EQ (receive_report ("a", 2), 0);
  EXPECT_EQ (pool_find (mine, "x")->peer_calls, 3U);
  EXPECT_EQ (pool_find (mine, "y")->peer_calls, 1U);
  EXPECT_DOUBLE_EQ (pool_load (pool_find (mine, "x"), 1), 3);
}

// Guards against using a report that arrived out of order, the gateway's own
// report, or the last one of a gateway that sends no more.
TEST_F (Peerload, OldOwnAndExpiredReportsAreDropped)
{
  pool_find (theirs, "x")->calls = 3;
  EXPECT_EQ (receive_report ("a", 5), 0);
  EXPECT_EQ (receive_report ("a", 5), -1);
  EXPECT_EQ (receive_report ("a", 4), -1);
  EXPECT_EQ (receive_report ("me", 9), -1);
  peerload_expire (peerload, mine, PEERLOAD_TIMEOUT_US);
  EXPECT_EQ (pool_find (mine, "x")->peer_calls, 3U);
  peerload_expire (peerload, mine, PEERLOAD_TIMEOUT_US + 2);
  EXPECT_EQ (pool_find (mine, "x")->peer_calls, 0U);
}

// Guards against sending to an engine whose stage another gateway changes.
TEST_F (Peerload, OrderedStageIsReported)
{
  pool_find (theirs, "x")->ordered = POOL_STAGE_DECODE;
  EXPECT_EQ (receive_report ("a", 1), 0);
  EXPECT_TRUE (pool_is_changing_stage (pool_find (mine, "x")));
  EXPECT_FALSE (pool_is_changing_stage (pool_find (mine, "y")));
  pool_find (mine, "x")->entry.stage = POOL_STAGE_DECODE;
  EXPECT_EQ (receive_report ("a", 2), 0);
  EXPECT_FALSE (pool_is_changing_stage (pool_find (mine, "x")));
}

// Guards against datagrams that crash the gateway, and against accepting a
// truncated report.
TEST_F (Peerload, MalformedReportsAreRejected)
{
  GString *report = g_string_new (nullptr);
  unsigned random = 1;
  pool_find (theirs, "x")->calls = 3;
  pool_find (theirs, "y")->calls = 1;
  peerload_encode ("a", 7, 0, theirs, report);
  for (size_t n = 0; n < report->len; n++)
    EXPECT_EQ (
        peerload_apply (peerload, mine, "me", report->str, n, 1, nullptr), -1);
  for (int i = 0; i < 20000; i++)
    {
      std::string bytes (report->str, report->len);
      random = random * 1664525 + 1013904223;
      bytes[(random >> 16) % bytes.size ()] = static_cast<char> (random >> 8);
      peerload_apply (peerload, mine, "me", bytes.data (), bytes.size (), 1,
                      nullptr);
    }
  g_string_free (report, TRUE);
}

// Guards against a datagram rate that grows with the square of the number of
// gateways.
TEST_F (Peerload, IntervalBoundsTheReceiveRate)
{
  for (unsigned n : { 1U, 4U, 31U, 380U })
    EXPECT_LE (n * 1e6 / static_cast<double> (peerload_interval (n)), 200.1);
}

}
