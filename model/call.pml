/* At-most-once execution for one idempotency key: a call at one entry, a
   resend at another and, with N = 3, a further resend after both; one agent
   that may restart; and a key-value service whose answers may be lost.

   An entry may pause before each step and crash after it.  Any operation on
   the service may fail at any time, which covers outages of any length.

   -DNO_GUARD_x removes one guard; the model must then fail:
     INCARNATION  the agent refuses a call for another incarnation
     WINDOW       the agent refuses a call of an old window
     VOID         a voided attempt is barred from running later
     CREATE       a claim needs the revision that its request last saw
     FREE         "not run" is answered only after FREE has been written
     DROPPED      an attempt whose record may have been dropped is unknown  */

#ifndef N
#define N 3 /* requests; the attempt of request i is i */
#endif
#ifndef WINDOW_MAX
#define WINDOW_MAX 3 /* the third makes the first one too old */
#endif
#ifndef INC_MAX
#define INC_MAX 2 /* one restart of the agent */
#endif

#define ABSENT 0
#define CLAIMED 1
#define DONE 2
#define UNKNOWN 3
#define FREE 4

#define BARRED 1
#define RUNNING 2
#define RAN 3
#define CRASHED 4

#define OK 0
#define CONFLICT 1
#define LOST 2
#define REFUSED 3

#define V_NEVER 0
#define V_RUNNING 1
#define V_DONE 2
#define V_UNKNOWN 3

#define START 0
#define CLAIM 1
#define READ 2
#define SEND 3
#define SENT 4
#define VOID_OTHER 5
#define WRITE_FREE 6
#define RECORD 7
#define FINISHED 8

#define E_DONE 1
#define E_NOT_RUN 2
#define E_UNKNOWN 3

/* State of the claim record, and the attempt that it names.  */
byte rec_state, rec_att;

/* Whether the revision that each request last read is still the current one.
   The model needs no more of a revision.  Any write makes the revisions of all
   other requests old.  */
bool current[N];

/* A claim whose answer was lost and which may take effect later.  FREE and the
   writes of an outcome need no such state: they are repeated unchanged, so a
   late effect is the same as a pause before a write whose answer is lost.  */
bool late_claim[N];

byte pc[N]; /* the step that each request takes next */

byte inc = 1, win = 1, dropped;
byte attempt_state[N];       /* the agent's table of attempts */
byte att_inc[N], att_win[N]; /* incarnation and window of each attempt */
bool call_msg[N];            /* a CALL message is in transit */
byte end_msg[N];             /* result in an END message in transit */

byte runs;       /* number of runs under the key */
byte finished;   /* 1 + the attempt that finished */
bool not_run[N]; /* "not run" was answered while CALL was in transit */

/* Used within one atomic step only, so not part of the state.  */
hidden byte r, v, n;

inline apply (st, att)
{
  assert (rec_state != DONE);
  rec_state = st;
  rec_att = att;
  /* A write at an older revision can no longer take effect.  */
  for (n : 0 .. N - 1) { current[n] = false; late_claim[n] = false }
}

#ifdef NO_GUARD_CREATE
#define MATCHES (current[me] || first)
#else
#define MATCHES current[me]
#endif

inline write (st, att)
{
  if
  :: MATCHES -> apply (st, att); current[me] = true; r = OK
  :: MATCHES -> apply (st, att); r = LOST
  :: !MATCHES -> r = CONFLICT
  :: MATCHES && st == CLAIMED -> late_claim[me] = true; r = LOST
  :: r = LOST
  :: r = REFUSED
  fi
}

inline void_attempt (att)
{
  if
  :: att_inc[att] != inc -> v = V_UNKNOWN
  :: else ->
     if
     :: attempt_state[att] == BARRED -> v = V_NEVER
     :: attempt_state[att] == RUNNING -> v = V_RUNNING
     :: attempt_state[att] == RAN -> v = V_DONE
     :: attempt_state[att] == CRASHED -> v = V_UNKNOWN
     :: else ->
        if
#ifndef NO_GUARD_DROPPED
        :: att_win[att] <= dropped -> v = V_UNKNOWN
        :: att_win[att] > dropped && att_win[att] + 1 < win -> v = V_NEVER
#else
        :: att_win[att] + 1 < win -> v = V_NEVER
#endif
        :: else ->
#ifndef NO_GUARD_VOID
           attempt_state[att] = BARRED;
#endif
           v = V_NEVER
        fi
     fi
  fi
}

