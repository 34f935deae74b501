#ifndef ADAPTER_H
#define ADAPTER_H
/*
 * NAME
 *   adapter - interface of the adapter to a platform
 *
 * DESCRIPTION
 *   A table of functions that decode the platform's messages into the types of
 *   the gateway and encode them.  They make no decisions and keep no state.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"
#include "http_head.h"
#include "pool.h"
#include "lb.h"
#include "routing.h"

enum
{
  ADAPTER_PARTS_MAX = 64 /* parts of a prompt that are told apart */
};

/* Decoded header of a client's request.  */
struct adapter_request
{
  char id[72];
  int64_t budget_ms; /* time that the client waits; 0: not given */
  int has_prompt;
  struct lb_prompt prompt;
  /* Parts of the prompt that other requests may have in common with it: all
     but the last one.  */
  uint64_t parts[ADAPTER_PARTS_MAX];
  size_t n_parts;
  uint64_t last_event; /* the stream resumes after it; 0: from the start */
  char resumes[72];    /* id of the request that began the stream, or empty */
  struct http_str key; /* the customer's; P is null without one */
  /* What another gateway says of a request that it relays.  Clients can send
     these, too.  */
  struct http_str relayed_tenant; /* P is null: it doesn't say */
  int relayed_urgency;            /* -1: it doesn't say */
  uint64_t relayed_version;       /* of its configuration; 0: it doesn't say */
};

enum adapter_phase
{
  ADAPTER_WHOLE,        /* a plain call, or a decode with or without prefill */
  ADAPTER_PREFILL_ONLY, /* prefill; the engine keeps the KV cache for a
                           transfer */
  ADAPTER_RELAY         /* to a peer gateway */
};

/* How a request is sent to a runner.  */
struct adapter_send
{
  const char *runner_id; /* not with ADAPTER_RELAY */
  int64_t budget_ms;
  enum adapter_phase phase;
  const char *kv_handle; /* "IP:PORT/HANDLE" of the KV cache, or null */
  int urgency;           /* 0 is the highest, 9 the lowest, -1: none is sent */
  uint64_t last_event;
  const char *tenant; /* whose request it is, or null */
  uint64_t version;   /* of the configuration; with ADAPTER_RELAY */
};

/* Decoded header of a runner's answer.  */
struct adapter_answer
{
  int status;
  struct http_str id; /* of the request, as echoed */
  int not_run;        /* the runner did not run it */
  int stamped;        /* has the stamp of a runner */
  int has_load;
  unsigned running;
  unsigned waiting;
  unsigned slots;
  /* How long work takes at the runner now, in hundredths of the usual time; 0:
     not told.  */
  unsigned pace;
  int has_limit;
  double limit_per_s; /* requests a second that the runner takes from all */
  int leaving;        /* the runner takes no new work in its lifetime */
  struct http_str relayed_from; /* lifetime that a relay names */
  int64_t rest_us; /* the runner wants nothing from here for so long, or 0 */
  /* A field of the two above whose value isn't valid, or null.  */
  const char *invalid_field;
  struct http_str invalid_value;
};

/* Order to a runner to change its stage.  */
struct adapter_order
{
  enum pool_stage stage;
  const char *holder;
  uint64_t fence; /* fencing token: rises with each change of the leader */
  int64_t orders; /* expected number of orders accepted so far; -1: any */
};

/* State of a runner as it reports it.  */
struct adapter_report
{
  enum pool_stage stage;
  int busy;       /* an order is in progress */
  int64_t orders; /* accepted in this lifetime */
};

/* Call that is the duty of one gateway at a time.  */
struct adapter_duty
{
  const char *holder;
  uint64_t fence; /* fencing token: rises with each change of the holder */
};

enum adapter_duty_result
{
  ADAPTER_DUTY_DONE,
  ADAPTER_DUTY_AGAIN,  /* to be repeated later */
  ADAPTER_DUTY_REFUSED /* a repetition won't be taken either */
};

struct adapter_ops
{
  const char *config_key;
  const char *runners_prefix;
  /* Appends the header field that asks for a retry after AFTER_MS.  */
  void (*retry_after_write) (GString *out, int64_t after_ms);
  /* Appends the header field that tells another gateway that a request has
     not run and never will.  */
  void (*not_run_write) (GString *out);
  /* Returns 0, or -1 when a field is malformed.  */
  int (*request_read) (const struct http_head *head,
                       struct adapter_request *request);
  /* Appends the request; with a null BODY only its head, of a body of SIZE
     bytes.  */
  void (*request_write) (GString *out, const struct http_head *client,
                         const char *body, size_t size,
                         const struct adapter_send *send);
  void (*answer_read) (const struct http_head *head,
                       struct adapter_answer *answer);
  /* Appends the header fields of a runner's answer that are forwarded to the
     client.  */
  void (*answer_copy) (GString *out, const struct http_head *head);
  /* Appends the header field that tells another gateway which LIFETIME of a
     runner gave the answer.  */
  void (*relayed_from_write) (GString *out, const char *lifetime);
  /* Reads the KV handle of a prefill's answer into HANDLE.  Returns 0, or -1
     when there is none or it is malformed.  */
  int (*handle_read) (const char *body, size_t size, char *handle,
                      size_t handle_size);
  /* Each of the next functions appends a request to OUT or decodes its answer.
     The latter return 0, or -1 when it is malformed.  */
  void (*handle_free_write) (GString *out, const char *address,
                             const char *handle);
  void (*report_write) (GString *out, const char *address);
  void (*health_write) (GString *out, const char *address, const char *path);
  int (*report_read) (const char *body, size_t size,
                      struct adapter_report *report);
  void (*order_write) (GString *out, const char *address,
                       const char *runner_id,
                       const struct adapter_order *order);
  /* Appends a report of the requests that began to run in WINDOW.  COUNTS maps
     customers to uint64_t; null: there were none.  */
  void (*usage_write) (GString *out, const char *address,
                       const struct adapter_duty *duty, uint64_t window,
                       GHashTable *counts);
  /* Decodes the status of the answer to a duty's call.  */
  enum adapter_duty_result (*duty_result) (int status);
  /* Returns a routing table, or null with ERR.  */
  struct routing_table *(*config_read) (const char *value, size_t size,
                                        struct err *err);
  /* Returns 0, or -1 with ERR when the registry entry is malformed.  */
  int (*runner_read) (const char *id, const char *value, size_t size,
                      struct pool_entry *entry, struct err *err);
  int (*is_ready_path) (struct http_str target);
};
#endif
