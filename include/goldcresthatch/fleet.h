#ifndef GOLDCRESTHATCH_FLEET_H
#define GOLDCRESTHATCH_FLEET_H

/*
 * NAME
 *   fleet - membership and load of the runners, as known to one entry
 *
 * DESCRIPTION
 *   The inputs are the platform's VM list, REPORT and END messages, the
 *   configuration and the time.  The module takes no locks and reads no clock;
 *   NOW is in microseconds of one monotonic clock.
 *
 *   A runner is usable, that is it may get new work, when the VM list shows it
 *   as live, it has reported since the list last showed it as leaving, its
 *   last report is at most FLEET_REPORT_TIMEOUT_US old and says serving with
 *   the endpoint up, and the configuration does not withhold it.  LEAVING
 *   reported by an agent holds for the life of that incarnation.
 *
 *   A runner without a report for FLEET_REPORT_TIMEOUT_US is silent.  Only
 *   fleet_tick checks this.  After a gap of more than FLEET_TICK_GAP_MAX_US
 *   between two ticks, the time-outs of all runners start again, since the
 *   entry itself was paused.
 *
 *   When more than half of the runners that were reporting become silent
 *   within FLEET_REPORT_TIMEOUT_US, the entry's own link is the likelier
 *   fault, and the table enters self-preservation: the runners that became
 *   silent in that time, and those that become silent later, stay usable with
 *   their last report.  This does not apply to runners that were silent
 *   before, that leave the list, or that are leaving, withheld, draining or
 *   without an endpoint by the latest information.  Self-preservation ends
 *   when more than half report again; the others then have another
 *   FLEET_REPORT_TIMEOUT_US to report.
 */

#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"
#include "goldcresthatch/msg.h"

#define FLEET_REPORT_INTERVAL_US INT64_C (2000000) /* between two reports */
#define FLEET_REPORT_TIMEOUT_US (3 * FLEET_REPORT_INTERVAL_US)
#define FLEET_TICK_GAP_MAX_US                                                 \
  INT64_C (2000000) /* longer: the entry was paused */

enum
{
  FLEET_RUNNERS_MAX = 16384 /* 12 times the number of runners aimed at */
};

/* Handle of a runner; generation 0 is no runner.  Once its runner is gone, a
   handle never becomes valid again.  */
struct fleet_ref
{
  uint32_t index;
  uint32_t generation;
};

enum fleet_vm_state
{
  FLEET_VM_LIVE,
  FLEET_VM_LEAVING
};

/* One element of the platform's VM list.  */
struct fleet_vm
{
  const char *name;
  const char *address; /* IP:PORT */
  const char *zone;
  enum fleet_vm_state state;
};

struct fleet_load
{
  uint64_t requests;      /* running and queued */
  uint64_t prompt_tokens; /* waiting for prefill */
  uint64_t capacity;      /* concurrent requests; 0: unknown */
};

/* A request sent to a runner; the caller holds the record until it ends.  */
struct fleet_work
{
  struct fleet_ref ref;
  uint64_t incarnation;
  uint64_t prompt_tokens; /* that may still wait for prefill */
};

struct fleet_runner
{
  struct fleet_ref ref;
  char name[MSG_NAME_MAX_BYTES + 1];
  char address[MSG_NAME_MAX_BYTES + 1];
  char zone[MSG_NAME_MAX_BYTES + 1];
  char service[MSG_NAME_MAX_BYTES + 1];
  uint64_t incarnation;
  uint64_t window;
  uint64_t role; /* enum engine_role */
  int usable;    /* may get new work */
  int silent;    /* no report for FLEET_REPORT_TIMEOUT_US */
  int kept;      /* usable although silent: self-preservation */
  struct fleet_load load;
  uint64_t outstanding; /* requests of this entry that have not ended */
};

struct fleet;

struct fleet *fleet_new (void);
void fleet_free (struct fleet *fleet);

/* Replaces the VM list.  The handle of a runner that is no longer listed, or
   whose address changed, becomes invalid.  Returns 0, or -1 and changes
   nothing: ERR_INVALID for an empty list (a fault of the list is likelier than
   an empty fleet), for a name that is empty, too long or listed twice, and for
   an invalid address; ERR_LIMIT for more than FLEET_RUNNERS_MAX.  */
int fleet_list_update (struct fleet *fleet, const struct fleet_vm *vms,
                       size_t n, struct err *err);

/* Sets the names of the runners that the configuration drains or withdraws.  A
   name also applies to a runner that is listed later.  */
void fleet_withhold (struct fleet *fleet, const char *const *names, size_t n);

/* Applies a REPORT.  Returns 0, or -1 with ERR_NOT_FOUND for an agent that is
   not listed and ERR_CONFLICT for a report older than the last one.  An older
   report of the same incarnation that says leaving still stops new work.
   Incarnations have no order: an unknown one counts as newer, and reports of
   the one before it are refused from then on.  */
int fleet_report (struct fleet *fleet, const struct msg_report *report,
                  int64_t now, struct err *err);

/* Detects silent runners and updates self-preservation.  To be called several
   times a second.  */
void fleet_tick (struct fleet *fleet, int64_t now);

/* Adds a request sent to REF to its load.  Returns the record to pass to the
   next two functions; its generation is 0 when REF is not valid.  */
struct fleet_work fleet_sent (struct fleet *fleet, struct fleet_ref ref,
                              uint64_t prompt_tokens);

/* Records the first token of WORK: its prompt no longer waits for prefill.  */
void fleet_first_token (struct fleet *fleet, struct fleet_work *work);

/* Records the end of WORK; a second call has no effect.  END, which carries
   the runner's load, is null when no END message arrived.  */
void fleet_ended (struct fleet *fleet, struct fleet_work *work,
                  const struct msg_end *end);

/* Records that an attempt on REF failed by a crash of the endpoint or a broken
   connection: the runner is unusable until a REPORT says that the endpoint is
   up.  */
void fleet_mark_failed (struct fleet *fleet, struct fleet_ref ref);

/* Records that the entry closed its connection to REF: the runner is unusable
   until its next REPORT and does not count as silent for
   self-preservation.  */
void fleet_disconnected (struct fleet *fleet, struct fleet_ref ref);

/* Returns the runner of REF, or null.  The pointer is valid until the next
   fleet_list_update.  */
const struct fleet_runner *fleet_get (const struct fleet *fleet,
                                      struct fleet_ref ref);

/* Returns the runner with this NAME, or null.  */
const struct fleet_runner *fleet_find (const struct fleet *fleet,
                                       const char *name);

/* Returns the number of slots, and the runner in a slot or null.  */
size_t fleet_slots (const struct fleet *fleet);
const struct fleet_runner *fleet_at (const struct fleet *fleet, size_t slot);

/* Returns nonzero during self-preservation.  */
int fleet_self_preservation (const struct fleet *fleet);

#endif
