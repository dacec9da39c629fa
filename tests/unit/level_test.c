/* Admission levels: how an instance measures the demand that it would see
 * without load shedding, and how its level reaches the nodes that apply it. */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "hop.h"
#include "lav/call_demand.h"
#include "lav/call_rate.h"
#include "lav/clock.h"
#include "lav/overload.h"
#include "lav/service_level.h"
#include "lav/shedder.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define MS CLOCK_US_PER_MS
#define NEAR 1e-6

enum {
    SERVICE = 7,
    OTHER = 8,
    NOT_KNOWN = 9
};

/* Routes: two that run at the target, one of which calls a third. */
enum {
    CALLS_TWICE = 1,
    CALLS_NOBODY,
    CALLEE
};

typedef struct merge_case {
    const char *name;
    service_level_report reports[3]; /* merged 10 ms apart */
    double level;                    /* expected in the end */
} merge_case;

static const merge_case merge_cases[] = {
    {"nothing is limited until a level is below 1",
     {{SERVICE, 1.5, 0, true}, {SERVICE, 1, 0, false}},
     1},
    {"the first level counts in full", {{SERVICE, 0.4, 0, true}}, 0.4},
    {"an average replaces what is known",
     {{SERVICE, 0.4, 0, true}, {SERVICE, 0.6, 0, false}},
     0.6},
    {"an older report is ignored",
     {{SERVICE, 0.4, 0, true}, {SERVICE, 0.9, 15000, false}},
     0.4},
    {"a measurement counts by the time since the last one",
     {{SERVICE, 0.4, 0, true}, {SERVICE, 0.9, 0, true}},
     0.45},
    {"a busier instance is balanced by one with room",
     {{SERVICE, 0.9, 0, false}, {SERVICE, 2, 0, true}, {0, 0, 0, false}},
     1},
    {"another service has a level of its own",
     {{SERVICE, 0.4, 0, true}, {OTHER, 0.2, 0, true}},
     0.4},
};

Test(level, reports_are_merged)
{
    for (size_t i = 0; i < COUNT(merge_cases); i++) {
        const merge_case *c = &merge_cases[i];
        service_level_table table = {0};
        int64_t now = CLOCK_US_PER_S;
        for (size_t j = 0; j < COUNT(c->reports); j++) {
            now += 10 * MS;
            if (c->reports[j].service != 0) {
                service_level_merge(&table, &c->reports[j], now);
            }
        }
        cr_expect_float_eq(service_level_get(&table, SERVICE, now), c->level,
                           NEAR, "%s", c->name);
        cr_expect_float_eq(service_level_get(&table, NOT_KNOWN, now), 1, NEAR);
    }
}

/* A level that no report confirms rises until it admits everything, and is no
 * longer reported. */
Test(level, unconfirmed_levels_lapse)
{
    service_level_table table = {0};
    service_level_report out[2];
    service_level_report low = {SERVICE, 0.25, 0, false};
    int64_t now = CLOCK_US_PER_S;
    service_level_merge(&table, &low, now);
    cr_expect_eq(service_level_list(out, 2, &table, 0, now), 1);
    cr_expect_eq(service_level_list(out, 2, &table, SERVICE, now), 0);
    now += SERVICE_LEVEL_CONFIRMED_US;
    cr_expect_float_eq(service_level_get(&table, SERVICE, now), 0.25, NEAR);
    cr_expect_eq(service_level_age_us(&table, SERVICE, now),
                 SERVICE_LEVEL_CONFIRMED_US);
    now += SERVICE_LEVEL_DOUBLING_US;
    cr_expect_float_eq(service_level_get(&table, SERVICE, now), 0.5, NEAR);
    now += SERVICE_LEVEL_DOUBLING_US;
    cr_expect_float_eq(service_level_get(&table, SERVICE, now), 1, NEAR);
    now += SERVICE_LEVEL_REPORTED_US;
    cr_expect_eq(service_level_list(out, 2, &table, 0, now), 0);
}

/* Nodes that tell each other a level that nobody measures any more forget it:
 * its age must not grow without bound. */
