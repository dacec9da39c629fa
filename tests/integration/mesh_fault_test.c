/* The same nodes when callers leave, targets go and come, nodes stop or are
 * killed, and the desired state and the settings change. */
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

/* A caller that leaves: its request is cancelled down to the target. */
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

/* Another process has the address: 421, and the request goes elsewhere. */
Test(mesh_faults, an_address_that_was_given_away)
{
    harness_replace_instance(1, "someone-else"); /* and does not register */
    for (int i = 0; i < 20; i++) {
        char id[32];
        harness_response answer;
        snprintf(id, sizeof(id), "away-%d", i);
        harness_call(&answer, 0, "POST", "/n/ok", id, "", 0);
        cr_expect_eq(answer.status, 200, "%d", answer.status);
        cr_expect_eq(harness_run_count(id), 1);
        cr_expect_eq(harness_last_run_node(id), 2);
        harness_free_response(&answer);
    }
}

/* A target that has said it leaves gets nothing after the grace; the others
 * get all.  Its old beats change nothing. */
Test(mesh_faults, leaving_targets)
{
    cr_expect_eq(harness_send_heartbeat(1, "draining", 0), 200);
    cr_expect_eq(harness_send_heartbeat(1, "ready", 1),
                 200); /* overtaken: old */
    harness_sleep_ms(400);
    for (int i = 0; i < 30; i++) {
        char id[32];
        harness_response answer;
        snprintf(id, sizeof(id), "leave-%d", i);
        harness_call(&answer, 0, "POST", "/n/ok", id, "", 0);
        cr_expect_eq(answer.status, 200);
        cr_expect_eq(harness_last_run_node(id), 2);
        harness_free_response(&answer);
    }
}

/* The node has just started and doesn't know its target when that takes its
 * registration away; what the store says of it later brings nothing back. */
Test(mesh_faults, a_target_leaves_a_node_that_does_not_know_it)
{
    harness_store_mode(HARNESS_STORE_UNAVAILABLE);
    mesh_restart_node(1);
    cr_assert(HARNESS_WAIT_FOR(harness_deregister_target(1) == 200));
    harness_store_mode(HARNESS_STORE_UP);
    cr_assert(harness_wait_ready(1));
    cr_expect_eq(harness_send_heartbeat(1, "ready", 0),
                 200); /* sent before it left */
    harness_sleep_ms(300);
    for (int i = 0; i < 30; i++) {
        char id[32];
        harness_response answer;
        snprintf(id, sizeof(id), "unknown-%d", i);
        harness_call(&answer, 0, "POST", "/n/shed-at-2", id, "", 0);
        cr_expect_eq(harness_run_count(id), 0, "%s ran at %d", id,
                     harness_last_run_node(id));
        harness_free_response(&answer);
        harness_sleep_ms(20);
    }
}

/* Call until the target beside node 1 answers; whether it did. */
static bool
served_by_first(const char *prefix)
{
    bool served = false;
    for (int i = 0; i < 500 && !served; i++) {
        char id[32];
        harness_response answer;
        snprintf(id, sizeof(id), "%s-%d", prefix, i);
        harness_call(&answer, 0, "POST", "/n/shed-at-2", id, "", 0);
        served = harness_last_run_node(id) == 1 && answer.status == 200;
        harness_free_response(&answer);
        harness_sleep_ms(10);
    }
    return served;
}

Test(mesh_faults, a_target_that_is_down_and_comes_back)
{
    harness_set_target_refusing(1, true);
    for (int i = 0; i < 20; i++) {
        char id[32];
        harness_response answer;
        snprintf(id, sizeof(id), "down-%d", i);
        harness_call(&answer, 0, "POST", "/n/ok", id, "", 0);
        if (answer.status == 502) { /* on a connection kept from before */
            cr_expect_leq(harness_run_count(id), 1);
        }
        else {
            cr_expect_eq(answer.status, 200);
            cr_expect_eq(harness_run_count(id), 1);
        }
        harness_free_response(&answer);
    }
    harness_set_target_refusing(1, false);
    harness_replace_instance(1, "i-1-again");
    cr_expect_eq(harness_send_heartbeat(1, "ready", 0), 200);
    cr_expect(served_by_first("back"));
}

/* What a request to the target's earlier start was told says nothing of the
 * new one that has registered meanwhile. */
Test(mesh_faults, a_target_registers_while_old_requests_end)
{
    static const char request[] = "GET /i/misplaced-at-1 HTTP/1.1\r\n"
                                  "Host: h.example\r\n"
                                  "Lavenderfield-Attempt-Id: old\r\n\r\n";
    harness_response answer;
    cr_expect_eq(harness_send_heartbeat(2, "draining", 0), 200);
    harness_sleep_ms(500);
    int fd = harness_connect(0);
    harness_send(fd, request, sizeof(request) - 1);
    cr_assert(HARNESS_WAIT_FOR(harness_arrival_count("old") == 1));
    harness_replace_instance(1, "i-1-again");
    cr_expect_eq(harness_send_heartbeat(1, "ready", 0), 200);
    harness_read_response(&answer, fd);
    cr_expect_eq(harness_run_count("old"), 0);
    harness_free_response(&answer);
    close(fd);
    cr_expect_not(harness_log_contains(1, "\"event\":\"target_lost\""));
    cr_expect(served_by_first("new"));
}

