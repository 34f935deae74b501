#ifndef GW_CALL_H
#define GW_CALL_H
/*
 * NAME
 *   gw_call - one request of a client, from its arrival to the end of the
 *   answer
 */
#include "gw.h"
#include "hop.h"

enum
{
  GW_EXCLUDED_MAX = 4 /* runners excluded from retries of one request */
};

/* Candidates whose load a choice depends on.  */
enum gw_view
{
  GW_VIEW_SESSION, /* prefill engines of the prompt's session */
  GW_VIEW_SAMPLE,  /* a random sample of the decode engines */
  GW_VIEW_MAX
};

struct gw_call
{
  struct gw *gw;
  struct gw_listener *request_listener;
  uint64_t conn;
  const struct http_head *head;
  GBytes *body; /* referenced; null: it is empty */
  size_t size;
  struct adapter_request in;
  uint64_t fingerprint; /* of method, path and body */
  struct routing_table *table;
  const struct routing_route *route;
  const struct routing_service *service;
  const char *service_name;
  /* Of TABLE; null: the route or the configuration asks for no key.  */
  const struct routing_tenant *tenant;
  struct routing_tenant *relayed_tenant; /* named by another gateway */
  char *key;                             /* that names TENANT, or null */
  int64_t arrived;
  int64_t deadline; /* the client's or the route's, whichever is earlier */
  uint64_t timer;
  struct reqstate reqstate;
  int first_send_counted; /* counted in the retry budget */
  int share_noted;        /* counted in the tenant's share */
  int share_held;         /* its limit is lowered for its tenant's share */
  int prompt_read;        /* another prefill counts as a retry */
  /* The send in progress.  */
  uint64_t call;
  enum adapter_phase phase;
  /* Or the gateway it is relayed to; referenced, also after the send.  */
  struct pool_runner *runner;
  int closing;          /* the answer has "Connection: close" */
  double queued_tokens; /* prompt tokens added to the runner's queue */
  double read_tokens;   /* the same, kept after the prefill */
  double queue_us;      /* expected queueing delay at the runner */
  double before_us;     /* as of struct lb_choice */
  double read_us;       /* the same */
  int fetches;          /* the runner fetches the KV cache */
  int64_t sent;
  uint64_t silence_timer; /* until the answer begins, or 0 */
  struct adapter_answer answer;
  enum hop_id answer_id;     /* of the answer */
  enum http_framing framing; /* of the answer */
  int64_t announced_length;  /* of a body that the answer doesn't have, or 0 */
  GString *fields;           /* header of the runner's answer */
  GString *data;             /* part of its body that is not forwarded yet */
  size_t data_charged;       /* for DATA */
  size_t searched;           /* bytes of DATA that no event ends in */
  size_t discarded; /* bytes of its body that are not forwarded at all */
  int streaming;
  int continues;        /* this send goes on with an answer that has begun */
  int is_event_type;    /* the answer that has begun is declared as events */
  int until_close;      /* the client's answer ends with its connection */
  int64_t answer_began; /* time of the first byte, while STREAMING */
  int64_t first_event;  /* time of the first event of this send, or 0 */
  int usage_noted;      /* counted as a request that began to run */
  int64_t event_us;     /* time of its latest event */
  int64_t pause_us;     /* longest time between two events for the client */
  int answer_noted;     /* this send speaks for the parts of the prompt */
  int fate_open;        /* it waits for a runner that may have ended */
  int on_trial; /* no other request with the same part or content is sent */
  /* KV handle that no decode engine has fetched yet.  */
  char kv_handle[128];        /* "IP:PORT/HANDLE" or empty */
  struct pool_runner *source; /* engine that ran the prefill */
  struct pool_runner *excluded[GW_EXCLUDED_MAX];
  size_t n_excluded;
  uint64_t last_event; /* id of the last event sent to the client */
  char build[64];      /* version that began the stream, or empty */
  int resume_asked;    /* the other gateways */
  int resume_asks;     /* it waits for what they say, or to know them */
  int resume_waits;    /* for the records of streams */
  int resume_answered; /* they were read, or can't be */
  int resume_complete; /* they were read */
  int64_t resume_asked_us;
  /* Candidates of the next send, whose load at the other gateways is asked
     for.  */
  uint64_t query; /* in progress, or 0 */
  int asked[GW_VIEW_MAX];
  struct pool_runner *sample[LB_SAMPLE_MAX]; /* for a decode */
  size_t n_sample;
  int demand_noted;
  int reread_granted; /* the budget allows another prefill */
};

/* Returns nonzero when the request may run more than once.  */
int gw_call_idempotent (const struct gw_call *call);
/* Chooses a runner and sends the request there, or refuses it.  */
void gw_call_dispatch (struct gw_call *call);
/* Ends the call with an error status of the gateway, or aborts an answer that
   has begun.  TIME_OVER: the deadline has passed.  WHY is logged.  */
void gw_call_fail (struct gw_call *call, int time_over, const char *why);
/* The same, but answers 503 with a Retry-After of about AFTER_MS if the
   request has certainly not run.  */
void gw_call_refuse (struct gw_call *call, int64_t after_ms, const char *why);
/* Forgets the candidates of the last choice.  */
void gw_call_forget_view (struct gw_call *call);
/* Frees the call and cancels what is in progress for it.  */
void gw_call_end (struct gw_call *call);

/* gw_send.c */
/* Sends the request to the runner of CHOICE.  Returns 0, or -1 when no
   connection can be made.  */
int gw_send (struct gw_call *call, const struct lb_choice *choice,
             enum adapter_phase phase);
