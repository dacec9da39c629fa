/* Retries are bounded for the whole chain: every hop fails, and the calls
 * that reach targets are counted. */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdio.h>

#include "lav/clock.h"
#include "lav/http_sync.h"
#include "rig.h"

/* One request calls s1..s7 once, and s7 once more from s4. */
#define CALLS 8
#define BUDGET 2
#define RETRIES_OF_CALLER 5

typedef struct chain_case {
    const char *name;
    const char *policy;
    const char *last_switch;    /* of every s7, or NULL */
    enum fault_proxy_mode mode; /* of the proxies between nodes */
    bool drop_context;          /* targets forget the context */
    bool bounded;               /* else: a baseline that is not */
} chain_case;

static const chain_case chain_cases[] = {
    {"the last vanishes", "", "vanish=100000", FAULT_PROXY_PASS, false, true},
    {"the last is cut", "", "cut=100000", FAULT_PROXY_PASS, false, true},
    {"replies are lost", "", NULL, FAULT_PROXY_CLOSE_ON_REPLY, false, true},
    {"contexts are dropped", "", "vanish=100000", FAULT_PROXY_PASS, true,
     true},
    {"per hop, the last vanishes", "retries = \"per_hop\"", "vanish=100000",
     FAULT_PROXY_PASS, false, false},
};

#define CASES (sizeof(chain_cases) / sizeof(chain_cases[0]))

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
    for (int i = 0; i < 2 && c->last_switch != NULL; i++) {
        cluster_configure_standin(
            cluster_find_instance(&r->cluster, "s7", i)->port, c->last_switch);
    }
}

ParameterizedTestParameters(chain, retries)
{
    static size_t indexes[CASES];
    for (size_t i = 0; i < CASES; i++) {
        indexes[i] = i;
    }
    return cr_make_param_array(size_t, indexes, CASES);
}

/* A caller that retries hard, with the same id, at one node. */
ParameterizedTest(size_t *index, chain, retries)
{
    static rig r;
    const chain_case *c = &chain_cases[*index];
    char outcome[HTTP_SYNC_HEADER_SIZE];
    char reason[HTTP_SYNC_HEADER_SIZE];
    id request;
    rig_start(&r, "chain", c->policy);
    int port = cluster_find_instance(&r.cluster, "s1", 0)->callers_port;
    int status = rig_post(port, "/call/s1/go", NULL, 1, "{}", outcome, reason);
    cr_expect_eq(status, 200, "%d, %s, %s", status, outcome, reason);
    int whole = exec_log_count_operation_runs(&r.cluster, "go");
    cr_expect_eq(whole, CALLS);
    set_faults(&r, c);
    id_mint(&request, clock_wall_ms());
    for (int attempt = 1; attempt <= RETRIES_OF_CALLER; attempt++) {
        rig_post(port, "/call/s1/go", request.text, attempt, "{}", outcome,
                 reason);
    }
    rig_sleep_ms(500);
    int runs = exec_log_count_operation_runs(&r.cluster, "go") - whole;
    printf("%s: %d runs for one request of %d calls\n", c->name, runs, CALLS);
    fflush(stdout);
    /* Each extra attempt runs at most what lies below it again. */
    int bound = CALLS * (1 + BUDGET);
    if (c->bounded) {
        cr_expect_leq(runs, bound, "%s: %d runs", c->name, runs);
    }
    else {
        cr_expect_gt(runs, bound, "%s: %d runs", c->name, runs);
    }
    rig_stop(&r);
}
