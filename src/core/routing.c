#include "lav/routing.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "lav/err.h"
#include "lav/id.h"

struct routing_table {
    uint64_t version;
    routing_limits limits;
    GHashTable *hosts;  /* lower-case host -> GPtrArray of routing_route */
    GHashTable *health; /* service -> path */
    size_t count;
};

static void
routing_route_free(gpointer route)
{
    routing_route *r = route;
    g_free(r->host);
    g_free(r->prefix);
    g_free(r);
}

static void
routing_routes_free(gpointer routes)
{
    g_ptr_array_free(routes, TRUE);
}

/* Begin an empty set. */
int
routing_new(routing_table **out, uint64_t version,
            const routing_limits *limits)
{
    routing_table *set = calloc(1, sizeof(*set));
    if (set == NULL) {
        return ERR_NO_MEMORY;
    }
    set->version = version;
    set->limits = *limits;
    set->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                       routing_routes_free);
    set->health =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    *out = set;
    return 0;
}

/* Release the set and its routes; takes NULL. */
void
routing_free(routing_table *set)
{
    if (set != NULL) {
        g_hash_table_destroy(set->hosts);
        g_hash_table_destroy(set->health);
        free(set);
    }
}

static bool
routing_valid(const routing_route *route)
{
    size_t length = strlen(route->prefix);
    int64_t weights = 0;
    for (int i = 0; i < route->part_count; i++) {
        if (route->parts[i].weight < 0) {
            return false;
        }
        weights += route->parts[i].weight;
    }
    return length > 0 && length < ROUTING_TEXT_SIZE &&
           strlen(route->host) < ROUTING_TEXT_SIZE &&
           route->prefix[0] == '/' && route->prefix[length - 1] == '/' &&
           route->part_count > 0 &&
           route->part_count <= ROUTING_DESTINATIONS_MAX && weights > 0 &&
           route->timeout_us > 0 && route->objective_us > 0 &&
           route->attempts_max > 0;
}

/* Add a copy of a route; ERR_INVALID where a field is out of range. */
int
routing_add(routing_table *set, const routing_route *route)
{
    if (!routing_valid(route)) {
        return ERR_INVALID;
    }
    routing_route *copy = g_memdup2(route, sizeof(*route));
    copy->host = g_ascii_strdown(route->host, -1);
    copy->prefix = g_strdup(route->prefix);
    copy->prefix_length = strlen(copy->prefix);
    char *name = g_strconcat(copy->host, copy->prefix, NULL);
    copy->key = (uint32_t)id_hash(name);
    g_free(name);
    GPtrArray *routes = g_hash_table_lookup(set->hosts, copy->host);
    if (routes == NULL) {
        routes = g_ptr_array_new_with_free_func(routing_route_free);
        g_hash_table_insert(set->hosts, g_strdup(copy->host), routes);
    }
    g_ptr_array_add(routes, copy);
    set->count++;
    return 0;
}

/* Under which path a target of a service tells whether it is well;
 * ERR_INVALID where it is no path. */
int
routing_set_health_path(routing_table *set, const char *service,
                        const char *path)
{
    if (path[0] != '/' || strlen(path) >= ROUTING_TEXT_SIZE ||
        strpbrk(path, " \t\r\n") != NULL) {
        return ERR_INVALID;
    }
    g_hash_table_insert(set->health, g_strdup(service), g_strdup(path));
    return 0;
}

/* That path; NULL where none is known. */
const char *
routing_health_path(const routing_table *set, const char *service)
{
    return g_hash_table_lookup(set->health, service);
}

static gint
routing_longer_first(gconstpointer a, gconstpointer b)
{
    const routing_route *x = *(routing_route *const *)a;
    const routing_route *y = *(routing_route *const *)b;
    return (x->prefix_length < y->prefix_length) -
           (x->prefix_length > y->prefix_length);
}

/* The set is complete: put the routes in the order of the search. */
void
routing_sort(routing_table *set)
{
    GHashTableIter iter;
    gpointer routes = NULL;
    g_hash_table_iter_init(&iter, set->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &routes)) {
        g_ptr_array_sort(routes, routing_longer_first);
    }
}

/* What callers may send, and how long they may take. */
const routing_limits *
routing_get_limits(const routing_table *set)
{
    return &set->limits;
}

/* Version of the desired state. */
uint64_t
routing_version(const routing_table *set)
{
    return set->version;
}

/* Routes in the set. */
size_t
routing_count(const routing_table *set)
{
    return set->count;
}

/* The route of a request by its Host field and its target (a query may
 * follow the path); NULL where there is none. */
routing_route *
routing_find(const routing_table *set, const char *host, size_t host_length,
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
    const GPtrArray *routes = g_hash_table_lookup(set->hosts, name);
    if (routes == NULL) {
        return NULL;
    }
    const char *query = memchr(path, '?', path_length);
    size_t bare = query != NULL ? (size_t)(query - path) : path_length;
    for (guint i = 0; i < routes->len; i++) {
        routing_route *route = g_ptr_array_index(routes, i);
        if (route->prefix_length <= bare &&
            memcmp(route->prefix, path, route->prefix_length) == 0) {
            return route;
        }
    }
    return NULL;
}

/* The service whose turn it is: smooth weighted round robin, so that the
 * shares are kept over short spans too. */
const char *
routing_next_service(routing_route *route)
{
    if (route->part_count == 1) {
        return route->parts[0].service;
    }
    int64_t total = 0;
    routing_destination *best = NULL;
    for (int i = 0; i < route->part_count; i++) {
        routing_destination *part = &route->parts[i];
        total += part->weight;
        part->credit += part->weight;
        if (part->weight > 0 &&
            (best == NULL || part->credit > best->credit)) {
            best = part;
        }
    }
    g_assert(best != NULL); /* routing_add() takes no route without weight */
    best->credit -= total;
    return best->service;
}
