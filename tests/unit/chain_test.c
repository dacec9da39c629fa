/* Requests that make many calls to one service: how many of them are admitted
 * while that service refuses a part of the calls. */
#include <criterion/criterion.h>
#include <stdio.h>

#include "lav/chain_level.h"
#include "lav/proxycfg.h"
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
    double refused; /* share of the calls */
    int calls;      /* in a window */
    double from;    /* the level lies between these */
    double to;
} chain_case;

static const chain_case chain_cases[] = {
    {"all calls are served", 0, 100, SERVICE_LEVEL_MAX, SERVICE_LEVEL_MAX},
    {"retries for all", 0.05, 100, 1, SERVICE_LEVEL_MAX},
    {"usual retries do", 0.2, 100, 1, SERVICE_LEVEL_MAX},
    {"three tenths are refused", 0.3, 100, 0.17, 0.2},
    {"half is refused", 0.5, 100, 0.07, 0.09},
    {"all calls are refused", 1, 100, SERVICE_LEVEL_MIN, SERVICE_LEVEL_MIN},
    {"too few calls to tell", 1, 1, SERVICE_LEVEL_MIN, SERVICE_LEVEL_MIN},
};

/* Plays 30 windows with a budget of 0.2 retries a call. */
Test(chain, levels_follow_the_retries_that_calls_need)
{
    for (size_t i = 0; i < COUNT(chain_cases); i++) {
        const chain_case *c = &chain_cases[i];
        chain_level_meter meter = {0};
        int64_t now = CLOCK_US_PER_S;
        int closed = 0;
        for (int window = 0; window < 30; window++) {
            for (int call = 0; call < c->calls; call++) {
                chain_level_count_end(&meter, call < c->refused * c->calls);
            }
            now += CHAIN_LEVEL_WINDOW_US;
            closed += chain_level_close_window(&meter, now);
        }
        double level = chain_level_get(&meter, 0.2);
        cr_expect_geq(level, c->from - NEAR, "%s: %.3f", c->name, level);
        cr_expect_leq(level, c->to + NEAR, "%s: %.3f", c->name, level);
        cr_expect_eq(closed, c->calls >= CHAIN_LEVEL_CALLS_MIN ? 30 : 3, "%s",
                     c->name);
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
    {"chains only", 1, 0.25, {0.35, 0.4}, {0, 0}, {1, 1}},
    {"slots only", 0.5, 1, {0.77, 0.83}, {0.18, 0.22}, {0.18, 0.22}},
    {"both", 0.5, 0.25, {0.3, 0.4}, {0, 0}, {0.18, 0.3}},
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
        shedder_record_report(shedder, ORDER, TOP, &cost[0], now);
        shedder_record_report(shedder, PAGE, TOP, &cost[1], now);
        shedder_record_report(shedder, DIRECT, DEEP, &cost[1], now);
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

typedef struct setting_case {
    const char *lines; /* of the settings file */
    bool valid;
    bool whole;
} setting_case;

static const setting_case setting_cases[] = {
    {"", true, false},
    {"[admission]\n", true, false},
    {"[admission]\nwhole_requests = false\n", true, false},
    {"[admission]\nwhole_requests = true\n", true, true},
    {"[admission]\nwhole_requests = \"true\"\n", false, false},
    {"[admission]\nwhole_request = true\n", false, false},
};

/* Chains are admitted whole only where the settings say so. */
Test(chain, settings)
{
    for (size_t i = 0; i < COUNT(setting_cases); i++) {
        const setting_case *c = &setting_cases[i];
        char text[1024];
        err e = ERR_INIT;
        proxycfg settings;
        snprintf(text, sizeof(text),
                 "[node]\nname = \"n\"\nzone = \"z\"\n[addresses]\n"
                 "callers = \"127.0.0.1:1\"\npeers = \"127.0.0.1:2\"\n"
                 "control = \"127.0.0.1:3\"\nready = \"127.0.0.1:4\"\n"
                 "store = \"127.0.0.1:5\"\n[target]\nservice = \"s\"\n"
                 "address = \"127.0.0.1:6\"\n%s",
                 c->lines);
        int result = proxycfg_parse(&settings, text, "settings", &e);
        cr_assert_eq(result == 0, c->valid, "case %zu: %s", i, e.message);
        if (c->valid) {
            cr_expect_eq(settings.whole_requests, c->whole, "case %zu", i);
        }
    }
}
