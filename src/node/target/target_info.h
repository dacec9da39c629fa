/*
 * target_info: announcement that a target sends to its node at its start and
 * periodically after that: address, slots and state.
 */
#ifndef LAV_NODE_TARGET_INFO_H
#define LAV_NODE_TARGET_INFO_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/err.h"
#include "node.h"

typedef struct target_info {
    char url[NODECFG_URL_SIZE];
    int slots; /* calls that it serves at a time */
    bool draining;
    bool cold;      /* just started: the limit is ramped up */
    uint64_t start; /* changes with each start of the target */
} target_info;

/* Parses an announcement: NUL-terminated, untrusted JSON text.  0, or
 * ERR_INVALID with the reason in `e`. */
int target_info_parse(target_info *out, const char *text, err *e);

#endif
