/* The nodes while callers disconnect, targets leave and return, nodes stop or
 * are killed, and the desired state and the settings change. */
#include <criterion/criterion.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "mesh.h"

TestSuite(mesh_faults, .init = mesh_start, .fini = harness_stop,
          .timeout = 60);

/* When a caller disconnects, its request is cancelled at every hop down to
 * the connection to the target. */
Test(mesh_faults, callers_that_leave)
{
    const char *const paths[] = {"/i/hang", "/n/hang"};
    for (size_t i = 0; i < COUNT(paths); i++) {
        char request[256];
        char id[32];
        snprintf(id, sizeof(id), "left-%zu", i);
        int size = snprintf(request, sizeof(request),
                            "GET %s HTTP/1.1\r\nHost: h.example\r\n"
                            "Lavenderfield-Attempt-Id: %s\r\n\r\n",
                            paths[i], id);
        int fd = harness_connect(0);
        harness_send(fd, request, (size_t)size);
        cr_assert(HARNESS_WAIT_FOR(harness_run_count(id) == 1));
        close(fd);
        cr_expect(HARNESS_WAIT_FOR(harness_was_disconnected(id)), "%s",
                  paths[i]);
        char line[96];
        snprintf(line, sizeof(line),
                 "\"event\":\"cancelled\",\"request\":\"%s\"", id);
        cr_expect(HARNESS_WAIT_FOR(
                      harness_log_contains(harness_last_run_node(id), line)),
                  "%s", id);
    }
}

/* Another process got a target's address: it responds 421, and the request
 * goes to another target. */
Test(mesh_faults, an_address_that_was_reassigned)
{
    harness_replace_instance(1, "someone-else"); /* never registers */
    for (int i = 0; i < 20; i++) {
        char id[32];
        harness_response response;
        snprintf(id, sizeof(id), "away-%d", i);
        harness_call(&response, 0, "POST", "/n/ok", id, "", 0);
        cr_expect_eq(response.status, 200, "%d", response.status);
        cr_expect_eq(harness_run_count(id), 1);
        cr_expect_eq(harness_last_run_node(id), 2);
        harness_free_response(&response);
    }
}

/* A draining target gets no new requests, and the other one gets all.  An
 * older heartbeat that arrives late does not make it ready again. */
Test(mesh_faults, leaving_targets)
{
    cr_expect_eq(harness_send_heartbeat(1, "draining", 0), 200);
    cr_expect_eq(harness_send_heartbeat(1, "ready", 1),
                 200); /* out of order */
    harness_sleep_ms(400);
    for (int i = 0; i < 30; i++) {
        char id[32];
        harness_response response;
        snprintf(id, sizeof(id), "leave-%d", i);
        harness_call(&response, 0, "POST", "/n/ok", id, "", 0);
        cr_expect_eq(response.status, 200);
        cr_expect_eq(harness_last_run_node(id), 2);
        harness_free_response(&response);
    }
}

/* A target deregisters at a node that has just restarted and does not know it
 * yet.  Neither the store's entry nor a heartbeat that arrives later may bring
 * it back. */
Test(mesh_faults, a_target_leaves_a_node_that_does_not_know_it)
{
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    mesh_restart_node(1);
    cr_assert(HARNESS_WAIT_FOR(harness_deregister_target(1) == 200));
    harness_set_store_mode(HARNESS_STORE_UP);
    cr_assert(harness_wait_ready(1));
    cr_expect_eq(harness_send_heartbeat(1, "ready", 0),
                 200); /* sent before it left */
    harness_sleep_ms(300);
    for (int i = 0; i < 30; i++) {
        char id[32];
        harness_response response;
        snprintf(id, sizeof(id), "unknown-%d", i);
        harness_call(&response, 0, "POST", "/n/shed-at-2", id, "", 0);
        cr_expect_eq(harness_run_count(id), 0, "%s ran at %d", id,
                     harness_last_run_node(id));
        harness_free_response(&response);
        harness_sleep_ms(20);
    }
}

