/*
 * gossip: membership by the SWIM protocol. One thread probes the members in
 * turn and exchanges membership updates with them; it also fetches a newer
 * configuration from a peer that has one.
 */
#ifndef LAV_NODE_GOSSIP_H
#define LAV_NODE_GOSSIP_H

#include "lav/swim.h"
#include "lav/msg.h"
#include "node.h"

typedef struct gossip_agent gossip_agent;

int gossip_new(gossip_agent **out, node *n, err *e);
int gossip_start(gossip_agent *g, err *e);
void gossip_stop(gossip_agent *g);
void gossip_free(gossip_agent *g);
void gossip_handle_exchange(gossip_agent *g, const msg_gossip *message,
                            msg_gossip *out_reply);
void gossip_add_member(gossip_agent *g, const swim_member *entry);
void gossip_get_self(swim_member *out, gossip_agent *g);
int64_t gossip_service_unchanged_us(gossip_agent *g, int64_t now_us);

#endif
