#ifndef GW_SET_H
#define GW_SET_H
/*
 * NAME
 *   gw_set - checked settings of the gateway, JSON with comments
 */
#include "goldcresthatch/set.h"

struct gw_set
{
  char node[SET_TEXT_MAX];
  char zone[SET_TEXT_MAX];
  char listen_front[SET_TEXT_MAX];
  char listen_ready[SET_TEXT_MAX];
  char listen_metrics[SET_TEXT_MAX]; /* may be empty */
  char listen_relay[SET_TEXT_MAX]; /* requests of other gateways; may be empty
                                    */
  char listen_load[SET_TEXT_MAX];  /* datagrams of other gateways; may be empty
                                    */
  char store[SET_TEXT_MAX];
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
int gw_set_read (const char *path, struct gw_set *set, GString *errors);
#endif
