#ifndef DAEMON_H
#define DAEMON_H

/*
 * What both daemons share: the command line, the settings file and the wait
 * for a signal.
 */

#include <stddef.h>

#include "goldcresthatch/net.h"
#include "goldcresthatch/set.h"

#define GOLDCRESTHATCH_VERSION "0.1"

struct daemon_program
{
  const char *name;
  const char *summary;
  const struct set_member *members;
  size_t member_count;
};

enum daemon_start
{
  DAEMON_RUN,    /* go on with the settings that were read */
  DAEMON_DONE,   /* --check or --version: exit 0 */
  DAEMON_FAILED, /* bad settings: exit 1 */
  DAEMON_USAGE   /* bad command line: exit 2 */
};

/* Reads the command line and the settings file into OUT.  */
enum daemon_start daemon_start (const struct daemon_program *program, int argc,
                                char **argv, void *out);

/* Reads the keys in FILE, unless its name is empty, into *KEYS, which lives as
   long as the process.  Returns 0, or -1 after printing the errors.  */
int daemon_read_keys (const char *file, struct net_keys **keys);

/* Blocks SIGTERM and SIGINT in the calling thread and those that it starts
   later, and ignores SIGPIPE.  */
void daemon_block_signals (void);

/* Waits for SIGTERM or SIGINT, at most TIMEOUT_MS unless negative.  Returns
   nonzero when a signal came.  */
int daemon_wait_signal (int timeout_ms);

#endif
