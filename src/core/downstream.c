#include "lav/downstream.h"

#include <glib.h>
#include <stdlib.h>

#include "lav/err.h"

/* Fewer calls per run than this are an error of the fit. */
#define DOWNSTREAM_CALLS_PER_RUN_MIN 0.1

typedef struct downstream_route {
    /* Of the requests that run at the target of this node. */
    origin_counts origins;
    enum origin_kind origin;
    double failure_share; /* share of failed runs, moving average */
    int ended;            /* runs, at most DOWNSTREAM_SPARED_RUNS_MIN */
    int64_t depends_until_us;
    int64_t spared_until_us; /* until then it is seen not to depend */
    /* Of the requests that this node forwarded. */
    bool classified;       /* an origin was reported */
    double internal_share; /* of the recent reports, moving average */
    downstream_overload chain_overload;
    int64_t reported_at_us;
} downstream_route;

struct downstream_table {
    GHashTable *routes; /* route key -> downstream_route */
    call_rate_table calls;
    call_demand demand;
    bool whole; /* requests are admitted by what their chains need */
};

/* Creates an empty table.  ERR_NO_MEMORY if memory is exhausted. */
int
downstream_new(downstream_table **out)
{
    downstream_table *table = calloc(1, sizeof(*table));
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
downstream_free(downstream_table *table)
{
    if (table != NULL) {
        g_hash_table_destroy(table->routes);
        free(table);
    }
}

/* Sets whether requests are admitted by what their whole chains need.  Then
 * routes that don't depend on an overloaded service are told apart by their
 * success as well: the fit alone errs where the load of all routes swings
 * alike. */
void
downstream_set_whole(downstream_table *table, bool whole)
{
    table->whole = whole;
}

/* Returns the entry of a route; NULL if it has none. */
static downstream_route *
downstream_find(const downstream_table *table, uint32_t route)
{
    return g_hash_table_lookup(table->routes, GUINT_TO_POINTER(route));
}

/* Returns the entry of a route, a new one if needed. */
static downstream_route *
downstream_get(downstream_table *table, uint32_t route)
{
    downstream_route *entry = downstream_find(table, route);
    if (entry == NULL) {
        entry = g_new0(downstream_route, 1);
        g_hash_table_insert(table->routes, GUINT_TO_POINTER(route), entry);
    }
    return entry;
}

/* Records a request that reached the target of this node.  `origin` is the
 * hash of the service of the node where it originated; `node_share` returns
 * the share of all nodes that belong to a service. */
void
downstream_record_arrival(downstream_table *table, uint32_t route,
                          uint32_t origin, origin_share_cb node_share,
                          void *payload)
{
    downstream_route *entry = downstream_get(table, route);
    origin_count_request(&entry->origins, origin);
    if (entry->origins.requests % ORIGIN_REQUESTS_MIN == 0) {
        entry->origin = origin_classify(&entry->origins, node_share, payload);
    }
}

/* Returns the origin of the requests on a route, as classified here. */
enum origin_kind
downstream_route_origin(const downstream_table *table, uint32_t route)
{
    const downstream_route *entry = downstream_find(table, route);
    return entry == NULL ? ORIGIN_UNKNOWN : entry->origin;
}

/* Whether most of the recent reports classify a route as internal. */
static bool
downstream_entry_is_internal(const downstream_route *entry)
{
    return entry->internal_share > DOWNSTREAM_INTERNAL_SHARE_MIN;
}

/* Records that a run has begun at the target of this node, for a request that
 * stands for `weight`. */
void
downstream_begin_run(downstream_table *table, uint32_t route, double weight,
                     int64_t now_us)
{
    call_demand_begin_run(
        &table->demand, call_rate_total_per_run(&table->calls, route, now_us),
        weight, !table->calls.paused, now_us);
    call_rate_begin_run(&table->calls, route, now_us);
}

/* Whether runs of a route make internal requests, as far as is known. */
bool
downstream_makes_calls(downstream_table *table, uint32_t route, int64_t now_us)
{
    return call_rate_total_per_run(&table->calls, route, now_us) >
           DOWNSTREAM_CALLS_PER_RUN_MIN;
}

/* Records that a run that downstream_begin_run() recorded is over. */
void
downstream_end_run(downstream_table *table, uint32_t route, int64_t now_us)
{
    call_rate_end_run(&table->calls, route, now_us);
}

/* Returns how long a run of a route takes at the target on average, in us; 0
 * if it is not known. */
double
downstream_run_us(const downstream_table *table, uint32_t route)
{
    return call_rate_run_us(&table->calls, route);
}

/* Records an internal request that the target of this node makes.  Returns the
 * demand that it stands for. */
double
downstream_record_call(downstream_table *table, uint32_t route, int64_t now_us)
{
    call_rate_count_call(&table->calls, route, now_us);
    return call_demand_record_call(&table->demand, !table->calls.paused,
                                   now_us);
}

/* Returns the worst overload reported for the calls that the target of this
 * node makes. */
static downstream_overload
downstream_worst_callee(const downstream_table *table, int64_t now_us)
{
    downstream_overload worst = {0, 0, 0};
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, table->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const downstream_route *entry = value;
        if (downstream_entry_is_internal(entry) &&
            now_us - entry->reported_at_us <= DOWNSTREAM_REPORT_MAX_AGE_US &&
            entry->chain_overload.factor > worst.factor) {
            worst = entry->chain_overload;
        }
    }
    return worst;
}

