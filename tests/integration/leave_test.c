/* Targets that drain and processes that are stopped under load: a draining
 * target gets no new calls, and callers don't notice planned stops. */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>

#include "lav/clock.h"
#include "lav/http_sync.h"
#include "proc.h"
#include "rig.h"

#define RATE 50.0
#define STOP_MS 15000
#define DRAIN_NOTICE_MS 4500 /* the linger of 3 s and some margin */

static void
cut_gossip(rig *r)
{
    for (size_t i = 0; i < r->cluster.count; i++) {
        fault_proxy_set_mode(r->control_proxies[i], FAULT_PROXY_CLOSE);
    }
}

static void
take_platform_down(rig *r)
{
    cluster_configure_standin(r->cluster.platform_port, "outage=1");
}

static void
cut_gossip_and_platform(rig *r)
{
    cut_gossip(r);
    take_platform_down(r);
}

static void
no_fault(rig *r)
{
    (void)r;
}

typedef struct leave_case {
    const char *name;
    void (*fault)(rig *r);
} leave_case;

/* Payments that were executed at one instance. */
static int
runs_at(const rig *r, const cluster_instance *instance)
{
    cluster_env only = r->cluster;
    only.count = 1;
    only.instances[0] = *instance;
    return exec_log_count_operation_runs(&only, "pay");
}

/* A target that announces that it drains, but keeps running, gets no more
 * calls once that is known, even when gossip or the platform is cut off. */
static void
check_leaving(const leave_case *c)
{
    static rig r;
    rig_result result;
    rig_start(&r, "pair", "");
    loadgen_options options = rig_order_load(RATE, 9, 2);
    loadgen *l = rig_start_load(&r, &options);
    cluster_instance *pay = cluster_find_instance(&r.cluster, "pay", 0);
    rig_sleep_ms(1000);
    c->fault(&r);
    int before = runs_at(&r, pay);
    cluster_configure_standin(pay->port, "drain=1");
    rig_sleep_ms(DRAIN_NOTICE_MS);
    int noticed = runs_at(&r, pay);
    rig_finish_load(&result, &r, l);
    int late = runs_at(&r, pay);
    printf("%s: %d runs before, %d until a few seconds later, %d after\n",
           c->name, before, noticed - before, late - noticed);
    rig_expect_guarantees(&result, c->name);
    cr_expect_gt(before, 0);
    cr_expect_eq(late, noticed, "%s: %d runs after it left", c->name,
                 late - noticed);
    rig_stop(&r);
}

/* The table of cases: each is a test of its own. */
#define LEAVE_TEST(name, ...)                                                 \
    Test(leave, name)                                                         \
    {                                                                         \
        const leave_case c = {#name, __VA_ARGS__};                            \
        check_leaving(&c);                                                    \
    }

LEAVE_TEST(no_new_work, no_fault)
LEAVE_TEST(no_new_work_gossip_cut, cut_gossip)
LEAVE_TEST(no_new_work_platform_out, take_platform_down)
LEAVE_TEST(no_new_work_both_cut, cut_gossip_and_platform)

/* Which process of an instance gets SIGTERM. */
enum stop_kind {
    STOP_TARGET,
    STOP_NODE,
    STOP_BOTH
};

typedef struct stop_case {
    const char *name;
    const char *service;
    enum stop_kind kind;
    bool rolling;
} stop_case;

/* Stop an instance by SIGTERM and, with `rolling`, start it again. */
static void
stop_instance(rig *r, const stop_case *c, cluster_instance *instance)
{
    err e = ERR_INIT;
    if (c->kind != STOP_NODE) {
        proc_signal(instance->target, SIGTERM);
        cr_expect_eq(proc_wait(&instance->target, STOP_MS), 0);
    }
    if (c->kind != STOP_TARGET) {
        proc_signal(instance->node, SIGTERM);
        cr_expect_eq(proc_wait(&instance->node, STOP_MS), 0);
    }
    if (c->rolling) {
        cr_expect_eq(cluster_start_node(&r->cluster, instance, &e), 0);
        cr_expect_eq(cluster_start_target(&r->cluster, instance, &e), 0);
        rig_sleep_ms(2000);
    }
}

/* Every request succeeds while instances are stopped or restarted in turn. */
static void
check_stop(const stop_case *c)
{
    static rig r;
    rig_result result;
    rig_start(&r, "pair", "");
    loadgen_options options = rig_order_load(RATE, c->rolling ? 30 : 9, 3);
    loadgen *l = rig_start_load(&r, &options);
    rig_sleep_ms(1000);
    for (int i = 0; i < (c->rolling ? 3 : 1); i++) {
        stop_instance(&r, c, cluster_find_instance(&r.cluster, c->service, i));
    }
    rig_finish_load(&result, &r, l);
    rig_expect_guarantees(&result, c->name);
    cr_expect_eq(result.by_outcome[LOADGEN_DONE], result.sent,
                 "%s: a caller noticed the stop", c->name);
    rig_stop(&r);
}

#define STOP_TEST(name, ...)                                                  \
    Test(leave, name)                                                         \
    {                                                                         \
        const stop_case c = {#name, __VA_ARGS__};                             \
        check_stop(&c);                                                       \
    }

STOP_TEST(planned_stop_of_a_target, "pay", STOP_TARGET, false)
STOP_TEST(planned_stop_of_a_node, "pay", STOP_NODE, false)
STOP_TEST(planned_stop_of_a_callers_node, "front", STOP_NODE, false)
STOP_TEST(planned_stops_of_payments_in_turn, "pay", STOP_BOTH, true)
STOP_TEST(planned_stops_of_entries_in_turn, "front", STOP_BOTH, true)
