/* A fleet starts for the first time while the store can't be reached well. */
#include <criterion/criterion.h>
#include <stdio.h>

#include "mesh.h"

TestSuite(mesh_start, .fini = harness_stop, .timeout = 60);

static const char *const services[] = {"near", "far", "far"};

typedef struct start_case {
    const char *name;
    const char *workspaces; /* NULL: none */
} start_case;

static const start_case start_cases[] = {
    {"no workspaces", NULL},
    {"a workspace with a cap",
     "[{\"name\":\"one\",\"api_keys\":[\"key\"],\"priority\":0,"
     "\"rate_per_s\":100,\"burst\":100}]"},
};

/* The first polls of the entries fall silent, so that no node reads an entry,
 * not even its own: each has to find out. */
Test(mesh_start, polls_that_fall_silent_at_the_start)
{
    for (size_t i = 0; i < COUNT(start_cases); i++) {
        const start_case *c = &start_cases[i];
        harness_start(MESH_NODES, services);
        harness_publish_workspaces(1, ROUTES, c->workspaces);
        for (int node = 0; node < MESH_NODES; node++) {
            cr_assert(harness_wait_ready(node), "%s", c->name);
        }
        cr_assert(HARNESS_WAIT_FOR(harness_store_waiting_count("lavnodes") ==
                                   MESH_NODES),
                  "%s", c->name);
        harness_store_lose_polls("lavnodes");
        for (int node = 0; node < MESH_NODES; node++) {
            cr_assert(HARNESS_WAIT_FOR(
                harness_send_heartbeat(node, "ready", 0) == 200));
        }
        cr_expect(HARNESS_WAIT_FOR(harness_log_contains(0, "\"i-1\"") &&
                                   harness_log_contains(0, "\"i-2\"")),
                  "%s: node 0 knows no other", c->name);
        harness_stop();
    }
}
