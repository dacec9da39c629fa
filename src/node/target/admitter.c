#include "admitter.h"

#include <stdlib.h>
#include <string.h>

#include "admitter_private.h"
#include "lav/correlation.h"
#include "lav/clock.h"
#include "lav/counter.h"

#define ADMITTER_EVENTS_MAX 4096
#define ADMITTER_POLL_US 5000             /* longest wait for an event */
#define ADMITTER_IDLE_POLL_US 25000       /* ... while no call is in flight */
#define ADMITTER_ATTEMPTS_MAX 200000      /* each kept for DISPATCH_TTL_US */
#define ADMITTER_RESPONSE_BYTES_MAX 16384 /* of one recorded response */
#define ADMITTER_RESPONSES_BYTES_MAX 16777216 /* of all recorded responses */

/* Applies the policy of this node's service when the configuration version
 * has changed. */
static void
admitter_update_policy(admitter_state *a)
{
    snapshot_read_lock();
    const snapshot_config *config = snapshot_get_config(a->node->snapshot);
    if (config->version != a->policy_version) {
        a->policy_version = config->version;
        int service =
            catalog_find_service(config->catalog, a->node->settings.service);
        if (service != CATALOG_NOT_FOUND) {
            a->policy = config->catalog->services[service]->policy;
            admission_set_policy(a->admission, &a->policy);
        }
    }
    snapshot_read_unlock();
}

/* Handles one event under the lock.  Frees what the event owns. */
static void
admitter_handle(admitter_state *a, admitter_event *event, int64_t now_us)
{
    switch (event->kind) {
    case ADMITTER_EVENT_CALL:
        admitter_call_handle_request(a, event->slot, event->request, now_us);
        return;
    case ADMITTER_EVENT_RESULT:
        admitter_call_handle_result(a, &event->result, now_us);
        free(event->result.body.bytes);
        return;
    case ADMITTER_EVENT_CANCEL:
        a->cancelled(event->slot, event->nonce,
                     admitter_call_cancel(a, event->nonce, now_us),
                     a->payload);
        return;
    case ADMITTER_EVENT_TARGET_INFO:
        admitter_target_update(a, &event->announcement, now_us);
        return;
    case ADMITTER_EVENT_OWNER_MAP:
        dedup_set_owner_map(a->record, event->map);
        free(event->map);
        return;
    }
}

/* Work that is due after any event and on each poll: expires calls,
 * dispatches queued ones and publishes the load. */
static void
admitter_run_pending(admitter_state *a, int64_t now_us)
{
    admitter_call_expire(a, now_us);
    admitter_call_dispatch_next(a, now_us);
    admitter_target_publish_load(a, now_us);
}

/* Handles an event on this thread if the lock is free, else queues it for the
 * admitter's thread.  0, or ERR_FULL if the ring is full; the event is then
 * still owned by the caller. */
static int
admitter_handle_or_enqueue(admitter_state *a, admitter_event *event)
{
    if (pthread_mutex_trylock(&a->lock) != 0) {
        return ring_push(a->events, event);
    }
    int64_t now_us = clock_now_us();
    admitter_handle(a, event, now_us);
    admitter_run_pending(a, now_us);
    pthread_mutex_unlock(&a->lock);
    return 0;
}

/* Loop of the admitter's thread. */
static void
admitter_main(void *payload)
{
    admitter_state *a = payload;
    while (!worker_stop_requested(&a->thread)) {
        admitter_event event;
        bool busy = atomic_load(&a->node->load.serving) > 0;
        bool popped =
            ring_pop(&event, a->events,
                     busy ? ADMITTER_POLL_US : ADMITTER_IDLE_POLL_US);
        pthread_mutex_lock(&a->lock);
        int64_t now_us = clock_now_us();
        admitter_update_policy(a);
        if (popped) {
            admitter_handle(a, &event, now_us);
        }
        admitter_run_pending(a, now_us);
        pthread_mutex_unlock(&a->lock);
    }
}

/* Creates the event ring and the admission, dispatch and deduplication
 * modules.  0 or ERR_NO_MEMORY.  Until a configuration is applied, admission
 * has no queue. */
static int
admitter_init_modules(admitter_state *a)
{
    svc_policy default_policy = {.admission = true, .queue_length = 0};
    dedup_options options = DEDUP_OPTIONS_INIT;
    options.self = a->node->incarnation;
    options.ids_max = (size_t)a->node->settings.record_ids_max;
    options.window_ms = a->node->settings.record_window_ms;
    options.response_bytes_max = ADMITTER_RESPONSE_BYTES_MAX;
    options.responses_bytes_max = ADMITTER_RESPONSES_BYTES_MAX;
    if (ring_new(&a->events, sizeof(admitter_event), ADMITTER_EVENTS_MAX) <
            0 ||
        admission_new(&a->admission, &default_policy) < 0 ||
        dispatch_new(&a->attempts, ADMITTER_ATTEMPTS_MAX) < 0 ||
        dedup_new(&a->record, &options) < 0) {
        return ERR_NO_MEMORY;
    }
    return 0;
}

/* Creates the admitter and starts its thread.  `cancelled` is called with the
 * outcome of each cancel request.  0, or a negative code with the reason in
 * `e`. */
