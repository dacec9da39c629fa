/*
 * atr_private: state of the admitter, shared by the files it is made of:
 * atr.c (the thread and its events), atr_call.c (calls), atr_target.c (the
 * local target and its leaving).
 *
 * As with the router, an event is handled by the thread that brings it where
 * nobody else works on the calls.
 */
#ifndef LAV_NODE_ATR_PRIVATE_H
#define LAV_NODE_ATR_PRIVATE_H

#include "atr.h"
#include "dlv.h"
#include "duty.h"
#include "lav/admission.h"
#include "lav/dedup.h"
#include "lav/dispatch.h"
#include "lav/ring.h"
#include "srv.h"

enum atr_phase {
    ATR_FREE,
    ATR_QUEUED,
    ATR_AT_TARGET
};

/* One call; its handle is its slot at the receiver. */
typedef struct atr_call {
    enum atr_phase phase;
    msg *request; /* owned */
    id request_id;
    bool idempotent;
    bool recorded; /* in the record of at-most-once execution */
    int operation; /* index in the own service's file */
    int64_t arrived_us;
    int64_t dispatched_us;
    int64_t deadline_us;
    bool cancel_told;
} atr_call;

typedef struct atr_target {
    bool known;
    anc said;
    int64_t heard_us;
    int64_t drain_since_us; /* with draining */
    bool draining;
} atr_target;

enum atr_event_kind {
    ATR_EVENT_CALL,
    ATR_EVENT_DELIVERED,
    ATR_EVENT_CANCEL,
    ATR_EVENT_ANNOUNCE,
    ATR_EVENT_MAP
};

typedef struct atr_event {
    enum atr_event_kind kind;
    int slot;
    union {
        msg *request;      /* ATR_EVENT_CALL, owned */
        dlv_result result; /* ATR_EVENT_DELIVERED */
        uint64_t nonce;    /* ATR_EVENT_CANCEL */
        anc announcement;
        dedup_owner_map *map; /* ATR_EVENT_MAP, owned */
    };
} atr_event;

struct atr {
    node *node;
    atr_cancelled_cb cancelled;
    void *payload;
    pthread_mutex_t lock; /* held by whoever works on the calls */
    ring *events;
    duty thread;
    admission_queue *admission;
    dispatch_table *attempts;
    dedup_record *record;
    atr_target target;
    uint64_t policy_version;
    svc_policy policy;
    int64_t relinquished_ms; /* 0: not leaving */
    atr_call calls[NODE_RECEIVE_MAX];
};

/* atr_call.c */
void atr_call_arrive(atr *a, int slot, msg *request, int64_t now_us);
void atr_call_delivered(atr *a, dlv_result *result, int64_t now_us);
enum dispatch_cancel atr_call_cancel(atr *a, uint64_t nonce, int64_t now_us);
void atr_call_expire(atr *a, int64_t now_us);
void atr_call_dispatch_next(atr *a, int64_t now_us);

/* atr_target.c */
void atr_target_announce(atr *a, const anc *said, int64_t now_us);
void atr_target_tick(atr *a, int64_t now_us);
void atr_target_failed(atr *a);
bool atr_target_ready(const atr *a, int64_t now_us);
bool atr_target_lingers(const atr *a, int64_t now_us);

#endif
