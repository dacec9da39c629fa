/* Decoding of the platform's messages: valid, invalid and random input. */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "platform_desired.h"
#include "platform_server.h"
#include "platform_values.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

typedef struct duration_case {
    const char *text;
    int64_t us; /* -1: not a duration */
} duration_case;

static const duration_case duration_cases[] = {
    {"1500ms", 1500000}, {"2.5s", 2500000}, {"0ms", 0},    {"", -1},
    {"ms", -1},          {"5", -1},         {"5m", -1},    {"-1s", -1},
    {"5 s", -1},         {"5sx", -1},       {"1e99s", -1}, {"nans", -1}};

Test(platform, durations)
{
    for (size_t i = 0; i < COUNT(duration_cases); i++) {
        int64_t us = -1;
        platform_parse_duration_text(&us, duration_cases[i].text);
        cr_expect_eq(us, duration_cases[i].us, "%s", duration_cases[i].text);
    }
}

#define LIMITS                                                                \
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":100,"          \
    "\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"}"
#define ROUTE                                                                 \
    "{\"host\":\"h\",\"path_prefix\":\"/p/\",\"route_type\":\"idempotent\","  \
    "\"timeout\":\"800ms\",\"target_latency\":\"1500ms\",\"priority\":2,"     \
    "\"max_attempts\":2,\"service\":\"s\"}"

typedef struct desired_case {
    const char *text;
    bool valid;
} desired_case;

static const desired_case desired_cases[] = {
    {"{\"version\":\"0000000c\",\"routes\":[" ROUTE "]," LIMITS "}", true},
    {"{\"version\":\"0000000c\",\"routes\":[]," LIMITS "}", true},
    {"{\"version\":12,\"routes\":[]," LIMITS "}", false},
    {"{\"version\":\"00000000\",\"routes\":[]," LIMITS "}", false},
    {"{\"version\":\"xyz\",\"routes\":[]," LIMITS "}", false},
    {"{\"version\":\"0000000c\"," LIMITS "}", false},
    {"{\"version\":\"0000000c\",\"routes\":[]}", false},
    {"{\"version\":\"0000000c\",\"routes\":[5]," LIMITS "}", false},
    {"{\"version\":\"0000000c\",\"routes\":[{}]," LIMITS "}", false},
    {"{\"version\":\"0000000c\",\"routes\":[" ROUTE, false},
    {"", false},
    {"[]", false},
    {"null", false},
};

Test(platform, desired_states)
{
    for (size_t i = 0; i < COUNT(desired_cases); i++) {
        err e = ERR_INIT;
        routing_table *set = NULL;
        const char *text = desired_cases[i].text;
        int result = platform_desired_decode(&set, text, strlen(text), &e);
        cr_expect_eq(result == 0, desired_cases[i].valid, "case %zu: %s", i,
                     e.message);
        routing_free(set);
    }
}

typedef struct health_case {
    const char *services;
    const char *path; /* of service "s" */
} health_case;

/* An invalid health path is ignored; the routes are still accepted. */
static const health_case health_cases[] = {
    {"[{\"name\":\"s\",\"health_path\":\"/up\"}]", "/up"},
    {"[{\"name\":\"t\",\"health_path\":\"/up\"}]", NULL},
    {"[{\"name\":\"s\"}]", NULL},
    {"[{\"name\":\"s\",\"health_path\":5}]", NULL},
    {"[{\"name\":5,\"health_path\":\"/up\"}]", NULL},
    {"[{\"name\":\"s\",\"health_path\":\"up\"}]", NULL},
    {"[{\"name\":\"s\",\"health_path\":\"/a b\"}]", NULL},
    {"[{\"name\":\"s\",\"health_path\":\"/a\\r\\nX: y\"}]", NULL},
    {"[5]", NULL},
    {"{}", NULL},
    {"null", NULL},
};

Test(platform, health_paths)
{
    for (size_t i = 0; i < COUNT(health_cases); i++) {
        err e = ERR_INIT;
        routing_table *set = NULL;
        char text[1024];
        int size = snprintf(text, sizeof(text),
                            "{\"version\":\"0c\",\"routes\":[" ROUTE
                            "]," LIMITS ",\"services\":%s}",
                            health_cases[i].services);
        cr_assert_eq(platform_desired_decode(&set, text, (size_t)size, &e), 0);
        const char *path = routing_health_path(set, "s");
        const char *expected = health_cases[i].path;
        cr_expect(expected == NULL
                      ? path == NULL
                      : path != NULL && strcmp(path, expected) == 0,
                  "case %zu", i);
        routing_free(set);
    }
}

