/*
 * store_sync_owners: maintains the owner map of this node's service on the
 * platform: extends its horizon ahead of time, and hands over this node's
 * slots when it leaves.
 */
#ifndef LAV_NODE_STORE_SYNC_OWNERS_H
#define LAV_NODE_STORE_SYNC_OWNERS_H

#include "lav/dedup.h"
#include "lav/objstore.h"
#include "node.h"

typedef struct store_sync_owners {
    node *node;
    dedup_owner_map map; /* as last read or written */
    bool is_read; /* the platform has been read, with or without a map */
    int64_t last_request_us;        /* last request to the platform */
    bool handed_over;               /* this node's slots are handed over */
    int64_t handover_wait_since_us; /* wait for a leaving member; 0: none */
} store_sync_owners;

void store_sync_owners_init(store_sync_owners *o, node *n);
void store_sync_owners_poll(store_sync_owners *o, objstore *platform,
                            int64_t now_us, int64_t now_ms);

#endif