Test(level, old_levels_are_not_kept_up)
{
    service_level_table nodes[2] = {0};
    service_level_report told[2];
    service_level_report low = {SERVICE, 0.25, 0, true};
    int64_t now = CLOCK_US_PER_S;
    service_level_merge(&nodes[0], &low, now);
    int64_t end = now + 2 * SERVICE_LEVEL_REPORTED_US;
    for (int from = 0; now < end; from = 1 - from) {
        now += MS;
        int count = service_level_list(told, 2, &nodes[from], 0, now);
        for (int i = 0; i < count; i++) {
            cr_expect_leq(told[i].age_us, SERVICE_LEVEL_REPORTED_US);
            service_level_merge(&nodes[1 - from], &told[i], now);
        }
    }
    for (int i = 0; i < 2; i++) {
        cr_expect_eq(service_level_list(told, 2, &nodes[i], 0, now), 0);
        cr_expect_float_eq(service_level_get(&nodes[i], SERVICE, now), 1,
                           NEAR);
    }
    service_level_report old = {OTHER, 0.25, SERVICE_LEVEL_REPORTED_US + 1,
                                false};
    service_level_merge(&nodes[0], &old, now);
    cr_expect_float_eq(service_level_get(&nodes[0], OTHER, now), 1, NEAR);
}

/* The lowest levels are reported first, and a full table keeps them. */
Test(level, the_lowest_levels_are_reported)
{
    service_level_table table = {0};
    service_level_report out[2];
    int64_t now = CLOCK_US_PER_S;
    for (int i = 1; i <= SERVICE_LEVEL_SERVICES_MAX + 3; i++) {
        service_level_report report = {(uint32_t)i, 0.9 - 0.02 * (i % 5), 0,
                                       true};
        service_level_merge(&table, &report, now);
    }
    cr_expect_eq(table.count, SERVICE_LEVEL_SERVICES_MAX);
    cr_assert_eq(service_level_list(out, 2, &table, 0, now), 2);
    cr_expect_float_eq(out[0].level, 0.82, NEAR);
    cr_expect_float_eq(out[1].level, 0.82, NEAR);
}

/* Plays runs of two routes that begin at random and take 60 ms; those of one
 * of them make a call after 20 and after 40 ms. */
static int64_t
run_routes(call_rate_table *table, int64_t now, int seconds)
{
    enum {
        STEPS = 7 /* of 10 ms, more than a run takes */
    };
    bool calling[STEPS] = {false}; /* a run began so many steps ago */
    bool other[STEPS] = {false};
    GRand *random = g_rand_new_with_seed(1);
    for (int step = 0; step < seconds * 100; step++) {
        now += 10 * MS;
        memmove(calling + 1, calling, (STEPS - 1) * sizeof(bool));
        memmove(other + 1, other, (STEPS - 1) * sizeof(bool));
        calling[0] = g_rand_double(random) < 0.1;
        other[0] = g_rand_double(random) < 0.14;
        if (calling[0]) {
            call_rate_begin_run(table, CALLS_TWICE, now);
        }
        if (other[0]) {
            call_rate_begin_run(table, CALLS_NOBODY, now);
        }
        for (int made = calling[2] + calling[4]; made > 0; made--) {
            call_rate_count_call(table, CALLEE, now);
        }
        if (calling[STEPS - 1]) {
            call_rate_end_run(table, CALLS_TWICE, now);
        }
        if (other[STEPS - 1]) {
            call_rate_end_run(table, CALLS_NOBODY, now);
        }
    }
    g_rand_free(random);
    return now;
}

Test(level, calls_of_each_route_are_learned)
{
    call_rate_table table = {0};
    int64_t now = run_routes(&table, CLOCK_US_PER_S, 10);
    double twice = call_rate_per_run(&table, CALLS_TWICE, CALLEE, now);
    double nobody = call_rate_per_run(&table, CALLS_NOBODY, CALLEE, now);
    cr_expect_float_eq(twice, 2, 0.3, "%.3f", twice);
    cr_expect_lt(nobody, CALL_RATE_DEPENDS_MIN, "%.3f", nobody);
    cr_expect_float_eq(call_rate_total_per_run(&table, CALLS_TWICE, now),
                       twice, NEAR);
    cr_expect_float_eq(call_rate_run_us(&table, CALLS_TWICE), 60 * MS, MS);
    cr_expect_eq(call_rate_per_run(&table, NOT_KNOWN, CALLEE, now), 0);
    /* While it is paused, runs without calls teach nothing. */
    call_rate_set_paused(&table, true, now);
    for (int i = 0; i < 100; i++) {
        now += 10 * MS;
        call_rate_begin_run(&table, CALLS_TWICE, now);
        call_rate_end_run(&table, CALLS_TWICE, now + MS);
    }
    cr_expect_float_eq(call_rate_per_run(&table, CALLS_TWICE, CALLEE, now),
                       twice, NEAR);
}

