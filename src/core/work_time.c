#include "lav/work_time.h"

#include <math.h>
#include <stddef.h>

/* Returns the entry of a route; NULL if it has none. */
static const work_time_route *
work_time_find(const work_time_table *table, uint32_t route)
{
    for (int i = 0; i < table->count; i++) {
        if (table->routes[i].route == route) {
            return &table->routes[i];
        }
    }
    return NULL;
}

/* Returns the entry of a route, an empty one if it has none. */
static work_time_route *
work_time_get(work_time_table *table, uint32_t route)
{
    work_time_route *entry = (work_time_route *)work_time_find(table, route);
    if (entry != NULL) {
        return entry;
    }
    if (table->count < WORK_TIME_ROUTES_MAX) {
        entry = &table->routes[table->count++];
    }
    else {
        entry = &table->routes[0];
        for (int i = 1; i < table->count; i++) {
            if (table->routes[i].sampled_at_us < entry->sampled_at_us) {
                entry = &table->routes[i];
            }
        }
    }
    *entry = (work_time_route){.route = route};
    return entry;
}

/* Adds a call that ended after `took_us` at the target. */
void
work_time_add(work_time_table *table, uint32_t route, int64_t took_us,
              int64_t now_us)
{
    work_time_route *entry = work_time_get(table, route);
    double weight = table->weight > 0 ? table->weight : WORK_TIME_WEIGHT;
    entry->mean_us += entry->mean_us == 0
                          ? (double)took_us
                          : ((double)took_us - entry->mean_us) * weight;
    entry->sampled_at_us = now_us;
}

/* Adds a call that was cut off after `ran_us` at the target.  It would have
 * taken longer, so it counts only if it is above the mean. */
void
work_time_add_cut(work_time_table *table, uint32_t route, int64_t ran_us,
                  int64_t now_us)
{
    const work_time_route *entry = work_time_find(table, route);
    if (entry == NULL || (double)ran_us > entry->mean_us) {
        work_time_add(table, route, ran_us, now_us);
    }
}

/* Returns what is expected of an entry, in us. */
static int64_t
work_time_entry_us(const work_time_route *entry, int64_t now_us)
{
    double half_lives =
        (double)(now_us - entry->sampled_at_us) / WORK_TIME_HALF_LIFE_US;
    return (int64_t)(half_lives < 1 ? entry->mean_us
                                    : entry->mean_us * exp2(1 - half_lives));
}

/* Returns how long a call of a route is expected to take, in us; 0 if that is
 * not known. */
int64_t
work_time_expected_us(const work_time_table *table, uint32_t route,
                      int64_t now_us)
{
    const work_time_route *entry = work_time_find(table, route);
    return entry == NULL ? 0 : work_time_entry_us(entry, now_us);
}

/* Returns the mean over the routes of what is expected, in us, whatever their
 * numbers of calls; 0 if there are none. */
int64_t
work_time_mean_us(const work_time_table *table, int64_t now_us)
{
    int64_t sum_us = 0;
    for (int i = 0; i < table->count; i++) {
        sum_us += work_time_entry_us(&table->routes[i], now_us);
    }
    return table->count > 0 ? sum_us / table->count : 0;
}
