#include "lav/downstream.h"

#include <glib.h>
#include <stdlib.h>

#include "lav/err.h"

typedef struct downstream_route {
    /* of requests on it that run at the target here */
    origin_counts origins;
    enum origin_kind origin;
    double failing; /* share of runs that failed */
    int64_t depends_until_us;
    /* of requests on it that this node sent on */
    bool judged;
    double inner; /* share of the recent verdicts: calls of targets */
    downstream_overload chain_overload;
    int64_t heard_us;
} downstream_route;

struct downstream_table {
    GHashTable *routes; /* key of the route -> downstream_route */
};

/* Make an empty record. */
int
downstream_new(downstream_table **out)
{
    downstream_table *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return ERR_NO_MEMORY;
    }
    c->routes =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    *out = c;
    return 0;
}

/* Release it; takes NULL. */
void
downstream_free(downstream_table *c)
{
    if (c != NULL) {
        g_hash_table_destroy(c->routes);
        free(c);
    }
}

static downstream_route *
downstream_find(const downstream_table *c, uint32_t route)
{
    return g_hash_table_lookup(c->routes, GUINT_TO_POINTER(route));
}

static downstream_route *
downstream_get(downstream_table *c, uint32_t route)
{
    downstream_route *r = downstream_find(c, route);
    if (r == NULL) {
        r = g_new0(downstream_route, 1);
        g_hash_table_insert(c->routes, GUINT_TO_POINTER(route), r);
    }
    return r;
}

/* A request on a route reached the target here; `origin` is the service
 * beside the node where it came from, and `node_share` gives the part of all
 * nodes that stand beside a service. */
void
downstream_record_arrival(downstream_table *c, uint32_t route, uint32_t origin,
                          origin_share_cb node_share, void *payload)
{
    downstream_route *r = downstream_get(c, route);
    origin_count_request(&r->origins, origin);
    if (r->origins.requests % ORIGIN_REQUESTS_MIN == 0) {
        r->origin = origin_classify(&r->origins, node_share, payload);
    }
}

/* Where the requests on a route come from, as judged here. */
enum origin_kind
downstream_route_origin(const downstream_table *c, uint32_t route)
{
    const downstream_route *r = downstream_find(c, route);
    return r == NULL ? ORIGIN_UNKNOWN : r->origin;
}

static bool
downstream_mostly_internal(const downstream_route *r)
{
    return r->inner > DOWNSTREAM_INTERNAL_SHARE_MIN;
}

/* The worst overload among the calls that targets here make. */
static downstream_overload
downstream_worst_callee(const downstream_table *c, int64_t now_us)
{
    downstream_overload worst = {0, 0};
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, c->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const downstream_route *r = value;
        if (downstream_mostly_internal(r) &&
            now_us - r->heard_us <= DOWNSTREAM_REPORT_MAX_AGE_US &&
            r->chain_overload.factor > worst.factor) {
            worst = r->chain_overload;
        }
    }
    return worst;
}

/* A run here has ended.  One that fails while a service below is overloaded
 * shows that the route depends on it. */
void
downstream_record_end(downstream_table *c, uint32_t route, bool failed,
                      int64_t now_us)
{
    downstream_route *r = downstream_get(c, route);
    r->failing += ((failed ? 1 : 0) - r->failing) * DOWNSTREAM_FAILURE_WEIGHT;
    if (failed && r->failing > DOWNSTREAM_FAILURE_SHARE_MIN &&
        downstream_worst_callee(c, now_us).factor >
            DOWNSTREAM_OVERLOAD_FACTOR_MIN) {
        r->depends_until_us = now_us + DOWNSTREAM_DEPENDENCY_TTL_US;
    }
}

/* A node answered a request that this node began, and told where it thinks
 * that the requests on the route come from. */
void
downstream_record_report(downstream_table *c, uint32_t route,
                         enum origin_kind origin,
                         const downstream_overload *chain_overload,
                         int64_t now_us)
{
    downstream_route *r = downstream_get(c, route);
    if (origin != ORIGIN_UNKNOWN) {
        double inner = origin == ORIGIN_INTERNAL ? 1 : 0;
        r->inner = r->judged ? r->inner + (inner - r->inner) *
                                              DOWNSTREAM_REPORT_WEIGHT
                             : inner;
        r->judged = true;
    }
    if (r->chain_overload.service != chain_overload->service) {
        r->chain_overload = *chain_overload;
    }
    r->chain_overload.factor +=
        (chain_overload->factor - r->chain_overload.factor) *
        DOWNSTREAM_REPORT_WEIGHT;
    r->heard_us = now_us;
}

/* Whether the requests on a route are calls of targets, as was heard. */
bool
downstream_is_internal(const downstream_table *c, uint32_t route)
{
    const downstream_route *r = downstream_find(c, route);
    return r != NULL && downstream_mostly_internal(r);
}

/* The worst overload on the chain of a route that runs here, `own` being
 * that of the target itself. */
downstream_overload
downstream_chain_overload(const downstream_table *c, uint32_t route,
                          const downstream_overload *own, int64_t now_us)
{
    const downstream_route *r = downstream_find(c, route);
    if (r == NULL || now_us > r->depends_until_us) {
        return *own;
    }
    downstream_overload below = downstream_worst_callee(c, now_us);
    return below.factor > own->factor ? below : *own;
}
