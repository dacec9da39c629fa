#include "mesh.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>

#include "proc.h"

#define MESH_TRIES 200
#define MESH_PAUSE_MS 50 /* below the rate where the log omits lines */
#define MESH_COUNTED_CALLS 30
#define MESH_COUNTED_PAUSE_MS 20

static const char *const services[] = {"near", "far", "far"};

/* Send requests to node 0 that only the target beside `node`, 1 or 2, serves,
 * until it has served one.  Whether it has; `name` begins their ids. */
bool
mesh_reach_target(int node, const char *name)
{
    char path[32];
    bool reached = false;
    snprintf(path, sizeof(path), "/i/shed-at-%d", MESH_NODES - node);
    for (int i = 0; i < MESH_TRIES && !reached; i++) {
        char id[64];
        harness_response response;
        snprintf(id, sizeof(id), "%s-%d-%d", name, node, i);
        harness_call(&response, 0, "GET", path, id, NULL, 0);
        reached = response.status == 200 && harness_last_run_node(id) == node;
        harness_free_response(&response);
        if (!reached) {
            harness_sleep_ms(MESH_PAUSE_MS);
        }
    }
    return reached;
}

/* Send calls that only the target beside node 1 would execute; `prefix` begins
 * their ids.  Returns how many it did. */
int
mesh_count_runs_of_node1(const char *prefix)
{
    int runs = 0;
    for (int i = 0; i < MESH_COUNTED_CALLS; i++) {
        char id[32];
        harness_response response;
        snprintf(id, sizeof(id), "%s-%d", prefix, i);
        harness_call(&response, 0, "POST", "/n/shed-at-2", id, "", 0);
        runs += harness_run_count(id);
        harness_free_response(&response);
        harness_sleep_ms(MESH_COUNTED_PAUSE_MS);
    }
    return runs;
}

/* Wait until all nodes are ready and node 0 has discovered the others, which
 * shows once a request was executed at each. */
static void
mesh_wait_ready(void)
{
    for (int i = 0; i < MESH_NODES; i++) {
        cr_assert(harness_wait_ready(i));
        cr_assert(
            HARNESS_WAIT_FOR(harness_send_heartbeat(i, "ready", 0) == 200));
    }
    for (int i = 1; i < MESH_NODES; i++) {
        cr_assert(mesh_reach_target(i, "start"), "node %d", i);
    }
}

/* Start the deployment with options. */
void
mesh_start_with(const harness_options *opts)
{
    harness_start_with(MESH_NODES, services, opts);
    harness_publish_desired(1, ROUTES);
    mesh_wait_ready();
}

/* Start the deployment and wait until node 0 has discovered the others. */
void
mesh_start(void)
{
    harness_options defaults = {0};
    mesh_start_with(&defaults);
}

/* The same with fault proxies in front of the peer ports and the store. */
void
mesh_start_proxied(void)
{
    harness_options proxied = {.proxied = true};
    mesh_start_with(&proxied);
}

/* Start the deployment; the store's copy is from before the nodes wrote their
 * entries. */
void
mesh_start_with_early_copy(const harness_options *opts)
{
    harness_start_with(MESH_NODES, services, opts);
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    harness_publish_desired(1, ROUTES);
    harness_store_copy();
    harness_set_store_mode(HARNESS_STORE_UP);
    mesh_wait_ready();
}

/* Kill a node's process and start a new one with the same settings. */
void
mesh_restart_node(int node)
{
    harness_signal_node(node, SIGKILL);
    cr_assert_neq(harness_wait_node_exit(node), -1);
    harness_start_node(node);
}

/* Stop a node after its target, so that nothing is left of them. */
void
mesh_remove_node(int node)
{
    char name[32];
    snprintf(name, sizeof(name), "node%d", node);
    cr_assert_eq(harness_deregister_target(node), 200);
    harness_set_target_refusing(node, true);
    harness_signal_node(node, SIGTERM);
    cr_assert(HARNESS_WAIT_FOR(!harness_store_contains("lavnodes", name)));
    cr_assert_eq(harness_wait_node_exit(node), 0);
}

/* Start a node that was removed, and a target beside it, anew. */
void
mesh_return_node(int node, const char *instance)
{
    harness_set_target_refusing(node, false);
    harness_replace_instance(node, instance);
    harness_start_node(node);
}

/* Add a node that is not one of ours: `serve` serves its peers' address, and
 * its entry names an instance of `service`.  Returns the listening
 * descriptor. */
int
mesh_add_node(const char *service, harness_serve_cb serve)
{
    char spec[512];
    int port = proc_reserve_port();
    int listener = harness_listen(port, 0, serve);
    snprintf(spec, sizeof(spec),
             "{\"node\":\"other\",\"service\":\"%s\",\"zone\":\"z0\","
             "\"target\":\"i-other\",\"started_ms\":1000,\"incarnation\":5,"
             "\"sequence\":5,\"peer\":\"127.0.0.1:%d\",\"state\":\"ready\","
             "\"slots\":40}",
             service, port);
    harness_store_put("lavnodes", "other", spec);
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(0, "i-other")));
    return listener;
}

/* The same, and a desired state whose only route is one of non-idempotent
 * requests under `prefix` to `service`. */
int
mesh_add_routed_node(const char *service, const char *prefix,
                     harness_serve_cb serve)
{
    char routes[512];
    int listener = mesh_add_node(service, serve);
    snprintf(routes, sizeof(routes),
             "[" ROUTE("%s", "non_idempotent", "5000ms", "%s") "]", prefix,
             service);
    harness_publish_desired(2, routes);
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(0, "\"version\":2")));
    return listener;
}

/* Kill the processes of all nodes at once and start new ones. */
void
mesh_restart_all(void)
{
    for (int i = 0; i < MESH_NODES; i++) {
        harness_signal_node(i, SIGKILL);
    }
    for (int i = 0; i < MESH_NODES; i++) {
        cr_assert_neq(harness_wait_node_exit(i), -1);
    }
    for (int i = 0; i < MESH_NODES; i++) {
        harness_start_node(i);
    }
}