/* No instance takes it: the refusal names why, not that none is left. */
Test(mesh_faults, a_refusal_names_the_last_reason)
{
    harness_response answer;
    harness_set_target_refusing(1, true);
    harness_set_target_refusing(2, true);
    harness_call(&answer, 0, "POST", "/n/ok", "both-down", "", 0);
    cr_expect_eq(answer.status, 503, "%d", answer.status);
    cr_expect(harness_log_contains(0,
                                   "\"request\":\"both-down\",\"status\":503,"
                                   "\"reason\":\"target_down\""));
    cr_expect(
        harness_log_contains(0, "\"begun_share\":1.0,\"held_back_by\":\"\""));
    harness_free_response(&answer);
}

typedef struct stale_case {
    const char *node;
    int peer; /* another node has its address; -1: nobody has */
} stale_case;

static const stale_case stale_cases[] = {{"gone-1", -1}, {"gone-2", 2}};

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

/* Calls that read the store, of all nodes, while the entries of others come
 * one after the other, until the first node knows the last of them. */
static int
reads_for_news(int first, int end, int pause_ms)
{
    char node[32];
    char last[32];
    snprintf(last, sizeof(last), "\"other-%d\"", end - 1);
    harness_sleep_ms(1500); /* for what came before */
    int before = harness_store_read_count();
    for (int i = first; i < end; i++) {
        snprintf(node, sizeof(node), "other-%d", i);
        put_other_node(node);
        harness_sleep_ms(pause_ms);
    }
    cr_assert(HARNESS_WAIT_FOR(harness_log_contains(0, last)));
    return harness_store_read_count() - before;
}

/* Two hundred nodes start one after the other: each of ours asks once a
 * second, not once for each of them. */
Test(mesh_faults, news_of_many_nodes_are_fetched_together)
{
    reads_for_news(0, 200, 0);
    int reads = reads_for_news(200, 250, 20);
    cr_expect_leq(reads, 3 * 5, "%d", reads); /* of three nodes */
}

/* The same in a small fleet: 2.5 s of changes, the first of them told at once,
 * the others within a second each. */
Test(mesh_faults, news_of_a_start_are_fetched_together)
{
    int reads = reads_for_news(0, 25, 100);
    cr_expect_leq(reads, 3 * 10, "%d", reads); /* of three nodes */
}

/* Entries that their nodes couldn't take away, as the store was out when
 * they went: requests go elsewhere, and the entries go in the end. */
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
        harness_response answer;
        snprintf(id, sizeof(id), "stale-%d", i);
        harness_call(&answer, 0, "POST", "/n/ok", id, "", 0);
        cr_expect_eq(answer.status, 200, "%d", answer.status);
        harness_free_response(&answer);
    }
    for (size_t i = 0; i < COUNT(stale_cases); i++) {
        const char *node = stale_cases[i].node;
        cr_expect(HARNESS_WAIT_FOR(!harness_store_contains("lavnodes", node)),
                  "%s", node);
    }
    cr_expect(harness_store_contains("lavnodes", "node1"));
    cr_expect(harness_store_contains("lavnodes", "node2"));
}

/* Registrations by others name no target to use; the sound one holds. */
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
    harness_response answer;
    harness_call(&answer, 0, "POST", "/n/shed-at-2", "forged", "", 0);
    cr_expect_eq(answer.status, 200);
    cr_expect_eq(harness_last_run_node("forged"), 1);
    harness_free_response(&answer);
}

/* The node beside the target is killed while a request runs there: it isn't
 * run again, and nobody is told that it has not run. */
Test(mesh_faults, a_node_killed_during_a_request)
{
    char request[256];
    harness_response answer;
    int size = snprintf(request, sizeof(request),
                        "POST /n/hang HTTP/1.1\r\nHost: h.example\r\n"
                        "Lavenderfield-Attempt-Id: killed\r\n"
                        "Content-Length: 0\r\n\r\n");
    int fd = harness_connect(0);
    harness_send(fd, request, (size_t)size);
    cr_assert(HARNESS_WAIT_FOR(harness_run_count("killed") == 1));
    harness_signal_node(harness_last_run_node("killed"), SIGKILL);
    harness_read_response(&answer, fd);
    cr_expect_eq(answer.status, 502, "%d", answer.status);
    cr_expect_eq(harness_run_count("killed"), 1);
    harness_free_response(&answer);
    close(fd);
}

/* A node restarts while its target lives on, the store being away: it takes
 * the desired state and the fleet from the nodes that call it. */
Test(mesh_faults, a_node_restarts_without_the_store)
{
    harness_store_mode(HARNESS_STORE_UNAVAILABLE);
    mesh_restart_node(1);
    cr_assert(HARNESS_WAIT_FOR(harness_send_heartbeat(1, "ready", 0) == 200));
    cr_expect(served_by_first("again"));
    cr_expect(harness_wait_ready(1)); /* by the desired state of a peer */
    harness_store_mode(HARNESS_STORE_UP);
}

