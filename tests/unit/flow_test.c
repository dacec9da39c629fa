/* Tables of cases for routing, instance selection, records of nodes and
 * departed targets. */
#include <criterion/criterion.h>
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "lav/departed_targets.h"
#include "lav/instance.h"
#include "lav/routing.h"
#include "record_json.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

static routing_route
route_to(const char *host, const char *prefix, const char *service)
{
    routing_route route = {.host = (char *)host,
                           .prefix = (char *)prefix,
                           .timeout_us = 1000,
                           .objective_us = 500,
                           .attempts_max = 2,
                           .part_count = 1};
    g_strlcpy(route.parts[0].service, service, SVC_NAME_SIZE);
    route.parts[0].weight = 1;
    return route;
}

typedef struct find_case {
    const char *host;
    const char *path;
    const char *service; /* NULL: no route */
} find_case;

static const find_case find_cases[] = {
    {"a.example", "/x/", "outer"},       {"a.example", "/x/1", "outer"},
    {"a.example", "/x/y/1", "inner"},    {"a.example", "/x/y", "outer"},
    {"a.example", "/x", NULL},           {"a.example", "/X/1", NULL},
    {"A.Example", "/x/1", "outer"},      {"a.example:80", "/x/1", "outer"},
    {"b.example", "/x/1", "other"},      {"c.example", "/x/1", NULL},
    {"a.example", "/z/1", NULL},         {"a.example", "/?/x/1", NULL},
    {"a.example", "/x/?/x/y/", "outer"}, {"a.example", "", NULL},
};

Test(flow, routes_are_found_by_the_longest_prefix)
{
    routing_table *set = NULL;
    routing_limits limits = {1, 1, 1, 1};
    routing_route routes[] = {route_to("a.example", "/x/", "outer"),
                              route_to("a.example", "/x/y/", "inner"),
                              route_to("B.example", "/x/", "other")};
    cr_assert_eq(routing_new(&set, 7, &limits), 0);
    for (size_t i = 0; i < COUNT(routes); i++) {
        cr_assert_eq(routing_add(set, &routes[i]), 0);
    }
    routing_sort(set);
    for (size_t i = 0; i < COUNT(find_cases); i++) {
        const find_case *c = &find_cases[i];
        routing_route *found = routing_find(set, c->host, strlen(c->host),
                                            c->path, strlen(c->path));
        if (c->service == NULL) {
            cr_expect_null(found, "case %zu", i);
        }
        else {
            cr_assert_not_null(found, "case %zu", i);
            cr_expect_str_eq(routing_next_service(found), c->service,
                             "case %zu", i);
        }
    }
    routing_free(set);
}

typedef struct bad_route_case {
    const char *prefix;
    int64_t timeout_us;
    int weight;
    int attempts;
} bad_route_case;

static const bad_route_case bad_route_cases[] = {
    {"", 1, 1, 1},     {"x/", 1, 1, 1},  {"/x", 1, 1, 1},  {"/x/", 0, 1, 1},
    {"/x/", 1, -1, 1}, {"/x/", 1, 0, 1}, {"/x/", 1, 1, 0},
};

Test(flow, routes_out_of_range_are_refused)
{
    routing_table *set = NULL;
    routing_limits limits = {1, 1, 1, 1};
    cr_assert_eq(routing_new(&set, 7, &limits), 0);
    for (size_t i = 0; i < COUNT(bad_route_cases); i++) {
        const bad_route_case *c = &bad_route_cases[i];
        routing_route route = route_to("a", c->prefix, "s");
        route.timeout_us = c->timeout_us;
        route.parts[0].weight = c->weight;
        route.attempts_max = c->attempts;
        cr_expect_lt(routing_add(set, &route), 0, "case %zu", i);
    }
    routing_free(set);
}

typedef struct split_case {
    int weights[3];
    int turns;
    int expected[3];
} split_case;

