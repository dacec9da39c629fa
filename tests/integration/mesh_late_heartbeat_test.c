/* A node is killed right after it has acknowledged a departure, before it can
 * write it down, and a heartbeat that the target had sent before arrives at its
 * next start: the target must not get requests again.  One that lives on
 * must. */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>

#include "lav/clock.h"
#include "mesh.h"

/* Heartbeats that go on for longer than this are not late. */
#define LATE_MAX_MS 5000

/* Until the node has given up waiting for the store's entries. */
#define ENTRIES_WAIT_MS 700

#define HEARTBEAT_MS 500
#define SETTLE_MS 500 /* of a health check and the node's entry */
#define UNHEALTHY 503

/* A desired state whose services have no health path. */
#define CONFIG_WITHOUT_HEALTH                                                 \
    "{\"version\":\"00000002\",\"routes\":" ROUTES                            \
    ",\"services\":[{\"name\":\"near\"},{\"name\":\"far\"}],\"limits\":{"     \
    "\"max_header_bytes\":4096,\"max_body_bytes\":4194304,"                   \
    "\"header_timeout\":\"2s\",\"idle_timeout\":\"15s\"}}"

TestSuite(mesh_departed, .init = mesh_start, .fini = harness_stop,
          .timeout = 60);

typedef struct departure_case {
    const char *name;
    bool store_is_away; /* at the restart and when the heartbeat arrives */
    int away_ms;        /* after the heartbeat */
    bool peers_call;    /* so that the node gets their desired state */
    bool no_health;     /* the service has no health path */
} departure_case;

static const departure_case departure_cases[] = {
    {"the store is back soon", true, ENTRIES_WAIT_MS, false, false},
    {"the store is back late", true, LATE_MAX_MS + 1000, false, false},
    {"a peer tells the desired state", true, ENTRIES_WAIT_MS, true, false},
    {"the target can't be checked", false, 0, false, true},
    {"the same without the store", true, ENTRIES_WAIT_MS, false, true},
};

/* Publishes a desired state without health paths and waits for it. */
static void
publish_without_health(void)
{
    harness_store_put("config", "main", CONFIG_WITHOUT_HEALTH);
    for (int i = 0; i < MESH_NODES; i++) {
        cr_assert(HARNESS_WAIT_FOR(harness_log_contains(
            i, "\"event\":\"desired_state\",\"version\":2")));
    }
}

/* Registers a target, lets it leave while the store is away, and kills and
 * restarts its node before that is written.  `late` receives a heartbeat from
 * before it left. */
static void
leave_unwritten(char *late, size_t size, const departure_case *c,
                const char *instance)
{
    harness_set_target_health(1, 0, "");
    harness_replace_instance(1, instance);
    cr_assert(HARNESS_WAIT_FOR(
        harness_send_heartbeat(1, "ready", 0) == 200 &&
        harness_store_spec_contains("lavnodes", "node1", instance) &&
        harness_store_spec_contains("lavnodes", "node1", "ready")));
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(0, instance)));
    harness_format_heartbeat(late, size, 1, "ready", 0);
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    cr_assert_eq(harness_deregister_target(1), 200);
    harness_set_target_health(1, UNHEALTHY, "");
    mesh_restart_node(1);
    if (!c->store_is_away) {
        harness_set_store_mode(HARNESS_STORE_UP);
        cr_assert(harness_wait_ready(1));
    }
}

