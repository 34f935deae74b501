// The C headers of auth, eng and role.
extern "C"
{
#include "goldcresthatch/authority.h"
#include "goldcresthatch/engine.h"
#include "goldcresthatch/role.h"
}
