#ifndef CTL_H
#define CTL_H

/*
 * The operators' program goldcresthatchctl, with one function for each of its
 * commands.  Each returns the exit status.
 */

#include <glib.h>
#include <json-c/json.h>

#include "goldcresthatch/cfg.h"
#include "goldcresthatch/kv.h"
#include "goldcresthatch/settings.h"

enum
{
  CTL_OK = 0,
  CTL_FAILED = 1,
  CTL_USAGE = 2
};

struct ctl_settings
{
  char kv[SETTINGS_TEXT_BYTES];
  struct settings_list config_peers;
};

struct ctl
{
  struct ctl_settings settings;
  struct kv *kv; /* null when no address is given */
  gboolean json;
  char **args; /* arguments after the command's name */
  int arg_count;
  gint64 base; /* revision of --base, -1 when absent */
  char *operator_name;
  char *credential_file;
  char *new_credential_file;
  char *agent_file; /* existing keys of the agents; null to generate them */
};

/* Prints "goldcresthatchctl: ERR" to stderr and returns CTL_FAILED.  */
int ctl_fail (const struct err *err);

/* Prints the message to stderr and returns CTL_USAGE.  */
int ctl_usage (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));

/* ctl_json.c */
/* Return the member NAME of OBJECT; "" or 0 when it is absent.  */
const char *ctl_text (struct json_object *object, const char *name);
long long ctl_number (struct json_object *object, const char *name);

/* Prints ROOT on one line and releases it.  */
void ctl_print_json (struct json_object *root);

/* ctl_config.c */
int ctl_config_check (struct ctl *ctl);
int ctl_config_get (struct ctl *ctl);
int ctl_config_set (struct ctl *ctl);
int ctl_config_history (struct ctl *ctl);

/* Returns the configuration document of the key-value service, with what it
   has lost when it was restored from an older copy, the built-in one when none
   is stored, or null with ERR.  */
struct cfg_doc *ctl_read_document (struct ctl *ctl, struct err *err);

struct ctl_edit
{
  enum cfg_section section;
  uint64_t base; /* revision that the edit is based on */
  const char *body;
  size_t size;
  const char *source; /* named in error messages */
};

/* Makes EDIT, waits until it is in force, and prints the result.  If the base
   revision is not the current one and CONFLICT is not null, prints nothing and
   sets CONFLICT.  */
int ctl_edit (struct ctl *ctl, const struct ctl_edit *edit,
              struct err *conflict);

/* ctl_fleet.c */
int ctl_status (struct ctl *ctl);
int ctl_drain (struct ctl *ctl);
int ctl_undrain (struct ctl *ctl);

/* ctl_keys.c */
int ctl_keys (struct ctl *ctl);

/* ctl_explain.c */
int ctl_explain (struct ctl *ctl);

/* ctl_pages.c */
int ctl_warnings (struct ctl *ctl);
int ctl_trace (struct ctl *ctl);

/* Requests PATH from each peer and calls TAKE with the JSON of its answer,
   which is released after the call.  Prints an error for each peer that does
   not answer with JSON.  Returns the number of peers that do.  */
size_t ctl_query_peers (struct ctl *ctl, const char *path,
                        void (*take) (void *ctx, const char *peer,
                                      struct json_object *answer),
                        void *ctx);

#endif
