/*
 * rpc_server: a server of nng's REP protocol with a bounded number of requests at
 * a time.  Each request is decoded and handed on with its slot; the answer
 * goes back through the slot, later and from any thread.
 */
#ifndef LAV_NODE_RPC_SERVER_H
#define LAV_NODE_RPC_SERVER_H

#include <stddef.h>
#include <stdint.h>

#include "lav/err.h"
#include "lav/msg.h"

/* Takes the message over; must lead to one rpc_server_reply() for the slot. */
typedef void (*rpc_server_cb)(int slot, msg *request, void *payload);

typedef struct rpc_server rpc_server;

int rpc_server_new(rpc_server **out, const char *address, int64_t port,
                   size_t slots, rpc_server_cb callback, void *payload,
                   err *e);
void rpc_server_free(rpc_server *s);
void rpc_server_reply(rpc_server *s, int slot, const msg *answer);

#endif
