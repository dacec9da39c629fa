#include "lcl.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "http_listener.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "lav/retry_after.h"
#include "lcl_private.h"

#define LCL_EXPIRY_S 0.01     /* how exactly waits in the queue are ended */
#define LCL_RECORD_MAX 200000 /* attempts remembered */
#define LCL_LEAVING_PART 2    /* of the drain time: work is still taken */
#define LCL_FAILURE_STEP 0.05 /* weight of one call in the failure rate */
#define LCL_CALL_STEP 0.03    /* weight of one call in the mean time */
#define LCL_FULL_PART 0.95    /* of the slots: nearly full, some slow down */
#define LCL_PERMILLE 1000

static void lcl_pump(lcl *d);

static void
lcl_on_expiry(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)events;
    lcl *d = watcher->data;
    evloop_update_now(d->n->l);
    admission_refusal refusal;
    while (admission_pop_expired(&refusal, d->admission, d->n->l->now_us)) {
        lcl_fail(d->calls[refusal.handle], OUTCOME_NOT_RUN, refusal.reason,
                 false);
    }
    lcl_pump(d);
    if (admission_queued_count(d->admission) == 0) {
        ev_timer_stop(loop, watcher);
    }
}

/* Make the record of a target that has not registered yet. */
int
lcl_new(lcl **out, nod *n, err *e)
{
    lcl *d = calloc(1, sizeof(*d));
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
             dispatch_new(&d->record, LCL_RECORD_MAX) < 0) {
        result = ERR_SET(e, ERR_NO_MEMORY, "the target's record");
    }
    if (result < 0) {
        lcl_free(d);
        return result;
    }
    for (int i = 0; i < LCL_CALLS_MAX; i++) {
        d->free_handles[d->free_count++] = LCL_CALLS_MAX - 1 - i;
    }
    ev_timer_init(&d->expiry, lcl_on_expiry, LCL_EXPIRY_S, LCL_EXPIRY_S);
    d->expiry.data = d;
    *out = d;
    return 0;
}

/* Release it; calls must be over.  Takes NULL. */
void
lcl_free(lcl *d)
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
lcl_set_limit(lcl *d)
{
    int limit = (int)ceil(d->slots * LCL_FULL_PART) - 1 -
                orphan_calls_count(&d->residue);
    admission_set_slots(d->admission, limit < 1 ? 1 : limit, false,
                        d->n->l->now_us);
}

/* State of the target, as it is told to others. */
enum instance_state
lcl_state(const lcl *d)
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
lcl_announce(lcl *d)
{
    instance_record record = d->n->self;
    record.state = lcl_state(d);
    g_strlcpy(record.instance, d->instance, sizeof(record.instance));
    record.born_ms = d->born_ms;
    record.slots = d->slots;
    const instance_record *told = &d->n->self;
    if (record.state != told->state || record.born_ms != told->born_ms ||
        record.slots != told->slots ||
        strcmp(record.instance, told->instance) != 0) {
        nod_set_self(d->n, &record);
    }
}

/* It leaves: new work is taken for a part of the time that the platform
 * allows.  One that has not registered with this start of the node may have
 * said so to an earlier start, so nothing more is taken. */
static void
lcl_close(lcl *d)
{
    int64_t drain_us = d->n->settings.drain_ms * CLOCK_US_PER_MS;
    d->leaving = true;
    d->closes_us =
        d->n->l->now_us + (d->heard ? drain_us / LCL_LEAVING_PART : 0);
    log_event(LOG_INFO, "target_leaves", NULL, "{s:s,s:i,s:b}", "instance",
              d->instance, "running", admission_in_flight_count(d->admission),
              "heard", d->heard);
}

/* Another start of the target is here: nothing is known of it yet. */
void
lcl_new_start(lcl *d, const char *instance, int64_t born_ms)
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
    d->residue = (orphan_calls){0};
    conn_pool_close_idle(d->n->pool, &d->at);
    if (departed_targets_contains(&d->departed, instance, born_ms)) {
        lcl_close(d);
    }
}

/* The target registered.  False where the beat is older than what is known:
 * of an earlier start, or overtaken by a later one.  Where the known target is
 * gone, another one may have started by a clock that was set back: if the beat
 * is only late, the first request finds nobody of that name. */
