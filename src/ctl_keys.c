#include "ctl.h"

#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include "goldcresthatch/net.h"

enum
{
  DIRECTORY_MODE = 0700,
  FILE_MODE = 0600,
  NAME_MAX_BYTES = 64
};

#define AGENT_NAME "agent"
#define NAME_CHARACTERS                                                       \
  "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"

/* A key pair and the file to which it is written.  */
struct key_file
{
  char *path;
  struct net_keys keys;
};

static bool
is_file_name (const char *name)
{
  size_t length = strlen (name);

  return length > 0 && length <= NAME_MAX_BYTES
         && strspn (name, NAME_CHARACTERS) == length && name[0] != '.'
         && name[0] != '-' && strcmp (name, AGENT_NAME) != 0;
}

/* Checks the names of the entries, which are used as file names.  */
static int
check_names (char **names, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (!is_file_name (names[i]))
        return ctl_usage ("\"%s\" cannot name an entry: expected 1 to %d "
                          "letters, digits, '.', '_' or '-' that do not "
                          "start with '.' or '-', and not \"" AGENT_NAME "\"",
                          names[i], NAME_MAX_BYTES);
      for (size_t n = 0; n < i; n++)
        if (strcmp (names[n], names[i]) == 0)
          return ctl_usage ("entry \"%s\" is named twice", names[i]);
    }
  return CTL_OK;
}

/* Reads the agents' keys from FILE and prints every error in it.  */
static int
read_agent_keys (const char *file, struct net_keys *keys, struct err *err)
{
  GString *errors = g_string_new (NULL);
  int rc = net_keys_read (file, keys, errors);

  fputs (errors->str, stderr);
  g_string_free (errors, TRUE);
  if (rc != 0)
    return err_set (err, ERR_INVALID, "keys", NULL, "%s: not a file of keys",
                    file);
  if (keys->server[0] != '\0')
    return err_set (err, ERR_INVALID, "keys", NULL,
                    "%s: keys of an entry, not of the agents", file);
  return 0;
}

static int
generate_pair (struct net_keys *keys, struct err *err)
{
  if (zmq_curve_keypair (keys->public_key, keys->secret_key) == 0)
    return 0;
  return err_set (err, ERR_IO, "keys", NULL, "cannot generate a key pair: %s",
                  zmq_strerror (errno));
}

/* Generates the key pairs of FILES, of which the first is the agents'.  Unless
   OLD_AGENT_FILE is null, the agents' pair and the entries admitted so far are
   read from it instead.  */
static int
generate (struct key_file *files, size_t count, const char *old_agent_file,
          struct err *err)
{
  struct net_keys *agent = &files[0].keys;

  if (old_agent_file != NULL)
    {
      if (read_agent_keys (old_agent_file, agent, err) != 0)
        return -1;
    }
  else if (generate_pair (agent, err) != 0)
    return -1;
  for (size_t i = 1; i < count; i++)
    {
      struct net_keys *entry = &files[i].keys;

      if (agent->allowed_count == NET_KEYS_ALLOWED_MAX)
        return err_set (err, ERR_LIMIT, "keys", NULL,
                        "an agent admits at most %d keys",
                        NET_KEYS_ALLOWED_MAX);
      if (generate_pair (entry, err) != 0)
        return -1;
      g_strlcpy (entry->server, agent->public_key, NET_KEY_BYTES);
      g_strlcpy (agent->allowed[agent->allowed_count++], entry->public_key,
                 NET_KEY_BYTES);
    }
  return 0;
}

static void
add_text (struct json_object *object, const char *name, const char *text)
{
  json_object_object_add (object, name, json_object_new_string (text));
}

/* Returns the text of a key file in the form that net_keys_read takes.  */
static char *
file_text (const struct net_keys *keys)
{
  struct json_object *root = json_object_new_object ();
  char *text;

  add_text (root, "public_key", keys->public_key);
  add_text (root, "secret_key", keys->secret_key);
  if (keys->server[0] != '\0')
    add_text (root, "server", keys->server);
  else
    {
      struct json_object *allowed = json_object_new_array ();

      for (size_t i = 0; i < keys->allowed_count; i++)
        json_object_array_add (allowed,
                               json_object_new_string (keys->allowed[i]));
      json_object_object_add (root, "allowed", allowed);
    }
  text = g_strdup_printf (
      "%s\n",
      json_object_to_json_string_ext (
          root, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (root);
  return text;
}

/* Writes TEXT to the new file PATH.  Returns 0, or -1 with ERR; no file is
   left then.  */
static int
write_new (const char *path, const char *text, struct err *err)
{
  size_t size = strlen (text);
  int fd = open (path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC,
                 (mode_t)FILE_MODE);
  bool written;

  if (fd < 0)
    return err_set (err, ERR_IO, "keys", NULL, "%s: %s", path,
                    strerror (errno));
  written = write (fd, text, size) == (ssize_t)size && fsync (fd) == 0;
  written = close (fd) == 0 && written;
  if (written)
    return 0;
  err_set (err, ERR_IO, "keys", NULL, "%s: %s", path, strerror (errno));
  unlink (path);
  return -1;
}

/* Writes all COUNT files, or none if one fails.  */
static int
write_files (const struct key_file *files, size_t count, struct err *err)
{
  for (size_t i = 0; i < count; i++)
    {
      char *text = file_text (&files[i].keys);
      int rc = write_new (files[i].path, text, err);

      sodium_memzero (text, strlen (text));
      g_free (text);
      if (rc == 0)
        continue;
      while (i-- > 0)
        unlink (files[i].path);
      return -1;
    }
  return 0;
}

static void
report_files (const struct ctl *ctl, const struct key_file *files,
              size_t count)
{
  struct json_object *list;

  if (!ctl->json)
    {
      for (size_t i = 0; i < count; i++)
        puts (files[i].path);
      return;
    }
  list = json_object_new_array ();
  for (size_t i = 0; i < count; i++)
    json_object_array_add (list, json_object_new_string (files[i].path));
  ctl_print_json (list);
}

int
ctl_keys (struct ctl *ctl)
{
  const char *directory = ctl->args[0];
  char **names = ctl->args + 1;
  size_t count
      = (size_t)ctl->arg_count; /* the agents' file and the entries' */
  struct key_file *files;
  struct err err;
  int rc = check_names (names, count - 1);

  if (rc != CTL_OK)
    return rc;
  files = g_new0 (struct key_file, count);
  for (size_t i = 0; i < count; i++)
    files[i].path = g_strdup_printf ("%s/%s.json", directory,
                                     i == 0 ? AGENT_NAME : names[i - 1]);
  if (g_mkdir_with_parents (directory, DIRECTORY_MODE) != 0)
    {
      err_set (&err, ERR_IO, "keys", NULL, "%s: %s", directory,
               strerror (errno));
      rc = ctl_fail (&err);
    }
  else if (generate (files, count, ctl->agent_file, &err) != 0
           || write_files (files, count, &err) != 0)
    rc = ctl_fail (&err);
  else
    report_files (ctl, files, count);
  for (size_t i = 0; i < count; i++)
    g_free (files[i].path);
  sodium_memzero (files, count * sizeof *files);
  g_free (files);
  return rc;
}
