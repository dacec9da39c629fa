/*
 * router_private: state of the router, shared by its source files: router.c
 * (thread, timers and events), router_start.c (operation, context and budget
 * of a new call), router_attempt.c (instances and attempts) and
 * router_finish.c (responses).
 *
 * An event is handled by the thread that delivers it if no other thread holds
 * the lock, since waking the router's thread costs more than the work itself;
 * otherwise the event is queued for that thread.
 */
#ifndef LAV_NODE_ROUTER_PRIVATE_H
#define LAV_NODE_ROUTER_PRIVATE_H

#include "worker.h"
#include "endpoint.h"
#include "lav/correlation.h"
#include "lav/retry_ledger.h"
#include "lav/admission_cache.h"
#include "lav/call_outcome.h"
#include "lav/ring.h"
#include "lav/lb.h"
#include "lav/seen_request.h"
#include "rpc_client.h"
#include "router.h"

#define ROUTER_OPERATION_SIZE (2 * SVC_NAME_SIZE) /* "service.operation" */
#define ROUTER_CANDIDATES_MAX 256
#define ROUTER_CANCEL_TIMEOUT_US 60000    /* wait for the reply to a cancel */
#define ROUTER_OWNER_RETRY_DELAY_US 20000 /* before the owner is tried again */

enum router_phase {
    ROUTER_IDLE,       /* the handle is not in use */
    ROUTER_WAITING,    /* waiting for the reply to an attempt */
    ROUTER_CANCELLING, /* waiting for the reply to a cancel */
    ROUTER_BACKING_OFF /* waiting before the next attempt */
};

/* The router's state of one call; indexed by handle like pending_call. */
typedef struct router_call {
    enum router_phase phase;
    char operation[ROUTER_OPERATION_SIZE];
    id root;
    uint64_t parent; /* token of the served call it is made for, or 0 */
    int klass;
    int rank;
    int depth;
    bool idempotent;
    bool has_callees;   /* the operation calls other operations */
    bool in_seen_table; /* recorded in `seen_requests` */
    svc_policy policy;
    int64_t started_us;
    int64_t deadline_us;
    int64_t phase_timeout_us; /* end of the present phase */
    int granted;              /* retries granted by the parent's ledger */
    int budget;               /* retries left at this node */
    int delegated;            /* retries passed on with the present attempt */
    int reroutes;
    bool caller_gone;
    call_outcome outcome;
    int attempt; /* index of the present attempt in `outcome` */
    uint64_t nonce;
    uint64_t instance;  /* incarnation the present attempt was sent to */
    bool sole_instance; /* no other instance may take the call */
    int64_t sent_us;
    uint64_t owner; /* incarnation to send the next attempt to, or 0 */
    uint64_t excluded[CALL_OUTCOME_ATTEMPTS_MAX]; /* instances not to try */
    size_t excluded_count;
    enum reason reason; /* of the last failure */
} router_call;

enum router_event_kind {
    ROUTER_EVENT_CALL,
    ROUTER_EVENT_ATTEMPT_DONE, /* replied to, not sent, or lost */
    ROUTER_EVENT_CANCEL_DONE   /* a cancel was replied to, or failed */
};

typedef struct router_event {
    enum router_event_kind kind;
    int handle;
    uint64_t nonce;
    enum rpc_client_result result;
    msg *reply; /* owned by the event */
} router_event;

struct router_state {
    node *node;
    pending_table *calls;
    router_response_cb on_response;
    void *payload;
    pthread_mutex_t lock; /* held by the thread that handles calls */
    ring *events;
    worker_thread thread;
    rpc_client *attempts;
    rpc_client *cancels;
    correlation_table *correlations; /* nonce of an attempt -> handle */
    admission_cache *admission_levels;
    endpoint_table *endpoints;
    seen_request_table *seen_requests;
    retry_bucket bucket; /* limits retries to a share of successes */
    router_call *states; /* by handle */
    int *active;         /* handles of unfinished calls */
    size_t active_count;
    int64_t callers_polled_us;   /* callers' sockets last polled */
    int64_t levels_published_us; /* callee levels last published */
};

/* router_start.c */
void router_start_call(router_state *r, int handle, int64_t now_us);

/* router_select.c */
bool router_find_member(swim_member *out, router_state *r,
                        uint64_t incarnation);
bool router_select_instance(swim_member *out, enum reason *out_reason,
                            router_state *r, int handle, int64_t now_us);
bool router_is_refused_early(router_state *r, int handle, int64_t now_us);
int router_get_operation_level(router_state *r, const char *service,
                               const char *operation, bool idempotent,
                               int64_t now_us);

/* router_attempt.c */
void router_send_attempt(router_state *r, int handle, int64_t now_us);
void router_on_attempt_done(router_state *r, int handle,
                            const router_event *event, int64_t now_us);
void router_cancel_attempt(router_state *r, int handle, int64_t now_us);
void router_on_cancel_done(router_state *r, int handle,
                           const router_event *event, int64_t now_us);

/* router_finish.c */
void router_respond(router_state *r, int handle, enum reason reason,
                    msg_reply *reply, int64_t now_us);

#endif
