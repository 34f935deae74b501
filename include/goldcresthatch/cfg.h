#ifndef GOLDCRESTHATCH_CFG_H
#define GOLDCRESTHATCH_CFG_H

/*
 * NAME
 *   cfg - configuration document: parsing, validation, deltas, adoption, edits
 *
 * DESCRIPTION
 *   One document with one total order of generations holds every section.  A
 *   struct cfg_doc is valid by construction: each function that returns one
 *   has checked it against the tables of members and across sections.
 *   Functions that return a pointer return null on failure.  Documents are
 *   not safe for concurrent use; a struct cfg_snapshot is.  The process has
 *   called sodium_init.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"
#include "goldcresthatch/kv.h"

#define CFG_KEY "config/document"

enum cfg_section
{
  CFG_MODELS,
  CFG_SERVICES,
  CFG_PRIORITIES,
  CFG_CUSTOMERS,
  CFG_FLEET,
  CFG_LIMITS,
  CFG_SITE,
  CFG_SECTION_MAX
};

enum
{
  CFG_WRITE_IDS = 32,    /* write ids that a document keeps */
  CFG_WRITE_ID_SIZE = 33 /* bytes of a write id in hex, with the zero byte */
};

struct cfg_doc;

/* One error in an input.  LINE is 0 when unknown.  */
struct cfg_problem
{
  char *source; /* file or section */
  unsigned line;
  char *path; /* such as "services.orders.routes[0].method" */
  char *text; /* what was expected */
};

/* Returns an empty list of struct cfg_problem, freed by g_ptr_array_unref.  */
GPtrArray *cfg_problems_new (void);

/* Returns one line "SOURCE:LINE: PATH: TEXT" per problem; free by g_free.  */
char *cfg_problems_text (const GPtrArray *problems);

const char *cfg_section_name (enum cfg_section id);

/* Returns the section called NAME, or -1.  */
int cfg_section_find (const char *name);

/* Returns the built-in document of generation 0.  */
struct cfg_doc *cfg_default (void);

/* Parses a document in JSON with comments.  Every error found is appended to
   PROBLEMS, which may be null; SOURCE names the input in them.  */
struct cfg_doc *cfg_parse (const char *text, size_t size, const char *source,
                           GPtrArray *problems, struct err *err);
void cfg_free (struct cfg_doc *doc);

uint64_t cfg_generation (const struct cfg_doc *doc);
uint64_t cfg_revision (const struct cfg_doc *doc, enum cfg_section id);
bool cfg_has_write_id (const struct cfg_doc *doc, const char *write_id);

/* Returns the section's body as JSON text; free by g_free.  */
char *cfg_body (const struct cfg_doc *doc, enum cfg_section id);

/* Returns the document as JSON text in a fixed order of members; free by
   g_free.  HISTORY includes past bodies and credential hashes, which the
   documents exchanged between processes omit.  */
char *cfg_encode (const struct cfg_doc *doc, bool history);

/* Returns the sections changed after generation BASE as JSON text; free by
   g_free.  A delta from 0 is a full document.  */
char *cfg_delta (const struct cfg_doc *doc, uint64_t base);

/* Returns the document that results from applying a delta to HELD, which is
   not changed.  The delta carries a digest of the result.  Errors:
     ERR_PROTOCOL  the delta is malformed
     ERR_CONFLICT  HELD is not the base of the delta; the caller requests a
                   delta from 0
     ERR_REFUSED   the delta is not newer than HELD
     ERR_INVALID   the resulting document is invalid  */
struct cfg_doc *cfg_apply_delta (const struct cfg_doc *held, const char *text,
                                 size_t size, struct err *err);

/* Applies the delta TEXT to STORED, a document of the service, which has lost
   what is in the delta.  What deltas don't have, credentials and history,
   stays as it is there.  Returns the new document, or null with ERR.  */
struct cfg_doc *cfg_apply_lost (const struct cfg_doc *stored, const char *text,
                                size_t size, struct err *err);

/* Replaces *HELD when CANDIDATE has a higher generation.  Consumes CANDIDATE.
   Returns true when adopted.  */
bool cfg_adopt (struct cfg_doc **held, struct cfg_doc *candidate);

/* Selects the document to start from without the key-value service.
   GENERATIONS holds the ANSWERS of ready peers out of PEERS listed; the
   process itself is listed but does not answer.  Returns the index of the
   highest generation, or -1 while at most half of the peers have answered.  */
int cfg_majority_newest (const uint64_t *generations, size_t answers,
                         size_t peers);

/* Answer of a peer, one of those listed in the settings, to a query for its
   generation.  */
struct cfg_peer_status
{
  bool answered;
  bool ready;
  uint64_t incarnation;
  uint64_t generation;
};

/* Returns true when GENERATION is in force: more than half of the PEERS
   confirm it in both rounds in the same incarnation, and no peer that answered
   in the second round is behind.  ROUNDS[r][p] is the answer of peer P in
   round R; the second round starts after the first has ended.  One round does
   not suffice: a peer that has confirmed can restart and adopt an older
   generation from its peers before the next peer confirms.  */
