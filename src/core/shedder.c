#include "lav/shedder.h"

#include <glib.h>
#include <stdlib.h>

#include "lav/err.h"

#define SHEDDER_COUNT_KEEP 0.7 /* of a kind's count, from period to period */

typedef struct shedder_kind {
    int priority;
    double count;  /* recent requests, decayed */
    double share;  /* of them that are begun */
    double credit; /* turns saved up */
} shedder_kind;

typedef struct shedder_service {
    uint32_t service;
    double level; /* 1: everything is begun */
    double past
        [SHEDDER_FEEDBACK_DELAY_PERIODS]; /* levels of the last periods, in turn */
    int turn;
    double factor; /* of the overload, smoothed */
    int64_t heard_us;
    int64_t changed_us;
    shedder_kind kinds[SHEDDER_KINDS_MAX]; /* the most important first */
    int kind_count;
} shedder_service;

struct shedder_state {
    shedder_service services[SHEDDER_SERVICES_MAX];
    int count;
    GHashTable *routes; /* key of the route -> index of a service + 1 */
};

/* Make a gate that is open. */
int
shedder_new(shedder_state **out)
{
    shedder_state *g = calloc(1, sizeof(*g));
    if (g == NULL) {
        return ERR_NO_MEMORY;
    }
    g->routes = g_hash_table_new(g_direct_hash, g_direct_equal);
    *out = g;
    return 0;
}

/* Release it; takes NULL. */
void
shedder_free(shedder_state *g)
{
    if (g != NULL) {
        g_hash_table_destroy(g->routes);
        free(g);
    }
}

static shedder_service *
shedder_find(const shedder_state *g, uint32_t service)
{
    for (int i = 0; i < g->count; i++) {
        if (g->services[i].service == service) {
            return (shedder_service *)&g->services[i];
        }
    }
    return NULL;
}

/* A service that holds nothing back. */
static shedder_service
shedder_open(uint32_t service)
{
    shedder_service s = {.service = service, .level = 1};
    for (int i = 0; i < SHEDDER_FEEDBACK_DELAY_PERIODS; i++) {
        s.past[i] = 1;
    }
    return s;
}

/* The entry of a service; one that is open again gives way to it. */
static shedder_service *
shedder_get(shedder_state *g, uint32_t service)
{
    shedder_service *s = shedder_find(g, service);
    if (s == NULL && g->count < SHEDDER_SERVICES_MAX) {
        s = &g->services[g->count++];
        *s = shedder_open(service);
    }
    for (int i = 0; s == NULL && i < g->count; i++) {
        if (g->services[i].level >= 1) {
            s = &g->services[i];
            *s = shedder_open(service);
        }
    }
    return s;
}

/* The service that holds a route back; NULL: none is known. */
static shedder_service *
shedder_find_route(const shedder_state *g, uint32_t route)
{
    int index = GPOINTER_TO_INT(
        g_hash_table_lookup(g->routes, GUINT_TO_POINTER(route)));
    return index == 0 ? NULL : (shedder_service *)&g->services[index - 1];
}

/* Fill the level by priority: a floor for each kind, then the most
 * important kinds first. */
static void
shedder_split_level(shedder_service *s)
{
    double all = 0;
    for (int i = 0; i < s->kind_count; i++) {
        all += s->kinds[i].count;
    }
    double left = all * s->level * (1 - SHEDDER_KIND_SHARE_MIN);
    for (int i = 0; i < s->kind_count; i++) {
        shedder_kind *kind = &s->kinds[i];
        double floor = kind->count * s->level * SHEDDER_KIND_SHARE_MIN;
        double more = MIN(kind->count - floor, left);
        left -= more;
        kind->share = kind->count > 0 ? (floor + more) / kind->count : 1;
    }
}

static void
shedder_follow(shedder_service *s, int64_t now_us)
{
    if (now_us - s->changed_us < SHEDDER_PERIOD_US) {
        return;
    }
    s->changed_us = now_us;
    /* The overload heard of now is that of the requests begun then. */
    double then = s->past[s->turn];
    double change = SHEDDER_RAISE_RATIO_MAX;
    if (now_us - s->heard_us <= SHEDDER_REPORT_MAX_AGE_US && s->factor > 0) {
        change =
            MIN(SHEDDER_TARGET_FACTOR / s->factor, SHEDDER_RAISE_RATIO_MAX);
    }
    s->past[s->turn] = s->level;
    s->turn = (s->turn + 1) % SHEDDER_FEEDBACK_DELAY_PERIODS;
    s->level += (then * change - s->level) * SHEDDER_GAIN;
    s->level = CLAMP(s->level, SHEDDER_LEVEL_MIN, 1.0);
    shedder_split_level(s);
    for (int i = 0; i < s->kind_count; i++) {
        s->kinds[i].count *= SHEDDER_COUNT_KEEP;
    }
}

/* An answer told of the overload on the chain of a route. */
void
shedder_record_report(shedder_state *g, uint32_t route,
                      const downstream_overload *chain_overload,
                      int64_t now_us)
{
    shedder_service *s = chain_overload->service != 0
                             ? shedder_get(g, chain_overload->service)
                             : NULL;
    if (s == NULL) {
        return;
    }
    s->factor += (chain_overload->factor - s->factor) * SHEDDER_REPORT_WEIGHT;
    s->heard_us = now_us;
    const shedder_service *old = shedder_find_route(g, route);
    if (old != NULL && old != s && old->level < 1 &&
        chain_overload->factor < 1) {
        return; /* another service holds the route back */
    }
    g_hash_table_insert(g->routes, GUINT_TO_POINTER(route),
                        GINT_TO_POINTER((int)(s - g->services) + 1));
}

/* The entry of a priority, in the order of importance. */
static shedder_kind *
shedder_kind_of(shedder_service *s, int priority)
{
    int at = 0;
    while (at < s->kind_count && s->kinds[at].priority < priority) {
        at++;
    }
    if (at < s->kind_count && s->kinds[at].priority == priority) {
        return &s->kinds[at];
    }
    if (s->kind_count == SHEDDER_KINDS_MAX) {
        return &s->kinds[SHEDDER_KINDS_MAX - 1];
    }
    for (int i = s->kind_count; i > at; i--) {
        s->kinds[i] = s->kinds[i - 1];
    }
    s->kind_count++;
    s->kinds[at] = (shedder_kind){.priority = priority, .share = s->level};
    return &s->kinds[at];
}

/* Whether a request of an outside caller is to be begun. */
bool
shedder_admit(shedder_state *g, uint32_t route, int priority, int64_t now_us)
{
    shedder_service *s = shedder_find_route(g, route);
    if (s == NULL) {
        return true;
    }
    shedder_kind *kind = shedder_kind_of(s, priority);
    kind->count++;
    shedder_follow(s, now_us);
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
shedder_get_level(const shedder_state *g, uint32_t route)
{
    const shedder_service *s = shedder_find_route(g, route);
    return s == NULL ? 1 : s->level;
}

/* Hash of the name of the service that holds a route back; 0: none does. */
uint32_t
shedder_limiting_service(const shedder_state *g, uint32_t route)
{
    const shedder_service *s = shedder_find_route(g, route);
    return s == NULL || s->level >= 1 ? 0 : s->service;
}
