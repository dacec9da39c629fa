#include "lav/shedder.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

#include "lav/chain_level.h"
#include "lav/err.h"

typedef struct shedder_class {
    int priority;
    double cost_us; /* of the recent requests at the service, decayed */
    double share;   /* of them that are admitted, 0 to 1 */
    double credit;  /* admissions accumulated, at most 2 */
    fair_share_table *workspaces; /* NULL: none has sent a request */
} shedder_class;

typedef struct shedder_route {
    int service;    /* index in the services */
    double cost_us; /* slot time that a request takes there */
    bool direct;    /* the requests run there, and make no calls to it */
    double agreed;  /* share of the recent reports that name that service */
} shedder_route;

typedef struct shedder_service {
    uint32_t service;
    double floor; /* fraction of the level reserved for each priority */
    double level; /* that the shares are divided by; 1: all are admitted */
    int64_t updated_at_us;
    shedder_class classes[SHEDDER_PRIORITIES_MAX]; /* highest priority first */
    int class_count;
} shedder_service;

struct shedder_state {
    const service_level_table *levels;
    shedder_service services[SHEDDER_SERVICES_MAX];
    int count;
    bool whole;         /* requests are admitted by their whole chains */
    GHashTable *routes; /* route key -> shedder_route */
    GRand *random;
};

/* Creates a shedder that follows `levels`, which must outlive it.
 * ERR_NO_MEMORY if memory is exhausted. */
int
shedder_new(shedder_state **out, const service_level_table *levels,
            uint64_t seed)
{
    shedder_state *state = calloc(1, sizeof(*state));
    if (state == NULL) {
        return ERR_NO_MEMORY;
    }
    state->levels = levels;
    state->routes =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    state->random = g_rand_new_with_seed((guint32)seed);
    *out = state;
    return 0;
}

/* Frees the shares of workspaces of a service. */
static void
shedder_clear_service(shedder_service *entry)
{
    for (int i = 0; i < entry->class_count; i++) {
        fair_share_free(entry->classes[i].workspaces);
    }
}

/* Sets whether requests are admitted by what their whole chains need.  Then a
 * route is no longer limited by a service that its reports cease to name. */
void
shedder_set_whole(shedder_state *state, bool whole)
{
    state->whole = whole;
}

/* Frees the shedder; NULL is allowed. */
void
shedder_free(shedder_state *state)
{
    if (state != NULL) {
        for (int i = 0; i < state->count; i++) {
            shedder_clear_service(&state->services[i]);
        }
        g_hash_table_destroy(state->routes);
        g_rand_free(state->random);
        free(state);
    }
}

/* Returns the entry of a service; NULL if it has none. */
static shedder_service *
shedder_find(const shedder_state *state, uint32_t service)
{
    for (int i = 0; i < state->count; i++) {
        if (state->services[i].service == service) {
            return (shedder_service *)&state->services[i];
        }
    }
    return NULL;
}

/* Predicate of g_hash_table_foreach_remove(): route of the service whose index
 * `payload` points to. */
static gboolean
shedder_is_route_of(gpointer key, gpointer value, gpointer payload)
{
    (void)key;
    return ((const shedder_route *)value)->service == *(const int *)payload;
}

/* Returns the entry of a service, a new one if needed; it replaces an entry
 * that admits everything when the table is full, whose routes are forgotten.
 * NULL if there is none. */
static shedder_service *
shedder_get(shedder_state *state, uint32_t service, double floor)
{
    shedder_service *entry = shedder_find(state, service);
    if (entry == NULL && state->count < SHEDDER_SERVICES_MAX) {
        entry = &state->services[state->count++];
        *entry =
            (shedder_service){.service = service, .floor = floor, .level = 1};
    }
    for (int i = 0; entry == NULL && i < state->count; i++) {
        if (state->services[i].level >= 1) {
            g_hash_table_foreach_remove(state->routes, shedder_is_route_of,
                                        &i);
            entry = &state->services[i];
            shedder_clear_service(entry);
            *entry = (shedder_service){
                .service = service, .floor = floor, .level = 1};
        }
    }
    return entry;
}

/* Returns the entry of a route; NULL if no service is known to limit it. */
static shedder_route *
shedder_find_route(const shedder_state *state, uint32_t route)
{
    return g_hash_table_lookup(state->routes, GUINT_TO_POINTER(route));
}

