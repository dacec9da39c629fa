#include "admission_limit.h"

#define ADMISSION_LIMIT_WINDOW_US 200000 /* 200 ms */
#define ADMISSION_LIMIT_SAMPLES_MIN 5   /* finished calls that make a window */
#define ADMISSION_LIMIT_COLD_PART 8     /* a cold target starts at slots / 8 */
#define ADMISSION_LIMIT_GROWTH 2.0      /* per window while ramping */
#define ADMISSION_LIMIT_DECREASE 0.9    /* per window while crowded */
#define ADMISSION_LIMIT_CROWDED 2.0     /* times the uncrowded time */
#define ADMISSION_LIMIT_FLOOR_PART 4    /* never under slots / 4 by latency */
#define ADMISSION_LIMIT_BASE_DRIFT 1.02 /* per window, so that a base ages */

/* The target announced `slots`; `cold`: it has just started. */
void
admission_limit_set_slots(admission_limit *l, int slots, bool cold,
                          int64_t now_us)
{
    l->slots = slots;
    if (l->limit > slots || !cold) {
        l->limit = slots;
    }
    if (cold) {
        l->ramping = true;
        l->limit = (double)slots / ADMISSION_LIMIT_COLD_PART;
        l->base_us = 0;
    }
    if (l->limit < 1 && slots > 0) {
        l->limit = 1;
    }
    l->window_start_us = now_us;
}

static void
admission_limit_ramp(admission_limit *l)
{
    l->limit = l->limit * ADMISSION_LIMIT_GROWTH + 1;
    if (l->limit >= l->slots) {
        l->limit = l->slots;
        l->ramping = false;
    }
}

static void
admission_limit_adapt(admission_limit *l, double mean_us)
{
    double floor = (double)l->slots / ADMISSION_LIMIT_FLOOR_PART;
    if (mean_us > l->base_us * ADMISSION_LIMIT_CROWDED) {
        l->limit *= ADMISSION_LIMIT_DECREASE;
    }
    else if (l->window_peak >= (int)l->limit) {
        l->limit += 1;
    }
    if (l->limit < floor) {
        l->limit = floor;
    }
    if (l->limit < 1) {
        l->limit = 1;
    }
    if (l->limit > l->slots) {
        l->limit = l->slots;
    }
}

static void
admission_limit_close_window(admission_limit *l, int64_t now_us)
{
    double mean_us = l->window_sum_us / l->window_count;
    if (l->base_us == 0 || mean_us < l->base_us) {
        l->base_us = mean_us;
    }
    else {
        l->base_us *= ADMISSION_LIMIT_BASE_DRIFT;
    }
    if (l->ramping) {
        admission_limit_ramp(l);
    }
    else if (l->adaptive) {
        admission_limit_adapt(l, mean_us);
    }
    else {
        l->limit = l->slots;
    }
    l->window_sum_us = 0;
    l->window_count = 0;
    l->window_peak = 0;
    l->window_start_us = now_us;
}

/* A call finished after `own_us` in the target itself, without the calls
 * that it made; `in_flight` counts the calls at the target before that. */
void
admission_limit_add_sample(admission_limit *l, int64_t own_us, int in_flight,
                           int64_t now_us)
{
    l->window_sum_us += (double)own_us;
    l->window_count++;
    if (in_flight > l->window_peak) {
        l->window_peak = in_flight;
    }
    if (l->window_count >= ADMISSION_LIMIT_SAMPLES_MIN &&
        now_us - l->window_start_us >= ADMISSION_LIMIT_WINDOW_US) {
        admission_limit_close_window(l, now_us);
    }
}

/* Calls that the target may hold now. */
int
admission_limit_value(const admission_limit *l)
{
    return (int)l->limit;
}
