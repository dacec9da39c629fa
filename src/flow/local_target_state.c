/* The state of the target: what it is announced as, which of its starts this
 * is, and how many calls it may run. */
#include <jansson.h>
#include <math.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/log.h"
#include "local_target_private.h"

/* Share of the slots from which on some targets slow down. */
#define LOCAL_TARGET_USABLE_SLOTS_RATIO 0.95

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

/* Begins to drain the target: it gets calls, new or queued, for a part of the
 * drain time that the platform allows.  A target that has not registered since
 * this start of the node may have begun to drain under an earlier start, so it
 * gets no more calls. */
void
local_target_begin_drain(local_target *t)
{
    t->draining = true;
    t->drain_cutoff_us =
        t->registered ? runtime_drain_cutoff_us(t->n) : t->n->l->now_us;
    target_queue_close(t->queue, t->drain_cutoff_us);
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
    target_queue_reopen(t->queue);
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

/* Returns how many calls the target may run concurrently if it takes them
 * well: below the share of its slots from which on some targets slow down. */
int
local_target_usable_slots(const local_target *t)
{
    return (int)ceil(t->slots * LOCAL_TARGET_USABLE_SLOTS_RATIO) - 1;
}

/* Sets how many calls the target may run concurrently: those that it takes
 * well, less the calls that an earlier start of the node left running; at
 * least one. */
void
local_target_update_limit(local_target *t)
{
    int limit =
        instance_capacity_limit(&t->capacity, local_target_usable_slots(t)) -
        orphan_calls_count(&t->orphans);
    target_queue_set_limit(t->queue, limit < 1 ? 1 : limit, t->n->l->now_us);
}

/* Returns the share of the requests that lead here that can be admitted, as
 * the target measures it. */
double
local_target_level(const local_target *t)
{
    return overload_level(&t->overload);
}

/* Whether calls of many requests come to the target beside long requests of
 * its own. */
bool
local_target_takes_mixed_work(const local_target *t)
{
    return t->n->routes != NULL &&
           routing_serves_mixed_work(t->n->routes, t->n->settings.service);
}

/* Whether chains that lead to the target are admitted apart from its own
 * requests. */
bool
local_target_limits_chains(const local_target *t)
{
    return t->n->whole && local_target_takes_mixed_work(t);
}
