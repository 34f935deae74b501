// The C headers of auth, eng and role.  msg.h has a function with the name of
// its struct, as C allows and -Wshadow refuses in C++.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
extern "C"
{
#include "goldcresthatch/auth.h"
#include "goldcresthatch/eng.h"
#include "goldcresthatch/role.h"
}
#pragma GCC diagnostic pop