bool
lcl_register(lcl *d, const lcl_beat *beat)
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
        lcl_new_start(d, beat->instance, beat->born_ms);
    }
    d->sequence = beat->sequence;
    d->down = false;
    if (!same || beat->slots != d->slots) {
        d->slots = beat->slots;
        lcl_set_limit(d);
    }
    if (beat->leaving && !d->leaving) {
        lcl_close(d);
    }
    d->heard = true;
    lcl_announce(d);
    return true;
}

/* The target leaves: it gets no new work after the grace.  One that is not
 * known yet is remembered, so that later news don't bring it back. */
void
lcl_leave(lcl *d, const char *instance)
{
    bool known = strcmp(instance, d->instance) == 0;
    departed_targets_add(&d->departed, instance,
                         known && d->heard ? d->born_ms : clock_wall_ms());
    if (known && !d->leaving) {
        lcl_close(d);
        lcl_announce(d);
    }
}

/* The target of a call could not be reached, or is another one: no more calls
 * until it registers again, unless a later start of it has already done so. */
void
lcl_call_down(const lcl_call *call, const char *why)
{
    lcl *d = call->d;
    if (!d->down && call->start == d->start) {
        log_event(LOG_WARN, "target_lost", NULL, "{s:s,s:s,s:i}", "instance",
                  d->instance, "why", why, "running",
                  admission_in_flight_count(d->admission));
        d->down = true;
        lcl_announce(d);
    }
}

/* Whether the target has said that it leaves, or is gone. */
bool
lcl_left(const lcl *d)
{
    return d->leaving || d->down || d->instance[0] == '\0';
}

/* Whether the target here is that instance. */
bool
lcl_is(const lcl *d, const char *instance)
{
    return strcmp(d->instance, instance) == 0;
}

/* Load and state of the target, for other nodes. */
instance_load_report
lcl_report(const lcl *d)
{
    enum instance_state state = lcl_state(d);
    if (state == INSTANCE_READY && d->n->stopping) {
        state = INSTANCE_STOPPING;
    }
    return (instance_load_report){
        .busy = admission_in_flight_count(d->admission) +
                admission_queued_count(d->admission),
        .limit = admission_get_limit(d->admission),
        .failures_permille = (int)(d->failures * LCL_PERMILLE),
        .state = state,
        .call_us = (int)d->call_us};
}

/* The worst overload on the chain of a route that runs here. */
downstream_overload
lcl_strain(lcl *d, uint32_t route)
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
lcl_retry_after_us(const lcl *d)
{
    return retry_after_queue_full_us(d->call_us,
                                     admission_queued_count(d->admission),
                                     admission_get_limit(d->admission));
}

static bool
lcl_takes_work(const lcl *d, enum reason *reason)
{
    if (d->instance[0] == '\0' || d->down) {
        *reason = REASON_TARGET_DOWN;
        return false;
    }
    if (d->leaving && d->n->l->now_us >= d->closes_us) {
        *reason = REASON_DRAINING;
        return false;
    }
    return true;
}

static int
lcl_refuse(att_failure *refused, enum reason reason)
{
    *refused =
        (att_failure){OUTCOME_NOT_RUN, reason, false, false, INSTANCE_NONE};
    return ERR_UNAVAILABLE;
}

