#ifndef GOLDCRESTHATCH_MSG_H
#define GOLDCRESTHATCH_MSG_H

/*
 * NAME
 *   msg - typed messages between entry and agent
 *
 * DESCRIPTION
 *   A message is a msgpack array [version, type, fields...].  The fields of
 *   each type stand in a static table, which both directions of the codec
 *   read.  Decoded strings point into the frame that was decoded and live as
 *   long as it does.
 */

#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"

enum
{
  MSG_VERSION = 1,
  MSG_MAX_BYTES = 4 << 20,
  MSG_ANSWER_MAX_BYTES = 8 << 20, /* of an answer that isn't a stream */
  MSG_NAME_MAX_BYTES = 64         /* of a name or a short text */
};

enum msg_type
{
  MSG_HELLO,
  MSG_REPORT,
  MSG_CALL,
  MSG_HEAD,
  MSG_DATA,
  MSG_END,
  MSG_CANCEL,
  MSG_VOID,
  MSG_VOIDED,
  MSG_ORDER,
  MSG_ORDERED,
  MSG_CFG_GET,
  MSG_CFG_DATA,
  MSG_TYPE_MAX
};

/* A byte string that is not terminated.  */
struct msg_str
{
  const char *p;
  size_t n;
};

/* A 128-bit random identifier of a call or an attempt.  */
struct msg_id
{
  uint64_t hi;
  uint64_t lo;
};

enum msg_agent_state
{
  MSG_AGENT_SERVING,
  MSG_AGENT_DRAINING,
  MSG_AGENT_LEAVING,
  MSG_AGENT_STATE_MAX
};

enum msg_outcome
{
  MSG_OUTCOME_DONE,    /* the endpoint's whole answer was delivered */
  MSG_OUTCOME_NOT_RUN, /* the endpoint did not and will not run the call */
  MSG_OUTCOME_UNKNOWN, /* the endpoint may have run the call */
  MSG_OUTCOME_CRASHED, /* the endpoint ended while it ran the call */
  MSG_OUTCOME_MAX
};

enum msg_void_state
{
  MSG_VOID_NEVER_RAN, /* voided: it did not run and never will */
  MSG_VOID_RUNNING,
  MSG_VOID_DONE,
  MSG_VOID_UNKNOWN,
  MSG_VOID_STATE_MAX
};

enum msg_order_state
{
  MSG_ORDER_ACCEPTED,
  MSG_ORDER_REFUSED,
  MSG_ORDER_REACHED,
  MSG_ORDER_FAILED,
  MSG_ORDER_STATE_MAX
};

/* First message on a connection; an agent answers with a REPORT.  */
struct msg_hello
{
  struct msg_str entry;
  uint64_t incarnation;
  uint64_t cfg_generation;
};

struct msg_report
{
  struct msg_str agent;
  uint64_t incarnation;
  uint64_t window;
  uint64_t state; /* enum msg_agent_state */
  uint64_t endpoint_up;
  struct msg_str service; /* model or plain service served by the endpoint */
  struct msg_str zone;
  uint64_t role;          /* enum engine_role */
  uint64_t running;       /* requests in the batch */
  uint64_t queued;        /* requests waiting for the batch */
  uint64_t prompt_tokens; /* prompt tokens waiting for prefill */
  uint64_t capacity;      /* requests that the endpoint may run at once */
  uint64_t cfg_generation;
  uint64_t fence; /* highest fencing token accepted */
  uint64_t known; /* ROLE and the next four were read from the runner */
  uint64_t drain; /* no new work is accepted */
  uint64_t withdraw;
  struct msg_str model; /* loaded by the engine */
  struct msg_str version;
  uint64_t prompt_done; /* tokens served since the agent started */
  uint64_t output_done;
};

struct msg_call
{
  struct msg_id call;
  struct msg_id attempt;
  uint64_t incarnation; /* of the agent that the call is addressed to */
  uint64_t window;      /* of that agent when the call was addressed */
  uint64_t at_most_once;
  struct msg_str method;
  struct msg_str path;
  struct msg_str content_type;
  struct msg_str body;
  uint64_t budget_ms; /* time left until the caller's deadline */
  uint64_t priority;
  uint64_t stream;
  uint64_t resume_index; /* tokens that the caller already has */
  uint64_t fingerprint;
  uint64_t suspect; /* it may have crashed an endpoint */
  struct msg_str traceparent;
};

