#include <gtest/gtest.h>

#include <sodium.h>

#include <fstream>
#include <sstream>
#include <string>

extern "C"
{
#include "goldcresthatch/cfg.h"
}

#include "kv_memory.hh"

namespace
{

struct parsed
{
  struct cfg_doc *doc;
  struct err err = {};
  std::string problems;

  explicit parsed (const std::string &text)
  {
    GPtrArray *list = cfg_problems_new ();

    doc = cfg_parse (text.c_str (), text.size (), "input", list, &err);
    problems = take (cfg_problems_text (list));
    g_ptr_array_unref (list);
  }
  ~parsed () { cfg_free (doc); }
  bool
  reports (const std::string &line) const
  {
    return problems.find (line + "\n") != std::string::npos;
  }
};

std::string
document (const std::string &section, const std::string &body)
{
  return "{\"generation\":1,\"sections\":{\n\"" + section
         + "\":{\"owner\":\"o\",\"revision\":1,\"generation\":1,\n\"body\":"
         + body + "}}}";
}

std::string
read_file (const std::string &path)
{
  std::ifstream in (path);
  std::stringstream out;

  out << in.rdbuf ();
  return out.str ();
}

// An operator who edits sections.
struct editor
{
  kv_memory &store;
  struct err err = {};
  std::string problems;
  uint64_t generation = 0;

  explicit editor (kv_memory &kv) : store (kv) {}

  int
  edit (enum cfg_section section, uint64_t base, const std::string &body,
        const char *credential = "secret", const char *name = "ana",
        const char *next = nullptr)
  {
    char id[CFG_WRITE_ID_SIZE];
    GPtrArray *list = cfg_problems_new ();
    int rc;

    cfg_write_id (id);
    err = {};
    struct cfg_change edit = { section,     base, body.c_str (), body.size (),
                               "edit.json", name, credential,    next,
                               id,          1000, nullptr,       nullptr };
    rc = cfg_edit (&store.kv, &edit, list, &generation, &err);
    problems = take (cfg_problems_text (list));
    g_ptr_array_unref (list);
    return rc;
  }
};

std::string
queue (int n)
{
  return "{\"queue_max\":" + std::to_string (n) + "}";
}

int
stored_queue (kv_memory &store)
{
  parsed now (store.data);
  struct cfg_snapshot *snap = cfg_snapshot_new (now.doc);
  int out = (int)snap->limits.queue_max;

  cfg_snapshot_unref (snap);
  return out;
}

} // namespace

// Guards against missing limits in a process that has no configuration yet.
TEST (Cfg, DefaultDocumentHasLimits)
{
  struct cfg_doc *doc = cfg_default ();
  struct cfg_snapshot *snap = cfg_snapshot_new (doc);

  EXPECT_EQ (cfg_generation (doc), 0u);
  EXPECT_EQ (snap->limits.first_token_ms, 1900u);
  EXPECT_EQ (snap->limits.token_gap_ms, 74u);
  EXPECT_EQ (snap->limits.retry_percent, 10u);
  EXPECT_EQ (cfg_model_find (snap, "absent"), nullptr);
  cfg_snapshot_unref (snap);
  cfg_free (doc);
}

// Guards against invalid input that json-c accepts silently: a repeated
// member, a trailing comma, a number out of range, a line break in a string,
// and a member name in single quotes, on which the scan could run past the end
// of the text.
TEST (Cfg, RejectsInvalidJsonThatJsonCAccepts)
{
  EXPECT_TRUE (parsed (document ("limits", "{\"queue_max\":1,\n"
                                           "\"queue\\u005fmax\":2}"))
                   .reports ("input:4: sections.limits.body.queue_max: "
                             "expected one member of this name, found "
                             "another"));
  EXPECT_EQ (parsed (document ("limits", "{\"queue_max\":1,}")).doc, nullptr);
  EXPECT_TRUE (
      parsed (document ("limits", "{\"queue_max\":99999999999999999999}"))
          .reports ("input:3: sections.limits.body.queue_max: "
                    "expected an integer from 0 to 1048576"));
  for (const char *body :
       { "{\"goodput_weight\":1e999}", "{\"goodput_weight\":NaN}",
         "{'goodput_weight':1}", "{\"goodput_weight\":1.}",
         "{\"goodput_weight\":01}" })
    EXPECT_EQ (parsed (document ("site", body)).doc, nullptr) << body;
  EXPECT_EQ (parsed (document ("models", "{\"a\nb\":{\"version\":\"1\","
                                         "\"max_output_tokens\":1}}"))
                 .doc,
             nullptr);
}

