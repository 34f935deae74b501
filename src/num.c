#include "num.h"

#include <glib.h>
#include <string.h>

int
num_parse_n (const char *text, size_t size, unsigned base, uint64_t min,
             uint64_t max, uint64_t *number)
{
  uint64_t value = 0;
  size_t i;

  for (i = 0; i < size; i++)
    {
      int digit = g_ascii_xdigit_value (text[i]);

      if (digit < 0 || (unsigned)digit >= base
          || value > (UINT64_MAX - (unsigned)digit) / base)
        return -1;
      value = value * base + (unsigned)digit;
    }
  if (size == 0 || value < min || value > max)
    return -1;
  *number = value;
  return 0;
}

int
num_parse (const char *text, unsigned base, uint64_t min, uint64_t max,
           uint64_t *number)
{
  return num_parse_n (text, strlen (text), base, min, max, number);
}
