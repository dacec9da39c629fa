/* A fleet starts for the first time while the store can't be reached well. */
#include <criterion/criterion.h>
#include <stdio.h>

#include "mesh.h"

#define SILENT_MS 50 /* several turns of a waiting poll at the store */

TestSuite(mesh_start, .fini = harness_stop, .timeout = 120);

static const char *const services[] = {"near", "far", "far"};

/* Publish a desired state; with `workspaces` one that divides a cap. */
static void
publish(bool workspaces)
{
    if (workspaces) {
        harness_publish_workspaces(
            1, ROUTES,
            "[{\"name\":\"one\",\"api_keys\":[\"key\"],\"priority\":0,"
            "\"rate_per_s\":100,\"burst\":100}]");
    }
    else {
        harness_publish_desired(1, ROUTES);
    }
}

/* The polls of node 0 lose an answer and stay silent; the other nodes' entries
 * were in it.  A node that never reads its own entry has to find out. */
Test(mesh_start, polls_that_fall_silent_at_the_start)
{
    /* A check of the desired state in the silent moment also finds out, so
     * that one round may pass by chance. */
    static const bool workspace_cases[] = {false, false, false, false, true};
    for (size_t i = 0; i < COUNT(workspace_cases); i++) {
        harness_options proxied = {.proxied = true};
        harness_start_with(MESH_NODES, services, &proxied);
        publish(workspace_cases[i]);
        for (int node = 0; node < MESH_NODES; node++) {
            cr_assert(harness_wait_ready(node));
        }
        cr_assert(HARNESS_WAIT_FOR(harness_store_waiting_count("lavnodes") ==
                                   MESH_NODES));
        fault_proxy_set_mode(harness_get_store_proxy(0),
                             FAULT_PROXY_BLACKHOLE);
        cr_assert(
            HARNESS_WAIT_FOR(harness_send_heartbeat(1, "ready", 0) == 200));
        cr_assert(
            HARNESS_WAIT_FOR(harness_store_contains("lavnodes", "node1")));
        harness_sleep_ms(SILENT_MS);
        fault_proxy_set_mode(harness_get_store_proxy(0), FAULT_PROXY_PASS);
        cr_assert(
            HARNESS_WAIT_FOR(harness_send_heartbeat(0, "ready", 0) == 200));
        cr_expect(HARNESS_WAIT_FOR(harness_log_contains(0, "\"i-1\"")),
                  "round %zu, workspaces %d", i, workspace_cases[i]);
        harness_stop();
    }
}