/* Begins a run of one call, every 20 ms; its call follows 10 ms later unless
 * the run fails first.  Returns the demand that the last call stands for. */
static double
run_calls(call_demand *state, int64_t *now, int runs, double weight,
          int fails_each)
{
    double last = 0;
    for (int i = 0; i < runs; i++) {
        *now += 10 * MS;
        call_demand_begin_run(state, 1, weight, fails_each == 0, *now);
        *now += 10 * MS;
        if (fails_each == 0 || i % fails_each != 0) {
            last = call_demand_record_call(state, fails_each == 0, *now);
        }
    }
    return last;
}

/* A call stands for the requests that were refused beside the one behind it,
 * and for the calls that failed runs no longer make. */
Test(level, calls_stand_for_the_demand_behind_them)
{
    call_demand state = {0};
    int64_t now = CLOCK_US_PER_S;
    static const struct {
        int runs;
        double weight;
        int fails_each;
        double from;
        double to;
    } steps[] = {
        {5, 1, 0, 0.99, 1.01}, {5, 4, 0, 1.5, 3.5},   {100, 4, 0, 3.9, 4.1},
        {100, 1, 0, 0.9, 1.1}, {100, 1, 2, 1.8, 2.2},
    };
    for (size_t i = 0; i < COUNT(steps); i++) {
        double demand = run_calls(&state, &now, steps[i].runs, steps[i].weight,
                                  steps[i].fails_each);
        cr_expect_geq(demand, steps[i].from, "step %zu: %.3f", i, demand);
        cr_expect_leq(demand, steps[i].to, "step %zu: %.3f", i, demand);
    }
}

/* Plays 3 s at a target of 10 slots and calls of 10 ms, which serves 100 calls
 * in a window; returns its level.  The target itself fails a share of the calls
 * that it serves. */
static double
measure_level(int arrivals, double weight, double failing)
{
    overload_meter meter = {0};
    int64_t now = CLOCK_US_PER_S;
    int waiting = 0;
    overload_factor(&meter, 0, 10, 0, 0, now);
    for (int window = 0; window < 30; window++) {
        int offered = arrivals + waiting;
        int served = offered < 100 ? offered : 100;
        for (int i = 0; i < arrivals; i++) {
            overload_count_arrival(&meter, weight);
            if (i >= served) {
                overload_count_held_up(&meter);
                overload_count_lost(&meter);
            }
        }
        for (int i = 0; i < served; i++) {
            overload_count_end(&meter, 1);
            if (i < served * failing) {
                overload_count_failed(&meter);
            }
        }
        now += OVERLOAD_WINDOW_US;
        overload_factor(&meter, served / 10, 10, waiting, 10 * MS, now);
    }
    return overload_level(&meter);
}

typedef struct measure_case {
    int arrivals; /* per window */
    double weight;
    double failing; /* share */
    double from;    /* the level lies between these */
    double to;
} measure_case;

/* Whatever part of the demand is admitted already, the level is the share that
 * can be.  A target that fails calls while it has free slots limits nothing,
 * whatever those that arrive stand for; one that is full as well does. */
static const measure_case measure_cases[] = {
    {0, 1, 0, 2, 2},          {50, 1, 0, 2, 2},       {80, 1, 0, 1.2, 1.4},
    {200, 1, 0, 0.37, 0.5},   {100, 2, 0, 0.5, 0.56}, {50, 4, 0, 0.5, 0.56},
    {2000, 1, 0, 0.05, 0.05}, {50, 4, 0.55, 1, 2},    {90, 4, 0.2, 1, 2},
    {50, 4, 0.01, 0.5, 0.56}, {200, 2, 0.55, 0, 0.3},
};

