#include "lav/call_rate.h"

#include <glib.h>
#include <math.h>

#include "lav/clock.h"

#define CALL_RATE_NONE (-1)

/* Passes of coordinate descent in a fit. */
#define CALL_RATE_FIT_PASSES 30

/* Returns the index of a route that runs here, or CALL_RATE_NONE. */
static int
call_rate_find_run(const call_rate_table *table, uint32_t route)
{
    for (int i = 0; i < table->run_count; i++) {
        if (table->runs[i].route == route) {
            return i;
        }
    }
    return CALL_RATE_NONE;
}

/* Returns the index of a route that is called, or CALL_RATE_NONE. */
static int
call_rate_find_callee(const call_rate_table *table, uint32_t route)
{
    for (int i = 0; i < table->callee_count; i++) {
        if (table->callees[i].route == route) {
            return i;
        }
    }
    return CALL_RATE_NONE;
}

/* Integrates the runs in flight since the last event. */
static void
call_rate_advance(call_rate_table *table, int64_t now_us)
{
    double passed_us = (double)(now_us - table->advanced_at_us);
    table->advanced_at_us = now_us;
    if (passed_us <= 0 || table->paused) {
        return;
    }
    double kept = exp(-passed_us / CALL_RATE_MEMORY_US);
    double passed_s = passed_us / CLOCK_US_PER_S;
    for (int i = 0; i < table->run_count; i++) {
        call_rate_run *run = &table->runs[i];
        run->begun *= kept;
        run->time_s = run->time_s * kept + run->in_flight * passed_s;
        for (int j = 0; j < table->run_count; j++) {
            table->products[i][j] =
                table->products[i][j] * kept +
                run->in_flight * table->runs[j].in_flight * passed_s;
        }
    }
    for (int c = 0; c < table->callee_count; c++) {
        for (int i = 0; i < table->run_count; i++) {
            table->callees[c].weighted[i] *= kept;
        }
    }
}

/* Stops or resumes learning. */
void
call_rate_set_paused(call_rate_table *table, bool paused, int64_t now_us)
{
    call_rate_advance(table, now_us);
    table->paused = paused;
}

/* Records that a run of a route has begun at the target.  Routes beyond
 * CALL_RATE_ROUTES_MAX are not observed. */
void
call_rate_begin_run(call_rate_table *table, uint32_t route, int64_t now_us)
{
    call_rate_advance(table, now_us);
    int i = call_rate_find_run(table, route);
    if (i == CALL_RATE_NONE && table->run_count < CALL_RATE_ROUTES_MAX) {
        i = table->run_count++;
        table->runs[i].route = route;
    }
    if (i != CALL_RATE_NONE) {
        table->runs[i].in_flight++;
        table->runs[i].begun += table->paused ? 0 : 1;
    }
}

/* Records the end of a run. */
void
call_rate_end_run(call_rate_table *table, uint32_t route, int64_t now_us)
{
    call_rate_advance(table, now_us);
    int i = call_rate_find_run(table, route);
    if (i != CALL_RATE_NONE && table->runs[i].in_flight > 0) {
        table->runs[i].in_flight--;
    }
}

/* Records a call that came out of the target. */
void
call_rate_count_call(call_rate_table *table, uint32_t callee, int64_t now_us)
{
    call_rate_advance(table, now_us);
    if (table->paused) {
        return;
    }
    int c = call_rate_find_callee(table, callee);
    if (c == CALL_RATE_NONE && table->callee_count < CALL_RATE_ROUTES_MAX) {
        c = table->callee_count++;
        table->callees[c].route = callee;
    }
    if (c == CALL_RATE_NONE) {
        return;
    }
    for (int i = 0; i < table->run_count; i++) {
        table->callees[c].weighted[i] += table->runs[i].in_flight;
    }
}

/* Fits the calls on one route to the runs in flight. */
static void
call_rate_fit_callee(const call_rate_table *table, call_rate_callee *callee)
{
    double per_s[CALL_RATE_ROUTES_MAX] = {0}; /* calls a second in flight */
    for (int pass = 0; pass < CALL_RATE_FIT_PASSES; pass++) {
        for (int i = 0; i < table->run_count; i++) {
            double explained = 0;
            for (int j = 0; j < table->run_count; j++) {
                explained += j == i ? 0 : table->products[i][j] * per_s[j];
            }
            per_s[i] = table->products[i][i] > 0
                           ? MAX((callee->weighted[i] - explained) /
                                     table->products[i][i],
                                 0)
                           : 0;
        }
    }
    for (int i = 0; i < table->run_count; i++) {
        const call_rate_run *run = &table->runs[i];
        callee->per_run[i] = run->begun >= CALL_RATE_RUNS_MIN
                                 ? per_s[i] * run->time_s / run->begun
                                 : 0;
    }
}

/* Fits all rates again if the last fit is old. */
static void
call_rate_fit(call_rate_table *table, int64_t now_us)
{
    if (now_us - table->fitted_at_us < CALL_RATE_FIT_INTERVAL_US) {
        return;
    }
    call_rate_advance(table, now_us);
    for (int c = 0; c < table->callee_count; c++) {
        call_rate_fit_callee(table, &table->callees[c]);
    }
    table->fitted_at_us = now_us;
}

/* Returns how many calls on the route `callee` a run of `route` makes; 0 while
 * too few runs were observed. */
double
call_rate_per_run(call_rate_table *table, uint32_t route, uint32_t callee,
                  int64_t now_us)
{
    call_rate_fit(table, now_us);
    int i = call_rate_find_run(table, route);
    int c = call_rate_find_callee(table, callee);
    return i == CALL_RATE_NONE || c == CALL_RATE_NONE
               ? 0
               : table->callees[c].per_run[i];
}

/* Returns how many calls a run of `route` makes in all. */
double
call_rate_total_per_run(call_rate_table *table, uint32_t route, int64_t now_us)
{
    double total = 0;
    call_rate_fit(table, now_us);
    int i = call_rate_find_run(table, route);
    for (int c = 0; i != CALL_RATE_NONE && c < table->callee_count; c++) {
        total += table->callees[c].per_run[i];
    }
    return total;
}

/* Returns how long a run of `route` takes on average, in us; 0 while too few
 * runs were observed. */
double
call_rate_run_us(const call_rate_table *table, uint32_t route)
{
    int i = call_rate_find_run(table, route);
    if (i == CALL_RATE_NONE || table->runs[i].begun < CALL_RATE_RUNS_MIN) {
        return 0;
    }
    return table->runs[i].time_s / table->runs[i].begun * CLOCK_US_PER_S;
}
