/*
 * routing: the routing table of one version of the desired state.  The host
 * and the longest path prefix select a route; a route leads to one service,
 * or to several in proportion to their weights.  A table is built once and
 * is read-only afterwards, except for the round-robin credits of the weights.
 */
#ifndef LAV_ROUTING_H
#define LAV_ROUTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/svc.h"
#include "lav/workspace.h"

#ifdef __cplusplus
extern "C" {
#endif

#define ROUTING_DESTINATIONS_MAX 8 /* services of one route */
#define ROUTING_TEXT_SIZE 512 /* bytes of a host or prefix, including NUL */

/* A service takes mixed work if the longest objective of its routes is at
 * least this ... */
#define ROUTING_LONG_OBJECTIVE_US 2000000

/* ... and at least this multiple of the shortest. */
#define ROUTING_MIXED_OBJECTIVE_RATIO 4

typedef struct routing_destination {
    char service[SVC_NAME_SIZE];
    int weight;
    int64_t credit; /* of the smooth weighted round robin */
} routing_destination;

typedef struct routing_route {
    char *host;
    char *prefix; /* begins and ends with a slash */
    size_t prefix_length;
    uint32_t key; /* hash of host and prefix; the same in every version */
    bool idempotent;
    bool auth_exempt;     /* callers need no API key */
    int64_t timeout_us;   /* longest time that a caller is kept waiting */
    int64_t objective_us; /* a response within it has its full value */
    int priority;         /* 0 is the highest */
    int attempts_max;     /* targets that one request may be sent to */
    int part_count;
    routing_destination parts[ROUTING_DESTINATIONS_MAX];
} routing_route;

/* Limits on the requests of external callers. */
typedef struct routing_limits {
    size_t header_bytes_max;
    int64_t body_bytes_max;
    int64_t header_timeout_us;
    int64_t idle_timeout_us;
} routing_limits;

typedef struct routing_table routing_table;

/* Receives a route, which is valid as long as its table. */
typedef void (*routing_route_cb)(const routing_route *route, void *payload);

/* Receives the name of a service, which is valid during the call. */
typedef void (*routing_service_cb)(const char *service, void *payload);

int routing_new(routing_table **out, uint64_t version,
                const routing_limits *limits);
void routing_free(routing_table *table);
int routing_add(routing_table *table, const routing_route *route);
int routing_set_health_path(routing_table *table, const char *service,
                            const char *path);
const char *routing_health_path(const routing_table *table,
                                const char *service);
void routing_sort(routing_table *table);
void routing_set_workspaces(routing_table *table, workspace_table *workspaces);
const workspace_table *routing_get_workspaces(const routing_table *table);
bool routing_has_mixed_work(const routing_table *table);
bool routing_serves_mixed_work(const routing_table *table,
                               const char *service);
const routing_limits *routing_get_limits(const routing_table *table);
uint64_t routing_version(const routing_table *table);
size_t routing_count(const routing_table *table);
routing_route *routing_find(const routing_table *table, const char *host,
                            size_t host_length, const char *path,
                            size_t path_length);
const char *routing_next_service(routing_route *route);
void routing_each_route(const routing_table *table, routing_route_cb each,
                        void *payload);
void routing_each_service(const routing_table *table, routing_service_cb each,
                          void *payload);
bool routing_leads_to(const routing_table *table, const char *service);

#ifdef __cplusplus
}
#endif

#endif
