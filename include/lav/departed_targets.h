/*
 * departed_targets: the targets that have said that they leave, by name.  A target may
 * say so before its node knows it, as the node has only just started; what
 * is learned of it afterwards, from the store or from a late registration,
 * must not bring it back.
 *
 * Promise: a target that is leaving receives no new work.
 */
#ifndef LAV_DEPARTED_TARGETS_H
#define LAV_DEPARTED_TARGETS_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/instance.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DEPARTED_TARGETS_MAX                                                  \
    16 /* targets at one address, one after the other */

typedef struct departed_targets_entry {
    char instance[INSTANCE_NAME_SIZE];
    int64_t wall_ms; /* Unix time of its start or, not known, of its saying */
} departed_targets_entry;

typedef struct departed_targets {
    departed_targets_entry entries[DEPARTED_TARGETS_MAX];
    unsigned count; /* ever noted; the oldest entry is overwritten */
} departed_targets;

void departed_targets_add(departed_targets *d, const char *instance,
                          int64_t wall_ms);
bool departed_targets_contains(const departed_targets *d, const char *instance,
                               int64_t born_ms);

#ifdef __cplusplus
}
#endif

#endif