// Guards against wrong line numbers after a comment, and against a string that
// is treated as a comment.
TEST (Cfg, KeepsLinesAcrossComments)
{
  EXPECT_NE (parsed (document ("models", "{\"http://m\":{\"version\":\"/*\","
                                         "\"max_output_tokens\":1}}"))
                 .doc,
             nullptr);
  EXPECT_TRUE (
      parsed (document ("limits", "/* a\nb */ { // c\n\"queue_max\":-1}"))
          .reports ("input:5: sections.limits.body.queue_max: expected an "
                    "integer from 0 to 1048576"));
  EXPECT_EQ (parsed ("{ /* open").doc, nullptr);
  EXPECT_EQ (parsed ("").doc, nullptr);
  EXPECT_EQ (parsed ("null").doc, nullptr);
  EXPECT_EQ (parsed ("{\"generation\":1,\"sections\":{\"site\":3}}").doc,
             nullptr);
}

// Guards against a check that stops at the first error.
TEST (Cfg, ReportsAllErrorsAtOnce)
{
  parsed input (document ("services", "{\"s\":{\"routes\":[{\"method\":1,"
                                      "\"path_prefix\":\"/\"}],\"x\":0}}"));

  EXPECT_EQ (input.err.code, ERR_INVALID);
  EXPECT_TRUE (input.reports ("input:3: sections.services.body.s.routes[0]."
                              "method: expected a string of 1 to 128 bytes"));
  EXPECT_TRUE (input.reports ("input:3: sections.services.body.s.routes[0]: "
                              "expected the member \"idempotent\""));
  EXPECT_TRUE (input.reports (
      "input:3: sections.services.body.s.x: expected a known member"));
  EXPECT_TRUE (input.reports ("input:3: sections.services.body.s: expected "
                              "the member \"timeout_ms\""));
}

// Guards against sections that contradict each other.
TEST (Cfg, ChecksRulesBetweenSections)
{
  EXPECT_EQ (parsed (document ("fleet", "{\"runners\":{\"r\":{\"models\":"
                                        "[\"absent\"]}}}"))
                 .doc,
             nullptr);
  EXPECT_EQ (parsed (document ("customers",
                               "{\"c\":{\"weight\":1,\"priority\":\"p\"}}"))
                 .doc,
             nullptr);
  EXPECT_EQ (
      parsed (document ("priorities", "{\"a\":{\"level\":1,\"share\":60},"
                                      "\"b\":{\"level\":2,\"share\":41}}"))
          .doc,
      nullptr);
  EXPECT_EQ (parsed (document ("fleet", "{\"runners\":{\"r\":{\"may_drain\":"
                                        "false,\"drain\":true}}}"))
                 .doc,
             nullptr);
}