int
admitter_new(admitter_state **out, node *n, admitter_cancelled_cb cancelled,
             void *payload, err *e)
{
    admitter_state *a = calloc(1, sizeof(*a));
    if (a == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "admitter");
    }
    a->node = n;
    a->cancelled = cancelled;
    a->payload = payload;
    pthread_mutex_init(&a->lock, NULL);
    int result = admitter_init_modules(a);
    if (result == 0) {
        result = worker_start(&a->thread, admitter_main, a, e);
    }
    if (result < 0) {
        admitter_free(a);
        return ERR_SET(e, result, "admitter");
    }
    *out = a;
    return 0;
}

/* Stops the thread and waits for it. */
void
admitter_stop(admitter_state *a)
{
    worker_join(&a->thread);
}

/* Frees what an unhandled event owns. */
static void
admitter_clear_event(admitter_event *event)
{
    if (event->kind == ADMITTER_EVENT_CALL) {
        msg_clear(event->request);
        free(event->request);
    }
    else if (event->kind == ADMITTER_EVENT_RESULT) {
        free(event->result.body.bytes);
    }
    else if (event->kind == ADMITTER_EVENT_OWNER_MAP) {
        free(event->map);
    }
}

/* Stops the thread and frees the admitter, with all events and calls that it
 * still holds; takes NULL. */
void
admitter_free(admitter_state *a)
{
    if (a == NULL) {
        return;
    }
    worker_join(&a->thread);
    admitter_event event;
    while (a->events != NULL && ring_pop(&event, a->events, 0)) {
        admitter_clear_event(&event);
    }
    for (int i = 0; i < NODE_PEER_CALLS_MAX; i++) {
        if (a->calls[i].request != NULL) {
            msg_clear(a->calls[i].request);
            free(a->calls[i].request);
        }
    }
    ring_free(a->events);
    admission_free(a->admission);
    dispatch_free(a->attempts);
    dedup_free(a->record);
    pthread_mutex_destroy(&a->lock);
    free(a);
}

/* Replies "not run" to a message that was not queued.  Takes ownership of the
 * request.  Only a call has a nonce and a budget to return. */
static void
admitter_reply_unqueued(node *n, int slot, msg *request, enum reason reason)
{
    msg reply = {.kind = MSG_REPLY};
    if (request->kind == MSG_CALL) {
        reply.reply.nonce = request->call.nonce;
        reply.reply.budget = request->call.budget;
    }
    reply.reply.outcome = OUTCOME_NOT_RUN;
    reply.reply.reason = reason;
    reply.reply.checksum = correlation_checksum(NULL, 0);
    counter_add_reason(reason);
    msg_clear(request);
    free(request);
    rpc_server_reply(n->call_server, slot, &reply);
}

/* Submits a call from a node, in a slot of the call server (an
 * rpc_server_cb).  Takes ownership of the request.  Other messages, and calls
 * that a full ring does not take, are answered at once. */
void
admitter_submit_call(int slot, msg *request, void *payload)
{
    node *n = payload;
    admitter_event event = {.kind = ADMITTER_EVENT_CALL, .slot = slot};
    if (request->kind != MSG_CALL) {
        admitter_reply_unqueued(n, slot, request, REASON_BAD_REQUEST);
        return;
    }
    event.request = request;
    if (admitter_handle_or_enqueue(n->admitter, &event) < 0) {
        admitter_reply_unqueued(n, slot, request, REASON_RING_FULL);
    }
}

/* Submits a cancel request from a node; the outcome is passed to the callback
 * of admitter_new().  0, or ERR_FULL if the ring is full. */
int
admitter_submit_cancel(admitter_state *a, uint64_t nonce, int slot)
{
    admitter_event event = {.kind = ADMITTER_EVENT_CANCEL, .slot = slot};
    event.nonce = nonce;
    return admitter_handle_or_enqueue(a, &event);
}

/* Submits the result of a call at the target (a target_http_cb).  A result is
 * never dropped: the thread of target_http waits until the ring accepts it. */
void
admitter_submit_result(const target_http_result *result, void *payload)
{
    node *n = payload;
    admitter_event event = {.kind = ADMITTER_EVENT_RESULT};
    event.result = *result;
    while (admitter_handle_or_enqueue(n->admitter, &event) < 0) {
        clock_sleep_us(ADMITTER_POLL_US);
    }
}

/* Submits an announcement of the local target.  Dropped if the ring is full,
 * since announcements are repeated. */
void
admitter_submit_target_info(admitter_state *a, const target_info *announcement)
{
    admitter_event event = {.kind = ADMITTER_EVENT_TARGET_INFO};
    event.announcement = *announcement;
    (void)ring_push(a->events, &event);
}

/* Submits a newer owner map from the platform; copies it.  Dropped if memory
 * or the ring is short. */
void
admitter_set_owner_map(admitter_state *a, const dedup_owner_map *map)
{
    admitter_event event = {.kind = ADMITTER_EVENT_OWNER_MAP};
    event.map = malloc(sizeof(*map));
    if (event.map == NULL) {
        return;
    }
    *event.map = *map;
    if (ring_push(a->events, &event) < 0) {
        free(event.map);
    }
}
