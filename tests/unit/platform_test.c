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
