/*
 * admission: admission control and load shedding for the calls of one target.
 * A call is dispatched, queued or refused.  The queue is short; by default it
 * is ordered by the class of the root request, then deeper calls first, then
 * by the stable rank of the root.
 *
 * Guarantee: under overload, browsing is refused before orders, licence
 * purchases, reorders and payments.  A call takes a free slot only when no
 * call of a more important class waits, and a full queue displaces the
 * least important call first.
 */
#ifndef LAV_ADMISSION_H
#define LAV_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/id.h"
#include "lav/rate_limit.h"
#include "lav/reason.h"
#include "lav/svc.h"

#ifdef __cplusplus
extern "C" {
#endif

#define ADMISSION_LEVEL_MAX                                                   \
    (SVC_CLASS_COUNT * ID_RANKS) /* number of priorities; admits every call */
#define ADMISSION_QUEUE_CALLS_MAX 1024
#define ADMISSION_NONE (-1) /* handle or index that stands for no call */

typedef struct admission_call {
    int handle;          /* chosen by the user of this module, not negative */
    int klass;           /* enum svc_class of the root request */
    int rank;            /* 0 to ID_RANKS - 1 */
    int depth;           /* in the chain of calls; deeper calls go first */
    int64_t deadline_us; /* monotonic clock; 0: none */
    int64_t arrived_us;  /* monotonic clock */
    int64_t wait_max_us; /* longest wait in the queue; 0: the policy's */
} admission_call;

enum admission_decision {
    ADMISSION_DISPATCHED, /* holds a slot; hand it to the target now */
    ADMISSION_QUEUED,     /* waits in the queue */
    ADMISSION_REFUSED
};

typedef struct admission_result {
    enum admission_decision decision;
    enum reason reason; /* of a refusal, else REASON_NONE */
    int displaced;      /* handle of the displaced call, or ADMISSION_NONE */
} admission_result;

typedef struct admission_refusal {
    int handle;
    enum reason reason;
} admission_refusal;

typedef struct admission_queue admission_queue;

int admission_new(admission_queue **out, const svc_policy *policy);
void admission_free(admission_queue *queue);
void admission_set_policy(admission_queue *queue, const svc_policy *policy);
void admission_set_slots(admission_queue *queue, int slots, bool cold,
                         int64_t now_us);
admission_result admission_decide(admission_queue *queue,
                                  const admission_call *call, int64_t now_us);
void admission_set_rate(admission_queue *queue, double per_s, int64_t now_us);
void admission_clear_rate(admission_queue *queue);
const rate_limit *admission_get_rate(const admission_queue *queue);
bool admission_pop(int *out, admission_queue *queue, int64_t now_us);
bool admission_pop_expired(admission_refusal *out, admission_queue *queue,
                           int64_t now_us);
bool admission_pop_last(int *out, admission_queue *queue);
bool admission_remove(admission_queue *queue, int handle);
void admission_release_slot(admission_queue *queue, int64_t self_time_us,
                            int64_t now_us);
int admission_get_level(const admission_queue *queue);
int admission_get_limit(const admission_queue *queue);
int admission_in_flight_count(const admission_queue *queue);
int admission_queued_count(const admission_queue *queue);
int admission_priority(int klass, int rank);

#ifdef __cplusplus
}
#endif

#endif