// Guards against a shipped example that is invalid, against withdrawing the
// last runner of a model, and against a wrong route.
TEST (Cfg, ExamplesAreValid)
{
  parsed passo (read_file ("examples/passo-alegre.json"));
  parsed clavija (read_file ("examples/clavija-norte.json"));
  std::string text = read_file ("examples/clavija-norte.json");
  const struct cfg_service *service = nullptr;
  size_t at;

  ASSERT_NE (passo.doc, nullptr) << passo.problems;
  ASSERT_NE (clavija.doc, nullptr) << clavija.problems;
  struct cfg_snapshot *snap = cfg_snapshot_new (passo.doc);
  EXPECT_FALSE (
      cfg_route_find (snap, "POST", "/bookings/7", &service)->idempotent);
  EXPECT_STREQ (service->name, "bookings");
  EXPECT_EQ (cfg_route_find (snap, "POST", "/bookings7", &service), nullptr);
  EXPECT_EQ (cfg_customer_find (snap, "public-desk")->priority->level, 0u);
  EXPECT_EQ (cfg_customer_find (snap, "housing-office")->priority->level, 1u);
  EXPECT_FALSE (cfg_runner_find (snap, "service-3")->may_drain);
  EXPECT_EQ (cfg_model_find (snap, "listings-chat")->adapter_count, 2u);
  EXPECT_EQ (snap->runner_count, 14u);
  cfg_snapshot_unref (snap);
  while ((at = text.find ("{ \"models\"")) != std::string::npos)
    text.replace (at, 1, "{ \"withdraw\": true,");
  EXPECT_NE (parsed (text).problems.find ("that is not withdrawn"),
             std::string::npos);
}

// Guards against a delta applied over a document that is not its base.
TEST (Cfg, DeltaNeedsItsBase)
{
  parsed one (document ("limits", queue (1)));
  std::string text = document ("limits", queue (2));
  text.replace (text.find ("1"), 1, "2");
  text.replace (text.find ("generation\":1,\n"), 13, "generation\":2");
  parsed two (text);
  struct err err = {};
  struct cfg_doc *empty = cfg_default ();
  struct cfg_doc *got;

  ASSERT_NE (two.doc, nullptr) << two.problems;
  std::string delta = take (cfg_delta (two.doc, 1));
  std::string full = take (cfg_delta (two.doc, 0));
  EXPECT_EQ (cfg_apply_delta (empty, delta.c_str (), delta.size (), &err),
             nullptr);
  EXPECT_EQ (err.code, ERR_CONFLICT);
  got = cfg_apply_delta (empty, full.c_str (), full.size (), &err);
  ASSERT_NE (got, nullptr) << err.text;
  EXPECT_EQ (take (cfg_encode (got, false)),
             take (cfg_encode (two.doc, false)));
  // A document of generation 1 with other content is not the base either.
  parsed other (document ("site", "{\"goodput_weight\":9}"));
  EXPECT_EQ (cfg_apply_delta (other.doc, delta.c_str (), delta.size (), &err),
             nullptr);
  EXPECT_EQ (err.code, ERR_CONFLICT);
  EXPECT_EQ (cfg_apply_delta (two.doc, delta.c_str (), delta.size (), &err),
             nullptr);
  EXPECT_EQ (err.code, ERR_REFUSED);
  EXPECT_EQ (cfg_apply_delta (one.doc, "[1]", 3, &err), nullptr);
  EXPECT_EQ (err.code, ERR_PROTOCOL);
  EXPECT_TRUE (cfg_adopt (&empty, got));
  EXPECT_FALSE (cfg_adopt (&empty, cfg_default ()));
  EXPECT_EQ (cfg_generation (empty), 2u);
  cfg_free (empty);
}

// Guards against a start from only half of the peers, none of which needs to
// hold the generation in force.
TEST (Cfg, MajorityIsMoreThanHalf)
{
  const uint64_t generations[] = { 3, 7, 5 };

  EXPECT_EQ (cfg_majority_newest (generations, 2, 4), -1);
  EXPECT_EQ (cfg_majority_newest (generations, 3, 4), 1);
  EXPECT_EQ (cfg_majority_newest (generations, 0, 0), -1);
}

