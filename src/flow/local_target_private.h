/*
 * local_target_private: the state of the local target and of its calls, shared
 * by its sources.  Each calls only those before it: state, rate, log, load,
 * recovery, registration, call, http, local_target.
 */
#ifndef LAV_LOCAL_TARGET_PRIVATE_H
#define LAV_LOCAL_TARGET_PRIVATE_H

#include "lav/chain_level.h"
#include "lav/clock.h"
#include "lav/target_queue.h"
#include "lav/departed_targets.h"
#include "lav/dispatch.h"
#include "lav/instance_capacity.h"
#include "lav/overload.h"
#include "http_async.h"
#include "lav/orphan_calls.h"
#include "local_target.h"

/* A heartbeat is late by less than this.  A target whose heartbeats go on for
 * longer has not left. */
#define LOCAL_TARGET_LATE_HEARTBEAT_MAX_US (5 * CLOCK_US_PER_S)

/* Value of the field by which a response says that the target leaves. */
#define LOCAL_TARGET_LEAVING "1"

/* Seconds for which the store's entries are awaited. */
#define LOCAL_TARGET_ENTRIES_WAIT_S 0.5

/* Largest number of calls queued or running at the target. */
#define LOCAL_TARGET_CALLS_MAX TARGET_QUEUE_HANDLES_MAX

struct local_target {
    runtime *n;
    struct sockaddr_in address;
    char instance[INSTANCE_NAME_SIZE]; /* empty: none has registered */
    int64_t born_ms;                   /* Unix time of the target's start */
    int64_t sequence;                  /* of the last heartbeat */
    int slots;
    uint64_t generation;       /* number of target starts seen here */
    bool registered;           /* since this start of the node */
    instance_record earlier;   /* as an earlier start of the node announced
                                * it; empty instance: none known */
    instance_record candidate; /* the same, while it is being checked */
    bool earlier_known;        /* the store's entries were read */
    local_target_heartbeat unconfirmed; /* of a target that may have left
                                         * before; empty instance: none */
    int64_t unconfirmed_since_us;       /* its first heartbeat */
    ev_timer entries_wait;              /* from then on */
    int64_t node_started_ms;            /* Unix time */
    http_async_call *health_check; /* of the candidate; NULL: none pending */
    http_async_call *end_check;    /* whether it has ended; NULL: the same */
    orphan_calls
        orphans; /* calls dispatched by an earlier start of the node */
    departed_targets departed; /* targets that announced that they leave */
    bool draining;
    int64_t drain_cutoff_us; /* no calls from then on, while draining */
    bool down;               /* unreachable since the last heartbeat */
    double failure_rate;     /* of recent calls, 0 to 1 */
    double call_us;          /* mean time of recent calls in the target */
    bool responded; /* since this start of the node, and of the target */
    target_queue *queue;
    instance_capacity capacity; /* of targets that tell the host's speed */
    overload_meter overload;
    chain_level_meter chains;   /* of requests that make many calls here */
    dispatch_table *dispatches; /* of non-idempotent attempts */
    local_target_call *calls[LOCAL_TARGET_CALLS_MAX];
    int free_handles[LOCAL_TARGET_CALLS_MAX];
    int free_count;
    ev_timer expiry;                     /* runs while calls are queued */
    void (*slot_freed)(local_target *t); /* a call has left its slot */
};

struct local_target_call {
    local_target *target;
    attempt_request *r;
    const attempt_callbacks *callbacks;
    void *payload;
    uint64_t nonce;
    uint64_t generation; /* of the target that it was dispatched to */
    int handle;          /* index in local_target.calls */
    bool running;
    bool begun;               /* counted as a run in runtime.retry_shares */
    double retry_probability; /* as it was counted there */
    http_conn *c;
    bool reused_connection; /* it carried another request or response before */
    size_t sent;            /* body offset up to which bytes are queued */
    bool body_sent;         /* all of the body is queued */
    bool response_started;  /* the response head was delivered */
    bool late_response_logged;
    bool sealed;           /* the response carries the target's seal */
    size_t body_bytes;     /* of the response, so far */
    enum reason refusal;   /* by the target, or REASON_NONE */
    int status;            /* of the response */
    int64_t keep_alive_us; /* how long the connection may stay idle */
    int64_t started_us;    /* when it was dispatched */
    int beside;            /* calls that ran then, with itself */
    int host_percent;      /* the figure of its host then */
};

enum instance_state local_target_state(const local_target *t);
void local_target_announce_state(local_target *t);
int local_target_usable_slots(const local_target *t);
void local_target_update_limit(local_target *t);
void local_target_begin_drain(local_target *t);
void local_target_recover_departed(local_target *t);
void local_target_on_entries_wait(struct ev_loop *loop, ev_timer *watcher,
                                  int events);
bool local_target_may_have_left(const local_target *t,
                                const local_target_heartbeat *heartbeat);
void local_target_check_unconfirmed(local_target *t);
bool local_target_await_confirmation(local_target *t,
                                     const local_target_heartbeat *heartbeat);
void local_target_reset(local_target *t, const char *instance,
                        int64_t born_ms);
double local_target_rate_per_s(const local_target *t);
int local_target_concurrency(const local_target *t);
void local_target_update_rate(local_target *t, const http_head *head);
void local_target_update_leaving(local_target *t, const http_head *head);
void local_target_update_load(local_target *t, const http_head *head);
bool local_target_takes_mixed_work(const local_target *t);
bool local_target_limits_chains(const local_target *t);
double local_target_time_share(const local_target *t,
                               const attempt_request *r);
void local_target_count_chains(local_target *t, bool refused);
void local_target_log_level(const local_target *t);
void local_target_log_capacity(const local_target *t, int limit, int before);
void local_target_log_cancel(const local_target_call *call);
local_target_call *local_target_call_new(local_target *t, attempt_request *r,
                                         uint64_t nonce,
                                         const attempt_callbacks *callbacks,
                                         void *payload);
void local_target_call_free(local_target_call *call);
void local_target_end_run(const local_target_call *call);
int local_target_dispatch_call(local_target_call *call, enum reason *reason);
void local_target_finish_call(local_target_call *call, bool failed);
void local_target_fail_call(local_target_call *call, enum outcome outcome,
                            enum reason reason, bool reached);
void local_target_mark_down(const local_target_call *call, const char *why);

#endif
