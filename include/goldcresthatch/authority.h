#ifndef GOLDCRESTHATCH_AUTHORITY_H
#define GOLDCRESTHATCH_AUTHORITY_H

/*
 * NAME
 *   authority - authority over one shard, as seen by a candidate entry
 *
 * DESCRIPTION
 *   The holder of authority/S gives orders to the engines of shard S.  The key
 *   is created under a lease and never rewritten, so the revision of its
 *   creation is the fencing token.  authority_handle() takes one event and
 * returns the action to carry out.  At most one operation is in progress; its
 * result is reported with the number in the action, and other results are
 * ignored.
 *
 *   A lease is certain for AUTHORITY_LEASE_US from the moment before its grant
 * or renewal was sent, by the clock of the holder.
 *
 *   Candidates need not know each other.  authority_rank_set() gives the
 * entries of the shard's own zone the shortest poll; every other entry polls
 * more slowly, by its place in an order that all processes compute alike from
 *   config_peers, and acquires the key only after it was absent long enough
 *   for an entry of the zone to acquire it first.
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
  = 1000 * 1000, /* after a failed call of the service */
  AUTHORITY_POLL_INTERVAL_US
  = 3 * 1000 * 1000, /* least time between a follower's reads */
  /* Polls in the own zone slow down beyond 20 peers, so that the reads of a
     large fleet stay far below the rate of the service.  */
  AUTHORITY_POLL_PER_PEER_US = 150 * 1000,  /* by peer listed */
  AUTHORITY_POLL_PER_RANK_US = 1000 * 1000, /* by place, in another zone */
  /* Bounds the time without a holder when only an unlisted entry of another
     zone is left.  */
  AUTHORITY_POLL_UNLISTED_US = 120 * 1000 * 1000,
  /* An order that leaves the holder is read back against the key by the agent
     within 1 s; the rest covers delivery and clock drift.  */
  AUTHORITY_LEASE_MARGIN_US = 4 * 1000 * 1000,
  /* Twice the age at which an agent's read is void.  */
  AUTHORITY_FIRST_ORDER_DELAY_US = 2 * 1000 * 1000,
  AUTHORITY_RECORD_MAX_BYTES = 512 /* bytes of an encoded record */
};

enum authority_state
{
  AUTHORITY_FOLLOWER,
  AUTHORITY_ACQUIRING,
  AUTHORITY_WAITING, /* holds the key and gives no orders yet */
  AUTHORITY_HOLDER,
  AUTHORITY_LOST, /* gave up its token; becomes a follower at the next time
                     event */
  AUTHORITY_STATE_MAX
};

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

/* The result RC is that of the key-value call: 1 for done or present, 0 for
   refused, ended or absent, -1 when unknown.  A grant has 0 for done.  */
struct authority_event
{
  enum authority_event_kind kind;
  int64_t now_us;
  uint64_t op; /* number of the action that this is the result of */
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
  AUTHORITY_DO_STOP /* give no more orders and drop plans in progress */
};

struct authority_action
{
  enum authority_action_kind kind;
  uint64_t op;
  uint64_t lease;
  struct authority_record record;
};

/* Times that a deployment may set, in microseconds.  */
struct authority_times
{
  int64_t lease_us;
  int64_t renew_us;
  int64_t retry_us;  /* after a failed call of the service */
  int64_t poll_us;   /* least time between a follower's reads */
  int64_t margin_us; /* before the end of the lease, without orders */
  int64_t wait_us;   /* from the acquisition to the first order */
  /* Nonzero: a holder whose lease is no longer certain gives no orders but
     goes on renewing, and holds its token again once a renewal is accepted.
     Else it gives the token up.  Its orders must each follow a read of the
     key.  */
  int renew_after_expiry;
};

/* AUTHORITY_LEASE_US and so on.  */
extern const struct authority_times authority_times_default;

struct authority
{
  struct authority_times times;
  enum authority_state state;
  char holder[MSG_NAME_MAX_BYTES + 1];
  uint64_t incarnation;
  uint64_t op; /* number of the last action */
  int pending; /* the result of OP is awaited */
  int64_t sent_us;
  int64_t next_us;        /* earliest time of the next operation */
  int64_t lease_end_us;   /* end of the time for which the lease is certain */
  int64_t first_order_us; /* first time at which orders may be given */
  uint64_t lease;
  uint64_t token; /* fencing token, 0 unless waiting or holder */
  struct msg_id write_id;
  int64_t poll_us; /* between the reads of a follower */
  int64_t wait_us; /* time for which the key must be absent */
  int key_absent;  /* the last read found the key absent */
  int64_t absent_since_us;
};

/* Makes AUTH a follower for the entry HOLDER, which stands like an entry of
   the shard's zone.  */
void authority_init (struct authority *authority, const char *holder,
                     uint64_t incarnation);

/* Sets times other than the default ones; to be called before any event.  */
void authority_times_set (struct authority *authority,
                          const struct authority_times *times);

/* Returns the place of the entry SELF among the COUNT addresses PEERS in the
   order for the shard ZONE, or COUNT when it isn't listed.  */
size_t authority_rank (const char *zone, const char *self,
                       const char *const *peers, size_t count);

/* Sets how AUTH stands for its shard: HOME is nonzero in the shard's zone,
   PLACE is by authority_rank() among COUNT peers.  */
void authority_rank_set (struct authority *authority, int home, size_t place,
                         size_t count);

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
