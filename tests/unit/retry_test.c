/* Retry decisions and the retry budget of a node. */
#include <criterion/criterion.h>
#include <string.h>

#include "lav/retry_budget.h"
#include "lav/retry_share.h"
#include "lav/retry.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

/* Runs on two routes one after another, the second with more retries; then
 * none until the entries expire. */
Test(retry, the_retry_share_is_that_of_the_route_with_most)
{
    retry_share_table *r = NULL;
    int64_t now = 1000000;
    cr_assert_eq(retry_share_new(&r), 0);
    cr_expect_eq(retry_share_get(r, now), 0);
    for (int i = 0; i < 1000; i++) {
        double retry = i % 5 == 0 ? 1 : 0;
        now += 1000;
        retry_share_begin_run(r, 1, 0, now);
        retry_share_begin_run(r, 2, retry, now);
        retry_share_end_run(r, 1, 0);
        retry_share_end_run(r, 2, retry);
    }
    cr_expect_float_eq(retry_share_get(r, now), 0.2, 0.05);
    cr_expect_eq(retry_share_get(r, now + RETRY_SHARE_TTL_US + 1), 0);
    retry_share_begin_run(r, 1, 0, now + RETRY_SHARE_TTL_US + 1);
    cr_expect_eq(retry_share_get(r, now + RETRY_SHARE_TTL_US + 1), 0);
    retry_share_free(r);
    retry_share_free(NULL);
}

/* With enough runs in flight their share is exact, at once and for as long as
 * they last. */
Test(retry, the_retry_share_follows_the_runs_in_flight)
{
    retry_share_table *r = NULL;
    int64_t now = 1000000;
    cr_assert_eq(retry_share_new(&r), 0);
    for (int i = 0; i < RETRY_SHARE_RUNS_MIN; i++) {
        retry_share_begin_run(r, 1, 0, now);
    }
    cr_expect_eq(retry_share_get(r, now), 0);
    for (int i = 0; i < RETRY_SHARE_RUNS_MIN; i++) {
        retry_share_begin_run(r, 1, 1, now);
    }
    cr_expect_float_eq(retry_share_get(r, now), 0.5, 1e-9);
    for (int i = 0; i < RETRY_SHARE_RUNS_MIN; i++) {
        retry_share_end_run(r, 1, 0);
    }
    now += RETRY_SHARE_TTL_US + 1;
    cr_expect_float_eq(retry_share_get(r, now), 1, 1e-9);
    retry_share_free(r);
}

Test(retry, retries_stay_within_the_budget_in_every_window)
{
    const int64_t window_us = 10000000;
    retry_budget_options options = {0.2, 48, window_us, 4, 0, 0};
    retry_budget_window budget;
    static int64_t retries[100000];
    static int64_t requests[100000];
    size_t retry_count = 0;
    size_t request_count = 0;
    retry_budget_init(&budget, &options);
    for (int64_t now = 0; now < 60000000; now += 1000) {
        bool busy = (now / 5000000) % 2 == 0; /* alternating load */
        if (now % (busy ? 4000 : 200000) == 0) {
            double repeat = request_count % 10 == 0 ? 1 : 0;
            retry_budget_add_request(&budget, repeat, now);
            requests[request_count++] = now;
            if (repeat > 0) { /* retried by the caller, not by this node */
                retries[retry_count++] = now;
            }
        }
        if (retry_budget_take(&budget, now)) {
            retries[retry_count++] = now;
        }
    }
    cr_expect_gt(retry_count, 100);
    for (size_t i = 0; i < retry_count; i++) {
        size_t in_window = 0;
        size_t asked = 0;
        for (size_t j = 0; j < retry_count; j++) {
            in_window += retries[j] >= retries[i] &&
                         retries[j] < retries[i] + window_us;
        }
        for (size_t j = 0; j < request_count; j++) {
            asked += requests[j] >= retries[i] - window_us / 2 &&
                     requests[j] < retries[i] + window_us;
        }
        cr_assert_leq((double)in_window, 0.2 * (double)asked + 48.0 / 4);
    }
}

#define NODES 3
#define DAY_MS 40000
#define WINDOW_MS 10000
#define RATIO 0.2
#define SLACK 48
#define PHASES 3

/* Requests a second at each node, in phases, and when retries are wanted. */
typedef struct load_case {
    const char *name;
    int per_s[PHASES][NODES];
    int until_ms[PHASES];
    int retries_from_ms;
} load_case;