/* Divides the level among the priorities: a minimum for each, then the highest
 * priorities first.  What is divided is the time that the requests take at the
 * service: some make more calls there than others. */
static void
shedder_split_level(shedder_service *entry)
{
    double total = 0;
    for (int i = 0; i < entry->class_count; i++) {
        total += entry->classes[i].cost_us;
    }
    double remaining = total * entry->level * (1 - entry->floor);
    for (int i = 0; i < entry->class_count; i++) {
        shedder_class *class = &entry->classes[i];
        double floor = class->cost_us * entry->level * entry->floor;
        double extra = MIN(class->cost_us - floor, remaining);
        remaining -= extra;
        class->share =
            class->cost_us > 0 ? (floor + extra) / class->cost_us : 1;
        if (class->workspaces != NULL) {
            fair_share_divide(class->workspaces, class->share);
        }
    }
}

/* Follows the level of the service and divides it anew, once per period. */
static void
shedder_update_level(const shedder_state *state, shedder_service *entry,
                     int64_t now_us)
{
    int64_t passed_us = now_us - entry->updated_at_us;
    if (passed_us < SHEDDER_PERIOD_US) {
        return;
    }
    entry->updated_at_us = now_us;
    entry->level = service_level_get(state->levels, entry->service, now_us);
    shedder_split_level(entry);
    double kept = exp(-(double)passed_us / SHEDDER_MIX_MEMORY_US);
    for (int i = 0; i < entry->class_count; i++) {
        entry->classes[i].cost_us *= kept;
        if (entry->classes[i].workspaces != NULL) {
            fair_share_decay(entry->classes[i].workspaces, kept);
        }
    }
}

/* Returns the lower one of the levels of a service and of the chains that call
 * it. */
static double
shedder_get_lowest(const shedder_state *state, uint32_t service,
                   int64_t now_us)
{
    return MIN(
        service_level_get(state->levels, service, now_us),
        service_level_get(state->levels, chain_level_key(service), now_us));
}

/* Records the overload on the call chain of a route, as reported by a
 * response: its service is the one that limits the route.  `runs_at` is the
 * service that the requests are sent to. */
void
shedder_record_report(shedder_state *state, uint32_t route, uint32_t runs_at,
                      const downstream_overload *chain_overload,
                      int64_t now_us)
{
    bool direct = runs_at == chain_overload->service;
    const shedder_service *entry =
        chain_overload->service != 0
            ? shedder_get(state, chain_overload->service,
                          SHEDDER_PRIORITY_SHARE_MIN)
            : NULL;
    if (entry == NULL) {
        return;
    }
    int index = (int)(entry - state->services);
    shedder_route *known = shedder_find_route(state, route);
    if (known == NULL) {
        known = g_new0(shedder_route, 1);
        known->service = index;
        known->direct = direct;
        known->agreed = 1;
        g_hash_table_insert(state->routes, GUINT_TO_POINTER(route), known);
    }
    known->agreed += ((known->service == index ? 1 : 0) - known->agreed) *
                     SHEDDER_AGREED_WEIGHT;
    if (known->service == index) {
        known->cost_us += known->cost_us == 0
                              ? chain_overload->cost_us
                              : (chain_overload->cost_us - known->cost_us) *
                                    SHEDDER_COST_WEIGHT;
        return;
    }
    uint32_t current = state->services[known->service].service;
    if ((state->whole && known->agreed < SHEDDER_AGREED_MIN) ||
        shedder_get_lowest(state, current, now_us) >=
            shedder_get_lowest(state, entry->service, now_us)) {
        *known = (shedder_route){index, chain_overload->cost_us, direct, 1};
    }
}

/* Returns the entry of a priority; entries are kept sorted by priority.  When
 * all are in use, the last one is shared.  Nodes must not admit and refuse in
 * step, so the credit that a new entry starts with is random. */
static shedder_class *
shedder_get_class(const shedder_state *state, shedder_service *entry,
                  int priority)
{
    int index = 0;
    while (index < entry->class_count &&
           entry->classes[index].priority < priority) {
        index++;
    }
    if (index < entry->class_count &&
        entry->classes[index].priority == priority) {
        return &entry->classes[index];
    }
    if (entry->class_count == SHEDDER_PRIORITIES_MAX) {
        return &entry->classes[SHEDDER_PRIORITIES_MAX - 1];
    }
    for (int i = entry->class_count; i > index; i--) {
        entry->classes[i] = entry->classes[i - 1];
    }
    entry->class_count++;
    entry->classes[index] =
        (shedder_class){.priority = priority,
                        .share = entry->level,
                        .credit = g_rand_double(state->random)};
    return &entry->classes[index];
}

