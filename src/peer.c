#include "peer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"

enum
{
  READ_TIMEOUT_S = 2,
  BODY_MAX_BYTES = 4 << 20,
  PATH_BYTES = 64
};

struct reply
{
  GString *body;
  struct cfg_peer_status *state;
};

static uint64_t
header_number (ne_request *req, const char *name)
{
  const char *text = ne_get_response_header (req, name);

  return text != NULL ? strtoull (text, NULL, 10) : 0;
}

static int
on_head (void *ctx, int status, ne_request *req)
{
  struct reply *reply = ctx;

  (void)status;
  if (reply->state == NULL)
    return 0;
  reply->state->generation = header_number (req, PEER_HEADER_GENERATION);
  reply->state->incarnation = header_number (req, PEER_HEADER_INCARNATION);
  reply->state->ready = header_number (req, PEER_HEADER_READY) == 1;
  return 0;
}

static int
on_data (void *ctx, const char *data, size_t size)
{
  struct reply *reply = ctx;

  if (reply->body == NULL)
    return 0;
  if (reply->body->len + size > BODY_MAX_BYTES)
    return -1;
  g_string_append_len (reply->body, data, (gssize)size);
  return 0;
}

int
peer_get (const char *address, const char *path, GString *body,
          struct cfg_peer_status *state, struct err *err)
{
  struct reply reply = { body, state };
  struct http_call call = { .address = address,
                            .method = "GET",
                            .path = path,
                            .timeout_s = READ_TIMEOUT_S,
                            .ctx = &reply,
                            .on_head = on_head,
                            .on_data = on_data };
  int status;

  if (state != NULL)
    memset (state, 0, sizeof *state);
  if (http_run (&call, &status, err) != HTTP_OK)
    return -1;
  if (state != NULL)
    state->answered = true;
  return status;
}

int
peer_get_config (const char *address, uint64_t have, GString *body,
                 struct cfg_peer_status *state, struct err *err)
{
  char path[PATH_BYTES];

  snprintf (path, sizeof path, "/admin/config?have=%llu",
            (unsigned long long)have);
  return peer_get (address, path, body, state, err);
}
