/*
 * snapshot: the two tables that many threads read and few replace, as RCU
 * snapshots: the configuration in force and the fleet.
 */
#ifndef LAV_NODE_SNAPSHOT_H
#define LAV_NODE_SNAPSHOT_H

#include <stddef.h>
#include <stdint.h>

#include "lav/catalog.h"
#include "lav/swim.h"

typedef struct snapshot_config {
    uint64_t version;   /* of the configuration; 0: none yet */
    catalog *landscape; /* NULL where the version is 0 */
} snapshot_config;

typedef struct snapshot_fleet {
    size_t count;
    swim_member entries[]; /* the first is this node */
} snapshot_fleet;

typedef struct snapshot snapshot;

int snapshot_new(snapshot **out);
void snapshot_free(snapshot *v);

void snapshot_read_lock(void);
void snapshot_read_unlock(void);
const snapshot_config *snapshot_get_config(snapshot *v);
const snapshot_fleet *snapshot_get_fleet(snapshot *v);
int snapshot_set_config(snapshot *v, uint64_t version, catalog *landscape);
int snapshot_set_fleet(snapshot *v, const swim_list *members);

#endif
