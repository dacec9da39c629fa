#include "rpc_client.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/req.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/nodecfg.h"

#define RPC_CLIENT_URL_SIZE (NODECFG_ADDRESS_SIZE + 16)
#define RPC_CLIENT_RECONNECT_MIN_MS 20
#define RPC_CLIENT_RECONNECT_MAX_MS 500

typedef struct rpc_client_peer {
    char url[RPC_CLIENT_URL_SIZE]; /* empty: the entry is unused */
    nng_socket socket;
    int attempts;         /* in progress */
    int64_t last_used_us; /* when an attempt was last sent */
} rpc_client_peer;

typedef struct rpc_client_attempt {
    struct rpc_client *client;
    bool used;
    bool sent;
    uint64_t nonce;
    int peer; /* index into peers */
    int64_t timeout_ms;
    nng_ctx context;
    nng_aio *aio;
} rpc_client_attempt;

struct rpc_client {
    pthread_mutex_t lock;
    rpc_client_cb callback;
    void *payload;
    rpc_client_peer peers[RPC_CLIENT_PEERS_MAX];
    size_t attempt_count;
    rpc_client_attempt *attempts;
    size_t free_count;
    int *free_list; /* indexes of unused attempts */
};

static void rpc_client_on_complete(void *payload);

/* Create a client for at most `attempts_max` attempts at a time. */
int
rpc_client_new(rpc_client **out, size_t attempts_max, rpc_client_cb callback,
               void *payload, err *e)
{
    rpc_client *client = calloc(1, sizeof(*client));
    if (client == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "no memory for the RPC client");
    }
    pthread_mutex_init(&client->lock, NULL);
    client->callback = callback;
    client->payload = payload;
    client->attempts = calloc(attempts_max, sizeof(*client->attempts));
    client->free_list = calloc(attempts_max, sizeof(*client->free_list));
    if (client->attempts == NULL || client->free_list == NULL) {
        rpc_client_free(client);
        return ERR_SET(e, ERR_NO_MEMORY, "no memory for the RPC client");
    }
    client->attempt_count = attempts_max;
    for (size_t i = 0; i < attempts_max; i++) {
        client->attempts[i].client = client;
        client->free_list[client->free_count++] = (int)(attempts_max - 1 - i);
    }
    *out = client;
    return 0;
}

/* Close all connections and free the client; NULL is allowed. */
void
rpc_client_free(rpc_client *client)
{
    if (client == NULL) {
        return;
    }
    for (size_t i = 0; i < RPC_CLIENT_PEERS_MAX; i++) {
        if (client->peers[i].url[0] != '\0') {
            nng_close(client->peers[i].socket);
        }
    }
    for (size_t i = 0; i < client->attempt_count; i++) {
        if (client->attempts[i].aio != NULL) {
            nng_aio_stop(client->attempts[i].aio);
            nng_aio_free(client->attempts[i].aio);
        }
    }
    free(client->attempts);
    free(client->free_list);
    pthread_mutex_destroy(&client->lock);
    free(client);
}

/* Open a socket to a peer; it connects in the background and reconnects. */
static int
rpc_client_open(rpc_client_peer *peer, const char *url)
{
    nng_dialer dialer;
    if (nng_req0_open(&peer->socket) != 0) {
        return ERR_FULL;
    }
    nng_socket_set_ms(peer->socket, NNG_OPT_REQ_RESENDTIME,
                      NNG_DURATION_INFINITE);
    nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMINT,
                      RPC_CLIENT_RECONNECT_MIN_MS);
    nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMAXT,
                      RPC_CLIENT_RECONNECT_MAX_MS);
    nng_socket_set_size(peer->socket, NNG_OPT_RECVMAXSZ, MSG_BYTES_MAX);
    if (nng_dialer_create(&dialer, peer->socket, url) != 0 ||
        nng_dialer_set_bool(dialer, NNG_OPT_TCP_NODELAY, true) != 0 ||
        nng_dialer_start(dialer, NNG_FLAG_NONBLOCK) != 0) {
        nng_close(peer->socket);
        return ERR_INVALID;
    }
    snprintf(peer->url, sizeof(peer->url), "%s", url);
    peer->attempts = 0;
    return 0;
}

/* Return an entry for a new peer: a free one, else the least recently used
 * one without attempts; NULL if there is none. */
static rpc_client_peer *
rpc_client_evict_peer(rpc_client *client)
{
    rpc_client_peer *oldest = NULL;
    for (size_t i = 0; i < RPC_CLIENT_PEERS_MAX; i++) {
        rpc_client_peer *peer = &client->peers[i];
        if (peer->url[0] == '\0') {
            return peer;
        }
        if (peer->attempts == 0 &&
            (oldest == NULL || peer->last_used_us < oldest->last_used_us)) {
            oldest = peer;
        }
    }
    if (oldest != NULL) {
        nng_close(oldest->socket);
        oldest->url[0] = '\0';
    }
    return oldest;
}

/* Index of the peer at an address, which is opened on first use; ERR_FULL if
 * there is no room or it cannot be opened. */
