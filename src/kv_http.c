#include "goldcresthatch/kv.h"

#include <glib.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"

enum
{
  PATH_MAX_BYTES = KV_KEY_MAX_BYTES + 128,
  NUMBER_BITS = 40, /* leaves the sum with an era exact in a JSON number */
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
  _Atomic uint64_t era; /* the latest of a response, or 0 */
};

/* A response that is being received.  */
struct response
{
  GString *body;
  uint64_t era; /* 0: not named */
  uint64_t revision;
  uint64_t lease;
};

/* The service is in another era when it was restored from an older copy, and
   gives revisions and leases out again.  To callers they are numbers that lead
   with the era, so that they differ and rise; in the first era, or without
   one, they are those of the service.  */
static uint64_t
number_make (uint64_t era, uint64_t number)
{
  return number == 0 ? 0 : ((MAX (era, 1) - 1) << NUMBER_BITS) + number;
}

static uint64_t
number_era (uint64_t number)
{
  return (number >> NUMBER_BITS) + 1;
}

static unsigned long long
number_in_era (uint64_t number)
{
  return number & ((UINT64_C (1) << NUMBER_BITS) - 1);
}

/* Returns nonzero when NUMBER, or 0 for none, is one of ERA.  */
static int
number_is_of (uint64_t number, uint64_t era)
{
  return number == 0 || number_era (number) == MAX (era, 1);
}

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
  response->era = header_number (req, "Store-Era");
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

/* Notes the era of RESPONSE and puts it into the numbers there.  Returns 0, or
   -1 when the response is a late one of an earlier era.  */
