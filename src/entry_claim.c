#include "entry.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "goldcresthatch/call.h"
#include "goldcresthatch/ctr.h"
#include "goldcresthatch/log.h"

enum
{
  /* A record is kept for at least 24 h: the lease is replaced once it is an
     hour old, and no claim is made under an older one.  */
  LEASE_TTL_MS = 25 * 3600 * 1000,
  LEASE_REPLACE_S = 50 * 60,
  LEASE_USE_S = 60 * 60,

  RETRY_MIN_MS = 150,
  RETRY_MAX_MS = 2000,
  ASK_FIRST_MS = 2000, /* after CALL, before the agent is asked by VOID */
  ASK_AGAIN_MS = 500,
  /* How long a claim may stay unreadable before the caller is told.  */
  OUTAGE_ANSWER_MS = 3000,

  /* During an outage each operation holds a worker for the adapter's timeout.
     After this many failures in a row, only one operation in each period is
     tried, so that no queue builds up before the workers; the others wait for
     OUTAGE_ANSWER_MS and then fail without an effect.  */
  FAILURES_MAX = 8,
  TRY_PERIOD_MS = 250,

  HASH_BYTES = 16,
  DRAWN_BYTES = 16,
  STATUS_BAD_GATEWAY = 502,
  STATUS_UNAVAILABLE = 503,
  STATUS_GATEWAY_TIMEOUT = 504,
  STATUS_CONFLICT = 409,
  MS = 1000 /* microseconds */
};

struct entry_lease
{
  pthread_mutex_t lock;
  uint64_t id; /* 0 before the first */
  gint64 granted_us;
  unsigned failures; /* of operations, in a row */
  gint64 try_us;     /* time of the next operation after too many */
};

struct claim_task;

struct entry_claim
{
  struct call call;
  struct entry_runner runner; /* chosen for the own attempt */
  int counted;                /* the attempt is counted on RUNNER */
  int sent;                   /* CALL was given to the network */
  int own_end;                /* END of the own attempt brought the result */
  int busy;                   /* a key-value operation is in progress */
  int answered;
  int over;
  int gone;                /* the caller has left */
  unsigned retries;        /* pauses in a row */
  gint64 retry_us;         /* time of CALL_EV_RETRY, or 0 */
  gint64 ask_us;           /* time of CALL_EV_NO_ANSWER, or 0 */
  gint64 trouble_us;       /* start of the pauses for the service, or 0 */
  struct claim_task *held; /* operation to be tried at the next tick */
  gint64 held_us;          /* when an operation was first held, or 0 */
  char key[KV_KEY_MAX];
};

/* One key-value operation.  */
struct claim_task
{
  struct entry_task task;
  struct entry_call *call;
  enum call_action_kind kind;
  char *text; /* of a write */
  uint64_t prev;
};

static void step (struct entry_call *call, const struct call_event *event);

static void
step_kind (struct entry_call *call, enum call_event_kind kind)
{
  struct call_event event = { .kind = kind };

  step (call, &event);
}

static void
run_task (gpointer data, gpointer ctx)
{
  struct entry_task *task = data;

  (void)ctx;
  task->run (task);
}

int
entry_claim_open (struct entry *entry, struct err *err)
{
  entry->workers = g_thread_pool_new (
      run_task, entry, (gint)entry->settings.workers, FALSE, NULL);
  if (entry->workers == NULL)
    return err_set (err, ERR_LIMIT, "workers", NULL, "cannot start a thread");
  entry->lease = g_new0 (struct entry_lease, 1);
  pthread_mutex_init (&entry->lease->lock, NULL);
  return 0;
}

void
entry_claim_close (struct entry *entry)
{
  g_thread_pool_free (entry->workers, FALSE, TRUE);
  pthread_mutex_destroy (&entry->lease->lock);
  g_free (entry->lease);
}

/* Returns the lease for a record written now, or 0 when none can be had.  */
static uint64_t
current_lease (struct entry *entry, struct err *err)
{
  struct entry_lease *lease = entry->lease;
  gint64 now = g_get_monotonic_time ();
  uint64_t granted;
  uint64_t id;
  gint64 age_s;

  pthread_mutex_lock (&lease->lock);
  id = lease->id;
  age_s = (now - lease->granted_us) / G_USEC_PER_SEC;
  pthread_mutex_unlock (&lease->lock);
  if (id != 0 && age_s < LEASE_REPLACE_S)
    return id;
  if (kv_lease_grant (entry->kv, LEASE_TTL_MS, &granted, err) != 0)
    return id != 0 && age_s < LEASE_USE_S ? id : 0;
  pthread_mutex_lock (&lease->lock);
  lease->id = granted;
  lease->granted_us = now;
  pthread_mutex_unlock (&lease->lock);
  return granted;
}

