/*
 * prober: probes nodes that are unreachable, or whose target is another
 * instance than their record says, in the background, so that no request is
 * spent on finding out.  The entry of a node that stays unreachable is removed
 * by one of the remaining nodes.
 */
#ifndef LAV_PROBER_H
#define LAV_PROBER_H

#include "runtime.h"

#define PROBER_NODE_PATH "/lav/node"

typedef struct prober prober;

int prober_new(prober **out, runtime *n);
void prober_free(prober *p);
void prober_watch_leaving(prober *p);
void prober_mark_unreachable(prober *p, int member);
void prober_mark_replaced(prober *p, int member);

#endif
