#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

extern "C"
{
#include "goldcresthatch/call.h"
}

namespace
{
struct call_record
claim (uint64_t id, uint64_t fingerprint = 5)
{
  struct call_record r = {};

  r.fingerprint = fingerprint;
  r.attempt = { 0, id };
  snprintf (r.agent, sizeof r.agent, "agent");
  r.incarnation = ~UINT64_C (0);
  r.window = 3;
  snprintf (r.entry, sizeof r.entry, "entry");
  return r;
}

class Call : public ::testing::Test
{
protected:
  struct call call;
  struct call_action act = {};
  struct call_record other = claim (2);
  std::string body = std::string ("a\0\xff", 3);
  struct call_result result = { 200, "text/plain", &body[0], body.size (), 0 };

  Call ()
  {
    const struct call_record own = claim (1);
    call_init (&call, &own);
  }
  ~Call () override { call_clear (&call); }

  enum call_action_kind
  step (struct call_event event)
  {
    call_step (&call, &event, &act);
    return act.kind;
  }
  enum call_action_kind
  step (enum call_event_kind kind, uint64_t revision = 0)
  {
    struct call_event event = {};
    event.kind = kind;
    event.revision = revision;
    return step (event);
  }
  enum call_action_kind
  read (const struct call_record &record, uint64_t revision)
  {
    struct call_event event = {};
    event.kind = CALL_EV_READ_DONE;
    event.record = &record;
    event.revision = revision;
    return step (event);
  }
  enum call_action_kind
  end (enum msg_outcome outcome)
  {
    struct call_event event = {};
    event.kind = CALL_EV_END;
    event.attempt = { 0, 1 };
    event.end_outcome = outcome;
    event.result = &result;
    return step (event);
  }
  enum call_action_kind
  voided (uint64_t id, enum msg_void_state state)
  {
    struct call_event event = {};
    event.kind = CALL_EV_VOIDED;
    event.attempt = { 0, id };
    event.void_state = state;
    event.result = &result;
    return step (event);
  }
  void
  send ()
  {
    ASSERT_EQ (step (CALL_EV_START), CALL_ACT_WRITE);
    ASSERT_EQ (act.prev, 0u);
    ASSERT_EQ (step (CALL_EV_WRITE_DONE, 10), CALL_ACT_SEND);
  }
  void
  answered (enum call_outcome outcome)
  {
    EXPECT_TRUE (act.answer);
    EXPECT_EQ (act.outcome, outcome);
  }
  void
  writes (enum call_record_state state, uint64_t prev)
  {
    ASSERT_EQ (act.kind, CALL_ACT_WRITE);
    EXPECT_EQ (act.record->state, state);
    EXPECT_EQ (act.prev, prev);
  }
};
}

// Guards against a record that changes between encoding and decoding.
TEST_F (Call, RecordRoundTrip)
{
  struct call_record in = claim (1);
  struct call_record out;
  char *text;

  in.state = CALL_DONE;
  in.result = result;
  ASSERT_EQ (call_record_encode (&in, &text, nullptr), 0);
  ASSERT_EQ (call_record_decode (text, strlen (text), &out, nullptr), 0);
  EXPECT_EQ (out.incarnation, in.incarnation);
  EXPECT_TRUE (msg_id_equal (out.attempt, in.attempt));
  EXPECT_EQ (std::string (out.result.body, out.result.size), body);
  call_record_clear (&out);
  // Every truncated text and a repeated one must be refused.
  for (size_t n = 0; n < strlen (text); n++)
    EXPECT_EQ (call_record_decode (text, n, &out, nullptr), -1) << n;
  const std::string twice = std::string (text) + text;
  EXPECT_EQ (call_record_decode (twice.data (), twice.size (), &out, nullptr),
             -1);
  free (text);
}

// Guards against decoding a damaged record as a valid one.
TEST_F (Call, RecordDecodeIsStrict)
{
  struct call_record in = claim (1);
  struct call_record out;
  char *text;
  const char *const changes[][2] = {
    { "\"claimed\"", "\"taken\"" },
    { "\"claimed\"", "\"done\"" },
    { "\"claimed\"", "1" },
    { "\"version\":1", "\"version\":2" },
    { "\"window\"", "\"windows\"" },
    { "0000000000000003", "3" },
    { "{", "{\"more\":1," },
    { "\"entry\":\"entry\"", "\"entry\":null" },
  };

  ASSERT_EQ (call_record_encode (&in, &text, nullptr), 0);
  const std::string good = text;
  free (text);
  for (const auto &change : changes)
    {
      std::string bad = good;
      bad.replace (bad.find (change[0]), strlen (change[0]), change[1]);
      EXPECT_EQ (call_record_decode (bad.data (), bad.size (), &out, nullptr),
                 -1)
          << bad;
    }
}

// Guards against an answer that waits for the write of the record, and against
// a record that is not written when a write fails.
TEST_F (Call, DoneAnswersBeforeTheRecordIsWritten)
{
  send ();
  end (MSG_OUTCOME_DONE);
  answered (CALL_OUTCOME_DONE);
  writes (CALL_DONE, 10);
  EXPECT_EQ (step (CALL_EV_WRITE_LOST), CALL_ACT_WAIT);
  EXPECT_FALSE (act.answer);
  EXPECT_EQ (step (CALL_EV_RETRY), CALL_ACT_WRITE);
  EXPECT_EQ (step (CALL_EV_WRITE_CONFLICT), CALL_ACT_READ);
  other = claim (1);
  other.state = CALL_UNKNOWN;
  read (other, 11);
  writes (CALL_DONE, 11);
  EXPECT_EQ (step (CALL_EV_WRITE_DONE, 12), CALL_ACT_FINISHED);
}

