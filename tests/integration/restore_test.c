/* The store is restored from a copy: what it had acknowledged since is lost,
 * and its revisions are given out again. */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>

#include "mesh.h"

TestSuite(restore, .fini = harness_stop, .timeout = 60);

#define BASE_VERSION 1
#define LOST_VERSION 2
#define NEXT_VERSION 3

/* Publish a desired state with a route that only it has. */
static void
publish(int version)
{
    char routes[1024];
    snprintf(routes, sizeof(routes),
             "[" ROUTE("/v%d/", "idempotent", "5000ms", "far") "," ROUTE(
                 "/n/", "non_idempotent", "5000ms",
                 "far") "," ROUTE("/i/", "idempotent", "5000ms", "far") "]",
             version);
    harness_publish_desired(version, routes);
}

/* Whether a node serves the route that a version added. */
static bool
serves_version(int node, int version)
{
    static int calls;
    char path[32];
    char id[32];
    harness_response response;
    snprintf(path, sizeof(path), "/v%d/ok", version);
    snprintf(id, sizeof(id), "version-%d", calls++);
    harness_call(&response, node, "GET", path, id, NULL, 0);
    bool served = response.status == 200;
    harness_free_response(&response);
    return served;
}

/* How the store goes away and what its clients do meanwhile. */
enum outage {
    OUTAGE_NONE,     /* it is back at once; polls go on waiting */
    OUTAGE_ANSWERS,  /* it answers 503 */
    OUTAGE_SILENT,   /* it doesn't answer */
    OUTAGE_CUT,      /* node 0 is cut off until some time after it */
    OUTAGE_RESTARTED /* node 0 is killed and starts while it is away */
};

typedef struct change_case {
    const char *name;
    enum outage outage;
    int lost_writes; /* versions that the copy lacks */
    int restores;
    bool rewritten; /* the operator writes the lost version again */
    bool unnamed;   /* the store doesn't name its era */
} change_case;

static const change_case change_cases[] = {
    {"plain absence", OUTAGE_ANSWERS, 1, 0, false, false},
    {"revision given out again", OUTAGE_ANSWERS, 1, 1, false, false},
    {"lost version written again", OUTAGE_ANSWERS, 2, 1, true, false},
    {"several lost writes", OUTAGE_ANSWERS, 4, 1, false, false},
    {"two restores in a row", OUTAGE_ANSWERS, 2, 2, true, false},
    {"silent store", OUTAGE_SILENT, 2, 1, true, false},
    {"polls kept open", OUTAGE_NONE, 1, 1, false, false},
    {"polls kept open, lost version written again", OUTAGE_NONE, 2, 1, true,
     false},
    {"one node cut off through it", OUTAGE_CUT, 2, 1, true, false},
    {"one node starts in it", OUTAGE_RESTARTED, 2, 1, true, false},
    {"era not named, revision above the copy's", OUTAGE_ANSWERS, 4, 1, false,
     true},
};

/* Take the store away as a case says. */
static void
begin_outage(const change_case *c)
{
    switch (c->outage) {
    case OUTAGE_NONE:
        return;
    case OUTAGE_SILENT:
        harness_set_store_mode(HARNESS_STORE_HANGS);
        harness_sleep_ms(1000);
        return;
    case OUTAGE_CUT:
        fault_proxy_set_mode(harness_get_store_proxy(0),
                             FAULT_PROXY_BLACKHOLE);
        break;
    case OUTAGE_RESTARTED:
        harness_signal_node(0, SIGKILL);
        cr_assert_neq(harness_wait_node_exit(0), -1);
        break;
    case OUTAGE_ANSWERS:
        break;
    }
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    for (int i = 1; i < MESH_NODES; i++) {
        cr_assert(HARNESS_WAIT_FOR(harness_log_contains(i, "\"store_lost\"")));
    }
}

/* Let the nodes reach the store again. */
static void
end_outage(const change_case *c)
{
    harness_set_store_mode(HARNESS_STORE_UP);
    if (c->outage == OUTAGE_CUT) {
        harness_sleep_ms(500);
        fault_proxy_set_mode(harness_get_store_proxy(0), FAULT_PROXY_PASS);
    }
    if (c->outage == OUTAGE_RESTARTED) {
        harness_start_node(0);
        cr_assert(harness_wait_ready(0));
        cr_assert(
            HARNESS_WAIT_FOR(harness_send_heartbeat(0, "ready", 0) == 200));
    }
}

/* Let the nodes read the lost versions, restore the store, and publish another
 * version. */
static void
play_change(const change_case *c)
{
    mesh_start_proxied();
    harness_store_name_era(!c->unnamed);
    publish(BASE_VERSION);
    int version = LOST_VERSION;
    for (int r = 0; r < (c->restores == 0 ? 1 : c->restores); r++) {
        harness_store_copy();
        for (int i = 0; i < c->lost_writes; i++) {
            publish(version);
        }
        for (int i = 0; i < MESH_NODES; i++) {
            cr_assert(HARNESS_WAIT_FOR(serves_version(i, version)), "%s",
                      c->name);
        }
        begin_outage(c);
        if (r < c->restores) {
            harness_store_restore();
        }
        if (c->rewritten) {
            publish(version);
        }
        version++;
        publish(version);
        end_outage(c);
    }
    for (int i = 0; i < MESH_NODES; i++) {
        cr_expect(HARNESS_WAIT_FOR(serves_version(i, version)),
                  "%s: node %d does not serve version %d", c->name, i,
                  version);
    }
    harness_stop();
}

/* A change whose revision had been given out before was never seen. */
Test(restore, changes_after_a_restore_come_into_force, .timeout = 300)
{
    for (size_t i = 0; i < COUNT(change_cases); i++) {
        play_change(&change_cases[i]);
    }
}

/* Take the store away and bring it back from its copy. */
static void
restore_store(void)
{
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(0, "\"store_lost\"")));
    harness_store_restore();
    harness_set_store_mode(HARNESS_STORE_UP);
}

/* The copy holds an older version than the one in force: nodes don't go
 * back. */
Test(restore, an_older_desired_state_in_the_copy_is_not_taken)
{
    mesh_start();
    publish(BASE_VERSION);
    harness_store_copy();
    publish(LOST_VERSION);
    for (int i = 0; i < MESH_NODES; i++) {
        cr_assert(HARNESS_WAIT_FOR(serves_version(i, LOST_VERSION)));
    }
    restore_store();
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(0, "store_regained")));
    harness_sleep_ms(500);
    for (int i = 0; i < MESH_NODES; i++) {
        cr_expect(serves_version(i, LOST_VERSION));
    }
}
