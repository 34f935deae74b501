#include "event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdarg.h>
#include <unistd.h>

static struct
{
  char *process;
  GString *buffer;
  int64_t current_second;
  size_t used_bytes; /* bytes logged in this second */
  unsigned dropped;
} state;

void
event_log_open (const char *process)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  state.process = g_strdup (process);
  state.buffer = g_string_sized_new (8192);
}

static int
has_room (int64_t now_us)
{
  if (now_us / G_USEC_PER_SEC != state.current_second)
    {
      state.current_second = now_us / G_USEC_PER_SEC;
      state.used_bytes = 0;
    }
  if (state.used_bytes < EVENT_LOG_BYTES_PER_S
      && state.buffer->len < EVENT_LOG_BYTES_PER_S)
    return 1;
  state.dropped++;
  return 0;
}

/* Appends the id of a request, which the client chooses, so it is escaped.  */
static void
append_id (const char *id)
{
  g_string_append (state.buffer, ",\"id\":\"");
  for (; *id != '\0'; id++)
    {
      if (*id == '"' || *id == '\\')
        g_string_append_c (state.buffer, '\\');
      g_string_append_c (state.buffer, *id);
    }
  g_string_append_c (state.buffer, '"');
}

void
event_log_write (const char *event, const char *id, const char *fmt, ...)
{
  int64_t now_us = g_get_real_time ();
  size_t before;
  va_list ap;

  if (state.buffer == NULL || !has_room (now_us))
    return;
  before = state.buffer->len;
  if (state.dropped > 0)
    {
      unsigned n = state.dropped;
      state.dropped = 0;
      event_log_write ("log_dropped", NULL, "\"lines\":%u", n);
    }
  g_string_append_printf (state.buffer,
                          "{\"t\":%" G_GINT64_FORMAT
                          ",\"node\":\"%s\",\"event\":\"%s\"",
                          now_us / 1000, state.process, event);
  if (id != NULL && *id != '\0')
    append_id (id);
  if (*fmt != '\0')
    g_string_append_c (state.buffer, ',');
  va_start (ap, fmt);
  g_string_append_vprintf (state.buffer, fmt, ap);
  va_end (ap);
  g_string_append (state.buffer, "}\n");
  state.used_bytes += state.buffer->len - before;
}

void
event_log_flush (void)
{
  ssize_t n;

  if (state.buffer == NULL || state.buffer->len == 0)
    return;
  n = write (STDOUT_FILENO, state.buffer->str, state.buffer->len);
  if (n > 0)
    g_string_erase (state.buffer, 0, n);
  else if (n < 0 && errno != EAGAIN && errno != EINTR)
    g_string_truncate (state.buffer, 0);
}