Test(mesh_departed, a_target_that_left_is_not_brought_back)
{
    for (size_t i = 0; i < COUNT(departure_cases); i++) {
        const departure_case *c = &departure_cases[i];
        char late[512];
        char instance[32];
        char during[32];
        snprintf(instance, sizeof(instance), "i-left-%zu", i);
        snprintf(during, sizeof(during), "during-%zu", i);
        if (c->no_health && !harness_log_contains(1, "\"version\":2")) {
            publish_without_health();
        }
        leave_unwritten(late, sizeof(late), c, instance);
        cr_assert(HARNESS_WAIT_FOR(
            harness_send_heartbeat_body(1, instance, late) == 200));
        harness_sleep_ms(c->away_ms);
        if (c->peers_call) {
            cr_expect_eq(mesh_count_runs_of_node1(during), 0, "%s", c->name);
            cr_expect(harness_wait_ready(1), "%s", c->name);
        }
        harness_set_store_mode(HARNESS_STORE_UP);
        cr_assert(harness_wait_ready(1));
        harness_sleep_ms(SETTLE_MS);
        cr_expect_eq(mesh_count_runs_of_node1(instance), 0, "%s", c->name);
    }
}

typedef struct unnamed_case {
    const char *name;
    bool first_start;     /* of the node, so that it has no entry */
    bool heartbeat_first; /* it arrives before the store is back */
} unnamed_case;

static const unnamed_case unnamed_cases[] = {
    {"the entry names another one", false, false},
    {"the entry names another one, heartbeat first", false, true},
    {"no entry, heartbeat first", true, true},
};

/* The target registers and leaves while the store is away, so that the entry
 * names another one or is missing. */
Test(mesh_departed, a_target_that_no_entry_names)
{
    for (size_t i = 0; i < COUNT(unnamed_cases); i++) {
        const unnamed_case *c = &unnamed_cases[i];
        char late[512];
        char instance[32];
        snprintf(instance, sizeof(instance), "i-unnamed-%zu", i);
        harness_set_target_health(1, 0, "");
        if (c->first_start) {
            mesh_remove_node(1);
            harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
            mesh_return_node(1, instance);
        }
        else {
            harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
            harness_replace_instance(1, instance);
        }
        cr_assert(
            HARNESS_WAIT_FOR(harness_send_heartbeat(1, "ready", 0) == 200));
        harness_format_heartbeat(late, sizeof(late), 1, "ready", 0);
        cr_assert_eq(harness_deregister_target(1), 200);
        harness_set_target_health(1, UNHEALTHY, "");
        mesh_restart_node(1);
        if (c->heartbeat_first) {
            cr_assert(HARNESS_WAIT_FOR(
                harness_send_heartbeat_body(1, instance, late) == 200));
            harness_sleep_ms(ENTRIES_WAIT_MS);
        }
        harness_set_store_mode(HARNESS_STORE_UP);
        cr_assert(harness_wait_ready(1));
        if (!c->heartbeat_first) {
            cr_assert_eq(harness_send_heartbeat_body(1, instance, late), 200);
        }
        harness_sleep_ms(SETTLE_MS);
        cr_expect_eq(mesh_count_runs_of_node1(instance), 0, "%s", c->name);
    }
}

typedef struct copied_case {
    const char *name;
    bool copy_has_entry; /* in which the target is ready */
    int late_ms;         /* from when the node is ready to the heartbeat */
} copied_case;

static const copied_case copied_cases[] = {
    {"the copy lacks the entry", false, 0},
    {"the copy lacks the entry, later heartbeat", false, 1500},
    {"the entry is as it was before the departure", true, 0},
};

/* A departure that was written was lost, and the target believed, as the store
 * came back from a copy without the entry, so that the node seemed to start for
 * the first time. */
