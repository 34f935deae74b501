/* Edits, adoption and restart of the configuration (docs/design.md 6.3 and
   6.4).

   Concurrent writers edit two sections of one document by CAS.  Answers are
   lost before or after the effect of a write, and requests may take effect
   late.  Nodes adopt from the service, also through stale reads, or from other
   nodes, and restart while the service is up or down.  The operator's command
   reports a generation as in force when a majority of the nodes has confirmed
   it.

   -DNO_GUARD_x removes one guard; the model must then fail:
     CAS       the service compares the revision of the document
     SECTION   an edit compares the revision of its section
     SETTLE    the effect of a write without an answer is determined by the
               write ids
     HIGHER    a node adopts only a higher generation
     MAJORITY  a start without the service waits for more than half of the peers
     CONFIRM   "in force" counts only peers that confirm twice in the same
               incarnation
   A node depends only on the generation in the service, so writers and nodes
   are checked separately: -DWRITERS runs the writers; otherwise the service
   raises the generation by itself and the nodes run.
   -DSTRICT_RESTART asserts that a restart never lowers the generation that the
   node itself held, which the design does not guarantee.  */

#define NODES 3
#define WRITER_COUNT 2
#define LOST_MAX 2
#define RESTARTS_MAX 2
#define DOWN_MAX 2
#define GEN_MAX 2 /* highest generation without writers */
#define NONE 255

/* The document in the service; its generation is the CAS revision.  */
byte gen;
byte sec_rev[2];
byte ids;        /* write ids in the document, a bit for each writer */
byte lineage[2]; /* bits of the edits that the section's body is based on */
bool up = true;
byte lost;

/* A write that has been sent and may take effect later.  */
bool late_write[WRITER_COUNT];

byte w_section[WRITER_COUNT];
byte w_base[WRITER_COUNT];    /* section revision that the edit is based on */
byte w_lineage[WRITER_COUNT]; /* lineage of the body at that revision */
byte w_rev[WRITER_COUNT];     /* document revision that the CAS names */
byte w_applied; /* bits of the edits that took effect */
byte w_failed;  /* bits of the writers whose edit was reported as failed */

byte g[NODES];
bool ready[NODES];
byte inc[NODES];
byte restarts;
byte downs;
byte in_force;

#define BIT(w) (1 << (w))

inline apply (w, ok)
{
#ifdef NO_GUARD_CAS
  ok = true;
#else
  ok = (gen == w_rev[w]);
#endif
  if
  :: ok ->
     assert ((w_applied & BIT (w)) == 0);
     assert ((w_failed & BIT (w)) == 0);
     /* An accepted edit stays in the lineage of its section.  */
     assert ((lineage[w_section[w]] & ~w_lineage[w]) == 0);
     gen++;
     sec_rev[w_section[w]] = w_base[w] + 1;
     lineage[w_section[w]] = w_lineage[w] | BIT (w);
     ids = ids | BIT (w);
     w_applied = w_applied | BIT (w)
  :: else -> skip
  fi
}

proctype writer (byte w)
{
  bool ok;
  bool in_doubt;

  d_step {
    w_base[w] = sec_rev[w_section[w]];
    w_lineage[w] = lineage[w_section[w]]
  }
read:
  atomic {
    up;
    if
#ifdef NO_GUARD_SETTLE
    :: in_doubt && gen != w_rev[w] ->
       goto report_failure
#else
    :: in_doubt && (ids & BIT (w)) != 0 ->
       goto report_success
#endif
    :: else -> skip
    fi;
#ifndef NO_GUARD_SECTION
    if
    :: sec_rev[w_section[w]] != w_base[w] -> goto report_failure
    :: else -> skip
    fi;
#endif
    w_rev[w] = gen
  }
  atomic {
    if
    :: up && !late_write[w] ->
       apply (w, ok);
       if
       :: ok -> goto report_success
       :: else -> goto read
       fi
    :: lost < LOST_MAX && up && !late_write[w] ->
       lost++; in_doubt = true; apply (w, ok); ok = false; goto read
    :: lost < LOST_MAX ->
       lost++; in_doubt = true; goto read
    :: lost < LOST_MAX && !late_write[w] ->
       lost++; in_doubt = true; late_write[w] = true; goto read
    :: late_write[w] && up -> /* the late write precedes the repeated one */
       late_write[w] = false; apply (w, ok); ok = false; goto read
    fi
  }
report_success:
  assert ((w_applied & BIT (w)) != 0);
  goto end;
report_failure:
  atomic {
    assert ((w_applied & BIT (w)) == 0);
    w_failed = w_failed | BIT (w)
  }
end:
  skip
}