/* Send up to 500 requests, one every 10 ms, until the target beside node 1
 * serves one; whether it did. */
static bool
wait_served_by_node1(const char *prefix)
{
    bool served = false;
    for (int i = 0; i < 500 && !served; i++) {
        char id[32];
        harness_response response;
        snprintf(id, sizeof(id), "%s-%d", prefix, i);
        harness_call(&response, 0, "POST", "/n/shed-at-2", id, "", 0);
        served = harness_last_run_node(id) == 1 && response.status == 200;
        harness_free_response(&response);
        harness_sleep_ms(10);
    }
    return served;
}

Test(mesh_faults, a_target_that_is_down_and_comes_back)
{
    harness_set_target_refusing(1, true);
    for (int i = 0; i < 20; i++) {
        char id[32];
        harness_response response;
        snprintf(id, sizeof(id), "down-%d", i);
        harness_call(&response, 0, "POST", "/n/ok", id, "", 0);
        if (response.status == 502) { /* on a connection from before */
            cr_expect_leq(harness_run_count(id), 1);
        }
        else {
            cr_expect_eq(response.status, 200);
            cr_expect_eq(harness_run_count(id), 1);
        }
        harness_free_response(&response);
    }
    harness_set_target_refusing(1, false);
    harness_replace_instance(1, "i-1-again");
    cr_expect_eq(harness_send_heartbeat(1, "ready", 0), 200);
    cr_expect(wait_served_by_node1("back"));
}

/* A 421 response to a request for the target's earlier instance must not mark
 * the new instance, which registered meanwhile, as lost. */
Test(mesh_faults, a_target_registers_while_old_requests_end)
{
    static const char request[] = "GET /i/misplaced-at-1 HTTP/1.1\r\n"
                                  "Host: h.example\r\n"
                                  "Lavenderfield-Attempt-Id: old\r\n\r\n";
    harness_response response;
    cr_expect_eq(harness_send_heartbeat(2, "draining", 0), 200);
    harness_sleep_ms(500);
    int fd = harness_connect(0);
    harness_send(fd, request, sizeof(request) - 1);
    cr_assert(HARNESS_WAIT_FOR(harness_arrival_count("old") == 1));
    harness_replace_instance(1, "i-1-again");
    cr_expect_eq(harness_send_heartbeat(1, "ready", 0), 200);
    harness_read_response(&response, fd);
    cr_expect_eq(harness_run_count("old"), 0);
    harness_free_response(&response);
    close(fd);
    cr_expect_not(harness_log_contains(1, "\"event\":\"target_lost\""));
    cr_expect(wait_served_by_node1("new"));
}

/* When no instance accepts a request, the response names the reason of the
 * last refusal instead of "no instance left". */
Test(mesh_faults, a_refusal_names_the_last_reason)
{
    harness_response response;
    harness_set_target_refusing(1, true);
    harness_set_target_refusing(2, true);
    harness_call(&response, 0, "POST", "/n/ok", "both-down", "", 0);
    cr_expect_eq(response.status, 503, "%d", response.status);
    cr_expect(harness_log_contains(0,
                                   "\"request\":\"both-down\",\"status\":503,"
                                   "\"reason\":\"target_down\""));
    cr_expect(
        harness_log_contains(0, "\"begun_share\":1.0,\"held_back_by\":\"\""));
    harness_free_response(&response);
}

typedef struct stale_case {
    const char *node;
    int peer; /* the node that has its address now; -1: none */
} stale_case;

static const stale_case stale_cases[] = {{"gone-1", -1}, {"gone-2", 2}};

/* Write the store's entry of a node of another service. */
static void
put_other_node(const char *node)
{
    char spec[512];
    snprintf(spec, sizeof(spec),
             "{\"node\":\"%s\",\"service\":\"other\",\"zone\":\"z0\","
             "\"peer\":\"127.0.0.1:1\",\"target\":\"i-%s\","
             "\"started_ms\":5,\"incarnation\":7,\"sequence\":1,"
             "\"state\":\"ready\",\"slots\":40}",
             node, node);
    harness_store_put("lavnodes", node, spec);
}