/* Whether an operation may be sent to the service now.  */
static int
may_try (struct entry_lease *lease)
{
  gint64 now = g_get_monotonic_time ();
  int may = 1;

  pthread_mutex_lock (&lease->lock);
  if (lease->failures >= FAILURES_MAX)
    {
      may = now >= lease->try_us;
      if (may)
        lease->try_us = now + (gint64)TRY_PERIOD_MS * MS;
    }
  pthread_mutex_unlock (&lease->lock);
  return may;
}

static void
note_result (struct entry_lease *lease, int failed)
{
  pthread_mutex_lock (&lease->lock);
  lease->failures = failed ? lease->failures + 1 : 0;
  pthread_mutex_unlock (&lease->lock);
}

static void
write_record (struct claim_task *task, struct call_event *event,
              struct err *err)
{
  struct entry_call *call = task->call;
  uint64_t lease = current_lease (call->entry, err);
  int rc;

  event->kind = CALL_EV_WRITE_REFUSED;
  if (lease == 0 || task->text == NULL)
    return;
  rc = kv_cas (call->entry->kv, call->claim->key, task->prev, task->text,
               strlen (task->text), lease, &event->revision, err);
  if (rc == 1)
    event->kind = CALL_EV_WRITE_DONE;
  else if (rc == 0)
    event->kind = CALL_EV_WRITE_CONFLICT;
  else if (err->code != ERR_REFUSED)
    event->kind = CALL_EV_WRITE_LOST;
}

static void
read_record (struct claim_task *task, struct call_event *event,
             struct call_record *record, struct err *err)
{
  struct kv_value value = { 0 };
  int rc = kv_get (task->call->entry->kv, task->call->claim->key, &value, err);

  event->kind = rc == 0 ? CALL_EV_READ_ABSENT : CALL_EV_READ_FAILED;
  if (rc != 1)
    return;
  event->kind = CALL_EV_READ_BAD;
  event->revision = value.revision;
  if (call_record_decode (value.data, value.size, record, err) == 0)
    {
      event->kind = CALL_EV_READ_DONE;
      event->record = record;
    }
  kv_value_free (&value);
}

static int
is_trouble (enum call_event_kind kind)
{
  return kind == CALL_EV_WRITE_LOST || kind == CALL_EV_WRITE_REFUSED
         || kind == CALL_EV_READ_FAILED || kind == CALL_EV_READ_BAD;
}

/* Keeps a task for the next tick while the service is down, unless the caller
   has waited long enough.  Returns nonzero when it is kept.  */
static int
hold_task (struct claim_task *task)
{
  struct entry_call *call = task->call;
  struct entry_claim *claim = call->claim;
  gint64 now = g_get_monotonic_time ();
  int hold;

  pthread_mutex_lock (&call->lock);
  if (claim->held_us == 0)
    claim->held_us = now;
  hold = !claim->answered && now < call->deadline_us
         && now - claim->held_us < (gint64)OUTAGE_ANSWER_MS * MS;
  if (hold)
    claim->held = task;
  pthread_mutex_unlock (&call->lock);
  return hold;
}

/* Runs the operation, or fails it without an effect unless TRY is set.  */
static void
carry_out (struct claim_task *task, int try, struct call_event *event,
           struct call_record *record, struct err *err)
{
  struct entry *entry = task->call->entry;
  int write = task->kind == CALL_ACT_WRITE;

  if (!try)
    {
      event->kind = write ? CALL_EV_WRITE_REFUSED : CALL_EV_READ_FAILED;
      err_set (err, ERR_REFUSED, "kv", entry->settings.kv,
               "the service has failed and is not asked now");
      return;
    }
  if (write)
    write_record (task, event, err);
  else
    read_record (task, event, record, err);
  note_result (entry->lease,
               is_trouble (event->kind) && event->kind != CALL_EV_READ_BAD);
}

/* Worker: carries out one operation and goes on with the call.  */
static void
run_claim_task (struct entry_task *base)
{
  struct claim_task *task = (struct claim_task *)base;
  struct entry_call *call = task->call;
  struct call_record record = { 0 };
  struct call_event event = { 0 };
  struct err err = { 0 };
  int try = may_try (call->entry->lease);

  if (!try && hold_task (task))
    return;
  carry_out (task, try, &event, &record, &err);
  if (is_trouble (event.kind))
    log_err (LOG_LEVEL_INFO, call->traceparent, &err);
  pthread_mutex_lock (&call->lock);
  call->claim->busy = 0;
  if (!is_trouble (event.kind))
    call->claim->trouble_us = 0;
  else if (call->claim->trouble_us == 0)
    call->claim->trouble_us = g_get_monotonic_time ();
  step (call, &event);
  pthread_mutex_unlock (&call->lock);
  call_record_clear (&record);
  free (task->text);
  g_free (task);
  entry_call_unref (call);
}

