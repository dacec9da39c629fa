/*
 * work_time: how long the calls of each route take at one target, learnt from
 * the calls that end there.  Routes are few; when the table is full, the one
 * without a sample for the longest time is replaced.
 *
 * Load pattern: a service that takes calls of some tens of milliseconds and
 * requests ten times as long.  One mean for both would be wrong for either.
 */
#ifndef LAV_WORK_TIME_H
#define LAV_WORK_TIME_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define WORK_TIME_ROUTES_MAX 16
#define WORK_TIME_WEIGHT 0.05 /* of one call in the moving average */

/* Without a sample, an expectation halves in this time: a target that was slow
 * must get calls again to show that it is not. */
#define WORK_TIME_HALF_LIFE_US 2000000

typedef struct work_time_route {
    uint32_t route; /* key of the route */
    double mean_us;
    int64_t sampled_at_us; /* when the last sample came */
} work_time_route;

typedef struct work_time_table {
    double weight; /* of one call in the average; 0: WORK_TIME_WEIGHT */
    work_time_route routes[WORK_TIME_ROUTES_MAX];
    int count;
} work_time_table;

void work_time_add(work_time_table *table, uint32_t route, int64_t took_us,
                   int64_t now_us);
void work_time_add_cut(work_time_table *table, uint32_t route, int64_t ran_us,
                       int64_t now_us);
int64_t work_time_expected_us(const work_time_table *table, uint32_t route,
                              int64_t now_us);
int64_t work_time_mean_us(const work_time_table *table, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
