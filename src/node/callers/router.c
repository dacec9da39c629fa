#include "router.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>

#include "lav/clock.h"
#include "lav/counter.h"
#include "router_private.h"

#define ROUTER_EVENTS_MAX 8192
#define ROUTER_TICK_US 5000       /* longest wait for an event */
#define ROUTER_IDLE_TICK_US 25000 /* ... without calls */
#define ROUTER_CALLER_POLL_PERIOD_US 25000
#define ROUTER_LEVELS_PERIOD_US 50000
#define ROUTER_LEVELS_MAX 8192
#define ROUTER_SEEN_MAX 16384
#define ROUTER_ATTEMPTS_PER_CALL 2 /* a late one next to the present one */

static void router_handle_event(router_state *r, const router_event *event,
                                int64_t now_us);

/* Free the reply of an event. */
static void
router_release_event(router_event *event)
{
    if (event->reply != NULL) {
        msg_clear(event->reply);
        free(event->reply);
    }
}

/* Handle an event at once if the router's state is not locked, else queue it
 * for the router's thread. ERR_FULL if the queue is full; the event is then
 * still the caller's. */
static int
router_submit_event(router_state *r, router_event *event)
{
    if (pthread_mutex_trylock(&r->lock) != 0) {
        return ring_push(r->events, event);
    }
    router_handle_event(r, event, clock_now_us());
    pthread_mutex_unlock(&r->lock);
    router_release_event(event);
    return 0;
}

/* Submit the result of an attempt or a cancel; dropped and counted if the
 * queue is full. */
static void
router_submit_result(router_state *r, enum router_event_kind kind,
                     uint64_t nonce, enum rpc_client_result result, msg *reply)
{
    router_event event = {kind, PENDING_NONE, nonce, result, reply};
    if (router_submit_event(r, &event) < 0) {
        counter_add_reason(REASON_RING_FULL);
        router_release_event(&event);
    }
}

/* rpc_client_cb of attempts. */
static void
router_attempt_callback(uint64_t nonce, enum rpc_client_result result,
                        msg *reply, void *payload)
{
    router_submit_result(payload, ROUTER_EVENT_ATTEMPT_DONE, nonce, result,
                         reply);
}

/* rpc_client_cb of cancels. */
static void
router_cancel_callback(uint64_t nonce, enum rpc_client_result result,
                       msg *reply, void *payload)
{
    router_submit_result(payload, ROUTER_EVENT_CANCEL_DONE, nonce, result,
                         reply);
}

/* Handle one event. A result of an attempt that is not the present one of its
 * call is ignored; while a cancel is in progress, a reply to the attempt
 * still counts. */
