/* The starts of the target: registration, departure and failure. */
#include <jansson.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/log.h"
#include "local_target_private.h"

/* Returns the state of the target as announced to other nodes.  A target that
 * leaves is announced as such even if it is down: this node learns from the
 * announcement after a restart that it must not be used again. */
enum instance_state
local_target_state(const local_target *t)
{
    if (t->instance[0] == '\0') {
        return INSTANCE_STARTING;
    }
    if (t->draining) {
        return INSTANCE_DRAINING;
    }
    return t->down ? INSTANCE_GONE : INSTANCE_READY;
}

/* Announces the state of the target if it differs from the node's record. */
void
local_target_announce_state(local_target *t)
{
    instance_record record = t->n->self;
    record.state = local_target_state(t);
    g_strlcpy(record.instance, t->instance, sizeof(record.instance));
    record.born_ms = t->born_ms;
    record.slots = t->slots;
    const instance_record *announced = &t->n->self;
    if (record.state != announced->state ||
        record.born_ms != announced->born_ms ||
        record.slots != announced->slots ||
        strcmp(record.instance, announced->instance) != 0) {
        runtime_update_self(t->n, &record);
    }
}

/* Begins to drain the target: it accepts new calls for a part of the drain
 * time that the platform allows.  A target that has not registered since this
 * start of the node may have begun to drain under an earlier start, so it
 * accepts no more calls. */
void
local_target_begin_drain(local_target *t)
{
    t->draining = true;
    t->drain_cutoff_us =
        t->registered ? runtime_drain_cutoff_us(t->n) : t->n->l->now_us;
    log_event(LOG_INFO, "target_leaves", NULL, "{s:s,s:i,s:b}", "instance",
              t->instance, "running", target_queue_running_count(t->queue),
              "heard", t->registered);
}

/* Resets the state for another start of the target, of which nothing is known
 * yet. */
void
local_target_reset(local_target *t, const char *instance, int64_t born_ms)
{
    log_event(LOG_INFO, "target_started", NULL, "{s:s,s:s,s:I}", "instance",
              instance, "was", t->instance, "born_ms", (json_int_t)born_ms);
    g_strlcpy(t->instance, instance, sizeof(t->instance));
    t->born_ms = born_ms;
    t->generation++;
    t->sequence = 0;
    t->registered = false;
    t->draining = false;
    t->down = false;
    t->responded = false;
    target_queue_clear_rate(t->queue);
    t->failure_rate = 0;
    t->capacity = (instance_capacity){0};
    t->orphans = (orphan_calls){0};
    t->unconfirmed = (local_target_heartbeat){0};
    conn_pool_close_idle(t->n->pool, &t->address);
    if (departed_targets_contains(&t->departed, instance, born_ms)) {
        local_target_begin_drain(t);
    }
}

/* Handles a registration heartbeat.  Returns false if it is stale: from an
 * earlier start of the target, or overtaken by a later heartbeat.  One of a
 * target that may have left under an earlier start of the node is accepted, but
 * the target is not used until that is known.  If the
 * known target is down, another instance is accepted even with an earlier
 * start time, as the clock may have been set back.  Should that heartbeat only
 * be late, the first request fails because the instance is not there. */
bool
local_target_register(local_target *t, const local_target_heartbeat *heartbeat)
{
    bool same = strcmp(heartbeat->instance, t->instance) == 0 &&
                heartbeat->born_ms == t->born_ms;
    bool replaces_down =
        t->down && strcmp(heartbeat->instance, t->instance) != 0;
    if (!same && t->instance[0] != '\0' && heartbeat->born_ms <= t->born_ms &&
        !replaces_down) {
        return false;
    }
    if (same && heartbeat->sequence <= t->sequence) {
        return false;
    }
    if (local_target_await_confirmation(t, heartbeat)) {
        return true;
    }
    if (!same) {
        local_target_reset(t, heartbeat->instance, heartbeat->born_ms);
    }
    t->sequence = heartbeat->sequence;
    t->down = false;
    if (!same || heartbeat->slots != t->slots) {
        t->slots = heartbeat->slots;
        local_target_update_limit(t);
    }
    if (heartbeat->leaving && !t->draining) {
        local_target_begin_drain(t);
    }
    t->registered = true;
    local_target_announce_state(t);
    return true;
}

/* Handles the announcement that an instance leaves.  The instance is
 * remembered with its start time, or with the current time if it has not
 * registered, so that a late heartbeat of that or an earlier start does not
 * bring it back. */
void
local_target_drain(local_target *t, const char *instance)
{
    bool current = strcmp(instance, t->instance) == 0;
    departed_targets_add(&t->departed, instance,
                         current && t->registered ? t->born_ms
                                                  : clock_wall_ms());
    if (current && !t->draining) {
        local_target_begin_drain(t);
        local_target_announce_state(t);
    }
    local_target_recover_departed(t);
}

/* Begins to drain the target if a response says that it leaves. */
void
local_target_update_leaving(local_target *t, const http_head *head)
{
    http_str leaving = http_head_get_field(head, t->n->header_names->leaving);
    if (!t->draining &&
        http_str_equals_nocase(leaving, LOCAL_TARGET_LEAVING)) {
        local_target_drain(t, t->instance);
    }
}

/* Marks the target of a call as down, because it was unreachable or is another
 * instance.  It gets no more calls until it registers again.  Has no effect if
 * a later start of the target has registered since. */
void
local_target_mark_down(const local_target_call *call, const char *why)
{
    local_target *t = call->target;
    if (!t->down && call->generation == t->generation) {
        log_event(LOG_WARN, "target_lost", NULL, "{s:s,s:s,s:i}", "instance",
                  t->instance, "why", why, "running",
                  target_queue_running_count(t->queue));
        t->down = true;
        local_target_announce_state(t);
    }
}

/* Whether the target is draining, down or not registered. */
bool
local_target_is_unavailable(const local_target *t)
{
    return t->draining || t->down || t->instance[0] == '\0';
}

/* Whether the target is the given instance. */
bool
local_target_is_instance(const local_target *t, const char *instance)
{
    return strcmp(t->instance, instance) == 0;
}