/* The same, of the calls that runs of one route make. */
static downstream_overload
downstream_worst_callee_of(downstream_table *table, uint32_t route,
                           int64_t now_us)
{
    downstream_overload worst = {0, 0, 0};
    GHashTableIter iter;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, table->routes);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const downstream_route *entry = value;
        if (now_us - entry->reported_at_us <= DOWNSTREAM_REPORT_MAX_AGE_US &&
            entry->chain_overload.factor > worst.factor &&
            call_rate_per_run(&table->calls, route, GPOINTER_TO_UINT(key),
                              now_us) >= CALL_RATE_DEPENDS_MIN) {
            worst = entry->chain_overload;
        }
    }
    return worst;
}

/* Returns the slot time that a run of a route takes at a service below, in us;
 * 0 if it is not known. */
static double
downstream_cost_us(downstream_table *table, uint32_t route, uint32_t service,
                   int64_t now_us)
{
    double cost_us = 0;
    GHashTableIter iter;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, table->routes);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const downstream_route *entry = value;
        if (entry->chain_overload.service == service) {
            cost_us += entry->chain_overload.cost_us *
                       call_rate_per_run(&table->calls, route,
                                         GPOINTER_TO_UINT(key), now_us);
        }
    }
    return cost_us;
}

/* Whether the share of failed runs of any route exceeds `share`. */
static bool
downstream_is_any_failing(const downstream_table *table, double share)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, table->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const downstream_route *entry = value;
        if (entry->failure_share > share) {
            return true;
        }
    }
    return false;
}

/* Notes that a route succeeds while others fail, or that it doesn't. */
static void
downstream_update_spared(const downstream_table *table,
                         downstream_route *entry, int64_t now_us)
{
    entry->ended = MIN(entry->ended + 1, DOWNSTREAM_SPARED_RUNS_MIN);
    if (entry->failure_share > DOWNSTREAM_FAILURE_SHARE_MIN) {
        entry->spared_until_us = 0;
    }
    else if (table->whole && entry->ended == DOWNSTREAM_SPARED_RUNS_MIN &&
             downstream_is_any_failing(table,
                                       DOWNSTREAM_SPARED_FAILURE_SHARE_MIN)) {
        entry->spared_until_us = now_us + DOWNSTREAM_DEPENDENCY_TTL_US;
    }
}

/* Records the end of a run at the target of this node.  A failure while a
 * downstream service is overloaded shows that the route depends on it. */
void
downstream_record_end(downstream_table *table, uint32_t route, bool failed,
                      int64_t now_us)
{
    downstream_route *entry = downstream_get(table, route);
    entry->failure_share +=
        ((failed ? 1 : 0) - entry->failure_share) * DOWNSTREAM_FAILURE_WEIGHT;
    if (failed && entry->failure_share > DOWNSTREAM_FAILURE_SHARE_MIN &&
        downstream_worst_callee(table, now_us).factor >
            DOWNSTREAM_OVERLOAD_FACTOR_MIN) {
        entry->depends_until_us = now_us + DOWNSTREAM_DEPENDENCY_TTL_US;
    }
    downstream_update_spared(table, entry, now_us);
    bool usual =
        !downstream_is_any_failing(table, DOWNSTREAM_FAILURE_SHARE_MIN) &&
        downstream_worst_callee(table, now_us).factor <
            DOWNSTREAM_BUSY_FACTOR_MIN;
    call_rate_set_paused(&table->calls, !usual, now_us);
}

/* Records the report that came with the response to a request of this node:
 * the remote node's classification of the origin of the route's requests, and
 * the worst overload on the route's call chain. */
void
downstream_record_report(downstream_table *table, uint32_t route,
                         enum origin_kind origin,
                         const downstream_overload *chain_overload,
                         int64_t now_us)
{
    downstream_route *entry = downstream_get(table, route);
    if (origin != ORIGIN_UNKNOWN) {
        double reported = origin == ORIGIN_INTERNAL ? 1 : 0;
        entry->internal_share =
            entry->classified
                ? entry->internal_share + (reported - entry->internal_share) *
                                              DOWNSTREAM_REPORT_WEIGHT
                : reported;
        entry->classified = true;
    }
    downstream_overload *known = &entry->chain_overload;
    if (known->service != chain_overload->service) {
        *known = *chain_overload;
    }
    known->factor +=
        (chain_overload->factor - known->factor) * DOWNSTREAM_REPORT_WEIGHT;
    known->cost_us +=
        (chain_overload->cost_us - known->cost_us) * DOWNSTREAM_REPORT_WEIGHT;
    entry->reported_at_us = now_us;
}

/* Whether the requests on a route are internal, as reported. */
bool
downstream_is_internal(const downstream_table *table, uint32_t route)
{
    const downstream_route *entry = downstream_find(table, route);
    return entry != NULL && downstream_entry_is_internal(entry);
}

/* Returns the worst overload on the call chain of a route that runs at this
 * node, where `own` is that of the target itself. */
downstream_overload
downstream_chain_overload(downstream_table *table, uint32_t route,
                          const downstream_overload *own, int64_t now_us)
{
    const downstream_route *entry = downstream_find(table, route);
    bool failed = entry != NULL && now_us <= entry->depends_until_us;
    bool spared = entry != NULL && now_us <= entry->spared_until_us;
    downstream_overload below =
        failed ? downstream_worst_callee(table, now_us)
               : downstream_worst_callee_of(table, route, now_us);
    if (!spared && below.factor > own->factor) {
        below.cost_us =
            downstream_cost_us(table, route, below.service, now_us);
        return below;
    }
    below = *own;
    below.cost_us = call_rate_run_us(&table->calls, route);
    return below;
}
