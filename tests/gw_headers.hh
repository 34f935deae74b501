// The C headers of the gateway's parts.
extern "C"
{
#include "goldcresthatch/set.h"
#include "hcli.h"
#include "hhead.h"
#include "hnet.h"
#include "hsrv.h"
#include "lshr.h"
#include "memb.h"
#include "outc.h"
#include "plc.h"
#include "rtab.h"
#include "sbud.h"
#include "stgp.h"
}

namespace gw_test
{

struct memb_entry inline entry (const char *id, int64_t born = 1,
                                enum memb_stage stage = MEMB_STAGE_ANY,
                                int draining = 0)
{
  struct memb_entry e = {};
  g_strlcpy (e.id, id, sizeof e.id);
  g_strlcpy (e.service, "service", sizeof e.service);
  g_snprintf (e.address, sizeof e.address, "10.0.0.%d:80", id[0]);
  g_strlcpy (e.zone, "a", sizeof e.zone);
  e.born_ms = born;
  e.slots = 8;
  e.stage = stage;
  e.draining = draining;
  return e;
}

struct hspan inline span (const char *text) { return { text, strlen (text) }; }

}
