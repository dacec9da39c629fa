/*
 * control: server for requests of other nodes that are not calls:
 * cancellation, gossip, and the exchange of configuration objects.
 * A publisher hands over an accepted configuration through it as well.
 */
#ifndef LAV_NODE_CONTROL_H
#define LAV_NODE_CONTROL_H

#include "lav/dispatch.h"
#include "node.h"

typedef struct control_server control_server;

int control_new(control_server **out, node *n, err *e);
void control_free(control_server *c);
void control_send_cancel_result(control_server *c, int slot, uint64_t nonce,
                                enum dispatch_cancel result);

#endif
