#include "goldcresthatch/kv.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"

enum
{
  PATH_MAX_BYTES = KV_KEY_MAX_BYTES + 128,
  STATUS_OK = 200,
  STATUS_NOT_MODIFIED = 304,
  STATUS_NOT_FOUND = 404,
  STATUS_PRECONDITION = 412
};

struct kv_http
{
  struct kv kv;
  char address[ERR_PEER_BYTES];
  unsigned timeout_s;
};

/* A response that is being received.  */
struct response
{
  GString *body;
  uint64_t revision;
  uint64_t lease;
};

static uint64_t
header_number (ne_request *req, const char *name)
{
  const char *value = ne_get_response_header (req, name);

  return value != NULL ? strtoull (value, NULL, 10) : 0;
}

static int
on_head (void *ctx, int status, ne_request *req)
{
  struct response *response = ctx;

  (void)status;
  response->revision = header_number (req, "X-Revision");
  response->lease = header_number (req, "X-Lease");
  return 0;
}

static int
on_data (void *ctx, const char *data, size_t size)
{
  struct response *response = ctx;

  if (response->body->len + size > KV_VALUE_MAX_BYTES)
    return -1;
  g_string_append_len (response->body, data, (gssize)size);
  return 0;
}

/* Runs one request.  Returns the status, or -1 with ERR when no complete
   answer was received.  */
static int
send_request (struct kv_http *http, const char *method, const char *path,
              const void *body, size_t size, unsigned extra_s,
              struct response *response, struct err *err)
{
  struct http_call call = {
    .address = http->address,
    .method = method,
    .path = path,
    .content_type = body != NULL ? "application/octet-stream" : NULL,
    .body = body,
    .body_size = size,
    .timeout_s = http->timeout_s + extra_s,
    .ctx = response,
    .on_head = on_head,
    .on_data = on_data,
  };
  enum http_result result;
  int status;

  result = http_run (&call, &status, err);
  if (result == HTTP_OK)
    return status;
  if (err != NULL)
    {
      snprintf (err->step, sizeof err->step, "kv");
      if (result == HTTP_NOT_SENT)
        err->code = ERR_REFUSED;
    }
  return -1;
}

static int
unexpected_status (struct kv_http *http, const char *path, int status,
                   struct err *err)
{
  return err_set (err, ERR_IO, "kv", http->address, "%s: status %d", path,
                  status);
}

/* Copies the value of a 200 answer to OUT.  Returns 1, 0 when the key is
   absent or unchanged, or -1.  */
static int
copy_value (struct kv_http *http, const char *path, int status,
            struct response *response, struct kv_value *out, struct err *err)
{
  memset (out, 0, sizeof *out);
  if (status == STATUS_NOT_FOUND || status == STATUS_NOT_MODIFIED)
    return 0;
  if (status != STATUS_OK)
    return unexpected_status (http, path, status, err);
  out->revision = response->revision;
  out->size = response->body->len;
  out->data = malloc (out->size + 1);
  memcpy (out->data, response->body->str, out->size + 1);
  return 1;
}

static int
read_path (struct kv_http *http, const char *path, unsigned extra_s,
           struct kv_value *out, struct err *err)
{
  struct response response = { g_string_new (NULL), 0, 0 };
  int status
      = send_request (http, "GET", path, NULL, 0, extra_s, &response, err);
  int rc = -1;

  memset (out, 0, sizeof *out);
  if (status >= 0)
    rc = copy_value (http, path, status, &response, out, err);
  g_string_free (response.body, TRUE);
  return rc;
}

static int
http_get (void *ctx, const char *key, struct kv_value *out, struct err *err)
{
  char path[PATH_MAX_BYTES];

  snprintf (path, sizeof path, "/kv/%s", key);
  return read_path (ctx, path, 0, out, err);
}

static int
http_watch (void *ctx, const char *key, uint64_t after, unsigned wait_ms,
            struct kv_value *out, struct err *err)
{
  char path[PATH_MAX_BYTES];

