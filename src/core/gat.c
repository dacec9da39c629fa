#include "lav/gat.h"

#include <glib.h>
#include <stdlib.h>

#include "lav/err.h"

#define GAT_COUNT_KEEP 0.7 /* of a kind's count, from period to period */

typedef struct gat_kind {
    int priority;
    double count;  /* recent requests, decayed */
    double share;  /* of them that are begun */
    double credit; /* turns saved up */
} gat_kind;

typedef struct gat_service {
    uint32_t service;
    double level;           /* 1: everything is begun */
    double past[GAT_DELAY]; /* levels of the last periods, in turn */
    int turn;
    double factor; /* of the overload, smoothed */
    int64_t heard_us;
    int64_t changed_us;
    gat_kind kinds[GAT_KINDS_MAX]; /* the most important first */
    int kind_count;
} gat_service;

struct gat {
    gat_service services[GAT_SERVICES_MAX];
    int count;
    GHashTable *routes; /* key of the route -> index of a service + 1 */
};

/* Make a gate that is open. */
int
gat_new(gat **out)
{
    gat *g = calloc(1, sizeof(*g));
    if (g == NULL) {
        return ERR_NO_MEMORY;
    }
    g->routes = g_hash_table_new(g_direct_hash, g_direct_equal);
    *out = g;
    return 0;
}

/* Release it; takes NULL. */
void
gat_free(gat *g)
{
    if (g != NULL) {
        g_hash_table_destroy(g->routes);
        free(g);
    }
}

static gat_service *
gat_find(const gat *g, uint32_t service)
{
    for (int i = 0; i < g->count; i++) {
        if (g->services[i].service == service) {
            return (gat_service *)&g->services[i];
        }
    }
    return NULL;
}

/* A service that holds nothing back. */
static gat_service
gat_open(uint32_t service)
{
    gat_service s = {.service = service, .level = 1};
    for (int i = 0; i < GAT_DELAY; i++) {
        s.past[i] = 1;
    }
    return s;
}

/* The entry of a service; one that is open again gives way to it. */
static gat_service *
gat_get(gat *g, uint32_t service)
{
    gat_service *s = gat_find(g, service);
    if (s == NULL && g->count < GAT_SERVICES_MAX) {
        s = &g->services[g->count++];
        *s = gat_open(service);
    }
    for (int i = 0; s == NULL && i < g->count; i++) {
        if (g->services[i].level >= 1) {
            s = &g->services[i];
            *s = gat_open(service);
        }
    }
    return s;
}

/* The service that holds a route back; NULL: none is known. */
static gat_service *
gat_of_route(const gat *g, uint32_t route)
{
    int index = GPOINTER_TO_INT(
        g_hash_table_lookup(g->routes, GUINT_TO_POINTER(route)));
    return index == 0 ? NULL : (gat_service *)&g->services[index - 1];
}

/* Fill the level by priority: a floor for each kind, then the most
 * important kinds first. */
static void
gat_share_out(gat_service *s)
{
    double all = 0;
    for (int i = 0; i < s->kind_count; i++) {
        all += s->kinds[i].count;
    }
    double left = all * s->level * (1 - GAT_FLOOR);
    for (int i = 0; i < s->kind_count; i++) {
        gat_kind *kind = &s->kinds[i];
        double floor = kind->count * s->level * GAT_FLOOR;
        double more = MIN(kind->count - floor, left);
        left -= more;
        kind->share = kind->count > 0 ? (floor + more) / kind->count : 1;
    }
}

static void
gat_follow(gat_service *s, int64_t now_us)
{
    if (now_us - s->changed_us < GAT_PERIOD_US) {
        return;
    }
    s->changed_us = now_us;
    /* The overload heard of now is that of the requests begun then. */
    double then = s->past[s->turn];
    double change = GAT_RAISE_MOST;
    if (now_us - s->heard_us <= GAT_STALE_US && s->factor > 0) {
        change = MIN(GAT_TARGET / s->factor, GAT_RAISE_MOST);
    }
    s->past[s->turn] = s->level;
    s->turn = (s->turn + 1) % GAT_DELAY;
    s->level += (then * change - s->level) * GAT_GAIN;
    s->level = CLAMP(s->level, GAT_LEAST, 1.0);
    gat_share_out(s);
    for (int i = 0; i < s->kind_count; i++) {
        s->kinds[i].count *= GAT_COUNT_KEEP;
    }
}

/* An answer told of the overload on the chain of a route. */
void
gat_heard(gat *g, uint32_t route, const chn_strain *strain, int64_t now_us)
{
    gat_service *s = strain->service != 0 ? gat_get(g, strain->service) : NULL;
    if (s == NULL) {
        return;
    }
    s->factor += (strain->factor - s->factor) * GAT_HEARD_STEP;
    s->heard_us = now_us;
    const gat_service *old = gat_of_route(g, route);
    if (old != NULL && old != s && old->level < 1 && strain->factor < 1) {
        return; /* another service holds the route back */
    }
    g_hash_table_insert(g->routes, GUINT_TO_POINTER(route),
                        GINT_TO_POINTER((int)(s - g->services) + 1));
}

/* The entry of a priority, in the order of importance. */
static gat_kind *
gat_kind_of(gat_service *s, int priority)
{
    int at = 0;
    while (at < s->kind_count && s->kinds[at].priority < priority) {
        at++;
    }
    if (at < s->kind_count && s->kinds[at].priority == priority) {
        return &s->kinds[at];
    }
    if (s->kind_count == GAT_KINDS_MAX) {
        return &s->kinds[GAT_KINDS_MAX - 1];
    }
    for (int i = s->kind_count; i > at; i--) {
        s->kinds[i] = s->kinds[i - 1];
    }
    s->kind_count++;
    s->kinds[at] = (gat_kind){.priority = priority, .share = s->level};
    return &s->kinds[at];
}

/* Whether a request of an outside caller is to be begun. */
bool
gat_admit(gat *g, uint32_t route, int priority, int64_t now_us)
{
    gat_service *s = gat_of_route(g, route);
    if (s == NULL) {
        return true;
    }
    gat_kind *kind = gat_kind_of(s, priority);
    kind->count++;
    gat_follow(s, now_us);
    if (s->level >= 1) {
        return true;
    }
    kind->credit = MIN(kind->credit + kind->share, 2.0);
    if (kind->credit < 1) {
        return false;
    }
    kind->credit -= 1;
    return true;
}

/* The level that holds a route back; 1: none does. */
double
gat_level_of(const gat *g, uint32_t route)
{
    const gat_service *s = gat_of_route(g, route);
    return s == NULL ? 1 : s->level;
}

/* Hash of the name of the service that holds a route back; 0: none does. */
uint32_t
gat_service_of(const gat *g, uint32_t route)
{
    const gat_service *s = gat_of_route(g, route);
    return s == NULL || s->level >= 1 ? 0 : s->service;
}