Test(mesh_departed, a_target_whose_entry_a_restored_store_lacks)
{
    for (size_t i = 0; i < COUNT(copied_cases); i++) {
        const copied_case *c = &copied_cases[i];
        char late[512];
        char instance[32];
        snprintf(instance, sizeof(instance), "i-copied-%zu", i);
        harness_set_target_health(1, 0, "");
        mesh_remove_node(1);
        harness_store_copy();
        mesh_return_node(1, instance);
        cr_assert(
            HARNESS_WAIT_FOR(harness_send_heartbeat(1, "ready", 0) == 200));
        cr_assert(HARNESS_WAIT_FOR(
            harness_store_spec_contains("lavnodes", "node1", instance) &&
            harness_store_spec_contains("lavnodes", "node1", "ready")));
        if (c->copy_has_entry) {
            harness_store_copy();
        }
        harness_format_heartbeat(late, sizeof(late), 1, "ready", 0);
        cr_assert_eq(harness_deregister_target(1), 200);
        harness_set_target_health(1, UNHEALTHY, "");
        cr_assert(HARNESS_WAIT_FOR(
            harness_store_spec_contains("lavnodes", "node1", "draining")));
        harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
        harness_signal_node(1, SIGKILL);
        cr_assert_neq(harness_wait_node_exit(1), -1);
        harness_store_restore();
        harness_set_store_mode(HARNESS_STORE_UP);
        harness_start_node(1);
        cr_assert(harness_wait_ready(1));
        harness_sleep_ms(c->late_ms);
        cr_assert_eq(harness_send_heartbeat_body(1, instance, late), 200);
        harness_sleep_ms(SETTLE_MS);
        cr_expect_eq(mesh_count_runs_of_node1(instance), 0, "%s", c->name);
    }
}

/* A target that lives on sends one heartbeat while its node can't check it. It
 * is checked as soon as the store is back, before the next heartbeat. */
Test(mesh_departed, a_target_that_lives_on_is_used_once_the_store_is_back)
{
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    mesh_restart_node(1);
    cr_assert(HARNESS_WAIT_FOR(harness_send_heartbeat(1, "ready", 0) == 200));
    harness_sleep_ms(ENTRIES_WAIT_MS);
    harness_set_store_mode(HARNESS_STORE_UP);
    cr_assert(harness_wait_ready(1));
    cr_expect(HARNESS_WAIT_FOR(mesh_count_runs_of_node1("lives") > 0));
}

/* The same if the entry names the target before, which is checked first. */
Test(mesh_departed, another_target_is_used_once_the_store_is_back)
{
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    harness_replace_instance(1, "i-successor");
    mesh_restart_node(1);
    cr_assert(HARNESS_WAIT_FOR(harness_send_heartbeat(1, "ready", 0) == 200));
    harness_sleep_ms(ENTRIES_WAIT_MS);
    harness_set_store_mode(HARNESS_STORE_UP);
    cr_assert(harness_wait_ready(1));
    cr_expect(HARNESS_WAIT_FOR(mesh_count_runs_of_node1("lives") > 0));
}

/* Likewise where a peer tells the desired state while the store is away. */
Test(mesh_departed, a_target_that_lives_on_is_used_by_a_peers_desired_state)
{
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    mesh_restart_node(1);
    cr_assert(HARNESS_WAIT_FOR(harness_send_heartbeat(1, "ready", 0) == 200));
    harness_sleep_ms(ENTRIES_WAIT_MS);
    cr_expect(HARNESS_WAIT_FOR(mesh_count_runs_of_node1("lives") > 0));
    cr_expect(harness_wait_ready(1));
}

/* A target without a health path is used once its heartbeats have gone on for
 * longer than they can be late. */
Test(mesh_departed, a_target_without_a_health_path)
{
    int served = 0;
    publish_without_health();
    mesh_restart_node(1);
    cr_assert(harness_wait_ready(1));
    int64_t from_us = clock_now_us();
    for (int i = 0; i < 4 * LATE_MAX_MS / HEARTBEAT_MS && served == 0; i++) {
        char prefix[32];
        snprintf(prefix, sizeof(prefix), "served-%d", i);
        cr_assert_eq(harness_send_heartbeat(1, "ready", 0), 200);
        harness_sleep_ms(HEARTBEAT_MS);
        served = mesh_count_runs_of_node1(prefix);
    }
    printf("without a health path: served again after %lld ms\n",
           (long long)((clock_now_us() - from_us) / CLOCK_US_PER_MS));
    fflush(stdout);
    cr_expect_gt(served, 0);
}
