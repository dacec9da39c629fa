/* Usage caps of workspaces over all nodes together, also while the node that
 * grants a workspace's requests is killed, frozen or cut off. */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lav/clock.h"
#include "lav/id.h"
#include "lav/usage_cap.h"
#include "mesh.h"

#define RATE 40
#define BURST 40
#define WINDOW_US (5 * CLOCK_US_PER_S)
#define BOUND ((RATE * 5 + BURST) * 1.1 + 20) /* of a window */
#define WORKSPACES                                                            \
    "[{\"name\":\"alpha\",\"api_keys\":[\"key-a\"],\"rate_per_s\":40,"        \
    "\"burst\":40},{\"name\":\"beta\",\"api_keys\":[\"key-b\"]}]"
/* A workspace whose requests node 1 grants, or node 0 where it is alone. */
#define FAST_RATE 100
#define FAST_BURST 5
#define FAST_BOUND ((FAST_RATE * 5 + FAST_BURST) * 1.1 + 20)
#define FAST_WORKSPACES                                                       \
    "[{\"name\":\"delta\",\"api_keys\":[\"key-a\"],\"rate_per_s\":100,"       \
    "\"burst\":5}]"
#define WRITERS_MS 1500 /* until nodes write their entries again */
#define NEWS_MS 4000    /* until nodes that start take their part */
#define CALLS_MAX 4000
#define PAUSE_MS 3     /* between calls: three times the rate and more */
#define FAULT_MS 3000  /* how long a fault lasts */
#define SETTLE_MS 1500 /* until all nodes have lent their shares */

/* When a request of "alpha" was begun. */
static int64_t begun_us[CALLS_MAX];
static int begun;
static int calls;

static void
start_usage(void)
{
    mesh_start_proxied();
    harness_publish_workspaces(2, ROUTES, WORKSPACES);
    for (int i = 0; i < MESH_NODES; i++) {
        cr_assert(HARNESS_WAIT_FOR(
            harness_log_count(i, "\"event\":\"usage_owner\"") >=
            USAGE_CAP_SLOTS));
    }
    harness_sleep_ms(SETTLE_MS);
}

TestSuite(mesh_usage, .init = start_usage, .fini = harness_stop,
          .timeout = 60);

/* Sends a request for a path with a key to a node; its status.
 * `retry_after_s` may be NULL. */
static int
call_path_with_key(int node, const char *path, const char *key,
                   double *retry_after_s)
{
    char request[512];
    char id[32];
    harness_response response;
    int64_t now_us = clock_now_us();
    int fd = harness_connect(node);
    cr_assert_geq(fd, 0);
    snprintf(id, sizeof(id), "usage-%d", calls++);
    int size = snprintf(request, sizeof(request),
                        "GET %s HTTP/1.1\r\nHost: h.example\r\n"
                        "Lavenderfield-Attempt-Id: %s\r\n"
                        "Authorization: Bearer %s\r\n\r\n",
                        path, id, key);
    harness_send(fd, request, (size_t)size);
    harness_read_response(&response, fd);
    close(fd);
    const char *field = strstr(response.head, "Retry-After: ");
    if (retry_after_s != NULL) {
        *retry_after_s =
            field == NULL ? -1 : atof(field + strlen("Retry-After: "));
    }
    if (harness_run_count(id) > 0 && strcmp(key, "key-a") == 0) {
        cr_assert_lt(begun, CALLS_MAX);
        begun_us[begun++] = now_us;
    }
    int status = response.status;
    harness_free_response(&response);
    return status;
}

/* The same for a service at nodes 1 and 2. */
static int
call_with_key(int node, const char *key, double *retry_after_s)
{
    return call_path_with_key(node, "/i/ok", key, retry_after_s);
}

/* The largest number of requests that began within one window. */
static int
largest_window(void)
{
    int largest = 0;
    for (int i = 0, first = 0; i < begun; i++) {
        while (begun_us[i] - begun_us[first] > WINDOW_US) {
            first++;
        }
        largest = i - first + 1 > largest ? i - first + 1 : largest;
    }
    return largest;
}

/* Calls the nodes but `except` in turn for some time; how many requests were
 * served. */
static int
call_for(int ms, int except)
{
    int served = 0;
    int64_t end_us = clock_now_us() + (int64_t)ms * CLOCK_US_PER_MS;
    for (int i = 0; clock_now_us() < end_us; i++) {
        if (i % MESH_NODES != except) {
            served += call_with_key(i % MESH_NODES, "key-a", NULL) == 200;
            harness_sleep_ms(PAUSE_MS);
        }
    }
    return served;
}

