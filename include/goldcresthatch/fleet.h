#ifndef GOLDCRESTHATCH_FLEET_H
#define GOLDCRESTHATCH_FLEET_H

/*
 * NAME
 *   fleet - one entry's view of the runners: membership and load
 *
 * DESCRIPTION
 *   The table is fed by the platform's VM list, by REPORT and END contents, by
 *   the configuration and by time.  It holds no locks and reads no clock; NOW
 *   is in microseconds of one monotonic clock.
 *
 *   A runner may get new work when the list shows it as live, it has reported
 *   since the last leaving state that was seen, its last report is at most
 *   FLEET_REPORT_TIMEOUT_US old, the report says serving with the endpoint up,
 * and the configuration does not withhold it.  LEAVING reported by an agent
 * holds for the life of that incarnation.
 *
 *   Silence is judged in fleet_tick only.  A gap of more than
 * FLEET_TICK_GAP_MAX_US between two ticks restarts the silence count of all
 * runners.  When more than half of the runners that were reporting fall silent
 * within FLEET_REPORT_TIMEOUT_US, the entry's own link is the likelier fault.
 * It then keeps as usable, with their last report, the runners that fell
 * silent in that time and those that fall silent later.  Runners that were
 * silent before, leave the list, or are leaving, withheld, draining or without
 * an endpoint by the latest word are not kept.  This ends when more than half
 *   report again; the others then get one more silence period.
 */

#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"
#include "goldcresthatch/msg.h"

#define FLEET_REPORT_INTERVAL_US INT64_C (2000000) /* between two reports */
#define FLEET_REPORT_TIMEOUT_US (3 * FLEET_REPORT_INTERVAL_US)
#define FLEET_TICK_GAP_MAX_US                                                 \
  INT64_C (2000000) /* between ticks of a running entry */

enum
{
  FLEET_RUNNERS_MAX = 16384 /* runners; 12 times the target size */
};

/* Handle of a runner; generation 0 names none.  A handle is never valid again
   once its runner is gone.  */
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

/* One line of the platform's list.  */
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
  uint64_t capacity;      /* requests at once; 0 is unknown */
};

/* Work sent to a runner, kept by the sender until it ends.  */
struct fleet_work
{
  struct fleet_ref ref;
  uint64_t incarnation;
  uint64_t prompt_tokens; /* not yet known to be prefilled */
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
  int silent;
  int kept; /* usable although silent; see DESCRIPTION */
  struct fleet_load load;
  uint64_t outstanding; /* requests of this entry without an END */
};

struct fleet;

struct fleet *fleet_new (void);
void fleet_free (struct fleet *fleet);

/* Replaces the list.  A runner that is no longer listed, or whose address
   changed, loses its handle.  Returns 0, or -1 and changes nothing:
   ERR_INVALID for an empty list (a fault of the list is likelier than an empty
   fleet), a name that is empty, too long or double, a bad address; ERR_LIMIT.
 */
int fleet_list_update (struct fleet *fleet, const struct fleet_vm *vms,
                       size_t n, struct err *err);

/* Replaces the names that the configuration drains or withdraws; names that
   are not listed yet are remembered.  */
void fleet_withhold (struct fleet *fleet, const char *const *names, size_t n);

/* Takes in a REPORT.  Returns 0, or -1 with ERR_NOT_FOUND for an agent that is
   not listed and ERR_CONFLICT for a report older than the one held.  An older
   report that says leaving still stops new work.  Incarnations have no order:
   one that is not known is taken as newer, and the one before is refused.  */
int fleet_report (struct fleet *fleet, const struct msg_report *report,
                  int64_t now, struct err *err);

/* Judges silence.  To be called several times a second.  */
void fleet_tick (struct fleet *fleet, int64_t now);

/* Counts a request sent to REF into its load.  Returns the record to pass to
   the next two functions; its generation is 0 when REF is not valid.  */
struct fleet_work fleet_sent (struct fleet *fleet, struct fleet_ref ref,
                              uint64_t prompt_tokens);

/* Notes the first token of WORK: its prompt no longer waits.  */
void fleet_first_token (struct fleet *fleet, struct fleet_work *work);

/* Notes the end of WORK, once.  END carries the load back; it is null when the
   work ended without an answer.  */
void fleet_ended (struct fleet *fleet, struct fleet_work *work,
                  const struct msg_end *end);

/* Notes that an attempt on REF met a crashed endpoint or a broken connection:
   the runner gets no new work until a REPORT says that the endpoint is up.  */
void fleet_mark_failed (struct fleet *fleet, struct fleet_ref ref);

/* Notes that the connection to REF was closed on purpose: its silence is not
   judged and it gets no new work until its next REPORT.  */
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

/* Returns nonzero while silent runners are kept.  */
int fleet_self_preservation (const struct fleet *fleet);

#endif
