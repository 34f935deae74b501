#ifndef GOLDCRESTHATCH_AUTHORITY_H
#define GOLDCRESTHATCH_AUTHORITY_H

/*
 * NAME
 *   authority - leader election for one shard, in a candidate entry
 *
 * DESCRIPTION
 *   The holder of the key authority/S gives orders to the engines of shard S.
 *   The key is created under a lease and never rewritten, so the revision of
 *   its creation is the fencing token.  authority_handle() takes one event and
 *   returns the action to carry out.  At most one operation is in progress;
 *   its result is reported with the number in the action, and results with
 *   another number are ignored.
 *
 *   By the clock of the holder, a lease is valid for AUTHORITY_LEASE_US from
 *   the moment before its grant or renewal was sent.  After that it may have
 *   expired.
 *
 *   Candidates need not know each other.  With authority_rank_set() the
 *   entries of the shard's own zone poll the key most often.  Every other
 *   entry polls at an interval that grows with its rank, which all processes
 *   compute alike from config_peers, and acquires the key only after it was
 *   absent long enough for an entry of the zone to acquire it first.
 *
 * UNITS
 *   Times are microseconds of a monotonic clock.
 */

#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"
#include "goldcresthatch/msg.h"

enum
{
  AUTHORITY_LEASE_US = 10 * 1000 * 1000,
  AUTHORITY_RENEW_INTERVAL_US = 3 * 1000 * 1000,
  AUTHORITY_RETRY_INTERVAL_US
  = 1000 * 1000, /* after a failed key-value operation */
  AUTHORITY_POLL_INTERVAL_US
  = 3 * 1000 * 1000, /* shortest, between reads of a follower */
  /* With more than 20 peers the interval in the shard's zone grows, so that
     the reads of a large fleet stay far below the capacity of the key-value
     service.  */
  AUTHORITY_POLL_PER_PEER_US = 150 * 1000, /* for each listed peer */
  AUTHORITY_POLL_PER_RANK_US
  = 1000 * 1000, /* for each rank, in another zone */
  /* Interval of an unlisted entry of another zone.  It bounds the time without
     a holder when only such entries are left.  */
  AUTHORITY_POLL_UNLISTED_US = 120 * 1000 * 1000,
  /* Time before the end of the lease in which no order is given.  The agent
     compares an order with the key within 1 s; the rest covers delivery and
     clock drift.  */
  AUTHORITY_LEASE_MARGIN_US = 4 * 1000 * 1000,
  /* From the acquisition to the first order: twice ENGINE_READ_MAX_AGE_US, the
     age at which an agent's read of the key expires.  */
  AUTHORITY_FIRST_ORDER_DELAY_US = 2 * 1000 * 1000,
  AUTHORITY_RECORD_MAX_BYTES = 512 /* bytes of an encoded record */
};

enum authority_state
{
  AUTHORITY_FOLLOWER,
  AUTHORITY_ACQUIRING,
  AUTHORITY_WAITING, /* holds the key but must not give orders */
  AUTHORITY_HOLDER,
  AUTHORITY_LOST, /* lost the key; becomes a follower at the next
                     AUTHORITY_EV_TIME */
  AUTHORITY_STATE_MAX
};

/* Value of the key.  */
struct authority_record
{
  char holder[MSG_NAME_MAX_BYTES + 1];
  uint64_t incarnation;
  struct msg_id write_id;
  uint64_t lease;
};

enum authority_event_kind
{
  AUTHORITY_EV_TIME,
  AUTHORITY_EV_GRANTED, /* result of AUTHORITY_DO_GRANT */
  AUTHORITY_EV_CAS,     /* result of AUTHORITY_DO_CAS */
  AUTHORITY_EV_RENEWED, /* result of AUTHORITY_DO_RENEW */
  AUTHORITY_EV_READ,    /* result of AUTHORITY_DO_READ */
  AUTHORITY_EV_MAX
};

/* RC is the result of the key-value operation: 1 for done or present, 0 for
   refused, expired or absent, -1 for unknown.  A successful grant has 0.  */
