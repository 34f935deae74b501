// The C headers of auth, eng and role.
extern "C"
{
#include "goldcresthatch/auth.h"
#include "goldcresthatch/eng.h"
#include "goldcresthatch/role.h"
}
