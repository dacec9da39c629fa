/* Targets that say in their responses that they leave. */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "harness_private.h"
#include "lav/clock.h"
#include "mesh.h"

TestSuite(mesh_leaving, .init = mesh_start, .fini = harness_stop,
          .timeout = 60);

TestSuite(mesh_leaving_unheard, .init = mesh_start_proxied,
          .fini = harness_stop, .timeout = 60);

#define DRAIN_MS 400 /* the harness's default */
#define LEAVING 2    /* the node beside the target that leaves */
#define LEAVING_HEADER "Server-Leaving: 1\r\n"

/* Sends requests to node 0 for some time; returns how many were served by the
 * target beside a node. */
static int
send_load(const char *name, int count, int by)
{
    int served = 0;
    for (int i = 0; i < count; i++) {
        char id[64];
        harness_response response;
        snprintf(id, sizeof(id), "%s-%d", name, i);
        harness_call(&response, 0, "GET", "/i/ok", id, NULL, 0);
        served += response.status == 200 && harness_last_run_node(id) == by;
        harness_free_response(&response);
        harness_sleep_ms(5);
    }
    return served;
}

/* Sends a request that only the leaving target serves, and notes when the
 * target must get no more. */
static void
relay_a_leaving_response(void)
{
    harness_set_target_headers(LEAVING, LEAVING_HEADER);
    cr_assert(mesh_reach_target(LEAVING, "leaves"));
    harness_set_target_close_time(LEAVING, clock_now_us() + DRAIN_MS * 1000);
}

Test(mesh_leaving, a_target_that_says_so_in_its_responses)
{
    relay_a_leaving_response();
    harness_sleep_ms(DRAIN_MS);
    cr_expect_eq(send_load("after", 100, 1), 100);
    cr_expect_eq(harness_late_arrival_count(), 0);
    cr_expect(harness_log_contains(LEAVING, "\"target_leaves\""));
}

/* Its node restarts while the store is away, and a late heartbeat registers the
 * target again.  The node that relayed its response is still bound. */
Test(mesh_leaving, the_node_beside_it_forgets)
{
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    relay_a_leaving_response();
    harness_sleep_ms(DRAIN_MS);
    harness_signal_node(LEAVING, SIGKILL);
    cr_expect_neq(harness_wait_node_exit(LEAVING), -1);
    harness_set_target_headers(LEAVING, "");
    harness_start_node(LEAVING);
    cr_assert(
        HARNESS_WAIT_FOR(harness_send_heartbeat(LEAVING, "ready", 5) == 200));
    harness_sleep_ms(1000); /* the store's entries are not awaited longer */
    harness_send_heartbeat(LEAVING, "ready", 6);
    harness_set_store_mode(HARNESS_STORE_UP);
    send_load("after", 200, 1);
    cr_expect_eq(harness_late_arrival_count(), 0, "%d",
                 harness_late_arrival_count());
}

static const char *const successors[] = {"i-2", "i-new"};

/* Another start, under the same name or another one, has not said that it
 * leaves. */
Test(mesh_leaving, another_start_gets_requests)
{
    for (size_t i = 0; i < COUNT(successors); i++) {
        char name[32];
        int served = 0;
        relay_a_leaving_response();
        harness_sleep_ms(DRAIN_MS);
        snprintf(name, sizeof(name), "left-%zu", i);
        cr_expect_eq(send_load(name, 20, LEAVING), 0);
        harness_set_target_headers(LEAVING, "");
        harness_replace_instance(LEAVING, successors[i]);
        cr_assert_eq(harness_send_heartbeat(LEAVING, "ready", 0), 200);
        for (int j = 0; j < 100 && served == 0; j++) {
            snprintf(name, sizeof(name), "new-%zu-%d", i, j);
            served = send_load(name, 5, LEAVING);
        }
        cr_expect_gt(served, 0, "%s", successors[i]);
    }
}

/* The store is silent to node 0, which hears of no other start.  It asks the
 * node beside the target that has left. */
Test(mesh_leaving_unheard, another_start_gets_requests)
{
    int served = 0;
    fault_proxy_set_mode(harness_get_store_proxy(0), FAULT_PROXY_BLACKHOLE);
    relay_a_leaving_response();
    harness_sleep_ms(DRAIN_MS);
    harness_set_target_headers(LEAVING, "");
    harness_replace_instance(LEAVING, "i-new");
    cr_assert_eq(harness_send_heartbeat(LEAVING, "ready", 0), 200);
    for (int j = 0; j < 100 && served == 0; j++) {
        char name[32];
        snprintf(name, sizeof(name), "silent-%d", j);
        served = send_load(name, 5, LEAVING);
    }
    cr_expect_gt(served, 0);
}

static const char *const other_lines[] = {
    "Server-Leaving: 0\r\n", "Server-Leaving: \r\n", "Server-Leaving: 11\r\n",
    "Server-Leavings: 1\r\n"};

Test(mesh_leaving, fields_that_say_something_else)
{
    for (size_t i = 0; i < COUNT(other_lines); i++) {
        char name[32];
        snprintf(name, sizeof(name), "other-%zu", i);
        harness_set_target_headers(1, other_lines[i]);
        harness_set_target_headers(2, other_lines[i]);
        send_load(name, 10, 1);
    }
    for (int i = 1; i < MESH_NODES; i++) {
        cr_expect_not(harness_log_contains(i, "\"target_leaves\""));
    }
}

/* Sends the head of a request to the target that leaves, as its node would, and
 * returns the connection. */
static int
send_head_to_target(const char *id)
{
    char request[256];
    int fd =
        harness_connect_port(harness_nodes[LEAVING].ports[HARNESS_TARGET]);
    snprintf(request, sizeof(request),
             "POST /i/ok HTTP/1.1\r\nHost: h.example\r\n"
             "Lavenderfield-Attempt-Id: %s\r\n"
             "Lavenderfield-Expected-Instance: %s\r\n"
             "Content-Length: 1\r\n\r\n",
             id, harness_nodes[LEAVING].instance);
    harness_send(fd, request, strlen(request));
    return fd;
}

/* What the other tests count as late: a request whose head came in time is not,
 * even if the target deals with it only after its close time. */
Test(mesh_leaving, what_counts_as_late)
{
    static const char *const ids[] = {"in-time", "late"};
    for (int late = 0; late < 2; late++) {
        int fd = send_head_to_target(ids[late]);
        harness_sleep_ms(100);
        if (!late) {
            harness_set_target_close_time(LEAVING, clock_now_us());
        }
        harness_send(fd, "b", 1);
        cr_assert(HARNESS_WAIT_FOR(harness_run_count(ids[late]) == 1));
        cr_expect_eq(harness_late_arrival_count(), late, "%s", ids[late]);
        close(fd);
    }
}
