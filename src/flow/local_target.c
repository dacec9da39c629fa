#include "local_target.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "http_listener.h"
#include "lav/counter.h"
#include "lav/retry_after.h"
#include "local_target_private.h"

/* Period of the check for expired calls in the queue, in seconds. */
#define LOCAL_TARGET_EXPIRY_PERIOD_S 0.01

/* Number of non-idempotent attempts whose dispatch record is kept. */
#define LOCAL_TARGET_DISPATCH_RECORDS_MAX 200000

/* Weight of one call in the moving average of failures. */
#define LOCAL_TARGET_FAILURE_WEIGHT 0.05

/* Weight of one call in the moving average of call times. */
#define LOCAL_TARGET_CALL_TIME_WEIGHT 0.03

/* Share of the slots from which on some targets slow down. */
#define LOCAL_TARGET_USABLE_SLOTS_RATIO 0.95

#define LOCAL_TARGET_PERMILLE 1000

static void local_target_dispatch_queued(local_target *t);

/* Fails calls whose wait in the queue has expired. */
static void
local_target_on_expiry(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)events;
    local_target *t = watcher->data;
    evloop_update_now(t->n->l);
    admission_refusal refusal;
    while (target_queue_pop_expired(&refusal, t->queue, t->n->l->now_us)) {
        overload_count_lost(&t->overload);
        local_target_fail_call(t->calls[refusal.handle], OUTCOME_NOT_RUN,
                               refusal.reason, false);
    }
    local_target_dispatch_queued(t);
    if (target_queue_queued_count(t->queue) == 0) {
        ev_timer_stop(loop, watcher);
    }
}

/* Creates the state of a target that has not registered yet: ERR_INVALID for
 * an invalid address, or ERR_NO_MEMORY. */
int
local_target_new(local_target **out, runtime *n, err *e)
{
    local_target *t = calloc(1, sizeof(*t));
    if (t == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY,
                       "out of memory for the target's state");
    }
    t->n = n;
    t->node_started_ms = clock_wall_ms();
    int result = 0;
    if (http_listener_parse_address(&t->address, n->settings.target) < 0) {
        result =
            ERR_SET(e, ERR_INVALID, "target.address: \"%s\" is no address",
                    n->settings.target);
    }
    else if (target_queue_new(&t->queue) < 0 ||
             dispatch_new(&t->dispatches, LOCAL_TARGET_DISPATCH_RECORDS_MAX) <
                 0) {
        result =
            ERR_SET(e, ERR_NO_MEMORY, "out of memory for the target's state");
    }
    if (result < 0) {
        local_target_free(t);
        return result;
    }
    for (int i = 0; i < LOCAL_TARGET_CALLS_MAX; i++) {
        t->free_handles[t->free_count++] = LOCAL_TARGET_CALLS_MAX - 1 - i;
    }
    ev_timer_init(&t->expiry, local_target_on_expiry,
                  LOCAL_TARGET_EXPIRY_PERIOD_S, LOCAL_TARGET_EXPIRY_PERIOD_S);
    t->expiry.data = t;
    ev_init(&t->entries_wait, local_target_on_entries_wait);
    t->entries_wait.data = t;
    *out = t;
    return 0;
}

/* Releases the state, once all calls have ended; accepts NULL. */
void
local_target_free(local_target *t)
{
    if (t != NULL) {
        http_async_cancel(t->health_check);
        http_async_cancel(t->end_check);
        ev_timer_stop(t->n->l->loop, &t->entries_wait);
        target_queue_free(t->queue);
        dispatch_free(t->dispatches);
        free(t);
    }
}

/* Returns how many calls the target may run concurrently if it takes them
 * well: below the share of its slots from which on some targets slow down. */
static int
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

/* Returns the load report of the target for other nodes. */
instance_load_report
local_target_load_report(const local_target *t)
{
    enum instance_state state = local_target_state(t);
    if (state == INSTANCE_READY && t->n->stopping) {
        state = INSTANCE_STOPPING;
    }
    const rate_limit *rate = target_queue_get_rate(t->queue);
    return (instance_load_report){
        .busy = target_queue_running_count(t->queue) +
                target_queue_queued_count(t->queue),
        .limit = local_target_concurrency(t),
        .rate = {rate->set, rate->per_s},
        .failures_permille = (int)(t->failure_rate * LOCAL_TARGET_PERMILLE),
        .state = state,
        .call_us = (int)t->call_us,
        .no_retries = !runtime_takes_retries(t->n),
        .work_us = instance_capacity_call_us(&t->capacity, t->n->l->now_us)};
}

