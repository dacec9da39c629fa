#include "local_target.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "http_listener.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "lav/retry_after.h"
#include "local_target_private.h"

#define LOCAL_TARGET_EXPIRY_S                                                 \
    0.01 /* how exactly waits in the queue are ended */
#define LOCAL_TARGET_RECORD_MAX 200000 /* attempts remembered */
#define LOCAL_TARGET_LEAVING_PART                                             \
    2 /* of the drain time: work is still taken */
#define LOCAL_TARGET_FAILURE_STEP                                             \
    0.05 /* weight of one call in the failure rate */
#define LOCAL_TARGET_CALL_STEP 0.03 /* weight of one call in the mean time */
#define LOCAL_TARGET_FULL_PART                                                \
    0.95 /* of the slots: nearly full, some slow down */
#define LOCAL_TARGET_PERMILLE 1000

static void local_target_pump(local_target *d);

static void
local_target_on_expiry(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)events;
    local_target *d = watcher->data;
    evloop_update_now(d->n->l);
    admission_refusal refusal;
    while (admission_pop_expired(&refusal, d->admission, d->n->l->now_us)) {
        local_target_fail_call(d->calls[refusal.handle], OUTCOME_NOT_RUN,
                               refusal.reason, false);
    }
    local_target_pump(d);
    if (admission_queued_count(d->admission) == 0) {
        ev_timer_stop(loop, watcher);
    }
}

/* Make the record of a target that has not registered yet. */
int
local_target_new(local_target **out, runtime *n, err *e)
{
    local_target *d = calloc(1, sizeof(*d));
    if (d == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "the target's record");
    }
    d->n = n;
    int result = 0;
    if (http_listener_parse_address(&d->at, n->settings.target) < 0) {
        result =
            ERR_SET(e, ERR_INVALID, "target.address: \"%s\" is no address",
                    n->settings.target);
    }
    else if (target_queue_new(&d->admission) < 0 ||
             dispatch_new(&d->record, LOCAL_TARGET_RECORD_MAX) < 0) {
        result = ERR_SET(e, ERR_NO_MEMORY, "the target's record");
    }
    if (result < 0) {
        local_target_free(d);
        return result;
    }
    for (int i = 0; i < LOCAL_TARGET_CALLS_MAX; i++) {
        d->free_handles[d->free_count++] = LOCAL_TARGET_CALLS_MAX - 1 - i;
    }
    ev_timer_init(&d->expiry, local_target_on_expiry, LOCAL_TARGET_EXPIRY_S,
                  LOCAL_TARGET_EXPIRY_S);
    d->expiry.data = d;
    *out = d;
    return 0;
}

/* Release it; calls must be over.  Takes NULL. */
void
local_target_free(local_target *d)
{
    if (d != NULL) {
        http_async_cancel(d->question);
        admission_free(d->admission);
        dispatch_free(d->record);
        free(d);
    }
}

/* Calls that the target may run at once: below the part of its slots from
 * which some targets turn slow, less those of an earlier start. */
void
local_target_update_limit(local_target *d)
{
    int limit = (int)ceil(d->slots * LOCAL_TARGET_FULL_PART) - 1 -
                orphan_calls_count(&d->earlier_start_calls);
    admission_set_slots(d->admission, limit < 1 ? 1 : limit, false,
                        d->n->l->now_us);
}

/* State of the target, as it is told to others. */
enum instance_state
local_target_state(const local_target *d)
{
    if (d->instance[0] == '\0') {
        return INSTANCE_STARTING;
    }
    if (d->down) {
        return INSTANCE_GONE;
    }
    return d->leaving ? INSTANCE_DRAINING : INSTANCE_READY;
}

/* Make the state known where it differs from what others were told. */
void
local_target_announce_state(local_target *d)
{
    instance_record record = d->n->self;
    record.state = local_target_state(d);
    g_strlcpy(record.instance, d->instance, sizeof(record.instance));
    record.born_ms = d->born_ms;
    record.slots = d->slots;
    const instance_record *told = &d->n->self;
    if (record.state != told->state || record.born_ms != told->born_ms ||
        record.slots != told->slots ||
        strcmp(record.instance, told->instance) != 0) {
        runtime_update_self(d->n, &record);
    }
}

