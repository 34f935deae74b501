#ifndef OPTS_H
#define OPTS_H
/*
 * NAME
 *   opts - command line of a daemon
 */

#define GOLDCRESTHATCH_VERSION "0.1"

enum opts_start
{
  OPTS_RUN,
  OPTS_DONE, /* --version was answered */
  OPTS_USAGE /* an invalid command line, which was reported */
};

enum
{
  OPTS_EXIT_USAGE = 2
};

struct opts
{
  char *settings; /* file; freed by the caller */
  int check;      /* validate the settings and stop */
};

/* Reads the command line of PROGRAM into OPTS.  Without --settings the file is
   that named by the environment variable VARIABLE, which may be null.  */
enum opts_start opts_read (const char *program, const char *summary,
                           const char *variable, int argc, char **argv,
                           struct opts *opts);
#endif
