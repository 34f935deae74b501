#ifndef DAEMON_H
#define DAEMON_H

/*
 * Code common to the entry and the agent: command line, settings file, waiting
 * for a signal and graceful shutdown.
 */

#include <stddef.h>

#include "goldcresthatch/net.h"
#include "goldcresthatch/settings.h"

struct daemon_program
{
  const char *name;
  const char *summary;
  const struct settings_member *members;
  size_t member_count;
  size_t log_level; /* offset of this member in the settings */
  size_t keys;      /* offset of this member in the settings */

  /* Starts the service; the process exits on failure.  KEYS may be null.  */
  int (*open) (void *ctx, const struct net_keys *keys, struct err *err);

  /* Refuses new work and waits for the work in progress, until the limit of
     the settings or a second signal.  Returns the number of calls and orders
     still in progress.  */
  unsigned (*drain) (void *ctx);

  void (*close) (void *ctx);
};

/* Runs PROGRAM until SIGTERM or SIGINT: reads the command line and the file of
   settings into SETTINGS, opens, drains and closes.  Returns the exit
   status.  */
int daemon_run (const struct daemon_program *program, int argc, char **argv,
                void *settings, void *ctx);

/* Waits for SIGTERM or SIGINT, at most TIMEOUT_MS unless negative.  Returns
   nonzero when a signal came.  */
int daemon_wait_signal (int timeout_ms);

#endif
