#include "lav/retry_after.h"

/* Returns the delay, in us, after an external request was shed: a quarter to a
 * half of its objective, spread by a random number so that requests refused
 * together don't return together. */
int64_t
retry_after_shed_us(int64_t objective_us, uint64_t random)
{
    int64_t base_us = objective_us / RETRY_AFTER_OBJECTIVE_DIVISOR;
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
