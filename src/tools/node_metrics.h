/*
 * node_metrics: reads what nodes on the users' platform tell in their metrics
 * about the desired state in force and about workspaces, and adds the counts
 * of all nodes up.
 */
#ifndef LAV_TOOL_NODE_METRICS_H
#define LAV_TOOL_NODE_METRICS_H

#include <stddef.h>
#include <stdint.h>

#include "lav/workspace.h"
#include "lav/workspace_counts.h"

#define NODE_METRICS_SHOWN_MAX 20 /* workspaces */

/* What one node tells; -1: nothing. */
typedef struct node_metrics_node {
    int64_t version; /* of the desired state in force; 0: none */
    int64_t workspaces;
    int64_t keys;
    int64_t slots_lent; /* of the usage caps */
} node_metrics_node;

typedef struct node_metrics_workspace {
    char name[WORKSPACE_NAME_SIZE];
    uint64_t counts[WORKSPACE_OUTCOMES]; /* over all nodes */
} node_metrics_workspace;

typedef struct node_metrics node_metrics;

int node_metrics_new(node_metrics **out);
void node_metrics_free(node_metrics *metrics);
void node_metrics_read(node_metrics_node *out, node_metrics *metrics,
                       const char *text);
size_t node_metrics_most_refused(node_metrics_workspace *out, size_t max,
                                 const node_metrics *metrics);

#endif
