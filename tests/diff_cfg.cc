#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <sodium.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

extern "C"
{
#include "goldcresthatch/cfg.h"
}

#include "kv_memory.hh"

namespace
{

constexpr int EDITORS = 3;
constexpr int NODES = 3;
constexpr std::array<enum cfg_section, 2> SECTIONS = { CFG_LIMITS, CFG_SITE };

struct doc_free
{
  void
  operator() (struct cfg_doc *doc) const
  {
    cfg_free (doc);
  }
};
using doc_ptr = std::unique_ptr<struct cfg_doc, doc_free>;

std::string
body (int section, int value)
{
  return std::string (section == 0 ? "{\"queue_max\":"
                                   : "{\"goodput_weight\":")
         + std::to_string (value) + "}";
}

// Reference model: one copy, one edit at a time, no lost answers.
struct reference_model
{
  uint64_t generation = 0;
  std::array<uint64_t, 2> revision = {};
  std::array<std::string, 2> bodies;

  bool
  edit (int section, uint64_t base, const std::string &text)
  {
    if (revision[section] != base)
      return false;
    revision[section]++;
    generation++;
    bodies[section] = text;
    return true;
  }
};

struct fixture
{
  kv_memory store;
  reference_model reference;
  uint64_t bases[EDITORS][2] = {};
  std::vector<std::string> documents; // documents by generation
  std::array<doc_ptr, NODES> nodes;
  unsigned writes = 0;

  fixture ()
  {
    // A cheap credential hash; the default costs tens of milliseconds.
    char hash[crypto_pwhash_STRBYTES];
    std::string text = "{\"generation\":0,\"sections\":{";

    if (crypto_pwhash_str (hash, "secret", 6, crypto_pwhash_OPSLIMIT_MIN,
                           crypto_pwhash_MEMLIMIT_MIN)
        != 0)
      throw std::bad_alloc ();
    for (size_t s = 0; s < SECTIONS.size (); s++)
      {
        text += std::string (s > 0 ? ",\"" : "\"")
                + cfg_section_name (SECTIONS[s])
                + "\":{\"owner\":\"o\",\"credential\":\"" + hash
                + "\",\"revision\":0,\"generation\":0,\"body\":{}}";
        reference.bodies[s] = "{}";
      }
    store.data = text + "}}";
    store.revision = 1;
    documents.push_back (take (cfg_encode (read ().get (), false)));
    // A node starts from the built-in document, which is not the stored one.
    for (auto &node : nodes)
      node.reset (cfg_default ());
  }

  doc_ptr
  read () const
  {
    return doc_ptr (cfg_parse (store.data.c_str (), store.data.size (),
                               "store", nullptr, nullptr));
  }

  int
  edit (int section, uint64_t base, int value, enum err_code *code)
  {
    std::string text = body (section, value);
    std::string id = std::to_string (++writes);
    struct cfg_change change = { SECTIONS[section],
                                 base,
                                 text.c_str (),
                                 text.size (),
                                 "edit",
                                 "op",
                                 "secret",
                                 nullptr,
                                 id.c_str (),
                                 1,
                                 nullptr,
                                 nullptr };
    struct err err = {};
    uint64_t generation = 0;
    int rc = cfg_edit (&store.kv, &change, nullptr, &generation, &err);

    *code = err.code;
    return rc;
  }

  // Makes an edit in the store and in the reference model, which must agree.
  void
  edit_both (int editor, int section, int value)
  {
    uint64_t base = bases[editor][section];
    enum err_code code;
    int rc = edit (section, base, value, &code);
    bool won = reference.edit (section, base, body (section, value));

    RC_ASSERT ((rc == 0) == won);
    if (!won)
      RC_ASSERT (code == ERR_CONFLICT);
    record_documents ();
  }

  void
  record_documents ()
  {
    doc_ptr now = read ();

    while (documents.size () <= cfg_generation (now.get ()))
      documents.push_back (take (cfg_encode (now.get (), false)));
  }

  void
  compare () const
  {
    doc_ptr now = read ();

    RC_ASSERT (cfg_generation (now.get ()) == reference.generation);
    for (size_t s = 0; s < SECTIONS.size (); s++)
      {
        RC_ASSERT (cfg_revision (now.get (), SECTIONS[s])
                   == reference.revision[s]);
        RC_ASSERT (take (cfg_body (now.get (), SECTIONS[s]))
                   == reference.bodies[s]);
      }
  }

