#ifndef LAV_LOCAL_TARGET_PRIVATE_H
#define LAV_LOCAL_TARGET_PRIVATE_H

#include "lav/admission.h"
#include "lav/target_queue.h"
#include "lav/departed_targets.h"
#include "lav/dispatch.h"
#include "lav/overload.h"
#include "http_async.h"
#include "lav/orphan_calls.h"
#include "local_target.h"

#define LOCAL_TARGET_CALLS_MAX                                                \
    4096 /* calls waiting and running at one target */

struct local_target {
    runtime *n;
    struct sockaddr_in at;
    char instance[INSTANCE_NAME_SIZE]; /* empty: none has registered */
    int64_t born_ms;
    int64_t sequence;
    int slots;
    uint64_t start; /* counts the starts of targets here */
    bool heard;     /* it has registered with this start of the node */
    instance_record candidate; /* may still be here; no instance: none */
    http_async_call *question; /* to it; NULL: none */
    orphan_calls
        earlier_start_calls; /* calls of an earlier start of the node */
    departed_targets
        departed; /* targets here that have said that they leave */
    bool leaving;
    int64_t drain_cutoff_us; /* no new work from then on, while it leaves */
    bool down;       /* could not be reached since it last registered */
    double failures; /* of recent calls, 0 to 1 */
    double call_us;  /* mean time of recent calls in the target */
    admission_queue *admission;
    overload_meter overload;
    dispatch_table *record; /* of the attempts that must not run twice */
    local_target_call *calls[LOCAL_TARGET_CALLS_MAX];
    int free_handles[LOCAL_TARGET_CALLS_MAX];
    int free_count;
    ev_timer expiry; /* runs while calls wait */
};

struct local_target_call {
    local_target *d;
    attempt_request *r;
    const attempt_callbacks *sink;
    void *payload;
    uint64_t nonce;
    uint64_t start; /* of the target that it was dispatched to */
    int handle;
    bool running;
    http_conn *c;
    bool reused_connection; /* it has carried another request before */
    size_t sent;
    bool ended;          /* all of the body is queued */
    bool answered;       /* the answer's head was handed over */
    enum reason refusal; /* the target's, or REASON_NONE */
    int status;          /* of the answer */
    int64_t keep_us;     /* the connection may stay open so long */
    int64_t started_us;
};

enum instance_state local_target_state(const local_target *d);
void local_target_announce_state(local_target *d);
void local_target_update_limit(local_target *d);
void local_target_reset(local_target *d, const char *instance,
                        int64_t born_ms);
void local_target_update_load(local_target *d, const http_head *head);
void local_target_log_cancel(const local_target_call *call);
int local_target_dispatch_call(local_target_call *call, enum reason *reason);
void local_target_finish_call(local_target_call *call, bool failed);
void local_target_fail_call(local_target_call *call, enum outcome outcome,
                            enum reason reason, bool reached);
void local_target_mark_down(const local_target_call *call, const char *why);

#endif