static void
push_task (struct entry_call *call, const struct call_action *action)
{
  struct claim_task *task = g_new0 (struct claim_task, 1);
  struct err err;

  task->task.run = run_claim_task;
  task->call = entry_call_ref (call);
  task->kind = action->kind;
  task->prev = action->prev;
  if (action->kind == CALL_ACT_WRITE
      && call_record_encode (action->record, &task->text, &err) != 0)
    log_err (LOG_LEVEL_ERROR, call->traceparent, &err);
  call->claim->busy = 1;
  g_thread_pool_push (call->entry->workers, task, NULL);
}

static void
release_runner (struct entry_call *call)
{
  if (call->claim->counted)
    entry_fleet_release (call->entry, call->claim->runner.peer, call, NULL);
  call->claim->counted = 0;
  call->runner_peer = 0;
}

static void
send_void (struct entry_call *call, const struct call_record *record)
{
  struct msg msg = { .type = MSG_VOID };
  uint64_t peer = entry_fleet_peer (call->entry, record->agent);

  call->claim->ask_us = g_get_monotonic_time () + (gint64)ASK_AGAIN_MS * MS;
  if (peer == 0)
    return;
  msg.u.bar.attempt = record->attempt;
  msg.u.bar.incarnation = record->incarnation;
  msg.u.bar.window = record->window;
  net_send (call->entry->net, peer, &msg, NULL);
}

static void
send_call (struct entry_call *call)
{
  struct entry_claim *claim = call->claim;

  ctr_add (CTR_CLAIMS, 1);
  claim->sent = 1;
  claim->ask_us = g_get_monotonic_time () + (gint64)ASK_FIRST_MS * MS;
  entry_call_send (call, &claim->runner);
}

/* Sets the time of the next try: doubled for each pause in a row, and drawn at
   random, so that entries don't return to a recovered service at once.  */
static void
set_retry (struct entry_claim *claim)
{
  gint32 ms = RETRY_MIN_MS << MIN (claim->retries, 4);

  if (claim->call.state == CALL_ST_WAIT)
    ms = RETRY_MIN_MS;
  claim->retries++;
  ms = g_random_int_range (MIN (ms, RETRY_MAX_MS) / 2 + 1,
                           MIN (ms, RETRY_MAX_MS) + 1);
  claim->retry_us = g_get_monotonic_time () + (gint64)ms * MS;
}

/* A result whose body was too large to be recorded is answered by its size and
   digest.  */
static void
answer_done (struct entry_call *call, const struct call_result *result)
{
  if (!call->claim->own_end)
    {
      call->recorded = 1;
      call->status = result->status;
      g_strlcpy (call->answer_type, result->content_type,
                 sizeof call->answer_type);
      g_string_truncate (call->answer, 0);
      if (result->body != NULL)
        g_string_append_len (call->answer, result->body, (gssize)result->size);
      else
        {
          g_strlcpy (call->answer_type, "application/json",
                     sizeof call->answer_type);
          g_string_printf (
              call->answer,
              "{\"recorded\":{\"size\":%zu,\"xxh64\":\"%016llx\"}}",
              result->size, (unsigned long long)result->digest);
        }
    }
  entry_call_answered (call);
}

static void
answer_unknown (struct entry_call *call)
{
  const struct entry_claim *claim = call->claim;

  if (claim->trouble_us != 0 && !claim->sent)
    entry_call_fail (call, STATUS_UNAVAILABLE, ENTRY_OUTCOME_UNKNOWN, ERR_IO,
                     "claim", call->entry->settings.kv,
                     "the claim cannot be read; send the request again under "
                     "the same key");
  else if (g_get_monotonic_time () >= call->deadline_us)
    entry_call_fail (call, STATUS_GATEWAY_TIMEOUT, ENTRY_OUTCOME_UNKNOWN,
                     ERR_TIMEOUT, "run", claim->runner.name,
                     "the deadline passed");
  else
    entry_call_fail (call, STATUS_BAD_GATEWAY, ENTRY_OUTCOME_UNKNOWN, ERR_IO,
                     "run", claim->runner.name,
                     "the outcome of the call is not known");
}

