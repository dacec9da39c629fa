/*
 * peer_server: requests that other nodes send for the target beside this one, and
 * their questions: for the state of this node, and for the answer to, or the
 * record of, an attempt whose connection broke.
 */
#ifndef LAV_PEER_SERVER_H
#define LAV_PEER_SERVER_H

#include "runtime.h"

void peer_server_accept(int fd, const struct sockaddr_in *from, void *payload);

#endif
