#include "lav/target_queue.h"

#include <glib.h>
#include <stdlib.h>

#include "lav/clock.h"
#include "lav/err.h"
#include "lav/mixed_queue.h"
#include "lav/work_time.h"

/* The wait is set per request; 100 ms holds where that is 0. */
static const svc_policy target_queue_policy = {.admission = true,
                                               .rank = true,
                                               .queue = SVC_QUEUE_CLASS,
                                               .queue_wait_max_ms = 100,
                                               .queue_length =
                                                   TARGET_QUEUE_CALLS_MAX};

/* Weight of one call in the moving average of run times. */
#define TARGET_QUEUE_RUN_WEIGHT 0.1

/* A call that waits or runs. */
typedef struct target_queue_call {
    target_queue_request request;
    bool mixed; /* it was queued or dispatched by the mixed queue */
    int64_t arrived_us;
    int64_t started_us;
} target_queue_call;

struct target_queue {
    bool is_mixed;
    bool switched;     /* and the queue that was in force still has calls */
    bool closing;      /* the target leaves */
    int64_t closes_us; /* if closing: nothing is dispatched from then on */
    double run_us;     /* mean time of recent calls in the target; 0: none */
    int limit;         /* calls that may run at once */
    admission_queue *admission; /* of calls that are queued alike */
    mixed_queue mixed;          /* of those that are not */
    rate_limit rate;            /* the same in the admission queue */
    work_time_table times;      /* of the routes, while work is mixed */
    target_queue_call calls[TARGET_QUEUE_HANDLES_MAX]; /* by handle */
};

/* Creates the queue of a target that has announced no slots yet;
 * ERR_NO_MEMORY on failure. */
int
target_queue_new(target_queue **out)
{
    target_queue *queue = calloc(1, sizeof(*queue));
    if (queue == NULL) {
        return ERR_NO_MEMORY;
    }
    if (admission_new(&queue->admission, &target_queue_policy) < 0) {
        free(queue);
        return ERR_NO_MEMORY;
    }
    *out = queue;
    return 0;
}

/* Frees the queue; accepts NULL. */
void
target_queue_free(target_queue *queue)
{
    if (queue != NULL) {
        admission_free(queue->admission);
        free(queue);
    }
}

/* Whether the queue that is not in force still has calls. */
static bool
target_queue_has_others(const target_queue *queue)
{
    if (queue->is_mixed) {
        return admission_in_flight_count(queue->admission) +
                   admission_queued_count(queue->admission) >
               0;
    }
    return mixed_queue_running_count(&queue->mixed) +
               mixed_queue_queued_count(&queue->mixed) >
           0;
}

/* Gives each of the two queues the slots that the other one doesn't occupy. */
static void
target_queue_divide_limit(target_queue *queue, int64_t now_us)
{
    int plain = queue->limit - mixed_queue_running_count(&queue->mixed);
    int mixed = queue->limit - admission_in_flight_count(queue->admission);
    admission_set_slots(queue->admission, MAX(plain, 0), false, now_us);
    queue->mixed.limit = MAX(mixed, 0);
}

/* Divides the slots anew while both queues have calls, after a switch. */
static void
target_queue_update(target_queue *queue, int64_t now_us)
{
    if (queue->switched) {
        target_queue_divide_limit(queue, now_us);
        queue->switched = target_queue_has_others(queue);
    }
}

/* Sets how many calls may run at once. */
void
target_queue_set_limit(target_queue *queue, int limit, int64_t now_us)
{
    queue->limit = limit;
    target_queue_divide_limit(queue, now_us);
}

/* Sets whether the target takes mixed work.  Calls that wait or run go on as
 * they began. */
void
target_queue_set_mixed(target_queue *queue, bool mixed, int64_t now_us)
{
    if (mixed != queue->is_mixed) {
        queue->is_mixed = mixed;
        queue->switched = true;
        target_queue_update(queue, now_us);
    }
}

