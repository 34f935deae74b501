// Records of the versions that began streams.
#include <gtest/gtest.h>
#include <string>

extern "C"
{
#include "origin.h"
}

namespace
{

class Origin : public testing::Test
{
protected:
  struct origin *o = origin_new ();

  void
  TearDown () override
  {
    origin_free (o);
  }
};

// Guards against a version that is forgotten while its streams may still be
// taken up, and against one that is remembered for ever.
TEST_F (Origin, VersionsAreKeptForTheLifeOfAStream)
{
  EXPECT_EQ (origin_only_build (o, "s"), nullptr);
  origin_note_build (o, "s", "v1", 1, 0);
  origin_note_build (o, "other", "v7", 1, 0);
  EXPECT_STREQ (origin_only_build (o, "s"), "v1");
  origin_note_build (o, "s", "v2", 0, 30000000);
  EXPECT_EQ (origin_only_build (o, "s"), nullptr);
  EXPECT_EQ (origin_seen (o), 2U);
  origin_expire (o, ORIGIN_LIFE_US);
  EXPECT_EQ (origin_builds (o, "s"), 2U);
  origin_expire (o, ORIGIN_LIFE_US + 1);
  EXPECT_STREQ (origin_only_build (o, "s"), "v2");
  EXPECT_EQ (origin_only_build (o, "other"), nullptr);
}

// Guards against memory that grows with the streams, and against a record that
// a later one replaces.
TEST_F (Origin, RecordsAreBounded)
{
  origin_note_stream (o, "first", "v1", 1);
  origin_note_stream (o, "first", "v2", 2);
  EXPECT_STREQ (origin_find (o, "first"), "v1");
  for (int i = 0; i < ORIGIN_STREAMS_MAX; i++)
    origin_note_stream (o, std::to_string (i).c_str (), "v2", 3);
  EXPECT_EQ (origin_find (o, "first"), nullptr);
  EXPECT_STREQ (origin_find (o, "0"), "v2");
  origin_expire (o, ORIGIN_LIFE_US + 4);
  EXPECT_EQ (origin_find (o, "0"), nullptr);
}

// Guards against records that can't be read back, and against odd ones that
// another writer left.
TEST_F (Origin, RecordsAreReadAsTheyWereWritten)
{
  GString *text = g_string_new (nullptr);
  origin_write_stream (text, "a", "v1");
  origin_write_stream (text, "b", "v2.0-rc1");
  g_string_append (text, "zz\n0123456789abcdef\n0123456789abcdef \n"
                         "0123456789abcdeX v1\n0123456789abcdef v 1\n"
                         "0123456789abcdef v1");
  EXPECT_EQ (origin_read_streams (o, text->str, text->len, 1), 6U);
  EXPECT_STREQ (origin_find (o, "a"), "v1");
  EXPECT_STREQ (origin_find (o, "b"), "v2.0-rc1");
  g_string_truncate (text, 0);
  origin_write_build (text, "s", "v1");
  EXPECT_EQ (origin_read_build (o, text->str, text->len, 1), 0);
  EXPECT_STREQ (origin_only_build (o, "s"), "v1");
  for (std::string bad :
       { std::string (""), std::string ("s"), std::string (" v1"),
         std::string ("s "), std::string ("s v 2"),
         "s " + std::string (64, 'x'), std::string ("s\0 v2", 5) })
    EXPECT_EQ (origin_read_build (o, bad.data (), bad.size (), 1), -1) << bad;
  EXPECT_EQ (origin_builds (o, "s"), 1U);
  g_string_free (text, TRUE);
}

}
