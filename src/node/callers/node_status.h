/*
 * node_status: status of a node as JSON, for operators' tools and for the
 * local target.
 */
#ifndef LAV_NODE_STATUS_H
#define LAV_NODE_STATUS_H

#include "node.h"

/* Each returns text to be released with free(), or NULL without memory. */
char *node_status_format(node *n);
char *node_status_format_decisions(node *n, const char *request);
char *node_status_format_target(node *n);

#endif
