/*
 * ret: when a refused caller may come back.
 *
 * Load pattern answered: a burst of which a part is refused at once and comes
 * back together, into the same full queue, while it lasts or just after.
 */
#ifndef LAV_RETRY_AFTER_H
#define LAV_RETRY_AFTER_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define RETRY_AFTER_OBJECTIVE_DIVISOR                                         \
    4                             /* of the objective: back after a quarter */
#define RETRY_AFTER_MIN_US 100000 /* 0.1 s; shorter ones only add attempts */
#define RETRY_AFTER_NO_TARGET_US                                              \
    1000000 /* 1 s: by then a restarted node is back */

int64_t retry_after_shed_us(int64_t objective_us, uint64_t random);
int64_t retry_after_queue_full_us(double call_us, int waiting, int limit);

#ifdef __cplusplus
}
#endif

#endif
