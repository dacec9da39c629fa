/*
 * peer_server: serves requests that other nodes forward for the local target,
 * and their queries: for the state of this node, and for the response or the
 * dispatch record of an attempt whose connection broke.
 */
#ifndef LAV_PEER_SERVER_H
#define LAV_PEER_SERVER_H

#include "runtime.h"

void peer_server_accept(int fd, const struct sockaddr_in *from, void *payload);

#endif
