#include "lav/overload.h"

#include <glib.h>

#include "lav/service_level.h"

/* Counts a call that is offered for the first time; one that was rerouted
 * after a refusal elsewhere is not new demand.  `weight` is the demand that
 * it stands for. */
void
overload_count_arrival(overload_meter *meter, double weight)
{
    meter->arrivals++;
    meter->demand += weight;
}

/* Counts a call that ended at the target; `time_share` is the slot time that
 * its kind takes, relative to the mean of all calls. */
void
overload_count_end(overload_meter *meter, double time_share)
{
    meter->served++;
    meter->served_share += time_share;
}

/* Counts a call that had to wait, or was refused for lack of a slot. */
void
overload_count_held_up(overload_meter *meter)
{
    meter->held_up++;
}

/* Counts a call that was refused for lack of a slot, or waited in vain. */
void
overload_count_lost(overload_meter *meter)
{
    meter->lost++;
}

/* Counts a call that was removed from the queue.  One that a leaving target
 * can't get in time is served elsewhere, and doesn't mean that there are too
 * few slots. */
void
overload_count_expired(overload_meter *meter, enum reason reason)
{
    if (reason != REASON_DRAINING) {
        overload_count_lost(meter);
    }
}

/* Counts a call that ended as the target refused or failed it by itself; its
 * end is counted as well. */
void
overload_count_failed(overload_meter *meter)
{
    meter->failed++;
}

/* Moves the target factor, once per window; `waiting` are the calls in the
 * queue at its end. */
static void
overload_adapt_target(overload_meter *meter, int limit, int waiting)
{
    double change = OVERLOAD_TARGET_INCREASE;
    if (waiting > limit * OVERLOAD_QUEUE_STANDING ||
        meter->lost > meter->arrivals * OVERLOAD_LOST_STANDING) {
        change = -OVERLOAD_TARGET_DECREASE;
    }
    meter->relief = CLAMP(meter->relief - change, 0,
                          OVERLOAD_TARGET_MAX - OVERLOAD_TARGET_MIN);
}

/* Whether the target was full in the window that ends. */
static bool
overload_is_full(const overload_meter *meter)
{
    return meter->waiting > 0 ||
           meter->held_up >
               (meter->arrivals + meter->waiting) * OVERLOAD_HELD_UP_SHARE_MIN;
}

/* Returns the overload factor of the window that ends: the demand per call
 * served, 1 to OVERLOAD_FACTOR_MAX, if the target was full; the share of busy
 * slots otherwise. */
static double
overload_close_window(const overload_meter *meter, int running, int limit)
{
    if (!overload_is_full(meter)) {
        return limit > 0 ? (double)running / limit : 0;
    }
    double served = meter->served > 0 ? meter->served : 1;
    double factor = (meter->arrivals + meter->waiting) / served;
    if (factor < 1) {
        return 1;
    }
    return factor < OVERLOAD_FACTOR_MAX ? factor : OVERLOAD_FACTOR_MAX;
}

/* Whether the target fails calls in a window in which it has free slots.  Fewer
 * requests would not make it fail fewer. */
static bool
overload_is_failing(const overload_meter *meter)
{
    return !overload_is_full(meter) &&
           meter->failed > meter->served * OVERLOAD_FAILING_SHARE_MIN;
}

/* Adds the window that ends to the averages of demand and capacity.  A target
 * that was not full could have served as many calls as its slots can.  The
 * calls that are missing because it failed others count for nothing. */
static void
overload_average_window(overload_meter *meter, int limit, double call_us,
                        int64_t window_us)
{
    double capacity = MAX(meter->served_share, 1);
    double demand =
        overload_is_failing(meter) ? meter->arrivals : meter->demand;
    if (overload_is_full(meter)) {
        demand *= 1 + OVERLOAD_QUEUE_SHARE * meter->waiting /
                          MAX(meter->arrivals, 1);
    }
    else if (call_us > 0) {
        capacity = limit * (double)window_us / call_us;
    }
    else {
        return; /* no call has ended yet: how many it serves is not known */
    }
    double windows = (double)window_us / OVERLOAD_WINDOW_US;
    meter->mean_demand +=
        (demand / windows - meter->mean_demand) * OVERLOAD_WINDOW_WEIGHT;
    meter->mean_capacity +=
        (capacity / windows - meter->mean_capacity) * OVERLOAD_WINDOW_WEIGHT;
}

/* Returns the demand per call that the target serves, a moving average, and
 * closes a window that is over.  `running`, `limit` and `waiting` are the
 * current values, `call_us` the mean time of a call; 0: not known. */
double
overload_factor(overload_meter *meter, int running, int limit, int waiting,
                double call_us, int64_t now_us)
{
    if (now_us - meter->since_us >= OVERLOAD_WINDOW_US) {
        meter->factor +=
            (overload_close_window(meter, running, limit) - meter->factor) *
            OVERLOAD_WINDOW_WEIGHT;
        overload_average_window(meter, limit, call_us,
                                now_us - meter->since_us);
        overload_adapt_target(meter, limit, waiting);
        *meter = (overload_meter){.since_us = now_us,
                                  .waiting = waiting,
                                  .relief = meter->relief,
                                  .factor = meter->factor,
                                  .mean_demand = meter->mean_demand,
                                  .mean_capacity = meter->mean_capacity};
    }
    return meter->factor;
}

/* Returns the share of the requests that lead here that can be admitted, as of
 * the last window: SERVICE_LEVEL_MIN to SERVICE_LEVEL_MAX. */
double
overload_level(const overload_meter *meter)
{
    if (meter->mean_demand <= 0 || meter->mean_capacity <= 0) {
        return SERVICE_LEVEL_MAX;
    }
    double target = OVERLOAD_TARGET_MAX - meter->relief;
    return CLAMP(target * meter->mean_capacity / meter->mean_demand,
                 SERVICE_LEVEL_MIN, SERVICE_LEVEL_MAX);
}
