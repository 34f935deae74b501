#ifndef MPCHECK_H
#define MPCHECK_H
/*
 * NAME
 *   mpcheck - check of a MessagePack message before it is unpacked
 *
 * DESCRIPTION
 *   The library allocates memory for as many elements as the head of an array
 *   or map states, before it reads them.  A message of a few bytes can
 *   therefore ask for gigabytes.  No input or output.
 */
#include <stddef.h>

/* Returns 0 when the SIZE bytes at DATA are exactly one MessagePack object in
   which no container, string or extension is longer than what follows it,
   else -1.  */
int mpcheck (const char *data, size_t size);
#endif
