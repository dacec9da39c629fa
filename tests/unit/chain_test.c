/* Requests that make many calls to one service: how many of them are admitted
 * while that service refuses a part of the calls. */
#include <criterion/criterion.h>
#include <stdio.h>

#include "lav/chain_level.h"
#include "lav/chain_retries.h"
#include "lav/clock.h"
#include "lav/shedder.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define MS CLOCK_US_PER_MS
#define NEAR 1e-6

enum {
    DEEP = 7,
    TOP = 8
};

/* Routes: two chains that call the deep service, and one that runs there. */
enum {
    ORDER = 1,
    PAGE,
    DIRECT
};

typedef struct chain_case {
    const char *name;
    double failed; /* share of the attempts */
    int calls;     /* in a window */
    double left;   /* retries in the budget */
    double from;   /* the level lies between these */
    double to;
} chain_case;

static const chain_case chain_cases[] = {
    {"all calls are served", 0, 100, 0, SERVICE_LEVEL_MAX, SERVICE_LEVEL_MAX},
    {"calls earn what they need", 0.15, 100, 0, SERVICE_LEVEL_MAX,
     SERVICE_LEVEL_MAX},
    {"a quarter fails, many retries", 0.25, 100, 900, SERVICE_LEVEL_MAX,
     SERVICE_LEVEL_MAX},
    {"half fails, many retries", 0.5, 100, 900, 1, SERVICE_LEVEL_MAX},
    {"half fails, enough for the begun and some", 0.5, 100, 500, 0.2, 0.3},
    {"half fails, enough for the begun", 0.5, 100, 400, SERVICE_LEVEL_MIN,
     SERVICE_LEVEL_MIN},
    {"half fails, few calls are enough", 0.5, 10, 100, 1, SERVICE_LEVEL_MAX},
    {"half fails, none left", 0.5, 100, 0, SERVICE_LEVEL_MIN,
     SERVICE_LEVEL_MIN},
    {"all fail", 1, 100, 900, SERVICE_LEVEL_MIN, SERVICE_LEVEL_MIN},
};

/* Plays a window in which a share of the attempts fails without a retry.
 * Returns the level. */
static double
play_window(chain_retries_meter *meter, int calls, double failed,
            const chain_retries_state *state, int64_t *now)
{
    for (int call = 0; call < calls; call++) {
        chain_retries_count_call(meter);
        if (call < failed * calls) {
            chain_retries_count_failure(meter, false);
        }
    }
    *now += CHAIN_RETRIES_WINDOW_US;
    return chain_retries_is_due(meter, *now)
               ? chain_retries_close_window(meter, state, *now)
               : -1;
}

/* Callers admit as many as find retries, with a budget of 0.2 a call. */
Test(chain, levels_follow_the_retries_that_are_left)
{
    for (size_t i = 0; i < COUNT(chain_cases); i++) {
        const chain_case *c = &chain_cases[i];
        chain_retries_meter meter = {.since_us = CLOCK_US_PER_S};
        chain_retries_state state = {1, c->left, 0.2};
        int64_t now = CLOCK_US_PER_S;
        double level = 0;
        for (int window = 0; window < 30; window++) {
            level = play_window(&meter, c->calls, c->failed, &state, &now);
        }
        cr_expect_geq(level, c->from - NEAR, "%s: %.3f", c->name, level);
        cr_expect_leq(level, c->to + NEAR, "%s: %.3f", c->name, level);
    }
}

/* A fault and its end are followed within two windows, also by what little is
 * still admitted; fewer attempts tell nothing. */