/* Count the store's reads by all nodes while entries of other nodes are
 * written one after the other, until node 0 knows the last of them. */
static int
count_reads_for_changes(int first, int end, int pause_ms)
{
    char node[32];
    char last[32];
    snprintf(last, sizeof(last), "\"other-%d\"", end - 1);
    harness_sleep_ms(1500); /* until earlier changes are read */
    int before = harness_store_read_count();
    for (int i = first; i < end; i++) {
        snprintf(node, sizeof(node), "other-%d", i);
        put_other_node(node);
        harness_sleep_ms(pause_ms);
    }
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(0, last)));
    return harness_store_read_count() - before;
}

/* Many nodes start one after the other: a node reads the store at most once a
 * second instead of once for each change. */
Test(mesh_faults, changes_of_many_nodes_are_read_together)
{
    count_reads_for_changes(0, 200, 0);
    int reads = count_reads_for_changes(200, 250, 20);
    cr_expect_leq(reads, 3 * 5, "%d", reads); /* of three nodes */
}

/* The same in a small fleet, with changes during 2.5 s: the first is read at
 * once, the others within a second each. */
Test(mesh_faults, changes_of_a_start_are_read_together)
{
    int reads = count_reads_for_changes(0, 25, 100);
    cr_expect_leq(reads, 3 * 10, "%d", reads); /* of three nodes */
}

/* Entries of nodes that could not delete them, because the store was down when
 * they stopped: requests go to other nodes, and the entries are removed. */
Test(mesh_faults, entries_of_nodes_that_are_gone)
{
    for (size_t i = 0; i < COUNT(stale_cases); i++) {
        const stale_case *c = &stale_cases[i];
        char spec[512];
        snprintf(spec, sizeof(spec),
                 "{\"node\":\"%s\",\"service\":\"far\",\"zone\":\"z0\","
                 "\"peer\":\"127.0.0.1:%d\",\"target\":\"i-%s\","
                 "\"started_ms\":5,\"incarnation\":7,\"sequence\":1,"
                 "\"state\":\"ready\",\"slots\":4000}",
                 c->node, c->peer < 0 ? 1 : harness_peers_port(c->peer),
                 c->node);
        harness_store_put("lavnodes", c->node, spec);
    }
    for (size_t i = 0; i < COUNT(stale_cases); i++) {
        cr_assert(
            HARNESS_WAIT_FOR(harness_log_contains(0, stale_cases[i].node)));
    }
    for (int i = 0; i < 30; i++) {
        char id[32];
        harness_response response;
        snprintf(id, sizeof(id), "stale-%d", i);
        harness_call(&response, 0, "POST", "/n/ok", id, "", 0);
        cr_expect_eq(response.status, 200, "%d", response.status);
        harness_free_response(&response);
    }
    for (size_t i = 0; i < COUNT(stale_cases); i++) {
        const char *node = stale_cases[i].node;
        cr_expect(HARNESS_WAIT_FOR(!harness_store_contains("lavnodes", node)),
                  "%s", node);
    }
    cr_expect(harness_store_contains("lavnodes", "node1"));
    cr_expect(harness_store_contains("lavnodes", "node2"));
}

/* Malformed registrations and one with a foreign address are rejected; the
 * valid registration stays in use. */
Test(mesh_faults, forged_registrations)
{
    static const char foreign[] =
        "{\"service\":\"far\",\"address\":\"127.0.0.1:1\","
        "\"concurrency\":4,\"state\":\"ready\",\"sequence\":99,"
        "\"born\":99999}";
    const char *const texts[] = {
        "", "[]", "{}", "\xff\xfe", "{\"service\":5}", foreign};
    for (size_t i = 0; i < COUNT(texts); i++) {
        cr_expect_eq(harness_send_heartbeat_body(1, "i-forged", texts[i]), 400,
                     "text %zu", i);
    }
    harness_response response;
    harness_call(&response, 0, "POST", "/n/shed-at-2", "forged", "", 0);
    cr_expect_eq(response.status, 200);
    cr_expect_eq(harness_last_run_node("forged"), 1);
    harness_free_response(&response);
}

