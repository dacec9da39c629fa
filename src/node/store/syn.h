/*
 * syn: this node's dealings with the platform, in two threads: one waits
 * for newer configuration, the other keeps this node's own object and the
 * map of owners of its service.
 */
#ifndef LAV_NODE_SYN_H
#define LAV_NODE_SYN_H

#include "node.h"

#define SYN_MEMBER_PREFIX "members/"
#define SYN_OWNERS_PREFIX "owners/"

typedef struct syn syn;

int syn_new(syn **out, node *n, err *e);
void syn_stop(syn *s);
void syn_free(syn *s);

#endif
