#ifndef EVENT_LOG_H
#define EVENT_LOG_H
/*
 * NAME
 *   event_log - decisions as JSON lines on standard output, bounded and not
 * blocking
 *
 * DESCRIPTION
 *   A line has the time of day in milliseconds, the process, the event, the
 *   request's id when there is one, and the fields given.  Lines wait in
 * memory for event_log_flush.  Beyond EVENT_LOG_BYTES_PER_S they are dropped
 * and counted; the count is in the next line "log_dropped".
 */
#include <stdint.h>

enum
{
  /* A few lines for each of some hundred requests a second.  */
  EVENT_LOG_BYTES_PER_S = 256 * 1024
};

void event_log_open (const char *process);
/* FMT gives the fields as JSON members, such as "\"status\":%d".  ID may be
   null.  */
void event_log_write (const char *event, const char *id, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
/* Writes what standard output takes; to be called several times a second.  */
void event_log_flush (void);
#endif
