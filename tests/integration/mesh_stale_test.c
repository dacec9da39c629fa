/* The store answers polls of the nodes' entries from a cache that lags by
 * seconds.  What a target does must reach the other nodes in time all the
 * same. */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>

#include "mesh.h"

#define STALE_MS 2000 /* the store's lag */
#define DRAIN_MS 400  /* default of the deployment */

static void
start_stale(void)
{
    mesh_start();
    harness_set_store_stale_ms(STALE_MS);
}

TestSuite(mesh_stale, .init = start_stale, .fini = harness_stop,
          .timeout = 60);

/* Only entries may be late: a desired state has to be in force in time. */
Test(mesh_stale, only_polls_of_entries_may_be_stale)
{
    cr_expect(
        HARNESS_WAIT_FOR(harness_store_stale_read_count("lavnodes") > 0));
    cr_expect_eq(harness_store_stale_read_count("config"), 0);
}

/* A target that begins to leave gets nothing after its drain time, though the
 * store's entry still says that it is ready. */
Test(mesh_stale, a_target_that_leaves)
{
    cr_expect_gt(mesh_count_runs_of_node1("before"), 0);
    cr_expect_eq(harness_send_heartbeat(1, "draining", 0), 200);
    harness_sleep_ms(DRAIN_MS);
    cr_expect_eq(mesh_count_runs_of_node1("leave"), 0);
}

/* A node that starts again knows from the store's list, which is never stale,
 * that its target has left. */
Test(mesh_stale, a_target_that_left_before_a_restart)
{
    cr_assert_eq(harness_deregister_target(1), 200);
    harness_sleep_ms(DRAIN_MS);
    harness_signal_node(1, SIGKILL);
    cr_expect_neq(harness_wait_node_exit(1), -1);
    harness_start_node(1);
    cr_assert(harness_wait_ready(1));
    cr_expect_eq(mesh_count_runs_of_node1("left"), 0);
}

/* A target that takes the place of another one gets requests as soon as its
 * entry is seen. */
Test(mesh_stale, a_target_that_replaces_another)
{
    harness_replace_instance(1, "successor");
    cr_expect_eq(harness_send_heartbeat(1, "ready", 0), 200);
    harness_sleep_ms(STALE_MS + 1000);
    cr_expect_gt(mesh_count_runs_of_node1("successor"), 0);
}
