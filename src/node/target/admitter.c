#include "admitter.h"

#include <stdlib.h>
#include <string.h>

#include "admitter_private.h"
#include "lav/correlation.h"
#include "lav/clock.h"
#include "lav/counter.h"

#define ADMITTER_EVENTS_MAX 4096
#define ADMITTER_TICK_US 5000         /* longest wait of the loop */
#define ADMITTER_IDLE_TICK_US 25000   /* ... while there is no call */
#define ADMITTER_ATTEMPTS_MAX 200000  /* remembered for DISPATCH_TTL_US */
#define ADMITTER_ANSWER_MAX 16384     /* bytes of a kept answer */
#define ADMITTER_ANSWERS_MAX 16777216 /* bytes of all kept answers */

/* Act by the policy of the configuration in force. */
static void
admitter_follow_policy(admitter_state *a)
{
    snapshot_read_lock();
    const snapshot_config *config = snapshot_get_config(a->node->snapshot);
    if (config->version != a->policy_version) {
        a->policy_version = config->version;
        int own =
            catalog_find_service(config->landscape, a->node->settings.service);
        if (own != CATALOG_NOT_FOUND) {
            a->policy = config->landscape->services[own]->policy;
            admission_set_policy(a->admission, &a->policy);
        }
    }
    snapshot_read_unlock();
}

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

/* Work that follows any event, and time. */
static void
admitter_settle(admitter_state *a, int64_t now_us)
{
    admitter_call_expire(a, now_us);
    admitter_call_dispatch_next(a, now_us);
    admitter_target_publish_load(a, now_us);
}

/* Handle an event here and now, or leave it to the admitter's thread;
 * ERR_FULL, and nothing done, where that has too many. */
static int
admitter_bring(admitter_state *a, admitter_event *event)
{
    if (pthread_mutex_trylock(&a->lock) != 0) {
        return ring_push(a->events, event);
    }
    int64_t now_us = clock_now_us();
    admitter_handle(a, event, now_us);
    admitter_settle(a, now_us);
    pthread_mutex_unlock(&a->lock);
    return 0;
}

static void
admitter_main(void *payload)
{
    admitter_state *a = payload;
    while (!worker_stop_requested(&a->thread)) {
        admitter_event event;
        bool busy = atomic_load(&a->node->load.serving) > 0;
        bool popped =
            ring_pop(&event, a->events,
                     busy ? ADMITTER_TICK_US : ADMITTER_IDLE_TICK_US);
        pthread_mutex_lock(&a->lock);
        int64_t now_us = clock_now_us();
        admitter_follow_policy(a);
        if (popped) {
            admitter_handle(a, &event, now_us);
        }
        admitter_settle(a, now_us);
        pthread_mutex_unlock(&a->lock);
    }
}

static int
admitter_make_parts(admitter_state *a)
{
    svc_policy until_configured = {.admission = true, .queue_length = 0};
    dedup_options options = DEDUP_OPTIONS_INIT;
    options.self = a->node->incarnation;
    options.ids_max = (size_t)a->node->settings.record_ids_max;
    options.window_ms = a->node->settings.record_window_ms;
    options.answer_bytes_max = ADMITTER_ANSWER_MAX;
    options.answers_bytes_max = ADMITTER_ANSWERS_MAX;
    if (ring_new(&a->events, sizeof(admitter_event), ADMITTER_EVENTS_MAX) <
            0 ||
        admission_new(&a->admission, &until_configured) < 0 ||
        dispatch_new(&a->attempts, ADMITTER_ATTEMPTS_MAX) < 0 ||
        dedup_new(&a->record, &options) < 0) {
        return ERR_NO_MEMORY;
    }
    return 0;
}

/* Make the admitter and start its thread; `cancelled` is told how each cancel
 * ended. */
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
    int result = admitter_make_parts(a);
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

/* End the thread. */
void
admitter_stop(admitter_state *a)
{
    worker_join(&a->thread);
}

static void
admitter_release_event(admitter_event *event)
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

/* Release the admitter; takes NULL. */
void
admitter_free(admitter_state *a)
{
    if (a == NULL) {
        return;
    }
    worker_join(&a->thread);
    admitter_event event;
    while (a->events != NULL && ring_pop(&event, a->events, 0)) {
        admitter_release_event(&event);
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

/* A call from another node, in a slot of the receiver (see rpc_server_cb).  A full
 * ring refuses at once: the call was never queued. */
void
admitter_submit_call(int slot, msg *request, void *payload)
{
    node *n = payload;
    admitter_event event = {.kind = ADMITTER_EVENT_CALL, .slot = slot};
    event.request = request;
    if (admitter_bring(n->admitter, &event) == 0) {
        return;
    }
    msg reply = {.kind = MSG_REPLY};
    reply.reply.nonce = request->call.nonce;
    reply.reply.outcome = OUTCOME_NOT_RUN;
    reply.reply.reason = REASON_RING_FULL;
    reply.reply.budget = request->call.budget;
    reply.reply.checksum = correlation_checksum(NULL, 0);
    counter_add_reason(REASON_RING_FULL);
    msg_clear(request);
    free(request);
    rpc_server_reply(n->receiver, slot, &reply);
}

/* A cancel from another node, answered through the callback; ERR_FULL
 * where the ring is full. */
int
admitter_submit_cancel(admitter_state *a, uint64_t nonce, int slot)
{
    admitter_event event = {.kind = ADMITTER_EVENT_CANCEL, .slot = slot};
    event.nonce = nonce;
    return admitter_bring(a, &event);
}

/* A call is over at the target (see target_http_cb).  Its end is never dropped: the
 * target_pool's thread waits for room in the ring. */
void
admitter_submit_result(const target_http_result *result, void *payload)
{
    node *n = payload;
    admitter_event event = {.kind = ADMITTER_EVENT_RESULT};
    event.result = *result;
    while (admitter_bring(n->admitter, &event) < 0) {
        clock_sleep_us(ADMITTER_TICK_US);
    }
}

/* The local target has announced itself. */
void
admitter_submit_target_info(admitter_state *a, const target_info *announcement)
{
    admitter_event event = {.kind = ADMITTER_EVENT_TARGET_INFO};
    event.announcement = *announcement;
    (void)ring_push(a->events, &event); /* the next one comes soon */
}

/* The platform has a newer map of owners. */
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
