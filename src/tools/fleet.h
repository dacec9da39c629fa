/*
 * fleet: the nodes that an operator's program asks, found through the
 * platform or through any one node.
 */
#ifndef LAV_TOOL_FLEET_H
#define LAV_TOOL_FLEET_H

#include <jansson.h>

#include "lav/swim.h"

typedef struct fleet_node {
    char name[SVC_NAME_SIZE];
    char url[NODECFG_URL_SIZE]; /* of the callers' side */
    char address[NODECFG_ADDRESS_SIZE];
    uint16_t control_port; /* 0: not known */
} fleet_node;

typedef struct fleet {
    size_t count;
    fleet_node nodes[SWIM_MEMBERS_MAX];
} fleet;

int fleet_discover(fleet *out, const char *platform, const char *node, err *e);
json_t *fleet_get_json(const fleet_node *node, const char *path);

#endif
