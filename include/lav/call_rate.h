/*
 * call_rate: how many calls a run of each route makes, learned beside the
 * target.  Calls name no parent, so the rate at which calls come out is fitted
 * to the runs in flight of each route (non-negative least squares).
 *
 * Load pattern: the first seconds of a burst.  What a request will cost at the
 * services below must be known before the first request loses a call there.
 */
#ifndef LAV_CALL_RATE_H
#define LAV_CALL_RATE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define CALL_RATE_ROUTES_MAX 8 /* routes run here, and routes called */

/* Time constant with which earlier observations are forgotten. */
#define CALL_RATE_MEMORY_US 30000000

/* Runs that must have begun before a rate is stated. */
#define CALL_RATE_RUNS_MIN 10

/* Calls a run from which on a route depends on the one that it calls. */
#define CALL_RATE_DEPENDS_MIN 0.5

/* Time between two fits. */
#define CALL_RATE_FIT_INTERVAL_US 250000

typedef struct call_rate_run {
    uint32_t route;
    int in_flight;
    double begun;  /* runs, decayed */
    double time_s; /* time in flight, summed over runs, decayed */
} call_rate_run;

typedef struct call_rate_callee {
    uint32_t route;
    double
        weighted[CALL_RATE_ROUTES_MAX];   /* calls x runs in flight, decayed */
    double per_run[CALL_RATE_ROUTES_MAX]; /* calls a run, as last fitted */
} call_rate_callee;

/* All zero: nothing observed. */
typedef struct call_rate_table {
    call_rate_run runs[CALL_RATE_ROUTES_MAX];
    int run_count;
    call_rate_callee callees[CALL_RATE_ROUTES_MAX];
    int callee_count;
    /* Products of the runs in flight, integrated over time, decayed. */
    double products[CALL_RATE_ROUTES_MAX][CALL_RATE_ROUTES_MAX];
    int64_t advanced_at_us;
    int64_t fitted_at_us;
    bool paused; /* learns nothing: runs end early, as their calls fail */
} call_rate_table;

void call_rate_set_paused(call_rate_table *table, bool paused, int64_t now_us);
void call_rate_begin_run(call_rate_table *table, uint32_t route,
                         int64_t now_us);
void call_rate_end_run(call_rate_table *table, uint32_t route, int64_t now_us);
void call_rate_count_call(call_rate_table *table, uint32_t callee,
                          int64_t now_us);
double call_rate_per_run(call_rate_table *table, uint32_t route,
                         uint32_t callee, int64_t now_us);
double call_rate_run_us(const call_rate_table *table, uint32_t route);
double call_rate_total_per_run(call_rate_table *table, uint32_t route,
                               int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
