// Limit that a runner names on its requests, kept by several gateways.
#include <gtest/gtest.h>
#include <random>
#include <vector>

extern "C"
{
#include "limit.h"
}

namespace
{

const int64_t second = 1000000;

// Guards against a limit that never ends, or that ends with one answer of a
// kind that doesn't name it.
TEST (Limit, HoldsAsLongAsAnswersNameIt)
{
  struct limit limit = {};
  EXPECT_FALSE (limit_in_force (&limit, second));
  limit_note_answer (&limit, 0, 0, second);
  EXPECT_FALSE (limit_in_force (&limit, second));
  limit_note_answer (&limit, 1, 20, 2 * second);
  EXPECT_TRUE (limit_in_force (&limit, 2 * second));
  // A runner that is silent says nothing.
  EXPECT_TRUE (limit_in_force (&limit, 60 * second));
  limit_note_answer (&limit, 0, 0, 60 * second);
  EXPECT_FALSE (limit_in_force (&limit, 60 * second));
  limit_note_answer (&limit, 1, 20, 61 * second);
  limit_note_answer (&limit, 0, 0, 61 * second + 1);
  EXPECT_TRUE (limit_in_force (&limit, 62 * second));
  EXPECT_FALSE (limit_in_force (&limit, 64 * second));
}

// Guards against a warning in each answer of a runner whose limit varies.
TEST (Limit, SmallChangesAreNotReported)
{
  struct limit limit = {};
  EXPECT_FALSE (limit_changed (&limit, second));
  limit_note_answer (&limit, 1, 20, second);
  EXPECT_TRUE (limit_changed (&limit, second));
  EXPECT_FALSE (limit_changed (&limit, second));
  limit_note_answer (&limit, 1, 22, second);
  EXPECT_FALSE (limit_changed (&limit, second));
  limit_note_answer (&limit, 1, 30, second);
  EXPECT_TRUE (limit_changed (&limit, second));
  limit_note_answer (&limit, 0, 0, 9 * second);
  EXPECT_TRUE (limit_changed (&limit, 9 * second));
  EXPECT_FALSE (limit_changed (&limit, 10 * second));
}

// Guards against requests from before the limit that are forgotten, and
// against a runner that is never asked again.
TEST (Limit, CountsWithinTheWindow)
{
  struct limit limit = {};
  for (int i = 0; i < 10; i++)
    limit_note_send (&limit, 10 * second);
  limit_note_answer (&limit, 1, 10, 10 * second);
  limit_note_others (&limit, 0, 10 * second);
  EXPECT_EQ (limit_sends (&limit, 10 * second), 10U);
  EXPECT_FALSE (limit_allows (&limit, 1, 10 * second + 900000));
  EXPECT_TRUE (limit_allows (&limit, 1, 11 * second));
  limit_note_others (&limit, 10, 11 * second);
  EXPECT_FALSE (limit_allows (&limit, 1, 11 * second));
  limit_note_answer (&limit, 1, 0, 11 * second);
  limit_note_others (&limit, 0, 11 * second);
  EXPECT_FALSE (limit_allows (&limit, 1, 11 * second));
  limit_note_others (&limit, 0, 14 * second);
  EXPECT_TRUE (limit_allows (&limit, 1, 14 * second));
  limit_note_answer (&limit, 1, 1e300, 14 * second);
  EXPECT_TRUE (limit_allows (&limit, 1, 14 * second));
}

struct fleet
{
  size_t gateways;
  double per_s;
  int cut; // the gateways don't hear of each other
};

class LimitFleet : public testing::TestWithParam<fleet>
{
};

// Guards against gateways that each keep a limit which they break together,
// and against an equal part for each where the connections are spread
// unevenly.
TEST_P (LimitFleet, KeptTogether)
{
  const fleet &f = GetParam ();
  const double allowed = f.per_s * 4 * 1.5 + 5;
  std::vector<struct limit> limits (f.gateways);
  std::mt19937 random (1);
  std::vector<int64_t> sends;
  int64_t now = 10 * second;
  const int64_t start = now;
  size_t most = 0;

  for (auto &limit : limits)
    limit_note_answer (&limit, 1, f.per_s, now);
  for (; now < start + 30 * second; now += 5000)
    {
      // The sums are up to 20 ms old, as those of the gateways.
      if (now % 20000 == 0 && (!f.cut || now < start + second))
        {
          unsigned sum = 0;
          for (auto &limit : limits)
            sum += limit_sends (&limit, now);
          for (auto &limit : limits)
            limit_note_others (&limit, sum - limit_sends (&limit, now), now);
        }
      // Three times the limit, most of it at a few gateways.
      double wanted = f.per_s * 3 * 0.005;
      int n = (int)wanted
              + (std::uniform_real_distribution<> (0, 1) (random)
                 < wanted - (int)wanted);
      while (n-- > 0)
        {
          double skew = std::uniform_real_distribution<> (0, 1) (random);
          size_t i = (size_t)(skew * skew * skew * (double)f.gateways);
          if (!limit_allows (&limits[i], (unsigned)f.gateways, now))
            continue;
          limit_note_send (&limits[i], now);
          sends.push_back (now);
        }
      size_t in_window = 0;
      for (size_t i = sends.size (); i > 0 && now - sends[i - 1] < 4 * second;
           i--)
        in_window++;
      most = std::max (most, in_window);
    }
  EXPECT_LE (most, allowed);
  EXPECT_GE ((double)sends.size (), f.cut ? 1 : f.per_s * 30 * 0.7);
}

INSTANTIATE_TEST_SUITE_P (
    Fleets, LimitFleet,
    testing::Values (fleet{ 4, 20, 0 }, fleet{ 25, 20, 0 },
                     fleet{ 103, 20, 0 }, fleet{ 380, 20, 0 },
                     fleet{ 25, 3, 0 }, fleet{ 25, 0.5, 0 },
                     fleet{ 103, 300, 0 }, fleet{ 4, 20, 1 },
                     fleet{ 380, 20, 1 }));

}