static const split_case split_cases[] = {
    {{90, 10, 0}, 100, {90, 10, 0}},
    {{1, 1, 1}, 30, {10, 10, 10}},
    {{2, 1, 0}, 3, {2, 1, 0}},
    {{0, 5, 0}, 10, {0, 10, 0}},
};

Test(flow, traffic_follows_the_weights)
{
    for (size_t i = 0; i < COUNT(split_cases); i++) {
        const split_case *c = &split_cases[i];
        routing_route route = route_to("a", "/", "0");
        int taken[3] = {0};
        route.part_count = 3;
        for (int j = 0; j < 3; j++) {
            route.parts[j].weight = c->weights[j];
            route.parts[j].service[0] = (char)('0' + j);
            route.parts[j].service[1] = '\0';
        }
        for (int turn = 0; turn < c->turns; turn++) {
            taken[routing_next_service(&route)[0] - '0']++;
        }
        for (int j = 0; j < 3; j++) {
            cr_expect_eq(taken[j], c->expected[j], "case %zu part %d", i, j);
        }
    }
}

static instance_record
member(const char *node, const char *zone)
{
    instance_record record = {
        .incarnation = 1, .state = INSTANCE_READY, .slots = 10};
    g_strlcpy(record.node, node, INSTANCE_NAME_SIZE);
    g_strlcpy(record.service, "s", SVC_NAME_SIZE);
    g_strlcpy(record.zone, zone, SVC_NAME_SIZE);
    g_strlcpy(record.instance, node, INSTANCE_NAME_SIZE);
    return record;
}

typedef struct pick_case {
    const char *name;
    int busy[2]; /* of 10 slots, in the own zone and in another zone */
    int failures[2];
    bool unreachable[2];
    enum instance_state states[2];
    int expected; /* 0, 1 or INSTANCE_NONE */
    int call_us[2];
} pick_case;

static const pick_case pick_cases[] = {
    {"own zone first", {0, 0}, {0, 0}, {false, false}, {1, 1}, 0, {0, 0}},
    {"stopping node last", {0, 9}, {0, 0}, {false, false}, {2, 1}, 1, {0, 0}},
    {"stopping node if there is no other",
     {0, 0},
     {0, 0},
     {false, false},
     {2, 3},
     0,
     {0, 0}},
    {"own zone while it has free slots",
     {3, 0},
     {0, 0},
     {false, false},
     {1, 1},
     0,
     {0, 0}},
    {"other zone when the own is full",
     {9, 0},
     {0, 0},
     {false, false},
     {1, 1},
     1,
     {0, 0}},
    {"both full: own zone",
     {10, 10},
     {0, 0},
     {false, false},
     {1, 1},
     0,
     {0, 0}},
    {"failing instance avoided",
     {0, 0},
     {500, 0},
     {false, false},
     {1, 1},
     1,
     {0, 0}},
    {"unreachable instance avoided",
     {0, 9},
     {0, 0},
     {true, false},
     {1, 1},
     1,
     {0, 0}},
    {"all unreachable: one is tried",
     {0, 0},
     {0, 0},
     {true, true},
     {1, 1},
     0,
     {0, 0}},
    {"draining instance avoided",
     {0, 9},
     {0, 0},
     {false, false},
     {3, 1},
     1,
     {0, 0}},
    {"node without an instance avoided",
     {0, 9},
     {0, 0},
     {false, false},
     {0, 1},
     1,
     {0, 0}},
    {"slow instance avoided for a fast one in another zone",
     {1, 1},
     {0, 0},
     {false, false},
     {1, 1},
     1,
     {40000, 4000}},
    {"slightly slower: own zone",
     {1, 1},
     {0, 0},
     {false, false},
     {1, 1},
     0,
     {5000, 4000}},
    {"a slow instance before one that fails fast",
     {0, 0},
     {600, 0},
     {false, false},
     {1, 1},
     1,
     {200, 43000}},
    {"one that fails fast while the slow one is full",
     {0, 10},
     {600, 0},
     {false, false},
     {1, 1},
     0,
     {200, 43000}},
    {"a fast instance that fails at times before a slow one",
     {0, 0},
     {300, 0},
     {false, false},
     {1, 1},
     0,
     {200, 43000}},
    {"none available",
     {0, 0},
     {0, 0},
     {false, false},
     {3, 4},
     INSTANCE_NONE,
     {0, 0}},
};

