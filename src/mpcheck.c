#include "mpcheck.h"

#include <stdint.h>

/* Reads the big-endian number of N bytes at P.  */
static uint64_t
number (const unsigned char *p, size_t n)
{
  uint64_t value = 0;

  while (n-- > 0)
    value = value << 8 | *p++;
  return value;
}

/* Form of an object by its first byte.  */
struct form
{
  size_t length_bytes; /* bytes of the length field that follows */
  uint64_t payload;    /* bytes beyond that, besides the length's value */
  uint64_t objects;    /* objects for each unit of the length; 0: bytes */
  uint64_t fixed;      /* the length, when there is no length field */
};

static int
form_read (unsigned char first, struct form *form)
{
  /* From 0xc0: nil, unused, false, true, bin, ext, float, uint, int, fixext,
     str, array, map.  */
  static const struct form forms[32]
      = { [4] = { 1, 0, 0, 0 },  [5] = { 2, 0, 0, 0 },  [6] = { 4, 0, 0, 0 },
          [7] = { 1, 1, 0, 0 },  [8] = { 2, 1, 0, 0 },  [9] = { 4, 1, 0, 0 },
          [10] = { 0, 4, 0, 0 }, [11] = { 0, 8, 0, 0 }, [12] = { 0, 1, 0, 0 },
          [13] = { 0, 2, 0, 0 }, [14] = { 0, 4, 0, 0 }, [15] = { 0, 8, 0, 0 },
          [16] = { 0, 1, 0, 0 }, [17] = { 0, 2, 0, 0 }, [18] = { 0, 4, 0, 0 },
          [19] = { 0, 8, 0, 0 }, [20] = { 0, 2, 0, 0 }, [21] = { 0, 3, 0, 0 },
          [22] = { 0, 5, 0, 0 }, [23] = { 0, 9, 0, 0 }, [24] = { 0, 17, 0, 0 },
          [25] = { 1, 0, 0, 0 }, [26] = { 2, 0, 0, 0 }, [27] = { 4, 0, 0, 0 },
          [28] = { 2, 0, 1, 0 }, [29] = { 4, 0, 1, 0 }, [30] = { 2, 0, 2, 0 },
          [31] = { 4, 0, 2, 0 } };

  *form = (struct form){ 0, 0, 0, 0 };
  if (first == 0xc1)
    return -1;
  if (first < 0x80 || first >= 0xe0)
    return 0;
  if (first < 0x90)
    *form = (struct form){ 0, 0, 2, first & 0x0f };
  else if (first < 0xa0)
    *form = (struct form){ 0, 0, 1, first & 0x0f };
  else if (first < 0xc0)
    *form = (struct form){ 0, 0, 0, first & 0x1f };
  else
    *form = forms[first - 0xc0];
  return 0;
}

int
mpcheck (const char *data, size_t size)
{
  const unsigned char *p = (const unsigned char *)data;
  const unsigned char *end = p + size;
  uint64_t expected = 1; /* objects that still have to follow */

  while (expected > 0)
    {
      struct form form;
      uint64_t length;
      if (p == end || form_read (*p++, &form) != 0
          || (size_t)(end - p) < form.length_bytes)
        return -1;
      length
          = form.length_bytes > 0 ? number (p, form.length_bytes) : form.fixed;
      p += form.length_bytes;
      expected--;
      if (form.objects > 0)
        expected += length * form.objects;
      else if (form.payload + length > (uint64_t)(end - p))
        return -1;
      else
        p += form.payload + length;
      /* An object takes one byte at least.  */
      if (expected > (uint64_t)(end - p))
        return -1;
    }
  return p == end ? 0 : -1;
}
