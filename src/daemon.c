#include "daemon.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>

enum daemon_start
daemon_start (const struct daemon_program *program, int argc, char **argv,
              void *out)
{
  char *file = NULL;
  gboolean check = FALSE;
  gboolean version = FALSE;
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &file,
      "Settings, JSON with comments", "FILE" },
    { "check", 'c', 0, G_OPTION_ARG_NONE, &check,
      "Check the settings and exit", NULL },
    { "version", 'V', 0, G_OPTION_ARG_NONE, &version,
      "Print the version and exit", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *options = g_option_context_new (NULL);
  GString *errors = g_string_new (NULL);
  GError *error = NULL;
  enum daemon_start start = DAEMON_USAGE;

  g_option_context_set_summary (options, program->summary);
  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, &error))
    {
      fprintf (stderr, "%s: %s\n", program->name, error->message);
      g_error_free (error);
      goto out;
    }
  if (version)
    {
      printf ("%s %s\n", program->name, GOLDCRESTHATCH_VERSION);
      start = DAEMON_DONE;
      goto out;
    }
  if (file == NULL || argc > 1)
    {
      fprintf (stderr, "%s: expected --settings FILE and no arguments\n",
               program->name);
      goto out;
    }
  start = check ? DAEMON_DONE : DAEMON_RUN;
  if (set_read (file, program->members, program->member_count, out, errors)
      != 0)
    {
      fputs (errors->str, stderr);
      start = DAEMON_FAILED;
    }
  else if (check)
    printf ("%s: settings are valid\n", file);
out:
  g_string_free (errors, TRUE);
  g_option_context_free (options);
  g_free (file);
  return start;
}

int
daemon_read_keys (const char *file, struct net_keys **keys)
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

static void
signal_set (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
}

void
daemon_block_signals (void)
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
