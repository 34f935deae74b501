#ifndef GOLDCRESTHATCH_LOG_H
#define GOLDCRESTHATCH_LOG_H

/*
 * NAME
 *   log - log lines as one JSON object each, through log4c
 *
 * DESCRIPTION
 *   Each line carries the time, level, program, trace id, step and peer, so
 *   that the lines of one request can be collected across processes.
 */

#include "goldcresthatch/err.h"

enum log_level
{
  LOG_LEVEL_ERROR,
  LOG_LEVEL_WARN,
  LOG_LEVEL_INFO,
  LOG_LEVEL_DEBUG,
  LOG_LEVEL_MAX
};

/* Starts logging to the standard error of PROGRAM, for lines up to LEVEL.
   Returns 0, or -1 when log4c cannot start.  */
int log_open (const char *program, enum log_level level);

void log_close (void);

/* Writes one line.  TRACE, STEP and PEER may be null.  */
void log_write (enum log_level level, const char *trace, const char *step,
                const char *peer, const char *fmt, ...)
    __attribute__ ((format (printf, 5, 6)));

/* Writes ERR with its step and peer.  */
void log_err (enum log_level level, const char *trace, const struct err *err);

/* Parses a level name such as "info".  Returns 0 or -1.  */
int log_level_parse (const char *name, enum log_level *level);

#endif
