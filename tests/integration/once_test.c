/* At-most-once execution and truthful refusals under a table of faults:
 * whatever fails, no payment is executed twice, and no request that was
 * executed is reported as not run. */
#include <criterion/criterion.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>

#include "lav/clock.h"
#include "lav/http_sync.h"
#include "proc.h"
#include "rig.h"

#define RATE 60.0
#define SECONDS 7.0

/* Injects a fault and, where it is not permanent, removes it after a while. */
typedef void (*fault_cb)(rig *r);

static void
fault_none(rig *r)
{
    (void)r;
}

static void
fault_target_node_killed(rig *r)
{
    cluster_instance *pay = cluster_find_instance(&r->cluster, "pay", 0);
    proc_kill(&pay->node);
}

static void
fault_callers_node_killed(rig *r)
{
    proc_kill(&cluster_find_instance(&r->cluster, "front", 1)->node);
}

static void
fault_node_replaced(rig *r)
{
    err e = ERR_INIT;
    cluster_instance *pay = cluster_find_instance(&r->cluster, "pay", 1);
    proc_kill(&pay->node);
    rig_sleep_ms(100);
    cr_expect_eq(cluster_start_node(&r->cluster, pay, &e), 0);
}

static void
fault_target_killed(rig *r)
{
    err e = ERR_INIT;
    cluster_instance *pay = cluster_find_instance(&r->cluster, "pay", 2);
    proc_kill(&pay->target);
    rig_sleep_ms(300);
    cr_expect_eq(cluster_start_target(&r->cluster, pay, &e), 0);
}

static void
fault_responses_cut(rig *r)
{
    for (int i = 0; i < 3; i++) {
        cluster_configure_standin(
            cluster_find_instance(&r->cluster, "pay", i)->port, "cut=25");
    }
}

static void
fault_responses_lost(rig *r)
{
    for (int i = 0; i < 3; i++) {
        cluster_configure_standin(
            cluster_find_instance(&r->cluster, "pay", i)->port, "vanish=25");
    }
}

/* Frozen for longer than any lease; the horizon of the map is 6 s. */
static void
fault_node_frozen(rig *r)
{
    cluster_instance *pay = cluster_find_instance(&r->cluster, "pay", 0);
    proc_signal(pay->node, SIGSTOP);
    rig_sleep_ms(7000);
    proc_signal(pay->node, SIGCONT);
}

static void
fault_node_frozen_often(rig *r)
{
    for (int i = 0; i < 12; i++) {
        cluster_instance *pay =
            cluster_find_instance(&r->cluster, "pay", i % 3);
        proc_signal(pay->node, SIGSTOP);
        rig_sleep_ms(150);
        proc_signal(pay->node, SIGCONT);
        rig_sleep_ms(130);
    }
}

static void
fault_target_frozen(rig *r)
{
    cluster_instance *pay = cluster_find_instance(&r->cluster, "pay", 0);
    proc_signal(pay->target, SIGSTOP);
    rig_sleep_ms(2500);
    proc_signal(pay->target, SIGCONT);
}

static void
fault_platform_out(rig *r)
{
    cluster_configure_standin(r->cluster.platform_port, "outage=1");
    rig_sleep_ms(3000);
    cluster_configure_standin(r->cluster.platform_port, "outage=0");
}

static void
fault_platform_cut(rig *r)
{
    fault_proxy_set_mode(r->platform_proxy, FAULT_PROXY_BLACKHOLE);
    rig_sleep_ms(3000);
    fault_proxy_set_mode(r->platform_proxy, FAULT_PROXY_PASS);
}

static void
fault_platform_responses_lost(rig *r)
{
    cluster_configure_standin(r->cluster.platform_port, "lose_answers=40");
}

static void
fault_peer_replies_cut(rig *r)
{
    for (int k = 0; k < 6; k++) {
        for (size_t i = 0; i < r->cluster.count; i++) {
            fault_proxy_set_mode(r->peer_proxies[i],
                                 FAULT_PROXY_CLOSE_ON_REPLY);
        }
        rig_sleep_ms(120);
        for (size_t i = 0; i < r->cluster.count; i++) {
            fault_proxy_set_mode(r->peer_proxies[i], FAULT_PROXY_PASS);
        }
        rig_sleep_ms(200);
    }
}

static void
fault_peers_cut(rig *r)
{
    for (size_t i = 0; i < r->cluster.count; i += 2) {
        fault_proxy_set_mode(r->peer_proxies[i], FAULT_PROXY_CLOSE);
    }
    rig_sleep_ms(1500);
    for (size_t i = 0; i < r->cluster.count; i++) {
        fault_proxy_set_mode(r->peer_proxies[i], FAULT_PROXY_PASS);
    }
}

static void
fault_peers_held(rig *r)
{
    fault_proxy_set_mode(r->peer_proxies[3], FAULT_PROXY_BLACKHOLE);
    fault_proxy_set_mode(r->control_proxies[3], FAULT_PROXY_BLACKHOLE);
    rig_sleep_ms(2500);
    fault_proxy_set_mode(r->peer_proxies[3], FAULT_PROXY_CLOSE);
    fault_proxy_set_mode(r->control_proxies[3], FAULT_PROXY_CLOSE);
    rig_sleep_ms(50);
    fault_proxy_set_mode(r->peer_proxies[3], FAULT_PROXY_PASS);
    fault_proxy_set_mode(r->control_proxies[3], FAULT_PROXY_PASS);
}

