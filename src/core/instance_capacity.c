#include "lav/instance_capacity.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

/* Records how long work takes on the host, in percent of the usual time. */
void
instance_capacity_set_host(instance_capacity *capacity, int percent)
{
    capacity->host_percent = percent;
    capacity->usual.weight = INSTANCE_CAPACITY_USUAL_WEIGHT;
}

/* Adds a call to the range in which it ran. */
static void
instance_capacity_add_sample(instance_capacity_range *range, double ratio,
                             int64_t now_us)
{
    if (now_us - range->at_us > INSTANCE_CAPACITY_FORGET_US) {
        range->samples = 0;
    }
    range->samples++;
    double weight =
        MAX(1.0 / range->samples, (double)INSTANCE_CAPACITY_WEIGHT);
    range->ratio += (ratio - range->ratio) * weight;
    range->at_us = now_us;
}

/* Whether a range has enough recent samples. */
static bool
instance_capacity_is_known(const instance_capacity_range *range,
                           int64_t now_us)
{
    return range->samples >= INSTANCE_CAPACITY_SAMPLES_MIN &&
           now_us - range->at_us <= INSTANCE_CAPACITY_FORGET_US;
}

/* Returns the number of ranges with the most power.  An unknown range counts
 * as good as the one below it; those below the first known one are no better
 * than that. */
static int
instance_capacity_best(const instance_capacity *capacity, int64_t now_us)
{
    double ratio = 0;
    double most = 0;
    int best = INSTANCE_CAPACITY_RANGES;
    for (int i = 0; i < INSTANCE_CAPACITY_RANGES; i++) {
        const instance_capacity_range *range = &capacity->ranges[i];
        if (instance_capacity_is_known(range, now_us)) {
            ratio = range->ratio;
        }
        if (ratio <= 0) {
            continue;
        }
        double power =
            (i + 1) / pow(ratio, 1 + INSTANCE_CAPACITY_TIME_EXPONENT);
        if (power >= most) {
            most = power;
            best = i + 1;
        }
    }
    return MAX(best, INSTANCE_CAPACITY_RANGES_MIN);
}

/* Moves the limit, once per period, while calls use all of it: down to what has
 * the most power, one range up, or one range down for a moment if nothing is
 * known of that. */
static void
instance_capacity_adapt(instance_capacity *capacity, int64_t now_us)
{
    int used = capacity->ranges_used == 0 ? INSTANCE_CAPACITY_RANGES
                                          : capacity->ranges_used;
    if (now_us - capacity->changed_at_us < INSTANCE_CAPACITY_PERIOD_US ||
        !instance_capacity_is_known(&capacity->ranges[used - 1], now_us)) {
        return;
    }
    int best = instance_capacity_best(capacity, now_us);
    bool below_known =
        used == INSTANCE_CAPACITY_RANGES_MIN ||
        instance_capacity_is_known(&capacity->ranges[used - 2], now_us);
    if (best == used && !below_known) {
        best = used - 1;
    }
    capacity->ranges_used = MIN(best, used + 1);
    capacity->changed_at_us = now_us;
}

/* Whether the time of a call tells how well the instance took it: neither calls
 * of its own nor a change at the host were part of it. */
static bool
instance_capacity_is_own_time(const instance_capacity *capacity,
                              const instance_capacity_call *call)
{
    int change = abs(call->host_percent - capacity->host_percent);
    return !call->makes_calls &&
           change * 100 <=
               capacity->host_percent * INSTANCE_CAPACITY_HOST_CHANGE_MAX;
}

/* Adds a call that ended with success.  `limit_max` is the limit without an
 * estimate. */
void
instance_capacity_add(instance_capacity *capacity,
                      const instance_capacity_call *call, int limit_max,
                      int64_t now_us)
{
    if (capacity->host_percent == 0 || call->took_us <= 0) {
        return;
    }
    work_time_add(&capacity->times, call->route, call->took_us, now_us);
    if (limit_max <= 0 || !instance_capacity_is_own_time(capacity, call)) {
        return;
    }
    int64_t own_us =
        call->took_us * INSTANCE_CAPACITY_HOST_USUAL / capacity->host_percent;
    work_time_add(&capacity->usual, call->route, own_us, now_us);
    int64_t usual_us =
        work_time_expected_us(&capacity->usual, call->route, now_us);
    int range = (call->running - 1) * INSTANCE_CAPACITY_RANGES / limit_max;
    if (usual_us > 0) {
        instance_capacity_add_sample(
            &capacity->ranges[CLAMP(range, 0, INSTANCE_CAPACITY_RANGES - 1)],
            (double)own_us / (double)usual_us, now_us);
    }
    instance_capacity_adapt(capacity, now_us);
}

/* Returns how many calls may run at once: `limit_max`, or fewer if the
 * instance takes fewer well. */
int
instance_capacity_limit(const instance_capacity *capacity, int limit_max)
{
    if (capacity->ranges_used == 0) {
        return limit_max;
    }
    int limit =
        (limit_max * capacity->ranges_used + INSTANCE_CAPACITY_RANGES - 1) /
        INSTANCE_CAPACITY_RANGES;
    return CLAMP(limit, MIN(limit_max, 1), limit_max);
}

/* Returns how long a call takes there now, in us, as a mean over the routes;
 * 0 if that is not known. */
int
instance_capacity_call_us(const instance_capacity *capacity, int64_t now_us)
{
    if (capacity->host_percent == 0) {
        return 0;
    }
    int64_t mean_us = work_time_mean_us(&capacity->times, now_us);
    return (int)MIN(mean_us, INT32_MAX);
}
