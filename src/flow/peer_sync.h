/*
 * peer_sync: exchange of the desired state and of the fleet between nodes, as
 * a fallback while the store is unreachable.  Versions are carried on requests
 * and responses; a node that learns of a newer version fetches the state from
 * the node that has it.  A node that has heard from no peer for a second
 * queries another one each second, since its connection to the store may have
 * stalled without an error.
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
