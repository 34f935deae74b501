#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "goldcresthatch/route.h"
}

namespace
{

int64_t
distance (void *, const char *a, const char *b)
{
  return strcmp (a, b) == 0 ? 0 : 500;
}

struct route_config
config ()
{
  struct route_config c = {};
  c.entry = "e1";
  c.cache_pieces = 4;
  c.half_life_us = 1000000;
  c.prefill_role = 1;
  c.decode_role = 2;
  c.distance_us = distance;
  return c;
}

class Route : public testing::Test
{
protected:
  struct fleet *fleet = fleet_new ();
  struct route_config conf = config ();
  struct route *route = route_new (&conf);
  struct route_request req = {};

  void
  SetUp () override
  {
    req.service = "m";
    req.zone = "z0";
    req.prompt_tokens = 4000;
    req.output_tokens = 10;
    req.priority = 1;
    req.speed = { 100, 0, 10000, 100, 0, 5000000, 1000000 };
  }

  void
  TearDown () override
  {
    route_free (route);
    fleet_free (fleet);
  }

  // Lists N runners in ZONES zones, all of which report.
  void
  build (int n, int zones)
  {
    std::vector<std::string> names, zone_names;
    std::vector<struct fleet_vm> vms;
    for (int i = 0; i < n; i++)
      {
        names.push_back ("r" + std::to_string (i));
        zone_names.push_back ("z" + std::to_string (i % zones));
      }
    for (int i = 0; i < n; i++)
      vms.push_back ({ names[i].c_str (), "127.0.0.1:80",
                       zone_names[i].c_str (), FLEET_VM_LIVE });
    ASSERT_EQ (fleet_list_update (fleet, vms.data (), vms.size (), nullptr),
               0);
    for (int i = 0; i < n; i++)
      report (i, 0, 0);
    route_refresh (route, fleet, "z0");
  }

  void
  report (int i, uint64_t running, uint64_t tokens, uint64_t role = 0)
  {
    std::string name = "r" + std::to_string (i);
    struct msg_report r = {};
    r.agent = msg_str_from (name.c_str ());
    r.service = msg_str_from ("m");
    r.incarnation = 1;
    r.endpoint_up = 1;
    r.running = running;
    r.prompt_tokens = tokens;
    r.capacity = 8;
    r.role = role;
    fleet_report (fleet, &r, 0, nullptr);
  }

  const struct fleet_runner *
  at (int i)
  {
    return fleet_find (fleet, ("r" + std::to_string (i)).c_str ());
  }