Test(level, the_level_does_not_depend_on_the_one_in_force)
{
    for (size_t i = 0; i < COUNT(measure_cases); i++) {
        const measure_case *c = &measure_cases[i];
        double level = measure_level(c->arrivals, c->weight, c->failing);
        cr_expect_geq(level, c->from - NEAR, "%d x %g, failing %g: %.3f",
                      c->arrivals, c->weight, c->failing, level);
        cr_expect_leq(level, c->to + NEAR, "%d x %g, failing %g: %.3f",
                      c->arrivals, c->weight, c->failing, level);
    }
}

/* A quarter of the calls takes 25 ms, the others 5 ms; the long ones are served
 * and the short ones refused.  Counted, half of the demand is served; by slot time
 * more than that. */
Test(level, demand_is_measured_by_slot_time)
{
    for (int by_time = 0; by_time <= 1; by_time++) {
        overload_meter meter = {0};
        int64_t now = CLOCK_US_PER_S;
        overload_factor(&meter, 0, 10, 0, 0, now);
        for (int window = 0; window < 30; window++) {
            for (int i = 0; i < 100; i++) {
                double share = by_time ? (i < 25 ? 2.5 : 0.5) : 1;
                overload_count_arrival(&meter, share);
                if (i < 50) {
                    overload_count_end(&meter, share);
                }
                else {
                    overload_count_held_up(&meter);
                    overload_count_lost(&meter);
                }
            }
            now += OVERLOAD_WINDOW_US;
            overload_factor(&meter, 10, 10, 0, 10 * MS, now);
        }
        double level = overload_level(&meter);
        cr_expect_float_eq(level, by_time ? 0.56 : 0.375, 0.01, "%.3f", level);
    }
}

/* Without a call that has ended, nothing is known of the capacity. */
Test(level, a_target_that_has_just_started_limits_nothing)
{
    overload_meter meter = {0};
    int64_t now = CLOCK_US_PER_S;
    for (int window = 0; window < 10; window++) {
        overload_count_arrival(&meter, 1);
        now += OVERLOAD_WINDOW_US;
        overload_factor(&meter, window, 100, 0, 0, now);
    }
    cr_expect_geq(overload_level(&meter), 1);
}

/* The level is divided by what requests cost at the service: with orders at
 * twice the cost of pages, all orders and few pages fit in half of it. */
Test(level, shares_are_divided_by_cost)
{
    enum {
        ORDERS = 1,
        PAGES
    };
    service_level_table levels = {0};
    shedder_state *shedder = NULL;
    cr_assert_eq(shedder_new(&shedder, &levels, 1), 0);
    downstream_overload order = {SERVICE, 2, 80 * MS};
    downstream_overload page = {SERVICE, 2, 40 * MS};
    service_level_report half = {SERVICE, 0.5, 0, false};
    int64_t now = CLOCK_US_PER_S;
    int orders = 0;
    int pages = 0;
    shedder_record_report(shedder, ORDERS, OTHER, &order, now);
    shedder_record_report(shedder, PAGES, OTHER, &page, now);
    for (int i = 0; i < 300; i++) {
        now += 100 * MS;
        service_level_merge(&levels, &half, now);
        orders += shedder_admit(shedder, ORDERS, 0, NULL, now);
        for (int j = 0; j < 4; j++) {
            pages += shedder_admit(shedder, PAGES, 2, NULL, now);
        }
    }
    double cost = (orders * 80.0 + pages * 40.0) / (300 * (80 + 4 * 40));
    cr_expect_float_eq(cost, 0.5, 0.03, "%.3f", cost);
    cr_expect_geq(orders, 285, "%d", orders);
    service_level_report limit = shedder_get_limit(shedder, PAGES, now);
    cr_expect_eq(limit.service, SERVICE);
    cr_expect_float_eq(limit.level, 0.5, NEAR);
    cr_expect_eq(limit.age_us, 0);
    shedder_free(shedder);
}

