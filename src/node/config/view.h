/*
 * view: the two tables that many threads read and few replace, as RCU
 * snapshots: the configuration in force and the fleet.
 */
#ifndef LAV_NODE_VIEW_H
#define LAV_NODE_VIEW_H

#include <stddef.h>
#include <stdint.h>

#include "lav/catalog.h"
#include "lav/swim.h"

typedef struct view_config {
    uint64_t version;   /* of the configuration; 0: none yet */
    catalog *landscape; /* NULL where the version is 0 */
} view_config;

typedef struct view_fleet {
    size_t count;
    swim_member entries[]; /* the first is this node */
} view_fleet;

typedef struct view view;

int view_new(view **out);
void view_free(view *v);

void view_read_begin(void);
void view_read_end(void);
const view_config *view_config_get(view *v);
const view_fleet *view_fleet_get(view *v);
int view_config_set(view *v, uint64_t version, catalog *landscape);
int view_fleet_set(view *v, const swim_list *members);

#endif
