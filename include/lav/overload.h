/*
 * overload: measures by how much the demand at one target exceeds what it
 * serves.
 *
 * Meant for a burst, or a slow instance, that fills the slots of a deep
 * service.  The number of busy slots does not tell the callers by how much to
 * reduce their traffic; the ratio of demand to served calls does.
 */
#ifndef LAV_OVERLOAD_H
#define LAV_OVERLOAD_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Length of a window: some tens of calls at a small target. */
#define OVERLOAD_WINDOW_US 100000

#define OVERLOAD_WINDOW_WEIGHT 0.4 /* of the last window in the average */

/* Share of the arrivals held up above which the target counts as full. */
#define OVERLOAD_HELD_UP_SHARE_MIN 0.25

/* Larger factors can't be told apart from a stall. */
#define OVERLOAD_FACTOR_MAX 4.0

typedef struct overload_meter {
    int64_t since_us; /* start of the window */
    int arrivals;     /* calls offered in the window, each counted once */
    int served;       /* calls that ended in the window */
    int waiting;      /* calls waiting at its start */
    int held_up;      /* calls that waited or were refused in the window */
    double factor; /* demand per call served; below 1: share of busy slots */
} overload_meter;

void overload_count_arrival(overload_meter *meter);
void overload_count_end(overload_meter *meter);
void overload_count_held_up(overload_meter *meter);
double overload_factor(overload_meter *meter, int running, int limit,
                       int waiting, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
