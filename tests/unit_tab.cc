#include <gtest/gtest.h>
#include <map>

extern "C"
{
#include "goldcresthatch/tab.h"
}

// Guards against an old handle that reaches the object now in its slot.
TEST (Tab, OldHandleFindsNothing)
{
  int a;
  int b;
  struct tab *tab = tab_new (1);
  uint64_t first = tab_add (tab, &a);
  EXPECT_EQ (tab_remove (tab, first), &a);
  uint64_t second = tab_add (tab, &b);
  EXPECT_NE (first, second);
  EXPECT_EQ (tab_get (tab, first), nullptr);
  EXPECT_EQ (tab_remove (tab, first), nullptr);
  EXPECT_EQ (tab_get (tab, second), &b);
  EXPECT_EQ (tab_get (tab, 0), nullptr);
  EXPECT_EQ (tab_get (tab, UINT64_MAX), nullptr);
  tab_free (tab);
}

// Guards against a table that grows beyond its capacity, or that can't use a
// slot again after having been full.
TEST (Tab, RefusesWhenFull)
{
  int a;
  struct tab *tab = tab_new (20);
  uint64_t handle = 0;
  for (int i = 0; i < 20; i++)
    EXPECT_NE (handle = tab_add (tab, &a), 0U);
  EXPECT_EQ (tab_add (tab, &a), 0U);
  tab_remove (tab, handle);
  EXPECT_NE (tab_add (tab, &a), 0U);
  EXPECT_EQ (tab_count (tab), 20U);
  tab_free (tab);
}

// Guards against objects lost, doubled or skipped over many additions and
// removals, against a plain map.
TEST (Tab, AgreesWithAMap)
{
  static int objects[64];
  std::map<uint64_t, void *> model;
  struct tab *tab = tab_new (64);
  unsigned random = 1;
  for (int step = 0; step < 20000; step++)
    {
      random = random * 1664525 + 1013904223;
      if (random >> 31 && model.size () < 64)
        {
          void *object = &objects[random >> 8 & 63];
          uint64_t handle = tab_add (tab, object);
          ASSERT_TRUE (model.emplace (handle, object).second);
        }
      else if (!model.empty ())
        {
          auto it = std::next (model.begin (), (random >> 8) % model.size ());
          ASSERT_EQ (tab_remove (tab, it->first), it->second);
          model.erase (it);
        }
      ASSERT_EQ (tab_count (tab), model.size ());
    }
  size_t met = 0;
  for (uint64_t h = 0; (h = tab_next (tab, h)) != 0; met++)
    ASSERT_EQ (tab_get (tab, h), model.at (h));
  EXPECT_EQ (met, model.size ());
  tab_free (tab);
}
