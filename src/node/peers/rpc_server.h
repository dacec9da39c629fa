/*
 * rpc_server: server for nng's REP protocol with a bounded number of
 * concurrent requests. Each request is decoded and passed on with its slot;
 * the reply is sent through the slot, later and from any thread.
 */
#ifndef LAV_NODE_RPC_SERVER_H
#define LAV_NODE_RPC_SERVER_H

#include <stddef.h>
#include <stdint.h>

#include "lav/err.h"
#include "lav/msg.h"

/* Takes ownership of the request. Exactly one rpc_server_reply() for the slot
 * must follow. */
typedef void (*rpc_server_cb)(int slot, msg *request, void *payload);

typedef struct rpc_server rpc_server;

int rpc_server_new(rpc_server **out, const char *address, int64_t port,
                   size_t slots, rpc_server_cb callback, void *payload,
                   err *e);
void rpc_server_free(rpc_server *server);
void rpc_server_reply(rpc_server *server, int slot, const msg *reply);

#endif
