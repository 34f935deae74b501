#include "event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdarg.h>
#include <unistd.h>

static struct
{
  char *process;
  GString *waiting;
  int64_t second;
  size_t used; /* bytes logged in this second */
  unsigned dropped;
} state;

void
event_log_open (const char *process)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  state.process = g_strdup (process);
  state.waiting = g_string_sized_new (8192);
}

static int
has_room (int64_t now_us)
{
  if (now_us / G_USEC_PER_SEC != state.second)
    {
      state.second = now_us / G_USEC_PER_SEC;
      state.used = 0;
    }
  if (state.used < EVENT_LOG_BYTES_PER_S
      && state.waiting->len < EVENT_LOG_BYTES_PER_S)
    return 1;
  state.dropped++;
  return 0;
}

/* Appends the id of a request, which the client chooses, so it is escaped.  */
static void
append_id (const char *id)
{
  g_string_append (state.waiting, ",\"id\":\"");
  for (; *id != '\0'; id++)
    {
      if (*id == '"' || *id == '\\')
        g_string_append_c (state.waiting, '\\');
      g_string_append_c (state.waiting, *id);
    }
  g_string_append_c (state.waiting, '"');
}

void
event_log_write (const char *event, const char *id, const char *fmt, ...)
{
  int64_t now_us = g_get_real_time ();
  size_t before;
  va_list ap;

  if (state.waiting == NULL || !has_room (now_us))
    return;
  before = state.waiting->len;
  if (state.dropped > 0)
    {
      unsigned n = state.dropped;
      state.dropped = 0;
      event_log_write ("log_dropped", NULL, "\"lines\":%u", n);
    }
  g_string_append_printf (state.waiting,
                          "{\"t\":%" G_GINT64_FORMAT
                          ",\"node\":\"%s\",\"event\":\"%s\"",
                          now_us / 1000, state.process, event);
  if (id != NULL && *id != '\0')
    append_id (id);
  if (*fmt != '\0')
    g_string_append_c (state.waiting, ',');
  va_start (ap, fmt);
  g_string_append_vprintf (state.waiting, fmt, ap);
  va_end (ap);
  g_string_append (state.waiting, "}\n");
  state.used += state.waiting->len - before;
}

void
event_log_flush (void)
{
  ssize_t n;

  if (state.waiting == NULL || state.waiting->len == 0)
    return;
  n = write (STDOUT_FILENO, state.waiting->str, state.waiting->len);
  if (n > 0)
    g_string_erase (state.waiting, 0, n);
  else if (n < 0 && errno != EAGAIN && errno != EINTR)
    g_string_truncate (state.waiting, 0);
}
