#include "lav/chn.h"

#include <glib.h>
#include <stdlib.h>

#include "lav/err.h"

typedef struct chn_route {
    /* of requests on it that run at the target here */
    org origins;
    enum org_verdict origin;
    double failing; /* share of runs that failed */
    int64_t depends_until_us;
    /* of requests on it that this node sent on */
    bool judged;
    double inner; /* share of the recent verdicts: calls of targets */
    chn_strain strain;
    int64_t heard_us;
} chn_route;

struct chn {
    GHashTable *routes; /* key of the route -> chn_route */
};

/* Make an empty record. */
int
chn_new(chn **out)
{
    chn *c = calloc(1, sizeof(*c));
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
chn_free(chn *c)
{
    if (c != NULL) {
        g_hash_table_destroy(c->routes);
        free(c);
    }
}

static chn_route *
chn_find(const chn *c, uint32_t route)
{
    return g_hash_table_lookup(c->routes, GUINT_TO_POINTER(route));
}

static chn_route *
chn_get(chn *c, uint32_t route)
{
    chn_route *r = chn_find(c, route);
    if (r == NULL) {
        r = g_new0(chn_route, 1);
        g_hash_table_insert(c->routes, GUINT_TO_POINTER(route), r);
    }
    return r;
}

/* A request on a route reached the target here; `origin` is the service
 * beside the node where it came from, and `node_share` gives the part of all
 * nodes that stand beside a service. */
void
chn_arrived(chn *c, uint32_t route, uint32_t origin, org_share_cb node_share,
            void *payload)
{
    chn_route *r = chn_get(c, route);
    org_arrived(&r->origins, origin);
    if (r->origins.requests % ORG_ENOUGH == 0) {
        r->origin = org_judge(&r->origins, node_share, payload);
    }
}

/* Where the requests on a route come from, as judged here. */
enum org_verdict
chn_origin_of(const chn *c, uint32_t route)
{
    const chn_route *r = chn_find(c, route);
    return r == NULL ? ORG_UNKNOWN : r->origin;
}

static bool
chn_inner(const chn_route *r)
{
    return r->inner > CHN_INNER_HALF;
}

/* The worst overload among the calls that targets here make. */
static chn_strain
chn_below(const chn *c, int64_t now_us)
{
    chn_strain worst = {0, 0};
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, c->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const chn_route *r = value;
        if (chn_inner(r) && now_us - r->heard_us <= CHN_HEARD_US &&
            r->strain.factor > worst.factor) {
            worst = r->strain;
        }
    }
    return worst;
}

/* A run here has ended.  One that fails while a service below is overloaded
 * shows that the route depends on it. */
void
chn_ended(chn *c, uint32_t route, bool failed, int64_t now_us)
{
    chn_route *r = chn_get(c, route);
    r->failing += ((failed ? 1 : 0) - r->failing) * CHN_FAIL_STEP;
    if (failed && r->failing > CHN_FAILING &&
        chn_below(c, now_us).factor > CHN_OVERLOADED) {
        r->depends_until_us = now_us + CHN_DEPENDS_US;
    }
}

/* A node answered a request that this node began, and told where it thinks
 * that the requests on the route come from. */
void
chn_heard(chn *c, uint32_t route, enum org_verdict origin,
          const chn_strain *strain, int64_t now_us)
{
    chn_route *r = chn_get(c, route);
    if (origin != ORG_UNKNOWN) {
        double inner = origin == ORG_TARGETS ? 1 : 0;
        r->inner =
            r->judged ? r->inner + (inner - r->inner) * CHN_HEARD_STEP : inner;
        r->judged = true;
    }
    if (r->strain.service != strain->service) {
        r->strain = *strain;
    }
    r->strain.factor += (strain->factor - r->strain.factor) * CHN_HEARD_STEP;
    r->heard_us = now_us;
}

/* Whether the requests on a route are calls of targets, as was heard. */
bool
chn_is_inner(const chn *c, uint32_t route)
{
    const chn_route *r = chn_find(c, route);
    return r != NULL && chn_inner(r);
}

/* The worst overload on the chain of a route that runs here, `own` being
 * that of the target itself. */
chn_strain
chn_strain_of(const chn *c, uint32_t route, const chn_strain *own,
              int64_t now_us)
{
    const chn_route *r = chn_find(c, route);
    if (r == NULL || now_us > r->depends_until_us) {
        return *own;
    }
    chn_strain below = chn_below(c, now_us);
    return below.factor > own->factor ? below : *own;
}