  // Applies a delta between two past generations to a node.
  void
  send_delta (int node, size_t base, size_t target)
  {
    doc_ptr from (cfg_parse (documents[target].c_str (),
                             documents[target].size (), "past", nullptr,
                             nullptr));
    std::string delta = take (cfg_delta (from.get (), base));
    uint64_t held = cfg_generation (nodes[node].get ());
    struct err err = {};
    struct cfg_doc *got = cfg_apply_delta (nodes[node].get (), delta.c_str (),
                                           delta.size (), &err);

    if (got == nullptr)
      {
        RC_ASSERT (base > held || target <= held);
        RC_ASSERT (err.code == ERR_CONFLICT || err.code == ERR_REFUSED);
        return;
      }
    RC_ASSERT (take (cfg_encode (got, false)) == documents[target]);
    struct cfg_doc *current = nodes[node].release ();
    RC_ASSERT (cfg_adopt (&current, got));
    nodes[node].reset (current);
    RC_ASSERT (cfg_generation (current) > held);
  }
};

// Makes an edit with a concurrent one before or after its write, while answers
// are lost.
void
race (fixture &w)
{
  int editor = *rc::gen::inRange (0, EDITORS);
  int other = *rc::gen::inRange (0, EDITORS);
  int section = *rc::gen::inRange (0, 2);
  int other_section = *rc::gen::inRange (0, 2);
  int value = *rc::gen::inRange (0, 1000);
  int where = *rc::gen::inRange (0, 3);
  int lost = *rc::gen::inRange (0, 4);
  uint64_t base = w.bases[editor][section];
  bool effect_first = lost == 3;
  bool attempts = base == w.reference.revision[section];
  bool won = false;
  enum err_code code;
  auto edit_reference
      = [&] { won = w.reference.edit (section, base, body (section, value)); };
  auto make_other_edit
      = [&] { w.edit_both (other, other_section, value + 1); };

  // After LOST_BEFORE the same write is repeated; the result of LOST_AFTER is
  // determined by the write id.
  for (int i = 0; i < (lost < 3 ? lost : 0); i++)
    w.store.faults.push_back (fault::LOST_BEFORE);
  if (effect_first)
    w.store.faults.push_back (fault::LOST_AFTER);
  // The concurrent edit is made without faults.
  auto without_faults = [&] (bool main_first) {
    std::deque<fault> rest;

    std::swap (rest, w.store.faults);
    if (main_first)
      edit_reference ();
    w.record_documents ();
    make_other_edit ();
    std::swap (rest, w.store.faults);
  };
  bool before = attempts && where == 1;
  bool after = attempts && where == 2 && effect_first;
  if (before)
    w.store.before_cas = [&] { without_faults (false); };
  if (after)
    w.store.after_cas = [&] { without_faults (true); };
  int rc = w.edit (section, base, value, &code);
  w.store.faults.clear ();
  if (!after)
    edit_reference ();
  RC_ASSERT ((rc == 0) == won);
  if (!won)
    RC_ASSERT (code == ERR_CONFLICT);
  w.record_documents ();
}

} // namespace

// Guards against an edit that is lost, doubled or reported wrongly under
// concurrent editors and lost answers, and against a delta that gives another
// document than a full read.
RC_GTEST_PROP (CfgDiff, EqualsASingleCopy, ())
{
  fixture w;
  int steps = *rc::gen::inRange (1, 40);

  for (int i = 0; i < steps; i++)
    {
      int editor = *rc::gen::inRange (0, EDITORS);
      int section = *rc::gen::inRange (0, 2);

      switch (*rc::gen::inRange (0, 4))
        {
        case 0:
          w.bases[editor][section] = w.reference.revision[section];
          break;
        case 1:
          w.edit_both (editor, section, *rc::gen::inRange (0, 1000));
          break;
        case 2:
          race (w);
          break;
        default:
          w.send_delta (*rc::gen::inRange (0, NODES),
                        *rc::gen::inRange<size_t> (0, w.documents.size ()),
                        *rc::gen::inRange<size_t> (0, w.documents.size ()));
        }
      w.compare ();
    }
}
