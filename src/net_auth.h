#ifndef NET_AUTH_H
#define NET_AUTH_H

/*
 * CURVE keys of the sockets, and the answers to ZeroMQ's authentication
 * requests (ZAP): a client whose public key is not allowed is refused, counted
 * and logged.
 */

#include "goldcresthatch/net.h"

struct net_auth;

/* Starts to answer the authentication requests of the context ZMQ.  */
struct net_auth *net_auth_open (void *zmq, const struct net_keys *keys);
void net_auth_close (struct net_auth *auth);

/* Returns the socket to poll for requests.  */
void *net_auth_socket (struct net_auth *auth);

/* Answers every pending request.  */
void net_auth_answer_requests (struct net_auth *auth);

/* Set the keys of a socket, before it binds or connects.  */
void net_auth_configure_server (void *socket, const struct net_keys *keys);
void net_auth_configure_client (void *socket, const struct net_keys *keys);

#endif
