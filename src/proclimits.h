#ifndef PROCLIMITS_H
#define PROCLIMITS_H
/*
 * NAME
 *   proclimits - what a process may use of its machine
 *
 * DESCRIPTION
 *   The limits come from the settings, or else from the environment variables
 *   GOLDCRESTHATCH_MEMORY_MB and GOLDCRESTHATCH_MAX_FDS, for platforms that
 *   tell them at the start.
 */
#include "membudget.h"

/* Sets BUDGET from the settings MEMORY_MB and MAX_FDS, where 0 means that they
   aren't set, and DEFAULT_MB, and from what the process uses now.  Without
   MAX_FDS the limit of the operating system holds.  Returns 0, or -1 with ERR
   when the limits leave too little or a variable is no number.  */
int proclimits_apply (struct membudget *budget, double memory_mb,
                      double max_fds, unsigned default_mb, struct err *err);
#endif
