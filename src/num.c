#include "num.h"

#include <glib.h>

int
num_parse (const char *text, unsigned base, uint64_t min, uint64_t max,
           uint64_t *number)
{
  uint64_t value = 0;
  const char *p;

  for (p = text; *p != '\0'; p++)
    {
      int digit = g_ascii_xdigit_value (*p);

      if (digit < 0 || (unsigned)digit >= base
          || value > (UINT64_MAX - (unsigned)digit) / base)
        return -1;
      value = value * base + (unsigned)digit;
    }
  if (p == text || value < min || value > max)
    return -1;
  *number = value;
  return 0;
}
