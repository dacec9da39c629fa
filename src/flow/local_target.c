#include "local_target.h"

#include <stdlib.h>

#include "http_listener.h"
#include "lav/counter.h"
#include "local_target_private.h"

/* Period of the check for expired calls in the queue, in seconds. */
#define LOCAL_TARGET_EXPIRY_PERIOD_S 0.01

/* Number of non-idempotent attempts whose dispatch record is kept. */
#define LOCAL_TARGET_DISPATCH_RECORDS_MAX 200000

static void local_target_dispatch_queued(local_target *t);

/* Fails calls whose wait in the queue has expired, or that a leaving target
 * can't get in time. */
static void
local_target_on_expiry(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)events;
    local_target *t = watcher->data;
    evloop_update_now(t->n->l);
    admission_refusal refusal;
    while (target_queue_pop_expired(&refusal, t->queue, t->n->l->now_us)) {
        overload_count_expired(&t->overload, refusal.reason);
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
    t->slot_freed = local_target_dispatch_queued;
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
    target_queue_set_mixed(t->queue, local_target_takes_mixed_work(t), now_us);
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
    t->slot_freed(t);
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
