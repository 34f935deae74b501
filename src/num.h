#ifndef NUM_H
#define NUM_H
/*
 * NAME
 *   num - whole numbers in text
 *
 * DESCRIPTION
 *   GLib's parser judges by errno, which a wait for its own initialization may
 *   set: when the first calls of several threads meet, a sound number can be
 *   refused (GLib 2.74).  This one keeps no state.
 */
#include <stdint.h>

/* Parses TEXT, which holds nothing but digits of BASE (10 or 16).  Returns 0
   with NUMBER, or -1 when it is malformed or not between MIN and MAX.  */
int num_parse (const char *text, unsigned base, uint64_t min, uint64_t max,
               uint64_t *number);
#endif
