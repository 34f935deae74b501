#ifndef GW_SETTINGS_H
#define GW_SETTINGS_H
/*
 * NAME
 *   gw_settings - checked settings of the gateway, JSON with comments
 */
#include "goldcresthatch/settings.h"

struct gw_settings
{
  char node[SETTINGS_TEXT_BYTES];
  char zone[SETTINGS_TEXT_BYTES];
  char listen_front[SETTINGS_TEXT_BYTES];
  char listen_ready[SETTINGS_TEXT_BYTES];
  char listen_metrics[SETTINGS_TEXT_BYTES]; /* may be empty */
  char listen_relay[SETTINGS_TEXT_BYTES]; /* requests of other gateways; may be
                                           * empty
                                           */
  char listen_load[SETTINGS_TEXT_BYTES]; /* datagrams of other gateways; may be
                                          * empty
                                          */
  char store[SETTINGS_TEXT_BYTES];
  double link_mbit;    /* of this VM */
  double lease_ms;     /* least time between the orders of two holders */
  double settled_ms;   /* within which changes are in force after trouble */
  double grace_ms;     /* from SIGTERM to the end */
  double repeat_ratio; /* of all processes, for a service */
  double repeat_slack;
  double repeat_window_ms;
  double prefill_share;  /* of the engines before any demand is known */
  double admit_factor;   /* of the target for the first byte: a request that
                            would wait longer is refused */
  double overflow_share; /* of its slots, up to which an engine that generates
                            reads prompts that the others can't */
  double direct_tokens;  /* a shorter prompt isn't read apart */
};

/* Reads PATH.  Returns 0, or -1 with a line in ERRORS for each.  */
int gw_settings_read (const char *path, struct gw_settings *set,
                      GString *errors);
#endif
