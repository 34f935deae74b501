#include "goldcresthatch/log.h"

#include <json-c/json.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/time.h>

enum
{
  LINE_MAX_BYTES = 1024
};

static const struct
{
  const char *name;
  int priority;
} levels[LOG_LEVEL_MAX] = {
  [LOG_LEVEL_ERROR] = { "error", LOG4C_PRIORITY_ERROR },
  [LOG_LEVEL_WARN] = { "warn", LOG4C_PRIORITY_WARN },
  [LOG_LEVEL_INFO] = { "info", LOG4C_PRIORITY_INFO },
  [LOG_LEVEL_DEBUG] = { "debug", LOG4C_PRIORITY_DEBUG },
};

static log4c_category_t *category;
static char program_name[ERR_PEER_BYTES];

static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  static __thread char line[LINE_MAX_BYTES * 2];

  (void)layout;
  snprintf (line, sizeof line, "%s\n", event->evt_msg);
  return line;
}

static const log4c_layout_type_t json_layout = { "json-line", format_line };

/* The stream type of log4c puts the appender's name before each line.  */
static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void)appender;
  return fputs (event->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t line_appender
    = { "stderr-line", NULL, append_line, NULL };

int
log_open (const char *program, enum log_level level)
{
  log4c_appender_t *appender;
  log4c_layout_t *layout;

  snprintf (program_name, sizeof program_name, "%s", program);
  if (log4c_init () != 0)
    return -1;
  log4c_layout_type_set (&json_layout);
  layout = log4c_layout_get ("json-line");
  log4c_layout_set_type (layout, &json_layout);
  appender = log4c_appender_get ("goldcresthatch");
  log4c_appender_set_type (appender, &line_appender);
  log4c_appender_set_layout (appender, layout);
  category = log4c_category_get ("goldcresthatch");
  log4c_category_set_appender (category, appender);
  log4c_category_set_additivity (category, 0);
  log4c_category_set_priority (category, levels[level].priority);
  return 0;
}

void
log_close (void)
{
  category = NULL;
  log4c_fini ();
}

static void
add_string (struct json_object *line, const char *name, const char *value)
{
  if (value != NULL && value[0] != '\0')
    json_object_object_add (line, name, json_object_new_string (value));
}

void
log_write (enum log_level level, const char *trace, const char *step,
           const char *peer, const char *fmt, ...)
{
  char text[LINE_MAX_BYTES];
  struct json_object *line;
  struct timeval now;
  va_list ap;

  if (category == NULL
      || !log4c_category_is_priority_enabled (category,
                                              levels[level].priority))
    return;
  va_start (ap, fmt);
  vsnprintf (text, sizeof text, fmt, ap);
  va_end (ap);
  gettimeofday (&now, NULL);
  line = json_object_new_object ();
  json_object_object_add (
      line, "time_us",
      json_object_new_int64 (now.tv_sec * 1000000LL + now.tv_usec));
  add_string (line, "level", levels[level].name);
  add_string (line, "program", program_name);
  add_string (line, "trace", trace);
  add_string (line, "step", step);
  add_string (line, "peer", peer);
  add_string (line, "text", text);
  log4c_category_log (
      category, levels[level].priority, "%s",
      json_object_to_json_string_ext (
          line, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (line);
}

void
log_err (enum log_level level, const char *trace, const struct err *err)
{
  log_write (level, trace, err->step, err->peer, "%s: %s",
             err_code_name (err->code), err->text);
}

int
log_level_parse (const char *name, enum log_level *level)
{
  int i;

  for (i = 0; i < LOG_LEVEL_MAX; i++)
    if (strcmp (levels[i].name, name) == 0)
      {
        *level = (enum log_level)i;
        return 0;
      }
  return -1;
}
