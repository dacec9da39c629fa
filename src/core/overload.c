#include "lav/overload.h"

/* Counts a call that is offered for the first time; one that was rerouted
 * after a refusal elsewhere is not new demand. */
void
overload_count_arrival(overload_meter *meter)
{
    meter->arrivals++;
}

/* Counts a call that ended at the target. */
void
overload_count_end(overload_meter *meter)
{
    meter->served++;
}

/* Counts a call that had to wait, or was refused for lack of a slot. */
void
overload_count_held_up(overload_meter *meter)
{
    meter->held_up++;
}

/* Returns the overload factor of the window that ends: the demand per call
 * served, 1 to OVERLOAD_FACTOR_MAX, if the target was full; the share of busy
 * slots otherwise. */
static double
overload_close_window(const overload_meter *meter, int running, int limit)
{
    bool full = meter->waiting > 0 ||
                meter->held_up > (meter->arrivals + meter->waiting) *
                                     OVERLOAD_HELD_UP_SHARE_MIN;
    if (!full) {
        return limit > 0 ? (double)running / limit : 0;
    }
    double served = meter->served > 0 ? meter->served : 1;
    double factor = (meter->arrivals + meter->waiting) / served;
    if (factor < 1) {
        return 1;
    }
    return factor < OVERLOAD_FACTOR_MAX ? factor : OVERLOAD_FACTOR_MAX;
}

/* Returns the demand per call that the target serves, a moving average, and
 * closes a window that is over.  `running`, `limit` and `waiting` are the
 * current values. */
double
overload_factor(overload_meter *meter, int running, int limit, int waiting,
                int64_t now_us)
{
    if (now_us - meter->since_us >= OVERLOAD_WINDOW_US) {
        meter->factor +=
            (overload_close_window(meter, running, limit) - meter->factor) *
            OVERLOAD_WINDOW_WEIGHT;
        *meter = (overload_meter){
            .since_us = now_us, .waiting = waiting, .factor = meter->factor};
    }
    return meter->factor;
}