proctype service ()
{
  bool ok;

end:
  do
  :: atomic {
       up && late_write[0] ->
       late_write[0] = false; apply (0, ok); ok = false }
  :: atomic {
       up && late_write[1] ->
       late_write[1] = false; apply (1, ok); ok = false }
  :: atomic { up && downs < DOWN_MAX -> up = false; downs++ }
  :: atomic { !up -> up = true }
#ifndef WRITERS
  :: atomic { up && gen < GEN_MAX -> gen++ }
#endif
  od
}

inline adopt (n, x)
{
#ifdef NO_GUARD_HIGHER
  assert (x >= g[n]);
  g[n] = x;
#else
  if
  :: x > g[n] -> g[n] = x
  :: else -> skip
  fi;
#endif
}

proctype node (byte n)
{
  byte seen = NONE; /* a read of the service that has not been adopted yet */
  byte floor;
#ifdef STRICT_RESTART
  byte held;
#endif
  byte best;
  byte peers_read;

end:
  do
  :: atomic { ready[n] && up && seen == NONE && gen != g[n] -> seen = gen }
  :: atomic { ready[n] && seen != NONE -> adopt (n, seen); seen = NONE }
  :: atomic {
       ready[n] && ready[(n + 1) % NODES] && g[(n + 1) % NODES] > g[n] ->
       adopt (n, g[(n + 1) % NODES]) }
  :: atomic {
       ready[n] && ready[(n + 2) % NODES] && g[(n + 2) % NODES] > g[n] ->
       adopt (n, g[(n + 2) % NODES]) }
  :: atomic {
       ready[n] && restarts < RESTARTS_MAX ->
       restarts++;
       inc[n]++;
#ifdef STRICT_RESTART
       held = g[n];
#endif
       floor = in_force;
       g[n] = 0; ready[n] = false; seen = NONE; best = 0; peers_read = 0 }
  :: atomic { !ready[n] && up -> best = gen; goto start }
  :: atomic {
       !ready[n] && !up && ready[(n + 1) % NODES] && (peers_read & 1) == 0 ->
       best = (g[(n + 1) % NODES] > best -> g[(n + 1) % NODES] : best);
       peers_read = peers_read | 1 }
  :: atomic {
       !ready[n] && !up && ready[(n + 2) % NODES] && (peers_read & 2) == 0 ->
       best = (g[(n + 2) % NODES] > best -> g[(n + 2) % NODES] : best);
       peers_read = peers_read | 2 }
#ifdef NO_GUARD_MAJORITY
  :: atomic { !ready[n] && peers_read != 0 -> goto start }
#else
  :: atomic { !ready[n] && peers_read == 3 -> goto start }
#endif
  od;
start:
  atomic {
    g[n] = best;
    ready[n] = true;
    assert (g[n] >= floor);
#ifdef STRICT_RESTART
    assert (g[n] >= held);
    held = 0;
#endif
    floor = 0; best = 0; peers_read = 0;
    goto end
  }
}

/* Reports one generation as in force.  */
proctype confirm ()
{
  byte target;
  byte seen_inc[NODES];
  byte first;  /* bits of the nodes that confirmed in the first round */
  byte second; /* bits of those that confirmed again in the second */

  atomic { gen > 0 -> target = gen }
end:
  do
  :: atomic { (first & 1) == 0 && ready[0] && g[0] >= target ->
       first = first | 1; seen_inc[0] = inc[0] }
  :: atomic { (first & 2) == 0 && ready[1] && g[1] >= target ->
       first = first | 2; seen_inc[1] = inc[1] }
  :: atomic { (first & 4) == 0 && ready[2] && g[2] >= target ->
       first = first | 4; seen_inc[2] = inc[2] }
  :: atomic { first == 3 || first == 5 || first == 6 || first == 7 -> break }
  od;
#ifndef NO_GUARD_CONFIRM
end2:
  do
  :: atomic { (first & 1) != 0 && (second & 1) == 0 && ready[0] &&
              inc[0] == seen_inc[0] -> second = second | 1 }
  :: atomic { (first & 2) != 0 && (second & 2) == 0 && ready[1] &&
              inc[1] == seen_inc[1] -> second = second | 2 }
  :: atomic { (first & 4) != 0 && (second & 4) == 0 && ready[2] &&
              inc[2] == seen_inc[2] -> second = second | 4 }
  :: atomic { second == 3 || second == 5 || second == 6 || second == 7 -> break }
  od;
#endif
  in_force = target
}

init
{
  atomic {
    ready[0] = true; ready[1] = true; ready[2] = true;
    run service ();
#ifdef WRITERS
    if
    :: w_section[1] = 0
    :: w_section[1] = 1
    fi;
    run writer (0);
    run writer (1)
#else
    run node (0);
    run node (1);
    run node (2);
    run confirm ()
#endif
  }
}
