#ifndef TENANTSHARE_H
#define TENANTSHARE_H
/*
 * NAME
 *   tenantshare - shares of tenants where requests are refused for want of
 *   room
 *
 * DESCRIPTION
 *   While requests of a class (one service, one priority) are refused, each
 *   tenant is entitled to its weighted max-min share of the work that is
 *   admitted.  A tenant that gets more is held to a stricter limit, so that
 *   it is refused first and the queue stays short enough for the others.
 *   Nobody's limit is raised, and a request that meets no queue is admitted
 *   whoever sends it, so no room is left unused.
 *
 *   Offered and refused work is remembered with an exponential decay.  The
 *   owner may tell other gateways of it and adds what they tell, so that a
 *   tenant has one share however its requests are spread; without them the
 *   shares are those of the requests seen here.
 *
 *   Sources: the fair share is the water level of Bertsekas and Gallager,
 *   "Data Networks", 6.5.2; estimating it from the accepted work, without
 *   queues of tenants, follows Stoica, Shenker and Zhang, "Core-stateless fair
 *   queueing", 1998.  No input or output; times are in microseconds, work in
 *   any unit that is the same within a class.
 */
#include <stddef.h>
#include <stdint.h>

enum
{
  TENANTSHARE_TOLD_MAX = 48 /* tenants of a class that are reported */
};

struct tenantshare;

struct tenantshare *tenantshare_new (void);
void tenantshare_free (struct tenantshare *shares);

/* Returns the number of the tenant NAME in CLASS_ID, which is the same at all
   gateways.  */
uint64_t tenantshare_key (uint64_t class_id, const char *name);

/* Notes that a request of WORK was admitted, or else refused.  */
void tenantshare_note (struct tenantshare *shares, uint64_t class_id,
                       uint64_t key, double weight, double work,
                       int is_admitted, int64_t now);

/* Returns the part of the usual limit, at most 1, up to which a request may
   have to wait.  */
double tenantshare_limit (struct tenantshare *shares, uint64_t class_id,
                          uint64_t key, int64_t now);

/* Work of a tenant here.  */
typedef void tenantshare_report_fn (void *ctx, uint64_t key, double offered,
                                    double admitted);
/* Calls FN for the largest tenants of each class with refusals, and once with
   zeros for each that is reported no longer.  Forgets tenants without
   requests; to be called a few times a second.  */
void tenantshare_report (struct tenantshare *shares, int64_t now,
                         tenantshare_report_fn *fn, void *ctx);
/* Notes the work of a tenant at the other gateways together, which counts for
   a few seconds.  Returns 0, or -1 when the tenant isn't known here.  */
int tenantshare_note_others (struct tenantshare *shares, uint64_t key,
                             double offered, double admitted, int64_t now);
#endif
