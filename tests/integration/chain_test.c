/* The retry budget bounds the retries of a whole chain of calls.  Each test
 * makes calls fail along a chain of seven services and counts how many reach
 * the targets. */
#include <criterion/criterion.h>
#include <stdio.h>

#include "lav/clock.h"
#include "lav/http_sync.h"
#include "rig.h"

/* One request calls s1..s7 once, and s7 once more from s4. */
#define CALLS 8
#define BUDGET 2
#define CALLER_ATTEMPTS 5

typedef struct chain_case {
    const char *name;
    const char *policy;
    const char *last_fault;     /* setting of the stand-ins of s7, or NULL */
    enum fault_proxy_mode mode; /* of the proxies between nodes */
    bool drop_context;          /* targets don't propagate the call context */
    bool bounded;               /* false: a baseline without the budget */
} chain_case;

static void
set_faults(rig *r, const chain_case *c)
{
    for (size_t i = 0; i < r->cluster.count; i++) {
        cluster_instance *instance = &r->cluster.instances[i];
        if (c->drop_context) {
            cluster_configure_standin(instance->port, "drop_context=1");
        }
        fault_proxy_set_mode(r->peer_proxies[i], c->mode);
    }
    for (int i = 0; i < 2 && c->last_fault != NULL; i++) {
        cluster_configure_standin(
            cluster_find_instance(&r->cluster, "s7", i)->port, c->last_fault);
    }
}

/* A caller sends a request with the same id several times to one node. */
static void
check_chain(const chain_case *c)
{
    static rig r;
    char outcome[HTTP_SYNC_HEADER_SIZE];
    char reason[HTTP_SYNC_HEADER_SIZE];
    id request;
    rig_start(&r, "chain", c->policy);
    int port = cluster_find_instance(&r.cluster, "s1", 0)->callers_port;
    int status = rig_post(port, "/call/s1/go", NULL, 1, "{}", outcome, reason);
    cr_expect_eq(status, 200, "%d, %s, %s", status, outcome, reason);
    int runs_before = exec_log_count_operation_runs(&r.cluster, "go");
    cr_expect_eq(runs_before, CALLS);
    set_faults(&r, c);
    id_generate(&request, clock_wall_ms());
    for (int attempt = 1; attempt <= CALLER_ATTEMPTS; attempt++) {
        rig_post(port, "/call/s1/go", request.text, attempt, "{}", outcome,
                 reason);
    }
    rig_sleep_ms(500);
    int runs = exec_log_count_operation_runs(&r.cluster, "go") - runs_before;
    printf("%s: %d runs for one request of %d calls\n", c->name, runs, CALLS);
    fflush(stdout);
    /* Each retry repeats at most the calls below it in the chain. */
    int bound = CALLS * (1 + BUDGET);
    if (c->bounded) {
        cr_expect_leq(runs, bound, "%s: %d runs", c->name, runs);
    }
    else {
        cr_expect_gt(runs, bound, "%s: %d runs", c->name, runs);
    }
    rig_stop(&r);
}

/* The table of cases: each is a test of its own. */
#define CHAIN_TEST(name, ...)                                                 \
    Test(chain, name)                                                         \
    {                                                                         \
        const chain_case c = {#name, __VA_ARGS__};                            \
        check_chain(&c);                                                      \
    }

CHAIN_TEST(the_last_vanishes, "", "vanish=100000", FAULT_PROXY_PASS, false,
           true)
CHAIN_TEST(the_last_is_cut, "", "cut=100000", FAULT_PROXY_PASS, false, true)
CHAIN_TEST(replies_are_lost, "", NULL, FAULT_PROXY_CLOSE_ON_REPLY, false, true)
CHAIN_TEST(contexts_are_dropped, "", "vanish=100000", FAULT_PROXY_PASS, true,
           true)
CHAIN_TEST(per_hop_the_last_vanishes, "retries = \"per_hop\"", "vanish=100000",
           FAULT_PROXY_PASS, false, false)
