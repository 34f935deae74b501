// The C headers of authority, engine and role.
extern "C"
{
#include "goldcresthatch/authority.h"
#include "goldcresthatch/engine.h"
#include "goldcresthatch/role.h"
}
