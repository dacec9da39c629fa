/*
 * mixed_queue: the queue of a target that takes short calls of begun requests
 * (internal) beside long external requests.  A call is served while it can
 * still end in time; one that can't is refused at once.  Within a kind the
 * call whose latest start comes first is served first, brought forward by its
 * importance.  Between the kinds, slots are divided:
 *
 * - external requests leave free as many slots as the internal calls of the
 *   last second need, and get back what those don't need;
 * - external requests that wait get a quarter of the slots in any case.
 *
 * Load pattern: a burst at a deep service on which all other services depend.
 * By arrival, each long request holds up ten short calls, on each of which a
 * whole begun request depends.
 */
#ifndef LAV_MIXED_QUEUE_H
#define LAV_MIXED_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/admission.h"

#ifdef __cplusplus
extern "C" {
#endif

#define MIXED_QUEUE_CALLS_MAX 512

/* Share of the slots that waiting external requests get at least. */
#define MIXED_QUEUE_EXTERNAL_SHARE_MIN 0.25

/* Slots that internal calls need on average, below which none is left free,
 * and the time constant of that average. */
#define MIXED_QUEUE_LOAD_MIN 0.05
#define MIXED_QUEUE_LOAD_US 1000000

/* Part of its objective by which a call is served sooner than one of the next
 * lower priority. */
#define MIXED_QUEUE_PRIORITY_DIVISOR 8

/* A call waits for objective / 2 at most.  An internal call is one of several
 * that a request makes, one after the other; a long request takes longer than
 * expected half of the time. */
#define MIXED_QUEUE_WAIT_DIVISOR 2

enum mixed_queue_kind {
    MIXED_QUEUE_INTERNAL, /* call of a request that was begun */
    MIXED_QUEUE_EXTERNAL,
    MIXED_QUEUE_KIND_COUNT
};

typedef struct mixed_queue_call {
    int handle; /* chosen by the user of this module, not negative */
    enum mixed_queue_kind kind;
    int priority;         /* 0 is the highest */
    int64_t work_us;      /* expected; 0: not known */
    int64_t objective_us; /* latency objective */
    int64_t deadline_us;  /* monotonic clock; 0: none */
    int64_t arrived_us;   /* monotonic clock */
} mixed_queue_call;

/* State of one queue; all zero at first. */
typedef struct mixed_queue {
    int limit; /* calls that may run at once */
    int running[MIXED_QUEUE_KIND_COUNT];
    int queued[MIXED_QUEUE_KIND_COUNT];
    double internal_work_us; /* of recent internal arrivals, decayed */
    int64_t decayed_at_us;
    mixed_queue_call calls[MIXED_QUEUE_CALLS_MAX]; /* unordered */
} mixed_queue;

admission_result mixed_queue_decide(mixed_queue *queue,
                                    const mixed_queue_call *call,
                                    int64_t rate_wait_us, int64_t now_us);
void mixed_queue_push(mixed_queue *queue, const mixed_queue_call *call);
bool mixed_queue_pop(int *out, mixed_queue *queue, int64_t now_us);
bool mixed_queue_pop_last(int *out, mixed_queue *queue);
bool mixed_queue_pop_expired(admission_refusal *out, mixed_queue *queue,
                             int64_t now_us);
bool mixed_queue_remove(mixed_queue *queue, int handle);
void mixed_queue_end_call(mixed_queue *queue, enum mixed_queue_kind kind);
int mixed_queue_running_count(const mixed_queue *queue);
int mixed_queue_queued_count(const mixed_queue *queue);

#ifdef __cplusplus
}
#endif

#endif
