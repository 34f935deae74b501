#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdio>
#include <deque>
#include <memory>
#include <vector>

extern "C"
{
#include "goldcresthatch/attempt.h"
}

namespace
{
constexpr int HISTORIES = 25; // in one case
constexpr int STEPS = 200;    // in one history

// The reference: a service that counts the runs under the key.
struct service
{
  unsigned runs = 0;
  uint64_t finished = 0; // attempt whose result was delivered
};

// The key-value service with one key, whose value is the encoded record.
struct store
{
  std::string text;
  uint64_t revision = 0;

  bool
  cas (uint64_t prev, const std::string &value)
  {
    if (revision != prev)
      return false;
    text = value;
    revision++;
    return true;
  }
};

struct request
{
  struct call call = {};
  struct call_action act = {};
  uint64_t id = 0;
  uint64_t incarnation = 0, window = 0;
  bool crashed = false, sent = false, not_run = false;
  enum call_outcome outcome = CALL_OUTCOME_NONE;

  ~request () { call_clear (&call); }
};

struct late_write
{
  uint64_t prev;
  std::string value;
};

class simulation
{
  struct store kv;
  struct service service;
  std::vector<std::unique_ptr<request>> requests;
  std::vector<late_write> late_writes;
  std::deque<uint64_t> calls; // attempts whose CALL is in transit
  uint64_t incarnation = 1;
  int64_t now = 0;
  struct attempt_table *table
      = attempt_new (incarnation, ATTEMPT_WINDOW_DEFAULT_US, 0);

  static int
  below (int n)
  {
    // Drawn at nominal size, since small sizes would draw only the first
    // choices.  Not shrunk, since shrinking thousands of draws takes minutes.
    return *rc::gen::noShrink (
        rc::gen::resize (rc::kNominalSize, rc::gen::inRange (0, n)));
  }

  void
  step (request &r, struct call_event event)
  {
    struct call_action act;

    call_step (&r.call, &event, &act);
    if (act.answer)
      check_answer (r, act);
    if (act.kind != CALL_ACT_NONE)
      r.act = act;
  }

  void
  step (request &r, enum call_event_kind kind, uint64_t revision = 0)
  {
    struct call_event event = {};
    event.kind = kind;
    event.revision = revision;
    step (r, event);
  }

  // "Not run" applies to the key once the own attempt provably can't run;
  // after a refused claim it applies to that request only.
  void
  check_answer (request &r, const struct call_action &act)
  {
    RC_ASSERT (r.outcome == CALL_OUTCOME_NONE);
    r.outcome = act.outcome;
    if (act.outcome == CALL_OUTCOME_NOT_RUN)
      {
        r.not_run = true;
        RC_ASSERT (!r.call.own_barred || service.runs == 0u);
      }
    if (act.outcome == CALL_OUTCOME_DONE)
      RC_ASSERT (act.result->status == service.finished);
    RC_ASSERT (act.outcome != CALL_OUTCOME_INVALID);
  }

  void
  write (request &r)
  {
    char *text = nullptr;
    const uint64_t prev = r.act.prev;

    RC_ASSERT (call_record_encode (r.act.record, &text, nullptr) == 0);
    const std::string value = text;
    free (text);
    switch (below (6))
      {
      case 0:
        late_writes.push_back ({ prev, value });
        return step (r, CALL_EV_WRITE_LOST);
      case 1:
        kv.cas (prev, value);
        return step (r, CALL_EV_WRITE_LOST);
      case 2:
        return step (r, CALL_EV_WRITE_REFUSED);
      default:
        if (kv.cas (prev, value))
          step (r, CALL_EV_WRITE_DONE, kv.revision);
        else
          step (r, CALL_EV_WRITE_CONFLICT);
      }
  }

  void
  read (request &r)
  {
    struct call_event event = {};
    struct call_record record;

    if (below (5) == 0)
      return step (r, CALL_EV_READ_FAILED);
    if (kv.revision == 0)
      return step (r, CALL_EV_READ_ABSENT);
    RC_ASSERT (
        call_record_decode (kv.text.data (), kv.text.size (), &record, nullptr)
        == 0);
    event.kind = CALL_EV_READ_DONE;
    event.record = &record;
    event.revision = kv.revision;
    step (r, event);
    call_record_clear (&record);
  }

  void
  send (request &r)
  {
    RC_ASSERT (!r.sent);
    r.act.kind = CALL_ACT_NONE;
    if (below (4) == 0)
      return step (r, CALL_EV_SEND_FAILED);
    r.sent = true;
    calls.push_back (r.id);
  }

