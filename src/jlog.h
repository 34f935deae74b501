#ifndef JLOG_H
#define JLOG_H
/*
 * NAME
 *   jlog - decisions as JSON lines on standard output, bounded and not
 * blocking
 *
 * DESCRIPTION
 *   A line has the time of day in milliseconds, the process, the event, the
 *   request's id when there is one, and the fields given.  Lines wait in
 * memory for jlog_flush.  Beyond JLOG_BYTES_PER_S they are dropped and
 * counted; the count is in the next line "log_dropped".
 */
#include <stdint.h>

enum
{
  /* A few lines for each of some hundred requests a second.  */
  JLOG_BYTES_PER_S = 256 * 1024
};

void jlog_open (const char *process);
/* FMT gives the fields as JSON members, such as "\"status\":%d".  ID may be
   null.  */
void jlog (const char *event, const char *id, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
/* Writes what standard output takes; to be called several times a second.  */
void jlog_flush (void);
#endif
