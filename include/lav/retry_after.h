/*
 * retry_after: the delay after which a refused caller may retry.
 *
 * Meant for a burst of which a part is refused at once: without a spread
 * delay the refused requests return together, into the same full queue,
 * during the burst or just after it.
 */
#ifndef LAV_RETRY_AFTER_H
#define LAV_RETRY_AFTER_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Shed requests return after a quarter of their latency objective at the
 * earliest. */
#define RETRY_AFTER_OBJECTIVE_DIVISOR 4

/* Where few requests are admitted, this much later at most: those who are
 * refused again and again find no room. */
#define RETRY_AFTER_SHED_FACTOR_MAX 4.0

/* Admitted share below which they return later. */
#define RETRY_AFTER_SHED_SHARE 0.2

#define RETRY_AFTER_MIN_US 100000 /* shorter delays only add attempts */

/* By then a restarted node is back. */
#define RETRY_AFTER_NO_TARGET_US 1000000

int64_t retry_after_shed_us(int64_t objective_us, double share,
                            uint64_t random);
int64_t retry_after_queue_full_us(double call_us, int waiting, int limit);

#ifdef __cplusplus
}
#endif

#endif
