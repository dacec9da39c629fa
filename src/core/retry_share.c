#include "lav/retry_share.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>

#include "lav/err.h"

typedef struct retry_share_route {
    int runs;       /* in flight */
    double retries; /* among them */
    double average; /* share of retries among the runs that began, 0 to 1 */
    int64_t last_run_us;
} retry_share_route;

struct retry_share_table {
    GHashTable *routes; /* route key -> retry_share_route */
};

/* Creates an empty table.  ERR_NO_MEMORY if memory is exhausted. */
int
retry_share_new(retry_share_table **out)
{
    retry_share_table *table = calloc(1, sizeof(*table));
    if (table == NULL) {
        return ERR_NO_MEMORY;
    }
    table->routes =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    *out = table;
    return 0;
}

/* Frees the table; NULL is allowed. */
void
retry_share_free(retry_share_table *table)
{
    if (table != NULL) {
        g_hash_table_destroy(table->routes);
        free(table);
    }
}

/* Records that a run has been dispatched to the target, which is a retry with
 * the given probability, 0 to 1. */
void
retry_share_begin_run(retry_share_table *table, uint32_t route,
                      double retry_probability, int64_t now_us)
{
    gpointer key = GUINT_TO_POINTER(route);
    retry_share_route *entry = g_hash_table_lookup(table->routes, key);
    if (entry == NULL) {
        entry = g_new0(retry_share_route, 1);
        g_hash_table_insert(table->routes, key, entry);
    }
    entry->runs++;
    entry->retries += retry_probability;
    entry->average +=
        (retry_probability - entry->average) * RETRY_SHARE_RUN_WEIGHT;
    entry->last_run_us = now_us;
}

/* Records the end of a run that retry_share_begin_run() recorded with the same
 * arguments. */
void
retry_share_end_run(retry_share_table *table, uint32_t route,
                    double retry_probability)
{
    retry_share_route *entry =
        g_hash_table_lookup(table->routes, GUINT_TO_POINTER(route));
    if (entry != NULL && entry->runs > 0) {
        entry->runs--;
        entry->retries -= retry_probability;
    }
}

/* Returns the share of retries among the runs of a route. */
static double
retry_share_of_route(const retry_share_route *route)
{
    if (route->runs >= RETRY_SHARE_RUNS_MIN) {
        return route->retries / route->runs;
    }
    int missing = RETRY_SHARE_RUNS_MIN - route->runs;
    return (route->retries + missing * route->average) / RETRY_SHARE_RUNS_MIN;
}

/* Returns the share of retries among the calls of the target, 0 to 1: the
 * largest share of any route, as the route that a call belongs to is not
 * known. */
double
retry_share_get(const retry_share_table *table, int64_t now_us)
{
    double largest = 0;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, table->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const retry_share_route *route = value;
        bool recent = route->runs > 0 ||
                      now_us - route->last_run_us <= RETRY_SHARE_TTL_US;
        if (recent) {
            largest = MAX(largest, retry_share_of_route(route));
        }
    }
    return CLAMP(largest, 0, 1);
}
