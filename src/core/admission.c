#include "lav/admission.h"

#include <stdlib.h>

#include "admission_level.h"
#include "admission_limit.h"
#include "lav/err.h"

struct admission_queue {
    svc_policy policy;
    admission_limit limit;
    admission_level_state level;
    int in_flight;
    int queued;
    admission_call queue[ADMISSION_QUEUE_CALLS_MAX]; /* in no order */
    double fastest_us; /* least time of a call, slowly aging */
    int64_t shed_until_us[SVC_CLASS_COUNT]; /* refuse this class until then */
};

#define ADMISSION_FASTEST_DRIFT 1.001 /* per finished call */
#define ADMISSION_SHED_US 100000      /* 100 ms */

/* Make the admission of a target that has announced no slots yet. */
int
admission_new(admission_queue **out, const svc_policy *policy)
{
    admission_queue *a = calloc(1, sizeof(*a));
    if (a == NULL) {
        return ERR_NO_MEMORY;
    }
    admission_level_init(&a->level);
    admission_set_policy(a, policy);
    *out = a;
    return 0;
}

/* Release it; takes NULL. */
void
admission_free(admission_queue *a)
{
    free(a);
}

/* Act by a new policy from now on; queued calls stay queued. */
void
admission_set_policy(admission_queue *a, const svc_policy *policy)
{
    a->policy = *policy;
    a->limit.adaptive = policy->adaptive_limit;
}

/* The target announced its slots; `cold` after it has started. */
void
admission_set_slots(admission_queue *a, int slots, bool cold, int64_t now_us)
{
    admission_limit_set_slots(&a->limit, slots, cold && a->policy.ramp,
                              now_us);
}

/* Priority of a call: 0 is kept longest, ADMISSION_LEVEL_MAX - 1 goes first. */
int
admission_priority_of(int klass, int rank)
{
    return klass * ID_RANKS + rank;
}

static int
admission_call_priority(const admission_queue *a, const admission_call *call)
{
    return admission_priority_of(call->klass, a->policy.rank ? call->rank : 0);
}

/* Whether `x` is to be served before `y`. */
static bool
admission_before(const admission_queue *a, const admission_call *x,
                 const admission_call *y)
{
    if (a->policy.queue == SVC_QUEUE_FIFO) {
        return x->arrived_us < y->arrived_us;
    }
    if (x->klass != y->klass) {
        return x->klass < y->klass;
    }
    if (a->policy.queue == SVC_QUEUE_LIFO) {
        return x->arrived_us > y->arrived_us;
    }
    if (x->depth != y->depth) {
        return x->depth > y->depth;
    }
    if (a->policy.rank && x->rank != y->rank) {
        return x->rank < y->rank;
    }
    return x->arrived_us < y->arrived_us;
}

/* Index of the call to be served first (or last), or ADMISSION_NONE. */
static int
admission_pick(const admission_queue *a, bool last)
{
    int best = ADMISSION_NONE;
    for (int i = 0; i < a->queued; i++) {
        if (best == ADMISSION_NONE ||
            admission_before(a, &a->queue[i], &a->queue[best]) != last) {
            best = i;
        }
    }
    return best;
}

static admission_call
admission_take(admission_queue *a, int index)
{
    admission_call call = a->queue[index];
    a->queue[index] = a->queue[--a->queued];
    return call;
}

static admission_result
admission_refuse(enum reason reason)
{
    return (admission_result){ADMISSION_REFUSED, reason, ADMISSION_NONE};
}

static bool
admission_misses_deadline(const admission_queue *a, const admission_call *call,
                          int64_t now_us)
{
    if (call->deadline_us == 0 || !a->policy.deadline_drop) {
        return false;
    }
    return now_us + (int64_t)a->fastest_us >= call->deadline_us;
}

/* A call of `klass` was refused for want of a slot: less important ones get
 * none for a while, so that they don't slip into the next free slot. */
static void
admission_shed_below(admission_queue *a, int klass, int64_t now_us)
{
    if (a->policy.queue == SVC_QUEUE_FIFO) {
        return;
    }
    for (int i = klass + 1; i < SVC_CLASS_COUNT; i++) {
        a->shed_until_us[i] = now_us + ADMISSION_SHED_US;
    }
}

static bool
admission_is_shed(const admission_queue *a, int klass, int64_t now_us)
{
    return now_us < a->shed_until_us[klass];
}

static admission_result
admission_refuse_for_slot(admission_queue *a, const admission_call *call,
                          enum reason reason, int64_t now_us)
{
    admission_shed_below(a, call->klass, now_us);
    return admission_refuse(reason);
}

/* Whether a call less important than `klass` waits. */
static bool
admission_has_lower_priority(const admission_queue *a, int klass)
{
    int worst = admission_pick(a, true);
    return worst != ADMISSION_NONE && a->queue[worst].klass > klass;
}

