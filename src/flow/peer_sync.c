#include "peer_sync.h"

#include <jansson.h>
#include <stdlib.h>

#include "http_async.h"
#include "lav/clock.h"
#include "lav/err.h"
#include "lav/log.h"
#include "record_json.h"

#define PEER_SYNC_TIMEOUT_US 1000000 /* 1 s; then the next answer asks again */

#define PEER_SYNC_QUIET_US                                                    \
    CLOCK_US_PER_S /* without a word: half of what a change may take at least */
#define PEER_SYNC_PERIOD_S 1.0  /* s between two questions */
#define PEER_SYNC_ASK_US 500000 /* 0.5 s for a version */

struct peer_sync {
    runtime *n;
    ev_timer timer;
    struct sockaddr_in asked; /* the node asked last */
};

static void
peer_sync_take_members(runtime *n, const json_t *members)
{
    size_t index = 0;
    json_t *member = NULL;
    json_array_foreach(members, index, member)
    {
        err e = ERR_INIT;
        instance_record record;
        if (record_json_decode(&record, member, &e) < 0) {
            log_write(LOG_WARN, NULL, "peer's news not taken: %s", e.message);
            continue;
        }
        runtime_merge_member(n, &record, "a peer");
    }
}

static void
peer_sync_on_state(const http_async_response *answer, void *payload)
{
    runtime *n = payload;
    n->state_fetch_pending = false;
    if (answer->result != HTTP_ASYNC_COMPLETE || answer->status != 200) {
        log_write(LOG_WARN, NULL, "no state from a peer: status %d",
                  answer->status);
        return;
    }
    json_t *state = json_loadb(answer->body, answer->length, 0, NULL);
    json_t *desired = json_object_get(state, "desired");
    if (json_is_string(desired)) {
        runtime_apply_config(n, json_string_value(desired),
                             json_string_length(desired), "a peer");
    }
    peer_sync_take_members(n, json_object_get(state, "members"));
    json_decref(state);
}

/* Ask a node for its desired state and fleet; one question at a time. */
void
peer_sync_fetch_state(runtime *n, const struct sockaddr_in *from)
{
    if (n->state_fetch_pending) {
        return;
    }
    http_async_options opts = {.method = "GET",
                               .path = PEER_SYNC_STATE_PATH,
                               .timeout_us = PEER_SYNC_TIMEOUT_US};
    n->state_fetch_pending = http_async_start(NULL, n->pool, n->l, from, &opts,
                                              peer_sync_on_state, n) == 0;
}

/* What this node answers to such a question: a JSON text, to be freed. */
char *
peer_sync_state_json(const runtime *n)
{
    json_t *members = json_array();
    for (int i = 0; i < instance_count(n->fleet); i++) {
        const instance_record *record = instance_get(n->fleet, i);
        if (record != NULL) {
            json_array_append_new(members, record_json_encode(record));
        }
    }
    json_t *state = json_pack("{s:o}", "members", members);
    if (n->config_text != NULL) {
        json_object_set_new(state, "desired",
                            json_stringn(n->config_text, n->config_length));
    }
    char *text = json_dumps(state, JSON_COMPACT);
    json_decref(state);
    return text;
}

/* The version in force here, as an answer: a JSON text, to be freed. */
char *
peer_sync_version_json(const runtime *n)
{
    json_t *version =
        json_pack("{s:I}", "version", (json_int_t)runtime_config_version(n));
    char *text = json_dumps(version, JSON_COMPACT);
    json_decref(version);
    return text;
}

static void
peer_sync_on_version(const http_async_response *answer, void *payload)
{
    peer_sync *s = payload;
    if (answer->result != HTTP_ASYNC_COMPLETE || answer->status != 200) {
        return; /* another node is asked next */
    }
    json_t *root = json_loadb(answer->body, answer->length, 0, NULL);
    json_int_t version = json_integer_value(json_object_get(root, "version"));
    if (version > 0 && (uint64_t)version > runtime_config_version(s->n)) {
        peer_sync_fetch_state(s->n, &s->asked);
    }
    json_decref(root);
}

static void
peer_sync_on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    peer_sync *s = watcher->data;
    runtime *n = s->n;
    evloop_update_now(n->l);
    if (n->l->now_us - n->heard_us < PEER_SYNC_QUIET_US) {
        return;
    }
    const instance_record *other = instance_get(
        n->fleet, instance_pick_other_node(n->fleet, n->self.node));
    if (other == NULL) {
        return;
    }
    s->asked = record_json_address(other);
    http_async_options opts = {.method = "GET",
                               .path = PEER_SYNC_VERSION_PATH,
                               .timeout_us = PEER_SYNC_ASK_US};
    if (http_async_start(NULL, n->pool, n->l, &s->asked, &opts,
                         peer_sync_on_version, s) < 0) {
        log_write(LOG_WARN, NULL, "%s can't be asked for its version",
                  other->node);
    }
}

/* Begin to listen for newer versions. */
int
peer_sync_new(peer_sync **out, runtime *n)
{
    peer_sync *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        return ERR_NO_MEMORY;
    }
    s->n = n;
    ev_timer_init(&s->timer, peer_sync_on_timer, PEER_SYNC_PERIOD_S,
                  PEER_SYNC_PERIOD_S);
    s->timer.data = s;
    ev_timer_start(n->l->loop, &s->timer);
    *out = s;
    return 0;
}

/* Stop; takes NULL. */
void
peer_sync_free(peer_sync *s)
{
    if (s != NULL) {
        ev_timer_stop(s->n->l->loop, &s->timer);
        free(s);
    }
}
