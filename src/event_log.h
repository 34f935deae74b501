#ifndef EVENT_LOG_H
#define EVENT_LOG_H
/*
 * NAME
 *   event_log - events as JSON lines on standard output, rate-limited and
 *   without blocking
 *
 * DESCRIPTION
 *   A line has the time of day in milliseconds, the process, the event, the
 *   request's id when there is one, and the fields given.  Lines are buffered
 *   until event_log_flush.  Lines beyond EVENT_LOG_BYTES_PER_S are dropped;
 *   the next line "log_dropped" has their number.
 */
#include <stdint.h>

enum
{
  /* Enough for a few lines per request at some hundred requests per second. */
  EVENT_LOG_BYTES_PER_S = 256 * 1024
};

/* Starts the log of PROCESS and makes standard output non-blocking.  */
void event_log_open (const char *process);

/* Adds a line.  FMT gives the fields as JSON members, such as
   "\"status\":%d".  ID may be null.  */
void event_log_write (const char *event, const char *id, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Writes as much as standard output takes.  Must be called several times a
   second.  */
void event_log_flush (void);
#endif