static admission_result
admission_enqueue(admission_queue *a, const admission_call *call,
                  int64_t now_us)
{
    admission_result verdict = {ADMISSION_QUEUED, REASON_NONE, ADMISSION_NONE};
    int longest = (int)a->policy.queue_length;
    if (longest > ADMISSION_QUEUE_CALLS_MAX) {
        longest = ADMISSION_QUEUE_CALLS_MAX;
    }
    if (a->queued >= longest) {
        admission_level_note_refusal(&a->level);
        int worst = admission_pick(a, true);
        if (worst == ADMISSION_NONE ||
            !admission_before(a, call, &a->queue[worst]) ||
            a->policy.queue == SVC_QUEUE_FIFO) {
            return admission_refuse_for_slot(a, call, REASON_QUEUE_FULL,
                                             now_us);
        }
        admission_call displaced = admission_take(a, worst);
        admission_shed_below(a, displaced.klass, now_us);
        verdict.displaced = displaced.handle;
    }
    a->queue[a->queued++] = *call;
    return verdict;
}

/* Decide on a call that has just arrived. */
admission_result
admission_decide(admission_queue *a, const admission_call *call,
                 int64_t now_us)
{
    admission_level_tick(&a->level, now_us);
    if (!a->policy.admission) {
        a->in_flight++;
        return (admission_result){ADMISSION_DISPATCHED, REASON_NONE,
                                  ADMISSION_NONE};
    }
    if (a->limit.slots == 0) {
        return admission_refuse(REASON_TARGET_DOWN);
    }
    int priority = admission_call_priority(a, call);
    admission_level_count_arrival(&a->level, priority);
    if (admission_misses_deadline(a, call, now_us)) {
        return admission_refuse(REASON_DEADLINE);
    }
    if (admission_is_shed(a, call->klass, now_us)) {
        return admission_refuse_for_slot(a, call, REASON_LEVEL_REFUSAL,
                                         now_us);
    }
    if (a->in_flight < admission_limit_value(&a->limit) && a->queued == 0) {
        a->in_flight++;
        admission_level_count_start(&a->level, 0);
        return (admission_result){ADMISSION_DISPATCHED, REASON_NONE,
                                  ADMISSION_NONE};
    }
    if (priority >= a->level.level &&
        !admission_has_lower_priority(a, call->klass)) {
        return admission_refuse_for_slot(a, call, REASON_LEVEL_REFUSAL,
                                         now_us);
    }
    return admission_enqueue(a, call, now_us);
}

/* Take the next call for a free slot; false where there is none. */
bool
admission_pop(int *out, admission_queue *a, int64_t now_us)
{
    if (a->queued == 0 || a->in_flight >= admission_limit_value(&a->limit)) {
        return false;
    }
    int first = admission_pick(a, false);
    if (admission_is_shed(a, a->queue[first].klass, now_us)) {
        return false;
    }
    admission_call call = admission_take(a, first);
    admission_level_count_start(&a->level, now_us - call.arrived_us);
    a->in_flight++;
    *out = call.handle;
    return true;
}

/* Take out one queued call that has waited too long or can't finish before
 * its deadline any more; false where there is none. */
bool
admission_pop_expired(admission_refusal *out, admission_queue *a,
                      int64_t now_us)
{
    admission_level_tick(&a->level, now_us);
    for (int i = 0; i < a->queued; i++) {
        const admission_call *call = &a->queue[i];
        int64_t wait_max_us = call->wait_max_us > 0
                                  ? call->wait_max_us
                                  : a->policy.queue_wait_max_ms * 1000;
        bool waited = now_us - call->arrived_us >= wait_max_us;
        bool late = admission_misses_deadline(a, call, now_us);
        if (waited || late) {
            out->handle = call->handle;
            out->reason = late ? REASON_DEADLINE : REASON_QUEUE_TIMEOUT;
            admission_level_note_refusal(&a->level);
            admission_shed_below(a, call->klass, now_us);
            admission_take(a, i);
            return true;
        }
    }
    return false;
}

/* Take a call out of the queue; false where it is not in it. */
bool
admission_remove(admission_queue *a, int handle)
{
    for (int i = 0; i < a->queued; i++) {
        if (a->queue[i].handle == handle) {
            admission_take(a, i);
            return true;
        }
    }
    return false;
}

/* A dispatched call is over; `own_us` is its time in the target without the
 * calls that it made, or negative where that says nothing. */
void
admission_release_slot(admission_queue *a, int64_t own_us, int64_t now_us)
{
    if (own_us >= 0) {
        admission_limit_add_sample(&a->limit, own_us, a->in_flight, now_us);
        a->fastest_us *= ADMISSION_FASTEST_DRIFT;
        if (a->fastest_us == 0 || (double)own_us < a->fastest_us) {
            a->fastest_us = (double)own_us;
        }
    }
    a->in_flight--;
}

/* Calls of this priority and above are refused once the slots are taken. */
int
admission_get_level(const admission_queue *a)
{
    return a->policy.admission ? a->level.level : ADMISSION_LEVEL_MAX;
}

/* Calls that the target may hold now. */
int
admission_get_limit(const admission_queue *a)
{
    return admission_limit_value(&a->limit);
}

/* Calls at the target. */
int
admission_in_flight_count(const admission_queue *a)
{
    return a->in_flight;
}

/* Calls in the queue. */
int
admission_queued_count(const admission_queue *a)
{
    return a->queued;
}