Test(chain, levels_follow_a_change_at_once)
{
    chain_retries_meter meter = {.since_us = CLOCK_US_PER_S};
    chain_retries_state state = {1, 0, 0.2};
    int64_t now = CLOCK_US_PER_S;
    for (int window = 0; window < 10; window++) {
        play_window(&meter, 100, 0, &state, &now);
    }
    double level = play_window(&meter, 100, 0.55, &state, &now);
    cr_expect_float_eq(level, SERVICE_LEVEL_MIN, NEAR, "%.3f", level);
    state.level = SERVICE_LEVEL_MIN;
    for (int window = 0; window < 10; window++) {
        play_window(&meter, 16, 0.55, &state, &now);
    }
    play_window(&meter, 16, 0, &state, &now);
    level = play_window(&meter, 16, 0, &state, &now);
    cr_expect_float_eq(level, SERVICE_LEVEL_MAX, NEAR, "%.3f", level);
    cr_expect_lt(
        play_window(&meter, CHAIN_RETRIES_ATTEMPTS_MIN - 1, 1, &state, &now),
        0);
}

/* One caller in ten that finds no retries doesn't limit all, as one target that
 * refuses once did; nor does one that has some let all in. */
Test(chain, levels_of_callers_are_averaged)
{
    for (int few = 0; few <= 1; few++) {
        service_level_table nodes[10] = {0};
        int64_t now = CLOCK_US_PER_S;
        double mean = 0;
        int told = 0;
        for (int step = 0; step < 400; step++) {
            int at = step % 10;
            bool limits = few ? at == 0 : at != 0;
            now += 10 * MS;
            service_level_merge_caller(
                &nodes[at], DEEP,
                limits ? SERVICE_LEVEL_MIN : SERVICE_LEVEL_MAX, now);
            for (int to = 0; to < 10; to++) {
                service_level_report report[1];
                if (to != at &&
                    service_level_list(report, 1, &nodes[at], 0, now) > 0) {
                    service_level_merge(&nodes[to], report, now);
                }
            }
            if (step >= 200) {
                mean += service_level_get(&nodes[5], DEEP, now);
                told++;
            }
        }
        mean /= told;
        cr_expect_geq(mean, few ? 0.7 : SERVICE_LEVEL_MIN, "%d: %.3f", few,
                      mean);
        cr_expect_leq(mean, few ? 1 : 0.15, "%d: %.3f", few, mean);
    }
}

/* Routes that cease to name a service are no longer limited by it, and those who
 * are hardly admitted are told to return later, where whole chains are admitted;
 * elsewhere nothing changes. */
Test(chain, routes_are_unbound_by_their_reports)
{
    for (int whole = 0; whole <= 1; whole++) {
        service_level_table levels = {0};
        shedder_state *shedder = NULL;
        cr_assert_eq(shedder_new(&shedder, &levels, 1), 0);
        shedder_set_whole(shedder, whole);
        downstream_overload deep = {DEEP, 4, 40 * MS};
        downstream_overload own = {TOP, 0.5, 40 * MS};
        service_level_report low = {DEEP, 0.1, 0, false};
        int64_t now = CLOCK_US_PER_S;
        service_level_merge(&levels, &low, now);
        shedder_record_report(shedder, PAGE, TOP, &deep, now);
        now += SHEDDER_PERIOD_US;
        shedder_admit(shedder, PAGE, 2, NULL, now);
        double limited = shedder_get_share(shedder, PAGE, 2);
        cr_expect_float_eq(limited, whole ? 0.1 : 1, NEAR, "%.3f", limited);
        for (int i = 0; i < 10; i++) {
            shedder_record_report(shedder, PAGE, TOP, &own, now);
        }
        uint32_t service = shedder_get_limit(shedder, PAGE, now).service;
        cr_expect_eq(service, whole ? 0 : DEEP);
        shedder_free(shedder);
    }
}

typedef struct admit_case {
    const char *name;
    double service; /* levels; 0: none is known */
    double chains;
    double order[2]; /* admitted shares lie between these */
    double page[2];
    double direct[2];
} admit_case;

/* An order takes twice the time of a page. */
static const admit_case admit_cases[] = {
    {"no level", 0, 0, {1, 1}, {1, 1}, {1, 1}},
    {"chains only", 1, 0.25, {0.28, 0.32}, {0.03, 0.03}, {1, 1}},
    {"no retries", 1, SERVICE_LEVEL_MIN, {0.03, 0.03}, {0.03, 0.03}, {1, 1}},
    {"slots only", 0.5, 1, {0.77, 0.83}, {0.18, 0.22}, {0.18, 0.22}},
    {"both", 0.5, 0.25, {0.28, 0.32}, {0, 0.03}, {0.18, 0.35}},
};

