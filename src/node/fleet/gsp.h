/*
 * gsp: gossip.  One thread probes the members in turn, tells and hears the
 * news, and gets a newer configuration from the peer that has it.
 */
#ifndef LAV_NODE_GSP_H
#define LAV_NODE_GSP_H

#include "lav/swim.h"
#include "lav/msg.h"
#include "node.h"

typedef struct gsp gsp;

int gsp_new(gsp **out, node *n, err *e);
int gsp_start(gsp *g, err *e);
void gsp_stop(gsp *g);
void gsp_free(gsp *g);
void gsp_take(gsp *g, const msg_gossip *news, msg_gossip *out_answer);
void gsp_meet(gsp *g, const swim_member *entry);
void gsp_self(swim_member *out, gsp *g);
int64_t gsp_quiet_us(gsp *g, int64_t now_us);

#endif
