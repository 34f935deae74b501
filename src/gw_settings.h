#ifndef GW_SETTINGS_H
#define GW_SETTINGS_H
/*
 * NAME
 *   gw_settings - settings of the gateway, read from JSON with comments and
 *   checked
 */
#include "goldcresthatch/settings.h"

struct gw_settings
{
  char node[SETTINGS_TEXT_BYTES];
  char zone[SETTINGS_TEXT_BYTES];
  char listen_front[SETTINGS_TEXT_BYTES];
  char listen_ready[SETTINGS_TEXT_BYTES];
  char listen_metrics[SETTINGS_TEXT_BYTES]; /* may be empty */
  char listen_relay[SETTINGS_TEXT_BYTES]; /* relayed requests; may be empty */
  char listen_load[SETTINGS_TEXT_BYTES];  /* load reports; may be empty */
  char store[SETTINGS_TEXT_BYTES];
  char cloud[SETTINGS_TEXT_BYTES]; /* takes the duties' calls; may be empty */
  double usage_window_ms; /* length of a window of usage; 0: not reported */
  double usage_late_ms; /* from the end of a window until its report is due */
  double duties_per_s;  /* calls of duties a second, of all gateways */
  double memory_mb;     /* this process may use, or 0 */
  double max_fds;       /* descriptors that it may have, or 0 */
  double body_ms;       /* longest time of a request's body */
  double body_bytes_per_s; /* least rate of one that takes long */
  double link_mbit;        /* bandwidth of this VM's network link */
  double lease_ms;         /* least time between the orders of two leaders */
  double settled_ms;       /* within which changes apply after an outage */
  double grace_ms;         /* from SIGTERM to exit */
  double grace_s;          /* the same; 0: GRACE_MS says it */
  double repeat_ratio;     /* retries allowed per request, for a service over
                              all processes */
  double repeat_slack;     /* retries in a window beyond that */
  double repeat_window_ms;
  double repeat_window_s; /* the same; 0: REPEAT_WINDOW_MS says it */
  double prefill_share;   /* of the engines, until the demand is known */
  double admit_factor;    /* a request whose first byte is expected later
                             than this multiple of the target is refused */
  double overflow_share;  /* a decode engine with at most this share of its
                             slots in use takes prompts that the prefill
                             engines can't read in time */
  double direct_tokens;   /* a shorter prompt is read by its decode engine */
  double tenant_shares;   /* 0: tenants have no shares where room is short */
  double learn_speeds;    /* 1: speeds of runners are learnt; 0: all count as
                             equally fast */
};

/* Reads PATH.  Returns 0, or -1 with one line in ERRORS for each error.  */
int gw_settings_read (const char *path, struct gw_settings *set,
                      GString *errors);
#endif
