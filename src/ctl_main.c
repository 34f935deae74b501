#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "http.h"
#include "opts.h"

enum
{
  KV_TIMEOUT_S = 2
};

static const struct settings_member members[] = {
  { .name = "kv",
    .kind = SETTINGS_ADDRESS,
    .offset = offsetof (struct ctl_settings, kv),
    .required = 1 },
  { .name = "config_peers",
    .kind = SETTINGS_ADDRESSES,
    .offset = offsetof (struct ctl_settings, config_peers),
    .required = 1 },
};

static const struct command
{
  const char *word;
  const char *second; /* null for a command of one word */
  int args;           /* number of arguments, the least if MORE_ARGS is set */
  bool more_args;
  bool needs_kv;
  bool needs_peers;
  int (*run) (struct ctl *ctl);
  const char *usage;
} commands[] = {
  { .word = "config",
    .second = "check",
    .args = 2,
    .run = ctl_config_check,
    .usage = "config check FILE SECTION" },
  { .word = "config",
    .second = "get",
    .args = 1,
    .needs_kv = true,
    .run = ctl_config_get,
    .usage = "config get SECTION" },
  { .word = "config",
    .second = "set",
    .args = 2,
    .needs_kv = true,
    .needs_peers = true,
    .run = ctl_config_set,
    .usage = "config set SECTION FILE --base REVISION --operator NAME "
             "--credential-file FILE [--new-credential-file FILE]" },
  { .word = "config",
    .second = "history",
    .args = 1,
    .needs_kv = true,
    .run = ctl_config_history,
    .usage = "config history SECTION" },
  { .word = "status",
    .needs_peers = true,
    .run = ctl_status,
    .usage = "status" },
  { .word = "drain",
    .args = 1,
    .needs_kv = true,
    .needs_peers = true,
    .run = ctl_drain,
    .usage = "drain RUNNER --operator NAME --credential-file FILE" },
  { .word = "undrain",
    .args = 1,
    .needs_kv = true,
    .needs_peers = true,
    .run = ctl_undrain,
    .usage = "undrain RUNNER --operator NAME --credential-file FILE" },
  { .word = "warnings",
    .needs_peers = true,
    .run = ctl_warnings,
    .usage = "warnings" },
  { .word = "trace",
    .args = 1,
    .needs_peers = true,
    .run = ctl_trace,
    .usage = "trace ID" },
  { .word = "explain",
    .args = 2,
    .more_args = true,
    .run = ctl_explain,
    .usage = "explain ID LOGFILE..." },
  { .word = "keys",
    .args = 2,
    .more_args = true,
    .run = ctl_keys,
    .usage = "keys DIRECTORY ENTRY... [--agent-file FILE]" },
};

static const struct command *
find_command (char **args, int count)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (count > 0 && strcmp (commands[i].word, args[0]) == 0
        && (commands[i].second == NULL
            || (count > 1 && strcmp (commands[i].second, args[1]) == 0)))
      return &commands[i];
  return NULL;
}

int
ctl_usage (const char *fmt, ...)
{
  va_list ap;

  fputs ("goldcresthatchctl: ", stderr);
  va_start (ap, fmt);
  vfprintf (stderr, fmt, ap);
  va_end (ap);
  fputc ('\n', stderr);
  return CTL_USAGE;
}

int
ctl_fail (const struct err *err)
{
  fprintf (stderr, "goldcresthatchctl: %s: %s%s%s\n",
           err_code_name (err->code), err->peer,
           err->peer[0] != '\0' ? ": " : "", err->text);
  return CTL_FAILED;
}

/* Reads the addresses from the settings FILE; KV and PEERS of the command line
   override them.  Returns 0, or the exit status.  */
static int
read_settings (struct ctl *ctl, const char *file, const char *kv, char **peers)
{
  struct settings_list *list = &ctl->settings.config_peers;
  GString *errors = g_string_new (NULL);
  int rc = CTL_OK;

  if (file != NULL
      && settings_read (file, members, G_N_ELEMENTS (members), &ctl->settings,
                        errors)
             != 0)
    {
      fputs (errors->str, stderr);
      rc = CTL_FAILED;
    }
  g_string_free (errors, TRUE);
  if (rc == CTL_OK && kv != NULL && !settings_is_address (kv))
    return ctl_usage ("--kv: expected IP:PORT, found \"%s\"", kv);
  if (kv != NULL)
    g_strlcpy (ctl->settings.kv, kv, sizeof ctl->settings.kv);
  if (peers != NULL)
    list->count = 0;
  for (; rc == CTL_OK && peers != NULL && *peers != NULL; peers++)
    {
      if (!settings_is_address (*peers) || list->count == SETTINGS_LIST_MAX)
        return ctl_usage ("--peer: expected at most %d IP:PORT, found \"%s\"",
                          SETTINGS_LIST_MAX, *peers);
      g_strlcpy (list->items[list->count++], *peers, SETTINGS_TEXT_BYTES);
    }
  return rc;
}

