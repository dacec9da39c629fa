#include "lav/routing.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "lav/err.h"
#include "lav/id.h"

struct routing_table {
    uint64_t version;
    routing_limits limits;
    GHashTable *hosts; /* lower-case host -> GPtrArray of routing_route */
    GHashTable *health_paths;    /* service -> path */
    GHashTable *objectives;      /* service -> routing_objectives */
    workspace_table *workspaces; /* NULL: the desired state holds none */
    size_t count;
};

/* Shortest and longest objective of the routes that lead to a service. */
typedef struct routing_objectives {
    int64_t shortest_us;
    int64_t longest_us;
} routing_objectives;

/* Frees a route. */
static void
routing_route_free(gpointer route)
{
    routing_route *r = route;
    g_free(r->host);
    g_free(r->prefix);
    g_free(r);
}

/* Frees the routes of a host. */
static void
routing_routes_free(gpointer routes)
{
    g_ptr_array_free(routes, TRUE);
}

/* Creates an empty table.  ERR_NO_MEMORY if memory is exhausted. */
int
routing_new(routing_table **out, uint64_t version,
            const routing_limits *limits)
{
    routing_table *table = calloc(1, sizeof(*table));
    if (table == NULL) {
        return ERR_NO_MEMORY;
    }
    table->version = version;
    table->limits = *limits;
    table->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                         routing_routes_free);
    table->health_paths =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    table->objectives =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    *out = table;
    return 0;
}

/* Frees the table and its routes; NULL is allowed. */
void
routing_free(routing_table *table)
{
    if (table != NULL) {
        g_hash_table_destroy(table->hosts);
        g_hash_table_destroy(table->health_paths);
        g_hash_table_destroy(table->objectives);
        workspace_table_free(table->workspaces);
        free(table);
    }
}

/* Whether every field of a route is in range. */
static bool
routing_is_valid(const routing_route *route)
{
    size_t length = strlen(route->prefix);
    int64_t weight_sum = 0;
    for (int i = 0; i < route->part_count; i++) {
        if (route->parts[i].weight < 0) {
            return false;
        }
        weight_sum += route->parts[i].weight;
    }
    return length > 0 && length < ROUTING_TEXT_SIZE &&
           strlen(route->host) < ROUTING_TEXT_SIZE &&
           route->prefix[0] == '/' && route->prefix[length - 1] == '/' &&
           route->part_count > 0 &&
           route->part_count <= ROUTING_DESTINATIONS_MAX && weight_sum > 0 &&
           route->timeout_us > 0 && route->objective_us > 0 &&
           route->attempts_max > 0;
}

/* Notes the objective of a route for each service that it leads to. */
static void
routing_note_objective(routing_table *table, const routing_route *route)
{
    for (int i = 0; i < route->part_count; i++) {
        const char *service = route->parts[i].service;
        routing_objectives *known =
            g_hash_table_lookup(table->objectives, service);
        if (known == NULL) {
            known = g_new0(routing_objectives, 1);
            known->shortest_us = route->objective_us;
            g_hash_table_insert(table->objectives, g_strdup(service), known);
        }
        known->shortest_us = MIN(known->shortest_us, route->objective_us);
        known->longest_us = MAX(known->longest_us, route->objective_us);
    }
}

/* Adds a copy of a route; ERR_INVALID if a field is out of range. */
int
routing_add(routing_table *table, const routing_route *route)
{
    if (!routing_is_valid(route)) {
        return ERR_INVALID;
    }
    routing_route *copy = g_memdup2(route, sizeof(*route));
    copy->host = g_ascii_strdown(route->host, -1);
    copy->prefix = g_strdup(route->prefix);
    copy->prefix_length = strlen(copy->prefix);
    char *name = g_strconcat(copy->host, copy->prefix, NULL);
    copy->key = (uint32_t)id_hash(name);
    g_free(name);
    GPtrArray *routes = g_hash_table_lookup(table->hosts, copy->host);
    if (routes == NULL) {
        routes = g_ptr_array_new_with_free_func(routing_route_free);
        g_hash_table_insert(table->hosts, g_strdup(copy->host), routes);
    }
    g_ptr_array_add(routes, copy);
    routing_note_objective(table, copy);
    table->count++;
    return 0;
}

/* Sets the path of the health check of a service's targets; ERR_INVALID if it
 * is not a path. */
int
routing_set_health_path(routing_table *table, const char *service,
                        const char *path)
{
    if (path[0] != '/' || strlen(path) >= ROUTING_TEXT_SIZE ||
        strpbrk(path, " \t\r\n") != NULL) {
        return ERR_INVALID;
    }
    g_hash_table_insert(table->health_paths, g_strdup(service),
                        g_strdup(path));
    return 0;
}

/* Returns the health check path of a service; NULL if it has none. */
const char *
routing_health_path(const routing_table *table, const char *service)
{
    return g_hash_table_lookup(table->health_paths, service);
}

/* Sets the workspaces of the desired state; the table takes ownership. */
void
routing_set_workspaces(routing_table *table, workspace_table *workspaces)
{
    workspace_table_free(table->workspaces);
    table->workspaces = workspaces;
}

