/*
 * local_target: the target that this node serves.  All requests to the target
 * pass through this node, so its records are complete: a request refused
 * before dispatch has not run, a draining target receives no more calls after
 * its cutoff, and never more calls run than the target has slots.
 */
#ifndef LAV_LOCAL_TARGET_H
#define LAV_LOCAL_TARGET_H

#include "attempt.h"
#include "runtime.h"

/* A registration heartbeat of the target. */
typedef struct local_target_heartbeat {
    char instance[INSTANCE_NAME_SIZE];
    int64_t born_ms;  /* Unix time of the target's start */
    int64_t sequence; /* increases with each heartbeat of one start */
    int slots;
    bool leaving;
} local_target_heartbeat;

typedef struct local_target local_target;
typedef struct local_target_call local_target_call;

int local_target_new(local_target **out, runtime *n, err *e);
void local_target_free(local_target *t);
bool local_target_register(local_target *t,
                           const local_target_heartbeat *heartbeat);
void local_target_recall_rate(local_target *t, const instance_rate *rate);
void local_target_drain(local_target *t, const char *instance);
void local_target_recover(local_target *t, const instance_record *record);
void local_target_set_earlier_known(local_target *t);
void local_target_on_config(local_target *t);
void local_target_probe_candidate(local_target *t);
void local_target_check_end(local_target *t);
int local_target_start_call(local_target_call **out, local_target *t,
                            attempt_request *r, uint64_t nonce,
                            const attempt_callbacks *callbacks, void *payload,
                            attempt_failure *refused);
void local_target_send_body(local_target_call *call);
void local_target_pause_response(local_target_call *call, bool paused);
void local_target_cancel_call(local_target_call *call);
bool local_target_call_is_queued(const local_target_call *call);
void local_target_end_calls(local_target *t);
bool local_target_revoke_attempt(local_target *t, uint64_t nonce);
instance_load_report local_target_load_report(const local_target *t);
double local_target_level(const local_target *t);
downstream_overload local_target_overload(local_target *t, uint32_t route);
void local_target_log_failure(const local_target *t, const attempt_request *r,
                              const attempt_failure *failure);
bool local_target_is_unavailable(const local_target *t);
bool local_target_is_instance(const local_target *t, const char *instance);
int64_t local_target_retry_after_us(const local_target *t);

#endif
