#include "control.h"

#include <stdlib.h>
#include <string.h>

#include "admitter.h"
#include "config_store.h"
#include "gossip.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "rpc_server.h"

#define CONTROL_REQUESTS_MAX 128 /* at a time */

struct control_server {
    node *node;
    rpc_server *server;
};

/* Sends the outcome of a cancel request, reported by the admitter. */
void
control_send_cancel_result(control_server *c, int slot, uint64_t nonce,
                           enum dispatch_cancel result)
{
    msg reply = {.kind = MSG_CANCELLED};
    reply.cancelled.nonce = nonce;
    reply.cancelled.result = result;
    rpc_server_reply(c->server, slot, &reply);
}

/* Passes a cancel request to the admitter; if its ring is full, replies that
 * nothing can be confirmed. */
static void
control_handle_cancel(control_server *c, int slot, uint64_t nonce)
{
    if (admitter_submit_cancel(c->node->admitter, nonce, slot) < 0) {
        counter_add_reason(REASON_RING_FULL);
        control_send_cancel_result(c, slot, nonce,
                                   DISPATCH_CANCEL_UNCONFIRMED);
    }
}

/* Merges the members that a peer has sent and replies with own update. */
static void
control_handle_gossip(control_server *c, int slot, const msg_gossip *update)
{
    msg reply = {.kind = MSG_GOSSIP};
    gossip_handle_exchange(c->node->gossip, update, &reply.gossip);
    rpc_server_reply(c->server, slot, &reply);
}

/* Replies with a configuration object that this node holds. */
static void
control_handle_fetch(control_server *c, int slot, const char *key)
{
    msg reply = {.kind = MSG_OBJECT};
    memcpy(reply.object.key, key, sizeof(reply.object.key));
    config_store_lookup(&reply.object.body, &reply.object.version,
                        c->node->configs, key);
    rpc_server_reply(c->server, slot, &reply);
    msg_clear(&reply);
}

/* Takes a file or the head of an accepted configuration from a publisher.
 * The version in the reply is 0 if it was rejected. */
static void
control_handle_object(control_server *c, int slot, const msg_object *object)
{
    err e = ERR_INIT;
    msg reply = {.kind = MSG_OBJECT};
    size_t prefix = strlen(MANIFEST_FILE_KEY_PREFIX);
    int result = 0;
    memcpy(reply.object.key, object->key, sizeof(reply.object.key));
    if (strcmp(object->key, MANIFEST_KEY) == 0) {
        result = config_store_accept_head(c->node->configs, object->version,
                                          object->body.bytes, &e);
    }
    else if (strncmp(object->key, MANIFEST_FILE_KEY_PREFIX, prefix) == 0) {
        result = config_store_add_file(c->node->configs, object->key + prefix,
                                       object->body.bytes, &e);
    }
    else {
        result =
            ERR_SET(&e, ERR_INVALID, "not the key of a configuration object");
    }
    if (result < 0) {
        counter_add_reason(REASON_BAD_MESSAGE);
        log_write(LOG_WARN, NULL,
                  "rejected configuration from a publisher: %s", e.message);
    }
    reply.object.version = result < 0 ? 0 : object->version;
    rpc_server_reply(c->server, slot, &reply);
}

/* Handles a request in `slot` and takes ownership of it (an rpc_server_cb). */
static void
control_on_request(int slot, msg *request, void *payload)
{
    control_server *c = payload;
    msg rejection = {.kind = MSG_CANCELLED};
    rejection.cancelled.result = DISPATCH_CANCEL_UNCONFIRMED;
    switch (request->kind) {
    case MSG_CANCEL:
        control_handle_cancel(c, slot, request->cancel.nonce);
        break;
    case MSG_GOSSIP:
        control_handle_gossip(c, slot, &request->gossip);
        break;
    case MSG_FETCH:
        control_handle_fetch(c, slot, request->fetch.key);
        break;
    case MSG_OBJECT:
        control_handle_object(c, slot, &request->object);
        break;
    default:
        counter_add_reason(REASON_BAD_MESSAGE);
        rpc_server_reply(c->server, slot, &rejection);
        break;
    }
    msg_clear(request);
    free(request);
}

/* Listens at the control address.  0, or a negative code with the reason in
 * `e`. */
int
control_new(control_server **out, node *n, err *e)
{
    control_server *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "control");
    }
    c->node = n;
    n->control = c;
    int result = rpc_server_new(&c->server, n->settings.address,
                                n->settings.control_port, CONTROL_REQUESTS_MAX,
                                control_on_request, c, e);
    if (result < 0) {
        n->control = NULL;
        free(c);
        return result;
    }
    *out = c;
    return 0;
}

/* Closes the server; takes NULL. */
void
control_free(control_server *c)
{
    if (c != NULL) {
        rpc_server_free(c->server);
        free(c);
    }
}
