#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

extern "C"
{
#include "goldcresthatch/fleet.h"
#include "goldcresthatch/retry.h"
}

namespace
{

const int RUNNERS = 5;
const int64_t STEP_US = 500000;

struct report_event
{
  int64_t at;
  uint64_t incarnation, window, state;
  bool up;
};

// Reference fleet of RUNNERS: stores every event and derives each answer from
// all of them.
class ReferenceFleet
{
public:
  std::vector<report_event> reports[RUNNERS];
  std::vector<int64_t> left[RUNNERS]; // when the list showed leaving
  bool leaving[RUNNERS] = {};
  std::set<int> withheld;
  std::map<int, int64_t> silent_since; // silent runner -> since when
  std::set<int> kept;
  std::map<int, int64_t> timeout_restarted;
  std::vector<int64_t> ticks;
  int64_t restart = -1000 * FLEET_REPORT_TIMEOUT_US;
  bool self_preservation = false;

  void
  report (int i, const report_event &r)
  {
    if (r.incarnation < newest (i))
      return;
    reports[i].push_back (r);
    bool old = false;
    for (auto &e : reports[i])
      old = old || (e.incarnation == r.incarnation && e.window > r.window);
    if (old)
      {
        reports[i].back ().at = -1; // only its state counts
        return;
      }
    silent_since.erase (i);
    kept.erase (i);
    timeout_restarted.erase (i);
    reported_since_leaving[i] = !leaving[i];
  }

  void
  list_leaving (int i, bool is)
  {
    leaving[i] = is;
    if (is)
      reported_since_leaving[i] = false;
  }

  void
  tick (int64_t now)
  {
    if (!ticks.empty () && now - ticks.back () > FLEET_TICK_GAP_MAX_US)
      restart = now;
    ticks.push_back (now);
    int reporting = 0, silent = 0;
    for (int i = 0; i < RUNNERS; i++)
      {
        int64_t since = std::max (latest (i).at, restart);
        if (timeout_restarted.count (i))
          since = std::max (since, timeout_restarted[i]);
        if (!silent_since.count (i) && now - since > FLEET_REPORT_TIMEOUT_US)
          silent_since[i] = now;
        if (!member (i))
          continue;
        if (!silent_since.count (i))
          reporting++;
        else if (kept.count (i)
                 || now - silent_since[i] <= FLEET_REPORT_TIMEOUT_US)
          silent++;
      }
    if (silent > reporting)
      self_preservation = true;
    else if (self_preservation && reporting > silent)
      {
        self_preservation = false;
        for (int i : kept)
          {
            silent_since.erase (i);
            timeout_restarted[i] = now;
          }
        kept.clear ();
      }
    for (auto &f : silent_since)
      if (self_preservation && now - f.second <= FLEET_REPORT_TIMEOUT_US)
        kept.insert (f.first);
  }

  // Returns the incarnation that reported before the newest one, or 0.
  uint64_t
  before (int i)
  {
    uint64_t found = 0;
    for (auto &e : reports[i])
      if (e.incarnation < newest (i))
        found = e.incarnation;
    return found;
  }

  bool
  usable (int i)
  {
    return member (i) && latest (i).state == MSG_AGENT_SERVING && latest (i).up
           && (!silent_since.count (i) || kept.count (i));
  }

private:
  // Whether it reported since the list last showed it as leaving.
  bool reported_since_leaving[RUNNERS] = {};

  uint64_t
  newest (int i)
  {
    return reports[i].empty () ? 0 : reports[i].back ().incarnation;
  }

  report_event
  latest (int i)
  {
    report_event r = {};
    for (auto &e : reports[i])
      if (e.at >= 0)
        r = e;
    return r;
  }

