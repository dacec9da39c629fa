/*
 * owner_map_json: JSON text of the owner map of a service, which is the object
 * "owners/SERVICE" on the platform:
 *
 *   {"horizon": MS, "epochs": [{"from": MS, "slots": [[SEED, OWNER]]}]}
 *
 * OWNER is the incarnation of the owning node.
 */
#ifndef LAV_NODE_OWNER_MAP_JSON_H
#define LAV_NODE_OWNER_MAP_JSON_H

#include "lav/dedup.h"
#include "lav/err.h"

int owner_map_json_parse(dedup_owner_map *out, const char *text,
                         uint64_t version, err *e);
char *owner_map_json_format(const dedup_owner_map *map);

#endif
