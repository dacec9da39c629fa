#include "lav/mixed_queue.h"

#include <glib.h>
#include <math.h>

/* Returns the number of calls that run at the target. */
int
mixed_queue_running_count(const mixed_queue *queue)
{
    return queue->running[MIXED_QUEUE_INTERNAL] +
           queue->running[MIXED_QUEUE_EXTERNAL];
}

/* Returns the number of calls that wait. */
int
mixed_queue_queued_count(const mixed_queue *queue)
{
    return queue->queued[MIXED_QUEUE_INTERNAL] +
           queue->queued[MIXED_QUEUE_EXTERNAL];
}

/* Returns the time after which a call is not worth starting: it would end
 * after its deadline, or too late for its objective. */
static int64_t
mixed_queue_latest_start_us(const mixed_queue_call *call)
{
    int64_t wait_us = MIN(call->objective_us / MIXED_QUEUE_WAIT_DIVISOR,
                          call->objective_us - call->work_us);
    int64_t latest_us = call->arrived_us + MAX(wait_us, 0);
    return call->deadline_us == 0
               ? latest_us
               : MIN(latest_us, call->deadline_us - call->work_us);
}

/* Returns the key by which calls of a kind are served, lowest first. */
static int64_t
mixed_queue_key_us(const mixed_queue_call *call)
{
    return mixed_queue_latest_start_us(call) +
           call->priority *
               (call->objective_us / MIXED_QUEUE_PRIORITY_DIVISOR);
}

/* Decays the internal work to the present. */
static void
mixed_queue_advance(mixed_queue *queue, int64_t now_us)
{
    double passed_us = (double)(now_us - queue->decayed_at_us);
    queue->internal_work_us *= exp(-passed_us / MIXED_QUEUE_LOAD_US);
    queue->decayed_at_us = now_us;
}

/* Returns the slots that waiting external requests get in any case. */
static int
mixed_queue_external_min(const mixed_queue *queue)
{
    return MAX((int)(queue->limit * MIXED_QUEUE_EXTERNAL_SHARE_MIN), 1);
}

/* Returns the slots that external requests may take. */
static int
mixed_queue_external_max(const mixed_queue *queue)
{
    double load = queue->internal_work_us / MIXED_QUEUE_LOAD_US;
    int room = load < MIXED_QUEUE_LOAD_MIN ? 0 : (int)ceil(load);
    return MAX(queue->limit - room, mixed_queue_external_min(queue));
}

/* Returns the slots that calls of a kind can have while both kinds wait. */
static int
mixed_queue_slots(const mixed_queue *queue, enum mixed_queue_kind kind)
{
    int external = queue->running[MIXED_QUEUE_EXTERNAL];
    if (kind == MIXED_QUEUE_EXTERNAL) {
        return mixed_queue_external_max(queue);
    }
    int held = MIN(external + queue->queued[MIXED_QUEUE_EXTERNAL],
                   mixed_queue_external_min(queue));
    return MAX(queue->limit - MAX(external, held), 1);
}

/* Whether a call of a kind may take a slot now. */
static bool
mixed_queue_may_start(const mixed_queue *queue, enum mixed_queue_kind kind)
{
    if (mixed_queue_running_count(queue) >= queue->limit) {
        return false;
    }
    return kind == MIXED_QUEUE_INTERNAL ||
           queue->running[kind] < mixed_queue_external_max(queue);
}

/* Returns how long a call is likely to wait behind those of its kind that are
 * served before it. */
static int64_t
mixed_queue_expected_wait_us(const mixed_queue *queue,
                             const mixed_queue_call *call)
{
    int64_t key_us = mixed_queue_key_us(call);
    int64_t ahead_us = call->work_us;
    for (int i = 0; i < mixed_queue_queued_count(queue); i++) {
        const mixed_queue_call *other = &queue->calls[i];
        if (other->kind == call->kind && mixed_queue_key_us(other) <= key_us) {
            ahead_us += other->work_us;
        }
    }
    return ahead_us / mixed_queue_slots(queue, call->kind);
}

/* Queues a call. */
void
mixed_queue_push(mixed_queue *queue, const mixed_queue_call *call)
{
    queue->calls[mixed_queue_queued_count(queue)] = *call;
    queue->queued[call->kind]++;
}

/* Dispatches, queues or refuses a call that has just arrived.  `rate_wait_us`
 * is the time until the target's rate limit lets another call pass. */