/* The node that grants the requests of "alpha". */
static int
find_owner(void)
{
    int slot = usage_cap_slot((uint32_t)id_hash("alpha"));
    for (int i = 0; i < MESH_NODES; i++) {
        char text[96];
        snprintf(text, sizeof(text),
                 "\"event\":\"usage_owner\",\"slot\":%d,\"node\":\"node%d\"",
                 slot, i);
        if (harness_log_contains(0, text)) {
            return i;
        }
    }
    return -1;
}

Test(mesh_usage, requests_over_a_cap_are_refused_at_all_nodes)
{
    int over = 0;
    int other = 0;
    int64_t end_us = clock_now_us() + 3 * CLOCK_US_PER_S;
    for (int i = 0; clock_now_us() < end_us; i++) {
        double retry_after_s = 0;
        int status = call_with_key(i % MESH_NODES, "key-a", &retry_after_s);
        over += status == 429 ? 1 : 0;
        other += status != 429 && status != 200 ? 1 : 0;
        if (status == 429) {
            cr_expect(retry_after_s > 0 && retry_after_s <= 1, "%f",
                      retry_after_s);
        }
        harness_sleep_ms(PAUSE_MS);
    }
    cr_expect_gt(over, 0);
    cr_expect_eq(other, 0, "%d", other);
    cr_expect_geq(begun, RATE * 3 * 8 / 10, "%d begun", begun);
    cr_expect_leq(largest_window(), (int)BOUND, "%d of %d", largest_window(),
                  begun);
    cr_expect_eq(call_with_key(0, "key-b", NULL), 200, "it has no cap");
    cr_expect(harness_log_contains(0, "\"reason\":\"over_cap\""));
    cr_expect(harness_log_contains(0, "\"workspace\":\"alpha\""));
    harness_response page;
    harness_http_get(&page, harness_metrics_port(0), "/metrics");
    cr_assert_not_null(page.body);
    cr_expect_not_null(
        strstr(page.body, "lav_workspace_requests_total{workspace=\"alpha\","
                          "end=\"refused_by_cap\"} "));
    cr_expect_null(strstr(page.body, "beta"), "it was never refused");
    cr_expect_null(strstr(page.body, "key-"), "no key in metrics");
    harness_free_response(&page);
}

typedef struct usage_case {
    const char *name;
    int begin; /* signal, or 0: the node's links are cut */
    int end;   /* signal, or 0 */
} usage_case;

static const usage_case cases[] = {
    {"killed", SIGKILL, 0}, {"frozen", SIGSTOP, SIGCONT}, {"cut off", 0, 0}};

/* Begins a fault at a node. */
static void
begin_fault(const usage_case *c, int node)
{
    if (c->begin == 0) {
        fault_proxy_set_mode(harness_get_peers_proxy(node),
                             FAULT_PROXY_BLACKHOLE);
        return;
    }
    harness_signal_node(node, c->begin);
}

/* Ends it. */
static void
end_fault(const usage_case *c, int node)
{
    if (c->begin == 0) {
        fault_proxy_set_mode(harness_get_peers_proxy(node), FAULT_PROXY_PASS);
        fault_proxy_reset_connections(harness_get_peers_proxy(node));
    }
    else if (c->end != 0) {
        harness_signal_node(node, c->end);
    }
    else {
        cr_assert_neq(harness_wait_node_exit(node), -1);
        harness_start_node(node);
    }
}

/* The others go on after the owner's loans have run out, and no window is over
 * its bound, neither during the fault nor after it. */
ParameterizedTestParameters(mesh_usage, the_granting_node_fails)
{
    static size_t indexes[COUNT(cases)];
    for (size_t i = 0; i < COUNT(cases); i++) {
        indexes[i] = i;
    }
    return cr_make_param_array(size_t, indexes, COUNT(cases));
}

ParameterizedTest(size_t *index, mesh_usage, the_granting_node_fails)
{
    const usage_case *c = &cases[*index];
    int owner = find_owner();
    cr_assert_geq(owner, 0);
    call_for(1000, -1);
    begin_fault(c, owner);
    int served = call_for(FAULT_MS, owner);
    end_fault(c, owner);
    int after = call_for(FAULT_MS, owner);
    cr_expect_gt(served, 0, "%s: none served", c->name);
    cr_expect_gt(after, RATE, "%s: %d served afterwards", c->name, after);
    cr_expect_leq(largest_window(), (int)BOUND, "%s: %d in a window", c->name,
                  largest_window());
}

