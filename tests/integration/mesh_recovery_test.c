/* How long it takes after each fault until requests are served again.  The
 * time is printed; only the platform's bound is asserted. */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <signal.h>
#include <stdio.h>

#include "lav/clock.h"
#include "mesh.h"

#define BOUND_MS 15000 /* the platform's `recovery` */
#define FROZEN_MS 2000
#define AWAY_MS 1000 /* of the store, after a heartbeat */
#define PAUSE_MS 10  /* between two attempts */
#define NEW_ROUTES                                                            \
    "[" ROUTE("/new/", "idempotent", "5000ms",                                \
              "far") "," ROUTE("/n/", "non_idempotent", "5000ms", "far") "]"

TestSuite(mesh_recovery, .init = mesh_start, .fini = harness_stop,
          .timeout = 60);

static void
kill_callers_node(void)
{
    mesh_restart_node(0);
}

static void
kill_targets_node(void)
{
    mesh_restart_node(1);
}

static void
freeze_targets_node(void)
{
    harness_signal_node(1, SIGSTOP);
    harness_sleep_ms(FROZEN_MS);
    harness_signal_node(1, SIGCONT);
}

static void
replace_node_and_target(void)
{
    harness_replace_instance(1, "i-other");
    mesh_restart_node(1);
    cr_assert(HARNESS_WAIT_FOR(harness_send_heartbeat(1, "ready", 0) == 200));
}

/* Targets keep sending heartbeats, and the store is back once each was
 * accepted. */
static void
restart_all_without_the_store(void)
{
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    mesh_restart_all();
    for (int i = 0; i < MESH_NODES; i++) {
        cr_assert(
            HARNESS_WAIT_FOR(harness_send_heartbeat(i, "ready", 0) == 200));
    }
    harness_set_store_mode(HARNESS_STORE_UP);
}

/* Restart node 1 while the store is away; its target sends one heartbeat. */
static void
restart_node_in_an_outage(void)
{
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    mesh_restart_node(1);
    cr_assert(HARNESS_WAIT_FOR(harness_send_heartbeat(1, "ready", 0) == 200));
}

/* The same; the store is back before anyone calls. */
static void
restart_node_before_the_store(void)
{
    restart_node_in_an_outage();
    harness_sleep_ms(AWAY_MS);
    harness_set_store_mode(HARNESS_STORE_UP);
}

/* Node 1 and its target start for the first time, as nothing is left of those
 * before, and the store is away until the first heartbeat. */
static void
start_first_before_the_store(void)
{
    mesh_remove_node(1);
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    mesh_return_node(1, "i-first");
    cr_assert(HARNESS_WAIT_FOR(harness_send_heartbeat(1, "ready", 0) == 200));
    harness_sleep_ms(AWAY_MS);
    harness_set_store_mode(HARNESS_STORE_UP);
}

static void
restart_all_after_a_change(void)
{
    harness_publish_desired(2, NEW_ROUTES);
    mesh_restart_all();
}

typedef struct recovery_case {
    const char *name;
    void (*fault)(void); /* returns when the fault is over */
    const char *path;    /* of the requests that must be served again */
} recovery_case;

static const recovery_case cases[] = {
    {"callers' node killed", kill_callers_node, "/n/ok"},
    {"the target's node killed", kill_targets_node, "/n/shed-at-2"},
    {"the target's node frozen for 2 s", freeze_targets_node, "/n/shed-at-2"},
    {"a node and its target replaced", replace_node_and_target,
     "/n/shed-at-2"},
    {"all nodes killed", mesh_restart_all, "/n/ok"},
    {"all nodes killed, the store away until then",
     restart_all_without_the_store, "/n/ok"},
    {"the target's node killed, the store away", restart_node_in_an_outage,
     "/n/shed-at-2"},
    {"the target's node killed, the store away until then",
     restart_node_before_the_store, "/n/shed-at-2"},
    {"the target's node new, the store away until then",
     start_first_before_the_store, "/n/shed-at-2"},
    {"all nodes killed right after a change", restart_all_after_a_change,
     "/new/ok"},
};

ParameterizedTestParameters(mesh_recovery, served_again)
{
    static size_t indexes[COUNT(cases)];
    for (size_t i = 0; i < COUNT(cases); i++) {
        indexes[i] = i;
    }
    return cr_make_param_array(size_t, indexes, COUNT(cases));
}

ParameterizedTest(size_t *index, mesh_recovery, served_again)
{
    const recovery_case *c = &cases[*index];
    c->fault();
    int64_t start_us = clock_now_us();
    int64_t took_ms = 0;
    bool served = false;
    for (int i = 0; !served && took_ms < BOUND_MS; i++) {
        char id[32];
        harness_response response;
        snprintf(id, sizeof(id), "again-%d", i);
        harness_call(&response, 0, "POST", c->path, id, "", 0);
        served = response.status == 200;
        harness_free_response(&response);
        took_ms = (clock_now_us() - start_us) / CLOCK_US_PER_MS;
        harness_sleep_ms(served ? 0 : PAUSE_MS);
    }
    printf("served again after %lld ms: %s\n", (long long)took_ms, c->name);
    fflush(stdout);
    cr_expect(served, "%s", c->name);
}
