#include <gtest/gtest.h>

#include <cstring>

#include "engine_headers.hh"

namespace
{
const int64_t S = 1000 * 1000;

class Authority : public ::testing::Test
{
protected:
  struct authority a = {};

  // Gives an event with the result RC and VALUE as lease and revision.
  // Returns the kind of the action.
  enum authority_action_kind
  send (enum authority_event_kind kind, int64_t now, int rc,
        uint64_t value = 0, const struct authority_record *record = nullptr)
  {
    struct authority_event ev
        = { kind, now, a.op, rc, value, value, record, { 1, 2 } };
    struct authority_action act;
    authority_handle (&a, &ev, &act);
    return act.kind;
  }

  // Advances to the creation of the key, at the time 0.
  void
  SetUp () override
  {
    authority_init (&a, "entry-1", 7);
    EXPECT_EQ (send (AUTHORITY_EV_TIME, 0, 0), AUTHORITY_DO_READ);
    EXPECT_EQ (send (AUTHORITY_EV_READ, 0, 0), AUTHORITY_DO_GRANT);
    EXPECT_EQ (send (AUTHORITY_EV_GRANTED, 0, 0, 5), AUTHORITY_DO_CAS);
  }
};

// Guards against a new holder that gives orders while an agent may still act
// on a read made under the previous holder.
TEST_F (Authority, WaitsBeforeTheFirstOrder)
{
  send (AUTHORITY_EV_CAS, 1 * S, 1, 42);
  send (AUTHORITY_EV_TIME, 3 * S - 1, 0);
  EXPECT_EQ (authority_token (&a, 3 * S - 1), 0u);
  send (AUTHORITY_EV_TIME, 3 * S, 0);
  EXPECT_EQ (authority_token (&a, 3 * S), 42u);
}

// Guards against orders within the margin after a slow renewal: the lease is
// valid from the sending of the renewal, not from its answer.
TEST_F (Authority, LeaseIsValidFromTheSending)
{
  send (AUTHORITY_EV_CAS, 0, 1, 42);
  EXPECT_EQ (send (AUTHORITY_EV_TIME, 2 * S, 0), AUTHORITY_DO_RENEW);
  send (AUTHORITY_EV_RENEWED, 7 * S, 1);
  EXPECT_EQ (authority_token (&a, 8 * S), 42u);
  EXPECT_EQ (authority_token (&a, 8 * S + 1), 0u);
  EXPECT_EQ (send (AUTHORITY_EV_TIME, 12 * S, 0), AUTHORITY_DO_STOP);
  EXPECT_EQ (a.state, AUTHORITY_LOST);
}

// Guards against orders after the lease may have expired, and against a long
// time without a holder after an outage in which the key-value service kept
// the lease: an accepted renewal restores the token, a refused one ends it.
TEST_F (Authority, RenewalAfterAnOutageDecides)
{
  struct authority_times times = authority_times_default;
  times.renew_after_expiry = 1;
  authority_times_set (&a, &times);
  send (AUTHORITY_EV_CAS, 0, 1, 42);
  EXPECT_EQ (send (AUTHORITY_EV_TIME, 2 * S, 0), AUTHORITY_DO_RENEW);
  EXPECT_EQ (send (AUTHORITY_EV_RENEWED, 3 * S, -1), AUTHORITY_DO_NOTHING);
  EXPECT_EQ (send (AUTHORITY_EV_TIME, 4 * S, 0), AUTHORITY_DO_RENEW);
  EXPECT_EQ (send (AUTHORITY_EV_RENEWED, 11 * S, -1), AUTHORITY_DO_STOP);
  EXPECT_EQ (authority_token (&a, 11 * S), 0u);
  EXPECT_EQ (send (AUTHORITY_EV_TIME, 20 * S, 0), AUTHORITY_DO_RENEW);
  EXPECT_EQ (authority_token (&a, 20 * S), 0u);
  struct authority renewing = a;
  EXPECT_EQ (send (AUTHORITY_EV_RENEWED, 20 * S, 0), AUTHORITY_DO_STOP);
  EXPECT_EQ (a.state, AUTHORITY_LOST);
  a = renewing;
  EXPECT_EQ (send (AUTHORITY_EV_RENEWED, 20 * S, 1), AUTHORITY_DO_READ);
  EXPECT_EQ (authority_token (&a, 20 * S), 42u);
  EXPECT_EQ (send (AUTHORITY_EV_READ, 20 * S, 1, 43), AUTHORITY_DO_STOP);
  EXPECT_EQ (authority_token (&a, 20 * S), 0u);
}

// Guards against a holder that gives orders after its lease expired, or after
// its key was removed while the lease is still valid.
TEST_F (Authority, LosesTheKeyWhenTheLeaseHasExpired)
{
  send (AUTHORITY_EV_CAS, 0, 1, 42);
  send (AUTHORITY_EV_TIME, 2 * S, 0);
  struct authority renewing = a;
  EXPECT_EQ (send (AUTHORITY_EV_RENEWED, 2 * S, 0), AUTHORITY_DO_STOP);
  EXPECT_EQ (authority_token (&a, 2 * S), 0u);
  a = renewing;
  EXPECT_EQ (send (AUTHORITY_EV_RENEWED, 2 * S, 1), AUTHORITY_DO_READ);
  EXPECT_EQ (send (AUTHORITY_EV_READ, 2 * S, 1, 42), AUTHORITY_DO_NOTHING);
  EXPECT_EQ (authority_token (&a, 2 * S), 42u);
  EXPECT_EQ (send (AUTHORITY_EV_TIME, 5 * S, 0), AUTHORITY_DO_RENEW);
  EXPECT_EQ (send (AUTHORITY_EV_RENEWED, 5 * S, 1), AUTHORITY_DO_READ);
  EXPECT_EQ (send (AUTHORITY_EV_READ, 5 * S, 0), AUTHORITY_DO_STOP);
}

// Guards against mistaking a creation whose answer was lost for a failed one,
// or the key of another entry for the own one.
TEST_F (Authority, FindsALostCreationByItsWriteId)
{
  struct authority_record rec = { "entry-1", 7, { 1, 2 }, 5 };

  EXPECT_EQ (send (AUTHORITY_EV_CAS, 0, -1), AUTHORITY_DO_READ);
  struct authority lost = a;
  send (AUTHORITY_EV_READ, 0, 1, 43, &rec);
  EXPECT_EQ (a.state, AUTHORITY_WAITING);
  EXPECT_EQ (a.token, 43u);
  a = lost;
  rec.write_id.lo = 3;
  send (AUTHORITY_EV_READ, 0, 1, 43, &rec);
  EXPECT_EQ (a.state, AUTHORITY_FOLLOWER);
}

// Guards against two holders that have the same write_id because their
// processes started at the same time and drew the same random bits.
TEST_F (Authority, KeyOfAnotherHolderWithTheSameWriteIdIsNotItsOwn)
{
  struct authority_record rec = { "entry-2", 7, { 1, 2 }, 5 };

  EXPECT_EQ (send (AUTHORITY_EV_CAS, 0, -1), AUTHORITY_DO_READ);
  send (AUTHORITY_EV_READ, 0, 1, 43, &rec);
  EXPECT_EQ (a.state, AUTHORITY_FOLLOWER);
}

// Guards against taking the late result of an earlier operation for that of
// the current one.
TEST_F (Authority, IgnoresResultsOfOtherOperations)
{
  send (AUTHORITY_EV_CAS, 0, 1, 42);
  EXPECT_EQ (send (AUTHORITY_EV_TIME, 0, 0), AUTHORITY_DO_RENEW);
  struct authority_event late
      = { AUTHORITY_EV_RENEWED, 0, a.op - 1, 0, 0, 0, nullptr, {} };
  struct authority_action act;
  authority_handle (&a, &late, &act);
  EXPECT_EQ (act.kind, AUTHORITY_DO_NOTHING);
  EXPECT_EQ (a.state, AUTHORITY_WAITING);
}

// Guards against a record that loses a field, and against accepting invalid
// input.
TEST (AuthorityRecord, RoundTripAndInvalidInput)
{
  struct authority_record rec = { "e", UINT64_MAX, { 1, UINT64_MAX }, 9 };
  struct authority_record got;
  struct err err = {};
  char buf[AUTHORITY_RECORD_MAX_BYTES];
  int n = authority_record_encode (&rec, buf, sizeof buf, &err);

  ASSERT_GT (n, 0);
  ASSERT_EQ (authority_record_decode (buf, n, &got, &err), 0);
  EXPECT_STREQ (got.holder, "e");
  EXPECT_EQ (got.incarnation, UINT64_MAX);
  EXPECT_TRUE (msg_id_equal (got.write_id, rec.write_id));
  EXPECT_EQ (got.lease, 9u);
  EXPECT_EQ (authority_record_encode (&rec, buf, 8, &err), -1);
  for (const char *bad : { "", "[]", "{}", "{\"holder\":\"e\"}", "nul" })
    EXPECT_EQ (authority_record_decode (bad, strlen (bad), &got, &err), -1)
        << bad;
}
}

