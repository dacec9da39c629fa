/*
 * own: the map of owners of one service as text on the platform,
 * "owners/SERVICE":
 *
 *   {"horizon": MS, "epochs": [{"from": MS, "slots": [[SEED, HOLDER]]}]}
 */
#ifndef LAV_NODE_OWNER_MAP_JSON_H
#define LAV_NODE_OWNER_MAP_JSON_H

#include "lav/dedup.h"
#include "lav/err.h"

int owner_map_json_parse(dedup_owner_map *out, const char *text,
                         uint64_t version, err *e);
char *owner_map_json_format(const dedup_owner_map *map);

#endif