static int
note_era (struct kv_http *http, struct response *response)
{
  uint64_t known = atomic_load (&http->era);

  if (response->era == 0)
    response->era = known;
  while (response->era > known
         && !atomic_compare_exchange_weak (&http->era, &known, response->era))
    ;
  response->revision = number_make (response->era, response->revision);
  response->lease = number_make (response->era, response->lease);
  return response->era < known ? -1 : 0;
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
  if (result == HTTP_OK && note_era (http, response) == 0)
    return status;
  if (result == HTTP_OK)
    return err_set (err, ERR_PROTOCOL, "kv", http->address,
                    "%s: a late answer of era %llu", path,
                    (unsigned long long)response->era);
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

/* Reads PATH, unless the value is unchanged since AFTER.  */
static int
read_path (struct kv_http *http, const char *path, uint64_t after,
           unsigned extra_s, struct kv_value *out, struct err *err)
{
  struct response response = { .body = g_string_new (NULL) };
  int status
      = send_request (http, "GET", path, NULL, 0, extra_s, &response, err);
  int rc = -1;

  memset (out, 0, sizeof *out);
  if (status == STATUS_NOT_MODIFIED && !number_is_of (after, response.era))
    err_set (err, ERR_PROTOCOL, "kv", http->address,
             "%s: the service has been restored", path);
  else if (status >= 0)
    rc = copy_value (http, path, status, &response, out, err);
  g_string_free (response.body, TRUE);
  return rc;
}

static int
http_get (void *ctx, const char *key, struct kv_value *out, struct err *err)
{
  char path[PATH_MAX_BYTES];

  snprintf (path, sizeof path, "/kv/%s", key);
  return read_path (ctx, path, 0, 0, out, err);
}

static int
http_watch (void *ctx, const char *key, uint64_t after, unsigned wait_ms,
            struct kv_value *out, struct err *err)
{
  struct kv_http *http = ctx;
  char path[PATH_MAX_BYTES];

  if (!number_is_of (after, atomic_load (&http->era)))
    return http_get (ctx, key, out, err);
  snprintf (path, sizeof path, "/kv/%s?after=%llu&wait_ms=%u", key,
            number_in_era (after), wait_ms);
  return read_path (ctx, path, after, wait_ms / 1000 + 1, out, err);
}

static int
http_vms (void *ctx, struct kv_value *out, struct err *err)
{
  return read_path (ctx, "/vms", 0, 0, out, err);
}

static int
lease_ended (struct kv_http *http, uint64_t lease, struct err *err)
{
  return err_set (err, ERR_NOT_FOUND, "kv", http->address,
                  "lease %llu of era %llu has ended", number_in_era (lease),
                  (unsigned long long)number_era (lease));
}

static int
http_cas (void *ctx, const char *key, uint64_t prev, const void *data,
          size_t size, uint64_t lease, uint64_t *revision, struct err *err)
{
  struct kv_http *http = ctx;
  uint64_t era = atomic_load (&http->era);
  struct response response = { .body = g_string_new (NULL) };
  char path[PATH_MAX_BYTES];
  int status;
  int rc;

  if (!number_is_of (lease, era) || !number_is_of (prev, era))
    {
      g_string_free (response.body, TRUE);
      return number_is_of (lease, era) ? 0 : lease_ended (http, lease, err);
    }
  snprintf (path, sizeof path, "/kv/%s?prev=%llu", key, number_in_era (prev));
  if (lease != 0)
    snprintf (path + strlen (path), sizeof path - strlen (path), "&lease=%llu",
              number_in_era (lease));
  status = send_request (http, "PUT", path, data, size, 0, &response, err);
  if (status == STATUS_OK && (era == 0 || response.era == era))
    rc = 1;
  else if (status == STATUS_OK)
    rc = err_set (err, ERR_PROTOCOL, "kv", http->address,
                  "%s: written after the service was restored", path);
  else if (status == STATUS_PRECONDITION)
    rc = 0;
  else if (status == STATUS_NOT_FOUND && lease != 0)
    rc = lease_ended (http, lease, err);
  else
    rc = status < 0 ? -1 : unexpected_status (http, path, status, err);
  if (revision != NULL)
    *revision = response.revision;
  g_string_free (response.body, TRUE);
  return rc;
}

static int
http_lease_grant (void *ctx, unsigned ttl_ms, uint64_t *lease, struct err *err)
{
  struct kv_http *http = ctx;
  struct response response = { .body = g_string_new (NULL) };
  char path[PATH_MAX_BYTES];
  int status;

  snprintf (path, sizeof path, "/lease?ttl_ms=%u", ttl_ms);
  status = send_request (http, "POST", path, NULL, 0, 0, &response, err);
  *lease = response.lease;
  g_string_free (response.body, TRUE);
  if (status == STATUS_OK)
    return 0;
  return status < 0 ? -1 : unexpected_status (http, path, status, err);
}

/* Changes LEASE by METHOD at /lease/NUMBER and SUFFIX.  Returns 1, 0 when it
   has ended, or -1.  */
static int
change_lease (struct kv_http *http, const char *method, uint64_t lease,
              const char *suffix, struct err *err)
{
  struct response response = { .body = g_string_new (NULL) };
  char path[PATH_MAX_BYTES];
  int status = STATUS_NOT_FOUND;

  snprintf (path, sizeof path, "/lease/%llu%s", number_in_era (lease), suffix);
  if (number_is_of (lease, atomic_load (&http->era)))
    status = send_request (http, method, path, NULL, 0, 0, &response, err);
  if (status == STATUS_OK && !number_is_of (lease, response.era))
    status = STATUS_NOT_FOUND;
  g_string_free (response.body, TRUE);
  if (status == STATUS_OK || status == STATUS_NOT_FOUND)
    return status == STATUS_OK;
  return status < 0 ? -1 : unexpected_status (http, path, status, err);
}

static int
http_lease_renew (void *ctx, uint64_t lease, struct err *err)
{
  return change_lease (ctx, "POST", lease, "/renew", err);
}

static int
http_lease_revoke (void *ctx, uint64_t lease, struct err *err)
{
  return change_lease (ctx, "DELETE", lease, "", err) < 0 ? -1 : 0;
}

static uint64_t
http_era (void *ctx)
{
  struct kv_http *http = ctx;

  return atomic_load (&http->era);
}

static const struct kv_ops http_ops = {
  .get = http_get,
  .cas = http_cas,
  .watch = http_watch,
  .lease_grant = http_lease_grant,
  .lease_renew = http_lease_renew,
  .lease_revoke = http_lease_revoke,
  .vms = http_vms,
  .era = http_era,
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
