/*
 * sts: what a node tells operators of itself, as JSON.
 */
#ifndef LAV_NODE_STATUS_H
#define LAV_NODE_STATUS_H

#include "node.h"

char *node_status_format(node *n);
char *node_status_format_decisions(node *n, const char *request);
char *node_status_format_target(node *n);

#endif
