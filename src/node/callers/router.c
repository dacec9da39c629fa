#include "router.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>

#include "lav/clock.h"
#include "lav/counter.h"
#include "router_private.h"

#define ROUTER_EVENTS_MAX 8192
#define ROUTER_TICK_US 5000       /* longest wait of the loop */
#define ROUTER_IDLE_TICK_US 25000 /* ... while there is no call */
#define ROUTER_HANGUP_PERIOD_US 25000
#define ROUTER_LEVELS_PERIOD_US 50000
#define ROUTER_LEVELS_MAX 8192
#define ROUTER_SEEN_MAX 16384
#define ROUTER_ATTEMPTS_PER_CALL 2 /* one late attempt beside a live one */

static void router_handle(router_state *r, const router_event *event,
                          int64_t now_us);

static void
router_release_event(router_event *event)
{
    if (event->reply != NULL) {
        msg_clear(event->reply);
        free(event->reply);
    }
}

/* Handle an event here and now, or leave it to the router's thread;
 * ERR_FULL, and nothing done, where that has too many. */
static int
router_bring(router_state *r, router_event *event)
{
    if (pthread_mutex_trylock(&r->lock) != 0) {
        return ring_push(r->events, event);
    }
    router_handle(r, event, clock_now_us());
    pthread_mutex_unlock(&r->lock);
    router_release_event(event);
    return 0;
}

static void
router_told(router_state *r, enum router_event_kind kind, uint64_t nonce,
            enum rpc_client_result result, msg *reply)
{
    router_event event = {kind, PENDING_NONE, nonce, result, reply};
    if (router_bring(r, &event) < 0) {
        counter_add_reason(REASON_RING_FULL);
        router_release_event(&event);
    }
}

static void
router_attempt_told(uint64_t nonce, enum rpc_client_result result, msg *reply,
                    void *payload)
{
    router_told(payload, ROUTER_EVENT_ATTEMPT_DONE, nonce, result, reply);
}

static void
router_cancel_told(uint64_t nonce, enum rpc_client_result result, msg *reply,
                   void *payload)
{
    router_told(payload, ROUTER_EVENT_CANCEL_DONE, nonce, result, reply);
}

static void
router_handle(router_state *r, const router_event *event, int64_t now_us)
{
    int attempt = 0;
    int handle = event->handle;
    if (event->kind == ROUTER_EVENT_CALL) {
        router_start_call(r, handle, now_us);
        return;
    }
    handle = correlation_take(&attempt, r->answers, event->nonce);
    if (handle == CORRELATION_NONE) {
        return; /* late: the call has gone on without it */
    }
    router_call *state = &r->states[handle];
    if (state->nonce != event->nonce) {
        return;
    }
    if (event->kind == ROUTER_EVENT_CANCEL_DONE &&
        state->phase == ROUTER_CANCELLING) {
        router_on_cancel_done(r, handle, event, now_us);
    }
    else if (event->kind == ROUTER_EVENT_ATTEMPT_DONE &&
             (state->phase == ROUTER_WAITING ||
              (state->phase == ROUTER_CANCELLING &&
               event->result == RPC_CLIENT_REPLY))) {
        router_on_attempt_done(r, handle, event, now_us);
    }
}

/* The reply to an attempt did not come in time. */
static void
router_overdue(router_state *r, int handle, int64_t now_us)
{
    router_call *state = &r->states[handle];
    endpoint_get(r->instances, state->instance, now_us)->outstanding--;
    state->reason =
        state->caller_gone ? REASON_CALLER_GONE : REASON_REPLY_TIMEOUT;
    state->lent = 0;
    router_cancel_attempt(r, handle, now_us);
}

static void
router_wake(router_state *r, int handle, int64_t now_us)
{
    switch (r->states[handle].phase) {
    case ROUTER_WAITING:
        router_overdue(r, handle, now_us);
        return;
    case ROUTER_CANCELLING:
        router_on_cancel_done(r, handle, NULL, now_us);
        return;
    case ROUTER_BACKING_OFF:
        router_send_attempt(r, handle, now_us);
        return;
    case ROUTER_IDLE:
        return;
    }
}

static void
router_run_timers(router_state *r, int64_t now_us)
{
    for (size_t i = r->active_count; i > 0; i--) {
        int handle = r->active[i - 1];
        if (now_us >= r->states[handle].phase_timeout_us) {
            router_wake(r, handle, now_us);
        }
    }
}

/* Cancel the calls of callers that have hung up. */
static void
router_look_after_callers(router_state *r, int64_t now_us)
{
    if (now_us - r->callers_polled_us < ROUTER_HANGUP_PERIOD_US) {
        return;
    }
    r->callers_polled_us = now_us;
    for (size_t i = r->active_count; i > 0; i--) {
        int handle = r->active[i - 1];
        router_call *state = &r->states[handle];
        struct pollfd caller = {pending_get(r->calls, handle)->socket,
                                POLLRDHUP, 0};
        if (state->phase == ROUTER_WAITING && !state->caller_gone &&
            poll(&caller, 1, 0) > 0) {
            state->caller_gone = true;
            router_overdue(r, handle, now_us);
        }
    }
}

