#include "lav/admission.h"

#include <stdlib.h>

#include "admission_level.h"
#include "admission_limit.h"
#include "lav/clock.h"
#include "lav/err.h"

struct admission_queue {
    svc_policy policy;
    admission_limit limit;
    admission_level_state level;
    rate_limit rate;
    int in_flight;
    int queued;
    admission_call calls[ADMISSION_QUEUE_CALLS_MAX]; /* unordered */
    double min_self_time_us; /* shortest seen, drifting upwards */
    int64_t shed_until_us[SVC_CLASS_COUNT]; /* refuse the class until then */
};

/* Part of its longest wait that a call may be expected to wait for the rate
 * limit: those who are refused have to learn it early. */
#define ADMISSION_RATE_WAIT_DIVISOR 4

/* Growth of the shortest self time per finished call, so that an old minimum
 * expires. */
#define ADMISSION_MIN_TIME_DRIFT 1.001

/* How long classes below a refused call are shed: 100 ms. */
#define ADMISSION_SHED_US 100000

/* Create the admission queue of a target that has announced no slots yet;
 * ERR_NO_MEMORY on failure. */
int
admission_new(admission_queue **out, const svc_policy *policy)
{
    admission_queue *queue = calloc(1, sizeof(*queue));
    if (queue == NULL) {
        return ERR_NO_MEMORY;
    }
    admission_level_init(&queue->level);
    admission_set_policy(queue, policy);
    *out = queue;
    return 0;
}

/* Free the queue; accepts NULL. */
void
admission_free(admission_queue *queue)
{
    free(queue);
}

/* Replace the policy; calls that are already queued stay queued. */
void
admission_set_policy(admission_queue *queue, const svc_policy *policy)
{
    queue->policy = *policy;
    queue->limit.adaptive = policy->adaptive_limit;
}

/* Set the slots that the target announced.  `cold`: it has just started, so
 * the limit ramps up from a low value if the policy says so. */
void
admission_set_slots(admission_queue *queue, int slots, bool cold,
                    int64_t now_us)
{
    admission_limit_set_slots(&queue->limit, slots, cold && queue->policy.ramp,
                              now_us);
}

/* Priority of a call: 0 is shed last, ADMISSION_LEVEL_MAX - 1 first. */
int
admission_priority(int klass, int rank)
{
    return klass * ID_RANKS + rank;
}

/* Priority of a call under the policy, which may ignore ranks. */
static int
admission_call_priority(const admission_queue *queue,
                        const admission_call *call)
{
    return admission_priority(call->klass,
                              queue->policy.rank ? call->rank : 0);
}

/* Whether the policy serves `x` before `y`. */
static bool
admission_is_served_before(const admission_queue *queue,
                           const admission_call *x, const admission_call *y)
{
    if (queue->policy.queue == SVC_QUEUE_FIFO) {
        return x->arrived_us < y->arrived_us;
    }
    if (x->klass != y->klass) {
        return x->klass < y->klass;
    }
    if (queue->policy.queue == SVC_QUEUE_LIFO) {
        return x->arrived_us > y->arrived_us;
    }
    if (x->depth != y->depth) {
        return x->depth > y->depth;
    }
    if (queue->policy.rank && x->rank != y->rank) {
        return x->rank < y->rank;
    }
    return x->arrived_us < y->arrived_us;
}

/* Index of the queued call to serve first (`last`: to serve last), or
 * ADMISSION_NONE if the queue is empty. */
static int
admission_find_extreme(const admission_queue *queue, bool last)
{
    int found = ADMISSION_NONE;
    for (int i = 0; i < queue->queued; i++) {
        if (found == ADMISSION_NONE ||
            admission_is_served_before(queue, &queue->calls[i],
                                       &queue->calls[found]) != last) {
            found = i;
        }
    }
    return found;
}

/* Remove and return the queued call at an index. */
static admission_call
admission_take_at(admission_queue *queue, int index)
{
    admission_call call = queue->calls[index];
    queue->calls[index] = queue->calls[--queue->queued];
    return call;
}

/* Result of a refusal. */
static admission_result
admission_refuse(enum reason reason)
{
    return (admission_result){ADMISSION_REFUSED, reason, ADMISSION_NONE};
}

/* Whether the call could not finish before its deadline even if it took only
 * the shortest self time seen. */
static bool
admission_misses_deadline(const admission_queue *queue,
                          const admission_call *call, int64_t now_us)
{
    if (call->deadline_us == 0 || !queue->policy.deadline_drop) {
        return false;
    }
    return now_us + (int64_t)queue->min_self_time_us >= call->deadline_us;
}

/* Shed the classes below `klass` for ADMISSION_SHED_US because a call of
 * `klass` got no slot.  Otherwise a less important call could take the next
 * slot that becomes free. */
