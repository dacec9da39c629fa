/*
 * call_demand: how much demand each call that comes out of this node's target
 * stands for.  A request that was admitted where a third of its kind is
 * admitted stands for three.  The calls of the target name no parent request,
 * so the demand that the begun runs will cause is divided among the calls.
 *
 * Load pattern: a burst on a chain of services.  The deepest service sees its
 * calls only after those above it have done their work, and runs that fail
 * early hide the calls that they would have made.  The calls that arrive tell
 * of both at once.
 */
#ifndef LAV_CALL_DEMAND_H
#define LAV_CALL_DEMAND_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Time constant with which the begun runs and the calls are averaged. */
#define CALL_DEMAND_SHORT_US 200000

/* Time constant of the ratio between them that holds without overload. */
#define CALL_DEMAND_LONG_US 30000000

/* Time from the first run whose calls are known until that ratio is learned:
 * runs begin before their calls come. */
#define CALL_DEMAND_SETTLE_US 1000000

/* Calls that must have been made before that ratio is known. */
#define CALL_DEMAND_CALLS_MIN 10

/* Largest demand that a call stands for; the smallest is its inverse. */
#define CALL_DEMAND_MAX 16.0

/* All zero: nothing observed. */
typedef struct call_demand {
    double weight;       /* of the begun runs, each by its calls, decayed */
    double demand;       /* calls that the begun runs will make, decayed */
    double calls;        /* made, decayed */
    double usual_demand; /* calls of begun runs, over the long time */
    double usual_ratio;  /* sum of demand / calls at each call, the same */
    double usual_calls;
    int64_t advanced_at_us;
    int64_t first_run_us; /* whose calls are known; 0: none yet */
} call_demand;

void call_demand_begin_run(call_demand *state, double calls_per_run,
                           double weight, bool usual, int64_t now_us);
double call_demand_record_call(call_demand *state, bool usual, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
