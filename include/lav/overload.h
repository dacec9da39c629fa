/*
 * overload: measures by how much the demand at one target exceeds what it
 * serves, and which share of the requests behind that demand can be admitted.
 *
 * Meant for a burst, or a slow instance, that fills the slots of a deep
 * service.  The number of busy slots does not tell the callers by how much to
 * reduce their traffic; the ratio of demand to served calls does.  Arrivals
 * tell how much demand they stand for (call_demand), so the demand without
 * load shedding is known whatever level is in force, and the estimate doesn't
 * depend on how long a change takes to show.
 */
#ifndef LAV_OVERLOAD_H
#define LAV_OVERLOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/reason.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Length of a window: some tens of calls at a small target. */
#define OVERLOAD_WINDOW_US 100000

#define OVERLOAD_WINDOW_WEIGHT 0.4 /* of the last window in the average */

/* Share of the arrivals held up above which the target counts as full. */
#define OVERLOAD_HELD_UP_SHARE_MIN 0.25

/* Demand per call served that is aimed at.  It falls while a queue stands or
 * calls are lost, and rises again: demand is an estimate, and a chain of many
 * calls bears fewer lost ones than a single call. */
#define OVERLOAD_TARGET_MAX 1.1
#define OVERLOAD_TARGET_MIN 0.75

/* Waiting calls, as a share of the slots, and lost calls, as a share of the
 * arrivals, from which on the target factor falls. */
#define OVERLOAD_QUEUE_STANDING 0.5
#define OVERLOAD_LOST_STANDING 0.02

/* Share of the ended calls that the target itself failed, from which on it, and
 * not a lack of slots, is what chains of calls break at. */
#define OVERLOAD_FAILING_SHARE_MIN 0.15

/* Change of the target factor per window. */
#define OVERLOAD_TARGET_DECREASE 0.03
#define OVERLOAD_TARGET_INCREASE 0.02

/* Share of the waiting calls that is to be worked off in a window. */
#define OVERLOAD_QUEUE_SHARE 0.1

/* Larger factors can't be told apart from a stall. */
#define OVERLOAD_FACTOR_MAX 4.0

typedef struct overload_meter {
    int64_t since_us;    /* start of the window */
    int arrivals;        /* calls offered in the window, each counted once */
    int served;          /* calls that ended in the window */
    double served_share; /* the same, by the slot time of each */
    int waiting;         /* calls waiting at its start */
    int held_up;         /* calls that waited or were refused in the window */
    double factor; /* demand per call served; below 1: share of busy slots */
    int lost;      /* calls refused, or given up after a wait, in the window */
    int failed;    /* calls that the target refused or failed by itself */
    double demand; /* arrivals in the window, without load shedding */
    double relief; /* OVERLOAD_TARGET_MAX less the target factor */
    double mean_demand;   /* per window, moving average */
    double mean_capacity; /* calls that can be served per window, the same */
} overload_meter;

void overload_count_arrival(overload_meter *meter, double weight);
void overload_count_end(overload_meter *meter, double time_share);
void overload_count_held_up(overload_meter *meter);
void overload_count_lost(overload_meter *meter);
void overload_count_expired(overload_meter *meter, enum reason reason);
void overload_count_failed(overload_meter *meter);
double overload_factor(overload_meter *meter, int running, int limit,
                       int waiting, double call_us, int64_t now_us);
double overload_level(const overload_meter *meter);

#ifdef __cplusplus
}
#endif

#endif
