#include "atr.h"

#include <stdlib.h>
#include <string.h>

#include "atr_private.h"
#include "lav/correlation.h"
#include "lav/clock.h"
#include "lav/counter.h"

#define ATR_EVENTS_MAX 4096
#define ATR_TICK_US 5000         /* longest wait of the loop */
#define ATR_IDLE_TICK_US 25000   /* ... while there is no call */
#define ATR_ATTEMPTS_MAX 200000  /* remembered for DISPATCH_TTL_US */
#define ATR_ANSWER_MAX 16384     /* bytes of a kept answer */
#define ATR_ANSWERS_MAX 16777216 /* bytes of all kept answers */

/* Act by the policy of the configuration in force. */
static void
atr_follow_policy(atr *a)
{
    view_read_begin();
    const view_config *config = view_config_get(a->node->view);
    if (config->version != a->policy_version) {
        a->policy_version = config->version;
        int own =
            catalog_find_service(config->landscape, a->node->settings.service);
        if (own != CATALOG_NOT_FOUND) {
            a->policy = config->landscape->services[own]->policy;
            admission_set_policy(a->admission, &a->policy);
        }
    }
    view_read_end();
}

static void
atr_handle(atr *a, atr_event *event, int64_t now_us)
{
    switch (event->kind) {
    case ATR_EVENT_CALL:
        atr_call_arrive(a, event->slot, event->request, now_us);
        return;
    case ATR_EVENT_DELIVERED:
        atr_call_delivered(a, &event->result, now_us);
        free(event->result.body.bytes);
        return;
    case ATR_EVENT_CANCEL:
        a->cancelled(event->slot, event->nonce,
                     atr_call_cancel(a, event->nonce, now_us), a->payload);
        return;
    case ATR_EVENT_ANNOUNCE:
        atr_target_announce(a, &event->announcement, now_us);
        return;
    case ATR_EVENT_MAP:
        dedup_set_owner_map(a->record, event->map);
        free(event->map);
        return;
    }
}

/* Work that follows any event, and time. */
static void
atr_settle(atr *a, int64_t now_us)
{
    atr_call_expire(a, now_us);
    atr_call_dispatch_next(a, now_us);
    atr_target_tick(a, now_us);
}

/* Handle an event here and now, or leave it to the admitter's thread;
 * ERR_FULL, and nothing done, where that has too many. */
static int
atr_bring(atr *a, atr_event *event)
{
    if (pthread_mutex_trylock(&a->lock) != 0) {
        return ring_push(a->events, event);
    }
    int64_t now_us = clock_now_us();
    atr_handle(a, event, now_us);
    atr_settle(a, now_us);
    pthread_mutex_unlock(&a->lock);
    return 0;
}

static void
atr_main(void *payload)
{
    atr *a = payload;
    while (!duty_ended(&a->thread)) {
        atr_event event;
        bool busy = atomic_load(&a->node->load.serving) > 0;
        bool popped =
            ring_pop(&event, a->events, busy ? ATR_TICK_US : ATR_IDLE_TICK_US);
        pthread_mutex_lock(&a->lock);
        int64_t now_us = clock_now_us();
        atr_follow_policy(a);
        if (popped) {
            atr_handle(a, &event, now_us);
        }
        atr_settle(a, now_us);
        pthread_mutex_unlock(&a->lock);
    }
}

static int
atr_make_parts(atr *a)
{
    svc_policy until_configured = {.admission = true, .queue_length = 0};
    dedup_options options = DEDUP_OPTIONS_INIT;
    options.self = a->node->incarnation;
    options.ids_max = (size_t)a->node->settings.record_ids_max;
    options.window_ms = a->node->settings.record_window_ms;
    options.answer_bytes_max = ATR_ANSWER_MAX;
    options.answers_bytes_max = ATR_ANSWERS_MAX;
    if (ring_new(&a->events, sizeof(atr_event), ATR_EVENTS_MAX) < 0 ||
        admission_new(&a->admission, &until_configured) < 0 ||
        dispatch_new(&a->attempts, ATR_ATTEMPTS_MAX) < 0 ||
        dedup_new(&a->record, &options) < 0) {
        return ERR_NO_MEMORY;
    }
    return 0;
}

/* Make the admitter and start its thread; `cancelled` is told how each cancel
 * ended. */
int
atr_new(atr **out, node *n, atr_cancelled_cb cancelled, void *payload, err *e)
{
    atr *a = calloc(1, sizeof(*a));
    if (a == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "admitter");
    }
    a->node = n;
    a->cancelled = cancelled;
    a->payload = payload;
    pthread_mutex_init(&a->lock, NULL);
    int result = atr_make_parts(a);
    if (result == 0) {
        result = duty_start(&a->thread, atr_main, a, e);
    }
    if (result < 0) {
        atr_free(a);
        return ERR_SET(e, result, "admitter");
    }
    *out = a;
    return 0;
}

/* End the thread. */
void
atr_stop(atr *a)
{
    duty_join(&a->thread);
}

static void
atr_release_event(atr_event *event)
{
    if (event->kind == ATR_EVENT_CALL) {
        msg_clear(event->request);
        free(event->request);
    }
    else if (event->kind == ATR_EVENT_DELIVERED) {
        free(event->result.body.bytes);
    }
    else if (event->kind == ATR_EVENT_MAP) {
        free(event->map);
    }
}

/* Release the admitter; takes NULL. */
void
atr_free(atr *a)
{
    if (a == NULL) {
        return;
    }
    duty_join(&a->thread);
    atr_event event;
    while (a->events != NULL && ring_pop(&event, a->events, 0)) {
        atr_release_event(&event);
    }
    for (int i = 0; i < NODE_RECEIVE_MAX; i++) {
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

/* A call from another node, in a slot of the receiver (see srv_cb).  A full
 * ring refuses at once: the call was never queued. */
void
atr_arrive(int slot, msg *request, void *payload)
{
    node *n = payload;
    atr_event event = {.kind = ATR_EVENT_CALL, .slot = slot};
    event.request = request;
    if (atr_bring(n->admitter, &event) == 0) {
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
    srv_answer(n->receiver, slot, &reply);
}

/* A cancel from another node, answered through the callback; ERR_FULL
 * where the ring is full. */
int
atr_cancel(atr *a, uint64_t nonce, int slot)
{
    atr_event event = {.kind = ATR_EVENT_CANCEL, .slot = slot};
    event.nonce = nonce;
    return atr_bring(a, &event);
}

/* A call is over at the target (see dlv_cb).  Its end is never dropped: the
 * deliverer's thread waits for room in the ring. */
void
atr_delivered(const dlv_result *result, void *payload)
{
    node *n = payload;
    atr_event event = {.kind = ATR_EVENT_DELIVERED};
    event.result = *result;
    while (atr_bring(n->admitter, &event) < 0) {
        clock_sleep_us(ATR_TICK_US);
    }
}

/* The local target has announced itself. */
void
atr_announce(atr *a, const anc *announcement)
{
    atr_event event = {.kind = ATR_EVENT_ANNOUNCE};
    event.announcement = *announcement;
    (void)ring_push(a->events, &event); /* the next one comes soon */
}

/* The platform has a newer map of owners. */
void
atr_set_map(atr *a, const dedup_owner_map *map)
{
    atr_event event = {.kind = ATR_EVENT_MAP};
    event.map = malloc(sizeof(*map));
    if (event.map == NULL) {
        return;
    }
    *event.map = *map;
    if (ring_push(a->events, &event) < 0) {
        free(event.map);
    }
}