/* Returns the workspaces; NULL if the desired state holds none. */
const workspace_table *
routing_get_workspaces(const routing_table *table)
{
    return table->workspaces;
}

/* Whether a service takes long requests beside calls that are urgent. */
bool
routing_serves_mixed_work(const routing_table *table, const char *service)
{
    const routing_objectives *known =
        g_hash_table_lookup(table->objectives, service);
    return known != NULL && known->longest_us >= ROUTING_LONG_OBJECTIVE_US &&
           known->longest_us >=
               known->shortest_us * ROUTING_MIXED_OBJECTIVE_RATIO;
}

/* Whether any service takes long requests beside calls that are urgent. */
bool
routing_has_mixed_work(const routing_table *table)
{
    GHashTableIter iter;
    gpointer service = NULL;
    g_hash_table_iter_init(&iter, table->objectives);
    while (g_hash_table_iter_next(&iter, &service, NULL)) {
        if (routing_serves_mixed_work(table, service)) {
            return true;
        }
    }
    return false;
}

/* Orders routes by descending prefix length. */
static gint
routing_compare_prefix_length(gconstpointer a, gconstpointer b)
{
    const routing_route *first = *(routing_route *const *)a;
    const routing_route *second = *(routing_route *const *)b;
    return (first->prefix_length < second->prefix_length) -
           (first->prefix_length > second->prefix_length);
}

/* Sorts the routes for routing_find(), once all are added. */
void
routing_sort(routing_table *table)
{
    GHashTableIter iter;
    gpointer routes = NULL;
    g_hash_table_iter_init(&iter, table->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &routes)) {
        g_ptr_array_sort(routes, routing_compare_prefix_length);
    }
}

/* Returns the limits on the requests of external callers. */
const routing_limits *
routing_get_limits(const routing_table *table)
{
    return &table->limits;
}

/* Returns the version of the desired state. */
uint64_t
routing_version(const routing_table *table)
{
    return table->version;
}

/* Returns the number of routes. */
size_t
routing_count(const routing_table *table)
{
    return table->count;
}

/* Returns the route of a request by its Host field and its path, which a query
 * may follow; NULL if there is none. */
routing_route *
routing_find(const routing_table *table, const char *host, size_t host_length,
             const char *path, size_t path_length)
{
    char name[ROUTING_TEXT_SIZE];
    const char *colon = memchr(host, ':', host_length);
    size_t length = colon != NULL ? (size_t)(colon - host) : host_length;
    if (length >= sizeof(name)) {
        return NULL;
    }
    for (size_t i = 0; i < length; i++) {
        name[i] = g_ascii_tolower(host[i]);
    }
    name[length] = '\0';
    const GPtrArray *routes = g_hash_table_lookup(table->hosts, name);
    if (routes == NULL) {
        return NULL;
    }
    const char *query = memchr(path, '?', path_length);
    size_t bare_length = query != NULL ? (size_t)(query - path) : path_length;
    for (guint i = 0; i < routes->len; i++) {
        routing_route *route = g_ptr_array_index(routes, i);
        if (route->prefix_length <= bare_length &&
            memcmp(route->prefix, path, route->prefix_length) == 0) {
            return route;
        }
    }
    return NULL;
}

/* Returns the service for the next request on a route.  Smooth weighted round
 * robin keeps the proportions over short spans too. */
const char *
routing_next_service(routing_route *route)
{
    if (route->part_count == 1) {
        return route->parts[0].service;
    }
    int64_t total = 0;
    routing_destination *best = NULL;
    for (int i = 0; i < route->part_count; i++) {
        routing_destination *destination = &route->parts[i];
        total += destination->weight;
        destination->credit += destination->weight;
        if (destination->weight > 0 &&
            (best == NULL || destination->credit > best->credit)) {
            best = destination;
        }
    }
    g_assert(best != NULL); /* routing_add() rejects a route without weight */
    best->credit -= total;
    return best->service;
}

/* Calls `each` for every route: those of a host in the order in which they
 * match once the table is sorted, the longest prefix first. */
void
routing_each_route(const routing_table *table, routing_route_cb each,
                   void *payload)
{
    GList *hosts = g_list_sort(g_hash_table_get_keys(table->hosts),
                               (GCompareFunc)g_strcmp0);
    for (const GList *host = hosts; host != NULL; host = host->next) {
        const GPtrArray *routes =
            g_hash_table_lookup(table->hosts, host->data);
        for (guint i = 0; i < routes->len; i++) {
            each(g_ptr_array_index(routes, i), payload);
        }
    }
    g_list_free(hosts);
}

/* Calls `each` for every service that the desired state describes. */
void
routing_each_service(const routing_table *table, routing_service_cb each,
                     void *payload)
{
    GList *services = g_list_sort(g_hash_table_get_keys(table->health_paths),
                                  (GCompareFunc)g_strcmp0);
    for (const GList *at = services; at != NULL; at = at->next) {
        each(at->data, payload);
    }
    g_list_free(services);
}

/* Whether any route leads to a service. */
bool
routing_leads_to(const routing_table *table, const char *service)
{
    return g_hash_table_contains(table->objectives, service);
}