Test(platform, an_unknown_route_type_gets_one_attempt)
{
    err e = ERR_INIT;
    routing_table *set = NULL;
    const char *text =
        "{\"version\":\"0c\",\"routes\":[{\"host\":\"h\",\"path_prefix\":"
        "\"/\",\"route_type\":\"unheard_of\",\"timeout\":\"1s\","
        "\"traffic_split\":[{\"service\":\"a\",\"weight\":3},"
        "{\"service\":\"b\",\"weight\":1}]}]," LIMITS "}";
    cr_assert_eq(platform_desired_decode(&set, text, strlen(text), &e), 0);
    routing_route *route = routing_find(set, "h", 1, "/", 1);
    cr_assert_not_null(route);
    cr_expect_not(route->idempotent);
    cr_expect_eq(route->part_count, 2);
    cr_expect_eq(route->attempts_max, 1);
    routing_free(set);
}

/* The reader of a desired state takes the workspaces as a whole or refuses
 * all of it. */
#define WORKSPACE(name, keys)                                                 \
    "{\"name\":\"" name "\",\"api_keys\":[" keys "],\"priority\":1,"          \
    "\"rate_per_s\":34.5,\"burst\":20}"

typedef struct workspaces_case {
    const char *text; /* list of workspaces */
    int count;        /* -1: refused */
} workspaces_case;

static const workspaces_case workspaces_cases[] = {
    {"[]", 0},
    {"[" WORKSPACE("a", "\"k1\",\"k2\"") "," WORKSPACE("b", "\"k3\"") "]", 2},
    {"[" WORKSPACE("a", "\"k1\",\"k1\"") "]", 1},
    {"[" WORKSPACE("a", "") "]", 1},
    {"[{\"name\":\"a\",\"api_keys\":[\"k\"]}]", 1},
    {"[{\"name\":\"a\",\"api_keys\":[\"k\"],\"rate_per_s\":0}]", 1},
    {"[" WORKSPACE("a", "\"k1\"") "," WORKSPACE("b", "\"k1\"") "]", -1},
    {"[" WORKSPACE("a", "\"k1\"") "," WORKSPACE("a", "\"k2\"") "]", -1},
    {"[" WORKSPACE("a", "\"k1\"") ",5]", -1},
    {"[" WORKSPACE("", "\"k1\"") "]", -1},
    {"[" WORKSPACE("a\\r\\nX: y", "\"k1\"") "]", -1},
    {"[" WORKSPACE(" a", "\"k1\"") "]", -1},
    {"[" WORKSPACE("a\\u0000b", "\"k1\"") "]", -1},
    {"[" WORKSPACE("a", "\"\"") "]", -1},
    {"[" WORKSPACE("a", "\"k 1\"") "]", -1},
    {"[" WORKSPACE("a", "5") "]", -1},
    {"[" WORKSPACE("a", "null") "]", -1},
    {"[{\"api_keys\":[\"k\"]}]", -1},
    {"[{\"name\":\"a\"}]", -1},
    {"[{\"name\":5,\"api_keys\":[]}]", -1},
    {"[{\"name\":\"a\",\"api_keys\":\"k\"}]", -1},
    {"[{\"name\":\"a\",\"api_keys\":[],\"priority\":-1}]", -1},
    {"[{\"name\":\"a\",\"api_keys\":[],\"priority\":\"1\"}]", -1},
    {"[{\"name\":\"a\",\"api_keys\":[],\"rate_per_s\":-1}]", -1},
    {"[{\"name\":\"a\",\"api_keys\":[],\"rate_per_s\":\"9\"}]", -1},
    {"[{\"name\":\"a\",\"api_keys\":[],\"burst\":null}]", -1},
    {"{}", -1},
    {"null", -1},
    {"\"a\"", -1},
};

Test(platform, workspaces)
{
    for (size_t i = 0; i < COUNT(workspaces_cases); i++) {
        err e = ERR_INIT;
        routing_table *set = NULL;
        const workspaces_case *c = &workspaces_cases[i];
        char text[1024];
        int size = snprintf(text, sizeof(text),
                            "{\"version\":\"0c\",\"routes\":[" ROUTE
                            "]," LIMITS ",\"tenants\":%s}",
                            c->text);
        int result = platform_desired_decode(&set, text, (size_t)size, &e);
        cr_assert_eq(result == 0, c->count >= 0, "case %zu: %s", i, e.message);
        cr_expect_null(strstr(e.message, "k1"), "%s", e.message);
        if (result == 0) {
            const workspace_table *table = routing_get_workspaces(set);
            cr_assert_not_null(table, "case %zu", i);
            cr_expect_eq((int)workspace_count(table), c->count, "case %zu", i);
        }
        routing_free(set);
    }
}