// Guards against reporting a generation in force when peers have restarted
// since they confirmed, are behind, or are only half of the list.
TEST (Cfg, InForceNeedsTwoRounds)
{
  const struct cfg_peer_status holds = { true, true, 1, 5 };
  const struct cfg_peer_status restarted = { true, true, 2, 5 };
  const struct cfg_peer_status behind = { true, true, 1, 4 };
  const struct cfg_peer_status silent = { false, false, 0, 0 };
  const struct cfg_peer_status first[] = { holds, holds, silent, silent };
  const struct cfg_peer_status second[] = { holds, restarted, holds };
  const struct cfg_peer_status late[] = { holds, holds, behind };
  const struct cfg_peer_status *same[] = { first, first };
  const struct cfg_peer_status *changed[] = { first, second };
  const struct cfg_peer_status *lagging[] = { first, late };

  EXPECT_TRUE (cfg_in_force (same, 3, 5));
  EXPECT_FALSE (cfg_in_force (changed, 3, 5));
  EXPECT_FALSE (cfg_in_force (lagging, 3, 5));
  EXPECT_FALSE (cfg_in_force (same, 4, 5));
}

// Guards against an edit without the section's credential, and against
// accepting a credential that has been replaced.
TEST (CfgEdit, NeedsTheCredential)
{
  kv_memory store;
  editor ana (store);

  EXPECT_EQ (ana.edit (CFG_LIMITS, 0, queue (1), ""), -1);
  ASSERT_EQ (ana.edit (CFG_LIMITS, 0, queue (1)), 0) << ana.err.text;
  EXPECT_EQ (ana.edit (CFG_LIMITS, 1, queue (2), "guess"), -1);
  EXPECT_EQ (ana.err.code, ERR_REFUSED);
  EXPECT_EQ (stored_queue (store), 1);
  store.faults = { fault::LOST_BEFORE };
  EXPECT_EQ (ana.edit (CFG_LIMITS, 1, queue (3), "secret", "ana", "next"), 0);
  EXPECT_EQ (ana.edit (CFG_LIMITS, 2, queue (4)), -1);
  EXPECT_EQ (ana.edit (CFG_LIMITS, 2, queue (4), "next"), 0);
}

// Guards against an invalid body that is written, or reported without its
// line.
TEST (CfgEdit, RefusesAnInvalidBody)
{
  kv_memory store;
  editor ana (store);

  EXPECT_EQ (ana.edit (CFG_LIMITS, 0, "{\n\"queue_max\":-1}"), -1);
  EXPECT_EQ (ana.problems, "edit.json:2: queue_max: expected an integer from "
                           "0 to 1048576\n");
  EXPECT_EQ (ana.edit (CFG_LIMITS, 0, "null"), -1);
  EXPECT_EQ (ana.edit (CFG_LIMITS, 0, "{"), -1);
  EXPECT_EQ (
      ana.edit (CFG_CUSTOMERS, 0, "{\"c\":{\"weight\":1,\"priority\":\"p\"}}"),
      -1);
  EXPECT_EQ (ana.err.code, ERR_INVALID);
  EXPECT_EQ (store.revision, 0u);
  struct cfg_doc *doc = cfg_default ();
  struct cfg_change change
      = { CFG_LIMITS, 9,       "{}", 2, "edit.json", "ana",
          nullptr,    nullptr, "1",  1, nullptr,     nullptr };
  EXPECT_EQ (cfg_check_change (doc, &change, nullptr, nullptr), 0);
  change.section = CFG_FLEET;
  change.body = "{\"runners\":{\"r\":{\"models\":[\"m\"]}}}";
  change.body_size = strlen (change.body);
  EXPECT_EQ (cfg_check_change (doc, &change, nullptr, nullptr), -1);
  EXPECT_EQ (cfg_generation (doc), 0u);
  cfg_free (doc);
}

// Guards against an edit that overwrites a concurrent one unseen by its
// author.
TEST (CfgEdit, ConflictNamesTheChangedMembers)
{
  kv_memory store;
  editor ana (store);
  editor bea (store);

  ASSERT_EQ (ana.edit (CFG_LIMITS, 0, queue (1)), 0);
  store.before_cas = [&] {
    EXPECT_EQ (bea.edit (CFG_LIMITS, 1, queue (2), "secret", "bea"), 0);
  };
  EXPECT_EQ (ana.edit (CFG_LIMITS, 1, queue (3)), -1);
  EXPECT_EQ (ana.err.code, ERR_CONFLICT);
  EXPECT_STREQ (ana.err.text, "section limits is at revision 2 by bea, the "
                              "edit is based on 1; changed: queue_max");
  store.before_cas = [&] { EXPECT_EQ (bea.edit (CFG_SITE, 0, "{}"), 0); };
  EXPECT_EQ (ana.edit (CFG_LIMITS, 2, queue (4)), 0);
  EXPECT_EQ (ana.generation, 4u);
}

