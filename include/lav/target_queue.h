/*
 * target_queue: the queue of requests at the one node through which a target
 * is reached.  External requests were already selected by priority at the
 * node that accepted them, and refusing an internal request wastes the work
 * done for it so far.  So external and internal requests are queued alike
 * (admission), unless the target takes mixed work: then each is queued by
 * what is still possible for it, and slots are divided (mixed_queue).
 *
 * Load pattern: an overloaded deep service that external callers use as well.
 * If internal requests went first, those callers would get no service.
 *
 * The queue of a target that leaves has a closing time, from which on no
 * request is dispatched.  Requests that can't be dispatched before it are
 * refused, so that they can be sent to another target.
 */
#ifndef LAV_TARGET_QUEUE_H
#define LAV_TARGET_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/admission.h"
#include "lav/rate_limit.h"

#ifdef __cplusplus
extern "C" {
#endif

#define TARGET_QUEUE_CALLS_MAX 512 /* length of the queue */
#define TARGET_QUEUE_HANDLES_MAX 4096

/* A request waits for objective / 2 at most, which leaves time to serve it. */
#define TARGET_QUEUE_WAIT_DIVISOR 2

typedef struct target_queue_request {
    int handle;     /* chosen by the user, below TARGET_QUEUE_HANDLES_MAX */
    int rank;       /* stable for one request, 0 to ID_RANKS - 1 */
    uint32_t route; /* key of the route */
    bool internal;  /* a call of a target, for a request that was begun */
    int priority;   /* 0 is the highest */
    int64_t objective_us; /* latency objective */
    int64_t deadline_us;  /* monotonic clock; 0: none */
} target_queue_request;

typedef struct target_queue target_queue;

int target_queue_new(target_queue **out);
void target_queue_free(target_queue *queue);
void target_queue_set_mixed(target_queue *queue, bool mixed, int64_t now_us);
void target_queue_set_limit(target_queue *queue, int limit, int64_t now_us);
admission_result target_queue_decide(target_queue *queue,
                                     const target_queue_request *request,
                                     int64_t now_us);
void target_queue_close(target_queue *queue, int64_t closes_us);
void target_queue_reopen(target_queue *queue);
bool target_queue_pop(int *out, target_queue *queue, int64_t now_us);
bool target_queue_pop_expired(admission_refusal *out, target_queue *queue,
                              int64_t now_us);
bool target_queue_remove(target_queue *queue, int handle);
void target_queue_end_call(target_queue *queue, int handle, int64_t took_us,
                           int64_t now_us);
void target_queue_set_rate(target_queue *queue, double per_s, int64_t now_us);
void target_queue_clear_rate(target_queue *queue);
const rate_limit *target_queue_get_rate(const target_queue *queue);
int target_queue_get_limit(const target_queue *queue);
int target_queue_running_count(const target_queue *queue);
int target_queue_queued_count(const target_queue *queue);

#ifdef __cplusplus
}
#endif

#endif
