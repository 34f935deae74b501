#ifndef NUM_H
#define NUM_H
/*
 * NAME
 *   num - whole numbers in text
 *
 * DESCRIPTION
 *   GLib's number parser checks errno, which a wait for its one-time
 *   initialization can set: when several threads make their first calls at
 *   once, it can refuse a valid number (GLib 2.74).  This parser has no state.
 */
#include <stddef.h>
#include <stdint.h>

/* Parses the SIZE bytes of TEXT, which are nothing but digits of BASE (10 or
   16).  Returns 0 with NUMBER, or -1 when they are malformed or not between
   MIN and MAX.  */
int num_parse_n (const char *text, size_t size, unsigned base, uint64_t min,
                 uint64_t max, uint64_t *number);

/* The same for a terminated TEXT.  */
int num_parse (const char *text, unsigned base, uint64_t min, uint64_t max,
               uint64_t *number);
#endif