Test(platform, a_desired_state_without_workspaces)
{
    err e = ERR_INIT;
    routing_table *set = NULL;
    const char *text = desired_cases[0].text;
    cr_assert_eq(platform_desired_decode(&set, text, strlen(text), &e), 0);
    cr_expect_null(routing_get_workspaces(set));
    routing_free(set);
}

Test(platform, keys_of_workspaces)
{
    err e = ERR_INIT;
    routing_table *set = NULL;
    const char *text =
        "{\"version\":\"0c\",\"routes\":[" ROUTE "]," LIMITS ",\"tenants\":"
        "[" WORKSPACE("a", "\"k1\",\"k2\"") "," WORKSPACE("b", "\"k3\"") "]}";
    cr_assert_eq(platform_desired_decode(&set, text, strlen(text), &e), 0);
    const workspace_table *table = routing_get_workspaces(set);
    const workspace *a = workspace_find_key(table, "k2+", 2);
    cr_assert_not_null(a);
    cr_expect_str_eq(a->name, "a");
    cr_expect_eq(a->priority, 1);
    cr_expect_float_eq(a->rate_per_s, 34.5, 1e-9);
    cr_expect_float_eq(a->burst, 20, 1e-9);
    cr_expect_eq(workspace_get(table, a->id), a);
    cr_expect_eq(workspace_find_key(table, "k1", 2), a);
    cr_expect_neq(workspace_find_key(table, "k3", 2), a);
    cr_expect_null(workspace_find_key(table, "k", 1));
    cr_expect_null(workspace_find_key(table, "K1", 2));
    cr_expect_null(workspace_find_key(table, "", 0));
    routing_free(set);
}

Test(platform, thousands_of_keys)
{
    err e = ERR_INIT;
    routing_table *set = NULL;
    GString *text = g_string_new("{\"version\":\"0c\",\"routes\":[" ROUTE
                                 "]," LIMITS ",\"tenants\":[");
    for (int i = 0; i < 2000; i++) {
        g_string_append_printf(
            text, "%s{\"name\":\"w%d\",\"api_keys\":[\"k%d\",\"l%d\"]}",
            i == 0 ? "" : ",", i, i, i);
    }
    g_string_append(text, "]}");
    cr_assert_eq(platform_desired_decode(&set, text->str, text->len, &e), 0,
                 "%s", e.message);
    const workspace_table *table = routing_get_workspaces(set);
    cr_expect_eq(workspace_count(table), 2000);
    const workspace *found = workspace_find_key(table, "l1999", 5);
    cr_assert_not_null(found);
    cr_expect_str_eq(found->name, "w1999");
    routing_free(set);
    g_string_free(text, TRUE);
}

typedef struct route_case {
    const char *kind;
    const char *exempt; /* value of auth_exempt, or NULL */
    bool valid;
    bool idempotent;
    bool is_exempt;
} route_case;

static const route_case route_cases[] = {
    {"idempotent", NULL, true, true, false},
    {"download", "false", true, true, false},
    {"non_idempotent", "true", true, false, true},
    {"idempotent", "1", false, false, false},
    {"idempotent", "\"true\"", false, false, false},
    {"idempotent", "null", false, false, false},
};

Test(platform, kinds_and_exemption_of_routes)
{
    for (size_t i = 0; i < COUNT(route_cases); i++) {
        err e = ERR_INIT;
        routing_table *set = NULL;
        const route_case *c = &route_cases[i];
        char text[1024];
        int size = snprintf(
            text, sizeof(text),
            "{\"version\":\"0c\",\"routes\":[{\"host\":\"h\",\"path_prefix\":"
            "\"/\",\"route_type\":\"%s\",\"timeout\":\"1s\",\"service\":\"s\""
            "%s%s}]," LIMITS "}",
            c->kind, c->exempt == NULL ? "" : ",\"auth_exempt\":",
            c->exempt == NULL ? "" : c->exempt);
        int result = platform_desired_decode(&set, text, (size_t)size, &e);
        cr_assert_eq(result == 0, c->valid, "case %zu", i);
        if (c->valid) {
            const routing_route *route = routing_find(set, "h", 1, "/", 1);
            cr_expect_eq(route->idempotent, c->idempotent, "case %zu", i);
            cr_expect_eq(route->auth_exempt, c->is_exempt, "case %zu", i);
        }
        routing_free(set);
    }
}

