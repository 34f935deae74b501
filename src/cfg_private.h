#ifndef CFG_PRIVATE_H
#define CFG_PRIVATE_H

#include <json-c/json.h>

#include "goldcresthatch/cfg.h"

struct cfg_doc
{
  struct json_object *root;
};

/* One input: the line of each member by path, and the problems found.  */
struct cfg_input
{
  const char *source;
  GHashTable *lines;
  GPtrArray *problems;
};

void cfg_input_init (struct cfg_input *in, const char *source,
                     GPtrArray *problems);
void cfg_input_clear (struct cfg_input *in);

/* Appends a problem at the line of PATH or of its nearest known parent.  */
void cfg_problem_add (struct cfg_input *in, const char *path, const char *fmt,
                      ...) __attribute__ ((format (printf, 3, 4)));

/* Parses JSON with comments.  Syntax errors and repeated members become
   problems.  Returns null only when no value can be built.  */
struct json_object *cfg_json_read (struct cfg_input *in, const char *text,
                                   size_t size);

/* Check a body, or a document with all its sections, against the tables of
   members.  */
void cfg_check_body (struct cfg_input *in, enum cfg_section id,
                     struct json_object *body);
void cfg_check_document (struct cfg_input *in, struct json_object *root);

/* Checks the rules between sections of a document whose members are valid. */
void cfg_check_consistency (struct cfg_input *in, struct json_object *root);

struct json_object *cfg_section_json (struct json_object *root,
                                      enum cfg_section id);
struct json_object *cfg_body_json (struct json_object *root,
                                   enum cfg_section id);

/* Return a member, or the default ABSENT when it is missing; the default of
   cfg_member is null and that of cfg_string is "".  */
struct json_object *cfg_member (struct json_object *obj, const char *name);
int64_t cfg_int (struct json_object *obj, const char *name, int64_t absent);
const char *cfg_string (struct json_object *obj, const char *name);
bool cfg_bool (struct json_object *obj, const char *name, bool absent);

#endif
