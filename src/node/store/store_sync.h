/*
 * store_sync: synchronizes this node with the platform in two threads: the
 * watcher waits for newer configurations, the updater maintains this node's
 * member object, the list of members, and the owner map of its service.
 */
#ifndef LAV_NODE_STORE_SYNC_H
#define LAV_NODE_STORE_SYNC_H

#include "node.h"

#define STORE_SYNC_MEMBER_PREFIX "members/"
#define STORE_SYNC_OWNERS_PREFIX "owners/"

typedef struct store_sync store_sync;

int store_sync_new(store_sync **out, node *n, err *e);
void store_sync_stop(store_sync *s);
void store_sync_free(store_sync *s);

#endif
