/*
 * sts: what a node tells operators of itself, as JSON.
 */
#ifndef LAV_NODE_STS_H
#define LAV_NODE_STS_H

#include "node.h"

char *sts_status(node *n);
char *sts_explain(node *n, const char *request);
char *sts_target(node *n);

#endif
