#include "membudget.h"

#include <glib.h>
#include <stdio.h>
#include <unistd.h>

enum
{
  /* Tables, and what the allocator keeps: one part in so many.  */
  RESERVE_PART = 4,
  /* Large bodies get so many parts of LARGE_OF.  */
  LARGE_PARTS = 3,
  LARGE_OF = 4,
  /* The least that holds a body of the largest usual size twice.  */
  LIMIT_LEAST_BYTES = 8 << 20,
  FILES_FDS = 200, /* not for sockets */
  /* Listeners, datagrams, connections to the store, and those that are being
     closed.  */
  OWN_FDS = 40,
  /* Of the rest, so many parts of CLIENT_OF are for clients; the others are
     for runners, the store and other gateways.  */
  CLIENT_PARTS = 3,
  CLIENT_OF = 4,
  CLIENTS_LEAST = 16
};

int
membudget_init (struct membudget *budget, size_t memory, size_t in_use,
                unsigned fds, struct err *err)
{
  size_t reserve = in_use + memory / RESERVE_PART;

  if (memory > 0 && memory < reserve + LIMIT_LEAST_BYTES)
    return err_set (err, ERR_INVALID, "memory", NULL,
                    "memory_mb: %zu MB leave too little: %zu MB are in use or "
                    "reserved, and %d MB are needed for requests",
                    memory >> 20, reserve >> 20, LIMIT_LEAST_BYTES >> 20);
  if (fds > 0
      && (fds <= FILES_FDS + OWN_FDS
          || (fds - FILES_FDS) * CLIENT_PARTS / CLIENT_OF < CLIENTS_LEAST))
    return err_set (err, ERR_INVALID, "descriptors", NULL,
                    "max_fds: %u leave too few connections: %d are reserved "
                    "for files",
                    fds, FILES_FDS);
  budget->limit = memory > 0 ? memory - reserve : 0;
  budget->body_copies = 1;
  budget->clients_max
      = fds > 0 ? (fds - FILES_FDS) * CLIENT_PARTS / CLIENT_OF : 0;
  budget->sockets_max = fds > 0 ? fds - FILES_FDS - OWN_FDS : 0;
  return 0;
}

void
membudget_charge (struct membudget *budget, enum membudget_class kind,
                  size_t size)
{
  size_t total;

  if (budget == NULL)
    return;
  __atomic_fetch_add (&budget->held[kind], size, __ATOMIC_RELAXED);
  total = __atomic_add_fetch (&budget->total, size, __ATOMIC_RELAXED);
  budget->peak = MAX (budget->peak, total);
}

void
membudget_release (struct membudget *budget, enum membudget_class kind,
                   size_t size)
{
  if (budget == NULL)
    return;
  __atomic_fetch_sub (&budget->held[kind], size, __ATOMIC_RELAXED);
  __atomic_fetch_sub (&budget->total, size, __ATOMIC_RELAXED);
}

void
membudget_set (struct membudget *budget, enum membudget_class kind,
               size_t *charged, size_t size)
{
  if (size > *charged)
    membudget_charge (budget, kind, size - *charged);
  else
    membudget_release (budget, kind, *charged - size);
  *charged = size;
}

int
membudget_has_room (const struct membudget *budget, size_t more, size_t size)
{
  size_t limit;

  if (budget == NULL || budget->limit == 0)
    return 1;
  limit = size > MEMBUDGET_LARGE_BYTES ? budget->limit / LARGE_OF * LARGE_PARTS
                                       : budget->limit;
  return more <= limit && budget->total <= limit - more;
}

int
membudget_is_tight (const struct membudget *budget)
{
  return budget != NULL && budget->limit > 0
         && budget->total > budget->limit / 2;
}

int
membudget_is_over (const struct membudget *budget)
{
  return budget != NULL && budget->limit > 0 && budget->total > budget->limit;
}

int
membudget_takes_peer (const struct membudget *budget)
{
  return budget == NULL || budget->sockets_max == 0
         || budget->clients + budget->peers < budget->sockets_max;
}

int
membudget_takes_client (const struct membudget *budget)
{
  return membudget_takes_peer (budget)
         && (budget == NULL || budget->clients_max == 0
             || budget->clients < budget->clients_max);
}

const char *
membudget_class_name (enum membudget_class kind)
{
  static const char *const names[MEMBUDGET_MAX]
      = { [MEMBUDGET_CONNECTION] = "connections",
          [MEMBUDGET_BODY] = "bodies",
          [MEMBUDGET_OUTPUT] = "output",
          [MEMBUDGET_ANSWER] = "answers" };

  return names[kind];
}

size_t
membudget_resident (void)
{
  unsigned long pages = 0;
  FILE *f = fopen ("/proc/self/statm", "r");

  if (f == NULL)
    return 0;
  if (fscanf (f, "%*u %lu", &pages) != 1)
    pages = 0;
  fclose (f);
  return pages * (size_t)sysconf (_SC_PAGESIZE);
}
