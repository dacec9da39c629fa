#include "lav/rpt.h"

#include <glib.h>
#include <stdlib.h>

#include "lav/err.h"

typedef struct rpt_route {
    double share; /* of the recent runs, 0 to 1 */
    int64_t run_us;
} rpt_route;

struct rpt {
    GHashTable *routes; /* key of the route -> rpt_route */
};

/* Make an empty record. */
int
rpt_new(rpt **out)
{
    rpt *r = calloc(1, sizeof(*r));
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
rpt_free(rpt *r)
{
    if (r != NULL) {
        g_hash_table_destroy(r->routes);
        free(r);
    }
}

/* The target is given a run on a route, which is a repeat with the
 * probability `repeat`. */
void
rpt_run(rpt *r, uint32_t route, double repeat, int64_t now_us)
{
    gpointer key = GUINT_TO_POINTER(route);
    rpt_route *known = g_hash_table_lookup(r->routes, key);
    if (known == NULL) {
        known = g_new0(rpt_route, 1);
        g_hash_table_insert(r->routes, key, known);
    }
    known->share += (repeat - known->share) * RPT_STEP;
    known->run_us = now_us;
}

/* The share of repeats among the calls of the target, 0 to 1: that of the
 * route which has most, as it isn't known which routes make the calls. */
double
rpt_share(const rpt *r, int64_t now_us)
{
    double most = 0;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, r->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const rpt_route *route = value;
        if (now_us - route->run_us <= RPT_KEEP_US && route->share > most) {
            most = route->share;
        }
    }
    return most;
}
