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
#define ASK_OTHER 5
#define SPENT 6
#define SETTLE 7
#define OVER 8

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
bool pend[N];

byte pc[N]; /* the step that each request takes next */

byte inc = 1, win = 1, dropped;
byte cell[N];                /* the agent's table of attempts */
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
  for (n : 0 .. N - 1) { current[n] = false; pend[n] = false }
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
  :: MATCHES && st == CLAIMED -> pend[me] = true; r = LOST
  :: r = LOST
  :: r = REFUSED
  fi
}

inline bar (att)
{
  if
  :: att_inc[att] != inc -> v = V_UNKNOWN
  :: else ->
     if
     :: cell[att] == BARRED -> v = V_NEVER
     :: cell[att] == RUNNING -> v = V_RUNNING
     :: cell[att] == RAN -> v = V_DONE
     :: cell[att] == CRASHED -> v = V_UNKNOWN
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
           cell[att] = BARRED;
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

inline settle (st, att)
{
  next_state = st;
  next_att = att;
  pc[me] = SETTLE
}

/* Claims again, or writes FREE when the request's own attempt can no longer
   run.  */
inline claim ()
{
  if
  :: spent -> pc[me] = SPENT
  :: else -> pc[me] = CLAIM
  fi
}

inline step_claim ()
{
  write (CLAIMED, me);
  if
  :: r == OK -> first = false; open = false; pc[me] = SEND
  :: r == LOST -> open = true; pc[me] = READ
  :: r == CONFLICT -> pc[me] = READ
  :: r == REFUSED && first && !open ->
     /* Answered as "not run" for this request only.  */
     assert (!call_msg[me]);
     pc[me] = OVER
  :: r == REFUSED && (!first || open) -> pc[me] = READ
  fi
}

inline step_read ()
{
  if
  :: skip /* the read fails and is repeated */
  :: open -> settle (FREE, me) /* the deadline passes */
  :: !open -> pc[me] = OVER
  :: rec_state == ABSENT -> claim ()
  :: rec_state != ABSENT ->
     if
     :: !current[me] -> open = false
     :: else
     fi;
     current[me] = true;
     first = false;
     if
     :: rec_state == DONE -> answer_done (rec_att); pc[me] = OVER
     :: rec_state == UNKNOWN -> pc[me] = OVER
     :: rec_state == FREE && spent -> answer_not_run (); pc[me] = OVER
     :: rec_state == FREE && !spent -> claim ()
     :: rec_state == CLAIMED && rec_att != me ->
        held = rec_att; pc[me] = ASK_OTHER
     :: rec_state == CLAIMED && rec_att == me && spent -> pc[me] = SPENT
     :: rec_state == CLAIMED && rec_att == me && !spent -> pc[me] = SEND
     fi
  fi
}

inline step_sent ()
{
  if
  :: end_msg[me] == E_DONE -> answer_done (me); settle (DONE, me)
  :: end_msg[me] == E_NOT_RUN -> pc[me] = SPENT
  :: end_msg[me] == E_UNKNOWN -> settle (UNKNOWN, me)
  :: bar (me);
     if
     :: skip /* VOID took effect and VOIDED was lost */
     :: v == V_NEVER -> pc[me] = SPENT
     :: v == V_DONE -> answer_done (me); settle (DONE, me)
     :: v == V_UNKNOWN -> settle (UNKNOWN, me)
     fi
  :: settle (UNKNOWN, me)
  fi;
  if
  :: pc[me] != SENT -> end_msg[me] = 0
  :: else
  fi
}

inline step_ask_other ()
{
  if
  :: bar (held);
     if
     :: skip
     :: v == V_RUNNING -> pc[me] = READ
     :: v == V_RUNNING -> pc[me] = OVER
     :: v == V_NEVER -> claim ()
     :: v == V_DONE -> answer_done (held); settle (DONE, held)
     :: v == V_UNKNOWN -> settle (UNKNOWN, held)
     fi
  :: settle (UNKNOWN, held)
  fi;
  if
  :: pc[me] != ASK_OTHER -> held = 0
  :: else
  fi
}

inline step_spent ()
{
  spent = true;
#ifdef NO_GUARD_FREE
  answer_not_run ();
#endif
  write (FREE, me);
  if
  :: r == OK -> answer_not_run (); pc[me] = OVER
  :: r == CONFLICT -> pc[me] = READ
  :: r == LOST || r == REFUSED -> open = true; pc[me] = READ
  fi
}

inline step_settle ()
{
  write (next_state, next_att);
  if
  :: r == OK -> pc[me] = OVER
  :: r == LOST || r == REFUSED -> skip
  /* A write that conflicts will always conflict, so a later read is the same
     as a later write.  */
  :: (r == CONFLICT && rec_att == next_att
      && (rec_state == CLAIMED
          || (rec_state == UNKNOWN && next_state == DONE))) ->
     current[me] = true
  :: r == CONFLICT -> pc[me] = OVER
  fi
}

proctype Request (byte me)
{
  byte held, next_state, next_att;
  bool spent, open, first;

  do
  /* Requests 0 and 1 are symmetric, so one order of their starts suffices.
     Request 2 is a resend after both have ended or crashed.  */
  :: atomic {
       (pc[me] == START
        && (me == 0 || (me == 1 && pc[0] != START)
            || (me == 2 && pc[0] == OVER && pc[1] == OVER))) ->
       att_inc[me] = inc; att_win[me] = win; pc[me] = CLAIM;
       first = true; current[me] = (rec_state == ABSENT)
     }
  :: atomic { pc[me] == CLAIM -> step_claim () }
  :: atomic { pc[me] == READ -> step_read () }
  :: atomic { pc[me] == SEND -> call_msg[me] = true; pc[me] = SENT }
  :: atomic { pc[me] == SEND -> pc[me] = SPENT }
  :: atomic { pc[me] == SENT -> step_sent () }
  :: atomic { pc[me] == ASK_OTHER -> step_ask_other () }
  :: atomic { pc[me] == SPENT -> step_spent () }
  :: atomic { pc[me] == SETTLE -> step_settle () }
  /* The entry crashes.  */
  :: atomic { pc[me] != START && pc[me] != OVER -> pc[me] = OVER }
  :: atomic {
       pc[me] == OVER ->
       /* Unused values are reset, as they would only multiply the states.  */
       first = false; current[me] = false; held = 0; next_state = 0; next_att = 0;
       spent = false; open = false; end_msg[me] = 0;
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
  :: SAME_INCARNATION (i) && ACCEPTED_WINDOW (i) && cell[i] == 0 ->
     cell[i] = RUNNING;
     runs++;
     assert (runs == 1);
     assert (!not_run[i])
  :: else ->
     if
     :: cell[i] == 0 || cell[i] == BARRED -> reply (i, E_NOT_RUN)
     :: else
     fi
  fi
}

inline forget (i)
{
  cell[i] = 0;
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
  :: cell[i] == RUNNING -> cell[i] = RAN; finished = i + 1; reply (i, E_DONE)
  :: cell[i] == RUNNING -> cell[i] = CRASHED; reply (i, E_UNKNOWN)
  :: (cell[i] != 0 && cell[i] != RUNNING && att_inc[i] == inc
      && att_win[i] + 1 < win) -> forget (i)
  :: pend[i] ->
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
         cell[n] = 0;
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
