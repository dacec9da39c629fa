/*
 * ctl: what other nodes ask of this one beside calls: cancels, gossip, and
 * objects of the platform that this node holds.
 */
#ifndef LAV_NODE_CTL_H
#define LAV_NODE_CTL_H

#include "lav/dispatch.h"
#include "node.h"

typedef struct ctl ctl;

int ctl_new(ctl **out, node *n, err *e);
void ctl_free(ctl *c);
void ctl_cancelled(ctl *c, int slot, uint64_t nonce,
                   enum dispatch_cancel result);

#endif
