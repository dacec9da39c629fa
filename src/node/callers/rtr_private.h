/*
 * rtr_private: state of the router, shared by the files it is made of:
 * rtr.c (the thread and its events), rtr_start.c (what a call is and may),
 * rtr_attempt.c (instances and attempts), rtr_finish.c (answers).
 *
 * An event is handled by the thread that brings it where nobody else works
 * on the calls, since waking the router's thread costs more than the work;
 * otherwise it goes through the ring.
 */
#ifndef LAV_NODE_RTR_PRIVATE_H
#define LAV_NODE_RTR_PRIVATE_H

#include "duty.h"
#include "ins.h"
#include "lav/correlation.h"
#include "lav/retry_ledger.h"
#include "lav/admission_cache.h"
#include "lav/call_outcome.h"
#include "lav/ring.h"
#include "lav/lb.h"
#include "lav/seen_request.h"
#include "per.h"
#include "rtr.h"

#define RTR_OPERATION_SIZE (2 * SVC_NAME_SIZE) /* "service.operation" */
#define RTR_CANDIDATES_MAX 256
#define RTR_CANCEL_WAIT_US 60000 /* for the answer to a cancel */
#define RTR_ASK_PAUSE_US 20000   /* before the owner is asked again */

enum rtr_phase {
    RTR_IDLE,       /* not a call of the router's */
    RTR_WAITING,    /* for the reply to an attempt */
    RTR_CANCELLING, /* for the answer to a cancel */
    RTR_PAUSING     /* before another attempt */
};

/* What the router knows of one call; beside the cal_call of the handle. */
typedef struct rtr_call {
    enum rtr_phase phase;
    char operation[RTR_OPERATION_SIZE];
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
    int64_t wake_us; /* when the phase times out */
    int granted;     /* extra attempts that the parent's ledger gave */
    int budget;      /* extra attempts left here */
    int lent;        /* handed over with the present attempt */
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
} rtr_call;

enum rtr_event_kind {
    RTR_EVENT_CALL,
    RTR_EVENT_ATTEMPT, /* an attempt is over */
    RTR_EVENT_CANCEL   /* a cancel is answered, or is not */
};

typedef struct rtr_event {
    enum rtr_event_kind kind;
    int handle;
    uint64_t nonce;
    enum per_result result;
    msg *reply; /* owned by the event */
} rtr_event;

struct rtr {
    node *node;
    cal *calls;
    rtr_answered_cb answered;
    void *payload;
    pthread_mutex_t lock; /* held by whoever works on the calls */
    ring *events;
    duty thread;
    per *attempts;
    per *cancels;
    correlation_table *answers;
    admission_cache *levels;
    ins *instances;
    seen_request_table *seen;
    retry_bucket bucket;
    rtr_call *states; /* by handle */
    int *active;      /* handles in the router's hands */
    size_t active_count;
    int64_t hangup_us; /* when callers were last looked after */
    int64_t levels_us; /* when levels were last published */
};

/* rtr_start.c */
void rtr_start(rtr *r, int handle, int64_t now_us);

/* rtr_attempt.c */
void rtr_try(rtr *r, int handle, int64_t now_us);
void rtr_attempt_over(rtr *r, int handle, const rtr_event *event,
                      int64_t now_us);
void rtr_cancel(rtr *r, int handle, int64_t now_us);
void rtr_cancel_over(rtr *r, int handle, const rtr_event *event,
                     int64_t now_us);
bool rtr_refused_early(rtr *r, int handle, int64_t now_us);
int rtr_operation_level(rtr *r, const char *service, const char *operation,
                        bool idempotent, int64_t now_us);

/* rtr_finish.c */
void rtr_finish(rtr *r, int handle, enum reason reason, msg_reply *reply,
                int64_t now_us);

#endif
