/* The nodes' entries when the store is restored from a copy. */
#include <criterion/criterion.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mesh.h"

#define CALLS 40
#define CALL_GAP_MS 25
#define WRITERS_NOTICE_MS                                                     \
    4000                    /* they need up to 2 s, and poll once a second */
#define LATE_WRITER_MS 7000 /* over the time that missing entries are kept */

static const char *const services[] = {"near", "far", "far"};

/* Take the store away and bring it back from its copy. */
static void
restore_store(bool away)
{
    if (away) {
        harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
        for (int i = 0; i < MESH_NODES; i++) {
            cr_assert(
                HARNESS_WAIT_FOR(harness_log_contains(i, "\"store_lost\"")));
        }
    }
    harness_store_restore();
    harness_set_store_mode(HARNESS_STORE_UP);
}

/* The name of a node in its entry. */
static const char *
node_name(int node)
{
    static char name[32];
    snprintf(name, sizeof(name), "node%d", node);
    return name;
}

/* Send calls to service "far" by node 0.  Returns how many got no 200. */
static int
count_failed_calls(const char *prefix)
{
    int failed = 0;
    for (int i = 0; i < CALLS; i++) {
        char id[32];
        harness_response response;
        snprintf(id, sizeof(id), "%s-%d", prefix, i);
        harness_call(&response, 0, "POST", "/n/ok", id, "", 0);
        failed += response.status != 200;
        harness_free_response(&response);
        harness_sleep_ms(CALL_GAP_MS);
    }
    return failed;
}

/* The copy lacks all entries: each node writes its own again, and until then
 * the others go on with what they know. */
Test(restore, entries_that_the_copy_lacks, .fini = harness_stop, .timeout = 60)
{
    static const bool away_cases[] = {true, false};
    for (size_t i = 0; i < COUNT(away_cases); i++) {
        harness_options defaults = {0};
        mesh_start_with_early_copy(&defaults);
        restore_store(away_cases[i]);
        int failed = count_failed_calls("lacks");
        cr_expect_eq(failed, 0, "away %d: %d", away_cases[i], failed);
        for (int node = 0; node < MESH_NODES; node++) {
            cr_expect(HARNESS_WAIT_FOR(
                          harness_store_contains("lavnodes", node_name(node))),
                      "away %d: node %d", away_cases[i], node);
            cr_expect(HARNESS_WAIT_FOR(harness_log_contains(
                          node, "\"listed\":false,\"outdated\":true")),
                      "away %d: node %d", away_cases[i], node);
        }
        harness_stop();
    }
}

/* The copy holds an entry from before the instance was replaced. */
Test(restore, entries_older_than_their_nodes_know, .fini = harness_stop,
     .timeout = 60)
{
    mesh_start();
    harness_store_copy();
    harness_replace_instance(1, "i-next");
    cr_assert_eq(harness_send_heartbeat(1, "ready", 0), 200);
    cr_assert(HARNESS_WAIT_FOR(
        harness_store_spec_contains("lavnodes", "node1", "i-next")));
    restore_store(true);
    cr_expect(HARNESS_WAIT_FOR(
        harness_store_spec_contains("lavnodes", "node1", "i-next")));
    cr_expect(HARNESS_WAIT_FOR(mesh_count_runs_of_node1("next") > 0));
}

/* The revision of the entry in the copy is given out to another object: the
 * entry must be written and withdrawn all the same. */
Test(restore, entries_of_nodes_that_leave_after_it, .fini = harness_stop,
     .timeout = 60)
{
    mesh_start();
    harness_store_copy();
    harness_replace_instance(1, "i-next");
    cr_assert_eq(harness_send_heartbeat(1, "ready", 0), 200);
    cr_assert(HARNESS_WAIT_FOR(
        harness_store_spec_contains("lavnodes", "node1", "i-next")));
    restore_store(true);
    cr_assert(HARNESS_WAIT_FOR(
        harness_store_spec_contains("lavnodes", "node1", "i-next")));
    cr_assert_eq(harness_deregister_target(1), 200);
    harness_set_target_refusing(1, true);
    harness_signal_node(1, SIGTERM);
    cr_expect(HARNESS_WAIT_FOR(!harness_store_contains("lavnodes", "node1")));
    cr_expect_eq(harness_wait_node_exit(1), 0);
}

/* The copy brings back the entry of a node that has ended. */
Test(restore, entries_of_nodes_that_have_ended, .fini = harness_stop,
     .timeout = 60)
{
    mesh_start();
    harness_store_copy();
    cr_assert_eq(harness_deregister_target(2), 200);
    harness_set_target_refusing(2, true);
    harness_signal_node(2, SIGTERM);
    cr_assert_neq(harness_wait_node_exit(2), -1);
    cr_assert(HARNESS_WAIT_FOR(!harness_store_contains("lavnodes", "node2")));
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(0, "\"store_lost\"")));
    harness_store_restore();
    harness_set_store_mode(HARNESS_STORE_UP);
    int failed = count_failed_calls("ended");
    cr_expect_eq(failed, 0, "%d", failed);
}

