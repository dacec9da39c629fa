/*
 * admitter_private: state of the admitter, shared by its source files:
 * admitter.c (thread and events), admitter_call.c (calls) and
 * admitter_target.c (liveness and draining of the local target).
 *
 * As in the router, an event is handled on the thread that submits it when
 * the lock is free; otherwise it is queued for the admitter's own thread.
 */
#ifndef LAV_NODE_ADMITTER_PRIVATE_H
#define LAV_NODE_ADMITTER_PRIVATE_H

#include "admitter.h"
#include "target_http.h"
#include "worker.h"
#include "lav/admission.h"
#include "lav/dedup.h"
#include "lav/dispatch.h"
#include "lav/ring.h"
#include "rpc_server.h"

enum admitter_phase {
    ADMITTER_FREE,
    ADMITTER_QUEUED,
    ADMITTER_DISPATCHED
};

/* One call; its handle is its slot in the call server. */
typedef struct admitter_call {
    enum admitter_phase phase;
    msg *request; /* owned */
    id request_id;
    bool idempotent;
    bool recorded; /* has an entry in the deduplication record */
    int operation; /* index in this node's service; -1: not found */
    int64_t arrived_us;
    int64_t dispatched_us;
    int64_t deadline_us;
    bool cancel_sent; /* the target was told */
} admitter_call;

typedef struct admitter_target {
    bool known; /* announced, and not marked down since */
    target_info info;
    int64_t last_heartbeat_us;
    int64_t drain_started_us; /* valid while draining */
    bool draining;
} admitter_target;

enum admitter_event_kind {
    ADMITTER_EVENT_CALL,
    ADMITTER_EVENT_RESULT,
    ADMITTER_EVENT_CANCEL,
    ADMITTER_EVENT_TARGET_INFO,
    ADMITTER_EVENT_OWNER_MAP
};

typedef struct admitter_event {
    enum admitter_event_kind kind;
    int slot;
    union {
        msg *request;              /* ADMITTER_EVENT_CALL, owned */
        target_http_result result; /* ADMITTER_EVENT_RESULT */
        uint64_t nonce;            /* ADMITTER_EVENT_CANCEL */
        target_info announcement;
        dedup_owner_map *map; /* ADMITTER_EVENT_OWNER_MAP, owned */
    };
} admitter_event;

struct admitter_state {
    node *node;
    admitter_cancelled_cb cancelled;
    void *payload;
    pthread_mutex_t lock; /* guards the calls and the modules below */
    ring *events;
    worker_thread thread;
    admission_queue *admission;
    dispatch_table *attempts;
    dedup_record *record;
    admitter_target target;
    uint64_t policy_version;
    svc_policy policy;
    /* Ids from this Unix time on belong to other nodes; 0: not draining. */
    int64_t relinquished_ms;
    admitter_call calls[NODE_PEER_CALLS_MAX];
};

/* admitter_call.c */
void admitter_call_handle_request(admitter_state *a, int slot, msg *request,
                                  int64_t now_us);
void admitter_call_handle_result(admitter_state *a, target_http_result *result,
                                 int64_t now_us);
enum dispatch_cancel admitter_call_cancel(admitter_state *a, uint64_t nonce,
                                          int64_t now_us);
void admitter_call_expire(admitter_state *a, int64_t now_us);
void admitter_call_dispatch_next(admitter_state *a, int64_t now_us);

/* admitter_target.c */
void admitter_target_update(admitter_state *a, const target_info *info,
                            int64_t now_us);
void admitter_target_publish_load(admitter_state *a, int64_t now_us);
void admitter_target_mark_down(admitter_state *a);
bool admitter_target_is_up(const admitter_state *a, int64_t now_us);
bool admitter_target_in_drain_grace(const admitter_state *a, int64_t now_us);

#endif
