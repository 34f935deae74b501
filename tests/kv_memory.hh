#ifndef KV_MEMORY_HH
#define KV_MEMORY_HH

#include <glib.h>

#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <string>

extern "C"
{
#include "goldcresthatch/kv.h"
}

// Copies and frees a text allocated by GLib.
inline std::string
take (char *text)
{
  std::string out = text;

  g_free (text);
  return out;
}

enum class fault
{
  NONE,
  LOST_BEFORE, // no effect and no answer
  LOST_AFTER   // effect and no answer
};

// A key-value service with one key, in memory, with injected faults.
struct kv_memory
{
  std::string data;
  uint64_t revision = 0;
  unsigned unreadable = 0;                      // reads that fail from now on
  std::deque<fault> faults;                     // of the next writes
  std::function<void ()> before_cas, after_cas; // each runs once
  struct kv_ops ops = {};
  struct kv kv = {};

  kv_memory ()
  {
    ops.get = get;
    ops.cas = cas;
    kv.ops = &ops;
    kv.ctx = this;
  }

  static int
  get (void *ctx, const char *, struct kv_value *out, struct err *err)
  {
    auto *self = static_cast<kv_memory *> (ctx);

    if (self->unreadable > 0)
      {
        self->unreadable--;
        return err_set (err, ERR_IO, "kv-get", "memory", "down");
      }
    if (self->revision == 0)
      return 0;
    out->data = strdup (self->data.c_str ());
    out->size = self->data.size ();
    out->revision = self->revision;
    return 1;
  }

  static void
  run_once (std::function<void ()> &hook)
  {
    auto run = std::move (hook);

    hook = nullptr;
    if (run)
      run ();
  }

  static int
  cas (void *ctx, const char *, uint64_t prev, const void *data, size_t size,
       uint64_t, uint64_t *revision, struct err *err)
  {
    auto *self = static_cast<kv_memory *> (ctx);
    fault now = fault::NONE;
    bool won;

    if (!self->faults.empty ())
      {
        now = self->faults.front ();
        self->faults.pop_front ();
      }
    run_once (self->before_cas);
    won = now != fault::LOST_BEFORE && prev == self->revision;
    if (won)
      {
        self->data.assign (static_cast<const char *> (data), size);
        *revision = ++self->revision;
      }
    run_once (self->after_cas);
    if (now != fault::NONE)
      return err_set (err, ERR_TIMEOUT, "kv-cas", "memory", "no answer");
    return won;
  }
};

#endif