/* Status and type of an answer, before its first DATA.  */
struct msg_head
{
  struct msg_id call;
  struct msg_id attempt;
  uint64_t status;
  struct msg_str content_type;
};

struct msg_data
{
  struct msg_id call;
  struct msg_id attempt;
  uint64_t sequence; /* from 0, one up for each DATA of the attempt */
  struct msg_str bytes;
};

struct msg_end
{
  struct msg_id call;
  struct msg_id attempt;
  uint64_t frames;  /* DATA messages sent before this one */
  uint64_t outcome; /* enum msg_outcome */
  struct msg_str step;
  struct msg_str text;
  uint64_t running;
  uint64_t queued;
  uint64_t cfg_generation;
  uint64_t queue_start_us; /* since the Unix epoch; 0 when there was none */
  uint64_t run_start_us;   /* 0 when the endpoint was not asked */
  uint64_t end_us;
  uint64_t run_span; /* bytes of the span id that the endpoint was given */
  uint64_t crash;    /* number of the crash in the agent's incarnation, for
                        MSG_OUTCOME_CRASHED */
};

struct msg_cancel
{
  struct msg_id call;
  struct msg_id attempt;
};

struct msg_void
{
  struct msg_id attempt;
  uint64_t incarnation;
  uint64_t window;
};

struct msg_voided
{
  struct msg_id attempt;
  uint64_t state; /* enum msg_void_state */
  uint64_t status;
  struct msg_str content_type;
  uint64_t held; /* BODY is the whole body, not left out for its size */
  uint64_t size;
  uint64_t digest; /* XXH64 of the whole body */
  struct msg_str body;
};

struct msg_order
{
  struct msg_str shard;
  uint64_t fence;
  struct msg_id order;
  uint64_t role; /* enum engine_role */
  uint64_t drain;
  uint64_t withdraw;
  struct msg_str model;
  struct msg_str version;
};

struct msg_ordered
{
  struct msg_id order;
  uint64_t state; /* enum msg_order_state */
  struct msg_str step;
  struct msg_str text;
};

struct msg_cfg_get
{
  uint64_t generation; /* the generation that the sender holds */
};

struct msg_cfg_data
{
  uint64_t generation;
  struct msg_str sections; /* JSON of the sections changed since then */
};

struct msg
{
  enum msg_type type;
  union
  {
    struct msg_hello hello;
    struct msg_report report;
    struct msg_call call;
    struct msg_head head;
    struct msg_data data;
    struct msg_end end;
    struct msg_cancel cancel;
    struct msg_void bar;
    struct msg_voided voided;
    struct msg_order order;
    struct msg_ordered ordered;
    struct msg_cfg_get cfg_get;
    struct msg_cfg_data cfg_data;
  } u;
};

/* Encodes MSG into a buffer that the caller frees with free().  Returns 0, or
   -1 with ERR_LIMIT when the message would be larger than MSG_MAX_BYTES.  */
int msg_encode (const struct msg *msg, void **data, size_t *size,
                struct err *err);

/* Decodes DATA into MSG, whose strings then point into DATA.  Returns 0, or -1
   with ERR_PROTOCOL; no input crashes it or reads beyond SIZE.  */
int msg_decode (const void *data, size_t size, struct msg *msg,
                struct err *err);

/* Returns the name of TYPE, such as "REPORT".  */
const char *msg_type_name (enum msg_type type);

/* Returns the string S as a msg_str; a null S is the empty string.  */
struct msg_str msg_str_from (const char *s);

/* Copies S to DST of SIZE bytes, cut to fit and terminated.  */
void msg_str_copy (char *dst, size_t size, struct msg_str s);

/* Returns nonzero when A and B are the same identifier.  */
int msg_id_equal (struct msg_id a, struct msg_id b);

/* Returns a new random identifier.  */
struct msg_id msg_id_new (void);

#endif