/* When a node first logged a line with a text, in Unix ms; 0: never. */
static int64_t
first_logged_ms(int node, const char *text)
{
    char path[512];
    char line[4096];
    int64_t ms = 0;
    snprintf(path, sizeof(path), "%s/node%d.log", harness_log_dir(), node);
    FILE *log = fopen(path, "r");
    cr_assert_not_null(log, "%s", path);
    while (ms == 0 && fgets(line, sizeof(line), log) != NULL) {
        if (strstr(line, text) != NULL) {
            ms = strtoll(line + strlen("{\"ms\":"), NULL, 10);
        }
    }
    fclose(log);
    return ms;
}

/* A node whose entry the copy lacks and that doesn't write it again is taken
 * for gone, but not before writers had time to write again. */
Test(restore, entries_that_are_not_written_again, .fini = harness_stop,
     .timeout = 60)
{
    harness_start(MESH_NODES, services);
    harness_publish_desired(1, ROUTES);
    for (int i = 0; i < 2; i++) {
        cr_assert(harness_wait_ready(i));
        cr_assert(
            HARNESS_WAIT_FOR(harness_send_heartbeat(i, "ready", 0) == 200));
    }
    harness_store_copy();
    harness_store_put("lavnodes", "other",
                      "{\"node\":\"other\",\"service\":\"far\",\"zone\":"
                      "\"z0\",\"target\":\"i-other\",\"started_ms\":1000,"
                      "\"incarnation\":5,\"sequence\":5,\"peer\":"
                      "\"127.0.0.1:9\",\"state\":\"draining\",\"slots\":4}");
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(0, "i-other")));
    restore_store(true);
    cr_assert(HARNESS_WAIT_FOR(
        harness_log_contains(0, "node other: entry was deleted")));
    int64_t kept_ms = first_logged_ms(0, "node other: entry was deleted") -
                      first_logged_ms(0, "\"objects_missing\"");
    cr_expect_geq(kept_ms, WRITERS_NOTICE_MS, "%" PRId64, kept_ms);
}

/* A node that starts during the outage has heard the era before the restore,
 * and its target isn't adopted yet when it reads its entry: the entry of its
 * earlier start was deleted. */
Test(restore, entries_of_nodes_that_start_before_it, .fini = harness_stop,
     .timeout = 60)
{
    mesh_start();
    harness_store_copy();
    harness_signal_node(1, SIGKILL);
    cr_assert_neq(harness_wait_node_exit(1), -1);
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    harness_start_node(1);
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(1, "\"store_lost\"")));
    harness_store_restore();
    harness_set_store_mode(HARNESS_STORE_UP);
    cr_assert(
        HARNESS_WAIT_FOR(harness_log_contains(1, "\"own_entry_checked\"")));
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(1, "\"target_adopted\"")));
    cr_expect(HARNESS_WAIT_FOR(mesh_count_runs_of_node1("adopted") > 0));
    cr_expect(harness_log_contains(1, "\"listed\":true"));
    cr_expect_not(harness_log_contains(1, "\"outdated\":true"));
    cr_expect_not(harness_log_contains(0, "node node1: entry was deleted"));
    cr_expect_not(harness_log_contains(2, "node node1: entry was deleted"));
}

/* How the node whose entry is missing is kept from writing it again. */
typedef struct late_writer_case {
    const char *name;
    bool away_again; /* the store goes away for all nodes */
} late_writer_case;

static const late_writer_case late_writer_cases[] = {
    {"the store goes away again", true},
    {"the node is cut off from the store", false},
};

/* A node that can't write its entry again for longer than the others wait for
 * it still serves their calls. */
Test(restore, entries_that_cannot_be_written_again_in_time,
     .fini = harness_stop, .timeout = 120)
{
    harness_options proxied = {.proxied = true};
    for (size_t i = 0; i < COUNT(late_writer_cases); i++) {
        const late_writer_case *c = &late_writer_cases[i];
        mesh_start_with_early_copy(&proxied);
        fault_proxy_set_mode(harness_get_store_proxy(1),
                             FAULT_PROXY_BLACKHOLE);
        harness_store_restore();
        for (int node = 0; node < MESH_NODES; node += 2) {
            cr_assert(HARNESS_WAIT_FOR(
                harness_log_contains(node, "\"objects_missing\"")));
        }
        if (c->away_again) {
            harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
            fault_proxy_set_mode(harness_get_store_proxy(1), FAULT_PROXY_PASS);
        }
        harness_sleep_ms(LATE_WRITER_MS);
        cr_expect(mesh_count_runs_of_node1("late") > 0, "%s", c->name);
        cr_expect_not(harness_log_contains(0, "node node1: entry was deleted"),
                      "%s", c->name);
        harness_stop();
    }
}