// Guards against a wrong result for a write whose answer was lost: the write
// took effect and was overwritten, had no effect, or its effect is unknown.
TEST (CfgEdit, ResolvesLostAnswersByWriteId)
{
  kv_memory store;
  editor ana (store);
  editor bea (store);

  store.faults = { fault::LOST_BEFORE, fault::LOST_AFTER };
  store.unreadable = 3;
  EXPECT_EQ (ana.edit (CFG_LIMITS, 0, queue (1)), 0) << ana.err.text;
  EXPECT_EQ (store.revision, 1u);
  store.faults = { fault::LOST_AFTER };
  store.after_cas
      = [&] { EXPECT_EQ (bea.edit (CFG_LIMITS, 2, queue (3)), 0); };
  EXPECT_EQ (ana.edit (CFG_LIMITS, 1, queue (2)), 0);
  EXPECT_EQ (ana.generation, 2u);
  EXPECT_EQ (stored_queue (store), 3);
  store.unreadable = 1000;
  EXPECT_EQ (ana.edit (CFG_LIMITS, 3, queue (4)), -1);
  EXPECT_EQ (ana.err.code, ERR_IO);
  store.unreadable = 0;
  store.faults = { fault::LOST_AFTER };
  store.after_cas = [&] { store.unreadable = 1000; };
  EXPECT_EQ (ana.edit (CFG_LIMITS, 3, queue (4)), -1);
  EXPECT_EQ (ana.err.code, ERR_TIMEOUT);
}

// Guards against reporting success or failure of an edit whose answer was lost
// and whose write id the document no longer holds.
TEST (CfgEdit, ReportsUnknownEffectWhenItsWriteIdIsGone)
{
  kv_memory store;
  editor ana (store);
  editor bea (store);

  ASSERT_EQ (bea.edit (CFG_LIMITS, 0, queue (1)), 0);
  store.faults = { fault::LOST_AFTER };
  store.after_cas = [&] {
    for (int i = 0; i < CFG_WRITE_IDS; i++)
      ASSERT_EQ (bea.edit (CFG_LIMITS, 2 + i, queue (i)), 0);
  };
  EXPECT_EQ (ana.edit (CFG_LIMITS, 1, queue (5)), -1);
  EXPECT_EQ (ana.err.code, ERR_TIMEOUT);
}

// Guards against refusing an edit for the size of the history that the
// document keeps.
TEST (CfgEdit, DropsHistoryToFitTheSizeLimit)
{
  kv_memory store;
  editor ana (store);
  std::string models = "{";

  for (int i = 0; i < 8000; i++)
    models += (i > 0 ? ",\"m" : "\"m") + std::to_string (i)
              + "\":{\"version\":\"1\",\"max_output_tokens\":1}";
  models += "}";
  for (int i = 0; i < 6; i++)
    ASSERT_EQ (ana.edit (CFG_LIMITS, i, queue (i)), 0) << ana.err.text;
  for (int i = 0; i < 4; i++)
    ASSERT_EQ (ana.edit (CFG_MODELS, i, models), 0) << ana.err.text;
  EXPECT_LE (store.data.size (), (size_t)KV_VALUE_MAX_BYTES);
  parsed now (store.data);
  std::string history = take (cfg_history (now.doc, CFG_LIMITS));
  EXPECT_EQ (history.find ("\"revision\":1,"), std::string::npos);
  EXPECT_NE (history.find ("\"revision\":5,"), std::string::npos);
  EXPECT_NE (history.find ("\"operator\":\"ana\""), std::string::npos);
}