static const load_case load_cases[] = {
    {"steady", {{200, 200, 200}}, {DAY_MS}, 12000},
    {"retries from the start", {{200, 200, 200}}, {DAY_MS}, 0},
    {"requests become fewer soon after the start",
     {{200, 200, 200}, {70, 70, 70}},
     {8000, DAY_MS},
     8000},
    {"requests become fewer later",
     {{200, 200, 200}, {20, 20, 20}},
     {20000, DAY_MS},
     20000},
    {"all load moves to another node",
     {{600, 0, 0}, {0, 600, 0}},
     {20000, DAY_MS},
     19500},
    {"a part of the load moves, node by node",
     {{400, 100, 100}, {100, 400, 100}, {100, 100, 400}},
     {18000, 23000, DAY_MS},
     16000},
    {"a burst ends",
     {{100, 100, 100}, {500, 500, 500}, {100, 100, 100}},
     {12000, 15000, DAY_MS},
     13000},
    {"a pause",
     {{200, 200, 200}, {0, 0, 0}, {200, 200, 200}},
     {12000, 18000, DAY_MS},
     10000},
};

static int
count_window(const int *counts, int from_ms)
{
    int total = 0;
    for (int i = from_ms < 0 ? 0 : from_ms;
         i < from_ms + WINDOW_MS && i < DAY_MS; i++) {
        total += counts[i];
    }
    return total;
}

static int
larger(int a, int b)
{
    return a > b ? a : b;
}

/* Nodes that retry whenever their budgets allow it.  In each window, all of
 * them together keep within the ratio of the requests of that window, of the
 * one before it or of the one half a window before it. */
Test(retry, budgets_of_nodes_grow_as_load_moves)
{
    static int requests[DAY_MS];
    static int retries[DAY_MS];
    for (size_t i = 0; i < COUNT(load_cases); i++) {
        const load_case *c = &load_cases[i];
        retry_budget_options options = {RATIO, SLACK, WINDOW_MS * 1000,
                                        NODES, 0,     0};
        retry_budget_window budgets[NODES];
        int phase = 0;
        memset(requests, 0, sizeof(requests));
        memset(retries, 0, sizeof(retries));
        for (int j = 0; j < NODES; j++) {
            retry_budget_init(&budgets[j], &options);
        }
        for (int ms = 0; ms < DAY_MS; ms++) {
            phase += ms >= c->until_ms[phase];
            for (int j = 0; j < NODES; j++) {
                int per_s = c->per_s[phase][j];
                if ((ms + 1) * per_s / 1000 > ms * per_s / 1000) {
                    retry_budget_add_request(&budgets[j], 0, ms * 1000LL);
                    requests[ms]++;
                }
                if (ms >= c->retries_from_ms &&
                    retry_budget_take(&budgets[j], ms * 1000LL)) {
                    retries[ms]++;
                }
            }
        }
        for (int from = -WINDOW_MS; from < DAY_MS; from += 25) {
            int asked =
                larger(count_window(requests, from),
                       larger(count_window(requests, from - WINDOW_MS / 2),
                              count_window(requests, from - WINDOW_MS)));
            int sent = count_window(retries, from);
            cr_assert_leq(sent, RATIO * asked + SLACK,
                          "%s, from %d ms: %d retries of %d requests", c->name,
                          from, sent, asked);
        }
    }
}

/* How a node starts, and which part of its requests may be retried in the
 * first window, besides its share of the slack. */
typedef struct start_case {
    const char *name;
    int64_t fleet_started_us; /* the node starts at 0 */
    double part;
    bool slack;
} start_case;

static const start_case start_cases[] = {
    {"with the fleet", 0, RATIO, true},
    {"a little later", -RETRY_BUDGET_FOUNDING_US, RATIO, true},
    {"in a fleet that has run", -60000000,
     RATIO *(1 - RETRY_BUDGET_BEFORE_WEIGHT), false},
    {"once more", RETRY_BUDGET_LONG_AGO,
     RATIO *(1 - RETRY_BUDGET_BEFORE_WEIGHT), false},
};

/* Each request of a node that has just started wants a retry.  What is allowed
 * lies within a slice's requests of what the kind of its start permits; from
 * the third window on all starts are alike. */
