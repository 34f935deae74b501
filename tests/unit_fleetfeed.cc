#include <gtest/gtest.h>
#include <map>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "fleetfeed.h"
#include "fleetsum.h"
}

namespace
{

enum
{
  FEED = 1
};

struct change
{
  std::string key;
  std::string value;
  uint64_t revision;
  bool deleted;
};

// A source, a follower and what the follower has read.
class Fleetfeed : public testing::Test
{
protected:
  std::vector<uint64_t> ids;
  std::map<uint64_t, struct fleetfeed *> members;
  std::vector<std::string> sent;
  uint64_t follower = 0;
  std::vector<uint64_t> followed; // its sources
  uint64_t era = 1;               // that the follower is in
  uint64_t told_era = 1;          // of which the sources tell
  uint64_t revision = 100;        // that the follower has
  std::vector<change> got;
  unsigned last_feed = 0;
  int64_t now = 1000000;

  void
  fleet (size_t n, size_t able)
  {
    for (size_t i = 0; i < n; i++)
      ids.push_back (fleetsum_id (("gateway-" + std::to_string (i)).c_str ()));
    for (uint64_t id : ids)
      {
        members[id] = fleetfeed_new (id);
        fleetfeed_set_members (members[id], ids.data (), able, ids.data (), n);
      }
    for (uint64_t id : ids)
      if (!fleetfeed_is_source (members[id]))
        follower = id;
    for (uint64_t id : ids)
      if (follows (follower, id))
        followed.push_back (id);
  }
  ~Fleetfeed () override
  {
    for (auto &[id, ff] : members)
      fleetfeed_free (ff);
  }
  bool
  follows (uint64_t id, uint64_t source)
  {
    size_t n;
    const uint64_t *list = fleetfeed_followers (members[source], &n);
    for (size_t i = 0; i < n; i++)
      if (list[i] == id)
        return true;
    return false;
  }
  void
  tell (uint64_t source, uint64_t since, uint64_t upto,
        const std::vector<change> &changes = {}, bool store_ok = true)
  {
    std::vector<struct store_item> items;
    for (const change &c : changes)
      items.push_back ({ c.key.c_str (), c.value.data (), c.value.size (),
                         c.revision, c.revision, c.deleted });
    struct fleetfeed_notice notice = { FEED,    store_ok,      since,
                                       upto,    items.data (), items.size (),
                                       told_era };
    sent.clear ();
    fleetfeed_write (
        members[source], &notice,
        [] (void *ctx, const char *data, size_t size) {
          static_cast<std::vector<std::string> *> (ctx)->emplace_back (data,
                                                                       size);
        },
        &sent);
    for (const std::string &datagram : sent)
      {
        EXPECT_LE (datagram.size (),
                   static_cast<size_t> (FLEETFEED_BYTES_MAX));
        EXPECT_TRUE (
            fleetfeed_is_datagram (datagram.data (), datagram.size ()));
      }
  }
  int
  receive (const std::string &datagram)
  {
    return fleetfeed_receive (members[follower], datagram.data (),
                              datagram.size (), now, on_notice, this, nullptr);
  }
  void
  beat (uint64_t upto, bool store_ok = true)
  {
    for (uint64_t source : followed)
      {
        tell (source, upto, upto, {}, store_ok);
        EXPECT_EQ (receive (sent[0]), 0);
      }
  }
  bool
  current ()
  {
    return fleetfeed_is_current (members[follower], FEED, era, revision, now)
           != 0;
  }
  static void
  on_notice (void *ctx, const struct fleetfeed_notice *notice)
  {
    auto *self = static_cast<Fleetfeed *> (ctx);
    EXPECT_LT (notice->feed, static_cast<unsigned> (FLEETFEED_FEEDS_MAX));
    self->last_feed = notice->feed;
    if (notice->since > self->revision)
      return;
    for (size_t i = 0; i < notice->n_items; i++)
      {
        const struct store_item *item = &notice->items[i];
        self->got.push_back (
            { item->key,
              std::string (item->deleted ? "" : item->value, item->size),
              item->revision, item->deleted != 0 });
      }
    self->revision = std::max (self->revision, notice->upto);
  }
};

// Guards against a follower whom no source knows, and against more calls to
// the store than a few for the fleet.
TEST_F (Fleetfeed, SourcesAndFollowersAgree)
{
  fleet (103, 15);
  size_t sources = 0;
  for (uint64_t id : ids)
    {
      size_t of = 0;
      for (uint64_t source : ids)
        of += follows (id, source);
      sources += fleetfeed_is_source (members[id]) != 0;
      EXPECT_EQ (of, fleetfeed_is_source (members[id])
                         ? 0U
                         : static_cast<size_t> (FLEETFEED_FOLLOWED));
    }
  EXPECT_EQ (sources, 7U);
}

// Guards against followers in a fleet so small that nothing is gained.
TEST_F (Fleetfeed, SmallFleetsWatchThemselves)
{
  fleet (4, 4);
  for (uint64_t id : ids)
    EXPECT_FALSE (fleetfeed_is_source (members[id]));
  EXPECT_TRUE (followed.empty ());
  EXPECT_FALSE (current ());
}

// Pattern: both sources are alive and pass on a change.
TEST_F (Fleetfeed, ChangesArePassedOn)
{
  fleet (103, 15);
  EXPECT_FALSE (current ());
  beat (100);
  EXPECT_TRUE (current ());
  tell (followed[0], 100, 105,
        { { "servers/a", std::string ("\0x", 2), 103, false },
          { "servers/b", "", 105, true } });
  ASSERT_EQ (sent.size (), 1U);
  EXPECT_EQ (receive (sent[0]), 0);
  ASSERT_EQ (got.size (), 2U);
  EXPECT_EQ (last_feed, static_cast<unsigned> (FEED));
  EXPECT_EQ (got[0].value, std::string ("\0x", 2));
  EXPECT_TRUE (got[1].deleted);
  EXPECT_EQ (revision, 105U);
  EXPECT_TRUE (current ());
}

// Pattern: a notice is lost.  The next beat shows it.
TEST_F (Fleetfeed, LostNoticeIsNoticed)
{
  fleet (103, 15);
  beat (100);
  tell (followed[0], 100, 105, { { "servers/a", "x", 105, false } });
  beat (105);
  EXPECT_FALSE (current ());
  tell (followed[0], 105, 107, { { "servers/a", "y", 107, false } });
  EXPECT_EQ (receive (sent[0]), 0);
  EXPECT_TRUE (got.empty ()) << "a change before it is missing";
  revision = 107;
  EXPECT_TRUE (current ());
}

// Pattern: a source is paused, killed, or cut off from the store.
TEST_F (Fleetfeed, SilentOrBlindSourceIsNotReliedOn)
{
  fleet (103, 15);
  beat (100);
  now += FLEETFEED_TIMEOUT_US;
  tell (followed[0], 100, 100);
  EXPECT_EQ (receive (sent[0]), 0);
  EXPECT_TRUE (current ());
  now += 1;
  EXPECT_FALSE (current ()) << "the other source is silent";
  beat (100);
  EXPECT_TRUE (current ());
  tell (followed[1], 100, 100, {}, false);
  EXPECT_EQ (receive (sent[0]), 0);
  EXPECT_FALSE (current ()) << "the other source can't read the store";
}

// Pattern: all runners change at once, or a configuration doesn't fit.
TEST_F (Fleetfeed, LargeChanges)
{
  fleet (103, 15);
  beat (100);
  std::vector<change> changes;
  for (uint64_t i = 0; i < 100; i++)
    changes.push_back ({ "servers/" + std::to_string (i),
                         std::string (300, 'x'), 101 + i, false });
  tell (followed[0], 100, 200, changes);
  EXPECT_GT (sent.size (), 20U);
  for (const std::string &datagram : sent)
    EXPECT_EQ (receive (datagram), 0);
  EXPECT_EQ (got.size (), 100U);
  EXPECT_EQ (revision, 200U);
  EXPECT_TRUE (current ());
  tell (followed[0], 200, 210,
        { { "servers/1", "x", 205, false },
          { "servers/2", std::string (5000, 'x'), 210, false } });
  for (const std::string &datagram : sent)
    EXPECT_EQ (receive (datagram), 0);
  EXPECT_FALSE (current ()) << "it has to read the store";
}

// Guards against notices of gateways that aren't followed, and against
// malformed ones.
TEST_F (Fleetfeed, ForeignAndMalformedNotices)
{
  fleet (103, 15);
  for (uint64_t id : ids)
    if (fleetfeed_is_source (members[id]) && !follows (follower, id))
      {
        tell (id, 100, 100);
        EXPECT_EQ (receive (sent[0]), -1);
      }
  tell (followed[0], 100, 105,
        { { "servers/a", "value", 103, false },
          { "servers/b", "", 105, true } });
  std::string whole = sent[0];
  for (size_t n = 0; n < whole.size (); n++)
    EXPECT_EQ (receive (whole.substr (0, n)), -1);
  std::mt19937 random (3);
  for (int i = 0; i < 50000; i++)
    {
      std::string bytes = whole;
      for (unsigned k = random () % 3 + 1; k > 0; k--)
        bytes[2 + random () % (bytes.size () - 2)]
            = static_cast<char> (random ());
      receive (bytes);
    }
}

// Guards against a follower that takes the revisions of a restored store for
// those from before, or a late notice from before for one of the restored.
TEST_F (Fleetfeed, RevisionsAreComparedWithinAnEra)
{
  fleet (30, 30);
  beat (revision);
  EXPECT_TRUE (current ());
  std::string late = sent[0];
  told_era = 2;
  beat (40);
  EXPECT_FALSE (current ()) << "the sources read a restored store";
  era = 2;
  EXPECT_TRUE (current ());
  revision = 39;
  EXPECT_FALSE (current ());
  revision = 40;
  size_t before = got.size ();
  EXPECT_EQ (receive (late), 0);
  EXPECT_EQ (got.size (), before);
  EXPECT_TRUE (current ()) << "a late notice of the earlier era";
  era = 3;
  EXPECT_FALSE (current ()) << "the sources don't know of the restoration";
}

// Guards against gateways of two versions that choose different sources, and
// notices without an era that are taken.
TEST_F (Fleetfeed, NoticesWithoutAnEraAreNotRead)
{
  const std::string old ("\x97\x03\x01\x01\x01\x05\x05\x90", 8);
  fleet (30, 30);
  EXPECT_FALSE (fleetfeed_is_datagram (old.data (), old.size ()));
  EXPECT_EQ (receive (old), -1);
}

}
