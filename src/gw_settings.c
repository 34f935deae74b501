#include "gw_settings.h"

#include <netinet/in.h>
#include <string.h>

enum
{
  NAME_BYTES_MAX = 63,        /* what gw_relay.c reads of a registry entry */
  USAGE_WINDOW_MIN_MS = 1000, /* the reports take a part of a window */
  VARIABLE_MAX = 86400        /* of a variable of the environment */
};

#define MEMBER(n, k, ...)                                                     \
  {                                                                           \
    .name = #n, .kind = k, .offset = offsetof (struct gw_settings, n),        \
    __VA_ARGS__                                                               \
  }
#define REAL(n, d, l, h)                                                      \
  MEMBER (n, SETTINGS_REAL, .real = (d), .low = (l), .high = (h))

static const struct settings_member members[] = {
  MEMBER (node, SETTINGS_TEXT, .required = 1, .max = NAME_BYTES_MAX),
  MEMBER (zone, SETTINGS_TEXT, .required = 1, .max = NAME_BYTES_MAX),
  MEMBER (listen_front, SETTINGS_ADDRESS, .required = 1),
  MEMBER (listen_ready, SETTINGS_ADDRESS, .required = 1),
  MEMBER (listen_metrics, SETTINGS_ADDRESS),
  MEMBER (listen_relay, SETTINGS_ADDRESS),
  MEMBER (listen_load, SETTINGS_ADDRESS),
  MEMBER (store, SETTINGS_ADDRESS, .required = 1),
  MEMBER (cloud, SETTINGS_ADDRESS),
  REAL (usage_window_ms, 0, 0, 86400000),
  REAL (usage_late_ms, 10000, 1000, 86400000),
  REAL (duties_per_s, 10, 0.1, 1e6),
  REAL (memory_mb, 0, 0, 1e6),
  REAL (max_fds, 0, 0, 1e6),
  REAL (body_ms, 30000, 1000, 3.6e6),
  REAL (body_bytes_per_s, 1000, 0, 1e9),
  REAL (link_mbit, 1000, 0.01, 1e7),
  REAL (lease_ms, 3000, 100, 600000),
  REAL (settled_ms, 3000, 500, 600000),
  REAL (grace_ms, 8000, 1000, 600000),
  REAL (grace_s, 0, 0, 600),
  /* One retry for ten requests, as in the entry.  */
  REAL (repeat_ratio, 0.1, 0, 1),
  REAL (repeat_slack, 10, 0, 1e6),
  REAL (repeat_window_ms, 10000, 1000, 600000),
  REAL (repeat_window_s, 0, 0, 600),
  REAL (prefill_share, 0.5, 0, 1),
  REAL (admit_factor, 1, 0.1, 1000),
  REAL (overflow_share, 0.2, 0, 1),
  REAL (direct_tokens, 1024, 0, 1e9),
  REAL (tenant_shares, 0, 0, 1),
  REAL (learn_speeds, 0, 0, 1),
};

/* Reads the variable NAME, a number of units of SCALE, into VALUE.  Returns 0,
   or -1 with a line in ERRORS.  */
static int
variable_read (const char *name, double scale, double *value, GString *errors)
{
  const char *text = g_getenv (name);
  char *end;
  double number;

  if (text == NULL || *text == '\0')
    return 0;
  number = g_ascii_strtod (text, &end);
  if (*end != '\0' || !(number >= 0 && number <= VARIABLE_MAX))
    {
      g_string_append_printf (errors, "%s: expected a number from 0 to %d\n",
                              name, VARIABLE_MAX);
      return -1;
    }
  *value = number * scale;
  return 0;
}

/* Takes the service for duties and its times from the environment, unless the
   settings name one.  A platform has it there only where it wants reports.  */
static int
duties_read (struct gw_settings *set, GString *errors)
{
  const char *address = g_getenv ("GOLDCRESTHATCH_CLOUD");
  struct sockaddr_in parsed;

  if (set->cloud[0] != '\0' || address == NULL || *address == '\0')
    return 0;
  if (strlen (address) >= sizeof set->cloud
      || settings_parse_address (address, &parsed) != 0)
    {
      g_string_append (errors, "GOLDCRESTHATCH_CLOUD: expected IP:PORT\n");
      return -1;
    }
  g_strlcpy (set->cloud, address, sizeof set->cloud);
  return variable_read ("GOLDCRESTHATCH_DUTIES_PER_S", 1, &set->duties_per_s,
                        errors)
         | variable_read ("GOLDCRESTHATCH_USAGE_WINDOW_S", 1000,
                          &set->usage_window_ms, errors)
         | variable_read ("GOLDCRESTHATCH_USAGE_LATE_S", 1000,
                          &set->usage_late_ms, errors);
}

static int
check_usage (const char *path, const struct gw_settings *set, GString *errors)
{
  if (set->usage_window_ms == 0
      || (set->usage_window_ms >= USAGE_WINDOW_MIN_MS
          && set->cloud[0] != '\0'))
    return 0;
  g_string_append_printf (
      errors,
      set->cloud[0] == '\0'
          ? "%s: usage_window_ms: expected cloud as well, the IP:PORT that "
            "takes the reports\n"
          : "%s: usage_window_ms: expected 0 or at least 1000\n",
      path);
  return -1;
}

/* Takes SECONDS, unless they are 0, for MILLISECONDS.  Returns 0, or -1 with a
   line in ERRORS.  */
static int
seconds_read (const char *path, const char *name, double seconds,
              double *milliseconds, GString *errors)
{
  if (seconds == 0)
    return 0;
  *milliseconds = seconds * 1000;
  if (seconds >= 1)
    return 0;
  g_string_append_printf (errors, "%s: %s: expected 0 or at least 1\n", path,
                          name);
  return -1;
}

int
gw_settings_read (const char *path, struct gw_settings *set, GString *errors)
{
  memset (set, 0, sizeof *set);
  if (settings_read (path, members, G_N_ELEMENTS (members), set, errors) != 0)
    return -1;
  if (seconds_read (path, "grace_s", set->grace_s, &set->grace_ms, errors) != 0
      || seconds_read (path, "repeat_window_s", set->repeat_window_s,
                       &set->repeat_window_ms, errors)
             != 0)
    return -1;
  if (duties_read (set, errors) != 0)
    return -1;
  return check_usage (path, set, errors);
}