Test(flow, the_least_loaded_instance_in_the_zone_is_chosen)
{
    for (size_t i = 0; i < COUNT(pick_cases); i++) {
        const pick_case *c = &pick_cases[i];
        instance_table *fleet = NULL;
        cr_assert_eq(instance_new(&fleet, 1), 0);
        instance_record records[] = {member("n0", "here"),
                                     member("n1", "there")};
        for (int j = 0; j < 2; j++) {
            records[j].state = c->states[j] <= INSTANCE_STOPPING
                                   ? INSTANCE_READY
                                   : c->states[j];
            cr_assert(instance_update(fleet, &records[j]));
            instance_load_report report = {
                c->busy[j],    10,  c->failures[j], c->states[j],
                c->call_us[j], {0}, false,          0};
            instance_set_load(fleet, j, &report, 1000);
            if (c->unreachable[j]) {
                instance_mark_unreachable(fleet, j, 1000 + j);
            }
        }
        instance_query choice = {.service = "s", .zone = "here"};
        cr_expect_eq(instance_pick(fleet, &choice, 1001), c->expected, "%s",
                     c->name);
        instance_free(fleet);
    }
}

#define WORK_US 50000 /* that a call takes at the instances below */

/* An instance that has failed calls gets others again after a while, though
 * nothing more was heard of it, where instances tell what a call takes. */
Test(flow, failures_reported_long_ago_count_for_less)
{
    instance_table *fleet = NULL;
    instance_query choice = {.service = "s", .zone = "here"};
    instance_record records[] = {member("n0", "here"), member("n1", "here")};
    instance_load_report failing = {.limit = 10,
                                    .failures_permille = 550,
                                    .state = INSTANCE_READY,
                                    .work_us = WORK_US};
    instance_load_report busy = {
        .busy = 6, .limit = 10, .state = INSTANCE_READY, .work_us = WORK_US};
    int64_t later = 20 * INSTANCE_REPORT_MAX_AGE_US;
    cr_assert_eq(instance_new(&fleet, 1), 0);
    cr_assert(instance_update(fleet, &records[0]) &&
              instance_update(fleet, &records[1]));
    instance_set_load(fleet, 0, &failing, 1000);
    instance_set_load(fleet, 1, &busy, 1000);
    cr_expect_eq(instance_pick(fleet, &choice, 1000), 1);
    instance_set_load(fleet, 1, &busy, later);
    cr_expect_eq(instance_pick(fleet, &choice, later), 0);
    instance_free(fleet);
}

/* An unreachable instance is chosen only if there is no other, without time
 * limit, until a probe has reached its node. */
Test(flow, a_lost_instance_waits_until_it_is_found)
{
    instance_table *fleet = NULL;
    instance_query choice = {.service = "s", .zone = "here"};
    instance_record records[] = {member("n0", "here"), member("n1", "there")};
    cr_assert_eq(instance_new(&fleet, 1), 0);
    cr_assert(instance_update(fleet, &records[0]) &&
              instance_update(fleet, &records[1]));
    instance_load_report full = {10, 10, 0, INSTANCE_READY, 0, {0}, false, 0};
    instance_set_load(fleet, 1, &full, 1000);
    cr_expect_eq(instance_pick(fleet, &choice, 1000), 0);
    instance_mark_unreachable(fleet, 0, 1000);
    cr_expect_eq(instance_pick(fleet, &choice, 1000), 1);
    cr_expect_eq(instance_pick(fleet, &choice, 60000000), 1);
    instance_query again =
        choice; /* the reachable one was tried: no fallback */
    again.tried[again.tried_count++] = 1;
    cr_expect_eq(instance_pick(fleet, &again, 60000000), INSTANCE_NONE);
    cr_expect_eq(instance_next_to_probe(fleet, 1000),
                 INSTANCE_NONE); /* only after the backoff */
    cr_expect_eq(instance_next_to_probe(fleet, 1000 + INSTANCE_BACKOFF_MIN_US),
                 0);
    cr_expect_eq(instance_next_to_probe(fleet, 1000 + INSTANCE_BACKOFF_MIN_US),
                 INSTANCE_NONE);
    cr_expect_eq(instance_unreachable_for_us(fleet, 0, 5000), 4000);
    cr_expect_eq(instance_unreachable_for_us(fleet, 0, 1000), 0);
    instance_mark_reachable(fleet, 0);
    cr_expect_eq(instance_unreachable_for_us(fleet, 0, 6000), -1);
    cr_expect_eq(instance_pick(fleet, &choice, 60000000), 0);
    instance_free(fleet);
}

