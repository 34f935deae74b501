#include <gtest/gtest.h>
#include <map>

extern "C"
{
#include "goldcresthatch/slotmap.h"
}

// Guards against an old handle that reaches the object now in its slot.
TEST (Slotmap, OldHandleFindsNothing)
{
  int a;
  int b;
  struct slotmap *slotmap = slotmap_new (1);
  uint64_t first = slotmap_add (slotmap, &a);
  EXPECT_EQ (slotmap_remove (slotmap, first), &a);
  uint64_t second = slotmap_add (slotmap, &b);
  EXPECT_NE (first, second);
  EXPECT_EQ (slotmap_get (slotmap, first), nullptr);
  EXPECT_EQ (slotmap_remove (slotmap, first), nullptr);
  EXPECT_EQ (slotmap_get (slotmap, second), &b);
  EXPECT_EQ (slotmap_get (slotmap, 0), nullptr);
  EXPECT_EQ (slotmap_get (slotmap, UINT64_MAX), nullptr);
  slotmap_free (slotmap);
}

// Guards against a table that exceeds its capacity, or that can't reuse a slot
// after it was full.
TEST (Slotmap, RefusesWhenFull)
{
  int a;
  struct slotmap *slotmap = slotmap_new (20);
  uint64_t handle = 0;
  for (int i = 0; i < 20; i++)
    EXPECT_NE (handle = slotmap_add (slotmap, &a), 0U);
  EXPECT_EQ (slotmap_add (slotmap, &a), 0U);
  slotmap_remove (slotmap, handle);
  EXPECT_NE (slotmap_add (slotmap, &a), 0U);
  EXPECT_EQ (slotmap_count (slotmap), 20U);
  slotmap_free (slotmap);
}

// Guards against objects that are lost, duplicated or skipped after many
// additions and removals; std::map is the reference.
TEST (Slotmap, AgreesWithAMap)
{
  static int objects[64];
  std::map<uint64_t, void *> model;
  struct slotmap *slotmap = slotmap_new (64);
  unsigned random = 1;
  for (int step = 0; step < 20000; step++)
    {
      random = random * 1664525 + 1013904223;
      if (random >> 31 && model.size () < 64)
        {
          void *object = &objects[random >> 8 & 63];
          uint64_t handle = slotmap_add (slotmap, object);
          ASSERT_TRUE (model.emplace (handle, object).second);
        }
      else if (!model.empty ())
        {
          auto it = std::next (model.begin (), (random >> 8) % model.size ());
          ASSERT_EQ (slotmap_remove (slotmap, it->first), it->second);
          model.erase (it);
        }
      ASSERT_EQ (slotmap_count (slotmap), model.size ());
    }
  size_t visited = 0;
  for (uint64_t h = 0; (h = slotmap_next (slotmap, h)) != 0; visited++)
    ASSERT_EQ (slotmap_get (slotmap, h), model.at (h));
  EXPECT_EQ (visited, model.size ());
  slotmap_free (slotmap);
}