/* The node beside the target is killed while a non-idempotent request runs
 * there: it is not run again, and the response does not say that it did not
 * run. */
Test(mesh_faults, a_node_killed_during_a_request)
{
    char request[256];
    harness_response response;
    int size = snprintf(request, sizeof(request),
                        "POST /n/hang HTTP/1.1\r\nHost: h.example\r\n"
                        "Lavenderfield-Attempt-Id: killed\r\n"
                        "Content-Length: 0\r\n\r\n");
    int fd = harness_connect(0);
    harness_send(fd, request, (size_t)size);
    cr_assert(HARNESS_WAIT_FOR(harness_run_count("killed") == 1));
    harness_signal_node(harness_last_run_node("killed"), SIGKILL);
    harness_read_response(&response, fd);
    cr_expect_eq(response.status, 502, "%d", response.status);
    cr_expect_eq(harness_run_count("killed"), 1);
    harness_free_response(&response);
    close(fd);
}

/* A node restarts during an outage of the store while its target keeps
 * running: it gets the desired state and the members from its peers. */
Test(mesh_faults, a_node_restarts_without_the_store)
{
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    mesh_restart_node(1);
    cr_assert(HARNESS_WAIT_FOR(harness_send_heartbeat(1, "ready", 0) == 200));
    cr_expect(wait_served_by_node1("again"));
    cr_expect(harness_wait_ready(1)); /* by the desired state of a peer */
    harness_set_store_mode(HARNESS_STORE_UP);
}

/* A newer desired state takes effect, and an older one that arrives later is
 * ignored. */
Test(mesh_faults, a_desired_state_moves_a_route)
{
    harness_publish_desired(
        2, "[" ROUTE("/n/", "non_idempotent", "5000ms", "near") "]");
    bool moved = false;
    for (int i = 0; i < 500 && !moved; i++) {
        char id[32];
        harness_response response;
        snprintf(id, sizeof(id), "moved-%d", i);
        harness_call(&response, 0, "POST", "/n/ok", id, "", 0);
        moved = harness_last_run_node(id) == 0;
        harness_free_response(&response);
        harness_sleep_ms(10);
    }
    cr_expect(moved);
    harness_publish_desired(1, ROUTES); /* an older version, late */
    harness_sleep_ms(200);
    harness_response response;
    harness_call(&response, 0, "POST", "/n/ok", "not-back", "", 0);
    cr_expect_eq(harness_last_run_node("not-back"), 0);
    harness_call(&response, 0, "GET", "/i/ok", "dropped", NULL, 0);
    cr_expect_eq(response.status, 404);
    harness_free_response(&response);
}

/* After SIGTERM a node is not ready at once, finishes what runs, and ends with
 * exit status 0. */
Test(mesh_faults, planned_stops)
{
    const char *request = "POST /m/slow HTTP/1.1\r\nHost: h.example\r\n"
                          "Lavenderfield-Attempt-Id: stop\r\n"
                          "Content-Length: 0\r\n\r\n";
    harness_response response;
    int fd = harness_connect(0);
    harness_send(fd, request, strlen(request));
    cr_assert(HARNESS_WAIT_FOR(harness_run_count("stop") == 1));
    harness_signal_node(0, SIGTERM);
    cr_expect(HARNESS_WAIT_FOR(harness_ready_status(0) == 503));
    harness_read_response(&response, fd);
    cr_expect_eq(response.status, 200);
    harness_free_response(&response);
    close(fd);
    harness_call(&response, 0, "POST", "/m/ok", "after", "", 0);
    cr_expect_eq(response.status, 200); /* served; the connection closes */
    cr_expect_not_null(strstr(response.head, "Connection: close"));
    harness_free_response(&response);
    cr_expect_eq(harness_wait_node_exit(0), 0);
}