/* It leaves: new work is taken for a part of the time that the platform
 * allows.  One that has not registered with this start of the node may have
 * said so to an earlier start, so nothing more is taken. */
static void
local_target_close(local_target *d)
{
    int64_t drain_us = d->n->settings.drain_ms * CLOCK_US_PER_MS;
    d->leaving = true;
    d->drain_cutoff_us = d->n->l->now_us +
                         (d->heard ? drain_us / LOCAL_TARGET_LEAVING_PART : 0);
    log_event(LOG_INFO, "target_leaves", NULL, "{s:s,s:i,s:b}", "instance",
              d->instance, "running", admission_in_flight_count(d->admission),
              "heard", d->heard);
}

/* Another start of the target is here: nothing is known of it yet. */
void
local_target_reset(local_target *d, const char *instance, int64_t born_ms)
{
    log_event(LOG_INFO, "target_started", NULL, "{s:s,s:s,s:I}", "instance",
              instance, "was", d->instance, "born_ms", (json_int_t)born_ms);
    g_strlcpy(d->instance, instance, sizeof(d->instance));
    d->born_ms = born_ms;
    d->start++;
    d->sequence = 0;
    d->heard = false;
    d->leaving = false;
    d->down = false;
    d->failures = 0;
    d->earlier_start_calls = (orphan_calls){0};
    conn_pool_close_idle(d->n->pool, &d->at);
    if (departed_targets_contains(&d->departed, instance, born_ms)) {
        local_target_close(d);
    }
}

/* The target registered.  False where the beat is older than what is known:
 * of an earlier start, or overtaken by a later one.  Where the known target is
 * gone, another one may have started by a clock that was set back: if the beat
 * is only late, the first request finds nobody of that name. */
bool
local_target_register(local_target *d, const local_target_heartbeat *beat)
{
    bool same = strcmp(beat->instance, d->instance) == 0 &&
                beat->born_ms == d->born_ms;
    bool gone = d->down && strcmp(beat->instance, d->instance) != 0;
    if (!same && d->instance[0] != '\0' && beat->born_ms <= d->born_ms &&
        !gone) {
        return false;
    }
    if (same && beat->sequence <= d->sequence) {
        return false;
    }
    if (!same) {
        local_target_reset(d, beat->instance, beat->born_ms);
    }
    d->sequence = beat->sequence;
    d->down = false;
    if (!same || beat->slots != d->slots) {
        d->slots = beat->slots;
        local_target_update_limit(d);
    }
    if (beat->leaving && !d->leaving) {
        local_target_close(d);
    }
    d->heard = true;
    local_target_announce_state(d);
    return true;
}

/* The target leaves: it gets no new work after the grace.  One that is not
 * known yet is remembered, so that later news don't bring it back. */
void
local_target_drain(local_target *d, const char *instance)
{
    bool known = strcmp(instance, d->instance) == 0;
    departed_targets_add(&d->departed, instance,
                         known && d->heard ? d->born_ms : clock_wall_ms());
    if (known && !d->leaving) {
        local_target_close(d);
        local_target_announce_state(d);
    }
}

/* The target of a call could not be reached, or is another one: no more calls
 * until it registers again, unless a later start of it has already done so. */
void
local_target_mark_down(const local_target_call *call, const char *why)
{
    local_target *d = call->d;
    if (!d->down && call->start == d->start) {
        log_event(LOG_WARN, "target_lost", NULL, "{s:s,s:s,s:i}", "instance",
                  d->instance, "why", why, "running",
                  admission_in_flight_count(d->admission));
        d->down = true;
        local_target_announce_state(d);
    }
}

/* Whether the target has said that it leaves, or is gone. */
bool
local_target_is_unavailable(const local_target *d)
{
    return d->leaving || d->down || d->instance[0] == '\0';
}

