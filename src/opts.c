#include "opts.h"

#include <glib.h>
#include <stdio.h>

enum opts_start
opts_read (const char *program, const char *summary, const char *variable,
           int argc, char **argv, struct opts *opts)
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
  GError *error = NULL;
  enum opts_start start = OPTS_USAGE;

  g_option_context_set_summary (options, summary);
  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, &error))
    {
      fprintf (stderr, "%s: %s\n", program, error->message);
      g_error_free (error);
      goto out;
    }
  if (version)
    {
      printf ("%s %s\n", program, GOLDCRESTHATCH_VERSION);
      start = OPTS_DONE;
      goto out;
    }
  if (file == NULL && variable != NULL)
    file = g_strdup (g_getenv (variable));
  if (file == NULL || argc > 1)
    fprintf (stderr, "%s: expected --settings FILE and no arguments\n",
             program);
  else
    start = OPTS_RUN;
out:
  opts->settings = file;
  opts->check = check;
  g_option_context_free (options);
  return start;
}