Test(retry, what_a_node_that_starts_may_retry)
{
    const int per_slice = WINDOW_MS / RETRY_BUDGET_SLICES / 5;
    for (size_t i = 0; i < COUNT(start_cases); i++) {
        const start_case *c = &start_cases[i];
        retry_budget_options options = {RATIO, SLACK, WINDOW_MS * 1000,
                                        NODES, 0,     c->fleet_started_us};
        retry_budget_window budget;
        int requests = 0;
        int taken = 0;
        double slack = c->slack ? (double)SLACK / NODES : 0;
        retry_budget_init(&budget, &options);
        for (int ms = 0; ms < 4 * WINDOW_MS; ms += 5) {
            retry_budget_add_request(&budget, 0, ms * 1000LL);
            requests++;
            taken += retry_budget_take(&budget, ms * 1000LL);
            if (ms < WINDOW_MS / 2) {
                double allowed =
                    RETRY_BUDGET_SAFETY_FACTOR * (c->part * requests + slack);
                cr_assert_leq(taken, allowed, "%s, %d ms: %d", c->name, ms,
                              taken);
                double least = allowed - c->part * per_slice - 1;
                cr_assert_geq(taken, least < requests ? least : requests,
                              "%s, %d ms: %d", c->name, ms, taken);
            }
            if (ms == 3 * WINDOW_MS) {
                requests = 0;
                taken = 0;
            }
        }
        double allowed = RETRY_BUDGET_SAFETY_FACTOR * RATIO * requests;
        cr_expect_geq(taken, 0.9 * allowed, "%s, later: %d of %d", c->name,
                      taken, requests);
        cr_expect_leq(taken, allowed + (double)SLACK / NODES,
                      "%s, later: %d of %d", c->name, taken, requests);
    }
}

/* One request in 25 wants a retry, from the start on: all are allowed. */
Test(retry, a_fleet_that_starts_may_retry)
{
    retry_budget_options options = {RATIO, SLACK, WINDOW_MS * 1000,
                                    NODES, 0,     0};
    retry_budget_window budget;
    retry_budget_init(&budget, &options);
    for (int ms = 0; ms < 4 * WINDOW_MS; ms += 5) {
        retry_budget_add_request(&budget, 0, ms * 1000LL);
        if (ms % 125 == 0) {
            cr_expect(retry_budget_take(&budget, ms * 1000LL), "%d ms", ms);
        }
    }
}

/* A paced budget isn't used up in the first moments of a fault: after half a
 * second of a fault, in which every request would be retried, most of it is
 * left. */
Test(retry, a_paced_budget_lasts)
{
    for (int paced = 0; paced <= 1; paced++) {
        int64_t window_us = 10 * 1000 * 1000LL;
        int64_t pace_us = 500 * 1000LL;
        retry_budget_options options = {0.2, 0, window_us, 1, 0, 0};
        retry_budget_window budget;
        retry_budget_init(&budget, &options);
        retry_budget_set_paced(&budget, paced);
        for (int64_t us = 0; us < 2 * window_us; us += 10000) {
            retry_budget_add_request(&budget, 0, us);
        }
        int taken = 0;
        for (int64_t us = 0; us < pace_us; us += 1000) {
            taken += retry_budget_take(&budget, 2 * window_us + us);
        }
        retry_budget_usage usage = retry_budget_get_usage(&budget);
        double part = taken / usage.allowed;
        cr_expect_geq(part, paced ? 0.15 : 0.95, "%d, %.3f", paced, part);
        cr_expect_leq(part, paced ? 0.25 : 1, "%d, %.3f", paced, part);
    }
}

typedef struct decision_case {
    const char *name;
    retry_failure input;
    enum retry_action expected;
} decision_case;

static const decision_case decision_cases[] = {
    {"shed by the target, budget left",
     {RETRY_END_REFUSED, REASON_TARGET_SHED, false, 1, 0, 1000000},
     RETRY_RESEND},
    {"shed by the target, no attempt left",
     {RETRY_END_REFUSED, REASON_TARGET_SHED, false, 0, 0, 1000000},
     RETRY_STOP},
    {"another instance at the address",
     {RETRY_END_REFUSED, REASON_WRONG_TARGET, false, 1, 0, 1000000},
     RETRY_RESEND},
    {"queue full, before dispatch",
     {RETRY_END_NOT_FORWARDED, REASON_QUEUE_FULL, false, 0, 0, 1000000},
     RETRY_REROUTE},
    {"queue full, rerouted too often",
     {RETRY_END_NOT_FORWARDED, REASON_QUEUE_FULL, false, 0,
      RETRY_OVERLOAD_REROUTES_MAX, 1000000},
     RETRY_STOP},
    {"node is stopping",
     {RETRY_END_NOT_FORWARDED, REASON_STOPPING, false, 0, 0, 1000000},
     RETRY_REROUTE},
    {"reply lost, idempotent",
     {RETRY_END_UNKNOWN, REASON_REPLY_LOST, true, 1, 0, 1000000},
     RETRY_RESEND},
    {"no time left",
     {RETRY_END_NOT_SENT, REASON_PEER_UNREACHABLE, true, 1, 0, 1000},
     RETRY_STOP},
};

Test(retry, what_follows_a_failed_attempt)
{
    for (size_t i = 0; i < COUNT(decision_cases); i++) {
        cr_expect_eq(retry_decide(&decision_cases[i].input),
                     decision_cases[i].expected, "%s", decision_cases[i].name);
    }
}
