#include "rtr.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>

#include "lav/clock.h"
#include "lav/counter.h"
#include "rtr_private.h"

#define RTR_EVENTS_MAX 8192
#define RTR_TICK_US 5000       /* longest wait of the loop */
#define RTR_IDLE_TICK_US 25000 /* ... while there is no call */
#define RTR_HANGUP_PERIOD_US 25000
#define RTR_LEVELS_PERIOD_US 50000
#define RTR_LEVELS_MAX 8192
#define RTR_SEEN_MAX 16384
#define RTR_ATTEMPTS_PER_CALL 2 /* one late attempt beside a live one */

static void rtr_handle(rtr *r, const rtr_event *event, int64_t now_us);

static void
rtr_release_event(rtr_event *event)
{
    if (event->reply != NULL) {
        msg_clear(event->reply);
        free(event->reply);
    }
}

/* Handle an event here and now, or leave it to the router's thread;
 * ERR_FULL, and nothing done, where that has too many. */
static int
rtr_bring(rtr *r, rtr_event *event)
{
    if (pthread_mutex_trylock(&r->lock) != 0) {
        return ring_push(r->events, event);
    }
    rtr_handle(r, event, clock_now_us());
    pthread_mutex_unlock(&r->lock);
    rtr_release_event(event);
    return 0;
}

static void
rtr_told(rtr *r, enum rtr_event_kind kind, uint64_t nonce,
         enum per_result result, msg *reply)
{
    rtr_event event = {kind, CAL_NONE, nonce, result, reply};
    if (rtr_bring(r, &event) < 0) {
        counter_add_reason(REASON_RING_FULL);
        rtr_release_event(&event);
    }
}

static void
rtr_attempt_told(uint64_t nonce, enum per_result result, msg *reply,
                 void *payload)
{
    rtr_told(payload, RTR_EVENT_ATTEMPT, nonce, result, reply);
}

static void
rtr_cancel_told(uint64_t nonce, enum per_result result, msg *reply,
                void *payload)
{
    rtr_told(payload, RTR_EVENT_CANCEL, nonce, result, reply);
}

static void
rtr_handle(rtr *r, const rtr_event *event, int64_t now_us)
{
    int attempt = 0;
    int handle = event->handle;
    if (event->kind == RTR_EVENT_CALL) {
        rtr_start(r, handle, now_us);
        return;
    }
    handle = correlation_take(&attempt, r->answers, event->nonce);
    if (handle == CORRELATION_NONE) {
        return; /* late: the call has gone on without it */
    }
    rtr_call *state = &r->states[handle];
    if (state->nonce != event->nonce) {
        return;
    }
    if (event->kind == RTR_EVENT_CANCEL && state->phase == RTR_CANCELLING) {
        rtr_cancel_over(r, handle, event, now_us);
    }
    else if (event->kind == RTR_EVENT_ATTEMPT &&
             (state->phase == RTR_WAITING || (state->phase == RTR_CANCELLING &&
                                              event->result == PER_REPLY))) {
        rtr_attempt_over(r, handle, event, now_us);
    }
}

/* The reply to an attempt did not come in time. */
static void
rtr_overdue(rtr *r, int handle, int64_t now_us)
{
    rtr_call *state = &r->states[handle];
    ins_get(r->instances, state->instance, now_us)->outstanding--;
    state->reason =
        state->caller_gone ? REASON_CALLER_GONE : REASON_REPLY_TIMEOUT;
    state->lent = 0;
    rtr_cancel(r, handle, now_us);
}

static void
rtr_wake(rtr *r, int handle, int64_t now_us)
{
    switch (r->states[handle].phase) {
    case RTR_WAITING:
        rtr_overdue(r, handle, now_us);
        return;
    case RTR_CANCELLING:
        rtr_cancel_over(r, handle, NULL, now_us);
        return;
    case RTR_PAUSING:
        rtr_try(r, handle, now_us);
        return;
    case RTR_IDLE:
        return;
    }
}

static void
rtr_run_timers(rtr *r, int64_t now_us)
{
    for (size_t i = r->active_count; i > 0; i--) {
        int handle = r->active[i - 1];
        if (now_us >= r->states[handle].wake_us) {
            rtr_wake(r, handle, now_us);
        }
    }
}

/* Cancel the calls of callers that have hung up. */
static void
rtr_look_after_callers(rtr *r, int64_t now_us)
{
    if (now_us - r->hangup_us < RTR_HANGUP_PERIOD_US) {
        return;
    }
    r->hangup_us = now_us;
    for (size_t i = r->active_count; i > 0; i--) {
        int handle = r->active[i - 1];
        rtr_call *state = &r->states[handle];
        struct pollfd caller = {cal_get(r->calls, handle)->socket, POLLRDHUP,
                                0};
        if (state->phase == RTR_WAITING && !state->caller_gone &&
            poll(&caller, 1, 0) > 0) {
            state->caller_gone = true;
            rtr_overdue(r, handle, now_us);
        }
    }
}