static void
answer_not_run (struct entry_call *call)
{
  entry_call_fail (call, STATUS_UNAVAILABLE, ENTRY_OUTCOME_NOT_RUN,
                   ERR_REFUSED, "claim", call->claim->runner.name,
                   "the call did not run");
}

int
entry_claim_unread (const struct entry_call *call)
{
  return call->at_most_once && call->key[0] != '\0' && !call->key_drawn;
}

static void
answer (struct entry_call *call, const struct call_action *action)
{
  struct entry_claim *claim = call->claim;

  claim->answered = 1;
  release_runner (call);
  if (call->ended)
    return;
  switch (action->outcome)
    {
    case CALL_OUTCOME_DONE:
      answer_done (call, action->result);
      return;
    case CALL_OUTCOME_INVALID:
      entry_call_fail (call, STATUS_CONFLICT, ENTRY_OUTCOME_INVALID,
                       ERR_CONFLICT, "claim", NULL,
                       "the Idempotency-Key belongs to another request");
      return;
    case CALL_OUTCOME_NOT_RUN:
      /* Without a FREE record, nothing is known of an earlier request.  */
      if (!claim->call.spent && entry_claim_unread (call))
        answer_unknown (call);
      else
        answer_not_run (call);
      return;
    default:
      /* Nobody else knows a drawn key, so only the own CALL could run.  */
      if (!claim->sent && call->key_drawn)
        answer_not_run (call);
      else
        answer_unknown (call);
      return;
    }
}

/* Ends the claim; the caller's part may have ended before.  */
static void
end_claim (struct entry_call *call)
{
  struct entry *entry = call->entry;

  call->claim->over = 1;
  if (!call->claim->gone)
    return;
  pthread_mutex_lock (&entry->lock);
  g_hash_table_remove (entry->calls, &call->id);
  pthread_mutex_unlock (&entry->lock);
}

static void
step (struct entry_call *call, const struct call_event *event)
{
  struct entry_claim *claim = call->claim;
  struct call_action action;

  call_step (&claim->call, event, &action);
  if (action.kind != CALL_ACT_NONE)
    {
      claim->retry_us = 0;
      claim->ask_us = 0;
    }
  if (action.answer)
    answer (call, &action);
  switch (action.kind)
    {
    case CALL_ACT_NONE:
      return;
    case CALL_ACT_WRITE:
    case CALL_ACT_READ:
      push_task (call, &action);
      return;
    case CALL_ACT_SEND:
      send_call (call);
      return;
    case CALL_ACT_VOID:
      send_void (call, action.record);
      return;
    case CALL_ACT_WAIT:
      set_retry (claim);
      return;
    case CALL_ACT_OVER:
      end_claim (call);
      return;
    }
}

/* Appends S to the key at OUT, with every byte that is not safe in a path as
   "~XX".  */
static void
append_safe (GString *out, const char *s)
{
  for (; *s != '\0'; s++)
    if (g_ascii_isalnum (*s) || *s == '-' || *s == '_')
      g_string_append_c (out, *s);
    else
      g_string_append_printf (out, "~%02X", (unsigned char)*s);
}

static void
make_key (struct entry_call *call)
{
  unsigned char random[DRAWN_BYTES];
  unsigned char hash[HASH_BYTES];
  char hex[2 * HASH_BYTES + 1];
  GString *key = g_string_new ("claim/");

  if (call->key[0] == '\0')
    {
      randombytes_buf (random, sizeof random);
      sodium_bin2hex (call->key, sizeof call->key, random, sizeof random);
      call->key_drawn = 1;
    }
  crypto_generichash (hash, sizeof hash, (const unsigned char *)call->key,
                      strlen (call->key), NULL, 0);
  sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
  append_safe (key, call->customer);
  /* An empty customer; "~" alone stands for no byte.  */
  if (call->customer[0] == '\0')
    g_string_append_c (key, '~');
  g_string_append_printf (key, "/%s", hex);
  g_strlcpy (call->claim->key, key->str, sizeof call->claim->key);
  g_string_free (key, TRUE);
}

static uint64_t
fingerprint (const struct entry_call *call)
{
  XXH64_state_t *state = XXH64_createState ();
  uint64_t digest;

  XXH64_reset (state, 0);
  XXH64_update (state, call->customer, strlen (call->customer) + 1);
  XXH64_update (state, call->method, strlen (call->method) + 1);
  XXH64_update (state, call->path, strlen (call->path) + 1);
  if (call->body->len > 0)
    XXH64_update (state, call->body->data, call->body->len);
  digest = XXH64_digest (state);
  XXH64_freeState (state);
  return digest;
}