/* Returns the share of the requests that lead here that can be admitted, as
 * the target measures it. */
double
local_target_level(const local_target *t)
{
    return overload_level(&t->overload);
}

/* Whether calls of many requests come to the target beside long requests of
 * its own, so that chains are admitted apart from those. */
bool
local_target_limits_chains(const local_target *t)
{
    return t->n->routes != NULL &&
           routing_serves_mixed_work(t->n->routes, t->n->settings.service);
}

/* Returns the slot time that a request takes, relative to the mean of all
 * calls, where long and short ones mix; 1 elsewhere. */
static double
local_target_time_share(const local_target *t, const attempt_request *r)
{
    double run_us = downstream_run_us(t->n->downstream, r->route);
    return local_target_limits_chains(t) && run_us > 0 && t->call_us > 0
               ? run_us / t->call_us
               : 1;
}

/* Counts a call that ended for the level of the chains that come here, and
 * tells that level. */
static void
local_target_count_chains(local_target *t, bool refused)
{
    chain_level_count_end(&t->chains, refused);
    if (chain_level_close_window(&t->chains, t->n->l->now_us) &&
        local_target_limits_chains(t)) {
        runtime_merge_target_level(
            t->n, chain_level_key(t->n->service_hash),
            chain_level_get(&t->chains, t->n->settings.retry_ratio));
    }
}

/* Returns the worst overload on the call chain of a route that runs here. */
downstream_overload
local_target_overload(local_target *t, uint32_t route)
{
    int64_t now_us = t->n->l->now_us;
    downstream_overload own = {
        t->n->service_hash,
        overload_factor(&t->overload, target_queue_running_count(t->queue),
                        local_target_concurrency(t),
                        target_queue_queued_count(t->queue), t->call_us,
                        now_us),
        0};
    if (local_target_limits_chains(t)) {
        own.factor =
            MAX(own.factor,
                chain_level_factor(&t->chains, t->n->settings.retry_ratio));
    }
    local_target_log_level(t);
    return downstream_chain_overload(t->n->downstream, route, &own, now_us);
}

/* Returns the time after which a refused caller is likely to be admitted. */
int64_t
local_target_retry_after_us(const local_target *t)
{
    return retry_after_queue_full_us(t->call_us,
                                     target_queue_queued_count(t->queue),
                                     local_target_concurrency(t));
}

/* Whether the target accepts calls; if not, `reason` says why. */
static bool
local_target_accepts_calls(const local_target *t, enum reason *reason)
{
    if (t->instance[0] == '\0' || t->down) {
        *reason = REASON_TARGET_DOWN;
        return false;
    }
    if (t->draining && t->n->l->now_us >= t->drain_cutoff_us) {
        *reason = REASON_DRAINING;
        return false;
    }
    return true;
}

/* Sets `refused` for a call that has not run; returns ERR_UNAVAILABLE. */
static int
local_target_refuse(attempt_failure *refused, enum reason reason)
{
    *refused = (attempt_failure){OUTCOME_NOT_RUN, reason, false, false,
                                 INSTANCE_NONE};
    return ERR_UNAVAILABLE;
}

/* Allocates a call with a handle; NULL if there are too many or no memory. */
static local_target_call *
local_target_call_new(local_target *t, attempt_request *r, uint64_t nonce,
                      const attempt_callbacks *callbacks, void *payload)
{
    local_target_call *call =
        t->free_count > 0 ? calloc(1, sizeof(*call)) : NULL;
    if (call == NULL) {
        return NULL;
    }
    *call = (local_target_call){.target = t,
                                .r = r,
                                .callbacks = callbacks,
                                .payload = payload,
                                .nonce = nonce,
                                .handle = t->free_handles[--t->free_count],
                                .refusal = REASON_NONE};
    t->calls[call->handle] = call;
    return call;
}

