#include "control.h"

#include <stdlib.h>
#include <string.h>

#include "admitter.h"
#include "config_store.h"
#include "gossip.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "rpc_server.h"

#define CONTROL_SLOTS 128 /* questions at a time */

struct control_server {
    node *node;
    rpc_server *server;
};

/* Answer to a cancel, from the admitter. */
void
control_send_cancel_result(control_server *c, int slot, uint64_t nonce,
                           enum dispatch_cancel result)
{
    msg answer = {.kind = MSG_CANCELLED};
    answer.cancelled.nonce = nonce;
    answer.cancelled.result = result;
    rpc_server_reply(c->server, slot, &answer);
}

static void
control_cancel(control_server *c, int slot, uint64_t nonce)
{
    if (admitter_submit_cancel(c->node->admitter, nonce, slot) < 0) {
        counter_add_reason(REASON_RING_FULL);
        control_send_cancel_result(c, slot, nonce,
                                   DISPATCH_CANCEL_UNCONFIRMED);
    }
}

static void
control_gossip(control_server *c, int slot, const msg_gossip *news)
{
    msg answer = {.kind = MSG_GOSSIP};
    gossip_handle_exchange(c->node->gossip, news, &answer.gossip);
    rpc_server_reply(c->server, slot, &answer);
}

static void
control_fetch(control_server *c, int slot, const char *key)
{
    msg answer = {.kind = MSG_OBJECT};
    memcpy(answer.object.key, key, sizeof(answer.object.key));
    config_store_lookup(&answer.object.body, &answer.object.version,
                        c->node->configs, key);
    rpc_server_reply(c->server, slot, &answer);
    msg_clear(&answer);
}

/* The publisher hands over a file, or the head, of an accepted configuration;
 * the answer's version says whether it was taken. */
static void
control_offered(control_server *c, int slot, const msg_object *object)
{
    err e = ERR_INIT;
    msg answer = {.kind = MSG_OBJECT};
    size_t prefix = strlen(MANIFEST_FILE_KEY_PREFIX);
    int result = 0;
    memcpy(answer.object.key, object->key, sizeof(answer.object.key));
    if (strcmp(object->key, MANIFEST_KEY) == 0) {
        result = config_store_accept_head(c->node->configs, object->version,
                                          object->body.bytes, &e);
    }
    else if (strncmp(object->key, MANIFEST_FILE_KEY_PREFIX, prefix) == 0) {
        result = config_store_add_file(c->node->configs, object->key + prefix,
                                       object->body.bytes, &e);
    }
    else {
        result = ERR_SET(&e, ERR_INVALID, "no key of a configuration");
    }
    if (result < 0) {
        counter_add_reason(REASON_BAD_MESSAGE);
        log_write(LOG_WARN, NULL, "configuration from a publisher: %s",
                  e.message);
    }
    answer.object.version = result < 0 ? 0 : object->version;
    rpc_server_reply(c->server, slot, &answer);
}

static void
control_asked(int slot, msg *question, void *payload)
{
    control_server *c = payload;
    msg refusal = {.kind = MSG_CANCELLED};
    refusal.cancelled.result = DISPATCH_CANCEL_UNCONFIRMED;
    switch (question->kind) {
    case MSG_CANCEL:
        control_cancel(c, slot, question->cancel.nonce);
        break;
    case MSG_GOSSIP:
        control_gossip(c, slot, &question->gossip);
        break;
    case MSG_FETCH:
        control_fetch(c, slot, question->fetch.key);
        break;
    case MSG_OBJECT:
        control_offered(c, slot, &question->object);
        break;
    default:
        counter_add_reason(REASON_BAD_MESSAGE);
        rpc_server_reply(c->server, slot, &refusal);
        break;
    }
    msg_clear(question);
    free(question);
}

/* Listen at the control address. */
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
                                n->settings.control_port, CONTROL_SLOTS,
                                control_asked, c, e);
    if (result < 0) {
        n->control = NULL;
        free(c);
        return result;
    }
    *out = c;
    return 0;
}

/* Stop listening; takes NULL. */
void
control_free(control_server *c)
{
    if (c != NULL) {
        rpc_server_free(c->server);
        free(c);
    }
}