static void
admission_shed_below(admission_queue *queue, int klass, int64_t now_us)
{
    if (queue->policy.queue == SVC_QUEUE_FIFO) {
        return;
    }
    for (int i = klass + 1; i < SVC_CLASS_COUNT; i++) {
        queue->shed_until_us[i] = now_us + ADMISSION_SHED_US;
    }
}

/* Whether calls of a class are shed at present. */
static bool
admission_is_shed(const admission_queue *queue, int klass, int64_t now_us)
{
    return now_us < queue->shed_until_us[klass];
}

/* Refuse a call for lack of a slot and shed the classes below it. */
static admission_result
admission_refuse_for_slot(admission_queue *queue, const admission_call *call,
                          enum reason reason, int64_t now_us)
{
    admission_shed_below(queue, call->klass, now_us);
    return admission_refuse(reason);
}

/* Whether a call of a class less important than `klass` is queued. */
static bool
admission_has_lower_priority(const admission_queue *queue, int klass)
{
    int last_index = admission_find_extreme(queue, true);
    return last_index != ADMISSION_NONE &&
           queue->calls[last_index].klass > klass;
}

/* Queue a call.  If the queue is full, it displaces the call to be served
 * last; it is refused if that would be itself, or in a FIFO queue. */
static admission_result
admission_enqueue(admission_queue *queue, const admission_call *call,
                  int64_t now_us)
{
    admission_result result = {ADMISSION_QUEUED, REASON_NONE, ADMISSION_NONE};
    int length_max = (int)queue->policy.queue_length;
    if (length_max > ADMISSION_QUEUE_CALLS_MAX) {
        length_max = ADMISSION_QUEUE_CALLS_MAX;
    }
    if (queue->queued >= length_max) {
        admission_level_note_refusal(&queue->level);
        int last_index = admission_find_extreme(queue, true);
        if (last_index == ADMISSION_NONE ||
            !admission_is_served_before(queue, call,
                                        &queue->calls[last_index]) ||
            queue->policy.queue == SVC_QUEUE_FIFO) {
            return admission_refuse_for_slot(queue, call, REASON_QUEUE_FULL,
                                             now_us);
        }
        admission_call last = admission_take_at(queue, last_index);
        admission_shed_below(queue, last.klass, now_us);
        result.displaced = last.handle;
    }
    queue->calls[queue->queued++] = *call;
    return result;
}

/* Set the rate at which calls are dispatched, in calls per second. */
void
admission_set_rate(admission_queue *queue, double per_s, int64_t now_us)
{
    rate_limit_set(&queue->rate, per_s, now_us);
}

/* Dispatch calls at any rate. */
void
admission_clear_rate(admission_queue *queue)
{
    rate_limit_clear(&queue->rate);
}

/* Returns the rate limit, which may not be set. */
const rate_limit *
admission_get_rate(const admission_queue *queue)
{
    return &queue->rate;
}

/* Whether a call would wait too long for the rate limit, behind those that are
 * queued. */
static bool
admission_exceeds_rate(const admission_queue *queue,
                       const admission_call *call)
{
    const rate_limit *rate = &queue->rate;
    int64_t wait_max_us = call->wait_max_us > 0
                              ? call->wait_max_us
                              : queue->policy.queue_wait_max_ms * 1000;
    return rate->set &&
           (queue->queued + 1 - rate->tokens) / rate->per_s * CLOCK_US_PER_S >
               (double)wait_max_us / ADMISSION_RATE_WAIT_DIVISOR;
}

/* Give a call a slot after `waited_us` in the queue. */
static void
admission_start(admission_queue *queue, const admission_call *call,
                int64_t waited_us, int64_t now_us)
{
    admission_level_count_start(&queue->level, waited_us);
    if (queue->policy.queue != SVC_QUEUE_FIFO) {
        admission_level_note_class(&queue->level, call->klass);
    }
    queue->in_flight++;
    rate_limit_take(&queue->rate, now_us);
}