/* Releases a call and its handle. */
static void
local_target_call_free(local_target_call *call)
{
    local_target *t = call->target;
    t->calls[call->handle] = NULL;
    t->free_handles[t->free_count++] = call->handle;
    free(call);
}

/* Starts a call to the target: it is dispatched or queued.  On a negative
 * result it was refused for the reason in `refused`, and no callback
 * follows. */
int
local_target_start_call(local_target_call **out, local_target *t,
                        attempt_request *r, uint64_t nonce,
                        const attempt_callbacks *callbacks, void *payload,
                        attempt_failure *refused)
{
    int64_t now_us = t->n->l->now_us;
    enum reason reason = REASON_NONE;
    if (!local_target_accepts_calls(t, &reason)) {
        return local_target_refuse(refused, reason);
    }
    if (r->retry_probability > RETRY_SHARE_LIKELY &&
        !runtime_takes_retries(t->n)) {
        return local_target_refuse(refused, REASON_RETRY_BUDGET_SPENT);
    }
    if (!r->idempotent &&
        dispatch_add(t->dispatches, nonce, 0, now_us) != DISPATCH_NEW) {
        return local_target_refuse(refused, REASON_CANCELLED);
    }
    local_target_call *call =
        local_target_call_new(t, r, nonce, callbacks, payload);
    if (call == NULL) {
        dispatch_mark_refused(t->dispatches, nonce);
        return local_target_refuse(refused, REASON_TABLE_FULL);
    }
    downstream_record_arrival(t->n->downstream, r->route, r->origin,
                              runtime_service_share, t->n);
    if (!r->rerouted) {
        overload_count_arrival(&t->overload,
                               r->weight * local_target_time_share(t, r));
    }
    target_queue_request request = {.handle = call->handle,
                                    .rank = id_rank(r->id),
                                    .route = r->route,
                                    .internal = r->depth > 0,
                                    .priority = r->priority,
                                    .objective_us = r->objective_us,
                                    .deadline_us = r->deadline_us};
    target_queue_set_mixed(t->queue, local_target_limits_chains(t), now_us);
    admission_result verdict = target_queue_decide(t->queue, &request, now_us);
    if (verdict.displaced != ADMISSION_NONE) {
        local_target_fail_call(t->calls[verdict.displaced], OUTCOME_NOT_RUN,
                               REASON_QUEUE_DISPLACED, false);
    }
    switch (verdict.decision) {
    case ADMISSION_REFUSED:
        overload_count_held_up(&t->overload);
        overload_count_lost(&t->overload);
        dispatch_mark_refused(t->dispatches, nonce);
        local_target_call_free(call);
        return local_target_refuse(refused, verdict.reason);
    case ADMISSION_QUEUED:
        overload_count_held_up(&t->overload);
        ev_timer_start(t->n->l->loop, &t->expiry);
        break;
    case ADMISSION_DISPATCHED:
        call->running = true;
        if (local_target_dispatch_call(call, &reason) < 0) {
            local_target_finish_call(call, false);
            return local_target_refuse(refused, reason);
        }
        break;
    }
    *out = call;
    return 0;
}

/* Dispatches queued calls to free slots. */
static void
local_target_dispatch_queued(local_target *t)
{
    int handle = 0;
    if (t->n->ending) {
        return;
    }
    while (target_queue_pop(&handle, t->queue, t->n->l->now_us)) {
        local_target_call *call = t->calls[handle];
        enum reason reason = REASON_NONE;
        call->running = true;
        if (local_target_dispatch_call(call, &reason) < 0) {
            local_target_fail_call(call, OUTCOME_NOT_RUN, reason, false);
        }
    }
}

/* Records the end of a run, if it has begun. */
static void
local_target_end_run(const local_target_call *call)
{
    if (call->begun) {
        retry_share_end_run(call->target->n->retry_shares, call->r->route,
                            call->retry_probability);
        downstream_end_run(call->target->n->downstream, call->r->route,
                           call->target->n->l->now_us);
    }
}

/* Records the time of a call that ended with success; the target may take more
 * or fewer calls from then on. */