void
entry_claim_start (struct entry_call *call, const struct entry_runner *runner)
{
  struct call_record record = { .fingerprint = fingerprint (call),
                                .attempt = call->attempt,
                                .incarnation = runner->incarnation,
                                .window = runner->window };

  call->claim = g_new0 (struct entry_claim, 1);
  call->claim->runner = *runner;
  call->claim->counted = 1;
  make_key (call);
  g_strlcpy (record.agent, runner->name, sizeof record.agent);
  g_strlcpy (record.entry, call->entry->settings.name, sizeof record.entry);
  call_init (&call->claim->call, &record);
  step_kind (call, CALL_EV_START);
}

void
entry_claim_ended (struct entry_call *call, enum msg_outcome outcome)
{
  struct entry_claim *claim = call->claim;
  struct call_result result = { .status = call->status,
                                .body = call->answer->str,
                                .size = call->answer->len };
  struct call_event event = { .kind = CALL_EV_END,
                              .attempt = call->attempt,
                              .end_outcome = outcome,
                              .result = &result };

  claim->counted = 0;
  if (claim->busy || claim->answered)
    return;
  g_strlcpy (result.content_type, call->answer_type,
             sizeof result.content_type);
  claim->own_end = outcome == MSG_OUTCOME_DONE;
  /* The run table may know what the messages have lost.  */
  if (outcome == MSG_OUTCOME_UNKNOWN)
    event.kind = CALL_EV_NO_ANSWER;
  step (call, &event);
}

void
entry_claim_lost (struct entry_call *call)
{
  if (!call->claim->busy && !call->claim->answered)
    step_kind (call, CALL_EV_NO_ANSWER);
}

static int
is_asking (const struct entry_claim *claim)
{
  return claim->call.state == CALL_ST_SENT
         || claim->call.state == CALL_ST_ASK_OWN
         || claim->call.state == CALL_ST_ASK_OTHER;
}

/* Whether the caller is to be told that its claim cannot be settled now.  */
static int
is_late (const struct entry_call *call, gint64 now_us)
{
  const struct entry_claim *claim = call->claim;

  return now_us >= call->deadline_us
         || (claim->call.state == CALL_ST_BACKOFF && claim->trouble_us != 0
             && now_us - claim->trouble_us >= (gint64)OUTAGE_ANSWER_MS * MS);
}

void
entry_claim_tick (struct entry_call *call, gint64 now_us)
{
  struct entry_claim *claim = call->claim;

  if (claim->held != NULL)
    {
      g_thread_pool_push (call->entry->workers, claim->held, NULL);
      claim->held = NULL;
    }
  if (claim->busy || claim->over)
    return;
  if (!claim->answered && is_late (call, now_us))
    step_kind (call, CALL_EV_DEADLINE);
  else if (claim->retry_us != 0 && now_us >= claim->retry_us)
    step_kind (call, CALL_EV_RETRY);
  else if (is_asking (claim) && now_us >= claim->ask_us)
    {
      claim->ask_us = now_us + (gint64)ASK_AGAIN_MS * MS;
      step_kind (call, CALL_EV_NO_ANSWER);
    }
}

void
entry_claim_voided (struct entry *entry, uint64_t peer, const struct msg *msg)
{
  const struct msg_voided *voided = &msg->u.voided;
  GPtrArray *calls = entry_call_all (entry);
  struct call_result result = { .status = (unsigned)voided->status,
                                .size = (size_t)voided->size,
                                .digest = voided->digest };
  struct call_event event = { .kind = CALL_EV_VOIDED,
                              .attempt = voided->attempt,
                              .void_state = (enum msg_void_state)voided->state,
                              .result = &result };
  guint i;

  (void)peer;
  msg_str_copy (result.content_type, sizeof result.content_type,
                voided->content_type);
  if (voided->held && voided->body.n == voided->size)
    {
      result.body = g_malloc0 (voided->body.n + 1);
      memcpy (result.body, voided->body.p, voided->body.n);
    }
  for (i = 0; i < calls->len; i++)
    {
      struct entry_call *call = g_ptr_array_index (calls, i);

      pthread_mutex_lock (&call->lock);
      if (call->claim != NULL && !call->claim->busy && !call->claim->over)
        step (call, &event);
      pthread_mutex_unlock (&call->lock);
    }
  g_free (result.body);
  g_ptr_array_free (calls, TRUE);
}

int
entry_claim_abandon (struct entry_call *call)
{
  call->claim->gone = 1;
  call->suspended = 0;
  return !call->claim->over;
}

void
entry_claim_free (struct entry_call *call)
{
  if (call->claim == NULL)
    return;
  call_clear (&call->claim->call);
  g_free (call->claim);
}
