#ifndef GW_CALL_H
#define GW_CALL_H
/*
 * NAME
 *   gw_call - one request of a client, from its arrival to the last byte
 */
#include "gw.h"

enum
{
  GW_EXCLUDED_MAX = 4 /* runners that failed one request */
};

struct gw_call
{
  struct gw *gw;
  struct gw_listener *request_listener;
  uint64_t conn;
  const struct http_head *head;
  const char *body;
  size_t size;
  struct adapter_request in;
  struct routing_table *table;
  const struct routing_route *route;
  const struct routing_service *service;
  const char *service_name;
  int64_t arrived;
  int64_t deadline; /* of the client or the route, the earlier one */
  uint64_t timer;
  struct reqstate reqstate;
  int first_send_counted; /* the budget knows of its first send */
  int prompt_read; /* by an engine; reading it again counts as a repeat */
  /* The send in progress.  */
  uint64_t call;
  enum adapter_phase phase;
  struct pool_runner *runner; /* or the gateway that it is relayed to */
  int leaving;    /* the other end closes the connection after its answer */
  double reading; /* prompt tokens noted at the runner */
  int64_t sent;
  struct adapter_answer answer;
  GString *fields; /* of the runner's answer */
  GString *data;   /* of its body, as far as it wasn't passed on */
  int streaming;
  /* A prompt's memory that no runner has taken yet.  */
  char memory[128];           /* "IP:PORT/HANDLE" or empty */
  struct pool_runner *source; /* that read the prompt */
  struct pool_runner *excluded[GW_EXCLUDED_MAX];
  size_t n_excluded;
  uint64_t last_event;
};

int gw_call_idempotent (const struct gw_call *call);
/* Chooses a runner and sends, or refuses.  */
void gw_call_dispatch (struct gw_call *call);
/* Ends the call with a failure of our own, or cuts an answer that has begun.
 */
void gw_call_fail (struct gw_call *call, int time_over, const char *why);
/* The same with a time to return, where the request has not run.  */
void gw_call_refuse (struct gw_call *call, int64_t after_ms, const char *why);
void gw_call_end (struct gw_call *call);

/* gw_send.c */
int gw_send (struct gw_call *call, const struct lb_choice *choice,
             enum adapter_phase phase);
void gw_send_cancel (struct gw_call *call);
/* Takes one repeated send from the service's budget.  Returns 1 or 0.  */
int gw_send_take_retry (struct gw_call *call);
/* Sets the engine that read the prompt; null: none.  */
void gw_send_set_source (struct gw_call *call, struct pool_runner *runner);
/* Frees a prompt's memory that won't be taken.  */
void gw_send_free_handle (struct gw_call *call);
#endif