static int
rpc_client_find_peer(rpc_client *client, const char *address, uint16_t port)
{
    char url[RPC_CLIENT_URL_SIZE];
    snprintf(url, sizeof(url), "tcp://%s:%u", address, port);
    for (size_t i = 0; i < RPC_CLIENT_PEERS_MAX; i++) {
        if (strcmp(client->peers[i].url, url) == 0) {
            return (int)i;
        }
    }
    rpc_client_peer *peer = rpc_client_evict_peer(client);
    if (peer == NULL || rpc_client_open(peer, url) < 0) {
        return ERR_FULL;
    }
    return (int)(peer - client->peers);
}

/* Take a free attempt for a peer, or NULL. The lock is held. */
static rpc_client_attempt *
rpc_client_acquire(rpc_client *client, int peer)
{
    if (client->free_count == 0) {
        return NULL;
    }
    rpc_client_attempt *attempt =
        &client->attempts[client->free_list[client->free_count - 1]];
    if (attempt->aio == NULL &&
        nng_aio_alloc(&attempt->aio, rpc_client_on_complete, attempt) != 0) {
        return NULL;
    }
    if (nng_ctx_open(&attempt->context, client->peers[peer].socket) != 0) {
        return NULL;
    }
    client->free_count--;
    attempt->used = true;
    attempt->sent = false;
    attempt->peer = peer;
    client->peers[peer].attempts++;
    client->peers[peer].last_used_us = clock_now_us();
    return attempt;
}

/* Return an attempt to the free list. */
static void
rpc_client_release(rpc_client *client, rpc_client_attempt *attempt)
{
    nng_ctx_close(attempt->context);
    pthread_mutex_lock(&client->lock);
    attempt->used = false;
    client->peers[attempt->peer].attempts--;
    client->free_list[client->free_count++] =
        (int)(attempt - client->attempts);
    pthread_mutex_unlock(&client->lock);
}

/* Release an attempt and report its result. */
static void
rpc_client_finish(rpc_client_attempt *attempt, enum rpc_client_result result,
                  msg *reply)
{
    rpc_client *client = attempt->client;
    uint64_t nonce = attempt->nonce;
    rpc_client_release(client, attempt);
    client->callback(nonce, result, reply, client->payload);
}

/* Decode the reply to an attempt; an invalid one counts as lost. */
static void
rpc_client_on_receive(rpc_client_attempt *attempt)
{
    nng_msg *raw = nng_aio_get_msg(attempt->aio);
    msg *reply = calloc(1, sizeof(*reply));
    enum rpc_client_result result = RPC_CLIENT_REPLY;
    if (reply == NULL ||
        msg_decode(reply, nng_msg_body(raw), nng_msg_len(raw), NULL) < 0) {
        counter_add_reason(REASON_BAD_MESSAGE);
        free(reply);
        reply = NULL;
        result = RPC_CLIENT_LOST;
    }
    nng_msg_free(raw);
    rpc_client_finish(attempt, result, reply);
}

/* Called by nng when the send or the receive of an attempt has completed.
 * After a send, the timeout of the attempt starts to run for its reply. */
static void
rpc_client_on_complete(void *payload)
{
    rpc_client_attempt *attempt = payload;
    bool failed = nng_aio_result(attempt->aio) != 0;
    if (!attempt->sent && failed) {
        nng_msg_free(nng_aio_get_msg(attempt->aio));
        rpc_client_finish(attempt, RPC_CLIENT_NOT_SENT, NULL);
    }
    else if (!attempt->sent) {
        attempt->sent = true;
        nng_aio_set_timeout(attempt->aio, (nng_duration)attempt->timeout_ms);
        nng_ctx_recv(attempt->context, attempt->aio);
    }
    else if (failed) {
        rpc_client_finish(attempt, RPC_CLIENT_LOST, NULL);
    }
    else {
        rpc_client_on_receive(attempt);
    }
}

/* Encode a message for nng; NULL without memory. */
static nng_msg *
rpc_client_encode(const msg *m)
{
    char *bytes = NULL;
    size_t length = 0;
    nng_msg *raw = NULL;
    if (msg_encode(&bytes, &length, m) < 0) {
        return NULL;
    }
    if (nng_msg_alloc(&raw, 0) == 0 &&
        nng_msg_append(raw, bytes, length) != 0) {
        nng_msg_free(raw);
        raw = NULL;
    }
    free(bytes);
    return raw;
}

/* Send an attempt to the node at an address and wait for its reply. If the
 * result is negative, nothing was sent and the callback is not called. */
int
rpc_client_send(rpc_client *client, const char *address, uint16_t port,
                const msg *m, uint64_t nonce,
                const rpc_client_timeouts *timeouts)
{
    nng_msg *raw = rpc_client_encode(m);
    if (raw == NULL) {
        return ERR_NO_MEMORY;
    }
    pthread_mutex_lock(&client->lock);
    int peer = rpc_client_find_peer(client, address, port);
    rpc_client_attempt *attempt =
        peer < 0 ? NULL : rpc_client_acquire(client, peer);
    pthread_mutex_unlock(&client->lock);
    if (attempt == NULL) {
        nng_msg_free(raw);
        return ERR_FULL;
    }
    attempt->nonce = nonce;
    attempt->timeout_ms = timeouts->reply_ms;
    nng_aio_set_timeout(attempt->aio, (nng_duration)timeouts->connect_ms);
    nng_aio_set_msg(attempt->aio, raw);
    nng_ctx_send(attempt->context, attempt->aio);
    return 0;
}