Test(mesh_faults, a_desired_state_moves_a_route)
{
    harness_publish_desired(
        2, "[" ROUTE("/n/", "non_idempotent", "5000ms", "near") "]");
    bool moved = false;
    for (int i = 0; i < 500 && !moved; i++) {
        char id[32];
        harness_response answer;
        snprintf(id, sizeof(id), "moved-%d", i);
        harness_call(&answer, 0, "POST", "/n/ok", id, "", 0);
        moved = harness_last_run_node(id) == 0;
        harness_free_response(&answer);
        harness_sleep_ms(10);
    }
    cr_expect(moved);
    harness_publish_desired(
        1, ROUTES); /* an older one, late: nothing goes back */
    harness_sleep_ms(200);
    harness_response answer;
    harness_call(&answer, 0, "POST", "/n/ok", "not-back", "", 0);
    cr_expect_eq(harness_last_run_node("not-back"), 0);
    harness_call(&answer, 0, "GET", "/i/ok", "dropped", NULL, 0);
    cr_expect_eq(answer.status, 404);
    harness_free_response(&answer);
}

/* A planned stop: not ready at once, what runs is finished, exit status 0. */
Test(mesh_faults, planned_stops)
{
    const char *request = "POST /m/slow HTTP/1.1\r\nHost: h.example\r\n"
                          "Lavenderfield-Attempt-Id: stop\r\n"
                          "Content-Length: 0\r\n\r\n";
    harness_response answer;
    int fd = harness_connect(0);
    harness_send(fd, request, strlen(request));
    cr_assert(HARNESS_WAIT_FOR(harness_run_count("stop") == 1));
    harness_signal_node(0, SIGTERM);
    cr_expect(HARNESS_WAIT_FOR(harness_ready_status(0) == 503));
    harness_read_response(&answer, fd);
    cr_expect_eq(answer.status, 200);
    harness_free_response(&answer);
    close(fd);
    harness_call(&answer, 0, "POST", "/m/ok", "after", "", 0);
    cr_expect_eq(answer.status, 200); /* still served, and told to go */
    cr_expect_not_null(strstr(answer.head, "Connection: close"));
    harness_free_response(&answer);
    cr_expect_eq(harness_wait_node_exit(0), 0);
}

typedef struct stop_load {
    int index;
    int served;
    int refused;
    int lost; /* read, run, and not answered */
} stop_load;

static void *
call_until_it_ends(void *payload)
{
    stop_load *load = payload;
    for (int i = 0; i < 1000; i++) {
        char id[32];
        harness_response answer;
        snprintf(id, sizeof(id), "during-%d-%d", load->index, i);
        int fd = harness_connect(1);
        if (fd < 0) {
            break; /* it has ended */
        }
        close(fd);
        harness_call(&answer, 1, "POST", "/n/slow", id, "", 0);
        load->served += answer.status == 200;
        load->refused += answer.status == 503 && harness_run_count(id) == 0;
        load->lost += answer.status == 0 && harness_run_count(id) > 0;
        harness_free_response(&answer);
        harness_sleep_ms(20);
    }
    return NULL;
}

/* Callers that go on during a stop, so that something is always under way:
 * what has run is answered, and the node ends all the same. */
Test(mesh_faults, stops_under_load)
{
    stop_load loads[4] = {0};
    pthread_t threads[COUNT(loads)];
    harness_signal_node(1, SIGTERM);
    for (size_t i = 0; i < COUNT(loads); i++) {
        loads[i].index = (int)i;
        pthread_create(&threads[i], NULL, call_until_it_ends, &loads[i]);
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

/* A request that is under way when the node closes for new ones. */
Test(mesh_faults, stops_with_work_under_way)
{
    const char *request = "GET /q/hang HTTP/1.1\r\nHost: h.example\r\n"
                          "Lavenderfield-Attempt-Id: %s-%d\r\n\r\n";
    harness_signal_node(0, SIGTERM);
    int answered = 0;
    for (int i = 0; i < 1000; i++) {
        char text[256];
        harness_response answer;
        int fd = harness_connect(0);
        if (fd < 0) {
            break;
        }
        snprintf(text, sizeof(text), request, "under-way", i);
        harness_send(fd, text, strlen(text));
        harness_read_response(&answer, fd);
        answered += answer.status == 504 || answer.status == 503;
        cr_expect(answer.status != 0 || i > 0, "request %d", i);
        harness_free_response(&answer);
        close(fd);
    }
    cr_expect_eq(harness_wait_node_exit(0), 0);
    cr_expect_gt(answered, 3);
}

/* Entries are written when something changes, and not otherwise. */
Test(mesh_faults, the_store_is_written_on_change_only)
{
    int before = harness_store_write_count();
    for (int i = 0; i < 20; i++) {
        cr_expect_eq(harness_send_heartbeat(1, "ready", 0), 200);
    }
    harness_sleep_ms(200);
    cr_expect_eq(harness_store_write_count(), before);
}

/* Settings that change without a signal are read again, and by one. */
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