static int
router_callees_level(router_state *r, const catalog *l, catalog_op_id op,
                     int64_t now_us)
{
    int lowest = ADMISSION_LEVEL_MAX;
    const catalog_operation *operation = &l->operations[op];
    for (size_t i = 0; i < operation->callee_count; i++) {
        const catalog_operation *callee =
            &l->operations[operation->callees[i]];
        const char *service = l->services[callee->service]->name;
        char name[ROUTER_OPERATION_SIZE];
        snprintf(name, sizeof(name), "%s.%s", service, callee->source->name);
        int level = router_get_operation_level(
            r, service, name, callee->source->idempotent, now_us);
        lowest = level < lowest ? level : lowest;
    }
    return lowest;
}

/* Publish, for each operation of the own service, the level that the
 * operations below it demand; replies pass it on to the callers' nodes. */
static void
router_publish_levels(router_state *r, int64_t now_us)
{
    if (now_us - r->levels_published_us < ROUTER_LEVELS_PERIOD_US) {
        return;
    }
    r->levels_published_us = now_us;
    snapshot_read_lock();
    const catalog *l = snapshot_get_config(r->node->snapshot)->landscape;
    int own = l == NULL ? CATALOG_NOT_FOUND
                        : catalog_find_service(l, r->node->settings.service);
    for (size_t i = 0; own != CATALOG_NOT_FOUND && i < l->operation_count;
         i++) {
        const catalog_operation *operation = &l->operations[i];
        if (operation->service == own) {
            size_t at =
                (size_t)(operation->source - l->services[own]->operations);
            atomic_store(&r->node->load.callee_levels[at],
                         router_callees_level(r, l, (catalog_op_id)i, now_us));
        }
    }
    snapshot_read_unlock();
}

static void
router_main(void *payload)
{
    router_state *r = payload;
    while (!worker_stop_requested(&r->thread)) {
        router_event event;
        bool busy = atomic_load(&r->node->load.callers) > 0;
        int64_t wait_us = busy ? ROUTER_TICK_US : ROUTER_IDLE_TICK_US;
        bool popped = ring_pop(&event, r->events, wait_us);
        pthread_mutex_lock(&r->lock);
        int64_t now_us = clock_now_us();
        if (popped) {
            router_handle(r, &event, now_us);
            router_release_event(&event);
        }
        router_run_timers(r, now_us);
        router_look_after_callers(r, now_us);
        router_publish_levels(r, now_us);
        atomic_store(&r->node->load.callers,
                     (int)(r->active_count + ring_count(r->events)));
        pthread_mutex_unlock(&r->lock);
    }
}

static int
router_make_parts(router_state *r, err *e)
{
    size_t calls = pending_capacity(r->calls);
    size_t attempts = calls * ROUTER_ATTEMPTS_PER_CALL;
    r->states = calloc(calls, sizeof(*r->states));
    r->active = calloc(calls, sizeof(*r->active));
    if (r->states == NULL || r->active == NULL ||
        ring_new(&r->events, sizeof(router_event), ROUTER_EVENTS_MAX) < 0 ||
        correlation_new(&r->answers, attempts) < 0 ||
        admission_cache_new(&r->levels, ROUTER_LEVELS_MAX) < 0 ||
        endpoint_new(&r->instances) < 0 ||
        seen_request_new(&r->seen, ROUTER_SEEN_MAX) < 0) {
        return ERR_SET(e, ERR_NO_MEMORY, "router");
    }
    int result =
        rpc_client_new(&r->attempts, attempts, router_attempt_told, r, e);
    if (result == 0) {
        result =
            rpc_client_new(&r->cancels, attempts, router_cancel_told, r, e);
    }
    return result;
}

/* Make the router and start its thread; `answered` is told of each call that
 * is over. */
int
router_new(router_state **out, node *n, pending_table *calls,
           router_answered_cb answered, void *payload, err *e)
{
    router_state *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "router");
    }
    r->node = n;
    r->calls = calls;
    r->answered = answered;
    r->payload = payload;
    pthread_mutex_init(&r->lock, NULL);
    r->bucket.tenths = RETRY_BUCKET_START_TENTHS;
    int result = router_make_parts(r, e);
    if (result == 0) {
        result = worker_start(&r->thread, router_main, r, e);
    }
    if (result < 0) {
        router_free(r);
        return result;
    }
    *out = r;
    return 0;
}

/* End the thread; calls in its hands get no answer any more. */
void
router_stop(router_state *r)
{
    worker_join(&r->thread);
}

/* Release the router; takes NULL. */
void
router_free(router_state *r)
{
    if (r == NULL) {
        return;
    }
    worker_join(&r->thread);
    rpc_client_free(r->attempts);
    rpc_client_free(r->cancels);
    router_event event;
    while (r->events != NULL && ring_pop(&event, r->events, 0)) {
        router_release_event(&event);
    }
    ring_free(r->events);
    correlation_free(r->answers);
    admission_cache_free(r->levels);
    endpoint_free(r->instances);
    seen_request_free(r->seen);
    free(r->states);
    free(r->active);
    pthread_mutex_destroy(&r->lock);
    free(r);
}

/* Hand a call to the router; ERR_FULL where its ring is full. */
int
router_submit(router_state *r, int handle)
{
    router_event event = {ROUTER_EVENT_CALL, handle, 0, RPC_CLIENT_LOST, NULL};
    return router_bring(r, &event);
}
