#include "lav/ret.h"

/* After a refusal at the top: within the objective, and spread by a random
 * number, so that those refused together don't return together. */
int64_t
ret_top_us(int64_t objective_us, uint64_t random)
{
    int64_t part_us = objective_us / RET_TOP_PART;
    return part_us + (int64_t)(random % (uint64_t)(part_us + 1));
}

/* After a refusal at a door where `waiting` calls wait for `limit` slots that
 * a call of `call_us` holds: as long as it takes to serve them. */
int64_t
ret_door_us(double call_us, int waiting, int limit)
{
    double waves = limit > 0 ? 1 + (double)waiting / limit : 1;
    int64_t after_us = (int64_t)(call_us * waves);
    return after_us < RET_LEAST_US ? RET_LEAST_US : after_us;
}