static int
run_command (struct ctl *ctl, int argc, char **argv)
{
  const struct command *command = find_command (argv + 1, argc - 1);
  int words;
  struct err err;
  int rc;

  if (command == NULL)
    return ctl_usage ("unknown or missing command; see --help");
  words = command->second != NULL ? 3 : 2;
  ctl->args = argv + words;
  ctl->arg_count = argc - words;
  if (ctl->arg_count < command->args
      || (ctl->arg_count > command->args && !command->more_args))
    return ctl_usage ("usage: goldcresthatchctl %s", command->usage);
  if (command->needs_kv && ctl->settings.kv[0] == '\0')
    return ctl_usage ("%s needs --settings or --kv", command->word);
  if (command->needs_peers && ctl->settings.config_peers.count == 0)
    return ctl_usage ("%s needs --settings or --peer", command->word);
  if (sodium_init () < 0 || http_init () != 0)
    return CTL_FAILED;
  if (ctl->settings.kv[0] != '\0')
    {
      ctl->kv = kv_http_open (ctl->settings.kv, KV_TIMEOUT_S, &err);
      if (ctl->kv == NULL)
        return ctl_fail (&err);
    }
  rc = command->run (ctl);
  kv_http_close (ctl->kv);
  return rc;
}

static char *
describe_commands (void)
{
  GString *text = g_string_new ("Commands:");

  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    g_string_append_printf (text, "\n  %s", commands[i].usage);
  return g_string_free (text, FALSE);
}

static void
add_group (GOptionContext *context, const char *name, const char *title,
           const char *help, const GOptionEntry *entries)
{
  GOptionGroup *group = g_option_group_new (name, title, help, NULL, NULL);

  g_option_group_add_entries (group, entries);
  g_option_context_add_group (context, group);
}

/* Adds the options that apply only to some commands.  */
static void
add_command_groups (GOptionContext *context, struct ctl *ctl)
{
  const GOptionEntry edit[] = {
    { "base", 0, 0, G_OPTION_ARG_INT64, &ctl->base,
      "Section revision that the edit is based on", "REVISION" },
    { "operator", 0, 0, G_OPTION_ARG_STRING, &ctl->operator_name,
      "Name recorded in the history", "NAME" },
    { "credential-file", 0, 0, G_OPTION_ARG_FILENAME, &ctl->credential_file,
      "Credential of the section, on the first line", "FILE" },
    { "new-credential-file", 0, 0, G_OPTION_ARG_FILENAME,
      &ctl->new_credential_file, "Credential that replaces it", "FILE" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  const GOptionEntry keys[] = {
    { "agent-file", 0, 0, G_OPTION_ARG_FILENAME, &ctl->agent_file,
      "Keep the agents' key pair and the entries admitted by it", "FILE" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };

  add_group (context, "edit", "Options of edits:", "Show the options of edits",
             edit);
  add_group (context, "keys", "Options of keys:", "Show the options of keys",
             keys);
}

int
main (int argc, char **argv)
{
  static struct ctl ctl = { .base = -1 };
  char *file = NULL;
  char *kv = NULL;
  char **peers = NULL;
  gboolean version = FALSE;
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &file,
      "Addresses, JSON with comments", "FILE" },
    { "kv", 0, 0, G_OPTION_ARG_STRING, &kv, "Key-value service", "IP:PORT" },
    { "peer", 0, 0, G_OPTION_ARG_STRING_ARRAY, &peers,
      "Admin address of an entry; one option for each", "IP:PORT" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &ctl.json, "Print JSON", NULL },
    { "version", 'V', 0, G_OPTION_ARG_NONE, &version,
      "Print the version and exit", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new ("COMMAND");
  char *description = describe_commands ();
  GError *error = NULL;
  int rc;

  signal (SIGPIPE, SIG_IGN);
  g_option_context_add_main_entries (context, entries, NULL);
  add_command_groups (context, &ctl);
  g_option_context_set_description (context, description);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      rc = ctl_usage ("%s", error->message);
      g_error_free (error);
    }
  else if (version)
    {
      printf ("goldcresthatchctl %s\n", GOLDCRESTHATCH_VERSION);
      rc = CTL_OK;
    }
  else
    {
      rc = read_settings (&ctl, file, kv, peers);
      if (rc == CTL_OK)
        rc = run_command (&ctl, argc, argv);
    }
  g_strfreev (peers);
  g_free (file);
  g_free (kv);
  g_free (ctl.operator_name);
  g_free (ctl.credential_file);
  g_free (ctl.new_credential_file);
  g_free (ctl.agent_file);
  g_free (description);
  g_option_context_free (context);
  return rc;
}
