#include "lav/target_queue.h"

static const svc_policy target_queue_policy = {.admission = true,
                                               .rank = true,
                                               .queue = SVC_QUEUE_CLASS,
                                               .queue_wait_max_ms = 100,
                                               .queue_length =
                                                   TARGET_QUEUE_CALLS_MAX};

/* Make the admission of a target that has announced no slots yet. */
int
target_queue_new(admission_queue **out)
{
    return admission_new(out, &target_queue_policy);
}

/* A request as the admission takes it. */
admission_call
target_queue_make_call(const target_queue_request *r, int64_t now_us)
{
    return (admission_call){.handle = r->handle,
                            .klass = SVC_CRITICAL,
                            .rank = r->rank,
                            .deadline_us = r->deadline_us,
                            .arrived_us = now_us,
                            .wait_max_us =
                                r->objective_us / TARGET_QUEUE_WAIT_DIVISOR};
}