  struct route_choice
  choose (uint64_t random = 1, int64_t now = 0)
  {
    return route_choose (route, fleet, &req, random, now);
  }
};

// Guards against an unbounded subset, one without runners of the entry's zone
// or of other zones, and one that changes by more than the runner removed.
TEST_F (Route, SubsetIsBoundedAndStable)
{
  struct fleet_ref before[ROUTE_SUBSET_MAX], after[ROUTE_SUBSET_MAX];
  build (300, 3);
  ASSERT_EQ (route_subset (route, "m", before), (size_t)ROUTE_SUBSET_MAX);
  std::set<uint32_t> kept;
  int own = 0;
  for (auto ref : before)
    {
      own += std::string (fleet_get (fleet, ref)->zone) == "z0";
      kept.insert (ref.index);
    }
  EXPECT_EQ (own, ROUTE_SUBSET_OWN_ZONE_MAX);
  const char *gone = fleet_get (fleet, before[0])->name;
  fleet_withhold (fleet, &gone, 1);
  route_refresh (route, fleet, "z0");
  ASSERT_EQ (route_subset (route, "m", after), (size_t)ROUTE_SUBSET_MAX);
  int same = 0;
  for (auto ref : after)
    same += kept.count (ref.index);
  EXPECT_EQ (same, ROUTE_SUBSET_MAX - 1);
  EXPECT_EQ (route_subset (route, "other", after), 0u);
  build (30, 1);
  kept.clear ();
  for (size_t i = route_subset (route, "m", after); i > 0; i--)
    kept.insert (after[i - 1].index);
  EXPECT_EQ (kept.size (), (size_t)ROUTE_SUBSET_MAX)
      << "all runners are in the entry's zone";
}

// Guards against never connecting to a runner whose service is unknown, and
// against a subset filled with runners that can't serve.
TEST_F (Route, ContactsPreferFitRunners)
{
  std::vector<struct fleet_ref> refs (400);
  build (100, 1);
  auto fit = [] (void *, const struct fleet_runner *runner) {
    return runner->ref.index % 2 == 0 || runner->ref.index > 90 ? 1 : 0;
  };
  size_t n = route_contacts (route, fleet, "z0", fit, nullptr, refs.data ());
  EXPECT_EQ (n, (size_t)ROUTE_SUBSET_MAX);
  for (size_t i = 0; i < n; i++)
    EXPECT_TRUE (fit (nullptr, fleet_get (fleet, refs[i])));
  auto none = [] (void *, const struct fleet_runner *) { return 0; };
  n = route_contacts (route, fleet, "z0", none, nullptr, refs.data ());
  EXPECT_EQ (n, (size_t)ROUTE_SUBSET_MAX)
      << "runners that are not fit fill the subset";
  struct fleet *unknown = fleet_new ();
  std::vector<std::string> names;
  std::vector<struct fleet_vm> vms;
  for (int i = 0; i < 40; i++)
    names.push_back ("u" + std::to_string (i));
  for (auto &name : names)
    vms.push_back ({ name.c_str (), "127.0.0.1:80", "z0", FLEET_VM_LIVE });
  ASSERT_EQ (fleet_list_update (unknown, vms.data (), vms.size (), nullptr),
             0);
  EXPECT_EQ (
      route_contacts (route, unknown, "z0", none, nullptr, refs.data ()), 40u);
  fleet_free (unknown);
}

// Guards against choosing a runner that is loaded, in another zone, without
// the version loaded or with an unsuitable role.
TEST_F (Route, PrefersLowLoadOwnZoneLoadedVersionAndRole)
{
  build (2, 2);
  EXPECT_EQ (choose ().ref.index, at (0)->ref.index) << "zone";
  report (0, 0, 9000);
  EXPECT_EQ (choose ().ref.index, at (1)->ref.index) << "load";
  report (0, 0, 0);
  req.version = 5;
  route_note_version (route, at (1)->ref, 5);
  EXPECT_EQ (choose ().ref.index, at (1)->ref.index) << "version";
  req.version = 0;
  report (0, 0, 0, 2);
  req.phase = ROUTE_PHASE_PREFILL;
  EXPECT_EQ (choose ().ref.index, at (1)->ref.index) << "role";
  req.excluded = &at (1)->ref;
  req.n_excluded = 1;
  EXPECT_EQ (choose ().ref.index, at (0)->ref.index) << "excluded";
  EXPECT_EQ (route_least_outstanding (fleet, &req, 1).index,
             at (0)->ref.index);
}

// Guards against a first token past the deadline when another runner would be
// in time.
TEST_F (Route, DeadlineComesBeforeCost)
{
  build (2, 1);
  req.output_tokens = 1000;
  report (0, 0, 20000);
  report (1, 7, 0);
  req.speed.step_us_per_request = 1000;
  EXPECT_EQ (choose ().ref.index, at (0)->ref.index)
      << "full batches decode slower";
  req.budget_us = 1000000;
  EXPECT_EQ (choose ().ref.index, at (1)->ref.index);
  EXPECT_FALSE (choose ().late);
  EXPECT_EQ (choose ().first_us, 400000);
  req.speed.chunk_tokens = 1000;
  EXPECT_EQ (choose ().first_us, 400000 + 4 * choose ().step_us)
      << "decode steps slow the prefill";
  req.budget_us = 1;
  EXPECT_TRUE (choose ().late);
}

// Guards against a prefix estimate that is ignored, never decays, exceeds its
// bound, or matches blocks after a gap or of another model.
TEST_F (Route, CountsCachedPrefix)
{
  build (2, 2);
  std::string prompt (4000, 'a');
  uint64_t prefix[4], other[4];
  ASSERT_EQ (route_hash_prefix ("m", prompt.data (), 3999, 1000, prefix, 4),
             3u);
  ASSERT_EQ (route_hash_prefix ("n", prompt.data (), 4000, 1000, other, 4),
             4u);
  EXPECT_NE (prefix[0], prefix[1]);
  EXPECT_NE (prefix[0], other[0]);
  req.prefix = prefix;
  req.n_prefix = 3;
  route_note_served (route, at (0)->ref, prefix, 1, 0);
  route_note_served (route, at (1)->ref, prefix + 1, 2, 0);
  EXPECT_EQ (choose ().cached, 1000u) << "r1 lacks the first block";
  route_note_served (route, at (1)->ref, prefix, 3, 0);
  EXPECT_EQ (choose ().ref.index, at (1)->ref.index);
  EXPECT_EQ (choose ().cached, 3000u);
  EXPECT_EQ (choose (1, conf.half_life_us).cached, 1500u);
  EXPECT_EQ (choose (1, 100 * conf.half_life_us).ref.index, at (0)->ref.index);
  route_note_served (route, at (0)->ref, other, 3, 1);
  EXPECT_EQ (choose ().cached, 1000u) << "two blocks were evicted";
  for (int i = 0; i < 50; i++)
    route_note_served (route, at (i % 2)->ref, &other[i % 4], 1, i);
  EXPECT_EQ (choose ().cached, 0u);
}

// Guards against always choosing the same one of equal runners.
TEST_F (Route, TiesFollowTheRandomArgument)
{
  build (12, 1);
  std::set<uint32_t> chosen, baseline;
  for (uint64_t random = 0; random < 200; random++)
    {
      chosen.insert (choose (random).ref.index);
      baseline.insert (route_least_outstanding (fleet, &req, random).index);
    }
  EXPECT_EQ (chosen.size (), 12u);
  EXPECT_EQ (baseline.size (), 12u);
  EXPECT_EQ (choose (9).ref.index, choose (9).ref.index);
}

} // namespace