/* Sets the time, on the monotonic clock, from which on no request is
 * dispatched. */
void
target_queue_close(target_queue *queue, int64_t closes_us)
{
    queue->closing = true;
    queue->closes_us = closes_us;
}

/* Removes the closing time: requests go to another start of the target. */
void
target_queue_reopen(target_queue *queue)
{
    queue->closing = false;
}

/* Whether requests are no longer dispatched. */
static bool
target_queue_is_closed(const target_queue *queue, int64_t now_us)
{
    return queue->closing && now_us >= queue->closes_us;
}

/* Whether more requests wait than are likely to be dispatched before the
 * queue closes. */
static bool
target_queue_has_excess(const target_queue *queue, int64_t now_us)
{
    if (!queue->closing) {
        return false;
    }
    if (target_queue_is_closed(queue, now_us)) {
        return true;
    }
    double starts = (double)(queue->closes_us - now_us) * queue->limit;
    return target_queue_queued_count(queue) * queue->run_us > starts;
}

/* Removes the request to be served last, after a switch one of the earlier
 * queue; false if none waits. */
static bool
target_queue_pop_last(int *out, target_queue *queue)
{
    return queue->is_mixed ? admission_pop_last(out, queue->admission) ||
                                 mixed_queue_pop_last(out, &queue->mixed)
                           : mixed_queue_pop_last(out, &queue->mixed) ||
                                 admission_pop_last(out, queue->admission);
}

/* Returns the call to pass to admission_decide().  All requests have the same
 * class and depth, so only the rank orders them. */
static admission_call
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

/* Returns the kind of a request in the mixed queue. */
static enum mixed_queue_kind
target_queue_kind(const target_queue_request *request)
{
    return request->internal ? MIXED_QUEUE_INTERNAL : MIXED_QUEUE_EXTERNAL;
}

/* Returns the call for the mixed queue. */
static mixed_queue_call
target_queue_make_mixed_call(const target_queue *queue,
                             const target_queue_call *call, int64_t now_us)
{
    const target_queue_request *request = &call->request;
    return (mixed_queue_call){.handle = request->handle,
                              .kind = target_queue_kind(request),
                              .priority = request->priority,
                              .work_us = work_time_expected_us(
                                  &queue->times, request->route, now_us),
                              .objective_us = request->objective_us,
                              .deadline_us = request->deadline_us,
                              .arrived_us = call->arrived_us};
}

/* Returns the time until the rate limit lets a request pass that arrives now,
 * behind those that wait. */
static int64_t
target_queue_rate_wait_us(target_queue *queue, int64_t now_us)
{
    if (rate_limit_is_open(&queue->rate, now_us)) {
        return 0;
    }
    double ahead = mixed_queue_queued_count(&queue->mixed) + 1;
    return (int64_t)((ahead - queue->rate.tokens) / queue->rate.per_s *
                     CLOCK_US_PER_S);
}

/* Dispatches, queues or refuses a request that has just arrived. */
admission_result
target_queue_decide(target_queue *queue, const target_queue_request *request,
                    int64_t now_us)
{
    target_queue_call *call = &queue->calls[request->handle];
    admission_result result;
    *call = (target_queue_call){*request, queue->is_mixed, now_us, now_us};
    target_queue_update(queue, now_us);
    if (target_queue_is_closed(queue, now_us)) {
        return (admission_result){ADMISSION_REFUSED, REASON_DRAINING,
                                  ADMISSION_NONE};
    }
    if (queue->is_mixed) {
        mixed_queue_call mixed =
            target_queue_make_mixed_call(queue, call, now_us);
        result = mixed_queue_decide(&queue->mixed, &mixed,
                                    target_queue_rate_wait_us(queue, now_us),
                                    now_us);
        if (result.decision == ADMISSION_DISPATCHED) {
            rate_limit_take(&queue->rate, now_us);
        }
        return result;
    }
    admission_call plain = target_queue_make_call(request, now_us);
    return admission_decide(queue->admission, &plain, now_us);
}

