#include "lav/retry_after.h"

/* After a refusal at the top: within the objective, and spread by a random
 * number, so that those refused together don't return together. */
int64_t
retry_after_shed_us(int64_t objective_us, uint64_t random)
{
    int64_t part_us = objective_us / RETRY_AFTER_OBJECTIVE_DIVISOR;
    return part_us + (int64_t)(random % (uint64_t)(part_us + 1));
}

/* After a refusal at a door where `waiting` calls wait for `limit` slots that
 * a call of `call_us` holds: as long as it takes to serve them. */
int64_t
retry_after_queue_full_us(double call_us, int waiting, int limit)
{
    double waves = limit > 0 ? 1 + (double)waiting / limit : 1;
    int64_t after_us = (int64_t)(call_us * waves);
    return after_us < RETRY_AFTER_MIN_US ? RETRY_AFTER_MIN_US : after_us;
}
