#include "admission_limit.h"

#define ADMISSION_LIMIT_WINDOW_US 200000 /* shortest window: 200 ms */
#define ADMISSION_LIMIT_SAMPLES_MIN 5 /* finished calls in a window at least */
#define ADMISSION_LIMIT_COLD_DIVISOR 8 /* a cold target starts at slots / 8 */
#define ADMISSION_LIMIT_GROWTH 2.0     /* factor per window while ramping */
#define ADMISSION_LIMIT_DECREASE 0.9   /* factor per congested window */

/* A window is congested if its mean self time exceeds the baseline times
 * this. */
#define ADMISSION_LIMIT_CONGESTED 2.0

/* The adaptive limit never falls below slots / 4. */
#define ADMISSION_LIMIT_MIN_DIVISOR 4

/* Growth of the baseline per window, so that an old minimum expires. */
#define ADMISSION_LIMIT_BASELINE_DRIFT 1.02

/* Set the slots that the target announced; `cold`: it has just started, so
 * the limit begins low and ramps up. */
void
admission_limit_set_slots(admission_limit *limit, int slots, bool cold,
                          int64_t now_us)
{
    limit->slots = slots;
    if (limit->value > slots || !cold) {
        limit->value = slots;
    }
    if (cold) {
        limit->ramping = true;
        limit->value = (double)slots / ADMISSION_LIMIT_COLD_DIVISOR;
        limit->baseline_us = 0;
    }
    if (limit->value < 1 && slots > 0) {
        limit->value = 1;
    }
    limit->window_start_us = now_us;
}

/* Raise the limit of a ramping target for one window. */
static void
admission_limit_ramp(admission_limit *limit)
{
    limit->value = limit->value * ADMISSION_LIMIT_GROWTH + 1;
    if (limit->value >= limit->slots) {
        limit->value = limit->slots;
        limit->ramping = false;
    }
}

/* Adapt the limit to the mean self time of a window. */
static void
admission_limit_adapt(admission_limit *limit, double mean_us)
{
    double value_min = (double)limit->slots / ADMISSION_LIMIT_MIN_DIVISOR;
    if (mean_us > limit->baseline_us * ADMISSION_LIMIT_CONGESTED) {
        limit->value *= ADMISSION_LIMIT_DECREASE;
    }
    else if (limit->window_peak >= (int)limit->value) {
        limit->value += 1;
    }
    if (limit->value < value_min) {
        limit->value = value_min;
    }
    if (limit->value < 1) {
        limit->value = 1;
    }
    if (limit->value > limit->slots) {
        limit->value = limit->slots;
    }
}

/* Evaluate the window and begin the next one. */
static void
admission_limit_close_window(admission_limit *limit, int64_t now_us)
{
    double mean_us = limit->window_sum_us / limit->window_count;
    if (limit->baseline_us == 0 || mean_us < limit->baseline_us) {
        limit->baseline_us = mean_us;
    }
    else {
        limit->baseline_us *= ADMISSION_LIMIT_BASELINE_DRIFT;
    }
    if (limit->ramping) {
        admission_limit_ramp(limit);
    }
    else if (limit->adaptive) {
        admission_limit_adapt(limit, mean_us);
    }
    else {
        limit->value = limit->slots;
    }
    limit->window_sum_us = 0;
    limit->window_count = 0;
    limit->window_peak = 0;
    limit->window_start_us = now_us;
}

/* Add a finished call: its self time, and `in_flight`, the calls at the target
 * just before it finished. */
void
admission_limit_add_sample(admission_limit *limit, int64_t self_time_us,
                           int in_flight, int64_t now_us)
{
    limit->window_sum_us += (double)self_time_us;
    limit->window_count++;
    if (in_flight > limit->window_peak) {
        limit->window_peak = in_flight;
    }
    if (limit->window_count >= ADMISSION_LIMIT_SAMPLES_MIN &&
        now_us - limit->window_start_us >= ADMISSION_LIMIT_WINDOW_US) {
        admission_limit_close_window(limit, now_us);
    }
}

/* Calls that the target may hold at present. */
int
admission_limit_value(const admission_limit *limit)
{
    return (int)limit->value;
}