  snprintf (path, sizeof path, "/kv/%s?after=%llu&wait_ms=%u", key,
            (unsigned long long)after, wait_ms);
  return read_path (ctx, path, wait_ms / 1000 + 1, out, err);
}

static int
http_vms (void *ctx, struct kv_value *out, struct err *err)
{
  return read_path (ctx, "/vms", 0, out, err);
}

static int
http_cas (void *ctx, const char *key, uint64_t prev, const void *data,
          size_t size, uint64_t lease, uint64_t *revision, struct err *err)
{
  struct kv_http *http = ctx;
  struct response response = { g_string_new (NULL), 0, 0 };
  char path[PATH_MAX_BYTES];
  int status;
  int rc;

  if (lease != 0)
    snprintf (path, sizeof path, "/kv/%s?prev=%llu&lease=%llu", key,
              (unsigned long long)prev, (unsigned long long)lease);
  else
    snprintf (path, sizeof path, "/kv/%s?prev=%llu", key,
              (unsigned long long)prev);
  status = send_request (http, "PUT", path, data, size, 0, &response, err);
  if (status == STATUS_OK)
    rc = 1;
  else if (status == STATUS_PRECONDITION)
    rc = 0;
  else
    rc = status < 0 ? -1 : unexpected_status (http, path, status, err);
  if (revision != NULL)
    *revision = response.revision;
  g_string_free (response.body, TRUE);
  return rc;
}

/* Runs a request on a lease.  Returns 1 on 200, 0 on 404, else -1.  */
static int
lease_request (struct kv_http *http, const char *method, const char *path,
               uint64_t *lease, struct err *err)
{
  struct response response = { g_string_new (NULL), 0, 0 };
  int status = send_request (http, method, path, NULL, 0, 0, &response, err);
  int rc;

  if (status == STATUS_OK)
    rc = 1;
  else if (status == STATUS_NOT_FOUND)
    rc = 0;
  else
    rc = status < 0 ? -1 : unexpected_status (http, path, status, err);
  if (lease != NULL)
    *lease = response.lease;
  g_string_free (response.body, TRUE);
  return rc;
}

static int
http_lease_grant (void *ctx, unsigned ttl_ms, uint64_t *lease, struct err *err)
{
  char path[PATH_MAX_BYTES];

  snprintf (path, sizeof path, "/lease?ttl_ms=%u", ttl_ms);
  return lease_request (ctx, "POST", path, lease, err) == 1 ? 0 : -1;
}

static int
http_lease_renew (void *ctx, uint64_t lease, struct err *err)
{
  char path[PATH_MAX_BYTES];

  snprintf (path, sizeof path, "/lease/%llu/renew", (unsigned long long)lease);
  return lease_request (ctx, "POST", path, NULL, err);
}

static int
http_lease_revoke (void *ctx, uint64_t lease, struct err *err)
{
  char path[PATH_MAX_BYTES];

  snprintf (path, sizeof path, "/lease/%llu", (unsigned long long)lease);
  return lease_request (ctx, "DELETE", path, NULL, err) < 0 ? -1 : 0;
}

static const struct kv_ops http_ops = {
  .get = http_get,
  .cas = http_cas,
  .watch = http_watch,
  .lease_grant = http_lease_grant,
  .lease_renew = http_lease_renew,
  .lease_revoke = http_lease_revoke,
  .vms = http_vms,
};

struct kv *
kv_http_open (const char *address, unsigned timeout_s, struct err *err)
{
  struct kv_http *http = calloc (1, sizeof *http);

  if (http == NULL)
    {
      err_set (err, ERR_LIMIT, "kv-open", address, "out of memory");
      return NULL;
    }
  snprintf (http->address, sizeof http->address, "%s", address);
  http->timeout_s = timeout_s;
  http->kv.ops = &http_ops;
  http->kv.ctx = http;
  return &http->kv;
}

void
kv_http_close (struct kv *kv)
{
  if (kv != NULL)
    free (kv->ctx);
}
