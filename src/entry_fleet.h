#ifndef ENTRY_FLEET_H
#define ENTRY_FLEET_H

/*
 * The runners of an entry: entry_fleet.c feeds the fleet and route parts and
 * chooses, entry_fleet_links.c opens and closes connections and reads the
 * platform's list, entry_fleet_status.c shows the runners.
 *
 * Everything here is guarded by the entry's lock.
 */

#include "entry.h"

/* A connection to a runner, also to one that is no longer listed but still
   has attempts in progress.  */
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
  gint64 hello_until_us; /* for a report; 0 when one has arrived */
};

struct entry_fleet
{
  struct fleet *fleet;
  struct route *route;
  GPtrArray *links;    /* struct link, at most one for each ref */
  GPtrArray *by_index; /* link of the newest ref with this index, or null */
  GHashTable *by_peer;
  gint64 refreshed_us;
  int listed;                      /* the platform's list has been read */
  char list_error[ERR_TEXT_BYTES]; /* logged last; empty when the list is valid
                                    */
};

/* Returns the link of REF, or null.  */
struct link *entry_fleet_find_link (struct entry *entry, struct fleet_ref ref);

/* Asks for a report over LINK on each tick, for a while.  */
void entry_fleet_request_report (struct link *link, gint64 now);

/* Whether the service of LINK's runner may become known soon.  The time counts
   from the list, because a connection that breaks again and again starts anew
   each time.  */
int entry_fleet_report_is_awaited (const struct link *link, gint64 now);

/* Computes the subsets again.  */
void entry_fleet_refresh_route (struct entry *entry);

#endif
