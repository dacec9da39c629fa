/*
 * target_info: what a target announces of itself to its node, at its start and
 * regularly after that.
 */
#ifndef LAV_NODE_TARGET_INFO_H
#define LAV_NODE_TARGET_INFO_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/err.h"
#include "node.h"

typedef struct target_info {
    char url[NODECFG_URL_SIZE];
    int slots;
    bool draining;
    bool cold;
    uint64_t start; /* changes with each start of the target */
} target_info;

/* Reads an announcement, NUL-terminated text of a caller that may be wrong in
 * every way.  0, or ERR_INVALID with the reason in `e`. */
int target_info_parse(target_info *out, const char *text, err *e);

#endif