static lcl_call *
lcl_call_new(lcl *d, att_request *r, uint64_t nonce, const att_sink *sink,
             void *payload)
{
    lcl_call *call = d->free_count > 0 ? calloc(1, sizeof(*call)) : NULL;
    if (call == NULL) {
        return NULL;
    }
    *call = (lcl_call){.d = d,
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
lcl_call_free(lcl_call *call)
{
    lcl *d = call->d;
    d->calls[call->handle] = NULL;
    d->free_handles[d->free_count++] = call->handle;
    free(call);
}

/* Take a request for the target: it is dispatched, or waits.  On a negative
 * result it was refused, for the reason in `refused`, and the sink is not
 * called. */
int
lcl_start(lcl_call **out, lcl *d, att_request *r, uint64_t nonce,
          const att_sink *sink, void *payload, att_failure *refused)
{
    int64_t now_us = d->n->l->now_us;
    enum reason reason = REASON_NONE;
    if (!lcl_takes_work(d, &reason)) {
        return lcl_refuse(refused, reason);
    }
    if (!r->idempotent &&
        dispatch_add(d->record, nonce, 0, now_us) != DISPATCH_NEW) {
        return lcl_refuse(refused, REASON_CANCELLED);
    }
    lcl_call *call = lcl_call_new(d, r, nonce, sink, payload);
    if (call == NULL) {
        dispatch_mark_refused(d->record, nonce);
        return lcl_refuse(refused, REASON_TABLE_FULL);
    }
    downstream_record_arrival(d->n->chains, r->route, r->origin, nod_share,
                              d->n);
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
        lcl_fail(d->calls[verdict.displaced], OUTCOME_NOT_RUN,
                 REASON_QUEUE_DISPLACED, false);
    }
    switch (verdict.decision) {
    case ADMISSION_REFUSED:
        overload_count_held_up(&d->overload);
        dispatch_mark_refused(d->record, nonce);
        lcl_call_free(call);
        return lcl_refuse(refused, verdict.reason);
    case ADMISSION_QUEUED:
        overload_count_held_up(&d->overload);
        ev_timer_start(d->n->l->loop, &d->expiry);
        break;
    case ADMISSION_DISPATCHED:
        call->running = true;
        if (lcl_dispatch(call, &reason) < 0) {
            lcl_finish(call, false);
            return lcl_refuse(refused, reason);
        }
        break;
    }
    *out = call;
    return 0;
}

/* Give free slots to waiting calls. */
static void
lcl_pump(lcl *d)
{
    int handle = 0;
    while (admission_pop(&handle, d->admission, d->n->l->now_us)) {
        lcl_call *call = d->calls[handle];
        enum reason reason = REASON_NONE;
        call->running = true;
        if (lcl_dispatch(call, &reason) < 0) {
            lcl_fail(call, OUTCOME_NOT_RUN, reason, false);
        }
    }
}

/* A running call is over: free its slot. */
void
lcl_finish(lcl_call *call, bool failed)
{
    lcl *d = call->d;
    int64_t now_us = d->n->l->now_us;
    int64_t took_us = now_us - call->started_us;
    d->failures += ((failed ? 1 : 0) - d->failures) * LCL_FAILURE_STEP;
    if (!failed) {
        d->call_us += d->call_us == 0
                          ? (double)took_us
                          : ((double)took_us - d->call_us) * LCL_CALL_STEP;
    }
    overload_count_end(&d->overload);
    admission_release_slot(d->admission, failed ? -1 : took_us, now_us);
    lcl_call_free(call);
    lcl_pump(d);
}

/* A call has failed: free what it holds and tell its owner. */
void
lcl_fail(lcl_call *call, enum outcome outcome, enum reason reason,
         bool reached)
{
    lcl *d = call->d;
    att_failure failure = {outcome, reason, reached, call->answered,
                           d->n->self_handle};
    const att_sink *sink = call->sink;
    void *payload = call->payload;
    if (call->c != NULL) {
        http_conn_close(call->c);
    }
    if (outcome == OUTCOME_NOT_RUN) {
        dispatch_mark_refused(d->record, call->nonce);
    }
    if (call->running) {
        lcl_finish(call, reached);
    }
    else {
        lcl_call_free(call);
    }
    sink->failed(&failure, payload);
}

/* The owner gives the call up; the sink hears nothing more. */
void
lcl_cancel(lcl_call *call)
{
    lcl *d = call->d;
    counter_add(COUNTER_CANCELS, 1);
    lcl_log_cancel(call);
    if (!call->running) {
        admission_remove(d->admission, call->handle);
        dispatch_mark_refused(d->record, call->nonce);
        lcl_call_free(call);
        return;
    }
    if (call->c != NULL) {
        http_conn_close(call->c);
    }
    admission_release_slot(d->admission, -1, d->n->l->now_us);
    lcl_call_free(call);
    lcl_pump(d);
}

/* Whether the attempt has not run and never will: it is refused from now on
 * if it has not been handed to the target. */
bool
lcl_never_runs(lcl *d, uint64_t nonce)
{
    return dispatch_cancel(d->record, nonce, d->n->l->now_us) ==
           DISPATCH_CANCEL_CONFIRMED;
}
