#include "lav/retry_share.h"

#include <glib.h>
#include <stdlib.h>

#include "lav/err.h"

typedef struct retry_share_route {
    double share; /* of the recent runs, 0 to 1 */
    int64_t run_us;
} retry_share_route;

struct retry_share_table {
    GHashTable *routes; /* key of the route -> retry_share_route */
};

/* Make an empty record. */
int
retry_share_new(retry_share_table **out)
{
    retry_share_table *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return ERR_NO_MEMORY;
    }
    r->routes =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    *out = r;
    return 0;
}

/* Release it; takes NULL. */
void
retry_share_free(retry_share_table *r)
{
    if (r != NULL) {
        g_hash_table_destroy(r->routes);
        free(r);
    }
}

/* The target is given a run on a route, which is a repeat with the
 * probability `repeat`. */
void
retry_share_record_run(retry_share_table *r, uint32_t route, double repeat,
                       int64_t now_us)
{
    gpointer key = GUINT_TO_POINTER(route);
    retry_share_route *known = g_hash_table_lookup(r->routes, key);
    if (known == NULL) {
        known = g_new0(retry_share_route, 1);
        g_hash_table_insert(r->routes, key, known);
    }
    known->share += (repeat - known->share) * RETRY_SHARE_RUN_WEIGHT;
    known->run_us = now_us;
}

/* The share of repeats among the calls of the target, 0 to 1: that of the
 * route which has most, as it isn't known which routes make the calls. */
double
retry_share_get(const retry_share_table *r, int64_t now_us)
{
    double most = 0;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, r->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const retry_share_route *route = value;
        if (now_us - route->run_us <= RETRY_SHARE_TTL_US &&
            route->share > most) {
            most = route->share;
        }
    }
    return most;
}