inline answer_not_run ()
{
  assert (runs == 0);
  not_run[me] = call_msg[me]
}

/* The result that is answered or recorded is that of the attempt that ran.  */
inline answer_done (att)
{
  assert (finished == att + 1)
}

inline record_outcome (st, att)
{
  next_state = st;
  next_att = att;
  pc[me] = RECORD
}

/* Claims again, or writes FREE when the request's own attempt can no longer
   run.  */
inline claim ()
{
  if
  :: own_barred -> pc[me] = WRITE_FREE
  :: else -> pc[me] = CLAIM
  fi
}

inline step_claim ()
{
  write (CLAIMED, me);
  if
  :: r == OK -> first = false; write_pending = false; pc[me] = SEND
  :: r == LOST -> write_pending = true; pc[me] = READ
  :: r == CONFLICT -> pc[me] = READ
  :: r == REFUSED && first && !write_pending ->
     /* Answered as "not run" for this request only.  */
     assert (!call_msg[me]);
     pc[me] = FINISHED
  :: r == REFUSED && (!first || write_pending) -> pc[me] = READ
  fi
}

inline step_read ()
{
  if
  :: skip /* the read fails and is repeated */
  :: write_pending -> record_outcome (FREE, me) /* the deadline passes */
  :: !write_pending -> pc[me] = FINISHED
  :: rec_state == ABSENT -> claim ()
  :: rec_state != ABSENT ->
     if
     :: !current[me] -> write_pending = false
     :: else
     fi;
     current[me] = true;
     first = false;
     if
     :: rec_state == DONE -> answer_done (rec_att); pc[me] = FINISHED
     :: rec_state == UNKNOWN -> pc[me] = FINISHED
     :: rec_state == FREE && own_barred -> answer_not_run (); pc[me] = FINISHED
     :: rec_state == FREE && !own_barred -> claim ()
     :: rec_state == CLAIMED && rec_att != me ->
        other = rec_att; pc[me] = VOID_OTHER
     :: rec_state == CLAIMED && rec_att == me && own_barred ->
        pc[me] = WRITE_FREE
     :: rec_state == CLAIMED && rec_att == me && !own_barred -> pc[me] = SEND
     fi
  fi
}

inline step_sent ()
{
  if
  :: end_msg[me] == E_DONE -> answer_done (me); record_outcome (DONE, me)
  :: end_msg[me] == E_NOT_RUN -> pc[me] = WRITE_FREE
  :: end_msg[me] == E_UNKNOWN -> record_outcome (UNKNOWN, me)
  :: void_attempt (me);
     if
     :: skip /* VOID took effect and VOIDED was lost */
     :: v == V_NEVER -> pc[me] = WRITE_FREE
     :: v == V_DONE -> answer_done (me); record_outcome (DONE, me)
     :: v == V_UNKNOWN -> record_outcome (UNKNOWN, me)
     fi
  :: record_outcome (UNKNOWN, me)
  fi;
  if
  :: pc[me] != SENT -> end_msg[me] = 0
  :: else
  fi
}

inline step_void_other ()
{
  if
  :: void_attempt (other);
     if
     :: skip
     :: v == V_RUNNING -> pc[me] = READ
     :: v == V_RUNNING -> pc[me] = FINISHED
     :: v == V_NEVER -> claim ()
     :: v == V_DONE -> answer_done (other); record_outcome (DONE, other)
     :: v == V_UNKNOWN -> record_outcome (UNKNOWN, other)
     fi
  :: record_outcome (UNKNOWN, other)
  fi;
  if
  :: pc[me] != VOID_OTHER -> other = 0
  :: else
  fi
}

inline step_write_free ()
{
  own_barred = true;
#ifdef NO_GUARD_FREE
  answer_not_run ();
#endif
  write (FREE, me);
  if
  :: r == OK -> answer_not_run (); pc[me] = FINISHED
  :: r == CONFLICT -> pc[me] = READ
  :: r == LOST || r == REFUSED -> write_pending = true; pc[me] = READ
  fi
}

inline step_record ()
{
  write (next_state, next_att);
  if
  :: r == OK -> pc[me] = FINISHED
  :: r == LOST || r == REFUSED -> skip
  /* A write that conflicts will always conflict, so a later read is the same
     as a later write.  */
  :: (r == CONFLICT && rec_att == next_att
      && (rec_state == CLAIMED
          || (rec_state == UNKNOWN && next_state == DONE))) ->
     current[me] = true
  :: r == CONFLICT -> pc[me] = FINISHED
  fi
}

