/*
 * workspace_counts: how the requests of each workspace ended at this node.
 * Bounded: when all entries are in use, the workspace with the fewest refusals
 * gives its entry to a new one, whose counts then start at 0.
 *
 * Load pattern: thousands of workspaces, of which an operator looks for the
 * few that are refused.
 */
#ifndef LAV_WORKSPACE_COUNTS_H
#define LAV_WORKSPACE_COUNTS_H

#include <stddef.h>
#include <stdint.h>

#include "lav/reason.h"

#ifdef __cplusplus
extern "C" {
#endif

#define WORKSPACE_COUNTS_MAX 128 /* workspaces told apart */

/* How a request ended; refusals come after the first two. */
enum workspace_outcome {
    WORKSPACE_SERVED,    /* a target's response was relayed */
    WORKSPACE_FAILED,    /* any other end that is no refusal below */
    WORKSPACE_BY_KEY,    /* its key was withdrawn while it waited */
    WORKSPACE_BY_CAP,    /* its usage cap is used up */
    WORKSPACE_UNCHECKED, /* nobody could say whether it is */
    WORKSPACE_BY_SHARE,  /* of what overload leaves for its workspace */
    WORKSPACE_OUTCOMES
};

typedef struct workspace_counts_entry {
    uint32_t workspace;
    uint64_t counts[WORKSPACE_OUTCOMES];
} workspace_counts_entry;

typedef struct workspace_counts workspace_counts;

int workspace_counts_new(workspace_counts **out);
void workspace_counts_free(workspace_counts *counts);
void workspace_counts_add(workspace_counts *counts, uint32_t workspace,
                          enum workspace_outcome outcome);
size_t workspace_counts_most_refused(workspace_counts_entry *out, size_t max,
                                     const workspace_counts *counts);
uint64_t workspace_outcomes_refused(const uint64_t *counts);
const char *workspace_outcome_name(enum workspace_outcome outcome);
enum workspace_outcome workspace_outcome_of(enum reason reason);

#ifdef __cplusplus
}
#endif

#endif
