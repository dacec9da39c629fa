/* Nodes that start again after the store came back from a copy without their
 * entries: they must not take part as if the fleet had just started. */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>

#include "mesh.h"

#define CALLS 20 /* by each node */
#define RATIO 0.5
#define SLACK                                                                 \
    100 /* of retries, over all nodes; see harness_write_settings() */

/* Sends calls that all targets shed, by each node.  Returns how many of them
 * were sent again. */
static int
count_sent_again(const char *prefix)
{
    int sent_again = 0;
    for (int i = 0; i < CALLS * MESH_NODES; i++) {
        char id[32];
        harness_response response;
        snprintf(id, sizeof(id), "%s-%d", prefix, i);
        harness_call(&response, i % MESH_NODES, "GET", "/i/shed", id, NULL, 0);
        int arrivals = harness_arrival_count(id);
        sent_again += arrivals > 0 ? arrivals - 1 : 0;
        harness_free_response(&response);
    }
    return sent_again;
}

/* All nodes are killed and the copy lacks all entries: the slack of the retry
 * budget was granted a second time within one window. */
Test(restore, a_fleet_that_starts_again_has_no_second_slack,
     .fini = harness_stop, .timeout = 60)
{
    harness_options defaults = {0};
    mesh_start_with_early_copy(&defaults);
    int before = count_sent_again("before");
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    harness_store_restore();
    mesh_restart_all();
    harness_set_store_mode(HARNESS_STORE_UP);
    for (int i = 0; i < MESH_NODES; i++) {
        cr_assert(harness_wait_ready(i));
        cr_assert(
            HARNESS_WAIT_FOR(harness_send_heartbeat(i, "ready", 0) == 200));
    }
    for (int i = 1; i < MESH_NODES; i++) {
        cr_assert(mesh_reach_target(i, "again"), "node %d", i);
    }
    int after = count_sent_again("after");
    int requests = 2 * CALLS * MESH_NODES;
    cr_expect_gt(before, 0);
    cr_expect_leq(before + after, RATIO * requests + SLACK, "%d and %d of %d",
                  before, after, requests);
}
