/*
 * departed_targets: the targets that announced their departure, by instance
 * name.  A target may announce it before its node knows the target, because
 * the node has only just started; what the node learns about the target
 * afterwards, from the store or from a late registration, must not bring it
 * back.
 *
 * Guarantee: a target that is leaving receives no new work.
 */
#ifndef LAV_DEPARTED_TARGETS_H
#define LAV_DEPARTED_TARGETS_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/instance.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Targets remembered; they follow each other at one address. */
#define DEPARTED_TARGETS_MAX 16

typedef struct departed_targets_entry {
    char instance[INSTANCE_NAME_SIZE];
    /* Unix time of the target's start or, if unknown, of its announcement. */
    int64_t started_by_ms;
} departed_targets_entry;

typedef struct departed_targets {
    departed_targets_entry entries[DEPARTED_TARGETS_MAX];
    unsigned count; /* ever added; the oldest entry is overwritten */
} departed_targets;

void departed_targets_add(departed_targets *departed, const char *instance,
                          int64_t started_by_ms);
bool departed_targets_contains(const departed_targets *departed,
                               const char *instance, int64_t born_ms);

#ifdef __cplusplus
}
#endif

#endif
