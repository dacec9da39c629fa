/*
 * store_sync_owners: keeps the map of owners of the own service: extends the
 * horizon in time, and takes this node out of it when it leaves.
 */
#ifndef LAV_NODE_STORE_SYNC_OWNERS_H
#define LAV_NODE_STORE_SYNC_OWNERS_H

#include "lav/dedup.h"
#include "lav/objstore.h"
#include "node.h"

typedef struct store_sync_owners {
    node *node;
    dedup_owner_map map;        /* as last read or written */
    bool read;                  /* at least once, if only to find none */
    int64_t platform_polled_us; /* last time the platform was asked */
    bool left;                  /* this node has taken itself out */
    int64_t
        handover_wait_since_us; /* a handover by a leaving member; 0: none */
} store_sync_owners;

void store_sync_owners_init(store_sync_owners *o, node *n);
void store_sync_owners_poll(store_sync_owners *o, objstore *p, int64_t now_us,
                            int64_t now_ms);

#endif
