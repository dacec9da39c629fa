/* Recovery after a restart of the node: a target that was registered with an
 * earlier start is adopted after a health check, before it gets calls. */
#include <jansson.h>
#include <string.h>

#include "http_listener.h"
#include "lav/log.h"
#include "local_target_private.h"

/* 1 s; a target that does not respond registers itself soon after. */
#define LOCAL_TARGET_HEALTH_TIMEOUT_US 1000000

#define LOCAL_TARGET_LOAD_SIZE 64 /* bytes of a load field, with the NUL */

/* Health status of a target that is not draining. */
#define LOCAL_TARGET_STATUS_HEALTHY 200

/* Requested response fields, as indexes into their values. */
enum local_target_field {
    LOCAL_TARGET_FIELD_ID,
    LOCAL_TARGET_FIELD_LOAD,
    LOCAL_TARGET_FIELD_LEAVING
};

/* Whether the candidate is another target than the one whose heartbeat is
 * held. */
static bool
local_target_candidate_is_other(const local_target *t)
{
    return strcmp(t->candidate.instance, t->unconfirmed.instance) != 0 ||
           t->candidate.born_ms != t->unconfirmed.born_ms;
}

/* Takes over the candidate as the target, which has registered if its heartbeat
 * is held.  The calls that it reports as running or queued are orphans of an
 * earlier start of the node and occupy slots. */
static void
local_target_adopt(local_target *t, const char *load_text)
{
    bool registered = !local_target_candidate_is_other(t);
    int64_t sequence = t->unconfirmed.sequence;
    orphan_calls_load load = {0};
    bool load_known = orphan_calls_load_parse(&load, load_text);
    local_target_reset(t, t->candidate.instance, t->candidate.born_ms);
    if (registered) {
        t->registered = true;
        t->sequence = sequence;
    }
    if (load_known) {
        orphan_calls_init(&t->orphans, &load);
    }
    t->slots = t->candidate.slots;
    local_target_update_limit(t);
    log_event(LOG_INFO, registered ? "target_confirmed" : "target_adopted",
              NULL, "{s:s,s:b,s:i,s:i,s:i}", "instance", t->instance,
              "load_told", load_known, "running", load.running, "waiting",
              load.waiting, "slots", t->slots);
    local_target_announce_state(t);
}

/* Evaluates the health check of the candidate.  It is adopted only if no
 * target has registered meanwhile and the same instance responds.  If it is not
 * there, another one whose heartbeat is held may be. */
static void
local_target_on_health(const http_async_response *response, void *payload)
{
    local_target *t = payload;
    const char *instance = response->values[LOCAL_TARGET_FIELD_ID];
    bool check_held = false;
    t->health_check = NULL;
    if (t->instance[0] == '\0') {
        if (response->result == HTTP_ASYNC_COMPLETE &&
            response->status == LOCAL_TARGET_STATUS_HEALTHY &&
            strcmp(response->values[LOCAL_TARGET_FIELD_LEAVING],
                   LOCAL_TARGET_LEAVING) != 0 &&
            strcmp(instance, t->candidate.instance) == 0) {
            local_target_adopt(t, response->values[LOCAL_TARGET_FIELD_LOAD]);
        }
        else {
            log_event(LOG_INFO, "target_not_adopted", NULL, "{s:s,s:s,s:i}",
                      "instance", t->candidate.instance, "answered_by",
                      instance, "status", response->status);
            check_held = t->unconfirmed.instance[0] != '\0' &&
                         local_target_candidate_is_other(t);
        }
    }
    t->candidate = (instance_record){0};
    if (check_held) {
        local_target_check_unconfirmed(t);
    }
}

/* Starts the health check of the candidate, if there is one and a desired
 * state with its health path is in force.  A target that cannot be checked
 * registers itself soon. */
void
local_target_probe_candidate(local_target *t)
{
    runtime *n = t->n;
    if (t->candidate.instance[0] == '\0' || t->health_check != NULL ||
        n->routes == NULL) {
        return;
    }
    const char *path = routing_health_path(n->routes, n->settings.service);
    http_async_options opts = {.method = "GET",
                               .path = path,
                               .timeout_us = LOCAL_TARGET_HEALTH_TIMEOUT_US,
                               .fields = {n->header_names->instance_id,
                                          n->header_names->load,
                                          n->header_names->leaving}};
    if (path == NULL ||
        http_async_start(&t->health_check, n->pool, n->l, &t->address, &opts,
                         local_target_on_health, t) < 0) {
        log_write(LOG_WARN, NULL, "target %s: health check cannot be started",
                  t->candidate.instance);
        t->candidate = (instance_record){0};
    }
}

/* Withdraws the node's entry. */
static void
local_target_withdraw_entry(const local_target *t)
{
    if (t->n->announce != NULL) {
        t->n->announce(&t->n->self, true, t->n->callback_payload);
    }
}

/* Evaluates whether a target that was leaving has ended. */
static void
local_target_on_end_check(const http_async_response *response, void *payload)
{
    local_target *t = payload;
    bool ended = response->result == HTTP_ASYNC_NOT_SENT;
    t->end_check = NULL;
    log_event(LOG_INFO, "target_end_checked", NULL, "{s:s,s:b}", "instance",
              t->instance, "ended", ended);
    if (ended) {
        local_target_withdraw_entry(t);
    }
}

/* Withdraws the node's entry if the target, which is unavailable, has ended: it
 * is unknown, down, or leaving and cannot be connected to. */