proctype Request (byte me)
{
  byte other, next_state, next_att;
  bool own_barred, write_pending, first;

  do
  /* Requests 0 and 1 are symmetric, so one order of their starts suffices.
     Request 2 is a resend after both have ended or crashed.  */
  :: atomic {
       (pc[me] == START
        && (me == 0 || (me == 1 && pc[0] != START)
            || (me == 2 && pc[0] == FINISHED && pc[1] == FINISHED))) ->
       att_inc[me] = inc; att_win[me] = win; pc[me] = CLAIM;
       first = true; current[me] = (rec_state == ABSENT)
     }
  :: atomic { pc[me] == CLAIM -> step_claim () }
  :: atomic { pc[me] == READ -> step_read () }
  :: atomic { pc[me] == SEND -> call_msg[me] = true; pc[me] = SENT }
  :: atomic { pc[me] == SEND -> pc[me] = WRITE_FREE }
  :: atomic { pc[me] == SENT -> step_sent () }
  :: atomic { pc[me] == VOID_OTHER -> step_void_other () }
  :: atomic { pc[me] == WRITE_FREE -> step_write_free () }
  :: atomic { pc[me] == RECORD -> step_record () }
  /* The entry crashes.  */
  :: atomic { pc[me] != START && pc[me] != FINISHED -> pc[me] = FINISHED }
  :: atomic {
       pc[me] == FINISHED ->
       /* Unused values are reset, as they would only multiply the states.  */
       first = false; current[me] = false; other = 0;
       next_state = 0; next_att = 0;
       own_barred = false; write_pending = false; end_msg[me] = 0;
       break
     }
  od
}

#ifdef NO_GUARD_INCARNATION
#define SAME_INCARNATION(i) true
#else
#define SAME_INCARNATION(i) (att_inc[i] == inc)
#endif
#ifdef NO_GUARD_WINDOW
#define ACCEPTED_WINDOW(i) true
#else
#define ACCEPTED_WINDOW(i) \
  (att_win[i] == win || att_win[i] + 1 == win)
#endif

inline reply (i, what)
{
  if
  :: pc[i] == SENT -> end_msg[i] = what
  :: else
  fi
}

inline take_call (i)
{
  call_msg[i] = false;
  if
  :: SAME_INCARNATION (i) && ACCEPTED_WINDOW (i) && attempt_state[i] == 0 ->
     attempt_state[i] = RUNNING;
     runs++;
     assert (runs == 1);
     assert (!not_run[i])
  :: else ->
     if
     :: attempt_state[i] == 0 || attempt_state[i] == BARRED ->
        reply (i, E_NOT_RUN)
     :: else
     fi
  fi
}

inline drop_record (i)
{
  attempt_state[i] = 0;
  if
  :: att_win[i] > dropped -> dropped = att_win[i]
  :: else
  fi
}

/* One step of the agent for attempt I, or the late effect of a write of
   request I.  */
inline step_attempt (i)
{
  if
  :: call_msg[i] -> take_call (i)
  :: attempt_state[i] == RUNNING ->
     attempt_state[i] = RAN; finished = i + 1; reply (i, E_DONE)
  :: attempt_state[i] == RUNNING ->
     attempt_state[i] = CRASHED; reply (i, E_UNKNOWN)
  :: (attempt_state[i] != 0 && attempt_state[i] != RUNNING && att_inc[i] == inc
      && att_win[i] + 1 < win) -> drop_record (i)
  :: late_claim[i] ->
     apply (CLAIMED, i) /* late effect of a write whose answer was lost */
  fi
}

active proctype Agent ()
{
  do
  :: atomic { step_attempt (0) }
  :: atomic { step_attempt (1) }
#if N == 3
  :: atomic { step_attempt (2) }
#endif
  :: atomic { win < WINDOW_MAX -> win++ }
  :: atomic {
       inc < INC_MAX ->
       inc++; win = 1; dropped = 0;
       for (n : 0 .. N - 1) {
         attempt_state[n] = 0;
#ifndef NO_GUARD_INCARNATION
         att_win[n] = 0 /* no longer used */
#endif
       }
     }
  od
}

init
{
  atomic { for (n : 0 .. N - 1) { run Request (n) } }
}
