/*
 * admission_limit: the concurrency limit of a target.  The slots that the
 * target announced are the upper bound.  Below it an adaptive limit follows
 * the self time of calls, the time in the target without its downstream calls
 * (additive increase, multiplicative decrease; Chiu and Jain, 1989).  A cold
 * target starts with a low limit.
 */
#ifndef LAV_ADMISSION_LIMIT_H
#define LAV_ADMISSION_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct admission_limit {
    int slots;    /* announced by the target; 0: none announced */
    double value; /* 1 to slots */
    bool ramping; /* slow start of a cold target */
    bool adaptive;
    double baseline_us;   /* mean self time without congestion */
    double window_sum_us; /* self time of the finished calls */
    int window_count;     /* finished calls */
    int window_peak;      /* most calls in flight in this window */
    int64_t window_start_us;
} admission_limit;

void admission_limit_set_slots(admission_limit *limit, int slots, bool cold,
                               int64_t now_us);
void admission_limit_add_sample(admission_limit *limit, int64_t self_time_us,
                                int in_flight, int64_t now_us);
int admission_limit_value(const admission_limit *limit);

#endif
