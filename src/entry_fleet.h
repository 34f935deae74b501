#ifndef ENTRY_FLEET_H
#define ENTRY_FLEET_H

/*
 * The runners of an entry: entry_fleet.c passes reports and attempts to
 * fleet.h and route.h and chooses runners, entry_fleet_links.c opens and
 * closes connections and reads the platform's VM list, entry_fleet_status.c
 * reports the state of the runners.
 *
 * Everything here is guarded by the entry's lock.
 */

#include "entry.h"

/* A connection to a runner.  It outlives the runner's entry in the VM list
   while attempts are in progress.  */
struct link
{
  uint64_t peer; /* 0 when closed */
  struct fleet_ref ref;
  char name[MSG_NAME_MAX_BYTES + 1];
  char address[MSG_NAME_MAX_BYTES + 1];
  unsigned attempts; /* in progress */
  int wanted;        /* in the subset of its service */
  gint64 listed_us;  /* first seen in the platform's list */
  gint64 opened_us;
  gint64 closed_us;
  gint64 reported_us;
  uint64_t running; /* by the last report, like the four that follow */
  uint64_t queued;
  enum msg_agent_state state;
  int endpoint_up;
  uint64_t cfg_generation;
  gint64 hello_until_us; /* end of the HELLOs on each tick; 0 after a report */
};

struct entry_fleet
{
  struct fleet *fleet;
  struct route *route;
  GPtrArray *links;    /* struct link, at most one for each ref */
  GPtrArray *by_index; /* link of the newest ref with this index, or null */
  GHashTable *by_peer;
  gint64 refreshed_us;
  int listed; /* the platform's VM list has been read */
  /* The last error logged for the list; empty when the list is valid.  */
  char list_error[ERR_TEXT_BYTES];
};

/* Returns the link of REF, or null.  */
struct link *entry_fleet_find_link (struct entry *entry, struct fleet_ref ref);

/* Requests a report over LINK on each tick, for at most 5 s.  */
void entry_fleet_request_report (struct link *link, gint64 now);

/* Returns nonzero while the first report of LINK's runner is expected, which
   names its service.  The time counts from the runner's entry in the VM list,
   because a connection that breaks repeatedly would restart it each time.  */
int entry_fleet_report_is_awaited (const struct link *link, gint64 now);

/* Recomputes the subsets of runners.  */
void entry_fleet_refresh_route (struct entry *entry);

#endif
