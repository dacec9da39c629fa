/*
 * local_target: the target beside this node.  The node is the only way to it, so the
 * record here of what runs there is complete: a refusal that was not
 * dispatched has not run, a leaving target gets nothing more, and it never
 * gets more calls than it has slots.
 */
#ifndef LAV_LOCAL_TARGET_H
#define LAV_LOCAL_TARGET_H

#include "attempt.h"
#include "runtime.h"

/* What the target says of itself when it registers. */
typedef struct local_target_heartbeat {
    char instance[INSTANCE_NAME_SIZE];
    int64_t born_ms;  /* Unix time of its start */
    int64_t sequence; /* rises with each beat of one start */
    int slots;
    bool leaving;
} local_target_heartbeat;

typedef struct local_target local_target;
typedef struct local_target_call local_target_call;

int local_target_new(local_target **out, runtime *n, err *e);
void local_target_free(local_target *d);
bool local_target_register(local_target *d,
                           const local_target_heartbeat *beat);
void local_target_drain(local_target *d, const char *instance);
void local_target_recover(local_target *d, const instance_record *record);
void local_target_probe_candidate(local_target *d);
int local_target_start_call(local_target_call **out, local_target *d,
                            attempt_request *r, uint64_t nonce,
                            const attempt_callbacks *sink, void *payload,
                            attempt_failure *refused);
void local_target_send_body(local_target_call *call);
void local_target_pause_response(local_target_call *call, bool paused);
void local_target_cancel_call(local_target_call *call);
bool local_target_revoke_attempt(local_target *d, uint64_t nonce);
instance_load_report local_target_load_report(const local_target *d);
downstream_overload local_target_overload(local_target *d, uint32_t route);
void local_target_log_failure(const local_target *d, const attempt_request *r,
                              const attempt_failure *failure);
bool local_target_is_unavailable(const local_target *d);
bool local_target_is_instance(const local_target *d, const char *instance);
int64_t local_target_retry_after_us(const local_target *d);

#endif
