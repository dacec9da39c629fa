/*
 * snapshot: RCU snapshots of the two tables that many threads read and few
 * replace: the active configuration and the fleet.
 */
#ifndef LAV_NODE_SNAPSHOT_H
#define LAV_NODE_SNAPSHOT_H

#include <stddef.h>
#include <stdint.h>

#include "lav/catalog.h"
#include "lav/swim.h"

typedef struct snapshot_config {
    uint64_t version; /* of the active configuration; 0: none */
    catalog *catalog; /* NULL if the version is 0 */
} snapshot_config;

typedef struct snapshot_fleet {
    size_t count;
    swim_member entries[]; /* the first is this node */
} snapshot_fleet;

typedef struct snapshot snapshot;

int snapshot_new(snapshot **out);
void snapshot_free(snapshot *s);

void snapshot_read_lock(void);
void snapshot_read_unlock(void);
const snapshot_config *snapshot_get_config(snapshot *s);
const snapshot_fleet *snapshot_get_fleet(snapshot *s);
int snapshot_set_config(snapshot *s, uint64_t version, catalog *landscape);
int snapshot_set_fleet(snapshot *s, const swim_list *members);

#endif
