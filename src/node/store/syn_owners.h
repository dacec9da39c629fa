/*
 * syn_owners: keeps the map of owners of the own service: extends the
 * horizon in time, and takes this node out of it when it leaves.
 */
#ifndef LAV_NODE_SYN_OWNERS_H
#define LAV_NODE_SYN_OWNERS_H

#include "lav/dedup.h"
#include "lav/objstore.h"
#include "node.h"

typedef struct syn_owners {
    node *node;
    dedup_owner_map map;      /* as last read or written */
    bool read;                /* at least once, if only to find none */
    int64_t tried_us;         /* last time the platform was asked */
    bool left;                /* this node has taken itself out */
    int64_t awaited_since_us; /* a handover by a leaving member; 0: none */
} syn_owners;

void syn_owners_init(syn_owners *o, node *n);
void syn_owners_step(syn_owners *o, objstore *p, int64_t now_us,
                     int64_t now_ms);

#endif