struct authority_event
{
  enum authority_event_kind kind;
  int64_t now_us;
  uint64_t op; /* number of the action with this result */
  int rc;
  uint64_t lease;                        /* GRANTED */
  uint64_t revision;                     /* CAS, READ */
  const struct authority_record *record; /* READ; null when malformed */
  struct msg_id draw;                    /* random bits, for every event */
};

enum authority_action_kind
{
  AUTHORITY_DO_NOTHING,
  AUTHORITY_DO_READ,
  AUTHORITY_DO_GRANT,
  AUTHORITY_DO_CAS, /* create the key with RECORD under LEASE, previous 0 */
  AUTHORITY_DO_RENEW,
  AUTHORITY_DO_STOP /* give no more orders and abandon plans in progress */
};

struct authority_action
{
  enum authority_action_kind kind;
  uint64_t op;
  uint64_t lease;
  struct authority_record record;
};

/* Times that a deployment may set.  */
struct authority_times
{
  int64_t lease_us;
  int64_t renew_us;
  int64_t retry_us;  /* after a failed key-value operation */
  int64_t poll_us;   /* shortest, between reads of a follower */
  int64_t margin_us; /* before the end of the lease, without new orders */
  int64_t wait_us;   /* from the acquisition to the first order */
  /* Nonzero: a holder whose lease may have expired gives no orders but goes on
     renewing, and may use its token again once a renewal is accepted; each of
     its orders must follow a read of the key.  0: it gives up the token.  */
  int renew_after_expiry;
};

/* The constants above.  */
extern const struct authority_times authority_times_default;

struct authority
{
  struct authority_times times;
  enum authority_state state;
  char holder[MSG_NAME_MAX_BYTES + 1];
  uint64_t incarnation;
  uint64_t op;            /* number of the last action */
  int pending;            /* the result of OP is awaited */
  int64_t sent_us;        /* time at which operation OP was begun */
  int64_t next_us;        /* earliest time of the next operation */
  int64_t lease_end_us;   /* until when the lease is valid for certain */
  int64_t first_order_us; /* earliest time of an order */
  uint64_t lease;
  uint64_t token; /* fencing token, 0 unless waiting or holder */
  struct msg_id write_id;
  int64_t poll_us; /* between reads of a follower */
  int64_t wait_us; /* for which the key must be absent before acquiring it */
  int key_absent;  /* the last read found no key */
  int64_t absent_since_us; /* time of the first of these reads */
};

/* Makes AUTHORITY a follower for the entry HOLDER, with the intervals of an
   entry of the shard's zone.  */
void authority_init (struct authority *authority, const char *holder,
                     uint64_t incarnation);

/* Replaces the default times.  To be called before the first event.  */
void authority_times_set (struct authority *authority,
                          const struct authority_times *times);

/* Returns the rank of the address SELF among the COUNT addresses PEERS for the
   shard ZONE, from 0, or COUNT when it isn't listed.  */
size_t authority_rank (const char *zone, const char *self,
                       const char *const *peers, size_t count);

/* Sets the poll interval of AUTHORITY and the time for which the key must be
   absent.  OWN_ZONE is nonzero in the shard's zone; RANK is the result of
   authority_rank() among COUNT peers.  */
void authority_rank_set (struct authority *authority, int own_zone,
                         size_t rank, size_t count);

/* Applies EVENT and fills in the action to carry out.  */
void authority_handle (struct authority *authority,
                       const struct authority_event *event,
                       struct authority_action *action);

/* Returns the fencing token when an order may be given at NOW_US, else 0.  */
uint64_t authority_token (const struct authority *authority, int64_t now_us);

/* Encodes RECORD as JSON text in BUF.  Returns its length, or -1 with
   ERR_LIMIT.  */
int authority_record_encode (const struct authority_record *record, char *buf,
                             size_t size, struct err *err);

/* Decodes SIZE bytes of JSON text.  Returns 0, or -1 with ERR_PROTOCOL.  */
int authority_record_decode (const char *data, size_t size,
                             struct authority_record *record, struct err *err);

#endif