bool cfg_in_force (const struct cfg_peer_status *const rounds[2], size_t peers,
                   uint64_t generation);

/* Read-only tables, sorted by name, for the daemons.  */
struct cfg_model
{
  const char *name;
  const char *version;
  const char *const *adapters;
  size_t adapter_count;
  unsigned max_output_tokens;
};

struct cfg_route
{
  const char *method;
  const char *path_prefix;
  bool idempotent;
};

struct cfg_service
{
  const char *name;
  const struct cfg_route *routes;
  size_t route_count;
  unsigned timeout_ms;
};

struct cfg_priority
{
  const char *name;
  unsigned level; /* 0 to 9 */
  unsigned share; /* percent */
};

struct cfg_customer
{
  const char *name;
  double weight;
  const struct cfg_priority *priority;
};

struct cfg_runner
{
  const char *name;
  bool drain;
  bool withdraw;
  bool may_drain;
  const char *const *models;
  size_t model_count;
};

struct cfg_limits
{
  unsigned deadline_default_ms;
  unsigned deadline_max_ms;
  unsigned first_token_ms;
  unsigned token_gap_ms;
  unsigned retry_percent;
  unsigned queue_max; /* requests */
};

struct cfg_site
{
  double role_change_cost_s;
  double goodput_weight;
};

struct cfg_snapshot
{
  uint64_t generation;
  struct cfg_limits limits;
  struct cfg_site site;
  const struct cfg_model *models;
  size_t model_count;
  const struct cfg_service *services;
  size_t service_count;
  const struct cfg_priority *priorities;
  size_t priority_count;
  const struct cfg_customer *customers;
  size_t customer_count;
  const struct cfg_runner *runners;
  size_t runner_count;
  struct cfg_arena *arena;
};

/* Returns a snapshot with one reference.  Any thread may add or release
   references.  */
struct cfg_snapshot *cfg_snapshot_new (const struct cfg_doc *doc);
struct cfg_snapshot *cfg_snapshot_ref (struct cfg_snapshot *snap);
void cfg_snapshot_unref (struct cfg_snapshot *snap);

/* Look up by name; null when absent.  */
const struct cfg_model *cfg_model_find (const struct cfg_snapshot *snap,
                                        const char *name);
const struct cfg_runner *cfg_runner_find (const struct cfg_snapshot *snap,
                                          const char *name);
const struct cfg_customer *cfg_customer_find (const struct cfg_snapshot *snap,
                                              const char *name);
const struct cfg_priority *cfg_priority_find (const struct cfg_snapshot *snap,
                                              const char *name);

/* Returns the route of METHOD with the longest prefix of PATH, and sets
   *SERVICE to its service, or returns null.  A prefix ends at a '/', at a '?'
   or at the end of PATH.  */
const struct cfg_route *cfg_route_find (const struct cfg_snapshot *snap,
                                        const char *method, const char *path,
                                        const struct cfg_service **service);

/* One change of a section.  */
struct cfg_change
{
  enum cfg_section section;
  uint64_t base_revision; /* section revision that the editor read */
  const char *body;       /* JSON with comments */
  size_t body_size;
  const char *source;        /* file name for problems */
  const char *operator_name; /* recorded in the history */
  const char *credential;
  const char *new_credential; /* replaces the section's, unless null */
  const char *write_id;       /* unique to this edit */
  int64_t now_us;             /* wall clock, recorded in the history */
  /* Unless null, returns the document that is to be edited in the place of
     DOC, which was read from the service and is given away, or null with
     ERR.  */
  struct cfg_doc *(*complete) (void *ctx, struct cfg_doc *doc,
                               struct err *err);
  void *complete_ctx;
};

/* Generates a random write id.  */
void cfg_write_id (char out[CFG_WRITE_ID_SIZE]);

/* Validates EDIT's body by itself and as a part of DOC.  Its credential and
   base revision are not checked.  Returns 0, or -1 with ERR_INVALID and
   PROBLEMS.  */
int cfg_check_change (const struct cfg_doc *doc, const struct cfg_change *edit,
                      GPtrArray *problems, struct err *err);

/* Writes the change EDIT and sets *GENERATION to the generation that it
   created.  Returns 0, or -1 with
     ERR_INVALID   the body or the resulting document is invalid (PROBLEMS)
     ERR_REFUSED   the credential is not the section's
     ERR_CONFLICT  the section has changed since the base revision, or every
                   write conflicted with an edit of another section
     ERR_LIMIT     the document exceeds the size limit
     ERR_IO        the service was not reached; the edit has no effect
     ERR_TIMEOUT   the service stopped answering; the effect is unknown
     ERR_PROTOCOL  the stored document is invalid
   The first edit of a section without a credential sets the section's
   credential, and its owner when it has none.  */
int cfg_edit (struct kv *kv, const struct cfg_change *edit,
              GPtrArray *problems, uint64_t *generation, struct err *err);

/* Returns the past bodies of a section, oldest first, as a JSON array of
   {revision, generation, time_us, operator, body}; free by g_free.  */
char *cfg_history (const struct cfg_doc *doc, enum cfg_section id);

#endif