  void
  send_void (request &r)
  {
    const struct call_record record = *r.act.record;
    struct call_event event = {};

    event.kind = CALL_EV_VOIDED;
    event.attempt = record.attempt;
    event.void_state = attempt_void (table, record.attempt, record.incarnation,
                                     record.window, now, &event.result);
    r.act.kind = CALL_ACT_NONE;
    if (below (4) == 0)
      step (r, CALL_EV_NO_ANSWER);
    else
      step (r, event);
  }

  void
  entry_step (request &r)
  {
    if (r.crashed)
      return;
    // A deadline passes only between key-value operations.
    const bool in_kv
        = r.act.kind == CALL_ACT_WRITE || r.act.kind == CALL_ACT_READ;
    if (!in_kv && r.outcome == CALL_OUTCOME_NONE && below (25) == 0)
      return step (r, CALL_EV_DEADLINE);
    switch (r.act.kind)
      {
      case CALL_ACT_WRITE:
        return write (r);
      case CALL_ACT_READ:
        return read (r);
      case CALL_ACT_SEND:
        return send (r);
      case CALL_ACT_VOID:
        return send_void (r);
      case CALL_ACT_WAIT:
        return step (r, CALL_EV_RETRY);
      default:
        if (r.sent && below (3) == 0)
          step (r, CALL_EV_NO_ANSWER);
      }
  }

  void
  end (uint64_t id, enum msg_outcome outcome, struct call_result *result)
  {
    request &r = *requests[id - 1];
    struct call_event event = {};

    event.kind = CALL_EV_END;
    event.attempt = { 0, id };
    event.end_outcome = outcome;
    event.result = result;
    if (!r.crashed && below (3) != 0 && r.act.kind == CALL_ACT_NONE)
      step (r, event);
  }

  // Delivers one CALL; the run may end at once or go on.
  void
  agent_step ()
  {
    if (calls.empty ())
      return;
    const uint64_t id = calls.front ();
    const request &r = *requests[id - 1];
    calls.pop_front ();
    const enum attempt_admit admit
        = attempt_admit (table, { 0, id }, r.incarnation, r.window, now);
    if (admit == ATTEMPT_ADMITTED)
      {
        RC_ASSERT (++service.runs == 1u);
        RC_ASSERT (!r.not_run);
      }
    else if (admit != ATTEMPT_DUPLICATE)
      end (id, MSG_OUTCOME_NOT_RUN, nullptr);
  }

  // Ends the run of attempt ID, if it runs.  The status is the attempt id.
  void
  finish_step (uint64_t id)
  {
    char body[] = "booked";
    struct call_result result
        = { static_cast<unsigned> (id), "", body, sizeof body, 0 };

    if (attempt_finish (table, { 0, id }, MSG_OUTCOME_DONE, &result, now) < 0)
      return;
    service.finished = id;
    end (id, MSG_OUTCOME_DONE, &result);
  }

  void
  restart ()
  {
    attempt_free (table);
    table = attempt_new (++incarnation, ATTEMPT_WINDOW_DEFAULT_US, now);
  }

  void
  start ()
  {
    if (requests.size () == 5)
      return;
    requests.push_back (std::make_unique<request> ());
    request &r = *requests.back ();
    struct call_record claim = {};

    r.id = requests.size ();
    r.incarnation = claim.incarnation = incarnation;
    r.window = claim.window = attempt_window (table, now);
    claim.attempt = { 0, r.id };
    call_init (&r.call, &claim);
    step (r, CALL_EV_START);
  }

  void
  late_step ()
  {
    if (late_writes.empty ())
      return;
    kv.cas (late_writes.back ().prev, late_writes.back ().value);
    late_writes.pop_back ();
  }

public:
  ~simulation () { attempt_free (table); }

  void
  random_step ()
  {
    const int choice = below (80);

    if (choice < 3 || requests.empty ())
      return start ();
    const int which = below (static_cast<int> (requests.size ()));
    if (choice < 54)
      entry_step (*requests[which]);
    else if (choice < 65)
      agent_step ();
    else if (choice < 71)
      finish_step (which + 1);
    else if (choice < 76)
      late_step ();
    else if (choice == 76)
      requests[which]->crashed = true;
    else if (choice == 77)
      restart ();
    else if (choice == 78)
      attempt_crash (table, now);
    else
      now += below (2) == 0 ? ATTEMPT_WINDOW_DEFAULT_US
                            : ATTEMPT_RETENTION_US / 2;
  }
};
}

// Guards against a call that runs twice, "not run" for a call that ran or runs
// later, and an answer other than the result of the run, under any order of
// lost answers, crashes, restarts, late messages and resends.
RC_GTEST_PROP (CallHistory, KeepsInvariants, ())
{
  // One in several hundred histories reaches a dropped record or a claim taken
  // over during FREE, so each case runs many histories.
  for (int h = 0; h < HISTORIES; h++)
    {
      simulation w;

      for (int i = 0; i < STEPS; i++)
        w.random_step ();
    }
}
