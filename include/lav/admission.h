/*
 * admission_queue: admission of calls at one target.  A call is dispatched, queued or
 * refused; the queue is short, ordered by the class of the root request,
 * then by the stable rank of the root, then deeper calls first.
 *
 * Promise: under overload, browsing is refused before orders, licence
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
#include "lav/reason.h"
#include "lav/svc.h"

#ifdef __cplusplus
extern "C" {
#endif

#define ADMISSION_LEVEL_MAX                                                   \
    (SVC_CLASS_COUNT * ID_RANKS) /* admits everything */
#define ADMISSION_QUEUE_CALLS_MAX 1024
#define ADMISSION_NONE (-1) /* no call */

typedef struct admission_call {
    int handle; /* of the caller of this module, not negative */
    int klass;  /* enum svc_class */
    int rank;   /* 0 to ID_RANKS - 1 */
    int depth;
    int64_t deadline_us; /* monotonic; 0: none */
    int64_t arrived_us;
    int64_t wait_max_us; /* longest wait; 0: the policy's */
} admission_call;

enum admission_decision {
    ADMISSION_DISPATCHED,
    ADMISSION_QUEUED,
    ADMISSION_REFUSED
};

typedef struct admission_result {
    enum admission_decision decision;
    enum reason reason; /* where refused */
    int displaced;      /* handle of a call pushed out, or ADMISSION_NONE */
} admission_result;

typedef struct admission_refusal {
    int handle;
    enum reason reason;
} admission_refusal;

typedef struct admission_queue admission_queue;

int admission_new(admission_queue **out, const svc_policy *policy);
void admission_free(admission_queue *a);
void admission_set_policy(admission_queue *a, const svc_policy *policy);
void admission_set_slots(admission_queue *a, int slots, bool cold,
                         int64_t now_us);
admission_result admission_decide(admission_queue *a,
                                  const admission_call *call, int64_t now_us);
bool admission_pop(int *out, admission_queue *a, int64_t now_us);
bool admission_pop_expired(admission_refusal *out, admission_queue *a,
                           int64_t now_us);
bool admission_remove(admission_queue *a, int handle);
void admission_release_slot(admission_queue *a, int64_t own_us,
                            int64_t now_us);
int admission_get_level(const admission_queue *a);
int admission_get_limit(const admission_queue *a);
int admission_in_flight_count(const admission_queue *a);
int admission_queued_count(const admission_queue *a);
int admission_priority_of(int klass, int rank);

#ifdef __cplusplus
}
#endif

#endif
