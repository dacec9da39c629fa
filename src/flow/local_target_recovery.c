/* A node that starts again beside a target that has lived on: the target
 * itself is asked before it gets work. */
#include <jansson.h>
#include <string.h>

#include "http_listener.h"
#include "lav/log.h"
#include "local_target_private.h"

#define LOCAL_TARGET_ASK_US 1000000 /* 1 s; it registers itself soon after */
#define LOCAL_TARGET_LOAD_SIZE 64 /* bytes of its load, with the closing NUL */
#define LOCAL_TARGET_STATUS_HEALTHY                                           \
    200 /* status of a target that is well and stays */

/* The fields that are asked for, by their place in the answer. */
enum local_target_field {
    LOCAL_TARGET_FIELD_ID,
    LOCAL_TARGET_FIELD_LOAD
};

static void
local_target_take_over(local_target *d, const char *load_text)
{
    orphan_calls_load load = {0};
    bool told = orphan_calls_load_parse(&load, load_text);
    local_target_reset(d, d->candidate.instance, d->candidate.born_ms);
    if (told) {
        orphan_calls_init(&d->earlier_start_calls, &load);
    }
    d->slots = d->candidate.slots;
    local_target_update_limit(d);
    log_event(LOG_INFO, "target_adopted", NULL, "{s:s,s:b,s:i,s:i,s:i}",
              "instance", d->instance, "load_told", told, "running",
              load.running, "waiting", load.waiting, "slots", d->slots);
    local_target_announce_state(d);
}

static void
local_target_on_health(const http_async_response *answer, void *payload)
{
    local_target *d = payload;
    const char *instance = answer->values[LOCAL_TARGET_FIELD_ID];
    d->question = NULL;
    if (d->instance[0] == '\0') {
        if (answer->result == HTTP_ASYNC_COMPLETE &&
            answer->status == LOCAL_TARGET_STATUS_HEALTHY &&
            strcmp(instance, d->candidate.instance) == 0) {
            local_target_take_over(d, answer->values[LOCAL_TARGET_FIELD_LOAD]);
        }
        else {
            log_event(LOG_INFO, "target_not_adopted", NULL, "{s:s,s:s,s:i}",
                      "instance", d->candidate.instance, "answered_by",
                      instance, "status", answer->status);
        }
    }
    d->candidate = (instance_record){0};
}

/* Ask the target that may have lived on how it is, if there is one and the
 * desired state says how.  One that can't tell registers itself soon. */
void
local_target_probe_candidate(local_target *d)
{
    runtime *n = d->n;
    if (d->candidate.instance[0] == '\0' || d->question != NULL ||
        n->routes == NULL) {
        return;
    }
    const char *path = routing_health_path(n->routes, n->settings.service);
    http_async_options opts = {
        .method = "GET",
        .path = path,
        .timeout_us = LOCAL_TARGET_ASK_US,
        .fields = {n->fields->instance_id, n->fields->load}};
    if (path == NULL ||
        http_async_start(&d->question, n->pool, n->l, &d->at, &opts,
                         local_target_on_health, d) < 0) {
        log_write(LOG_WARN, NULL, "target %s can't be asked how it is",
                  d->candidate.instance);
        d->candidate = (instance_record){0};
    }
}

/* An earlier start of this node made a target known, which may have lived on,
 * have left since, or be another one by now. */
void
local_target_recover(local_target *d, const instance_record *record)
{
    if (d->instance[0] == '\0' && record->state == INSTANCE_READY &&
        record->instance[0] != '\0') {
        d->candidate = *record;
        local_target_probe_candidate(d);
    }
}

/* The target tells its load in an answer. */
void
local_target_update_load(local_target *d, const http_head *head)
{
    char text[LOCAL_TARGET_LOAD_SIZE];
    orphan_calls_load load;
    if (orphan_calls_count(&d->earlier_start_calls) > 0 &&
        http_str_copy(text, sizeof(text),
                      http_head_get_field(head, d->n->fields->load)) &&
        orphan_calls_load_parse(&load, text) &&
        orphan_calls_update(&d->earlier_start_calls, &load,
                            admission_in_flight_count(d->admission))) {
        local_target_update_limit(d);
        if (orphan_calls_count(&d->earlier_start_calls) == 0) {
            log_event(LOG_INFO, "earlier_calls_over", NULL, "{s:s}",
                      "instance", d->instance);
        }
    }
}
