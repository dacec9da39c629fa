#include "lav/rts.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "lav/err.h"
#include "lav/id.h"

struct rts {
    uint64_t version;
    rts_limits limits;
    GHashTable *hosts;  /* lower-case host -> GPtrArray of rts_route */
    GHashTable *health; /* service -> path */
    size_t count;
};

static void
rts_route_free(gpointer route)
{
    rts_route *r = route;
    g_free(r->host);
    g_free(r->prefix);
    g_free(r);
}

static void
rts_routes_free(gpointer routes)
{
    g_ptr_array_free(routes, TRUE);
}

/* Begin an empty set. */
int
rts_new(rts **out, uint64_t version, const rts_limits *limits)
{
    rts *set = calloc(1, sizeof(*set));
    if (set == NULL) {
        return ERR_NO_MEMORY;
    }
    set->version = version;
    set->limits = *limits;
    set->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                       rts_routes_free);
    set->health =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    *out = set;
    return 0;
}

/* Release the set and its routes; takes NULL. */
void
rts_free(rts *set)
{
    if (set != NULL) {
        g_hash_table_destroy(set->hosts);
        g_hash_table_destroy(set->health);
        free(set);
    }
}

static bool
rts_valid(const rts_route *route)
{
    size_t length = strlen(route->prefix);
    int64_t weights = 0;
    for (int i = 0; i < route->part_count; i++) {
        if (route->parts[i].weight < 0) {
            return false;
        }
        weights += route->parts[i].weight;
    }
    return length > 0 && length < RTS_TEXT_MAX &&
           strlen(route->host) < RTS_TEXT_MAX && route->prefix[0] == '/' &&
           route->prefix[length - 1] == '/' && route->part_count > 0 &&
           route->part_count <= RTS_PARTS_MAX && weights > 0 &&
           route->timeout_us > 0 && route->objective_us > 0 &&
           route->attempts_max > 0;
}

/* Add a copy of a route; ERR_INVALID where a field is out of range. */
int
rts_add(rts *set, const rts_route *route)
{
    if (!rts_valid(route)) {
        return ERR_INVALID;
    }
    rts_route *copy = g_memdup2(route, sizeof(*route));
    copy->host = g_ascii_strdown(route->host, -1);
    copy->prefix = g_strdup(route->prefix);
    copy->prefix_length = strlen(copy->prefix);
    char *name = g_strconcat(copy->host, copy->prefix, NULL);
    copy->key = (uint32_t)id_hash(name);
    g_free(name);
    GPtrArray *routes = g_hash_table_lookup(set->hosts, copy->host);
    if (routes == NULL) {
        routes = g_ptr_array_new_with_free_func(rts_route_free);
        g_hash_table_insert(set->hosts, g_strdup(copy->host), routes);
    }
    g_ptr_array_add(routes, copy);
    set->count++;
    return 0;
}

/* Under which path a target of a service tells whether it is well;
 * ERR_INVALID where it is no path. */
int
rts_set_health(rts *set, const char *service, const char *path)
{
    if (path[0] != '/' || strlen(path) >= RTS_TEXT_MAX ||
        strpbrk(path, " \t\r\n") != NULL) {
        return ERR_INVALID;
    }
    g_hash_table_insert(set->health, g_strdup(service), g_strdup(path));
    return 0;
}

/* That path; NULL where none is known. */
const char *
rts_health(const rts *set, const char *service)
{
    return g_hash_table_lookup(set->health, service);
}

static gint
rts_longer_first(gconstpointer a, gconstpointer b)
{
    const rts_route *x = *(rts_route *const *)a;
    const rts_route *y = *(rts_route *const *)b;
    return (x->prefix_length < y->prefix_length) -
           (x->prefix_length > y->prefix_length);
}

/* The set is complete: put the routes in the order of the search. */
void
rts_seal(rts *set)
{
    GHashTableIter iter;
    gpointer routes = NULL;
    g_hash_table_iter_init(&iter, set->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &routes)) {
        g_ptr_array_sort(routes, rts_longer_first);
    }
}

/* What callers may send, and how long they may take. */
const rts_limits *
rts_limits_of(const rts *set)
{
    return &set->limits;
}

/* Version of the desired state. */
uint64_t
rts_version(const rts *set)
{
    return set->version;
}

/* Routes in the set. */
size_t
rts_count(const rts *set)
{
    return set->count;
}

/* The route of a request by its Host field and its target (a query may
 * follow the path); NULL where there is none. */
rts_route *
rts_find(const rts *set, const char *host, size_t host_length,
         const char *path, size_t path_length)
{
    char name[RTS_TEXT_MAX];
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
        rts_route *route = g_ptr_array_index(routes, i);
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
rts_next_service(rts_route *route)
{
    if (route->part_count == 1) {
        return route->parts[0].service;
    }
    int64_t total = 0;
    rts_part *best = NULL;
    for (int i = 0; i < route->part_count; i++) {
        rts_part *part = &route->parts[i];
        total += part->weight;
        part->credit += part->weight;
        if (part->weight > 0 &&
            (best == NULL || part->credit > best->credit)) {
            best = part;
        }
    }
    g_assert(best != NULL); /* rts_add() takes no route without weight */
    best->credit -= total;
    return best->service;
}
