/*
 * rpc_client: sends attempts to other nodes over nng's REQ protocol. nng's own
 * resending is off: an attempt is sent at most once. Its result is reported to
 * the router through a callback.
 */
#ifndef LAV_NODE_RPC_CLIENT_H
#define LAV_NODE_RPC_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/err.h"
#include "lav/msg.h"

#define RPC_CLIENT_PEERS_MAX 512

/* How long an attempt waits at most. */
typedef struct rpc_client_timeouts {
    int64_t connect_ms; /* for a connection */
    int64_t reply_ms;   /* for the reply, from when it was sent */
} rpc_client_timeouts;

enum rpc_client_result {
    RPC_CLIENT_REPLY,    /* `reply` is decoded and owned by the callback */
    RPC_CLIENT_NOT_SENT, /* the attempt never left this node */
    RPC_CLIENT_LOST      /* sent, but no valid reply arrived in time */
};

/* Called once for each attempt, in a thread of nng. */
typedef void (*rpc_client_cb)(uint64_t nonce, enum rpc_client_result result,
                              msg *reply, void *payload);

typedef struct rpc_client rpc_client;

int rpc_client_new(rpc_client **out, size_t attempts_max,
                   rpc_client_cb callback, void *payload, err *e);
void rpc_client_free(rpc_client *client);
int rpc_client_send(rpc_client *client, const char *address, uint16_t port,
                    const msg *m, uint64_t nonce,
                    const rpc_client_timeouts *timeouts);

#endif
