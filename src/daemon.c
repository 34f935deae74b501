#include "daemon.h"

#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "goldcresthatch/log.h"
#include "http.h"
#include "opts.h"

enum start
{
  START_RUN,    /* go on with the settings that were read */
  START_DONE,   /* --check or --version */
  START_FAILED, /* bad settings */
  START_USAGE   /* bad command line */
};

/* Reads the keys in FILE into *KEYS, which the caller frees; *KEYS is null
   when the name of FILE is empty.  */
static int
read_keys (const char *file, struct net_keys **keys)
{
  GString *errors;
  int rc;

  *keys = NULL;
  if (file[0] == '\0')
    return 0;
  errors = g_string_new (NULL);
  *keys = g_new0 (struct net_keys, 1);
  rc = net_keys_read (file, *keys, errors);
  fputs (errors->str, stderr);
  g_string_free (errors, TRUE);
  return rc;
}

static enum start
read_command_line (const struct daemon_program *program, int argc, char **argv,
                   void *out)
{
  static const enum start starts[] = { [OPTS_RUN] = START_RUN,
                                       [OPTS_DONE] = START_DONE,
                                       [OPTS_USAGE] = START_USAGE };
  struct opts opts;
  enum start start = starts[opts_read (program->name, program->summary, NULL,
                                       argc, argv, &opts)];
  GString *errors = g_string_new (NULL);
  struct net_keys *keys = NULL;

  if (start != START_RUN)
    goto out;
  if (opts.check)
    start = START_DONE;
  if (settings_read (opts.settings, program->members, program->member_count,
                     out, errors)
      != 0)
    {
      fputs (errors->str, stderr);
      start = START_FAILED;
    }
  else if (opts.check && read_keys ((char *)out + program->keys, &keys) != 0)
    start = START_FAILED;
  else if (opts.check)
    printf ("%s: settings are valid\n", opts.settings);
out:
  g_free (keys);
  g_string_free (errors, TRUE);
  g_free (opts.settings);
  return start;
}

static void
signal_set (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
}

/* Blocks the signals in this thread and those that it starts later.  */
static void
block_signals (void)
{
  sigset_t set;

  signal_set (&set);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

int
daemon_wait_signal (int timeout_ms)
{
  struct timespec limit
      = { timeout_ms / 1000, (timeout_ms % 1000) * 1000000L };
  sigset_t set;
  int got;

  signal_set (&set);
  if (timeout_ms < 0)
    return sigwait (&set, &got) == 0;
  return sigtimedwait (&set, NULL, &limit) > 0;
}

/* Opens the log, initializes the libraries, reads the keys and blocks the
   signals.  */
static int
init_process (const struct daemon_program *program, const char *settings,
              struct net_keys **keys)
{
  enum log_level level = LOG_LEVEL_INFO;

  log_level_parse (settings + program->log_level, &level);
  if (log_open (program->name, level) != 0 || sodium_init () < 0
      || http_init () != 0)
    return -1;
  if (read_keys (settings + program->keys, keys) != 0)
    return -1;
  block_signals ();
  return 0;
}

int
daemon_run (const struct daemon_program *program, int argc, char **argv,
            void *settings, void *ctx)
{
  static const int statuses[] = { [START_DONE] = EXIT_SUCCESS,
                                  [START_FAILED] = EXIT_FAILURE,
                                  [START_USAGE] = OPTS_EXIT_USAGE };
  enum start start = read_command_line (program, argc, argv, settings);
  struct net_keys *keys = NULL;
  struct err err = { 0 };
  unsigned unfinished;

  if (start != START_RUN)
    return statuses[start];
  if (init_process (program, settings, &keys) != 0)
    {
      g_free (keys);
      return EXIT_FAILURE;
    }
  if (program->open (ctx, keys, &err) != 0)
    {
      /* Threads may run already, so nothing is freed.  */
      log_err (LOG_LEVEL_ERROR, NULL, &err);
      _exit (EXIT_FAILURE);
    }
  daemon_wait_signal (-1);
  unfinished = program->drain (ctx);
  if (unfinished > 0)
    {
      log_write (LOG_LEVEL_ERROR, NULL, "stop", NULL,
                 "%u calls or orders were cut", unfinished);
      _exit (EXIT_FAILURE);
    }
  program->close (ctx);
  log_write (LOG_LEVEL_INFO, NULL, "stop", NULL, "stopped, nothing was cut");
  log_close ();
  g_free (keys);
  return EXIT_SUCCESS;
}