/* Dispatch, queue or refuse a call that has just arrived. */
admission_result
admission_decide(admission_queue *queue, const admission_call *call,
                 int64_t now_us)
{
    admission_level_tick(&queue->level, now_us);
    if (!queue->policy.admission) {
        queue->in_flight++;
        return (admission_result){ADMISSION_DISPATCHED, REASON_NONE,
                                  ADMISSION_NONE};
    }
    if (queue->limit.slots == 0) {
        return admission_refuse(REASON_TARGET_DOWN);
    }
    int priority = admission_call_priority(queue, call);
    admission_level_count_arrival(&queue->level, priority);
    if (admission_misses_deadline(queue, call, now_us)) {
        return admission_refuse(REASON_DEADLINE);
    }
    if (admission_is_shed(queue, call->klass, now_us)) {
        return admission_refuse_for_slot(queue, call, REASON_LEVEL_REFUSAL,
                                         now_us);
    }
    if (queue->in_flight < admission_limit_value(&queue->limit) &&
        queue->queued == 0 && rate_limit_is_open(&queue->rate, now_us)) {
        admission_start(queue, call, 0, now_us);
        return (admission_result){ADMISSION_DISPATCHED, REASON_NONE,
                                  ADMISSION_NONE};
    }
    if (admission_exceeds_rate(queue, call)) {
        return admission_refuse(REASON_RATE_LIMITED);
    }
    if (priority >= queue->level.level &&
        !admission_has_lower_priority(queue, call->klass)) {
        return admission_refuse_for_slot(queue, call, REASON_LEVEL_REFUSAL,
                                         now_us);
    }
    return admission_enqueue(queue, call, now_us);
}

/* Remove the next call and give it a free slot; false if the queue is empty,
 * all slots are taken or the class of the next call is shed. */
bool
admission_pop(int *out, admission_queue *queue, int64_t now_us)
{
    if (queue->queued == 0 ||
        queue->in_flight >= admission_limit_value(&queue->limit) ||
        !rate_limit_is_open(&queue->rate, now_us)) {
        return false;
    }
    int first = admission_find_extreme(queue, false);
    if (admission_is_shed(queue, queue->calls[first].klass, now_us)) {
        return false;
    }
    admission_call call = admission_take_at(queue, first);
    admission_start(queue, &call, now_us - call.arrived_us, now_us);
    *out = call.handle;
    return true;
}

/* Remove one queued call that has waited too long or can no longer finish
 * before its deadline; false if there is none. */
bool
admission_pop_expired(admission_refusal *out, admission_queue *queue,
                      int64_t now_us)
{
    admission_level_tick(&queue->level, now_us);
    for (int i = 0; i < queue->queued; i++) {
        const admission_call *call = &queue->calls[i];
        int64_t wait_max_us = call->wait_max_us > 0
                                  ? call->wait_max_us
                                  : queue->policy.queue_wait_max_ms * 1000;
        bool timed_out = now_us - call->arrived_us >= wait_max_us;
        bool misses_deadline = admission_misses_deadline(queue, call, now_us);
        if (timed_out || misses_deadline) {
            out->handle = call->handle;
            out->reason =
                misses_deadline ? REASON_DEADLINE : REASON_QUEUE_TIMEOUT;
            admission_level_note_refusal(&queue->level);
            admission_shed_below(queue, call->klass, now_us);
            admission_take_at(queue, i);
            return true;
        }
    }
    return false;
}

/* Remove the call to be served last; false if the queue is empty. */
bool
admission_pop_last(int *out, admission_queue *queue)
{
    int last = admission_find_extreme(queue, true);
    if (last == ADMISSION_NONE) {
        return false;
    }
    *out = admission_take_at(queue, last).handle;
    return true;
}

/* Remove a call from the queue; false if it is not queued. */
bool
admission_remove(admission_queue *queue, int handle)
{
    for (int i = 0; i < queue->queued; i++) {
        if (queue->calls[i].handle == handle) {
            admission_take_at(queue, i);
            return true;
        }
    }
    return false;
}

/* Release the slot of a dispatched call that is over.  `self_time_us`: its
 * time in the target without its downstream calls, in microseconds; negative
 * if the time is not a valid sample. */
void
admission_release_slot(admission_queue *queue, int64_t self_time_us,
                       int64_t now_us)
{
    if (self_time_us >= 0) {
        admission_limit_add_sample(&queue->limit, self_time_us,
                                   queue->in_flight, now_us);
        queue->min_self_time_us *= ADMISSION_MIN_TIME_DRIFT;
        if (queue->min_self_time_us == 0 ||
            (double)self_time_us < queue->min_self_time_us) {
            queue->min_self_time_us = (double)self_time_us;
        }
    }
    queue->in_flight--;
}

/* Admission level: calls of this priority and above are refused once all
 * slots are taken. */
int
admission_get_level(const admission_queue *queue)
{
    return queue->policy.admission ? queue->level.level : ADMISSION_LEVEL_MAX;
}

/* Concurrency limit: calls that the target may hold at present. */
int
admission_get_limit(const admission_queue *queue)
{
    return admission_limit_value(&queue->limit);
}

/* Number of calls at the target. */
int
admission_in_flight_count(const admission_queue *queue)
{
    return queue->in_flight;
}

/* Number of calls in the queue. */
int
admission_queued_count(const admission_queue *queue)
{
    return queue->queued;
}
