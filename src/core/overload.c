#include "lav/overload.h"

/* A call was offered for the first time: one that moves on after a refusal
 * elsewhere is not new demand. */
void
overload_count_arrival(overload_meter *o)
{
    o->arrivals++;
}

/* A call has ended at the target. */
void
overload_count_end(overload_meter *o)
{
    o->served++;
}

/* A call had to wait, or was refused for want of a slot. */
void
overload_count_held_up(overload_meter *o)
{
    o->held_up++;
}

static double
overload_close_window(const overload_meter *o, int running, int limit)
{
    bool full = o->waiting > 0 || o->held_up > (o->arrivals + o->waiting) *
                                                   OVERLOAD_HELD_UP_SHARE_MIN;
    if (!full) {
        return limit > 0 ? (double)running / limit : 0;
    }
    double served = o->served > 0 ? o->served : 1;
    double factor = (o->arrivals + o->waiting) / served;
    if (factor < 1) {
        return 1;
    }
    return factor < OVERLOAD_FACTOR_MAX ? factor : OVERLOAD_FACTOR_MAX;
}

/* Demand for each call that the target serves; closes windows that are over.
 * `running`, `limit` and `waiting` are those of now. */
double
overload_factor(overload_meter *o, int running, int limit, int waiting,
                int64_t now_us)
{
    if (now_us - o->since_us >= OVERLOAD_WINDOW_US) {
        o->factor += (overload_close_window(o, running, limit) - o->factor) *
                     OVERLOAD_WINDOW_WEIGHT;
        *o = (overload_meter){
            .since_us = now_us, .waiting = waiting, .factor = o->factor};
    }
    return o->factor;
}
