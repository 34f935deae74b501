#include <gtest/gtest.h>

#include "gw_headers.hh"

using gw_test::entry;

namespace
{

const int64_t second = 1000000;

class Memb : public testing::Test
{
protected:
  struct memb *memb = memb_new ();
  ~Memb () override { memb_free (memb); }

  struct memb_runner *
  put (const struct memb_entry &e, uint64_t revision)
  {
    memb_put (memb, &e, revision);
    return memb_find (memb, e.id);
  }
};

// Guards against new work for a runner that has told that it leaves, also
// when an older entry arrives late.
TEST_F (Memb, LeavingHoldsForTheLifetime)
{
  struct memb_runner *runner = put (entry ("r"), 5);
  EXPECT_TRUE (memb_usable (runner, 0));
  put (entry ("r", 1, MEMB_STAGE_ANY, 1), 6);
  EXPECT_FALSE (memb_usable (runner, 0));
  put (entry ("r"), 4);
  EXPECT_FALSE (memb_usable (runner, 0));
  put (entry ("r"), 7);
  EXPECT_FALSE (memb_usable (runner, 0));
}

// Guards against taking what is known of one lifetime for the next one's.
TEST_F (Memb, NewLifetimeIsAnotherRunner)
{
  struct memb_runner *first = put (entry ("r", 1), 5);
  memb_told (first, 8, 8, 0);
  struct memb_runner *second_life = put (entry ("r", 2), 6);
  EXPECT_NE (first, second_life);
  EXPECT_FALSE (memb_usable (first, 0));
  EXPECT_TRUE (memb_usable (second_life, 0));
  EXPECT_EQ (memb_load (second_life, 0), 0);
  // A late word of the first lifetime changes nothing.
  EXPECT_EQ (memb_put (memb, &first->entry, 9), nullptr);
  EXPECT_EQ (memb_find (memb, "r"), second_life);
}

// Guards against using an address after its runner is gone.
TEST_F (Memb, RemovedIsNotUsed)
{
  struct memb_runner *runner = put (entry ("r"), 5);
  EXPECT_EQ (memb_remove (memb, "r", 4, 0), nullptr);
  EXPECT_EQ (memb_remove (memb, "r", 6, 10 * second), runner);
  EXPECT_FALSE (memb_usable (runner, 10 * second));
  memb_tick (memb, 11 * second);
  EXPECT_EQ (memb_count (memb), 0U);
}

// Guards against freeing a runner that a request still names.
TEST_F (Memb, ReferencesKeepIt)
{
  struct memb_runner *runner = put (entry ("r"), 5);
  runner->references = 1;
  memb_remove (memb, "r", 6, 10 * second);
  memb_tick (memb, 11 * second);
  EXPECT_EQ (memb_count (memb), 1U);
  runner->references = 0;
  memb_tick (memb, 12 * second);
  EXPECT_EQ (memb_count (memb), 0U);
}

// Guards against an empty fleet when entries lapse while the registry is away,
// and against keeping one that hasn't come back.
TEST_F (Memb, LapsedEntriesAreKeptForTheirReturn)
{
  struct memb_runner *stays = put (entry ("s"), 5);
  struct memb_runner *gone = put (entry ("g"), 6);
  memb_registry (memb, 0, 10 * second);
  memb_registry (memb, 1, 20 * second);
  memb_list_begin (memb);
  memb_list_end (memb, 9, 20 * second);
  EXPECT_TRUE (memb_usable (stays, 20 * second));
  EXPECT_TRUE (memb_usable (gone, 20 * second));
  put (entry ("s"), 10);
  memb_tick (memb, 20 * second + MEMB_RETURN_US + 1);
  EXPECT_EQ (memb_find (memb, "g"), nullptr);
  ASSERT_EQ (memb_find (memb, "s"), stays);
  EXPECT_TRUE (memb_usable (stays, 23 * second));
}

// Guards against a leaving runner that an outage brings back.
TEST_F (Memb, LeavingIsNotExcusedByAnOutage)
{
  struct memb_runner *runner = put (entry ("r", 1, MEMB_STAGE_ANY, 1), 5);
  memb_registry (memb, 0, 0);
  memb_remove (memb, "r", 6, 1);
  EXPECT_FALSE (runner->present);
}

// Guards against requests to a runner that can't be reached, and against one
// that is never tried again.
TEST_F (Memb, PauseAfterFailures)
{
  struct memb_runner *runner = put (entry ("r"), 5);
  memb_failed (runner, MEMB_UNREACHED, 0);
  EXPECT_FALSE (memb_usable (runner, 1000));
  EXPECT_TRUE (memb_usable (runner, 3 * second));
  memb_answered (runner, 1000, 0);
  EXPECT_TRUE (memb_usable (runner, 1000));
  // Failures that the runner itself answers are part of its work.
  for (int i = 0; i < 20; i++)
    memb_failed (runner, MEMB_ERROR, 0);
  EXPECT_TRUE (memb_usable (runner, 1));
  for (int i = 0; i < 3; i++)
    memb_failed (runner, MEMB_BROKEN, 0);
  EXPECT_FALSE (memb_usable (runner, 1));
}

// Guards against a flood of sends to an engine that is changing its stage: it
// refuses everything and looks idle.
TEST_F (Memb, PauseAfterRefusalsInARow)
{
  struct memb_runner *runner = put (entry ("r"), 5);
  int64_t now = 0;
  int sent = 0;
  for (; now < 3 * second; now += 1000)
    if (memb_usable (runner, now))
      {
        sent++;
        memb_refused (runner, now);
      }
  EXPECT_LE (sent, 12);
  memb_answered (runner, 1000, 0);
  memb_refused (runner, now);
  EXPECT_TRUE (memb_usable (runner, now));
}

// Guards against the load of a moment ago that is taken for that of now.
TEST_F (Memb, ToldLoadFades)
{
  struct memb_runner *runner = put (entry ("r"), 5);
  runner->calls = 2;
  memb_told (runner, 6, 4, 0);
  EXPECT_DOUBLE_EQ (memb_load (runner, 0), 10);
  EXPECT_LT (memb_load (runner, second), 3);
  EXPECT_GE (memb_load (runner, second), 2);
}

}
