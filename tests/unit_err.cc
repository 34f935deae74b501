#include <gtest/gtest.h>

extern "C"
{
#include "goldcresthatch/err.h"
}

// Guards against an error that loses the step or the peer at which it arose.
TEST (Err, CarriesStepAndPeer)
{
  struct err err = {};

  EXPECT_EQ (
      err_set (&err, ERR_TIMEOUT, "claim", "10.0.0.1", "after %d ms", 500),
      -1);
  EXPECT_EQ (err.code, ERR_TIMEOUT);
  EXPECT_STREQ (err.step, "claim");
  EXPECT_STREQ (err.peer, "10.0.0.1");
  EXPECT_STREQ (err.text, "after 500 ms");
}

// Guards against a code without a name in the table.
TEST (Err, NamesEveryCode)
{
  for (int code = 0; code < ERR_CODE_MAX; code++)
    EXPECT_NE (err_code_name (static_cast<enum err_code> (code)), nullptr);
}