static void
router_handle_event(router_state *r, const router_event *event, int64_t now_us)
{
    int attempt = 0;
    int handle = event->handle;
    if (event->kind == ROUTER_EVENT_CALL) {
        router_start_call(r, handle, now_us);
        return;
    }
    handle = correlation_find(&attempt, r->correlations, event->nonce);
    if (handle == CORRELATION_NONE) {
        return; /* late: the attempt has been given up */
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

/* Give up the present attempt, because its reply did not arrive in time or
 * because the caller has disconnected, and cancel it. */
static void
router_abandon_attempt(router_state *r, int handle, int64_t now_us)
{
    router_call *state = &r->states[handle];
    endpoint_get(r->endpoints, state->instance, now_us)->outstanding--;
    state->reason =
        state->caller_gone ? REASON_CALLER_GONE : REASON_REPLY_TIMEOUT;
    state->delegated = 0;
    router_cancel_attempt(r, handle, now_us);
}

/* Handle the timeout of a call's phase. */
static void
router_on_timer(router_state *r, int handle, int64_t now_us)
{
    switch (r->states[handle].phase) {
    case ROUTER_WAITING:
        router_abandon_attempt(r, handle, now_us);
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

/* Handle all phases that have timed out. */
static void
router_run_timers(router_state *r, int64_t now_us)
{
    for (size_t i = r->active_count; i > 0; i--) {
        int handle = r->active[i - 1];
        if (now_us >= r->states[handle].phase_timeout_us) {
            router_on_timer(r, handle, now_us);
        }
    }
}

/* Cancel the calls of callers that have disconnected. */
static void
router_poll_callers(router_state *r, int64_t now_us)
{
    if (now_us - r->callers_polled_us < ROUTER_CALLER_POLL_PERIOD_US) {
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
            router_abandon_attempt(r, handle, now_us);
        }
    }
}

/* Lowest admission level among the operations that an operation calls. */
static int
router_get_callees_level(router_state *r, const catalog *landscape,
                         catalog_op_id op, int64_t now_us)
{
    int min_level = ADMISSION_LEVEL_MAX;
    const catalog_operation *operation = &landscape->operations[op];
    for (size_t i = 0; i < operation->callee_count; i++) {
        const catalog_operation *callee =
            &landscape->operations[operation->callees[i]];
        const char *service = landscape->services[callee->service]->name;
        char name[ROUTER_OPERATION_SIZE];
        snprintf(name, sizeof(name), "%s.%s", service, callee->source->name);
        int level = router_get_operation_level(
            r, service, name, callee->source->idempotent, now_us);
        min_level = level < min_level ? level : min_level;
    }
    return min_level;
}

/* Publish, for each operation of this node's service, the admission level
 * demanded by the operations that it calls. Replies carry it to the nodes of
 * the callers. */
static void
router_publish_levels(router_state *r, int64_t now_us)
{
    if (now_us - r->levels_published_us < ROUTER_LEVELS_PERIOD_US) {
        return;
    }
    r->levels_published_us = now_us;
    snapshot_read_lock();
    const catalog *landscape = snapshot_get_config(r->node->snapshot)->catalog;
    int own = landscape == NULL
                  ? CATALOG_NOT_FOUND
                  : catalog_find_service(landscape, r->node->settings.service);
    for (size_t i = 0;
         own != CATALOG_NOT_FOUND && i < landscape->operation_count; i++) {
        const catalog_operation *operation = &landscape->operations[i];
        if (operation->service == own) {
            size_t index = (size_t)(operation->source -
                                    landscape->services[own]->operations);
            atomic_store(&r->node->load.callee_levels[index],
                         router_get_callees_level(r, landscape,
                                                  (catalog_op_id)i, now_us));
        }
    }
    snapshot_read_unlock();
}

/* Thread of the router: events, timers, and periodic work. */
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
            router_handle_event(r, &event, now_us);
            router_release_event(&event);
        }
        router_run_timers(r, now_us);
        router_poll_callers(r, now_us);
        router_publish_levels(r, now_us);
        atomic_store(&r->node->load.callers,
                     (int)(r->active_count + ring_count(r->events)));
        pthread_mutex_unlock(&r->lock);
    }
}

/* Allocate the tables and the RPC clients. */
static int
router_init(router_state *r, err *e)
{
    size_t calls = pending_capacity(r->calls);
    size_t attempts = calls * ROUTER_ATTEMPTS_PER_CALL;
    r->states = calloc(calls, sizeof(*r->states));
    r->active = calloc(calls, sizeof(*r->active));
    if (r->states == NULL || r->active == NULL ||
        ring_new(&r->events, sizeof(router_event), ROUTER_EVENTS_MAX) < 0 ||
        correlation_new(&r->correlations, attempts) < 0 ||
        admission_cache_new(&r->admission_levels, ROUTER_LEVELS_MAX) < 0 ||
        endpoint_new(&r->endpoints) < 0 ||
        seen_request_new(&r->seen_requests, ROUTER_SEEN_MAX) < 0) {
        return ERR_SET(e, ERR_NO_MEMORY, "no memory for the router");
    }
    int result =
        rpc_client_new(&r->attempts, attempts, router_attempt_callback, r, e);
    if (result == 0) {
        result = rpc_client_new(&r->cancels, attempts, router_cancel_callback,
                                r, e);
    }
    return result;
}

/* Create the router and start its thread. `on_response` is called once for
 * each finished call. */
int
router_new(router_state **out, node *n, pending_table *calls,
           router_response_cb on_response, void *payload, err *e)
{
    router_state *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "no memory for the router");
    }
    r->node = n;
    r->calls = calls;
    r->on_response = on_response;
    r->payload = payload;
    pthread_mutex_init(&r->lock, NULL);
    r->bucket.tenths = RETRY_BUCKET_START_TENTHS;
    int result = router_init(r, e);
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

/* Stop the thread; unfinished calls get no response. */
void
router_stop(router_state *r)
{
    worker_join(&r->thread);
}

/* Free the router; NULL is allowed. */
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
    correlation_free(r->correlations);
    admission_cache_free(r->admission_levels);
    endpoint_free(r->endpoints);
    seen_request_free(r->seen_requests);
    free(r->states);
    free(r->active);
    pthread_mutex_destroy(&r->lock);
    free(r);
}

/* Hand a call to the router; ERR_FULL if its queue is full. */
int
router_submit(router_state *r, int handle)
{
    router_event event = {ROUTER_EVENT_CALL, handle, 0, RPC_CLIENT_LOST, NULL};
    return router_submit_event(r, &event);
}