typedef struct stop_load {
    int index;
    int served;
    int refused;
    int lost; /* executed, but without a response */
} stop_load;

static void *
call_until_stopped(void *payload)
{
    stop_load *load = payload;
    for (int i = 0; i < 1000; i++) {
        char id[32];
        harness_response response;
        snprintf(id, sizeof(id), "during-%d-%d", load->index, i);
        int fd = harness_connect(1);
        if (fd < 0) {
            break; /* the node no longer listens */
        }
        close(fd);
        harness_call(&response, 1, "POST", "/n/slow", id, "", 0);
        load->served += response.status == 200;
        load->refused += response.status == 503 && harness_run_count(id) == 0;
        load->lost += response.status == 0 && harness_run_count(id) > 0;
        harness_free_response(&response);
        harness_sleep_ms(20);
    }
    return NULL;
}

/* Callers keep sending requests during a stop, so that some are always in
 * flight: each that was executed gets its response, and the node still
 * ends. */
Test(mesh_faults, stops_under_load)
{
    stop_load loads[4] = {0};
    pthread_t threads[COUNT(loads)];
    harness_signal_node(1, SIGTERM);
    for (size_t i = 0; i < COUNT(loads); i++) {
        loads[i].index = (int)i;
        pthread_create(&threads[i], NULL, call_until_stopped, &loads[i]);
        harness_sleep_ms(75);
    }
    for (size_t i = 0; i < COUNT(loads); i++) {
        pthread_join(threads[i], NULL);
        cr_expect_gt(loads[i].served, 3);
        cr_expect_eq(loads[i].lost, 0, "thread %zu: %d lost", i,
                     loads[i].lost);
    }
    cr_expect_eq(harness_wait_node_exit(1), 0);
}

/* Requests that are in flight when the node stops accepting connections. */
Test(mesh_faults, stops_with_work_under_way)
{
    const char *request = "GET /q/hang HTTP/1.1\r\nHost: h.example\r\n"
                          "Lavenderfield-Attempt-Id: %s-%d\r\n\r\n";
    harness_signal_node(0, SIGTERM);
    int answered = 0;
    for (int i = 0; i < 1000; i++) {
        char text[256];
        harness_response response;
        int fd = harness_connect(0);
        if (fd < 0) {
            break;
        }
        snprintf(text, sizeof(text), request, "under-way", i);
        harness_send(fd, text, strlen(text));
        harness_read_response(&response, fd);
        answered += response.status == 504 || response.status == 503;
        cr_expect(response.status != 0 || i > 0, "request %d", i);
        harness_free_response(&response);
        close(fd);
    }
    cr_expect_eq(harness_wait_node_exit(0), 0);
    cr_expect_gt(answered, 3);
}

/* Heartbeats that change nothing cause no writes to the store. */
Test(mesh_faults, the_store_is_written_on_change_only)
{
    int before = harness_store_write_count();
    for (int i = 0; i < 20; i++) {
        cr_expect_eq(harness_send_heartbeat(1, "ready", 0), 200);
    }
    harness_sleep_ms(200);
    cr_expect_eq(harness_store_write_count(), before);
}

/* A node reloads its settings when its file changes or on SIGHUP; other nodes
 * do not. */
Test(mesh_faults, settings_that_change)
{
    harness_rewrite_settings(1);
    cr_expect(
        HARNESS_WAIT_FOR(harness_log_contains(1, "\"event\":\"reloaded\"")));
    cr_expect_not(harness_log_contains(2, "\"event\":\"reloaded\""));
    harness_signal_node(2, SIGHUP);
    cr_expect(
        HARNESS_WAIT_FOR(harness_log_contains(2, "\"event\":\"reloaded\"")));
}