admission_result
mixed_queue_decide(mixed_queue *queue, const mixed_queue_call *call,
                   int64_t rate_wait_us, int64_t now_us)
{
    admission_result result = {ADMISSION_REFUSED, REASON_QUEUE_FULL,
                               ADMISSION_NONE};
    mixed_queue_advance(queue, now_us);
    if (call->kind == MIXED_QUEUE_INTERNAL) {
        queue->internal_work_us += (double)call->work_us;
    }
    if (queue->limit == 0) {
        result.reason = REASON_TARGET_DOWN;
        return result;
    }
    if (call->deadline_us != 0 && now_us >= call->deadline_us) {
        result.reason = REASON_DEADLINE;
        return result;
    }
    bool in_time =
        call->deadline_us == 0 || now_us + call->work_us <= call->deadline_us;
    if (!in_time) {
        return result;
    }
    if (rate_wait_us == 0 && queue->queued[call->kind] == 0 &&
        mixed_queue_may_start(queue, call->kind)) {
        queue->running[call->kind]++;
        result.decision = ADMISSION_DISPATCHED;
        result.reason = REASON_NONE;
        return result;
    }
    int64_t wait_us = mixed_queue_expected_wait_us(queue, call);
    if (now_us + MAX(wait_us, rate_wait_us) >
            mixed_queue_latest_start_us(call) ||
        mixed_queue_queued_count(queue) >= MIXED_QUEUE_CALLS_MAX) {
        return result;
    }
    mixed_queue_push(queue, call);
    result.decision = ADMISSION_QUEUED;
    result.reason = REASON_NONE;
    return result;
}

/* Removes and returns the call at an index. */
static mixed_queue_call
mixed_queue_take_at(mixed_queue *queue, int index)
{
    mixed_queue_call call = queue->calls[index];
    queue->calls[index] = queue->calls[mixed_queue_queued_count(queue) - 1];
    queue->queued[call.kind]--;
    return call;
}

/* Returns the kind of the call to serve next, of those that wait and may
 * start; MIXED_QUEUE_KIND_COUNT if there is none. */
static enum mixed_queue_kind
mixed_queue_next_kind(const mixed_queue *queue)
{
    bool internal = queue->queued[MIXED_QUEUE_INTERNAL] > 0 &&
                    mixed_queue_may_start(queue, MIXED_QUEUE_INTERNAL);
    bool external = queue->queued[MIXED_QUEUE_EXTERNAL] > 0 &&
                    mixed_queue_may_start(queue, MIXED_QUEUE_EXTERNAL);
    bool external_first =
        queue->running[MIXED_QUEUE_EXTERNAL] < mixed_queue_external_min(queue);
    if (external && (external_first || !internal)) {
        return MIXED_QUEUE_EXTERNAL;
    }
    return internal ? MIXED_QUEUE_INTERNAL : MIXED_QUEUE_KIND_COUNT;
}

/* Removes the next call and gives it a slot; false if none waits or may
 * start. */
bool
mixed_queue_pop(int *out, mixed_queue *queue, int64_t now_us)
{
    mixed_queue_advance(queue, now_us);
    enum mixed_queue_kind kind = mixed_queue_next_kind(queue);
    int first = ADMISSION_NONE;
    for (int i = 0; i < mixed_queue_queued_count(queue); i++) {
        const mixed_queue_call *call = &queue->calls[i];
        if (call->kind == kind &&
            (first == ADMISSION_NONE ||
             mixed_queue_key_us(call) <
                 mixed_queue_key_us(&queue->calls[first]))) {
            first = i;
        }
    }
    if (first == ADMISSION_NONE) {
        return false;
    }
    *out = mixed_queue_take_at(queue, first).handle;
    queue->running[kind]++;
    return true;
}

/* Removes the call, of either kind, with the highest key; false if none
 * waits. */
bool
mixed_queue_pop_last(int *out, mixed_queue *queue)
{
    int count = mixed_queue_queued_count(queue);
    int last = 0;
    if (count == 0) {
        return false;
    }
    for (int i = 1; i < count; i++) {
        if (mixed_queue_key_us(&queue->calls[i]) >
            mixed_queue_key_us(&queue->calls[last])) {
            last = i;
        }
    }
    *out = mixed_queue_take_at(queue, last).handle;
    return true;
}

/* Removes one queued call that can no longer end in time; false if there is
 * none. */
bool
mixed_queue_pop_expired(admission_refusal *out, mixed_queue *queue,
                        int64_t now_us)
{
    for (int i = 0; i < mixed_queue_queued_count(queue); i++) {
        const mixed_queue_call *call = &queue->calls[i];
        if (now_us >= mixed_queue_latest_start_us(call)) {
            bool over = call->deadline_us != 0 && now_us >= call->deadline_us;
            out->reason = over ? REASON_DEADLINE : REASON_QUEUE_TIMEOUT;
            out->handle = mixed_queue_take_at(queue, i).handle;
            return true;
        }
    }
    return false;
}

/* Removes a call from the queue; false if it is not queued. */
bool
mixed_queue_remove(mixed_queue *queue, int handle)
{
    for (int i = 0; i < mixed_queue_queued_count(queue); i++) {
        if (queue->calls[i].handle == handle) {
            mixed_queue_take_at(queue, i);
            return true;
        }
    }
    return false;
}

/* Releases the slot of a call that is over. */
void
mixed_queue_end_call(mixed_queue *queue, enum mixed_queue_kind kind)
{
    queue->running[kind]--;
}
