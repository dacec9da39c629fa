#include "lav/target_queue.h"

/* The wait is set per request; 100 ms holds where that is 0. */
static const svc_policy target_queue_policy = {.admission = true,
                                               .rank = true,
                                               .queue = SVC_QUEUE_CLASS,
                                               .queue_wait_max_ms = 100,
                                               .queue_length =
                                                   TARGET_QUEUE_CALLS_MAX};

/* Create the queue of a target that has announced no slots yet;
 * ERR_NO_MEMORY on failure. */
int
target_queue_new(admission_queue **out)
{
    return admission_new(out, &target_queue_policy);
}

/* The call to pass to admission_decide() for a request that arrives now.  All
 * requests have the same class and depth, so only the rank orders them. */
admission_call
target_queue_make_call(const target_queue_request *request, int64_t now_us)
{
    return (admission_call){.handle = request->handle,
                            .klass = SVC_CRITICAL,
                            .rank = request->rank,
                            .deadline_us = request->deadline_us,
                            .arrived_us = now_us,
                            .wait_max_us = request->objective_us /
                                           TARGET_QUEUE_WAIT_DIVISOR};
}
