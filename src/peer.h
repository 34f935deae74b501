#ifndef PEER_H
#define PEER_H

/*
 * Requests to the admin HTTP interface of an entry, with the headers that
 * carry its configuration state.
 */

#include <glib.h>

#include "goldcresthatch/cfg.h"
#include "goldcresthatch/err.h"

#define PEER_HEADER_GENERATION "X-Config-Generation"
#define PEER_HEADER_INCARNATION "X-Incarnation"
#define PEER_HEADER_READY "X-Ready"

/* Gets PATH from the entry at ADDRESS.  Appends the body to BODY and fills in
   STATE from the headers; either may be null.  Returns the status, or -1.  */
int peer_get (const char *address, const char *path, GString *body,
              struct cfg_peer_status *state, struct err *err);

/* Asks the entry at ADDRESS for the configuration sections changed after
   generation HAVE.  Returns the status, 204 when none changed, or -1.  */
int peer_get_config (const char *address, uint64_t have, GString *body,
                     struct cfg_peer_status *state, struct err *err);

#endif
