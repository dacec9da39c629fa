/*
 * mesh: the deployment of the platform's tests.  Node 0 receives the callers'
 * requests and has a target of service "near" beside it; nodes 1 and 2 have
 * the two targets of service "far".
 */
#ifndef LAV_MESH_H
#define LAV_MESH_H

#include "harness_private.h"

#define MESH_NODES 3

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

#define ROUTE(prefix, kind, timeout, service)                                 \
    "{\"host\":\"h.example\",\"path_prefix\":\"" prefix                       \
    "\",\"route_type\":\"" kind "\",\"timeout\":\"" timeout                   \
    "\",\"target_latency\":\"1000ms\",\"priority\":0,\"max_attempts\":2,"     \
    "\"service\":\"" service "\"}"
#define ROUTES                                                                \
    "[" ROUTE("/i/", "idempotent", "5000ms", "far") "," ROUTE(                \
        "/n/", "non_idempotent", "5000ms",                                    \
        "far") "," ROUTE("/q/", "idempotent", "500ms",                        \
                         "far") "," ROUTE("/m/", "non_idempotent", "5000ms",  \
                                          "near") "]"

void mesh_start(void);
void mesh_start_with(const harness_options *opts);
void mesh_start_proxied(void);
void mesh_start_with_early_copy(const harness_options *opts);
bool mesh_reach_target(int node, const char *name);
int mesh_count_runs_of_node1(const char *prefix);
void mesh_restart_node(int node);
void mesh_remove_node(int node);
void mesh_return_node(int node, const char *instance);
void mesh_restart_all(void);
int mesh_add_node(const char *service, harness_serve_cb serve);
int mesh_add_routed_node(const char *service, const char *prefix,
                         harness_serve_cb serve);

#endif