// Guards against a fleet in which all entries poll every shard often, and
// against ranks that differ between processes.
TEST (AuthorityRank, PollsLessOftenFromAnotherZone)
{
  const char *peers[]
      = { "127.0.2.1:8001", "127.0.2.2:8001", "127.0.2.3:8001" };
  const char *rotated[] = { peers[2], peers[0], peers[1] };
  unsigned places = 0;
  struct authority home = {}, first = {}, last = {}, unlisted = {};

  for (auto peer : peers)
    {
      size_t place = authority_rank ("zone-1", peer, peers, 3);
      EXPECT_EQ (place, authority_rank ("zone-1", peer, rotated, 3));
      places |= 1u << place;
    }
  EXPECT_EQ (places, 7u);
  EXPECT_EQ (authority_rank ("zone-1", "127.0.2.9:8001", peers, 3), 3u);
  authority_rank_set (&home, 1, 2, 64);
  authority_rank_set (&first, 0, 0, 64);
  authority_rank_set (&last, 0, 63, 64);
  authority_rank_set (&unlisted, 0, 64, 64);
  EXPECT_LT (home.poll_us, first.poll_us);
  EXPECT_LT (first.poll_us, last.poll_us);
  EXPECT_LT (last.poll_us, unlisted.poll_us);
  EXPECT_EQ (home.wait_us, 0);
  EXPECT_GT (first.wait_us, home.poll_us);
  authority_rank_set (&first, 0, 0, 0);
  EXPECT_LT (first.poll_us, AUTHORITY_POLL_UNLISTED_US);
}

// Guards against an entry of another zone that acquires a shard while entries
// of its zone run, and against a shard without a holder when none do.
TEST (AuthorityRank, OtherZoneAcquiresOnlyAfterALongAbsence)
{
  struct authority a;
  struct authority_action act;
  int64_t now = 0;
  auto read = [&] (int rc) {
    struct authority_event ev = {};
    ev.now_us = now;
    authority_handle (&a, &ev, &act);
    EXPECT_EQ (act.kind, AUTHORITY_DO_READ);
    ev.kind = AUTHORITY_EV_READ;
    ev.op = act.op;
    ev.rc = rc;
    authority_handle (&a, &ev, &act);
    now = a.next_us;
    return act.kind;
  };

  authority_init (&a, "entry-1", 7);
  authority_rank_set (&a, 0, 0, 3);
  EXPECT_EQ (read (0), AUTHORITY_DO_NOTHING);
  EXPECT_EQ (now, a.wait_us);
  EXPECT_EQ (read (1), AUTHORITY_DO_NOTHING);
  EXPECT_EQ (read (0), AUTHORITY_DO_NOTHING);
  EXPECT_EQ (read (0), AUTHORITY_DO_GRANT);
}
