#include "ctl.h"

#include <stdlib.h>
#include <string.h>

#include "atr.h"
#include "cfs.h"
#include "gsp.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "srv.h"

#define CTL_SLOTS 128 /* questions at a time */

struct ctl {
    node *node;
    srv *server;
};

/* Answer to a cancel, from the admitter. */
void
ctl_cancelled(ctl *c, int slot, uint64_t nonce, enum dispatch_cancel result)
{
    msg answer = {.kind = MSG_CANCELLED};
    answer.cancelled.nonce = nonce;
    answer.cancelled.result = result;
    srv_answer(c->server, slot, &answer);
}

static void
ctl_cancel(ctl *c, int slot, uint64_t nonce)
{
    if (atr_cancel(c->node->admitter, nonce, slot) < 0) {
        counter_add_reason(REASON_RING_FULL);
        ctl_cancelled(c, slot, nonce, DISPATCH_CANCEL_UNCONFIRMED);
    }
}

static void
ctl_gossip(ctl *c, int slot, const msg_gossip *news)
{
    msg answer = {.kind = MSG_GOSSIP};
    gsp_take(c->node->gossip, news, &answer.gossip);
    srv_answer(c->server, slot, &answer);
}

static void
ctl_fetch(ctl *c, int slot, const char *key)
{
    msg answer = {.kind = MSG_OBJECT};
    memcpy(answer.object.key, key, sizeof(answer.object.key));
    cfs_lookup(&answer.object.body, &answer.object.version, c->node->configs,
               key);
    srv_answer(c->server, slot, &answer);
    msg_clear(&answer);
}

/* The publisher hands over a file, or the head, of an accepted configuration;
 * the answer's version says whether it was taken. */
static void
ctl_offered(ctl *c, int slot, const msg_object *object)
{
    err e = ERR_INIT;
    msg answer = {.kind = MSG_OBJECT};
    size_t prefix = strlen(MANIFEST_FILE_KEY_PREFIX);
    int result = 0;
    memcpy(answer.object.key, object->key, sizeof(answer.object.key));
    if (strcmp(object->key, MANIFEST_KEY) == 0) {
        result = cfs_accept(c->node->configs, object->version,
                            object->body.bytes, &e);
    }
    else if (strncmp(object->key, MANIFEST_FILE_KEY_PREFIX, prefix) == 0) {
        result = cfs_offer(c->node->configs, object->key + prefix,
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
    srv_answer(c->server, slot, &answer);
}

static void
ctl_asked(int slot, msg *question, void *payload)
{
    ctl *c = payload;
    msg refusal = {.kind = MSG_CANCELLED};
    refusal.cancelled.result = DISPATCH_CANCEL_UNCONFIRMED;
    switch (question->kind) {
    case MSG_CANCEL:
        ctl_cancel(c, slot, question->cancel.nonce);
        break;
    case MSG_GOSSIP:
        ctl_gossip(c, slot, &question->gossip);
        break;
    case MSG_FETCH:
        ctl_fetch(c, slot, question->fetch.key);
        break;
    case MSG_OBJECT:
        ctl_offered(c, slot, &question->object);
        break;
    default:
        counter_add_reason(REASON_BAD_MESSAGE);
        srv_answer(c->server, slot, &refusal);
        break;
    }
    msg_clear(question);
    free(question);
}

/* Listen at the control address. */
int
ctl_new(ctl **out, node *n, err *e)
{
    ctl *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "control");
    }
    c->node = n;
    n->control = c;
    int result = srv_new(&c->server, n->settings.address,
                         n->settings.control_port, CTL_SLOTS, ctl_asked, c, e);
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
ctl_free(ctl *c)
{
    if (c != NULL) {
        srv_free(c->server);
        free(c);
    }
}
