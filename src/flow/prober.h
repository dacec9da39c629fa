/*
 * prober: nodes that could not be reached, or stand beside another instance
 * than is known.  They are asked in the background what they are, so that no
 * request is spent on finding out; one that stays lost has its entry taken
 * away, by one of the others.
 */
#ifndef LAV_PROBER_H
#define LAV_PROBER_H

#include "runtime.h"

#define PROBER_NODE_PATH "/lav/node"

typedef struct prober prober;

int prober_new(prober **out, runtime *n);
void prober_free(prober *r);
void prober_mark_unreachable(prober *r, int member);

#endif