static int
rtr_callees_level(rtr *r, const catalog *l, catalog_op_id op, int64_t now_us)
{
    int lowest = ADMISSION_LEVEL_MAX;
    const catalog_operation *operation = &l->operations[op];
    for (size_t i = 0; i < operation->callee_count; i++) {
        const catalog_operation *callee =
            &l->operations[operation->callees[i]];
        const char *service = l->services[callee->service]->name;
        char name[RTR_OPERATION_SIZE];
        snprintf(name, sizeof(name), "%s.%s", service, callee->source->name);
        int level = rtr_operation_level(r, service, name,
                                        callee->source->idempotent, now_us);
        lowest = level < lowest ? level : lowest;
    }
    return lowest;
}

/* Publish, for each operation of the own service, the level that the
 * operations below it demand; replies pass it on to the callers' nodes. */
static void
rtr_publish_levels(rtr *r, int64_t now_us)
{
    if (now_us - r->levels_us < RTR_LEVELS_PERIOD_US) {
        return;
    }
    r->levels_us = now_us;
    view_read_begin();
    const catalog *l = view_config_get(r->node->view)->landscape;
    int own = l == NULL ? CATALOG_NOT_FOUND
                        : catalog_find_service(l, r->node->settings.service);
    for (size_t i = 0; own != CATALOG_NOT_FOUND && i < l->operation_count;
         i++) {
        const catalog_operation *operation = &l->operations[i];
        if (operation->service == own) {
            size_t at =
                (size_t)(operation->source - l->services[own]->operations);
            atomic_store(&r->node->load.callee_levels[at],
                         rtr_callees_level(r, l, (catalog_op_id)i, now_us));
        }
    }
    view_read_end();
}

static void
rtr_main(void *payload)
{
    rtr *r = payload;
    while (!duty_ended(&r->thread)) {
        rtr_event event;
        bool busy = atomic_load(&r->node->load.callers) > 0;
        int64_t wait_us = busy ? RTR_TICK_US : RTR_IDLE_TICK_US;
        bool popped = ring_pop(&event, r->events, wait_us);
        pthread_mutex_lock(&r->lock);
        int64_t now_us = clock_now_us();
        if (popped) {
            rtr_handle(r, &event, now_us);
            rtr_release_event(&event);
        }
        rtr_run_timers(r, now_us);
        rtr_look_after_callers(r, now_us);
        rtr_publish_levels(r, now_us);
        atomic_store(&r->node->load.callers,
                     (int)(r->active_count + ring_count(r->events)));
        pthread_mutex_unlock(&r->lock);
    }
}

static int
rtr_make_parts(rtr *r, err *e)
{
    size_t calls = cal_size(r->calls);
    size_t attempts = calls * RTR_ATTEMPTS_PER_CALL;
    r->states = calloc(calls, sizeof(*r->states));
    r->active = calloc(calls, sizeof(*r->active));
    if (r->states == NULL || r->active == NULL ||
        ring_new(&r->events, sizeof(rtr_event), RTR_EVENTS_MAX) < 0 ||
        correlation_new(&r->answers, attempts) < 0 ||
        admission_cache_new(&r->levels, RTR_LEVELS_MAX) < 0 ||
        ins_new(&r->instances) < 0 ||
        seen_request_new(&r->seen, RTR_SEEN_MAX) < 0) {
        return ERR_SET(e, ERR_NO_MEMORY, "router");
    }
    int result = per_new(&r->attempts, attempts, rtr_attempt_told, r, e);
    if (result == 0) {
        result = per_new(&r->cancels, attempts, rtr_cancel_told, r, e);
    }
    return result;
}

/* Make the router and start its thread; `answered` is told of each call that
 * is over. */
int
rtr_new(rtr **out, node *n, cal *calls, rtr_answered_cb answered,
        void *payload, err *e)
{
    rtr *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "router");
    }
    r->node = n;
    r->calls = calls;
    r->answered = answered;
    r->payload = payload;
    pthread_mutex_init(&r->lock, NULL);
    r->bucket.tenths = RETRY_BUCKET_START_TENTHS;
    int result = rtr_make_parts(r, e);
    if (result == 0) {
        result = duty_start(&r->thread, rtr_main, r, e);
    }
    if (result < 0) {
        rtr_free(r);
        return result;
    }
    *out = r;
    return 0;
}

/* End the thread; calls in its hands get no answer any more. */
void
rtr_stop(rtr *r)
{
    duty_join(&r->thread);
}

/* Release the router; takes NULL. */
void
rtr_free(rtr *r)
{
    if (r == NULL) {
        return;
    }
    duty_join(&r->thread);
    per_free(r->attempts);
    per_free(r->cancels);
    rtr_event event;
    while (r->events != NULL && ring_pop(&event, r->events, 0)) {
        rtr_release_event(&event);
    }
    ring_free(r->events);
    correlation_free(r->answers);
    admission_cache_free(r->levels);
    ins_free(r->instances);
    seen_request_free(r->seen);
    free(r->states);
    free(r->active);
    pthread_mutex_destroy(&r->lock);
    free(r);
}

/* Hand a call to the router; ERR_FULL where its ring is full. */
int
rtr_submit(rtr *r, int handle)
{
    rtr_event event = {RTR_EVENT_CALL, handle, 0, PER_LOST, NULL};
    return rtr_bring(r, &event);
}