#define FAIR_NODES 20
#define FAIR_WORKSPACES 8
#define FAIR_SECONDS 60

typedef struct fair_case {
    const char *name;
    bool told;      /* which workspace sends a request */
    double others;  /* least share of the others' requests that is admitted */
    double hot_max; /* greatest share of the hot workspace's */
} fair_case;

/* Each of twenty nodes sees a few requests a second of eight workspaces, one
 * of which sends seven times as many as each other.  Half of all is admitted:
 * seven tenths of the others' if workspaces are told apart. */
static const fair_case fair_cases[] = {
    {"not told apart", false, 0.45, 0.55},
    {"told apart", true, 0.7, 0.3},
};

Test(level, a_workspace_does_not_crowd_out_others)
{
    for (size_t i = 0; i < COUNT(fair_cases); i++) {
        const fair_case *c = &fair_cases[i];
        int asked[2] = {0};
        int admitted[2] = {0};
        for (uint32_t node = 0; node < FAIR_NODES; node++) {
            service_level_table levels = {0};
            shedder_state *shedder = NULL;
            service_level_report half = {SERVICE, 0.5, 0, false};
            downstream_overload cost = {SERVICE, 2, 80 * MS};
            int64_t now = CLOCK_US_PER_S;
            cr_assert_eq(shedder_new(&shedder, &levels, node), 0);
            shedder_record_report(shedder, 1, OTHER, &cost, now);
            for (int at = 0; at < FAIR_SECONDS * 10; at++) {
                workspace from = {.rate_per_s = 10};
                int turn = at % (2 * (FAIR_WORKSPACES - 1));
                bool hot = turn >= FAIR_WORKSPACES - 1;
                from.id = hot ? 1 : 2 + (uint32_t)turn;
                now += 100 * MS;
                service_level_merge(&levels, &half, now);
                bool admit =
                    shedder_admit(shedder, 1, 0, c->told ? &from : NULL, now);
                if (at >= FAIR_SECONDS * 5) {
                    asked[hot]++;
                    admitted[hot] += admit;
                }
            }
            shedder_free(shedder);
        }
        cr_expect_geq(admitted[0], asked[0] * c->others, "%s: %d of %d",
                      c->name, admitted[0], asked[0]);
        cr_expect_leq(admitted[1], asked[1] * c->hot_max, "%s: %d of %d",
                      c->name, admitted[1], asked[1]);
    }
}

/* More services than the table holds: the entry of the first one is used again,
 * and its route isn't limited by the service that has it now. */
Test(level, an_entry_that_is_used_again_has_no_routes)
{
    enum {
        FIRST_ROUTE = 100
    };
    service_level_table levels = {0};
    shedder_state *shedder = NULL;
    int64_t now = CLOCK_US_PER_S;
    cr_assert_eq(shedder_new(&shedder, &levels, 1), 0);
    for (uint32_t i = 0; i <= SHEDDER_SERVICES_MAX; i++) {
        downstream_overload overload = {SERVICE + i, 2, 40 * MS};
        shedder_record_report(shedder, FIRST_ROUTE + i, OTHER, &overload, now);
    }
    service_level_report low = {SERVICE + SHEDDER_SERVICES_MAX, 0.5, 0, false};
    service_level_merge(&levels, &low, now);
    service_level_report of_last =
        shedder_get_limit(shedder, FIRST_ROUTE + SHEDDER_SERVICES_MAX, now);
    cr_expect_eq(of_last.service, SERVICE + SHEDDER_SERVICES_MAX);
    cr_expect_float_eq(of_last.level, 0.5, NEAR);
    service_level_report of_first =
        shedder_get_limit(shedder, FIRST_ROUTE, now);
    cr_expect_eq(of_first.service, 0);
    cr_expect_eq(of_first.level, 1);
    shedder_free(shedder);
}

typedef struct hop_case {
    const char *levels; /* at the end of the field's value */
    int result;
    int count; /* of levels */
} hop_case;

#define REQUEST "1 2f 1000000 500000 1 7000 0 1 a b 0 0 i-1 -1 "
#define RESPONSE "0 0 1 1 2 3 4 0 1 1 a 1000 100 2f 0 -1 "