  bool
  member (int i)
  {
    bool reported_leaving = false;
    for (auto &e : reports[i])
      reported_leaving
          = reported_leaving
            || (e.incarnation == newest (i) && e.state == MSG_AGENT_LEAVING);
    return reported_since_leaving[i] && !leaving[i] && !withheld.count (i)
           && !reported_leaving;
  }
};

std::string
name_of (int i)
{
  return "r" + std::to_string (i);
}

void
send_report (struct fleet *fleet, int i, const report_event &e)
{
  std::string name = name_of (i);
  struct msg_report r = {};
  r.agent = msg_str_from (name.c_str ());
  r.incarnation = e.incarnation;
  r.window = e.window;
  r.state = e.state;
  r.endpoint_up = e.up;
  fleet_report (fleet, &r, e.at, nullptr);
}

void
send_list (struct fleet *fleet, const bool *leaving)
{
  std::vector<std::string> names;
  std::vector<struct fleet_vm> vms;
  for (int i = 0; i < RUNNERS; i++)
    names.push_back (name_of (i));
  for (int i = 0; i < RUNNERS; i++)
    vms.push_back ({ names[i].c_str (), "127.0.0.1:1", "z",
                     leaving[i] ? FLEET_VM_LEAVING : FLEET_VM_LIVE });
  RC_ASSERT (fleet_list_update (fleet, vms.data (), vms.size (), nullptr)
             == 0);
}

// Guards against membership that differs from the one derived from the events,
// such as a leaving state undone by an older report, or self-preservation that
// does not end.
RC_GTEST_PROP (DiffPolicy, FleetAgreesWithReference, ())
{
  struct fleet *fleet = fleet_new ();
  auto guard = std::shared_ptr<struct fleet> (fleet, fleet_free);
  ReferenceFleet reference;
  int64_t now = 0;
  uint64_t incarnation[RUNNERS];
  std::fill_n (incarnation, RUNNERS, 1);
  bool muted[RUNNERS] = {};
  int preserved_steps = 0;
  send_list (fleet, reference.leaving);
  for (int step = *rc::gen::inRange (0, 150); step > 0; step--)
    {
      int i = *rc::gen::inRange (0, RUNNERS);
      switch (*rc::gen::weightedElement<int> (
          { { 8, 0 }, { 2, 1 }, { 2, 2 }, { 1, 3 }, { 1, 4 }, { 1, 5 } }))
        {
        case 0: // time passes; runners that are not muted send a report
          now += STEP_US
                 * *rc::gen::weightedElement<int> (
                     { { 9, 1 }, { 9, 4 }, { 1, 20 } });
          for (int k = 0; k < RUNNERS; k++)
            if (!muted[k])
              {
                report_event e = { now, incarnation[k], 5, 0, true };
                reference.report (k, e);
                send_report (fleet, k, e);
              }
          reference.tick (now);
          fleet_tick (fleet, now);
          break;
        case 1:
          muted[i] = !muted[i];
          break;
        case 2: // the entry's own link fails or recovers
          {
            bool is = *rc::gen::arbitrary<bool> ();
            std::fill_n (muted, RUNNERS, is);
            muted[i] = !is;
            break;
          }
        case 3:
          reference.list_leaving (i, !reference.leaving[i]);
          send_list (fleet, reference.leaving);
          break;
        case 4:
          {
            if (!reference.withheld.erase (i))
              reference.withheld.insert (i);
            std::vector<std::string> names;
            std::vector<const char *> p;
            for (int k : reference.withheld)
              names.push_back (name_of (k));
            for (auto &n : names)
              p.push_back (n.c_str ());
            fleet_withhold (fleet, p.data (), p.size ());
            break;
          }
        case 5: // any state, an old window, a new incarnation or the one
                // before
          {
            incarnation[i] += *rc::gen::inRange (0, 2);
            bool late = *rc::gen::arbitrary<bool> ();
            uint64_t before = reference.before (i);
            report_event e
                = { now, late && before ? before : incarnation[i],
                    *rc::gen::inRange<uint64_t> (4, 6),
                    *rc::gen::inRange<uint64_t> (0, MSG_AGENT_STATE_MAX),
                    *rc::gen::arbitrary<bool> () };
            reference.report (i, e);
            send_report (fleet, i, e);
            break;
          }
        }
      preserved_steps += reference.self_preservation;
      RC_ASSERT (!!fleet_self_preservation (fleet)
                 == reference.self_preservation);
      for (int k = 0; k < RUNNERS; k++)
        RC_ASSERT (!!fleet_find (fleet, name_of (k).c_str ())->usable
                   == reference.usable (k));
    }
  RC_TAG (preserved_steps ? "self-preservation was on"
                          : "self-preservation stayed off");
}

// Guards against a bucket that grants more or fewer retries than the history
// of first attempts and retries allows.
RC_GTEST_PROP (DiffPolicy, RetryBudgetAgreesWithReference, ())
{
  struct retry_config config = retry_defaults;
  config.ratio_permil = *rc::gen::inRange (0u, 1001u);
  config.reserve = *rc::gen::inRange (0u, 5u);
  config.burst = config.reserve + *rc::gen::inRange (0u, 5u);
  struct retry_budget budget;
  retry_init (&budget, &config);
  std::vector<bool> history; // true is a first attempt, false a retry
  for (bool first : *rc::gen::container<std::vector<bool>> (
           100, rc::gen::arbitrary<bool> ()))
    {
      uint64_t level = config.reserve * 1000;
      for (bool was_first : history)
        level = was_first ? std::min<uint64_t> (config.burst * 1000,
                                                level + config.ratio_permil)
                          : level - 1000;
      if (first)
        {
          retry_note_first (&budget, &config);
          history.push_back (true);
          continue;
        }
      struct retry_attempt attempt = { RETRY_NOT_RUN, 0, 1, 0, 0 };
      bool granted = retry_decide (&budget, &config, &attempt, 0, 1).verdict
                     == RETRY_YES;
      RC_ASSERT (granted == (level >= 1000));
      if (granted)
        history.push_back (false);
    }
}

} // namespace
