/* Few nodes read the desired state from the store and tell the others: a
 * change is in force everywhere in time, also while the readers are gone,
 * frozen or cut off, and the others read no more than they have to. */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "lav/clock.h"
#include "mesh.h"

#define NODES 20                  /* in two zones */
#define WAITING_MAX (2 * READERS) /* a poll and a check each */
#define READERS 4                 /* two in each zone */
#define IN_FORCE_MS 2000 /* within which a change has to be in force */
#define SETTLE_MS 3000   /* the store's longest poll, and some */
#define DRAIN_MS 400     /* default of the deployment */
#define CALLS 60
#define LINE_SIZE 4096
#define SAMPLES 30 /* more than half must be good: the machine may be busy */
#define SAMPLE_MS 100
#define NEWS_ROUTES                                                           \
    "[{\"host\":\"h.example\",\"path_prefix\":\"/x/\",\"route_type\":"        \
    "\"idempotent\",\"timeout\":\"5000ms\",\"target_latency\":\"1000ms\","    \
    "\"priority\":0,\"max_attempts\":2,\"service\":\"far\",\"auth_exempt\":"  \
    "true}]"
#define WORKSPACES                                                            \
    "[{\"name\":\"alpha\",\"api_keys\":[\"key-a\"],\"priority\":1,"           \
    "\"rate_per_s\":0,\"burst\":0}]"

/* Whether a node doesn't read, by the last line that it logged of that. */
static bool
only_asks(int node)
{
    char path[128];
    char line[LINE_SIZE];
    bool asks = false;
    snprintf(path, sizeof(path), "%s/node%d.log", harness_log_dir(), node);
    FILE *file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strstr(line, "\"event\":\"store_reader\"") != NULL) {
            asks = strstr(line, "\"reads\":false") != NULL;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return asks;
}

static int
count_asking(void)
{
    int asking = 0;
    for (int i = 0; i < NODES; i++) {
        asking += only_asks(i);
    }
    return asking;
}

/* Whether all nodes that ask have a version in force. */
static bool
is_in_force(int version)
{
    char text[64];
    snprintf(text, sizeof(text), "\"event\":\"workspaces\",\"version\":%d,",
             version);
    for (int i = 0; i < NODES; i++) {
        if (only_asks(i) && !harness_log_contains(i, text)) {
            return false;
        }
    }
    return true;
}

/* Publish a version and expect it to be in force in time at all nodes that
 * ask. */
static void
expect_in_force(int version, const char *name)
{
    int64_t from_us = clock_now_us();
    harness_publish_workspaces(version, NEWS_ROUTES, WORKSPACES);
    cr_expect(HARNESS_WAIT_FOR(is_in_force(version)), "%s", name);
    int64_t took_ms = (clock_now_us() - from_us) / CLOCK_US_PER_MS;
    cr_expect_leq(took_ms, IN_FORCE_MS, "%s: %d ms", name, (int)took_ms);
}

static void
start_news(void)
{
    const char *services[NODES];
    harness_options opts = {.proxied = true};
    for (int i = 0; i < NODES; i++) {
        services[i] = i == 0 ? "near" : "far";
    }
    harness_start_with(NODES, services, &opts);
    harness_publish_workspaces(1, NEWS_ROUTES, WORKSPACES);
    for (int i = 0; i < NODES; i++) {
        cr_assert(harness_wait_ready(i));
        cr_assert(
            HARNESS_WAIT_FOR(harness_send_heartbeat(i, "ready", 0) == 200));
    }
    cr_assert(HARNESS_WAIT_FOR(count_asking() == NODES - READERS));
    harness_sleep_ms(SETTLE_MS);
}

TestSuite(mesh_news, .init = start_news, .fini = harness_stop, .timeout = 90);

Test(mesh_news, few_nodes_read)
{
    int few = 0;
    expect_in_force(2, "nothing fails");
    harness_sleep_ms(SETTLE_MS);
    for (int i = 0; i < SAMPLES; i++) {
        few += harness_store_waiting_count("config") <= WAITING_MAX;
        harness_sleep_ms(SAMPLE_MS);
    }
    cr_expect_gt(few, SAMPLES / 2, "%d of %d", few, SAMPLES);
}