/* Levels from older nodes are missing; those that make no sense are rejected
 * with the field. */
static const hop_case request_cases[] = {
    {"", 0, 0},
    {"2500", 0, 0},
    {"2500 7 400 1000", 0, 1},
    {"2500 7 400 1000 8 1200 0", 0, 2},
    {"2500 7 400 1000 8 1200 0 9 100 0", 0, 2},
    {"2500 7 400", 0, 0},
    {"2500 7 400 x", 0, 0},
    {"0", ERR_INVALID, 0},
    {"-4", ERR_INVALID, 0},
    {"2000000", ERR_INVALID, 0},
    {"2500 7 -1 1000", ERR_INVALID, 0},
    {"2500 7 2001 1000", ERR_INVALID, 0},
    {"2500 7 400 -1", ERR_INVALID, 0},
    {"2500 7 400 3600000001", ERR_INVALID, 0},
};

Test(level, levels_in_requests_of_nodes)
{
    for (size_t i = 0; i < COUNT(request_cases); i++) {
        const hop_case *c = &request_cases[i];
        char text[256];
        hop_request request;
        snprintf(text, sizeof(text), "%s%s", REQUEST, c->levels);
        http_str value = {text, strlen(text)};
        cr_expect_eq(hop_read_request(&request, value), c->result, "\"%s\"",
                     c->levels);
        if (c->result == 0) {
            cr_expect_eq(request.levels.count, c->count, "\"%s\"", c->levels);
            cr_expect_float_eq(request.weight, c->levels[0] == 0 ? 1 : 2.5,
                               NEAR, "\"%s\"", c->levels);
        }
    }
}

static const hop_case response_cases[] = {
    {"", 0, 0},
    {"42000 400", 0, 0},
    {"42000 400 7 400 1000", 0, 1},
    {"-1 400", ERR_INVALID, 0},
    {"3600000001 400", ERR_INVALID, 0},
    {"42000 -1", ERR_INVALID, 0},
    {"42000 2001", ERR_INVALID, 0},
    {"42000 400 7 2001 0", ERR_INVALID, 0},
};

Test(level, levels_in_responses_of_nodes)
{
    for (size_t i = 0; i < COUNT(response_cases); i++) {
        const hop_case *c = &response_cases[i];
        char text[256];
        hop_response response;
        snprintf(text, sizeof(text), "%s%s", RESPONSE, c->levels);
        http_str value = {text, strlen(text)};
        cr_expect_eq(hop_read_response(&response, value), c->result, "\"%s\"",
                     c->levels);
        if (c->result == 0) {
            bool sent = c->levels[0] != 0;
            cr_expect_eq(response.levels.count, c->count, "\"%s\"", c->levels);
            cr_expect_float_eq(response.own_level, sent ? 0.4 : 0, NEAR);
            cr_expect_float_eq(response.chain_overload.cost_us,
                               sent ? 42000 : 0, NEAR);
        }
    }
}

/* What a node writes is what another one reads. */
Test(level, levels_are_read_as_written)
{
    hop_request sent = {
        .time_left_us = 1000,
        .objective_us = 1000,
        .peer_port = 1,
        .weight = 2.5,
        .instance = "i-1",
        .levels = {{{SERVICE, 0.25, 900, false}, {OTHER, 1.5, 0, false}}, 2}};
    hop_request got;
    bytebuf out = {0};
    hop_write_request(&out, &sent);
    size_t name = strlen(HOP_HEADER ": ");
    http_str value = {bytebuf_data(&out) + name,
                      bytebuf_length(&out) - name - strlen("\r\n")};
    cr_assert_eq(hop_read_request(&got, value), 0);
    cr_expect_float_eq(got.weight, 2.5, NEAR);
    cr_assert_eq(got.levels.count, 2);
    cr_expect_eq(got.levels.list[0].service, SERVICE);
    cr_expect_float_eq(got.levels.list[0].level, 0.25, NEAR);
    cr_expect_eq(got.levels.list[0].age_us, 900);
    cr_expect_not(got.levels.list[0].direct);
    cr_expect_float_eq(got.levels.list[1].level, 1.5, NEAR);
    bytebuf_clear(&out);
}
