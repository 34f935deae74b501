#ifndef GOLDCRESTHATCH_ERR_H
#define GOLDCRESTHATCH_ERR_H

/*
 * NAME
 *   err - error value that carries the step and the peer at which it arose
 *
 * DESCRIPTION
 *   A function that can fail takes a struct err as its last argument and
 *   returns -1 after filling it in.  The struct holds no allocated memory.
 */

enum err_code
{
  ERR_NONE,
  ERR_INVALID,   /* input that can never succeed */
  ERR_IO,        /* the operation failed; whether it had an effect is known
                    from the step */
  ERR_TIMEOUT,   /* no answer in time; the effect is unknown */
  ERR_REFUSED,   /* the peer declined; no effect */
  ERR_CONFLICT,  /* a concurrent change won */
  ERR_NOT_FOUND, /* no such object */
  ERR_PROTOCOL,  /* the peer sent something malformed */
  ERR_LIMIT,     /* a configured limit is reached */
  ERR_CODE_MAX
};

enum
{
  ERR_STEP_BYTES = 32,
  ERR_PEER_BYTES = 64,
  ERR_TEXT_BYTES = 256
};

struct err
{
  enum err_code code;
  char step[ERR_STEP_BYTES];
  char peer[ERR_PEER_BYTES];
  char text[ERR_TEXT_BYTES];
};

/* Fills in ERR and returns -1, so that callers can return its value.  PEER may
   be null when no peer is involved.  ERR may be null.  */
int err_set (struct err *err, enum err_code code, const char *step,
             const char *peer, const char *fmt, ...)
    __attribute__ ((format (printf, 5, 6)));

/* Returns the fixed lower-case name of CODE, such as "timeout".  */
const char *err_code_name (enum err_code code);

#endif
