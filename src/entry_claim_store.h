#ifndef ENTRY_CLAIM_STORE_H
#define ENTRY_CLAIM_STORE_H
/*
 * Records of claims in the key-value service: the lease under which they are
 * written, and what is written again when the service has been restored from
 * an older copy.  Safe for use by many threads; no lock is held.
 */

#include "entry.h"

struct entry_claim_store *entry_claim_store_new (void);
void entry_claim_store_free (struct entry_claim_store *store);

/* Writes TEXT under KEY as kv_cas does, under a new lease when the current one
   has ended.  */
int entry_claim_store_put (struct entry *entry, const char *key, uint64_t prev,
                           const char *text, uint64_t *revision,
                           struct err *err);

/* Notices whether the last answer of the service was of another era.  */
void entry_claim_store_check_era (struct entry *entry);

/* Returns nonzero when records of other entries may be missing, so that no
   claim may be made.  */
int entry_claim_store_is_held (struct entry_claim_store *store);

#endif
