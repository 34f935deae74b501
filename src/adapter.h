#ifndef ADAPTER_H
#define ADAPTER_H
/*
 * NAME
 *   adapter - adapter between the product and a platform
 *
 * DESCRIPTION
 *   A table of functions that turn the platform's messages into the product's
 *   types and back.  They decide nothing and keep no state.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"
#include "http_head.h"
#include "pool.h"
#include "lb.h"
#include "routing.h"

/* What a client's request says.  */
struct adapter_request
{
  char id[72];
  int64_t budget_ms; /* the client waits so long; 0 when it doesn't say */
  int has_prompt;
  struct lb_prompt prompt;
  uint64_t last_event; /* the stream goes on after it; 0 is the start */
};

enum adapter_phase
{
  ADAPTER_WHOLE,        /* a plain call, or an engine reads and generates */
  ADAPTER_PREFILL_ONLY, /* an engine reads the prompt and keeps its memory */
  ADAPTER_RELAY         /* another gateway serves it */
};

/* How a request is sent to a runner.  */
struct adapter_send
{
  const char *runner_id; /* not with ADAPTER_RELAY */
  int64_t budget_ms;
  enum adapter_phase phase;
  const char *memory; /* "IP:PORT/HANDLE" of a prompt that was read, or null */
  int urgency;        /* 0 is the highest, 9 the lowest, -1 the runner's own */
  uint64_t last_event;
};

/* What the head of a runner's answer says.  */
struct adapter_answer
{
  int status;
  struct http_str id; /* of the request, as echoed */
  int not_run;        /* it was not run there */
  int stamped;        /* by a runner */
  int has_load;
  unsigned running;
  unsigned waiting;
  unsigned slots;
};

struct adapter_order
{
  enum pool_stage stage;
  const char *holder;
  uint64_t fence; /* rises with each change of the holder */
  int64_t orders; /* that the runner has accepted so far; -1: unknown */
};

/* State of a runner as it reports it.  */
struct adapter_report
{
  enum pool_stage stage;
  int busy; /* an order is in progress */
  int64_t orders;
};

struct adapter_ops
{
  const char *config_key;
  const char *runners_prefix;
  /* Lines of an answer's head that ask for a return in AFTER_MS.  */
  void (*retry_after_write) (GString *out, int64_t after_ms);
  /* Returns 0, or -1 when a field is malformed.  */
  int (*request_read) (const struct http_head *head,
                       struct adapter_request *request);
  void (*request_write) (GString *out, const struct http_head *client,
                         const char *body, size_t size,
                         const struct adapter_send *send);
  void (*answer_read) (const struct http_head *head,
                       struct adapter_answer *answer);
  /* Appends the lines of the runner's head that its client gets.  */
  void (*answer_copy) (GString *out, const struct http_head *head);
  /* Reads the name of a prompt's memory into HANDLE.  Returns 0 or -1.  */
  int (*handle_read) (const char *body, size_t size, char *handle,
                      size_t handle_size);
  void (*handle_free_write) (GString *out, const char *address,
                             const char *handle);
  void (*report_write) (GString *out, const char *address);
  int (*report_read) (const char *body, size_t size,
                      struct adapter_report *report);
  void (*order_write) (GString *out, const char *address,
                       const char *runner_id,
                       const struct adapter_order *order);
  /* Returns a table, or null with ERR.  */
  struct routing_table *(*config_read) (const char *value, size_t size,
                                        struct err *err);
  /* Returns 0, or -1 with ERR when the entry names no runner.  */
  int (*runner_read) (const char *id, const char *value, size_t size,
                      struct pool_entry *entry, struct err *err);
  int (*is_ready_path) (struct http_str target);
};
#endif
