#ifndef GOLDCRESTHATCH_NET_H
#define GOLDCRESTHATCH_NET_H

/*
 * NAME
 *   net - ZeroMQ connections between entries and agents
 *
 * DESCRIPTION
 *   One thread owns the sockets; other threads hand it messages through a
 *   queue.  Callbacks run on that thread and must not block.  A message is
 *   never queued for a disconnected peer: it is reported as unsent instead.
 *
 *   Lock order: the queue's lock is a leaf; no callback runs under it.
 */

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "goldcresthatch/err.h"
#include "goldcresthatch/msg.h"

struct net;

enum
{
  NET_KEY_BYTES = 41,       /* a key in Z85 with the zero byte */
  NET_KEYS_ALLOWED_MAX = 64 /* public keys of entries that an agent admits */
};

/* CURVE keys of a process.  An agent admits the entries whose public keys are
   ALLOWED; an entry talks only to agents with the key pair of SERVER.  */
struct net_keys
{
  char public_key[NET_KEY_BYTES];
  char secret_key[NET_KEY_BYTES];
  char server[NET_KEY_BYTES];
  size_t allowed_count;
  char allowed[NET_KEYS_ALLOWED_MAX][NET_KEY_BYTES];
};

/* Reads keys from FILE, JSON with comments: public_key, secret_key, and server
   for an entry or allowed for an agent.  Returns 0, or -1 after appending the
   errors to ERRORS.  */
int net_keys_read (const char *file, struct net_keys *keys, GString *errors);

struct net_ops
{
  /* A message arrived from PEER; its strings live until the return.  */
  void (*message) (void *ctx, uint64_t peer, const struct msg *msg);

  /* MSG was not sent to PEER and never will be.  */
  void (*unsent) (void *ctx, uint64_t peer, const struct msg *msg);

  /* The entry's connection to PEER was lost, and with it the messages in
     transit; the peer may still be running.  May be null on the agent's
     side.  */
  void (*lost) (void *ctx, uint64_t peer);
};

/* Opens the agent's side, bound to ADDRESS, "IP:PORT".  KEYS may be null for
   unencrypted connections.  Returns null on failure.  */
struct net *net_open_agent (const char *address, const struct net_keys *keys,
                            const struct net_ops *ops, void *ctx,
                            struct err *err);

/* Opens the entry's side under IDENTITY, which no other process uses.  */
struct net *net_open_entry (const char *identity, const struct net_keys *keys,
                            const struct net_ops *ops, void *ctx,
                            struct err *err);

/* Starts a connection of the entry's side to ADDRESS and returns its peer
   handle, which is never reused.  */
uint64_t net_connect (struct net *net, const char *address);

/* Ends the connection to PEER.  */
void net_disconnect (struct net *net, uint64_t peer);

/* Queues MSG for PEER; safe from any thread.  Returns 0, or -1 when it is too
   large.  */
int net_send (struct net *net, uint64_t peer, const struct msg *msg,
              struct err *err);

/* The same, but waits first while some megabytes are queued for all peers. For
   threads that pass on what may come without an end; not for callbacks.  */
int net_send_wait (struct net *net, uint64_t peer, const struct msg *msg,
                   struct err *err);

/* Sends what is queued, stops the thread and frees NET.  */
void net_close (struct net *net);

#endif
