#include "peer_sync.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "http_async.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/err.h"
#include "lav/json_split.h"
#include "lav/log.h"
#include "record_json.h"

/* 1 s; the next response with a newer version triggers another fetch. */
#define PEER_SYNC_STATE_TIMEOUT_US 1000000

/* 1 s without contact to a peer before one is queried; half of the shortest
 * time within which a change has to propagate. */
#define PEER_SYNC_QUIET_US CLOCK_US_PER_S

#define PEER_SYNC_PERIOD_S 1.0 /* seconds between two version queries */
#define PEER_SYNC_VERSION_TIMEOUT_US 500000 /* 0.5 s */

struct peer_sync {
    runtime *n;
    ev_timer timer;
    struct sockaddr_in queried; /* address of the node queried last */
};

/* Merges the records in a peer's state into the fleet.  One that cannot be
 * read does not keep the others from being merged. */
static void
peer_sync_merge_members(runtime *n, const json_parts *members)
{
    for (size_t i = 0; i < json_parts_count(members); i++) {
        err e = ERR_INIT;
        instance_record record;
        json_part part = json_parts_get(members, i);
        json_t *member = json_part_decode(&part);
        if (record_json_decode(&record, member, &e) < 0) {
            counter_add_reason(REASON_BAD_MESSAGE);
            log_write(LOG_WARN, NULL, "record from a peer rejected: %s",
                      e.message);
        }
        else {
            if (strcmp(record.node, n->self.node) == 0 &&
                record.incarnation < n->self.incarnation) {
                member_view_note_earlier(&n->view);
            }
            runtime_merge_member(n, &record, "a peer");
        }
        json_decref(member);
    }
}

/* Applies the desired state and the fleet of a peer. */
static void
peer_sync_apply_state(runtime *n, const json_parts *state)
{
    json_parts *members = NULL;
    json_part part = json_parts_find(state, "desired");
    json_t *desired = json_part_decode(&part);
    if (json_is_string(desired)) {
        runtime_apply_config(n, json_string_value(desired),
                             json_string_length(desired), "a peer");
    }
    json_decref(desired);
    part = json_parts_find(state, "members");
    if (json_split(&members, part.text, part.length, NULL) == 0) {
        json_part complete = json_parts_find(state, "complete");
        peer_sync_merge_members(n, members);
        member_view_note_list(&n->view, n->l->now_us);
        if (json_part_is_true(&complete)) {
            member_view_note_complete(&n->view);
        }
    }
    json_parts_free(members);
}

/* Handles the response with the state of a peer. */
static void
peer_sync_on_state(const http_async_response *response, void *payload)
{
    runtime *n = payload;
    err e = ERR_INIT;
    json_parts *state = NULL;
    n->state_fetch_pending = false;
    if (response->result != HTTP_ASYNC_COMPLETE || response->status != 200) {
        log_write(LOG_WARN, NULL, "no state from a peer: status %d",
                  response->status);
        return;
    }
    if (json_split(&state, response->body, response->length, &e) < 0) {
        counter_add_reason(REASON_BAD_MESSAGE);
        log_write(LOG_WARN, NULL, "state of a peer rejected: %s", e.message);
        return;
    }
    peer_sync_apply_state(n, state);
    json_parts_free(state);
}

/* Fetches the desired state and the fleet from a node, unless a fetch is
 * already pending. */
void
peer_sync_fetch_state(runtime *n, const struct sockaddr_in *from)
{
    if (n->state_fetch_pending) {
        return;
    }
    http_async_options opts = {.method = "GET",
                               .path = PEER_SYNC_STATE_PATH,
                               .timeout_us = PEER_SYNC_STATE_TIMEOUT_US};
    n->state_fetch_pending = http_async_start(NULL, n->pool, n->l, from, &opts,
                                              peer_sync_on_state, n) == 0;
}

/* Encodes the desired state and the fleet, and whether its members are known to
 * be complete, as JSON text, which the caller frees. */
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
    json_t *state = json_pack("{s:o,s:b}", "members", members, "complete",
                              member_view_is_mutual(&n->view, n->l->now_us));
    if (n->config_text != NULL) {
        json_object_set_new(state, "desired",
                            json_stringn(n->config_text, n->config_length));
    }
    char *text = json_dumps(state, JSON_COMPACT);
    json_decref(state);
    return text;
}

/* Encodes the version in force as JSON text, which the caller frees; where few
 * nodes read the store also whether this node does. */
char *
peer_sync_version_json(const runtime *n)
{
    json_t *version =
        json_pack("{s:I}", "version", (json_int_t)runtime_config_version(n));
    if (n->news.shared && n->reads_store != NULL) {
        json_object_set_new(version, "reads",
                            json_boolean(n->reads_store(n->callback_payload)));
    }
    char *text = json_dumps(version, JSON_COMPACT);
    json_decref(version);
    return text;
}

/* Fetches the state from a peer whose version is newer. */
static void
peer_sync_on_version(const http_async_response *response, void *payload)
{
    peer_sync *s = payload;
    if (response->result != HTTP_ASYNC_COMPLETE || response->status != 200) {
        return; /* another node is queried next time */
    }
    json_t *root = json_loadb(response->body, response->length, 0, NULL);
    json_int_t version = json_integer_value(json_object_get(root, "version"));
    if (version > 0) {
        config_contact_hear_peer(&s->n->contact, (uint64_t)version,
                                 s->n->l->now_us);
    }
    if (version > 0 && (uint64_t)version > runtime_config_version(s->n)) {
        peer_sync_fetch_state(s->n, &s->queried);
    }
    json_decref(root);
}

/* Queries another node for its version if no peer was in contact recently. */
static void
peer_sync_on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    peer_sync *s = watcher->data;
    runtime *n = s->n;
    evloop_update_now(n->l);
    if (n->l->now_us - n->last_peer_contact_us < PEER_SYNC_QUIET_US) {
        return;
    }
    const instance_record *other = instance_get(
        n->fleet, instance_pick_other_node(n->fleet, n->self.node));
    if (other == NULL) {
        return;
    }
    s->queried = record_json_address(other);
    http_async_options opts = {.method = "GET",
                               .path = PEER_SYNC_VERSION_PATH,
                               .timeout_us = PEER_SYNC_VERSION_TIMEOUT_US};
    if (http_async_start(NULL, n->pool, n->l, &s->queried, &opts,
                         peer_sync_on_version, s) < 0) {
        log_write(LOG_WARN, NULL, "version query to %s cannot be sent",
                  other->node);
    }
}

/* Starts the periodic version queries; ERR_NO_MEMORY on failure. */
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

/* Stops the queries; accepts NULL. */
void
peer_sync_free(peer_sync *s)
{
    if (s != NULL) {
        ev_timer_stop(s->n->l->loop, &s->timer);
        free(s);
    }
}
