/*
 * admission_limit: how many calls a target may hold at once.  The announced slots
 * are the ceiling; below it the limit follows the time that calls spend in
 * the target itself (additive increase, multiplicative decrease; Chiu and
 * Jain, 1989), and a cold target starts low.
 */
#ifndef LAV_ADMISSION_LIMIT_H
#define LAV_ADMISSION_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct admission_limit {
    int slots;    /* announced by the target; 0: none */
    double limit; /* 1 to slots */
    bool ramping; /* slow start after a cold start */
    bool adaptive;
    double base_us; /* time in the target when it is not crowded */
    double window_sum_us;
    int window_count;
    int window_peak; /* most calls in flight in this window */
    int64_t window_start_us;
} admission_limit;

void admission_limit_set_slots(admission_limit *l, int slots, bool cold,
                               int64_t now_us);
void admission_limit_add_sample(admission_limit *l, int64_t own_us,
                                int in_flight, int64_t now_us);
int admission_limit_value(const admission_limit *l);

#endif