static void
fault_peers_slow(rig *r)
{
    for (size_t i = 0; i < r->cluster.count; i++) {
        fault_proxy_set_mode(r->peer_proxies[i], FAULT_PROXY_DELAY_REPLY);
    }
    rig_sleep_ms(2500);
    for (size_t i = 0; i < r->cluster.count; i++) {
        fault_proxy_set_mode(r->peer_proxies[i], FAULT_PROXY_PASS);
    }
}

static void
fault_outage_and_kill(rig *r)
{
    cluster_configure_standin(r->cluster.platform_port, "outage=1");
    rig_sleep_ms(500);
    fault_node_replaced(r);
    rig_sleep_ms(1500);
    cluster_configure_standin(r->cluster.platform_port, "outage=0");
}

/* Load of payments, and a fault one second after it began. */
static void
check_once(const char *name, fault_cb inject)
{
    static rig r;
    rig_result result;
    rig_start(&r, "pair", "");
    loadgen_options options = rig_order_load(RATE, SECONDS, 3);
    loadgen *l = rig_start_load(&r, &options);
    rig_sleep_ms(1000);
    inject(&r);
    rig_finish_load(&result, &r, l);
    rig_sleep_ms(1000); /* until calls in flight have ended */
    rig_expect_guarantees(&result, name);
    if (inject == fault_none) {
        cr_expect_eq(result.by_outcome[LOADGEN_DONE], result.sent);
    }
    rig_stop(&r);
}

/* The table of faults: each is a test of its own. */
#define ONCE_TEST(name, inject)                                               \
    Test(once, name)                                                          \
    {                                                                         \
        check_once(#name, inject);                                            \
    }

ONCE_TEST(no_fault, fault_none)
ONCE_TEST(targets_node_killed, fault_target_node_killed)
ONCE_TEST(callers_node_killed, fault_callers_node_killed)
ONCE_TEST(node_replaced_memory_empty, fault_node_replaced)
ONCE_TEST(target_killed_and_back, fault_target_killed)
ONCE_TEST(answers_cut_halfway, fault_responses_cut)
ONCE_TEST(answers_vanish, fault_responses_lost)
ONCE_TEST(node_frozen_past_its_lease, fault_node_frozen)
ONCE_TEST(nodes_frozen_shortly_often, fault_node_frozen_often)
ONCE_TEST(target_frozen, fault_target_frozen)
ONCE_TEST(platform_out, fault_platform_out)
ONCE_TEST(platform_does_not_answer, fault_platform_cut)
ONCE_TEST(platforms_answers_lost, fault_platform_responses_lost)
ONCE_TEST(replies_between_nodes_cut, fault_peer_replies_cut)
ONCE_TEST(nodes_cut_off_from_each_other, fault_peers_cut)
ONCE_TEST(a_node_held_then_back, fault_peers_held)
ONCE_TEST(replies_between_nodes_late, fault_peers_slow)
ONCE_TEST(platform_out_node_replaced, fault_outage_and_kill)

/* A node whose table of calls is full refuses a request without looking it up.
 * It must not report "not run" for a retry of a request that was executed. */
Test(once, full_tables_refuse_truthfully)
{
    static rig r;
    rig_result result;
    rig_start_with_call_limit(&r, "pair", 3);
    for (int i = 0; i < 3; i++) {
        cluster_configure_standin(
            cluster_find_instance(&r.cluster, "front", i)->port, "vanish=60");
    }
    loadgen_options options = rig_order_load(400, 5, 5);
    options.workers = 200;
    loadgen *l = rig_start_load(&r, &options);
    rig_finish_load(&result, &r, l);
    rig_expect_guarantees(&result, "full tables");
    rig_stop(&r);
}

/* One of two concurrent requests with the same id. */
typedef struct duplicate {
    int port;
    const char *request;
    char outcome[HTTP_SYNC_HEADER_SIZE];
    char reason[HTTP_SYNC_HEADER_SIZE];
    int status;
} duplicate;

static void *
send_duplicate(void *payload)
{
    duplicate *d = payload;
    d->status = rig_post(d->port, "/call/front/order", d->request, 1, "{}",
                         d->outcome, d->reason);
    return NULL;
}

/* The same id arrives at two nodes at the same time: it is executed once. */
Test(once, same_id_at_two_nodes)
{
    static rig r;
    int done = 0;
    rig_start(&r, "pair", "");
    for (int i = 0; i < 40; i++) {
        id request;
        pthread_t threads[2];
        duplicate duplicates[2] = {{0}};
        id_generate(&request, clock_wall_ms());
        for (int k = 0; k < 2; k++) {
            duplicates[k].port =
                cluster_find_instance(&r.cluster, "front", k)->callers_port;
            duplicates[k].request = request.text;
            pthread_create(&threads[k], NULL, send_duplicate, &duplicates[k]);
        }
        for (int k = 0; k < 2; k++) {
            pthread_join(threads[k], NULL);
            cr_expect_str_neq(duplicates[k].outcome, "not-run");
        }
        int runs = exec_log_count_request_runs(&r.cluster, request.text);
        cr_expect_eq(runs, 1, "%s ran %d times", request.text, runs);
        done +=
            duplicates[0].status == 200 || duplicates[1].status == 200 ? 1 : 0;
        /* A retry gets the recorded response without an execution. */
        int status = rig_post(
            cluster_find_instance(&r.cluster, "front", 2)->callers_port,
            "/call/front/order", request.text, 2, "{}", duplicates[0].outcome,
            duplicates[0].reason);
        cr_expect_eq(status, 200);
        cr_expect_str_eq(duplicates[0].outcome, "done");
        cr_expect_eq(exec_log_count_request_runs(&r.cluster, request.text), 1);
    }
    cr_expect_eq(done, 40);
    rig_stop(&r);
}
