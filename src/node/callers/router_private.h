/*
 * router_private: state of the router, shared by the files it is made of:
 * router_state.c (the thread and its events), router_start_call.c (what a call is and may),
 * router_attempt.c (instances and attempts), router_answer_call.c (answers).
 *
 * An event is handled by the thread that brings it where nobody else works
 * on the calls, since waking the router's thread costs more than the work;
 * otherwise it goes through the ring.
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
#define ROUTER_CANCEL_TIMEOUT_US 60000    /* for the answer to a cancel */
#define ROUTER_OWNER_RETRY_DELAY_US 20000 /* before the owner is asked again */

enum router_phase {
    ROUTER_IDLE,       /* not a call of the router's */
    ROUTER_WAITING,    /* for the reply to an attempt */
    ROUTER_CANCELLING, /* for the answer to a cancel */
    ROUTER_BACKING_OFF /* before another attempt */
};

/* What the router knows of one call; beside the pending_call of the handle. */
typedef struct router_call {
    enum router_phase phase;
    char operation[ROUTER_OPERATION_SIZE];
    id root;
    uint64_t parent; /* token of the call that the target serves, or 0 */
    int klass;
    int rank;
    int depth;
    bool idempotent;
    bool has_callees; /* the operation calls others */
    bool remembered;  /* in the memory of callers' requests */
    svc_policy policy;
    int64_t started_us;
    int64_t deadline_us;
    int64_t phase_timeout_us; /* when the phase times out */
    int granted; /* extra attempts that the parent's ledger gave */
    int budget;  /* extra attempts left here */
    int lent;    /* handed over with the present attempt */
    int reroutes;
    bool caller_gone;
    call_outcome truth;
    int attempt; /* index of the present one */
    uint64_t nonce;
    uint64_t instance; /* incarnation that the present attempt went to */
    int64_t sent_us;
    uint64_t owner;                            /* to be tried next, or 0 */
    uint64_t tried[CALL_OUTCOME_ATTEMPTS_MAX]; /* instances passed over */
    size_t tried_count;
    enum reason reason; /* of the last failure */
} router_call;

enum router_event_kind {
    ROUTER_EVENT_CALL,
    ROUTER_EVENT_ATTEMPT_DONE, /* an attempt is over */
    ROUTER_EVENT_CANCEL_DONE   /* a cancel is answered, or is not */
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
    router_answered_cb answered;
    void *payload;
    pthread_mutex_t lock; /* held by whoever works on the calls */
    ring *events;
    worker_thread thread;
    rpc_client *attempts;
    rpc_client *cancels;
    correlation_table *answers;
    admission_cache *levels;
    endpoint_table *instances;
    seen_request_table *seen;
    retry_bucket bucket;
    router_call *states; /* by handle */
    int *active;         /* handles in the router's hands */
    size_t active_count;
    int64_t callers_polled_us;   /* when callers were last looked after */
    int64_t levels_published_us; /* when levels were last published */
};

/* router_start_call.c */
void router_start_call(router_state *r, int handle, int64_t now_us);

/* router_attempt.c */
void router_send_attempt(router_state *r, int handle, int64_t now_us);
void router_on_attempt_done(router_state *r, int handle,
                            const router_event *event, int64_t now_us);
void router_cancel_attempt(router_state *r, int handle, int64_t now_us);
void router_on_cancel_done(router_state *r, int handle,
                           const router_event *event, int64_t now_us);
bool router_is_refused_early(router_state *r, int handle, int64_t now_us);
int router_get_operation_level(router_state *r, const char *service,
                               const char *operation, bool idempotent,
                               int64_t now_us);

/* router_answer_call.c */
void router_answer_call(router_state *r, int handle, enum reason reason,
                        msg_reply *reply, int64_t now_us);

#endif