void gw_send_cancel (struct gw_call *call);
/* Ends the send in progress as if its connection had broken.  */
void gw_send_break (struct gw_call *call);
/* Takes one retry from the service's budget.  Returns 1, or 0 when there is
   none left.  */
int gw_send_take_retry (struct gw_call *call);
/* Sets the runner of the last send; null: none.  */
void gw_send_set_runner (struct gw_call *call, struct pool_runner *runner);
/* Sets the engine that ran the prefill; null: none.  */
void gw_send_set_source (struct gw_call *call, struct pool_runner *runner);
/* Frees a KV handle that will not be used.  */
void gw_send_free_handle (struct gw_call *call);

/* gw_tenant.c: whose request it is */
/* Returns nonzero when a request on ROUTE of the table in force bears the key
   that it needs.  */
int gw_tenant_is_admitted (const struct gw_listener *request_listener,
                           const struct routing_route *route,
                           const struct adapter_request *in);
/* Sets the tenant of a call whose request was admitted.  */
void gw_tenant_set (struct gw_call *call);
void gw_tenant_clear (struct gw_call *call);
/* Returns nonzero when the call's key was taken away before anything was sent
   to a runner.  */
int gw_tenant_is_revoked (const struct gw_call *call);
/* Returns the tenant's name for a line of the log, or "".  It is valid until
   the next call.  */
const char *gw_tenant_label (const struct gw_call *call);
/* Returns the priority of the request; 0 is the highest.  */
unsigned gw_tenant_priority (const struct gw_call *call);
/* Returns the urgency of a send in PHASE.  The gateway that a request is
   relayed to knows the route's priority.  */
int gw_tenant_urgency (const struct gw_call *call, enum adapter_phase phase);

/* gw_share.c */
/* Returns the time that the call may have to wait, of a usual LIMIT.  */
double gw_share_limit (struct gw_call *call, double limit);
/* Notes once that the call is sent to a runner, or refused for want of room.
 */
void gw_share_note (struct gw_call *call, int is_admitted);

/* gw_fate.c */
/* Notes that the connection to the call's runner broke before the answer, or
   early in it.  If the runner has ended, that is evidence against the request
   and the parts of its prompt.  */
void gw_fate_note_broken (struct gw_call *call);
/* Notes that the runner's answer ended early with its connection, whole or cut
   off.  It is evidence for the request if the runner is still there, and
   against it if the runner has ended.  */
void gw_fate_note_closed (struct gw_call *call);
/* Notes that the send in progress is cancelled.  If the runner has fallen
   silent and has ended, that is evidence against the request.  */
void gw_fate_note_cancelled (struct gw_call *call);

/* gw_quarantine.c */
/* Returns nonzero when an answer to KEY is worth remembering.  Most requests
   come once.  */
int gw_quarantine_is_answer_of_use (const struct gw_call *call, uint64_t key);
/* Notes that the call's runner has answered.  */
void gw_quarantine_note_answer (struct gw_call *call);
/* Returns the milliseconds for which the request or a part of its prompt
   remains in quarantine, or 0.  */
int64_t gw_quarantine_left_ms (const struct gw_call *call);
/* Returns the milliseconds for which another request with the same part, or
   the same request, is tried alone at most, or 0.  */
int64_t gw_quarantine_trial_left_ms (const struct gw_call *call);
/* Notes that the call is sent to its runner.  */
void gw_quarantine_note_send (struct gw_call *call);

/* gw_resume.c */
enum gw_resume_result
{
  GW_RESUME_KNOWN,     /* the call's BUILD is set */
  GW_RESUME_ASKED,     /* the call is dispatched again later */
  GW_RESUME_UNKNOWN,   /* the stream must not go on */
  GW_RESUME_UNREADABLE /* the records can't be read now */
};

/* Finds the version that began the stream of a call that goes on with it.  */
enum gw_resume_result gw_resume_find (struct gw_call *call);
/* Notes that the first event of this call is passed on.  */
void gw_resume_note_begun (struct gw_call *call);
/* Logs that a client takes up a stream with this call.  */
void gw_resume_log_taken_up (const struct gw_call *call);
/* Ends what gw_resume_find waits for.  */
void gw_resume_cancel (struct gw_call *call);

/* gw_usage.c */
/* Notes that a runner has begun to run the call.  It counts once.  */
void gw_usage_note_begun (struct gw_call *call);
/* gw_pace.c */
/* Notes what is expected of the send to the runner of CHOICE.  FETCHES: the
   runner fetches the KV cache.  */
void gw_pace_note_send (struct gw_call *call, const struct lb_choice *choice,
                        int fetches);
/* Notes what the runner's answer, which has begun, tells of its speed.  */
void gw_pace_note_head (struct gw_call *call);
/* Notes that the prefill has ended.  */
void gw_pace_note_read (struct gw_call *call);
/* Notes an event of a stream.  */
void gw_pace_note_event (struct gw_call *call);
/* Returns nonzero when the request is refused rather than sent to the runner
   of CHOICE, the best one, with LIMIT microseconds to its first byte.  */
int gw_pace_refuses (struct gw_call *call, const struct lb_choice *choice,
                     double limit);
/* Notes the end of a whole answer.  */
void gw_pace_note_answer (struct gw_call *call);

/* gw_probe.c */
/* Watches for a runner that becomes unreachable before the answer begins,
   which is expected after FIRST_BYTE_US.  The send then breaks; it must be one
   that may be repeated.  */
void gw_probe_watch (struct gw_call *call, double first_byte_us);
void gw_probe_unwatch (struct gw_call *call);
#endif