/* Whether the target here is that instance. */
bool
local_target_is_instance(const local_target *d, const char *instance)
{
    return strcmp(d->instance, instance) == 0;
}

/* Load and state of the target, for other nodes. */
instance_load_report
local_target_load_report(const local_target *d)
{
    enum instance_state state = local_target_state(d);
    if (state == INSTANCE_READY && d->n->stopping) {
        state = INSTANCE_STOPPING;
    }
    return (instance_load_report){
        .busy = admission_in_flight_count(d->admission) +
                admission_queued_count(d->admission),
        .limit = admission_get_limit(d->admission),
        .failures_permille = (int)(d->failures * LOCAL_TARGET_PERMILLE),
        .state = state,
        .call_us = (int)d->call_us};
}

/* The worst overload on the chain of a route that runs here. */
downstream_overload
local_target_overload(local_target *d, uint32_t route)
{
    int64_t now_us = d->n->l->now_us;
    downstream_overload own = {
        d->n->service,
        overload_factor(&d->overload, admission_in_flight_count(d->admission),
                        admission_get_limit(d->admission),
                        admission_queued_count(d->admission), now_us)};
    return downstream_chain_overload(d->n->chains, route, &own, now_us);
}

/* When a caller that is refused here is likely to find room. */
int64_t
local_target_retry_after_us(const local_target *d)
{
    return retry_after_queue_full_us(d->call_us,
                                     admission_queued_count(d->admission),
                                     admission_get_limit(d->admission));
}

static bool
local_target_takes_work(const local_target *d, enum reason *reason)
{
    if (d->instance[0] == '\0' || d->down) {
        *reason = REASON_TARGET_DOWN;
        return false;
    }
    if (d->leaving && d->n->l->now_us >= d->drain_cutoff_us) {
        *reason = REASON_DRAINING;
        return false;
    }
    return true;
}

static int
local_target_refuse(attempt_failure *refused, enum reason reason)
{
    *refused = (attempt_failure){OUTCOME_NOT_RUN, reason, false, false,
                                 INSTANCE_NONE};
    return ERR_UNAVAILABLE;
}

static local_target_call *
local_target_call_new(local_target *d, attempt_request *r, uint64_t nonce,
                      const attempt_callbacks *sink, void *payload)
{
    local_target_call *call =
        d->free_count > 0 ? calloc(1, sizeof(*call)) : NULL;
    if (call == NULL) {
        return NULL;
    }
    *call = (local_target_call){.d = d,
                                .r = r,
                                .sink = sink,
                                .payload = payload,
                                .nonce = nonce,
                                .handle = d->free_handles[--d->free_count],
                                .refusal = REASON_NONE};
    d->calls[call->handle] = call;
    return call;
}

static void
local_target_call_free(local_target_call *call)
{
    local_target *d = call->d;
    d->calls[call->handle] = NULL;
    d->free_handles[d->free_count++] = call->handle;
    free(call);
}

/* Take a request for the target: it is dispatched, or waits.  On a negative
 * result it was refused, for the reason in `refused`, and the sink is not
 * called. */
