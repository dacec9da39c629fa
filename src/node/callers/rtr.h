/*
 * rtr: the router.  One thread owns every call that this node has taken
 * from callers: it refuses, picks an instance, sends attempts, retries
 * within the budget, and answers with what is known to be true.
 */
#ifndef LAV_NODE_RTR_H
#define LAV_NODE_RTR_H

#include "cal.h"
#include "node.h"

typedef struct rtr rtr;

/* The answer to a call lies in its entry: let it be sent. */
typedef void (*rtr_answered_cb)(int handle, void *payload);

int rtr_new(rtr **out, node *n, cal *calls, rtr_answered_cb answered,
            void *payload, err *e);
void rtr_stop(rtr *r);
void rtr_free(rtr *r);
int rtr_submit(rtr *r, int handle);

#endif
