/*
 * peer_sync: what nodes tell each other of the desired state and of the fleet, for
 * when the store can't: a node that hears of a newer version asks the node
 * that has it.  Versions ride on requests and answers; a node that hears none
 * asks another one each second, as its connection to the store may have
 * fallen silent.
 */
#ifndef LAV_PEER_SYNC_H
#define LAV_PEER_SYNC_H

#include "runtime.h"

#define PEER_SYNC_STATE_PATH "/lav/state"
#define PEER_SYNC_VERSION_PATH "/lav/version"

typedef struct peer_sync peer_sync;

int peer_sync_new(peer_sync **out, runtime *n);
void peer_sync_free(peer_sync *s);
char *peer_sync_version_json(const runtime *n);
void peer_sync_fetch_state(runtime *n, const struct sockaddr_in *from);
char *peer_sync_state_json(const runtime *n);

#endif
