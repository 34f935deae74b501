/* Authority over one engine: two candidates for the lease, the key-value
   service, one agent and its engine (docs/design.md 6.2).

   One tick of the clock is 1 s.  The wait of a new holder and the age at which
   a read is void have their real lengths.  The lease and the margin of the
   holder are shortened to keep the search small, and TICKS bounds it.  Lost
   answers of writes are covered by the unit tests.  A process may pause for
   any number of ticks between two steps: a candidate also between its check
   and its send, and beyond its lease.

   The model assumes that the agent's last check of the time and its request to
   the engine are one step, and that the engine handles requests in the order
   of their arrival, also those of an earlier incarnation of the agent.

   -DNO_GUARD_x removes one guard; the model must then fail:
     READ     the agent reads the key after it has received the order
     VOID     the agent discards the result of a slow read
     RECHECK  the agent checks the age of the read before its request
     WAIT     a new holder waits before its first order
     QUERY    the agent queries the engine after a restart  */

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

/* Key-value service: the fencing token in the key, 0 when the key is
   absent.  */
byte current = 0;
byte revision = 0;
byte lease_left = 0;

/* Candidates.  */
byte token[2];
byte lease_certain[2]; /* ticks for which the lease is sure to be valid */
byte wait[2];          /* ticks until the first order */

/* The highest token whose holder may have sent orders.  */
byte max_sent_token = 0;

/* Agent.  */
byte read_age = 0;
byte agent = 0; /* incarnation */
byte restarts = 0;
bool awaiting_engine = false; /* a request to the engine is outstanding */

/* Engine.  */
bool checks_tokens;
bool busy = false;
byte applied = 0; /* highest token of an applied order */
byte running = 0;
byte running_for = 0; /* incarnation of the agent that sent the request */

chan orders = [2] of { byte };                /* token */
chan requests = [3] of { mtype, byte, byte }; /* kind, token, incarnation */
chan idle = [1] of { bool };                  /* answer to a query */
chan result = [1] of { bool };                /* end of an order */

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
        lease_certain[0] = (lease_certain[0] > 0 -> lease_certain[0] - 1 : 0);
        lease_certain[1] = (lease_certain[1] > 0 -> lease_certain[1] - 1 : 0);
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
      /* The lease is counted from before the creation of the key.  */
      token[i] == 0 && current == 0 && revision < TOKENS ->
        revision++;
        current = revision;
        lease_left = LEASE;
        token[i] = current;
        lease_certain[i] = LEASE;
#ifndef NO_GUARD_WAIT
        wait[i] = WAIT
#endif
    }
  :: atomic { /* renewal */
      token[i] != 0 && current == token[i] && lease_left < LEASE ->
        lease_left = LEASE;
        lease_certain[i] = LEASE
    }
  :: atomic { token[i] != 0 && lease_certain[i] == 0 -> token[i] = 0 }
  :: atomic {
      (token[i] != 0 && wait[i] == 0 && lease_certain[i] > MARGIN
       && sent < ORDERS) ->
        max_sent_token =
          (token[i] > max_sent_token -> token[i] : max_sent_token);
        sent++
    };
    /* After a pause here the lease may have ended before the order is
       sent.  */
    orders ! token[i]
  :: sent == ORDERS -> break
  :: token[i] == 0 && revision == TOKENS -> break
  od
}

/* Reads the key and sets VALUE to the token or to READ_FAILED.  The service
   reads at one moment between the start and the answer.  */
#define READ_FAILED 255

inline read_key (value)
{
  atomic {
    read_age = 0;
    token_at_read = current
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
  byte token_at_read; /* the token in the key when the read began */
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
  :: requests ! QUERY(0, agent);
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
     token_at_read = current;
#else
     read_key (value);
#endif
     if
     :: value == order && order >= highest ->
       highest = order;
       /* The drain takes any time; the key is read again after it.  */
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
             /* No order is sent after a read that began when its token was no
                longer in the key.  */
             assert (token_at_read == order);
             /* No order is sent after a successor may have sent its own.  */
             assert (order >= max_sent_token);
             requests ! ORDER(order, agent);
             awaiting_engine = true
         }
         if
         :: result ? _
         :: restarts < RESTARTS -> goto died
         fi;
         awaiting_engine = false
       :: else
       fi
     :: else
     fi
  od;

died:
  atomic {
    restarts++;
    agent++;
    awaiting_engine = false;
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

/* Ends the order and answers the incarnation that sent it, if it still
   runs.  */
inline finish ()
{
  busy = false;
  if
  :: running_for == agent && awaiting_engine -> result ! true
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
      requests ? QUERY(tok, asker) ->
        if
        :: asker == agent -> idle ! !busy
        :: else
        fi
    }
  :: atomic {
      requests ? ORDER(tok, asker) ->
        if
        :: checks_tokens && tok < applied ->
          if
          :: asker == agent && awaiting_engine -> result ! false
          :: else
          fi
        :: else ->
          assert (!busy);          /* one order at a time */
          assert (tok >= applied); /* no old token after a newer one */
          applied = tok;
          busy = true;
          running_for = asker
        fi
    }
  :: atomic { busy -> finish () }
  :: atomic { /* a crash ends the order */
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