/* Requests that run at the service itself are not limited as chains are, and a
 * priority is admitted no less than a lesser one of the same chain. */
Test(chain, only_requests_that_call_the_service_are_limited)
{
    for (size_t i = 0; i < COUNT(admit_cases); i++) {
        const admit_case *c = &admit_cases[i];
        service_level_table levels = {0};
        shedder_state *shedder = NULL;
        cr_assert_eq(shedder_new(&shedder, &levels, 1), 0);
        downstream_overload cost[] = {{DEEP, 2, 80 * MS}, {DEEP, 2, 40 * MS}};
        int admitted[DIRECT + 1] = {0};
        int64_t now = CLOCK_US_PER_S;
        for (int report = 0; report < 3; report++) {
            shedder_record_report(shedder, ORDER, TOP, &cost[0], now);
            shedder_record_report(shedder, PAGE, TOP, &cost[1], now);
            shedder_record_report(shedder, DIRECT, DEEP, &cost[1], now);
        }
        for (int step = 0; step < 400; step++) {
            service_level_report reports[] = {
                {DEEP, c->service, 0, false},
                {chain_level_key(DEEP), c->chains, 0, false}};
            now += 100 * MS;
            for (size_t j = 0; j < COUNT(reports) && c->chains > 0; j++) {
                service_level_merge(&levels, &reports[j], now);
            }
            admitted[ORDER] += shedder_admit(shedder, ORDER, 0, NULL, now);
            admitted[PAGE] += shedder_admit(shedder, PAGE, 2, NULL, now);
            admitted[DIRECT] += shedder_admit(shedder, DIRECT, 2, NULL, now);
        }
        const double *bounds[] = {c->order, c->page, c->direct};
        for (int route = ORDER; route <= DIRECT; route++) {
            double share = admitted[route] / 400.0;
            cr_expect_geq(share, bounds[route - 1][0] - 0.02,
                          "%s: route %d: %.3f", c->name, route, share);
            cr_expect_leq(share, bounds[route - 1][1] + 0.02,
                          "%s: route %d: %.3f", c->name, route, share);
        }
        cr_expect_geq(admitted[ORDER], admitted[PAGE], "%s", c->name);
        shedder_free(shedder);
    }
}

typedef struct named_case {
    const char *name;
    int reports;
    int every; /* one in so many names the deep service */
    bool limited;
} named_case;

static const named_case named_cases[] = {
    {"never named", 30, 31, false},
    {"named by one report", 1, 1, false},
    {"named by one in three", 30, 3, false},
    {"named by all", 3, 1, true},
};

/* Requests that some reports take for chains are not limited as such: hardly
 * any would be admitted, and no report would follow that corrects it. */
Test(chain, reports_must_agree_on_a_chain)
{
    for (size_t i = 0; i < COUNT(named_cases); i++) {
        const named_case *c = &named_cases[i];
        service_level_table levels = {0};
        shedder_state *shedder = NULL;
        cr_assert_eq(shedder_new(&shedder, &levels, 1), 0);
        shedder_set_whole(shedder, true);
        int64_t now = CLOCK_US_PER_S;
        service_level_report low = {chain_level_key(DEEP), SERVICE_LEVEL_MIN,
                                    0, false};
        service_level_merge(&levels, &low, now);
        downstream_overload deep = {DEEP, 4, 40 * MS};
        downstream_overload own = {TOP, 0.5, 40 * MS};
        for (int report = 1; report <= c->reports; report++) {
            bool names = report % c->every == 0;
            shedder_record_report(shedder, PAGE, TOP, names ? &deep : &own,
                                  now);
        }
        int admitted = 0;
        for (int step = 0; step < 100; step++) {
            now += MS;
            admitted += shedder_admit(shedder, PAGE, 2, NULL, now);
        }
        cr_expect(c->limited ? admitted < 10 : admitted == 100, "%s: %d",
                  c->name, admitted);
        shedder_free(shedder);
    }
}
