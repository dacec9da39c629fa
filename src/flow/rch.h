/*
 * rch: nodes that could not be reached, or stand beside another instance
 * than is known.  They are asked in the background what they are, so that no
 * request is spent on finding out; one that stays lost has its entry taken
 * away, by one of the others.
 */
#ifndef LAV_RCH_H
#define LAV_RCH_H

#include "nod.h"

#define RCH_NODE_PATH "/lav/node"

typedef struct rch rch;

int rch_new(rch **out, nod *n);
void rch_free(rch *r);
void rch_lost(rch *r, int member);

#endif