/* Removes the next request and gives it a free slot; false if none waits or
 * may start, or if the queue is closed. */
bool
target_queue_pop(int *out, target_queue *queue, int64_t now_us)
{
    bool found = false;
    target_queue_update(queue, now_us);
    if (target_queue_is_closed(queue, now_us)) {
        return false;
    }
    if (queue->is_mixed || queue->switched) {
        found = rate_limit_is_open(&queue->rate, now_us) &&
                mixed_queue_pop(out, &queue->mixed, now_us);
    }
    if (found) {
        rate_limit_take(&queue->rate, now_us);
    }
    else if (!queue->is_mixed || queue->switched) {
        found = admission_pop(out, queue->admission, now_us);
    }
    if (found) {
        queue->calls[*out].started_us = now_us;
    }
    return found;
}

/* Removes one request that has waited too long, can no longer end in time, or
 * can't be expected to be dispatched before the queue closes
 * (REASON_DRAINING); false if there is none. */
bool
target_queue_pop_expired(admission_refusal *out, target_queue *queue,
                         int64_t now_us)
{
    if (target_queue_has_excess(queue, now_us) &&
        target_queue_pop_last(&out->handle, queue)) {
        out->reason = REASON_DRAINING;
        return true;
    }
    if ((queue->is_mixed || queue->switched) &&
        mixed_queue_pop_expired(out, &queue->mixed, now_us)) {
        return true;
    }
    return (!queue->is_mixed || queue->switched) &&
           admission_pop_expired(out, queue->admission, now_us);
}

/* Removes a request from the queue; false if it is not queued. */
bool
target_queue_remove(target_queue *queue, int handle)
{
    return queue->calls[handle].mixed
               ? mixed_queue_remove(&queue->mixed, handle)
               : admission_remove(queue->admission, handle);
}

/* Releases the slot of a request that is over.  `took_us`: its time in the
 * target; negative if it was cut off or failed. */
void
target_queue_end_call(target_queue *queue, int handle, int64_t took_us,
                      int64_t now_us)
{
    const target_queue_call *call = &queue->calls[handle];
    if (took_us > 0) {
        queue->run_us +=
            queue->run_us == 0
                ? (double)took_us
                : ((double)took_us - queue->run_us) * TARGET_QUEUE_RUN_WEIGHT;
    }
    if (!call->mixed) {
        admission_release_slot(queue->admission, took_us, now_us);
        return;
    }
    mixed_queue_end_call(&queue->mixed, target_queue_kind(&call->request));
    if (took_us > 0) {
        work_time_add(&queue->times, call->request.route, took_us, now_us);
    }
    else if (took_us < 0) {
        work_time_add_cut(&queue->times, call->request.route,
                          now_us - call->started_us, now_us);
    }
}

/* Sets the rate at which requests are dispatched, in requests a second. */
void
target_queue_set_rate(target_queue *queue, double per_s, int64_t now_us)
{
    rate_limit_set(&queue->rate, per_s, now_us);
    admission_set_rate(queue->admission, per_s, now_us);
}

/* Dispatches requests at any rate. */
void
target_queue_clear_rate(target_queue *queue)
{
    rate_limit_clear(&queue->rate);
    admission_clear_rate(queue->admission);
}

/* Returns the rate limit, which may not be set. */
const rate_limit *
target_queue_get_rate(const target_queue *queue)
{
    return &queue->rate;
}

/* Returns how many requests may run at once. */
int
target_queue_get_limit(const target_queue *queue)
{
    return queue->limit;
}

/* Returns the number of requests at the target. */
int
target_queue_running_count(const target_queue *queue)
{
    return admission_in_flight_count(queue->admission) +
           mixed_queue_running_count(&queue->mixed);
}

/* Returns the number of requests that wait. */
int
target_queue_queued_count(const target_queue *queue)
{
    return admission_queued_count(queue->admission) +
           mixed_queue_queued_count(&queue->mixed);
}
