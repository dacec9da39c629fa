/*
 * fleet: discovers the nodes of a deployment for the command-line tools,
 * either from the member list in the platform's store or from the member
 * list of one node, and queries them over HTTP.
 */
#ifndef LAV_TOOL_FLEET_H
#define LAV_TOOL_FLEET_H

#include <jansson.h>

#include "lav/swim.h"

typedef struct fleet_node {
    char name[SVC_NAME_SIZE];
    char url[NODECFG_URL_SIZE]; /* base URL of the caller-facing listener */
    char address[NODECFG_ADDRESS_SIZE];
    uint16_t control_port; /* 0: unknown */
} fleet_node;

typedef struct fleet {
    size_t count;
    fleet_node nodes[SWIM_MEMBERS_MAX];
} fleet;

int fleet_discover(fleet *out, const char *platform, const char *node, err *e);
json_t *fleet_get_json(const fleet_node *node, const char *path);

#endif