/* A deployment that has no workspaces any more reads as it always has. */
Test(mesh_news, all_read_without_workspaces)
{
    harness_publish_desired(2, ROUTES);
    cr_expect(
        HARNESS_WAIT_FOR(harness_store_waiting_count("config") == NODES));
}

typedef struct reader_case {
    const char *name;
    int signal;                  /* for each reader; 0: none */
    enum fault_proxy_mode store; /* its path to the store */
} reader_case;

/* Frozen readers come back; killed ones don't. */
static const reader_case reader_cases[] = {
    {"readers are refused by the store", 0, FAULT_PROXY_CLOSE},
    {"readers are frozen", SIGSTOP, FAULT_PROXY_PASS},
    {"readers are killed", SIGKILL, FAULT_PROXY_PASS},
};

/* Whatever happens to all readers at once, the others get a change in time. */
Test(mesh_news, all_readers_fail)
{
    for (size_t i = 0; i < COUNT(reader_cases); i++) {
        const reader_case *c = &reader_cases[i];
        for (int node = 0; node < NODES; node++) {
            if (!only_asks(node)) {
                fault_proxy_set_mode(harness_get_store_proxy(node), c->store);
                if (c->signal != 0) {
                    harness_signal_node(node, c->signal);
                }
            }
        }
        expect_in_force(2 + (int)i, c->name);
        for (int node = 0; node < NODES; node++) {
            fault_proxy_set_mode(harness_get_store_proxy(node),
                                 FAULT_PROXY_PASS);
            if (c->signal == SIGSTOP && !only_asks(node)) {
                harness_signal_node(node, SIGCONT);
            }
        }
        harness_sleep_ms(SETTLE_MS);
    }
}

/* A reader whose poll hangs without an error is one of several that are asked,
 * and asks the others itself. */
Test(mesh_news, a_reader_hears_nothing)
{
    int silent = 0;
    while (only_asks(silent)) {
        silent++;
    }
    fault_proxy_set_mode(harness_get_store_proxy(silent),
                         FAULT_PROXY_BLACKHOLE);
    expect_in_force(2, "one reader's path to the store is silent");
    char text[] = "\"event\":\"workspaces\",\"version\":2,";
    cr_expect(HARNESS_WAIT_FOR(harness_log_contains(silent, text)));
}

/* The store refuses those that ask. */
Test(mesh_news, the_store_refuses_those_that_ask)
{
    for (int i = 0; i < NODES; i++) {
        if (only_asks(i)) {
            fault_proxy_set_mode(harness_get_store_proxy(i),
                                 FAULT_PROXY_CLOSE);
        }
    }
    expect_in_force(2, "the store refuses those that ask");
}

/* Reads that the store has to answer from its newest state. */
static int
count_fresh_reads(void)
{
    return harness_store_read_count() -
           harness_store_stale_read_count("lavnodes");
}

/* While the store is away for everybody, only the cheap polls of the entries
 * go on; when it is back, changes are in force in time again. */
Test(mesh_news, the_store_is_away)
{
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    harness_sleep_ms(SETTLE_MS);
    int before = count_fresh_reads();
    harness_sleep_ms(SETTLE_MS);
    int reads = count_fresh_reads() - before;
    cr_expect_leq(reads, NODES, "%d reads", reads);
    harness_set_store_mode(HARNESS_STORE_UP);
    for (int i = 0; i < NODES; i++) {
        cr_expect(HARNESS_WAIT_FOR(harness_log_contains(
            i, "\"event\":\"store_regained\",\"kind\":\"lavnodes\"")));
    }
    expect_in_force(2, "the store is back");
}

/* Nodes that don't read the desired state hear all the same that a target
 * leaves. */
Test(mesh_news, a_target_leaves)
{
    int asking = 1;
    while (!only_asks(asking)) {
        asking++;
    }
    int leaving = asking + 1;
    cr_assert_eq(harness_send_heartbeat(leaving, "draining", 0), 200);
    harness_sleep_ms(DRAIN_MS);
    int before = harness_node_arrival_count(leaving);
    for (int i = 0; i < CALLS; i++) {
        char id[32];
        harness_response response;
        snprintf(id, sizeof(id), "leave-%d", i);
        harness_call(&response, asking, "GET", "/x/x", id, NULL, 0);
        cr_expect_eq(response.status, 200, "%s: %d", id, response.status);
        harness_free_response(&response);
    }
    cr_expect_eq(harness_node_arrival_count(leaving), before);
}
