/*
 * rpc_client: attempts sent to the nodes of other targets, over nng's REQ with
 * its own resending switched off: an attempt is sent at most once, and what
 * became of it is told to the router.
 */
#ifndef LAV_NODE_RPC_CLIENT_H
#define LAV_NODE_RPC_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/err.h"
#include "lav/msg.h"

#define RPC_CLIENT_PEERS_MAX 512
#define RPC_CLIENT_CONNECT_TIMEOUT_MS                                         \
    60 /* an attempt waits so long for a connection */

enum rpc_client_result {
    RPC_CLIENT_REPLY, /* `reply` holds a decoded message, owned by the receiver */
    RPC_CLIENT_NOT_SENT, /* it never left this node */
    RPC_CLIENT_LOST      /* sent; the connection or the time ran out */
};

/* Told once for each attempt, from a thread of nng's. */
typedef void (*rpc_client_cb)(uint64_t nonce, enum rpc_client_result result,
                              msg *reply, void *payload);

typedef struct rpc_client rpc_client;

int rpc_client_new(rpc_client **out, size_t attempts_max,
                   rpc_client_cb callback, void *payload, err *e);
void rpc_client_free(rpc_client *p);
int rpc_client_send(rpc_client *p, const char *address, uint16_t port,
                    const msg *m, uint64_t nonce, int64_t wait_ms);

#endif
