/*
 * overload_meter: how far the demand at one target exceeds what it serves.
 *
 * Load pattern answered: a burst, or a slow instance, that fills the slots
 * of a deep service.  Busy slots alone can't say by how much the callers
 * have to reduce what they send; demand over what is served can.
 */
#ifndef LAV_OVERLOAD_H
#define LAV_OVERLOAD_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define OVERLOAD_WINDOW_US                                                    \
    100000 /* 0.1 s: some tens of calls at a small target */
#define OVERLOAD_WINDOW_WEIGHT 0.4 /* weight of the last window */
#define OVERLOAD_HELD_UP_SHARE_MIN                                            \
    0.25                        /* of the arrivals held up: it is full */
#define OVERLOAD_FACTOR_MAX 4.0 /* more can't be told apart from a stall */

typedef struct overload_meter {
    int64_t since_us; /* start of the window */
    int arrivals;     /* calls offered in it, each once */
    int served;       /* calls that ended in it */
    int waiting;      /* at its start */
    int held_up;      /* calls that waited or were refused in it */
    double factor;    /* demand for each call served; below 1: busy slots */
} overload_meter;

void overload_count_arrival(overload_meter *o);
void overload_count_end(overload_meter *o);
void overload_count_held_up(overload_meter *o);
double overload_factor(overload_meter *o, int running, int limit, int waiting,
                       int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
