/* A call to the target: its handle, its end and what is learnt from it. */
#include <stdlib.h>

#include "local_target_private.h"

/* Weight of one call in the moving average of failures. */
#define LOCAL_TARGET_FAILURE_WEIGHT 0.05

/* Weight of one call in the moving average of call times. */
#define LOCAL_TARGET_CALL_TIME_WEIGHT 0.03

/* Allocates a call with a handle; NULL if there are too many or no memory. */
local_target_call *
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
void
local_target_call_free(local_target_call *call)
{
    local_target *t = call->target;
    t->calls[call->handle] = NULL;
    t->free_handles[t->free_count++] = call->handle;
    free(call);
}

/* Records the end of a run, if it has begun. */
void
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
    t->slot_freed(t);
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
