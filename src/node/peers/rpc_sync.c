#include "rpc_sync.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/req.h>
#include <stdio.h>
#include <stdlib.h>

#include "lav/counter.h"

#define RPC_SYNC_URL_SIZE (NODECFG_ADDRESS_SIZE + 16)

/* Open a REQ socket to a URL with the given send and receive timeout. nng's
 * own resending is off: a request is sent at most once. */
static int
rpc_sync_open(nng_socket *out, const char *url, int64_t timeout_ms)
{
    if (nng_req0_open(out) != 0) {
        return ERR_FULL;
    }
    nng_socket_set_ms(*out, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    nng_socket_set_ms(*out, NNG_OPT_SENDTIMEO, (nng_duration)timeout_ms);
    nng_socket_set_ms(*out, NNG_OPT_RECVTIMEO, (nng_duration)timeout_ms);
    nng_socket_set_size(*out, NNG_OPT_RECVMAXSZ, MSG_BYTES_MAX);
    if (nng_dial(*out, url, NULL, NNG_FLAG_NONBLOCK) != 0) {
        nng_close(*out);
        return ERR_UNAVAILABLE;
    }
    return 0;
}

/* Send a request and wait for the reply, at most `timeout_ms` for each of
 * sending and receiving. ERR_UNAVAILABLE if the node cannot be reached or
 * does not reply; msg_clear(out) after success. */
int
rpc_sync_request(msg *out, const char *address, uint16_t port,
                 const msg *request, int64_t timeout_ms, err *e)
{
    char url[RPC_SYNC_URL_SIZE];
    char *bytes = NULL;
    size_t length = 0;
    nng_socket socket;
    void *reply = NULL;
    size_t reply_length = 0;
    snprintf(url, sizeof(url), "tcp://%s:%u", address, port);
    if (msg_encode(&bytes, &length, request) < 0) {
        return ERR_SET(e, ERR_NO_MEMORY, "no memory for a request");
    }
    int result = rpc_sync_open(&socket, url, timeout_ms);
    if (result < 0) {
        free(bytes);
        return ERR_SET(e, result, "cannot connect to %s", url);
    }
    if (nng_send(socket, bytes, length, 0) != 0 ||
        nng_recv(socket, &reply, &reply_length, NNG_FLAG_ALLOC) != 0) {
        result = ERR_SET(e, ERR_UNAVAILABLE, "no reply from %s", url);
    }
    else {
        counter_add(COUNTER_GOSSIP_BYTES, length + reply_length);
        result = msg_decode(out, reply, reply_length, e);
        nng_free(reply, reply_length);
    }
    nng_close(socket);
    free(bytes);
    return result;
}
