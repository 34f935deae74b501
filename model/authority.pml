/* Authority over one engine: two candidates, the key-value service, one agent
   and its engine (docs/design.md 6.2).

   One tick of the clock is 1 s.  The wait and the age of a void read have
   their real lengths; the lease and the margin of the holder are shortened to
   keep the search small, and TICKS bounds it.  Lost answers of writes are left
   to the unit tests.  A process may rest for any number of ticks between two
   steps: a candidate also between its check and its send, and past its lease.

   Two assumptions: the agent's last check of the time and its request to the
   engine are one step, and the engine takes requests in the order of their
   arrival, which holds for requests of an earlier process of the agent too.

   NO_GUARD_READ     the agent trusts a read made before the receipt
   NO_GUARD_VOID     slow reads are not void
   NO_GUARD_RECHECK  the age of the read is not checked before the request
   NO_GUARD_WAIT     a new holder gives orders at once
   NO_GUARD_QUERY    the agent does not query the engine after a restart  */

#define LEASE 3
#define MARGIN 1
#define WAIT 2
#define READ_MAX 1
#define AGE_MAX 3 /* ages above this are equal */
#define TICKS 7
#define ORDERS 2 /* of each candidate */
#define TOKENS 2
#define RESTARTS 1
#define CRASHES 1

#if defined(NO_GUARD_VOID) || defined(NO_GUARD_RECHECK)                       \
    || defined(NO_GUARD_READ)
#define MAY_SEND true
#else
#define MAY_SEND (read_age <= READ_MAX)
#endif

mtype = { ORDER, QUERY };

/* Key-value service: the token in the key, 0 when absent.  */
byte current = 0;
byte revision = 0;
byte lease_left = 0;

/* Candidates.  */
byte token[2];
byte certain[2]; /* ticks for which the lease is certain */
byte wait[2];

/* The highest token whose holder may have given orders.  */
byte giving = 0;

/* Agent.  */
byte read_age = 0;
byte agent = 0; /* incarnation */
byte restarts = 0;
bool awaiting = false; /* an answer of the engine */

/* Engine.  */
bool checks_tokens;
bool busy = false;
byte applied = 0;
byte running = 0;
byte running_for = 0; /* incarnation of the agent that asked */

chan orders = [2] of { byte };            /* token */
chan wire = [3] of { mtype, byte, byte }; /* kind, token, incarnation */
chan idle = [1] of { bool };              /* answer to a query */
chan result = [1] of { bool };            /* end of an order */

proctype clock ()
{
  byte ticks = 0;

  do
  :: atomic {
      ticks < TICKS ->
        ticks++;
        if
        :: lease_left > 0 ->
          lease_left--;
          if
          :: lease_left == 0 -> current = 0
          :: else
          fi
        :: else
        fi;
        certain[0] = (certain[0] > 0 -> certain[0] - 1 : 0);
        certain[1] = (certain[1] > 0 -> certain[1] - 1 : 0);
        wait[0] = (wait[0] > 0 -> wait[0] - 1 : 0);
        wait[1] = (wait[1] > 0 -> wait[1] - 1 : 0);
        read_age = (read_age < AGE_MAX -> read_age + 1 : AGE_MAX)
    }
  :: ticks == TICKS -> break
  od
}

proctype candidate (byte i)
{
  byte sent = 0;

  do
  :: atomic {
      /* The lease counts from before the creation.  */
      token[i] == 0 && current == 0 && revision < TOKENS ->
        revision++;
        current = revision;
        lease_left = LEASE;
        token[i] = current;
        certain[i] = LEASE;
#ifndef NO_GUARD_WAIT
        wait[i] = WAIT
#endif
    }
  :: atomic { /* renewal */
      token[i] != 0 && current == token[i] && lease_left < LEASE ->
        lease_left = LEASE;
        certain[i] = LEASE
    }
  :: atomic { token[i] != 0 && certain[i] == 0 -> token[i] = 0 }
  :: atomic {
      token[i] != 0 && wait[i] == 0 && certain[i] > MARGIN && sent < ORDERS ->
        giving = (token[i] > giving -> token[i] : giving);
        sent++
    };
    /* A pause here lets the lease end before the order leaves.  */
    orders ! token[i]
  :: sent == ORDERS -> break
  :: token[i] == 0 && revision == TOKENS -> break
  od
}

/* Reads the key; VALUE gets the token or READ_FAILED.  The service reads at
   one moment between the start and the answer.  */
#define READ_FAILED 255

inline read_key (value)
{
  atomic {
    read_age = 0;
    ghost = current
  };
  if
  :: value = current
  :: value = READ_FAILED
  fi;
#ifndef NO_GUARD_VOID
  if
  :: atomic { read_age > READ_MAX -> value = READ_FAILED }
  :: else
  fi
#endif
}

proctype agent_process ()
{
  byte order;
  byte highest;
  byte value;
  byte ghost; /* the token in the key when the read began */
  bool is_idle;

restart:
  highest = 0;
  value = 0;
  order = 0;
#ifdef NO_GUARD_READ
  read_key (value);
#endif
#ifndef NO_GUARD_QUERY
  do
  :: wire ! QUERY(0, agent);
     idle ? is_idle;
     if
     :: is_idle -> break
     :: else
     fi
  od;
#endif

end:
  do
  :: orders ? order;
     if
     :: restarts < RESTARTS -> goto died
     :: true
     fi;
#ifdef NO_GUARD_READ
     ghost = current;
#else
     read_key (value);
#endif
     if
     :: value == order && order >= highest ->
       highest = order;
       /* The drain takes any time; the second read follows it.  */
#ifndef NO_GUARD_READ
       read_key (value);
#endif
       if
       :: restarts < RESTARTS -> goto died
       :: true
       fi;
       if
       :: atomic {
           value == order && MAY_SEND ->
             /* No order by a read begun after its authority was lost.  */
             assert (ghost == order);
             /* No order after a successor may have given its own.  */
             assert (order >= giving);
             wire ! ORDER(order, agent);
             awaiting = true
         }
         if
         :: result ? _
         :: restarts < RESTARTS -> goto died
         fi;
         awaiting = false
       :: else
       fi
     :: else
     fi
  od;

died:
  atomic {
    restarts++;
    agent++;
    awaiting = false;
    if
    :: idle ? _
    :: empty (idle)
    fi;
    if
    :: result ? _
    :: empty (result)
    fi
  };
  goto restart
}

/* Answers the agent that asked, if it is still there.  */
inline finish ()
{
  busy = false;
  if
  :: running_for == agent && awaiting -> result ! true
  :: else
  fi
}

proctype engine ()
{
  byte tok;
  byte asker;
  byte crashes = 0;

end:
  do
  :: atomic {
      wire ? QUERY(tok, asker) ->
        if
        :: asker == agent -> idle ! !busy
        :: else
        fi
    }
  :: atomic {
      wire ? ORDER(tok, asker) ->
        if
        :: checks_tokens && tok < applied ->
          if
          :: asker == agent && awaiting -> result ! false
          :: else
          fi
        :: else ->
          assert (!busy);          /* never two orders at once */
          assert (tok >= applied); /* never an old token after a newer one */
          applied = tok;
          busy = true;
          running_for = asker
        fi
    }
  :: atomic { busy -> finish () }
  :: atomic { /* a crash ends the order and forgets the tokens seen */
      busy && crashes < CRASHES ->
        crashes++;
        finish ()
    }
  od
}

init
{
  atomic {
    if
    :: checks_tokens = true
    :: checks_tokens = false
    fi;
    run clock ();
    run candidate (0);
    run candidate (1);
    run agent_process ();
    run engine ()
  }
}