static void
local_target_record_time(local_target *t, const local_target_call *call,
                         int64_t took_us)
{
    int64_t now_us = t->n->l->now_us;
    int usable = local_target_usable_slots(t);
    if (t->capacity.host_percent == 0) {
        return;
    }
    int before = instance_capacity_limit(&t->capacity, usable);
    instance_capacity_call ended = {
        call->r->route, call->beside, call->host_percent, took_us,
        downstream_makes_calls(t->n->downstream, call->r->route, now_us)};
    instance_capacity_add(&t->capacity, &ended, usable, now_us);
    int limit = instance_capacity_limit(&t->capacity, usable);
    if (limit != before) {
        local_target_update_limit(t);
        local_target_log_capacity(t, limit, before);
    }
}

/* Ends a running call: records its time or failure and frees its slot. */
void
local_target_finish_call(local_target_call *call, bool failed)
{
    local_target *t = call->target;
    int64_t now_us = t->n->l->now_us;
    int64_t took_us = now_us - call->started_us;
    t->failure_rate +=
        ((failed ? 1 : 0) - t->failure_rate) * LOCAL_TARGET_FAILURE_WEIGHT;
    if (!failed) {
        t->call_us += t->call_us == 0 ? (double)took_us
                                      : ((double)took_us - t->call_us) *
                                            LOCAL_TARGET_CALL_TIME_WEIGHT;
        local_target_record_time(t, call, took_us);
    }
    overload_count_end(&t->overload, local_target_time_share(t, call->r));
    if (failed) {
        overload_count_failed(&t->overload);
    }
    local_target_count_chains(t, failed);
    target_queue_end_call(t->queue, call->handle, failed ? -1 : took_us,
                          now_us);
    local_target_end_run(call);
    local_target_call_free(call);
    local_target_dispatch_queued(t);
}

/* Fails a call: releases it and reports the failure to its owner. */
void
local_target_fail_call(local_target_call *call, enum outcome outcome,
                       enum reason reason, bool reached)
{
    local_target *t = call->target;
    attempt_failure failure = {outcome, reason, reached,
                               call->response_started, t->n->self_member};
    const attempt_callbacks *callbacks = call->callbacks;
    void *payload = call->payload;
    if (call->c != NULL) {
        http_conn_close(call->c);
    }
    if (outcome == OUTCOME_NOT_RUN) {
        dispatch_mark_refused(t->dispatches, call->nonce);
    }
    if (call->running) {
        local_target_finish_call(call, reached);
    }
    else {
        local_target_call_free(call);
    }
    callbacks->failed(&failure, payload);
}

/* Whether a call waits for a slot and has not been sent to the target. */
bool
local_target_call_is_queued(const local_target_call *call)
{
    return !call->running;
}

/* Cancels a call for its owner; no callback follows. */
void
local_target_cancel_call(local_target_call *call)
{
    local_target *t = call->target;
    counter_add(COUNTER_CANCELS, 1);
    local_target_log_cancel(call);
    if (!call->running) {
        target_queue_remove(t->queue, call->handle);
        dispatch_mark_refused(t->dispatches, call->nonce);
        local_target_call_free(call);
        return;
    }
    if (call->c != NULL) {
        http_conn_close(call->c);
    }
    target_queue_end_call(t->queue, call->handle, -1, t->n->l->now_us);
    local_target_end_run(call);
    local_target_call_free(call);
    local_target_dispatch_queued(t);
}

/* Fails the calls whose response has not begun, as this node is about to end.
 * Those that were not sent have not run. */
void
local_target_end_calls(local_target *t)
{
    for (int i = 0; i < LOCAL_TARGET_CALLS_MAX; i++) {
        local_target_call *call = t->calls[i];
        if (call == NULL || call->response_started) {
            continue;
        }
        bool sent = call->running && call->c != NULL &&
                    http_conn_is_connected(call->c);
        if (!call->running) {
            target_queue_remove(t->queue, call->handle);
        }
        local_target_fail_call(call, sent ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
                               REASON_STOPPING, sent);
    }
}

/* Revokes an attempt: if it has not been dispatched to the target, it is
 * refused from now on.  Returns whether it has not run and never will. */
bool
local_target_revoke_attempt(local_target *t, uint64_t nonce)
{
    return dispatch_cancel(t->dispatches, nonce, t->n->l->now_us) ==
           DISPATCH_CANCEL_CONFIRMED;
}
