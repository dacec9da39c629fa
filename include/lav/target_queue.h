/*
 * dor: how requests wait at the node that is the only way to a target.
 * Those of outside callers were chosen by priority at the gate where they
 * began; from then on they are as good as the calls that running requests
 * make, which would lose what was done for them.  So all wait alike.
 *
 * Load pattern answered: an overloaded deep service that outside callers use
 * as well.  If its targets' calls go first there, those callers get nothing.
 */
#ifndef LAV_TARGET_QUEUE_H
#define LAV_TARGET_QUEUE_H

#include <stdint.h>

#include "lav/admission.h"

#ifdef __cplusplus
extern "C" {
#endif

#define TARGET_QUEUE_CALLS_MAX 512 /* calls that wait at most */
#define TARGET_QUEUE_WAIT_DIVISOR                                             \
    2 /* of the objective: time is left to serve it */

typedef struct target_queue_request {
    int handle; /* of the caller of this module, not negative */
    int rank;   /* stable for one request, 0 to ID_RANKS - 1 */
    int64_t objective_us;
    int64_t deadline_us;
} target_queue_request;

int target_queue_new(admission_queue **out);
admission_call target_queue_make_call(const target_queue_request *r,
                                      int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