void
local_target_check_end(local_target *t)
{
    runtime *n = t->n;
    const char *path =
        n->routes == NULL
            ? NULL
            : routing_health_path(n->routes, n->settings.service);
    http_async_options opts = {.method = "GET",
                               .path = path == NULL ? "/" : path,
                               .timeout_us = LOCAL_TARGET_HEALTH_TIMEOUT_US};
    if (t->end_check != NULL) {
        return; /* pending */
    }
    conn_pool_close_idle(n->pool, &t->address);
    if (!t->draining || t->down ||
        http_async_start(&t->end_check, n->pool, n->l, &t->address, &opts,
                         local_target_on_end_check, t) < 0) {
        local_target_withdraw_entry(t);
    }
}

/* Takes over the target that an earlier start of the node announced if it is
 * known to have left since: it is announced as leaving, and gets no calls. */
void
local_target_recover_departed(local_target *t)
{
    const instance_record *earlier = &t->earlier;
    if (t->instance[0] == '\0' && earlier->state != INSTANCE_DRAINING &&
        departed_targets_contains(&t->departed, earlier->instance,
                                  earlier->born_ms)) {
        local_target_reset(t, earlier->instance, earlier->born_ms);
        t->slots = earlier->slots;
        local_target_update_limit(t);
        local_target_announce_state(t);
    }
}

/* Considers the target in a record that an earlier start of this node
 * announced.  If it was leaving, no heartbeat brings it back, and if one has
 * done so already, it leaves now.  Any other one may still be running, have
 * left, or have been replaced. */
void
local_target_recover(local_target *t, const instance_record *record)
{
    t->n->first_start = false;
    if (record->instance[0] == '\0') {
        return;
    }
    if (record->state == INSTANCE_DRAINING) {
        departed_targets_add(&t->departed, record->instance, record->born_ms);
    }
    if (t->instance[0] != '\0') {
        if (!t->draining &&
            departed_targets_contains(&t->departed, t->instance, t->born_ms)) {
            t->registered = false; /* its drain time began long before */
            local_target_begin_drain(t);
            local_target_announce_state(t);
        }
        return;
    }
    t->earlier = *record;
    local_target_recover_departed(t);
    if (t->instance[0] == '\0' && record->state == INSTANCE_READY) {
        t->candidate = *record;
        local_target_probe_candidate(t);
    }
}

/* Whether the target that sent a heartbeat may have left before this start of
 * the node.  An earlier start of the node may have acknowledged that, and the
 * store may lack its entry: it was never written, has been removed, or was lost
 * as the store came back from a copy.  So that there is no entry shows nothing;
 * only that the target has started since shows that it has not left. */
bool
local_target_may_have_left(const local_target *t,
                           const local_target_heartbeat *heartbeat)
{
    return t->instance[0] == '\0' && !heartbeat->leaving &&
           heartbeat->born_ms < t->node_started_ms &&
           !departed_targets_contains(&t->departed, heartbeat->instance,
                                      heartbeat->born_ms);
}

/* Starts the health check of the target whose heartbeat is held, unless one is
 * pending.  The store's entries are awaited first.  Without a desired state
 * with its health path the target cannot be checked. */
void
local_target_check_unconfirmed(local_target *t)
{
    const runtime *n = t->n;
    bool awaits_entries = !t->earlier_known && ev_is_active(&t->entries_wait);
    if (awaits_entries || t->health_check != NULL || n->routes == NULL ||
        routing_health_path(n->routes, n->settings.service) == NULL) {
        return;
    }
    t->candidate = (instance_record){.born_ms = t->unconfirmed.born_ms,
                                     .slots = t->unconfirmed.slots};
    g_strlcpy(t->candidate.instance, t->unconfirmed.instance,
              sizeof(t->candidate.instance));
    local_target_probe_candidate(t);
}

/* Holds the heartbeat of a target that may have left before this start of the
 * node, in which case it is late.  The target has to pass a health check, which
 * one that is leaving does not.  Returns false if it is to be used at once: it
 * has not left, or its heartbeats have gone on for longer than they can be
 * late. */
bool
local_target_await_confirmation(local_target *t,
                                const local_target_heartbeat *heartbeat)
{
    if (!local_target_may_have_left(t, heartbeat)) {
        return false;
    }
    if (strcmp(t->unconfirmed.instance, heartbeat->instance) != 0 ||
        t->unconfirmed.born_ms != heartbeat->born_ms) {
        t->unconfirmed_since_us = t->n->l->now_us;
        ev_timer_stop(t->n->l->loop, &t->entries_wait);
        ev_timer_set(&t->entries_wait, LOCAL_TARGET_ENTRIES_WAIT_S, 0.);
        ev_timer_start(t->n->l->loop, &t->entries_wait);
    }
    t->unconfirmed = *heartbeat;
    int64_t waited_us = t->n->l->now_us - t->unconfirmed_since_us;
    if (waited_us >= LOCAL_TARGET_LATE_HEARTBEAT_MAX_US) {
        return false;
    }
    local_target_check_unconfirmed(t);
    return true;
}

/* Updates the number of orphaned calls, and what is known of the host, from the
 * load that the target reports in a response. */
void
local_target_update_load(local_target *t, const http_head *head)
{
    char text[LOCAL_TARGET_LOAD_SIZE];
    orphan_calls_load load;
    if (!http_str_copy(text, sizeof(text),
                       http_head_get_field(head, t->n->header_names->load)) ||
        !orphan_calls_load_parse(&load, text)) {
        return;
    }
    if (load.host_percent > 0) {
        instance_capacity_set_host(&t->capacity, load.host_percent);
    }
    if (orphan_calls_count(&t->orphans) > 0 &&
        orphan_calls_update(&t->orphans, &load,
                            target_queue_running_count(t->queue))) {
        local_target_update_limit(t);
        if (orphan_calls_count(&t->orphans) == 0) {
            log_event(LOG_INFO, "earlier_calls_over", NULL, "{s:s}",
                      "instance", t->instance);
        }
    }
}
