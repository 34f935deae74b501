#ifndef GOLDCRESTHATCH_SETTINGS_H
#define GOLDCRESTHATCH_SETTINGS_H

/*
 * NAME
 *   settings - settings of a process, read from JSON with comments
 *
 * DESCRIPTION
 *   Each program lists its members in a static table.  The whole file is
 *   checked and all errors are reported together; an unknown member is an
 *   error.
 */

#include <glib.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  SETTINGS_TEXT_BYTES = 256, /* a text member with the zero byte */
  SETTINGS_LIST_MAX = 64     /* items of a list member */
};

enum settings_kind
{
  SETTINGS_TEXT,
  SETTINGS_ADDRESS, /* "IP:PORT" */
  SETTINGS_NUMBER,
  SETTINGS_REAL,
  SETTINGS_ADDRESSES, /* list of "IP:PORT" */
  SETTINGS_TEXTS      /* list of texts */
};

struct settings_list
{
  size_t count;
  char items[SETTINGS_LIST_MAX][SETTINGS_TEXT_BYTES];
};

/* One member: TEXT and ADDRESS fill in a char array of SETTINGS_TEXT_BYTES
   bytes, NUMBER an int64_t, REAL a double, ADDRESSES and TEXTS a struct
   settings_list.  */
struct settings_member
{
  const char *name;
  enum settings_kind kind;
  size_t offset;
  int required;
  const char *text; /* default of a text */
  int64_t number;   /* default of a number */
  int64_t min;      /* of a number */
  int64_t
      max; /* of a number; bytes of a text, 0 for SETTINGS_TEXT_BYTES - 1 */
  const char *words; /* allowed values of a text, separated by '|', or null */
  double real;       /* default of a REAL */
  double low;        /* of a REAL */
  double high;       /* of a REAL */
};

/* Reads FILE into OUT through the COUNT members of TABLE.  Returns 0, or -1
   after appending one line for each error, "FILE[:LINE]: MEMBER: expected
   ...", to ERRORS.  */
int settings_read (const char *file, const struct settings_member *table,
                   size_t count, void *out, GString *errors);

/* Does the same for the JSON TEXT; errors show NAME as the file.  */
int settings_parse (const char *name, const char *text, size_t size,
                    const struct settings_member *table, size_t count,
                    void *out, GString *errors);

/* Checks that S is "IP:PORT" with an IPv4 address.  Returns nonzero if so.  */
int settings_is_address (const char *s);

/* Fills in SIN from S.  Returns 0, or -1 when S is not "IP:PORT".  */
int settings_parse_address (const char *s, struct sockaddr_in *sin);

#endif