typedef struct heartbeat_case {
    const char *text;
    bool valid;
} heartbeat_case;

#define HEARTBEAT_REST                                                        \
    ",\"zone\":\"z\",\"version\":\"v1\",\"warmup_left\":\"0ms\"}"

static const heartbeat_case heartbeat_cases[] = {
    {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"concurrency\":9,"
     "\"state\":\"ready\",\"sequence\":4,\"born\":77" HEARTBEAT_REST,
     true},
    {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"concurrency\":9,"
     "\"state\":\"draining\",\"sequence\":4,\"born\":77" HEARTBEAT_REST,
     true},
    {"{\"service\":\"other\",\"address\":\"1.2.3.4:5\",\"concurrency\":9,"
     "\"state\":\"ready\",\"sequence\":4,\"born\":77" HEARTBEAT_REST,
     false},
    {"{\"service\":\"s\",\"address\":\"1.2.3.4:6\",\"concurrency\":9,"
     "\"state\":\"ready\",\"sequence\":4,\"born\":77" HEARTBEAT_REST,
     false},
    {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"concurrency\":\"9\","
     "\"state\":\"ready\",\"sequence\":4,\"born\":77" HEARTBEAT_REST,
     false},
    {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"concurrency\":9,"
     "\"state\":\"resting\",\"sequence\":4,\"born\":77" HEARTBEAT_REST,
     false},
    {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"concurrency\":9,"
     "\"state\":\"ready\",\"sequence\":4,\"born\":7.5" HEARTBEAT_REST,
     false},
    {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"concurrency\":9,"
     "\"state\":\"ready\",\"born\":77" HEARTBEAT_REST,
     false},
    {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"concurrency\":100001,"
     "\"state\":\"ready\",\"sequence\":4,\"born\":77" HEARTBEAT_REST,
     false},
    {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"concurrency\":9,"
     "\"state\":\"ready\",\"sequence\":-4,\"born\":77" HEARTBEAT_REST,
     false},
    {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"concurrency\":9,"
     "\"state\":\"ready\",\"sequence\":4,\"born\":-77" HEARTBEAT_REST,
     false},
    {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"concurrency\":9,"
     "\"state\":\"ready\",\"sequence\":4,\"born\":"
     "9007199254740993" HEARTBEAT_REST,
     false},
    {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"concurrency\":9,"
     "\"state\":\"ready\",\"sequence\":4,\"born\":1e400" HEARTBEAT_REST,
     false},
    {"[1]", false},
    {"", false},
};

static runtime
node_of_target(const char *service, const char *address)
{
    runtime n = {0};
    g_strlcpy(n.settings.service, service, sizeof(n.settings.service));
    g_strlcpy(n.settings.target, address, sizeof(n.settings.target));
    return n;
}

Test(platform, registrations)
{
    runtime n = node_of_target("s", "1.2.3.4:5");
    for (size_t i = 0; i < COUNT(heartbeat_cases); i++) {
        err e = ERR_INIT;
        local_target_heartbeat heartbeat = {0};
        const char *text = heartbeat_cases[i].text;
        int result = platform_heartbeat_decode(&heartbeat, "i-1", &n, text,
                                               strlen(text), &e);
        cr_expect_eq(result == 0, heartbeat_cases[i].valid, "case %zu", i);
    }
}

/* Fuzzing: valid messages with up to five random bytes, cut at a random
 * length. */
Test(platform, random_bytes_are_read_without_harm)
{
    GRand *random = g_rand_new_with_seed(20261204);
    runtime n = node_of_target("s", "1.2.3.4:5");
    for (int round = 0; round < 20000; round++) {
        const char *valid =
            round % 2 == 0 ? desired_cases[0].text : heartbeat_cases[0].text;
        size_t length = strlen(valid);
        char *text = g_strdup(valid);
        int changes = g_rand_int_range(random, 1, 6);
        for (int i = 0; i < changes; i++) {
            gint32 at = g_rand_int_range(random, 0, (gint32)length);
            text[at] = (char)g_rand_int_range(random, 0, 256);
        }
        length = (size_t)g_rand_int_range(random, 0, (gint32)length + 1);
        err e = ERR_INIT;
        routing_table *set = NULL;
        local_target_heartbeat heartbeat;
        if (platform_desired_decode(&set, text, length, &e) == 0) {
            routing_free(set);
        }
        platform_heartbeat_decode(&heartbeat, "i-1", &n, text, length, &e);
        g_free(text);
    }
    g_rand_free(random);
}
