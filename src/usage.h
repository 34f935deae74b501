#ifndef USAGE_H
#define USAGE_H
/*
 * NAME
 *   usage - requests that began to run, by window of time and customer
 *
 * DESCRIPTION
 *   Window K begins K times the length of a window after the start of 1970, in
 *   true time.  The counts of a customer in a window only grow.  A gateway
 *   writes its counts as a record; the sum of the records of all gateways is
 *   what is reported.  No input or output.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"

enum
{
  USAGE_NAME_BYTES_MAX = 255, /* of a customer */
  USAGE_WINDOWS_MAX = 64      /* of a record */
};

struct usage;

struct usage *usage_new (void);
void usage_free (struct usage *usage);

/* Adds N requests of CUSTOMER to WINDOW.  */
void usage_add (struct usage *usage, uint64_t window, const char *customer,
                uint64_t n);

/* Returns the counts of WINDOW, a map from customer to uint64_t, or null when
   there are none.  */
GHashTable *usage_window (const struct usage *usage, uint64_t window);

/* Returns the sum over all customers of WINDOW.  */
uint64_t usage_total (const struct usage *usage, uint64_t window);

/* Adds the counts of the windows FIRST to LAST of FROM to USAGE.  */
void usage_sum (struct usage *usage, const struct usage *from, uint64_t first,
                uint64_t last);

/* Raises the counts of the windows FIRST to LAST to those of FROM.  */
void usage_raise (struct usage *usage, const struct usage *from,
                  uint64_t first, uint64_t last);

/* Forgets the windows before WINDOW.  */
void usage_drop (struct usage *usage, uint64_t window);

/* Appends a record of the counts to OUT, of the latest USAGE_WINDOWS_MAX
   windows.  The counts of the windows before CLOSED don't change any more.  */
void usage_encode (const struct usage *usage, uint64_t closed, GString *out);

/* Adds the counts of the windows FIRST to LAST in the record DATA to USAGE,
   and sets CLOSED to that of the record.  Returns 0, or -1 with ERR and
   without effect when the record is malformed.  */
int usage_merge (struct usage *usage, const char *data, size_t size,
                 uint64_t first, uint64_t last, uint64_t *closed,
                 struct err *err);
#endif