/* A node is silent from a call that doesn't reach it, or an unanswered probe,
 * until a probe is answered; not if it answered for another instance. */
Test(flow, a_node_that_answers_for_another_instance_is_not_silent)
{
    enum event {
        REPLACED,
        UNREACHABLE,
        PROBE_LOST,
        FOUND
    };
    static const struct {
        enum event events[2];
        bool silent;
        bool gets_calls;
        bool probed_at_once;
    } cases[] = {
        {{REPLACED, REPLACED}, false, false, false},
        {{REPLACED, PROBE_LOST}, true, false, true},
        {{REPLACED, UNREACHABLE}, true, false, false},
        {{UNREACHABLE, UNREACHABLE}, true, false, false},
        {{UNREACHABLE, REPLACED}, false, false, false},
        {{UNREACHABLE, FOUND}, false, true, false},
        {{REPLACED, FOUND}, false, true, false},
    };
    for (size_t i = 0; i < COUNT(cases); i++) {
        instance_table *fleet = NULL;
        instance_record record = member("n0", "here");
        cr_assert_eq(instance_new(&fleet, 1), 0);
        cr_assert(instance_update(fleet, &record));
        for (int j = 0; j < 2; j++) {
            switch (cases[i].events[j]) {
            case REPLACED:
                instance_mark_replaced(fleet, 0, 1000);
                break;
            case UNREACHABLE:
                instance_mark_unreachable(fleet, 0, 1000);
                break;
            case PROBE_LOST:
                instance_note_silent(fleet, 0);
                break;
            case FOUND:
                instance_mark_reachable(fleet, 0);
                break;
            }
        }
        cr_expect_eq(instance_is_node_silent(fleet, 0), cases[i].silent, "%zu",
                     i);
        cr_expect_eq(instance_unreachable_for_us(fleet, 0, 2000) < 0,
                     cases[i].gets_calls, "%zu", i);
        cr_expect_eq(instance_next_to_probe(fleet, 1000) == 0,
                     cases[i].probed_at_once, "%zu", i);
        instance_free(fleet);
    }
}

typedef struct retries_case {
    bool refused[2]; /* as the instances of the service reported */
    int64_t age_us;  /* of the reports */
    bool retry;
    int expected;
    bool taken; /* by any of them */
} retries_case;

/* The first instance is the cheaper one. */
static const retries_case retries_cases[] = {
    {{false, false}, 1000, true, 0, true},
    {{true, false}, 1000, false, 0, true},
    {{true, false}, 1000, true, 1, true},
    {{true, true}, 1000, false, 0, false},
    {{true, true}, 1000, true, INSTANCE_NONE, false},
    {{true, true}, INSTANCE_NO_RETRIES_MAX_AGE_US + 1, true, 0, true},
};

