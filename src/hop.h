#ifndef HOP_H
#define HOP_H
/*
 * NAME
 *   hop - what may be said of a request once it was sent to the next hop
 *
 * DESCRIPTION
 *   Decides from the way in which a request was sent and from what came back
 *   whether the request has run, and what its client may be told.  All parts
 *   that send requests on use it: the gateway, for runners and for other
 *   gateways, the agent, for its endpoint, and the entry, for agents.  No
 *   input or output.
 *
 *   Only the next hop's word that it has not run the request, or the
 *   certainty that no byte was sent, allows the promise "not run".  The
 *   status alone never does: runners also fail with 503, 429 or 408 what they
 *   have run.  Each hop states the word itself, so that it isn't guessed from
 *   the status further on.
 */

enum hop_via
{
  HOP_RUN,      /* to a runner */
  HOP_MOVED,    /* the same, with the KV cache of another runner */
  HOP_READ,     /* to a runner that only reads the prompt */
  HOP_RELAY,    /* to another gateway */
  HOP_ENDPOINT, /* from an agent to its endpoint */
  HOP_AGENT,    /* from an entry to an agent */
  HOP_VIA_MAX
};

enum hop_end
{
  HOP_END_UNSENT, /* no byte of the request was sent */
  HOP_END_WHOLE,
  HOP_END_CUT,
  HOP_END_SILENT, /* the time is over without an answer */
  HOP_END_MAX
};

/* Id of the request that an answer names.  */
enum hop_id
{
  HOP_ID_NONE,
  HOP_ID_OWN,
  HOP_ID_OTHER,
  HOP_ID_MAX
};

struct hop_send
{
  enum hop_via via;
  int repeatable; /* the request may run more than once */
  int began;      /* its client has part of an answer with status 200 */
};

struct hop_answer
{
  enum hop_end end;
  int status;     /* with HOP_END_WHOLE, as all that follows */
  int stamped;    /* a runner's proof that it ran the request */
  enum hop_id id; /* not HOP_ID_OTHER */
  int not_run;    /* the word that the request has not run */
};

enum hop_reply
{
  HOP_REPLY_UNSENT,
  HOP_REPLY_REFUSAL,  /* the word, with a status that promises "not run" */
  HOP_REPLY_REJECTED, /* the word, with another status */
  HOP_REPLY_SUCCESS,  /* 2xx with a stamp */
  HOP_REPLY_UNPROVED, /* 2xx without, or with the word in addition */
  HOP_REPLY_CLIENT,   /* 3xx or 4xx without the word */
  HOP_REPLY_BUSY,     /* a status that promises "not run", without the word */
  HOP_REPLY_ERROR,    /* another 5xx without the word */
  HOP_REPLY_INVALID,  /* a status that no final answer has */
  HOP_REPLY_CUT,
  HOP_REPLY_SILENT,
  HOP_REPLY_MAX
};

enum hop_run
{
  HOP_NOT_RUN, /* and never will */
  HOP_MAY_HAVE_RUN,
  HOP_HAS_RUN
};

enum hop_act
{
  HOP_PASS, /* the answer goes to the client as it is */
  /* Sent again where that is safe.  Otherwise the client gets the answer, or
     a status of this hop that agrees with what is known of all sends.  */
  HOP_RETRY_OR_PASS,
  HOP_RETRY_OR_FAIL,
  HOP_PASS_REFUSAL, /* the client gets the status, without another's word */
  HOP_ELSEWHERE,    /* sent to a runner from here; not a retry */
  HOP_GO_ON         /* the prompt was read; the request is sent next */
};

struct hop_verdict
{
  enum hop_reply reply;
  enum hop_run run; /* of this send */
  enum hop_act act;
};

struct hop_verdict hop_judge (const struct hop_send *send,
                              const struct hop_answer *answer);

/* Returns nonzero for the statuses that promise that a request has not run:
   408, 421, 429 and 503.  */
int hop_is_promise (int status);

/* Returns nonzero for a status of a final answer: 200 to 599.  */
int hop_is_final (int status);

/* Returns a fixed text for the log.  */
const char *hop_reply_name (enum hop_reply reply);

enum hop_owner
{
  HOP_OWN_ANSWER,
  HOP_OTHER_ANSWER, /* to another request; the own one may follow */
  HOP_UNOWNED       /* it can't be told whose it is */
};

/* Decides whether an answer that begins is that to the request sent.  REUSED:
   an earlier request was sent on the connection, and a late second answer to
   it may arrive.  */
enum hop_owner hop_owner (enum hop_via via, int reused,
                          const struct hop_answer *answer);
#endif
