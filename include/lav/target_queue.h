/*
 * target_queue: the admission queue of requests at the one node through which
 * a target is reached.  External requests were already selected by priority
 * at the node that accepted them, and refusing an internal request wastes the
 * work done for it so far.  So external and internal requests are queued
 * alike.
 *
 * Load pattern: an overloaded deep service that external callers use as well.
 * If internal requests went first, those callers would get no service.
 */
#ifndef LAV_TARGET_QUEUE_H
#define LAV_TARGET_QUEUE_H

#include <stdint.h>

#include "lav/admission.h"

#ifdef __cplusplus
extern "C" {
#endif

#define TARGET_QUEUE_CALLS_MAX 512 /* length of the queue */

/* A request waits for objective / 2 at most, which leaves time to serve it. */
#define TARGET_QUEUE_WAIT_DIVISOR 2

typedef struct target_queue_request {
    int handle;           /* chosen by the user of this module, not negative */
    int rank;             /* stable for one request, 0 to ID_RANKS - 1 */
    int64_t objective_us; /* latency objective */
    int64_t deadline_us;  /* monotonic clock; 0: none */
} target_queue_request;

int target_queue_new(admission_queue **out);
admission_call target_queue_make_call(const target_queue_request *request,
                                      int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
