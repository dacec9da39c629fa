#include "lav/retry_after.h"

#include <glib.h>

/* Returns the delay, in us, after an external request was shed: a quarter to a
 * half of its objective, spread by a random number so that requests refused
 * together don't return together; up to four times that where only a small
 * `share` of its kind is admitted. */
int64_t
retry_after_shed_us(int64_t objective_us, double share, uint64_t random)
{
    double factor =
        share * RETRY_AFTER_SHED_FACTOR_MAX > RETRY_AFTER_SHED_SHARE
            ? MAX(RETRY_AFTER_SHED_SHARE / share, 1)
            : RETRY_AFTER_SHED_FACTOR_MAX;
    int64_t base_us = (int64_t)((double)objective_us /
                                RETRY_AFTER_OBJECTIVE_DIVISOR * factor);
    return base_us + (int64_t)(random % (uint64_t)(base_us + 1));
}

/* Returns the delay, in us, after a refusal by a full queue: the time to serve
 * the `waiting` calls with `limit` slots, each call taking `call_us`. */
int64_t
retry_after_queue_full_us(double call_us, int waiting, int limit)
{
    double rounds = limit > 0 ? 1 + (double)waiting / limit : 1;
    int64_t delay_us = (int64_t)(call_us * rounds);
    return delay_us < RETRY_AFTER_MIN_US ? RETRY_AFTER_MIN_US : delay_us;
}
