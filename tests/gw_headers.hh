// C headers of the gateway's modules, and helpers of their tests.
extern "C"
{
#include "goldcresthatch/settings.h"
#include "http_client.h"
#include "http_head.h"
#include "tcp.h"
#include "http_server.h"
#include "fleetsum.h"
#include "pool.h"
#include "reqstate.h"
#include "lb.h"
#include "routing.h"
#include "retry_window.h"
#include "stageplan.h"
}

namespace gw_test
{

struct pool_entry inline entry (const char *id, int64_t born = 1,
                                enum pool_stage stage = POOL_STAGE_ANY,
                                int draining = 0)
{
  struct pool_entry e = {};
  g_strlcpy (e.id, id, sizeof e.id);
  g_strlcpy (e.service, "service", sizeof e.service);
  g_snprintf (e.address, sizeof e.address, "10.0.0.%d:80", id[0]);
  g_strlcpy (e.zone, "a", sizeof e.zone);
  e.started_ms = born;
  e.slots = 8;
  e.stage = stage;
  e.draining = draining;
  return e;
}

struct http_str inline span (const char *text)
{
  return { text, strlen (text) };
}

}
