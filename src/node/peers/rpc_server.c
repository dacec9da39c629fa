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
    RPC_SERVER_ANSWERING
};

typedef struct rpc_server_slot {
    struct rpc_server *owner;
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

static void
rpc_server_receive(rpc_server_slot *slot)
{
    slot->state = RPC_SERVER_RECEIVING;
    nng_ctx_recv(slot->context, slot->aio);
}

/* A request that is not a message: answer with an empty cancel result. */
static void
rpc_server_reject(rpc_server_slot *slot)
{
    counter_add_reason(REASON_BAD_MESSAGE);
    msg answer = {.kind = MSG_CANCELLED};
    slot->state = RPC_SERVER_SERVING;
    rpc_server_reply(slot->owner, (int)(slot - slot->owner->slots), &answer);
}

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
    rpc_server *s = slot->owner;
    s->callback((int)(slot - s->slots), request, s->payload);
}

/* Called by nng when a receive or a send of a slot is over. */
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
    if (slot->state == RPC_SERVER_ANSWERING && result != 0) {
        nng_msg_free(nng_aio_get_msg(slot->aio));
    }
    rpc_server_receive(slot);
}

static int
rpc_server_listen(rpc_server *s, const char *address, int64_t port, err *e)
{
    char url[RPC_SERVER_URL_SIZE];
    nng_listener listener;
    snprintf(url, sizeof(url), "tcp://%s:%lld", address, (long long)port);
    int failed = nng_listener_create(&listener, s->socket, url);
    if (failed == 0) {
        nng_listener_set_bool(listener, NNG_OPT_TCP_NODELAY, true);
        failed = nng_listener_start(listener, 0);
    }
    if (failed != 0) {
        return ERR_SET(e, ERR_IO, "can't listen at %s: %s", url,
                       nng_strerror(failed));
    }
    return 0;
}

/* Listen at an address and serve up to `slots` requests at a time. */
int
rpc_server_new(rpc_server **out, const char *address, int64_t port,
               size_t slots, rpc_server_cb callback, void *payload, err *e)
{
    rpc_server *s = calloc(1, sizeof(*s));
    if (s == NULL || nng_rep0_open(&s->socket) != 0) {
        free(s);
        return ERR_SET(e, ERR_NO_MEMORY, "server");
    }
    s->callback = callback;
    s->payload = payload;
    s->slots = calloc(slots, sizeof(*s->slots));
    if (s->slots == NULL) {
        rpc_server_free(s);
        return ERR_SET(e, ERR_NO_MEMORY, "server");
    }
    nng_socket_set_size(s->socket, NNG_OPT_RECVMAXSZ, MSG_BYTES_MAX);
    for (; s->count < slots; s->count++) {
        rpc_server_slot *slot = &s->slots[s->count];
        slot->owner = s;
        if (nng_ctx_open(&slot->context, s->socket) != 0 ||
            nng_aio_alloc(&slot->aio, rpc_server_on_complete, slot) != 0) {
            rpc_server_free(s);
            return ERR_SET(e, ERR_NO_MEMORY, "server");
        }
    }
    int result = rpc_server_listen(s, address, port, e);
    if (result < 0) {
        rpc_server_free(s);
        return result;
    }
    for (size_t i = 0; i < s->count; i++) {
        rpc_server_receive(&s->slots[i]);
    }
    *out = s;
    return 0;
}

/* Close the server; requests in service get no answer.  Takes NULL. */
void
rpc_server_free(rpc_server *s)
{
    if (s == NULL) {
        return;
    }
    nng_close(s->socket);
    for (size_t i = 0; s->slots != NULL && i < s->count; i++) {
        nng_aio_stop(s->slots[i].aio);
        nng_aio_free(s->slots[i].aio);
    }
    free(s->slots);
    free(s);
}

/* Answer the request in a slot; the slot then takes the next request. */
void
rpc_server_reply(rpc_server *s, int index, const msg *answer)
{
    rpc_server_slot *slot = &s->slots[index];
    char *bytes = NULL;
    size_t length = 0;
    nng_msg *raw = NULL;
    if (msg_encode(&bytes, &length, answer) == 0 &&
        nng_msg_alloc(&raw, 0) == 0) {
        nng_msg_append(raw, bytes, length);
    }
    free(bytes);
    if (raw == NULL) {
        rpc_server_receive(
            slot); /* no memory: the caller's node sees a timeout */
        return;
    }
    slot->state = RPC_SERVER_ANSWERING;
    nng_aio_set_msg(slot->aio, raw);
    nng_ctx_send(slot->context, slot->aio);
}
