#include "rpc_server.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <stdio.h>
#include <stdlib.h>

#include "lav/counter.h"
#include "lav/nodecfg.h"

#define RPC_SERVER_URL_SIZE (NODECFG_ADDRESS_SIZE + 16)

enum rpc_server_state {
    RPC_SERVER_RECEIVING,
    RPC_SERVER_SERVING,
    RPC_SERVER_REPLYING
};

typedef struct rpc_server_slot {
    struct rpc_server *server;
    enum rpc_server_state state;
    nng_ctx context;
    nng_aio *aio;
} rpc_server_slot;

struct rpc_server {
    nng_socket socket;
    rpc_server_cb callback;
    void *payload;
    size_t count;
    rpc_server_slot *slots;
};

/* Wait for the next request in a slot. */
static void
rpc_server_receive(rpc_server_slot *slot)
{
    slot->state = RPC_SERVER_RECEIVING;
    nng_ctx_recv(slot->context, slot->aio);
}

/* Reply to a request that cannot be decoded with an empty cancel result. */
static void
rpc_server_reject(rpc_server_slot *slot)
{
    counter_add_reason(REASON_BAD_MESSAGE);
    msg reply = {.kind = MSG_CANCELLED};
    slot->state = RPC_SERVER_SERVING;
    rpc_server_reply(slot->server, (int)(slot - slot->server->slots), &reply);
}

/* Decode a request and pass it to the callback. */
static void
rpc_server_on_receive(rpc_server_slot *slot)
{
    nng_msg *raw = nng_aio_get_msg(slot->aio);
    msg *request = calloc(1, sizeof(*request));
    int result = ERR_NO_MEMORY;
    if (request != NULL) {
        result =
            msg_decode(request, nng_msg_body(raw), nng_msg_len(raw), NULL);
    }
    nng_msg_free(raw);
    if (result < 0) {
        free(request);
        rpc_server_reject(slot);
        return;
    }
    slot->state = RPC_SERVER_SERVING;
    rpc_server *server = slot->server;
    server->callback((int)(slot - server->slots), request, server->payload);
}

/* Called by nng when a receive or a send of a slot has completed. */
static void
rpc_server_on_complete(void *payload)
{
    rpc_server_slot *slot = payload;
    int result = nng_aio_result(slot->aio);
    if (result == NNG_ECLOSED || result == NNG_ECANCELED) {
        return; /* the server is being closed */
    }
    if (slot->state == RPC_SERVER_RECEIVING && result == 0) {
        rpc_server_on_receive(slot);
        return;
    }
    if (slot->state == RPC_SERVER_REPLYING && result != 0) {
        nng_msg_free(nng_aio_get_msg(slot->aio));
    }
    rpc_server_receive(slot);
}

/* Start the listener. */
static int
rpc_server_listen(rpc_server *server, const char *address, int64_t port,
                  err *e)
{
    char url[RPC_SERVER_URL_SIZE];
    nng_listener listener;
    snprintf(url, sizeof(url), "tcp://%s:%lld", address, (long long)port);
    int status = nng_listener_create(&listener, server->socket, url);
    if (status == 0) {
        nng_listener_set_bool(listener, NNG_OPT_TCP_NODELAY, true);
        status = nng_listener_start(listener, 0);
    }
    if (status != 0) {
        return ERR_SET(e, ERR_IO, "cannot listen on %s: %s", url,
                       nng_strerror(status));
    }
    return 0;
}

/* Listen on an address and serve up to `slots` requests at a time. */
int
rpc_server_new(rpc_server **out, const char *address, int64_t port,
               size_t slots, rpc_server_cb callback, void *payload, err *e)
{
    rpc_server *server = calloc(1, sizeof(*server));
    if (server == NULL || nng_rep0_open(&server->socket) != 0) {
        free(server);
        return ERR_SET(e, ERR_NO_MEMORY, "no memory for the RPC server");
    }
    server->callback = callback;
    server->payload = payload;
    server->slots = calloc(slots, sizeof(*server->slots));
    if (server->slots == NULL) {
        rpc_server_free(server);
        return ERR_SET(e, ERR_NO_MEMORY, "no memory for the RPC server");
    }
    nng_socket_set_size(server->socket, NNG_OPT_RECVMAXSZ, MSG_BYTES_MAX);
    for (; server->count < slots; server->count++) {
        rpc_server_slot *slot = &server->slots[server->count];
        slot->server = server;
        if (nng_ctx_open(&slot->context, server->socket) != 0 ||
            nng_aio_alloc(&slot->aio, rpc_server_on_complete, slot) != 0) {
            rpc_server_free(server);
            return ERR_SET(e, ERR_NO_MEMORY, "no memory for the RPC server");
        }
    }
    int result = rpc_server_listen(server, address, port, e);
    if (result < 0) {
        rpc_server_free(server);
        return result;
    }
    for (size_t i = 0; i < server->count; i++) {
        rpc_server_receive(&server->slots[i]);
    }
    *out = server;
    return 0;
}

/* Close the server; requests in progress get no reply. NULL is allowed. */
void
rpc_server_free(rpc_server *server)
{
    if (server == NULL) {
        return;
    }
    nng_close(server->socket);
    for (size_t i = 0; server->slots != NULL && i < server->count; i++) {
        nng_aio_stop(server->slots[i].aio);
        nng_aio_free(server->slots[i].aio);
    }
    free(server->slots);
    free(server);
}

/* Reply to the request in a slot; the slot then waits for the next one. */
void
rpc_server_reply(rpc_server *server, int index, const msg *reply)
{
    rpc_server_slot *slot = &server->slots[index];
    char *bytes = NULL;
    size_t length = 0;
    nng_msg *raw = NULL;
    if (msg_encode(&bytes, &length, reply) == 0 &&
        nng_msg_alloc(&raw, 0) == 0) {
        nng_msg_append(raw, bytes, length);
    }
    free(bytes);
    if (raw == NULL) {
        /* No memory: send nothing, so the requesting node times out. */
        rpc_server_receive(slot);
        return;
    }
    slot->state = RPC_SERVER_REPLYING;
    nng_aio_set_msg(slot->aio, raw);
    nng_ctx_send(slot->context, slot->aio);
}