// Guards against sending the call never or twice when the answer to the write
// of the claim is lost.
TEST_F (Call, LostClaimIsFoundByItsAttempt)
{
  step (CALL_EV_START);
  EXPECT_EQ (step (CALL_EV_WRITE_LOST), CALL_ACT_READ);
  EXPECT_EQ (step (CALL_EV_READ_ABSENT), CALL_ACT_WRITE);
  EXPECT_EQ (step (CALL_EV_WRITE_CONFLICT), CALL_ACT_READ);
  EXPECT_EQ (read (claim (1), 4), CALL_ACT_SEND);
}

// Guards against "not run" while a write of the claim may still take effect.
TEST_F (Call, LostClaimAtTheDeadlineIsUnknownAndFreed)
{
  step (CALL_EV_START);
  step (CALL_EV_WRITE_LOST);
  EXPECT_EQ (step (CALL_EV_READ_FAILED), CALL_ACT_WAIT);
  step (CALL_EV_DEADLINE);
  answered (CALL_OUTCOME_UNKNOWN);
  writes (CALL_FREE, 0);
  step (CALL_EV_WRITE_CONFLICT);
  read (claim (1), 4);
  writes (CALL_FREE, 4);
}

// Guards against "not run" without proof, and against any other outcome with
// proof.
TEST_F (Call, NotRunOnlyWithProof)
{
  send ();
  EXPECT_EQ (step (CALL_EV_NO_ANSWER), CALL_ACT_VOID);
  EXPECT_EQ (voided (9, MSG_VOID_NEVER_RAN), CALL_ACT_NONE);
  voided (1, MSG_VOID_NEVER_RAN);
  EXPECT_FALSE (act.answer);
  writes (CALL_FREE, 10);
  step (CALL_EV_WRITE_DONE, 11);
  answered (CALL_OUTCOME_NOT_RUN);
}

// Guards against "not run" after a resend took over the claim and ran.
TEST_F (Call, RefusedAttemptFollowsTheTakeover)
{
  send ();
  end (MSG_OUTCOME_NOT_RUN);
  EXPECT_EQ (step (CALL_EV_WRITE_CONFLICT), CALL_ACT_READ);
  other.state = CALL_DONE;
  other.result = result;
  read (other, 12);
  answered (CALL_OUTCOME_DONE);
}

// Guards against another outcome than "not run" when the claim was refused.
TEST_F (Call, RefusedClaimIsNotRun)
{
  step (CALL_EV_START);
  EXPECT_EQ (step (CALL_EV_WRITE_REFUSED), CALL_ACT_FINISHED);
  answered (CALL_OUTCOME_NOT_RUN);
}

// Guards against an outcome other than unknown when the agent or the endpoint
// is lost after the call was sent.
TEST_F (Call, LossAfterSendIsUnknown)
{
  for (int i = 0; i < 4; i++)
    {
      const struct call_record own = claim (1);
      call_clear (&call);
      call_init (&call, &own);
      send ();
      if (i == 0)
        end (MSG_OUTCOME_CRASHED);
      else if (i == 1)
        voided (1, MSG_VOID_UNKNOWN);
      else
        step (i == 2 ? CALL_EV_AGENT_RESTARTED : CALL_EV_DEADLINE);
      answered (CALL_OUTCOME_UNKNOWN);
      writes (CALL_UNKNOWN, 10);
    }
}

// Guards against a resend that runs at the same time as the first attempt.
TEST_F (Call, ResendAsksThenTakesOver)
{
  step (CALL_EV_START);
  step (CALL_EV_WRITE_CONFLICT);
  EXPECT_EQ (read (other, 4), CALL_ACT_VOID);
  EXPECT_TRUE (msg_id_equal (act.record->attempt, other.attempt));
  EXPECT_EQ (voided (2, MSG_VOID_RUNNING), CALL_ACT_WAIT);
  EXPECT_EQ (step (CALL_EV_RETRY), CALL_ACT_READ);
  EXPECT_EQ (read (other, 4), CALL_ACT_VOID);
  voided (2, MSG_VOID_NEVER_RAN);
  writes (CALL_CLAIMED, 4);
  EXPECT_TRUE (msg_id_equal (act.record->attempt, { 0, 1 }));
}

// Guards against an answer that differs from the recorded outcome.
TEST_F (Call, RecordedOutcomeIsAnswered)
{
  const enum call_outcome outcomes[]
      = { CALL_OUTCOME_DONE, CALL_OUTCOME_UNKNOWN, CALL_OUTCOME_INVALID };

  for (enum call_outcome outcome : outcomes)
    {
      const struct call_record own
          = claim (1, outcome == CALL_OUTCOME_INVALID ? 6 : 5);
      call_clear (&call);
      call_init (&call, &own);
      step (CALL_EV_START);
      step (CALL_EV_WRITE_CONFLICT);
      other.state = outcome == CALL_OUTCOME_UNKNOWN ? CALL_UNKNOWN : CALL_DONE;
      EXPECT_EQ (read (other, 4), CALL_ACT_FINISHED);
      answered (outcome);
    }
}

// Guards against a result that is answered and then known to nobody, because a
// restored key-value service has lost the claim.
TEST_F (Call, ResultIsRecordedWithoutTheLostClaim)
{
  send ();
  ASSERT_EQ (end (MSG_OUTCOME_DONE), CALL_ACT_WRITE);
  answered (CALL_OUTCOME_DONE);
  ASSERT_EQ (step (CALL_EV_WRITE_CONFLICT), CALL_ACT_READ);
  step (CALL_EV_READ_ABSENT);
  writes (CALL_DONE, 0);
  EXPECT_EQ (step (CALL_EV_WRITE_DONE, 3), CALL_ACT_FINISHED);
}