int
local_target_start_call(local_target_call **out, local_target *d,
                        attempt_request *r, uint64_t nonce,
                        const attempt_callbacks *sink, void *payload,
                        attempt_failure *refused)
{
    int64_t now_us = d->n->l->now_us;
    enum reason reason = REASON_NONE;
    if (!local_target_takes_work(d, &reason)) {
        return local_target_refuse(refused, reason);
    }
    if (!r->idempotent &&
        dispatch_add(d->record, nonce, 0, now_us) != DISPATCH_NEW) {
        return local_target_refuse(refused, REASON_CANCELLED);
    }
    local_target_call *call =
        local_target_call_new(d, r, nonce, sink, payload);
    if (call == NULL) {
        dispatch_mark_refused(d->record, nonce);
        return local_target_refuse(refused, REASON_TABLE_FULL);
    }
    downstream_record_arrival(d->n->chains, r->route, r->origin,
                              runtime_service_share, d->n);
    if (!r->moved) {
        overload_count_arrival(&d->overload);
    }
    target_queue_request request = {.handle = call->handle,
                                    .rank = id_rank(r->id),
                                    .objective_us = r->objective_us,
                                    .deadline_us = r->deadline_us};
    admission_call admitted = target_queue_make_call(&request, now_us);
    admission_result verdict =
        admission_decide(d->admission, &admitted, now_us);
    if (verdict.displaced != ADMISSION_NONE) {
        local_target_fail_call(d->calls[verdict.displaced], OUTCOME_NOT_RUN,
                               REASON_QUEUE_DISPLACED, false);
    }
    switch (verdict.decision) {
    case ADMISSION_REFUSED:
        overload_count_held_up(&d->overload);
        dispatch_mark_refused(d->record, nonce);
        local_target_call_free(call);
        return local_target_refuse(refused, verdict.reason);
    case ADMISSION_QUEUED:
        overload_count_held_up(&d->overload);
        ev_timer_start(d->n->l->loop, &d->expiry);
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

/* Give free slots to waiting calls. */
static void
local_target_pump(local_target *d)
{
    int handle = 0;
    while (admission_pop(&handle, d->admission, d->n->l->now_us)) {
        local_target_call *call = d->calls[handle];
        enum reason reason = REASON_NONE;
        call->running = true;
        if (local_target_dispatch_call(call, &reason) < 0) {
            local_target_fail_call(call, OUTCOME_NOT_RUN, reason, false);
        }
    }
}

/* A running call is over: free its slot. */
void
local_target_finish_call(local_target_call *call, bool failed)
{
    local_target *d = call->d;
    int64_t now_us = d->n->l->now_us;
    int64_t took_us = now_us - call->started_us;
    d->failures +=
        ((failed ? 1 : 0) - d->failures) * LOCAL_TARGET_FAILURE_STEP;
    if (!failed) {
        d->call_us += d->call_us == 0 ? (double)took_us
                                      : ((double)took_us - d->call_us) *
                                            LOCAL_TARGET_CALL_STEP;
    }
    overload_count_end(&d->overload);
    admission_release_slot(d->admission, failed ? -1 : took_us, now_us);
    local_target_call_free(call);
    local_target_pump(d);
}

/* A call has failed: free what it holds and tell its owner. */
void
local_target_fail_call(local_target_call *call, enum outcome outcome,
                       enum reason reason, bool reached)
{
    local_target *d = call->d;
    attempt_failure failure = {outcome, reason, reached, call->answered,
                               d->n->self_member};
    const attempt_callbacks *sink = call->sink;
    void *payload = call->payload;
    if (call->c != NULL) {
        http_conn_close(call->c);
    }
    if (outcome == OUTCOME_NOT_RUN) {
        dispatch_mark_refused(d->record, call->nonce);
    }
    if (call->running) {
        local_target_finish_call(call, reached);
    }
    else {
        local_target_call_free(call);
    }
    sink->failed(&failure, payload);
}

/* The owner gives the call up; the sink hears nothing more. */
void
local_target_cancel_call(local_target_call *call)
{
    local_target *d = call->d;
    counter_add(COUNTER_CANCELS, 1);
    local_target_log_cancel(call);
    if (!call->running) {
        admission_remove(d->admission, call->handle);
        dispatch_mark_refused(d->record, call->nonce);
        local_target_call_free(call);
        return;
    }
    if (call->c != NULL) {
        http_conn_close(call->c);
    }
    admission_release_slot(d->admission, -1, d->n->l->now_us);
    local_target_call_free(call);
    local_target_pump(d);
}

/* Whether the attempt has not run and never will: it is refused from now on
 * if it has not been handed to the target. */
bool
local_target_revoke_attempt(local_target *d, uint64_t nonce)
{
    return dispatch_cancel(d->record, nonce, d->n->l->now_us) ==
           DISPATCH_CANCEL_CONFIRMED;
}
