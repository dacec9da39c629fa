/*
 * router_state: the router.  One thread owns every call that this node has taken
 * from callers: it refuses, picks an instance, sends attempts, retries
 * within the budget, and answers with what is known to be true.
 */
#ifndef LAV_NODE_ROUTER_H
#define LAV_NODE_ROUTER_H

#include "pending.h"
#include "node.h"

typedef struct router_state router_state;

/* The answer to a call lies in its entry: let it be sent. */
typedef void (*router_answered_cb)(int handle, void *payload);

int router_new(router_state **out, node *n, pending_table *calls,
               router_answered_cb answered, void *payload, err *e);
void router_stop(router_state *r);
void router_free(router_state *r);
int router_submit(router_state *r, int handle);

#endif
