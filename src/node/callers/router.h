/*
 * router: routes the calls received by this node to instances of the called
 * service. One thread at a time handles all calls: it rejects a call, or
 * chooses an instance, sends attempts, retries within the retry budget, and
 * stores a response whose outcome (done, not run, unknown) follows from the
 * attempts made.
 */
#ifndef LAV_NODE_ROUTER_H
#define LAV_NODE_ROUTER_H

#include "pending.h"
#include "node.h"

typedef struct router_state router_state;

/* Called once the response of a call is stored in its pending_call. */
typedef void (*router_response_cb)(int handle, void *payload);

int router_new(router_state **out, node *n, pending_table *calls,
               router_response_cb on_response, void *payload, err *e);
void router_stop(router_state *r);
void router_free(router_state *r);
int router_submit(router_state *r, int handle);

#endif
