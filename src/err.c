#include "goldcresthatch/err.h"

#include <stdarg.h>
#include <stdio.h>

static const char *const names[ERR_CODE_MAX] = {
  [ERR_NONE] = "none",
  [ERR_INVALID] = "invalid",
  [ERR_IO] = "io",
  [ERR_TIMEOUT] = "timeout",
  [ERR_REFUSED] = "refused",
  [ERR_CONFLICT] = "conflict",
  [ERR_NOT_FOUND] = "missing",
  [ERR_PROTOCOL] = "protocol",
  [ERR_LIMIT] = "limit",
};

int
err_set (struct err *err, enum err_code code, const char *step,
         const char *peer, const char *fmt, ...)
{
  va_list ap;

  if (err == NULL)
    return -1;
  err->code = code;
  snprintf (err->step, sizeof err->step, "%s", step);
  snprintf (err->peer, sizeof err->peer, "%s", peer != NULL ? peer : "");
  va_start (ap, fmt);
  vsnprintf (err->text, sizeof err->text, fmt, ap);
  va_end (ap);
  return -1;
}

const char *
err_code_name (enum err_code code)
{
  return code < ERR_CODE_MAX ? names[code] : "unknown";
}