/* Records a request of a workspace in the shares of its priority.  NULL if
 * memory is exhausted: it is then admitted like those of no workspace. */
static fair_share_entry *
shedder_record_workspace(const shedder_state *state, shedder_class *class,
                         const workspace *from, double cost_us)
{
    if (class->workspaces == NULL &&
        fair_share_new(&class->workspaces, g_rand_int(state->random)) < 0) {
        return NULL;
    }
    return fair_share_record(class->workspaces, from, cost_us);
}

/* Whether the level of a service, or of the chains that call one, admits a
 * request of a workspace; NULL: of none. */
static bool
shedder_admit_at(const shedder_state *state, shedder_service *entry,
                 int priority, const workspace *from, double cost_us,
                 int64_t now_us)
{
    shedder_class *class = shedder_get_class(state, entry, priority);
    double spent_us = MAX(cost_us, SHEDDER_COST_MIN_US);
    fair_share_entry *share =
        from == NULL ? NULL
                     : shedder_record_workspace(state, class, from, spent_us);
    class->cost_us += spent_us;
    shedder_update_level(state, entry, now_us);
    if (entry->level >= 1) {
        return true;
    }
    if (share != NULL) {
        return fair_share_admit(share);
    }
    class->credit = MIN(class->credit + class->share, 2.0);
    if (class->credit < 1) {
        return false;
    }
    class->credit -= 1;
    return true;
}

/* Returns the entry for the chains that call a service; NULL while they are not
 * limited apart from it. */
static shedder_service *
shedder_get_chains(shedder_state *state, uint32_t service, int64_t now_us)
{
    uint32_t key = chain_level_key(service);
    return service_level_age_us(state->levels, key, now_us) < 0
               ? NULL
               : shedder_get(state, key, 0);
}

/* Whether to admit an external request of a workspace; NULL: of none. */
bool
shedder_admit(shedder_state *state, uint32_t route, int priority,
              const workspace *from, int64_t now_us)
{
    const shedder_route *known = shedder_find_route(state, route);
    shedder_service *chains = NULL;
    if (known != NULL && !known->direct) {
        chains = shedder_get_chains(
            state, state->services[known->service].service, now_us);
        known = shedder_find_route(state, route); /* its entry may be gone */
    }
    if (known == NULL) {
        return true;
    }
    double cost_us = known->cost_us;
    return (chains == NULL || shedder_admit_at(state, chains, priority, from,
                                               cost_us, now_us)) &&
           shedder_admit_at(state, &state->services[known->service], priority,
                            from, cost_us, now_us);
}

/* Returns the share of a priority's requests that an entry admits; 1 if there
 * is none, or it limits nothing. */
static double
shedder_class_share(const shedder_service *entry, int priority)
{
    if (entry == NULL || entry->level >= 1) {
        return 1;
    }
    for (int i = 0; i < entry->class_count; i++) {
        if (entry->classes[i].priority == priority) {
            return entry->classes[i].share;
        }
    }
    return entry->level;
}

/* Returns the share of a priority's requests on a route that are admitted, as
 * last divided; 1 where requests are not admitted by their whole chains. */
double
shedder_get_share(const shedder_state *state, uint32_t route, int priority)
{
    const shedder_route *known = shedder_find_route(state, route);
    if (known == NULL || !state->whole) {
        return 1;
    }
    const shedder_service *entry = &state->services[known->service];
    double share = shedder_class_share(entry, priority);
    if (!known->direct) {
        share *= shedder_class_share(
            shedder_find(state, chain_level_key(entry->service)), priority);
    }
    return share;
}

/* Returns the service that limits a route, its level and the age of the report
 * that it follows; no service and 1 if the route is not limited. */
service_level_report
shedder_get_limit(const shedder_state *state, uint32_t route, int64_t now_us)
{
    service_level_report limit = {0, 1, 0, false};
    const shedder_route *known = shedder_find_route(state, route);
    if (known == NULL) {
        return limit;
    }
    uint32_t service = state->services[known->service].service;
    double level = service_level_get(state->levels, service, now_us);
    if (level < 1) {
        limit = (service_level_report){
            service, level,
            service_level_age_us(state->levels, service, now_us), false};
    }
    return limit;
}