Test(flow, retries_go_to_instances_that_take_them)
{
    for (size_t i = 0; i < COUNT(retries_cases); i++) {
        const retries_case *c = &retries_cases[i];
        instance_table *fleet = NULL;
        cr_assert_eq(instance_new(&fleet, 1), 0);
        instance_record records[] = {member("n0", "here"),
                                     member("n1", "there")};
        for (int j = 0; j < 2; j++) {
            cr_assert(instance_update(fleet, &records[j]));
            instance_load_report report = {.limit = 10,
                                           .state = INSTANCE_READY,
                                           .no_retries = c->refused[j]};
            instance_set_load(fleet, j, &report, 1000);
        }
        instance_query query = {
            .service = "s", .zone = "here", .retry = c->retry};
        cr_expect_eq(instance_pick(fleet, &query, 1000 + c->age_us),
                     c->expected, "case %zu", i);
        cr_expect_eq(
            instance_service_takes_retries(fleet, "s", 1000 + c->age_us),
            c->taken, "case %zu", i);
        cr_expect(instance_service_takes_retries(fleet, "none", 1000));
        instance_free(fleet);
    }
}

typedef struct merge_case {
    uint64_t incarnation;
    uint64_t sequence;
    bool taken;
} merge_case;

static const merge_case merge_cases[] = {
    {5, 4, false}, {5, 5, false}, {4, 9, false}, {5, 6, true}, {6, 0, true}};

Test(flow, an_older_record_of_a_node_is_ignored)
{
    for (size_t i = 0; i < COUNT(merge_cases); i++) {
        instance_table *fleet = NULL;
        instance_record record = member("n", "z");
        cr_assert_eq(instance_new(&fleet, 1), 0);
        record.incarnation = 5;
        record.sequence = 5;
        cr_assert(instance_update(fleet, &record));
        record.incarnation = merge_cases[i].incarnation;
        record.sequence = merge_cases[i].sequence;
        cr_expect_eq(instance_update(fleet, &record), merge_cases[i].taken,
                     "case %zu", i);
        instance_free(fleet);
    }
}

Test(flow, a_record_round_trips_through_json)
{
    err e = ERR_INIT;
    instance_record record = member("n", "z");
    instance_record read;
    record.ip = htonl(0x0a010203);
    record.port = htons(80);
    record.born_ms = 5;
    json_t *json = record_json_encode(&record);
    cr_assert_eq(record_json_decode(&read, json, &e), 0, "%s", e.message);
    json_t *again = record_json_encode(&read);
    cr_expect(json_equal(json, again));
    json_decref(again);
    json_object_del(json, "peer");
    cr_expect_lt(record_json_decode(&read, json, &e), 0);
    json_object_set_new(json, "peer", json_integer(5));
    cr_expect_lt(record_json_decode(&read, json, &e), 0);
    json_object_set_new(json, "peer", json_string("1.2.3:x"));
    cr_expect_lt(record_json_decode(&read, json, &e), 0);
    json_decref(json);
}

typedef struct departure_case {
    const char *instance;
    int64_t born_ms;
    bool left;
} departure_case;

/* "a" announced its departure at 1000, "b" at 2000. */
static const departure_case departure_cases[] = {
    {"a", 10, true},  {"a", 1000, true}, {"a", 1001, false}, {"b", 1500, true},
    {"c", 10, false}, {"", 10, false},   {"ab", 10, false},
};

Test(flow, a_target_that_left_stays_gone)
{
    departed_targets d = {0};
    departed_targets_add(&d, "a", 1000);
    departed_targets_add(&d, "b", 2000);
    for (size_t i = 0; i < COUNT(departure_cases); i++) {
        const departure_case *c = &departure_cases[i];
        cr_expect_eq(departed_targets_contains(&d, c->instance, c->born_ms),
                     c->left, "case %zu", i);
    }
    for (int i = 0; i < DEPARTED_TARGETS_MAX; i++) {
        departed_targets_add(&d, "c", 3000 + i);
    }
    cr_expect_not(departed_targets_contains(
        &d, "a", 10)); /* the oldest entry is evicted */
    cr_expect(departed_targets_contains(&d, "c", 3000));
}