/* Starts a node that was removed, and a target beside it, and waits for
 * them. */
static void
return_node(int node, const char *instance)
{
    mesh_return_node(node, instance);
    cr_assert(harness_wait_ready(node));
    cr_assert(
        HARNESS_WAIT_FOR(harness_send_heartbeat(node, "ready", 0) == 200));
}

/* Calls all nodes in turn for some time, each for a service beside it. */
static void
call_nodes_for(int ms)
{
    int64_t end_us = clock_now_us() + (int64_t)ms * CLOCK_US_PER_MS;
    for (int i = 0; clock_now_us() < end_us; i++) {
        int node = i % MESH_NODES;
        call_path_with_key(node, node == 0 ? "/m/ok" : "/i/ok", "key-a", NULL);
        harness_sleep_ms(PAUSE_MS / 2);
    }
}

/* A node that starts again reads the entries of a restored store, which has its
 * own, but not those of the others: it granted the whole cap, beside them. */
Test(mesh_usage, a_restored_store_lacks_the_other_nodes)
{
    harness_publish_workspaces(3, ROUTES, FAST_WORKSPACES);
    mesh_remove_node(1);
    mesh_remove_node(2);
    harness_store_copy();
    return_node(1, "i-later-1");
    return_node(2, "i-later-2");
    harness_sleep_ms(NEWS_MS);
    call_nodes_for(SETTLE_MS);
    begun = 0;
    call_nodes_for(FAULT_MS);
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    harness_signal_node(0, SIGKILL);
    cr_assert_neq(harness_wait_node_exit(0), -1);
    harness_store_restore();
    for (int i = 1; i < MESH_NODES; i++) {
        fault_proxy_set_mode(harness_get_store_proxy(i),
                             FAULT_PROXY_BLACKHOLE);
    }
    harness_set_store_mode(HARNESS_STORE_UP);
    harness_start_node(0);
    cr_assert(harness_wait_ready(0));
    cr_assert(HARNESS_WAIT_FOR(harness_send_heartbeat(0, "ready", 0) == 200));
    call_nodes_for(WRITERS_MS);
    for (int i = 1; i < MESH_NODES; i++) {
        fault_proxy_set_mode(harness_get_store_proxy(i), FAULT_PROXY_PASS);
        fault_proxy_reset_connections(harness_get_store_proxy(i));
    }
    call_nodes_for(FAULT_MS);
    cr_expect_leq(largest_window(), (int)FAST_BOUND, "%d of %d",
                  largest_window(), begun);
}

/* A request that waits for the frozen owner is not sent once its caller has
 * left, or the time that its caller allows is over. */
Test(mesh_usage, requests_that_wait_can_end)
{
    int owner = find_owner();
    int node = owner == 1 ? 2 : 1;
    static const struct {
        const char *id;
        const char *lines;
        bool leaves;
    } waiting[] = {{"usage-leaves", "", true},
                   {"usage-late", "Lavenderfield-Deadline-Ms: 50\r\n", false}};
    cr_assert_geq(owner, 0);
    call_for(300, owner); /* what was granted ahead is used up */
    harness_sleep_ms(SETTLE_MS);
    harness_signal_node(owner, SIGSTOP);
    for (size_t i = 0; i < COUNT(waiting); i++) {
        char request[512];
        int fd = harness_connect(node);
        int size = snprintf(request, sizeof(request),
                            "POST /n/ok HTTP/1.1\r\nHost: h.example\r\n"
                            "Lavenderfield-Attempt-Id: %s\r\n%s"
                            "Authorization: Bearer key-a\r\n"
                            "Content-Length: 4\r\n\r\nbody",
                            waiting[i].id, waiting[i].lines);
        harness_send(fd, request, (size_t)size);
        if (!waiting[i].leaves) {
            harness_response response;
            harness_read_response(&response, fd);
            cr_expect_neq(response.status, 200);
            harness_free_response(&response);
        }
        close(fd);
    }
    harness_signal_node(owner, SIGCONT);
    cr_expect(HARNESS_WAIT_FOR(call_with_key(node, "key-a", NULL) == 200));
    for (size_t i = 0; i < COUNT(waiting); i++) {
        cr_expect_eq(harness_run_count(waiting[i].id), 0, "%s", waiting[i].id);
    }
}
