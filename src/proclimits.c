#include "proclimits.h"

#include <glib.h>
#include <malloc.h>
#include <sys/resource.h>

enum
{
  /* Larger blocks return to the system when they are freed.  The allocator
     would raise its threshold with the first large body.  */
  MAPPED_BYTES = 128 * 1024,
  MEMORY_MAX_MB = 1000000,
  FDS_MAX = 1000000
};

/* Reads the limit SETTING, or VARIABLE if that is 0, into VALUE.  It remains 0
   when neither is set.  */
static int
read_limit (double setting, const char *variable, uint64_t max,
            uint64_t *value, struct err *err)
{
  const char *text = g_getenv (variable);
  char *end;

  *value = (uint64_t)setting;
  if (setting > 0 || text == NULL || *text == '\0')
    return 0;
  *value = g_ascii_strtoull (text, &end, 10);
  if (*end != '\0' || *text == '-' || *value == 0 || *value > max)
    return err_set (err, ERR_INVALID, "environment", variable,
                    "expected a whole number from 1 to %" G_GUINT64_FORMAT,
                    max);
  return 0;
}

int
proclimits_apply (struct membudget *budget, double memory_mb, double max_fds,
                  unsigned default_mb, struct err *err)
{
  struct rlimit files;
  uint64_t mb;
  uint64_t fds;

  if (read_limit (memory_mb, "GOLDCRESTHATCH_MEMORY_MB", MEMORY_MAX_MB, &mb,
                  err)
          != 0
      || read_limit (max_fds, "GOLDCRESTHATCH_MAX_FDS", FDS_MAX, &fds, err)
             != 0)
    return -1;
  if (mb == 0)
    mb = default_mb;
  if (fds == 0 && getrlimit (RLIMIT_NOFILE, &files) == 0)
    fds = MIN (files.rlim_cur, (rlim_t)FDS_MAX);
  mallopt (M_MMAP_THRESHOLD, MAPPED_BYTES);
  return membudget_init (budget, (size_t)mb << 20, membudget_resident (),
                         (unsigned)fds, err);
}
